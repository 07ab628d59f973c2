"""Soak with engines that send answers a second time, late, and whose addresses are used again."""

import time

import gevent

from tests.ports import free_port
from tests.soak.fleet import Fleet
from tests.soak.processes import Engine
from tests.soak.prompts import DirectLink
from tests.soak.whole_run import Soak

KINDS = (
    *("engine_kill",) * 4,
    *("engine_leaves",) * 2,
    "engine_goes",
    "node_kill",
    "node_stop",
    "store_cut",
    "config_storm",
    "roll",
)
"""Kinds of faults that are injected."""
USE_TIME = 6.0
"""Seconds of the calm, within which each engine must be in use: 3, and a request for each."""


class SurplusEngineProcess(Engine):
    """An engine process that nodes reach directly, at the address of its former life."""

    module = "tests.soak.surplus_engine"
    process = None

    def next_port(self):
        """Return the port of the former life, if it has ended."""
        has_ended = self.process is not None and not self.process.is_running
        return self.port if has_ended else free_port()

    def start(self, *, keeps_id=False):
        """Start the next life; a leaving one continues to serve at the same time."""
        super().start(keeps_id=keeps_id)
        self.link.stop()
        self.link = DirectLink(self.port)


class SurplusFleet(Fleet):
    """A fleet of such engines."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.engine_type = SurplusEngineProcess


class SurplusSoak(Soak):
    """One run with surplus answers."""

    fleet_type = SurplusFleet
    calm_at = 0.0
    """Seconds of the epoch at which the calm began."""

    def run_calm(self):
        """Let online requests come without faults, until each engine must have run one."""
        self.calm_at = time.time()
        gevent.sleep(USE_TIME)

    def run(self):
        """Run the soak, and return the checked invariants."""
        invariants = super().run()
        last_run = {}
        for record in self.fleet.run_records():
            engine = record["engine"]
            last_run[engine] = max(record["at"], last_run.get(engine, 0.0))
        for engine in self.fleet.engines:
            is_used = last_run.get(engine.engine_id, 0.0) > self.calm_at
            invariants.check("a sound engine is in use", is_used, engine.engine_id)
        return invariants

"""Machines of the soak are replaced, one after the other, by such with another build."""

import random
import time
from collections import Counter
from dataclasses import dataclass

import gevent

from tests.earlier_build import PRESENT
from tests.soak.fleet import ENGINES, NODES, ROLL_TIME
from tests.soak.promises import FATAL_KINDS, REPLACED, Span
from tests.soak.whole_run import Soak

KINDS = (
    "node_kill",
    "node_stop",
    "engine_kill",
    "engine_leaves",
    "engine_goes",
    "fatal_request",
    "link_reset",
    "store_down",
    "store_cut",
    "store_silent",
    "config_storm",
    "hup_series",
)
"""Faults that come meanwhile."""
PAUSE = (0.0, 3.0)
"""Seconds from when a node is ready to when the next one is told to stop."""
FIRST_AFTER = 3.0
"""Seconds of traffic before the first one."""
STARTS_WITHIN = 30.0
"""Seconds in which a node must be ready, also on a busy machine."""


@dataclass(frozen=True)
class Step:
    """A machine is replaced."""

    node: int
    present: bool
    """Whether by one of the present build."""
    pause: float


@dataclass(frozen=True)
class Plan:
    """What a seed draws."""

    from_present: bool
    """Whether the fleet begins with the present build."""
    steps: tuple[Step, ...]


def draw_plan(seed, nodes):
    """Four seeds in a row have both directions, each once whole and once taken back halfway."""
    random_ = random.Random(f"upgrade {seed}")
    from_present, back = bool(seed & 1), bool(seed & 2)
    order = random_.sample(range(nodes), nodes)
    if back:
        order = order[: random_.randint(1, nodes - 1)]
    steps = [(node, not from_present) for node in order]
    if back:
        steps += [(node, from_present) for node in random_.sample(order, len(order))]
    return Plan(
        from_present, tuple(Step(*step, round(random_.uniform(*PAUSE), 3)) for step in steps)
    )


class UpgradeSoak(Soak):
    """One run; it lasts until all machines of the plan are replaced, and `seconds` at the least."""

    def __init__(
        self, seed, seconds, kinds, folder, tell=print, *, nodes=NODES, engines=ENGINES, earlier
    ):
        held_back = earlier.knows("quarantine")
        known = [kind for kind in kinds if held_back or kind not in FATAL_KINDS]
        super().__init__(seed, seconds, known, folder, tell, nodes=nodes, engines=engines)
        self.earlier = earlier
        self.plan = draw_plan(seed, nodes)
        self.fleet.first_build = PRESENT if self.plan.from_present else earlier
        self.fleet.names_tenants = self.clients.tenants.enabled = earlier.knows("limits")
        self.replaced = Counter()

    def run_beside(self):
        """See `Soak`."""
        gevent.sleep(FIRST_AFTER)
        for step in self.plan.steps:
            gevent.sleep(step.pause)
            self._replace(self.fleet.nodes[step.node], PRESENT if step.present else self.earlier)

    def _replace(self, node, build):
        now = time.time()
        span = Span(REPLACED, node.name, now, now + ROLL_TIME + STARTS_WITHIN)
        self.promises.spans.append(span)
        life = node.process.life
        # A fault that starts it meanwhile starts it from the new build already.
        node.use(build)
        node.process.terminate()
        deadline = time.monotonic() + ROLL_TIME
        while node.process.runs and node.process.life == life and time.monotonic() < deadline:
            gevent.sleep(0.1)
        if node.process.life == life:
            node.process.kill()
            node.process.start()
        ready = self._await(node)
        span.end = time.time()
        self.promises.check("a replaced node serves", ready, f"{node.name} of {build.name}")
        self.replaced[build.name] += 1

    def _await(self, node):
        pool = gevent.get_hub().threadpool
        deadline = time.monotonic() + STARTS_WITHIN
        while time.monotonic() < deadline:
            if pool.apply(self.fleet.is_ready, (node,)):
                return True
            gevent.sleep(0.1)
        return False

    def report(self):
        """See `Soak`."""
        begins = PRESENT.name if self.plan.from_present else self.earlier.name
        order = ", ".join(f"n{step.node}" for step in self.plan.steps)
        told = f"upgrade from {begins}, earlier build {self.earlier.name}; replaced {order}:"
        return f"{told} {dict(self.replaced)}\n{super().report()}"

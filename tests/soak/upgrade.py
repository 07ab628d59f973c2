"""Machines of the soak are replaced, one after the other, by such with another build."""

import random
import time
from collections import Counter
from dataclasses import dataclass

import gevent

from tests.earlier_build import CURRENT_BUILD
from tests.soak.fleet import ENGINES, NODES, STOP_TIMEOUT
from tests.soak.invariants import FATAL_KINDS, NODE_REPLACE, FaultSpan
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
REPLACE_INTERVAL = (0.0, 3.0)
"""Seconds from when a node is ready to when the next one is told to stop."""
INITIAL_DELAY = 3.0
"""Seconds of traffic before the first one."""
START_TIMEOUT = 30.0
"""Seconds in which a node must be ready, also on a busy machine."""


@dataclass(frozen=True)
class Step:
    """A machine is replaced."""

    node: int
    uses_current: bool
    """Whether by one of the present build."""
    pause: float


@dataclass(frozen=True)
class Plan:
    """What a seed draws."""

    from_current: bool
    """Whether the fleet begins with the present build."""
    steps: tuple[Step, ...]


def draw_plan(seed, nodes):
    """Four seeds in a row have both directions, each once whole and once taken back halfway."""
    random_ = random.Random(f"upgrade {seed}")
    from_current, rolled_back = bool(seed & 1), bool(seed & 2)
    order = random_.sample(range(nodes), nodes)
    if rolled_back:
        order = order[: random_.randint(1, nodes - 1)]
    steps = [(node, not from_current) for node in order]
    if rolled_back:
        steps += [(node, from_current) for node in random_.sample(order, len(order))]
    return Plan(
        from_current,
        tuple(Step(*step, round(random_.uniform(*REPLACE_INTERVAL), 3)) for step in steps),
    )


class UpgradeSoak(Soak):
    """One run; it lasts until all machines of the plan are replaced, and `seconds` at the least."""

    def __init__(
        self,
        seed,
        seconds,
        kinds,
        folder,
        print_line=print,
        *,
        nodes=NODES,
        engines=ENGINES,
        earlier,
    ):
        has_quarantine = earlier.supports("quarantine")
        known = [kind for kind in kinds if has_quarantine or kind not in FATAL_KINDS]
        super().__init__(seed, seconds, known, folder, print_line, nodes=nodes, engines=engines)
        self.earlier = earlier
        self.plan = draw_plan(seed, nodes)
        self.fleet.first_build = CURRENT_BUILD if self.plan.from_current else earlier
        self.fleet.configures_tenants = self.clients.tenants.enabled = earlier.supports("limits")
        self.replacements = Counter()

    def run_alongside(self):
        """See `Soak`."""
        gevent.sleep(INITIAL_DELAY)
        for step in self.plan.steps:
            gevent.sleep(step.pause)
            self._replace(
                self.fleet.nodes[step.node], CURRENT_BUILD if step.uses_current else self.earlier
            )

    def _replace(self, node, build):
        now = time.time()
        span = FaultSpan(NODE_REPLACE, node.name, now, now + STOP_TIMEOUT + START_TIMEOUT)
        self.invariants.spans.append(span)
        life = node.process.life
        # A fault that starts it meanwhile starts it from the new build already.
        node.use_build(build)
        node.process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT
        while node.process.runs and node.process.life == life and time.monotonic() < deadline:
            gevent.sleep(0.1)
        if node.process.life == life:
            node.process.kill()
            node.process.start()
        ready = self._wait_until_ready(node)
        span.end = time.time()
        self.invariants.check("a replaced node serves", ready, f"{node.name} of {build.name}")
        self.replacements[build.name] += 1

    def _wait_until_ready(self, node):
        pool = gevent.get_hub().threadpool
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            if pool.apply(self.fleet.is_ready, (node,)):
                return True
            gevent.sleep(0.1)
        return False

    def report(self):
        """See `Soak`."""
        begins = CURRENT_BUILD.name if self.plan.from_current else self.earlier.name
        order = ", ".join(f"n{step.node}" for step in self.plan.steps)
        told = f"upgrade from {begins}, earlier build {self.earlier.name}; replaced {order}:"
        return f"{told} {dict(self.replacements)}\n{super().report()}"

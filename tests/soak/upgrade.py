"""Upgrade soak: nodes are replaced one after the other by ones of another build."""

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
"""Kinds of faults that are injected meanwhile."""
REPLACE_INTERVAL = (0.0, 3.0)
"""Bounds of the seconds between a node's readiness and the stop of the next one."""
INITIAL_DELAY = 3.0
"""Seconds of traffic before the first replacement."""
START_TIMEOUT = 30.0
"""Seconds within which a started node must be ready, also on a busy machine."""


@dataclass(frozen=True)
class Step:
    """Replacement of one node."""

    node: int
    uses_current: bool
    """Whether the new node runs the current build."""
    pause: float


@dataclass(frozen=True)
class Plan:
    """Plan of an upgrade, drawn from the seed."""

    from_current: bool
    """Whether the fleet starts with the current build."""
    steps: tuple[Step, ...]


def draw_plan(seed, nodes):
    """Draw the plan of a seed.

    Four consecutive seeds cover both directions, each once completed and once rolled back halfway.
    """
    rng = random.Random(f"upgrade {seed}")
    from_current, rolled_back = bool(seed & 1), bool(seed & 2)
    order = rng.sample(range(nodes), nodes)
    if rolled_back:
        order = order[: rng.randint(1, nodes - 1)]
    steps = [(node, not from_current) for node in order]
    if rolled_back:
        steps += [(node, from_current) for node in rng.sample(order, len(order))]
    return Plan(
        from_current,
        tuple(Step(*step, round(rng.uniform(*REPLACE_INTERVAL), 3)) for step in steps),
    )


class UpgradeSoak(Soak):
    """One run, which lasts until the plan is carried out and for at least `seconds`."""

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
        """Replace the nodes in the order of the plan."""
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
        # Set before the stop: a concurrent fault that restarts the node must use the new build too.
        node.use_build(build)
        node.process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT
        while node.process.is_running and node.process.life == life and time.monotonic() < deadline:
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
        """Build the report of the run, with the replacements first."""
        initial = CURRENT_BUILD.name if self.plan.from_current else self.earlier.name
        order = ", ".join(f"n{step.node}" for step in self.plan.steps)
        heading = f"upgrade from {initial}, earlier build {self.earlier.name}; replaced {order}:"
        return f"{heading} {dict(self.replacements)}\n{super().report()}"

"""Hundreds of hollow gateways in one process under virtual time.

Each node has the product's own counts, choice of engines, pace of reports and order of items;
only sockets are missing. Datagrams are late and lost now and then. Engines read prompts one
after the other in pieces, between the steps in which every running request gets a token.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from postvalve.core.admission.engine_use import EngineUse, engine_hash
from postvalve.core.batch.giving_way import RunningItems, encode_running, giving_way
from postvalve.core.batch.item_order import startable
from postvalve.core.membership.report_pace import (
    FAR_RATE,
    LEAST_INTERVAL,
    NEAR_RATE,
    ReportPace,
)
from postvalve.core.routing.engine_choice import EngineChooser, EngineOption

STEP = 0.0035
"""Seconds of an engine's step."""
READ_RATE = 60_000.0
"""Prompt tokens that an engine reads in a second."""
PIECE = 1_024
"""Prompt tokens that it reads in one step."""
NEAR_DELAY = 0.0002
FAR_DELAY = 0.002
"""Seconds of a datagram's way."""
LOSS = 0.01
"""Share of datagrams that are lost."""
HEAP_PERIOD = 4.9
HEAP_LENGTH = 2.0
"""Seconds: online traffic comes in heaps."""
HEAP_HIGH = 2.0
HEAP_LOW = 0.31
"""Times the mean, in a heap and between."""
START_UNREAD = 2_500
"""See `gateway/fleet`."""
LONG_SHARE = 0.08
"""Share of requests that have long prompts."""

Policy = Callable[["HollowNode", list[EngineOption]], str]


@dataclass(slots=True)
class HollowRequest:
    """One request or item."""

    node: HollowNode
    engine: HollowEngine
    batch: bool
    prompt: int
    output: int
    due: int
    arrived_at: float
    unread: int = 0
    made: int = 0
    stopped: bool = False


@dataclass(slots=True)
class HollowEngine:
    """An engine: slots, a queue, and one prompt read at a time."""

    engine_id: str
    zone: str
    slots: int
    running: list[HollowRequest] = field(default_factory=list)
    queue: deque[HollowRequest] = field(default_factory=deque)
    busy: bool = False

    def admit(self) -> None:
        """Let those that wait into free slots."""
        while self.queue and len(self.running) < self.slots:
            request = self.queue.popleft()
            if not request.stopped:
                self.running.append(request)


@dataclass(slots=True)
class HollowNode:
    """A gateway without sockets."""

    node_id: str
    zone: str
    chooser: EngineChooser
    use: EngineUse = field(default_factory=EngineUse)
    items: RunningItems = field(default_factory=RunningItems)
    near: ReportPace = field(default_factory=lambda: ReportPace(NEAR_RATE))
    far: ReportPace = field(default_factory=lambda: ReportPace(FAR_RATE))
    waiting: list[int] = field(default_factory=list)
    """Due times of the items that wait, ascending."""
    peers_waiting: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    active: set[int] = field(default_factory=set)

    def changed(self) -> None:
        """There is something to report."""
        self.near.note_change()
        self.far.note_change()


@dataclass(slots=True)
class HollowResult:
    """What a run gave."""

    waits: list[float] = field(default_factory=list)
    """Seconds to the first token of each online request."""
    items_done: int = 0
    stops: int = 0
    reports: int = 0
    bytes_reported: int = 0
    most_heard: float = 0.0
    """Reports a second that one node heard."""

    def late(self, bound: float) -> float:
        """Share of online requests whose first token came after `bound` seconds."""
        return sum(wait > bound for wait in self.waits) / max(1, len(self.waits))


class HollowFleet:
    """All nodes and engines, and the queue of what happens."""

    def __init__(
        self, *, nodes: int, engines: int, zones: int, slots: int, seed: int, policy: Policy
    ) -> None:
        # Traffic has numbers of its own, so that all policies meet the same.
        self._traffic = random.Random(seed)
        self._random = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._policy = policy
        self.now = 0.0
        self.result = HollowResult()
        self.engines = {
            name: HollowEngine(name, f"z{number % zones}", slots)
            for number in range(engines)
            for name in [f"e{number}"]
        }
        self.nodes = [
            HollowNode(f"n{number}", f"z{number % zones}", self._chooser(number % zones))
            for number in range(nodes)
        ]
        self._requests: dict[int, HollowRequest] = {}
        self._heard: dict[str, int] = dict.fromkeys((one.node_id for one in self.nodes), 0)

    def _chooser(self, zone: int) -> EngineChooser:
        return EngineChooser(f"z{zone}", random.Random(self._random.random()))

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), action))

    def run(self, seconds: float, rate: float, items: int, settle: float = 6.0) -> HollowResult:
        """Play `seconds` of traffic, then `settle` without any.

        Args:
            seconds: Virtual seconds of traffic.
            rate: Online requests a second over all nodes, in the mean.
            items: Batch items that wait at the start, over all nodes.
            settle: Virtual seconds after it.
        """
        for number in range(items):
            self.nodes[number % len(self.nodes)].waiting.append(20_000 + number // 8)
        for node in self.nodes:
            self._at(self._random.uniform(0, LEAST_INTERVAL), partial(self._tick, node))
        self._arrive(seconds, rate)
        while self._events and self._events[0][0] <= seconds + settle:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.result.most_heard = max(self._heard.values()) / (seconds + settle)
        return self.result

    # Traffic

    def _arrive(self, until: float, rate: float) -> None:
        if self.now >= until:
            return
        heap = (self.now % HEAP_PERIOD) >= HEAP_PERIOD - HEAP_LENGTH
        factor = HEAP_HIGH if heap else HEAP_LOW
        self._at(self._traffic.expovariate(rate * factor), lambda: self._online(until, rate))

    def _online(self, until: float, rate: float) -> None:
        node = self._traffic.choice(self.nodes)
        long = self._traffic.random() < LONG_SHARE
        prompt = int(self._traffic.lognormvariate(9.2 if long else 6.2, 0.7))
        engine = self.engines[self._policy(node, self._options(node))]
        self._enter(HollowRequest(node, engine, False, prompt, 60, 0, self.now))
        self._arrive(until, rate)

    def _options(self, node: HollowNode) -> list[EngineOption]:
        options = []
        for engine in self.engines.values():
            count = node.use.total(engine.engine_id)
            options.append(
                EngineOption(
                    engine.engine_id,
                    engine.zone,
                    engine.slots,
                    count.total,
                    unread=count.unread,
                )
            )
        return options

    def _enter(self, request: HollowRequest) -> None:
        request.unread = request.prompt
        request.node.use.enter(request.engine.engine_id, batch=request.batch, unread=request.prompt)
        request.node.active.add(id(request))
        self._requests[id(request)] = request
        request.node.changed()
        request.engine.queue.append(request)
        self._wake(request.engine)

    def _leave(self, request: HollowRequest) -> None:
        node = request.node
        unread = request.prompt if request.made == 0 else 0
        node.use.leave(request.engine.engine_id, batch=request.batch, unread=unread)
        node.active.discard(id(request))
        del self._requests[id(request)]
        node.changed()

    # Engines

    def _wake(self, engine: HollowEngine) -> None:
        if not engine.busy:
            engine.busy = True
            self._at(0.0, lambda: self._step(engine))

    def _step(self, engine: HollowEngine) -> None:
        engine.running = [one for one in engine.running if not one.stopped]
        engine.admit()
        if not engine.running:
            engine.busy = False
            return
        left = PIECE
        for request in engine.running:
            piece = min(left, request.unread)
            request.unread -= piece
            left -= piece
        duration = STEP + (PIECE - left) / READ_RATE
        self._at(duration, lambda: self._stepped(engine))

    def _stepped(self, engine: HollowEngine) -> None:
        for request in list(engine.running):
            if request.stopped or request.unread:
                continue
            if request.made == 0:
                self._first_token(request)
            request.made += 1
            if request.made >= request.output:
                engine.running.remove(request)
                self._leave(request)
                self.result.items_done += request.batch
        self._step(engine)

    def _first_token(self, request: HollowRequest) -> None:
        request.node.use.note_read(request.engine.engine_id, request.prompt)
        request.node.changed()
        if not request.batch:
            self.result.waits.append(self.now - request.arrived_at)

    # Nodes

    def _tick(self, node: HollowNode) -> None:
        self._give_way(node)
        self._start_items(node)
        self._report(node)
        self._at(LEAST_INTERVAL / 2, lambda: self._tick(node))

    def _own_items(self, node: HollowNode) -> dict[str, list[HollowRequest]]:
        items: dict[str, list[HollowRequest]] = {}
        for number in node.active:
            request = self._requests[number]
            if request.batch:
                items.setdefault(request.engine.engine_id, []).append(request)
        return items

    def _give_way(self, node: HollowNode) -> None:
        for engine_id, own in self._own_items(node).items():
            excess = node.use.excess(engine_id, self.engines[engine_id].slots)
            others = node.items.at(engine_hash(engine_id))
            count = giving_way(node.node_id, [one.due for one in own], others, excess)
            for request in sorted(own, key=lambda one: one.due, reverse=True)[:count]:
                request.stopped = True
                self.result.stops += 1
                self._leave(request)
                node.waiting.append(request.due)
                node.waiting.sort()

    def _start_items(self, node: HollowNode) -> None:
        rooms = {
            engine_id: node.use.batch_room(engine_id, engine.slots)
            for engine_id, engine in self.engines.items()
            if node.use.total(engine_id).unread <= START_UNREAD
        }
        room = sum(max(0, one) for one in rooms.values())
        peers = [group for groups in node.peers_waiting.values() for group in groups]
        for _ in range(startable(node.waiting, peers, room)):
            engine_id = max(rooms, key=lambda one: (rooms[one], self._random.random()))
            rooms[engine_id] -= 1
            engine = self.engines[engine_id]
            due = node.waiting.pop(0)
            self._enter(HollowRequest(node, engine, True, 1_800, 1_200, due, self.now))

    def _report(self, node: HollowNode) -> None:
        near = [one for one in self.nodes if one.zone == node.zone and one is not node]
        far = [one for one in self.nodes if one.zone != node.zone]
        for pace, peers, delay in (
            (node.near, near, NEAR_DELAY),
            (node.far, far, FAR_DELAY),
        ):
            if pace.take_turn(len(peers), self.now):
                self._send(node, peers, delay)

    def _send(self, node: HollowNode, peers: list[HollowNode], delay: float) -> None:
        use = node.use.report()
        running = encode_running(
            (engine_hash(engine_id), one.due)
            for engine_id, items in self._own_items(node).items()
            for one in items
        )
        waiting = [(due, 1) for due in node.waiting[:24]]
        for peer in peers:
            self.result.reports += 1
            self.result.bytes_reported += len(use) + len(running) + 10 * len(waiting)
            if self._random.random() >= LOSS:
                hear = partial(self._hear, peer, node.node_id, use, running, waiting)
                self._at(delay, hear)

    def _hear(
        self,
        node: HollowNode,
        sender: str,
        use: bytes,
        running: bytes,
        waiting: list[tuple[int, int]],
    ) -> None:
        self._heard[node.node_id] += 1
        node.use.observe(sender, use)
        node.items.observe(sender, running)
        node.peers_waiting[sender] = waiting


def by_unread_tokens(node: HollowNode, options: list[EngineOption]) -> str:
    """The product's choice."""
    return node.chooser.choose(options, "", 0).engine_id


class BestOfAll:
    """The least unread tokens of all engines of the zone, as this node knows them."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def __call__(self, node: HollowNode, options: list[EngineOption]) -> str:
        """See `Policy`."""
        near = [one for one in options if one.zone == node.zone]
        return min(near, key=lambda one: (one.unread, one.load, self._random.random())).engine_id


class FewestRequests:
    """The choice of earlier versions: the fewest requests for each slot, in the zone first."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def __call__(self, node: HollowNode, options: list[EngineOption]) -> str:
        """See `Policy`."""

        def rank(option: EngineOption) -> tuple[bool, float, float]:
            foreign = option.zone != node.zone or option.load >= 0.85
            return foreign, option.load, self._random.random()

        return min(options, key=rank).engine_id


class TwoChoices:
    """The one with fewer requests of two drawn engines of the zone."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def __call__(self, node: HollowNode, options: list[EngineOption]) -> str:
        """See `Policy`."""
        near = [one for one in options if one.zone == node.zone]
        drawn = self._random.sample(near, min(2, len(near)))
        return min(drawn, key=lambda one: one.load).engine_id

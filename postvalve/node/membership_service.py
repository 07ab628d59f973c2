"""Exchanges heartbeats and zone digests over UDP, and polls the platform's machine list."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from postvalve.clock import milliseconds
from postvalve.core.membership.ownership import rank_owners
from postvalve.core.membership.view import (
    Member,
    MembershipTiming,
    MembershipView,
    StateChanged,
)
from postvalve.events import Event
from postvalve.exceptions import PlatformError
from postvalve.messages.framing import (
    FrameError,
    Message,
    UnknownKindError,
    decode_datagram,
    encode_frame,
)
from postvalve.messages.generated import peer
from postvalve.node.background import BackgroundTasks
from postvalve.node.context import NodeContext
from postvalve.node.unknown_messages import UnknownMessageCounter
from postvalve.services.machines import Machine
from postvalve.states import MachineKind, MachineState, NodeState

HEARTBEATS_PER_SUMMARY = 5
"""Heartbeats from one that carries an unchanged summary to the next.

Dead nodes get one in this many heartbeats.
"""
RELAYS_PER_ZONE = 2
"""Nodes of each other zone that receive a digest and relay it within their zone."""

ChangeListener = Callable[[StateChanged], None]


class MembershipService:
    """Sends and receives the heartbeats and digests behind this node's `MembershipView`."""

    def __init__(self, context: NodeContext) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._passed_over = UnknownMessageCounter(context.events)
        self._metrics = context.metrics
        self._machine_list = context.machine_list
        self._transport = context.transport
        timing = self._settings.timing
        self.view = MembershipView(MembershipTiming(timing.dead_after, timing.digest_interval))
        self.incarnation = milliseconds(self._clock.wall())
        self.leaving = False
        self._sequence = 0
        self._summary = b""
        self._summary_version = 0
        self._summary_sent_at = -HEARTBEATS_PER_SUMMARY
        self._machines: dict[str, Machine] = {}
        self._listeners: list[ChangeListener] = []
        self._work_listeners: list[Callable[[], None]] = []
        self._summary_provider: Callable[[], peer.NodeSummary] = peer.NodeSummary
        self._revision_provider: Callable[[], int] = lambda: -1

    def set_providers(
        self, summary: Callable[[], peer.NodeSummary], revision: Callable[[], int]
    ) -> None:
        """Set the functions that give the summary and configuration revision for heartbeats."""
        self._summary_provider = summary
        self._revision_provider = revision

    def add_listener(self, listener: ChangeListener) -> None:
        """Register a callback for changes of node states."""
        self._listeners.append(listener)

    def add_work_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for heartbeats of nodes with pending batch items."""
        self._work_listeners.append(listener)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start the periodic heartbeats, digests and reads of the machine list."""
        timing = self._settings.timing
        tasks.every(timing.machine_list_interval, self.read_machine_list)
        tasks.every(timing.heartbeat_interval, self.send_heartbeat)
        tasks.every(timing.digest_interval, self.send_digest)

    def engines(self) -> list[Machine]:
        """Return the engines of the machine list, including leaving ones."""
        return [
            machine for machine in self._machines.values() if machine.kind is MachineKind.ENGINE
        ]

    def member(self, node_id: str) -> Member | None:
        """Return the entry of a node in the view, if there is one."""
        return self.view.get(node_id)

    def all_listed_nodes_known(self) -> bool:
        """Return whether this node is on the machine list, and all nodes there are in the view."""
        listed = {
            machine.machine_id
            for machine in self._machines.values()
            if machine.kind is MachineKind.NODE
        }
        if self._settings.node_id not in listed:
            return False
        return all(self.view.get(node_id) is not None for node_id in listed)

    def announce_leaving(self) -> None:
        """Announce to all zones at once that this node accepts no new work."""
        self.leaving = True
        self.announce()

    def announce(self) -> None:
        """Send a heartbeat and a digest now; called when this node has new work or is leaving."""
        self.send_heartbeat()
        self.send_digest(force=True)

    def read_machine_list(self) -> None:
        """Fetch the machine list of the platform; on an error the previous one stays."""
        try:
            machines = self._machine_list.fetch()
        except PlatformError as error:
            self._events.emit(Event.MACHINE_LIST_UNAVAILABLE, error=error.message)
            return
        self._machines = {machine.machine_id: self._keep_leaving(machine) for machine in machines}

    def _keep_leaving(self, machine: Machine) -> Machine:
        previous = self._machines.get(machine.machine_id)
        if previous is not None and previous.state is MachineState.LEAVING:
            machine = machine.model_copy(update={"state": MachineState.LEAVING})
        if machine.state is MachineState.LEAVING and machine.kind is MachineKind.NODE:
            self._publish_changes(self.view.mark_leaving(machine.machine_id))
        return machine

    def send_heartbeat(self) -> None:
        """Send one heartbeat to the nodes of this zone, and expire silent nodes."""
        now = self._clock.monotonic()
        heartbeat = self._heartbeat()
        self._apply_heartbeat(heartbeat, now, direct=True)
        self._publish_changes(self.view.expire(now))
        data = encode_frame(heartbeat, 0)
        for address in self._zone_addresses(self._settings.zone):
            self._send(data, address)

    def _heartbeat(self) -> peer.Heartbeat:
        self._sequence += 1
        summary = bytes(self._summary_provider())
        changed = summary != self._summary
        if changed:
            self._summary = summary
            self._summary_version += 1
        due = self._sequence - self._summary_sent_at >= HEARTBEATS_PER_SUMMARY
        if changed or due:
            self._summary_sent_at = self._sequence
        return peer.Heartbeat(
            node_id=self._settings.node_id,
            incarnation=self.incarnation,
            sequence=self._sequence,
            zone=self._settings.zone,
            peer_address=self._settings.peer_listen,
            leaving=self.leaving,
            configuration_revision=self._revision_provider(),
            summary_version=self._summary_version,
            summary=summary if changed or due else b"",
        )

    def send_digest(self, *, force: bool = False) -> None:
        """Send a digest of this zone to the others if this node is its reporter, or if forced."""
        zone = self._settings.zone
        ranked = rank_owners(f"reporter.{zone}", self.view.alive_ids(zone))
        if not force and ranked[:1] != [self._settings.node_id]:
            return
        members = [member for member in self.view.members() if member.zone == zone]
        digest = peer.ZoneDigest(
            zone=zone, heartbeats=[bytes(_heartbeat_of(member)) for member in members]
        )
        data = encode_frame(digest, 0)
        for address in self._relay_addresses():
            self._send(data, address)

    def _relay_addresses(self) -> list[str]:
        addresses: list[str] = []
        for zone, nodes in self._known_nodes().items():
            if zone == self._settings.zone:
                continue
            ranked = rank_owners(f"relay.{zone}.{self._settings.zone}", nodes)
            addresses += [nodes[node_id] for node_id in ranked[:RELAYS_PER_ZONE]]
        return addresses

    def _zone_addresses(self, zone: str) -> list[str]:
        nodes = self._known_nodes().get(zone, {})
        return [address for node_id, address in nodes.items() if node_id != self._settings.node_id]

    def _known_nodes(self) -> dict[str, dict[str, str]]:
        # Addresses by zone and node id. The machine list may lack nodes that send heartbeats.
        nodes: dict[str, dict[str, str]] = defaultdict(dict)
        for machine in self._machines.values():
            if machine.kind is MachineKind.NODE and not self._is_skipped(machine.machine_id):
                nodes[machine.zone][machine.machine_id] = machine.address
        for member in self.view.members():
            nodes[member.zone][member.node_id] = member.peer_address
        return nodes

    def _is_skipped(self, node_id: str) -> bool:
        member = self.view.get(node_id)
        # Dead nodes still get some heartbeats, as they may only be behind a network partition.
        probing = self._sequence % HEARTBEATS_PER_SUMMARY == 0
        return member is not None and member.state is NodeState.DEAD and not probing

    def _send(self, data: bytes, address: str) -> None:
        self._metrics.control_bytes.labels("sent").inc(len(data))
        self._transport.send(address, data)

    def receive(self, data: bytes, address: str) -> None:
        """Process a datagram from a peer."""
        self._metrics.control_bytes.labels("received").inc(len(data))
        try:
            message = decode_datagram(data)
            self._handle_message(message)
        except UnknownKindError as unknown:
            self._passed_over.record(unknown.header.kind, address, self._clock.monotonic())
        except FrameError as error:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=address, error=str(error))

    def _handle_message(self, message: Message) -> None:
        now = self._clock.monotonic()
        if isinstance(message, peer.Heartbeat):
            self._receive_heartbeat(message, now, direct=True)
        elif isinstance(message, peer.ZoneDigest):
            for data in message.heartbeats:
                self._receive_heartbeat(peer.Heartbeat().parse(data), now, direct=False)
            if not message.relayed:
                self._relay(message)

    def _receive_heartbeat(self, heartbeat: peer.Heartbeat, now: float, *, direct: bool) -> None:
        if heartbeat.node_id == self._settings.node_id:
            return
        self._apply_heartbeat(heartbeat, now, direct=direct)

    def _apply_heartbeat(self, heartbeat: peer.Heartbeat, now: float, *, direct: bool) -> None:
        self._publish_changes(self.view.observe(heartbeat, now, direct=direct))
        member = self.view.get(heartbeat.node_id)
        if member is not None and member.summary.pending:
            for listener in self._work_listeners:
                listener()

    def _relay(self, digest: peer.ZoneDigest) -> None:
        digest.relayed = True
        data = encode_frame(digest, 0)
        for address in self._zone_addresses(self._settings.zone):
            self._send(data, address)

    def _publish_changes(self, changes: list[StateChanged]) -> None:
        for change in changes:
            self._events.emit(
                Event.NODE_STATE_CHANGED, peer=change.node_id, state=change.state.value
            )
            for listener in self._listeners:
                listener(change)


def _heartbeat_of(member: Member) -> peer.Heartbeat:
    return peer.Heartbeat(
        node_id=member.node_id,
        incarnation=member.incarnation,
        sequence=member.sequence,
        zone=member.zone,
        peer_address=member.peer_address,
        leaving=member.state is NodeState.LEAVING,
        configuration_revision=member.configuration_revision,
        summary_version=member.summary_version,
        summary=bytes(member.summary),
    )

"""Carries heartbeats and zone digests over UDP, and reads the platform's machine list."""

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
from postvalve.node.passed_over import PassedOver
from postvalve.services.machines import Machine
from postvalve.states import MachineKind, MachineState, NodeState

HEARTBEATS_PER_SUMMARY = 5
"""Heartbeats between two that carry the summary though it did not change."""
RELAYS_PER_ZONE = 2
"""Nodes of another zone that get a digest and relay it."""

ChangeListener = Callable[[StateChanged], None]


class MembershipService:
    """This node's part in membership."""

    def __init__(self, context: NodeContext) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._passed_over = PassedOver(context.events)
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
        """Set what heartbeats tell of this node."""
        self._summary_provider = summary
        self._revision_provider = revision

    def add_listener(self, listener: ChangeListener) -> None:
        """Be told of changes of node states."""
        self._listeners.append(listener)

    def add_work_listener(self, listener: Callable[[], None]) -> None:
        """Be told at once of a heartbeat, this node's own included, with items waiting."""
        self._work_listeners.append(listener)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start to send and receive."""
        timing = self._settings.timing
        tasks.every(timing.machine_list_interval, self.read_machine_list)
        tasks.every(timing.heartbeat_interval, self.send_heartbeat)
        tasks.every(timing.digest_interval, self.send_digest)

    def engines(self) -> list[Machine]:
        """Engines of the machine list, leaving ones included."""
        return [one for one in self._machines.values() if one.kind is MachineKind.ENGINE]

    def member(self, node_id: str) -> Member | None:
        """What is known of a node."""
        return self.view.get(node_id)

    def all_listed_nodes_known(self) -> bool:
        """Whether this node is on the machine list and every node there was heard."""
        listed = {
            machine.machine_id
            for machine in self._machines.values()
            if machine.kind is MachineKind.NODE
        }
        if self._settings.node_id not in listed:
            return False
        return all(self.view.get(node_id) is not None for node_id in listed)

    def announce_leaving(self) -> None:
        """Tell everybody at once that this node takes no new work."""
        self.leaving = True
        self.announce()

    def announce(self) -> None:
        """Tell this node's zone and the others of its state now: it has work, or leaves."""
        self.send_heartbeat()
        self.send_digest(force=True)

    def read_machine_list(self) -> None:
        """Refresh the hints of the platform."""
        try:
            machines = self._machine_list.fetch()
        except PlatformError as error:
            self._events.emit(Event.MACHINE_LIST_UNAVAILABLE, error=error.message)
            return
        self._machines = {machine.machine_id: self._keep_leaving(machine) for machine in machines}

    def _keep_leaving(self, machine: Machine) -> Machine:
        known = self._machines.get(machine.machine_id)
        if known is not None and known.state is MachineState.LEAVING:
            machine = machine.model_copy(update={"state": MachineState.LEAVING})
        if machine.state is MachineState.LEAVING and machine.kind is MachineKind.NODE:
            self._publish_changes(self.view.mark_leaving(machine.machine_id))
        return machine

    def send_heartbeat(self) -> None:
        """Send one heartbeat to the zone, and expire silent nodes."""
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
        """Report this zone to the others, when this node is the zone's reporter."""
        zone = self._settings.zone
        order = rank_owners(f"reporter.{zone}", self.view.alive_ids(zone))
        if not force and order[:1] != [self._settings.node_id]:
            return
        members = [one for one in self.view.members() if one.zone == zone]
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
            order = rank_owners(f"relay.{zone}.{self._settings.zone}", nodes)
            addresses += [nodes[node_id] for node_id in order[:RELAYS_PER_ZONE]]
        return addresses

    def _zone_addresses(self, zone: str) -> list[str]:
        nodes = self._known_nodes().get(zone, {})
        return [address for node_id, address in nodes.items() if node_id != self._settings.node_id]

    def _known_nodes(self) -> dict[str, dict[str, str]]:
        # Zone to node id to address. The machine list may lack nodes that were heard.
        nodes: dict[str, dict[str, str]] = defaultdict(dict)
        for machine in self._machines.values():
            if machine.kind is MachineKind.NODE and not self._is_skipped(machine.machine_id):
                nodes[machine.zone][machine.machine_id] = machine.address
        for member in self.view.members():
            nodes[member.zone][member.node_id] = member.peer_address
        return nodes

    def _is_skipped(self, node_id: str) -> bool:
        member = self.view.get(node_id)
        # Dead nodes are still told of this one now and then: they may only have been cut off.
        probing = self._sequence % HEARTBEATS_PER_SUMMARY == 0
        return member is not None and member.state is NodeState.DEAD and not probing

    def _send(self, data: bytes, address: str) -> None:
        self._metrics.control_bytes.labels("sent").inc(len(data))
        self._transport.send(address, data)

    def receive(self, data: bytes, address: str) -> None:
        """Take a datagram of a peer."""
        self._metrics.control_bytes.labels("received").inc(len(data))
        try:
            message = decode_datagram(data)
            self._handle_message(message)
        except UnknownKindError as unknown:
            self._passed_over.note(unknown.header.kind, address, self._clock.monotonic())
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

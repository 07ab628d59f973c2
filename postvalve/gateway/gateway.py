"""One gateway process: constructs its parts, connects them, starts them and drains them."""

from __future__ import annotations

import json
import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import betterproto
import gevent
from gevent.event import Event as GeventEvent

from postvalve.clock import Clock, milliseconds
from postvalve.core.admission.connection_share import idle_connection_limit
from postvalve.core.admission.part_quarantine import PartQuarantine
from postvalve.core.admission.quarantine import Quarantine
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.extensions import Extension, Extensions
from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.peers import PeerView
from postvalve.core.membership.zone_digest import ZoneDigest
from postvalve.core.routing.route_table import RouteTable
from postvalve.core.routing.version_history import VersionHistory
from postvalve.core.serving.client_buffer import MemoryBudget
from postvalve.events import Event, EventLog
from postvalve.gateway.engines.engine_connections import ConnectionPool
from postvalve.gateway.engines.engine_crashes import EngineCrashes
from postvalve.gateway.engines.quarantine_services import QuarantineServices
from postvalve.gateway.engines.run_watch import EngineReports
from postvalve.gateway.fleet.directory_reader import DirectoryParser, DirectoryReader
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.fleet.feature_status import FeatureStatus
from postvalve.gateway.fleet.load_reports import MAX_REPORTED_SILENCE, LoadReports
from postvalve.gateway.fleet.node_directory import NodeDirectory
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.gateway.fleet.quarantine_gossip import QuarantineGossip
from postvalve.gateway.fleet.stream_versions import StreamVersions
from postvalve.gateway.fleet.version_records import VersionRecords
from postvalve.gateway.interfaces import Dialect, GatewaySettings, KeyedTopics
from postvalve.gateway.jobs.end_writer import EndWriter
from postvalve.gateway.jobs.item_progress import ProgressLog
from postvalve.gateway.jobs.item_runner import ItemRunner
from postvalve.gateway.jobs.job_claims import JobClaims
from postvalve.gateway.jobs.job_cleanup import JobCleanup
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.job_service import JobService
from postvalve.gateway.knowledge.configuration import ConfigurationHolder, Parser
from postvalve.gateway.knowledge.proofs import Proofs
from postvalve.gateway.knowledge.relayed_topics import RelayedTopics, RelayServer
from postvalve.gateway.knowledge.revision_fetch import RevisionFetcher
from postvalve.gateway.knowledge.state_age import StateAge
from postvalve.gateway.knowledge.topic_follower import TopicFollower
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.gateway.serving.admission_queue import AdmissionQueue
from postvalve.gateway.serving.application import GatewayApplication
from postvalve.gateway.serving.arrivals import Arrivals
from postvalve.gateway.serving.caller_accounts import CallerAccounts
from postvalve.gateway.serving.fair_shares import FairShares
from postvalve.gateway.serving.http_calls import JobCalls
from postvalve.gateway.serving.http_server import GatewayServer, plain_server
from postvalve.gateway.serving.read_ahead import SlowClients
from postvalve.gateway.serving.routed_run import RunServices
from postvalve.gateway.serving.tenant_credit import TenantCredit
from postvalve.gateway.serving.zone_queue import SharedZoneQueue
from postvalve.gateway.status import engine_rows, job_rows, part_rows, peer_rows, quarantine_rows
from postvalve.messages.generated import gateway
from postvalve.node.transport import NetworkTransport
from postvalve.settings.routes import RouteSpec, ServiceSpec

CONFIGURATION_WAIT = 1.0
"""Seconds that a read of the operators' topic waits for new records. A store path that stops
answering is noticed that much later, and on the smallest deployments a revision must be in force
everywhere within 2 s."""
CONFIGURATION_PAUSE = 0.05
HOUSEKEEPING_INTERVAL = 1.0
STATUS_PATH = "/status"
"""Path of the status document on the metrics server."""
DRAIN_POLL_INTERVAL = 0.05
DRAIN_RESERVE = 0.8
"""Seconds before the process is killed at which a drain stops waiting for requests under way."""
JOBS_START_DELAY = 2.0
"""Seconds that the reader of the jobs topic waits for configuration and engines. When all nodes
start together its records fill the store's links, and online requests need none of them."""
IDLE_FACTOR = 2.0
"""Factor by which idle connections are kept open longer than clients may reuse them."""


@dataclass(frozen=True, slots=True)
class GatewayPlatform:
    """What a platform adapter provides."""

    topics: KeyedTopics
    dialect: Dialect
    job_calls: Callable[[JobService], JobCalls]
    configuration_topic: str
    configuration_key: str
    parse_configuration: Parser
    directory_topic: str
    parse_engine: DirectoryParser
    status_time: float
    """Seconds for which a job stays readable after its submission."""


def short_id() -> str:
    """Return a random id of 16 hex digits."""
    return uuid.uuid4().hex[:16]


class Gateway:
    """The parts of a gateway process, and its start and drain."""

    def __init__(
        self, settings: GatewaySettings, platform: GatewayPlatform, clock: Clock, events: EventLog
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._events = events
        self._stopped = GeventEvent()
        self._draining = False
        self._drain_signal = GeventEvent()
        self._usable = GeventEvent()
        """Set once there are a configuration and engines."""
        self._greenlets: list[gevent.Greenlet] = []
        generator = random.Random()
        self._identity = gateway.NodeStarted(
            node_id=settings.node_id,
            incarnation=milliseconds(clock.wall()),
            peer_address=settings.peer_listen,
            zone=settings.zone,
        )
        self._metrics = GatewayMetrics()
        self._pool = ConnectionPool(clock, settings.answer_limits)
        self._pool.on_oversized = lambda part: self._metrics.oversized_answers.labels(part).inc()
        self._fleet = EngineFleet(settings.zone, clock, events, self._pool, generator)
        self.peers = PeerView(settings.node_id)
        self._feature_status = FeatureStatus(self.peers, clock, events)
        self._transport = NetworkTransport(settings.peer_listen, events)
        self.configuration = ConfigurationHolder(
            platform.configuration_key, platform.parse_configuration, events
        )
        self._revisions = RevisionFetcher(self.configuration, self._transport, events)
        self._relay = RelayServer(platform.topics)
        topics = RelayedTopics(
            platform.topics,
            settings.zone,
            clock,
            events,
            self._transport,
            self.peers,
            self._metrics,
        )
        self._topics = topics
        self._nodes = NodeDirectory(self._identity, topics, events)
        self._log = JobLog(settings, topics, clock, events)
        self._jobs = JobService(settings, self._identity, clock, events, self._log, short_id)
        peer_services = PeerServices(
            self._identity,
            clock,
            events,
            self._transport,
            self._fleet,
            self.peers,
            self._nodes.addresses,
            generator,
        )
        self._reports = LoadReports(peer_services)
        self._quarantine = Quarantine(f"{settings.node_id} {self._identity.incarnation}")
        self._part_quarantine = PartQuarantine(f"{settings.node_id} {self._identity.incarnation}")
        self._quarantine_gossip = QuarantineGossip(
            peer_services, topics, self._quarantine, self._part_quarantine
        )
        quarantine = QuarantineServices(
            clock,
            events,
            self._quarantine,
            self._part_quarantine,
            EngineCrashes(clock, self._pool, self._fleet.ready_address),
        )
        history = VersionHistory(clock.monotonic())
        self._proofs = Proofs(
            clock,
            lambda: self.peers.count() + 1,
            {
                "directory": lambda: self._directory.follower,
                "configuration": lambda: self._configuration_follower,
                "jobs": lambda: self._log.follower,
            },
        )
        self._fleet.read_directory = self._proofs["directory"].wait
        self._log.await_current = self._proofs["jobs"].wait
        self._stream_versions = StreamVersions(peer_services, history, self._proofs["directory"])
        self._version_records = VersionRecords(peer_services, topics, history)
        self._ends = EndWriter(self._log, events, settings.call_bytes, short_id)
        self._progress = ProgressLog(
            settings.node_id,
            settings.body_partitions,
            settings.call_bytes,
            topics,
            clock,
            events,
            short_id,
        )
        self._cleanup = JobCleanup(
            clock, events, self._log, self._progress, self.peers, platform.status_time
        )
        self._claims = JobClaims(self._identity, clock, events, self._log, self.peers, short_id)
        self._runner = ItemRunner(
            self._identity,
            clock,
            events,
            self._log,
            self._jobs,
            self._fleet,
            self._pool,
            platform.dialect,
            self.peers,
            self._reports,
            self._ends,
            self._progress,
            self._metrics,
            self._route_named,
            quarantine,
        )
        self._shares = FairShares(lambda: self.configuration.table)
        self._limits = TenantCredit(
            peer_services,
            lambda: self.configuration.revision,
            settings.limit_bounds,
            self._shares,
        )
        self._accounts = CallerAccounts(clock, events)
        self._runner.ends.accounts = self._accounts.accounts
        self._metrics.register_tenants(self._accounts.rows)
        admission_queue = AdmissionQueue(clock, events, self._fleet, generator, self._metrics)
        admission_queue.holders = self._accounts.holders
        admission_queue.nodes = lambda: self.peers.count() + 1
        admission_queue.on_started = self._shares.clock.record_served
        self._shares.first_waiting = admission_queue.first_waiting
        self._admission_queue = admission_queue
        self._zone_queue = admission_queue.zone_queue = SharedZoneQueue(peer_services)
        engine_reports = EngineReports(clock, events, self._pool, platform.dialect)
        self._runner.ask_silent_engines(engine_reports)
        budget = MemoryBudget(settings.slow_client_bytes)
        self._arrivals = Arrivals(clock)
        self.slow_clients = SlowClients(budget, clock, events, self._metrics)
        self.application = GatewayApplication(
            RunServices(
                clock,
                events,
                self._fleet,
                self._pool,
                platform.dialect,
                self._metrics,
                admission_queue,
                quarantine,
                self._limits,
                self._stream_versions,
                engine_reports,
            ),
            platform.job_calls(self._jobs),
            lambda: self.configuration.table,
            self._usable,
            generator,
            self._accounts,
            self.slow_clients,
            self._arrivals,
        )
        self._server = GatewayServer(settings.listen, self.application)
        self._ready_server = plain_server(settings.ready_listen, self._readiness)
        self._metrics_server = (
            plain_server(settings.metrics_listen, self._metrics_response)
            if settings.metrics_listen
            else None
        )
        self._configuration_follower = TopicFollower(
            topics, clock, events, platform.configuration_topic,
            self.configuration.observe, wait=CONFIGURATION_WAIT, pause=CONFIGURATION_PAUSE,
        )  # fmt: skip
        self._directory = DirectoryReader(
            topics, platform.directory_topic, platform.parse_engine, self._fleet, clock, events
        )
        self._connect_parts()

    def _connect_parts(self) -> None:
        self.configuration.add_listener(self._configuration_changed)
        self._fleet.find_service = self._service_named
        self._fleet.pause_aim = self._pause_aim
        self._claims.all_zones_known = self._reports.zones.all_zones_known
        self._claims.nodes_known_at = lambda: self._limits.limits.known_at
        self._reports.revision = lambda: self.configuration.revision
        self._reports.log_silence = self._log.silence
        self._reports.on_report = self._peer_reported
        self._reports.zones.on_digest = self._zone_reported
        self._reports.store_failing = lambda: self._topics.failing
        self._reports.directory = self._directory.state
        self._reports.on_refresh = self._refresh
        self._reports.on_queue_state = self._zone_queue.receive_state
        self._reports.on_queue_grant = self._zone_queue.receive_grant
        self._zone_queue.own_report = self._reports.next_report
        self._zone_queue.on_granted = self._admission_queue.reevaluate
        self._reports.extensions[Extension.SHARE_CLOCK] = self._shares.pack
        self._reports.extensions[Extension.UNSYNCED_NODES] = self._limits.pack_unsynced
        self._reports.enable_pace_reports()
        self._reports.on_quarantine_update = self._quarantine_gossip.receive
        self._reports.on_origins = self._stream_versions.receive
        self._quarantine_gossip.on_learned = self._update_usable
        self._topics.on_change = self._reports.schedule_report
        self._topics.on_answered = self._store_answered
        self._transport.gather_time = self._reports.gather_time
        self._nodes.on_change = self._nodes_changed
        self._fleet.on_overload = self._engine_overloaded
        self._fleet.on_placed = self._reports.watch.record_placed
        self._fleet.awaits_record = self._version_records.awaits_record
        self._version_records.on_change = self._engines_usable
        self._fleet.watched = self._reports.watch.watched
        self._directory.on_change = self._directory_changed
        self._directory.on_listed = self._stream_versions.observe_entry
        self._directory.on_snapshot = self._stream_versions.observe_snapshot
        self.application.state_age = self._state_age
        self.application.await_configuration = self._proofs["configuration"].wait
        self.application.key_policy = self._settings.key_policy

    def _refresh(self) -> None:
        self._directory.update_age()
        known_at = self._clock.monotonic() - self._fleet.directory_age()
        self._quarantine.confirm_alive(self._fleet.is_listed, known_at)
        self._quarantine_gossip.check_connectivity()
        self._limits.update_view()
        self._stream_versions.refresh()
        self._feature_status.update()

    def _nodes_changed(self) -> None:
        self._events.emit(
            Event.NODES_READ, nodes=len(self._nodes.addresses() or {}), tries=self._nodes.tries
        )
        self._limits.update_view()
        self._reports.refresh_targets()
        self._quarantine_gossip.on_peers_known()

    def _state_age(self) -> StateAge:
        return StateAge(
            self._fleet.directory_age(),
            self.configuration.revision,
            self._configuration_follower.age,
            self.configuration.source,
            self._revisions.greatest_reported,
        )

    def _engine_overloaded(self, life: EngineLife) -> None:
        self._runner.wake()
        self._reports.watch.preempt_remote(life)

    @property
    def ready(self) -> bool:
        """Whether the platform should send clients to this node."""
        return not self._draining and self._can_serve and self._can_limit

    @property
    def _can_limit(self) -> bool:
        """Whether this node can tell what tenants may send, or none has a limit.

        Other nodes may serve clients that this one would refuse.
        """
        table = self.configuration.table
        return self._limits.knows_fleet or table is None or not table.has_tenant_limits

    @property
    def _can_serve(self) -> bool:
        """Whether there are a configuration and engines, and the quarantine state was loaded."""
        listed = self.configuration.table is not None and bool(self._fleet.listed_engines())
        return listed and self._quarantine_gossip.learned.is_set()

    def start(self) -> None:
        """Start all servers and background tasks."""
        self._transport.serve(self._serve_peer, self._reports.receive)
        self._server.start()
        self._ready_server.start()
        if self._metrics_server is not None:
            self._metrics_server.start()
        for task in (
            self._configuration_follower.run,
            self._directory.run,
            self._reports.run,
            self._reports.zones.run,
            self._runner.run,
            self._ends.run,
            self._claims.run,
            self._progress.run,
            self._runner.expire_items,
            self._runner.waiting.run,
            self._runner.reconciliation.run,
            self._fleet.paces.watch_stalls,
            self._arrivals.watch,
            self._nodes.announce,
            self._quarantine_gossip.learn,
            self._quarantine_gossip.run,
            self._stream_versions.run,
            self._stream_versions.run_proofs,
            self._version_records.run,
            self._follow_jobs,
            self._housekeeping,
            self._cleanup.purge_jobs,
            self._cleanup.sweep_progress,
            self._await_drain,
        ):
            self._spawn(task)
        self._events.emit(
            Event.NODE_STARTED,
            listen=self._settings.listen,
            incarnation=self._identity.incarnation,
        )

    def _spawn(self, task: Callable[[], None]) -> None:
        self._greenlets.append(gevent.spawn(self._supervise, task))

    def kill(self) -> None:
        """Stop at once, without notice to peers or clients; for tests of how they react."""
        gevent.killall(self._greenlets, block=False)
        self._transport.stop()
        self._server.stop(0.0)
        self._ready_server.stop(0.0)
        self.application.abandon()
        self._runner.abandon()

    def _supervise(self, task: Callable[[], None]) -> None:
        while True:
            try:
                task()
                return
            except (Exception, gevent.Timeout) as error:  # a task is restarted after any error
                self._events.emit(
                    Event.BACKGROUND_TASK_FAILED, task=task.__qualname__, error=repr(error)
                )
                gevent.sleep(HOUSEKEEPING_INTERVAL)

    def wait(self) -> None:
        """Block until the process may exit."""
        self._stopped.wait()

    # Status and metrics

    def _readiness(self, path: str) -> tuple[str, bytes]:
        return ("200 OK", b"ready\n") if self.ready else ("503 Service Unavailable", b"not ready\n")

    def status_document(self) -> dict[str, Any]:
        """Return what this node knows of the fleet."""
        return {
            "node_id": self._settings.node_id,
            "zone": self._settings.zone,
            "draining": self._draining,
            "ready": self.ready,
            "configuration_revision": self.configuration.revision,
            "knowledge": self._state_age().fields(),
            "proofs_lacking": {
                name: round(seconds, 2) for name, seconds in self._proofs.lacking().items()
            },
            "store": "by a peer" if self._topics.failing else "own",
            "store_away": self._directory.store_unreachable,
            "store_silence": round(min(MAX_REPORTED_SILENCE, self._log.silence()), 2),
            "nodes": peer_rows(self.peers, self._clock.monotonic()),
            "engines": engine_rows(self._fleet, self._clock.monotonic()),
            "jobs": job_rows(self._log.board),
            "quarantine": quarantine_rows(self._quarantine, self._clock.monotonic()),
            "prompt_parts": part_rows(self._part_quarantine, self._clock.monotonic()),
            "limits": self._limits.fields(),
            "tenants": self._accounts.documents(),
            "waiting": self._admission_queue.rows(),
            "items_waiting": self._runner.waiting.rows(),
            "builds": self._feature_status.fields(),
            "line": self._shares.fields() | self._zone_queue.fields(),
            "readers": self.slow_clients.rows(),
            "streams": self._stream_versions.fields(),
        }

    def _metrics_response(self, path: str) -> tuple[str, bytes]:
        if path == STATUS_PATH:
            return "200 OK", json.dumps(self.status_document()).encode()
        return self._exposition(path)

    def _exposition(self, path: str) -> tuple[str, bytes]:
        state_age = self._state_age()
        self._metrics.directory_age.set(state_age.directory_age)
        self._metrics.revision_age.set(state_age.revision_age)
        for name, seconds in self._proofs.lacking().items():
            self._metrics.proof_lacking.labels(name).set(seconds)
        self._metrics.connections.set(self._pool.opened)
        self._metrics.quarantined.set(len(self._quarantine))
        self._metrics.held_bytes.set(self.slow_clients.budget.held)
        self._metrics.lagging.set(len(self.slow_clients))
        self._metrics.dropped_log_lines.set(self._events.dropped)
        return "200 OK", self._metrics.exposition()

    def _serve_peer(self, message: betterproto.Message) -> betterproto.Message:
        if isinstance(message, gateway.RevisionFetch):
            return self._revisions.reply()
        if isinstance(message, gateway.QuarantineFetch):
            return self._quarantine_gossip.reply()
        if isinstance(message, gateway.CreditAsk):
            return self._limits.reply(message)
        if isinstance(message, gateway.OriginAsk):
            return self._stream_versions.reply(message)
        return self._relay.serve(message)

    # Changes read from the store

    def _store_answered(self) -> None:
        followers = (self._configuration_follower, self._directory.follower, self._log.follower)
        for follower in followers:
            follower.record_answer_elsewhere()

    def _directory_changed(self) -> None:
        self._stream_versions.observe_directory()
        self._version_records.observe_directory()
        self._update_usable()
        self._runner.wake()

    def _engines_usable(self) -> None:
        self._admission_queue.reevaluate()
        self._runner.wake()

    def _configuration_changed(self, table: RouteTable) -> None:
        idle = table.configuration.limits.idle_timeout * IDLE_FACTOR
        self._server.set_idle_timeout(max(60.0, idle))
        self._runner.urgency.configure(table)
        self._server.set_header_timeout(table.configuration.limits.header_timeout)
        self._update_usable()
        self._reports.schedule_report()

    def _update_usable(self) -> None:
        if self._can_serve:
            self._usable.set()

    def _route_named(self, name: str) -> RouteSpec | None:
        table = self.configuration.table
        return table.route_named(name) if table else None

    def _service_named(self, name: str) -> ServiceSpec | None:
        table = self.configuration.table
        return table.service(name) if table else None

    def _pause_aim(self, service: str) -> float | None:
        table = self.configuration.table
        return table.pause_aim(service) if table else None

    def _follow_jobs(self) -> None:
        self._usable.wait(JOBS_START_DELAY)
        self._log.follower.run()

    # Reports of peers

    def _receive_shares(self, sender: str, parts: Extensions) -> None:
        update = self._shares.receive(parts.get(Extension.SHARE_CLOCK, b""))
        if update is not None:
            self._admission_queue.peer_queue_heads.update(sender, update)

    def _peer_reported(self, report: LoadReport) -> None:
        self._receive_shares(report.node_id, report.extensions)
        self._zone_queue.receive_report(report)
        self._revisions.consider(report.revision, report.node_id, report.peer_address)
        if report.directory is not None:
            self._directory.receive(report.directory, report.node_id)
        self._runner.on_peer_update()

    def _zone_reported(self, digest: ZoneDigest) -> None:
        self._receive_shares(digest.key, digest.extensions)
        self._revisions.consider(digest.revision, digest.reporter, digest.peer_address)
        self._runner.on_peer_update()

    # Housekeeping

    def _housekeeping(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL)
            self._directory.log_if_stale()
            self._configuration_follower.log_if_stale()
            table = self.configuration.table
            services = table.configuration.services if table else ()
            bounds = (one.max_connections for one in services)
            self._pool.set_idle_limit(idle_connection_limit(bounds, self.peers.count() + 1))
            self._pool.expire()
            self._accounts.log_summary()

    # Shutdown

    def request_drain(self) -> None:
        """Start a drain; may be called from a signal handler."""
        self._drain_signal.set()

    def _await_drain(self) -> None:
        self._drain_signal.wait()
        started = self._clock.monotonic()
        self._draining = True
        self.application.draining = True
        self._runner.draining = True
        self._claims.draining = True
        self._cleanup.draining = True
        self._reports.leaving = True
        self._limits.leaving = True
        self._zone_queue.leaving = True
        gevent.spawn(self._progress.save)
        self._reports.schedule_report()
        self._events.emit(
            Event.DRAIN_STARTED,
            requests=self.application.in_progress,
            items=self._runner.in_progress,
        )
        gevent.sleep(self._settings.drain_notice)
        # Clients have been told to use another node. A request that still arrives might be
        # truncated by the exit of the process.
        self.application.refusing = True
        self._server.close_listener()
        self._server.close_idle()
        finished = self._wait_until_idle(started + self._settings.grace - DRAIN_RESERVE)
        self._events.emit(Event.DRAIN_FINISHED if finished else Event.DRAIN_TIMED_OUT)
        self._stopped.set()

    def _wait_until_idle(self, latest: float) -> bool:
        while self._clock.monotonic() < latest:
            if not self.application.in_progress + self._runner.in_progress:
                return True
            gevent.sleep(DRAIN_POLL_INTERVAL)
        return False

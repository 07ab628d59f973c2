"""One node: creates, starts and drains its services."""

from __future__ import annotations

from typing import Any

import betterproto
import gevent
from gevent.event import Event as GeventEvent

from postvalve.core.configuration.resolution import compiled_selector
from postvalve.core.membership.view import MembershipView
from postvalve.events import Event
from postvalve.messages.generated import peer
from postvalve.node.background import BackgroundTasks
from postvalve.node.batch.file_store import FileStore
from postvalve.node.batch.holder import BatchHolder
from postvalve.node.batch.job_store import JobStore
from postvalve.node.batch.runner import BatchRunner
from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.context import NodeContext
from postvalve.node.engine_registry import EngineRegistry
from postvalve.node.http.application import NodeApplication
from postvalve.node.http.batches import BatchesEndpoint
from postvalve.node.http.chat import ChatEndpoint
from postvalve.node.http.files import FilesEndpoint, result_line
from postvalve.node.http.operations import OperationsEndpoint
from postvalve.node.keyed_requests import KeyedRequests
from postvalve.node.membership_service import MembershipService
from postvalve.node.online.dispatcher import OnlineDispatcher
from postvalve.node.placement_service import PlacementService
from postvalve.settings.fleet import FleetConfiguration

DRAIN_CHECK_INTERVAL = 0.05
"""Seconds between checks whether work is still in progress."""
DRAIN_GRACE_TIME = 0.2
"""Seconds for which a drained node still responds, so that peers and callers learn of it."""


class Node:
    """All services of one node."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._tasks = BackgroundTasks(self._events)
        self._stopped = GeventEvent()
        self._draining = False
        self._membership = MembershipService(context)
        self._configuration = ConfigurationService(context, self._membership)
        self._registry = EngineRegistry(context, self._membership, self._configuration)
        self._placement = PlacementService(context, self._configuration, self._registry)
        self._files = FileStore(context)
        self._jobs = JobStore(context.log, context.writer, self._clock, self._settings.shards)
        self._holder = BatchHolder(context, self._membership, self._jobs)
        self._runner = BatchRunner(context, self._membership, self._registry, self._holder)
        self._dispatcher = OnlineDispatcher(
            context, self._configuration, self._membership, self._registry
        )
        self.application = self._build_application()
        self._membership.set_providers(self._summary, lambda: self._configuration.revision)
        self._configuration.add_listener(self._apply_drains)

    def _build_application(self) -> NodeApplication:
        context = self._context
        return NodeApplication(
            context,
            self._configuration,
            self,
            ChatEndpoint(
                context,
                self._configuration,
                self._dispatcher,
                KeyedRequests(context, self._dispatcher),
            ),
            FilesEndpoint(self._settings.http, self._files, self._jobs),
            BatchesEndpoint(context, self._configuration, self._files, self._jobs),
            OperationsEndpoint(self, self._configuration, context.metrics),
        )

    @property
    def draining(self) -> bool:
        """Whether the node is draining and accepts no new work."""
        return self._draining

    @property
    def membership_view(self) -> MembershipView:
        """This node's view of the membership of the fleet."""
        return self._membership.view

    @property
    def batch_in_progress(self) -> int:
        """Number of batch items that this node runs, has paused or has yet to report."""
        return self._runner.in_progress

    @property
    def ready(self) -> bool:
        """Whether the node has a configuration and can serve callers."""
        return self._configuration.ready

    def start(self) -> None:
        """Start all services except the HTTP server."""
        self._context.transport.serve(self._serve_peer, self._membership.receive)
        self._membership.start(self._tasks)
        self._configuration.start(self._tasks)
        self._registry.start(self._tasks)
        self._placement.start(self._tasks)
        self._holder.start(self._tasks)
        self._runner.start(self._tasks)
        self._events.emit(Event.NODE_STARTED, listen=self._settings.listen)

    def wait(self) -> None:
        """Block until the node has been drained and stopped."""
        self._stopped.wait()

    def drain(self) -> None:
        """Start to drain: stop taking work, finish work in progress, release shards, then stop."""
        if self._draining:
            return
        self._draining = True
        gevent.spawn(self._drain)

    def _drain(self) -> None:
        self._events.emit(Event.DRAIN_STARTED)
        self._membership.announce_leaving()
        self._runner.drain()
        is_idle = self._wait_until_idle(self._settings.timing.drain_timeout)
        self._holder.leases.release_all()
        self._membership.announce_leaving()
        gevent.sleep(DRAIN_GRACE_TIME)
        self._events.emit(Event.DRAIN_FINISHED if is_idle else Event.DRAIN_TIMED_OUT)
        self._stop()

    def _wait_until_idle(self, timeout: float) -> bool:
        deadline = self._clock.monotonic() + timeout
        while self._clock.monotonic() < deadline:
            if not self._work_in_progress():
                return True
            gevent.sleep(DRAIN_CHECK_INTERVAL)
        return False

    def _work_in_progress(self) -> int:
        return (
            self._dispatcher.in_progress + self._runner.in_progress + self._holder.committer.pending
        )

    def _stop(self) -> None:
        self._tasks.stop()
        self._context.transport.stop()
        self._stopped.set()

    def _apply_drains(self, configuration: FleetConfiguration) -> None:
        labels = {
            **self._settings.labels,
            "zone": self._settings.zone,
            "region": self._settings.region,
            "kind": "node",
        }
        for drain in configuration.drains:
            if compiled_selector(drain.machines).matches(labels):
                self.drain()

    def _summary(self) -> peer.NodeSummary:
        waiting = self._holder.waiting_by_model()
        for model, items in waiting.items():
            self._context.metrics.items_waiting.labels(model).set(items)
        return peer.NodeSummary(
            engines=self._registry.summaries(),
            shards=self._holder.leases.held_shards(),
            pending=[
                peer.PendingBatch(model=model, items=items)
                for model, items in sorted(waiting.items())
            ],
        )

    def _serve_peer(self, message: betterproto.Message) -> betterproto.Message:
        if isinstance(message, peer.AdmissionRequest):
            return self._registry.admit_online(message)
        if isinstance(message, peer.AdmissionRelease):
            self._registry.release(message.engine_id, message.attempt_id)
            return peer.Acknowledgement()
        if isinstance(message, peer.ItemPull):
            return peer.ItemPullReply(items=self._holder.pull(message))
        if isinstance(message, peer.ItemReport):
            return self._holder.report(message)
        if isinstance(message, peer.JobCancelNotice):
            self._runner.cancel_job(message.job_id)
            return peer.Acknowledgement()
        if isinstance(message, peer.ConfigurationFetch):
            return self._configuration.handle_fetch()
        raise TypeError(f"unexpected peer request: {type(message).__name__}")

    def result_lines(self, job_id: str) -> list[bytes]:
        """Return the results of a job so far as lines of its output file."""
        return [result_line(result) for result in self._jobs.results(job_id)]

    def status_document(self) -> dict[str, Any]:
        """See `StatusSource`."""
        return {
            "node_id": self._settings.node_id,
            "zone": self._settings.zone,
            "draining": self._draining,
            "configuration_revision": self._configuration.revision,
            "online_in_progress": self._dispatcher.in_progress,
            "batch_in_progress": self._runner.in_progress,
            "shards": self._holder.leases.held_shards(),
            "nodes": [
                {
                    "node_id": member.node_id,
                    "zone": member.zone,
                    "state": member.state.value,
                    "configuration_revision": member.configuration_revision,
                    "engines": [
                        {
                            "engine_id": engine.engine_id,
                            "online": engine.in_flight_online,
                            "batch": engine.in_flight_batch,
                            "slots": engine.slots,
                            "models": engine.models,
                        }
                        for engine in member.summary.engines
                    ],
                }
                for member in self._membership.view.members()
            ],
        }

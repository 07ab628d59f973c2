"""Numbered log events. docs/EVENTS.md holds the same catalogue; a test keeps them alike."""

from __future__ import annotations

import enum
import logging
import sys
from typing import Any, TextIO, cast

import structlog

from postvalve.log_output import LineBudget, NonBlockingLineWriter

TextOutput = TextIO | NonBlockingLineWriter


class Event(enum.Enum):
    """Number, level and name of each event."""

    NODE_STARTED = (100, "info", "node started")
    NODE_READY = (101, "info", "node ready")
    DRAIN_STARTED = (102, "info", "drain started")
    DRAIN_FINISHED = (103, "info", "drain finished")
    DRAIN_TIMED_OUT = (104, "error", "drain timed out with work in progress")
    BACKGROUND_TASK_FAILED = (105, "error", "background task failed and goes on")
    SETTINGS_CHANGED = (106, "info", "settings file changed; a process keeps those it started with")
    REQUEST_FAILED = (200, "warning", "request failed")
    REQUEST_ERROR = (201, "error", "request hit an unexpected error")
    ATTEMPT_FAILED = (202, "warning", "attempt at an engine failed")
    STREAM_RESUMED = (203, "info", "stream resumed at another engine")
    STREAM_ENDED_EARLY = (204, "warning", "stream ended with an error")
    NO_ENGINE_ADMITTED = (205, "warning", "no owner gave a slot for an online request")
    ROUTED_ATTEMPT_FAILED = (210, "warning", "attempt of a routed request failed")
    ROUTED_STREAM_RESUMED = (211, "info", "routed stream goes on at another engine")
    ROUTED_STREAM_CUT = (212, "warning", "routed stream ended without its end")
    ROUTED_REQUEST_FAILED = (213, "warning", "routed request answered with a failure")
    ROUTED_REQUEST_SLOW = (214, "info", "first event of a routed stream came late")
    ROUTED_REQUEST_HELD = (215, "info", "online request waits at the node for room")
    ROUTED_REQUEST_RELEASED = (216, "info", "online request that waited goes on")
    ROUTED_REQUEST_TURNED_AWAY = (217, "info", "online request refused, not run: no room in time")
    ROUTED_REQUEST_WAITED = (218, "info", "online request waited for an engine to be listed")
    ENGINE_ENDED_UNDER_REQUEST = (219, "warning", "engine ended under a request")
    REQUEST_QUARANTINED = (220, "warning", "request not run: engines ended under it before")
    QUARANTINED_REQUEST_TRIED = (221, "info", "doubtful request runs alone")
    QUARANTINE_CLEARED = (222, "info", "request cleared: an engine answered it")
    QUARANTINE_LEARNT = (223, "info", "told of a request under which engines ended")
    CALLER_UNKNOWN = (225, "info", "request not run: no valid API key")
    TENANT_OVER_LIMIT = (226, "info", "request not run: its tenant is over its limit")
    LIMIT_UNKNOWN = (227, "warning", "request not run: nobody told whether its tenant has credit")
    CREDIT_NOT_TOLD = (228, "info", "a peer did not tell whether a tenant has credit")
    LINE_SILENT = (240, "info", "the keeper of a line does not answer")
    LINE_ANSWERS = (241, "info", "the keeper of a line answers again")
    LINE_GRANTED = (242, "debug", "slots granted to requests that wait at a node")
    QUARANTINE_NOT_LEARNT = (224, "warning", "requests under which engines ended were not told")
    TENANTS_SERVED = (230, "info", "what tenants asked for and got lately")
    CLIENT_LAGS = (280, "info", "client reads slowly: its answer is read on ahead of it")
    SLOW_CLIENT_CUT = (281, "warning", "slow client given up: too much was held for it")
    BODY_TOO_SLOW = (282, "info", "request not run: its body came too slowly")
    ENGINE_LOAD_UNREADABLE = (320, "warning", "engine tells a load that cannot be read")
    ENGINE_DIFFERS = (321, "info", "engine is faster or slower than the others of its service")
    ENGINE_DIFFERS_NO_MORE = (322, "info", "engine is like the others of its service again")
    PLACED_BY_PACE = (323, "info", "engines among which a late request was placed")
    CONFIGURATION_IN_FORCE = (300, "info", "configuration revision in force")
    CONFIGURATION_UNREADABLE = (301, "error", "accepted configuration cannot be read")
    CONFIGURATION_FROM_PEER = (302, "info", "configuration revision taken from a peer")
    CONFIGURATION_CONFLICT = (303, "info", "configuration change lost the race")
    REVISION_NOT_FETCHED = (304, "warning", "newer configuration was not got from a peer")
    NODE_STATE_CHANGED = (400, "info", "node state changed")
    PEER_MESSAGE_INVALID = (401, "warning", "peer sent an invalid message")
    MACHINE_LIST_UNAVAILABLE = (402, "warning", "machine list unavailable")
    ENGINE_OWNED = (403, "info", "engine owned by this node")
    ENGINE_DISOWNED = (404, "info", "engine no longer owned by this node")
    PEER_UNREACHABLE = (406, "warning", "datagram could not be sent to a peer")
    ENGINE_UNREACHABLE = (405, "warning", "engine unreachable")
    ENGINE_ORDERED = (407, "info", "order sent to an engine")
    ENGINE_ORDER_FAILED = (408, "warning", "order to an engine failed and is planned anew")
    ENGINE_LISTED = (410, "info", "engine listed, or its state changed")
    ENGINE_GONE = (411, "info", "engine left the directory")
    ENGINE_SUSPECT = (412, "warning", "engine avoided for a while after a failure")
    ENGINE_REPLACED = (413, "warning", "another engine lives at the address")
    PEER_SILENT = (414, "info", "peer not heard any more")
    PEER_HEARD = (415, "info", "peer heard")
    ZONE_HEARD = (416, "info", "zone heard by its digest")
    ZONE_SILENT = (417, "info", "zone not heard any more")
    ZONE_CHANGED = (418, "info", "nodes of a zone have changed")
    ZONE_REPORTED = (419, "info", "this node tells other zones of its own, or does so no more")
    ENGINES_LAPSED = (420, "info", "engines missing since the store's return, kept for a moment")
    ENGINE_UNREADABLE = (421, "error", "entry of the engines' directory cannot be read")
    ENGINE_FORMER_LIFE = (422, "info", "late entry of an engine's former life passed over")
    SHARD_LEASED = (500, "info", "shard leased by this node")
    SHARD_LOST = (501, "warning", "shard no longer leased by this node")
    JOB_LOADED = (502, "info", "job loaded by its holder")
    JOB_ENDED = (503, "info", "job ended")
    ITEM_PREEMPTED = (504, "debug", "batch item gave way to online work")
    ITEM_RECOVERED = (505, "warning", "item taken back from a dead owner")
    ITEM_MAY_HAVE_RUN = (506, "warning", "at-most-once item ended as may have run")
    ITEM_GIVEN_UP = (507, "error", "item ended as failed after many engine failures")
    ROUTED_JOB_ACCEPTED = (510, "info", "batch job accepted")
    ROUTED_JOB_REFUSED = (511, "warning", "batch job refused")
    ROUTED_JOB_UNDECIDED = (512, "warning", "batch job's acceptance is not known")
    ROUTED_JOB_CLAIMED = (513, "info", "batch job taken over")
    ROUTED_JOB_LOST = (514, "info", "batch job is worked on elsewhere")
    ROUTED_ITEM_FAILED = (515, "warning", "attempt of a batch item failed")
    ROUTED_ITEM_ENDED = (516, "info", "batch item ended")
    ROUTED_ITEM_PREEMPTED = (517, "info", "batch item gave way")
    ITEM_TOLD_TO_GIVE_WAY = (521, "info", "batch item of a node told to give way")
    ITEM_STARTED = (525, "info", "batch item started")
    ITEM_ORDER = (526, "info", "order of batch items has changed")
    ROUTED_JOB_ENDED = (518, "info", "batch job ended")
    ROUTED_JOBS_PURGED = (519, "info", "old batch jobs dropped from the store")
    ROUTED_JOB_RESTORED = (
        520,
        "info",
        "saved progress of a batch job that was taken over was read",
    )
    LOG_UNAVAILABLE = (600, "warning", "log unavailable")
    STORE_LOST = (610, "warning", "store does not answer")
    STORE_REGAINED = (611, "info", "store answers again")
    STORE_HISTORY_GONE = (612, "info", "history of a topic was dropped; newest records read")
    STORE_OUT_OF_REACH = (613, "warning", "store out of this node's reach; a peer is asked")
    STORE_REACHED = (614, "info", "store within this node's reach again")
    STORE_TOPIC_OLD = (615, "warning", "what is known of a topic is old")
    STORE_STILL_OUT_OF_REACH = (616, "info", "store still out of this node's reach")
    STORE_WAS_AWAY = (
        617,
        "warning",
        "no node that is heard could read the directory; it is read again",
    )
    DIRECTORY_BEHIND = (
        618,
        "warning",
        "a peer knew more of the engines; they were read beside the read under way",
    )
    LOG_RECORD_INVALID = (601, "error", "log record cannot be read")
    FEATURES_CHANGED = (630, "info", "what takes all nodes is on or off")
    MESSAGES_NOT_KNOWN = (631, "info", "messages that only another build knows were passed over")

    @property
    def number(self) -> int:
        """Stable number."""
        return self.value[0]

    @property
    def level(self) -> str:
        """Log level."""
        return self.value[1]

    @property
    def text(self) -> str:
        """Short description."""
        return self.value[2]


class EventLog:
    """Writes events as JSON lines."""

    @property
    def dropped(self) -> int:
        """Lines that were not written."""
        return 0

    def __init__(self, node_id: str, zone: str) -> None:
        self._logger = structlog.get_logger().bind(node=node_id, zone=zone)

    def emit(self, event: Event, **fields: Any) -> None:
        """Write one event."""
        write = getattr(self._logger, event.level)
        write(event.text, number=event.number, **fields)


class BoundedEventLog(EventLog):
    """Writes all failures and a bounded number of other events, and never blocks.

    What was left out is told by the next line that is written, as `left_out`.
    """

    def __init__(
        self, node_id: str, zone: str, lines: NonBlockingLineWriter, budget: LineBudget
    ) -> None:
        super().__init__(node_id, zone)
        self._lines = lines
        self._budget = budget
        self._reported_dropped = 0

    @property
    def dropped(self) -> int:
        """See `EventLog`."""
        return self._budget.rejected + self._lines.dropped

    def emit(self, event: Event, **fields: Any) -> None:
        """See `EventLog`."""
        if event.level in ("debug", "info") and not self._budget.take():
            return
        if self.dropped > self._reported_dropped:
            fields["left_out"] = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
        super().emit(event, **fields)


def configure_logging(level: str, output: TextOutput = sys.stderr) -> None:
    """Send JSON lines of at least `level` to `output`."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, output)),
        cache_logger_on_first_use=True,
    )

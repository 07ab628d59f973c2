"""Requests engine slots from their owners for single attempts, and releases them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent

from postvalve.core.routing.router import EngineCandidate, Router
from postvalve.events import Event
from postvalve.exceptions import AttemptError, PeerUnavailableError, RefusedError, Verdict
from postvalve.messages.generated import peer
from postvalve.node.context import NodeContext
from postvalve.node.engine_registry import EngineRegistry
from postvalve.node.membership_service import MembershipService
from postvalve.node.online.request import OnlineRequest
from postvalve.node.peer_link import Channel
from postvalve.services.engine import EngineAttempt, EngineStream

_Outcome = peer.AdmissionOutcome

ADMISSION_TIMEOUT = 0.5
"""Seconds to wait for an owner's reply before another engine is tried."""
MAX_ADMISSION_CANDIDATES = 6
"""Maximum number of engines tried in one round."""
RETRY_ADMISSION_TIMEOUT = 1.5
"""Seconds to wait for the reply of a silent owner in a second try, if no other engine has room."""
MAX_RETRIED_OWNERS = 2
"""Maximum number of silent owners that are tried a second time."""
OWNER_CHANGE_DELAYS = (0.15, 0.3, 0.6)
"""Seconds before each further round, if every node asked replied that it is not the owner; nodes
learn of owners from heartbeats, which are sent each second."""
MAX_RELEASE_ATTEMPTS = 4
"""Attempts to release a slot at an owner that does not answer."""
OVERLOAD_RETRY_AFTER = 1.0
"""Minimum retry delay, in seconds, sent to a client when no engine has room."""
ONLINE_PRIORITY = 0
"""Priority of online attempts at engines; batch items have larger numbers, by rank."""


@dataclass(slots=True)
class Admission:
    """A slot at an engine, held for one attempt."""

    attempt_id: str
    candidate: EngineCandidate
    released: bool = False


@dataclass(slots=True)
class _AdmissionRound:
    """Replies of the owners in one round of admission requests."""

    has_candidates: bool = False
    """Whether any engine serves the model."""
    retry_after: float = OVERLOAD_RETRY_AFTER
    """Seconds after which the client may retry."""
    outcomes: dict[str, str] = field(default_factory=dict)
    """Outcome in the reply of the owner, by engine."""
    silent_candidates: list[EngineCandidate] = field(default_factory=list)
    """Engines whose owners did not answer."""

    def record_refusal(self, candidate: EngineCandidate, reply: peer.AdmissionReply | None) -> None:
        """Record that an owner granted no slot; `reply` is None if it did not answer."""
        if reply is not None:
            self.outcomes[candidate.engine_id] = _Outcome(reply.outcome).name
            self.retry_after = max(self.retry_after, reply.retry_after_ms / 1000)
        elif candidate not in self.silent_candidates:
            self.silent_candidates.append(candidate)

    @property
    def owner_changing(self) -> bool:
        """Whether every node asked replied that it is not the owner."""
        not_owner = _Outcome.ADMISSION_OUTCOME_NOT_OWNER.name
        return (
            bool(self.outcomes)
            and set(self.outcomes.values()) == {not_owner}
            and not self.silent_candidates
        )


class AdmissionClient:
    """Requests and releases slots at the engines of all owners, on behalf of a gateway."""

    def __init__(
        self, context: NodeContext, membership: MembershipService, registry: EngineRegistry
    ) -> None:
        self._node_id = context.settings.node_id
        self._clock = context.clock
        self._transport = context.transport
        self._new_id = context.new_id
        self._events = context.events
        self._membership = membership
        self._registry = registry
        self._router = Router(context.settings.zone, context.generator)

    def admit(self, request: OnlineRequest, failed_engines: set[str]) -> Admission:
        """Request a slot at the candidate engines, in order, until one is granted.

        Raises:
            RefusedError: if no engine has room, or none serves the model.
        """
        for delay in (*OWNER_CHANGE_DELAYS, None):
            candidates = self._candidates(request, failed_engines)
            round_ = _AdmissionRound(bool(candidates))
            admission = self._try_candidates(request, candidates, round_)
            if admission is not None:
                return admission
            is_last_round = delay is None or self._clock.monotonic() + delay >= request.deadline
            if is_last_round or not round_.owner_changing:
                break
            # The nodes disagree about the owner: none has refused, and their views converge soon.
            gevent.sleep(delay)
        self._events.emit(
            Event.NO_ENGINE_ADMITTED,
            request=request.request_id,
            owners=round_.outcomes,
            unanswered=[candidate.engine_id for candidate in round_.silent_candidates],
        )
        reason = (
            "every engine is busy" if round_.has_candidates else "no engine serves the model now"
        )
        raise RefusedError(reason, retry_after=round_.retry_after)

    def _candidates(
        self, request: OnlineRequest, failed_engines: set[str]
    ) -> Sequence[EngineCandidate]:
        """Return the engines to try, in order of preference."""
        find_candidates = self._registry.candidates
        candidates = find_candidates(request.tenant, request.model, failed_engines)
        if not candidates:
            # An engine at which an attempt of this request failed is better than none.
            candidates = find_candidates(request.tenant, request.model, ())
        return self._router.order(candidates, request.prefix_key)[:MAX_ADMISSION_CANDIDATES]

    def _try_candidates(
        self, request: OnlineRequest, candidates: Sequence[EngineCandidate], round_: _AdmissionRound
    ) -> Admission | None:
        for candidate in candidates:
            admission = self._request_slot(request, candidate, ADMISSION_TIMEOUT, round_)
            if admission is not None:
                return admission
        # A silent owner has not refused; its process may have been suspended for a moment.
        for candidate in round_.silent_candidates[:MAX_RETRIED_OWNERS]:
            remaining = request.deadline - self._clock.monotonic()
            admission = self._request_slot(
                request, candidate, min(RETRY_ADMISSION_TIMEOUT, remaining), round_
            )
            if admission is not None:
                return admission
        return None

    def _request_slot(
        self,
        request: OnlineRequest,
        candidate: EngineCandidate,
        timeout: float,
        round_: _AdmissionRound,
    ) -> Admission | None:
        admission = Admission(self._new_id(), candidate)
        reply = self._request_from_owner(request, admission, timeout)
        if reply is not None and reply.outcome == _Outcome.ADMISSION_OUTCOME_GRANTED:
            return admission
        round_.record_refusal(candidate, reply)
        return None

    def _request_from_owner(
        self, request: OnlineRequest, admission: Admission, timeout: float
    ) -> peer.AdmissionReply | None:
        """Request a slot from the engine's owner; returns None if it did not answer."""
        message = peer.AdmissionRequest(
            attempt_id=admission.attempt_id,
            engine_id=admission.candidate.engine_id,
            tenant=request.tenant.name,
            model=request.model,
            gateway_id=self._node_id,
        )
        if admission.candidate.owner_id == self._node_id:
            return self._registry.admit_online(message)
        try:
            reply = self._call_owner(admission, message, timeout)
        except PeerUnavailableError:
            # The slot may have been granted: release it, so that it does not leak.
            self.release(admission)
            return None
        assert isinstance(reply, peer.AdmissionReply)
        return reply

    def _call_owner(
        self,
        admission: Admission,
        message: peer.AdmissionRequest | peer.AdmissionRelease,
        timeout: float = ADMISSION_TIMEOUT,
    ) -> object:
        owner = self._membership.member(admission.candidate.owner_id)
        if owner is None:
            raise PeerUnavailableError("engine owner is not a known member", Verdict.NOT_RUN)
        return self._transport.call(owner.peer_address, Channel.ADMISSION, message, timeout)

    def release(self, admission: Admission) -> None:
        """Release a slot; a remote owner is notified in the background."""
        if admission.released:
            return
        admission.released = True
        candidate = admission.candidate
        if candidate.owner_id == self._node_id:
            self._registry.release(candidate.engine_id, admission.attempt_id)
        else:
            gevent.spawn(self._release_remote, admission)

    def _release_remote(self, admission: Admission) -> None:
        message = peer.AdmissionRelease(
            attempt_id=admission.attempt_id, engine_id=admission.candidate.engine_id
        )
        for attempt in range(MAX_RELEASE_ATTEMPTS):
            try:
                self._call_owner(admission, message)
                return
            except PeerUnavailableError:
                gevent.sleep(ADMISSION_TIMEOUT * 2**attempt)

    def open_stream(
        self, request: OnlineRequest, admission: Admission, resume_offset: int
    ) -> EngineStream:
        """Start an attempt at the engine of an admission, and return its stream.

        Raises:
            AttemptError: if the engine did not accept the attempt, with a verdict on whether it may
                have run.
        """
        machine = self._registry.machine(admission.candidate.engine_id)
        if machine is None:
            raise AttemptError("the engine left the machine list", Verdict.NOT_RUN)
        attempt = EngineAttempt(
            attempt_id=admission.attempt_id,
            request_id=request.request_id,
            body=request.body,
            priority=ONLINE_PRIORITY,
            cache_salt=request.cache_salt,
            resume_offset=resume_offset,
        )
        remaining = max(0.0, request.deadline - self._clock.monotonic())
        try:
            with gevent.Timeout(remaining):
                return self._registry.connection(machine).open(attempt, batch=False)
        except gevent.Timeout as error:
            raise AttemptError("the engine did not answer in time", Verdict.MAY_HAVE_RUN) from error

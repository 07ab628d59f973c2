"""Slots at engines: asked of their owners, used for one attempt, and given back."""

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
"""Seconds until an owner's answer is given up and another engine is asked."""
MAX_ADMISSION_CANDIDATES = 6
"""Owners asked before a request is refused."""
RETRY_ADMISSION_TIMEOUT = 1.5
"""Seconds for which an owner that did not answer is asked again, when no other has room."""
MAX_RETRIED_OWNERS = 2
"""Silent owners that are asked again."""
OWNER_CHANGE_DELAYS = (0.15, 0.3, 0.6)
"""Seconds between rounds in which all owners say that they are none; heartbeats tell of owners
each second."""
MAX_RELEASE_ATTEMPTS = 4
"""Times that a slot is given back to an owner that does not answer."""
OVERLOAD_RETRY_AFTER = 1.0
"""Seconds told to a caller when no engine has room."""
ONLINE_PRIORITY = 0
"""Priority of online attempts at engines; batch ranks follow."""


@dataclass(slots=True)
class Admission:
    """A slot at an engine, held for one attempt."""

    attempt_id: str
    candidate: EngineCandidate
    released: bool = False


@dataclass(slots=True)
class _AdmissionRound:
    """What the owners of one round have said."""

    has_candidates: bool = False
    """Whether there were engines to ask for."""
    retry_after: float = OVERLOAD_RETRY_AFTER
    outcomes: dict[str, str] = field(default_factory=dict)
    """What each owner that answered said, by engine."""
    silent_candidates: list[EngineCandidate] = field(default_factory=list)

    def record_refusal(self, candidate: EngineCandidate, reply: peer.AdmissionReply | None) -> None:
        """An owner gave no slot."""
        if reply is not None:
            self.outcomes[candidate.engine_id] = _Outcome(reply.outcome).name
            self.retry_after = max(self.retry_after, reply.retry_after_ms / 1000)
        elif candidate not in self.silent_candidates:
            self.silent_candidates.append(candidate)

    @property
    def owner_changing(self) -> bool:
        """Whether all who were asked say that they are not the owners."""
        not_owner = _Outcome.ADMISSION_OUTCOME_NOT_OWNER.name
        return (
            bool(self.outcomes)
            and set(self.outcomes.values()) == {not_owner}
            and not self.silent_candidates
        )


class AdmissionClient:
    """A gateway's access to the slots of all engines."""

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
        """Get a slot at some engine.

        Raises:
            RefusedError: no engine has room, or none serves the model.
        """
        for pause in (*OWNER_CHANGE_DELAYS, None):
            candidates = self._candidates(request, failed_engines)
            round_ = _AdmissionRound(bool(candidates))
            admission = self._try_candidates(request, candidates, round_)
            if admission is not None:
                return admission
            is_last_round = pause is None or self._clock.monotonic() + pause >= request.deadline
            if is_last_round or not round_.owner_changing:
                break
            # Nodes see the owners differently: nobody has refused, and views meet soon.
            gevent.sleep(pause)
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
        """Engines in the order in which they are asked for."""
        find_candidates = self._registry.candidates
        candidates = find_candidates(request.tenant, request.model, failed_engines)
        if not candidates:
            # Better an engine that failed before than none.
            candidates = find_candidates(request.tenant, request.model, ())
        return self._router.order(candidates, request.prefix_key)[:MAX_ADMISSION_CANDIDATES]

    def _try_candidates(
        self, request: OnlineRequest, candidates: Sequence[EngineCandidate], round_: _AdmissionRound
    ) -> Admission | None:
        for candidate in candidates:
            admission = self._request_slot(request, candidate, ADMISSION_TIMEOUT, round_)
            if admission is not None:
                return admission
        # A silent owner has refused nothing, and may have stood still for a moment.
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
        """Ask for a slot; None where the owner did not answer."""
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
            # The grant may have been made: give it back so that no slot leaks.
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
            raise PeerUnavailableError("the owner is unknown", Verdict.NOT_RUN)
        return self._transport.call(owner.peer_address, Channel.ADMISSION, message, timeout)

    def release(self, admission: Admission) -> None:
        """Give a slot back; does not wait for the owner."""
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
        """Start an attempt at the admitted engine.

        Raises:
            AttemptError: with the verdict.
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

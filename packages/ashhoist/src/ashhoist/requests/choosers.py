"""Choosers select the upstream for a request; there is one for each kind of service."""

from typing import Protocol

from ..failures import Reason
from ..loop import Steps
from ..overload import AttemptOutcome
from ..overload.sends import SendGranted, SendRefused
from ..placement.messages import Refusal, RequestOutcome, Target
from ..upstreams import NOT_GRANTED, Balancer, Directory, Permit, Upstream
from .admission_gate import AdmissionGate
from .call import Call
from .results import CallerLeft, Choice, OutOfTime
from .room_check import RoomCheck
from .send_permits import SendPermits
from .waiting import CallerWatch


class Chooser(Protocol):
    """Selects upstreams for requests."""

    def choose(self, call: Call, caller: CallerWatch) -> Steps[Choice]:
        """Return the upstream that `call` is sent to next; may wait."""

    def has_alternative(self, call: Call) -> bool:
        """Return whether there is an upstream that `call` has not been sent to yet."""

    def on_first_event(self, call: Call, target: Target) -> None:
        """Record that the first event of an attempt has arrived."""

    def is_admitted_by_leader(self, call: Call) -> bool:
        """Return whether the leader decides if `call` is sent again."""

    def on_attempt_ended(
        self,
        call: Call,
        target: Target,
        end: RequestOutcome,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Record that an attempt has ended, and how the upstream behaved.

        Parameters
        ----------
        outcome : AttemptOutcome or None
            None if the attempt was not sent.
        """


class PlainChooser:
    """Selects the least loaded upstream of a plain service.

    Parameters
    ----------
    room_check : RoomCheck
        Limits what is sent while the leader should decide and does not.
    gate : AdmissionGate or None
        Asks the leader instead while the service is contended; None for services that
        the leader does not admit requests to.
    """

    def __init__(
        self,
        directory: Directory,
        balancer: Balancer,
        permits: SendPermits,
        room_check: RoomCheck,
        gate: AdmissionGate | None = None,
    ) -> None:
        self._directory = directory
        self._balancer = balancer
        self._permits = permits
        self._room_check = room_check
        self._gate = gate

    def choose(self, call: Call, caller: CallerWatch) -> Steps[Choice]:
        """Return the upstream for `call`, or why there is none.

        Waits only for admission to a contended service, and for permits to send to
        upstreams that have announced a rate limit.
        """
        while True:
            chosen = yield from self._next_upstream(call, caller)
            if not isinstance(chosen, Upstream):
                return chosen
            limited = self._permits.is_limited(chosen.id)
            if limited:
                permit: Permit | CallerLeft = NOT_GRANTED
                try:
                    permit = yield from self._permits.request_permit(chosen.id, caller)
                finally:
                    if isinstance(permit, CallerLeft) or not permit.granted:
                        self._give_back(call)
                if isinstance(permit, CallerLeft):
                    return permit
                if not permit.granted:
                    continue
            self._balancer.begin(chosen.id)
            return Target(chosen.id, chosen.address, permitted=limited)

    def _next_upstream(
        self, call: Call, caller: CallerWatch
    ) -> Steps[Upstream | Refusal | CallerLeft | OutOfTime]:
        """Return the upstream that the leader grants, or else the least loaded one."""
        available = self._available(call) if self._is_admitted(call.service) else []
        if self._gate is None or not available:
            return self._least_loaded(call)
        known = self._directory.view.of(call.service)
        preferred = self._balancer.reachable(available)
        avoided = {one.id for one in known if one not in preferred}
        excluded = frozenset(avoided | call.tried)
        answer = yield from self._gate.admit(call, excluded, caller)
        if isinstance(answer, CallerLeft | OutOfTime):
            return answer
        if isinstance(answer, SendRefused):
            return Refusal(Reason.OVERLOADED, answer.retry_after)
        if isinstance(answer, SendGranted):
            granted = self._directory.view.by_id.get(answer.upstream_id)
            if granted is not None and granted.id not in excluded:
                return granted
            # The leader knows other upstreams than this instance.
            self._gate.give_back(call)
            call.placement.sent_undecided = True
        return self._least_loaded(call)

    def _is_admitted(self, service: str) -> bool:
        """Return whether the leader admits the requests to a service now."""
        return self._gate is not None and self._gate.is_contended(service)

    def is_admitted_by_leader(self, call: Call) -> bool:
        """Return whether the leader decides if `call` is sent again.

        It does not if it has left the last attempt undecided.
        """
        return not call.placement.sent_undecided and self._is_admitted(call.service)

    def _give_back(self, call: Call) -> None:
        if self._gate is not None:
            self._gate.give_back(call)

    def has_alternative(self, call: Call) -> bool:
        """Return whether `choose` would find an upstream for `call` now."""
        return bool(self._available(call))

    def _available(self, call: Call) -> list[Upstream]:
        """Return the upstreams that `call` may be sent to now."""
        return self._balancer.available(self._sendable(call), call.tried)

    def _acceptable(self, call: Call) -> tuple[Upstream, ...]:
        """Return the upstreams at which `call` may run."""
        return self._directory.view.of(call.service, call.software_version)

    def _sendable(self, call: Call) -> list[Upstream]:
        """Return the upstreams of a call that no rate limit closes now."""
        return [
            upstream
            for upstream in self._acceptable(call)
            if not self._permits.retry_in(upstream.id)
        ]

    def _least_loaded(self, call: Call) -> Upstream | Refusal:
        """Return the least loaded upstream among those that accept requests now."""
        known = self._acceptable(call)
        sendable = self._sendable(call)
        if self._is_admitted(call.service):
            # The leader has not decided in time.
            with_room = [one for one in sendable if self._room_check.has_room(one)]
            if sendable and not with_room:
                wait = self._room_check.retry_after(call.service)
                return Refusal(Reason.OVERLOADED, wait)
            sendable = with_room
        if call.sends:
            # Retries would use up permits that first sends need.
            unlimited = [
                one for one in sendable if not self._permits.is_limited(one.id)
            ]
            chosen = self._balancer.choose(unlimited, call.tried)
            if isinstance(chosen, Upstream):
                return chosen
        chosen = self._balancer.choose(sendable, call.tried)
        if isinstance(chosen, Upstream):
            return chosen
        throttled = [
            one for one in known if one not in sendable and one.id not in call.tried
        ]
        wait = self._permits.soonest_retry(throttled)
        if wait is not None:
            return Refusal(Reason.UPSTREAMS_LIMITED, wait)
        if chosen is Reason.UPSTREAMS_REST:
            return Refusal(chosen, self._room_check.retry_after(call.service))
        return Refusal(chosen)

    def on_first_event(self, call: Call, target: Target) -> None:
        """Do nothing: first events do not affect the choice."""

    def on_attempt_ended(
        self,
        call: Call,
        target: Target,
        end: RequestOutcome,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Record that an attempt has ended."""
        self._balancer.end(target.upstream)
        if self._gate is None:
            return
        if outcome is None:
            self._gate.give_back(call)
            return
        self._gate.record_end(call, outcome)

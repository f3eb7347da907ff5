"""Choosers select the upstream for a request; there is one for each kind of service."""

from typing import Protocol

from ..failures import Reason
from ..http import CallerConnection
from ..loop import Steps
from ..placement.messages import Refusal, RequestOutcome, Target
from ..upstreams import Balancer, Directory, Upstream
from .attempt import CallerLeft, OutOfTime
from .call import Call
from .send_permits import SendPermits

Choice = Target | Refusal | CallerLeft | OutOfTime


class Chooser(Protocol):
    """Selects upstreams for requests."""

    def choose(self, call: Call, caller: CallerConnection) -> Steps[Choice]:
        """Return the upstream that `call` is sent to next; may wait."""

    def has_alternative(self, call: Call) -> bool:
        """Return whether there is an upstream that `call` has not been sent to yet."""

    def on_first_event(self, call: Call, target: Target) -> None:
        """Record that the first event of an attempt has arrived."""

    def on_attempt_ended(self, call: Call, target: Target, end: RequestOutcome) -> None:
        """Record that an attempt has ended, and how the upstream behaved."""


class PlainChooser:
    """Selects the least loaded upstream of a plain service."""

    def __init__(
        self, directory: Directory, balancer: Balancer, permits: SendPermits
    ) -> None:
        self._directory = directory
        self._balancer = balancer
        self._permits = permits

    def choose(self, call: Call, caller: CallerConnection) -> Steps[Choice]:
        """Return the upstream for `call`, or why there is none.

        Waits only for permits to send to upstreams that have announced a rate limit.
        """
        while True:
            chosen = self._least_loaded(call)
            if isinstance(chosen, Refusal):
                return chosen
            limited = self._permits.is_limited(chosen.id)
            if limited:
                permit = yield from self._permits.request_permit(chosen.id, caller)
                if isinstance(permit, CallerLeft):
                    return permit
                if not permit.granted:
                    continue
            self._balancer.begin(chosen.id)
            return Target(chosen.id, chosen.address, permitted=limited)

    def has_alternative(self, call: Call) -> bool:
        """Return whether `choose` would find an upstream for `call` now."""
        return bool(self._balancer.available(self._sendable(call.service), call.tried))

    def _sendable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that no rate limit closes now."""
        return [
            upstream
            for upstream in self._directory.view.of(service)
            if not self._permits.retry_in(upstream.id)
        ]

    def _least_loaded(self, call: Call) -> Upstream | Refusal:
        """Return the least loaded upstream among those that accept requests now."""
        known = self._directory.view.of(call.service)
        sendable = self._sendable(call.service)
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
        return Refusal(chosen)

    def on_first_event(self, call: Call, target: Target) -> None:
        """Do nothing: first events do not affect the choice."""

    def on_attempt_ended(self, call: Call, target: Target, end: RequestOutcome) -> None:
        """Record that an attempt has ended."""
        self._balancer.end(target.upstream)

"""Choosers say where a request goes next. One for each sort of service."""

from typing import Protocol

from ..failures import Reason
from ..http import CallerConnection
from ..loop import Steps
from ..placement.asks import Refusal, Target, UseEnd
from ..upstreams import Balancer, Directory, Upstream
from .attempt import CallerLeft, OutOfTime
from .call import Call
from .limited_sends import LimitedSends

Choice = Target | Refusal | CallerLeft | OutOfTime


class Chooser(Protocol):
    """Chooses upstreams for requests."""

    def choose(self, call: Call, caller: CallerConnection) -> Steps[Choice]:
        """Return where `call` goes next; may wait."""

    def first_event(self, call: Call, target: Target) -> None:
        """Take in that an attempt has its first event."""

    def ended(self, call: Call, target: Target, end: UseEnd) -> None:
        """Take in that an attempt has ended, and what that says of its upstream."""


class PlainChooser:
    """Chooses for plain services: the upstream with the least work."""

    def __init__(
        self, directory: Directory, balancer: Balancer, sends: LimitedSends
    ) -> None:
        self._directory = directory
        self._balancer = balancer
        self._sends = sends

    def choose(self, call: Call, caller: CallerConnection) -> Steps[Choice]:
        """Return the upstream for `call`, or why there is none.

        Waits only for the permit to send to one that has named a limit.
        """
        while True:
            chosen = self._least_work(call)
            if isinstance(chosen, Refusal):
                return chosen
            limited = self._sends.limited(chosen.id)
            if limited:
                permit = yield from self._sends.ask(chosen.id, caller)
                if isinstance(permit, CallerLeft):
                    return permit
                if not permit.granted:
                    continue
            self._balancer.begin(chosen.id)
            return Target(chosen.id, chosen.address, permitted=limited)

    def _least_work(self, call: Call) -> Upstream | Refusal:
        """Return the upstream with the least work of those that can be sent to now."""
        found = self._directory.view.of(call.service)
        free = [upstream for upstream in found if not self._sends.wait(upstream.id)]
        if call.sends:
            # What was sent before would eat up what first sends need.
            unlimited = [one for one in free if not self._sends.limited(one.id)]
            chosen = self._balancer.choose(unlimited, call.tried)
            if isinstance(chosen, Upstream):
                return chosen
        chosen = self._balancer.choose(free, call.tried)
        if isinstance(chosen, Upstream):
            return chosen
        full = [one for one in found if one not in free and one.id not in call.tried]
        wait = self._sends.least_wait(full)
        if wait is not None:
            return Refusal(Reason.UPSTREAMS_LIMITED, wait)
        return Refusal(chosen)

    def first_event(self, call: Call, target: Target) -> None:
        """Take in that an attempt has its first event."""

    def ended(self, call: Call, target: Target, end: UseEnd) -> None:
        """Take in that an attempt has ended."""
        self._balancer.end(target.upstream)

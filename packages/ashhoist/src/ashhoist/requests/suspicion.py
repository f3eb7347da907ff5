"""What a request has to do with requests that crash upstreams."""

from collections.abc import Callable
from typing import Any

from ..failures import Reason
from ..placement.asks import Refusal
from ..quarantine import Quarantine, RequestCut, RequestWhole
from .call import Call


class Suspicion:
    """Tells the control task how attempts ended, and refuses what is held back.

    Parameters
    ----------
    life_of : callable
        Returns the name of an upstream's present life by its id.
    send : callable
        Takes messages to the control task.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        life_of: Callable[[str], str],
        send: Callable[[Any], None],
    ) -> None:
        self._quarantine = quarantine
        self._life_of = life_of
        self._send = send

    def refusal(self, call: Call) -> Refusal | None:
        """Return the refusal of a request that is held back; None if it is not."""
        if not self._quarantine.holds(call.fingerprint):
            return None
        wait = self._quarantine.remaining(call.fingerprint)
        return Refusal(Reason.CRASHES_UPSTREAMS, wait)

    def sent(self, call: Call, upstream: str) -> None:
        """Take in that an attempt begins."""
        call.upstream_life = self._life_of(upstream)

    def cut(self, call: Call) -> None:
        """Take in that the upstream has broken off."""
        self._send(RequestCut(call.fingerprint, call.upstream_life))

    def whole(self, call: Call) -> None:
        """Take in a whole answer."""
        if self._quarantine.is_suspect(call.fingerprint):
            self._send(RequestWhole(call.fingerprint))

"""Limits that upstreams name in their answers: known here, told to all.

A limit holds for all instances together, also for those that get no answer.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..logs import Logger
from ..upstreams import NamedLimit, RateLimits
from . import messages
from .hubs import Hubs
from .peers import Peers

MICROSECOND = timedelta(microseconds=1)


class LimitNotices:
    """What this instance tells others, and they it, of upstreams' limits.

    Parameters
    ----------
    changed : callable
        Called when a limit is another one.
    tell : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        limits: RateLimits,
        peers: Peers,
        hubs: Hubs,
        changed: Callable[[], None],
        tell: Callable[[str, Any], None],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._limits = limits
        self._peers = peers
        self._hubs = hubs
        self._changed = changed
        self._tell = tell
        self._clock = clock
        self._log = log

    def noticed(self, named: NamedLimit) -> None:
        """Take in what an answer to this instance said."""
        self._tell_all(self._peers.linked(), self._take([named], "answer"))

    def told(self, peer: str, message: messages.LimitsNamed) -> None:
        """Take in what another instance knows; a hub tells its members."""
        now = self._clock.monotonic()
        news = self._take([_decode(row, now) for row in message.rows], peer)
        self._tell_all(self._hubs.others_to_tell(peer), news)

    def greet(self, peer: str) -> None:
        """Tell a newly linked instance all that is known."""
        self._tell_all([peer], self._limits.all())

    def _take(self, found: list[NamedLimit], source: str) -> list[NamedLimit]:
        """Take in limits; return those that were news."""
        news = [named for named in found if self._limits.take(named)]
        for named in news:
            self._log.info(
                "upstream limit changed",
                life=named.life,
                per_second=named.per_second,
                source=source,
            )
        if news:
            self._changed()
        return news

    def _tell_all(self, receivers: list[str], found: list[NamedLimit]) -> None:
        if not found or not receivers:
            return
        now = self._clock.monotonic()
        message = messages.LimitsNamed([_encode(named, now) for named in found])
        for receiver in receivers:
            self._tell(receiver, message)


def _encode(named: NamedLimit, now: timedelta) -> list[object]:
    asked, heard = now - named.asked_at, now - named.heard_at
    return [named.life, named.per_second, asked // MICROSECOND, heard // MICROSECOND]


def _decode(row: list[Any], now: timedelta) -> NamedLimit:
    life, per_second, asked_us, heard_us = row
    asked_at, heard_at = now - asked_us * MICROSECOND, now - heard_us * MICROSECOND
    return NamedLimit(life, per_second, asked_at, heard_at)

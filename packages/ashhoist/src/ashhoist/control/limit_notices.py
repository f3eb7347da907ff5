"""Notices between instances about rate limits that upstreams name in their answers.

A limit applies to all instances together, including those that receive no answer.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..logs import Logger
from ..upstreams import RateLimits, StatedLimit
from . import messages
from .hubs import Hubs
from .peers import Peers

MICROSECOND = timedelta(microseconds=1)


class LimitNotices:
    """Learns upstreams' limits from answers and other instances, and relays them.

    Parameters
    ----------
    changed : callable
        Called when a limit has changed.
    send : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        limits: RateLimits,
        peers: Peers,
        hubs: Hubs,
        changed: Callable[[], None],
        send: Callable[[str, Any], None],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._limits = limits
        self._peers = peers
        self._hubs = hubs
        self._changed = changed
        self._send = send
        self._clock = clock
        self._log = log

    def noticed(self, limit: StatedLimit) -> None:
        """Handle a limit named in an upstream's answer to this instance."""
        self._notify(self._peers.linked(), self._apply([limit], "answer"))

    def notices_received(self, peer: str, message: messages.RateLimitNotice) -> None:
        """Handle another instance's limits; a hub relays new ones to its members."""
        now = self._clock.monotonic()
        new_limits = self._apply([_decode(row, now) for row in message.rows], peer)
        self._notify(self._hubs.members_except(peer), new_limits)

    def greet(self, peer: str) -> None:
        """Send a newly linked instance all known limits."""
        self._notify([peer], self._limits.all())

    def _apply(self, limits: list[StatedLimit], source: str) -> list[StatedLimit]:
        """Apply limits; return those that were new."""
        new_limits = [limit for limit in limits if self._limits.take(limit)]
        for limit in new_limits:
            self._log.info(
                "upstream limit changed",
                life=limit.incarnation,
                per_second=limit.per_second,
                source=source,
            )
        if new_limits:
            self._changed()
        return new_limits

    def _notify(self, receivers: list[str], limits: list[StatedLimit]) -> None:
        if not limits or not receivers:
            return
        now = self._clock.monotonic()
        message = messages.RateLimitNotice([_encode(limit, now) for limit in limits])
        for receiver in receivers:
            self._send(receiver, message)


def _encode(limit: StatedLimit, now: timedelta) -> list[object]:
    asked_ago, answered_ago = now - limit.asked_at, now - limit.answered_at
    return [
        limit.incarnation,
        limit.per_second,
        asked_ago // MICROSECOND,
        answered_ago // MICROSECOND,
    ]


def _decode(row: list[Any], now: timedelta) -> StatedLimit:
    incarnation, per_second, asked_us, heard_us = row
    asked_at, answered_at = now - asked_us * MICROSECOND, now - heard_us * MICROSECOND
    return StatedLimit(incarnation, per_second, asked_at, answered_at)

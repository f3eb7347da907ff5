"""The requests of this instance that wait for adapters, and what runs where."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..failures import Reason
from ..placement.asks import (
    NoLongerWanted,
    Refusal,
    Target,
    UseBegan,
    UseEnded,
    UseStarted,
    Wanted,
)
from ..upstreams import Directory
from .messages import Ask, Declined, Granted, Uses, Waits, Withdraw

MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class _News:
    """What the leader has not been told yet."""

    began: list[list[object]] = field(default_factory=list)
    started: list[list[str]] = field(default_factory=list)
    ended: list[list[str]] = field(default_factory=list)

    @property
    def empty(self) -> bool:
        return not (self.began or self.started or self.ended)


class Agent:
    """What this instance asks of the leader, and tells it.

    Parameters
    ----------
    tell_leader : callable
        Sends a message to the leader; does nothing while there is none.
    """

    def __init__(
        self,
        zone: str,
        directory: Directory,
        tell_leader: Callable[[Any], None],
        clock: Clock,
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._tell_leader = tell_leader
        self._clock = clock
        self._open: dict[str, Wanted] = {}
        self._under_way: dict[str, UseBegan] = {}
        self._started: set[str] = set()
        self._news = _News()

    # What requests of this instance want

    def wanted(self, wanted: Wanted) -> None:
        """Take in a request that needs an adapter."""
        self._open[wanted.id] = wanted
        self._tell_leader(self._ask(wanted))

    def no_longer_wanted(self, message: NoLongerWanted) -> None:
        """Take in that a request has ended while it waited."""
        if self._open.pop(message.id, None) is not None:
            self._tell_leader(Withdraw(message.id))

    def _ask(self, wanted: Wanted) -> Ask:
        """Return the message that asks for a request's adapter."""
        now = self._clock.monotonic()
        return Ask(
            wanted.id,
            wanted.service,
            wanted.adapter.model,
            wanted.adapter.name,
            wanted.oldest_version,
            wanted.tokens,
            wanted.worth,
            wanted.late_worth,
            _left_ms(wanted.aim_at, now),
            _left_ms(wanted.limit, now),
            _left_ms(wanted.give_up_at, now),
            self._zone,
            wanted.may_return,
            list(wanted.tried),
        )

    # What the leader says

    def granted(self, granted: Granted) -> None:
        """Let a request go to the engine that the leader has chosen."""
        wanted = self._open.pop(granted.id, None)
        upstream = self._directory.view.by_id.get(granted.upstream)
        waits = wanted is not None and wanted.answer.set_running_or_notify_cancel()
        if wanted is None or not waits:
            # Nobody goes there after all; the leader counts on hearing so.
            self.ended(UseEnded(granted.id, granted.upstream))
            return
        if upstream is None:
            self.ended(UseEnded(granted.id, granted.upstream))
            wanted.answer.set_result(Refusal(Reason.NO_UPSTREAM))
            return
        use = UseBegan(granted.id, upstream.id, wanted.adapter, wanted.tokens)
        self._under_way[use.id] = use
        version = granted.version or None
        expected = granted.expected_ms * MILLISECOND
        target = Target(
            upstream.id, upstream.address, version, expected, granted.permitted
        )
        wanted.answer.set_result(target)

    def waits(self, message: Waits) -> None:
        """Take in that the leader knows of a request, and that it has to wait."""
        wanted = self._open.get(message.id)
        if wanted is not None and not wanted.taken_in.done():
            wanted.taken_in.set_result(None)

    def declined(self, declined: Declined) -> None:
        """Refuse a request that the leader has given up on."""
        wanted = self._open.pop(declined.id, None)
        if wanted is None:
            return
        wait = declined.retry_after_ms * MILLISECOND
        if wanted.answer.set_running_or_notify_cancel():
            wanted.answer.set_result(Refusal(_reason_of(declined.reason), wait))

    def greet_leader(self) -> None:
        """Tell a new leader all that is under way and all that waits."""
        self._tell_leader(self._all_uses())
        for wanted in list(self._open.values()):
            self._tell_leader(self._ask(wanted))

    # What runs at engines

    def began(self, use: UseBegan) -> None:
        """Count a use that the leader does not know of yet."""
        self._under_way[use.id] = use
        self._news.began.append(_row(use))

    def started(self, use: UseStarted) -> None:
        """Take in that a request has its first event."""
        self._started.add(use.id)
        self._news.started.append([use.id, use.upstream])

    def ended(self, use: UseEnded) -> None:
        """Count the end of a use."""
        self._under_way.pop(use.id, None)
        self._started.discard(use.id)
        self._news.ended.append([use.id, use.upstream, str(use.end)])

    def tell_uses(self) -> None:
        """Tell the leader what has changed since the last time."""
        if self._news.empty:
            return
        news, self._news = self._news, _News()
        self._tell_leader(Uses(news.began, news.started, news.ended))

    def _all_uses(self) -> Uses:
        """Return all that is under way, for a leader that knows nothing yet."""
        self._news = _News()
        began = [_row(use) for use in self._under_way.values()]
        started = [
            [use.id, use.upstream]
            for use in self._under_way.values()
            if use.id in self._started
        ]
        return Uses(began, started, [])


def _row(use: UseBegan) -> list[object]:
    return [use.id, use.upstream, use.adapter.model, use.adapter.name, use.tokens]


def _reason_of(text: str) -> Reason:
    """Return the reason of that name, or a general one."""
    try:
        return Reason(text)
    except ValueError:
        return Reason.NO_UPSTREAM


def _left_ms(at: timedelta, now: timedelta) -> int:
    return int((at - now) / MILLISECOND)

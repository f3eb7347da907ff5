"""The requests of this instance that wait for adapters, and what runs where."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..placement.asks import UseBegan, UseEnded, UseStarted, Wanted
from .messages import Ask, Uses

MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class _News:
    """What the holder of the lease has not been told yet."""

    began: list[list[object]] = field(default_factory=list)
    started: list[list[str]] = field(default_factory=list)
    ended: list[list[str]] = field(default_factory=list)

    @property
    def empty(self) -> bool:
        return not (self.began or self.started or self.ended)


class Agent:
    """What this instance asks of the holder of the lease, and tells it."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.open: dict[str, Wanted] = {}
        self._under_way: dict[str, UseBegan] = {}
        self._started: set[str] = set()
        self._news = _News()

    def ask(self, wanted: Wanted, now: timedelta) -> Ask:
        """Return the message that asks for a request's adapter."""
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

    def granted(self, use: UseBegan) -> None:
        """Count a use that the holder has granted, and so knows of."""
        self._under_way[use.id] = use

    def began(self, use: UseBegan) -> None:
        """Count a use that the holder does not know of yet."""
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
        self._news.ended.append([use.id, use.upstream])

    def uses(self) -> Uses | None:
        """Return what has changed since the last time, or None."""
        if self._news.empty:
            return None
        news, self._news = self._news, _News()
        return Uses(news.began, news.started, news.ended)

    def all_uses(self) -> Uses:
        """Return all that is under way, for a holder that knows nothing yet."""
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


def _left_ms(at: timedelta, now: timedelta) -> int:
    return int((at - now) / MILLISECOND)

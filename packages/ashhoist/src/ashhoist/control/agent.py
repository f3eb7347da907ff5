"""The requests of this instance that wait for adapters, and what it uses."""

from collections import Counter
from datetime import timedelta

from ..adapter import Adapter
from ..placement.asks import UseBegan, UseEnded, Wanted
from .messages import Ask, Uses

MILLISECOND = timedelta(milliseconds=1)


class Agent:
    """What this instance asks of the holder of the lease."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.open: dict[str, Wanted] = {}
        self._under_way: Counter[tuple[str, Adapter]] = Counter()
        self._began: Counter[tuple[str, Adapter]] = Counter()
        self._ended: Counter[tuple[str, Adapter]] = Counter()

    def ask(self, wanted: Wanted, now: timedelta) -> Ask:
        """Return the message that asks for a request's adapter."""
        return Ask(
            wanted.id,
            wanted.service,
            wanted.adapter.model,
            wanted.adapter.name,
            wanted.oldest_version,
            wanted.worth,
            wanted.late_worth,
            _left_ms(wanted.aim_at, now),
            _left_ms(wanted.limit, now),
            self._zone,
            wanted.may_return,
            list(wanted.tried),
        )

    def granted(self, upstream: str, adapter: Adapter) -> None:
        """Count a use that the holder has granted, and so knows of."""
        self._under_way[upstream, adapter] += 1

    def began(self, use: UseBegan) -> None:
        """Count a use that the holder does not know of yet."""
        self._under_way[use.upstream, use.adapter] += 1
        self._began[use.upstream, use.adapter] += 1

    def ended(self, use: UseEnded) -> None:
        """Count the end of a use."""
        key = (use.upstream, use.adapter)
        self._under_way[key] -= 1
        if self._under_way[key] <= 0:
            del self._under_way[key]
        self._ended[key] += 1

    def uses(self) -> Uses | None:
        """Return what has changed since the last time, or None."""
        keys = set(self._began) | set(self._ended)
        if not keys:
            return None
        rows = [
            [upstream, adapter.model, adapter.name, self._began[key], self._ended[key]]
            for key in keys
            for upstream, adapter in [key]
        ]
        self._began.clear()
        self._ended.clear()
        return Uses(rows)

    def all_uses(self) -> Uses:
        """Return all that is under way, for a holder that knows nothing yet."""
        self._began.clear()
        self._ended.clear()
        return Uses(
            [
                [upstream, adapter.model, adapter.name, count, 0]
                for (upstream, adapter), count in self._under_way.items()
            ]
        )


def _left_ms(at: timedelta, now: timedelta) -> int:
    return int((at - now) / MILLISECOND)

"""The requests at one engine, and how soon another would get its first token.

Prompts are read one behind another, so the wait for the first token is the work
that others still have before theirs. How fast an engine reads is learnt from the
first tokens that came.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..adapter import Adapter

TOKENS_PER_SECOND = 17_000.0
BASE = timedelta(milliseconds=90)
"""From sending a request to its first token at an idle engine, without reading."""
SMOOTHING = 0.15
LEAST_PACE, MOST_PACE = 0.4, 8.0
LEARN_FROM = timedelta(milliseconds=50)
OVERDUE_TIMES = 2
OVERDUE_MARGIN = timedelta(milliseconds=300)
"""A first token is overdue after so many times what was expected, and this."""
FORGOTTEN_AFTER = timedelta(seconds=60)


@dataclass(slots=True)
class Use:
    """One request at an engine.

    Parameters
    ----------
    instance : str
        Where its caller is connected.
    tokens : int
        Of its prompt.
    expected : timedelta
        The wait for its first token, as estimated when it was sent.
    """

    instance: str
    adapter: Adapter
    tokens: int
    sent_at: timedelta
    expected: timedelta
    started: bool = False


class Work:
    """All requests at one engine, by id."""

    def __init__(self) -> None:
        self._by_id: dict[str, Use] = {}
        self._unstarted: dict[str, Use] = {}
        self._adapters: Counter[Adapter] = Counter()
        self._unread = 0
        self._pace = 1.0

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def pace(self) -> float:
        """Return how much longer than expected first tokens take; 1 is normal."""
        return self._pace

    @property
    def seconds_a_token(self) -> float:
        """Return how long it takes to read one token of a prompt."""
        return self._pace / TOKENS_PER_SECOND

    def uses(self, adapter: Adapter) -> int:
        """Return how many requests use an adapter."""
        return self._adapters[adapter]

    def first_after(self, tokens: int, now: timedelta) -> timedelta:
        """Return how long a prompt sent now would wait for its first token.

        An engine that keeps one waiting longer than it should is expected to keep
        the next one waiting as long again.
        """
        reading = timedelta(seconds=(self._unread + tokens) / TOKENS_PER_SECOND)
        return max((BASE + reading) * self._pace, self._silent_for(now))

    def is_overdue(self, now: timedelta) -> bool:
        """Return whether a first token is overdue, so that waits are guessed."""
        return self._silent_for(now) > timedelta()

    def _silent_for(self, now: timedelta) -> timedelta:
        """Return how long the oldest unread prompt waits, if it is overdue."""
        oldest = next(iter(self._unstarted.values()), None)
        if oldest is None:
            return timedelta()
        age = now - oldest.sent_at
        overdue = age > oldest.expected * OVERDUE_TIMES + OVERDUE_MARGIN
        return age if overdue else timedelta()

    def begin(
        self, use_id: str, instance: str, adapter: Adapter, tokens: int, now: timedelta
    ) -> None:
        """Take in that a request is sent."""
        if use_id in self._by_id:
            return
        expected = self.first_after(tokens, now)
        use = Use(instance, adapter, tokens, now, expected)
        self._by_id[use_id] = self._unstarted[use_id] = use
        self._adapters[adapter] += 1
        self._unread += tokens

    def started(self, use_id: str, now: timedelta) -> None:
        """Take in that a request has its first token."""
        use = self._by_id.get(use_id)
        if use is None or use.started:
            return
        use.started = True
        del self._unstarted[use_id]
        self._unread -= use.tokens
        took = now - use.sent_at
        if use.expected < LEARN_FROM:
            return
        seen = self._pace * (took / use.expected)
        seen = min(max(seen, LEAST_PACE), MOST_PACE)
        self._pace += (seen - self._pace) * SMOOTHING

    def end(self, use_id: str) -> Adapter | None:
        """Take in that a request has ended; return its adapter if it was known."""
        use = self._by_id.pop(use_id, None)
        if use is None:
            return None
        if self._unstarted.pop(use_id, None) is not None:
            self._unread -= use.tokens
        self._adapters[use.adapter] -= 1
        if not self._adapters[use.adapter]:
            del self._adapters[use.adapter]
        return use.adapter

    def end_all_of(self, instance: str) -> None:
        """Forget the requests of an instance that can't be reached."""
        self._end_where(lambda use: use.instance == instance)

    def forget_old(self, now: timedelta) -> None:
        """Forget requests whose end was never told."""
        self._end_where(lambda use: now - use.sent_at > FORGOTTEN_AFTER)

    def _end_where(self, ended: Callable[[Use], bool]) -> None:
        for use_id, use in list(self._by_id.items()):
            if ended(use):
                self.end(use_id)

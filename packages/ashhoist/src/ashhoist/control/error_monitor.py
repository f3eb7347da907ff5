"""Keeps an error in one part of the control task from stopping the others.

A part is a periodic duty or the handler of one message type. Its errors are logged and
counted. While a part fails each time that it runs, the instance is not ready.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..logs import Logger
from ..metrics import Metrics

MIN_ERRORS = 5
"""Errors in a row from which on a part may count as failing."""
MIN_FAILING_TIME = timedelta(seconds=1)
"""How long a part must fail without a success to count as failing."""
FORGET_AFTER = timedelta(seconds=5)
"""A part whose last error is this old does not count as failing: an instance that is
not ready gets no requests, and the handlers of their messages would never run again."""
LOG_INTERVAL = timedelta(seconds=10)
"""Minimum time between two log lines on errors of one part."""


@dataclass(slots=True)
class _Streak:
    """Consecutive errors of one part."""

    began: timedelta
    latest: timedelta
    logged: timedelta
    errors: int = 1
    unlogged: int = 0


class ErrorMonitor:
    """Runs parts of the control task, and records which of them fail."""

    def __init__(self, clock: Clock, metrics: Metrics, log: Logger) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._streaks: dict[str, _Streak] = {}
        self._was_failing = False

    def run(
        self, part: str, step: Callable[[], object], affects_readiness: bool = True
    ) -> bool:
        """Run a step of a part; return whether it raised nothing.

        Parameters
        ----------
        affects_readiness : bool
            False for messages of other instances: one of them with a defect must not
            make all others unready.
        """
        try:
            step()
        except Exception:
            self._record_error(part, affects_readiness)
            return False
        self._streaks.pop(part, None)
        return True

    def _record_error(self, part: str, affects_readiness: bool) -> None:
        """Count the error that is being handled, and log it unless one was lately."""
        now = self._clock.monotonic()
        self._metrics.count("control_errors", part)
        streak = self._streaks.get(part)
        if streak is None:
            self._log.exception("control part failed", part=part)
            if affects_readiness:
                self._streaks[part] = _Streak(now, now, now)
            return
        streak.errors += 1
        streak.latest = now
        streak.unlogged += 1
        if now - streak.logged >= LOG_INTERVAL:
            self._log.exception(
                "control part failed", part=part, repeats=streak.unlogged
            )
            streak.logged = now
            streak.unlogged = 0

    def failing_parts(self) -> list[str]:
        """Return the parts that fail each time that they run."""
        now = self._clock.monotonic()
        return [part for part, streak in self._streaks.items() if _fails(streak, now)]

    def note_change(self) -> None:
        """Log when parts have begun to fail persistently, and when none does any more.

        Called periodically.
        """
        failing = self.failing_parts()
        if bool(failing) == self._was_failing:
            return
        self._was_failing = bool(failing)
        if failing:
            self._log.error("control fails", parts=failing)
        else:
            self._log.info("control works again")


def _fails(streak: _Streak, now: timedelta) -> bool:
    if streak.errors < MIN_ERRORS or now - streak.latest > FORGET_AFTER:
        return False
    return streak.latest - streak.began >= MIN_FAILING_TIME

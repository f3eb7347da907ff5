"""The choice of a call's next upstream while its present one is silent.

The steps of the choice run beside the wait for the present upstream. So a request
leaves an upstream only for another one that has a place for it, and stays if there is
none or if the present one goes on first.
"""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, replace
from datetime import timedelta

from ..clock import Clock
from ..loop import Steps, Wait
from ..placement.messages import Target
from .results import CallerLeft, Choice
from .waiting import CallerWatch


@dataclass(frozen=True, slots=True)
class _NoWatch:
    """Never reports that the caller has left: the wait for the upstream watches it."""

    watched: int | None = None

    def left(self) -> bool:
        return False


class PlaceSearch:
    """Chooses the next upstream of a call.

    The choice belongs to a copy of the call, as the call itself still uses the present
    upstream. `finish` makes it the call's own; `withdraw` gives it back.

    Parameters
    ----------
    choose : callable
        Returns the steps that choose an upstream.
    may_move : callable
        Returns whether the call may be sent to a chosen upstream now.
    adopt : callable
        Makes what the search has obtained the call's own.
    release : callable
        Gives back what a withdrawn search has obtained: the choice, and what the copy
        of the call has been charged.
    """

    def __init__(
        self,
        choose: Callable[[CallerWatch], Steps[Choice]],
        may_move: Callable[[Target], bool],
        adopt: Callable[[], None],
        release: Callable[[Choice | None], None],
    ) -> None:
        self._may_move = may_move
        self._adopt = adopt
        self._release = release
        self._steps = choose(_NoWatch())
        self._waits = Wait()
        self._choice: Choice | None = None
        self._go_on()

    @property
    def is_over(self) -> bool:
        """Return whether an upstream has been chosen, or none can be."""
        return self._choice is not None

    @property
    def may_move(self) -> bool:
        """Return whether the call may leave its present upstream for the chosen one."""
        if not isinstance(self._choice, Target):
            return False
        return self._may_move(self._choice)

    def add_to(self, waits: Wait) -> Wait:
        """Return a wait that also ends when the search can go on.

        Parameters
        ----------
        waits : Wait
            Must not wait for a future itself.
        """
        own = self._waits
        ends = [at for at in (waits.until, own.until) if at is not None]
        return replace(waits, until=min(ends, default=None), future=own.future)

    def advance(self, now: timedelta) -> None:
        """Go on with the search if what it waits for is there."""
        if self.is_over:
            return
        future, until = self._waits.future, self._waits.until
        answered = future is not None and future.done()
        if answered or (until is not None and until <= now):
            self._go_on()

    def _go_on(self) -> None:
        try:
            step = next(self._steps)
        except StopIteration as stop:
            self._choice = stop.value
            self._waits = Wait()
            return
        self._waits = Wait(future=step) if isinstance(step, Future) else step

    def finish(self, caller: CallerWatch, clock: Clock) -> Steps[Choice]:
        """Wait for the choice and adopt it, as the present upstream has ended."""
        while self._choice is None:
            watched = () if caller.watched is None else (caller.watched,)
            ready = yield self.add_to(Wait(readable=watched))
            if ready is not None and caller.left():
                self.withdraw()
                return CallerLeft()
            self.advance(clock.monotonic())
        self._adopt()
        return self._choice

    def withdraw(self) -> None:
        """End the search, and give back what it has obtained."""
        if self._choice is None:
            self._steps.close()
        self._release(self._choice)

"""Decides how long upstreams may be silent, and when calls may leave them."""

from collections.abc import Callable
from datetime import timedelta

from ..failures import Reason
from ..logs import Logger
from ..loop import Steps
from ..placement.messages import Refusal, Target
from ..upstreams import Directory
from .budget import RetryBudget
from .call import Call
from .choosers import Chooser
from .forwarding_chooser import Forwarding
from .place_search import PlaceSearch
from .results import Choice
from .send_checks import SendChecks
from .silence import SilenceLimit, response_timeout
from .waiting import CallerWatch

INSTANCE_SILENCE_TIMEOUT = timedelta(seconds=1)
"""How long another instance may be silent until it is checked whether it still reaches
upstreams."""


class SilenceLimits:
    """Makes the silence limits of attempts.

    Parameters
    ----------
    choose : callable
        Returns the steps that choose the next upstream or instance of a call.
    release : callable
        Gives back what the search for a call has obtained. Its last argument says
        whether this instance had taken the call over before.
    """

    def __init__(
        self,
        choose: Callable[[Call, CallerWatch, Chooser], Steps[Choice]],
        release: Callable[[Call, Choice | None, Chooser, bool], None],
        budget: RetryBudget,
        send_checks: SendChecks,
        directory: Directory,
        forwarding: Forwarding,
        log: Logger,
    ) -> None:
        self._choose = choose
        self._release = release
        self._budget = budget
        self._send_checks = send_checks
        self._directory = directory
        self._forwarding = forwarding
        self._log = log

    def of(self, call: Call, target: Target, chooser: Chooser) -> SilenceLimit | None:
        """Return the limit for the next attempt; None if no other may follow it."""
        if not call.route.repeatable or call.runs + 1 >= call.route.attempts:
            return None
        if target.is_instance:
            return SilenceLimit(
                INSTANCE_SILENCE_TIMEOUT,
                lambda: self._begin_search(call, target, chooser),
            )
        return SilenceLimit(
            response_timeout(call.route, target),
            lambda: self._begin_search(call, target, chooser),
            lambda: self._has_ended(call, target),
        )

    def _has_ended(self, call: Call, target: Target) -> bool:
        """Return whether an upstream has ended that has sent nothing of its response.

        It will hardly respond any more. One that has begun to may still go on: some
        upstreams serve what they have after their record has ended.
        """
        if call.has_forwarded_event or call.response_began:
            return False
        has_ended = target.upstream not in self._directory.view.by_id
        return has_ended and self._may_leave(call, target)

    def _begin_search(
        self, call: Call, target: Target, chooser: Chooser
    ) -> PlaceSearch | None:
        """Begin to look for an upstream in place of a silent one.

        Returns
        -------
        PlaceSearch or None
            None if the call may not leave, or there is no other upstream.
        """
        if not self._may_leave(call, target):
            return None
        if not target.is_instance and not chooser.has_alternative(call):
            return None
        self._log.info(
            "next upstream looked for",
            request=call.id,
            silent=target.upstream,
            last_event=call.last_event_id,
        )
        was_taken_over = call.placement.is_taken_over
        copy = call.copy_for_search()
        return PlaceSearch(
            lambda caller: self._choose_safely(copy, caller, chooser),
            lambda chosen: self._may_move(copy, target, chosen),
            lambda: call.adopt(copy),
            lambda choice: self._release(copy, choice, chooser, was_taken_over),
        )

    def _choose_safely(
        self, call: Call, caller: CallerWatch, chooser: Chooser
    ) -> Steps[Choice]:
        """Choose the next target; a defect in that must not end the present attempt."""
        try:
            return (yield from self._choose(call, caller, chooser))
        except Exception:
            self._log.exception("search for the next upstream failed", request=call.id)
            return Refusal(Reason.INVALID)

    def _may_move(self, call: Call, target: Target, chosen: Target) -> bool:
        """Return whether a call may leave its upstream for the chosen one now."""
        if self._send_checks.rejects(call, chosen):
            return False
        return self._may_leave(call, target)

    def _may_leave(self, call: Call, target: Target) -> bool:
        """Return whether a call may be sent elsewhere, as far as is known now."""
        if target.is_instance and self._forwarding.is_available(target.upstream):
            return False
        if self._send_checks.refusal(call) is not None:
            return False
        return self._budget.has_capacity(call.service)

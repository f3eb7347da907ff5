"""Connects requests with the quarantine of requests that crash upstreams."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from ..failures import Reason
from ..forwarding import Connectivity
from ..placement.messages import Refusal
from ..quarantine import (
    PartHistory,
    Quarantine,
    RequestCompleted,
    RequestInterrupted,
    UpstreamAnswered,
    part_names,
)
from .call import Call

WRITING_EVENTS = 2
"""Events of an attempt from which on its upstream has survived the beginning of the
answer: a crash after that is not its prompt's fault."""


class QuarantineGate:
    """Reports how attempts ended to the control task, and refuses quarantined requests.

    Parameters
    ----------
    incarnation_of : callable
        Returns the name of an upstream's current incarnation by its id.
    send : callable
        Sends messages to the control task.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        connectivity: Connectivity,
        history: PartHistory,
        incarnation_of: Callable[[str], str],
        send: Callable[[Any], None],
    ) -> None:
        self._quarantine = quarantine
        self._connectivity = connectivity
        self._history = history
        self._incarnation_of = incarnation_of
        self._send = send

    def refusal(self, call: Call) -> Refusal | None:
        """Return the refusal of a quarantined request; None if it is not one."""
        held = self._held_name(call)
        if held is None:
            return None
        return Refusal(Reason.CRASHES_UPSTREAMS, self._quarantine.retry_after(held))

    def _held_name(self, call: Call) -> str | None:
        """Return what holds a request back: itself, or a part of its prompt."""
        if self._quarantine.holds_back(call.fingerprint):
            return call.fingerprint
        for name in part_names(call.prompt_parts):
            if self._quarantine.holds_back(name) and not self._history.is_sound(name):
                return name
        return None

    def attempt_started(self, call: Call, upstream: str) -> None:
        """Record the incarnation of the upstream that an attempt goes to."""
        call.upstream_incarnation = self._incarnation_of(upstream)
        call.attempt_events = 0

    def event_received(self, call: Call) -> None:
        """Record that an event of an attempt has arrived."""
        call.attempt_events += 1
        if call.attempt_events == WRITING_EVENTS:
            self._parts_answered(call)

    def response_cut(self, call: Call) -> "Future[None]":
        """Report that the upstream broke off the connection during the request.

        Where this instance loses all its links at once, that is no fault of a request.

        Returns
        -------
        Future
            Done once that is known.
        """
        suspects: tuple[str, ...] = ()
        if call.attempt_events < WRITING_EVENTS:
            names = part_names(call.prompt_parts)
            suspects = self._history.cut(names, call.upstream_incarnation)
        message = RequestInterrupted(
            call.fingerprint, call.upstream_incarnation, suspects
        )
        return self._connectivity.report_once_heard(lambda: self._send(message))

    def response_completed(self, call: Call) -> None:
        """Report a complete response to a request that is under suspicion."""
        if self._quarantine.is_suspect(call.fingerprint):
            self._send(RequestCompleted(call.fingerprint))
        if self._quarantine.is_open(call.upstream_incarnation) and call.sent_at:
            self._send(UpstreamAnswered(call.upstream_incarnation, call.sent_at))
        self._parts_answered(call)

    def _parts_answered(self, call: Call) -> None:
        """Record that the parts of a prompt do not crash upstreams."""
        names = part_names(call.prompt_parts)
        self._history.answered(names)
        for name in names:
            if self._quarantine.is_endangered(name):
                self._send(RequestCompleted(name))

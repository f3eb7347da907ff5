"""Logs and counts requests that have ended."""

from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..failures import Reason
from ..logs import Logger
from ..metrics import Metrics
from .call import Call
from .caller_responses import WHOLE, Ending
from .elapsed import elapsed_ms, milliseconds

LATE_BY_FIRST_EVENT = "first_event"
LATE_BY_PAUSE = "pause"
LATE_BY_BOTH = "both"
NO_CONFIGURATION = -1
"""The version while no configuration is known."""


class EndRecorder:
    """Records how and when calls ended.

    Parameters
    ----------
    configuration_version : callable
        Returns the version of the configuration that is in force.

    Attributes
    ----------
    ended_by_stop : int
        Calls that were still at work when the instance ended.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
        configuration_version: Callable[[], int] = lambda: NO_CONFIGURATION,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._configuration_version = configuration_version
        self.ended_by_stop = 0

    def record(self, call: Call, ending: Ending) -> None:
        """Log and count the end of a call."""
        elapsed = self._clock.monotonic() - call.received_at
        self._count(call, ending, elapsed)
        pause = call.longest_pause
        self._log.info(
            "request ended",
            request=call.id,
            fingerprint=call.fingerprint,
            route=call.route.name,
            customer=call.customer_name,
            adapter=str(call.adapter or ""),
            upstream=call.last_upstream,
            software_version=call.last_software_version,
            resumes=call.resumes,
            last_event=call.last_event_id,
            status=ending.status,
            reason=ending.reason,
            cut=_is_cut(call, ending),
            sends=call.sends,
            waited_ms=milliseconds(call.placement_wait),
            admission_ms=milliseconds(call.admission_wait),
            sent_ms=elapsed_ms(call.received_at, call.sent_at),
            first_ms=elapsed_ms(call.received_at, call.first_event_at),
            longest_pause_ms=None if pause is None else milliseconds(pause.length),
            pause_at_event=None if pause is None else pause.event,
            caller_wait_ms=None if pause is None else milliseconds(pause.caller_wait),
            took_ms=milliseconds(elapsed),
            aim_ms=milliseconds(call.route.target_latency),
            tokens=call.token_counts.prompt_tokens,
            configuration=call.configuration_version,
            configuration_at_end=self._configuration_version(),
        )

    def _count(self, call: Call, ending: Ending, elapsed: timedelta) -> None:
        self._metrics.observe("request_seconds", elapsed.total_seconds())
        self._metrics.count("customer_requests", call.customer_name, ending.reason)
        if ending.reason == Reason.STOPPING:
            self.ended_by_stop += 1
        if call.has_forwarded_event:
            self._metrics.count("streams_begun")
        if _is_cut(call, ending):
            self._metrics.count("streams_cut", ending.reason)
        if call.adapter is not None:
            self._metrics.observe(
                "load_stall_seconds", call.placement_wait.total_seconds()
            )
        late_by = _late_by(call) if ending.reason == WHOLE else None
        if late_by is not None:
            self._metrics.count("late_streams", late_by)


def _is_cut(call: Call, ending: Ending) -> bool:
    """Return whether a stream was broken off, other than by its caller's leaving."""
    if not call.has_forwarded_event:
        return False
    return ending.reason not in (WHOLE, Reason.CALLER_LEFT)


def _late_by(call: Call) -> str | None:
    """Return what made a stream late; None for one on time and for other answers."""
    if call.first_event_at is None:
        return None
    route, pause = call.route, call.longest_pause
    first_late = call.first_event_at - call.received_at > route.target_latency
    pause_late = pause is not None and pause.length > route.target_event_gap
    if first_late and pause_late:
        return LATE_BY_BOTH
    if first_late:
        return LATE_BY_FIRST_EVENT
    return LATE_BY_PAUSE if pause_late else None

"""Whether this instance reaches any upstream, told from what its requests see.

A single upstream that does not answer is a fault of that upstream. If none is heard of
and connections to several fail, the fault lies between this instance and all of them:
it has then learnt nothing about an upstream, or about the requests that were under way.

Requests give the first hints. What decides are connections opened for that purpose; see
`probes`. An instance is cut off only while another one reaches upstreams.
"""

from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import Clock
from ..logs import Logger
from ..metrics import Metrics

SILENCE = timedelta(milliseconds=500)
"""How long no upstream is heard of, while requests wait, until connections are tried.
Well above the pauses between the answers that a serving instance receives."""
MIN_FAILED_UPSTREAMS = 2
"""Upstreams that can't be connected to, none in between that can, until further ones
are tried."""
MAX_CRASHED_TOGETHER = 3
"""Upstreams that one request may have crashed before it is held back. Only where there
are no more than these can it have left no upstream at all."""
MAX_UNCONFIRMED = 1024
"""Reports that are kept until an upstream is heard of; beyond that the oldest is
dropped."""


def _ignore() -> None:
    """Do nothing: no probes are connected yet."""


def _no() -> bool:
    """Return False: no other instances are known yet."""
    return False


@dataclass(frozen=True, slots=True)
class _Unconfirmed:
    """A report that is kept until an upstream is heard of.

    Parameters
    ----------
    decided : Future
        Done once the report was sent or dropped.
    """

    send: Callable[[], None]
    decided: "Future[None]" = field(default_factory=Future)


class Connectivity:
    """Whether this instance is cut off from all upstreams.

    Attributes
    ----------
    is_cut_off : bool
        Whether no upstream can be reached.
    on_suspicion : callable
        Called when connections should be tried.
    on_change : callable
        Called when `is_cut_off` has changed.
    on_unreachable : callable
        Called each time that connections were tried in vain.
    others_reach : callable
        Returns whether another instance reaches upstreams.
    """

    def __init__(self, clock: Clock, metrics: Metrics, log: Logger) -> None:
        self.is_cut_off = False
        self.on_suspicion: Callable[[], None] = _ignore
        self.on_change: Callable[[], None] = _ignore
        self.on_unreachable: Callable[[], None] = _ignore
        self.others_reach: Callable[[], bool] = _no
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._heard_at = clock.monotonic()
        self._cut_off_at = clock.monotonic()
        self._is_alone = False
        self._unreachable: set[str] = set()
        self._unconfirmed: list[_Unconfirmed] = []

    # What requests see

    def heard(self) -> None:
        """Record that an upstream has sent something."""
        self._heard_at = self._clock.monotonic()
        if self._unconfirmed and not self.is_cut_off:
            self._send_unconfirmed()

    def connected(self) -> None:
        """Record that a connection to an upstream was opened."""
        self._unreachable.clear()
        self.heard()

    def connect_failed(self, upstream: str) -> None:
        """Record that no connection to an upstream could be opened."""
        self._unreachable.add(upstream)
        if len(self._unreachable) >= MIN_FAILED_UPSTREAMS:
            self.on_suspicion()

    def response_overdue(self) -> None:
        """Record that a request has waited for its upstream for `SILENCE`."""
        if self.heard_since(self._clock.monotonic() - SILENCE):
            return
        self.on_suspicion()

    def report_once_heard(self, send: Callable[[], None]) -> "Future[None]":
        """Report that an upstream broke a connection, once another sign has come.

        Until then the fault may lie between this instance and all upstreams. Reports
        are dropped if that turns out to be so.

        Returns
        -------
        Future
            Done once the report was sent or dropped.
        """
        report = _Unconfirmed(send)
        if self.is_cut_off:
            report.decided.set_result(None)
            return report.decided
        self._unconfirmed.append(report)
        for oldest in self._unconfirmed[:-MAX_UNCONFIRMED]:
            oldest.decided.set_result(None)
        del self._unconfirmed[:-MAX_UNCONFIRMED]
        self.on_suspicion()
        return report.decided

    @property
    def has_unconfirmed(self) -> bool:
        """Return whether reports wait for a sign of an upstream."""
        return bool(self._unconfirmed)

    def _take_unconfirmed(self) -> list[_Unconfirmed]:
        taken, self._unconfirmed = self._unconfirmed, []
        return taken

    def _drop_unconfirmed(self) -> None:
        for report in self._take_unconfirmed():
            report.decided.set_result(None)

    def _send_unconfirmed(self) -> None:
        for report in self._take_unconfirmed():
            report.send()
            report.decided.set_result(None)

    def heard_since(self, at: timedelta) -> bool:
        """Return whether an upstream has been heard of since a moment."""
        return self._heard_at > at

    @property
    def lacks_connections(self) -> bool:
        """Return whether several upstreams could not be connected to, none since."""
        return len(self._unreachable) >= MIN_FAILED_UPSTREAMS

    # What probes find

    def set_unreachable(self, upstreams: int) -> None:
        """Record that no upstream can be reached from here.

        Parameters
        ----------
        upstreams : int
            Number of upstreams that are known.
        """
        self.on_unreachable()
        if self.is_cut_off:
            return
        if not self.others_reach():
            self._log_alone()
            if upstreams <= MAX_CRASHED_TOGETHER:
                self._send_unconfirmed()
            self._drop_unconfirmed()
            return
        self._is_alone = False
        self.is_cut_off = True
        now = self._clock.monotonic()
        self._cut_off_at = now
        self._metrics.gauge("cut_off", 1)
        self._log.warning(
            "no upstream can be reached",
            silent_ms=(now - self._heard_at) // timedelta(milliseconds=1),
            unreachable=sorted(self._unreachable),
            dropped_reports=len(self._unconfirmed),
        )
        self._drop_unconfirmed()
        self.on_change()

    def _log_alone(self) -> None:
        """Log once that no other instance is known to reach upstreams either."""
        if self._is_alone:
            return
        self._is_alone = True
        self._metrics.count("no_upstream_anywhere")
        self._log.warning(
            "no upstream can be reached, and no instance that reaches any is known",
            unreachable=sorted(self._unreachable),
        )

    def set_restored(self) -> None:
        """Record that upstreams can be reached."""
        self._is_alone = False
        if self.is_cut_off:
            self.is_cut_off = False
            lasted = self._clock.monotonic() - self._cut_off_at
            self._metrics.gauge("cut_off", 0)
            self._log.info(
                "upstreams can be reached again",
                lasted_ms=lasted // timedelta(milliseconds=1),
            )
            self.on_change()
        self.connected()

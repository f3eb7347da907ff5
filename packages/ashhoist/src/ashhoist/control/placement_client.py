"""Asks the leader to place this instance's requests, and reports their engine use."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..failures import Reason
from ..placement.messages import (
    FirstEventReceived,
    PlacementCancelled,
    PlacementRequest,
    Refusal,
    RequestEnded,
    RequestSent,
    Target,
)
from ..upstreams import Directory
from .messages import (
    EngineUses,
    PlacementDeclined,
    PlacementGranted,
    PlacementQuery,
    PlacementQueryCancel,
    PlacementQueued,
)

MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class _UnsentChanges:
    """Changes in the use of engines that the leader has not been sent yet."""

    began: list[list[object]] = field(default_factory=list)
    started: list[list[str]] = field(default_factory=list)
    ended: list[list[str]] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        return not (self.began or self.started or self.ended)


class PlacementClient:
    """Client of the leader for the requests of this instance.

    Keeps the requests that wait for an adapter and those running at engines, so that
    a new leader can be sent all of them.

    Parameters
    ----------
    zone : str
        This instance's availability zone.
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
        self._waiting: dict[str, PlacementRequest] = {}
        self._asked_two_leaders: set[str] = set()
        self._active_uses: dict[str, RequestSent] = {}
        self._started_ids: set[str] = set()
        self._unsent = _UnsentChanges()

    # Requests of this instance that need an adapter

    def request_placement(self, wanted: PlacementRequest) -> None:
        """Ask the leader to place a request that needs an adapter."""
        self._waiting[wanted.id] = wanted
        self._tell_leader(self._ask(wanted))

    def no_longer_wanted(self, message: PlacementCancelled) -> None:
        """Withdraw a request that has ended while it was waiting."""
        self._asked_two_leaders.discard(message.id)
        if self._waiting.pop(message.id, None) is not None:
            self._tell_leader(PlacementQueryCancel(message.id))

    def _ask(self, wanted: PlacementRequest) -> PlacementQuery:
        """Return the message that asks the leader to place a request."""
        now = self._clock.monotonic()
        return PlacementQuery(
            wanted.id,
            wanted.service,
            wanted.adapter.model,
            wanted.adapter.name,
            wanted.oldest_version,
            wanted.tokens,
            wanted.worth,
            wanted.late_worth,
            _left_ms(wanted.on_time_until, now),
            _left_ms(wanted.deadline, now),
            _left_ms(wanted.give_up_at, now),
            self._zone,
            wanted.may_retry,
            list(wanted.tried),
            wanted.gap_ms,
            wanted.software_version,
        )

    # Responses of the leader

    def handle_granted(self, granted: PlacementGranted) -> None:
        """Send a request to the engine that the leader has chosen."""
        wanted = self._waiting.pop(granted.id, None)
        if wanted is None:
            self._give_back_unless_used(granted)
            return
        upstream = self._directory.view.by_id.get(granted.upstream)
        if upstream is None and not wanted.answer.cancelled():
            self.record_end(RequestEnded(granted.id, granted.upstream))
            self._ask_elsewhere(wanted, granted.upstream)
            return
        if upstream is None or not wanted.answer.set_running_or_notify_cancel():
            self.record_end(RequestEnded(granted.id, granted.upstream))
            return
        use = RequestSent(granted.id, upstream.id, wanted.adapter, wanted.tokens)
        self._active_uses[use.id] = use
        if wanted.id in self._asked_two_leaders:
            self._asked_two_leaders.discard(wanted.id)
            self._unsent.began.append(_use_row(use))
            self._tell_leader(PlacementQueryCancel(wanted.id))
        version = granted.version or None
        expected = granted.expected_ms * MILLISECOND
        target = Target(
            upstream.id, upstream.address, version, expected, granted.permitted
        )
        wanted.answer.set_result(target)

    def _give_back_unless_used(self, granted: PlacementGranted) -> None:
        """Give a grant back that nobody waits for: the leader counts it until told.

        Two leaders may have granted the same engine, where the request runs.
        """
        active = self._active_uses.get(granted.id)
        if active is None or active.upstream != granted.upstream:
            self.record_end(RequestEnded(granted.id, granted.upstream))

    def _ask_elsewhere(self, wanted: PlacementRequest, unknown: str) -> None:
        """Ask again, as the leader knows an engine that is not known here yet."""
        wanted = replace(wanted, tried=(*wanted.tried, unknown))
        self._waiting[wanted.id] = wanted
        self._tell_leader(self._ask(wanted))

    def handle_queued(self, message: PlacementQueued) -> None:
        """Note that the leader has queued a request."""
        wanted = self._waiting.get(message.id)
        if wanted is not None and not wanted.acknowledged.done():
            wanted.acknowledged.set_result(None)

    def handle_declined(self, declined: PlacementDeclined) -> None:
        """Refuse a request that the leader has declined."""
        wanted = self._waiting.pop(declined.id, None)
        self._asked_two_leaders.discard(declined.id)
        if wanted is None:
            return
        wait = declined.retry_after_ms * MILLISECOND
        if wanted.answer.set_running_or_notify_cancel():
            wanted.answer.set_result(Refusal(_reason_of(declined.reason), wait))

    def send_all_to_leader(self) -> None:
        """Send a new leader all uses of engines and all waiting requests.

        The old leader may grant some of them all the same.
        """
        self._asked_two_leaders = set(self._waiting)
        self._tell_leader(self._all_uses())
        for wanted in list(self._waiting.values()):
            self._tell_leader(self._ask(wanted))

    # Use of engines

    def record_direct_send(self, use: RequestSent) -> None:
        """Record a use that was not granted by the leader."""
        self._active_uses[use.id] = use
        self._unsent.began.append(_use_row(use))

    def record_first_event(self, use: FirstEventReceived) -> None:
        """Record that a request has received its first event."""
        self._started_ids.add(use.id)
        self._unsent.started.append([use.id, use.upstream])

    def record_end(self, use: RequestEnded) -> None:
        """Record the end of a use."""
        active = self._active_uses.get(use.id)
        if active is not None and active.upstream == use.upstream:
            del self._active_uses[use.id]
            self._started_ids.discard(use.id)
        self._unsent.ended.append([use.id, use.upstream, str(use.outcome)])

    def send_use_changes(self) -> None:
        """Send the leader the changes since the last call."""
        if self._unsent.is_empty:
            return
        unsent, self._unsent = self._unsent, _UnsentChanges()
        self._tell_leader(EngineUses(unsent.began, unsent.started, unsent.ended))

    def _all_uses(self) -> EngineUses:
        """Return all current uses, for a leader that knows none yet."""
        self._unsent = _UnsentChanges()
        began = [_use_row(use) for use in self._active_uses.values()]
        started = [
            [use.id, use.upstream]
            for use in self._active_uses.values()
            if use.id in self._started_ids
        ]
        return EngineUses(began, started, [])


def _use_row(use: RequestSent) -> list[object]:
    return [use.id, use.upstream, use.adapter.model, use.adapter.name, use.tokens]


def _reason_of(text: str) -> Reason:
    """Return the `Reason` with this value; `NO_UPSTREAM` if it is unknown."""
    try:
        return Reason(text)
    except ValueError:
        return Reason.NO_UPSTREAM


def _left_ms(at: timedelta, now: timedelta) -> int:
    return int((at - now) / MILLISECOND)

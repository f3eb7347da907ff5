"""Selects model engines: as the leader decides, or, failing that, this instance.

The leader (see `control.election`) sees the requests at all engines, so it is asked
about each request. Where there is no leader, or it does not respond in time, the
request goes to an engine that is known to serve its adapter.
"""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..failures import Reason
from ..loop import Steps, Wait
from ..overload import AttemptOutcome
from ..placement.messages import (
    FirstEventReceived,
    Lookup,
    PlacementCancelled,
    PlacementRequest,
    Refusal,
    RequestEnded,
    RequestOutcome,
    RequestSent,
    Target,
)
from ..placement.residency import AdapterLocation
from ..routing.active_configuration import ActiveConfiguration
from ..upstreams import Backoffs, Balancer, Directory, Health
from .call import Call
from .choosers import PlainChooser
from .results import Choice
from .room_check import RoomCheck
from .send_permits import SendPermits
from .waiting import CallerWatch, wait_for
from .worth import LATE_WORTH_SHARE, WorthEstimator

MILLISECOND = timedelta(milliseconds=1)
MAX_WAIT_SHARE = 0.42
"""Share of its remaining time that a request waits at most unless its adapter is being
loaded already."""
CALLER_PATIENCE_SHARE = 0.8
"""The same, as a share of the time after which its caller disconnects."""
LEADER_GRACE = timedelta(milliseconds=350)
"""How long after that time a request waits for the leader before it is refused."""
NO_PLACE_RETRY_AFTER = timedelta(milliseconds=300)
LEADER_RESPONSE_TIMEOUT = timedelta(milliseconds=120)
"""If the leader has not responded after this time, the request is sent without it to an
engine that is known to serve its adapter."""
LOOKUP_TIMEOUT = timedelta(milliseconds=60)
"""How long a hub has to look up where an adapter is served. This covers a few round
trips between zones and is short compared with a request's target latency."""


class EngineChooser:
    """Sends requests to engines that serve their adapter.

    Parameters
    ----------
    send : callable
        Sends messages to the control task.
    leader_known : callable
        Returns whether this instance knows a leader.
    """

    def __init__(
        self,
        directory: Directory,
        active_configuration: ActiveConfiguration,
        balancer: Balancer,
        health: Health,
        backoffs: Backoffs,
        permits: SendPermits,
        room_check: RoomCheck,
        send: Callable[[Any], None],
        leader_known: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._active_configuration = active_configuration
        self._balancer = balancer
        self._health = health
        self._backoffs = backoffs
        self._permits = permits
        self._room_check = room_check
        self._send = send
        self._leader_known = leader_known
        self._clock = clock
        self._worth = WorthEstimator()
        self._any_engine = PlainChooser(directory, balancer, permits, room_check)

    def choose(self, call: Call, caller: CallerWatch) -> Steps[Choice]:
        """Return the engine for `call`; waits until its adapter is available."""
        if call.adapter is None:
            return (yield from self._any_engine.choose(call, caller))
        if self._all_backing_off(call):
            wait = self._room_check.retry_after(call.service)
            return Refusal(Reason.UPSTREAMS_REST, wait)
        call.placement.use_id = f"{call.id}/{next(call.placement_numbers)}"
        if not self._leader_known():
            found = yield from self._find_serving_engine(call)
            if found is not None:
                return self._send_without_leader(call, found)
        return (yield from self._ask_leader(call, caller))

    def has_alternative(self, call: Call) -> bool:
        """Return whether there is an engine that `call` has not been sent to yet.

        Its adapter may have to be loaded there.
        """
        return self._any_engine.has_alternative(call)

    def on_first_event(self, call: Call, target: Target) -> None:
        """Record that the first event of an attempt has arrived."""
        if call.adapter is not None:
            self._send(FirstEventReceived(call.placement.use_id, target.upstream))

    def is_admitted_by_leader(self, call: Call) -> bool:
        """Return False: requests to engines are placed, not admitted."""
        return False

    def on_attempt_ended(
        self,
        call: Call,
        target: Target,
        end: RequestOutcome,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Record that an attempt has ended."""
        self._balancer.end(target.upstream)
        if call.adapter is not None:
            self._send(RequestEnded(call.placement.use_id, target.upstream, end))

    def _all_backing_off(self, call: Call) -> bool:
        """Return whether every engine of a call asked this instance to back off."""
        found = self._directory.view.of(call.service, call.software_version)
        return bool(found) and all(
            self._backoffs.is_backing_off(engine.id) for engine in found
        )

    # Without the leader

    def _send_without_leader(self, call: Call, found: Target) -> Target:
        """Assign `call` to an engine that is known to serve its adapter."""
        assert call.adapter is not None
        call.placement.use_id += "-alone"
        tokens = call.token_counts.prompt_tokens
        self._send(
            RequestSent(call.placement.use_id, found.upstream, call.adapter, tokens)
        )
        self._balancer.begin(found.upstream)
        return found

    def _find_serving_engine(self, call: Call) -> Steps[Target | None]:
        """Return an engine that serves a call's adapter, according to a hub."""
        assert call.adapter is not None
        lookup = Lookup(call.adapter)
        self._send(lookup)
        until = self._clock.monotonic() + LOOKUP_TIMEOUT
        while not lookup.answer.done() and self._clock.monotonic() < until:
            yield Wait(until, future=lookup.answer)
        if lookup.answer.cancel():
            return None
        return self._least_loaded(call, lookup.answer.result())

    def _least_loaded(
        self, call: Call, locations: tuple[AdapterLocation, ...]
    ) -> Target | None:
        minimum_version = self._minimum_version(call)
        found: Target | None = None
        lowest_load = 0
        for location in locations:
            upstream = self._directory.view.by_id.get(location.upstream)
            if upstream is None or not upstream.accepts_requests:
                continue
            if not upstream.has_software(call.software_version):
                continue
            if location.version < minimum_version or upstream.id in call.tried:
                continue
            if self._backoffs.is_backing_off(upstream.id) or self._permits.is_limited(
                upstream.id
            ):
                continue
            if upstream.service != call.service or not self._health.usable(upstream.id):
                continue
            if not self._room_check.has_room(upstream):
                continue
            load = self._balancer.in_flight(upstream.id)
            if found is None or load < lowest_load:
                version = location.version or None
                found = Target(upstream.id, upstream.address, version)
                lowest_load = load
        return found

    def _minimum_version(self, call: Call) -> int:
        """Return the oldest version of a call's adapter that may still be used."""
        assert call.adapter is not None
        required_version = self._active_configuration.required_version(call.adapter)
        return 0 if required_version is None else required_version.version

    # With the leader

    def _ask_leader(self, call: Call, caller: CallerWatch) -> Steps[Choice]:
        began = self._clock.monotonic()
        try:
            return (yield from self._await_placement(call, caller, began))
        finally:
            call.placement.placement_wait += self._clock.monotonic() - began

    def _await_placement(
        self, call: Call, caller: CallerWatch, began: timedelta
    ) -> Steps[Choice]:
        request = self._placement_request(call)
        self._send(request)
        choice: Choice | None = None
        try:
            choice = yield from self._await_answer(request, call, caller, began)
        finally:
            if choice is None:
                self._withdraw(request)
        return choice

    def _withdraw(self, request: PlacementRequest) -> None:
        """Tell the leader that a request is not sent, whether it was granted or not."""
        if request.answer.cancel():
            self._send(PlacementCancelled(request.id))
            return
        result = request.answer.result()
        if isinstance(result, Target):
            self._send(RequestEnded(request.id, result.upstream))

    def _await_answer(
        self,
        request: PlacementRequest,
        call: Call,
        caller: CallerWatch,
        began: timedelta,
    ) -> Steps[Choice]:
        latest = min(request.give_up_at + LEADER_GRACE, request.deadline)
        caller_left = yield from wait_for(
            request.answer,
            min(began + LEADER_RESPONSE_TIMEOUT, latest),
            caller,
            self._clock,
        )
        if (
            caller_left is None
            and not request.answer.done()
            and not request.acknowledged.done()
        ):
            found = yield from self._find_serving_engine(call)
            if found is not None and request.answer.cancel():
                self._send(PlacementCancelled(request.id))
                return self._send_without_leader(call, found)
        if caller_left is None:
            caller_left = yield from wait_for(
                request.answer, latest, caller, self._clock
            )
        if request.answer.cancel():
            self._send(PlacementCancelled(request.id))
            return caller_left or Refusal(Reason.NO_PLACE, NO_PLACE_RETRY_AFTER)
        result = request.answer.result()
        if isinstance(result, Target):
            self._balancer.begin(result.upstream)
        return result

    def _placement_request(self, call: Call) -> PlacementRequest:
        assert call.adapter is not None
        answer: Future[Target | Refusal] = Future()
        worth = self._worth.estimate(call)
        late_worth = worth * LATE_WORTH_SHARE
        on_time_until = call.received_at + call.route.target_latency
        now = self._clock.monotonic()
        caller_gives_up_at = call.caller_gives_up_at
        if caller_gives_up_at <= now:
            # It has not left yet.
            caller_gives_up_at = call.deadline
        give_up_at = min(
            now + (call.deadline - now) * MAX_WAIT_SHARE,
            now + (caller_gives_up_at - now) * CALLER_PATIENCE_SHARE,
        )
        if call.has_forwarded_event and not call.is_searching:
            # What its caller has got is lost with it, however late it goes on.
            late_worth, on_time_until = worth, call.deadline
        return PlacementRequest(
            call.placement.use_id,
            call.service,
            call.adapter,
            self._minimum_version(call),
            call.token_counts.prompt_tokens,
            worth,
            late_worth,
            on_time_until,
            caller_gives_up_at,
            give_up_at,
            call.first_try and not call.sends,
            (*call.tried, *self._backoffs.backing_off()),
            answer,
            gap_ms=_gap_ms(call),
            software_version=call.software_version,
        )


def _gap_ms(call: Call) -> int:
    """Return the longest pause that is on time; 0 if the answer is not a stream."""
    if not call.route.streams:
        return 0
    return int(call.route.target_event_gap / MILLISECOND)

"""Chooses for model engines: where the adapter is, else where it is brought."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..failures import Reason
from ..http import CallerConnection
from ..http.sockets import Waker, wait_readable
from ..placement import Residency
from ..placement.asks import (
    NoLongerWanted,
    Refusal,
    Target,
    UseBegan,
    UseEnded,
    Wanted,
)
from ..placement.residency import Place
from ..routing.in_force import InForce
from ..upstreams import Balancer, Directory, Health
from .attempt import CallerLeft
from .call import Call
from .choosers import Choice

OLD_VERSION_GRACE = timedelta(milliseconds=2500)
WORTH_BY_PRIORITY = (4.2, 3.5, 1.8)
LATE_SHARE = 0.3
HELD_SHARE = 0.49
"""Of its time, that a request waits at most for its adapter."""
COME_BACK = timedelta(milliseconds=300)


class EngineChooser:
    """Sends requests where their adapter is served; waits for it otherwise.

    Parameters
    ----------
    send : callable
        Takes messages to the control task.
    """

    def __init__(
        self,
        directory: Directory,
        residency: Residency,
        in_force: InForce,
        balancer: Balancer,
        health: Health,
        send: Callable[[Any], None],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._residency = residency
        self._in_force = in_force
        self._balancer = balancer
        self._health = health
        self._send = send
        self._clock = clock
        self._local = threading.local()

    def choose(self, call: Call, caller: CallerConnection) -> Choice:
        """Return where `call` goes; waits for its adapter."""
        if call.adapter is None:
            return self._of_any_engine(call)
        found = self._serving(call)
        if found is None:
            return self._wait(call, caller)
        self._send(UseBegan(found.upstream, call.adapter))
        self._balancer.begin(found.upstream)
        return found

    def ended(self, call: Call, target: Target) -> None:
        """Take in that an attempt has ended."""
        self._balancer.end(target.upstream)
        if call.adapter is not None:
            self._send(UseEnded(target.upstream, call.adapter))

    def _of_any_engine(self, call: Call) -> Choice:
        found = self._directory.view.of(call.service)
        upstream = self._balancer.choose(found, call.tried)
        if upstream is None:
            return Refusal(Reason.NO_UPSTREAM)
        self._balancer.begin(upstream.id)
        return Target(upstream.id, upstream.address)

    # Where the adapter is already

    def _serving(self, call: Call) -> Target | None:
        assert call.adapter is not None
        places = self._residency.view.get(call.adapter, ())
        oldest = self._oldest_version(call)
        by_id = self._directory.view.by_id
        best: Target | None = None
        best_rank: tuple[int, int] | None = None
        for place in places:
            upstream = by_id.get(place.upstream)
            if upstream is None or not upstream.takes_work:
                continue
            if place.version < oldest or place.upstream in call.tried:
                continue
            if upstream.service != call.service or not self._health.usable(upstream.id):
                continue
            rank = (place.version, -self._balancer.under_way(upstream.id))
            if best_rank is None or rank > best_rank:
                best_rank = rank
                best = Target(upstream.id, upstream.address, _expected(place))
        return best

    def _oldest_version(self, call: Call) -> int:
        """Return the version below which an adapter must not serve any more."""
        assert call.adapter is not None
        named = self._in_force.wanted(call.adapter)
        if named is None:
            return 0
        age = self._clock.monotonic() - named.known_since
        return 0 if age < OLD_VERSION_GRACE else named.version

    # Where it is brought

    def _wait(self, call: Call, caller: CallerConnection) -> Choice:
        began = self._clock.monotonic()
        answer: Future[Target | Refusal] = Future()
        waker = self._waker()
        answer.add_done_callback(lambda _: waker.wake())
        self._send(self._wanted(call, answer))
        limit = began + (call.limit - began) * HELD_SHARE
        while True:
            if answer.done():
                call.waited += self._clock.monotonic() - began
                result = answer.result()
                if isinstance(result, Target):
                    self._balancer.begin(result.upstream)
                return result
            ended = self._pause(limit, caller, waker)
            if ended is None or not answer.cancel():
                continue
            self._send(NoLongerWanted(call.id))
            call.waited += self._clock.monotonic() - began
            return ended

    def _pause(
        self, limit: timedelta, caller: CallerConnection, waker: Waker
    ) -> CallerLeft | Refusal | None:
        watched = [waker.fileno()]
        if caller.watched is not None:
            watched.append(caller.watched)
        ready = wait_readable(watched, limit, self._clock)
        if not ready:
            return Refusal(Reason.NO_PLACE, COME_BACK)
        if waker.fileno() in ready:
            waker.clear()
            return None
        return CallerLeft() if caller.left() else None

    def _wanted(self, call: Call, answer: "Future[Target | Refusal]") -> Wanted:
        assert call.adapter is not None
        named = self._in_force.wanted(call.adapter)
        worth = _worth(call)
        return Wanted(
            call.id,
            call.service,
            call.adapter,
            0 if named is None else named.version,
            worth,
            worth * LATE_SHARE,
            call.received_at + call.route.aim,
            call.limit,
            call.first_try and not call.sends,
            tuple(call.tried),
            answer,
        )

    def _waker(self) -> Waker:
        waker: Waker | None = getattr(self._local, "waker", None)
        if waker is None:
            waker = self._local.waker = Waker()
        waker.clear()
        return waker


def _expected(place: Place) -> int | None:
    return place.version or None


def _worth(call: Call) -> float:
    place = min(max(call.route.priority, 0), len(WORTH_BY_PRIORITY) - 1)
    return WORTH_BY_PRIORITY[place] * (0.3 + 0.7 * call.sizes.weight / 2000)

"""Chooses for model engines: the holder of the lease says where, or this instance.

The holder sees all requests at all engines, so it is asked for each. Where there
is none, or it does not answer soon, a request goes to an engine that is known to
serve its adapter.
"""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..failures import Reason
from ..http import CallerConnection
from ..loop import Steps, Wait
from ..placement.asks import (
    Lookup,
    NoLongerWanted,
    Refusal,
    Target,
    UseBegan,
    UseEnd,
    UseEnded,
    UseStarted,
    Wanted,
)
from ..placement.residency import Place
from ..routing.in_force import InForce
from ..upstreams import Balancer, Directory, Health, Rests
from .call import Call
from .choosers import Choice, PlainChooser
from .limited_sends import LimitedSends
from .waiting import wait_for
from .worth import LATE_SHARE, Worth

HELD_SHARE = 0.42
"""Of its time, that a request waits at most while nothing is on its way to it."""
PATIENCE_SHARE = 0.8
"""The same, of the time after which its caller leaves."""
HOLDER_LATE = timedelta(milliseconds=350)
"""So long after that the request is refused without a word of the holder."""
COME_BACK = timedelta(milliseconds=300)
HOLDER_SILENT = timedelta(milliseconds=120)
"""After so long without a word of the holder, a request goes its own way."""
LOOKUP_PATIENCE = timedelta(milliseconds=60)
"""How long a hub has to say where an adapter is served: a few round trips between
zones, and little beside the aim of a request."""


class EngineChooser:
    """Sends requests to engines that serve their adapter.

    Parameters
    ----------
    send : callable
        Takes messages to the control task.
    holder_known : callable
        Returns whether somebody is known to hold the lease.
    """

    def __init__(
        self,
        directory: Directory,
        in_force: InForce,
        balancer: Balancer,
        health: Health,
        rests: Rests,
        sends: LimitedSends,
        send: Callable[[Any], None],
        holder_known: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._in_force = in_force
        self._balancer = balancer
        self._health = health
        self._rests = rests
        self._sends = sends
        self._send = send
        self._holder_known = holder_known
        self._clock = clock
        self._worth = Worth()
        self._any_engine = PlainChooser(directory, balancer, sends)

    def choose(self, call: Call, caller: CallerConnection) -> Steps[Choice]:
        """Return where `call` goes; waits for its adapter."""
        if call.adapter is None:
            return (yield from self._any_engine.choose(call, caller))
        if self._all_rest(call.service):
            return Refusal(Reason.UPSTREAMS_REST)
        call.use_id = f"{call.id}/{len(call.tried)}"
        if not self._holder_known():
            found = yield from self._known_to_serve(call)
            if found is not None:
                return self._go_alone(call, found)
        return (yield from self._ask(call, caller))

    def first_event(self, call: Call, target: Target) -> None:
        """Take in that an attempt has its first event."""
        if call.adapter is not None:
            self._send(UseStarted(call.use_id, target.upstream))

    def ended(self, call: Call, target: Target, end: UseEnd) -> None:
        """Take in that an attempt has ended."""
        self._balancer.end(target.upstream)
        if call.adapter is not None:
            self._send(UseEnded(call.use_id, target.upstream, end))

    def _all_rest(self, service: str) -> bool:
        """Return whether every engine of a service wants rest from this instance."""
        found = self._directory.view.of(service)
        return bool(found) and all(self._rests.rests(engine.id) for engine in found)

    # Without the holder

    def _go_alone(self, call: Call, found: Target) -> Target:
        """Send `call` to an engine that is known to serve its adapter."""
        assert call.adapter is not None
        call.use_id += "-alone"
        tokens = call.sizes.tokens_in
        self._send(UseBegan(call.use_id, found.upstream, call.adapter, tokens))
        self._balancer.begin(found.upstream)
        return found

    def _known_to_serve(self, call: Call) -> Steps[Target | None]:
        """Return an engine that serves a call's adapter, as a hub knows it."""
        assert call.adapter is not None
        lookup = Lookup(call.adapter)
        self._send(lookup)
        until = self._clock.monotonic() + LOOKUP_PATIENCE
        while not lookup.answer.done() and self._clock.monotonic() < until:
            yield Wait(until, future=lookup.answer)
        if lookup.answer.cancel():
            return None
        return self._least_busy(call, lookup.answer.result())

    def _least_busy(self, call: Call, places: tuple[Place, ...]) -> Target | None:
        oldest = self._oldest_version(call)
        found: Target | None = None
        least = 0
        for place in places:
            upstream = self._directory.view.by_id.get(place.upstream)
            if upstream is None or not upstream.takes_work:
                continue
            if place.version < oldest or upstream.id in call.tried:
                continue
            if self._rests.rests(upstream.id) or self._sends.limited(upstream.id):
                continue
            if upstream.service != call.service or not self._health.usable(upstream.id):
                continue
            under_way = self._balancer.under_way(upstream.id)
            if found is None or under_way < least:
                version = place.version or None
                found = Target(upstream.id, upstream.address, version)
                least = under_way
        return found

    def _oldest_version(self, call: Call) -> int:
        """Return the version below which an adapter must not serve any more."""
        assert call.adapter is not None
        named = self._in_force.wanted(call.adapter)
        return 0 if named is None else named.version

    # With the holder

    def _ask(self, call: Call, caller: CallerConnection) -> Steps[Choice]:
        began = self._clock.monotonic()
        choice = yield from self._await_answer(call, caller, began)
        call.waited += self._clock.monotonic() - began
        return choice

    def _await_answer(
        self, call: Call, caller: CallerConnection, began: timedelta
    ) -> Steps[Choice]:
        wanted = self._wanted(call)
        self._send(wanted)
        last = min(wanted.give_up_at + HOLDER_LATE, wanted.limit)
        left = yield from wait_for(
            wanted.answer, min(began + HOLDER_SILENT, last), caller, self._clock
        )
        if left is None and not wanted.answer.done() and not wanted.taken_in.done():
            found = yield from self._known_to_serve(call)
            if found is not None and wanted.answer.cancel():
                self._send(NoLongerWanted(wanted.id))
                return self._go_alone(call, found)
        if left is None:
            left = yield from wait_for(wanted.answer, last, caller, self._clock)
        if wanted.answer.cancel():
            self._send(NoLongerWanted(wanted.id))
            return left or Refusal(Reason.NO_PLACE, COME_BACK)
        result = wanted.answer.result()
        if isinstance(result, Target):
            self._balancer.begin(result.upstream)
        return result

    def _wanted(self, call: Call) -> Wanted:
        assert call.adapter is not None
        answer: Future[Target | Refusal] = Future()
        worth = self._worth.of(call)
        now = self._clock.monotonic()
        give_up_at = min(
            now + (call.limit - now) * HELD_SHARE,
            now + (call.left_at - now) * PATIENCE_SHARE,
        )
        return Wanted(
            call.use_id,
            call.service,
            call.adapter,
            self._oldest_version(call),
            call.sizes.tokens_in,
            worth,
            worth * LATE_SHARE,
            call.received_at + call.route.aim,
            call.left_at,
            give_up_at,
            call.first_try and not call.sends,
            (*call.tried, *self._rests.resting()),
            answer,
        )

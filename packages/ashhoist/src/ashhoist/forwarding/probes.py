"""Opens connections to several upstreams to find out whether any can be reached."""

import random
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta

from ..clock import Clock
from ..http.sockets import close, connect
from ..loop import Loop, Steps, Task, Wait, sleep_until
from ..upstreams import Directory, Upstream
from .connectivity import Connectivity

PROBED_UPSTREAMS = 4
"""Upstreams that are probed at once if the first one can't be reached."""
MIN_UPSTREAMS = 2
"""With a single upstream, a lost one can't be told from a lost network."""
CONNECT_TIMEOUT = timedelta(milliseconds=400)
"""Many round trips between zones; short enough that three attempts fit in a second and
a half."""
FIRST_WAIT = timedelta(milliseconds=20)
"""Wait before the first probes: on a busy instance an upstream is heard of by then."""
RETRY_INTERVAL = timedelta(milliseconds=300)
"""Between two rounds of probes while no upstream can be reached."""
MIN_INTERVAL = timedelta(seconds=1)
"""Between two rounds that have found an upstream, unless reports wait for a sign:
connections cost upstreams a slot."""

Connect = Callable[[str, timedelta], Steps[bool]]


class ConnectivityProbes:
    """Probes upstreams while there is doubt whether any can be reached.

    Parameters
    ----------
    zone : str
        The availability zone of this instance.
    connect : callable or None
        Takes an address and a deadline; returns whether a connection was opened. None
        opens TCP connections.
    """

    def __init__(
        self,
        zone: str,
        connectivity: Connectivity,
        directory: Directory,
        loop: Loop,
        rng: random.Random,
        connect: Connect | None = None,
    ) -> None:
        self._zone = zone
        self._connectivity = connectivity
        self._directory = directory
        self._loop = loop
        self._clock: Clock = loop.clock
        self._random = rng
        self._connect = connect or self._connect_tcp
        self._is_running = False
        self._next_at = self._clock.monotonic()
        connectivity.on_suspicion = self.start

    def start(self) -> None:
        """Start to probe unless that is under way, or was done a moment ago."""
        if self._is_running:
            return
        too_early = self._clock.monotonic() < self._next_at
        if too_early and not self._connectivity.has_unconfirmed:
            return
        self._is_running = True
        Task(self._loop, self._run(), "connectivity probes")

    def _run(self) -> Steps[None]:
        try:
            yield from self._probe_until_reached()
        finally:
            self._is_running = False
            self._next_at = self._clock.monotonic() + MIN_INTERVAL
        if self._connectivity.has_unconfirmed:
            # These came too late for the round that has just ended.
            self.start()

    def _probe_until_reached(self) -> Steps[None]:
        began = self._clock.monotonic()
        yield from sleep_until(began + FIRST_WAIT)
        state = self._connectivity
        if state.heard_since(began) and not state.lacks_connections:
            return
        upstreams = self._choose()
        if len(upstreams) < MIN_UPSTREAMS:
            return
        if (yield from self._probe(upstreams[:1])):
            state.set_restored()
            return
        state.on_unreachable()
        while True:
            round_began = self._clock.monotonic()
            reached = yield from self._probe(upstreams)
            # Once cut off, one upstream that answers does not prove that links are
            # back: most of them have to.
            needed = (len(upstreams) + 1) // 2 if state.is_cut_off else 1
            if reached >= needed:
                state.set_restored()
                return
            # Upstreams that are heard of meanwhile are in reach. They may have been
            # silent for a moment, in which the attempts to connect were lost.
            if state.is_cut_off or not state.heard_since(round_began):
                state.set_unreachable(len(self._directory.view.by_id))
            yield from sleep_until(self._clock.monotonic() + RETRY_INTERVAL)
            upstreams = self._choose()

    def _choose(self) -> list[Upstream]:
        """Return some upstreams: of each service, and of the own zone, if possible."""
        upstreams = list(self._directory.view.by_id.values())
        self._random.shuffle(upstreams)
        by_service: dict[tuple[str, bool], Upstream] = {}
        for upstream in upstreams:
            by_service.setdefault(
                (upstream.service, upstream.zone == self._zone), upstream
            )
        chosen = list(by_service.values())
        chosen += [upstream for upstream in upstreams if upstream not in chosen]
        return chosen[:PROBED_UPSTREAMS]

    def _probe(self, upstreams: list[Upstream]) -> Steps[int]:
        """Return how many of some upstreams a connection could be opened to."""
        until = self._clock.monotonic() + CONNECT_TIMEOUT
        results: list[Future[bool]] = [
            Task(self._loop, self._connect(upstream.address, until), "probe").result
            for upstream in upstreams
        ]
        for result in results:
            yield Wait(until + CONNECT_TIMEOUT, future=result)
        return sum(result.done() and bool(result.result()) for result in results)

    def _connect_tcp(self, address: str, until: timedelta) -> Steps[bool]:
        peer = yield from connect(self._loop, address, until)
        if peer is None:
            return False
        close(self._loop, peer)
        return True

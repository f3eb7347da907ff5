"""Pauses, breaks and refusals of upstreams and places, drawn, in virtual time.

Whatever happens, each event arrives once and in order, a stream that has begun is not
cut before its deadline, no request is given up while its last upstream still works on
it, no two upstreams work on one request, and nothing stays counted.
"""

import math
import os
import unittest
from dataclasses import dataclass
from unittest import mock

from hypothesis import Phase, given, seed, settings, strategies as st

from ashhoist.failures import Reason
from ashhoist.forwarding import ForwardingInstance
from ashhoist.http import UpstreamConnection

from .request_caller import Answer
from .request_harness import event
from .virtual_entry import VirtualCaller, VirtualEntry
from .virtual_places import Place
from .virtual_upstreams import BODY, EVENTS, FOR_EVER, Plan, Work

EXAMPLES = int(os.environ.get("EXAMPLES", "200"))
FIRST_SEED = int(os.environ.get("FIRST_SEED", "0"))
LIMITS = settings(max_examples=EXAMPLES, deadline=None, database=None)
DEADLINE_S = 12.0
END_DELTA_S = 0.6
"""By how much a stream may end before its deadline: a place that is granted later is
hardly of use."""
MOST_QUERIES_PER_S = 10
STREAM, SAFE, UNSAFE = "/stream/", "/safe/", "/unsafe/"
BROKEN_EXAMPLES = 100

pauses = st.one_of(
    st.floats(0.0, 4.0).map(lambda seconds: round(seconds, 1)),
    st.sampled_from([0.7, 0.8, 0.9, 1.0, FOR_EVER]),
)
plans = st.builds(
    Plan,
    pauses=st.dictionaries(st.integers(0, EVENTS), pauses, max_size=3),
    breaks_before=st.sampled_from([math.inf, math.inf, math.inf, 0, 1, 3, 6]),
    refusal=st.sampled_from([0, 0, 0, 0, 421, 503]),
    halves=st.sampled_from([(), (), (2,), (5,)]),
    bytewise=st.sampled_from([(), (), (), (3,)]),
    repeats_s=st.sampled_from([0.0, 0.0, 0.3]),
)
places = st.builds(
    Place,
    after_s=st.one_of(
        st.floats(0.0, 2.0).map(lambda seconds: round(seconds, 1)),
        st.sampled_from([0.0, None]),
    ),
    refusal=st.sampled_from(
        [None, None, Reason.NO_PLACE, Reason.UPSTREAMS_REST, Reason.OVERLOADED]
    ),
)


def moments(latest: float) -> st.SearchStrategy[float | None]:
    """Return times in seconds; None for what does not happen."""
    times = st.floats(0.0, latest).map(lambda seconds: round(seconds, 1))
    return st.one_of(st.none(), st.none(), times)


@dataclass(frozen=True)
class Links:
    """A time in which requests go to other instances.

    Parameters
    ----------
    instances : list of Plan
        How other instances handle requests.
    lost_s : float
        When no upstream is reached any more.
    dwindle_s : float or None
        When the first other instance no longer reaches upstreams either.
    healed_s : float
        When upstreams are reached again.
    """

    instances: list[Plan]
    lost_s: float
    dwindle_s: float | None
    healed_s: float

    def apply(self, entry: VirtualEntry) -> None:
        """Let them be lost and healed in an entry."""
        listed = [
            ForwardingInstance(f"instance-{number}", "zone", f"instance-{number}:1")
            for number in range(len(self.instances))
        ]
        for instance, plan in zip(listed, self.instances, strict=True):
            entry.add_server(instance.name, plan)
        entry.instances[:] = listed
        entry.connectivity.others_reach = lambda: True
        entry.after(self.lost_s, lambda: entry.connectivity.set_unreachable(5))
        entry.after(self.healed_s, entry.connectivity.set_restored)
        if self.dwindle_s is not None:
            entry.after(self.dwindle_s, lambda: entry.instances.pop(0))


@dataclass(frozen=True)
class Drawn:
    """One drawn course of requests that begin together.

    Parameters
    ----------
    leaves_s : float or None
        When the first caller disconnects; None if it does not.
    ends_s : float or None
        When the record of the first upstream ends.
    unreached : bool
        Whether the second upstream takes no connections.
    extra : float
        Retries that the budget allows.
    """

    plans: list[Plan]
    places: list[Place]
    path: str
    contended: bool
    requests: int
    leaves_s: float | None
    ends_s: float | None
    unreached: bool
    extra: float
    links: Links | None

    def play(self) -> "Played":
        """Play it until all requests have ended."""
        entry = VirtualEntry(*self.plans, contended=self.contended, extra=self.extra)
        try:
            self._plan_faults(entry)
            entry.places.moves = list(self.places)
            began = entry.now
            callers = [
                entry.call(self.path, f"id-{number}", DEADLINE_S)
                for number in range(self.requests)
            ]
            if self.leaves_s is not None:
                entry.after(self.leaves_s, callers[0].leave)
            entry.run(DEADLINE_S + 2.0)
            asked = len(entry.places.queries)
            return Played(self, entry, began, callers, asked, entry.leftovers())
        finally:
            entry.close()

    def _plan_faults(self, entry: VirtualEntry) -> None:
        if self.unreached:
            entry.stop_server("upstream-1")
        if self.ends_s is not None:
            entry.after(self.ends_s, lambda: entry.end_upstream("upstream-0"))
        if self.links is not None:
            self.links.apply(entry)


@dataclass(frozen=True)
class Played:
    """What was seen of a drawn course."""

    drawn: Drawn
    entry: VirtualEntry
    began: float
    callers: list[VirtualCaller]
    asked: int
    leftovers: list[str]

    def faults(self) -> list[str]:
        """Return what must not be."""
        found = list(self.leftovers)
        found += [f"a second upstream at work: {one}" for one in self.entry.doubles]
        if self.asked > self.drawn.requests * DEADLINE_S * MOST_QUERIES_PER_S:
            found.append(f"{self.asked} queries")
        for number, caller in enumerate(self.callers):
            left = not number and self.drawn.leaves_s is not None
            works = [one for one in self.entry.works if one.request == f"id-{number}"]
            found += self._faults_of(caller, works, left)
        return found

    @property
    def _may_leave_for_nothing(self) -> bool:
        """Return whether a request may leave an upstream and not reach another one.

        One that has got nothing leaves if the record of its upstream has ended, and for
        a granted upstream to which no connection can be opened then.
        """
        return self.drawn.ends_s is not None

    def _faults_of(
        self, caller: VirtualCaller, works: list[Work], left: bool
    ) -> list[str]:
        answer = caller.answer
        found = [] if _is_in_order(answer, self.drawn.path) else [f"events: {answer}"]
        if caller.ended_s is None:
            return [*found, "a caller still waits"]
        if self.drawn.path == UNSAFE and any(
            one.end != "refused" for one in works[:-1]
        ):
            found.append(f"ran more than once: {works}")
        if left or (answer.complete and answer.status == 200):
            return found
        if caller.ended_s - self.began >= DEADLINE_S - END_DELTA_S:
            return found
        if answer.body.startswith(b"id:"):
            found.append(f"cut before its deadline: {answer} {works}")
        if works and works[-1].end == "left" and not self._may_leave_for_nothing:
            found.append(f"given up while its upstream works on it: {answer} {works}")
        return found


def _is_in_order(answer: Answer, path: str) -> bool:
    """Return whether the caller got whole events, each once and in order."""
    if path != STREAM:
        return answer.status != 200 or answer.body == BODY
    if answer.status != 200:
        return True
    events = [event(number) for number in range(1, EVENTS + 1)]
    counts = range(EVENTS + 1) if not answer.complete else (EVENTS,)
    return any(answer.body == b"".join(events[:count]) for count in counts)


links = st.builds(
    Links,
    instances=st.lists(plans, max_size=3, min_size=1),
    lost_s=st.floats(0.0, 4.0).map(lambda seconds: round(seconds, 1)),
    dwindle_s=moments(8.0),
    healed_s=st.floats(4.0, 10.0).map(lambda seconds: round(seconds, 1)),
)


def drawn(paths: tuple[str, ...]) -> st.SearchStrategy[Drawn]:
    return st.builds(
        Drawn,
        plans=st.lists(plans, min_size=2, max_size=5),
        places=st.lists(places, max_size=12),
        path=st.sampled_from(paths),
        contended=st.booleans(),
        requests=st.integers(1, 3),
        leaves_s=moments(6.0),
        ends_s=moments(6.0),
        unreached=st.sampled_from([False, False, True]),
        extra=st.sampled_from([1000.0, 1000.0, 3.0, 0.0]),
        links=st.one_of(st.none(), st.none(), links),
    )


class DrawnMovesTests(unittest.TestCase):
    @LIMITS
    @seed(FIRST_SEED)
    @given(drawn((STREAM,)))
    def test_streams_are_whole_or_end_at_their_deadline(self, course: Drawn) -> None:
        self.assertEqual(course.play().faults(), [])

    @LIMITS
    @seed(FIRST_SEED)
    @given(drawn((SAFE, UNSAFE)))
    def test_requests_are_not_given_up_while_their_upstream_works(
        self, course: Drawn
    ) -> None:
        self.assertEqual(course.play().faults(), [])


class BrokenVariantTests(unittest.TestCase):
    def test_detects_connections_that_are_not_closed(self) -> None:
        # Guards against checks that see no second upstream at work.
        @settings(LIMITS, max_examples=BROKEN_EXAMPLES, phases=(Phase.generate,))
        @seed(FIRST_SEED)
        @given(drawn((STREAM,)))
        def play(course: Drawn) -> None:
            self.assertEqual(course.play().entry.doubles, [])

        with (
            mock.patch.object(UpstreamConnection, "close"),
            self.assertRaises(AssertionError),
        ):
            play()


if __name__ == "__main__":
    unittest.main()

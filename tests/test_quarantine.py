"""Which requests are held back: the fold over crashes and whole answers."""

import unittest
from datetime import timedelta
from unittest import mock

from hypothesis import given, settings, strategies as st

from ashhoist import logs
from ashhoist.clock import ManualClock
from ashhoist.control.crash_reports import CrashReports
from ashhoist.control.peers import Peers
from ashhoist.metrics import Metrics
from ashhoist.quarantine import (
    CRASHES,
    WINDOW,
    Crash,
    MalformedRecordError,
    Quarantine,
    RequestCut,
    RequestWhole,
    Whole,
    decode_record,
)
from ashhoist.store import Appended, Unavailable

STEP = timedelta(seconds=1)
BATCH = 96


def crash(life: str, *requests: str, instance: str = "one") -> Crash:
    return Crash(life, instance, frozenset(requests))


class Log:
    """Records in the order in which they stand on the log."""

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine
        self.end = 0

    def write(self, said: Crash | Whole) -> None:
        self.quarantine.put(said.key, decode_record(said.encode()), self.end)
        self.end += 1

    def drop(self, key: str) -> None:
        self.quarantine.put(key, None, self.end)
        self.end += 1


class QuarantineTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock)
        self.log = Log(self.quarantine)

    def test_three_lives_that_broke_off_hold_a_request_back(self) -> None:
        for life in ("a", "b"):
            self.log.write(crash(life, "bad", "good"))
            self.assertFalse(self.quarantine.holds("bad"))
        self.log.write(crash("c", "bad"))
        self.assertTrue(self.quarantine.holds("bad"))
        self.assertFalse(self.quarantine.holds("good"))

    def test_one_life_counts_once_whoever_saw_it_end(self) -> None:
        for instance in ("one", "two", "three", "four"):
            self.log.write(crash("a", "bad", instance=instance))
        self.assertFalse(self.quarantine.holds("bad"))

    def test_what_this_instance_has_seen_counts_before_it_is_written(self) -> None:
        self.log.write(crash("a", "bad", instance="two"))
        self.log.write(crash("b", "bad", instance="two"))
        seen = crash("c", "bad")
        self.quarantine.seen(seen)
        self.assertTrue(self.quarantine.holds("bad"))
        self.log.write(self.quarantine.to_write(seen))
        self.assertTrue(self.quarantine.holds("bad"))

    def test_a_record_read_back_leaves_what_was_seen_since(self) -> None:
        # An upstream broke off under several requests, and the first of them was
        # written while the others were still noticed. The record, read back, replaced
        # all that the instance knew of this upstream. So a request that had just ended
        # its third upstream was let go and sent once more, and a fourth one ended:
        #   11.928 "request quarantined"
        #   11.956 "request released"
        #   13.693 "attempt ended", send 4, "answer_cut"
        for life in ("a", "b"):
            self.log.write(crash(life, "bad", instance="two"))
        first = crash("c", "good")
        self.quarantine.seen(first)
        written = self.quarantine.to_write(first)
        self.quarantine.seen(crash("c", "bad"))
        self.assertTrue(self.quarantine.holds("bad"))
        self.log.write(written)
        self.assertTrue(self.quarantine.holds("bad"))

    def test_a_whole_answer_leaves_what_was_seen_since(self) -> None:
        # The same mix-up the other way round: what was seen of an upstream took the
        # place on the log of an older record of that upstream, so that a whole answer
        # in between seemed to clear it.
        self.log.write(crash("c", "good"))
        self.log.write(Whole("bad"))
        for life in ("a", "b"):
            self.log.write(crash(life, "bad", instance="two"))
        self.quarantine.seen(crash("c", "bad"))
        self.assertTrue(self.quarantine.holds("bad"))

    def test_a_whole_list_leaves_what_was_seen_since(self) -> None:
        # A list of the log that lacks an older record of an upstream says nothing of
        # what was seen of that upstream later.
        self.log.write(crash("c", "good"))
        for life in ("a", "b"):
            self.log.write(crash(life, "bad", instance="two"))
        self.quarantine.seen(crash("c", "bad"))
        listed = {crash(life, "bad", instance="two").key for life in ("a", "b")}
        self.quarantine.keep_only(listed, self.log.end)
        self.assertTrue(self.quarantine.holds("bad"))
        self.assertFalse(self.quarantine.is_suspect("good"))

    def test_what_never_came_to_stand_on_the_log_is_forgotten(self) -> None:
        # Nobody drops it from the log: whoever has seen it may have ended.
        self.log.write(crash("a", "good"))
        for life in ("a", "b", "c"):
            self.quarantine.seen(crash(life, "bad", instance="two"))
        self.clock.advance(WINDOW - STEP)
        self.quarantine.forget_unwritten()
        self.assertTrue(self.quarantine.holds("bad"))
        self.clock.advance(STEP)
        self.quarantine.forget_unwritten()
        self.assertFalse(self.quarantine.holds("bad"))
        self.assertTrue(self.quarantine.is_suspect("good"))

    def test_requests_cut_by_the_same_life_are_told_together(self) -> None:
        for request in ("one", "two"):
            seen = crash("a", request)
            self.quarantine.seen(seen)
        self.assertEqual(self.quarantine.to_write(seen).requests, {"one", "two"})

    def test_an_older_record_of_its_own_does_not_hide_what_it_saw_since(self) -> None:
        # The record of the first cut comes back from the log in the turn in which the
        # next two are taken in.
        reports, written = self.reports()
        reports.cut(RequestCut("first", "a"))
        reports.step()
        for request in ("second", "third"):
            reports.cut(RequestCut(request, "a"))
        key, value = written[0]
        self.quarantine.put(key, decode_record(value), 0)
        reports.appended(Appended(0))
        said = decode_record(written[-1][1])
        assert isinstance(said, Crash)
        self.assertEqual(said.requests, {"first", "second", "third"})

    def test_an_older_record_of_its_own_does_not_let_a_request_go(self) -> None:
        # Three upstreams had ended under the request; then the record of what was cut
        # first at one of them came back from the log, and the request was free again
        # until the next was written.
        for life in ("a", "b"):
            self.log.write(crash(life, "bad", instance="two"))
        first = crash("c", "first")
        self.quarantine.seen(first)
        self.quarantine.seen(crash("c", "bad"))
        self.assertTrue(self.quarantine.holds("bad"))
        self.log.write(first)
        self.assertTrue(self.quarantine.holds("bad"))

    def reports(self) -> tuple[CrashReports, list[tuple[str, bytes]]]:
        """Return what reports crashes of one instance, and what it writes."""
        written: list[tuple[str, bytes]] = []
        outside = mock.Mock()
        outside.append_crashes = lambda records: written.extend(records.items())
        reports = CrashReports(
            "one",
            self.quarantine,
            Peers("one"),
            lambda: False,
            outside,
            self.clock,
            Metrics(),
            logs.get("control"),
        )
        return reports, written

    def test_what_was_cut_after_a_whole_answer_stays_newer_if_a_call_fails(
        self,
    ) -> None:
        # Put back in front, the newer record of the life stood before the answer that
        # had cleared an older one, and was cleared by it too.
        reports, written = self.reports()
        self.log.write(crash("other", "poll"))
        reports.cut(RequestCut("first", "a"))
        reports.step()
        reports.whole(RequestWhole("poll"))
        reports.cut(RequestCut("poll", "a"))
        reports.step()
        reports.appended(Unavailable("status 503"))
        self.clock.advance(timedelta(seconds=1))
        written.clear()
        reports.step()
        said = [decode_record(value) for _, value in written]
        self.assertIsInstance(said[0], Whole)
        assert isinstance(said[1], Crash)
        self.assertEqual(said[1].requests, {"first", "poll"})

    def test_a_batch_that_is_cut_costs_no_more_for_each_than_one(self) -> None:
        with mock.patch.object(
            Quarantine, "_judge", autospec=True, side_effect=Quarantine._judge
        ) as judged:
            for number in range(BATCH):
                self.quarantine.seen(crash("a", f"request-{number}"))
        self.assertEqual(judged.call_count, BATCH)

    def test_a_whole_answer_clears_what_came_before_it(self) -> None:
        # A caller that asks the same every second is cut by each of three crashes,
        # minutes apart; its requests in between are answered.
        self.log.write(crash("a", "poll"))
        self.log.write(crash("b", "poll"))
        self.log.write(Whole("poll"))
        self.log.write(crash("c", "poll"))
        self.assertFalse(self.quarantine.holds("poll"))
        self.log.write(crash("d", "poll"))
        self.log.write(crash("e", "poll"))
        self.assertTrue(self.quarantine.holds("poll"))

    def test_what_was_cleared_is_not_told_again_with_others(self) -> None:
        self.log.write(crash("a", "poll"))
        self.log.write(Whole("poll"))
        seen = crash("a", "other")
        self.quarantine.seen(seen)
        self.assertEqual(self.quarantine.to_write(seen).requests, {"other"})

    def test_a_crash_is_forgotten_after_the_window_and_one_more_holds_again(
        self,
    ) -> None:
        for life in ("a", "b", "c"):
            self.log.write(crash(life, "bad"))
            self.clock.advance(STEP)
        left = self.quarantine.remaining("bad")
        self.assertEqual(left, WINDOW - CRASHES * STEP)
        self.clock.advance(left)
        for key in self.quarantine.expired():
            self.log.drop(key)
        self.assertFalse(self.quarantine.holds("bad"))
        self.assertEqual(self.quarantine.remaining("bad"), timedelta())
        self.log.write(crash("d", "bad"))
        self.assertTrue(self.quarantine.holds("bad"))

    def test_expiry_never_holds_a_request_back(self) -> None:
        for life in ("a", "b", "c"):
            self.log.write(crash(life, "poll"))
        self.log.write(Whole("poll"))
        self.clock.advance(WINDOW)
        for key in self.quarantine.expired():
            self.log.drop(key)
            self.assertFalse(self.quarantine.holds("poll"))
        self.assertEqual(self.quarantine.expired(), [])

    def test_a_whole_list_forgets_what_it_does_not_name(self) -> None:
        for life in ("a", "b", "c"):
            self.log.write(crash(life, "bad"))
        kept = {crash("a").key, crash("b").key}
        self.quarantine.keep_only(kept, self.log.end)
        self.assertFalse(self.quarantine.holds("bad"))

    def test_an_older_record_that_comes_late_changes_nothing(self) -> None:
        self.quarantine.put(crash("a").key, crash("a", "bad", "more"), 9)
        self.assertFalse(self.quarantine.put(crash("a").key, crash("a", "bad"), 3))
        self.assertTrue(self.quarantine.is_suspect("more"))


class RecordTests(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_record_or_malformed(self, data: bytes) -> None:
        try:
            said = decode_record(data)
        except MalformedRecordError:
            return
        self.assertIsInstance(said, Crash | Whole)

    def test_records_come_back_as_they_were_written(self) -> None:
        for said in (crash("a", "one", "two"), Whole("one")):
            self.assertEqual(decode_record(said.encode()), said)


REQUESTS = ("r", "s", "t")
LIVES = ("a", "b", "c", "d", "e")
Event = tuple[str, str, str]
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("crash", "whole")),
        st.sampled_from(REQUESTS),
        st.sampled_from(LIVES),
    ),
    max_size=25,
)


def _held_by_count(events: list[Event]) -> set[str]:
    """Return what is held back, counted the plain way."""
    lives: dict[str, set[str]] = {request: set() for request in REQUESTS}
    for kind, request, life in events:
        if kind == "whole":
            lives[request].clear()
            continue
        lives[request].add(life)
    return {request for request, found in lives.items() if len(found) >= CRASHES}


class ModelTests(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(EVENTS)
    def test_it_holds_what_a_plain_count_holds(self, events: list[Event]) -> None:
        quarantine = Quarantine(ManualClock())
        log = Log(quarantine)
        for number, (kind, request, life) in enumerate(events):
            if kind == "whole":
                log.write(Whole(request))
                continue
            log.write(crash(life, request, instance=f"instance-{number}"))
        self.assertEqual(quarantine.held, _held_by_count(events))

    @settings(max_examples=200, deadline=None)
    @given(EVENTS, st.randoms(use_true_random=False))
    def test_the_order_of_arrival_does_not_matter(
        self, events: list[Event], source: object
    ) -> None:
        records = []
        for number, (kind, request, life) in enumerate(events):
            said: Crash | Whole = Whole(request)
            if kind == "crash":
                said = crash(life, request, instance=f"instance-{number}")
            records.append((said, number))
        shuffled = list(records)
        source.shuffle(shuffled)  # type: ignore[attr-defined]
        held = []
        for order in (records, shuffled):
            quarantine = Quarantine(ManualClock())
            for said, offset in order:
                quarantine.put(said.key, said, offset)
            held.append(quarantine.held)
        self.assertEqual(held[0], held[1])


if __name__ == "__main__":
    unittest.main()

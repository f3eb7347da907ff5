"""Which requests are held back, depending on crashes and complete answers."""

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
    CRASH_THRESHOLD,
    WINDOW,
    Completion,
    Crash,
    MalformedRecordError,
    Quarantine,
    RequestCompleted,
    RequestInterrupted,
    decode_record,
)
from ashhoist.store import Appended, Unavailable

STEP = timedelta(seconds=1)
BATCH = 96


def crash(incarnation: str, *requests: str, instance: str = "one") -> Crash:
    return Crash(incarnation, instance, frozenset(requests))


class Log:
    """A log whose records are applied to the quarantine as they are written."""

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine
        self.end = 0

    def write(self, record: Crash | Completion) -> None:
        self.quarantine.put(record.key, decode_record(record.encode()), self.end)
        self.end += 1

    def drop(self, key: str) -> None:
        self.quarantine.put(key, None, self.end)
        self.end += 1


class QuarantineTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock)
        self.log = Log(self.quarantine)

    def test_a_request_is_held_back_after_three_crashes(self) -> None:
        for incarnation in ("a", "b"):
            self.log.write(crash(incarnation, "bad", "good"))
            self.assertFalse(self.quarantine.holds_back("bad"))
        self.log.write(crash("c", "bad"))
        self.assertTrue(self.quarantine.holds_back("bad"))
        self.assertFalse(self.quarantine.holds_back("good"))

    def test_a_crash_counts_once_even_if_several_instances_saw_it(self) -> None:
        for instance in ("one", "two", "three", "four"):
            self.log.write(crash("a", "bad", instance=instance))
        self.assertFalse(self.quarantine.holds_back("bad"))

    def test_a_crash_seen_by_this_instance_counts_before_it_is_written(self) -> None:
        self.log.write(crash("a", "bad", instance="two"))
        self.log.write(crash("b", "bad", instance="two"))
        cut = crash("c", "bad")
        self.quarantine.add_unwritten(cut)
        self.assertTrue(self.quarantine.holds_back("bad"))
        self.log.write(self.quarantine.to_write(cut))
        self.assertTrue(self.quarantine.holds_back("bad"))

    def test_a_record_read_back_keeps_requests_seen_since(self) -> None:
        # An upstream broke off under several requests, and the first of them was
        # written to the log before the others were noticed. When the record was read
        # back, it replaced all that the instance knew of this upstream. A request that
        # had just crashed its third upstream was released and crashed a fourth one:
        #   11.928 "request quarantined"
        #   11.956 "request released"
        #   13.693 "attempt ended", send 4, "answer_cut"
        for incarnation in ("a", "b"):
            self.log.write(crash(incarnation, "bad", instance="two"))
        first = crash("c", "good")
        self.quarantine.add_unwritten(first)
        written = self.quarantine.to_write(first)
        self.quarantine.add_unwritten(crash("c", "bad"))
        self.assertTrue(self.quarantine.holds_back("bad"))
        self.log.write(written)
        self.assertTrue(self.quarantine.holds_back("bad"))

    def test_a_complete_answer_does_not_clear_a_crash_seen_later(self) -> None:
        # A crash seen by the instance got the log position of an older record of the
        # same upstream, so a complete answer recorded between the two seemed to clear
        # it.
        self.log.write(crash("c", "good"))
        self.log.write(Completion("bad"))
        for incarnation in ("a", "b"):
            self.log.write(crash(incarnation, "bad", instance="two"))
        self.quarantine.add_unwritten(crash("c", "bad"))
        self.assertTrue(self.quarantine.holds_back("bad"))

    def test_a_complete_list_keeps_requests_seen_since(self) -> None:
        # If a complete list of the log lacks an older record of an upstream, requests
        # seen to be broken off by that upstream later still count.
        self.log.write(crash("c", "good"))
        for incarnation in ("a", "b"):
            self.log.write(crash(incarnation, "bad", instance="two"))
        self.quarantine.add_unwritten(crash("c", "bad"))
        listed = {
            crash(incarnation, "bad", instance="two").key for incarnation in ("a", "b")
        }
        self.quarantine.keep_only(listed, self.log.end)
        self.assertTrue(self.quarantine.holds_back("bad"))
        self.assertFalse(self.quarantine.is_suspect("good"))

    def test_crashes_that_are_never_written_expire(self) -> None:
        # They have no record on the log whose deletion would remove them, and the
        # instance that saw them may be gone.
        self.log.write(crash("a", "good"))
        for incarnation in ("a", "b", "c"):
            self.quarantine.add_unwritten(crash(incarnation, "bad", instance="two"))
        self.clock.advance(WINDOW - STEP)
        self.quarantine.forget_unwritten()
        self.assertTrue(self.quarantine.holds_back("bad"))
        self.clock.advance(STEP)
        self.quarantine.forget_unwritten()
        self.assertFalse(self.quarantine.holds_back("bad"))
        self.assertTrue(self.quarantine.is_suspect("good"))

    def test_requests_cut_by_the_same_crash_are_written_together(self) -> None:
        for request in ("one", "two"):
            cut = crash("a", request)
            self.quarantine.add_unwritten(cut)
        self.assertEqual(self.quarantine.to_write(cut).requests, {"one", "two"})

    def test_reading_back_an_own_record_does_not_drop_later_requests(self) -> None:
        # The record of the first request is read back from the log in the same loop
        # iteration in which the next two are reported.
        reports, written = self.reports()
        reports.request_interrupted(RequestInterrupted("first", "a"))
        reports.step()
        for request in ("second", "third"):
            reports.request_interrupted(RequestInterrupted(request, "a"))
        key, value = written[0]
        self.quarantine.put(key, decode_record(value), 0)
        reports.appended(Appended(0))
        record = decode_record(written[-1][1])
        assert isinstance(record, Crash)
        self.assertEqual(record.requests, {"first", "second", "third"})

    def test_reading_back_an_own_record_does_not_release_a_request(self) -> None:
        # Three upstreams had crashed while handling the request. Then an earlier record
        # of one of these crashes, without the request, was read back from the log, and
        # the request was released until the next record was written.
        for incarnation in ("a", "b"):
            self.log.write(crash(incarnation, "bad", instance="two"))
        first = crash("c", "first")
        self.quarantine.add_unwritten(first)
        self.quarantine.add_unwritten(crash("c", "bad"))
        self.assertTrue(self.quarantine.holds_back("bad"))
        self.log.write(first)
        self.assertTrue(self.quarantine.holds_back("bad"))

    def reports(self) -> tuple[CrashReports, list[tuple[str, bytes]]]:
        """Return the crash reports of one instance and the list of written records."""
        written: list[tuple[str, bytes]] = []
        outside = mock.Mock()
        outside.append_crashes = lambda records: written.extend(records.items())
        reports = CrashReports(
            "one",
            self.quarantine,
            Peers("one"),
            lambda: False,
            lambda _: None,
            outside,
            self.clock,
            Metrics(),
            logs.get("control"),
        )
        return reports, written

    def test_a_failed_append_keeps_a_crash_after_the_complete_answer(
        self,
    ) -> None:
        # After a failed append, the newer record of the crash was put at the front of
        # the queue again, before the complete answer that cleared the older record. So
        # that answer cleared the newer record too.
        reports, written = self.reports()
        self.log.write(crash("other", "poll"))
        reports.request_interrupted(RequestInterrupted("first", "a"))
        reports.step()
        reports.request_completed(RequestCompleted("poll"))
        reports.request_interrupted(RequestInterrupted("poll", "a"))
        reports.step()
        reports.appended(Unavailable("status 503"))
        self.clock.advance(timedelta(seconds=1))
        written.clear()
        reports.step()
        records = [decode_record(value) for _, value in written]
        self.assertIsInstance(records[0], Completion)
        assert isinstance(records[1], Crash)
        self.assertEqual(records[1].requests, {"first", "poll"})

    def test_a_batch_of_cut_requests_costs_a_single_update_for_each(self) -> None:
        with mock.patch.object(
            Quarantine,
            "_update_held",
            autospec=True,
            side_effect=Quarantine._update_held,
        ) as update_held:
            for number in range(BATCH):
                self.quarantine.add_unwritten(crash("a", f"request-{number}"))
        self.assertEqual(update_held.call_count, BATCH)

    def test_a_complete_answer_clears_earlier_crashes(self) -> None:
        # A caller that repeats the same request every second is cut off by each of
        # three crashes that are minutes apart; its requests in between are answered.
        self.log.write(crash("a", "poll"))
        self.log.write(crash("b", "poll"))
        self.log.write(Completion("poll"))
        self.log.write(crash("c", "poll"))
        self.assertFalse(self.quarantine.holds_back("poll"))
        self.log.write(crash("d", "poll"))
        self.log.write(crash("e", "poll"))
        self.assertTrue(self.quarantine.holds_back("poll"))

    def test_a_cleared_request_is_not_written_again_with_others(self) -> None:
        self.log.write(crash("a", "poll"))
        self.log.write(Completion("poll"))
        cut = crash("a", "other")
        self.quarantine.add_unwritten(cut)
        self.assertEqual(self.quarantine.to_write(cut).requests, {"other"})

    def test_a_crash_expires_after_the_window_and_one_more_holds_back_again(
        self,
    ) -> None:
        for incarnation in ("a", "b", "c"):
            self.log.write(crash(incarnation, "bad"))
            self.clock.advance(STEP)
        remaining = self.quarantine.remaining("bad")
        self.assertEqual(remaining, WINDOW - CRASH_THRESHOLD * STEP)
        self.clock.advance(remaining)
        for key in self.quarantine.expired():
            self.log.drop(key)
        self.assertFalse(self.quarantine.holds_back("bad"))
        self.assertEqual(self.quarantine.remaining("bad"), timedelta())
        self.log.write(crash("d", "bad"))
        self.assertTrue(self.quarantine.holds_back("bad"))

    def test_expiry_never_holds_a_request_back(self) -> None:
        for incarnation in ("a", "b", "c"):
            self.log.write(crash(incarnation, "poll"))
        self.log.write(Completion("poll"))
        self.clock.advance(WINDOW)
        for key in self.quarantine.expired():
            self.log.drop(key)
            self.assertFalse(self.quarantine.holds_back("poll"))
        self.assertEqual(self.quarantine.expired(), [])

    def test_a_complete_list_removes_crashes_that_it_lacks(self) -> None:
        for incarnation in ("a", "b", "c"):
            self.log.write(crash(incarnation, "bad"))
        kept = {crash("a").key, crash("b").key}
        self.quarantine.keep_only(kept, self.log.end)
        self.assertFalse(self.quarantine.holds_back("bad"))

    def test_an_older_record_that_arrives_late_changes_nothing(self) -> None:
        self.quarantine.put(crash("a").key, crash("a", "bad", "more"), 9)
        self.assertFalse(self.quarantine.put(crash("a").key, crash("a", "bad"), 3))
        self.assertTrue(self.quarantine.is_suspect("more"))


class RecordTests(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_record_or_malformed(self, data: bytes) -> None:
        try:
            record = decode_record(data)
        except MalformedRecordError:
            return
        self.assertIsInstance(record, Crash | Completion)

    def test_records_are_decoded_as_they_were_encoded(self) -> None:
        for record in (crash("a", "one", "two"), Completion("one")):
            self.assertEqual(decode_record(record.encode()), record)


REQUESTS = ("r", "s", "t")
INCARNATIONS = ("a", "b", "c", "d", "e")
Event = tuple[str, str, str]
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("crash", "whole")),
        st.sampled_from(REQUESTS),
        st.sampled_from(INCARNATIONS),
    ),
    max_size=25,
)


def _expected_held(events: list[Event]) -> set[str]:
    """Return the requests to hold back, according to a simple reference model."""
    incarnations: dict[str, set[str]] = {request: set() for request in REQUESTS}
    for kind, request, incarnation in events:
        if kind == "whole":
            incarnations[request].clear()
            continue
        incarnations[request].add(incarnation)
    return {
        request
        for request, found in incarnations.items()
        if len(found) >= CRASH_THRESHOLD
    }


class ModelTests(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(EVENTS)
    def test_held_requests_match_the_reference_model(self, events: list[Event]) -> None:
        quarantine = Quarantine(ManualClock())
        log = Log(quarantine)
        for number, (kind, request, incarnation) in enumerate(events):
            if kind == "whole":
                log.write(Completion(request))
                continue
            log.write(crash(incarnation, request, instance=f"instance-{number}"))
        self.assertEqual(quarantine.held, _expected_held(events))

    @settings(max_examples=200, deadline=None)
    @given(EVENTS, st.randoms(use_true_random=False))
    def test_the_order_of_arrival_does_not_matter(
        self, events: list[Event], source: object
    ) -> None:
        records = []
        for number, (kind, request, incarnation) in enumerate(events):
            record: Crash | Completion = Completion(request)
            if kind == "crash":
                record = crash(incarnation, request, instance=f"instance-{number}")
            records.append((record, number))
        shuffled = list(records)
        source.shuffle(shuffled)  # type: ignore[attr-defined]
        held = []
        for order in (records, shuffled):
            quarantine = Quarantine(ManualClock())
            for record, offset in order:
                quarantine.put(record.key, record, offset)
            held.append(quarantine.held)
        self.assertEqual(held[0], held[1])


if __name__ == "__main__":
    unittest.main()

"""Requests that take a stream up, at one instance with scripted upstreams."""

import unittest
from datetime import timedelta

from ashhoist.forwarding import ForwardingInstance
from ashhoist.position import Position
from ashhoist.requests.resumption import MAX_REQUEST_ID_LENGTH
from ashhoist.streams import FoundVersion, StreamBegan, VersionLookup, VersionSource

from .platform_stand_ins.server import Call
from .request_harness import (
    HEADER_NAMES,
    NEVER_SILENT,
    Harness,
    event,
    response_headers,
)
from .request_scripts import RequestTestCase, stream

RESUMES = HEADER_NAMES.resumes
LAST_EVENT_ID = HEADER_NAMES.last_event_id
OLD, NEW = "v1", "v2"
KNOWN = FoundVersion(VersionSource.INSTANCE, "service", NEW)
UNKNOWN = FoundVersion(VersionSource.UNKNOWN)
TAKES_UP = {RESUMES: "first", LAST_EVENT_ID: "1"}


def breaks_off(call: Call) -> None:
    """Send one event and break the connection."""
    call.start_stream(response_headers(call))
    call.chunk(event(1))
    call.reset()


class ResumptionTestCase(RequestTestCase):
    """An upstream at the old software version, and one at the new one."""

    def start_versions(self, found: FoundVersion | None = KNOWN) -> Harness:
        harness = self.start(stream(2, 3), stream(2, 3))
        harness.list_upstreams(OLD, NEW)
        harness.found_version = found
        return harness

    def lookups(self, harness: Harness) -> list[VersionLookup]:
        messages = harness.control_messages
        return [one for one in messages if isinstance(one, VersionLookup)]


class HeaderTests(ResumptionTestCase):
    """Which requests take up a stream, and which stream."""

    def check_named(self, headers: dict[str, str], named: str) -> None:
        harness = self.start_versions()
        harness.ask("/stream/", headers=headers)
        [lookup] = self.lookups(harness)
        self.assertEqual((lookup.stream_id, lookup.service), (named, "service"))
        self.assertEqual(harness.calls(0), [])

    def test_the_named_stream_is_looked_up(self) -> None:
        self.check_named(TAKES_UP, "first")

    def test_a_request_that_names_a_stream_without_an_event_takes_it_up(self) -> None:
        self.check_named({RESUMES: "first"}, "first")

    def test_an_event_without_a_stream_takes_up_an_unknown_one(self) -> None:
        self.check_named({LAST_EVENT_ID: "1"}, "")

    def test_the_same_stream_named_twice_is_that_stream(self) -> None:
        self.check_named({RESUMES: "first", RESUMES.lower(): "first"}, "first")

    def test_two_streams_are_no_known_stream(self) -> None:
        self.check_named({RESUMES: "first", RESUMES.lower(): "second"}, "")

    def test_a_name_that_is_too_long_is_no_known_stream(self) -> None:
        self.check_named({RESUMES: "x" * (MAX_REQUEST_ID_LENGTH + 1)}, "")

    def test_a_stream_whose_own_id_is_too_long_is_not_recorded(self) -> None:
        # Guards against callers that fill the memory with long ids.
        harness = self.start_versions()
        answer = harness.ask("/stream/", id="x" * (MAX_REQUEST_ID_LENGTH + 1))
        self.assertEqual(answer.status, 200)
        recorded = [
            one for one in harness.control_messages if isinstance(one, StreamBegan)
        ]
        self.assertEqual(recorded, [])

    def test_a_new_stream_is_not_looked_up(self) -> None:
        harness = self.start_versions()
        self.assertEqual(harness.ask("/stream/").status, 200)
        self.assertEqual(self.lookups(harness), [])

    def test_a_stream_that_may_not_be_resumed_is_not_looked_up(self) -> None:
        harness = self.start_versions()
        self.assertEqual(harness.ask("/once/", headers=TAKES_UP).status, 200)
        self.assertEqual(harness.ask("/safe/", headers=TAKES_UP).status, 200)
        self.assertEqual(self.lookups(harness), [])

    def test_nothing_is_looked_up_where_upstreams_tell_no_version(self) -> None:
        # Guards against refusals on platforms without software versions.
        harness = self.start(stream(2, 3))
        self.assertEqual(harness.ask("/stream/", headers=TAKES_UP).status, 200)
        self.assertEqual(self.lookups(harness), [])

    def test_the_upstream_gets_the_headers_as_they_came(self) -> None:
        harness = self.start_versions()
        harness.ask("/stream/", headers=TAKES_UP)
        [call] = harness.calls(1)
        for name, value in TAKES_UP.items():
            self.assertEqual(call.headers[name.lower()], value)


class VersionTests(ResumptionTestCase):
    """Where a stream goes on, and what its caller is told if it can't."""

    def test_a_stream_goes_on_at_its_version_and_is_recorded_anew(self) -> None:
        harness = self.start_versions()
        answer = harness.ask("/stream/", headers=TAKES_UP)
        self.assertEqual((answer.status, answer.body), (200, event(2) + event(3)))
        self.assertEqual(harness.calls(0), [])
        self.assertIn(StreamBegan("first", "service", NEW), harness.control_messages)

    def test_a_stream_that_nobody_knows_is_refused_with_a_time_to_come_back(
        self,
    ) -> None:
        harness = self.start_versions(UNKNOWN)
        answer = harness.ask("/stream/", headers=TAKES_UP)
        self.assertEqual(answer.body, b"stream_version_unknown\n")
        self.assertEqual(answer.status, 503)
        self.assertIn(HEADER_NAMES.retry_after.lower(), answer.headers)
        self.assertEqual(harness.calls(0) + harness.calls(1), [])

    def test_a_lookup_without_an_answer_ends_in_a_refusal(self) -> None:
        harness = self.start_versions(None)
        answer = harness.ask("/stream/", headers=TAKES_UP)
        self.assertEqual(answer.body, b"stream_version_unknown\n")

    def test_a_stream_without_an_upstream_of_its_version_is_refused_for_good(
        self,
    ) -> None:
        harness = self.start_versions()
        harness.directory.end("upstream-1", Position(99), timedelta())
        answer = harness.ask("/stream/", headers=TAKES_UP)
        self.assertEqual(answer.body, b"no_upstream_of_version\n")
        self.assertEqual(answer.status, 503)
        self.assertNotIn(HEADER_NAMES.retry_after.lower(), answer.headers)
        self.assertEqual(harness.calls(0), [])

    def test_a_stream_of_a_service_that_the_route_has_left_is_refused(self) -> None:
        harness = self.start_versions(FoundVersion(VersionSource.HERE, "other", NEW))
        answer = harness.ask("/stream/", headers=TAKES_UP)
        self.assertEqual(answer.body, b"no_upstream_of_version\n")

    def test_a_try_that_brought_no_event_may_go_to_another_version(self) -> None:
        def silent_end(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.reset()

        harness = self.start(silent_end, stream(1, 2))
        harness.list_upstreams(OLD, NEW)
        answer = harness.ask("/stream/")
        self.assertEqual((answer.status, answer.body), (200, event(1) + event(2)))
        self.assertIn(StreamBegan("id-1", "service", NEW), harness.control_messages)

    def test_a_stream_that_broke_off_is_not_continued_at_another_version(self) -> None:
        harness = self.start(breaks_off, stream(2, 3), **NEVER_SILENT)
        harness.list_upstreams(OLD, NEW)
        answer = harness.ask("/stream/")
        self.assertEqual((answer.body, answer.complete), (event(1), False))
        self.assertEqual(harness.calls(1), [])

    def test_the_version_is_told_before_the_first_event_reaches_the_caller(
        self,
    ) -> None:
        # Guards against a caller that comes back before anybody knows its stream.
        told: list[int] = []

        def script(call: Call) -> None:
            call.start_stream(response_headers(call))
            told.append(len(harness.control_messages))
            call.chunk(event(1))
            call.end_stream()

        harness = self.start(script)
        harness.list_upstreams(OLD)
        with harness.connect() as caller:
            caller.send("/stream/")
            caller.receive()
        [began] = [
            place
            for place, one in enumerate(harness.control_messages)
            if isinstance(one, StreamBegan)
        ]
        self.assertGreaterEqual(began, told[0])


class ForwardedTests(ResumptionTestCase):
    """A cut-off instance leaves it to another one to find the version."""

    def test_what_goes_on_at_another_instance_names_its_stream(self) -> None:
        # Guards against an instance that takes the rest of a stream for a new one.
        def cut_off_and_break(call: Call) -> None:
            call.start_stream(response_headers(call))
            call.chunk(event(1))
            harness.instances.append(
                ForwardingInstance("other", "zone", harness.upstreams["other"].address)
            )
            harness.connectivity.is_cut_off = True
            call.reset()

        harness = self.start(cut_off_and_break)
        harness.list_upstreams(OLD)
        other = self.start(stream(2, 3))
        harness.upstreams["other"] = other.upstreams["upstream-0"]
        answer = harness.ask("/stream/", id="first")
        self.assertEqual(answer.body, event(1) + event(2) + event(3))
        [call] = other.calls()
        self.assertEqual(call.headers[RESUMES.lower()], "first")
        self.assertEqual(call.headers[LAST_EVENT_ID.lower()], "1")
        self.assertEqual(self.lookups(harness), [])


if __name__ == "__main__":
    unittest.main()

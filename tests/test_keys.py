"""Authentication by key at the entry, and the customer header sent to upstreams."""

import time
import unittest
from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from ashhoist.clock import ManualClock
from ashhoist.customers import Customer, Proof, Quota, digest
from ashhoist.customers.charges import Charge, ChargeResult, TokenRefund
from ashhoist.failures import Reason
from ashhoist.requests.authentication import ANONYMOUS, Authenticator, Identity
from ashhoist.routing import (
    Route,
    RouteKind,
    RouteTable,
    ServingConfiguration,
    WeightedService,
)

from .platform_stand_ins.server import Call
from .request_harness import HEADER_NAMES, HOST, ID, NEVER_SILENT, Harness
from .request_scripts import RequestTestCase, good, refuse, reset, silent

KEY, NAME = HEADER_NAMES.key, HEADER_NAMES.customer
ALICE = Customer("alice", frozenset({digest("alice-key")}), quota=Quota(10, 10))
BOB = Customer("bob", frozenset({digest("bob-key"), digest("bob-new")}), 1)
WITH_KEY = {KEY: "alice-key"}


class EntryTests(RequestTestCase):
    def entry(self, *scripts: object, **options: object) -> Harness:
        return self.start(*scripts, customers=(ALICE, BOB), **options)  # type: ignore[arg-type]

    def test_an_upstream_gets_the_customer_but_not_the_key(self) -> None:
        harness = self.entry(good)
        answer = harness.ask("/safe/x", headers=WITH_KEY)
        self.assertEqual(answer.status, 200)
        headers = harness.calls()[0].headers
        self.assertEqual(headers[NAME.lower()], "alice")
        self.assertNotIn(KEY.lower(), headers)
        self.assertNotIn("alice-key", str(headers))

    def test_a_customer_header_from_the_caller_is_ignored(self) -> None:
        harness = self.entry(good)
        for spelling in (NAME, NAME.lower(), NAME.upper()):
            harness.ask("/safe/x", headers={**WITH_KEY, spelling: "bob"})
        for call in harness.calls():
            self.assertEqual(call.headers[NAME.lower()], "alice")

    def test_a_customer_name_in_a_trailer_is_not_forwarded(self) -> None:
        harness = self.entry(good)
        with harness.connect() as caller:
            caller.socket.sendall(
                f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\n{ID}: one\r\n"
                f"{KEY}: alice-key\r\nTransfer-Encoding: chunked\r\n"
                f"Trailer: {NAME}\r\n\r\n4\r\nbody\r\n0\r\n{NAME}: bob\r\n"
                f"{KEY}: bob-key\r\n\r\n".encode()
            )
            self.assertIn(b" 200 ", caller.socket.recv(65536))
        headers = harness.calls()[0].headers
        self.assertEqual(headers[NAME.lower()], "alice")
        self.assertNotIn("bob", str(headers))

    def test_without_a_key_or_with_an_unknown_one_nothing_is_sent(self) -> None:
        harness = self.entry(good)
        for headers in ({}, {KEY: "nobody's"}, {KEY: ""}, {KEY: "alice-key,bob-key"}):
            answer = harness.ask("/safe/x", headers=headers)
            self.assertEqual(answer.status, 401)
            self.assertEqual(answer.body, b"unauthorized\n")
        self.assertEqual(harness.calls(), [])

    def test_two_key_headers_are_refused(self) -> None:
        harness = self.entry(good)
        with harness.connect() as caller:
            caller.socket.sendall(
                f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\n{ID}: one\r\n"
                f"{KEY}: alice-key\r\n{KEY.lower()}: bob-key\r\n\r\n".encode()
            )
            self.assertIn(b" 401 ", caller.socket.recv(65536))
        self.assertEqual(harness.calls(), [])

    def test_a_missing_key_is_refused_before_the_body_is_sent(self) -> None:
        harness = self.entry(good)
        with harness.connect() as caller:
            caller.socket.sendall(
                f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\n{ID}: one\r\n"
                "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n".encode()
            )
            self.assertIn(b" 401 ", caller.socket.recv(65536))

    def test_a_refused_caller_keeps_its_connection(self) -> None:
        harness = self.entry(good)
        with harness.connect() as caller:
            self.assertEqual(caller.ask("/safe/x", method="GET").status, 401)
            time.sleep(0)
            answer = caller.ask("/safe/x", method="GET", headers=WITH_KEY)
            self.assertEqual(answer.status, 200)

    def test_a_public_route_needs_no_key_and_forwards_none(self) -> None:
        harness = self.entry(good)
        for headers in ({}, {KEY: "nobody's", NAME: "bob"}):
            self.assertEqual(harness.ask("/public/x", headers=headers).status, 200)
        for call in harness.calls():
            self.assertNotIn(NAME.lower(), call.headers)
            self.assertNotIn(KEY.lower(), call.headers)

    def test_without_customers_nobody_needs_a_key(self) -> None:
        harness = self.start(good)
        self.assertEqual(harness.ask("/safe/x", headers={NAME: "bob"}).status, 200)
        self.assertNotIn(NAME.lower(), harness.calls()[0].headers)

    def test_keys_that_may_be_out_of_date_are_refused_as_not_run(self) -> None:
        harness = self.entry(good, proof=Proof(timedelta(seconds=5)))
        answer = harness.ask("/unsafe/x", headers=WITH_KEY)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.body, b"keys_not_current\n")
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(harness.ask("/public/x").status, 200)

    def test_a_request_is_not_sent_again_after_its_key_was_removed(self) -> None:
        """Guards against checking the key only on arrival.

        A request ran although its key had been removed: its first upstream failed, then
        the key was removed, and the request was sent to another upstream.
        """

        def remove_key(call: Call) -> None:
            assert harness.table is not None
            without_alice = replace(harness.table.configuration, customers=(BOB,))
            harness.table = RouteTable(without_alice)
            reset(call)

        harness = self.entry(remove_key, good, **NEVER_SILENT)
        answer = harness.ask("/safe/x", headers=WITH_KEY)
        self.assertEqual(answer.status, 502)
        self.assertEqual(harness.calls(1), [])


class ChargeTests(RequestTestCase):
    def entry(self, *scripts: object) -> Harness:
        return self.start(*scripts, customers=(ALICE, BOB))  # type: ignore[arg-type]

    def refunded(self, harness: Harness) -> float:
        """Return the tokens refunded for one request, once it has ended.

        The caller is answered before that: the entry settles the charge afterwards.
        """
        deadline = time.monotonic() + 5
        while not harness.metrics.total("customer_requests"):
            self.assertLess(time.monotonic(), deadline, "the request has not ended")
            time.sleep(0.005)
        messages = harness.control_messages
        return sum(m.tokens for m in messages if isinstance(m, TokenRefund))

    def test_a_request_that_is_sent_again_is_charged_once(self) -> None:
        harness = self.entry(reset, good)
        self.assertEqual(harness.ask("/safe/x", headers=WITH_KEY).status, 200)
        charged = [m for m in harness.control_messages if isinstance(m, Charge)]
        self.assertEqual([charge.customer for charge in charged], ["alice"])
        self.assertEqual(self.refunded(harness), 0)

    def test_a_customer_without_a_quota_is_not_charged(self) -> None:
        harness = self.entry(good)
        harness.ask("/safe/x", headers={KEY: "bob-key"})
        self.assertEqual(harness.control_messages, [])

    def test_over_the_quota_a_request_gets_429_with_retry_after(self) -> None:
        harness = self.entry(good)
        harness.charge_result = ChargeResult(False, True, timedelta(seconds=2))
        answer = harness.ask("/unsafe/x", headers=WITH_KEY)
        self.assertEqual(answer.status, 429)
        self.assertGreaterEqual(float(answer.headers["retry-after"]), 2.0)
        self.assertEqual(harness.calls(), [])

    def test_an_unknown_quota_is_refused_as_not_run(self) -> None:
        harness = self.entry(good)
        harness.charge_result = ChargeResult(False)
        answer = harness.ask("/unsafe/x", headers=WITH_KEY)
        self.assertEqual((answer.status, answer.body), (503, b"quota_unknown\n"))

    def test_a_request_that_has_not_run_is_refunded(self) -> None:
        harness = self.entry(refuse)
        self.assertEqual(harness.ask("/unsafe/x", headers=WITH_KEY).status, 503)
        self.assertEqual(self.refunded(harness), 1)

    def test_a_request_that_may_have_run_is_not_refunded(self) -> None:
        harness = self.entry(reset)
        self.assertEqual(harness.ask("/unsafe/x", headers=WITH_KEY).status, 502)
        self.assertEqual(self.refunded(harness), 0)

    def test_a_request_abandoned_at_an_upstream_is_not_refunded(self) -> None:
        harness = self.entry(silent)
        with harness.connect() as caller:
            caller.send("/unsafe/x", headers=WITH_KEY)
            while not harness.calls():
                time.sleep(0.005)
        self.assertEqual(self.refunded(harness), 0)


ROUTE = Route(
    "",
    HOST,
    "/",
    RouteKind.SAFE,
    (WeightedService("service"),),
    timedelta(seconds=1),
    timedelta(seconds=1),
)
CUSTOMERS = (ALICE, BOB)
TABLE = RouteTable(ServingConfiguration(1, (ROUTE,), customers=CUSTOMERS))
names = st.sampled_from([KEY, KEY.lower(), KEY.upper(), NAME, NAME.lower(), "Other"])
values = st.one_of(
    st.sampled_from(["alice-key", "bob-key", " alice-key ", "alice-key,bob-key"]),
    st.text(max_size=40),
    st.integers(1, 16384).map(lambda length: "k" * length),
)


class IdentityTests(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.proof = Proof(timedelta(seconds=5))
        self.proof.prove(self.clock.monotonic())
        self.table = TABLE
        self.authenticator = Authenticator(
            KEY.lower(),
            lambda: self.table,
            self.proof,
            timedelta(seconds=3),
            self.clock,
        )

    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.tuples(names, values), max_size=6))
    def test_exactly_one_valid_key_identifies_a_customer(
        self, headers: list[tuple[str, str]]
    ) -> None:
        found = self.authenticator.identify(TABLE, ROUTE, headers)
        keys = [value.strip() for name, value in headers if name.lower() == KEY.lower()]
        expected = {"alice-key": "alice", "bob-key": "bob"}
        if len(keys) == 1 and keys[0] in expected:
            assert isinstance(found, Identity) and found.customer is not None
            self.assertEqual(found.customer.name, expected[keys[0]])
            return
        self.assertIs(found, Reason.UNAUTHORIZED)

    def test_a_key_is_checked_again_before_each_send(self) -> None:
        found = self.authenticator.identify(TABLE, ROUTE, [(KEY, "alice-key")])
        assert isinstance(found, Identity)
        self.assertIsNone(self.authenticator.refusal_reason(found))
        self.clock.advance(timedelta(seconds=5))
        self.assertIs(self.authenticator.refusal_reason(found), Reason.KEYS_NOT_CURRENT)
        self.proof.prove(self.clock.monotonic())
        without_alice = replace(TABLE.configuration, version=2, customers=(BOB,))
        self.table = RouteTable(without_alice)
        self.assertIs(self.authenticator.refusal_reason(found), Reason.KEY_REMOVED)
        self.assertIsNone(self.authenticator.refusal_reason(ANONYMOUS))

    def test_a_key_that_may_be_new_is_refused_only_temporarily(self) -> None:
        self.clock.advance(timedelta(seconds=3.5))
        found = self.authenticator.identify(TABLE, ROUTE, [(KEY, "added-a-moment-ago")])
        self.assertIs(found, Reason.KEYS_NOT_CURRENT)
        found = self.authenticator.identify(TABLE, ROUTE, [])
        self.assertIs(found, Reason.UNAUTHORIZED)


if __name__ == "__main__":
    unittest.main()

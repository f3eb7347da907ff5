"""Links between instances: connecting, delivery of messages, and disconnection."""

import random
import socket
import unittest
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from unittest import mock

from websockets.client import ClientProtocol
from websockets.uri import WebSocketURI

from ashhoist import logs
from ashhoist.control.messages import (
    AdmissionCancelled,
    PlacementQuery,
    PlacementQueryCancel,
)
from ashhoist.links import Links, handshake, news
from ashhoist.loop import Loop
from ashhoist.types import Endpoint

from . import ports
from .loops import new_loop

TOKEN = "token"
TIMEOUT = timedelta(seconds=20)
SETTLE_TIME = timedelta(milliseconds=600)


class Instance:
    """The links of one instance, and the events that they reported."""

    def __init__(self, loop: Loop, name: str, token: str = TOKEN) -> None:
        self.name = name
        self.events: list[Any] = []
        self.close_reasons: list[str] = []
        own = Endpoint(name, "zone", "region", ports.free_address())
        self.links = Links(
            loop,
            own,
            f"life-of-{name}",
            frozenset({token}),
            self.events.append,
            self._count,
            random.Random(name),
            logs.get("links"),
        )
        self.links.start()

    def _count(self, name: str, *labels: str, amount: float = 1) -> None:
        if name == "links_closed":
            self.close_reasons.extend(labels)

    def dial(self, *others: "Instance", dials_all: bool = True) -> None:
        endpoints = [
            Endpoint(other.name, "zone", "", other.links.address) for other in others
        ]
        self.links.set_peers(endpoints, dials_all)

    def count(self, kind: type) -> int:
        return sum(isinstance(item, kind) for item in self.events)

    @property
    def linked(self) -> bool:
        return self.count(news.PeerUp) > self.count(news.PeerDown)

    @property
    def received(self) -> list[Any]:
        return [
            message
            for item in self.events
            if isinstance(item, news.PeerMessages)
            for message in item.messages
        ]


class LinkTests(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = new_loop()
        self.addCleanup(self.loop.close)

    def instance(self, name: str, token: str = TOKEN) -> Instance:
        instance = Instance(self.loop, name, token)
        self.addCleanup(instance.links.close)
        return instance

    def wait(self, condition: Callable[[], bool]) -> None:
        deadline = self.loop.clock.monotonic() + TIMEOUT
        while not condition():
            self.assertLess(
                self.loop.clock.monotonic(), deadline, "condition not met in time"
            )
            self.loop.call_at(
                self.loop.clock.monotonic() + timedelta(milliseconds=5), lambda: None
            )
            self.loop.run_turn()

    def run_for(self, duration: timedelta) -> None:
        until = self.loop.clock.monotonic() + duration
        self.wait(lambda: self.loop.clock.monotonic() >= until)

    def linked_pair(self) -> tuple[Instance, Instance]:
        one, other = self.instance("one"), self.instance("two")
        one.dial(other)
        self.wait(lambda: one.linked and other.linked)
        return one, other

    def test_messages_arrive_in_order(self) -> None:
        one, other = self.linked_pair()
        for number in range(1500):
            self.assertTrue(one.links.send_to("two", PlacementQueryCancel(str(number))))
        self.wait(lambda: len(other.received) == 1500)
        self.assertEqual(
            other.received, [PlacementQueryCancel(str(n)) for n in range(1500)]
        )

    def test_both_sides_of_the_newest_revision_send_all_messages(self) -> None:
        # Guards against new messages that are withheld from instances that know them.
        one, other = self.linked_pair()
        self.assertTrue(one.links.send_to("two", AdmissionCancelled(1)))
        self.assertTrue(other.links.send_to("one", AdmissionCancelled(2)))
        self.wait(lambda: bool(one.received and other.received))

    def assert_first_revision(self) -> None:
        """Check that a pair sends only messages and fields of the first revision."""
        row: Any = ("r", "s", "m", "a", 0, 1, 1.0, 0.3, 1, 1, 1, "z", True, [])
        one, other = self.linked_pair()
        for instance, peer in ((one, "two"), (other, "one")):
            self.assertFalse(instance.links.send_to(peer, AdmissionCancelled(1)))
            query = PlacementQuery(*row, gap_ms=300)
            self.assertTrue(instance.links.send_to(peer, query))
        self.wait(lambda: bool(one.received and other.received))
        self.run_for(SETTLE_TIME)
        for instance in (one, other):
            self.assertTrue(instance.linked)
            self.assertEqual(instance.received, [PlacementQuery(*row)])

    def test_a_dialled_instance_of_the_previous_version_gets_no_new_messages(
        self,
    ) -> None:
        # Guards against links that an older instance closes over unknown messages.
        with mock.patch.object(handshake, "_select_subprotocol", lambda *_: None):
            self.assert_first_revision()

    def test_a_dialling_instance_of_the_previous_version_gets_no_new_messages(
        self,
    ) -> None:
        # Guards against an upgrade during which older instances can't link.
        def offer_nothing(uri: WebSocketURI, max_size: int, **_: Any) -> Any:
            return ClientProtocol(uri, max_size=max_size)

        with mock.patch.object(handshake, "ClientProtocol", offer_nothing):
            self.assert_first_revision()

    def test_messages_of_one_turn_are_sent_in_one_frame(self) -> None:
        one, other = self.linked_pair()
        for number in range(20):
            one.links.send_to("two", PlacementQueryCancel(str(number)))
        self.wait(lambda: len(other.received) == 20)
        self.assertEqual(other.count(news.PeerMessages), 1)

    def test_instances_that_dial_each_other_keep_one_link(self) -> None:
        for _ in range(10):
            one, other = self.instance("one"), self.instance("two")
            one.dial(other)
            other.dial(one)
            self.wait(lambda a=one, b=other: a.linked and b.linked)
            self.run_for(SETTLE_TIME)
            for instance in (one, other):
                self.assertTrue(instance.linked)
                self.assertLessEqual(instance.count(news.PeerUp), 2)
            self.assertTrue(one.links.send_to("two", PlacementQueryCancel("x")))
            self.wait(lambda b=other: b.received == [PlacementQueryCancel("x")])
            one.links.close()
            other.links.close()

    def test_new_link_of_a_peer_replaces_the_old_one(self) -> None:
        one, other = self.linked_pair()
        one.links.set_peers([], True)
        second = self.instance("one")
        second.dial(other)
        self.wait(lambda: second.linked and other.count(news.PeerUp) == 2)
        self.run_for(SETTLE_TIME)
        self.assertTrue(other.linked)
        self.assertFalse(one.linked)
        self.assertEqual(other.count(news.PeerUp), 2)

    def test_instances_of_one_name_do_not_replace_each_other_endlessly(self) -> None:
        one, other = self.linked_pair()
        second = self.instance("one")
        second.dial(other)
        self.run_for(timedelta(seconds=1))
        self.assertLessEqual(other.count(news.PeerUp), 8)

    def test_closed_link_is_dialled_again(self) -> None:
        one, other = self.linked_pair()
        other.links.drop("one", "silent")
        self.wait(lambda: one.count(news.PeerUp) == 2 and other.linked)
        self.assertEqual(other.close_reasons, ["silent"])

    def test_wrong_token_is_rejected(self) -> None:
        one, other = self.instance("one", "wrong"), self.instance("two")
        one.dial(other)
        self.run_for(SETTLE_TIME)
        self.assertFalse(one.linked or other.linked)

    def test_unreachable_peer_does_not_link(self) -> None:
        one = self.instance("one")
        unused = ports.listen()
        address = ports.address_of(unused)
        unused.close()
        one.links.set_peers([Endpoint("two", "", "", address)], True)
        self.run_for(SETTLE_TIME)
        self.assertFalse(one.linked)

    def test_garbage_closes_the_connection(self) -> None:
        other = self.instance("two")
        host, _, port = other.links.address.rpartition(":")
        with socket.create_connection((host, int(port))) as peer:
            peer.sendall(b"nonsense\r\n\r\n")
            peer.settimeout(0.01)

            def is_closed() -> bool:
                try:
                    return peer.recv(100) == b""
                except TimeoutError:
                    return False
                except OSError:
                    return True

            self.wait(is_closed)
        self.assertEqual(other.events, [])


if __name__ == "__main__":
    unittest.main()

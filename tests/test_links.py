"""Links between instances on the loop: who is linked, what arrives, what ends one."""

import random
import socket
import unittest
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ashhoist import logs
from ashhoist.control.messages import PlacementQueryCancel
from ashhoist.links import Links, news
from ashhoist.loop import Loop
from ashhoist.types import Endpoint

from .loops import new_loop

TOKEN = "token"
LONGEST = timedelta(seconds=20)
QUIET = timedelta(milliseconds=600)


class Side:
    """One instance's links, and what they told."""

    def __init__(self, loop: Loop, name: str, token: str = TOKEN) -> None:
        self.name = name
        self.told: list[Any] = []
        self.closed_why: list[str] = []
        own = Endpoint(name, "zone", "region", "127.0.0.1:0")
        self.links = Links(
            loop,
            own,
            f"life-of-{name}",
            frozenset({token}),
            self.told.append,
            self._count,
            random.Random(name),
            logs.get("links"),
        )
        self.links.start()

    def _count(self, name: str, *labels: str, amount: float = 1) -> None:
        if name == "links_closed":
            self.closed_why.extend(labels)

    def dial(self, *others: "Side", dials_all: bool = True) -> None:
        endpoints = [
            Endpoint(other.name, "zone", "", other.links.address) for other in others
        ]
        self.links.set_peers(endpoints, dials_all)

    def count(self, kind: type) -> int:
        return sum(isinstance(item, kind) for item in self.told)

    @property
    def linked(self) -> bool:
        return self.count(news.PeerUp) > self.count(news.PeerDown)

    @property
    def received(self) -> list[Any]:
        return [
            message
            for item in self.told
            if isinstance(item, news.PeerMessages)
            for message in item.messages
        ]


class LinkTests(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = new_loop()
        self.addCleanup(self.loop.close)

    def side(self, name: str, token: str = TOKEN) -> Side:
        side = Side(self.loop, name, token)
        self.addCleanup(side.links.close)
        return side

    def wait(self, true: Callable[[], bool]) -> None:
        limit = self.loop.clock.monotonic() + LONGEST
        while not true():
            self.assertLess(self.loop.clock.monotonic(), limit, "not in time")
            self.loop.call_at(
                self.loop.clock.monotonic() + timedelta(milliseconds=5), lambda: None
            )
            self.loop.run_turn()

    def run_for(self, span: timedelta) -> None:
        until = self.loop.clock.monotonic() + span
        self.wait(lambda: self.loop.clock.monotonic() >= until)

    def linked_pair(self) -> tuple[Side, Side]:
        one, other = self.side("one"), self.side("two")
        one.dial(other)
        self.wait(lambda: one.linked and other.linked)
        return one, other

    def test_messages_arrive_in_their_order(self) -> None:
        one, other = self.linked_pair()
        for number in range(1500):
            self.assertTrue(one.links.send_to("two", PlacementQueryCancel(str(number))))
        self.wait(lambda: len(other.received) == 1500)
        self.assertEqual(
            other.received, [PlacementQueryCancel(str(n)) for n in range(1500)]
        )

    def test_messages_of_one_turn_leave_in_one_frame(self) -> None:
        one, other = self.linked_pair()
        for number in range(20):
            one.links.send_to("two", PlacementQueryCancel(str(number)))
        self.wait(lambda: len(other.received) == 20)
        self.assertEqual(other.count(news.PeerMessages), 1)

    def test_two_that_dial_each_other_settle_on_one_link(self) -> None:
        for _ in range(10):
            one, other = self.side("one"), self.side("two")
            one.dial(other)
            other.dial(one)
            self.wait(lambda a=one, b=other: a.linked and b.linked)
            self.run_for(QUIET)
            for side in (one, other):
                self.assertTrue(side.linked)
                self.assertLessEqual(side.count(news.PeerUp), 2)
            self.assertTrue(one.links.send_to("two", PlacementQueryCancel("x")))
            self.wait(lambda b=other: b.received == [PlacementQueryCancel("x")])
            one.links.close()
            other.links.close()

    def test_a_new_link_of_the_same_peer_takes_the_place_of_the_old(self) -> None:
        one, other = self.linked_pair()
        one.links.set_peers([], True)
        again = self.side("one")
        again.dial(other)
        self.wait(lambda: again.linked and other.count(news.PeerUp) == 2)
        self.run_for(QUIET)
        self.assertTrue(other.linked)
        self.assertFalse(one.linked)
        self.assertEqual(other.count(news.PeerUp), 2)

    def test_two_of_one_name_do_not_take_turns_all_the_time(self) -> None:
        one, other = self.linked_pair()
        again = self.side("one")
        again.dial(other)
        self.run_for(timedelta(seconds=1))
        self.assertLessEqual(other.count(news.PeerUp), 8)

    def test_a_link_that_ends_is_dialled_again(self) -> None:
        one, other = self.linked_pair()
        other.links.drop("one", "silent")
        self.wait(lambda: one.count(news.PeerUp) == 2 and other.linked)
        self.assertEqual(other.closed_why, ["silent"])

    def test_without_the_token_there_is_no_link(self) -> None:
        one, other = self.side("one", "wrong"), self.side("two")
        one.dial(other)
        self.run_for(QUIET)
        self.assertFalse(one.linked or other.linked)

    def test_nobody_there_is_tried_again_later(self) -> None:
        one = self.side("one")
        closed = socket.create_server(("127.0.0.1", 0))
        host, port = closed.getsockname()
        closed.close()
        one.links.set_peers([Endpoint("two", "", "", f"{host}:{port}")], True)
        self.run_for(QUIET)
        self.assertFalse(one.linked)

    def test_garbage_ends_the_link(self) -> None:
        other = self.side("two")
        host, _, port = other.links.address.rpartition(":")
        with socket.create_connection((host, int(port))) as peer:
            peer.sendall(b"nonsense\r\n\r\n")
            peer.settimeout(0.01)

            def ended() -> bool:
                try:
                    return peer.recv(100) == b""
                except TimeoutError:
                    return False
                except OSError:
                    return True

            self.wait(ended)
        self.assertEqual(other.told, [])


if __name__ == "__main__":
    unittest.main()

"""Which changes a replica may tell, and which told ones a replica may rely on."""

import unittest

from ashhoist.control.history import BEFORE_ALL, MAX_GAPS, Gap, History
from ashhoist.control.messages import RecordList, Relay
from ashhoist.control.record_codec import pack
from ashhoist.control.record_lists import MAX_LISTED, IncomingLists, make_list
from ashhoist.control.replica import MAX_ENDS, HistoryBreak, Replica
from ashhoist.store import Position, Record, Topic, position

TOPIC = Topic.UPSTREAMS


def at(offset: int) -> Position:
    return Position(offset)


def gap(after: int, until: int) -> Gap:
    return Gap(at(after), at(until))


def relay(after: int, up_to: int, stated: Gap) -> Relay:
    return Relay(str(TOPIC), after, up_to, *pack([]), stated.after, stated.until)


def listed(*records: Record, as_of: int) -> Replica:
    """Return a replica that begins with a list."""
    replica = Replica()
    for record in records:
        replica.keep(TOPIC, record)
    replica.note_list(TOPIC, at(as_of))
    return replica


class HistoryTests(unittest.TestCase):
    def test_nothing_before_the_first_list_is_covered(self) -> None:
        history = History()
        history.add(Gap(BEFORE_ALL, at(24)))
        covered = [history.covers(at(offset)) for offset in (-1, 0, 23, 24, 30)]
        self.assertEqual(covered, [False, False, False, True, True])
        self.assertEqual(history.listed_at, 24)

    def test_later_list_leaves_earlier_positions_covered(self) -> None:
        history = History()
        history.add(Gap(BEFORE_ALL, at(10)))
        history.add(gap(20, 30))
        covered = [history.covers(at(offset)) for offset in (9, 10, 20, 25, 30)]
        self.assertEqual(covered, [False, True, True, False, True])
        self.assertEqual(history.first_covered(at(25)), 30)
        self.assertEqual(history.gap_beyond(at(15)), gap(20, 30))

    def test_list_of_the_known_position_makes_no_gap(self) -> None:
        history = History()
        history.add(gap(20, 20))
        self.assertTrue(history.covers(at(20)))
        self.assertEqual(history.listed_at, -1)

    def test_many_gaps_are_merged_from_the_oldest_on(self) -> None:
        history = History()
        for start in range(0, 20 * MAX_GAPS, 20):
            history.add(gap(start, start + 10))
        history.add(gap(20 * MAX_GAPS, 20 * MAX_GAPS + 10))
        self.assertFalse(history.covers(at(15)))
        self.assertTrue(history.covers(at(35)))


class ReplicaTests(unittest.TestCase):
    def test_relay_continues_only_positions_outside_the_gap_of_its_sender(self) -> None:
        # A receiver at 25 may know a key that began and ended between 20 and 30.
        sent = relay(10, 40, gap(20, 30))
        expected = {
            9: HistoryBreak.MISSING_RECORDS,
            10: None,
            20: None,
            25: HistoryBreak.SENDER_LISTED,
            30: None,
            35: None,
        }
        for seen, found in expected.items():
            with self.subTest(seen=seen):
                replica = listed(as_of=seen)
                self.assertIs(replica.find_break(TOPIC, sent), found)

    def test_relay_of_an_earlier_revision_does_not_continue_a_replica(self) -> None:
        sent = Relay(str(TOPIC), 10, 40, *pack([]))
        found = listed(as_of=20).find_break(TOPIC, sent)
        self.assertIs(found, HistoryBreak.NOT_STATED)

    def test_receiver_takes_over_the_gap_of_the_sender(self) -> None:
        replica = listed(as_of=10)
        replica.follow(TOPIC, relay(10, 40, gap(20, 30)))
        history = replica.history(TOPIC)
        self.assertEqual(replica.known_up_to(TOPIC), 40)
        self.assertFalse(history.covers(at(25)))
        self.assertTrue(history.covers(at(10)))

    def test_record_from_before_a_list_without_its_key_is_no_news(self) -> None:
        # Guards against bringing back an upstream that ended before the list.
        replica = listed(Record(at(20), "b", b"x"), as_of=24)
        late = Record(at(18), "a", b"x")
        self.assertFalse(replica.is_news(TOPIC, late))
        self.assertTrue(replica.is_news(TOPIC, late, listed_as_of=at(30)))
        self.assertFalse(replica.is_news(TOPIC, late, listed_as_of=at(19)))
        self.assertTrue(replica.is_news(TOPIC, Record(at(25), "a", b"x")))

    def test_lost_record_of_an_earlier_era_is_news_after_a_list(self) -> None:
        replica = listed(as_of=position(1, 24))
        self.assertTrue(replica.is_news(TOPIC, Record(at(18), "a", b"x")))

    def test_ends_are_dropped_beyond_a_bound_and_no_longer_told(self) -> None:
        # Guards against memory that grows with all upstreams that ever ended.
        replica = listed(as_of=0)
        for offset in range(1, MAX_ENDS + 2):
            replica.keep(TOPIC, Record(at(offset), f"ended-{offset}", None))
        kept = replica.after(TOPIC, at(0))
        self.assertFalse(replica.history(TOPIC).covers(at(0)))
        self.assertTrue(replica.history(TOPIC).covers(at(MAX_ENDS)))
        self.assertEqual(kept[0].offset, MAX_ENDS // 2 + 1)


class ListTests(unittest.TestCase):
    def make(self, count: int) -> list[RecordList]:
        records = [Record(at(one), f"key-{one}", b"x") for one in range(count)]
        return make_list(listed(*records, as_of=count), TOPIC, ["held"])

    def test_list_of_several_parts_is_complete_with_the_last(self) -> None:
        parts = self.make(2 * MAX_LISTED + 1)
        lists = IncomingLists()
        found = [lists.add("peer", part) for part in parts]
        self.assertEqual(found[:-1], [None, None])
        self.assertEqual(len(found[-1].records), 2 * MAX_LISTED + 1)
        self.assertEqual(found[-1].undecided, {"held"})

    def test_list_with_a_missing_part_is_never_complete(self) -> None:
        first, _, last = self.make(2 * MAX_LISTED + 1)
        lists = IncomingLists()
        found = [lists.add("peer", part) for part in (first, last, last)]
        self.assertEqual(found, [None, None, None])

    def test_parts_of_two_senders_are_not_mixed(self) -> None:
        first, second, third = self.make(2 * MAX_LISTED + 1)
        lists = IncomingLists()
        for peer, part in (("a", first), ("b", first), ("a", second)):
            self.assertIsNone(lists.add(peer, part))
        self.assertIsNone(lists.add("b", second))
        self.assertIsNotNone(lists.add("b", third))

    def test_empty_list_has_one_part(self) -> None:
        [only] = make_list(listed(as_of=7), TOPIC, [])
        found = IncomingLists().add("peer", only)
        self.assertEqual((found.as_of, found.records), (7, []))


if __name__ == "__main__":
    unittest.main()

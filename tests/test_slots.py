"""The slot table, the queue and the keeper against naive models."""

import unittest
from datetime import timedelta

from hypothesis import given, strategies as st

from ashhoist.loads import KeeperChoice, LoadKeeper, Want
from ashhoist.membership import Membership
from ashhoist.queues import JobQueue
from ashhoist.slots import SlotState, SlotTable
from ashhoist.types import AdapterVersion, Endpoint, Job, Priority

A, B = AdapterVersion("a", "v1"), AdapterVersion("b", "v1")
ZERO = timedelta()


def seconds(number: float) -> timedelta:
    return timedelta(seconds=number)


def job(number: int, priority: int, at: float, adapter: AdapterVersion = A) -> Job:
    return Job(
        f"r{number}",
        1,
        "i0",
        "e0",
        adapter,
        Priority(priority),
        seconds(1000),
        seconds(at),
    )


class SlotTableTests(unittest.TestCase):
    def test_slot_with_a_running_request_is_not_evictable(self) -> None:
        table = SlotTable(1)
        table.settle(A, SlotState.RESIDENT, ZERO)
        table.started(A, ZERO)
        self.assertEqual(table.evictable(), [])
        table.ended(A, ZERO)
        self.assertEqual([slot.adapter for slot in table.evictable()], [A])

    def test_foreign_requests_keep_a_slot(self) -> None:
        table = SlotTable(1)
        table.read_back({A: 2}, set(), ZERO, ZERO)
        self.assertEqual(table.evictable(), [])
        table.read_back({A: 0}, set(), ZERO, ZERO)
        self.assertEqual(len(table.evictable()), 1)

    def test_unknown_slot_is_held_until_read_back(self) -> None:
        table = SlotTable(1)
        table.begin(A, SlotState.LOADING, 1, ZERO)
        table.settle(A, SlotState.UNKNOWN, seconds(1))
        self.assertEqual((table.free, table.evictable()), (0, []))
        table.read_back({}, set(), seconds(0.5), seconds(2))
        self.assertEqual(table.free, 0)
        table.read_back({}, set(), seconds(1.5), seconds(2))
        self.assertEqual(table.free, 1)


class QueueTests(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.floats(0, 50), st.booleans()), max_size=20
        )
    )
    def test_order_is_that_of_a_sorted_list(self, items: list) -> None:
        queue = JobQueue(100, seconds(10))
        jobs = [
            job(number, priority, at, A if first else B)
            for number, (priority, at, first) in enumerate(items)
        ]
        for item in jobs:
            self.assertIsNone(queue.push(item))
        naive = sorted(
            jobs, key=lambda j: j.enqueued_at - seconds(10) * int(j.priority)
        )
        popped = [queue.pop_first([A, B]) for _ in jobs]
        self.assertEqual(
            [queue.rank(item) for item in popped], [queue.rank(item) for item in naive]
        )
        self.assertIsNone(queue.pop_first([A, B]))

    def test_full_queue_drops_the_lowest_priority_first(self) -> None:
        queue = JobQueue(2, seconds(10))
        queue.push(job(1, 0, 0))
        queue.push(job(2, 3, 1))
        self.assertEqual(queue.push(job(3, 2, 2)).request_id, "r1")
        self.assertEqual(queue.push(job(4, 1, 3)).request_id, "r4")

    def test_old_casual_work_overtakes_new_urgent_work(self) -> None:
        queue = JobQueue(10, seconds(10))
        queue.push(job(1, 0, 0))
        queue.push(job(2, 3, 31))
        self.assertEqual(queue.pop_first([A]).request_id, "r1")


class LoadKeeperTests(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.floats(0, 10), st.floats(0, 2), st.integers(0, 30)),
            min_size=1,
            max_size=40,
        )
    )
    def test_rate_and_one_at_a_time_always_hold(self, wants: list) -> None:
        keeper = LoadKeeper(2.0, 1, seconds(30))
        now, granted, open_grant = 0.0, [], None
        for benefit, gap, number in wants:
            now += gap
            adapter = AdapterVersion(f"a{number}", "v1")
            keeper.want(Want("i0", "e0", adapter, benefit, seconds(now)))
            grants = keeper.next_grants(seconds(now))
            self.assertLessEqual(len(keeper.grants), 1)
            granted += [now for _ in grants]
            for grant in grants:
                open_grant = grant.number
            if open_grant is not None and number % 2:
                keeper.finish(open_grant, used=True)
                open_grant = None
        if granted:
            self.assertLessEqual(len(granted), 2 + 2.0 * (granted[-1] - granted[0]))

    def test_most_useful_load_goes_first(self) -> None:
        keeper = LoadKeeper(2.0, 1, seconds(30))
        for benefit, adapter in ((1.0, A), (5.0, B)):
            keeper.want(Want("i0", "e0", adapter, benefit, ZERO))
        (grant,) = keeper.next_grants(ZERO)
        self.assertEqual(grant.adapter, B)


class KeeperChoiceTests(unittest.TestCase):
    def choice(self, own: str) -> KeeperChoice:
        endpoints = [Endpoint(f"i{n}", f"zone-{n}", "r", "x") for n in range(3)]
        membership = Membership(endpoints[int(own[1])], seconds(3))
        membership.apply_list(endpoints, ZERO)
        return KeeperChoice(membership, 3)

    def test_shares_of_both_sides_of_a_cut_never_exceed_the_whole(self) -> None:
        choices = {name: self.choice(name) for name in ("i0", "i1", "i2")}
        for tick in range(0, 300):
            now = seconds(tick / 10)
            cut = 10 <= tick / 10 < 20
            for name, choice in choices.items():
                for other in choices:
                    reachable = not cut or "i2" not in (name, other)
                    if other != name and reachable and tick % 10 == 0:
                        membership = choice.membership
                        membership.heard(other, other, False, now)
                        membership.keepers[other] = choices[other].name
                choice.update(now)
            total = sum(choice.share(now) for choice in choices.values())
            self.assertLessEqual(total, 1.0 + 1e-9, f"at {now}")
        self.assertAlmostEqual(total, 1.0)


if __name__ == "__main__":
    unittest.main()

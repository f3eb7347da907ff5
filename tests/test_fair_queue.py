"""Weighted fair queueing by customer."""

import unittest
from datetime import timedelta

from hypothesis import given, strategies as st

from ashhoist.overload import AdmissionRequest
from ashhoist.overload.fair_queue import FairQueue, QueuedRequest

SECOND = timedelta(seconds=1)


def push(
    queue: FairQueue,
    number: int,
    customer: str,
    priority: int = 0,
    due: float = 1.0,
    returned: bool = False,
) -> None:
    key = ("node-1", number)
    request = AdmissionRequest(
        key, f"f{number}", customer, priority, due * SECOND, 3 * SECOND
    )
    rank = queue.rank(request, returned)
    queue.push(QueuedRequest(request, SECOND, rank))


def pop_all(queue: FairQueue) -> list[AdmissionRequest]:
    found = []
    while request := queue.pop(lambda request: True):
        found.append(request)
    return found


class FairQueueTests(unittest.TestCase):
    def test_customers_are_served_by_weight(self) -> None:
        # A customer with many queued requests would otherwise take all places.
        queue = FairQueue({"heavy": 2.0, "light": 1.0}.__getitem__)
        for number in range(60):
            push(queue, number, "light" if number >= 30 else "heavy")
        first = [request.customer for request in pop_all(queue)[:30]]
        self.assertAlmostEqual(first.count("heavy"), 20, delta=1)

    def test_within_a_customer_returns_then_priority_then_time(self) -> None:
        # A caller that was promised room would otherwise wait behind new ones.
        queue = FairQueue(lambda customer: 1.0)
        push(queue, 1, "c", priority=1, due=1)
        push(queue, 2, "c", priority=0, due=3)
        push(queue, 3, "c", priority=0, due=2)
        push(queue, 4, "c", priority=2, due=9, returned=True)
        order = [request.key[1] for request in pop_all(queue)]
        self.assertEqual(order, [4, 3, 2, 1])

    def test_a_request_that_cannot_be_sent_holds_up_no_other(self) -> None:
        # Places would idle while only the first request can't use them.
        queue = FairQueue(lambda customer: 1.0)
        for number in range(3):
            push(queue, number, "c")
        found = queue.pop(lambda request: request.key[1] == 1)
        assert found is not None
        self.assertEqual(found.key[1], 1)
        self.assertEqual([r.key[1] for r in pop_all(queue)], [0, 2])

    def test_a_customer_below_its_share_may_send_two_at_once(self) -> None:
        # The second would wait for a turn of all others, and be rejected for that.
        queue = FairQueue(lambda customer: 1.0)
        push(queue, 0, "calm")
        for number in range(1, 20):
            push(queue, number, "flood")
        for _ in range(10):
            queue.pop(lambda request: True)
        push(queue, 30, "calm")
        push(queue, 31, "calm")
        order = [request.key[1] for request in pop_all(queue)]
        self.assertEqual(order[:2], [30, 31])

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 2)), max_size=30))
    def test_the_predicted_order_is_the_real_one(
        self, rows: list[tuple[str, int]]
    ) -> None:
        # Requests would be rejected as displaced although their turn comes in time.
        queue = FairQueue({"a": 1.0, "b": 2.0, "c": 0.5}.__getitem__)
        for number, (customer, priority) in enumerate(rows):
            push(queue, number, customer, priority)
        predicted = [queued.request for queued in queue.in_order()]
        self.assertEqual(predicted, pop_all(queue))


if __name__ == "__main__":
    unittest.main()

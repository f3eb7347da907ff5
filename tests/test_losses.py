"""The table of losses: what counts as lost, and for which cause."""

import json
import unittest

from ashhoist_bench.losses import ended_requests

FIELDS = {
    "event": "requests: request ended",
    "route": "r",
    "adapter": "base/a1",
    "reason": "whole",
    "sends": 1,
    "waited_ms": 3,
    "sent_ms": 5,
    "first_ms": 300,
    "took_ms": 900,
    "aim_ms": 800,
}


def cause(**changes: object) -> str:
    line = json.dumps({**FIELDS, **changes})
    [request] = ended_requests([f"  12.25 instance-1 {line}\n"])
    return request.cause if request.lost else ""


class LossTests(unittest.TestCase):
    def test_an_answer_in_time_lost_nothing(self) -> None:
        self.assertEqual(cause(), "")

    def test_a_late_answer_has_the_cause_that_took_longest(self) -> None:
        self.assertEqual(cause(first_ms=900), "late: engine")
        waits = {"waited_ms": 700, "sent_ms": 705}
        self.assertEqual(cause(first_ms=900, **waits), "late: load stall")
        self.assertEqual(cause(first_ms=900, sends=2), "late: sent again")

    def test_an_answer_that_never_came_has_its_reason(self) -> None:
        self.assertEqual(cause(reason="no_place", first_ms=None), "no_place")

    def test_lines_of_other_forms_are_passed_over(self) -> None:
        lines = ["nonsense\n", '1.0 a {"event": "requests: request ended", \n']
        self.assertEqual(list(ended_requests(lines)), [])


if __name__ == "__main__":
    unittest.main()

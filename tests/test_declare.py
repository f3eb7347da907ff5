"""A deployment is declared as an operator does it who is asked to come back."""

import json
import unittest
from typing import Any

from ashhoist_bench.deployment import TRIES, declare
from ashhoist_cli.client import Answer

PATH = "/apis/v1/adapters/a1"
COME_BACK = {"outcome": "not_run", "retry_after_ms": 1500}


def answer(status: int, **told: Any) -> Answer:
    return Answer(status, body=json.dumps(told).encode())


class FakeClient:
    """Gives the answers that it was made with, in their order."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)

    def request(self, method: str, path: str, value: Any) -> Answer:
        return self.answers.pop(0)


class DeclareTests(unittest.TestCase):
    def declare(self, *answers: Answer) -> list[float]:
        """Return the seconds that were waited for."""
        pauses: list[float] = []
        declare(FakeClient(*answers), PATH, {}, pauses.append)  # type: ignore[arg-type]
        return pauses

    def test_a_change_that_the_log_has_no_room_for_is_made_again_when_told(
        self,
    ) -> None:
        # On a busy machine the demo ended there: the log was asked too often at once.
        again = answer(503, **COME_BACK)
        self.assertEqual(self.declare(again, again, answer(200)), [1.5, 1.5])

    def test_one_that_is_not_acceptable_or_may_have_been_made_is_not(self) -> None:
        for refused in (answer(422, outcome="not_run"), answer(503, outcome="unknown")):
            with self.assertRaises(RuntimeError):
                self.declare(refused)

    def test_one_that_is_turned_away_for_ever_ends(self) -> None:
        with self.assertRaises(RuntimeError):
            self.declare(*[answer(503, **COME_BACK)] * TRIES)


if __name__ == "__main__":
    unittest.main()

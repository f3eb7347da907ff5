"""The client of the log service: a read that is never answered holds up nothing."""

import random
import unittest
from datetime import timedelta
from typing import Any

from ashhoist import logs
from ashhoist.clock import ManualClock
from ashhoist.log_service.client import Follow, LogTask
from ashhoist.transfers import Transfer

WITHIN_SECONDS = timedelta(seconds=3)


class _Transfers:
    """Keeps the transfers that are asked for."""

    def __init__(self) -> None:
        self.sent: list[Transfer] = []

    def send(self, transfer: Transfer) -> None:
        self.sent.append(transfer)


class FollowTests(unittest.TestCase):
    def test_a_read_at_the_end_of_a_stream_is_given_up_within_seconds(self) -> None:
        # A change that is accepted meanwhile waits for the read after this one.
        transfers: Any = _Transfers()
        task = LogTask(
            logs.get("log"),
            "http://log",
            transfers,
            lambda message: None,
            ManualClock(),
            random.Random(1),
        )
        task._follow(Follow("changes", 0))
        task._readers["changes"].at_end = True
        task._read("changes", task._readers["changes"])
        self.assertLessEqual(transfers.sent[-1].timeout, WITHIN_SECONDS)


if __name__ == "__main__":
    unittest.main()

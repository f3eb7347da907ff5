"""Configurations with numbers that make no sense, and the requests under them."""

import copy
import json
import unittest
from collections.abc import Iterator
from typing import Any

from ashhoist_platform.records import decode

from ashhoist.control.changes import ConfigurationPut
from ashhoist.routing import RouteTable
from ashhoist.store import Record, Topic

from .request_harness import Harness
from .request_scripts import RequestTestCase, good
from .test_platform import CONFIGURATION, HOST

ODD_NUMBERS = (
    *(0, -1, 0.001, 1e12, 8.63999999e16, 1e30, 1e308, 10**400),
    *(float("nan"), float("inf"), float("-inf")),
)
PATHS = ("/lobby/x", "/review/x", "/elsewhere/x")
SPLIT = [
    {"service": "engines", "weight": 0},
    {"service": "plain-service", "weight": 3},
]
SOUND = copy.deepcopy(CONFIGURATION)
SOUND["routes"][1]["split"] = SPLIT


def numbers(document: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Return where in a document the numbers stand."""
    if isinstance(document, dict):
        for name, value in document.items():
            yield from numbers(value, (*path, name))
    elif isinstance(document, list):
        for index, value in enumerate(document):
            yield from numbers(value, (*path, index))
    elif isinstance(document, int | float) and not isinstance(document, bool):
        yield path


def with_number(path: tuple[Any, ...], number: float) -> bytes:
    """Return the configuration with another number in one place, encoded."""
    document: Any = copy.deepcopy(SOUND)
    place = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = number
    return json.dumps(document).encode()


class OddConfigurationTests(RequestTestCase):
    """Guards against requests without an answer while such a version is in force."""

    def test_each_request_is_answered(self) -> None:
        harness = self.start(good)
        accepted = 0
        for path in numbers(SOUND):
            for number in ODD_NUMBERS:
                with self.subTest(path=path, number=number):
                    accepted += self.check(harness, with_number(path, number))
        self.assertGreater(accepted, 0)

    def check(self, harness: Harness, encoded: bytes) -> bool:
        change = decode(Topic.CONFIGURATION, Record(7, "config", encoded))
        if not isinstance(change, ConfigurationPut):
            return False
        harness.table = RouteTable(change.configuration)
        for path in PATHS:
            with harness.connect() as caller:
                caller.socket.settimeout(5)
                caller.send(path, host=HOST)
                answer = caller.receive()
                self.assertNotEqual(answer.status, 0, path)
                self.assertTrue(answer.complete, path)
        return True


if __name__ == "__main__":
    unittest.main()

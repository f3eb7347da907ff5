"""Prompts with one part that crashes each worker that begins to answer them.

Requests with that part come at any instance, no two alike; sound ones share their
caller and their other parts. Real processes, and workers that are back after a while.
"""

import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from random import Random

from .platform_process import PlatformProcess, ProcessTestCase
from .platform_stand_ins.fleet import CrashingModelFleet
from .test_platform import MODEL

INSTANCES, ENGINES = 3, 8
DOWN_S = 2.0
RUN_S, EVENT_S = 0.15, 0.05
SOUND_PER_S, CRASHING_PER_S = 24, 5
CALM_S, TROUBLE_S = 3.0, 16.0
CONTACT_S = 3.0
EXPECTED_CRASHES = 5
MAX_FURTHER = 3
"""Requests with the part that may reach workers from `CONTACT_S` after the fifth
crash."""
SERVED_SHARE = 0.9
"""Of the share of sound requests served before; 0.5 is what users must have."""
SHARED, NEIGHBOURS = "5c1e07a2", ("91bd3f06", "77aa0301", "13c9d0e4")
CRASHING = "deadbeef"


class CrashingPartTests(ProcessTestCase):
    """Three instances; eight workers."""

    @classmethod
    def setUpClass(cls) -> None:
        """Keep the tests of this class in one worker, since they load the machine."""
        super().setUpClass()

    def setUp(self) -> None:
        super().setUp()
        self.fleet = CrashingModelFleet(
            self.store, "engines", MODEL, ENGINES, CRASHING, DOWN_S, RUN_S, EVENT_S
        )
        self.addCleanup(self.fleet.close)
        self.instances = [self.spawn(f"node-{n}") for n in range(INSTANCES)]
        for instance in self.instances:
            self.await_ready(instance)
        self.pool = ThreadPoolExecutor(200)
        self.addCleanup(self.pool.shutdown, cancel_futures=True)
        self.rng = Random(1)
        self.sound: list[tuple[float, Future[tuple[int, bytes]]]] = []

    def ask(self, id: str, parts: list[str]) -> Future[tuple[int, bytes]]:
        """Send a request whose last part is its own."""
        instance: PlatformProcess = self.rng.choice(self.instances)
        text = ",".join(f"{part}:100" for part in [*parts, f"{id}00"])
        return self.pool.submit(instance.ask, f"/review/{id}", id, MODEL, "", text)

    def ask_sound(self, number: int) -> None:
        parts = [SHARED, self.rng.choice(NEIGHBOURS)]
        now = time.monotonic()
        self.sound.append((now, self.ask(f"a{number:05d}", parts)))

    def play(self, seconds: float, crashing: list[list[str]]) -> None:
        """Let requests come for a while.

        Parameters
        ----------
        crashing : list of list of str
            The parts of requests with the part that crashes workers, by turns; none
            come if it is empty.
        """
        began = time.monotonic()
        first = len(self.sound)
        for count in range(int(seconds * SOUND_PER_S)):
            self.ask_sound(first + count)
            due = count * CRASHING_PER_S // SOUND_PER_S
            before = (count - 1) * CRASHING_PER_S // SOUND_PER_S
            if crashing and due > before:
                self.ask(f"b{first + count:05d}", crashing[due % len(crashing)])
            next_at = began + (count + 1) / SOUND_PER_S
            time.sleep(max(next_at - time.monotonic(), 0))

    def served_share(self, since: float, until: float) -> float:
        """Return the share of sound requests sent in between that were served."""
        answers = [answer for at, answer in self.sound if since <= at < until]
        served = [answer.result()[0] == 200 for answer in answers]
        return sum(served) / len(served)

    def check(self, crashing: list[list[str]]) -> None:
        self.play(CALM_S, [])
        trouble_at = time.monotonic()
        self.play(TROUBLE_S, crashing)
        end = time.monotonic()
        crashes = self.fleet.crashed_at
        self.assertGreaterEqual(len(crashes), 3)
        fifth_at = crashes[:EXPECTED_CRASHES][-1]
        late = [
            at for at in self.fleet.arrived_at.values() if at > fifth_at + CONTACT_S
        ]
        before = self.served_share(0.0, trouble_at)
        since = self.served_share(fifth_at + 2 * CONTACT_S, end)
        self.assertLessEqual(len(late), MAX_FURTHER, f"{len(crashes)} crashes")
        self.assertGreaterEqual(since, before * SERVED_SHARE)

    def test_a_part_in_the_middle_is_held_back_and_no_neighbour(self) -> None:
        self.check([[SHARED, CRASHING], [SHARED, CRASHING, NEIGHBOURS[0]]])

    def test_a_part_in_front_is_held_back_and_no_neighbour(self) -> None:
        self.check([[CRASHING, SHARED], [CRASHING, NEIGHBOURS[0], SHARED]])


if __name__ == "__main__":
    unittest.main()

"""Overload of a plain service through several instances, by the acceptance criteria."""

import unittest

from .admission_instances import AdmissionInstances
from .admission_load import QUEUE, SLOTS, WORK_S, AdmissionLoad

UPSTREAMS = 3
SECONDS = 5.0
CAPACITY = UPSTREAMS * SLOTS / WORK_S
"""Requests per second that the upstreams can take: 300, as on Coldwater."""
SEEDS = (1, 2)
MIN_GOODPUT = 0.9
MIN_SHARE = 0.9
MIN_SERVED_AFTER = 0.9


class LoadTests(unittest.TestCase):
    """Twice the capacity; one of three customers sends 4.5 times its share."""

    def test_customers_within_their_share_are_served_at_twice_the_load(self) -> None:
        # Guards against messages between instances that lose what the leader decides.
        rates = {
            "a": CAPACITY * 0.25,
            "b": CAPACITY * 0.25,
            "loud": CAPACITY * 1.5,
        }
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = AdmissionInstances(4, UPSTREAMS, SLOTS)
                world.overload(world.followers[0])
                load = AdmissionLoad(world, rates, seed)
                load.run(SECONDS)
                found = load.results
                served = sum(found.served.values())
                self.assertGreaterEqual(served, MIN_GOODPUT * CAPACITY * SECONDS)
                for name in ("a", "b"):
                    share = found.served[name] / found.sent[name]
                    self.assertGreaterEqual(share, MIN_SHARE, name)
                self.assertEqual(found.refused_late, 0)
                self.assertEqual(found.undecided, 0)
                self.assertGreater(found.told, 0)
                after = found.served_after / found.told
                self.assertGreaterEqual(after, MIN_SERVED_AFTER)
                self.assertLess(found.full, UPSTREAMS * QUEUE)


if __name__ == "__main__":
    unittest.main()

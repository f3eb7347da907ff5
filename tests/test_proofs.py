"""Proof that the known configuration is current, where the log answers some only."""

import unittest
from collections import defaultdict
from datetime import timedelta

from ashhoist.customers import Customer, digest
from ashhoist.process_settings import BoundsSection

from .control_world import World

REVOCATION = timedelta(seconds=5)
IN_FORCE_WITHIN = timedelta(seconds=3)
MACHINES, ZONES = 61, 3
STEP_S = 0.05
TURNED_AWAY_S = 9.0


class LeaderWithoutLogTests(unittest.TestCase):
    """The log turns the leader away; the deputy's proof is at most 0.6 s old."""

    def setUp(self) -> None:
        bounds = BoundsSection(configuration=IN_FORCE_WITHIN, revocation=REVOCATION)
        self.world = World(MACHINES, 3, zones=ZONES, bounds=bounds)
        self.world.customers = (Customer("customer", frozenset({digest("key")})),)
        self.world.put_configuration(2)
        self.world.start()
        self.world.run(8.0)

    def turn_leader_away(self) -> None:
        (leader,) = self.world.leaders()
        self.world.machines[leader].store_cut = True

    def unable_s(self) -> dict[str, float]:
        """Return for how long each instance can't tell that it need not know a key."""
        found: dict[str, float] = defaultdict(float)
        for _ in range(round(TURNED_AWAY_S / STEP_S)):
            self.world.run(STEP_S)
            now = self.world.clock.monotonic()
            for name, machine in self.world.machines.items():
                if not machine.proof.shows_absence(now, IN_FORCE_WITHIN):
                    found[name] += STEP_S
        return dict(found)

    def test_unknown_keys_are_refused_as_such_while_the_log_answers_all(self) -> None:
        self.assertEqual(self.unable_s(), {})

    def test_known_keys_are_accepted_while_the_leader_is_turned_away(self) -> None:
        self.turn_leader_away()
        for _ in range(round(TURNED_AWAY_S / STEP_S)):
            self.world.run(STEP_S)
            now = self.world.clock.monotonic()
            for name, machine in self.world.machines.items():
                self.assertTrue(machine.proof.is_recent(now), name)

    def test_unknown_keys_are_refused_as_such_while_the_leader_is_turned_away(
        self,
    ) -> None:
        # Guards against asking the others in turn for proof, most of whom have none
        # that is newer, before the deputy is asked again.
        self.turn_leader_away()
        self.assertEqual(self.unable_s(), {})


if __name__ == "__main__":
    unittest.main()

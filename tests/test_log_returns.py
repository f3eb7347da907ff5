"""A configuration change confirmed after a log outage is applied everywhere in time.

Guards against instances that use an old configuration after the log has recovered. For
5.8 s they refused a new route with 404 and sent requests by the old configuration,
though newer versions had been confirmed.

The log had left every call unanswered for six seconds. The reads of the configuration
that the two readers had sent meanwhile were still pending when it recovered, and were
never answered. Their reads of the upstreams recovered after 1.5 s. Because of these the
two still counted as readers, so the other five, whose reads would have been answered,
did not read. There were two causes: a read timed out only 6.2 s after it was sent,
while a change has to be in force within 2 s; and an instance that read only some of the
topics counted as a reader of the log.

The evidence: ``log lost topic=configuration detail=timeout`` at 10.226 s and
``log there topic=configuration`` at 17.194 s (0.25 s until the next attempt, 6.2 s for
it, 0.5 s until the one after); in between, ``log there topic=upstreams`` on all seven
instances and ``log_lag_seconds 0.04`` on one that was four versions behind.
"""

import unittest
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from ashhoist.process_settings import BoundsSection
from ashhoist.store import Topic

from .control_world import TICK, World
from .test_replication import versions

IN_FORCE_WITHIN = BoundsSection().configuration
IN_CONTACT_AFTER = BoundsSection().contact
OUTAGES = [tenths / 10 for tenths in range(2, 82, 8)]
"""Durations of the outages, in seconds."""
RELAYED = timedelta(seconds=TICK + 0.01)
"""Additional time until readers have relayed a change to the other instances."""


def running(instances: int = 7) -> World:
    """Return a simulation whose instances have been running for three seconds."""
    world = World(instances, 2)
    world.start()
    world.run(3.0)
    return world


def readers(world: World) -> list[str]:
    """Return the instances that read the log themselves."""
    return [
        name
        for name, machine in world.machines.items()
        if machine.core is not None and machine.core.is_log_reader
    ]


class LogReturnsTests(unittest.TestCase):
    def test_a_change_at_the_end_of_an_outage_is_in_force_in_time(self) -> None:
        late_after = []
        for outage in OUTAGES:
            world = running()
            world.store.is_down = True
            world.run(outage)
            world.store.is_down = False
            world.put_configuration(2)
            world.run((IN_FORCE_WITHIN + RELAYED).total_seconds())
            if versions(world) != {2}:
                late_after.append(outage)
        self.assertEqual(late_after, [])

    @settings(max_examples=30, deadline=None, derandomize=True)
    @given(
        st.floats(0.0, 1.0),
        st.lists(st.floats(0.1, 7.0), min_size=1, max_size=4),
        st.floats(0.0, 3.0),
    )
    def test_so_it_is_however_often_the_log_comes_and_goes(
        self, before: float, outages: list[float], after: float
    ) -> None:
        world = running()
        world.run(before)
        for version, outage in enumerate(outages, 2):
            world.store.is_down = True
            world.run(outage)
            world.store.is_down = False
            world.put_configuration(version)
            world.run((after + 0.3) / version)
        world.put_configuration(9)
        world.run((IN_FORCE_WITHIN + RELAYED).total_seconds())
        self.assertEqual(versions(world), {9})


class UnansweredReadTests(unittest.TestCase):
    """The log does not answer the readers' reads of the configuration."""

    def setUp(self) -> None:
        self.world = running()
        self.unanswered_readers = readers(self.world)
        for name in self.unanswered_readers:
            self.world.machines[name].unanswered_topics.add(Topic.CONFIGURATION)
        self.world.put_configuration(2)

    def test_they_stop_counting_as_readers_and_others_read(self) -> None:
        self.world.run(IN_FORCE_WITHIN.total_seconds())
        for name in self.unanswered_readers:
            core = self.world.machines[name].core
            assert core is not None
            self.assertFalse(core.records.reads_log, name)
        self.world.run((IN_CONTACT_AFTER - IN_FORCE_WITHIN).total_seconds())
        self.assertEqual(versions(self.world), {2})


if __name__ == "__main__":
    unittest.main()

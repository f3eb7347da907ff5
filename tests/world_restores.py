"""Restores the simulated store from a snapshot, after an outage."""

import random
from dataclasses import dataclass

from ashhoist.store import Topic

from .control_world import World
from .platform_stand_ins.log_state import Topic as TopicState

REWRITE_WITHIN_S = 1.0
LAPSE_AFTER_S = 3.6
"""Time after the restore when a restored record that is not renewed expires."""


@dataclass(frozen=True)
class Restore:
    """An outage of the store that ends with a restore.

    Parameters
    ----------
    outage_s : float
        Duration of the outage.
    rewrite_within_s : float
        Time after the restore within which the last written values are written again,
        in random order.
    """

    outage_s: float = 0.8
    rewrite_within_s: float = REWRITE_WITHIN_S

    def begin(
        self, world: World, snapshot: dict[str, TopicState], rng: random.Random
    ) -> None:
        """Start the outage, and schedule the restore at its end."""
        world.store.is_down = True
        world.after(self.outage_s, lambda: self._end(world, snapshot, rng))

    def _end(
        self, world: World, snapshot: dict[str, TopicState], rng: random.Random
    ) -> None:
        world.log.restore(snapshot)
        world.store.is_down = False
        keys = [
            (topic, key) for topic, found in world.last_written.items() for key in found
        ]
        for topic, key in keys:
            seconds = rng.uniform(0.0, self.rewrite_within_s)
            if world.last_written[topic][key] is None:
                seconds = LAPSE_AFTER_S
            _schedule_rewrite(world, topic, key, seconds)


def _schedule_rewrite(world: World, topic: Topic, key: str, seconds: float) -> None:
    world.after(seconds, lambda: world.rewrite(topic, key))

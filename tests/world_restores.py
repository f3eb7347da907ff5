"""A store of a test world that is away for a moment and comes back from a copy."""

import random
from dataclasses import dataclass

from ashhoist.store import Topic

from .control_world import World
from .platform_stand_ins.log_state import Topic as TopicState

WRITTEN_AGAIN_WITHIN_S = 1.0


@dataclass(frozen=True)
class Restore:
    """How a store goes away and comes back.

    Parameters
    ----------
    away_s : float
        How long it answers nobody.
    written_again_s : float
        Within so long after its return all that operators and engines wrote stands
        there again, in any order.
    """

    away_s: float = 0.8
    written_again_s: float = WRITTEN_AGAIN_WITHIN_S

    def begin(
        self, world: World, copied: dict[str, TopicState], source: random.Random
    ) -> None:
        """Take the store away now; it comes back by itself."""
        world.store.is_down = True
        world.after(self.away_s, lambda: self._end(world, copied, source))

    def _end(
        self, world: World, copied: dict[str, TopicState], source: random.Random
    ) -> None:
        world.log.restore(copied)
        world.store.is_down = False
        keys = [(topic, key) for topic, found in world.written.items() for key in found]
        for topic, key in keys:
            _write_again_later(
                world, topic, key, source.uniform(0.0, self.written_again_s)
            )


def _write_again_later(world: World, topic: Topic, key: str, seconds: float) -> None:
    world.after(seconds, lambda: world.write_again(topic, key))

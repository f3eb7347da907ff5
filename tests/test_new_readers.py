"""An instance that starts to read the log skips the records relayed to it before.

Guards against reading from the offset at which the instance itself last read, which may
be days old, instead of the end of the relayed records. Two readers relayed a hundred
changes of 20 kB and then both lost the log at the moment of the next change. The five
others started to read in time, but got the hundred changes again first, at the rate of
their links: they had been sent the records up to offset 98, and read from offset 1. The
next change was in force after 2.64 s, where 2 s are allowed (2.00 s with 60 changes,
3.44 s with 150).
"""

import unittest

from ashhoist.process_settings import BoundsSection

from .control_world import World
from .test_log_returns import readers

IN_FORCE_WITHIN = BoundsSection().configuration
CHANGES = 100
SIZE = 20_000
LINK_BYTES_PER_S = 1_250_000
"""10 Mbit/s."""


class NewReaderTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(7, 2)
        self.world.store.bytes_per_s = LINK_BYTES_PER_S
        self.world.start()
        self.world.run(3.0)

    def change(self, version: int) -> None:
        self.world.put_configuration(version, SIZE)

    def test_new_reader_reads_only_records_not_relayed_to_it(self) -> None:
        for version in range(2, CHANGES):
            self.change(version)
            self.world.run(1.0)
        lost_readers = readers(self.world)
        for name in lost_readers:
            self.world.machines[name].store_cut = True
        others = [
            m for name, m in self.world.machines.items() if name not in lost_readers
        ]
        self.change(CHANGES)
        started_at = self.world.now
        self.world.run(
            9.0, lambda: all(m.active_configuration.version == CHANGES for m in others)
        )
        self.assertLessEqual(
            self.world.now - started_at, IN_FORCE_WITHIN.total_seconds()
        )


if __name__ == "__main__":
    unittest.main()

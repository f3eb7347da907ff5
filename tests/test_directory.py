"""The upstreams that exist: what requests see, and what taking in many costs.

Symptom: a start took every instance 0.06, 0.18 and 0.55 s of a core before 200, 400 and
800 upstreams. Cause: each upstream's record rebuilt what requests see of all of them.
What settled it: a profile of the start of 30 instances before 800 upstreams, 72 of 85 s
in the rebuilding; 0.01 s of a core at each of these sizes without it.
"""

import unittest
from datetime import timedelta
from unittest import mock

from hypothesis import example, given, strategies as st

from ashhoist.upstreams import Directory, Upstream, UpstreamState, directory

from .control_world import World

NOW = timedelta(seconds=1)
UPSTREAMS = 100


def upstream(number: int, offset: int, state: str = "ready") -> Upstream:
    """Return one life of an upstream."""
    service = f"service-{number % 2}"
    return Upstream(
        f"id-{number}", service, "a:1", "zone", UpstreamState(state), offset=offset
    )


class _Plain:
    """A plain model: the newest record of each, and the ends that were read."""

    def __init__(self) -> None:
        self.newest: dict[str, tuple[int, Upstream | None]] = {}

    def take(self, name: str, offset: int, found: Upstream | None) -> None:
        if offset > self.newest.get(name, (-1, None))[0]:
            self.newest[name] = (offset, found)

    def ready(self, service: str) -> set[str]:
        return {
            found.id
            for _, found in self.newest.values()
            if found is not None and found.service == service and found.takes_work
        }


class ViewTests(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 4),
                st.integers(0, 30),
                st.sampled_from(("ready", "draining", "end", "look")),
            )
        )
    )
    # An older end came late and hid the newer one; a record before that came back.
    @example([(2, 5, "end"), (2, 2, "end"), (2, 4, "ready")])
    def test_requests_see_the_newest_of_each(
        self, steps: list[tuple[int, int, str]]
    ) -> None:
        found, plain = Directory(), _Plain()
        for number, offset, what in steps:
            if what == "look":
                found.view  # noqa: B018
            elif what == "end":
                found.end(f"id-{number}", offset, NOW)
                plain.take(f"id-{number}", offset, None)
            else:
                found.put(upstream(number, offset, what))
                plain.take(f"id-{number}", offset, upstream(number, offset, what))
        for service in ("service-0", "service-1"):
            seen = {one.id for one in found.view.of(service)}
            self.assertEqual(seen, plain.ready(service))

    def test_a_view_that_was_taken_does_not_change(self) -> None:
        found = Directory()
        found.put(upstream(1, 1))
        before = found.view
        found.put(upstream(2, 2))
        self.assertEqual(list(before.by_id), ["id-1"])
        self.assertEqual(list(found.view.by_id), ["id-1", "id-2"])


class CostTests(unittest.TestCase):
    """How often all upstreams are gone through."""

    def setUp(self) -> None:
        self.rebuilt = mock.Mock(wraps=directory._view)
        self.enterContext(mock.patch.object(directory, "_view", self.rebuilt))

    def test_a_start_before_many_upstreams(self) -> None:
        world = World(1, UPSTREAMS)
        world.start()
        world.run(3.0)
        core = world.machines["instance-0"].core
        assert core is not None
        self.assertEqual(len(core._directory.view.by_id), UPSTREAMS)
        self.assertLess(self.rebuilt.call_count, UPSTREAMS / 4)

    def test_the_end_of_many_upstreams(self) -> None:
        world = World(1, UPSTREAMS)
        world.start()
        world.run(3.0)
        core = world.machines["instance-0"].core
        assert core is not None
        self.rebuilt.reset_mock()
        for number in range(UPSTREAMS):
            world.write_engine(f"engine-{number}", UpstreamState.DRAINING)
        world.run(2.0)
        for number in range(UPSTREAMS):
            world.end_engine(f"engine-{number}")
        world.run(2.0)
        self.assertEqual(len(core._directory.view.by_id), 0)
        self.assertLess(self.rebuilt.call_count, UPSTREAMS / 4)


if __name__ == "__main__":
    unittest.main()

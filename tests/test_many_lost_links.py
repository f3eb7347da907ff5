"""Many instances, of which some lose their links to all upstreams, hubs among them.

Real processes of one availability zone beside the platform's store: enough of them that
few are linked to all others.
"""

import time
import unittest
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from random import Random

from ashhoist.control.hubs import HUBS_PER_ZONE, RANK_KEY
from ashhoist.control.peers import rank
from ashhoist.orders import LeaseTiming

from .platform_process import PlatformProcess
from .platform_stand_ins.worker import ID
from .test_lost_links import ADAPTER, CONTACT_S, LinksTestCase

INSTANCES = 24
CUT_OFF = 12
REQUESTS = 5
"""Requests to each instance, for a kind of service."""
SERVED_SHARE = 3 / 4
"""Of the share of requests that the other instances serve."""
INTERVAL_S = 0.3
"""Between two requests to an instance while it loses its links."""
TAKEOVER_S = LeaseTiming().term.total_seconds() + 1.0
"""Time, after `CONTACT_S`, for a lease to lapse and for another claim of it."""
LINKED_S = 90.0
"""By then, links that were needed at the start only are closed."""
NAMES = [f"node-{number}" for number in range(INSTANCES)]
HUBS = sorted(NAMES, key=lambda name: rank(RANK_KEY, name))[:HUBS_PER_ZONE]


class ManyLostLinksTests(LinksTestCase):
    """Instances that few others are linked to are cut off from all upstreams."""

    linked_s = LINKED_S

    @classmethod
    def setUpClass(cls) -> None:
        """Keep the tests of this class in one worker, since each has many processes."""
        super().setUpClass()

    def setUp(self) -> None:
        super().setUp()
        names = [instance.settings.stem for instance in self.instances]
        self.by_name = dict(zip(names, self.instances, strict=True))
        self.links_by_name = dict(zip(names, self.links, strict=True))
        self.callers = ThreadPoolExecutor(INSTANCES * REQUESTS)
        self.addCleanup(self.callers.shutdown, cancel_futures=True)

    def start_all(self) -> None:
        """Start the hubs first, so that all others know them from the register."""
        self.start_instances(HUBS)
        self.start_instances([name for name in NAMES if name not in HUBS])

    def _is_linked(self, instance: PlatformProcess) -> bool:
        """Return whether an instance knows all, and has the links that it keeps."""
        if self.gauge(instance, "instances_known") != INSTANCES - 1:
            return False
        is_hub = instance.settings.stem in HUBS
        wanted = INSTANCES - 1 if is_hub else HUBS_PER_ZONE
        return self.contacts(instance) == wanted

    def cut_names(self, hubs: int) -> list[str]:
        """Return the instances to cut off: some hubs, and others at random."""
        chosen = HUBS[:hubs]
        others = [name for name in NAMES if name not in HUBS]
        return chosen + Random(1).sample(others, CUT_OFF - hubs)

    def shares(self, label: str, names: list[str], adapter: str = "") -> float:
        """Return the share of requests to some instances served at the first try."""
        path = "/review/x" if adapter else "/lobby/x"
        answers = [
            self.callers.submit(
                self.by_name[name].ask, path, f"{label}-{name}-{count}", adapter
            )
            for name in names
            for count in range(REQUESTS)
        ]
        served = sum(answer.result()[0] == 200 for answer in answers)
        return served / len(answers)

    def cut_named(self, way: str, names: list[str]) -> None:
        """Cut the links of some instances; return once `CONTACT_S` has passed."""
        for name in names:
            self.links_by_name[name].cut(way)
        end = time.monotonic() + CONTACT_S
        for count in range(1000):
            for name in names:
                instance = self.by_name[name]
                self.callers.submit(
                    instance.ask, "/lobby/x", f"meanwhile-{name}-{count}"
                )
            time.sleep(INTERVAL_S)
            if time.monotonic() >= end:
                return

    def check(self, way: str, hubs: int, adapter: str = "") -> None:
        names = self.cut_names(hubs)
        others = [name for name in NAMES if name not in names]
        self.assertEqual(self.shares("before", NAMES, adapter), 1.0)
        self.cut_named(way, names)
        cut_off = self.shares("cut", names, adapter)
        sound = self.shares("sound", others, adapter)
        self.assertGreaterEqual(sound, 0.9)
        self.assertGreaterEqual(cut_off, sound * SERVED_SHARE)
        self.assert_none_ran_twice()

    def assert_none_ran_twice(self) -> None:
        calls = [call for one in self.plain for call in one.ran]
        unnamed = [
            (call.method, call.target, call.headers)
            for call in calls
            if ID.lower() not in call.headers
        ]
        self.assertEqual(unnamed, [], "requests that no caller of this test sent")
        runs = Counter(call.headers[ID.lower()] for call in calls)
        self.assertEqual([id for id, count in runs.items() if count > 1], [])

    def test_callers_are_served_if_all_hubs_have_silent_links(self) -> None:
        self.check("silent", HUBS_PER_ZONE)

    def test_callers_are_served_if_all_hubs_have_broken_links(self) -> None:
        self.check("reset", HUBS_PER_ZONE)

    def test_callers_of_engines_are_served_if_all_hubs_are_cut_off(self) -> None:
        self.check("silent", HUBS_PER_ZONE, ADAPTER)

    def test_adapters_are_loaded_if_all_hubs_are_cut_off(self) -> None:
        # Guards against no loads at all while the lease holder reaches no engine.
        model, _, _ = ADAPTER.partition("/")
        names = self.cut_names(HUBS_PER_ZONE)
        self.cut_named("silent", names)
        time.sleep(TAKEOVER_S)
        answers = [
            self.callers.submit(
                self.by_name[name].ask, "/review/x", f"new-{name}", f"{model}/{name}"
            )
            for name in NAMES
        ]
        served = sum(answer.result()[0] == 200 for answer in answers)
        self.assertGreaterEqual(served, 0.9 * INSTANCES)
        self.assert_none_ran_twice()

    def test_callers_are_served_if_one_hub_is_cut_off(self) -> None:
        self.check("silent", 1)


if __name__ == "__main__":
    unittest.main()

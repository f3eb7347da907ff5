"""The checkers work: with each rule broken on purpose, a scenario fails."""

import itertools
import unittest
from typing import Any
from unittest import mock

from ashhoist.claims import Authority
from ashhoist.configuration import Change, Configuration, Decision, Verdict
from ashhoist.core import Instance
from ashhoist.entry import Entry
from ashhoist.failures import Failure, Outcome, Reason, Step
from ashhoist.homes import Homes
from ashhoist.keys import KeyFold
from ashhoist.membership import Membership
from ashhoist.outside import CallerRequest
from ashhoist.routes import Routes
from ashhoist.slots import Slot, SlotState, SlotTable
from ashhoist_standins import EngineModel
from ashhoist_standins.scenario import Scenario, ScenarioError
from ashhoist_standins.world import World
from tests.test_promises import compose, trouble_of

real_resolve = Routes.resolve
real_unload = EngineModel._unload


REFUSED_AFTER_A_RUN = """
zones 2
instances 2
engine e0 zone-0 fences
declare 1
ask a0 from i1
wait 100ms
cut zone-0 zone-1
wait 30s
expect not_run = 0
expect unknown = 1
"""
GRANT_LOST_IN_A_CUT = """
zones 3
instances 3
engine e0 zone-0 fences
engine e1 zone-1 fences
engine e2 zone-2 fences
declare 12
ask a0 from i0
ask a1 from i1
ask a2 from i2
ask a3 from i0
ask a4 from i1
ask a5 from i2
wait 300ms
cut zone-1 zone-0
cut zone-1 zone-2
wait 12s
ask a6 from i0 timeout 8s
ask a7 from i2 timeout 8s
ask a8 from i0 timeout 8s
ask a9 from i2 timeout 8s
ask a10 from i1 timeout 8s
wait 9s
expect whole >= 9
"""
CONFIGURATION_OUTLIVES_RETENTION = """
zones 1
retention 80s
instances 2
engine e0 zone-0 fences
declare 3
ask a0
wait 70s
adapter late v1
wait 40s
instance i9 zone-0
wait 5s
expect ready = 3
expect offsets = 1
expect adapters = 4
expect one_holder = 1
wait 100s
kill i0
kill i1
kill i9
instance j0 zone-0
wait 25s
expect ready = 1
expect adapters = 4
expect one_holder = 1
ask late
wait 20s
expect whole = 2
"""
STARTED_IN_A_LOG_OUTAGE = """
zones 1
instances 2
engine e0 zone-0 fences
declare 2
ask a0
wait 2s
log down
wait 5s
instance i9 zone-0
wait 5s
expect ready = 3
expect offsets = 1
expect one_holder = 1
ask a0 from i9
ask a1 from i9
wait 5s
expect whole = 3
log up
wait 5s
adapter a7 v1
wait 2s
expect offsets = 1
expect adapters = 3
"""
FLAPPING_LINKS = """
zones 2
instances 4
engine e0 zone-0 fences
engine e1 zone-1
declare 3
ask a0 tokens 400 stream times 2
wait 500ms
cut zone-0 zone-1
wait 700ms
heal
wait 600ms
cut zone-0 zone-1
wait 4s
heal
ask a1 tokens 60 stream
wait 400ms
cut i0 i1
wait 5s
heal
ask a2
wait 25s
expect open = 0
expect one_holder = 2
expect whole >= 3
"""
CALLERS_VANISH = """
zones 2
instances 2
engine e0 zone-0 slots 1 fences
service s0 zone-1
declare 3
ask a0 tokens 900 stream times 3
ask a0 tokens 900 times 3
ask a1
book k
wait 2s
expect busy >= 6
vanish
wait 5s
expect busy = 0
ask a2
wait 10s
expect whole >= 1
"""
LATE_UNLOAD = """
zones 1
instances 2
engine e0 zone-0 slots 1 fences
declare 2
ask a0
wait 3s
delay 20s
ask a1
wait 1s
kill home:e0
delay 1ms
wait 6s
ask a0 tokens 900 stream timeout 60s
wait 60s
expect whole = 3
"""
ENGINE_RESTARTS_IN_STREAM = """
zones 1
instances 2
engine e0 zone-0 fences
declare 1
ask a0 stream tokens 50 times 2
wait 1s
restart e0
wait 20s
expect failed = 2
"""
ENGINE_LEAVES = """
zones 1
instances 2
engine e0 zone-0 fences
declare 1
ask a0
leave e0
wait 4s
ask a0
wait 20s
expect whole = 1
expect not_run = 1
"""
HOME_DIES_IN_DISPATCH = """
zones 2
instances 2
service s0 zone-0
declare 0
book once from i1
wait 25ms
kill home:s0
wait 20s
expect unknown = 1
expect runs = 1
"""


def broken_by(promise: str, *failures: str) -> list[str]:
    found = []
    for failure in failures:
        lines = compose(promise, trouble_of(failure))
        found += Scenario(1).run("\n".join(lines))
    return found


class BrokenVariantTests(unittest.TestCase):
    def test_version_ignored(self) -> None:
        def resolve(core: Routes, request: CallerRequest) -> Any:
            name = request.model.partition("@")[0]
            plain = CallerRequest(request.request_id, name, request.service)
            return real_resolve(core, plain)

        with mock.patch.object(Routes, "resolve", resolve):
            found = broken_by("adapter_and_version", "popularity_shift")
        self.assertIn("asked a0@v1, got a0@v2", " ".join(found))

    def test_eviction_in_flight(self) -> None:
        def evictable(table: SlotTable) -> list[Slot]:
            slots = table.by_adapter.values()
            return [slot for slot in slots if slot.state is SlotState.RESIDENT]

        def unload(engine: EngineModel, adapter: str, idle: bool, done: Any) -> None:
            real_unload(engine, adapter, False, done)

        with (
            mock.patch.object(SlotTable, "evictable", evictable),
            mock.patch.object(EngineModel, "_unload", unload),
        ):
            found = broken_by("no_unload_under_request", "popularity_shift")
        self.assertIn("under a request", " ".join(found))

    def test_fences_and_leases_ignored(self) -> None:
        def unload(engine: EngineModel, adapter: str, idle: bool, done: Any) -> None:
            real_unload(engine, adapter, False, done)

        with (
            mock.patch.object(Authority, "may_order", lambda *_: True),
            mock.patch.object(EngineModel, "_order_error", lambda *_: ""),
            mock.patch.object(EngineModel, "_unload", unload),
        ):
            found = Scenario(1).run(LATE_UNLOAD)
        self.assertIn("under a request", " ".join(found))

    def test_cut_answer_passed_off_as_whole(self) -> None:
        def broken(entry: Entry, call: Any, reason: Reason) -> None:
            entry.end(call.job.id, call.home, call.index)

        def failed(entry: Entry, job_id: Any, source: str, failure: Any) -> None:
            call = entry.calls.get(job_id[0])
            if call is not None and call.headed:
                entry.end(job_id, source, call.index)

        with (
            mock.patch.object(Entry, "_broken", broken),
            mock.patch.object(Entry, "failed", failed),
        ):
            found = Scenario(1).run(ENGINE_RESTARTS_IN_STREAM)
        self.assertIn("got '", " ".join(found))

    def test_doubled_pieces_accepted(self) -> None:
        def data(entry: Entry, job_id: Any, source: str, *piece: Any) -> None:
            call = entry.calls.get(job_id[0])
            if call is not None:
                call.index = max(call.index, piece[0] + piece[1])
                from ashhoist.outside import ReplyData

                entry._outside.reply(job_id[0], ReplyData(piece[2]))
                entry._outside.reply(job_id[0], ReplyData(piece[2]))

        with mock.patch.object(Entry, "data", data):
            found = broken_by("whole_own_answers", "instance_killed")
        self.assertIn("got '", " ".join(found))

    def test_unknown_told_as_not_run(self) -> None:
        def broken(entry: Entry, call: Any, reason: Reason) -> None:
            failure = Failure(reason, Outcome.NOT_RUN, Step.ANSWER)
            entry._fail(call, failure)

        with mock.patch.object(Entry, "_broken", broken):
            found = Scenario(1).run(HOME_DIES_IN_DISPATCH)
        self.assertIn("told not run, but ran", " ".join(found))

    def test_not_repeatable_is_tried_again(self) -> None:
        with mock.patch.object(Entry, "_may_retry", lambda *_: True):
            found = broken_by("at_most_once", "answers_lost_after_effect")
        self.assertIn("ran 2 times", " ".join(found))

    def test_repeated_key_is_not_recognised(self) -> None:
        with mock.patch.object(KeyFold, "holder", lambda *_: None):
            with mock.patch("ashhoist.keys._verdict", lambda *_: None):
                found = broken_by("at_most_once", "popularity_shift")
        self.assertIn("times", " ".join(found))

    def test_leaving_is_ignored(self) -> None:
        with (
            mock.patch.object(Homes, "set_leaving", lambda *_: None),
            mock.patch.object(Membership, "leaving", lambda *_: False),
        ):
            found = Scenario(1).run(ENGINE_LEAVES)
        self.assertIn("was leaving and got work", " ".join(found))

    def test_planned_stop_does_not_wait(self) -> None:
        with mock.patch.object(Instance, "idle", True):
            found = broken_by("planned_stop", "popularity_shift")
        self.assertIn("cut off a request", " ".join(found))

    def test_both_racing_operators_win(self) -> None:
        accepted = Decision(Verdict.ACCEPTED, 0)
        with mock.patch.object(Configuration, "_decide", lambda *_: accepted):
            found = broken_by("configuration", "operators_race")
        self.assertIn("was won 2 times", " ".join(found))

    def test_configuration_goes_back(self) -> None:
        def adopt(changes: Any, newest: Configuration) -> None:
            changes.state = newest

        world = World(["zone-0"])
        node = world.add_node("i0", "zone-0")
        world.run(world.list_lag * 4)
        for number in range(3):
            world.change("i0", Change(f"o{number}", "base-models", f"b{number}", {}))
            world.run(world.list_lag)
        chunks = node.core.changes.state.to_chunks()
        world.change("i0", Change("late", "base-models", "late", {}))
        world.run(world.list_lag)
        with mock.patch("ashhoist.changes.Changes._adopt", adopt):
            node.core.records("snapshots", [(9, chunk) for chunk in chunks], True)
            world.run(world.list_lag)
        self.assertIn("went back", " ".join(world.broken_promises()))


class UnbrokenTests(unittest.TestCase):
    def test_late_unload_of_a_dead_home_is_refused(self) -> None:
        self.assertEqual(Scenario(1).run(LATE_UNLOAD), [])

    def test_loads_go_on_when_a_grant_is_lost_in_a_cut(self) -> None:
        for seed in range(4):
            self.assertEqual(Scenario(seed).run(GRANT_LOST_IN_A_CUT), [])

    def test_configuration_outlives_the_retention_of_the_log(self) -> None:
        self.assertEqual(Scenario(1).run(CONFIGURATION_OUTLIVES_RETENTION), [])

    def test_instance_started_in_a_log_outage_takes_its_state_from_a_peer(self) -> None:
        self.assertEqual(Scenario(1).run(STARTED_IN_A_LOG_OUTAGE), [])

    def test_flapping_links_break_no_promise(self) -> None:
        for seed in range(3):
            self.assertEqual(Scenario(seed).run(FLAPPING_LINKS), [])

    def test_vanished_callers_leave_nothing_behind_at_the_homes(self) -> None:
        self.assertEqual(Scenario(1).run(CALLERS_VANISH), [])

    def test_cut_stream_is_told_as_failed(self) -> None:
        self.assertEqual(Scenario(1).run(ENGINE_RESTARTS_IN_STREAM), [])

    def test_leaving_engine_gets_no_new_work(self) -> None:
        self.assertEqual(Scenario(1).run(ENGINE_LEAVES), [])

    def test_refusal_after_an_attempt_that_may_have_run_is_not_told_as_not_run(
        self,
    ) -> None:
        self.assertEqual(Scenario(1).run(REFUSED_AFTER_A_RUN), [])

    def test_home_that_dies_in_dispatch_leaves_the_outcome_unknown(self) -> None:
        self.assertEqual(Scenario(1).run(HOME_DIES_IN_DISPATCH), [])

    def test_old_snapshot_does_not_bring_configuration_back(self) -> None:
        world = World(["zone-0"])
        node = world.add_node("i0", "zone-0")
        world.run(world.list_lag * 4)
        world.change("i0", Change("one", "base-models", "one", {}))
        world.run(world.list_lag)
        chunks = node.core.changes.state.to_chunks()
        world.change("i0", Change("two", "base-models", "two", {}))
        world.run(world.list_lag)
        node.core.records("snapshots", [(9, chunk) for chunk in chunks], True)
        self.assertEqual(world.broken_promises(), [])
        self.assertIsNotNone(node.core.changes.state.get("base-models", "two"))


class LanguageTests(unittest.TestCase):
    def test_unknown_command_names_the_line(self) -> None:
        with self.assertRaisesRegex(ScenarioError, "line 2: 'jump e0': unknown"):
            Scenario().run("zones 1\njump e0")

    def test_wrong_duration_is_an_error(self) -> None:
        for text in ("wait 5", "wait s", "wait -1s"):
            with self.subTest(text), self.assertRaises(ScenarioError):
                Scenario().run(text)

    def test_same_seed_gives_the_same_run(self) -> None:
        lines = "\n".join(compose("whole_own_answers", trouble_of("instance_killed")))
        ends = []
        for _ in range(2):
            scenario = Scenario(3)
            scenario.run(lines)
            asked = scenario.world.asked.values()
            ends.append([(item.request.request_id, item.ended_at) for item in asked])
        self.assertEqual(*itertools.islice(ends, 2))


if __name__ == "__main__":
    unittest.main()

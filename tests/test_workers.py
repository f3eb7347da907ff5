"""Tests that run in several processes: what is told of each, what ends with them."""

import contextlib
import os
import subprocess
import sys
import threading
import time
import unittest

from . import workers
from .outcomes import FAILED, PASSED, SKIPPED, Outcome

PROCESSES = 2
SOON_S = 20.0


def samples() -> dict[str, type[unittest.TestCase]]:
    """Return classes of tests, here so that no loader finds them."""

    class Plain(unittest.TestCase):
        def test_passes(self) -> None:
            print("seen by nobody")

        def test_fails(self) -> None:
            print("written before")
            subprocess.run([sys.executable, "-c", "print('by a process')"], check=True)
            self.fail("on purpose")

        @unittest.skip("not wanted")
        def test_is_skipped(self) -> None:
            pass

        def test_has_subtests(self) -> None:
            for number in range(2):
                with self.subTest(number):
                    self.assertEqual(number, 7)

        @unittest.expectedFailure
        def test_passes_unexpectedly(self) -> None:
            pass

    class Dying(unittest.TestCase):
        def test_dies(self) -> None:
            os._exit(3)

    class Fixed(unittest.TestCase):
        runs: int

        @classmethod
        def setUpClass(cls) -> None:
            cls.runs = 0

        def test_one(self) -> None:
            type(self).runs += 1
            self.assertEqual(self.runs, 1)

        def test_two(self) -> None:
            type(self).runs += 1
            self.assertEqual(self.runs, 2)

    class Broken(unittest.TestCase):
        @classmethod
        def setUpClass(cls) -> None:
            raise OSError("no such thing")

        def test_never_runs(self) -> None:
            pass

    class Starting(unittest.TestCase):
        def test_starts_and_stays(self) -> None:
            subprocess.Popen([sys.executable, "-c", "import time; time.sleep(600)"])

    class Leaving(unittest.TestCase):
        def test_1_leaves_a_thread(self) -> None:
            threading.Thread(target=time.sleep, args=(600,), daemon=True).start()

        def test_2_has_no_other_thread(self) -> None:
            self.assertEqual(threading.active_count(), 1)

        def test_3_leaves_a_process(self) -> None:
            subprocess.Popen([sys.executable, "-c", "import time; time.sleep(600)"])

        def test_4_has_no_other_process(self) -> None:
            with self.assertRaises(ChildProcessError):
                os.waitpid(-1, os.WNOHANG)

    found = (Plain, Dying, Fixed, Broken, Starting, Leaving)
    return {kind.__name__: kind for kind in found}


class WorkersTests(unittest.TestCase):
    def units(self, *names: str) -> list[workers.Unit]:
        kinds = samples()
        loader = unittest.defaultTestLoader
        suite = unittest.TestSuite(
            loader.loadTestsFromTestCase(kinds[name]) for name in names
        )
        return workers.units(suite)

    def run_all(self, *names: str, processes: int = PROCESSES) -> dict[str, Outcome]:
        """Run classes of tests; return what became of each by its last name."""
        found = workers.run(self.units(*names), processes, lambda _: None)
        return {outcome.test.rpartition(".")[2]: outcome for outcome in found}

    def test_each_end_is_told(self) -> None:
        found = self.run_all("Plain")
        ends = {name: outcome.status for name, outcome in found.items()}
        self.assertEqual(
            ends,
            {
                "test_passes": PASSED,
                "test_fails": FAILED,
                "test_is_skipped": SKIPPED,
                "test_has_subtests": FAILED,
                "test_passes_unexpectedly": FAILED,
            },
        )
        self.assertEqual(found["test_has_subtests"].output.count("Traceback"), 2)

    def test_a_failure_comes_with_its_traceback_and_all_that_was_written(self) -> None:
        found = self.run_all("Plain")
        for text in ("on purpose", "written before", "by a process"):
            self.assertIn(text, found["test_fails"].output)
        self.assertNotIn("seen by nobody", found["test_fails"].output)
        self.assertEqual(found["test_passes"].output, "")

    def test_one_that_ends_its_process_is_named_and_the_rest_is_run(self) -> None:
        found = self.run_all("Dying", "Plain", "Fixed")
        self.assertEqual(found["test_dies"].status, FAILED)
        self.assertIn("ended with code 3", found["test_dies"].output)
        self.assertEqual(len(found), 8)

    def test_what_is_made_once_for_a_class_is_made_once(self) -> None:
        self.assertEqual(
            [len(unit) for unit in self.units("Fixed", "Plain")], [2] + 5 * [1]
        )
        found = self.run_all("Fixed")
        self.assertEqual({outcome.status for outcome in found.values()}, {PASSED})

    def test_a_class_that_cannot_be_set_up_is_a_failure(self) -> None:
        [outcome] = workers.run(self.units("Broken"), PROCESSES, lambda _: None)
        self.assertEqual(outcome.status, FAILED)
        self.assertIn("no such thing", outcome.output)

    def test_what_a_test_leaves_running_is_gone_in_the_next_one(self) -> None:
        # Guards against servers of an earlier test whose work and memory count as those
        # of a later one.
        found = self.run_all("Leaving", processes=1)
        outputs = [outcome.output for outcome in found.values() if outcome.output]
        self.assertEqual((len(found), outputs), (4, []))

    def test_what_tests_have_started_ends_with_them_also_when_interrupted(self) -> None:
        def interrupt(_: Outcome) -> None:
            raise KeyboardInterrupt

        started = workers.units(
            unittest.defaultTestLoader.loadTestsFromTestCase(samples()["Starting"])
        )
        for told in (lambda _: None, interrupt):
            before = _children()
            with contextlib.suppress(KeyboardInterrupt):
                workers.run(started, PROCESSES, told)
            limit = time.monotonic() + SOON_S
            while _children() - before and time.monotonic() < limit:
                time.sleep(0.02)
            self.assertEqual(_children() - before, set())


def _children() -> set[int]:
    """Return the processes that sleep as the sample does, by id."""
    listed = subprocess.run(
        ["ps", "-eo", "pid,stat,args"], capture_output=True, text=True, check=True
    )
    found = set()
    for line in listed.stdout.splitlines():
        pid, state, command = line.split(None, 2)
        if "time.sleep(600)" in command and not state.startswith("Z"):
            found.add(int(pid))
    return found


if __name__ == "__main__":
    unittest.main()

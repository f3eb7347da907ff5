"""Runs units of tests in as many processes as there are cores.

Workers are forked once all tests are loaded, so that none reads them in again. Each has
a process group of its own: whatever its tests have started ends with it. A worker whose
tests leave threads or processes behind runs no further ones.
"""

import contextlib
import multiprocessing
import os
import signal
import tempfile
import threading
import unittest
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection, wait
from typing import IO

from .outcomes import FAILED, Outcome, Recorder, name_of

Unit = list[unittest.TestCase]
"""Tests that one process runs one after the other."""
STDOUT, STDERR = 1, 2
RANDOM_DAYS = "test_many_"
"""How modules begin whose tests take longest."""

_context = multiprocessing.get_context("fork")


def units(suite: unittest.TestSuite) -> list[Unit]:
    """Return the tests of a suite, those of a class together if it has fixtures.

    The longest come first: one that began last would keep one core busy alone.
    """
    found: list[Unit] = []
    by_class: dict[type, Unit] = {}
    for test in _tests(suite):
        kind = type(test)
        if not _has_fixtures(kind):
            found.append([test])
            continue
        if kind not in by_class:
            found.append(by_class.setdefault(kind, []))
        by_class[kind].append(test)
    return sorted(found, key=_is_short)


def _is_short(unit: Unit) -> bool:
    return f".{RANDOM_DAYS}" not in type(unit[0]).__module__


def _tests(suite: Iterable[unittest.TestCase]) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _tests(item)
            continue
        yield item


def _has_fixtures(kind: type) -> bool:
    """Return whether a class makes something once for all its tests."""
    base = unittest.TestCase
    return any(
        getattr(kind, name).__func__ is not getattr(base, name).__func__
        for name in ("setUpClass", "tearDownClass")
    )


@dataclass(frozen=True)
class _Report:
    """What became of a unit, and whether it left threads or processes behind."""

    outcomes: list[Outcome]
    leftovers: bool


class _Worker:
    """One process, and the unit that it runs."""

    def __init__(self, all_units: list[Unit]) -> None:
        self.pipe, theirs = _context.Pipe()
        self.unit: int | None = None
        self._is_ended = False
        self._process = _context.Process(target=_work, args=(theirs, all_units))
        self._process.start()
        # Both sides set the group, so that it exists whichever runs first.
        with contextlib.suppress(ProcessLookupError):
            os.setpgid(self._process.pid or 0, self._process.pid or 0)
        theirs.close()

    def run(self, number: int) -> None:
        """Run a unit."""
        self.unit = number
        self.pipe.send(number)

    def end(self) -> int | None:
        """End it and all that its tests have started; return its exit code."""
        if self._is_ended:
            # Its id may belong to another process by now.
            return self._process.exitcode
        self._is_ended = True
        self.pipe.close()
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self._process.pid or 0, signal.SIGKILL)
        self._process.join()
        return self._process.exitcode


def _work(pipe: Connection, all_units: list[Unit]) -> None:
    """Run the units that are asked for until the pipe is closed."""
    # Ctrl-c reaches the parent alone, which then ends this group.
    os.setpgid(0, 0)
    with contextlib.suppress(EOFError):
        while True:
            pipe.send(_run(all_units[pipe.recv()]))


def _run(unit: Unit) -> _Report:
    """Run one unit; what it writes is kept for those that fail."""
    recorder = Recorder()
    with tempfile.TemporaryFile() as written:
        with _writing_to(written):
            unittest.TestSuite(unit).run(recorder)
        written.seek(0)
        text = written.read().decode(errors="replace")
    outcomes = recorder.outcomes()
    for outcome in outcomes:
        if outcome.status == FAILED:
            outcome.output += text
    return _Report(outcomes, _has_leftovers())


def _has_leftovers() -> bool:
    """Return whether threads or processes of tests still exist."""
    if threading.active_count() > 1:
        return True
    try:
        os.waitid(os.P_ALL, 0, os.WEXITED | os.WNOHANG | os.WNOWAIT)
    except ChildProcessError:
        return False
    return True


@contextlib.contextmanager
def _writing_to(file: IO[bytes]) -> Iterator[None]:
    """Let this process and what it starts write to a file."""
    kept = [os.dup(STDOUT), os.dup(STDERR)]
    for descriptor in (STDOUT, STDERR):
        os.dup2(file.fileno(), descriptor)
    try:
        yield
    finally:
        for descriptor, before in zip((STDOUT, STDERR), kept, strict=True):
            os.dup2(before, descriptor)
            os.close(before)


def run(
    all_units: list[Unit], processes: int, told: Callable[[Outcome], None]
) -> list[Outcome]:
    """Run all units and return what became of their tests.

    Parameters
    ----------
    told : callable
        Takes each outcome as it comes.
    """
    waiting = deque(range(len(all_units)))
    workers = [_Worker(all_units) for _ in range(min(processes, len(waiting)))]
    outcomes: list[Outcome] = []
    try:
        for worker in workers:
            worker.run(waiting.popleft())
        while busy := [worker for worker in workers if worker.unit is not None]:
            ready = wait([worker.pipe for worker in busy])
            for worker in [one for one in busy if one.pipe in ready]:
                report = _take(worker, all_units)
                outcomes += report.outcomes
                for outcome in report.outcomes:
                    told(outcome)
                if report.leftovers:
                    workers.remove(worker)
                    worker.end()
                if not waiting:
                    continue
                if worker not in workers:
                    worker = _Worker(all_units)
                    workers.append(worker)
                worker.run(waiting.popleft())
    finally:
        for worker in workers:
            worker.end()
    return outcomes


def _take(worker: _Worker, all_units: list[Unit]) -> _Report:
    """Return what became of a worker's unit, also if the worker has died."""
    assert worker.unit is not None
    unit = all_units[worker.unit]
    worker.unit = None
    try:
        report: _Report = worker.pipe.recv()
    except EOFError:
        code = worker.end()
        why = f"the process that ran it ended with code {code}\n"
        failed = [Outcome(name_of(test), FAILED, why) for test in unit]
        return _Report(failed, leftovers=True)
    return report

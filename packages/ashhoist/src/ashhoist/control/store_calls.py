"""Store calls for the leases and the register.

Each lease, and each lease of others, has a connection and a turn of its own: a
call that hangs holds up no other.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ..logs import Logger
from ..loop import Loop, Steps, Task
from ..orders import AppendClaim, LeaseAction, ReadClaims
from ..store import (
    Appended,
    AppendResult,
    Newest,
    Position,
    SharedLog,
    Topic,
    Unavailable,
)
from . import messages
from .lease_calls import append_answer, read_answer
from .order_leases import partition_of
from .peers import InstanceRecord

PATIENCE = timedelta(milliseconds=350)
"""For store calls of the lease: another instance may still be asked in time."""
REGISTER = "register"
CRASHES = "crashes"

Tell = Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """The answer to `ReadClaims`."""

    zone: str
    result: Newest | Unavailable


@dataclass(frozen=True, slots=True)
class LeaseAppended:
    """The answer to `AppendClaim`."""

    action: AppendClaim
    result: AppendResult


@dataclass(frozen=True, slots=True)
class InstancesRead:
    """The registered instances."""

    records: list[InstanceRecord]


@dataclass(frozen=True, slots=True)
class CrashAppended:
    """How a record of requests that were cut off was written."""

    result: AppendResult


@dataclass(slots=True)
class _Line:
    """A connection to the log, and the calls that wait for their turn on it."""

    log: SharedLog
    waiting: deque[Steps[None]] = field(default_factory=deque)
    busy: bool = False


class StoreCalls:
    """Makes the calls, each line's one after the other.

    Parameters
    ----------
    open_log : callable
        Returns a new connection to the shared log.
    send : callable
        Takes the answers to the control task.
    """

    def __init__(
        self,
        own: InstanceRecord,
        open_log: Callable[[], SharedLog],
        send: Tell,
        loop: Loop,
        log: Logger,
    ) -> None:
        self._own = own
        self._open_log = open_log
        self._send = send
        self._loop = loop
        self._log = log
        self._lines: dict[str, _Line] = {}

    def _line(self, use: str) -> _Line:
        line = self._lines.get(use)
        if line is None:
            line = self._lines[use] = _Line(self._open_log())
        return line

    def _enqueue(self, line: _Line, call: Steps[None]) -> None:
        line.waiting.append(call)
        if not line.busy:
            line.busy = True
            Task(self._loop, self._talk(line), "store")

    def _talk(self, line: _Line) -> Steps[None]:
        """Make all calls that wait on a line, in their order."""
        try:
            while line.waiting:
                yield from line.waiting.popleft()
        finally:
            line.busy = False

    # Leases

    def lease_call(self, action: LeaseAction) -> None:
        """Make a call for a lease; there is one at a time for each."""
        zone = action.key if isinstance(action, ReadClaims) else action.claim.key
        line = self._line(f"own/{zone}")
        self._enqueue(line, self._lease_call(line, action))

    def _lease_call(self, line: _Line, action: LeaseAction) -> Steps[None]:
        if isinstance(action, ReadClaims):
            found = yield from self._read_claims(line, action.key)
            self._send(LeaseRead(action.key, found))
            return
        claim = action.claim
        value = claim.encode()
        result = yield from self._append_claim(line, claim.key, value, action.at)
        self._send(LeaseAppended(action, result))

    def lease_call_for(
        self, message: messages.ReadClaimsFor | messages.AppendClaimFor, tell: Tell
    ) -> None:
        """Make a call for the lease of another instance."""
        line = self._line(f"other/{message.zone}")
        self._enqueue(line, self._lease_call_for(line, message, tell))

    def _lease_call_for(
        self,
        line: _Line,
        message: messages.ReadClaimsFor | messages.AppendClaimFor,
        tell: Tell,
    ) -> Steps[None]:
        zone = message.zone
        if isinstance(message, messages.ReadClaimsFor):
            found = yield from self._read_claims(line, zone)
            tell(read_answer(message, found))
            return
        at = Position(message.at)
        result = yield from self._append_claim(line, zone, message.value, at)
        tell(append_answer(message, result))

    def _read_claims(self, line: _Line, zone: str) -> Steps[Newest | Unavailable]:
        return line.log.newest(Topic.LEASES, PATIENCE, partition_of(zone))

    def _append_claim(
        self, line: _Line, zone: str, value: bytes, at: Position
    ) -> Steps[AppendResult]:
        part = partition_of(zone)
        return line.log.append(Topic.LEASES, zone, value, at, PATIENCE, part)

    # Requests that were cut off

    def append_crashes(self, records: Mapping[str, bytes]) -> None:
        """Write records, by key, of requests that were cut off."""
        line = self._line(CRASHES)
        self._enqueue(line, self._append_crashes(line.log, records))

    def _append_crashes(
        self, log: SharedLog, records: Mapping[str, bytes]
    ) -> Steps[None]:
        result = yield from log.append_all(Topic.CRASHES, records)
        self._send(CrashAppended(result))

    # The register

    def register(self) -> None:
        """Register this instance and read who else is there."""
        line = self._line(REGISTER)
        self._enqueue(line, self._register(line.log))

    def _register(self, log: SharedLog) -> Steps[None]:
        # First the own record, then the others': of two instances that start
        # at once, at least one sees the other.
        name, value = self._own.name, self._own.encode()
        done = yield from log.append(Topic.INSTANCES, name, value, None)
        found = yield from log.newest(Topic.INSTANCES)
        if not isinstance(done, Appended):
            self._log.warning("not registered", result=type(done).__name__)
            return
        if isinstance(found, Unavailable):
            self._log.warning("register not read", detail=found.detail)
            return
        decoded = [InstanceRecord.decode(record) for record in found.records]
        records = [record for record in decoded if record is not None]
        self._send(InstancesRead(records))

    def unregister(self) -> None:
        """Remove this instance from the register."""
        line = self._line(REGISTER)
        self._enqueue(line, self._unregister(line.log))

    def _unregister(self, log: SharedLog) -> Steps[None]:
        yield from log.append(Topic.INSTANCES, self._own.name, b"", None)

"""Calls to the store for leases, crash records and the register of instances.

Each lease of this instance, and each lease of another one, has its own connection and
queue, so that a call that hangs delays no other.
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

LEASE_CALL_TIMEOUT = timedelta(milliseconds=350)
"""Timeout of store calls for a lease, after which there is still time to ask another
instance to make the call."""
REGISTER_CHANNEL = "register"
CRASHES_CHANNEL = "crashes"

Send = Callable[[Any], None]


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
    """The result of `StoreCalls.append_crashes`."""

    result: AppendResult


@dataclass(slots=True)
class _Channel:
    """A connection to the log, and the calls queued on it."""

    log: SharedLog
    queued: deque[Steps[None]] = field(default_factory=deque)
    is_busy: bool = False


class StoreCalls:
    """Makes the calls; those on the same connection one after the other.

    Parameters
    ----------
    own : InstanceRecord
        The registration of this instance.
    open_log : callable
        Returns a new connection to the shared log.
    send : callable
        Passes the results to the control task.
    """

    def __init__(
        self,
        own: InstanceRecord,
        open_log: Callable[[], SharedLog],
        send: Send,
        loop: Loop,
        log: Logger,
    ) -> None:
        self._own = own
        self._open_log = open_log
        self._send = send
        self._loop = loop
        self._log = log
        self._channels: dict[str, _Channel] = {}

    def _channel(self, name: str) -> _Channel:
        channel = self._channels.get(name)
        if channel is None:
            channel = self._channels[name] = _Channel(self._open_log())
        return channel

    def _enqueue(self, channel: _Channel, call: Steps[None]) -> None:
        channel.queued.append(call)
        if not channel.is_busy:
            channel.is_busy = True
            Task(self._loop, self._make_calls(channel), "store")

    def _make_calls(self, channel: _Channel) -> Steps[None]:
        """Make all queued calls of a connection in order."""
        try:
            while channel.queued:
                yield from channel.queued.popleft()
        finally:
            channel.is_busy = False

    # Leases

    def lease_call(self, action: LeaseAction) -> None:
        """Make a call for a lease of this instance; one at a time for each lease."""
        zone = action.key if isinstance(action, ReadClaims) else action.claim.key
        channel = self._channel(f"own/{zone}")
        self._enqueue(channel, self._lease_call(channel, action))

    def _lease_call(self, channel: _Channel, action: LeaseAction) -> Steps[None]:
        if isinstance(action, ReadClaims):
            found = yield from self._read_claims(channel, action.key)
            self._send(LeaseRead(action.key, found))
            return
        claim = action.claim
        value = claim.encode()
        result = yield from self._append_claim(channel, claim.key, value, action.at)
        self._send(LeaseAppended(action, result))

    def lease_call_for(
        self,
        message: messages.ClaimsReadRequest | messages.ClaimAppendRequest,
        respond: Send,
    ) -> None:
        """Make a call for a lease on behalf of another instance."""
        channel = self._channel(f"other/{message.zone}")
        self._enqueue(channel, self._lease_call_for(channel, message, respond))

    def _lease_call_for(
        self,
        channel: _Channel,
        message: messages.ClaimsReadRequest | messages.ClaimAppendRequest,
        respond: Send,
    ) -> Steps[None]:
        zone = message.zone
        if isinstance(message, messages.ClaimsReadRequest):
            found = yield from self._read_claims(channel, zone)
            respond(read_answer(message, found))
            return
        at = Position(message.at)
        result = yield from self._append_claim(channel, zone, message.value, at)
        respond(append_answer(message, result))

    def _read_claims(self, channel: _Channel, zone: str) -> Steps[Newest | Unavailable]:
        return channel.log.newest(Topic.LEASES, LEASE_CALL_TIMEOUT, partition_of(zone))

    def _append_claim(
        self, channel: _Channel, zone: str, value: bytes, at: Position
    ) -> Steps[AppendResult]:
        part = partition_of(zone)
        return channel.log.append(
            Topic.LEASES, zone, value, at, LEASE_CALL_TIMEOUT, part
        )

    # Crash records

    def append_crashes(self, records: Mapping[str, bytes]) -> None:
        """Append records, by key, of requests that were cut off by a crash."""
        channel = self._channel(CRASHES_CHANNEL)
        self._enqueue(channel, self._append_crashes(channel.log, records))

    def _append_crashes(
        self, log: SharedLog, records: Mapping[str, bytes]
    ) -> Steps[None]:
        result = yield from log.append_all(Topic.CRASHES, records)
        self._send(CrashAppended(result))

    # The register

    def register(self) -> None:
        """Register this instance, and read which others are registered."""
        channel = self._channel(REGISTER_CHANNEL)
        self._enqueue(channel, self._register(channel.log))

    def _register(self, log: SharedLog) -> Steps[None]:
        # Writes its own record before it reads the others, so that of two instances
        # that start at the same time at least one sees the other.
        name, value = self._own.name, self._own.encode()
        appended = yield from log.append(Topic.INSTANCES, name, value, None)
        found = yield from log.newest(Topic.INSTANCES)
        if not isinstance(appended, Appended):
            self._log.warning("registration failed", result=type(appended).__name__)
            return
        if isinstance(found, Unavailable):
            self._log.warning("register not read", detail=found.detail)
            return
        decoded = [InstanceRecord.decode(record) for record in found.records]
        records = [record for record in decoded if record is not None]
        self._send(InstancesRead(records))

    def unregister(self) -> None:
        """Remove this instance from the register."""
        channel = self._channel(REGISTER_CHANNEL)
        self._enqueue(channel, self._unregister(channel.log))

    def _unregister(self, log: SharedLog) -> Steps[None]:
        yield from log.append(Topic.INSTANCES, self._own.name, b"", None)

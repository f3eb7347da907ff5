"""Makes the store calls of a lease: directly, or through another instance.

If the log rejects the lease holder but serves other instances, the holder would lose
its lease needlessly. It asks a linked instance to read and append on its behalf. As
with direct calls, the lease term counts from before the call was requested.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..logs import Logger
from ..orders import AppendClaim, Lease, LeaseAction, ReadClaims
from ..store import (
    Appended,
    AppendResult,
    ConditionFailed,
    Newest,
    Position,
    Record,
    Unavailable,
    Unknown,
)
from . import messages
from .effects import Effects
from .peers import Peers

DELEGATED_CALL_TIMEOUT = timedelta(milliseconds=450)
APPENDED, CONDITION, UNAVAILABLE, UNKNOWN = (
    "appended",
    "condition",
    "unavailable",
    "unknown",
)
"""Results of an append as they are sent between instances."""


@dataclass(frozen=True, slots=True)
class _DelegatedCall:
    """A pending call that another instance makes for this one."""

    number: int
    action: LeaseAction
    peer: str
    deadline: timedelta


class LeaseCalls:
    """Routes the store calls of one lease, and passes the results to the lease.

    Parameters
    ----------
    done : callable
        Called after the lease has processed a result.
    """

    def __init__(
        self,
        zone: str,
        lease: Lease,
        peers: Peers,
        effects: Effects,
        done: Callable[[], None],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._zone = zone
        self._lease = lease
        self._peers = peers
        self._effects = effects
        self._done = done
        self._clock = clock
        self._log = log
        self._delegated: _DelegatedCall | None = None
        self._last_number = 0
        self._direct = True
        self._failed_peers: set[str] = set()

    def log_answered(self) -> None:
        """Return to direct calls: the log has answered this instance."""
        self._direct = True
        self._failed_peers.clear()

    def step(self) -> None:
        """Make the call that is due, if any, after timing out a delegated one."""
        now = self._clock.monotonic()
        if self._delegated is not None and now >= self._delegated.deadline:
            self._time_out(self._delegated)
        action = self._lease.due()
        if action is None:
            return
        peer = None if self._direct else self._helper()
        if peer is None:
            self._effects.lease_call(action)
            return
        self._delegate(peer, action, now)

    def _helper(self) -> str | None:
        """Return a linked instance that reads the log, if there is one.

        Once all of them have failed, they are tried again from the next call on.
        """
        for name in self._peers.readers():
            if name not in self._failed_peers:
                return name
        self._failed_peers.clear()
        return None

    def _delegate(self, peer: str, action: LeaseAction, now: timedelta) -> None:
        self._last_number += 1
        number = self._last_number
        self._delegated = _DelegatedCall(
            number, action, peer, now + DELEGATED_CALL_TIMEOUT
        )
        message: Any = messages.ClaimsReadRequest(self._zone, number)
        if isinstance(action, AppendClaim):
            value = action.claim.encode()
            message = messages.ClaimAppendRequest(self._zone, number, value, action.at)
        self._log.info(
            "lease call through a peer",
            zone=self._zone,
            peer=peer,
            call=_call_name(action),
        )
        self._effects.send_to(peer, message)

    def _time_out(self, call: _DelegatedCall) -> None:
        self._delegated = None
        self._failed_peers.add(call.peer)
        if isinstance(call.action, ReadClaims):
            self._pass_read(Unavailable("peer silent"))
        else:
            self._pass_appended(call.action, Unknown("peer silent"))

    # Results of direct calls

    def read(self, result: Newest | Unavailable) -> None:
        """Handle the newest claims, read by this instance."""
        if isinstance(result, Unavailable):
            self._direct = False
        self._pass_read(result)

    def appended(self, action: AppendClaim, result: AppendResult) -> None:
        """Handle the result of an append by this instance."""
        if isinstance(result, Unavailable | Unknown):
            self._direct = False
        self._pass_appended(action, result)

    # Results of calls through another instance

    def claims_read(self, peer: str, message: messages.ClaimsReadResponse) -> None:
        """Handle the newest claims, read by another instance for this one."""
        call = self._pop_delegated(peer, message.number)
        if call is None:
            return
        if message.end < 0:
            self._failed_peers.add(peer)
            self._pass_read(Unavailable("peer rejected by the log"))
            return
        records = tuple(
            Record(Position(at), key, value) for at, key, value in message.records
        )
        self._pass_read(Newest(records, Position(message.end)))

    def claim_appended(self, peer: str, message: messages.ClaimAppendResponse) -> None:
        """Handle the result of an append by another instance for this one."""
        call = self._pop_delegated(peer, message.number)
        if call is None or not isinstance(call.action, AppendClaim):
            return
        if message.result in (UNAVAILABLE, UNKNOWN):
            self._failed_peers.add(peer)
        self._pass_appended(call.action, _result(message))

    def _pop_delegated(self, peer: str, number: int) -> _DelegatedCall | None:
        """Remove and return the pending call if this answer belongs to it."""
        call = self._delegated
        if call is None or call.number != number or call.peer != peer:
            return None
        self._delegated = None
        return call

    def _pass_read(self, result: Newest | Unavailable) -> None:
        self._lease.claims_read(result)
        self._done()

    def _pass_appended(self, action: AppendClaim, result: AppendResult) -> None:
        self._lease.appended(action, result)
        self._done()


def read_answer(
    request: messages.ClaimsReadRequest, result: Newest | Unavailable
) -> messages.ClaimsReadResponse:
    """Return the message with the claims that were read for another instance."""
    if isinstance(result, Unavailable):
        return messages.ClaimsReadResponse(request.zone, request.number, -1, [])
    rows = [[record.offset, record.key, record.value] for record in result.records]
    return messages.ClaimsReadResponse(request.zone, request.number, result.end, rows)


def append_answer(
    request: messages.ClaimAppendRequest, result: AppendResult
) -> messages.ClaimAppendResponse:
    """Return the message with the result of an append for another instance."""
    zone, number = request.zone, request.number
    if isinstance(result, Appended):
        return messages.ClaimAppendResponse(zone, number, APPENDED, result.offset)
    if isinstance(result, ConditionFailed):
        return messages.ClaimAppendResponse(zone, number, CONDITION, result.end)
    kind = UNAVAILABLE if isinstance(result, Unavailable) else UNKNOWN
    return messages.ClaimAppendResponse(zone, number, kind, 0)


def _result(message: messages.ClaimAppendResponse) -> AppendResult:
    if message.result == APPENDED:
        return Appended(Position(message.value))
    if message.result == CONDITION:
        return ConditionFailed(Position(message.value))
    return Unavailable("peer") if message.result == UNAVAILABLE else Unknown("peer")


def _call_name(action: LeaseAction) -> str:
    return "read" if isinstance(action, ReadClaims) else "append"

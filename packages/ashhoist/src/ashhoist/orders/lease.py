"""The lease that permits one instance to send orders, stored on the shared log.

Engines do not necessarily check fencing tokens, so exclusivity is based on time. A
holder's term starts when it sent its last successful renewal, by its monotonic clock.
A successor waits for a full term from the moment it learned of that renewal, which is
later. Its claim is appended only if the topic has not grown, so the claim fails if the
holder has renewed in between. The same machine may claim again at once, because its
earlier process has ended.

If an engine does check tokens and rejects the holder's token, it has received an order
from a successor. The holder then sends no more orders with that token and makes a new
claim.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import cbor2

from ..clock import ZERO, Clock
from ..store import (
    Appended,
    AppendResult,
    ConditionFailed,
    Newest,
    Position,
    Record,
    Unavailable,
    era_of,
    offset_of,
    position,
)

RETRY_DELAY = timedelta(milliseconds=150)
STALE_KNOWLEDGE = timedelta(seconds=1)
RANK_DELAY = timedelta(milliseconds=120)


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """The durations that govern a lease.

    Parameters
    ----------
    term : timedelta
        How long a claim or renewal is valid.
    renew_every : timedelta
        Interval at which the holder renews the lease.
    send_margin : timedelta
        No order is sent within this time before the term ends.
    clock_margin : timedelta
        Additional time that a successor waits, to allow for clocks that run at
        different rates.
    return_interval : timedelta
        Minimum time between two orders of the same machine if another machine has
        sent an order in between.
    """

    term: timedelta = timedelta(seconds=9)
    renew_every: timedelta = timedelta(milliseconds=2500)
    send_margin: timedelta = timedelta(milliseconds=300)
    clock_margin: timedelta = timedelta(milliseconds=200)
    return_interval: timedelta = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class Claim:
    """One record of a lease.

    Parameters
    ----------
    key : str
        The key of the lease on the topic.
    holder : str
        The name of the machine that claims the lease.
    incarnation : str
        Identifies the holder's process; a new value for each start.
    fence : int
        The offset of the first of the holder's consecutive claims; -1 in that first
        record itself.
    offset : Position
        The position of the record. Its era is the era in which it was written.
    previous_holders : tuple of str
        The machines that held the lease before this one. Empty once the token has
        been active for `LeaseTiming.return_interval`.
    era : int
        The era of the log known to the writer. A record found in a later era was
        either copied by a restore, or appended after a restore that its writer did
        not know of.
    """

    key: str
    holder: str
    incarnation: str
    fence: int = -1
    offset: int = -1
    released: bool = False
    previous_holders: tuple[str, ...] = ()
    era: int = 0

    @property
    def token(self) -> int:
        """Return the fencing token."""
        return self.fence if self.fence >= 0 else self.offset

    def encode(self) -> bytes:
        """Return the encoded record; era 0 is omitted.

        Instances of the previous version can only read records without an era.
        """
        row = [
            self.holder,
            self.incarnation,
            self.fence,
            self.released,
            self.previous_holders,
        ]
        return cbor2.dumps([*row, self.era] if self.era else row)

    def to_row(self) -> list[object]:
        """Return the fields as a list, in message order."""
        return [
            self.key,
            self.holder,
            self.incarnation,
            self.fence,
            self.offset,
            self.released,
            self.previous_holders,
        ]

    @classmethod
    def decode(cls, record: Record) -> "Claim | None":
        """Return the claim stored in a record, or None if the record is malformed."""
        try:
            fields = cbor2.loads(record.value or b"")
            holder, incarnation, fence, released, previous_holders, *rest = fields
            era = min(rest[0] if rest else 0, era_of(record.offset))
            offset = position(era, offset_of(record.offset))
            return cls.from_row(
                (
                    record.key,
                    holder,
                    incarnation,
                    fence,
                    offset,
                    released,
                    previous_holders,
                )
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError):
            return None

    @classmethod
    def from_row(cls, row: Sequence[Any]) -> "Claim":
        """Return the claim from the fields of a message; see `to_row`.

        Instances of the previous version send a single previous holder as a string,
        or an empty string if there is none.
        """
        key, holder, incarnation, fence, offset, released, previous_holders = row
        names = (
            [previous_holders]
            if isinstance(previous_holders, str)
            else previous_holders
        )
        previous = tuple(name for name in names if name)
        return cls(key, holder, incarnation, fence, offset, released, previous)


@dataclass(frozen=True, slots=True)
class ReadClaims:
    """Read the newest claims in the partition of a lease."""

    key: str


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append a claim, on condition that the topic ends at position `at`."""

    claim: Claim
    at: Position
    sent_at: timedelta


LeaseAction = ReadClaims | AppendClaim


class Lease:
    """State machine of one lease, as seen by one instance.

    It performs no I/O: `due` returns the store call to make, and the result is passed
    to `claims_read` or `appended`. At most one store call is outstanding at a time.

    Parameters
    ----------
    key : str
        The key of the lease on the topic.
    holder : str
        The name of this machine, as recorded in claims.
    incarnation : str
        Identifies this process; a new value for each start.
    """

    def __init__(
        self, key: str, holder: str, incarnation: str, timing: LeaseTiming, clock: Clock
    ) -> None:
        self.key = key
        self._holder = holder
        self._incarnation = incarnation
        self._timing = timing
        self._clock = clock
        self._claim: Claim | None = None
        self._claim_known_since = clock.monotonic()
        self._log_end: Position | None = None
        self._era: int | None = None
        self._era_since = ZERO
        self._pending = False
        self._next_call_at = ZERO
        self._renewed_at: timedelta | None = None
        self._orders_allowed_from = ZERO
        self._interval_over_at = ZERO
        # An earlier process of this machine may have sent orders until now.
        self._last_order_at = clock.monotonic()
        self._active_token: int | None = None
        self._unanswered: AppendClaim | None = None
        self._unanswered_at: Position | None = None
        self._first_sent_at = ZERO
        self._orders_blocked = False
        self._stopping = False
        self._rank = 0
        self._reaches_engines = True
        self._refused_token: int | None = None

    # State

    @property
    def claim(self) -> Claim | None:
        """Return the newest known claim."""
        return self._claim

    def fence(self) -> int | None:
        """Return the fencing token if an order may be sent now, else None.

        The caller is assumed to send an order with it: the time of the call is
        recorded as the time of this machine's last order.
        """
        claim = self._claim
        now = self._clock.monotonic()
        if claim is None or self._renewed_at is None or not self._is_own(claim):
            return None
        if self._orders_blocked or claim.released or now < self._orders_allowed_from:
            return None
        if not self._reaches_engines:
            return None
        if claim.token == self._refused_token:
            return None
        if now >= self._renewed_at + self._timing.term - self._timing.send_margin:
            return None
        self._last_order_at = now
        return claim.token

    @property
    def held(self) -> bool:
        """Return whether this process holds the lease according to its own clock."""
        claim = self._claim
        if claim is None or self._renewed_at is None or not self._is_own(claim):
            return False
        ends = self._renewed_at + self._timing.term
        return not claim.released and self._clock.monotonic() < ends

    def _is_own(self, claim: Claim) -> bool:
        return claim.holder == self._holder and claim.incarnation == self._incarnation

    def set_rank(self, rank: int) -> None:
        """Set how many instances have precedence over this one in claiming.

        Each of them delays a claim of this instance by `RANK_DELAY`.
        """
        self._rank = rank

    def set_reaches_engines(self, reaches_engines: bool) -> None:
        """Set whether orders of this instance can reach engines.

        While they can't, the lease is neither claimed nor renewed, so that another
        instance takes it over. It is not released: orders on a lost link may arrive
        until the term ends.
        """
        self._reaches_engines = reaches_engines

    def reject_token(self, token: int) -> None:
        """Handle the rejection of a token by an engine that has seen a higher one."""
        self._refused_token = token

    def stop_orders(self) -> None:
        """Stop permitting orders, but keep renewing the lease."""
        self._orders_blocked = True

    def stop(self) -> None:
        """Release the lease and do not claim it again."""
        self._orders_blocked = True
        self._stopping = True

    @property
    def released(self) -> bool:
        """Return whether there is nothing to release: the lease is not held here."""
        return not self.held

    # Next action

    def due(self) -> LeaseAction | None:
        """Return the store call to make now, if any, and mark it as outstanding."""
        now = self._clock.monotonic()
        if self._pending or now < self._next_call_at:
            return None
        action = self._next_action(now)
        self._pending = action is not None
        return action

    def _next_action(self, now: timedelta) -> LeaseAction | None:
        if self._unanswered is not None:
            return ReadClaims(self.key)
        if self._log_end is None:
            # Other instances send the claims that they read, so only an instance that
            # may claim the lease needs to read the log itself.
            must_read = self.held or now >= self._claimable_from()
            return ReadClaims(self.key) if must_read else None
        if self.held:
            return self._next_action_as_holder(now)
        if self._stopping or not self._reaches_engines:
            return None
        if now < self._claimable_from():
            return None
        return self._append_action(self._next_claim(), now)

    def _next_action_as_holder(self, now: timedelta) -> AppendClaim | None:
        assert self._claim is not None and self._renewed_at is not None
        if self._stopping:
            return self._append_action(self._renewal(released=True), now)
        if not self._reaches_engines:
            return None
        if self._claim.token == self._refused_token:
            return self._append_action(self._first_claim(), now)
        if now < self._renewed_at + self._timing.renew_every:
            return None
        return self._append_action(self._renewal(), now)

    def _claimable_from(self) -> timedelta:
        claim = self._claim
        if claim is not None and self._is_from_earlier_era(claim):
            # The restore may have lost a later claim whose term has not yet expired.
            wait = self._timing.term + self._timing.clock_margin
            return self._era_since + wait + RANK_DELAY * self._rank
        if claim is None or claim.released:
            return self._claim_known_since + RANK_DELAY * self._rank
        if claim.holder == self._holder:
            return self._claim_known_since
        wait = self._timing.term + self._timing.clock_margin
        return self._claim_known_since + wait + RANK_DELAY * self._rank

    def _is_from_earlier_era(self, claim: Claim) -> bool:
        """Return whether a claim was written before the latest known restore."""
        return self._era is not None and era_of(claim.offset) < self._era

    def _note_era(self, era: int, now: timedelta) -> None:
        """Record the era of the log, and when this instance learned of a new one."""
        if self._era is None or era > self._era:
            self._era = era
            self._era_since = now

    def _next_claim(self) -> Claim:
        """Return the claim to append if this process does not hold the lease.

        If the last claim is from this machine, its token is kept where possible: orders
        sent under it may still be in transit, and with a new token this machine's own
        orders could overtake each other.
        """
        claim = self._claim
        if claim is None or claim.holder != self._holder:
            return self._first_claim()
        if claim.token == self._refused_token or self._is_from_earlier_era(claim):
            return self._first_claim()
        return replace(self._renewal(), incarnation=self._incarnation)

    def _first_claim(self) -> Claim:
        claim = self._claim
        if claim is None:
            return Claim(self.key, self._holder, self._incarnation)
        previous = dict.fromkeys((claim.holder, *claim.previous_holders))
        return Claim(
            self.key, self._holder, self._incarnation, previous_holders=tuple(previous)
        )

    def _renewal(self, released: bool = False) -> Claim:
        claim = self._claim
        assert claim is not None
        previous_holders = (
            () if self._interval_has_passed(claim) else claim.previous_holders
        )
        return replace(
            claim,
            fence=claim.token,
            released=released,
            previous_holders=previous_holders,
        )

    def _interval_has_passed(self, claim: Claim) -> bool:
        """Return whether the token has been active for the return interval."""
        if claim.token != self._active_token:
            return False
        return self._clock.monotonic() >= self._interval_over_at

    def _append_action(self, claim: Claim, now: timedelta) -> AppendClaim:
        assert self._log_end is not None
        claim = replace(claim, era=era_of(self._log_end))
        return AppendClaim(claim, self._log_end, now)

    # Results and claims from other instances

    def claims_read(self, result: Newest | Unavailable) -> None:
        """Handle the result of `ReadClaims`."""
        self._pending = False
        now = self._clock.monotonic()
        if isinstance(result, Unavailable) or self._is_stale_answer(result.end):
            self._next_call_at = now + RETRY_DELAY
            return
        self._note_era(era_of(result.end), now)
        self._log_end = result.end
        unanswered, self._unanswered = self._unanswered, None
        found = self._newest_claim(result)
        if found is None:
            return
        self._set_claim(found, now)
        if (
            unanswered is None
            or found.offset != unanswered.at
            or not self._is_own(found)
        ):
            return
        if era_of(result.end) != era_of(unanswered.at):
            # The restore may have lost later claims of other instances.
            return
        self._activate(found, now)
        # Any of the attempts at this position may be the one that was appended, and
        # other instances may have read it since, so the term starts at the first one.
        self._renewed_at = self._first_sent_at

    def _is_stale_answer(self, end: Position) -> bool:
        """Return whether a result predates the latest known restore."""
        return self._era is not None and era_of(end) < self._era

    def _newest_claim(self, result: Newest) -> Claim | None:
        for record in result.records:
            if record.key == self.key:
                return Claim.decode(record)
        return None

    def _set_claim(self, claim: Claim, now: timedelta) -> None:
        if self._claim is not None and claim.offset <= self._claim.offset:
            return
        if not self._is_own(claim) or claim.token != self._active_token:
            # A token that is not active yet has no term, and may have to wait for the
            # return interval.
            self._renewed_at = None
        self._claim = claim
        self._claim_known_since = now

    def receive_claim(self, claim: Claim) -> None:
        """Handle a claim received from another instance."""
        now = self._clock.monotonic()
        if self._is_own(claim):
            return
        self._note_era(era_of(claim.offset), now)
        if self._claim is not None and claim.offset <= self._claim.offset:
            return
        self._set_claim(claim, now)
        if self._log_end is not None:
            self._log_end = max(self._log_end, Position(claim.offset + 1))

    def appended(self, action: AppendClaim, result: AppendResult) -> None:
        """Handle the result of `AppendClaim`."""
        self._pending = False
        now = self._clock.monotonic()
        if isinstance(result, Appended | ConditionFailed):
            self._note_era(era_of(_position_of(result)), now)
        if isinstance(result, Appended) and era_of(result.offset) != era_of(action.at):
            # The offset matched only by coincidence: this instance has not read the
            # claims of the new era.
            self._log_end = None
            return
        if isinstance(result, Appended):
            self._claim = replace(action.claim, offset=result.offset)
            self._log_end = Position(result.offset + 1)
            self._claim_known_since = now
            self._activate(self._claim, now)
            self._renewed_at = action.sent_at
            return
        self._next_call_at = now + RETRY_DELAY
        if isinstance(result, ConditionFailed):
            self._log_end = None
            return
        if isinstance(result, Unavailable):
            return
        self._unanswered = action
        if self._unanswered_at != action.at:
            self._unanswered_at = action.at
            self._first_sent_at = action.sent_at

    def _activate(self, claim: Claim, now: timedelta) -> None:
        """Activate a new token and set from when it permits orders.

        Does nothing if the token is active already.
        """
        if claim.token == self._active_token:
            return
        was_refused = self._active_token == self._refused_token
        self._active_token = claim.token
        self._interval_over_at = now + self._timing.return_interval
        if was_refused and self._refused_token is not None:
            # The instance with the higher token may have sent an order just now.
            self._orders_allowed_from = self._interval_over_at
            return
        self._orders_allowed_from = max(now, self._return_wait_until(claim))

    def _return_wait_until(self, claim: Claim) -> timedelta:
        """Return until when orders are withheld because of the return interval.

        It applies if this machine is among the previous holders. The wait includes
        `send_margin`, the time for which this machine's own last order may still be in
        transit.
        """
        if self._holder not in claim.previous_holders:
            return ZERO
        return (
            self._last_order_at
            + self._timing.send_margin
            + self._timing.return_interval
        )


def _position_of(result: Appended | ConditionFailed) -> Position:
    return result.offset if isinstance(result, Appended) else result.end

"""The lease on giving orders, kept on the shared log.

Engines here check no fencing tokens, so the authority to order is a time: it
counts from before the holder's last renewal was sent, on its steady clock. A
successor waits that time from the moment at which it learnt of the renewal,
which is later; and its claim is appended only if the topic has not grown, so a
renewal in between makes it fail. The same machine may claim again at once: its
earlier process has ended.

Where engines do check tokens, one that refuses this holder's has been ordered by a
successor: no order leaves with that token any more, and the holder claims anew.
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

RETRY_PAUSE = timedelta(milliseconds=150)
STALE_KNOWLEDGE = timedelta(seconds=1)
RANK_PAUSE = timedelta(milliseconds=120)


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """The times of a lease.

    Parameters
    ----------
    term : timedelta
        How long a renewal lasts.
    renew_every : timedelta
        How often the holder renews.
    send_margin : timedelta
        So long before the end no order is sent any more.
    clock_margin : timedelta
        What a successor waits besides, for clocks that run unevenly.
    turn : timedelta
        No machine orders again within this time of another one's order that
        came after its own.
    """

    term: timedelta = timedelta(seconds=9)
    renew_every: timedelta = timedelta(milliseconds=2500)
    send_margin: timedelta = timedelta(milliseconds=300)
    clock_margin: timedelta = timedelta(milliseconds=200)
    turn: timedelta = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class Claim:
    """One record of a lease.

    Parameters
    ----------
    key : str
        The lease's key on the topic.
    holder : str
        The machine's name.
    life : str
        The holder's process; new with each start.
    fence : int
        The offset of the holder's first claim in a row; -1 in that record.
    offset : Position
        The position of the record; its era is the one in which it was written.
    before : tuple of str
        The machines that held the lease before this one; none once a turn has passed.
    era : int
        The era of the log that the writer knew. A record found in a later era was
        copied by a restore, or appended after a restore unknown to its writer.
    """

    key: str
    holder: str
    life: str
    fence: int = -1
    offset: int = -1
    released: bool = False
    before: tuple[str, ...] = ()
    era: int = 0

    @property
    def token(self) -> int:
        """Return the fencing token."""
        return self.fence if self.fence >= 0 else self.offset

    def encode(self) -> bytes:
        """Return the encoded record; era 0 is omitted.

        Instances of the version before this one read only records without an era.
        """
        row = [self.holder, self.life, self.fence, self.released, self.before]
        return cbor2.dumps([*row, self.era] if self.era else row)

    def to_row(self) -> list[object]:
        """Return the fields in their order, for a message."""
        return [
            self.key,
            self.holder,
            self.life,
            self.fence,
            self.offset,
            self.released,
            self.before,
        ]

    @classmethod
    def decode(cls, record: Record) -> "Claim | None":
        """Return the claim in a record, or None if it is none."""
        try:
            fields = cbor2.loads(record.value or b"")
            holder, life, fence, released, before, *rest = fields
            era = min(rest[0] if rest else 0, era_of(record.offset))
            offset = position(era, offset_of(record.offset))
            return cls.from_row(
                (record.key, holder, life, fence, offset, released, before)
            )
        except (ValueError, TypeError, cbor2.CBORDecodeError):
            return None

    @classmethod
    def from_row(cls, row: Sequence[Any]) -> "Claim":
        """Return the claim that a message has told; see `to_row`.

        Instances of the version before this one name one machine, or none by an empty
        text, that held the lease before.
        """
        key, holder, life, fence, offset, released, before = row
        names = [before] if isinstance(before, str) else before
        told = tuple(name for name in names if name)
        return cls(key, holder, life, fence, offset, released, told)


@dataclass(frozen=True, slots=True)
class ReadClaims:
    """Ask for the newest claims of a lease's partition."""

    key: str


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append a claim, only where the topic ends at `at`."""

    claim: Claim
    at: Position
    sent_at: timedelta


LeaseAction = ReadClaims | AppendClaim


class Lease:
    """One lease, as one instance sees it. Asks for one store call at a time.

    Parameters
    ----------
    key : str
        The lease's key on the topic.
    own : str
        This machine's name.
    life : str
        This process.
    """

    def __init__(
        self, key: str, own: str, life: str, timing: LeaseTiming, clock: Clock
    ) -> None:
        self.key = key
        self._own = own
        self._life = life
        self._timing = timing
        self._clock = clock
        self._claim: Claim | None = None
        self._known_since = clock.monotonic()
        self._end: Position | None = None
        self._era: int | None = None
        self._era_since = ZERO
        self._pending = False
        self._next_try = ZERO
        self._renewed_at: timedelta | None = None
        self._orders_from = ZERO
        self._turn_over_at = ZERO
        # Until now an earlier process of this machine may have ordered.
        self._last_ordered = clock.monotonic()
        self._begun_token: int | None = None
        self._unsure: AppendClaim | None = None
        self._tried_at_offset: Position | None = None
        self._first_tried_at = ZERO
        self._resting = False
        self._stopping = False
        self._rank = 0
        self._refused_token: int | None = None

    # What others need to know

    @property
    def claim(self) -> Claim | None:
        """Return the newest claim known."""
        return self._claim

    def fence(self) -> int | None:
        """Return the fencing token if an order may be sent now, else None.

        It counts as sent: who asks may send one.
        """
        claim = self._claim
        now = self._clock.monotonic()
        if claim is None or self._renewed_at is None or not self._mine(claim):
            return None
        if self._resting or claim.released or now < self._orders_from:
            return None
        if claim.token == self._refused_token:
            return None
        if now >= self._renewed_at + self._timing.term - self._timing.send_margin:
            return None
        self._last_ordered = now
        return claim.token

    @property
    def held(self) -> bool:
        """Return whether this process holds the lease, by its own clock."""
        claim = self._claim
        if claim is None or self._renewed_at is None or not self._mine(claim):
            return False
        ends = self._renewed_at + self._timing.term
        return not claim.released and self._clock.monotonic() < ends

    def _mine(self, claim: Claim) -> bool:
        return claim.holder == self._own and claim.life == self._life

    def set_rank(self, rank: int) -> None:
        """Set how many instances should try to claim before this one."""
        self._rank = rank

    def refused(self, token: int) -> None:
        """Take in that an engine has seen a higher token than this one."""
        self._refused_token = token

    def rest(self) -> None:
        """Permit no order any more, but keep the lease."""
        self._resting = True

    def stop(self) -> None:
        """Release the lease and claim it no more."""
        self._resting = True
        self._stopping = True

    @property
    def released(self) -> bool:
        """Return whether nothing is left to release."""
        return not self.held

    # What to do next

    def due(self) -> LeaseAction | None:
        """Return the store call that is due, if any; it counts as begun."""
        now = self._clock.monotonic()
        if self._pending or now < self._next_try:
            return None
        action = self._due(now)
        self._pending = action is not None
        return action

    def _due(self, now: timedelta) -> LeaseAction | None:
        if self._unsure is not None:
            return ReadClaims(self.key)
        if self._end is None:
            # Others tell what they have read: only who may claim has to read.
            must_read = self.held or now >= self._claimable_from()
            return ReadClaims(self.key) if must_read else None
        if self.held:
            return self._due_as_holder(now)
        if self._stopping:
            return None
        if now < self._claimable_from():
            return None
        return self._append(self._next_claim(), now)

    def _due_as_holder(self, now: timedelta) -> AppendClaim | None:
        assert self._claim is not None and self._renewed_at is not None
        if self._stopping:
            return self._append(self._renewal(released=True), now)
        if self._claim.token == self._refused_token:
            return self._append(self._first_claim(), now)
        if now < self._renewed_at + self._timing.renew_every:
            return None
        return self._append(self._renewal(), now)

    def _claimable_from(self) -> timedelta:
        claim = self._claim
        if claim is not None and self._is_from_earlier_era(claim):
            # The restore may have lost a later claim whose term has not expired.
            wait = self._timing.term + self._timing.clock_margin
            return self._era_since + wait + RANK_PAUSE * self._rank
        if claim is None or claim.released:
            return self._known_since + RANK_PAUSE * self._rank
        if claim.holder == self._own:
            return self._known_since
        wait = self._timing.term + self._timing.clock_margin
        return self._known_since + wait + RANK_PAUSE * self._rank

    def _is_from_earlier_era(self, claim: Claim) -> bool:
        """Return whether a claim was written before the latest known restore."""
        return self._era is not None and era_of(claim.offset) < self._era

    def _note_era(self, era: int, now: timedelta) -> None:
        """Record the era of the log, and when a new one was learned of."""
        if self._era is None or era > self._era:
            self._era = era
            self._era_since = now

    def _next_claim(self) -> Claim:
        """Return the claim of one that does not hold the lease now.

        What this machine has sent under its last token may still be on its way: under
        a new one its own orders would overtake each other.
        """
        claim = self._claim
        if claim is None or claim.holder != self._own:
            return self._first_claim()
        if claim.token == self._refused_token or self._is_from_earlier_era(claim):
            return self._first_claim()
        return replace(self._renewal(), life=self._life)

    def _first_claim(self) -> Claim:
        claim = self._claim
        if claim is None:
            return Claim(self.key, self._own, self._life)
        names = dict.fromkeys((claim.holder, *claim.before))
        return Claim(self.key, self._own, self._life, before=tuple(names))

    def _renewal(self, released: bool = False) -> Claim:
        claim = self._claim
        assert claim is not None
        before = () if self._turn_is_over(claim) else claim.before
        return replace(claim, fence=claim.token, released=released, before=before)

    def _turn_is_over(self, claim: Claim) -> bool:
        """Return whether it is a turn ago that this token began to count."""
        if claim.token != self._begun_token:
            return False
        return self._clock.monotonic() >= self._turn_over_at

    def _append(self, claim: Claim, now: timedelta) -> AppendClaim:
        assert self._end is not None
        claim = replace(claim, era=era_of(self._end))
        return AppendClaim(claim, self._end, now)

    # What comes back

    def read(self, result: Newest | Unavailable) -> None:
        """Take in the answer to `ReadClaims`."""
        self._pending = False
        now = self._clock.monotonic()
        if isinstance(result, Unavailable) or self._is_stale_answer(result.end):
            self._next_try = now + RETRY_PAUSE
            return
        self._note_era(era_of(result.end), now)
        self._end = result.end
        unsure, self._unsure = self._unsure, None
        found = self._newest(result)
        if found is None:
            return
        self._take(found, now)
        if unsure is None or found.offset != unsure.at or not self._mine(found):
            return
        if era_of(result.end) != era_of(unsure.at):
            # The restore may have lost later claims of other instances.
            return
        self._begin(found, now)
        # Any of the tries there may have been done, and learnt of, since its sending.
        self._renewed_at = self._first_tried_at

    def _is_stale_answer(self, end: Position) -> bool:
        """Return whether an answer is from before the latest known restore."""
        return self._era is not None and era_of(end) < self._era

    def _newest(self, result: Newest) -> Claim | None:
        for record in result.records:
            if record.key == self.key:
                return Claim.decode(record)
        return None

    def _take(self, claim: Claim, now: timedelta) -> None:
        if self._claim is not None and claim.offset <= self._claim.offset:
            return
        if not self._mine(claim) or claim.token != self._begun_token:
            # A token that does not count yet has no term, and may have to wait.
            self._renewed_at = None
        self._claim = claim
        self._known_since = now

    def heard(self, claim: Claim) -> None:
        """Take in a claim that another instance knows of."""
        now = self._clock.monotonic()
        if self._mine(claim):
            return
        self._note_era(era_of(claim.offset), now)
        if self._claim is not None and claim.offset <= self._claim.offset:
            return
        self._take(claim, now)
        if self._end is not None:
            self._end = max(self._end, Position(claim.offset + 1))

    def appended(self, action: AppendClaim, result: AppendResult) -> None:
        """Take in how an append ended."""
        self._pending = False
        now = self._clock.monotonic()
        if isinstance(result, Appended | ConditionFailed):
            self._note_era(era_of(_position_of(result)), now)
        if isinstance(result, Appended) and era_of(result.offset) != era_of(action.at):
            # The offset matched by coincidence; claims in the new era were not read.
            self._end = None
            return
        if isinstance(result, Appended):
            self._claim = replace(action.claim, offset=result.offset)
            self._end = Position(result.offset + 1)
            self._known_since = now
            self._begin(self._claim, now)
            self._renewed_at = action.sent_at
            return
        self._next_try = now + RETRY_PAUSE
        if isinstance(result, ConditionFailed):
            self._end = None
            return
        if isinstance(result, Unavailable):
            return
        self._unsure = action
        if self._tried_at_offset != action.at:
            self._tried_at_offset = action.at
            self._first_tried_at = action.sent_at

    def _begin(self, claim: Claim, now: timedelta) -> None:
        """Set when the first order may be sent, the first time a token counts."""
        if claim.token == self._begun_token:
            return
        was_refused = self._begun_token == self._refused_token
        self._begun_token = claim.token
        self._turn_over_at = now + self._timing.turn
        if was_refused and self._refused_token is not None:
            # Whoever has ordered meanwhile may have done so a moment ago.
            self._orders_from = self._turn_over_at
            return
        self._orders_from = max(now, self._turn_left_from(claim))

    def _turn_left_from(self, claim: Claim) -> timedelta:
        """Return until when this machine waits if others have ordered behind it.

        Its own last order may be under way for as long as one is waited for.
        """
        if self._own not in claim.before:
            return ZERO
        return self._last_ordered + self._timing.send_margin + self._timing.turn


def _position_of(result: Appended | ConditionFailed) -> Position:
    return result.offset if isinstance(result, Appended) else result.end

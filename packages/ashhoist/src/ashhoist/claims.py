"""Who is the home of each upstream: a fold over the claims on the log.

The offset of a claim is its fencing token. A claim wins when it is read; the
claim that it replaces ends there. For an upstream that does not check fencing
tokens a claim is also a lease: see `Authority`.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Any

from .clock import ZERO

STREAM = "claims"


class ClaimAction(StrEnum):
    """What a record on the claims stream does."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One record on the claims stream.

    Parameters
    ----------
    holder : str
        The instance with its incarnation, so that a restarted instance never
        takes over what it held before.
    upstreams : tuple of str
        What is claimed, renewed or released. A renewal names all that the
        holder has, so that its cost does not grow with their number.
    seen_token : int
        The token that a claim replaces, -1 if there was none.
    tokens : tuple of int
        In a renewal, the token of each claim. It lets an instance that starts
        after the claim's own record has expired know the claim.
    """

    operation: str
    action: ClaimAction
    holder: str
    upstreams: tuple[str, ...]
    seen_token: int = -1
    tokens: tuple[int, ...] = ()

    def to_record(self) -> dict[str, Any]:
        """Return the record that is appended to the log."""
        return {
            "operation": self.operation,
            "action": self.action.value,
            "holder": self.holder,
            "upstreams": list(self.upstreams),
            "seen_token": self.seen_token,
            "tokens": list(self.tokens),
        }

    @classmethod
    def from_record(cls, record: Any) -> "ClaimRecord | None":
        """Return the claim in a record, or None if it is malformed."""
        if not isinstance(record, dict):
            return None
        operation, holder = record.get("operation"), record.get("holder")
        upstreams, seen = record.get("upstreams"), record.get("seen_token", -1)
        if not (isinstance(operation, str) and isinstance(holder, str)):
            return None
        if record.get("action") not in set(ClaimAction):
            return None
        if not isinstance(upstreams, list) or not isinstance(seen, int):
            return None
        if not all(isinstance(name, str) for name in upstreams):
            return None
        tokens = record.get("tokens", [])
        if not isinstance(tokens, list):
            return None
        if not all(isinstance(token, int) for token in tokens):
            return None
        action = ClaimAction(record["action"])
        if action is ClaimAction.RENEW and len(tokens) != len(upstreams):
            return None
        return cls(operation, action, holder, tuple(upstreams), seen, tuple(tokens))


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim in force on one upstream.

    Parameters
    ----------
    token : int
        The offset of the claim's record: the fencing token.
    read_at : timedelta
        When this instance read the claim or its last renewal, on its own
        monotonic clock. The record was appended no later than this.
    free_after : timedelta
        When the lease of the holder before has surely ended, on this
        instance's monotonic clock.
    """

    upstream: str
    holder: str
    token: int
    read_at: timedelta
    free_after: timedelta
    released: bool = False


@dataclass(slots=True)
class Claims:
    """The claims in force after all records up to `offset`.

    Parameters
    ----------
    wait : timedelta
        How long after its last sign a holder may still act: lease, send bound
        and clock-rate margin together.
    """

    wait: timedelta
    offset: int = -1
    by_upstream: dict[str, Claim] = field(default_factory=dict)

    def apply(self, offset: int, record: Any, read_at: timedelta) -> list[Claim]:
        """Apply a record that was read at `read_at`; return what changed."""
        if offset <= self.offset:
            return []
        self.offset = offset
        parsed = ClaimRecord.from_record(record)
        if parsed is None:
            return []
        changed = []
        for index, name in enumerate(parsed.upstreams):
            claim = self._apply_one(name, index, parsed, offset, read_at)
            if claim is not None:
                changed.append(claim)
        for claim in changed:
            self.by_upstream[claim.upstream] = claim
        return changed

    def to_list(self) -> list[list[Any]]:
        """Return the claims in the form that travels between instances."""
        return [
            [claim.upstream, claim.holder, claim.token, claim.released]
            for claim in self.by_upstream.values()
        ]

    def adopt(self, offset: int, claims: list[Any], read_at: timedelta) -> bool:
        """Take in the claims of an instance that has read further.

        When their holders last showed a sign is not known here, so their
        leases count from now.
        """
        if offset <= self.offset:
            return False
        self.offset = offset
        for upstream, holder, token, released in claims:
            current = self.by_upstream.get(upstream)
            if current is None or token >= current.token:
                self.by_upstream[upstream] = Claim(
                    upstream, holder, token, read_at, read_at + self.wait, released
                )
        return True

    def _apply_one(
        self,
        name: str,
        index: int,
        record: ClaimRecord,
        offset: int,
        read_at: timedelta,
    ) -> Claim | None:
        current = self.by_upstream.get(name)
        if record.action is ClaimAction.CLAIM:
            return self._claim(name, record, offset, read_at)
        if record.action is ClaimAction.RENEW:
            return self._renew(name, record.holder, record.tokens[index], read_at)
        if current is None or current.holder != record.holder or current.released:
            return None
        return Claim(name, current.holder, current.token, read_at, ZERO, True)

    def _renew(
        self, name: str, holder: str, token: int, read_at: timedelta
    ) -> Claim | None:
        current = self.by_upstream.get(name)
        if current is None or token > current.token:
            return Claim(name, holder, token, read_at, read_at + self.wait)
        if current.holder != holder or current.token != token or current.released:
            return None
        return Claim(name, holder, token, read_at, current.free_after)

    def _claim(
        self, name: str, record: ClaimRecord, offset: int, read_at: timedelta
    ) -> Claim | None:
        current = self.by_upstream.get(name)
        seen = current.token if current else -1
        if record.seen_token != seen:
            return None
        free_after = ZERO
        if current and not current.released and current.holder != record.holder:
            free_after = max(current.read_at + self.wait, current.free_after)
        if current and current.holder == record.holder:
            free_after = current.free_after
        return Claim(name, record.holder, offset, read_at, free_after)


@dataclass(frozen=True, slots=True)
class Authority:
    """What a holder may do on one upstream, by its own clock.

    Parameters
    ----------
    token : int
        The fencing token that its orders carry.
    checks_fence : bool
        True if the upstream refuses orders with an older token. The holder
        then needs no lease: a successor's first order shuts it out.
    not_before : timedelta
        Orders wait until the lease of the holder before has ended.
    valid_until : timedelta
        End of the lease: the time right before the claim or renewal was sent,
        plus the lease.
    """

    upstream: str
    token: int
    checks_fence: bool
    not_before: timedelta
    valid_until: timedelta

    def may_order(self, now: timedelta, send_bound: timedelta = ZERO) -> bool:
        """Return whether an order may be sent at `now`.

        The order must have left within `send_bound`, before the lease ends.
        """
        if self.checks_fence:
            return True
        return self.not_before <= now and now + send_bound <= self.valid_until

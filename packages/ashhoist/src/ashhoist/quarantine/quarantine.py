"""Quarantine of requests that crash upstreams.

An upstream that crashes breaks off all requests that it is running, so a single crash
does not show which of them caused it. But the request at fault is in flight at every
upstream that it crashes, while other requests are seldom in flight at three of them. A
request is therefore held back once three incarnations of upstreams have broken off
while handling it. A complete answer clears it of all earlier crashes.

Not every upstream that breaks a connection off has crashed. One that answers a request
that was sent well after that has survived, and so has one whose record is still on the
log when that of a crashed one would be gone. What it broke off counts no longer.

Parts of prompts are counted in the same way, under names of their own; see `parts`.
What is said of requests below holds for them, too.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from ..clock import ZERO, Clock
from ..position import NO_POSITION, Position, era_of, offset_of, supersedes
from .crashes import Completion, Crash
from .held_names import HeldNames

WINDOW = timedelta(minutes=10)
"""How long a crash counts. When the oldest one expires, the request may run once more;
if it crashes that upstream too, it is held back again at once."""
ENDANGERED_CRASHES = 2
"""Crashes of a part from which on an answer to it is told to the other instances."""
RECORD_LAPSES_AFTER = timedelta(seconds=6)
"""Exceeds the time after which the record of an upstream that ended is gone here."""
SURVIVAL_MARGIN = timedelta(seconds=1)
"""Minimum time from a crash until a request is sent whose answer refutes it, because an
upstream that is about to end may still answer for a moment."""
NO_REQUESTS: frozenset[str] = frozenset()


class Verdict(StrEnum):
    """Whether an upstream that broke off requests has crashed."""

    OPEN = "open"
    CRASHED = "crashed"
    SURVIVED = "survived"


@dataclass(slots=True)
class _Entry:
    """One crash record, with the requests observed since it was written.

    Parameters
    ----------
    crash : Crash
        Contains all requests, whether written to the log or not.
    offset : Position or None
        Position of the record on the log; None if it is not on the log yet.
    since : timedelta
        When this instance first learned of the crash.
    unwritten : frozenset of str
        Requests that this instance observed, or was told of by another instance, and
        that are not on the log yet.
    verdict : Verdict
        Whether the upstream has crashed; it counts as crashed while that is open.
    """

    crash: Crash
    offset: Position | None
    since: timedelta
    unwritten: frozenset[str] = NO_REQUESTS
    verdict: Verdict = Verdict.OPEN

    def counts(self, request: str, cleared: Position) -> bool:
        """Return whether the crash counts against a request cleared at `cleared`."""
        if self.verdict is Verdict.SURVIVED:
            return False
        if self.offset is None or request in self.unwritten:
            return True
        return self.offset > cleared


class Quarantine:
    """Known crashes and completed requests, and the requests held back because of them.

    The control task updates it; request handling queries `holds_back`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_key: dict[str, _Entry] = {}
        self._keys_by_request: dict[str, set[str]] = {}
        self._completion_by_key: dict[str, tuple[Position, timedelta]] = {}
        self._request_by_completion_key: dict[str, str] = {}
        self._lost_keys: set[str] = set()
        self._open_keys: dict[str, set[str]] = {}
        self._held = HeldNames()

    # Queries of request handling and metrics

    def holds_back(self, request: str) -> bool:
        """Return whether a request is held back, so that no upstream may get it."""
        return self._held.since(request) is not None

    def remaining(self, request: str) -> timedelta:
        """Return the time until a request that is held back may be tried again."""
        since = self._held.since(request)
        if since is None:
            return ZERO
        return max(since + WINDOW - self._clock.monotonic(), ZERO)

    def retry_after(self, request: str) -> timedelta:
        """Return after what time the caller of a held-back request may come back.

        That is soon while it is not known whether its upstreams have crashed.
        """
        open_since = [
            entry.since
            for entry in self._uncleared_entries(request)
            if entry.verdict is Verdict.OPEN
        ]
        if not open_since:
            return self.remaining(request)
        decided_at = max(open_since) + RECORD_LAPSES_AFTER
        return max(decided_at - self._clock.monotonic(), SURVIVAL_MARGIN)

    @property
    def held(self) -> frozenset[str]:
        """Return the requests that are held back."""
        return self._held.names()

    def is_endangered(self, name: str) -> bool:
        """Return whether further crashes would hold a part back.

        A single crash does not need to be cleared.
        """
        return self._count_uncleared(name) >= ENDANGERED_CRASHES

    def is_suspect(self, request: str) -> bool:
        """Return whether an uncleared crash within the window involves a request."""
        return self._count_uncleared(request) > 0

    def _count_uncleared(self, name: str) -> int:
        """Return the number of incarnations that count against a request or part.

        This is called for each complete answer. For a name that no record contains, it
        costs a single dictionary lookup.
        """
        if name not in self._keys_by_request:
            return 0
        return len(self._uncleared_incarnations(name))

    # Whether upstreams have crashed

    def is_open(self, incarnation: str) -> bool:
        """Return whether it is not known yet if an upstream has crashed."""
        return incarnation in self._open_keys

    def answered(self, incarnation: str, sent_at: timedelta) -> bool:
        """Process a complete answer; return whether it shows that no crash occurred.

        Parameters
        ----------
        sent_at : timedelta
            When the request was sent, on the monotonic clock.
        """
        keys = [
            key
            for key in self._open_keys.get(incarnation, ())
            if self._by_key[key].since + SURVIVAL_MARGIN <= sent_at
        ]
        for key in keys:
            self._decide(key, Verdict.SURVIVED)
        return bool(keys)

    def overdue(self) -> list[str]:
        """Return the incarnations of which the log shows by now if they crashed."""
        latest = self._clock.monotonic() - RECORD_LAPSES_AFTER
        return [
            incarnation
            for incarnation, keys in self._open_keys.items()
            if any(self._by_key[key].since <= latest for key in keys)
        ]

    def decide(self, incarnation: str, is_recorded: bool) -> None:
        """Decide whether an incarnation has crashed.

        Parameters
        ----------
        is_recorded : bool
            Whether the log still has its record. This says nothing of requests that it
            broke off a moment ago.
        """
        latest = self._clock.monotonic() - RECORD_LAPSES_AFTER
        for key in list(self._open_keys.get(incarnation, ())):
            if not is_recorded:
                self._decide(key, Verdict.CRASHED)
            elif self._by_key[key].since <= latest:
                self._decide(key, Verdict.SURVIVED)

    def _decide(self, key: str, verdict: Verdict) -> None:
        entry = self._by_key[key]
        entry.verdict = verdict
        self._close(key, entry)
        for request in entry.crash.requests:
            self._update_held(request)

    def _close(self, key: str, entry: _Entry) -> None:
        """Remove a record from the index of those without a verdict."""
        keys = self._open_keys.get(entry.crash.incarnation, set())
        keys.discard(key)
        if not keys:
            self._open_keys.pop(entry.crash.incarnation, None)

    # Updates

    def add_unwritten(self, crash: Crash) -> None:
        """Add a crash that is not on the log yet.

        This instance has observed it, or was told of it by another instance. Only the
        new requests are processed, because an upstream breaks off a whole batch of
        requests at once.
        """
        known = self._by_key.get(crash.key)
        if known is None or known.verdict is Verdict.SURVIVED:
            self._put(crash, None, crash.requests)
            return
        new_requests = crash.requests - known.crash.requests
        known.crash = known.crash.adding(new_requests)
        known.unwritten |= new_requests
        self._index(crash.key, new_requests)

    def to_write(self, crash: Crash) -> Crash:
        """Return the record to write for a crash, with all known requests added.

        Requests that were cleared since are left out: written again, the crash would
        count as newer than the complete answer that cleared them.
        """
        known = self._by_key.get(crash.key)
        before = frozenset() if known is None else known.crash.requests
        kept = {
            name
            for name in before
            if crash.incarnation in self._uncleared_incarnations(name)
        }
        return Crash(crash.incarnation, crash.instance, crash.requests | kept)

    def put(
        self, key: str, record: Crash | Completion | None, offset: Position
    ) -> bool:
        """Apply a record of the log and return whether it changed anything.

        Parameters
        ----------
        record : Crash, Completion or None
            None if the key was deleted.
        """
        if record is None:
            return self._drop(key)
        if isinstance(record, Completion):
            return self._put_completion(record, offset)
        known = self._by_key.get(key)
        if known is not None and known.offset is not None:
            if not supersedes(offset, known.offset):
                return self._merge(known, record, offset)
        # Unwritten requests are kept: otherwise, a request that has just crashed its
        # third upstream would be released again.
        unwritten = NO_REQUESTS if known is None else known.unwritten - record.requests
        self._put(record.adding(unwritten), offset, unwritten)
        return True

    def _merge(self, known: _Entry, record: Crash, offset: Position) -> bool:
        """Merge a record that does not supersede the known one; see `put`."""
        assert known.offset is not None
        if era_of(offset) == era_of(known.offset):
            return False
        uncleared = self._uncleared_requests(known)
        if era_of(offset) > era_of(known.offset):
            if record.requests >= uncleared:
                self._lost_keys.discard(record.key)
            else:
                self._lost_keys.add(record.key)
        new_requests = frozenset(
            request
            for request in record.requests - known.crash.requests
            if supersedes(offset, self._cleared_at(request))
        )
        if not new_requests:
            return False
        # Requests that were cleared are left out: at the later position, they would
        # count again.
        merged = Crash(record.incarnation, record.instance, uncleared | new_requests)
        at = max(offset, known.offset)
        self._put(merged, at, known.unwritten - record.requests)
        return True

    def _uncleared_requests(self, entry: _Entry) -> frozenset[str]:
        """Return the requests of an entry that no complete answer has cleared."""
        return frozenset(
            request
            for request in entry.crash.requests
            if entry.counts(request, self._cleared_at(request))
        )

    def _cleared_at(self, request: str) -> Position:
        cleared, _ = self._completion_by_key.get(
            Completion(request).key, (NO_POSITION, ZERO)
        )
        return cleared

    def lost_records(self) -> list[Crash | Completion]:
        """Return the records that a restored log lacks, in the order to write them.

        Completed requests come first, because they clear crashes at lower positions.
        Cleared requests are omitted from the crashes.
        """
        found: list[Crash | Completion] = [
            Completion(self._request_by_completion_key[key])
            for key in sorted(self._lost_keys)
            if key in self._completion_by_key
        ]
        for key in sorted(self._lost_keys & self._by_key.keys()):
            entry = self._by_key[key]
            requests = self._uncleared_requests(entry)
            if requests:
                found.append(
                    Crash(entry.crash.incarnation, entry.crash.instance, requests)
                )
        return found

    def note_written(self, key: str, at: Position) -> None:
        """Record that this instance has rewritten a lost completion record."""
        known = self._completion_by_key.get(key)
        if known is None or key not in self._lost_keys:
            return
        self._lost_keys.discard(key)
        self._completion_by_key[key] = (max(known[0], at), known[1])
        self._update_held(self._request_by_completion_key[key])

    def keep_only(self, listed: set[str], end: Position) -> None:
        """Remove the crashes that are missing from a complete list of the log.

        The list contains all records before `end`.

        Crashes recorded only in an earlier era are kept, because the restore may have
        lost their records. They are marked as lost, as are earlier completion records.
        """
        for key, (offset, _) in self._completion_by_key.items():
            if key not in listed and era_of(offset) < era_of(end):
                self._lost_keys.add(key)
        for key, entry in list(self._by_key.items()):
            if key in listed or entry.offset is None or entry.offset >= end:
                continue
            if era_of(entry.offset) < era_of(end):
                self._lost_keys.add(key)
                continue
            self._drop(key)
            if entry.unwritten and entry.verdict is not Verdict.SURVIVED:
                crash = Crash(
                    entry.crash.incarnation, entry.crash.instance, entry.unwritten
                )
                self._put(crash, None, entry.unwritten)

    def expired(self) -> list[str]:
        """Return the keys that are no longer needed, crashes before completed requests.

        These have expired, or are of upstreams that have survived. Deleted in the
        opposite order, crashes that a complete answer had cleared would count again.
        """
        oldest = self._clock.monotonic() - WINDOW
        found = [
            key
            for key, entry in self._by_key.items()
            if entry.since <= oldest or entry.verdict is Verdict.SURVIVED
        ]
        found += [
            key for key, (_, at) in self._completion_by_key.items() if at <= oldest
        ]
        return found

    def forget_unwritten(self) -> None:
        """Remove expired crashes that were never written to the log.

        Other crashes are removed when their records are deleted from the log. These
        have no record, so without this a request would be held back forever.
        """
        oldest = self._clock.monotonic() - WINDOW
        for key, entry in list(self._by_key.items()):
            if entry.offset is None and entry.since <= oldest:
                self._forget(key, entry)

    # Crashes to send to other instances

    def unwritten(self, instance: str) -> list[Crash]:
        """Return the crashes that `instance` saw and has not written, newest first."""
        return [
            Crash(entry.crash.incarnation, instance, entry.unwritten)
            for entry in reversed(self._by_key.values())
            if entry.unwritten
            and entry.crash.instance == instance
            and entry.verdict is not Verdict.SURVIVED
        ]

    def has_unwritten(self, request: str, instance: str) -> bool:
        """Return whether `instance` saw a request broken off and has not written it."""
        for key in self._keys_by_request.get(request, ()):
            entry = self._by_key[key]
            if entry.crash.instance == instance and request in entry.unwritten:
                return True
        return False

    def held_unwritten(self) -> list[str]:
        """Return the requests that are held back and involved in an unwritten crash."""
        unwritten: set[str] = set()
        for entry in self._by_key.values():
            unwritten |= entry.unwritten
        return sorted(unwritten & self._held.names())

    def crashes_of(self, requests: list[str]) -> list[Crash]:
        """Return the crashes that count against the given requests, written or not."""
        found: dict[tuple[str, str], set[str]] = {}
        for request in requests:
            for entry in self._uncleared_entries(request):
                key = (entry.crash.incarnation, entry.crash.instance)
                found.setdefault(key, set()).add(request)
        return [
            Crash(incarnation, instance, frozenset(fingerprints))
            for (incarnation, instance), fingerprints in found.items()
        ]

    def _put(
        self, crash: Crash, offset: Position | None, unwritten: frozenset[str]
    ) -> None:
        known = self._by_key.get(crash.key)
        entry = _Entry(crash, offset, self._clock.monotonic(), unwritten)
        if known is not None:
            self._forget(crash.key, known)
            if known.verdict is not Verdict.SURVIVED:
                entry.since, entry.verdict = known.since, known.verdict
        self._by_key[crash.key] = entry
        if entry.verdict is Verdict.OPEN:
            self._open_keys.setdefault(crash.incarnation, set()).add(crash.key)
        self._index(crash.key, crash.requests)

    def _index(self, key: str, requests: frozenset[str]) -> None:
        """Index a record by its requests and update whether they are held back."""
        for request in requests:
            self._keys_by_request.setdefault(request, set()).add(key)
            self._update_held(request)

    def _put_completion(self, record: Completion, offset: Position) -> bool:
        known = self._cleared_at(record.request)
        if not supersedes(offset, known):
            if era_of(offset) > era_of(known) and offset_of(offset) < offset_of(known):
                self._lost_keys.add(record.key)
            return False
        self._lost_keys.discard(record.key)
        self._completion_by_key[record.key] = (offset, self._clock.monotonic())
        self._request_by_completion_key[record.key] = record.request
        self._update_held(record.request)
        return True

    def _drop(self, key: str) -> bool:
        self._lost_keys.discard(key)
        self._request_by_completion_key.pop(key, None)
        if self._completion_by_key.pop(key, None) is not None:
            return True
        entry = self._by_key.get(key)
        if entry is None:
            return False
        self._forget(key, entry)
        return True

    def _forget(self, key: str, entry: _Entry) -> None:
        del self._by_key[key]
        self._close(key, entry)
        for request in entry.crash.requests:
            keys = self._keys_by_request[request]
            keys.discard(key)
            if not keys:
                del self._keys_by_request[request]
            self._update_held(request)

    # Evaluation

    def _uncleared_incarnations(self, request: str) -> dict[str, timedelta]:
        """Return the incarnations that broke off a request since it was last cleared.

        Each is mapped to the time at which this instance first learned of the crash.
        """
        found: dict[str, timedelta] = {}
        for entry in self._uncleared_entries(request):
            incarnation = entry.crash.incarnation
            found[incarnation] = min(found.get(incarnation, entry.since), entry.since)
        return found

    def _uncleared_entries(self, request: str) -> Iterator[_Entry]:
        """Iterate over the crashes of a request that no complete answer has cleared."""
        cleared = self._cleared_at(request)
        for key in self._keys_by_request.get(request, ()):
            entry = self._by_key[key]
            if entry.counts(request, cleared):
                yield entry

    def _update_held(self, request: str) -> None:
        """Hold a request back, or release it, depending on its uncleared crashes."""
        self._held.set_crashes(request, self._uncleared_incarnations(request))

"""Which requests must not be sent to upstreams any more, as they crash them.

An upstream that breaks off takes all that it ran with it; which request was to blame
does not show. But the one to blame is under way at each upstream that ends, and others
seldom at three of them. So a request counts as one that crashes upstreams once three
have broken off under it; a whole answer clears it of all that came before.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from ..clock import ZERO, Clock
from ..position import NO_POSITION, Position, era_of, offset_of, supersedes
from .crashes import Crash, Whole

CRASHES = 3
"""Lives of upstreams that break off under a request until it is held back. With two, a
request that was cut off beside another one, and sent on beside it once more, would be
held back as well; each further one cuts up to a whole batch of others."""
WINDOW = timedelta(minutes=10)
"""How long a crash counts. When the oldest is forgotten, the request may run once more;
if that upstream ends too, the request is held back again at once."""
NONE: frozenset[str] = frozenset()


@dataclass(slots=True)
class _Entry:
    """One record, and what this instance has seen since it was written.

    Parameters
    ----------
    crash : Crash
        With all requests, written or not.
    offset : Position or None
        None while it does not stand on the log.
    unwritten : frozenset of str
        Requests that were seen, or told, and do not stand on the log yet.
    """

    crash: Crash
    offset: Position | None
    since: timedelta
    unwritten: frozenset[str] = NONE

    def counts(self, request: str, cleared: Position) -> bool:
        """Return whether it counts against a request that was cleared at an offset."""
        if self.offset is None or request in self.unwritten:
            return True
        return self.offset > cleared


class Quarantine:
    """The crashes and whole answers that the log tells, and what follows from them.

    The control task writes it; requests ask `holds`.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_key: dict[str, _Entry] = {}
        self._keys_by_request: dict[str, set[str]] = {}
        self._whole_by_key: dict[str, tuple[Position, timedelta]] = {}
        self._request_by_whole_key: dict[str, str] = {}
        self._lost_keys: set[str] = set()
        self._held: dict[str, timedelta] = {}

    # What requests and metrics ask

    def holds(self, request: str) -> bool:
        """Return whether a request must not be sent to an upstream."""
        return request in self._held

    def remaining(self, request: str) -> timedelta:
        """Return after how long a request that is held back may be tried again."""
        since = self._held.get(request)
        if since is None:
            return ZERO
        return max(since + WINDOW - self._clock.monotonic(), ZERO)

    @property
    def held(self) -> frozenset[str]:
        """Return the requests that are held back."""
        return frozenset(self._held)

    def is_suspect(self, request: str) -> bool:
        """Return whether an upstream has broken off under a request lately.

        Asked with each whole answer: one that no record names costs a single look.
        """
        return request in self._keys_by_request and bool(self._lives(request))

    # What happened

    def seen(self, crash: Crash) -> None:
        """Take in what this instance has seen, or was told, that is not written yet.

        Only what is new is looked at: an upstream breaks off a whole batch at once.
        """
        known = self._by_key.get(crash.key)
        if known is None:
            self._put(crash, None, crash.requests)
            return
        fresh = crash.requests - known.crash.requests
        known.crash = known.crash.adding(fresh)
        known.unwritten |= fresh
        self._link(crash.key, fresh)

    def to_write(self, crash: Crash) -> Crash:
        """Return what was just seen, with all that is known of that life by then.

        Less what was cleared since: what is written again counts as newer than the
        whole answer that cleared it.
        """
        known = self._by_key.get(crash.key)
        before = frozenset() if known is None else known.crash.requests
        kept = {name for name in before if crash.life in self._lives(name)}
        return Crash(crash.life, crash.instance, crash.requests | kept)

    def put(self, key: str, said: Crash | Whole | None, offset: Position) -> bool:
        """Take in a record of the log; return whether it changed anything.

        Parameters
        ----------
        said : Crash, Whole or None
            None if the key was dropped.
        """
        if said is None:
            return self._drop(key)
        if isinstance(said, Whole):
            return self._put_whole(said, offset)
        known = self._by_key.get(key)
        if known is not None and known.offset is not None:
            if not supersedes(offset, known.offset):
                return self._merge(known, said, offset)
        # Else a request that was just seen to crash its third upstream is let go again.
        unwritten = NONE if known is None else known.unwritten - said.requests
        self._put(said.adding(unwritten), offset, unwritten)
        return True

    def _merge(self, known: _Entry, said: Crash, offset: Position) -> bool:
        """Merge a record that does not supersede the known one; see `put`."""
        assert known.offset is not None
        if era_of(offset) == era_of(known.offset):
            return False
        uncleared = self._uncleared_requests(known)
        if era_of(offset) > era_of(known.offset):
            if said.requests >= uncleared:
                self._lost_keys.discard(said.key)
            else:
                self._lost_keys.add(said.key)
        fresh = frozenset(
            request
            for request in said.requests - known.crash.requests
            if supersedes(offset, self._cleared_at(request))
        )
        if not fresh:
            return False
        # At the later position, requests that were cleared would count again.
        merged = Crash(said.life, said.instance, uncleared | fresh)
        at = max(offset, known.offset)
        self._put(merged, at, known.unwritten - said.requests)
        return True

    def _uncleared_requests(self, entry: _Entry) -> frozenset[str]:
        """Return the requests of an entry that no whole answer has cleared."""
        return frozenset(
            request
            for request in entry.crash.requests
            if entry.counts(request, self._cleared_at(request))
        )

    def _cleared_at(self, request: str) -> Position:
        cleared, _ = self._whole_by_key.get(Whole(request).key, (NO_POSITION, ZERO))
        return cleared

    def lost_records(self) -> list[Crash | Whole]:
        """Return the records that a restored log lacks, in the order to write them.

        Whole answers come first, because they clear crashes at lower positions. Cleared
        requests are omitted from the crashes.
        """
        found: list[Crash | Whole] = [
            Whole(self._request_by_whole_key[key])
            for key in sorted(self._lost_keys)
            if key in self._whole_by_key
        ]
        for key in sorted(self._lost_keys & self._by_key.keys()):
            entry = self._by_key[key]
            requests = self._uncleared_requests(entry)
            if requests:
                found.append(Crash(entry.crash.life, entry.crash.instance, requests))
        return found

    def note_written(self, key: str, at: Position) -> None:
        """Take in that this instance has rewritten a lost whole answer."""
        known = self._whole_by_key.get(key)
        if known is None or key not in self._lost_keys:
            return
        self._lost_keys.discard(key)
        self._whole_by_key[key] = (max(known[0], at), known[1])
        self._judge(self._request_by_whole_key[key])

    def keep_only(self, listed: set[str], end: Position) -> None:
        """Forget the crashes that a whole list of the log, as of `end`, lacks.

        Crashes recorded only in an earlier era are kept and marked as lost, because the
        restore may have lost their records.
        """
        for key, (offset, _) in self._whole_by_key.items():
            if key not in listed and era_of(offset) < era_of(end):
                self._lost_keys.add(key)
        for key, entry in list(self._by_key.items()):
            if key in listed or entry.offset is None or entry.offset >= end:
                continue
            if era_of(entry.offset) < era_of(end):
                self._lost_keys.add(key)
                continue
            self._drop(key)
            if entry.unwritten:
                crash = Crash(entry.crash.life, entry.crash.instance, entry.unwritten)
                self._put(crash, None, entry.unwritten)

    def expired(self) -> list[str]:
        """Return the keys that no longer count, crashes before whole answers.

        Dropped the other way round, what a whole answer had cleared would count again.
        """
        oldest = self._clock.monotonic() - WINDOW
        found = [key for key, entry in self._by_key.items() if entry.since <= oldest]
        found += [key for key, (_, at) in self._whole_by_key.items() if at <= oldest]
        return found

    def forget_unwritten(self) -> None:
        """Forget what is too old to count and never came to stand on the log.

        Nobody drops it there, so a request would be held back for ever.
        """
        oldest = self._clock.monotonic() - WINDOW
        for key, entry in list(self._by_key.items()):
            if entry.offset is None and entry.since <= oldest:
                self._forget(key, entry)

    # What other instances are told

    def unwritten(self, instance: str) -> list[Crash]:
        """Return what an instance has seen and not written, the newest first."""
        return [
            Crash(entry.crash.life, instance, entry.unwritten)
            for entry in reversed(self._by_key.values())
            if entry.unwritten and entry.crash.instance == instance
        ]

    def has_unwritten(self, request: str, instance: str) -> bool:
        """Return whether an instance saw a request cut, and has not written that."""
        for key in self._keys_by_request.get(request, ()):
            entry = self._by_key[key]
            if entry.crash.instance == instance and request in entry.unwritten:
                return True
        return False

    def held_unwritten(self) -> list[str]:
        """Return the requests held back for something that is not written."""
        unwritten: set[str] = set()
        for entry in self._by_key.values():
            unwritten |= entry.unwritten
        return sorted(unwritten & self._held.keys())

    def behind(self, requests: list[str]) -> list[Crash]:
        """Return the crashes that count against requests, written or not."""
        found: dict[tuple[str, str], set[str]] = {}
        for request in requests:
            for entry in self._counting(request):
                key = (entry.crash.life, entry.crash.instance)
                found.setdefault(key, set()).add(request)
        return [
            Crash(life, instance, frozenset(cut))
            for (life, instance), cut in found.items()
        ]

    def _put(
        self, crash: Crash, offset: Position | None, unwritten: frozenset[str]
    ) -> None:
        known = self._by_key.get(crash.key)
        since = self._clock.monotonic() if known is None else known.since
        if known is not None:
            self._forget(crash.key, known)
        self._by_key[crash.key] = _Entry(crash, offset, since, unwritten)
        self._link(crash.key, crash.requests)

    def _link(self, key: str, requests: frozenset[str]) -> None:
        """Note which requests a record names, and what follows for them."""
        for request in requests:
            self._keys_by_request.setdefault(request, set()).add(key)
            self._judge(request)

    def _put_whole(self, said: Whole, offset: Position) -> bool:
        known = self._cleared_at(said.request)
        if not supersedes(offset, known):
            if era_of(offset) > era_of(known) and offset_of(offset) < offset_of(known):
                self._lost_keys.add(said.key)
            return False
        self._lost_keys.discard(said.key)
        self._whole_by_key[said.key] = (offset, self._clock.monotonic())
        self._request_by_whole_key[said.key] = said.request
        self._judge(said.request)
        return True

    def _drop(self, key: str) -> bool:
        self._lost_keys.discard(key)
        self._request_by_whole_key.pop(key, None)
        if self._whole_by_key.pop(key, None) is not None:
            return True
        entry = self._by_key.get(key)
        if entry is None:
            return False
        self._forget(key, entry)
        return True

    def _forget(self, key: str, entry: _Entry) -> None:
        del self._by_key[key]
        for request in entry.crash.requests:
            keys = self._keys_by_request[request]
            keys.discard(key)
            if not keys:
                del self._keys_by_request[request]
            self._judge(request)

    # What follows

    def _lives(self, request: str) -> dict[str, timedelta]:
        """Return the lives that broke off under a request since its last answer.

        Each with the moment at which that was learnt.
        """
        found: dict[str, timedelta] = {}
        for entry in self._counting(request):
            life = entry.crash.life
            found[life] = min(found.get(life, entry.since), entry.since)
        return found

    def _counting(self, request: str) -> Iterator[_Entry]:
        """Iterate over the crashes of a request that no whole answer has cleared."""
        cleared = self._cleared_at(request)
        for key in self._keys_by_request.get(request, ()):
            entry = self._by_key[key]
            if entry.counts(request, cleared):
                yield entry

    def _judge(self, request: str) -> None:
        """Hold a request back, or let it go."""
        lives = self._lives(request)
        if len(lives) < CRASHES:
            self._held.pop(request, None)
            return
        # It is free again when so many are forgotten that two are left.
        learnt = sorted(lives.values(), reverse=True)
        self._held[request] = learnt[CRASHES - 1]

"""The upstreams that exist, by the newest record of each.

Records come from the platform and from other instances, in any order. Each
carries the position at which it was written, and a lower position never replaces a
higher one, nor does it bring back an upstream whose end was read. Of two records of
different eras, the one of the later era may be a copy of an older record. Unless its
offset is higher, the two are merged: a life that leaves stays so, and a later life
replaces an earlier one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import StrEnum
from types import MappingProxyType

from ..position import NO_POSITION, Position, era_of, supersedes

REMEMBER_ENDED = timedelta(minutes=2)
MOST_LEAVING = 4096
"""Lives that are remembered as leaving, beyond any that leave at once; the oldest is
forgotten first."""


class UpstreamState(StrEnum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One life of an upstream.

    Parameters
    ----------
    id : str
        Often new with every start; an upstream may also start again under its id.
    address : str
        ``IP:PORT``; may belong to another upstream later.
    offset : Position
        Where its newest record stands on the log.
    born : int
        When it started, in Unix milliseconds by its own clock; 0 if it does not say.
    """

    id: str
    service: str
    address: str
    zone: str
    state: UpstreamState = UpstreamState.READY
    slots: int = 1
    models: tuple[str, ...] = ()
    offset: Position = NO_POSITION
    born: int = 0

    @property
    def life(self) -> str:
        """Return the name of this life; no two starts of any upstream share it."""
        return f"{self.id}@{self.born}" if self.born else self.id

    @property
    def takes_work(self) -> bool:
        """Return whether new requests may be sent to it."""
        return self.state is UpstreamState.READY


@dataclass(frozen=True, slots=True)
class UpstreamLeaves:
    """A life of an upstream has said in an answer that it leaves.

    Parameters
    ----------
    life : str
        See `Upstream.life`.
    """

    upstream_id: str
    life: str


@dataclass(frozen=True, slots=True)
class DirectoryView:
    """What requests see of the directory; never changes."""

    by_id: MappingProxyType[str, Upstream]
    by_service: MappingProxyType[str, tuple[Upstream, ...]]

    def of(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that take new work."""
        return self.by_service.get(service, ())


class Directory:
    """All known upstreams. The control task writes it; requests read `view`.

    The view is made anew when it is next asked for: a start before 800 upstreams
    takes them in one by one, 0.5 s of a core if each made a view of all (a profile
    of 30 control cores in virtual time).
    """

    def __init__(self) -> None:
        self._by_id: dict[str, Upstream] = {}
        self._ended: dict[str, tuple[Position, timedelta]] = {}
        self._leaving_by_life: dict[str, UpstreamLeaves] = {}
        self.offset = NO_POSITION
        self._view: DirectoryView | None = None

    @property
    def view(self) -> DirectoryView:
        """Return what requests see now."""
        if self._view is None:
            self._view = _view(map(self._as_told, self._by_id.values()))
        return self._view

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream, or None if it is not known."""
        return self._by_id.get(upstream_id)

    def life_of(self, upstream_id: str) -> str:
        """Return the name of an upstream's present life; see `Upstream.life`."""
        known = self._by_id.get(upstream_id)
        return upstream_id if known is None else known.life

    def _as_told(self, upstream: Upstream) -> Upstream:
        """Return a record with what its upstream has said in answers since.

        The records themselves stay as they are on the log, so that one that says the
        same later still counts as news, and is passed on to who heard no answer.
        """
        if upstream.life not in self._leaving_by_life:
            return upstream
        return replace(upstream, state=UpstreamState.DRAINING)

    def leaves(self, notice: UpstreamLeaves) -> bool:
        """Take in that an upstream leaves; return whether that is news.

        It is none where its record says so already. It stays so for that life,
        whatever its records say: one that was written before may be read later, and a
        record may lapse and come back.
        """
        if notice.life in self._leaving_by_life:
            return False
        known = self._by_id.get(notice.upstream_id)
        self._remember_leaving(notice)
        if known is None:
            return True
        if known.life != notice.life or not known.takes_work:
            return False
        self._view = None
        return True

    def _remember_leaving(self, notice: UpstreamLeaves) -> None:
        self._leaving_by_life[notice.life] = notice
        if len(self._leaving_by_life) > MOST_LEAVING:
            del self._leaving_by_life[next(iter(self._leaving_by_life))]

    def leaving_unwritten(self) -> list[UpstreamLeaves]:
        """Return the upstreams that leave, and are ready by their records."""
        return [
            notice
            for upstream in self._by_id.values()
            if upstream.takes_work
            and (notice := self._leaving_by_life.get(upstream.life)) is not None
        ]

    def put(self, upstream: Upstream) -> bool:
        """Take in a record; return whether something a request sees changed."""
        self.offset = max(self.offset, upstream.offset)
        ended = self._ended.get(upstream.id)
        if ended is not None and ended[0] >= upstream.offset:
            return False
        known = self._by_id.get(upstream.id)
        if known is not None and not supersedes(upstream.offset, known.offset):
            return self._merge(known, upstream)
        self._by_id[upstream.id] = upstream
        self._ended.pop(upstream.id, None)
        if known is not None and _same(known, upstream):
            return False
        self._view = None
        return True

    def _merge(self, known: Upstream, received: Upstream) -> bool:
        """Merge a record of another era that is not certainly newer than the known one.

        Returns
        -------
        bool
            Whether something a request sees changed.
        """
        if era_of(received.offset) == era_of(known.offset):
            return False
        newest = max((known, received), key=lambda one: (one.born, one.offset))
        merged = replace(newest, offset=max(known.offset, received.offset))
        before = self._as_told(known)
        is_leaving = any(
            one.life == merged.life and not one.takes_work for one in (known, received)
        )
        if is_leaving:
            self._remember_leaving(UpstreamLeaves(merged.id, merged.life))
        self._by_id[merged.id] = merged
        if _same(before, self._as_told(merged)):
            return False
        self._view = None
        return True

    def end(self, upstream_id: str, offset: Position, now: timedelta) -> bool:
        """Take in that an upstream has gone; return whether it was known."""
        self.offset = max(self.offset, offset)
        known = self._by_id.get(upstream_id)
        if known is not None and known.offset >= offset:
            return False
        ended = self._ended.get(upstream_id)
        if ended is None or ended[0] < offset:
            # An older end that comes late must not hide a newer one.
            self._ended.pop(upstream_id, None)
            self._ended[upstream_id] = (offset, now)
        self._forget_ended(now)
        if known is None:
            return False
        if not known.takes_work:
            # A restored log may list this life as ready.
            self._remember_leaving(UpstreamLeaves(upstream_id, known.life))
        del self._by_id[upstream_id]
        self._view = None
        return True

    def missing_from(self, listed: set[str], end: Position) -> list[str]:
        """Return the upstreams of the era of `end` that a whole list does not name.

        Upstreams last recorded in an earlier era are left out: they may still be
        running, as the restore may have lost their records.
        """
        return [
            upstream.id
            for upstream in self._by_id.values()
            if upstream.id not in listed
            and upstream.offset < end
            and era_of(upstream.offset) == era_of(end)
        ]

    def recorded_before(self, era: int) -> list[str]:
        """Return the upstreams whose newest known record is of an era before `era`."""
        return [
            upstream.id
            for upstream in self._by_id.values()
            if era_of(upstream.offset) < era
        ]

    def all(self) -> dict[str, Upstream]:
        """Return all known upstreams by id."""
        return dict(self._by_id)

    def _forget_ended(self, now: timedelta) -> None:
        """Forget the oldest ends; they stand in the order in which they came."""
        while self._ended:
            upstream_id, (_, ended_at) = next(iter(self._ended.items()))
            if now - ended_at <= REMEMBER_ENDED:
                return
            del self._ended[upstream_id]


def _same(one: Upstream, other: Upstream) -> bool:
    return (
        one.state is other.state
        and one.address == other.address
        and one.service == other.service
        and one.zone == other.zone
        and one.slots == other.slots
        and one.models == other.models
        and one.life == other.life
    )


def _view(upstreams: Iterable[Upstream]) -> DirectoryView:
    by_id: dict[str, Upstream] = {}
    by_service: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        by_id[upstream.id] = upstream
        if upstream.takes_work:
            by_service.setdefault(upstream.service, []).append(upstream)
    return DirectoryView(
        MappingProxyType(by_id),
        MappingProxyType({name: tuple(found) for name, found in by_service.items()}),
    )

"""What other instances say, handled by the type of the message."""

from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from . import messages
from .failures import Failure, Outcome, Reason, Step
from .types import AdapterVersion, Job, Priority

if TYPE_CHECKING:
    from .core import Instance

ASK_PEER_EVERY = timedelta(seconds=1)


class Inbound:
    """Takes in the messages of the other instances.

    Attributes
    ----------
    offsets : dict
        Configuration offset by instance, as its last heartbeat said.
    """

    def __init__(self, core: "Instance") -> None:
        self._core = core
        self.offsets: dict[str, int] = {}
        self._asked_at: timedelta | None = None

    def message(self, peer: str, incarnation: str, item: Any) -> None:
        """Take in a message of an instance."""
        handler = _message_handlers.get(type(item))
        if handler is None:
            self._core.outside.count("bad_frames", "unexpected")
            return
        handler(self, peer, incarnation, item)

    def _on_heartbeat(
        self, peer: str, incarnation: str, item: messages.Heartbeat
    ) -> None:
        now = self._core.clock.monotonic()
        was_leaving = self._core.membership.leaving(peer)
        self._core.membership.heard(peer, incarnation, item.leaving, now)
        self._core.membership.keepers[peer] = item.keeper
        self.offsets[peer] = item.offset
        self._core._take_loads(item.loads)
        if item.leaving and not was_leaving:
            self._core.routes.changed = True
        told = {str(name) for name in item.leaving_upstreams}
        if not told <= self._core.membership.leaving_upstreams:
            self._core.membership.leaving_upstreams |= told
            self._core.homes.set_leaving(self._core.membership.upstreams_leaving())
            self._core.routes.changed = True
        self.ask_peer(now)

    def _on_residency(
        self, peer: str, incarnation: str, item: messages.ResidencyDelta
    ) -> None:
        if item.upstream not in self._core.residency.views:
            return
        added = [AdapterVersion.parse(text) for text in item.added]
        if item.full:
            self._core.residency.replace(item.upstream, added)
            return
        for adapter in added:
            self._core.residency.set(item.upstream, adapter, True)
        for text in item.removed:
            self._core.residency.set(item.upstream, AdapterVersion.parse(text), False)

    def _on_open(self, peer: str, incarnation: str, item: messages.OpenRequest) -> None:
        now = self._core.clock.monotonic()
        job = Job(
            request_id=item.request_id,
            attempt=item.attempt,
            entry=peer,
            upstream=item.upstream,
            adapter=AdapterVersion.parse(item.adapter) if item.adapter else None,
            priority=Priority(item.priority),
            deadline=now + timedelta(milliseconds=item.remaining_ms),
            enqueued_at=now,
            method=item.method,
            path=item.path,
            headers=item.headers,
            body=item.body,
            stream=item.stream,
            repeatable=item.repeatable,
            key=item.key,
            team=item.team,
            tokens=item.tokens,
            weights=item.weights,
        )
        self._core.answers.submit(job)

    def _on_cancel(
        self, peer: str, incarnation: str, item: messages.CancelRequest
    ) -> None:
        job = self._core.answers.jobs.get((item.request_id, item.attempt))
        if job is not None and job.entry == peer:
            self._core.homes.cancel(job.upstream, job.id)

    def _on_started(self, peer: str, incarnation: str, item: messages.Started) -> None:
        self._core._take_loads([item.load])
        self._core.entry.started((item.request_id, item.attempt), peer)

    def _on_head(self, peer: str, incarnation: str, item: messages.Head) -> None:
        job_id = (item.request_id, item.attempt)
        self._core.entry.head(job_id, peer, item.status, item.headers)

    def _on_data(self, peer: str, incarnation: str, item: messages.Data) -> None:
        job_id = (item.request_id, item.attempt)
        self._core.entry.data(job_id, peer, item.index, item.count, item.data)

    def _on_end(self, peer: str, incarnation: str, item: messages.End) -> None:
        self._core.entry.end((item.request_id, item.attempt), peer, item.count)

    def _on_failed(self, peer: str, incarnation: str, item: messages.Failed) -> None:
        failure = Failure(
            Reason(item.reason),
            Outcome(item.outcome),
            Step(item.step),
            item.peer,
            item.detail,
            timedelta(milliseconds=item.retry_after_ms)
            if item.retry_after_ms >= 0
            else None,
        )
        self._core.entry.failed((item.request_id, item.attempt), peer, failure)

    def _on_credit(self, peer: str, incarnation: str, item: messages.Credit) -> None:
        self._core.answers.credited((item.request_id, item.attempt), item.count)

    def _on_wanted(
        self, peer: str, incarnation: str, item: messages.LoadWanted
    ) -> None:
        adapter = AdapterVersion.parse(item.adapter)
        self._core.grants.keep_want(peer, item.upstream, adapter, item.benefit)

    def _on_dropped(
        self, peer: str, incarnation: str, item: messages.LoadDropped
    ) -> None:
        self._core.grants.keeper.drop(item.upstream, AdapterVersion.parse(item.adapter))

    def _on_granted(
        self, peer: str, incarnation: str, item: messages.LoadGranted
    ) -> None:
        adapter = AdapterVersion.parse(item.adapter)
        self._core.grants.sources[item.upstream, adapter] = peer
        self._core.homes.load_granted(item.upstream, adapter, item.number)

    def _on_returned(
        self, peer: str, incarnation: str, item: messages.GrantReturned
    ) -> None:
        self._core.grants.keeper.finish(item.number, item.used)

    def _on_fetch(
        self, peer: str, incarnation: str, item: messages.FetchConfiguration
    ) -> None:
        claims = self._core.homes.claims
        state = messages.ClaimsState(claims.offset, claims.to_list())
        self._core.outside.send_to(peer, state)
        found = self._core.changes.records_after(item.after)
        if found is not None:
            pairs = [[offset, record] for offset, record in found]
            self._core.outside.send_to(peer, messages.ConfigurationRecords(pairs))
            return
        for chunk in self._core.changes.state.to_chunks():
            self._core.outside.send_to(peer, messages.ConfigurationSnapshot(chunk))

    def _on_claims(
        self, peer: str, incarnation: str, item: messages.ClaimsState
    ) -> None:
        """Take claims from a peer, but only while the log has not been read."""
        if self._core.claims_read:
            return
        now = self._core.clock.monotonic()
        if not all(
            isinstance(claim, list) and len(claim) == 4 for claim in item.claims
        ):
            raise messages.FrameError("malformed claims")
        if self._core.homes.claims.adopt(item.offset, item.claims, now):
            self._core.claims_read = True

    def _on_records(
        self, peer: str, incarnation: str, item: messages.ConfigurationRecords
    ) -> None:
        for pair in item.records:
            if isinstance(pair, list) and len(pair) == 2 and isinstance(pair[0], int):
                self._core.changes.read(pair[0], pair[1])
        self._caught_up_by_peer(peer)

    def _on_snapshot(
        self, peer: str, incarnation: str, item: messages.ConfigurationSnapshot
    ) -> None:
        self._core.changes.read_chunk(item.chunk)
        self._caught_up_by_peer(peer)

    def _caught_up_by_peer(self, peer: str) -> None:
        self._core.follow_configuration(at_end=False)
        behind = self._core.changes.state.offset < self.offsets.get(peer, -1)
        if not behind and not self._core.changes.gap:
            self._core.changes.caught_up = True

    def ask_peer(self, now: timedelta) -> None:
        """Fetch what is lacking here from the peer that is ahead."""
        ahead = max(self.offsets.items(), key=lambda pair: pair[1], default=("", -1))
        if ahead[1] <= self._core.changes.state.offset:
            return
        if self._asked_at is not None and now - self._asked_at < ASK_PEER_EVERY:
            return
        self._asked_at = now
        ask = messages.FetchConfiguration(self._core.changes.state.offset)
        self._core.outside.send_to(ahead[0], ask)


MessageHandler = Callable[[Inbound, str, str, Any], None]
_message_handlers: dict[type, MessageHandler] = {
    messages.Heartbeat: Inbound._on_heartbeat,
    messages.ResidencyDelta: Inbound._on_residency,
    messages.OpenRequest: Inbound._on_open,
    messages.CancelRequest: Inbound._on_cancel,
    messages.Started: Inbound._on_started,
    messages.Head: Inbound._on_head,
    messages.Data: Inbound._on_data,
    messages.End: Inbound._on_end,
    messages.Failed: Inbound._on_failed,
    messages.Credit: Inbound._on_credit,
    messages.LoadWanted: Inbound._on_wanted,
    messages.LoadDropped: Inbound._on_dropped,
    messages.LoadGranted: Inbound._on_granted,
    messages.GrantReturned: Inbound._on_returned,
    messages.FetchConfiguration: Inbound._on_fetch,
    messages.ClaimsState: Inbound._on_claims,
    messages.ConfigurationRecords: Inbound._on_records,
    messages.ConfigurationSnapshot: Inbound._on_snapshot,
}

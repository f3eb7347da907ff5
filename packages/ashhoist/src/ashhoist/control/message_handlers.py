"""Dispatches the messages of other instances to the parts of the core."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..adapter import Adapter
from ..orders import OrderAnswer
from . import messages

if TYPE_CHECKING:
    from .core import Core

Handler = Callable[["Core", str, Any], None]
_handlers: dict[type, Handler] = {}


def _handles(*kinds: type) -> Callable[[Handler], Handler]:
    """Register a function as the handler of the given message types."""

    def decorate(function: Handler) -> Handler:
        for kind in kinds:
            _handlers[kind] = function
        return function

    return decorate


def handle(core: "Core", peer: str, message: Any) -> bool:
    """Handle a message; return False if there is no handler for its type."""
    handler = _handlers.get(type(message))
    if handler is None:
        return False
    handler(core, peer, message)
    return True


# Discovery and heartbeats


@_handles(messages.Introduction)
def _on_introduction(core: "Core", peer: str, message: messages.Introduction) -> None:
    core.membership.handle_introduction(peer, message)


@_handles(messages.InstanceList)
def _on_instance_list(core: "Core", peer: str, message: messages.InstanceList) -> None:
    core.membership.handle_instance_list(message)


@_handles(messages.InstanceListRequest)
def _on_instance_list_request(
    core: "Core", peer: str, message: messages.InstanceListRequest
) -> None:
    core.membership.send_instance_list(peer)


@_handles(messages.Heartbeat)
def _on_heartbeat(core: "Core", peer: str, heartbeat: messages.Heartbeat) -> None:
    core.handle_heartbeat(peer, heartbeat)


# Records of the log


@_handles(messages.LargeRecordsNotice)
def _on_large_records_notice(
    core: "Core", peer: str, message: messages.LargeRecordsNotice
) -> None:
    core.records.handle_announcement(peer, message)


@_handles(messages.Pull)
def _on_pull(core: "Core", peer: str, pull: messages.Pull) -> None:
    core.records.pulled(peer, pull)


@_handles(messages.Relay)
def _on_relay(core: "Core", peer: str, relay: messages.Relay) -> None:
    core.records.handle_relay(peer, relay)
    core.proofs.configuration_updated(core.leader)


@_handles(messages.RecordList)
def _on_record_list(core: "Core", peer: str, message: messages.RecordList) -> None:
    core.records.handle_list(peer, message)
    core.proofs.configuration_updated(core.leader)


@_handles(messages.ProofRequest)
def _on_proof_request(core: "Core", peer: str, message: messages.ProofRequest) -> None:
    core.share_delegated(peer, message.delegated_since)
    core.proofs.handle_request(peer, message)


@_handles(messages.ProofResponse)
def _on_proof_response(
    core: "Core", peer: str, message: messages.ProofResponse
) -> None:
    core.proofs.handle_response(peer, message)


# Adapters at engines


@_handles(messages.EngineAdapters)
def _on_engine_adapters(
    core: "Core", peer: str, holds: messages.EngineAdapters
) -> None:
    held = {Adapter(model, name): int(v) for model, name, v in holds.adapters}
    core.residency.put(holds.epoch, holds.upstream, held)


@_handles(messages.EngineAdaptersChanged)
def _on_engine_adapters_changed(
    core: "Core", peer: str, change: messages.EngineAdaptersChanged
) -> None:
    for upstream, served, gone in change.rows:
        core.residency.change(
            change.epoch,
            upstream,
            {Adapter(model, name): int(v) for model, name, v in served},
            [Adapter(model, name) for model, name in gone],
        )


@_handles(messages.AdapterLocationRequest)
def _on_adapter_location_request(
    core: "Core", peer: str, locate: messages.AdapterLocationRequest
) -> None:
    core.lookups.asked(peer, locate)


@_handles(messages.AdapterLocations)
def _on_adapter_locations(
    core: "Core", peer: str, located: messages.AdapterLocations
) -> None:
    core.lookups.answered(located)


# Leases and orders


@_handles(messages.ClaimsReadRequest, messages.ClaimAppendRequest)
def _on_claims_request(core: "Core", peer: str, message: Any) -> None:
    core.effects.lease_call_for(peer, message)


@_handles(messages.ClaimsReadResponse)
def _on_claims_read_response(
    core: "Core", peer: str, message: messages.ClaimsReadResponse
) -> None:
    core.leases.claims_read(peer, message)


@_handles(messages.ClaimAppendResponse)
def _on_claim_append_response(
    core: "Core", peer: str, message: messages.ClaimAppendResponse
) -> None:
    core.leases.claim_appended(peer, message)


@_handles(messages.OrderForward)
def _on_order_forward(core: "Core", peer: str, message: messages.OrderForward) -> None:
    core.order_router.forward(peer, message)


@_handles(messages.OrderForwardResult)
def _on_order_forward_result(
    core: "Core", peer: str, message: messages.OrderForwardResult
) -> None:
    answer = OrderAnswer(message.answer)
    core.scheduling.answered(message.upstream, message.number, answer)


# Requests that wait for adapters


@_handles(messages.PlacementQuery)
def _on_placement_query(core: "Core", peer: str, ask: messages.PlacementQuery) -> None:
    core.asked(peer, ask)


@_handles(messages.PlacementQueryCancel)
def _on_placement_query_cancel(
    core: "Core", peer: str, message: messages.PlacementQueryCancel
) -> None:
    core.scheduling.withdrawn(message.id)


@_handles(messages.EngineUses)
def _on_engine_uses(core: "Core", peer: str, uses: messages.EngineUses) -> None:
    core.scheduling.used(peer, uses)


@_handles(messages.PlacementGranted)
def _on_placement_granted(
    core: "Core", peer: str, granted: messages.PlacementGranted
) -> None:
    core.placement_client.handle_granted(granted)


@_handles(messages.PlacementQueued)
def _on_placement_queued(
    core: "Core", peer: str, message: messages.PlacementQueued
) -> None:
    core.placement_client.handle_queued(message)


@_handles(messages.PlacementDeclined)
def _on_placement_declined(
    core: "Core", peer: str, declined: messages.PlacementDeclined
) -> None:
    core.placement_client.handle_declined(declined)


# Departing upstreams


@_handles(messages.DepartureNotice)
def _on_departure_notice(
    core: "Core", peer: str, message: messages.DepartureNotice
) -> None:
    core.departure_notices.notices_received(peer, message)


# Rate limits of upstreams


@_handles(messages.RateLimitNotice)
def _on_rate_limit_notice(
    core: "Core", peer: str, message: messages.RateLimitNotice
) -> None:
    core.limit_notices.notices_received(peer, message)


@_handles(messages.ShareDelegation)
def _on_share_delegation(
    core: "Core", peer: str, message: messages.ShareDelegation
) -> None:
    core.share_delegated(peer, message.since)


@_handles(messages.PermitQuery)
def _on_permit_query(core: "Core", peer: str, message: messages.PermitQuery) -> None:
    core.permits.asked(peer, message)


@_handles(messages.PermitResponse)
def _on_permit_response(
    core: "Core", peer: str, message: messages.PermitResponse
) -> None:
    core.permits.answered(message)


# Upstreams that must reject no more


@_handles(messages.RejectionNotice)
def _on_rejection_notice(
    core: "Core", peer: str, notice: messages.RejectionNotice
) -> None:
    core.rejection_notices.notice_received(peer, notice)


# Instances that reach no upstream


@_handles(messages.ForwardingNotice)
def _on_forwarding_notice(
    core: "Core", peer: str, notice: messages.ForwardingNotice
) -> None:
    core.handle_forwarding_notice(peer, notice)


@_handles(messages.ForwardingQuery)
def _on_forwarding_query(
    core: "Core", peer: str, query: messages.ForwardingQuery
) -> None:
    core.forwarding.handle_query(peer)


@_handles(messages.ForwardingCandidates)
def _on_forwarding_candidates(
    core: "Core", peer: str, message: messages.ForwardingCandidates
) -> None:
    core.forwarding.handle_candidates(peer, message)


# Streams that go on at their software version


@_handles(messages.StreamsBegan)
def _on_streams_began(core: "Core", peer: str, message: messages.StreamsBegan) -> None:
    core.stream_notices.notices_received(message)


@_handles(messages.RecentVersions)
def _on_recent_versions(
    core: "Core", peer: str, message: messages.RecentVersions
) -> None:
    core.stream_notices.versions_received(message)


@_handles(messages.StreamVersionQuery)
def _on_stream_version_query(
    core: "Core", peer: str, message: messages.StreamVersionQuery
) -> None:
    core.stream_lookups.asked(peer, message)


@_handles(messages.StreamVersionResponse)
def _on_stream_version_response(
    core: "Core", peer: str, message: messages.StreamVersionResponse
) -> None:
    core.stream_lookups.answered(peer, message)


# Requests that crash upstreams


@_handles(messages.CrashWriteRequest)
def _on_crash_write_request(
    core: "Core", peer: str, message: messages.CrashWriteRequest
) -> None:
    core.crashes.write_for(message)


@_handles(messages.CrashNotice)
def _on_crash_notice(core: "Core", peer: str, message: messages.CrashNotice) -> None:
    core.crash_notices.notices_received(peer, message)


# Customer quotas


@_handles(messages.TokenRequest)
def _on_token_request(core: "Core", peer: str, draw: messages.TokenRequest) -> None:
    core.quotas.asked(peer, draw)


@_handles(messages.TokenGrant)
def _on_token_grant(core: "Core", peer: str, drawn: messages.TokenGrant) -> None:
    core.quotas.drawn(drawn)


@_handles(messages.ReturnTokens)
def _on_return_tokens(core: "Core", peer: str, message: messages.ReturnTokens) -> None:
    core.quotas.returned(message)


# Admission to contended services


@_handles(messages.OverloadReport)
def _on_overload_report(
    core: "Core", peer: str, message: messages.OverloadReport
) -> None:
    core.admissions.overload_reported(peer, message)


@_handles(messages.ContentionNotice)
def _on_contention_notice(
    core: "Core", peer: str, message: messages.ContentionNotice
) -> None:
    core.admission_client.notice_received(peer, message)


@_handles(messages.AdmissionQuery)
def _on_admission_query(
    core: "Core", peer: str, message: messages.AdmissionQuery
) -> None:
    core.admissions.asked(peer, message)


@_handles(messages.AdmissionQueued)
def _on_admission_queued(
    core: "Core", peer: str, message: messages.AdmissionQueued
) -> None:
    core.admission_client.queued(message)


@_handles(messages.AdmissionGrant)
def _on_admission_grant(
    core: "Core", peer: str, message: messages.AdmissionGrant
) -> None:
    core.admission_client.granted(message)


@_handles(messages.AdmissionRefusal)
def _on_admission_refusal(
    core: "Core", peer: str, message: messages.AdmissionRefusal
) -> None:
    core.admission_client.refused(message)


@_handles(messages.AdmissionEnded)
def _on_admission_ended(
    core: "Core", peer: str, message: messages.AdmissionEnded
) -> None:
    core.admissions.ended(peer, message)


@_handles(messages.AdmissionCancelled)
def _on_admission_cancelled(
    core: "Core", peer: str, message: messages.AdmissionCancelled
) -> None:
    core.admissions.cancelled(peer, message)

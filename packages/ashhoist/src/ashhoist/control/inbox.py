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
def _on_introduce(core: "Core", peer: str, message: messages.Introduction) -> None:
    core.membership.handle_introduction(peer, message)


@_handles(messages.InstanceList)
def _on_instances(core: "Core", peer: str, message: messages.InstanceList) -> None:
    core.membership.handle_instance_list(message)


@_handles(messages.InstanceListRequest)
def _on_ask_instances(
    core: "Core", peer: str, message: messages.InstanceListRequest
) -> None:
    core.membership.send_instance_list(peer)


@_handles(messages.Beat)
def _on_beat(core: "Core", peer: str, beat: messages.Beat) -> None:
    core.beaten(peer, beat)


# Records of the log


@_handles(messages.LargeRecordsNotice)
def _on_announce(core: "Core", peer: str, message: messages.LargeRecordsNotice) -> None:
    core.records.handle_announcement(peer, message)


@_handles(messages.Pull)
def _on_pull(core: "Core", peer: str, pull: messages.Pull) -> None:
    core.records.pulled(peer, pull)


@_handles(messages.Relay)
def _on_relay(core: "Core", peer: str, relay: messages.Relay) -> None:
    core.records.handle_relay(peer, relay)
    core.proofs.configuration_updated(core.leader)


@_handles(messages.AskProof)
def _on_ask_proof(core: "Core", peer: str, message: messages.AskProof) -> None:
    core.share_left(peer, message.leaves_since)
    core.proofs.handle_request(peer, message)


@_handles(messages.Proven)
def _on_proven(core: "Core", peer: str, message: messages.Proven) -> None:
    core.proofs.handle_response(peer, message)


# Adapters at engines


@_handles(messages.Holds)
def _on_holds(core: "Core", peer: str, holds: messages.Holds) -> None:
    held = {Adapter(model, name): int(v) for model, name, v in holds.adapters}
    core.residency.put(holds.epoch, holds.upstream, held)


@_handles(messages.HoldsChanged)
def _on_holds_changed(core: "Core", peer: str, change: messages.HoldsChanged) -> None:
    for upstream, served, gone in change.rows:
        core.residency.change(
            change.epoch,
            upstream,
            {Adapter(model, name): int(v) for model, name, v in served},
            [Adapter(model, name) for model, name in gone],
        )


@_handles(messages.Locate)
def _on_locate(core: "Core", peer: str, locate: messages.Locate) -> None:
    core.lookups.asked(peer, locate)


@_handles(messages.Located)
def _on_located(core: "Core", peer: str, located: messages.Located) -> None:
    core.lookups.answered(located)


# Leases and orders


@_handles(messages.ReadClaimsFor, messages.AppendClaimFor)
def _on_lease_call(core: "Core", peer: str, message: Any) -> None:
    core.outside.lease_call_for(peer, message)


@_handles(messages.ClaimsRead)
def _on_claims_read(core: "Core", peer: str, message: messages.ClaimsRead) -> None:
    core.leases.claims_read(peer, message)


@_handles(messages.ClaimAppended)
def _on_claim_appended(
    core: "Core", peer: str, message: messages.ClaimAppended
) -> None:
    core.leases.claim_appended(peer, message)


@_handles(messages.Carry)
def _on_carry(core: "Core", peer: str, message: messages.Carry) -> None:
    core.desk.carry(peer, message)


@_handles(messages.Carried)
def _on_carried(core: "Core", peer: str, message: messages.Carried) -> None:
    answer = OrderAnswer(message.answer)
    core.scheduling.answered(message.upstream, message.number, answer)


# Requests that wait for adapters


@_handles(messages.Ask)
def _on_ask(core: "Core", peer: str, ask: messages.Ask) -> None:
    core.asked(peer, ask)


@_handles(messages.Withdraw)
def _on_withdraw(core: "Core", peer: str, message: messages.Withdraw) -> None:
    core.scheduling.withdrawn(message.id)


@_handles(messages.Uses)
def _on_uses(core: "Core", peer: str, uses: messages.Uses) -> None:
    core.scheduling.used(peer, uses)


@_handles(messages.Granted)
def _on_granted(core: "Core", peer: str, granted: messages.Granted) -> None:
    core.agent.handle_granted(granted)


@_handles(messages.Waits)
def _on_waits(core: "Core", peer: str, message: messages.Waits) -> None:
    core.agent.handle_queued(message)


@_handles(messages.Declined)
def _on_declined(core: "Core", peer: str, declined: messages.Declined) -> None:
    core.agent.handle_declined(declined)


# Departing upstreams


@_handles(messages.Leaving)
def _on_leaving(core: "Core", peer: str, message: messages.Leaving) -> None:
    core.departures.told(peer, message)


# Rate limits of upstreams


@_handles(messages.LimitsNamed)
def _on_limits_named(core: "Core", peer: str, message: messages.LimitsNamed) -> None:
    core.limit_notices.told(peer, message)


@_handles(messages.LeaveShare)
def _on_leave_share(core: "Core", peer: str, message: messages.LeaveShare) -> None:
    core.share_left(peer, message.since)


@_handles(messages.AskPermit)
def _on_ask_permit(core: "Core", peer: str, message: messages.AskPermit) -> None:
    core.permits.asked(peer, message)


@_handles(messages.PermitAnswered)
def _on_permit_answered(
    core: "Core", peer: str, message: messages.PermitAnswered
) -> None:
    core.permits.answered(message)


# Requests that crash upstreams


@_handles(messages.WriteCrash)
def _on_write_crash(core: "Core", peer: str, message: messages.WriteCrash) -> None:
    core.crashes.write_for(message)


@_handles(messages.CrashesSeen)
def _on_crashes_seen(core: "Core", peer: str, message: messages.CrashesSeen) -> None:
    core.crash_notices.told(peer, message)


# Customer quotas


@_handles(messages.DrawTokens)
def _on_draw_tokens(core: "Core", peer: str, draw: messages.DrawTokens) -> None:
    core.quotas.asked(peer, draw)


@_handles(messages.TokensDrawn)
def _on_tokens_drawn(core: "Core", peer: str, drawn: messages.TokensDrawn) -> None:
    core.quotas.drawn(drawn)


@_handles(messages.ReturnTokens)
def _on_return_tokens(core: "Core", peer: str, message: messages.ReturnTokens) -> None:
    core.quotas.returned(message)

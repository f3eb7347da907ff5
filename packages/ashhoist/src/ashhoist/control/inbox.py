"""Which part of the core takes in which message of another instance."""

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
    """Register a function as the handler of some message types."""

    def decorate(function: Handler) -> Handler:
        for kind in kinds:
            _handlers[kind] = function
        return function

    return decorate


def handle(core: "Core", peer: str, message: Any) -> bool:
    """Take in a message; return False if it is of a type that instances don't send."""
    handler = _handlers.get(type(message))
    if handler is None:
        return False
    handler(core, peer, message)
    return True


# Who is there


@_handles(messages.Introduce)
def _introduced(core: "Core", peer: str, message: messages.Introduce) -> None:
    core.membership.introduced(peer, message)


@_handles(messages.Instances)
def _told_instances(core: "Core", peer: str, message: messages.Instances) -> None:
    core.membership.told(message)


@_handles(messages.AskInstances)
def _asked_for_instances(
    core: "Core", peer: str, message: messages.AskInstances
) -> None:
    core.membership.asked(peer)


@_handles(messages.Beat)
def _beaten(core: "Core", peer: str, beat: messages.Beat) -> None:
    core.beaten(peer, beat)


# What the log says


@_handles(messages.Announce)
def _announced(core: "Core", peer: str, message: messages.Announce) -> None:
    core.records.announced(peer, message)


@_handles(messages.Pull)
def _pulled(core: "Core", peer: str, pull: messages.Pull) -> None:
    core.records.pulled(peer, pull)


@_handles(messages.Relay)
def _relayed(core: "Core", peer: str, relay: messages.Relay) -> None:
    core.records.relayed(peer, relay)
    core.proofs.learned(core.leader)


@_handles(messages.AskProof)
def _asked_for_proof(core: "Core", peer: str, message: messages.AskProof) -> None:
    core.share_left(peer, message.leaves_since)
    core.proofs.asked(peer, message)


@_handles(messages.Proven)
def _proven(core: "Core", peer: str, message: messages.Proven) -> None:
    core.proofs.answered(peer, message)


# What engines hold


@_handles(messages.Holds)
def _held(core: "Core", peer: str, holds: messages.Holds) -> None:
    held = {Adapter(model, name): int(v) for model, name, v in holds.adapters}
    core.residency.put(holds.epoch, holds.upstream, held)


@_handles(messages.HoldsChanged)
def _holds_changed(core: "Core", peer: str, change: messages.HoldsChanged) -> None:
    for upstream, served, gone in change.rows:
        core.residency.change(
            change.epoch,
            upstream,
            {Adapter(model, name): int(v) for model, name, v in served},
            [Adapter(model, name) for model, name in gone],
        )


@_handles(messages.Locate)
def _asked_where(core: "Core", peer: str, locate: messages.Locate) -> None:
    core.lookups.asked(peer, locate)


@_handles(messages.Located)
def _told_where(core: "Core", peer: str, located: messages.Located) -> None:
    core.lookups.answered(located)


# Leases and orders


@_handles(messages.ReadClaimsFor, messages.AppendClaimFor)
def _asked_for_lease(core: "Core", peer: str, message: Any) -> None:
    core.outside.lease_call_for(peer, message)


@_handles(messages.ClaimsRead)
def _claims_read(core: "Core", peer: str, message: messages.ClaimsRead) -> None:
    core.leases.claims_read(peer, message)


@_handles(messages.ClaimAppended)
def _claim_appended(core: "Core", peer: str, message: messages.ClaimAppended) -> None:
    core.leases.claim_appended(peer, message)


@_handles(messages.Carry)
def _carry(core: "Core", peer: str, message: messages.Carry) -> None:
    core.desk.carry(peer, message)


@_handles(messages.Carried)
def _carried(core: "Core", peer: str, message: messages.Carried) -> None:
    answer = OrderAnswer(message.answer)
    core.scheduling.answered(message.upstream, message.number, answer)


# Requests that wait for adapters


@_handles(messages.Ask)
def _asked(core: "Core", peer: str, ask: messages.Ask) -> None:
    core.asked(peer, ask)


@_handles(messages.Withdraw)
def _withdrawn(core: "Core", peer: str, message: messages.Withdraw) -> None:
    core.scheduling.withdrawn(message.id)


@_handles(messages.Uses)
def _used(core: "Core", peer: str, uses: messages.Uses) -> None:
    core.scheduling.used(peer, uses)


@_handles(messages.Granted)
def _granted(core: "Core", peer: str, granted: messages.Granted) -> None:
    core.agent.granted(granted)


@_handles(messages.Waits)
def _waits(core: "Core", peer: str, message: messages.Waits) -> None:
    core.agent.waits(message)


@_handles(messages.Declined)
def _declined(core: "Core", peer: str, declined: messages.Declined) -> None:
    core.agent.declined(declined)


# Upstreams that leave


@_handles(messages.Leaving)
def _leaving(core: "Core", peer: str, message: messages.Leaving) -> None:
    core.departures.told(peer, message)


# Upstreams that have named a limit


@_handles(messages.LimitsNamed)
def _limits_named(core: "Core", peer: str, message: messages.LimitsNamed) -> None:
    core.limit_notices.told(peer, message)


@_handles(messages.LeaveShare)
def _share_left(core: "Core", peer: str, message: messages.LeaveShare) -> None:
    core.share_left(peer, message.since)


@_handles(messages.AskPermit)
def _asked_for_permit(core: "Core", peer: str, message: messages.AskPermit) -> None:
    core.permits.asked(peer, message)


@_handles(messages.PermitAnswered)
def _permit_answered(core: "Core", peer: str, message: messages.PermitAnswered) -> None:
    core.permits.answered(message)


# Requests that crash upstreams


@_handles(messages.WriteCrash)
def _write_crash(core: "Core", peer: str, message: messages.WriteCrash) -> None:
    core.crashes.write_for(message)


@_handles(messages.CrashesSeen)
def _crashes_seen(core: "Core", peer: str, message: messages.CrashesSeen) -> None:
    core.crash_notices.told(peer, message)


# Customers' tokens


@_handles(messages.DrawTokens)
def _draw_tokens(core: "Core", peer: str, draw: messages.DrawTokens) -> None:
    core.quotas.asked(peer, draw)


@_handles(messages.TokensDrawn)
def _tokens_drawn(core: "Core", peer: str, drawn: messages.TokensDrawn) -> None:
    core.quotas.drawn(drawn)


@_handles(messages.ReturnTokens)
def _tokens_returned(core: "Core", peer: str, message: messages.ReturnTokens) -> None:
    core.quotas.returned(message)

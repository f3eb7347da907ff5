"""Checks right before a send: what was chosen may be out of date."""

from ..failures import Reason
from ..logs import Logger
from ..metrics import Metrics
from ..placement.messages import Refusal, Target
from ..upstreams import Backoffs, Directory
from .authentication import Authenticator
from .call import Call
from .forwarding_chooser import Forwarding
from .quarantine_gate import QuarantineGate
from .send_permits import SendPermits


class SendChecks:
    """Decides whether a call may be sent, and whether to the upstream chosen for it."""

    def __init__(
        self,
        authenticator: Authenticator,
        quarantine_gate: QuarantineGate,
        directory: Directory,
        backoffs: Backoffs,
        permits: SendPermits,
        forwarding: Forwarding,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._authenticator = authenticator
        self._quarantine_gate = quarantine_gate
        self._directory = directory
        self._backoffs = backoffs
        self._permits = permits
        self._forwarding = forwarding
        self._metrics = metrics
        self._log = log

    def refusal(self, call: Call) -> Refusal | None:
        """Return why a call that had to wait must not be sent any more, or None."""
        invalid = self._authenticator.refusal_reason(call.identity)
        if invalid is not None:
            return Refusal(invalid)
        return self._quarantine_gate.refusal(call)

    def version_refusal(self, call: Call) -> Refusal | None:
        """Return why a stream can't go on at its software version, or None."""
        if not call.software_version or self._forwarding.applies(call):
            return None
        view = self._directory.view
        acceptable = view.of(call.service, call.software_version)
        failed = call.tried - call.retryable_upstreams if call.holds_out else call.tried
        if any(one.id not in failed for one in acceptable):
            return None
        self._log.info(
            "stream can't go on",
            request=call.id,
            resumes=call.resumes,
            last_event=call.last_event_id,
            software_version=call.software_version,
            tried=len(call.tried),
        )
        return Refusal(Reason.NO_UPSTREAM_OF_VERSION)

    def rejects(self, call: Call, target: Target) -> bool:
        """Return whether a call must not be sent to the upstream chosen for it.

        The choice may be out of date: the leader made it, or the call has waited since.
        """
        reason = self._rejection_reason(call, target)
        if reason is None:
            return False
        self._metrics.count("retries", reason)
        self._log.info(
            "placement rejected",
            request=call.id,
            upstream=target.upstream,
            reason=reason,
        )
        return True

    def _rejection_reason(self, call: Call, target: Target) -> Reason | None:
        """Return why an upstream must not be sent to; None if it may be."""
        if target.is_instance:
            return None
        if self._forwarding.applies(call):
            return Reason.UPSTREAMS_CUT_OFF
        known = self._directory.view.by_id.get(target.upstream)
        if known is None:
            return Reason.NO_UPSTREAM
        if not known.accepts_requests:
            return Reason.UPSTREAM_LEAVING
        if not known.has_software(call.software_version):
            return Reason.NO_UPSTREAM_OF_VERSION
        if self._backoffs.is_backing_off(target.upstream):
            return Reason.UPSTREAMS_REST
        if self._permits.is_limited(target.upstream) and not target.permitted:
            return Reason.UPSTREAMS_LIMITED
        return None

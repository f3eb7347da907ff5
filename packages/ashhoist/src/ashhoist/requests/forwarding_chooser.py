"""Sends requests through other instances while this one reaches no upstream."""

from ..failures import Reason
from ..forwarding import Connectivity, ForwardingInstance, ForwardingInstances
from ..loop import Steps
from ..metrics import Metrics
from ..overload import AttemptOutcome
from ..placement.messages import RequestOutcome, Target
from .call import Call
from .choosers import Chooser
from .results import Choice
from .waiting import CallerWatch


class Forwarding:
    """Decides whether requests are forwarded to another instance, and to which.

    A forwarded request is not forwarded again: the other instance sends it to an
    upstream, or refuses it.
    """

    def __init__(
        self,
        connectivity: Connectivity,
        instances: ForwardingInstances,
        metrics: Metrics,
    ) -> None:
        self._connectivity = connectivity
        self._instances = instances
        self._metrics = metrics

    def applies(self, call: Call) -> bool:
        """Return whether the next attempt of a call goes to another instance."""
        return self._find_instance(call) is not None

    def _find_instance(self, call: Call) -> ForwardingInstance | None:
        if not self._connectivity.is_cut_off or call.is_forwarded:
            return None
        return self._instances.choose(call.tried)

    def refusal_reason(self, call: Call) -> Reason | None:
        """Return why a call can't be sent from here; None if it may be.

        An instance that no other one can help tries its own links all the same.
        """
        if not self._connectivity.is_cut_off:
            return None
        if call.is_forwarded or self._instances.choose() is not None:
            return Reason.UPSTREAMS_CUT_OFF
        return None

    def choose(self, call: Call) -> Target | None:
        """Return the instance that a call is forwarded to; None if it is not."""
        instance = self._find_instance(call)
        if instance is None:
            return None
        self._instances.begin(instance.name)
        return Target(instance.name, instance.address, is_instance=True)

    def is_available(self, name: str) -> bool:
        """Return whether an instance still reaches upstreams, as far as is known."""
        return self._instances.is_available(name)

    def ended(self, target: Target, end: RequestOutcome) -> None:
        """Record that a forwarded attempt has ended."""
        self._instances.end(target.upstream)
        if end is RequestOutcome.UNREACHABLE:
            self._instances.set_unreachable(target.upstream)
        self._metrics.count("forwarded", end)


class ForwardingChooser:
    """Chooses another instance where requests are forwarded, or else an upstream.

    Parameters
    ----------
    chooser : Chooser
        Chooses the upstreams.
    """

    def __init__(
        self, chooser: Chooser, forwarding: Forwarding, connectivity: Connectivity
    ) -> None:
        self._chooser = chooser
        self._forwarding = forwarding
        self._connectivity = connectivity

    def choose(self, call: Call, caller: CallerWatch) -> Steps[Choice]:
        """Return the instance or upstream that `call` is sent to next; may wait."""
        target = self._forwarding.choose(call)
        if target is not None:
            return target
        return (yield from self._chooser.choose(call, caller))

    def has_alternative(self, call: Call) -> bool:
        """Return whether `call` could be sent elsewhere now."""
        return self._forwarding.applies(call) or self._chooser.has_alternative(call)

    def on_first_event(self, call: Call, target: Target) -> None:
        """Record that the first event of an attempt has arrived."""
        if not target.is_instance:
            self._chooser.on_first_event(call, target)

    def is_admitted_by_leader(self, call: Call) -> bool:
        """Return whether the leader decides if `call` is sent again."""
        return self._chooser.is_admitted_by_leader(call)

    def on_attempt_ended(
        self,
        call: Call,
        target: Target,
        end: RequestOutcome,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Record that an attempt has ended, and how the upstream behaved.

        While this instance reaches no upstream, failures show nothing about upstreams.
        """
        if target.is_instance:
            self._forwarding.ended(target, end)
            return
        if self._connectivity.is_cut_off and end is not RequestOutcome.SUCCEEDED:
            end = RequestOutcome.UNKNOWN
            outcome = None if outcome is None else AttemptOutcome.UNKNOWN
        self._chooser.on_attempt_ended(call, target, end, outcome)

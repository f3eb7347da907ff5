"""Admission of requests to contended plain services, decided by the leader.

A service is contended from the first refusal by a full upstream until the load is well
below its capacity again. Meanwhile, all instances ask the leader before each send.
Nothing of it is written to the log: a new leader starts without contended services.
"""

import functools
import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..logs import Logger
from ..metrics import Metrics
from ..overload import (
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Decision,
    Rejected,
)
from ..overload.controller import AdmissionController
from ..routing.active_configuration import ActiveConfiguration
from ..upstreams import Directory
from . import messages
from .customer_weights import CustomerWeights
from .peers import Peers

MILLISECOND = timedelta(milliseconds=1)
NOTICE_INTERVAL = timedelta(milliseconds=500)
"""Time between two notices of the contended services. They are repeated since one may
be lost, and instances that have just linked have none."""
MIN_STEP_INTERVAL = timedelta(milliseconds=1)
"""Shortest time between two steps on a timer, so that they don't take up a core."""
NO_RETURN_MARGIN = timedelta(milliseconds=20)
"""Added to the longest time that callers honour where there is no reservation. Those
that came back without one would mostly be refused again."""


@dataclass(slots=True)
class _ContendedService:
    """A contended service."""

    controller: AdmissionController
    began_at: timedelta


class Admissions:
    """Decides about the requests to contended services while this instance leads.

    Parameters
    ----------
    epoch : callable
        Returns the scheduling epoch of this instance.
    send : callable
        Takes the name of an instance, this one included, and a message.
    bears_few_rejections : callable
        Returns whether the upstreams of a service crash if they reject too many
        requests.
    """

    def __init__(
        self,
        own: str,
        active_configuration: ActiveConfiguration,
        directory: Directory,
        peers: Peers,
        epoch: Callable[[], int],
        send: Callable[[str, Any], None],
        bears_few_rejections: Callable[[str], bool],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._bears_few_rejections = bears_few_rejections
        self._own = own
        self._active_configuration = active_configuration
        self._directory = directory
        self._peers = peers
        self._epoch = epoch
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._weights = CustomerWeights(active_configuration)
        self._leads = False
        self._by_service: dict[str, _ContendedService] = {}
        self._view: object = None
        self._notice_at = ZERO

    # Contention

    def follow(self, leader: str | None) -> None:
        """Set the leader; another instance than this one ends all contention here."""
        self._leads = leader == self._own
        if not self._leads and self._by_service:
            for service in list(self._by_service):
                self._remove(service)

    def overload_reported(self, peer: str, report: messages.OverloadReport) -> None:
        """Handle the refusal of a request by a full upstream."""
        service = report.service
        if not self._leads or service in self._by_service:
            return
        if not self._is_plain(service):
            return
        controller = AdmissionController(
            service,
            self._weights.weight,
            self._clock,
            self._metrics,
            self._log,
            functools.partial(self._bears_few_rejections, service),
        )
        controller.set_upstreams(self._directory.view.of(service))
        now = self._clock.monotonic()
        self._by_service[service] = _ContendedService(controller, now)
        self._log.info("contention began", service=service, reporter=peer)
        self._measure()
        self._notify_all(now)

    def _is_plain(self, service: str) -> bool:
        table = self._active_configuration.table
        if table is None:
            return False
        known = table.configuration.services.get(service)
        return known is not None and known.engine is None

    def _end(self, service: str, now: timedelta) -> None:
        lasted = now - self._by_service[service].began_at
        self._remove(service)
        self._log.info(
            "contention ended", service=service, lasted_ms=lasted // MILLISECOND
        )
        self._notify_all(now)

    def _remove(self, service: str) -> None:
        del self._by_service[service]
        self._metrics.gauge("admission_queue", 0, service)
        self._measure()

    def _measure(self) -> None:
        self._metrics.gauge("contended_services", len(self._by_service))

    def _notify_all(self, now: timedelta) -> None:
        """Send all instances the list of contended services."""
        self._notice_at = now + NOTICE_INTERVAL
        notice = self._notice()
        for instance in (self._own, *self._peers.linked()):
            self._send(instance, notice)

    def _notice(self) -> messages.ContentionNotice:
        return messages.ContentionNotice(self._epoch(), list(self._by_service))

    # Requests of instances

    def asked(self, instance: str, query: messages.AdmissionQuery) -> None:
        """Decide about an instance's request, or queue it."""
        if not self._leads:
            return
        contention = self._by_service.get(query.service)
        if contention is None:
            self._send(instance, self._notice())
            return
        now = self._clock.monotonic()
        key = (instance, query.number)
        contention.controller.submit(
            AdmissionRequest(
                key,
                query.fingerprint,
                query.customer,
                query.priority,
                now + query.target_left_ms * MILLISECOND,
                now + query.deadline_left_ms * MILLISECOND,
                query.zone,
                frozenset(query.excluded),
            )
        )
        decisions = self._decide()
        if key not in decisions:
            self._send(instance, messages.AdmissionQueued(query.number))

    def cancelled(self, instance: str, message: messages.AdmissionCancelled) -> None:
        """Remove a request that is not sent on its grant, or waits no longer."""
        if not self._by_service:
            return
        for contention in self._by_service.values():
            contention.controller.cancel((instance, message.number))
        self._decide()

    def ended(self, instance: str, message: messages.AdmissionEnded) -> None:
        """Record the ends of an instance's requests."""
        if not self._by_service:
            return
        for number, outcome_name, took_ms in message.rows:
            outcome = _outcome(outcome_name)
            took = took_ms * MILLISECOND
            # The controllers ignore the requests of other services.
            for contention in self._by_service.values():
                contention.controller.ended((instance, number), outcome, took)
        self._decide()

    def instance_gone(self, instance: str) -> None:
        """Remove all requests of an instance that is no longer linked."""
        if not self._by_service:
            return
        for contention in self._by_service.values():
            contention.controller.remove_instance(instance)
        self._decide()

    # Decisions

    def next_step_at(self) -> timedelta | None:
        """Return when `step` has something to do; None while nothing is contended."""
        if not self._by_service:
            return None
        steps = [self._notice_at]
        for contention in self._by_service.values():
            at = contention.controller.next_step_at()
            if at is not None:
                steps.append(at)
        return max(min(steps), self._clock.monotonic() + MIN_STEP_INTERVAL)

    def step(self) -> None:
        """Do what is due: decisions, the end of contention, and notices."""
        if not self._by_service:
            return
        self._decide()
        now = self._clock.monotonic()
        for service, contention in list(self._by_service.items()):
            if self._bears_few_rejections(service):
                continue
            if contention.controller.idle:
                self._end(service, now)
        if self._by_service and now >= self._notice_at:
            self._notify_all(now)

    def _decide(self) -> set[tuple[str, int]]:
        """Send all decisions that are due; return the keys of their requests."""
        self._update_upstreams()
        decided: set[tuple[str, int]] = set()
        for contention in list(self._by_service.values()):
            for decision in contention.controller.step():
                decided.add(decision.request.key)
                self._send_decision(decision)
        return decided

    def _update_upstreams(self) -> None:
        view = self._directory.view
        if view is self._view:
            return
        self._view = view
        for service, contention in self._by_service.items():
            contention.controller.set_upstreams(view.of(service))

    def _send_decision(self, decision: Decision) -> None:
        instance, number = decision.request.key
        if isinstance(decision, Admitted):
            grant = messages.AdmissionGrant(number, decision.upstream_id)
            self._send(instance, grant)
            return
        wait_ms = math.ceil(_retry_after(decision) / MILLISECOND)
        self._send(instance, messages.AdmissionRefusal(number, max(wait_ms, 0)))


def _retry_after(rejected: Rejected) -> timedelta:
    """Return when a caller is told to come back.

    Without a reservation, it is told so late that it does not come back in vain.
    """
    if rejected.reserved:
        return rejected.retry_after
    return rejected.retry_after + NO_RETURN_MARGIN


def _outcome(name: str) -> AttemptOutcome:
    """Return the outcome of this name; `UNKNOWN` if a later version has more."""
    try:
        return AttemptOutcome(name)
    except ValueError:
        return AttemptOutcome.UNKNOWN

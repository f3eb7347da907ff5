"""Wires the handling of callers' requests in one instance."""

import random
from collections.abc import Callable

from . import logs
from .control.task import ControlTask
from .forwarding import ForwardingInstances
from .http import Pool
from .instance_state import InstanceState
from .loop import Loop
from .metrics import Metrics
from .process_settings import ProcessSettings
from .quarantine import PartHistory
from .requests import Handler, HeaderNames, RetryBudget
from .requests.admission_gate import AdmissionGate
from .requests.attempt import Attempts
from .requests.authentication import Authenticator
from .requests.call_runner import CallRunner
from .requests.charging import Charging
from .requests.choosers import Chooser, PlainChooser
from .requests.engine_chooser import EngineChooser
from .requests.forwarding_chooser import Forwarding, ForwardingChooser
from .requests.notices import UpstreamNotices
from .requests.quarantine_gate import QuarantineGate
from .requests.resumption import Resumptions
from .requests.room_check import RoomCheck
from .requests.send_checks import SendChecks
from .requests.send_permits import SendPermits
from .upstreams import Balancer


class RequestWiring:
    """Makes the parts that handle requests.

    Attributes
    ----------
    budget : RetryBudget
        The retry budget, whose settings may change.

    Parameters
    ----------
    control : ControlTask
        Connected already: parts ask its core.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        header_names: HeaderNames,
        state: InstanceState,
        control: ControlTask,
        pool: Pool,
        loop: Loop,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._header_names = header_names
        self._state = state
        self._control = control
        self._pool = pool
        self._clock = loop.clock
        self._metrics = metrics
        self._random = rng
        self._log = logs.get("requests")
        zone = settings.instance.availability_zone
        self._balancer = Balancer(zone, state.health, state.backoffs, rng)
        self._permits = SendPermits(state.limits, control.send, self._clock)
        self._authenticator = self._make_authenticator()
        self._forwarding = self._make_forwarding()
        self.budget = self._make_budget()

    def handler(self, closing: Callable[[], bool]) -> Handler:
        """Return the entry point of requests.

        Parameters
        ----------
        closing : callable
            Returns whether connections are to be closed after the response.
        """
        return Handler(
            self._header_names,
            self._call_runner(),
            lambda: self._state.active_configuration.table,
            self._choosers(),
            self._authenticator,
            closing,
            self._clock,
            self._metrics,
            self._log,
            self._random,
        )

    def _make_budget(self) -> RetryBudget:
        retries = self._settings.retries
        return RetryBudget(
            retries.ratio,
            retries.extra,
            retries.window,
            self._instances,
            self._clock,
        )

    def _instances(self) -> int:
        """Return the number of instances; 0 if not known."""
        return self._control.core.quotas.instances

    def _make_authenticator(self) -> Authenticator:
        return Authenticator(
            self._header_names.key.lower(),
            lambda: self._state.active_configuration.table,
            self._state.proof,
            self._settings.bounds.configuration,
            self._clock,
        )

    def _make_forwarding(self) -> Forwarding:
        instances = ForwardingInstances(
            self._settings.instance.availability_zone,
            self._control.core.forwarding.available,
            self._clock,
            self._random,
        )
        return Forwarding(self._state.connectivity, instances, self._metrics)

    # Attempts

    def _call_runner(self) -> CallRunner:
        state, send = self._state, self._control.send
        quarantine_gate = QuarantineGate(
            state.quarantine,
            state.connectivity,
            PartHistory(self._clock),
            state.directory.incarnation_of,
            send,
        )
        return CallRunner(
            self._header_names,
            self._attempts(),
            self.budget,
            state.health,
            Charging(send, self._clock, self._metrics, self._random),
            quarantine_gate,
            self._send_checks(quarantine_gate),
            state.directory,
            state.rejections,
            self._forwarding,
            Resumptions(
                self._header_names,
                state.directory,
                send,
                self._clock,
                self._metrics,
                self._log,
            ),
            self._clock,
            self._metrics,
            self._log,
        )

    def _send_checks(self, quarantine_gate: QuarantineGate) -> SendChecks:
        return SendChecks(
            self._authenticator,
            quarantine_gate,
            self._state.directory,
            self._state.backoffs,
            self._permits,
            self._forwarding,
            self._metrics,
            self._log,
        )

    def _attempts(self) -> Attempts:
        state = self._state
        notices = UpstreamNotices(
            self._header_names,
            state.backoffs,
            state.limits,
            state.rejections,
            self._control.send,
            self._clock,
            self._metrics,
            self._log,
        )
        return Attempts(
            self._header_names, self._pool, notices, state.connectivity, self._clock
        )

    # Choice of upstreams

    def _choosers(self) -> dict[str, Chooser]:
        """Return the choosers by kind of service."""
        room_check = RoomCheck(self._state.rejections, self._balancer, self._instances)
        by_kind = {
            "plain": self._plain_chooser(room_check),
            "engine": self._engine_chooser(room_check),
        }
        return {
            kind: ForwardingChooser(chooser, self._forwarding, self._state.connectivity)
            for kind, chooser in by_kind.items()
        }

    def _plain_chooser(self, room_check: RoomCheck) -> Chooser:
        gate = AdmissionGate(
            self._control.core.admission_client.is_contended,
            self._control.send,
            self._clock,
            self._metrics,
        )
        return PlainChooser(
            self._state.directory, self._balancer, self._permits, room_check, gate
        )

    def _engine_chooser(self, room_check: RoomCheck) -> Chooser:
        state = self._state
        return EngineChooser(
            state.directory,
            state.active_configuration,
            self._balancer,
            state.health,
            state.backoffs,
            self._permits,
            room_check,
            self._control.send,
            lambda: self._control.core.leader is not None,
            self._clock,
        )

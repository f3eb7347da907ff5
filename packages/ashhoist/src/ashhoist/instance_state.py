"""State that the parts of one instance share."""

from dataclasses import dataclass

from . import logs
from .clock import Clock
from .customers import Proof
from .forwarding import Connectivity
from .metrics import Metrics
from .placement import Residency
from .process_settings import ProcessSettings
from .quarantine import Quarantine
from .routing.active_configuration import ActiveConfiguration
from .upstreams import Backoffs, Directory, Health, RateLimits, RejectionLimits


@dataclass(frozen=True, slots=True)
class InstanceState:
    """The state that request handling and the control task share."""

    active_configuration: ActiveConfiguration
    directory: Directory
    residency: Residency
    health: Health
    backoffs: Backoffs
    limits: RateLimits
    rejections: RejectionLimits
    proof: Proof
    quarantine: Quarantine
    connectivity: Connectivity

    @classmethod
    def initial(
        cls, settings: ProcessSettings, clock: Clock, metrics: Metrics
    ) -> "InstanceState":
        """Return the state of an instance that has just started."""
        directory = Directory()
        return cls(
            ActiveConfiguration(),
            directory,
            Residency(),
            Health(clock),
            Backoffs(directory.incarnation_of, clock),
            RateLimits(directory.incarnation_of),
            RejectionLimits(clock),
            Proof(settings.bounds.revocation),
            Quarantine(clock),
            Connectivity(clock, metrics, logs.get("connectivity")),
        )

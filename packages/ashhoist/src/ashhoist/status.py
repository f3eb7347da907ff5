"""What an instance knows, for the operators and the metrics."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .core import Instance


@dataclass(slots=True)
class Status:
    """What an instance knows, for the operators' status page."""

    name: str
    incarnation: str
    zone: str
    offset: int
    ready: bool
    leaving: bool
    keeper: str
    share: float
    log_lag: float
    instances: dict[str, dict[str, Any]] = field(default_factory=dict)
    upstreams: dict[str, dict[str, Any]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Summary:
    """Figures for the metrics."""

    log_lag: float
    in_contact: int


def summary(core: "Instance") -> Summary:
    """Return the few figures that are watched all the time."""
    now = core.clock.monotonic()
    lag = (now - core.log_read_at).total_seconds() if core.log_read_at else -1.0
    contact = sum(
        1
        for name, endpoint in core.membership.by_name.items()
        if endpoint.kind == "entry" and core.membership.in_contact(name, now)
    )
    return Summary(lag, contact)


def status(core: "Instance") -> Status:
    """Return what operators want to know."""
    now = core.clock.monotonic()
    found = Status(
        core.name,
        core.settings.incarnation,
        core.settings.own.zone,
        core.changes.state.offset,
        core.ready,
        core.stopping,
        core.grants.keeper_choice.name,
        core.grants.keeper_choice.share(now),
        (now - core.log_read_at).total_seconds() if core.log_read_at else -1.0,
    )
    for name, endpoint in core.membership.by_name.items():
        if endpoint.kind == "entry":
            own = name == core.name
            offset = found.offset if own else core.inbound.offsets.get(name, -1)
            found.instances[name] = {
                "availability_zone": endpoint.zone,
                "alive": core.membership.alive(name, now),
                "in_contact": core.membership.in_contact(name, now),
                "leaving": core.membership.leaving(name),
                "offset": offset,
            }
    for name, settings in core.homes.settings.items():
        view = core.residency.views[name]
        held = core.residency.adapters_by_upstream.get(name, set())
        found.upstreams[name] = {
            "availability_zone": settings.zone,
            "home": core.homes.home_of(name) or "",
            "leaving": core.membership.leaving(name),
            "running": view.running,
            "waiting": view.waiting,
            "slots": settings.slots if settings.engine else 0,
            "adapters": sorted(str(adapter) for adapter in held),
        }
    return found

"""One machine of a test world, and the process that it runs."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ashhoist.clock import ManualClock
from ashhoist.control.core import Core
from ashhoist.customers import Proof
from ashhoist.quarantine import Quarantine
from ashhoist.routing.active_configuration import ActiveConfiguration
from ashhoist.store import Topic
from ashhoist.types import Endpoint
from ashhoist.upstreams import RateLimits

from .world_log import WorldFollower
from .world_time import Step


@dataclass
class Machine:
    """One machine and its core, if its process runs."""

    name: str
    zone: str = "zone-0"
    core: Core | None = None
    active_configuration: ActiveConfiguration = field(
        default_factory=ActiveConfiguration
    )
    proof: Proof = field(default_factory=Proof)
    quarantine: Quarantine = field(default_factory=lambda: Quarantine(ManualClock()))
    limits: RateLimits = field(default_factory=lambda: RateLimits(str))
    endpoints: list[Endpoint] = field(default_factory=list)
    """To which its process wants links."""
    frozen: bool = False
    store_cut: bool = False
    links_cut: bool = False
    capacity: float = 1.0
    loses_appends: bool = False
    lives: int = 0
    waiting: list[Step] = field(default_factory=list)
    followers: dict[Topic, WorldFollower] = field(default_factory=dict)
    unread: set[Topic] = field(default_factory=set)
    """Topics of which the store leaves this machine's reads unanswered."""

    def do(self, core: Core, step: Step) -> None:
        """Run a step of a process, now or when it wakes; never in another life."""
        if self.core is not core:
            return
        if self.frozen:
            self.waiting.append(lambda: self.do(core, step))
            return
        step()

    def then(self, step: Callable[[Core], None]) -> Step:
        """Return a step of the process that runs now, to be done later."""
        core = self.core
        assert core is not None
        return lambda: self.do(core, lambda: step(core))

    def thaw(self) -> None:
        """Let a frozen process go on with what has come meanwhile."""
        self.frozen = False
        waiting, self.waiting = self.waiting, []
        for step in waiting:
            step()


Machines = dict[str, Machine]

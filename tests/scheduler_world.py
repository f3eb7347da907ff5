"""A scheduler with simulated engines, on a manual clock."""

from datetime import timedelta

from ashhoist import logs
from ashhoist.adapter import Adapter
from ashhoist.clock import ManualClock
from ashhoist.metrics import Metrics
from ashhoist.orders import EngineReport, Order, OrderAnswer
from ashhoist.placement import PendingRequest, Residency
from ashhoist.placement.actions import Placed, Refused, SchedulerAction
from ashhoist.placement.permits import EnginePermits, NoLimits
from ashhoist.placement.scheduler import Scheduler
from ashhoist.routing import EngineModel, EngineSettings
from ashhoist.upstreams import Upstream

MODEL, SERVICE = "base", "engines"
SECOND = timedelta(seconds=1)


def adapter(number: int) -> Adapter:
    return Adapter(MODEL, f"a{number}")


class SchedulerWorld:
    """A scheduler, its engines, and the actions that it has emitted.

    Parameters
    ----------
    served : dict of str to list of int
        Numbers of the adapters that each engine serves at first.
    capacity : int
        Number of adapter slots of each engine.
    permits : EnginePermits or None
        Permits of engines with a rate limit; None if no engine has one.
    batch : int
        Number of requests that each engine runs concurrently.
    software : dict of str to str
        The software version of each engine, where it matters.
    """

    def __init__(
        self,
        served: dict[str, list[int]],
        capacity: int = 6,
        permits: EnginePermits | None = None,
        batch: int = 96,
        software: dict[str, str] | None = None,
    ) -> None:
        software = software or {}
        self.clock = ManualClock()
        self.clock.advance(10 * SECOND)
        self.actions: list[SchedulerAction] = []
        self.residency = Residency()
        self.metrics = Metrics()
        self.scheduler = Scheduler(
            lambda zone: True,
            self.actions.append,
            permits or NoLimits(),
            self.residency,
            self.clock,
            self.metrics,
            logs.get("control"),
        )
        model = EngineModel(MODEL, 16000, SECOND, 100, 14)
        self.settings = EngineSettings({MODEL: model}, batch, 16500, capacity, 2.0)
        self.upstreams = [
            Upstream(
                name,
                SERVICE,
                f"{name}:1",
                "zone",
                slots=96,
                models=(MODEL,),
                software_version=software.get(name, ""),
            )
            for name in served
        ]
        self.scheduler.set_upstreams({SERVICE: self.settings}, self.upstreams)
        for name, numbers in served.items():
            self.report(name, numbers)
        self._request_count = 0

    def report(self, engine: str, numbers: list[int]) -> None:
        """Deliver a report of an engine that serves these adapters."""
        served = {adapter(number): 1 for number in numbers}
        report = EngineReport(0, (MODEL,), (), served, {}, False, 0, 0)
        self.scheduler.engine_reported(engine, report)

    def add_engine(self, name: str) -> None:
        """Add an engine that has not reported yet."""
        upstream = Upstream(
            name, SERVICE, f"{name}:1", "zone", slots=96, models=(MODEL,)
        )
        self.upstreams.append(upstream)
        self.scheduler.set_upstreams({SERVICE: self.settings}, self.upstreams)

    def submit(
        self,
        number: int,
        tokens: int = 800,
        worth: float = 1.0,
        aim_s: float = 1.0,
        gap_ms: int = 0,
        software_version: str = "",
    ) -> str:
        """Submit a request for an adapter; return its id."""
        self._request_count += 1
        now = self.clock.monotonic()
        request = PendingRequest(
            f"r{self._request_count}",
            "instance",
            SERVICE,
            adapter(number),
            0,
            tokens,
            worth,
            worth * 0.3,
            now,
            now + aim_s * SECOND,
            now + 5 * SECOND,
            now + 2 * SECOND,
            gap_ms=gap_ms,
            software_version=software_version,
        )
        self.scheduler.submit(request)
        return request.id

    def place_request(self, number: int, tokens: int = 800) -> tuple[str, str]:
        """Submit a request for a served adapter; return its id and engine."""
        request_id = self.submit(number, tokens)
        [upstream] = [
            action.upstream
            for action in self.actions
            if isinstance(action, Placed) and action.request.id == request_id
        ]
        return request_id, upstream

    def remove_engine(self, name: str) -> None:
        """Remove an engine."""
        self.upstreams = [one for one in self.upstreams if one.id != name]
        self.scheduler.set_upstreams({SERVICE: self.settings}, self.upstreams)

    def plan(self) -> list[Order]:
        """Plan a round 10 ms later; return the orders that it emits."""
        before = len(self.actions)
        self.clock.advance(SECOND / 100)
        self.scheduler.plan(on_timer=True)
        return [item for item in self.actions[before:] if isinstance(item, Order)]

    def answer_order(self, order: Order, answer: OrderAnswer) -> None:
        """Deliver an engine's answer to an order."""
        self.scheduler.order_answered(order.upstream, order.number, answer)

    def placed(self) -> dict[str, str]:
        """Return the engine that each placed request was sent to, by request id."""
        return {
            action.request.id: action.upstream
            for action in self.actions
            if isinstance(action, Placed)
        }

    def refused(self) -> set[str]:
        """Return the ids of the refused requests."""
        return {
            action.request.id for action in self.actions if isinstance(action, Refused)
        }

"""A scheduler with a few engines, on a manual clock."""

from datetime import timedelta

from ashhoist import logs
from ashhoist.adapter import Adapter
from ashhoist.clock import ManualClock
from ashhoist.metrics import Metrics
from ashhoist.orders import EngineReport, Order, OrderAnswer
from ashhoist.placement import Residency, Want
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
    """Engines that serve what they are told to, and requests that want adapters.

    Parameters
    ----------
    held : dict of str to list of int
        Numbers of the adapters that each engine serves at first.
    places : int
        Of each engine.
    permits : EnginePermits or None
        How many more requests engines take; None if none has named a limit.
    """

    def __init__(
        self,
        held: dict[str, list[int]],
        places: int = 6,
        permits: EnginePermits | None = None,
    ) -> None:
        self.clock = ManualClock()
        self.clock.advance(10 * SECOND)
        self.actions: list[SchedulerAction] = []
        self.residency = Residency()
        self.scheduler = Scheduler(
            lambda zone: True,
            self.actions.append,
            permits or NoLimits(),
            self.residency,
            self.clock,
            Metrics(),
            logs.get("control"),
        )
        model = EngineModel(MODEL, 16000, SECOND, 100, 14)
        self.settings = EngineSettings({MODEL: model}, 96, 16500, places, 2.0)
        self.upstreams = [
            Upstream(name, SERVICE, f"{name}:1", "zone", slots=96, models=(MODEL,))
            for name in held
        ]
        self.scheduler.set_upstreams({SERVICE: self.settings}, self.upstreams)
        for name, numbers in held.items():
            self.report(name, numbers)
        self._requests = 0

    def report(self, engine: str, numbers: list[int]) -> None:
        """Let an engine say what it holds."""
        serves = {adapter(number): 1 for number in numbers}
        report = EngineReport(0, (MODEL,), (), serves, {}, False, 0, 0)
        self.scheduler.reported(engine, report)

    def add_engine(self, name: str) -> None:
        """Let there be one more engine, which has not reported yet."""
        upstream = Upstream(
            name, SERVICE, f"{name}:1", "zone", slots=96, models=(MODEL,)
        )
        self.upstreams.append(upstream)
        self.scheduler.set_upstreams({SERVICE: self.settings}, self.upstreams)

    def want(
        self, number: int, tokens: int = 800, worth: float = 1.0, aim_s: float = 1.0
    ) -> str:
        """Let a request want an adapter; return its id."""
        self._requests += 1
        now = self.clock.monotonic()
        want = Want(
            f"r{self._requests}",
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
        )
        self.scheduler.want(want)
        return want.id

    def place(self, number: int, tokens: int = 800) -> tuple[str, str]:
        """Let a request want an adapter that is served; return its id and engine."""
        want_id = self.want(number, tokens)
        [upstream] = [
            action.upstream
            for action in self.actions
            if isinstance(action, Placed) and action.want.id == want_id
        ]
        return want_id, upstream

    def plan(self) -> list[Order]:
        """Plan a round; return the orders that it gives."""
        before = len(self.actions)
        self.clock.advance(SECOND / 100)
        self.scheduler.plan(by_time=True)
        return [item for item in self.actions[before:] if isinstance(item, Order)]

    def answer(self, order: Order, answer: OrderAnswer) -> None:
        """Answer an order."""
        self.scheduler.answered(order.upstream, order.number, answer)

    def placed(self) -> dict[str, str]:
        """Return the engines of all requests that were placed, by request."""
        return {
            action.want.id: action.upstream
            for action in self.actions
            if isinstance(action, Placed)
        }

    def refused(self) -> set[str]:
        """Return the requests that were refused."""
        return {
            action.want.id for action in self.actions if isinstance(action, Refused)
        }

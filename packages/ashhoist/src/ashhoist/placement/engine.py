"""The leader's model of one engine: its adapter slots, copies and orders.

Each order carries the engine's order count, and the engine accepts it only at that
count. So an order that got no answer is sent again unchanged: if the first one was
accepted, the second is refused and the engine's report is fetched. Either way the first
one can't be carried out later, after newer orders.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from ..adapter import Adapter
from ..orders.order import EngineReport, Order, OrderAnswer, OrderKind
from ..upstreams import Upstream
from .adapter_index import AdapterIndex
from .inflight_requests import InflightRequests
from .residency import MAX_COPIES

COLD_LOAD_TIME = timedelta(milliseconds=250)
"""Initial estimate for a load from the weight store."""
WARM_LOAD_TIME = timedelta(milliseconds=25)
"""Initial estimate for a load from a copy that the engine keeps."""
FIRST_POLL_FRACTION = 0.95
"""A load is first polled after this fraction of its expected time."""
LOAD_POLL_INTERVAL = timedelta(milliseconds=20)
MODEL_POLL_INTERVAL = timedelta(milliseconds=60)
MODEL_CHECK_INTERVAL = timedelta(seconds=1)
"""Interval between reports while polls of a base model's load are refused."""
UNLOAD_POLL_INTERVAL = timedelta(milliseconds=100)
REPORT_DELAY = timedelta(milliseconds=350)
"""Delay before a report is fetched, as reports lag behind the engine's state."""
MAX_CONCURRENT_LOADS = 4
SMOOTHING = 0.2
"""Weight of a new load time in the moving average."""
RETRY_PAUSE = timedelta(milliseconds=500)
"""Pause after an order that was refused or not sent, or a report that failed."""
MAX_LOAD_TIME = timedelta(seconds=6)
"""Longer loads count as this long in the estimates."""
LOAD_OVERDUE_MARGIN = timedelta(milliseconds=500)


class SlotState(StrEnum):
    """The state of an adapter slot of an engine."""

    LOADING = "loading"
    SERVING = "serving"
    UNLOADING = "unloading"


@dataclass(slots=True)
class AdapterSlot:
    """An occupied slot of an engine and the adapter in it.

    Parameters
    ----------
    since : timedelta
        When the load was accepted, or the slot was last reported.
    poll_at : timedelta
        When to poll whether the load or unload has ended.
    cold : bool
        Whether the adapter is loaded from the weight store.
    unload_accepted : bool
        True once the engine has accepted the order to unload it.
    """

    adapter: Adapter
    version: int
    state: SlotState
    since: timedelta
    poll_at: timedelta
    cold: bool = True
    unload_accepted: bool = False
    used_at: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class EngineUpdate:
    """What an answer or report has changed at an engine.

    Parameters
    ----------
    loaded : Adapter or None
        The adapter whose load has ended.
    duration : timedelta
        How long that load took.
    cold : bool
        Whether it was loaded from the weight store.
    serving_changed : bool
        Whether the set of adapters that the engine serves may have changed.
    """

    loaded: Adapter | None = None
    duration: timedelta = timedelta()
    cold: bool = False
    serving_changed: bool = False


class Engine:
    """The state of one engine.

    Parameters
    ----------
    capacity : int
        Number of adapter slots.
    copies : OrderedDict
        Versions of the adapters that it probably has copies of, oldest first.
    index : AdapterIndex or None
        The index to update when its slots or copies change.
    batch : int
        Number of requests that it runs concurrently. If it is 0 or 1, no wait for a
        place in the batch is assumed.

    Attributes
    ----------
    reserved_tokens, reserved_requests : int
        Length of the prompts, and number, of the queued requests that are going to be
        sent there once a load has ended. The number includes those that wait for a
        permit.
    adapters_awaiting_permits : set of Adapter
        Adapters that it serves and that are needed by requests that wait for a permit.
    unresolved_order : Order or None
        The last order if it is not known whether it was accepted.
    loading_model : AdapterSlot or None
        The base model that this leader is loading: the engine has accepted its order.
    model_checked_at : timedelta
        When that order was accepted, or a report last confirmed that a load goes on.
    is_busy : bool
        Whether the engine, which has no base model, has reported that it carries out an
        order that is not known here, such as one of an earlier leader.
    """

    def __init__(
        self,
        upstream: Upstream,
        capacity: int,
        copies: "OrderedDict[Adapter, int] | None" = None,
        index: AdapterIndex | None = None,
        batch: int = 0,
    ) -> None:
        self.upstream = upstream
        self.capacity = capacity
        self._index = index or AdapterIndex()
        self.adapter_slots: dict[Adapter, AdapterSlot] = {}
        self.copies: OrderedDict[Adapter, int] = copies or OrderedDict()
        self.order_count: int | None = None
        self.order_in_flight: Order | None = None
        self.order_sent_at = timedelta()
        self.report_due_at: timedelta | None = timedelta()
        self.report_in_flight = False
        self.unresolved_order: Order | None = None
        self.paused_until = timedelta()
        self.inflight = InflightRequests(batch)
        self.reserved_tokens = 0
        self.reserved_requests = 0
        self.adapters_awaiting_permits: set[Adapter] = set()
        self.models: set[str] = set(upstream.models)
        self.model_copies: set[str] = set()
        self.loading_model: AdapterSlot | None = None
        self.model_checked_at = timedelta()
        self.is_busy = False
        self._process_started_at = upstream.born
        self.cold_load_time = COLD_LOAD_TIME
        self.warm_load_time = WARM_LOAD_TIME
        for adapter in self.copies:
            self._index.add_copy(self, adapter)

    def _add_slot(self, slot: AdapterSlot) -> None:
        self.adapter_slots[slot.adapter] = slot
        self._index.add(self, slot.adapter)

    def _remove_slot(self, adapter: Adapter) -> None:
        del self.adapter_slots[adapter]
        self._index.remove(self, adapter)

    # State and capacity

    @property
    def id(self) -> str:
        """Return the upstream's id."""
        return self.upstream.id

    @property
    def batch(self) -> int:
        """Return the number of requests that it runs concurrently; 0 if unknown."""
        return self.inflight.batch.size

    @batch.setter
    def batch(self, size: int) -> None:
        self.inflight.batch.resize(size)

    @property
    def batch_share(self) -> float:
        """Return the share of its batch in use; above 1 if requests wait there."""
        return self.inflight.batch.share_in_use(len(self.inflight))

    @property
    def state_known(self) -> bool:
        """Return whether the contents of its slots are known for certain."""
        return self.order_count is not None and self.unresolved_order is None

    @property
    def free_slots(self) -> int:
        """Return the number of empty slots."""
        return self.capacity - len(self.adapter_slots)

    @property
    def used_slot_share(self) -> float:
        """Return the share of its slots that are in use; 0 if it has no slots."""
        return len(self.adapter_slots) / self.capacity if self.capacity else 0.0

    @property
    def loading_count(self) -> int:
        """Return the number of adapters that are being loaded."""
        return sum(
            slot.state is SlotState.LOADING for slot in self.adapter_slots.values()
        )

    @property
    def has_pending_changes(self) -> bool:
        """Return whether a load or unload is in progress."""
        return any(
            slot.state is not SlotState.SERVING for slot in self.adapter_slots.values()
        )

    def accepts_orders(self, now: timedelta) -> bool:
        """Return whether it accepts orders, at the latest once one in flight ends."""
        if not self.state_known or self.loading_model is not None:
            return False
        return self.report_due_at is None and now >= self.paused_until

    def can_order(self, now: timedelta) -> bool:
        """Return whether an order may be sent to it now."""
        return (
            self.accepts_orders(now)
            and self.order_in_flight is None
            and not self.report_in_flight
        )

    def served_adapters(self) -> dict[Adapter, int]:
        """Return the versions of what it serves; the version of base models is 0."""
        served = {Adapter(model): 0 for model in self.models}
        for slot in self.adapter_slots.values():
            if slot.state is SlotState.SERVING:
                served[slot.adapter] = slot.version
        return served

    def serves(self, adapter: Adapter, oldest_version: int) -> bool:
        """Return whether it serves an adapter in that version or a newer one."""
        if not adapter.name:
            return adapter.model in self.models
        slot = self.adapter_slots.get(adapter)
        if slot is None or slot.state is not SlotState.SERVING:
            return False
        return slot.version >= oldest_version

    def is_loading(self, adapter: Adapter, oldest_version: int, now: timedelta) -> bool:
        """Return whether it is loading an adapter and the load is not long overdue."""
        order = self.order_in_flight
        if order is not None and order.kind is OrderKind.LOAD:
            if order.adapter == adapter:
                return True
        slot = self.adapter_slots.get(adapter)
        if slot is None or slot.state is not SlotState.LOADING:
            return False
        overdue = now > slot.since + self.cold_load_time * 4 + LOAD_OVERDUE_MARGIN
        return slot.version >= oldest_version and not overdue

    def touch(self, adapter: Adapter, now: timedelta) -> None:
        """Record that an adapter was just used."""
        slot = self.adapter_slots.get(adapter)
        if slot is not None:
            slot.used_at = now

    def has_copy(self, adapter: Adapter, version: int) -> bool:
        """Return whether it keeps a copy, from which a load is fast."""
        return self.copies.get(adapter, -1) >= version

    def expected_load_time(self, adapter: Adapter, version: int) -> timedelta:
        """Return how long a load is expected to take."""
        warm = self.has_copy(adapter, version)
        return self.warm_load_time if warm else self.cold_load_time

    def assume_serving(self, served: dict[Adapter, int], now: timedelta) -> None:
        """Assume the state that the previous leader published, until it reports.

        Requests for what it serves need not wait for its report; orders do.
        """
        for adapter, version in served.items():
            if adapter.name:
                slot = AdapterSlot(adapter, version, SlotState.SERVING, now, now)
                slot.used_at = now
                self._add_slot(slot)

    def reserve(self, tokens: int, requests: int) -> None:
        """Record that queued requests wait for an adapter that is being loaded here."""
        self.reserved_tokens += tokens
        self.reserved_requests += requests

    def reserve_permits(self, adapter: Adapter, requests: int) -> None:
        """Record that requests for an adapter that it serves wait for permits."""
        self.reserved_requests += requests
        self.adapters_awaiting_permits.add(adapter)

    def clear_reservations(self) -> None:
        """Reset the counts of requests that wait for loads and permits here."""
        self.reserved_tokens = 0
        self.reserved_requests = 0
        self.adapters_awaiting_permits.clear()

    # Orders

    def begin_order(self, order: Order, now: timedelta) -> None:
        """Record that an order is about to be sent."""
        self.order_in_flight = order
        self.order_sent_at = now

    def order_answered(self, answer: OrderAnswer, now: timedelta) -> EngineUpdate:
        """Apply the answer to the order in flight."""
        order, self.order_in_flight = self.order_in_flight, None
        assert order is not None
        unresolved, self.unresolved_order = self.unresolved_order, None
        if answer is OrderAnswer.UNKNOWN:
            self.unresolved_order = order
            return EngineUpdate()
        if answer is OrderAnswer.NOT_SENT:
            self.unresolved_order = unresolved
            self.paused_until = now + RETRY_PAUSE
            return EngineUpdate()
        if answer is OrderAnswer.CONFLICT and self._polls_model(order):
            return self._model_poll_refused(order, now)
        if answer is OrderAnswer.FENCED:
            # Another instance has sent it orders meanwhile: fetch its current state.
            return self._order_refused(order, OrderAnswer.REFUSED, now)
        if answer in (OrderAnswer.CONFLICT, OrderAnswer.REFUSED):
            return self._order_refused(order, answer, now)
        if not order.adapter.name:
            return self._model_answered(order, answer, now)
        if order.kind is OrderKind.LOAD:
            return self._load_answered(order, answer, now)
        return self._unload_answered(order, answer, now)

    def _polls_model(self, order: Order) -> bool:
        """Return whether an order polls a base model's load that was accepted."""
        return not order.adapter.name and self.loading_model is not None

    def _model_poll_refused(self, order: Order, now: timedelta) -> EngineUpdate:
        """Take a load as going on, and have a report confirm that from time to time.

        The engine refuses a poll while the load goes on, but also if the order count
        is wrong.
        """
        if now - self.model_checked_at >= MODEL_CHECK_INTERVAL:
            self.report_due_at = now
        return self._model_answered(order, OrderAnswer.ACCEPTED, now)

    def _order_refused(
        self, order: Order, answer: OrderAnswer, now: timedelta
    ) -> EngineUpdate:
        """Schedule the fetch of a report: the known state was wrong."""
        self.order_count = None
        self.report_due_at = now + REPORT_DELAY
        if answer is OrderAnswer.REFUSED:
            self.paused_until = now + RETRY_PAUSE
        slot = self.adapter_slots.get(order.adapter)
        if slot is not None and slot.state is SlotState.UNLOADING:
            slot.state = SlotState.SERVING
            return EngineUpdate(serving_changed=True)
        return EngineUpdate()

    def _model_answered(
        self, order: Order, answer: OrderAnswer, now: timedelta
    ) -> EngineUpdate:
        model = order.adapter.model
        if self.loading_model is None:
            self.order_count = order.expected + 1
            cold = model not in self.model_copies
            self.loading_model = AdapterSlot(
                order.adapter, 0, SlotState.LOADING, now, now, cold
            )
            self.model_checked_at = now
        if answer is OrderAnswer.ACCEPTED:
            self.loading_model.poll_at = now + MODEL_POLL_INTERVAL
            return EngineUpdate()
        loading, self.loading_model = self.loading_model, None
        self.models.add(model)
        self.model_copies.add(model)
        duration = now - loading.since
        return EngineUpdate(order.adapter, duration, loading.cold, serving_changed=True)

    def _load_answered(
        self, order: Order, answer: OrderAnswer, now: timedelta
    ) -> EngineUpdate:
        slot = self.adapter_slots.get(order.adapter)
        version = order.version if order.version is not None else 1
        if slot is None or slot.state is not SlotState.LOADING:
            slot = self._add_loading_slot(order, version, now)
            assert self.order_count is not None
            self.order_count = order.expected + 1
        if answer is OrderAnswer.ACCEPTED:
            slot.poll_at = max(slot.poll_at, now + LOAD_POLL_INTERVAL)
            return EngineUpdate()
        return self._finish_load(slot, now)

    def _add_loading_slot(
        self, order: Order, version: int, now: timedelta
    ) -> AdapterSlot:
        cold = not self.has_copy(order.adapter, version)
        first_poll = (
            self.expected_load_time(order.adapter, version) * FIRST_POLL_FRACTION
        )
        slot = AdapterSlot(
            order.adapter,
            version,
            SlotState.LOADING,
            now,
            now + first_poll,
            cold,
            used_at=now,
        )
        self._add_slot(slot)
        return slot

    def _finish_load(self, slot: AdapterSlot, now: timedelta) -> EngineUpdate:
        duration = now - slot.since
        slot.state = SlotState.SERVING
        slot.used_at = now
        self._update_load_time(duration, slot.cold)
        self._record_copy(slot.adapter, slot.version)
        return EngineUpdate(slot.adapter, duration, slot.cold, serving_changed=True)

    def _update_load_time(self, duration: timedelta, cold: bool) -> None:
        duration = min(duration, MAX_LOAD_TIME)
        if cold:
            self.cold_load_time += (duration - self.cold_load_time) * SMOOTHING
        else:
            self.warm_load_time += (duration - self.warm_load_time) * SMOOTHING

    def _record_copy(self, adapter: Adapter, version: int) -> None:
        self.copies[adapter] = version
        self.copies.move_to_end(adapter)
        self._index.add_copy(self, adapter)
        while len(self.copies) > MAX_COPIES:
            evicted, _ = self.copies.popitem(last=False)
            self._index.remove_copy(self, evicted)

    def _unload_answered(
        self, order: Order, answer: OrderAnswer, now: timedelta
    ) -> EngineUpdate:
        slot = self.adapter_slots.get(order.adapter)
        if slot is None:
            self.report_due_at = now + REPORT_DELAY
            return EngineUpdate()
        if not slot.unload_accepted:
            # The engine counts only the first of several identical orders.
            slot.unload_accepted = True
            self.order_count = order.expected + 1
        if answer is OrderAnswer.ACCEPTED:
            # The engine waits for requests that still use the adapter.
            slot.poll_at = now + UNLOAD_POLL_INTERVAL
            return EngineUpdate()
        self._remove_slot(order.adapter)
        self._record_copy(slot.adapter, slot.version)
        return EngineUpdate()

    def begin_unload(self, adapter: Adapter) -> bool:
        """Mark a slot as being unloaded; return whether it was serving."""
        slot = self.adapter_slots[adapter]
        was_serving = slot.state is SlotState.SERVING
        slot.state = SlotState.UNLOADING
        return was_serving

    # Reports

    def request_report(self, now: timedelta) -> None:
        """Schedule the fetch of a report: another leader may have sent it orders."""
        if self.report_due_at is None:
            self.report_due_at = now + REPORT_DELAY

    def is_report_due(self, now: timedelta) -> bool:
        """Return whether a report of what it holds should be fetched now."""
        if (
            self.report_in_flight
            or self.order_in_flight is not None
            or self.report_due_at is None
        ):
            return False
        return now >= max(self.report_due_at, self.paused_until)

    def apply_report(self, report: EngineReport | None, now: timedelta) -> EngineUpdate:
        """Apply the engine's report of what it holds; None if it did not answer."""
        self.report_in_flight = False
        if report is None:
            self.report_due_at = now + RETRY_PAUSE
            return EngineUpdate()
        if (
            report.born
            and self._process_started_at
            and report.born != self._process_started_at
        ):
            self._clear_copies()
        self._process_started_at = report.born or self._process_started_at
        self.report_due_at = None
        self.unresolved_order = None
        self.order_count = report.order_count
        self.models = set(report.models)
        self.model_copies = set(report.model_copies) | self.models
        self._apply_reported_load(report, now)
        previous = dict(self.adapter_slots)
        for adapter in previous:
            self._remove_slot(adapter)
        for adapter, version in report.adapters.items():
            self._restore_slot(previous, adapter, version, SlotState.SERVING, now)
        for adapter, version in report.loading.items():
            self._restore_slot(previous, adapter, version, SlotState.LOADING, now)
        return EngineUpdate(serving_changed=True)

    def _apply_reported_load(self, report: EngineReport, now: timedelta) -> None:
        """Update whether a base model is being loaded.

        The report does not say which model. An order is only sent again once no other
        is under way, so that the engine does not load two.
        """
        is_loading = report.busy and not report.models
        self.is_busy = is_loading and self.loading_model is None
        if not is_loading:
            self.loading_model = None
        elif self.is_busy:
            self.report_due_at = now + REPORT_DELAY
        else:
            self.model_checked_at = now

    def _clear_copies(self) -> None:
        """Forget its copies: they were lost when the engine restarted."""
        for adapter in self.copies:
            self._index.remove_copy(self, adapter)
        self.copies.clear()

    def _restore_slot(
        self,
        previous: dict[Adapter, AdapterSlot],
        adapter: Adapter,
        version: int,
        state: SlotState,
        now: timedelta,
    ) -> None:
        """Add a reported slot; keep when its adapter was last used, if known."""
        before = previous.get(adapter)
        slot = AdapterSlot(adapter, version, state, now, now, used_at=now)
        if before is not None:
            slot.used_at = before.used_at
        self._add_slot(slot)
        if state is SlotState.SERVING:
            self._record_copy(adapter, version)

"""The adapter slots of one engine, as its home knows them.

The rules that keep the promises stand here: a slot is unloaded only when
nothing runs on it, and a slot whose last order was not answered is *unknown*
until the engine has been read back. A timeout is not evidence that nothing
happened; the retention of unknown work follows the OrbitKV transport paper
(`docs/design/orders.md`).
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from .types import AdapterVersion


class SlotState(StrEnum):
    """State of one slot that is not empty."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Slot:
    """One occupied slot.

    Parameters
    ----------
    running : int
        Requests that this home has sent and that have not ended.
    foreign : int
        Requests that the engine runs beyond those, as last read back.
    draining : bool
        True while the slot is to become free for another adapter: what runs
        goes on, nothing more is sent.
    """

    adapter: AdapterVersion
    state: SlotState
    since: timedelta
    last_used: timedelta
    running: int = 0
    foreign: int = 0
    order: int = 0
    draining: bool = False


@dataclass(slots=True)
class SlotTable:
    """The slots of one engine by adapter version."""

    capacity: int
    by_adapter: dict[AdapterVersion, Slot] = field(default_factory=dict)

    @property
    def free(self) -> int:
        """Return how many slots hold nothing, not even an unknown result."""
        return self.capacity - len(self.by_adapter)

    def resident(self, adapter: AdapterVersion | None) -> bool:
        """Return whether work for an adapter can be sent now."""
        if adapter is None:
            return True
        slot = self.by_adapter.get(adapter)
        if slot is None or slot.draining:
            return False
        return slot.state is SlotState.RESIDENT

    def evictable(self) -> list[Slot]:
        """Return the slots that may be unloaded."""
        return [
            slot
            for slot in self.by_adapter.values()
            if slot.state is SlotState.RESIDENT
            and slot.running == 0
            and slot.foreign == 0
        ]

    def begin(
        self, adapter: AdapterVersion, state: SlotState, order: int, now: timedelta
    ) -> None:
        """Note that a load or an unload has been ordered."""
        slot = self.by_adapter.get(adapter)
        if slot is None:
            slot = Slot(adapter, state, now, now)
            self.by_adapter[adapter] = slot
        slot.state = state
        slot.since = now
        slot.order = order

    def settle(
        self, adapter: AdapterVersion, state: SlotState | None, now: timedelta
    ) -> None:
        """Note what is known after an order: a state, or None for empty."""
        if state is None:
            self.by_adapter.pop(adapter, None)
            return
        slot = self.by_adapter.get(adapter)
        if slot is None:
            slot = Slot(adapter, state, now, now)
            self.by_adapter[adapter] = slot
        slot.state = state
        slot.since = now

    def started(self, adapter: AdapterVersion | None, now: timedelta) -> None:
        """Note that a request has been sent."""
        slot = self.by_adapter.get(adapter) if adapter else None
        if slot is None:
            return
        slot.running += 1
        slot.last_used = now

    def ended(self, adapter: AdapterVersion | None, now: timedelta) -> None:
        """Note that a request has ended."""
        slot = self.by_adapter.get(adapter) if adapter else None
        if slot is None:
            return
        slot.running = max(0, slot.running - 1)
        slot.last_used = now

    def read_back(
        self,
        running_by_adapter: dict[AdapterVersion, int],
        loading: set[AdapterVersion],
        asked_at: timedelta,
        now: timedelta,
    ) -> None:
        """Take in what the engine says it holds.

        A slot with an order that was sent after the read began keeps its
        state: the answer may be older than the order.
        """
        for adapter, running in running_by_adapter.items():
            slot = self.by_adapter.get(adapter)
            if slot is None:
                self.by_adapter[adapter] = Slot(
                    adapter, SlotState.RESIDENT, now, now, 0, running
                )
                continue
            slot.foreign = max(0, running - slot.running)
            if slot.state is SlotState.UNKNOWN and slot.since <= asked_at:
                slot.state = SlotState.RESIDENT
                slot.since = now
        for adapter in loading:
            if adapter not in self.by_adapter:
                self.by_adapter[adapter] = Slot(adapter, SlotState.UNKNOWN, now, now)
        for adapter in list(self.by_adapter):
            slot = self.by_adapter[adapter]
            if adapter in running_by_adapter or adapter in loading:
                continue
            if slot.state in (SlotState.UNKNOWN, SlotState.RESIDENT):
                if slot.since <= asked_at:
                    del self.by_adapter[adapter]

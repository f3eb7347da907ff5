"""What a model worker holds and how it takes orders, on a clock; no sockets."""

from dataclasses import dataclass, field

MOST_COMING = 4


@dataclass
class EngineState:
    """One life of a worker.

    Attributes
    ----------
    refuses_polls : bool
        Whether an order for the model that is being loaded is refused, as one for any
        other model is.
    fallen : str
        Why it fell, if it was ordered beyond what it can hold.
    """

    id: str
    models: set[str] = field(default_factory=set)
    places: int = 6
    cold_s: float = 0.25
    warm_s: float = 0.025
    model_s: float = 0.6
    sequence: int = 0
    adapters: dict[str, int] = field(default_factory=dict)
    coming: dict[str, tuple[int, float]] = field(default_factory=dict)
    going: set[str] = field(default_factory=set)
    copies: dict[str, int] = field(default_factory=dict)
    users: dict[str, int] = field(default_factory=dict)
    newest: dict[str, int] = field(default_factory=dict)
    model_coming: tuple[str, float] | None = None
    refuses_polls: bool = False
    cold_loads: int = 0
    fallen: str = ""

    def settle(self, now: float) -> None:
        """Finish what has ended by `now`."""
        for name, (version, at) in list(self.coming.items()):
            if at <= now:
                del self.coming[name]
                self.adapters[name] = self.copies[name] = version
        if self.model_coming is not None and self.model_coming[1] <= now:
            self.models.add(self.model_coming[0])
            self.model_coming = None
        for name in list(self.going):
            if not self.users.get(name):
                self.going.discard(name)
                self.adapters.pop(name, None)

    def order(
        self,
        now: float,
        operation: str,
        model: str,
        adapter: str = "",
        expected: int | None = None,
        version: int | None = None,
    ) -> int:
        """Take an order; return the status of its answer."""
        self.settle(now)
        if expected is not None and expected != self.sequence:
            return 409
        if not adapter:
            return self._order_model(now, operation, model)
        if model not in self.models:
            return 400
        if operation == "unload":
            return self._unload(adapter)
        return self._load(now, adapter, version or self.newest.get(adapter, 1))

    def _order_model(self, now: float, operation: str, model: str) -> int:
        if model in self.models:
            return 200
        if self.model_coming is not None:
            is_same = self.model_coming[0] == model
            return 202 if is_same and not self.refuses_polls else 409
        self.sequence += 1
        self.model_coming = (model, now + self.model_s)
        return 202

    def _load(self, now: float, adapter: str, version: int) -> int:
        if self.model_coming is not None:
            return 409
        if self.adapters.get(adapter) == version and adapter not in self.going:
            return 200
        if adapter in self.coming:
            return 202
        if len(self.coming) >= MOST_COMING:
            return 409
        held = set(self.adapters) | set(self.coming) | {adapter}
        if len(held) > self.places:
            self.fallen = f"{adapter} is one adapter too many"
            return 202
        self.sequence += 1
        warm = self.copies.get(adapter) == version
        self.cold_loads += not warm
        self.coming[adapter] = (version, now + (self.warm_s if warm else self.cold_s))
        return 202

    def _unload(self, adapter: str) -> int:
        if adapter in self.going:
            return 202
        if adapter not in self.adapters:
            return 200
        self.sequence += 1
        if self.users.get(adapter):
            self.going.add(adapter)
            return 202
        del self.adapters[adapter]
        return 200

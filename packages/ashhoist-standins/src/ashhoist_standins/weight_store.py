"""Stand-in of the weight store: what it serves at once shares its speed."""

import json
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from werkzeug.wrappers import Request, Response

from ashhoist.clock import ZERO, Clock, SystemClock
from ashhoist.web import json_response

from ._server import StandInServer

Key = tuple[str, int]
Ended = Callable[[], None]
NOTHING_LEFT = 1e-9


@dataclass(slots=True)
class _Sending:
    ended: Ended
    left: float = 1.0


@dataclass(slots=True)
class WeightStoreModel:
    """A store that sends `loads_per_second` adapters a second in all.

    One transfer at a time runs at full speed; several share the speed.

    Attributes
    ----------
    slowdown : float
        1.0 is the usual speed; 2.0 is half of it.
    down : bool
        True lets nothing progress.
    most_at_once : int
        Most transfers that were ever under way together.
    """

    loads_per_second: float = 2.0
    slowdown: float = 1.0
    down: bool = False
    now: timedelta = ZERO
    sending_by_key: dict[Key, _Sending] = field(default_factory=dict)
    most_at_once: int = 0
    started: int = 0

    def begin(self, key: Key, ended: Ended) -> None:
        """Begin to send an adapter; `ended` is among what `advance` returns."""
        self.sending_by_key[key] = _Sending(ended)
        self.started += 1
        self.most_at_once = max(self.most_at_once, len(self.sending_by_key))

    def stop(self, key: Key) -> None:
        """Give up on a transfer."""
        self.sending_by_key.pop(key, None)

    def next_at(self) -> timedelta | None:
        """Return when the next transfer ends, if nothing changes."""
        speed = self._speed()
        if speed == 0.0:
            return None
        least = min(sending.left for sending in self.sending_by_key.values())
        # Rounded up to the clock's unit, so that at that time it has ended.
        return self.now + timedelta(seconds=max(0.0, least) / speed, microseconds=1)

    def advance(self, now: timedelta) -> list[Ended]:
        """Go on to `now`; return what is to be called for transfers that ended."""
        ended: list[Ended] = []
        while self.now < now:
            due = self.next_at()
            until = now if due is None else min(now, due)
            sent = self._speed() * (until - self.now).total_seconds()
            self.now = until
            for key, sending in list(self.sending_by_key.items()):
                sending.left -= sent
                if sending.left <= NOTHING_LEFT:
                    del self.sending_by_key[key]
                    ended.append(sending.ended)
        return ended

    def _speed(self) -> float:
        """Return the speed of each transfer, in adapters a second."""
        if self.down or not self.sending_by_key:
            return 0.0
        return self.loads_per_second / self.slowdown / len(self.sending_by_key)


class WeightStoreServer(StandInServer):
    """A store in real time, shared by the engines of one region.

    ``POST /control/store`` sets ``slowdown`` and ``down``.
    """

    def __init__(
        self,
        model: WeightStoreModel | None = None,
        address: str = "127.0.0.1:0",
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address)
        self.model = model or WeightStoreModel()
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._begun = threading.Event()
        self._closing = False
        self._ended: list[Ended] = []
        self.model.now = self._clock.monotonic()
        self._runner = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to answer and to send."""
        super().start()
        self._runner.start()

    def close(self) -> None:
        """Stop."""
        self._closing = True
        self._begun.set()
        super().close()

    def begin(self, key: Key, ended: Ended) -> None:
        """Begin to send an adapter; `ended` is called on the store's thread."""
        with self._lock:
            self._ended.extend(self.model.advance(self._clock.monotonic()))
            self.model.begin(key, ended)
        self._begun.set()

    def stop(self, key: Key) -> None:
        """Give up on a transfer."""
        with self._lock:
            self.model.stop(key)

    def _run(self) -> None:
        while not self._closing:
            with self._lock:
                self._ended.extend(self.model.advance(self._clock.monotonic()))
                ended, self._ended = self._ended, []
                due = self.model.next_at()
                wait = None
                if due is not None:
                    wait = (due - self.model.now).total_seconds()
            for call in ended:
                call()
            if not ended:
                self._begun.wait(wait)
                self._begun.clear()

    def respond(self, request: Request) -> Response:
        """Answer one request."""
        if request.path != "/control/store":
            return json_response({"error": "not_found"}, 404)
        body = json.loads(request.get_data())
        with self._lock:
            self._ended.extend(self.model.advance(self._clock.monotonic()))
            self.model.slowdown = body.get("slowdown", self.model.slowdown)
            self.model.down = body.get("down", self.model.down)
        self._begun.set()
        return json_response({})

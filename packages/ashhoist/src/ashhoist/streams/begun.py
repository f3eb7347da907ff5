"""The streams that have begun lately, and at which software version."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock

MAX_STREAMS = 65_536
"""About 20 MB; beyond that the oldest is forgotten first."""


@dataclass(frozen=True, slots=True)
class BegunStream:
    """One stream.

    Parameters
    ----------
    recorded_at : timedelta
        When it was recorded at this instance.
    is_own : bool
        Whether its last part that is known began at this instance.
    """

    id: str
    service: str
    software_version: str
    recorded_at: timedelta
    is_own: bool


class BegunStreams:
    """Streams by the id of the request that brought their first event.

    Parameters
    ----------
    lifetime : callable
        Returns for how long a stream may go on after it began.
    """

    def __init__(self, lifetime: Callable[[], timedelta], clock: Clock) -> None:
        self._lifetime = lifetime
        self._clock = clock
        self._by_id: dict[str, BegunStream] = {}

    def put(
        self, stream_id: str, service: str, software_version: str, is_own: bool
    ) -> BegunStream:
        """Record a stream, in place of one with the same id."""
        now = self._clock.monotonic()
        stream = BegunStream(stream_id, service, software_version, now, is_own)
        self._by_id.pop(stream_id, None)
        self._by_id[stream_id] = stream
        self._remove_old(now)
        return stream

    def find(self, stream_id: str) -> BegunStream | None:
        """Return a stream, or None if it is not known."""
        return self._by_id.get(stream_id)

    def all(self) -> list[BegunStream]:
        """Return all streams that may still go on."""
        self._remove_old(self._clock.monotonic())
        return list(self._by_id.values())

    def own(self, service: str) -> list[BegunStream]:
        """Return the streams of a service that have begun at this instance."""
        self._remove_old(self._clock.monotonic())
        return [
            stream
            for stream in self._by_id.values()
            if stream.is_own and stream.service == service
        ]

    def _remove_old(self, now: timedelta) -> None:
        """Remove streams that have ended by now; they are in order of their times."""
        lifetime = self._lifetime()
        while self._by_id:
            oldest = next(iter(self._by_id.values()))
            is_old = now - oldest.recorded_at > lifetime
            if not is_old and len(self._by_id) <= MAX_STREAMS:
                return
            del self._by_id[oldest.id]

    def __len__(self) -> int:
        return len(self._by_id)

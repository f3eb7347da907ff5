"""One task that polls the instance list."""

import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from .. import bridge
from ..clock import Clock
from ..logs import Logger
from ..tasks import Task, handles
from ..transfers import Transfer, TransferEnd, WholeSink
from ..types import Endpoint

POLL_EVERY = timedelta(seconds=1)
POLL_TIMEOUT = timedelta(seconds=3)


class _Polled:
    """The answer to one poll."""

    def __init__(self, end: TransferEnd, headers: dict[str, str], body: bytes) -> None:
        self.end = end
        self.etag = headers.get("etag", "")
        self.body = body


class InstanceListTask(Task):
    """Polls the list; an unchanged list costs a few bytes (ETag)."""

    def __init__(
        self,
        log: Logger,
        address: str,
        transfers: Task,
        send: Callable[[Any], None],
        clock: Clock,
    ) -> None:
        super().__init__("instance-list", log, POLL_EVERY)
        self._address = address
        self._transfers = transfers
        self._send = send
        self._clock = clock
        self._polling = False
        self._polled_at: timedelta | None = None
        self._etag = ""
        self._reachable = True

    def tick(self) -> None:
        """Poll when it is time."""
        now = self._clock.monotonic()
        if self._polling:
            return
        if self._polled_at is not None and now - self._polled_at < POLL_EVERY:
            return
        self._polling = True
        self._polled_at = now
        headers = {"If-None-Match": self._etag} if self._etag else {}
        self._transfers.send(
            Transfer(
                "instance-list",
                "GET",
                f"{self._address}/v1/instances",
                WholeSink(lambda *answer: self.send(_Polled(*answer))),
                headers,
                timeout=POLL_TIMEOUT,
            )
        )

    @handles(_Polled)
    def _answered(self, polled: _Polled) -> None:
        self._polling = False
        if polled.end.ok and polled.end.status == 304:
            self._note_reachable(True)
            return
        endpoints = _endpoints(polled.body) if polled.end.status == 200 else None
        self._note_reachable(endpoints is not None)
        if endpoints is None:
            return
        self._etag = polled.etag
        self._send(bridge.Listed(endpoints))

    def _note_reachable(self, reachable: bool) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            self.log.info("instance list answers again")
        else:
            self.log.warning("instance list does not answer")


def _endpoints(body: bytes) -> list[Endpoint] | None:
    try:
        return [
            Endpoint(
                str(item["name"]),
                str(item["availability_zone"]),
                str(item["region"]),
                str(item["address"]),
                item["state"] == "leaving",
                str(item["kind"]),
            )
            for item in json.loads(body)["instances"]
        ]
    except (ValueError, KeyError, TypeError):
        return None

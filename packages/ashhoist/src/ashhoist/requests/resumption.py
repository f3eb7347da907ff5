"""Streams that callers take up after a failure, and the version that they go on at."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..failures import Reason
from ..http import Request
from ..logs import Logger
from ..loop import Steps
from ..metrics import Metrics
from ..placement.messages import Refusal
from ..streams import (
    FoundVersion,
    StreamBegan,
    VersionLookup,
    VersionLookupTimedOut,
    VersionSource,
)
from ..upstreams import Directory
from .call import Call
from .elapsed import elapsed_ms, milliseconds
from .header_names import HeaderNames
from .results import CallerLeft
from .waiting import CallerWatch, wait_for

MAX_REQUEST_ID_LENGTH = 128
LOOKUP_TIMEOUT = timedelta(milliseconds=150)
"""How long other instances have to say at which version a stream began. This covers
several round trips between zones and is short compared with a stream's target latency.
"""


class Resumptions:
    """Finds out at which software version a stream may go on.

    Parameters
    ----------
    send : callable
        Sends messages to the control task.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        directory: Directory,
        send: Callable[[Any], None],
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> None:
        self._last_event_header = header_names.last_event_id.lower()
        self._directory = directory
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._last_number = 0

    def stream_begins(self, call: Call) -> None:
        """Record that the first event of an upstream is about to be forwarded."""
        if not call.software_version:
            call.software_version = call.last_software_version
        if not call.route.resumable or not _is_valid_id(call.stream_id):
            return
        began = StreamBegan(call.stream_id, call.service, call.software_version)
        self._send(began)

    def is_due(self, call: Call) -> bool:
        """Return whether a call continues a stream whose version is not known yet."""
        if call.software_version or not call.has_begun_stream:
            return False
        upstreams = self._directory.view.by_id.values()
        return any(
            one.software_version for one in upstreams if one.service == call.service
        )

    def resolve(
        self, call: Call, caller: CallerWatch
    ) -> Steps[Refusal | CallerLeft | None]:
        """Find the software version of a call's stream; return None once it is known.

        The call then goes to the service that the stream began at.
        """
        began = self._clock.monotonic()
        services = [part.service for part in call.route.services]
        only_service = call.service if len(services) == 1 else ""
        self._last_number += 1
        lookup = VersionLookup(self._last_number, call.stream_id, only_service)
        self._send(lookup)
        until = min(began + LOOKUP_TIMEOUT, call.deadline)
        try:
            caller_left = yield from wait_for(lookup.answer, until, caller, self._clock)
        finally:
            if not lookup.answer.done():
                self._send(VersionLookupTimedOut(lookup.number))
        if caller_left is not None:
            return caller_left
        found = lookup.answer.result()
        self._record(call, found, began)
        if found.source is VersionSource.UNKNOWN:
            return Refusal(Reason.STREAM_VERSION_UNKNOWN)
        if found.service not in services:
            return Refusal(Reason.NO_UPSTREAM_OF_VERSION)
        call.service = found.service
        call.software_version = found.software_version
        return None

    def _record(self, call: Call, found: FoundVersion, began: timedelta) -> None:
        self._metrics.count("resumed_streams", found.source)
        self._log.info(
            "stream taken up",
            request=call.id,
            resumes=call.resumes,
            last_event=call.request.value(self._last_event_header),
            service=found.service,
            software_version=found.software_version,
            known_by=found.source,
            age_ms=milliseconds(found.age),
            lookup_ms=elapsed_ms(began, self._clock.monotonic()),
        )


def resumed_requests(request: Request, header: str) -> frozenset[str]:
    """Return the ids of the requests whose stream a request takes up.

    Parameters
    ----------
    header : str
        The name of the header that names them, in lower case.
    """
    named = {value.strip() for name, value in request.headers if name.lower() == header}
    return frozenset(named - {""})


def named_request(resumed: frozenset[str]) -> str:
    """Return the id of the request whose stream is taken up.

    Empty if several are named, or one that is too long: then it is not known which.
    """
    if len(resumed) != 1:
        return ""
    [found] = resumed
    return found if _is_valid_id(found) else ""


def _is_valid_id(request_id: str) -> bool:
    """Return whether a request id can name a stream: it is neither empty nor long."""
    return 0 < len(request_id) <= MAX_REQUEST_ID_LENGTH

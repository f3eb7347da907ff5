"""Notices between instances about requests during which upstreams crashed.

They complement the crash records on the log: those are written in batches, and the log
may be unavailable. Without notices, an instance that starts or is newly linked in the
meantime would send the request to one more upstream.
"""

from collections.abc import Callable
from typing import Any

from ..quarantine import Crash, Quarantine
from . import messages
from .hubs import Hubs
from .peers import Peers

MAX_REQUESTS_PER_GREETING = 4096
"""Requests, interrupted at this instance, that are sent to a newly linked instance:
about 100 kB. During a long outage of the log with partitioned zones, sending all of
them would take many times as much."""


class CrashNotices:
    """Sends crashes that are not on the log yet to other instances, and receives them.

    Parameters
    ----------
    own : str
        This instance's name.
    send : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        own: str,
        quarantine: Quarantine,
        peers: Peers,
        hubs: Hubs,
        send: Callable[[str, Any], None],
    ) -> None:
        self._own = own
        self._quarantine = quarantine
        self._peers = peers
        self._hubs = hubs
        self._send = send

    def notify_quarantined(self, requests: list[str]) -> None:
        """Send all linked instances the crashes behind quarantined requests.

        Other instances may not have read the crash records from the log yet.
        """
        if not requests:
            return
        self._notify(self._peers.linked(), self._quarantine.crashes_of(requests))

    def greet(self, peer: str) -> None:
        """Send a newly linked instance the crashes that are not on the log.

        These are the crashes seen here, and those that quarantine a request, wherever
        they were seen. If all crashes seen anywhere were relayed, the volume would grow
        with the number of instances.
        """
        held = self._quarantine.crashes_of(self._quarantine.held_unwritten())
        self._notify([peer], [*held, *self._seen_here()])

    def _seen_here(self) -> list[Crash]:
        """Return unwritten crashes seen here, up to `MAX_REQUESTS_PER_GREETING`."""
        crashes: list[Crash] = []
        requests = 0
        for crash in self._quarantine.unwritten(self._own):
            requests += len(crash.requests)
            if requests > MAX_REQUESTS_PER_GREETING:
                break
            crashes.append(crash)
        return crashes

    def notices_received(self, peer: str, message: messages.CrashNotice) -> None:
        """Record another instance's crashes.

        A hub relays to its members those that quarantine a further request.
        """
        crashes = [
            Crash(incarnation, instance, frozenset(requests))
            for incarnation, instance, requests in message.rows
        ]
        held_before = self._quarantine.held
        for crash in crashes:
            self._quarantine.add_unwritten(crash)
        newly_held = self._quarantine.held - held_before
        relayed = self._quarantine.crashes_of(sorted(newly_held))
        self._notify(self._hubs.members_except(peer), relayed)

    def _notify(self, receivers: list[str], crashes: list[Crash]) -> None:
        if not crashes:
            return
        rows = [
            [crash.incarnation, crash.instance, sorted(crash.requests)]
            for crash in crashes
        ]
        for receiver in receivers:
            self._send(receiver, messages.CrashNotice(rows))

"""Callers that use an instance until its process is gone, and note each request."""

import itertools
import select
import threading
import time
from random import Random

from .drawn_requests import CHUNKED, Drawn, draw_request
from .request_caller import Caller
from .request_ledger import End, Sent, is_reset

RESPONSE_TIMEOUT_S = 40.0
"""Far beyond the time in which an instance responds, so that none is missed."""
ID = "x-attempt-id"
RECONNECT_PAUSE_S = 0.02
NEW_CONNECTION_SHARE = 0.15
"""Of requests on a connection of their own."""
PAUSES_S = (0.0, 0.0, 0.02, 0.1, 0.5)

_connection_numbers = itertools.count()


class LedgerCaller(threading.Thread):
    """One caller: kept connections one after the other, one request at a time.

    Attributes
    ----------
    is_gone : threading.Event
        Set once the process of the instance is gone.
    error : str
        Why it ended early; its requests say nothing then.
    """

    def __init__(
        self,
        name: str,
        instance: str,
        address: str,
        source: Random,
        is_gone: threading.Event,
        deadline_ms: int,
    ) -> None:
        super().__init__(name=name, daemon=True)
        self.sent: list[Sent] = []
        self.is_gone = is_gone
        self.error = ""
        self._deadline_ms = deadline_ms
        self._instance = instance
        self._address = address
        self._source = source
        self._looks = source.random() < 0.5
        """Whether it reads what has come before it sends the rest of a request, and
        whether its connection has ended before it sends the next one."""
        self._caller: Caller | None = None
        self._number = 0
        self._on_connection: list[Sent] = []
        self._kept_s = 0
        self._unresolved: list[tuple[Sent, Caller]] = []

    def run(self) -> None:
        try:
            self._run()
        except Exception as error:
            self.error = f"{self.name}: {error!r}"

    def _run(self) -> None:
        while not self.is_gone.is_set():
            if not self._connect():
                time.sleep(RECONNECT_PAUSE_S)
                continue
            self._ask()
            time.sleep(self._source.choice(PAUSES_S))
        self._disconnect()

    def resolve(self) -> None:
        """Note which connections were reset; call once the process is gone."""
        for sent, caller in self._unresolved:
            sent.was_reset = is_reset(caller.socket)
            caller.close()

    def _connect(self) -> bool:
        if self._caller is not None and self._looks and self._has_input(0.0):
            self._disconnect()
        if self._caller is not None:
            return True
        try:
            self._caller = Caller(self._address)
        except OSError:
            return False
        self._caller.socket.settimeout(RESPONSE_TIMEOUT_S)
        self._connection = next(_connection_numbers)
        self._on_connection = []
        return True

    def _disconnect(self) -> None:
        if self._caller is not None:
            self._caller.close()
        self._caller = None

    def _has_input(self, seconds: float) -> bool:
        """Return whether something has come, or does before long."""
        assert self._caller is not None
        return bool(select.select([self._caller.socket], [], [], seconds)[0])

    def _ask(self) -> None:
        assert self._caller is not None
        closes = self._source.random() < NEW_CONNECTION_SHARE
        self._number += 1
        id = f"{self.name}-{self._number}"
        drawn = draw_request(self._source, id, closes, self._deadline_ms)
        began = time.monotonic()
        sent = Sent(id, self._instance, self._connection, drawn.kind, drawn.path, began)
        self._follow(sent)
        self.sent.append(sent)
        self._exchange(self._caller, drawn, sent)
        sent.took_s = time.monotonic() - began

    def _follow(self, sent: Sent) -> None:
        """Note what the request before on the connection means for this one."""
        sent.number = len(self._on_connection)
        if self._on_connection:
            before = self._on_connection[-1]
            sent.kept_until = before.began + self._kept_s
            is_refused = before.end is End.REFUSAL
            sent.follows_refused_chunks = is_refused and before.kind == CHUNKED
        self._on_connection.append(sent)

    def _exchange(self, caller: Caller, drawn: Drawn, sent: Sent) -> None:
        """Send a request and receive its response."""
        early = False
        try:
            for index, piece in enumerate(drawn.pieces):
                if index and self._pause(drawn.lateness_s) and not early:
                    early = True
                    if not self._receive(caller, sent):
                        return
                caller.socket.sendall(piece)
            sent.is_whole = True
        except OSError:
            # The response may have come before the connection broke.
            pass
        if early or self._receive(caller, sent):
            return

    def _pause(self, seconds: float) -> bool:
        """Wait before the next piece; return whether a response has come."""
        if self._looks:
            return self._has_input(seconds)
        time.sleep(seconds)
        return False

    def _receive(self, caller: Caller, sent: Sent) -> bool:
        """Receive the response; return whether the connection is kept after it."""
        answer = caller.receive_raw()
        sent.status = answer.status
        sent.answered_id = answer.headers.get(ID, "")
        sent.complete = answer.complete
        is_kept = answer.complete and answer.headers.get("connection") != "close"
        if is_kept:
            self._kept_s = _stated_seconds(answer.headers.get("keep-alive", ""))
            return True
        self._caller = None
        if answer.complete:
            caller.close()
            return False
        # Whether it is reset is certain only once the process is gone.
        self._unresolved.append((sent, caller))
        return False


def _stated_seconds(keep_alive: str) -> int:
    return int(keep_alive.removeprefix("timeout=") or 0)

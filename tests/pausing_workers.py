"""Stand-ins that send nothing on any connection for a while, and then go on."""

import threading
import time

from .platform_stand_ins.server import Call
from .platform_stand_ins.store import StoreServer
from .platform_stand_ins.worker import PlainWorker, sealed

STREAM_EVENTS = 12
EVENT_S = 0.05
WORK_S = 0.1


def plain_event(number: int) -> bytes:
    return f"id: {number}\ndata: event-{number}\n\n".encode()


class PausingWorker(PlainWorker):
    """A plain worker; its responses are sent in several parts.

    Attributes
    ----------
    sends : threading.Event
        While it is clear, nothing is sent, also in the middle of a response.
    """

    def __init__(self, id: str) -> None:
        self.sends = threading.Event()
        self.sends.set()
        super().__init__(id, slots=96)

    def _run(self, call: Call) -> None:
        self.ran.append(call)
        if "/stream/" in call.target:
            self._stream(call)
            return
        body = f"{self.id} {call.target}".encode()
        time.sleep(WORK_S)
        self.sends.wait()
        lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in sealed(call, self.id).items()]
        call.raw("\r\n".join([*lines, "", ""]).encode() + body[:4])
        time.sleep(WORK_S)
        self.sends.wait()
        call.raw(body[4:])

    def _stream(self, call: Call) -> None:
        self.sends.wait()
        call.start_stream(sealed(call, self.id))
        for number in range(1, STREAM_EVENTS + 1):
            self.sends.wait()
            call.chunk(plain_event(number))
            time.sleep(EVENT_S)
        self.sends.wait()
        call.end_stream()

    def close(self) -> None:
        super().close()
        # Threads that wait to send end, as their connections are closed.
        self.sends.set()


class PausingStore(StoreServer):
    """A store.

    Attributes
    ----------
    sends : threading.Event
        While it is clear, calls are accepted, and none is done or answered.
    """

    def __init__(self) -> None:
        self.sends = threading.Event()
        self.sends.set()
        super().__init__()

    def _handle(self, call: Call) -> None:
        self.sends.wait()
        super()._handle(call)

    def _respond(self, call: Call, status: int, body: bytes = b"") -> None:
        self.sends.wait()
        super()._respond(call, status, body)

    def close(self) -> None:
        super().close()
        self.sends.set()

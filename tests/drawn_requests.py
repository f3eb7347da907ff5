"""Requests drawn by a seed: the bytes of each, in the pieces in which they are sent."""

from dataclasses import dataclass
from random import Random

from .test_platform import HOST, MODEL

ADAPTERS = 3
"""Fewer than an engine has places, so that no request waits for one."""
LONG_BODY_BYTES = (20_000, 60_000)
"""Longer than one read of a connection."""
MAX_LATENESS_S = 0.3
KEYS = ("key-1",) * 8 + ("key-unknown", "")
FLIPPED_ROUTES = 6
FLIPPED_STREAM_ROUTES = 2
STREAM_PATHS = (
    "/review/",
    *(f"/flip-stream-{n}/" for n in range(FLIPPED_STREAM_ROUTES)),
)
PLAIN_PATHS = ("/lobby/", "/safe/", *(f"/flip-{n}/" for n in range(FLIPPED_ROUTES)))
PATHS = (*PLAIN_PATHS, *PLAIN_PATHS, *STREAM_PATHS, *STREAM_PATHS, "/never/")
"""Many of the routes are in force only at times; the last one never is."""
GET, SHORT, LONG, LATE, CHUNKED = "GET", "short", "long", "late", "chunked"
KINDS = (GET, GET, SHORT, SHORT, LONG, LATE, LATE, LATE, CHUNKED)


@dataclass(frozen=True)
class Drawn:
    """One request.

    Parameters
    ----------
    pieces : tuple of bytes
        Sent one after the other.
    lateness_s : float
        The pause between two pieces.
    closes : bool
        Whether it asks for the connection to be closed after it.
    """

    kind: str
    path: str
    pieces: tuple[bytes, ...]
    lateness_s: float = 0.0
    closes: bool = False


def draw_request(source: Random, id: str, closes: bool, deadline_ms: int) -> Drawn:
    """Return the next request of a caller."""
    kind = source.choice(KINDS)
    path = source.choice(PATHS)
    lines = _head_lines(source, path, id, deadline_ms)
    if closes:
        lines.append("Connection: close")
    if kind == GET:
        return Drawn(kind, path, (_head("GET", path, lines),), closes=closes)
    if kind == CHUNKED:
        pieces = _chunked(source, path, lines)
        return Drawn(kind, path, pieces, _lateness(source) / 2, closes)
    body = _body(source, kind)
    head = _head("POST", path, [*lines, f"Content-Length: {len(body)}"])
    if kind != LATE:
        return Drawn(kind, path, (head + body,), closes=closes)
    half = len(body) // 2
    pieces = (head + body[:half], body[half:])
    return Drawn(kind, path, pieces, _lateness(source), closes)


def _head_lines(source: Random, path: str, id: str, deadline_ms: int) -> list[str]:
    lines = [f"Host: {HOST}", f"X-Attempt-Id: {id}", f"X-Deadline-Ms: {deadline_ms}"]
    key = source.choice(KEYS)
    if key:
        lines.append(f"X-Credential: {key}")
    if path in STREAM_PATHS:
        adapter = source.randrange(ADAPTERS) + 1
        lines += [f"X-Model: {MODEL}/a{adapter}", "X-Token-Count: 100,10"]
    return lines


def _head(method: str, path: str, lines: list[str]) -> bytes:
    return "\r\n".join([f"{method} {path}x HTTP/1.1", *lines, "", ""]).encode()


def _body(source: Random, kind: str) -> bytes:
    if kind == SHORT or (kind == LATE and source.random() < 0.3):
        return b"b" * source.randint(1, 200)
    return b"b" * source.randint(*LONG_BODY_BYTES)


def _chunked(source: Random, path: str, lines: list[str]) -> tuple[bytes, ...]:
    pieces = [_head("POST", path, [*lines, "Transfer-Encoding: chunked"])]
    for _ in range(source.randint(1, 3)):
        data = b"c" * source.randint(1, 20_000)
        pieces.append(f"{len(data):x}\r\n".encode() + data + b"\r\n")
    pieces[-1] += b"0\r\n\r\n"
    if source.random() < 0.5:
        return (b"".join(pieces),)
    return tuple(pieces)


def _lateness(source: Random) -> float:
    return source.choice((0.0, 0.02, source.uniform(0.0, MAX_LATENESS_S)))

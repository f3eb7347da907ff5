"""What callers sent, how each request ended, and whether an instance's log agrees.

A connection that ends without a response says whether its request was read: the
operating system resets it if bytes were left unread, also when the process ends.
"""

import json
import socket
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

ENDED = "requests: request ended"
REFUSED = "requests: request refused"
DISCARDED = "requests: bytes discarded"
TCP_STATE_CLOSED = 7
"""The first byte of `TCP_INFO` once a connection was reset. One that the other side
closed in order stays in another state until this side closes as well."""
NOT_PARSED_STATUSES = frozenset({408, 431})
"""Refusals of requests that are too slow, or whose head is too large. Neither the
response nor its log line has the request's id if its head was not read."""
STOPPING = "stopping"
"""The reason of requests that are broken off at the limit of a planned stop."""
MALFORMED_STATUS = 400
FIRST_FAILURE_STATUS = 400

Line = dict[str, Any]


class End(StrEnum):
    """How a request ended for its caller."""

    ANSWER = "answer"
    REFUSAL = "refusal"
    NOT_WHOLE = "not whole"
    UNREAD = "unread"
    UNANSWERED = "read, and neither answer nor refusal"
    CUT = "answer without its end"


@dataclass
class Sent:
    """A request, and what its caller received for it.

    Attributes
    ----------
    instance : str
        The process that it was sent to.
    connection : int
        Number of the connection.
    is_whole : bool
        Whether its last byte was sent before its caller had read that the connection
        is closed.
    status : int
        0 without a response.
    answered_id : str
        The id that the response states.
    complete : bool
        Whether the response came to its end.
    was_reset : bool
        Whether its connection ended with bytes that the instance had not read.
    kept_until : float
        Until when its connection is kept at least, by the response before. Counted from
        when the caller sent the request before, as it cannot know when the instance
        responded.
    follows_refused_chunks : bool
        Whether the request before had a body of no stated length and was refused. The
        instance may give it up, and its connection with it.
    """

    id: str
    instance: str
    connection: int
    kind: str
    path: str
    began: float
    number: int = 0
    is_whole: bool = False
    status: int = 0
    answered_id: str = ""
    complete: bool = False
    was_reset: bool = False
    kept_until: float = 0.0
    follows_refused_chunks: bool = False
    took_s: float = 0.0

    @property
    def end(self) -> End:
        """Return how it ended."""
        if self.complete:
            is_failure = self.status >= FIRST_FAILURE_STATUS
            return End.REFUSAL if is_failure else End.ANSWER
        if self.status:
            return End.CUT
        if not self.is_whole:
            return End.NOT_WHOLE
        return End.UNREAD if self.was_reset else End.UNANSWERED


def is_reset(peer: socket.socket) -> bool:
    """Return whether a connection was reset; certain once the other process is gone."""
    return peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == (
        TCP_STATE_CLOSED
    )


@dataclass
class InstanceLog:
    """The lines about requests that one instance wrote."""

    lines_by_id: dict[str, list[Line]] = field(
        default_factory=lambda: defaultdict(list)
    )
    without_id: list[Line] = field(default_factory=list)
    discarded: list[Line] = field(default_factory=list)
    stopped: Line | None = None

    @classmethod
    def parse(cls, text: str) -> "InstanceLog":
        """Return the lines of a log in JSON."""
        log = cls()
        for line in text.splitlines():
            if line.startswith("{"):
                log._add(json.loads(line))
        return log

    def _add(self, line: Line) -> None:
        event = line["event"]
        if event == DISCARDED:
            self.discarded.append(line)
        elif event == "process: stopped":
            self.stopped = line
        elif event in (ENDED, REFUSED):
            id = line.get("request")
            if id:
                self.lines_by_id[id].append(line)
            else:
                self.without_id.append(line)


@dataclass
class Ledger:
    """All requests of a play, and the logs of its instances.

    Attributes
    ----------
    stopping_at : dict of str to float
        When each instance was told to stop.
    allows_cuts_at_limit : bool
        Whether streams may be broken off at the limit of a planned stop, as logged.
    """

    sent: list[Sent] = field(default_factory=list)
    logs: dict[str, InstanceLog] = field(default_factory=dict)
    stopping_at: dict[str, float] = field(default_factory=dict)
    allows_cuts_at_limit: bool = False

    def ends(self) -> Counter[End]:
        """Return how many requests ended in which way."""
        return Counter(one.end for one in self.sent)

    def faults(self) -> list[str]:
        """Return what must not be, in the order in which the requests were sent."""
        found = [text for one in self.sent for text in self._faults_of(one)]
        for name, log in self.logs.items():
            found += [f"{name}: {text}" for text in self._faults_of_log(name, log)]
        return found

    def _faults_of(self, one: Sent) -> Iterable[str]:
        lines = self.logs[one.instance].lines_by_id.get(one.id, [])
        if self.allows_cuts_at_limit and _is_cut_at_limit(one, lines):
            return
        for text in _ends_without_response(one, lines):
            yield f"{text}: {one}, log: {lines}"
        if one.end is End.UNREAD and self._must_be_read(one):
            yield f"the connection was closed within the time that was stated: {one}"
        if one.end in (End.ANSWER, End.REFUSAL):
            for text in _ends_with_response(one, lines):
                yield f"{text}: {one}, log: {lines}"

    def _must_be_read(self, one: Sent) -> bool:
        """Return whether its connection was to be kept until after its end."""
        if one.follows_refused_chunks:
            return False
        ended = one.began + one.took_s
        return ended < min(one.kept_until, self.stopping_at[one.instance])

    def _faults_of_log(self, name: str, log: InstanceLog) -> Iterable[str]:
        sent = [one for one in self.sent if one.instance == name]
        unknown = set(log.lines_by_id) - {one.id for one in sent}
        for id in sorted(unknown):
            yield f"line of a request that nobody sent: {log.lines_by_id[id]}"
        unstated = [line for line in log.discarded if not line["stated_close"]]
        for line in unstated:
            yield f"discarded on a connection that was said to be kept: {line}"
        refused = [one for one in sent if one.status in NOT_PARSED_STATUSES]
        not_parsed = [one for one in refused if one.id not in log.lines_by_id]
        if len(not_parsed) > len(log.without_id):
            yield f"{len(not_parsed)} requests not parsed, lines: {log.without_id}"


def _is_cut_at_limit(one: Sent, lines: list[Line]) -> bool:
    if one.end is not End.CUT or not lines:
        return False
    return bool(lines[-1]["reason"] == STOPPING)


def _ends_without_response(one: Sent, lines: list[Line]) -> Iterable[str]:
    if one.end in (End.UNANSWERED, End.CUT):
        yield f"{one.end}, {'logged' if lines else 'no log line'}"
    if one.end is End.UNREAD and lines:
        yield "the instance has read the head, and its caller got no response"


def _ends_with_response(one: Sent, lines: list[Line]) -> Iterable[str]:
    if one.status == MALFORMED_STATUS:
        yield "a proper request was taken to be malformed"
    is_parsed = one.status not in NOT_PARSED_STATUSES
    if one.answered_id != one.id and (is_parsed or one.answered_id):
        yield "response to another request"
    if not is_parsed:
        return
    if not lines:
        yield "no log line"
    ended = [line for line in lines if line["event"] == ENDED]
    if ended and ended[-1]["status"] != one.status:
        yield "the log line has another status"

"""A load tool: skewed requests of several kinds of callers, and what came back."""

import json
import random
import threading
import time
from bisect import bisect
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import accumulate

from ashhoist.exceptions import ConnectError
from ashhoist_cli import Client

ZIPF_EXPONENT = 1.1


@dataclass(frozen=True, slots=True)
class Asked:
    """One request to make."""

    model: str
    priority: str
    tokens: int
    stream: bool


@dataclass(slots=True)
class Result:
    """What came back for one request."""

    asked: Asked
    seconds: float
    outcome: str
    reason: str = ""
    problem: str = ""
    request_id: str = ""


@dataclass(slots=True)
class Results:
    """All results, guarded by a lock as many threads add to them."""

    items: list[Result] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, result: Result) -> None:
        """Add one result."""
        with self.lock:
            self.items.append(result)

    def outcomes(self) -> Counter[str]:
        """Return how often each outcome came."""
        return Counter(item.outcome for item in self.items)

    def reasons(self) -> Counter[str]:
        """Return how often each reason came with an outcome other than whole."""
        return Counter(item.reason for item in self.items if item.reason)

    def problems(self) -> list[str]:
        """Return what was wrong with answers that claimed to be whole."""
        return [item.problem for item in self.items if item.problem]


class Popularity:
    """Zipf popularity of adapters in an order that can be shuffled.

    Parameters
    ----------
    names : list of str
        The adapters.
    source : random.Random
        Seeded.
    """

    def __init__(
        self,
        names: list[str],
        source: random.Random,
        exponent: float = ZIPF_EXPONENT,
    ) -> None:
        self._random = source
        self._names = list(names)
        weights = [1 / (rank + 1) ** exponent for rank in range(len(names))]
        self._sums = list(accumulate(weights))
        self.shift()

    def shift(self) -> None:
        """Make other adapters the popular ones."""
        self._random.shuffle(self._names)

    def heat(self, name: str) -> None:
        """Make one adapter the most popular."""
        self._names.remove(name)
        self._names.insert(0, name)

    def draw(self) -> str:
        """Return an adapter, by popularity."""
        return self._names[bisect(self._sums, self._random.random() * self._sums[-1])]


def run_one(client: Client, asked: Asked) -> Result:
    """Make one request and check the answer to the last token."""
    body = {
        "model": asked.model,
        "prompt": f"game of {asked.model}",
        "max_tokens": asked.tokens,
        "stream": asked.stream,
    }
    headers = {"X-Ashhoist-Priority": asked.priority, "X-Ashhoist-Timeout": "20s"}
    started = time.monotonic()
    try:
        status, found, text = _ask(client, body, headers, asked.stream)
    except ConnectError as error:
        return Result(asked, time.monotonic() - started, "unknown", str(error))
    seconds = time.monotonic() - started
    if status != 200 or b"event: error" in text:
        problem = _problem(text)
        outcome = problem.get("outcome", "unknown")
        reason = problem.get("reason", str(status))
        request_id = found.get("x-ashhoist-request-id", "")
        return Result(asked, seconds, outcome, reason, "", request_id)
    problem_text = check_answer(asked, found, text)
    return Result(asked, seconds, "whole", "", problem_text)


def _ask(
    client: Client, body: dict[str, object], headers: dict[str, str], stream: bool
) -> tuple[int, dict[str, str], bytes]:
    path = "/v1/completions"
    if not stream:
        answer = client.request("POST", path, body, headers)
        return answer.status, answer.headers, answer.body
    parts = []
    status, found = 0, {}
    for part, data in client.stream("POST", path, body, headers):
        status, found = part.status, part.headers
        parts.append(data)
    return status, found, b"".join(parts)


def _problem(text: bytes) -> dict[str, str]:
    data = text.rpartition(b"data: ")[2] if b"event: error" in text else text
    try:
        return json.loads(data)
    except ValueError:
        return {}


def check_answer(asked: Asked, headers: dict[str, str], text: bytes) -> str:
    """Return what is wrong with a whole answer of a stand-in engine, if anything.

    Each token of a stand-in names its adapter, request and index.
    """
    adapter = headers.get("x-ashhoist-adapter", "")
    request_id = headers.get("x-ashhoist-request-id", "")
    if adapter.split("@")[0] != asked.model.split("@")[0]:
        return f"asked {asked.model}, served by {adapter}"
    if asked.stream:
        if not text.endswith(b"data: [DONE]\n\n"):
            return "the stream has no end"
        events = text.split(b"\n\n")[:-2]
        words = "".join(
            json.loads(event.split(b"data: ")[1])["choices"][0]["text"]
            for event in events
        )
    else:
        words = json.loads(text)["choices"][0]["text"]
    expected = [f"{adapter}#{request_id}#{index}" for index in range(asked.tokens)]
    return "" if words.split() == expected else f"wrong tokens for {request_id}"


@dataclass(slots=True)
class Load:
    """Requests at a steady rate from a pool of threads.

    Parameters
    ----------
    rate : float
        Requests a second.
    draw : callable
        Returns the next request to make.
    clients : callable
        Returns a client to make it with, such as a balancer would.
    """

    rate: float
    draw: Callable[[], Asked]
    client: Callable[[], Client]
    threads: int = 200
    results: Results = field(default_factory=Results)

    def run(self, seconds: float) -> None:
        """Make requests for so long, then wait for all answers."""
        with ThreadPoolExecutor(self.threads) as pool:
            started = time.monotonic()
            for number in range(int(seconds * self.rate)):
                wait = started + number / self.rate - time.monotonic()
                if wait > 0:
                    time.sleep(wait)
                pool.submit(self._one, self.client(), self.draw())

    def _one(self, client: Client, asked: Asked) -> None:
        self.results.add(run_one(client, asked))

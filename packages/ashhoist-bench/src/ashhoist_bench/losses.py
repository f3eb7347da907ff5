"""Where a day lost its requests: from the logs of all instances to a table by cause.

    python -m ashhoist_bench.losses day.log --plot losses.png

Each line of the log holds seconds, the name of an instance and its log line as JSON.
Lines of other forms are passed over. What is lost is told in requests: 1 for one
without a whole answer, `LATE` for one that came after its aim. Requests of processes
that were killed have no line; callers know of them, instances don't.
"""

import argparse
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LINE = re.compile(r"^\s*(-?[\d.]+) (\S+) (\{.*)")
ENDED = "requests: request ended"
LATE = 0.7
"""Of a request that was answered late: a late answer is worth a third or less."""
LONG_WAIT_MS = 150
"""A load from the weight store takes longer, one from a copy does not."""
SLOW_SHARE = 0.5
"""Of the aim: an engine that takes longer than this to begin has made it late."""
WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class Ended:
    """One request as its instance has seen it end; times in milliseconds."""

    at_s: float
    instance: str
    route: str
    adapter: str
    reason: str
    sends: int
    waited_ms: float
    first_ms: float | None
    sent_ms: float | None
    took_ms: float
    aim_ms: float

    @property
    def late(self) -> bool:
        """Return whether its first event, or its answer, came after its aim."""
        first = self.first_ms if self.first_ms is not None else self.took_ms
        return first > self.aim_ms

    @property
    def lost(self) -> float:
        """Return how much of a request was lost; 0 if it was in time."""
        if self.reason != "whole":
            return 1.0
        return LATE if self.late else 0.0

    @property
    def cause(self) -> str:
        """Return why it was lost."""
        if self.reason != "whole":
            return self.reason
        if self.sends > 1:
            return "late: sent again"
        if self.waited_ms >= LONG_WAIT_MS and self.waited_ms >= self._engine_ms:
            return "late: load stall"
        if self._engine_ms >= self.aim_ms * SLOW_SHARE:
            return "late: engine"
        if self.waited_ms >= LONG_WAIT_MS:
            return "late: load stall and engine"
        return "late: on the way"

    @property
    def _engine_ms(self) -> float:
        first = self.first_ms if self.first_ms is not None else self.took_ms
        return first - (self.sent_ms or 0.0)


def ended_requests(lines: Iterable[str]) -> Iterator[Ended]:
    """Return the requests in the lines of a log."""
    decoder = json.JSONDecoder()
    for line in lines:
        match = LINE.match(line)
        if match is None or ENDED not in line:
            continue
        try:
            fields, _ = decoder.raw_decode(match[3])
        except ValueError:
            # Two processes' lines run into each other where one was killed.
            continue
        if fields.get("event") == ENDED:
            yield _ended(float(match[1]), match[2], fields)


def _ended(at_s: float, instance: str, fields: dict[str, Any]) -> Ended:
    return Ended(
        at_s,
        instance,
        fields["route"],
        fields["adapter"],
        fields["reason"],
        fields["sends"],
        fields["waited_ms"],
        fields["first_ms"],
        fields["sent_ms"],
        fields["took_ms"],
        fields["aim_ms"],
    )


def _print_table(requests: list[Ended]) -> None:
    lost: dict[tuple[str, str], float] = defaultdict(float)
    count: Counter[tuple[str, str]] = Counter()
    for request in requests:
        kind = "engine" if request.adapter else "plain"
        if request.lost:
            lost[kind, request.cause] += request.lost
            count[kind, request.cause] += 1
    total = max(len(requests), 1)
    print(f"{len(requests)} requests, {sum(lost.values()) / total:.3f} of them lost")
    print(f"{'service':8} {'cause':30} {'requests':>8} {'lost':>8} {'share':>7}")
    for kind, cause in sorted(lost, key=lambda key: -lost[key]):
        amount = lost[kind, cause]
        requests_lost = count[kind, cause]
        share = amount / total
        print(f"{kind:8} {cause:30} {requests_lost:8} {amount:8.1f} {share:7.4f}")


def _print_windows(requests: list[Ended], most: int) -> None:
    """Print the windows that lost most, each with its causes."""
    by_window: dict[int, list[Ended]] = defaultdict(list)
    for request in requests:
        by_window[int(request.at_s // WINDOW_S)].append(request)
    worst = sorted(by_window, key=lambda window: -_lost(by_window[window]))[:most]
    print(f"\n{'from s':>7} {'requests':>8} {'lost':>7}  causes")
    for window in sorted(worst):
        found = by_window[window]
        causes: Counter[str] = Counter()
        for request in found:
            if request.lost:
                causes[request.cause] += 1
        shown = ", ".join(f"{cause} {n}" for cause, n in causes.most_common(5))
        print(f"{window * WINDOW_S:7.0f} {len(found):8} {_lost(found):7.1f}  {shown}")


def _lost(requests: list[Ended]) -> float:
    return sum(request.lost for request in requests)


def _plot(requests: list[Ended], path: Path) -> None:
    """Draw what each window lost, by cause."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    causes = Counter(request.cause for request in requests if request.lost)
    windows = sorted({int(request.at_s // WINDOW_S) for request in requests})
    lost: dict[tuple[int, str], float] = defaultdict(float)
    for request in requests:
        lost[int(request.at_s // WINDOW_S), request.cause] += request.lost
    figure, axes = pyplot.subplots(figsize=(12, 5))
    bottom = [0.0] * len(windows)
    for cause, _ in causes.most_common(10):
        heights = [lost[window, cause] for window in windows]
        starts = [window * WINDOW_S for window in windows]
        axes.bar(starts, heights, WINDOW_S * 0.9, bottom=bottom, label=cause)
        bottom = [low + high for low, high in zip(bottom, heights, strict=True)]
    axes.set_xlabel("seconds of traffic")
    axes.set_ylabel("requests lost")
    axes.legend(fontsize="small")
    figure.savefig(path)


def main() -> None:
    """Read a log and print where requests were lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=Path)
    parser.add_argument("--windows", type=int, default=8, help="worst windows shown")
    parser.add_argument("--plot", type=Path, help="also draw them into this file")
    arguments = parser.parse_args()
    with arguments.log.open(errors="replace") as lines:
        requests = list(ended_requests(lines))
    _print_table(requests)
    _print_windows(requests, arguments.windows)
    if arguments.plot is not None:
        _plot(requests, arguments.plot)


if __name__ == "__main__":
    main()

"""``make bench-decisions``: policies side by side, as a table, CSV and a plot."""

import argparse
import csv
import random
import statistics
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import matplotlib
from hdrh.histogram import HdrHistogram

from ashhoist.clock import ManualClock
from ashhoist.home import Home, HomeSettings
from ashhoist.policies import PolicyOptions, RouteRequest, UpstreamView, create
from ashhoist.residency import Residency
from ashhoist.types import AdapterVersion, Job, Priority

from .ablations import ABLATIONS
from .decisions import DecisionBench, Figures, figures
from .workloads import (
    LETTER_SLICE,
    ROSTER,
    TABLERO,
    Deployment,
    Workload,
    workloads_by_name,
)

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

DEPLOYMENTS = {shape.name: shape for shape in (TABLERO, ROSTER, LETTER_SLICE)}
COLUMNS = (
    "stall_p50",
    "stall_p95",
    "stall_p99",
    "stalled_share",
    "batch",
    "arbiter_p95",
    "answered",
    "goodput",
    "loads",
)
COST_SIZES = ((3000, 13), (20_000, 130), (80_000, 610))
COST_ROUNDS = 2000
BOUND = "bound"


@dataclass(frozen=True, slots=True)
class Case:
    """One cell of the table."""

    deployment: str
    workload: str
    policy: str


def make_workload(case: Case, seconds: float, seed: int) -> Workload:
    """Return the workload of a case at a seed."""
    deployment = DEPLOYMENTS[case.deployment]
    source = random.Random(f"{case.workload} {seed}")
    return workloads_by_name[case.workload](deployment, source, seconds)


def run_case(case: Case, seconds: float, seed: int) -> Figures:
    """Run one case at one seed."""
    deployment = DEPLOYMENTS[case.deployment]
    options = PolicyOptions(deployment.stall_weight)
    policy = create(case.policy, options)
    workload = make_workload(case, seconds, seed)
    return figures(DecisionBench(deployment, workload, policy, seed).run())


def least_loads(deployment: Deployment, workload: Workload) -> int:
    """Return a lower bound on loads: Belady's choice with all slots as one cache.

    It knows the future and takes a load to be instant.
    """
    asked = [arrival.adapter for arrival in workload.arrivals]
    following: dict[int, int] = {}
    next_use = [0] * len(asked)
    for index in range(len(asked) - 1, -1, -1):
        next_use[index] = following.get(asked[index], len(asked))
        following[asked[index]] = index
    capacity = deployment.engines * deployment.slots
    cache: dict[int, int] = {}
    loads = 0
    for index, adapter in enumerate(asked):
        if adapter not in cache:
            loads += 1
            if len(cache) >= capacity:
                del cache[max(cache, key=cache.__getitem__)]
        cache[adapter] = next_use[index]
    return loads


def median(results: Iterable[Figures], column: str) -> float:
    """Return the median of a column."""
    return statistics.median(getattr(result, column) for result in results)


def spread(results: Iterable[Figures], column: str) -> tuple[float, float]:
    """Return the range of a column."""
    values = [getattr(result, column) for result in results]
    return min(values), max(values)


def histogram(results: Iterable[Figures]) -> HdrHistogram:
    """Return the stalls' p95 over seeds in an HDR histogram, in milliseconds."""
    found = HdrHistogram(1, 60_000, 3)
    for result in results:
        found.record_value(max(1, int(result.stall_p95 * 1000)))
    return found


def print_row(case: Case, results: list[Figures]) -> None:
    """Print one line of the table: medians, and the range of the p95."""
    low, high = spread(results, "stall_p95")
    refusals: Counter[str] = sum((item.refusals for item in results), Counter())
    print(
        f"{case.deployment:13}{case.workload:15}{case.policy:20}"
        f"{median(results, 'stall_p50'):6.2f}"
        f"{median(results, 'stall_p95'):7.2f} [{low:5.2f}-{high:5.2f}]"
        f"{median(results, 'stall_p99'):7.2f}"
        f"{median(results, 'stalled_share'):8.1%}"
        f"{median(results, 'batch'):7.1%}"
        f"{median(results, 'arbiter_p95'):7.2f}"
        f"{median(results, 'answered'):8.1%}"
        f"{median(results, 'goodput'):7.0f}"
        f"{median(results, 'loads'):6.0f}  {dict(sorted(refusals.items()))}",
        flush=True,
    )


HEADER = (
    f"{'deployment':13}{'workload':15}{'policy':20}{'p50':>6}{'stall p95':>21}"
    f"{'p99':>7}{'stalled':>8}{'batch':>7}{'arb95':>7}{'whole':>8}{'tok/s':>7}"
    f"{'loads':>6}  refusals"
)


def run_all(cases: list[Case], seconds: float, seeds: int) -> dict[Case, list[Figures]]:
    """Run all cases at all seeds, printing as it goes."""
    results: dict[Case, list[Figures]] = {}
    print(HEADER)
    for case in cases:
        found = [run_case(case, seconds, seed) for seed in range(seeds)]
        results[case] = found
        print_row(case, found)
        if case.policy == "weighted":
            deployment = DEPLOYMENTS[case.deployment]
            bounds = [
                least_loads(deployment, make_workload(case, seconds, seed))
                for seed in range(seeds)
            ]
            bound = statistics.median(bounds)
            print(
                f"{case.deployment:13}{case.workload:15}{BOUND:20}least loads {bound}"
            )
    return results


def write_csv(results: dict[Case, list[Figures]], path: Path) -> None:
    """Write all figures of all seeds."""
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["deployment", "workload", "policy", "seed", *COLUMNS])
        for case, found in results.items():
            for seed, result in enumerate(found):
                values = [f"{getattr(result, column):.6f}" for column in COLUMNS]
                writer.writerow(
                    [case.deployment, case.workload, case.policy, seed, *values]
                )


def plot(results: dict[Case, list[Figures]], path: Path) -> None:
    """Draw stall p95 and batch efficiency by workload and policy."""
    deployments = list(dict.fromkeys(case.deployment for case in results))
    figure, grid = pyplot.subplots(
        len(deployments), 2, figsize=(13, 4 * len(deployments)), squeeze=False
    )
    for row, deployment in enumerate(deployments):
        own = {case: found for case, found in results.items()}
        cases = [case for case in own if case.deployment == deployment]
        for column, (name, title) in enumerate(
            (("stall_p95", "load stall p95, s"), ("batch", "batch efficiency"))
        ):
            _bars(grid[row][column], cases, results, name)
            grid[row][column].set_title(f"{deployment}: {title}")
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def _bars(
    axes: object, cases: list[Case], results: dict[Case, list[Figures]], column: str
) -> None:
    workloads = list(dict.fromkeys(case.workload for case in cases))
    policies = list(dict.fromkeys(case.policy for case in cases))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        places, heights = [], []
        for index, workload in enumerate(workloads):
            case = next(
                item
                for item in cases
                if item.workload == workload and item.policy == policy
            )
            places.append(index + number * width)
            heights.append(median(results[case], column))
        axes.bar(places, heights, width, label=policy)  # type: ignore[attr-defined]
    axes.set_xticks(range(len(workloads)), workloads, rotation=30)  # type: ignore[attr-defined]
    axes.legend()  # type: ignore[attr-defined]


# What a decision costs


def measure_cost() -> None:
    """Print what one decision costs at several sizes."""
    print(f"{'adapters':>9}{'workers':>9}{'route us':>10}{'submit us':>11}{'bytes':>8}")
    for adapters, workers in COST_SIZES:
        route, route_bytes = _route_cost(adapters, workers)
        submit = _submit_cost(adapters)
        print(f"{adapters:9}{workers:9}{route:10.1f}{submit:11.1f}{route_bytes:8.0f}")


def _route_cost(adapters: int, workers: int) -> tuple[float, float]:
    residency = Residency()
    usable = frozenset(f"e{index}" for index in range(workers))
    for name in usable:
        residency.views[name] = UpstreamView(name, "zone-0", 8, 16)
    names = [AdapterVersion(f"a{index}", "v1") for index in range(adapters)]
    source = random.Random(1)
    for index in range(workers * 8):
        residency.set(f"e{index % workers}", names[index % adapters], True)
    policy = create("weighted", PolicyOptions())
    drawn = [source.choice(names) for _ in range(COST_ROUNDS)]

    def route_all() -> None:
        for adapter in drawn:
            resident = residency.resident_views(adapter, usable)
            placements = residency.placements("base", adapter, usable)
            policy.route(RouteRequest(adapter, "zone-0", resident, placements))

    route_all()
    started = time.perf_counter()
    route_all()
    took = time.perf_counter() - started
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tracemalloc.reset_peak()
    for adapter in drawn[:1]:
        residency.placements("base", adapter, usable)
    peak = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    return took / COST_ROUNDS * 1e6, peak


def _submit_cost(adapters: int) -> float:
    clock = ManualClock()
    policy = create("weighted", PolicyOptions())
    home = Home(HomeSettings("e0", True, 8, 16), policy, clock, random.Random(1))
    for index in range(adapters):
        home.demand.add(AdapterVersion(f"a{index}", "v1"), clock.monotonic())
    jobs = [
        Job(
            f"r{index}",
            1,
            "entry",
            "e0",
            AdapterVersion(f"a{index % 64}", "v1"),
            Priority.NORMAL,
            timedelta(hours=1),
            timedelta(),
        )
        for index in range(200)
    ]
    started = time.perf_counter()
    for job in jobs:
        home.submit(job)
    took = time.perf_counter() - started
    return took / len(jobs) * 1e6


def main() -> int:
    """Run the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployments", default="tablero,roster")
    parser.add_argument("--workloads", default=",".join(workloads_by_name))
    parser.add_argument("--policies", default="naive,weighted")
    parser.add_argument("--ablations", action="store_true", help="run these too")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=240.0)
    parser.add_argument("--out", type=Path, default=Path("out"))
    parser.add_argument("--cost", action="store_true", help="only what decisions cost")
    options = parser.parse_args()
    if options.cost:
        measure_cost()
        return 0
    policies = options.policies.split(",")
    policies += ABLATIONS if options.ablations else []
    cases = [
        Case(deployment, workload, policy)
        for deployment in options.deployments.split(",")
        for workload in options.workloads.split(",")
        for policy in policies
    ]
    results = run_all(cases, options.seconds, options.seeds)
    options.out.mkdir(parents=True, exist_ok=True)
    stem = f"decisions-{options.deployments.replace(',', '-')}"
    write_csv(results, options.out / f"{stem}.csv")
    plot(results, options.out / f"{stem}.png")
    print(f"written: {options.out / stem}.csv and .png")
    return 0


if __name__ == "__main__":
    sys.exit(main())

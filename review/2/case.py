"""DRAIN: after a restart of all machines, one goes on with a worker that has left.

Three instances and twelve plain workers. All processes of the system are killed at
once and start again within 0.3 s of each other. Soon after, a worker that never says
`draining` leaves: its entry goes, and it serves on for some seconds, then it ends.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    Instance,
    PlainWorker,
    Record,
    Store,
    ask,
    now,
    plain_configuration,
    play,
    temporary_folder,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = int(os.environ.get("ROUNDS", "6"))
ZONES = ("lima-a", "lima-b", "lima-c")
WORKERS_PER_ZONE = 4
CALLS_PER_S = 20.0
"""Of unsafe calls, at each instance."""
WORK_S = 0.1
DRAIN_S, CONTACT_S, SLACK_S = 2.0, 3.0, 0.2
DOWN_S = 0.52
OTHERS_START_AFTER_S = 0.25
"""All machines start within 0.3 s of each other, in any order."""
LEAVE_AT_S = (0.06, 0.13)
"""When the workers of a round leave, after a machine has begun to answer again."""
SERVES_ON_S = 8.0
"""So long a worker serves after its entry has gone: `at times many seconds`."""


async def client(
    record: Record, instance: Instance, id: str, calls: dict[str, int]
) -> None:
    headers = {"X-Attempt-Id": id, "X-Deadline-Ms": "1000"}
    status, _, _ = await ask(
        instance.front, "POST", "play.example", f"/lobby/{id}", headers, b"call", 1.0
    )
    calls[id] = status
    record.note(f"client gets {status} for {id}")


async def traffic(record: Record, instance: Instance, calls: dict[str, int]) -> None:
    number = 0
    tasks: set[asyncio.Task[None]] = set()
    while True:
        number += 1
        id = f"{instance.name}.{number}"
        task = asyncio.create_task(client(record, instance, id, calls))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / CALLS_PER_S)


async def restart(record: Record, instances: list[Instance]) -> None:
    """Kill all processes at once and start them again, one a moment before the rest."""
    record.note("DISRUPTION herd_kill: all processes are killed at the same moment")
    for instance in instances:
        instance.send(signal.SIGKILL)
    for instance in instances:
        await instance.ended(5)
    await asyncio.sleep(DOWN_S)
    first, *others = instances
    await first.start()
    await asyncio.sleep(OTHERS_START_AFTER_S)
    for instance in others:
        await instance.start()


async def leave_and_end(
    worker: PlainWorker,
    at: float,
    record: Record,
    instances: list[Instance],
    calls: dict[str, int],
) -> tuple[int, int]:
    """Return how many requests reached a worker too late, and how many were lost."""
    await asyncio.sleep(at - now())
    left_at = worker.leave()
    await asyncio.sleep(left_at + SERVES_ON_S - now())
    counted_from = max(
        left_at + DRAIN_S,
        *(one.started_at + CONTACT_S + SLACK_S for one in instances),
    )
    late = [(ran_at, id) for ran_at, id in worker.arrived if ran_at > counted_from]
    for ran_at, id in late:
        after = ran_at - left_at
        record.note(f"TOO LATE {id} ran at {worker.id} {after:.3f} s after its entry")
    in_flight = set(worker.in_flight)
    worker.end()
    await asyncio.sleep(1.1)
    lost = [id for id in in_flight if calls.get(id) != 200]
    for id in lost:
        record.note(f"LOST {id} ran at {worker.id} as it ended: {calls.get(id)}")
    record.note(
        f"RESULT {worker.id}: {len(worker.arrived)} ran there,"
        f" {len(late)} of them too late, {len(lost)} lost at its end"
    )
    return len(late), len(lost)


async def one_round(
    number: int,
    record: Record,
    store: Store,
    instances: list[Instance],
    calls: dict[str, int],
) -> list[tuple[int, int]]:
    """Restart all machines while workers leave; return what `leave_and_end` does."""
    workers = [
        PlainWorker(record, store, f"i-leaving-{number}-{one}", ZONES[0], work_s=WORK_S)
        for one in range(len(LEAVE_AT_S))
    ]
    for worker in workers:
        await worker.start()
    await asyncio.sleep(1.2)
    restarted = asyncio.create_task(restart(record, instances)) if TROUBLE else None
    if restarted is not None:
        await asyncio.sleep(DOWN_S / 2)
    if not await instances[0].await_answer():
        return [(-1, 0)]
    started_at = now()
    found = await asyncio.gather(
        *(
            leave_and_end(worker, started_at + at, record, instances, calls)
            for worker, at in zip(workers, LEAVE_AT_S, strict=True)
        )
    )
    if restarted is not None:
        await restarted
    return found


async def main() -> int:
    record = Record(HERE / "record.txt")
    store = Store(record)
    await store.server.start()
    store.put("keyed.op", "config", plain_configuration())
    workers = [
        PlainWorker(record, store, f"i-{zone}-{number}", zone, work_s=WORK_S)
        for zone in ZONES
        for number in range(WORKERS_PER_ZONE)
    ]
    for worker in workers:
        await worker.start()
        await asyncio.sleep(1.2 / len(workers))
    folder = temporary_folder()
    instances = [
        Instance(
            record,
            Path(folder.name),
            f"front-{zone}-1",
            zone,
            "lima",
            store.server.address,
        )
        for zone in ZONES
    ]
    load: list[asyncio.Task[None]] = []
    calls: dict[str, int] = {}
    try:
        for instance in instances:
            instance.seeds = [other.control for other in instances[1:]]
            await instance.start()
        for instance in instances:
            if not await instance.await_ready():
                record.note(f"{instance.name} is not ready")
                return 2
        load = [
            asyncio.create_task(traffic(record, instance, calls))
            for instance in instances
        ]
        await asyncio.sleep(3.0)
        broken_rounds = 0
        all_late = all_lost = 0
        for number in range(1, ROUNDS + 1):
            found = await one_round(number, record, store, instances, calls)
            if (-1, 0) in found:
                return 2
            late = sum(late for late, _ in found)
            broken_rounds += late > 0
            all_late += late
            all_lost += sum(lost for _, lost in found)
        record.note(
            f"RESULT DRAIN {'broken' if all_late else 'held'}: {all_late} requests"
            f" too late in {broken_rounds} of {ROUNDS} rounds, {all_lost} lost"
        )
        return int(all_late > 0)
    finally:
        for task in load:
            task.cancel()
        for instance in instances:
            await instance.end()
        for worker in workers:
            worker.end()
        store.server.end()
        record.close()
        folder.cleanup()


if __name__ == "__main__":
    play(main)

"""Plays of whole requests beside configurations, SIGHUP and planned stops, by seeds.

    python scripts/whole_requests.py --seeds 50
    python scripts/whole_requests.py --first 7 --seeds 1 --long-streams --logs FOLDER

Prints for each play how its requests ended, and what must not be. Exits with 1 if there
was any of that.
"""

import argparse
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.ledger_play import Play, PlayOptions  # noqa: E402

LONG_STREAM_RUN_S, LONG_STREAM_EVENTS, LONG_STREAM_INTERVAL_S = 5.5, 30, 0.1
"""At the limit of a planned stop, some streams have begun and some have not."""
SHOWN_FAULTS = 10


def play_options(options: argparse.Namespace) -> PlayOptions:
    """Return how large the plays are."""
    size = PlayOptions(
        places=options.places,
        lives=options.lives,
        callers=options.callers,
        life_s=(options.shortest, options.longest),
    )
    if not options.long_streams:
        return size
    return PlayOptions(
        size.places,
        size.lives,
        size.callers,
        size.life_s,
        route_timeout_ms=20_000,
        deadline_ms=20_000,
        run_s=LONG_STREAM_RUN_S,
        events=LONG_STREAM_EVENTS,
        event_interval_s=LONG_STREAM_INTERVAL_S,
    )


def run(seed: int, options: argparse.Namespace) -> int:
    """Run one play; print and return the number of its faults."""
    play = Play(seed, play_options(options))
    play.run()
    ends = {str(end): count for end, count in play.ledger.ends().items()}
    play.ledger.allows_cuts_at_limit = options.long_streams
    faults = play.ledger.faults() + play.errors
    stops = Counter(
        "clean" if log.stopped and log.stopped["clean"] else "not clean"
        for log in play.ledger.logs.values()
    )
    sent = len(play.ledger.sent)
    print(
        f"seed {seed}: {sent} requests: {ends}; stops: {dict(stops)};"
        f" {len(faults)} faults"
    )
    for fault in faults[:SHOWN_FAULTS]:
        print(f"seed {seed}: FAULT: {fault}")
    if options.logs and faults:
        for name, text in play.texts.items():
            (options.logs / f"{seed}-{name}.log").write_text(text)
        (options.logs / f"{seed}-faults.txt").write_text("\n".join(faults))
    sys.stdout.flush()
    return len(faults)


def main() -> int:
    """Run all plays; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="number of plays")
    parser.add_argument("--first", type=int, default=1, help="seed of the first play")
    parser.add_argument("--places", type=int, default=3, help="instances at a time")
    parser.add_argument("--lives", type=int, default=4, help="instances of a place")
    parser.add_argument("--callers", type=int, default=16, help="of each instance")
    parser.add_argument("--shortest", type=float, default=0.5, help="life, in seconds")
    parser.add_argument("--longest", type=float, default=6.0, help="life, in seconds")
    parser.add_argument("--long-streams", action="store_true", help="beyond a stop")
    parser.add_argument("--logs", type=Path, help="for logs of plays with faults")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    faults = sum(run(seed, options) for seed in seeds)
    print(f"{options.seeds} plays, {faults} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())

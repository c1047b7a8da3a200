"""Simulates 1, 10 and 100 dispatchers in front of the same workers, in virtual time.

    PYTHONPATH=. .venv/bin/python benchmarks/doors.py [--processes 6]

Eight workers of the plain day run functions with a keep-alive of 30 s, at a third of the load for eight
seconds and then at the load for twenty. Each client retries at any dispatcher. `in time` and `at all` are the
shares of the retries made when Retry-After said that were answered in time, and at all.
"""

from __future__ import annotations

import json
from multiprocessing import Pool
from pathlib import Path
from typing import Any

import click
import msgspec

from benchmarks.door import jain
from martenlead.config.load import decode, evaluate
from martenlead.days.script import Day, plan
from martenlead.emulator.fleet import Fleet

CAPACITY = 350.0  # Requests per second: 25.6 cores at 73 ms each.


def simulate(job: tuple[int, float, bool, int]) -> dict[str, Any]:
    """Simulates one number of dispatchers at one load, with or without queues."""
    dispatchers, load, queues, seed = job
    path = Path(__file__).parent.parent / "days" / "plain.jsonnet"
    day_fields: dict[str, Any] = json.loads(msgspec.json.encode(decode(evaluate(path), Day, "plain")))
    rate = CAPACITY * load
    day_fields |= {"edges": dispatchers, "seconds": 28, "quota_per_s": CAPACITY * 1.3}
    day_fields["troubles"] = [{"at_s": 8, "kind": "burst", "size": 3, "for_s": 20}]
    day_fields["edge"]["queues"] = {"secret": "the same at all doors"} if queues else None
    day_fields["edge"]["models"]["keep_ms"] = 30_000
    for request_class in day_fields["offerings"]:
        request_class |= {"models": 8, "zipf": 0.5, "load_ms": 300}
    day_fields["clients"] |= {"rate_per_s": rate / 3, "honours": 0.9, "retries": 3}
    fleet = Fleet(plan(msgspec.convert(day_fields, Day), seed), records=False)
    fleet.run()
    tally = fleet.statistics
    about = tally.summary()
    return {
        "doors": dispatchers,
        "load": load,
        "queues": queues,
        "seed": seed,
        "service": round(about["service"], 3),
        "by customer": {n: round(s, 3) for n, s in about["customers"].items()},
        "Jain's index": round(jain(list(about["customers"].values())), 3),
        "worst ten seconds": round(about["worst_ten_seconds"], 3),
        "p99 ms": round(about["latency_ms"]["p99"]),
        "tries": tally.attempts,
        "came when told": tally.scheduled_retries,
        "in time": round(tally.scheduled_retries_in_time / tally.scheduled_retries, 3)
        if tally.scheduled_retries
        else None,
        "at all": round(tally.scheduled_retries_served / tally.scheduled_retries, 3)
        if tally.scheduled_retries
        else None,
    }


@click.command()
@click.option("--processes", default=6)
@click.option("--seeds", default=2)
def main(processes: int, seeds: int) -> None:
    """Print one JSON object per number of dispatchers, load, queueing and seed."""
    jobs = [
        (dispatchers, load, queues, seed)
        for dispatchers in (1, 10, 100)
        for load in (0.9, 1.5, 3.0)
        for queues in (False, True)
        for seed in range(1, seeds + 1)
    ]
    with Pool(processes) as pool:
        for result in pool.imap(simulate, jobs):
            print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()

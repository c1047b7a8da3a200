"""Measures the speed and memory of the simulator by fleet size, for one day and for parallel days.

PYTHONPATH=. .venv/bin/python benchmarks/emulator.py [--largest]
"""

from __future__ import annotations

import json
import resource
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from time import perf_counter
from typing import Any

import click
import msgspec

from martenlead.config.load import decode, evaluate
from martenlead.days.script import Day
from martenlead.emulator.job import Job, run_job

SIZES = [(10, 2, 20), (100, 20, 20), (320, 50, 20)]
LARGEST = (1000, 200, 20)


def simulate(job: tuple[int, int, int, int]) -> dict[str, Any]:
    """Simulates one day of a fleet and returns its speed and memory."""
    workers, edges, seconds, seed = job
    path = Path(__file__).parent.parent / "days" / "lasting.jsonnet"
    day = decode(evaluate(path), Day, "lasting")
    replace = msgspec.structs.replace
    rate = 10 * workers
    day = replace(
        day,
        seconds=seconds,
        edges=edges,
        runners=replace(day.runners, count=workers),
        clients=replace(day.clients, rate_per_s=rate),
        quota_per_s=1.4 * rate,
    )
    outcome, fleet = run_job(Job(script="lasting", day=day, seed=seed))
    return {
        "runners": workers,
        "dispatchers": edges,
        "tasks a second": rate,
        "virtual s": seconds,
        "wall s": round(outcome.took_s, 1),
        "events": outcome.events,
        "events a second": round(outcome.events / outcome.took_s),
        "us a task": round(outcome.took_s / outcome.tasks * 1e6),
        "service": round(outcome.service, 3),
        "MB at the highest": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        "models known, all dispatchers": sum(len(edge.functions) for edge in fleet.edges),
    }


@click.command()
@click.option("--largest", is_flag=True, help="Also simulate 1000 workers and 200 dispatchers.")
@click.option("--processes", default=8)
def main(largest: bool, processes: int) -> None:
    """Print one JSON object per size, then one for several days in parallel."""
    for workers, edges, seconds in [*SIZES, *([LARGEST] if largest else [])]:
        with ProcessPoolExecutor(1) as pool:  # A separate process, so that its peak memory is its own.
            print(json.dumps(pool.submit(simulate, (workers, edges, seconds, 1)).result()), flush=True)
    began = perf_counter()
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(simulate, [(100, 20, 20, seed) for seed in range(processes)]))
    wall = perf_counter() - began
    print(
        json.dumps(
            {
                "days at once": processes,
                "wall s": round(wall, 1),
                "virtual s a wall s, all together": round(sum(t["virtual s"] for t in results) / wall, 2),
                "tasks a wall s": round(sum(t["tasks a second"] * t["virtual s"] for t in results) / wall),
            }
        )
    )


if __name__ == "__main__":
    main()

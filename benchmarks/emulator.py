"""How fast virtual time is, and what it holds, by size: one day on one core, and one day a core at once.

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


def one(job: tuple[int, int, int, int]) -> dict[str, Any]:
    runners, edges, seconds, seed = job
    path = Path(__file__).parent.parent / "days" / "lasting.jsonnet"
    day = decode(evaluate(path), Day, "lasting")
    replace = msgspec.structs.replace
    rate = 10 * runners
    day = replace(
        day,
        seconds=seconds,
        edges=edges,
        runners=replace(day.runners, count=runners),
        clients=replace(day.clients, rate_per_s=rate),
        quota_per_s=1.4 * rate,
    )
    outcome, fleet = run_job(Job(script="lasting", day=day, seed=seed))
    return {
        "runners": runners,
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
@click.option("--largest", is_flag=True, help="1000 runners and 200 dispatchers too")
@click.option("--processes", default=8)
def main(largest: bool, processes: int) -> None:
    for runners, edges, seconds in [*SIZES, *([LARGEST] if largest else [])]:
        with ProcessPoolExecutor(1) as pool:  # memory is the process's own
            print(json.dumps(pool.submit(one, (runners, edges, seconds, 1)).result()), flush=True)
    begun = perf_counter()
    with ProcessPoolExecutor(processes) as pool:
        told = list(pool.map(one, [(100, 20, 20, seed) for seed in range(processes)]))
    wall = perf_counter() - begun
    print(
        json.dumps(
            {
                "days at once": processes,
                "wall s": round(wall, 1),
                "virtual s a wall s, all together": round(sum(t["virtual s"] for t in told) / wall, 2),
                "tasks a wall s": round(sum(t["tasks a second"] * t["virtual s"] for t in told) / wall),
            }
        )
    )


if __name__ == "__main__":
    main()

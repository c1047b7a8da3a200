"""What a capture costs an edge, in one run beside an edge without; bytes a task; how fast it replays.

    .venv/bin/python benchmarks/capture.py [--seconds 4] [--rounds 3]

Prints JSON. Edges take turns under the same load: closed loops for tasks a second, 280 tasks a second for
p99.
"""

from __future__ import annotations

import json
import tempfile
from collections import Counter
from pathlib import Path
from statistics import median
from time import perf_counter
from typing import Any

import click
import speed

from martenlead.capture import events as ev
from martenlead.capture.format import Segment
from martenlead.capture.reader import find_runs
from martenlead.capture.replay import replay

KINDS: dict[str, dict[str, Any]] = {
    "off": {},
    "on": {"sync": "segment"},
    "on, synced at each flush": {"sync": "flush"},
}


@click.command()
@click.option("--seconds", default=4.0)
@click.option("--rounds", default=3)
def main(seconds: float, rounds: int) -> None:
    processes = [speed.start("runner", 4, 0) for _ in range(3)]
    with tempfile.TemporaryDirectory() as name:
        try:
            ports = [port for process in processes for port in speed.first_line(process)]
            edges: dict[str, tuple[int, int]] = {}
            for at, (kind, more) in enumerate(KINDS.items()):
                folder = Path(name) / str(at)
                folder.mkdir()
                capture = {"capture": {"folder": str(folder / "captures"), **more}} if more else {}
                started, port = speed.start_edge(folder, ports, **capture)
                processes += started
                edges[kind] = port, started[1].pid
                speed.steady(port, 1, 200)
            rates: dict[str, list[Any]] = {kind: [] for kind in KINDS}
            lags: dict[str, list[Any]] = {kind: [] for kind in KINDS}
            for _ in range(rounds):
                for kind, (port, pid) in edges.items():
                    rates[kind].append(speed.saturate(port, pid, seconds))
                    lags[kind].append(speed.steady(port, seconds, 280))
            for process in processes[3:]:
                process.terminate()
                process.wait(20)
            told: dict[str, Any] = {}
            for kind in KINDS:
                told[kind] = {
                    "tasks_per_s": median(r["tasks_per_s"] for r in rates[kind]),
                    "cpu_us_per_task": median(r["cpu_us_per_task"] for r in rates[kind]),
                    "p99_ms_at_280": median(lag["p99"] for lag in lags[kind]),
                }
            told["rate_on_over_off"] = round(told["on"]["tasks_per_s"] / told["off"]["tasks_per_s"], 3)
            told["captured"] = captured(Path(name) / "1" / "captures")
            print(json.dumps(told, indent=1))
        finally:
            for process in processes:
                process.kill()


def captured(folder: Path) -> dict[str, Any]:
    (run,) = find_runs([folder])
    events = list(run.events())
    packed: Counter[str] = Counter()
    for event in events:
        packed[ev.kind_name(event)] += len(ev.encode(event))
    tasks = sum(isinstance(event, ev.RequestAccepted) for event in events)
    outcome = replay(events)
    disk = sum(path.stat().st_size for path in run.paths)
    biggest = max(run.paths, key=lambda path: path.stat().st_size)
    torn = biggest.read_bytes()[: -(biggest.stat().st_size // 3)]
    begun = perf_counter()
    Segment(torn).index()
    recovered = perf_counter() - begun
    return {
        "tasks": tasks,
        "gaps": sum(isinstance(event, ev.Gap) for event in events),
        "bytes_a_task_packed": round(sum(packed.values()) / tasks, 1),
        "bytes_a_task_on_disk": round(disk / tasks, 1),
        "packed_by_kind": {kind: round(n / tasks, 1) for kind, n in packed.most_common()},
        "identical": outcome.divergence is None and not outcome.stop_reason,
        "replayed_tasks_per_s": round(outcome.requests / outcome.elapsed_seconds),
        "times_as_fast_as_at_280": round(outcome.requests / outcome.elapsed_seconds / 280),
        "torn_segment_mb": round(len(torn) / 2**20, 2),
        "torn_segment_indexed_s": round(recovered, 3),
    }


if __name__ == "__main__":
    main()

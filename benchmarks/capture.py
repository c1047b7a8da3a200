"""Measures the cost of captures at an edge against an edge without, their size, and the speed of replay.

    .venv/bin/python benchmarks/capture.py [--seconds 4] [--rounds 3]

Prints JSON. The edges run in turn under the same load: closed loops measure requests per second, 280 requests
per second measure p99.
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
    """Measure edges without a capture, with one, and with one synced at each flush."""
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
            results: dict[str, Any] = {}
            for kind in KINDS:
                results[kind] = {
                    "tasks_per_s": median(r["tasks_per_s"] for r in rates[kind]),
                    "cpu_us_per_task": median(r["cpu_us_per_task"] for r in rates[kind]),
                    "p99_ms_at_280": median(lag["p99"] for lag in lags[kind]),
                }
            results["rate_on_over_off"] = round(
                results["on"]["tasks_per_s"] / results["off"]["tasks_per_s"], 3
            )
            results["captured"] = measure_capture(Path(name) / "1" / "captures")
            print(json.dumps(results, indent=1))
        finally:
            for process in processes:
                process.kill()


def measure_capture(folder: Path) -> dict[str, Any]:
    """Returns the size of a capture, and the speed of its replay and of indexing a truncated segment."""
    (run,) = find_runs([folder])
    events = list(run.events())
    packed: Counter[str] = Counter()
    for event in events:
        packed[ev.kind_name(event)] += len(ev.encode(event))
    requests = sum(isinstance(event, ev.RequestAccepted) for event in events)
    outcome = replay(events)
    disk = sum(path.stat().st_size for path in run.paths)
    largest = max(run.paths, key=lambda path: path.stat().st_size)
    truncated = largest.read_bytes()[: -(largest.stat().st_size // 3)]
    began = perf_counter()
    Segment(truncated).index()
    recovered = perf_counter() - began
    return {
        "tasks": requests,
        "gaps": sum(isinstance(event, ev.Gap) for event in events),
        "bytes_a_task_packed": round(sum(packed.values()) / requests, 1),
        "bytes_a_task_on_disk": round(disk / requests, 1),
        "packed_by_kind": {kind: round(n / requests, 1) for kind, n in packed.most_common()},
        "identical": outcome.divergence is None and not outcome.stop_reason,
        "replayed_tasks_per_s": round(outcome.requests / outcome.elapsed_seconds),
        "times_as_fast_as_at_280": round(outcome.requests / outcome.elapsed_seconds / 280),
        "torn_segment_mb": round(len(truncated) / 2**20, 2),
        "torn_segment_indexed_s": round(recovered, 3),
    }


if __name__ == "__main__":
    main()

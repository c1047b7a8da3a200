"""Measures how the cost per request grows with edges and workers, at a total of 280 requests per second.

    .venv/bin/python benchmarks/growth.py [--seconds 5]

Workers answer after 20 ms. Prints JSON: CPU time of all edges per request, latency, connections to workers.
"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

import click
import speed


def measure_size(edges: int, workers: int, seconds: float) -> dict[str, Any]:
    """Measures a number of edges and workers under the steady load."""
    processes = [speed.start("runner", max(1, workers // 2), 20) for _ in range(2)]
    with tempfile.TemporaryDirectory() as name:
        try:
            ports = [port for process in processes for port in speed.first_line(process)]
            started, pids = [], []
            for n in range(edges):
                folder = Path(name) / str(n)
                folder.mkdir()
                admin = {"port": 18_440 + n}
                made, port = speed.start_edge(folder, ports, dispatchers=edges, name=f"e{n}", admin=admin)
                processes += made
                pids.append(made[1].pid)
                started.append(port)
            rate = 280 / edges
            warm = [speed.start("load", port, 2, 0, rate, 0) for port in started]
            for load in warm:
                speed.first_line(load)
            before = sum(speed.cpu(pid) for pid in pids)
            loads = [speed.start("load", port, seconds, 0, rate, 0) for port in started]
            results = [speed.first_line(load) for load in loads]
            cpu = sum(speed.cpu(pid) for pid in pids) - before
            lags = sorted(lag for result in results for lag in result["lags"])
            states = [speed.ask({"port": 18_440 + n}, "/state") for n in range(edges)]
            succeeded = sum(result["statuses"].get("200", 0) for result in results)
            return {
                "edges": edges,
                "runners": workers,
                "satisfied": succeeded,
                "of": sum(sum(result["statuses"].values()) for result in results),
                "cpu_us_per_task": round(1e6 * cpu / max(1, succeeded)),
                "p50_ms": lags[len(lags) // 2],
                "p99_ms": lags[int(0.99 * len(lags))],
                "connections": sum(r["connections"] for state in states for r in state["runners"]),
                "memory_mb": round(sum(speed.resident(pid) for pid in pids) / edges, 1),
            }
        finally:
            for process in processes:
                process.kill()


@click.command()
@click.option("--seconds", default=5.0)
def main(seconds: float) -> None:
    """Measure several numbers of edges, then of workers."""
    results = [measure_size(edges, 10, seconds) for edges in (1, 2, 4, 8)]
    results += [measure_size(1, workers, seconds) for workers in (20, 40, 80)]
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()

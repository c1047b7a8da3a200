"""How a task's cost at an edge grows with the edges and the runners, at a steady 280 tasks a second in all.

    .venv/bin/python benchmarks/growth.py [--seconds 5]

Runners answer after 20 ms. Prints JSON: CPU of all edges a task, latency, connections to runners.
"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import Any

import click
import speed


def one(edges: int, runners: int, seconds: float) -> dict[str, Any]:
    processes = [speed.start("runner", max(1, runners // 2), 20) for _ in range(2)]
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
            found = [speed.first_line(load) for load in loads]
            cpu = sum(speed.cpu(pid) for pid in pids) - before
            lags = sorted(lag for told in found for lag in told["lags"])
            states = [speed.ask({"port": 18_440 + n}, "/state") for n in range(edges)]
            good = sum(told["statuses"].get("200", 0) for told in found)
            return {
                "edges": edges,
                "runners": runners,
                "satisfied": good,
                "of": sum(sum(told["statuses"].values()) for told in found),
                "cpu_us_per_task": round(1e6 * cpu / max(1, good)),
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
    told = [one(edges, 10, seconds) for edges in (1, 2, 4, 8)]
    told += [one(1, runners, seconds) for runners in (20, 40, 80)]
    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    main()

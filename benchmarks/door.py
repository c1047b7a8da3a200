# ruff: noqa: B023 - the functions are meant to read the current values of loop variables
"""Compares admission with and without queues in virtual time, for a capacity of ten and under floods.

    .venv/bin/python benchmarks/door.py [--plot door.svg]

Without queues a request beyond capacity is rejected at once with a Retry-After of 500 ms. Clients honour
Retry-After and try four times.
"""

from __future__ import annotations

import json
import resource
from pathlib import Path
from random import Random
from time import perf_counter
from typing import Any

import click

from martenlead.admission.controller import AdmissionController
from martenlead.admission.limits import AdmissionLimits
from martenlead.admission.queues import AdmissionRequest, QueueState, ServiceResult
from martenlead.admission.units import NS_PER_MS
from support.crowd import AdmissionSimulation, TenantLoad

EQUAL_WEIGHTS = {"portal": 1.0, "desk": 1.0}


def jain(values: list[float]) -> float:
    """Returns Jain's fairness index of the values, 0 where all are zero."""
    total = sum(values)
    return total * total / (len(values) * sum(v * v for v in values)) if total else 0.0


def simulate(load: float, queues: bool, dispatchers: int = 1, seconds: int = 60) -> dict[str, Any]:
    """Simulates two tenants at a load relative to capacity."""
    tenants = [TenantLoad("portal", load * 70), TenantLoad("desk", load * 30)]
    crowd = AdmissionSimulation(10, tenants, queues=queues, doors=dispatchers, weights=EQUAL_WEIGHTS)
    crowd.run(seconds)
    rates_over_ten_seconds = [
        sum(crowd.on_time_per_second[s] for s in range(at, at + 10)) / 10 for at in range(0, seconds - 10)
    ]
    shares = {c.name: crowd.on_time_share(c.name) for c in tenants}
    return {
        "load": load,
        "queues": queues,
        "doors": dispatchers,
        "in time a second": round(sum(crowd.on_time.values()) / seconds, 1),
        "worst ten seconds": round(min(rates_over_ten_seconds), 1),
        **{f"part of {name}'s in time": round(part, 3) for name, part in shares.items()},
        "Jain's index of work": round(jain([crowd.on_time_work_s[c.name] for c in tenants]), 3),
        "came when told": crowd.retries_sent,
        "of them served in time": round(crowd.retries_on_time / crowd.retries_sent, 3)
        if crowd.retries_sent
        else None,
        "longest wait of one turned back, ms": crowd.longest_rejected_wait_ns // NS_PER_MS,
    }


def cost(count: int = 100_000) -> dict[str, Any]:
    """Measures the CPU time per request, with free capacity and while 1000 requests wait."""
    results = {}
    for name, capacity in (("with room", 1 << 30), ("while 1000 wait", 10)):
        now = 0
        inside: list[Any] = []
        admission = AdmissionController(
            AdmissionLimits(waiting=1000, weights=EQUAL_WEIGHTS),
            lambda: now,
            Random(1),
            lambda _: len(inside) < capacity,
        )
        chance = Random(2)
        began = perf_counter()
        for n in range(count):
            now += 1 * NS_PER_MS
            soft = now + 5000 * NS_PER_MS
            tenant = "desk" if n % 3 else "portal"
            arriving = AdmissionRequest(
                f"m{n % 50}", "o", tenant, f"c{chance.randrange(1000)}", n, 0.05, 100, soft, soft, False
            )
            ticket = admission.submit(arriving)
            if ticket.state is QueueState.ADMITTED:
                inside.append(ticket)
            if len(inside) >= 10:
                changed = admission.complete(inside.pop(0), ServiceResult.SUCCEEDED)
                while changed:
                    more = []
                    for each in changed:
                        if each.state is QueueState.ADMITTED:
                            inside.append(each)
                            more += admission.confirm_admission(each)
                    changed = more
        results[f"us a task, {name}"] = round((perf_counter() - began) / count * 1e6, 1)
    return results


def floods() -> list[dict[str, Any]]:
    """Measures the peak memory of this process under floods of distinct names.

    No request ends, so that as many wait as the limits allow.
    """
    found = []
    for name in ("names", "models", "marks"):
        now = 0
        limits = AdmissionLimits(waiting=2000, bytes=64 * 1024 * 1024, weights={})
        admission = AdmissionController(limits, lambda: now, Random(1), lambda _: False)
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for n in range(300_000):
            now += 200_000
            tenant = f"customer {n}" if name == "names" else "one"
            client = f"client {n}" if name == "names" else "one"
            model = f"model {n}" if name == "models" else "m"
            soft = now + 400 * NS_PER_MS
            admission.submit(AdmissionRequest(model, "o", tenant, client, n, 0.1, 1000, soft, soft, False))
            if n % 500 == 0:
                for ticket in [
                    t
                    for q in admission.queues.values()
                    for line in q.tenant_queues.values()
                    for t in line.requests()
                ]:
                    if ticket.start_by_ns <= now:
                        admission.expire(ticket)
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        found.append(
            {
                "flood of 300,000": name,
                "MB more at the highest": round((after - before) / 1024, 1),
                "accounts": len(admission.accounts),
                "queues": len(admission.queues),
                "appointments": len(admission.reservations),
            }
        )
    return found


def plot(path: Path, results: list[dict[str, Any]]) -> None:
    """Writes goodput over load as an SVG file."""
    lines = []
    for queues, colour in ((True, "#146"), (False, "#b40")):
        points = [
            (t["load"], t["in time a second"]) for t in results if t["queues"] is queues and t["doors"] == 1
        ]
        at = " ".join(f"{60 + load * 150:.0f},{260 - good * 2:.0f}" for load, good in points)
        lines.append(f'<polyline fill="none" stroke="{colour}" stroke-width="2" points="{at}"/>')
        label = "queues" if queues else "turned back at once"
        lines.append(f'<text x="320" y="{200 if queues else 220}" fill="{colour}">{label}</text>')
    for load in (0.5, 1, 1.5, 2, 2.5, 3):
        lines.append(f'<text x="{50 + load * 150:.0f}" y="280">{load}</text>')
    for good in (0, 50, 100):
        lines.append(f'<text x="10" y="{264 - good * 2}">{good}</text>')
    lines.append('<text x="200" y="298">load, of capacity</text><text x="10" y="20">in time a second</text>')
    svg = '<svg xmlns="http://www.w3.org/2000/svg" width="560" height="310" font-size="12">'
    path.write_text(svg + "".join(lines) + "</svg>\n")


@click.command()
@click.option("--plot", "plot_file", type=click.Path(path_type=Path))
def main(plot_file: Path | None) -> None:
    """Print goodput over load, the cost of admission, and memory under floods."""
    results = []
    for load in (0.5, 0.8, 1.0, 1.5, 2.0, 2.5, 3.0):
        for queues in (False, True):
            results.append(simulate(load, queues))
            print(json.dumps(results[-1]), flush=True)
    for dispatchers in (10, 100):
        for load in (1.0, 1.5, 3.0):
            results.append(simulate(load, True, dispatchers))
            print(json.dumps(results[-1]), flush=True)
    print(json.dumps(cost()))
    for flood in floods():
        print(json.dumps(flood))
    if plot_file:
        plot(plot_file, results)


if __name__ == "__main__":
    main()

# ruff: noqa: B023 - what the functions read is meant to be what it is when they are called
"""The door's queues on and off, in virtual time: clients, a module with ten places, and floods.

    .venv/bin/python benchmarks/door.py [--plot door.svg]

Off is what was: who finds no place is turned back at once and told to come in 500 ms. Clients heed what
they are told and try four times.
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

TWO = {"portal": 1.0, "desk": 1.0}


def jain(values: list[float]) -> float:
    total = sum(values)
    return total * total / (len(values) * sum(v * v for v in values)) if total else 0.0


def one(load: float, queues: bool, doors: int = 1, seconds: int = 60) -> dict[str, Any]:
    customers = [TenantLoad("portal", load * 70), TenantLoad("desk", load * 30)]
    crowd = AdmissionSimulation(10, customers, queues=queues, controllers=doors, weights=TWO)
    crowd.run(seconds)
    tens = [
        sum(crowd.on_time_per_second[s] for s in range(at, at + 10)) / 10 for at in range(0, seconds - 10)
    ]
    parts = {c.name: crowd.on_time_share(c.name) for c in customers}
    return {
        "load": load,
        "queues": queues,
        "doors": doors,
        "in time a second": round(sum(crowd.on_time.values()) / seconds, 1),
        "worst ten seconds": round(min(tens), 1),
        **{f"part of {name}'s in time": round(part, 3) for name, part in parts.items()},
        "Jain's index of work": round(jain([crowd.on_time_work_s[c.name] for c in customers]), 3),
        "came when told": crowd.retries_sent,
        "of them served in time": round(crowd.retries_on_time / crowd.retries_sent, 3)
        if crowd.retries_sent
        else None,
        "longest wait of one turned back, ms": crowd.longest_rejected_wait_ns // NS_PER_MS,
    }


def cost(count: int = 100_000) -> dict[str, Any]:
    """CPU a task: with room, and while 1000 wait."""
    told = {}
    for name, places in (("with room", 1 << 30), ("while 1000 wait", 10)):
        now = 0
        inside: list[Any] = []
        gate = AdmissionController(
            AdmissionLimits(waiting=1000, weights=TWO), lambda: now, Random(1), lambda _: len(inside) < places
        )
        chance = Random(2)
        begun = perf_counter()
        for n in range(count):
            now += 1 * NS_PER_MS
            soft = now + 5000 * NS_PER_MS
            who = "desk" if n % 3 else "portal"
            arriving = AdmissionRequest(
                f"m{n % 50}", "o", who, f"c{chance.randrange(1000)}", n, 0.05, 100, soft, soft, False
            )
            ticket = gate.submit(arriving)
            if ticket.state is QueueState.ADMITTED:
                inside.append(ticket)
            if len(inside) >= 10:
                changed = gate.complete(inside.pop(0), ServiceResult.SUCCEEDED)
                while changed:
                    more = []
                    for each in changed:
                        if each.state is QueueState.ADMITTED:
                            inside.append(each)
                            more += gate.confirm_admission(each)
                    changed = more
        told[f"us a task, {name}"] = round((perf_counter() - begun) / count * 1e6, 1)
    return told


def floods() -> list[dict[str, Any]]:
    """Memory at its highest, of this process, under floods of names; nothing ends, so all that may wait
    does."""
    found = []
    for name in ("names", "models", "marks"):
        now = 0
        limits = AdmissionLimits(waiting=2000, bytes=64 * 1024 * 1024, weights={})
        gate = AdmissionController(limits, lambda: now, Random(1), lambda _: False)
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for n in range(300_000):
            now += 200_000
            customer = f"customer {n}" if name == "names" else "one"
            client = f"client {n}" if name == "names" else "one"
            model = f"model {n}" if name == "models" else "m"
            soft = now + 400 * NS_PER_MS
            gate.submit(AdmissionRequest(model, "o", customer, client, n, 0.1, 1000, soft, soft, False))
            if n % 500 == 0:
                for ticket in [
                    t
                    for q in gate.queues.values()
                    for line in q.tenant_queues.values()
                    for t in line.requests()
                ]:
                    if ticket.start_by_ns <= now:
                        gate.expire(ticket)
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        found.append(
            {
                "flood of 300,000": name,
                "MB more at the highest": round((after - before) / 1024, 1),
                "accounts": len(gate.accounts),
                "queues": len(gate.queues),
                "appointments": len(gate.reservations),
            }
        )
    return found


def plot(path: Path, told: list[dict[str, Any]]) -> None:
    """Goodput over load, as SVG."""
    lines = []
    for queues, colour in ((True, "#146"), (False, "#b40")):
        points = [
            (t["load"], t["in time a second"]) for t in told if t["queues"] is queues and t["doors"] == 1
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
    told = []
    for load in (0.5, 0.8, 1.0, 1.5, 2.0, 2.5, 3.0):
        for queues in (False, True):
            told.append(one(load, queues))
            print(json.dumps(told[-1]), flush=True)
    for doors in (10, 100):
        for load in (1.0, 1.5, 3.0):
            told.append(one(load, True, doors))
            print(json.dumps(told[-1]), flush=True)
    print(json.dumps(cost()))
    for flood in floods():
        print(json.dumps(flood))
    if plot_file:
        plot(plot_file, told)


if __name__ == "__main__":
    main()

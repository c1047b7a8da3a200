"""Plays the same traffic on more and smaller workers, and checks a dispatcher's costs against bounds.

    python -m benchmarks.scale.production

Hollow dispatchers with the node's own link run through a start, traffic, the replacement of half of the
workers, a zone that is lost and returns cold, and a snapshot of the complete list. The first size is the
usual one. The traffic of a dispatcher, its limits and the total capacity of the workers stay the same: in a
fleet with sixteen times as many workers, each has a sixteenth of the capacity. Sizes run one after the other,
each in a separate process. Exits with status 1 where a bound does not hold, 2 where a size did not run to its
end.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from multiprocessing import get_context
from pathlib import Path
from time import monotonic
from typing import Any

import click

from benchmarks.scale import discovery
from benchmarks.scale.bounds import BOUNDS, Verdict, verdicts
from benchmarks.scale.discovery import EventKind, Member, WorkerState
from benchmarks.scale.measure import Run, configured, logs_discarded
from benchmarks.scale.meter import Meter
from benchmarks.scale.pooled import PooledDispatcher, PooledSimulation
from benchmarks.scale.sizes import Assumptions, BadSize, FleetSize, resident_bytes
from benchmarks.scale.workers import SECOND_NS
from martenlead.edge.records import FinalOutcome
from martenlead.node.worker_client import SWEEP_INTERVAL_NS

INSTANCES = 3_200  # Of all workers together, so that each worker of the largest fleet has one.
ZONES, REGIONS = 4, 1
STEP_SECONDS = SWEEP_INTERVAL_NS / SECOND_NS  # Interval of checks for idle connections, as in the node.
REPLACED_FROM = 0.25  # Start of the replacement, as a share of the played time.
REPLACED_SHARE = 0.5  # Share of the workers that are replaced.
REPLACING_SECONDS = 7.0
ZONE_LOST_AT, ZONE_LOST_SECONDS = 0.6, 5.0
RESYNC_AT = 0.85
EXIT_BOUND, EXIT_NOT_PLAYED = 1, 2


@dataclass(frozen=True, slots=True)
class Play:
    """The parameters of a run at one size."""

    workers: int
    dispatchers: int
    calls: float  # Calls per second at one dispatcher.
    functions: int
    seconds: float
    sockets: int
    seed: int
    limit_seconds: float

    def size(self) -> FleetSize:
        """Returns the fleet size. Raises BadSize where the workers do not divide the instances evenly."""
        if INSTANCES % self.workers:
            raise BadSize(f"workers: has to divide {INSTANCES}, not {self.workers}")
        return FleetSize(
            dispatchers=self.dispatchers,
            workers=self.workers,
            instances_per_worker=INSTANCES // self.workers,
            functions=self.functions,
            calls_per_second=self.calls * self.dispatchers,
            zones=ZONES,
            regions=REGIONS,
        )


class ListScript:
    """The membership changes over the played time, of the same share of workers at each size."""

    def __init__(self, size: FleetSize, seconds: float) -> None:
        weight = size.instances_per_worker * discovery.WEIGHT_THOUSANDTHS
        self.size, self.seconds = size, seconds
        self.members = {m.number: replace(m, weight_thousandths=weight) for m in discovery.members(size)}
        self.version = 1
        self.gone: list[int] = []  # Workers whose processes, and so whose instances, have ended.
        self._next_number = size.workers  # The number of the next new worker.
        self._events = sorted(self._schedule(), key=lambda event: event[0])

    def _schedule(self) -> Iterator[tuple[float, Any]]:
        steps = round(REPLACING_SECONDS / STEP_SECONDS)
        replaced = list(range(round(self.size.workers * REPLACED_SHARE)))
        began = self.seconds * REPLACED_FROM
        for step in range(steps):
            part = replaced[step::steps]
            yield began + step * STEP_SECONDS, lambda now, part=part: self._drain(part)
            yield began + (step + 2) * STEP_SECONDS, lambda now, part=part: self._replace(part, now)
        lost = self.seconds * ZONE_LOST_AT
        yield lost, lambda now: self._lose_zone()
        yield lost + ZONE_LOST_SECONDS, lambda now: self._return_zone(now)
        yield self.seconds * RESYNC_AT, lambda now: (EventKind.SNAPSHOT, list(self.members.values()))

    def due(self, passed: float, now: int) -> Iterator[bytes]:
        """Yields the frames due after `passed` played seconds; `now` is a Unix time in ns."""
        while self._events and self._events[0][0] <= passed:
            kind, listed = self._events.pop(0)[1](now)
            self.version += 1
            yield discovery.frame(self.version, kind, listed)

    def _drain(self, numbers: list[int]) -> tuple[EventKind, list[Member]]:
        drained = [replace(self.members[n], state=WorkerState.DRAINING) for n in numbers]
        self.members |= {m.number: m for m in drained}
        return EventKind.DELTA, drained

    def _replace(self, numbers: list[int], now: int) -> tuple[EventKind, list[Member]]:
        """Replaces workers by new ones in the same zone."""
        changed = []
        for number in numbers:
            old = self.members.pop(number)
            self.gone.append(number)
            while self._next_number % ZONES != old.zone:
                self._next_number += 1
            new = replace(old, number=self._next_number, state=WorkerState.UP, started_ms=now // 1_000_000)
            self._next_number += 1
            self.members[new.number] = new
            changed += [replace(old, state=WorkerState.GONE), new]
        return EventKind.DELTA, changed

    def _zone(self) -> list[Member]:
        return [member for member in self.members.values() if member.zone == 0]

    def _lose_zone(self) -> tuple[EventKind, list[Member]]:
        lost = self._zone()
        self.gone += [member.number for member in lost]
        return EventKind.DELTA, [replace(member, state=WorkerState.GONE) for member in lost]

    def _return_zone(self, now: int) -> tuple[EventKind, list[Member]]:
        back = [replace(member, started_ms=now // 1_000_000) for member in self._zone()]
        self.members |= {member.number: member for member in back}
        return EventKind.DELTA, back


def play(scenario: Play) -> dict[str, float]:
    """Runs one size and returns the mean figures of a dispatcher. Raises BadSize."""
    size = scenario.size()
    deadline = monotonic() + scenario.limit_seconds
    run = Run(size, Assumptions(), scenario.seed, scenario.seconds, deadline, "production")
    script = ListScript(size, scenario.seconds)
    meter = Meter(without_collections=True)
    simulation = PooledSimulation(size, run.assumptions, scenario.seed, deadline)
    before = resident_bytes()
    with logs_discarded(), meter.collections():
        reading = start(run, scenario, script, simulation, meter)
        carry(simulation, script, scenario)
    if simulation.stopped:
        raise BadSize(f"{scenario.workers} workers: the time limit was reached before the end")
    return figures(simulation, meter, reading, peak_bytes() - before)


def start(run: Run, scenario: Play, script: ListScript, simulation: PooledSimulation, meter: Meter) -> float:
    """Starts the dispatchers from their configurations; returns the CPU seconds to read them all."""
    listed = list(script.members.values())
    reading = 0.0
    for number in range(scenario.dispatchers):
        simulation.check_time("the dispatchers started")
        node_config, _, read_ms = configured(run, number, listed)
        reading += read_ms / 1e3
        simulation.add(PooledDispatcher(node_config, simulation.clock, meter, scenario.sockets))
    return reading


def carry(simulation: PooledSimulation, script: ListScript, scenario: Play) -> None:
    """Runs the traffic and the membership changes for the played time."""
    simulation.traffic(scenario.calls * scenario.dispatchers, scenario.seconds)
    began = simulation.now
    while not simulation.stopped and simulation.now - began < scenario.seconds * SECOND_NS:
        for data in script.due((simulation.now - began) / SECOND_NS, simulation.now):
            for number, dispatcher in enumerate(simulation.dispatchers):
                dispatcher.membership(data)
                simulation.carry_from(number)
        forget_workers(simulation, script)
        for dispatcher in simulation.dispatchers:
            dispatcher.maintain()
        simulation.run(STEP_SECONDS)


def forget_workers(simulation: PooledSimulation, script: ListScript) -> None:
    """Removes the instances of workers that are gone. Their running calls still end."""
    for number in script.gone:
        simulation.workers.workers.pop(number, None)
    script.gone.clear()


def figures(
    simulation: PooledSimulation, meter: Meter, reading: float, grown_bytes: float
) -> dict[str, float]:
    """Returns the mean figures of a dispatcher."""
    dispatchers: list[Any] = simulation.dispatchers
    count = len(dispatchers)
    finals = simulation.outcomes.finals
    return {
        "cpu_seconds": (sum(meter.spent.values()) / 1e9 + reading) / count,
        "peak_memory_bytes": grown_bytes / count,
        "descriptors": sum(d.link.peak_connections for d in dispatchers) / count,
        "connections_made": sum(d.link.connections_made for d in dispatchers) / count,
        "list_bytes": sum(d.control.received_bytes for d in dispatchers) / count,
        "share_served": finals[FinalOutcome.SUCCEEDED.value] / max(1, simulation.outcomes.calls),
    }


def peak_bytes() -> int:
    """Returns the peak resident set of this process."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * 1024
    return resident_bytes()


def play_apart(scenario: Play) -> dict[str, float]:
    """Runs one size in a separate process, so that the peak memory is its own. Raises BadSize."""
    with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
        return pool.submit(play, scenario).result()


def table(found: list[Verdict]) -> str:
    """Formats the verdicts as a Markdown table, one row for each figure and size."""
    lines = [
        "| workers | of a mean dispatcher | usual size | found | bound | |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for verdict in found:
        bound = BOUNDS[verdict.name]
        cells = (shown(amount, bound.unit) for amount in (verdict.usual, verdict.found, verdict.limit))
        end = "holds" if verdict.holds else "FAILS"
        lines.append(f"| {verdict.workers} | {bound.title} | {' | '.join(cells)} | {end} |")
    return "\n".join(lines)


def shown(amount: float, unit: str) -> str:
    """Formats a figure with its unit; bytes are shown as MB."""
    if unit == "bytes":
        return f"{amount / 1e6:.3f} MB"
    return f"{amount:.4g}{' ' + unit if unit else ''}"


@click.command()
@click.option(
    "--workers", type=click.IntRange(1), multiple=True, default=(200, 800, 3_200), show_default=True
)
@click.option("--dispatchers", type=click.IntRange(1), default=40, show_default=True)
@click.option(
    "--calls",
    type=click.FloatRange(0.01),
    default=5.0,
    show_default=True,
    help="Calls per second at each dispatcher.",
)
@click.option("--functions", type=click.IntRange(1), default=400, show_default=True)
@click.option("--seconds", type=click.FloatRange(20), default=60.0, show_default=True, help="Virtual time.")
@click.option(
    "--sockets",
    type=click.IntRange(64),
    default=256,
    show_default=True,
    help="Limit on descriptors of each dispatcher.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--limit-seconds",
    type=click.FloatRange(1),
    default=100.0,
    show_default=True,
    help="Limit of wall-clock time for each size.",
)
def main(workers: tuple[int, ...], **options: Any) -> None:
    """Play the same traffic with several numbers of workers and check the bounds."""
    found: list[dict[str, float]] = []
    try:
        for count in workers:
            found.append(play_apart(Play(workers=count, **options)))
    except BadSize as error:
        click.echo(f"not played: {error}", err=True)
        sys.exit(EXIT_NOT_PLAYED)
    judged = [
        v for count, one in zip(workers[1:], found[1:], strict=True) for v in verdicts(found[0], one, count)
    ]
    click.echo(table(judged))
    failed = [v for v in judged if not v.holds]
    click.echo(f"{len(failed)} of {len(judged)} bounds fail")
    for verdict in failed:
        click.echo(f"fails: {BOUNDS[verdict.name].title} at {verdict.workers} workers")
    sys.exit(EXIT_BOUND if failed else 0)


if __name__ == "__main__":
    main()

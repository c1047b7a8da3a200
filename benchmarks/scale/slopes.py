"""Measures costs along one axis at a time. The last size of each is held out for a fit to predict."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from statistics import fmean
from time import monotonic

from benchmarks.scale import discovery
from benchmarks.scale.measure import (
    RUNTIME_SETTINGS,
    Run,
    common_fields,
    configured,
    estimate_memory_bytes,
    logs_discarded,
    measure_one,
)
from benchmarks.scale.records import Record, Role, record
from benchmarks.scale.simulation import Simulation
from benchmarks.scale.sizes import FleetSize, check_memory
from martenlead.node.config import ConfigFile

HOURS_PER_DAY = 24


@dataclass(frozen=True, slots=True)
class Axis:
    """A dimension that varies; `values` are ascending, `at` creates the fleet size for a value."""

    name: str
    values: tuple[float, ...]
    at: Callable[[FleetSize, float], FleetSize]
    all_functions: bool = False


def with_calls_per_dispatcher(size: FleetSize, value: float) -> FleetSize:
    """Returns the size with a rate of calls per dispatcher."""
    return replace(size, calls_per_second=value * size.dispatchers)


AXES = {
    axis.name: axis
    for axis in (
        Axis("workers", (120, 480, 1920, 3840, 7700), lambda size, v: replace(size, workers=int(v))),
        Axis(
            "functions",
            (200, 1000, 4000, 7000, 11000),
            lambda size, v: replace(size, functions=int(v)),
            all_functions=True,
        ),
        Axis("calls", (14, 28, 55, 111, 222), with_calls_per_dispatcher),
        Axis("dispatchers", (30, 60, 100, 200, 450), lambda size, v: replace(size, dispatchers=int(v))),
        Axis("instances", (2, 5, 10, 20, 40), lambda size, v: replace(size, instances_per_worker=int(v))),
        Axis("zones", (1, 3, 10, 30, 60), lambda size, v: replace(size, zones=int(v))),
        Axis("changes", (49, 98, 245, 490, 980), lambda size, v: replace(size, changes_per_day=int(v))),
    )
}


def slopes(base: Run, names: list[str]) -> Iterator[Record]:
    """Yields records of the sizes in order, until the deadline. Raises BadSize."""
    check_memory(max(estimate_memory_bytes(largest(base, AXES[name]), 1) for name in names))
    for name in names:
        axis = AXES[name]
        for value in axis.values:
            run = at_value(base, axis, value)
            if monotonic() > base.deadline:
                return
            if name == "changes":
                yield configuration_changes(run)
            else:
                yield from measure_one(run, check=False)


def at_value(base: Run, axis: Axis, value: float) -> Run:
    """Returns the run at one point of an axis."""
    return replace(
        base,
        size=axis.at(base.size, value),
        axis=axis.name,
        held_out=value == axis.values[-1],
        all_functions=axis.all_functions,
        repeats=1 if axis.all_functions else base.repeats,
    )


def largest(base: Run, axis: Axis) -> Run:
    """Returns the run at the largest value of an axis."""
    return at_value(base, axis, axis.values[-1])


def configuration_changes(run: Run) -> Record:
    """Measures an hour's configuration changes; each reads the complete file, as on SIGHUP."""
    changes = max(1, round(run.size.changes_per_day / HOURS_PER_DAY))
    listed = discovery.members(run.size)
    with logs_discarded():
        read = [configured(run, 0, listed)[1:] for _ in range(changes)]
        simulation = Simulation(run.size, run.assumptions, run.seed, run.deadline)
    received = sum(size for size, _ in read)
    spent = sum(milliseconds for _, milliseconds in read)
    return record(
        Role.CONFIGURATION,
        run.size,
        {
            "changes_per_hour": changes,
            "read_ms": fmean(milliseconds for _, milliseconds in read),
            "read_ms_per_hour": spent,
            "read_percent_core": spent / 3_600_000 * 100,
            "received_bytes_per_second": received / 3_600,
            "sent_bytes_per_second": received / 3_600 * run.size.dispatchers,
            "settings_in_file": len(ConfigFile.__struct_fields__),
            "settings_in_force_at_reload": RUNTIME_SETTINGS,
        },
        note="a changed file is read on SIGHUP, where only the journal's address comes into force",
        **common_fields(run, simulation, 0.0),
    )

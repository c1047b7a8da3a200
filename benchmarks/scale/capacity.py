"""Requirements on each role at the full fleet size: the size, the assumptions and what follows from them.

    .venv/bin/python -m benchmarks.scale.capacity [RECORDS.jsonl...]

Prints Markdown tables for docs/CAPACITY.md: the assumptions with their ranges, what follows from them by
arithmetic alone for each role and each kind of day, and with records the measured costs of each role carried
to the full size, beside their budgets. Bad input ends with one line on stderr and status 1.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, fields
from pathlib import Path

import click

from benchmarks.scale import fit
from benchmarks.scale.assumptions import (
    BUDGET,
    DEFAULT,
    FULL_SIZE,
    KB,
    MB,
    Assumed,
    Assumptions,
    Setting,
    varied,
)
from benchmarks.scale.extrapolation import BudgetedCost, Estimate, estimates, rows
from benchmarks.scale.quantities import QUANTITIES, Quantity

DISPATCHER = "dispatcher"
SECOND_MS = 1e3
COSTS = (
    BudgetedCost(DISPATCHER, "control_percent_core", 100 * BUDGET.cpu_cores),
    BudgetedCost(DISPATCHER, "policy_percent_core", 100 * BUDGET.cpu_cores),
    BudgetedCost(DISPATCHER, "policy_cpu_per_call_us", None),
    BudgetedCost(DISPATCHER, "memory_bytes", BUDGET.memory_mb * MB),
    BudgetedCost(DISPATCHER, "memory_placement_bytes", BUDGET.memory_mb * MB),
    BudgetedCost(DISPATCHER, "memory_membership_bytes", BUDGET.memory_mb * MB),
    BudgetedCost(DISPATCHER, "memory_functions_bytes", BUDGET.memory_mb * MB),
    BudgetedCost(DISPATCHER, "longest_step_ms", BUDGET.step_ms),
    BudgetedCost(DISPATCHER, "membership_delta_ms", BUDGET.step_ms),
    BudgetedCost(DISPATCHER, "serving_cpu_per_call_after_change_us", None),
    BudgetedCost(DISPATCHER, "resync_ms", BUDGET.step_ms),
    BudgetedCost(DISPATCHER, "zone_lost_ms", BUDGET.step_ms),
    BudgetedCost(DISPATCHER, "zone_returned_ms", BUDGET.step_ms),
    BudgetedCost(DISPATCHER, "resync_bytes", BUDGET.in_force_s * BUDGET.traffic_kb_per_second * KB),
    BudgetedCost(DISPATCHER, "start_ms", BUDGET.in_force_s * SECOND_MS),
    BudgetedCost(DISPATCHER, "control_sent_bytes_per_second", BUDGET.traffic_kb_per_second * KB),
    BudgetedCost(DISPATCHER, "control_received_bytes_per_second", BUDGET.traffic_kb_per_second * KB),
    BudgetedCost(DISPATCHER, "cold_start_share", None),
    BudgetedCost(DISPATCHER, "cold_start_p99_ms", BUDGET.cold_start_s * SECOND_MS),
    BudgetedCost("discovery", "snapshot_all_bytes", None),
    BudgetedCost("discovery", "heartbeats_bytes_per_second", None),
    BudgetedCost("configuration", "file_bytes", BUDGET.in_force_s * BUDGET.traffic_kb_per_second * KB),
    BudgetedCost("configuration", "sent_bytes_per_second", None),
    BudgetedCost("configuration", "read_ms", BUDGET.step_ms),
    BudgetedCost("configuration", "restart_ms", BUDGET.in_force_s * SECOND_MS),
    BudgetedCost("worker agent", "load_requests_per_second", None),
    BudgetedCost("worker agent", "dispatchers_that_may_connect", None),
    BudgetedCost("state", "state_bytes", None),
    BudgetedCost("state", "gather_ms", None),
)


@dataclass(frozen=True, slots=True)
class FromCost:
    """A requirement of the planners that follows from a dispatcher's cost, as they run its policy."""

    name: str
    formula: str
    unit: str
    cost: str
    compute: Callable[[float, Setting], float]
    budget: Callable[[Setting], float]


PLANNER = (
    FromCost(
        "CPU of all planners, at most (a mirror places nothing)",
        "calls x policy CPU a call; machines x cores",
        "cores",
        "policy_cpu_per_call_us",
        lambda cost, s: s.size.calls_per_second * cost / 1e6,
        lambda s: BUDGET.control_machines * s.value("control_cores"),
    ),
    FromCost(
        "memory of all planners",
        "dispatchers x memory of one; machines x GB",
        "GB",
        "memory_bytes",
        lambda cost, s: s.size.dispatchers * cost / 1e9,
        lambda s: BUDGET.control_machines * s.value("control_memory_gb"),
    ),
)


def planner_rows(found: Sequence[Estimate]) -> Iterator[str]:
    """Yields the table of the planners' requirements, derived from the dispatchers' costs."""
    yield "| planner | formula | value | across the ranges | budget | ratio |"
    yield "| --- | --- | --- | --- | --- | --- |"
    costs = {estimate.cost: estimate.best for estimate in found if estimate.role == DISPATCHER}
    for each in PLANNER:
        if each.cost not in costs:
            continue
        value, budget = each.compute(costs[each.cost], DEFAULT), each.budget(DEFAULT)
        ratios = [each.compute(costs[each.cost], s) / each.budget(s) for s in varied(DEFAULT)]
        span = f"ratio {number(min(ratios))} to {number(max(ratios))}"
        cells = (each.name, each.formula, f"{number(value)} {each.unit}", span, number(budget))
        yield "| " + " | ".join((*cells, number(value / budget))) + " |"


def number(value: float) -> str:
    """Formats a value with three significant digits, or as an integer with thousands separators."""
    if value == 0:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def quantity_row(quantity: Quantity) -> str:
    """Returns the Markdown row of a quantity with its span over the ranges and its budget."""
    value = quantity.compute(DEFAULT)
    values = [quantity.compute(setting) for setting in varied(DEFAULT)]
    low, high = min(values), max(values)
    span = "" if low == high else f"{number(low)} to {number(high)}"
    budget, ratio = "", ""
    if quantity.budget is not None:
        budget, ratio = number(quantity.budget), number(value / quantity.budget)
    cells = (quantity.name, quantity.formula, f"{number(value)} {quantity.unit}".strip(), span, budget, ratio)
    return "| " + " | ".join(cells) + " |"


def assumption_table() -> Iterator[str]:
    """Yields the Markdown table of the assumptions and their ranges."""
    yield "| assumption | value | range | what changes across it |"
    yield "| --- | --- | --- | --- |"
    for each in fields(Assumptions):
        found: Assumed = getattr(DEFAULT.values, each.name)
        name = each.name.replace("_", " ")
        span = f"{number(found.low)} to {number(found.high)}"
        yield f"| {name} | {number(found.value)} {found.unit} | {span} | {found.effect} |"


def quantity_tables() -> Iterator[str]:
    """Yields a Markdown table for each group of quantities."""
    group = ""
    for quantity in QUANTITIES:
        if quantity.group != group:
            group = quantity.group
            yield ""
            yield f"| {group} | formula | value | across the ranges | budget | ratio |"
            yield "| --- | --- | --- | --- | --- | --- |"
        yield quantity_row(quantity)


@click.command()
@click.argument("paths", nargs=-1, type=click.Path(path_type=Path))
def main(paths: tuple[Path, ...]) -> None:
    """Print the tables of the page; with files of scale records also the costs of each role."""
    for row in (*assumption_table(), *quantity_tables()):
        click.echo(row)
    if not paths:
        return
    try:
        records = fit.read(paths)
    except fit.BadRecords as error:
        click.echo(f"capacity: {error}", err=True)
        sys.exit(1)
    found = estimates(records, FULL_SIZE.record())
    for row in ("", *rows(found, COSTS), "", *planner_rows(found)):
        click.echo(row)


if __name__ == "__main__":
    main()

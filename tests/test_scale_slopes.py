"""Costs in calls and bytes grow at most logarithmically with the size of the fleet.

The cost of an operation is the number of Python and C functions that it calls, which is the same on every
machine. The size grows fourfold twice. A cost may grow by `FACTOR` times the growth of the logarithm, 2.3
times at most; a linear cost would grow 16 times.
"""

from __future__ import annotations

import math
import sys
from collections import deque
from collections.abc import Callable
from functools import cache, partial
from typing import Any

import pytest

from martenlead.policy import types
from martenlead.policy.candidates import Ranking
from martenlead.policy.latency import LatencyHistogram
from martenlead.policy.state import Function, Replica, Worker
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, facts_of_workers, worker_facts

WORKERS = (300, 1200, 4800)
FUNCTIONS = (500, 2000, 8000)
FACTOR = 1.5
SAMPLES = 20  # a cost is the mean over this many operations


def count_calls(operation: Callable[[], Any]) -> int:
    """The number of Python and C functions that an operation calls."""
    count = 0

    def profile(_frame: Any, event: str, _arg: Any) -> None:
        """Counts an event of the interpreter."""
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        operation()
    finally:
        sys.setprofile(None)
    return count


def assert_no_more_than_logarithmic(costs: dict[int, float]) -> None:
    """The costs, by size, grow at most FACTOR times as much as the logarithm of the size."""
    (smallest, cost), *larger = sorted(costs.items())
    for size, larger_cost in larger:
        assert larger_cost <= FACTOR * max(cost, 1.0) * math.log2(size) / math.log2(smallest), costs


def dispatcher_with(workers: int, functions: int = 0) -> tuple[Fleet, Dispatcher]:
    """A dispatcher that has just called so many functions, one after the other."""
    fleet = Fleet(range(workers))
    dispatcher = Dispatcher(fleet, 1)
    dispatcher.update_workers(facts_of_workers(range(workers)), is_snapshot=True)
    dispatcher.start()
    for function in range(functions):
        dispatcher.call(function)
        if function % 50 == 49:
            fleet.run_for(30 * MS)
    fleet.run_for(300 * MS)
    return fleet, dispatcher


def call_cost(fleet: Fleet, dispatcher: Dispatcher, functions: range) -> float:
    """The mean number of calls for a request to each of the functions."""
    total = 0
    for function in functions:
        total += count_calls(partial(dispatcher.call, function))
        fleet.run_for(260 * MS)
    return total / len(functions)


def update_cost(dispatcher: Dispatcher, workers: int) -> float:
    """The mean number of calls for three updates: a worker leaves, returns and weighs more."""
    total = 0
    marks = range(0, workers, workers // SAMPLES)[:SAMPLES]
    for mark in marks:
        for update in (
            worker_facts(mark, types.WorkerState.GONE),
            worker_facts(mark),
            worker_facts(mark, weight=2.0),
        ):
            total += count_calls(partial(dispatcher.update_workers, [update]))
    return total / len(marks)


# -- against the number of workers


def test_the_cost_of_a_call_of_a_known_function() -> None:
    """Against the number of workers."""
    costs: dict[int, float] = {}
    for workers in WORKERS:
        fleet, dispatcher = dispatcher_with(workers, SAMPLES)
        costs[workers] = call_cost(fleet, dispatcher, range(SAMPLES))
    assert_no_more_than_logarithmic(costs)


def test_the_cost_of_the_first_call_of_a_function() -> None:
    """Against the number of workers."""
    costs: dict[int, float] = {}
    for workers in WORKERS:
        fleet, dispatcher = dispatcher_with(workers)
        costs[workers] = call_cost(fleet, dispatcher, range(SAMPLES))
    assert_no_more_than_logarithmic(costs)


def test_the_cost_of_a_call_after_a_change_of_the_list() -> None:
    """Against the number of workers; the candidates have to be drawn anew."""
    costs: dict[int, float] = {}
    for workers in WORKERS:
        fleet, dispatcher = dispatcher_with(workers, SAMPLES)
        total = 0.0
        for function in range(SAMPLES):
            dispatcher.update_workers([worker_facts(workers + function)])
            total += call_cost(fleet, dispatcher, range(function, function + 1))
        costs[workers] = total / SAMPLES
    assert_no_more_than_logarithmic(costs)


def test_the_cost_of_an_update_of_a_worker() -> None:
    """Against the number of workers."""
    costs = {size: update_cost(dispatcher_with(size, SAMPLES)[1], size) for size in WORKERS}
    assert_no_more_than_logarithmic(costs)


def total_bytes(*roots: Any, without: tuple[type, ...] = ()) -> int:
    """The size of all objects that can be reached from `roots`, each counted once."""
    counted: set[int] = set()
    stack, total = list(roots), 0
    while stack:
        value = stack.pop()
        if id(value) in counted or isinstance(value, without):
            continue
        counted.add(id(value))
        total += sys.getsizeof(value)
        if isinstance(value, dict):
            stack += [*value.keys(), *value.values()]
        elif isinstance(value, list | tuple | set | deque):
            stack += value
        elif isinstance(value, Worker | Function | Replica | LatencyHistogram | Ranking):
            stack.append(vars(value))
    return total


def test_the_size_of_the_state_of_a_function() -> None:
    """In bytes, against the number of workers, whose own state is left out."""
    costs: dict[int, float] = {}
    for workers in WORKERS:
        fleet, dispatcher = dispatcher_with(workers, SAMPLES)
        for function in range(SAMPLES):
            dispatcher.call(function)
            fleet.run_for(260 * MS)
        costs[workers] = total_bytes(*dispatcher.functions.values(), without=(Worker,)) / SAMPLES
    assert_no_more_than_logarithmic(costs)
    assert max(costs.values()) < 8_000


# -- against the number of functions


def test_the_cost_of_calls_and_updates_beside_many_functions() -> None:
    """Against the number of functions: calls of known functions, first calls, and updates of workers."""
    known: dict[int, float] = {}
    first: dict[int, float] = {}
    updates: dict[int, float] = {}
    for functions in FUNCTIONS:
        fleet, dispatcher = dispatcher_with(300, functions)
        known[functions] = call_cost(fleet, dispatcher, range(SAMPLES))
        first[functions] = call_cost(fleet, dispatcher, range(functions, functions + SAMPLES))
        updates[functions] = update_cost(dispatcher, 300)
    for costs in (known, first, updates):
        assert_no_more_than_logarithmic(costs)


@cache
def check_step_costs(functions: int) -> tuple[list[int], list[int]]:
    """The number of calls of each step within 3 s: of steps that begin a period, and of the others."""
    first_steps: list[int] = []
    others: list[int] = []
    fleet, dispatcher = dispatcher_with(300, functions)
    fleet.run_for(3 * SECOND)
    end = fleet.now + 3 * SECOND
    while (due := dispatcher.boundary.next_due_ns()) is not None and due < end:
        fleet.now = max(fleet.now, due)
        (others if dispatcher.policy.scaling.unchecked else first_steps).append(
            count_calls(dispatcher.boundary.advance)
        )
    return first_steps, others


def test_the_cost_of_the_steps_of_a_check() -> None:
    """A step checks a slice of functions, however many there are. The first step of a period sorts them
    all, and is the only linear one, with two calls for each function."""
    longest: dict[int, float] = {}
    for functions in FUNCTIONS:
        first_steps, others = check_step_costs(functions)
        longest[functions] = max(others)
        assert max(first_steps) <= longest[functions] + 2 * functions + 100
        assert len(others) >= functions // 64 - 1
    assert_no_more_than_logarithmic(longest)


def test_the_size_of_the_state_of_the_policy() -> None:
    """In bytes for each function, with all that the policy keeps, workers included."""
    costs: dict[int, float] = {}
    for functions in FUNCTIONS:
        policy = dispatcher_with(300, functions)[1].policy
        costs[functions] = (
            total_bytes(
                policy.state.functions,
                policy.state.workers,
                policy.state.paced_workers,
                policy.scaling.unchecked,
            )
            / functions
        )
    assert_no_more_than_logarithmic(costs)
    assert max(costs.values()) < 8_000


def test_the_cost_of_the_first_step_of_a_check() -> None:
    """Against the number of functions."""
    longest = {n: float(max(check_step_costs(n)[0])) for n in FUNCTIONS}
    assert_no_more_than_logarithmic(longest)


def test_the_number_of_comparisons_of_workers_for_an_update(monkeypatch: pytest.MonkeyPatch) -> None:
    """Comparisons inside lists, which do not count as calls."""
    compared = 0

    def is_same(one: Worker, other: object) -> bool:
        """Counts a comparison."""
        nonlocal compared
        compared += 1
        return one is other

    monkeypatch.setattr(Worker, "__eq__", is_same)
    costs: dict[int, float] = {}
    for workers in WORKERS:
        _, dispatcher = dispatcher_with(workers)
        compared = 0
        update_cost(dispatcher, workers)
        costs[workers] = compared / SAMPLES
    assert_no_more_than_logarithmic(costs)

"""Costs against the size of the fleet, in counted calls and bytes: constant or logarithmic, never linear.

Counted are the Python and C functions that an operation calls, the same on every machine. Sizes grow fourfold
twice. A cost may grow by `FACTOR` times what the logarithm grows by, in all 2.3 times at most; a linear cost
grows 16 times.
"""

from __future__ import annotations

import math
import sys
from collections import deque
from collections.abc import Callable
from functools import cache, partial
from typing import Any

import pytest

from martenlead.policy import types as io
from martenlead.policy.candidates import Ranking
from martenlead.policy.latency import LatencyHistogram
from martenlead.policy.state import Function, Replica, Worker
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, line, lines

WORKERS = (300, 1200, 4800)
FUNCTIONS = (500, 2000, 8000)
FACTOR = 1.5
AMONG = 20  # operations that a cost is the mean of


def calls(what: Callable[[], Any]) -> int:
    """Functions that this calls, in Python and in C."""
    count = 0

    def note(_frame: Any, event: str, _arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        what()
    finally:
        sys.setprofile(None)
    return count


def assert_no_more_than_logarithmic(costs: dict[int, float]) -> None:
    (least, cost), *more = sorted(costs.items())
    for size, dearer in more:
        assert dearer <= FACTOR * max(cost, 1.0) * math.log2(size) / math.log2(least), costs


def dispatcher_of(workers: int, functions: int = 0) -> tuple[Fleet, Dispatcher]:
    """One that has seen so many functions, lately and one after the other."""
    fleet = Fleet(range(workers))
    dispatcher = Dispatcher(fleet, 1)
    dispatcher.tell(lines(range(workers)), whole=True)
    dispatcher.begin()
    for function in range(functions):
        dispatcher.call(function)
        if function % 50 == 49:
            fleet.run_for(30 * MS)
    fleet.run_for(300 * MS)
    return fleet, dispatcher


def call_costs(fleet: Fleet, dispatcher: Dispatcher, functions: range) -> float:
    total = 0
    for function in functions:
        total += calls(partial(dispatcher.call, function))
        fleet.run_for(260 * MS)
    return total / len(functions)


def news_costs(dispatcher: Dispatcher, workers: int) -> float:
    """One line each: goes, comes back, weighs more."""
    total = 0
    marks = range(0, workers, workers // AMONG)[:AMONG]
    for mark in marks:
        for news in (line(mark, io.WorkerState.GONE), line(mark), line(mark, weight=2.0)):
            total += calls(partial(dispatcher.tell, [news]))
    return total / len(marks)


# -- against the number of workers


def test_a_call_of_a_known_function() -> None:
    costs: dict[int, float] = {}
    for workers in WORKERS:
        fleet, dispatcher = dispatcher_of(workers, AMONG)
        costs[workers] = call_costs(fleet, dispatcher, range(AMONG))
    assert_no_more_than_logarithmic(costs)


def test_the_first_call_of_a_function() -> None:
    costs: dict[int, float] = {}
    for workers in WORKERS:
        fleet, dispatcher = dispatcher_of(workers)
        costs[workers] = call_costs(fleet, dispatcher, range(AMONG))
    assert_no_more_than_logarithmic(costs)


def test_the_call_after_a_change_of_the_list() -> None:
    costs: dict[int, float] = {}
    for workers in WORKERS:
        fleet, dispatcher = dispatcher_of(workers, AMONG)
        total = 0.0
        for function in range(AMONG):
            dispatcher.tell([line(workers + function)])
            total += call_costs(fleet, dispatcher, range(function, function + 1))
        costs[workers] = total / AMONG
    assert_no_more_than_logarithmic(costs)


def test_a_line_of_news() -> None:
    costs = {size: news_costs(dispatcher_of(size, AMONG)[1], size) for size in WORKERS}
    assert_no_more_than_logarithmic(costs)


def bytes_of(*roots: Any, without: tuple[type, ...] = ()) -> int:
    """Of all objects that can be reached from there, each counted once."""
    seen: set[int] = set()
    stack, total = list(roots), 0
    while stack:
        value = stack.pop()
        if id(value) in seen or isinstance(value, without):
            continue
        seen.add(id(value))
        total += sys.getsizeof(value)
        if isinstance(value, dict):
            stack += [*value.keys(), *value.values()]
        elif isinstance(value, list | tuple | set | deque):
            stack += value
        elif isinstance(value, Worker | Function | Replica | LatencyHistogram | Ranking):
            stack.append(vars(value))
    return total


def test_the_state_of_a_function_in_bytes() -> None:
    costs: dict[int, float] = {}
    for workers in WORKERS:
        fleet, dispatcher = dispatcher_of(workers, AMONG)
        for function in range(AMONG):
            dispatcher.call(function)
            fleet.run_for(260 * MS)
        costs[workers] = bytes_of(*dispatcher.functions.values(), without=(Worker,)) / AMONG
    assert_no_more_than_logarithmic(costs)
    assert max(costs.values()) < 8_000


# -- against the number of functions


def test_a_call_and_a_line_of_news_beside_many_functions() -> None:
    known: dict[int, float] = {}
    first: dict[int, float] = {}
    news: dict[int, float] = {}
    for functions in FUNCTIONS:
        fleet, dispatcher = dispatcher_of(300, functions)
        known[functions] = call_costs(fleet, dispatcher, range(AMONG))
        first[functions] = call_costs(fleet, dispatcher, range(functions, functions + AMONG))
        news[functions] = news_costs(dispatcher, 300)
    for costs in (known, first, news):
        assert_no_more_than_logarithmic(costs)


@cache
def check_steps(functions: int) -> tuple[list[int], list[int]]:
    """Calls of each step in some seconds: of those that begin a period, and of the others."""
    begins: list[int] = []
    others: list[int] = []
    fleet, dispatcher = dispatcher_of(300, functions)
    fleet.run_for(3 * SECOND)
    end = fleet.now + 3 * SECOND
    while (due := dispatcher.border.next_due_ns()) is not None and due < end:
        fleet.now = max(fleet.now, due)
        (others if dispatcher.policy.scaling.unchecked else begins).append(calls(dispatcher.border.advance))
    return begins, others


def test_the_steps_of_a_check() -> None:
    """A step checks some functions, however many there are. The first of a period sorts them all: the one
    linear step, two calls for each function."""
    longest: dict[int, float] = {}
    for functions in FUNCTIONS:
        begins, others = check_steps(functions)
        longest[functions] = max(others)
        assert max(begins) <= longest[functions] + 2 * functions + 100
        assert len(others) >= functions // 64 - 1
    assert_no_more_than_logarithmic(longest)


def test_the_state_of_the_module_in_bytes() -> None:
    """For each function, all that the module keeps, workers included."""
    costs: dict[int, float] = {}
    for functions in FUNCTIONS:
        policy = dispatcher_of(300, functions)[1].policy
        costs[functions] = (
            bytes_of(
                policy.state.functions,
                policy.state.workers,
                policy.state.paced_workers,
                policy.scaling.unchecked,
            )
            / functions
        )
    assert_no_more_than_logarithmic(costs)
    assert max(costs.values()) < 8_000


def test_the_first_step_of_a_check() -> None:
    longest = {n: float(max(check_steps(n)[0])) for n in FUNCTIONS}
    assert_no_more_than_logarithmic(longest)


def test_comparisons_of_workers_for_a_line_of_news(monkeypatch: pytest.MonkeyPatch) -> None:
    """Those inside lists, which no call shows."""
    compared = 0

    def same(one: Worker, other: object) -> bool:
        nonlocal compared
        compared += 1
        return one is other

    monkeypatch.setattr(Worker, "__eq__", same)
    costs: dict[int, float] = {}
    for workers in WORKERS:
        _, dispatcher = dispatcher_of(workers)
        compared = 0
        news_costs(dispatcher, workers)
        costs[workers] = compared / AMONG
    assert_no_more_than_logarithmic(costs)

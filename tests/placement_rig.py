"""What the tests of placement over long lists of workers share: fleets in virtual time and their checks."""

from __future__ import annotations

from typing import Any

from martenlead.policy.policy import Policy
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, lines

BUDGET = {"load_window_ns": SECOND, "free_loads_per_window": 4.0, "loads_per_request": 0.1}


def fleet_of(workers: int, dispatchers: int, **changes: Any) -> tuple[Fleet, list[Dispatcher]]:
    fleet = Fleet(range(workers))
    made = [Dispatcher(fleet, seed, dispatchers=dispatchers, **changes) for seed in range(dispatchers)]
    for dispatcher in made:
        dispatcher.tell(lines(range(workers)), whole=True)
        dispatcher.begin()
    return fleet, made


def first_workers(fleet: Fleet, dispatcher: Dispatcher, functions: range) -> dict[int, int | None]:
    """Of functions that nobody has called: the worker of each one's first attempt, one after the other."""
    found: dict[int, int | None] = {}
    for function in functions:
        found[function] = dispatcher.call(function)
        fleet.run_for(300 * MS)
    return found


def agreement(one: dict[int, int | None], other: dict[int, int | None]) -> float:
    return sum(one[function] == other[function] for function in one) / len(one)


def all_ended(dispatcher: Dispatcher) -> None:
    """Each request has its one final response, and nothing counts as out."""
    assert sum(dispatcher.finals.values()) == len(dispatcher.calls)
    assert dispatcher.policy.state.warm_in_flight == 0
    assert all(worker.in_flight == worker.warm_in_flight == 0 for worker in dispatcher.workers.values())


def consistent(policy: Policy) -> None:
    """The list is sorted with no worker twice, and functions and workers know the same replicas."""
    marks = [worker.facts.mark for worker in policy.state.workers]
    assert marks == sorted(set(marks))
    assert all(worker.is_listed for worker in policy.state.workers)
    of_functions = {copy for model in policy.state.functions for copy in model.replicas.values()}
    of_workers = {copy for worker in policy.state.workers for copy in worker.replicas.values()}
    assert of_workers <= of_functions

"""Fleets in virtual time and checks of their state, for tests of placement over long lists of workers."""

from __future__ import annotations

from typing import Any

from martenlead.policy.policy import Policy
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, facts_of_workers

BUDGET = {"load_window_ns": SECOND, "free_loads_per_window": 4.0, "loads_per_request": 0.1}


def fleet_of(workers: int, dispatchers: int, **changes: Any) -> tuple[Fleet, list[Dispatcher]]:
    """A fleet and its started dispatchers, which all have the same list of workers."""
    fleet = Fleet(range(workers))
    created = [Dispatcher(fleet, seed, dispatchers=dispatchers, **changes) for seed in range(dispatchers)]
    for dispatcher in created:
        dispatcher.update_workers(facts_of_workers(range(workers)), is_snapshot=True)
        dispatcher.start()
    return fleet, created


def first_workers(fleet: Fleet, dispatcher: Dispatcher, functions: range) -> dict[int, int | None]:
    """Calls functions one after the other for the first time; returns the worker of each first attempt."""
    found: dict[int, int | None] = {}
    for function in functions:
        found[function] = dispatcher.call(function)
        fleet.run_for(300 * MS)
    return found


def agreement(one: dict[int, int | None], other: dict[int, int | None]) -> float:
    """The share of functions that have the same worker in both."""
    return sum(one[function] == other[function] for function in one) / len(one)


def assert_all_requests_ended(dispatcher: Dispatcher) -> None:
    """Each request has exactly one final response, and nothing counts as in flight."""
    assert sum(dispatcher.final_responses.values()) == len(dispatcher.call_times_ns)
    assert dispatcher.policy.state.warm_in_flight == 0
    assert all(worker.in_flight == worker.warm_in_flight == 0 for worker in dispatcher.workers.values())


def assert_consistent(policy: Policy) -> None:
    """The list is sorted with no worker twice, and functions and workers refer to the same replicas."""
    marks = [worker.facts.mark for worker in policy.state.workers]
    assert marks == sorted(set(marks))
    assert all(worker.is_listed for worker in policy.state.workers)
    of_functions = {replica for function in policy.state.functions for replica in function.replicas.values()}
    of_workers = {replica for worker in policy.state.workers for replica in worker.replicas.values()}
    assert of_workers <= of_functions

"""The periodic check of replicas takes some functions at a time and delays no request."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from random import Random
from typing import Any

import pytest

from martenlead.policy import replica_scaling, types
from martenlead.policy.replica_scaling import SLICE_FUNCTIONS
from martenlead.policy.state import State
from tests.placement_rig import BUDGET, assert_all_requests_ended, assert_consistent, fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, facts_of_workers


class CheckRecorder:
    """Records the time and the mark of each function that is checked."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, fleet: Fleet) -> None:
        self.checked: list[tuple[int, int]] = []
        original = State.forget_unused

        def forget_unused(state: State, function: Any) -> None:
            """Records the check, which calls this for each function."""
            self.checked.append((fleet.now, function.facts.mark))
            original(state, function)

        monkeypatch.setattr(State, "forget_unused", forget_unused)


def run_until_between_slices(fleet: Fleet, dispatcher: Dispatcher) -> None:
    """Runs until some functions of a period are checked and others are not."""
    while not dispatcher.policy.scaling.unchecked:
        due = dispatcher.boundary.next_due_ns()
        assert due is not None
        fleet.run_until(due)


def fleet_with_functions(size: int, **changes: Any) -> tuple[Fleet, Dispatcher]:
    """A fleet with one dispatcher that has called so many functions once."""
    fleet, (dispatcher,) = fleet_of(500, 1, **changes)
    for function in range(size):
        dispatcher.call(function)
        fleet.run_for(2 * MS)
    fleet.run_for(3 * SECOND)
    return fleet, dispatcher


def test_each_of_300_functions_is_checked_once_a_period_64_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The slices of a period are 1 ms apart."""
    fleet, dispatcher = fleet_with_functions(300)
    checks = CheckRecorder(monkeypatch, fleet)
    run_until_between_slices(fleet, dispatcher)
    fleet.run_for(100 * MS)
    checks.checked.clear()
    for _ in range(3):
        before = len(checks.checked)
        fleet.run_for(dispatcher.policy.state.check_period_ns + 10 * MS)
        period = checks.checked[before:]
        assert sorted(mark for _, mark in period) == list(range(300))
        assert set(Counter(at for at, _ in period).values()) == {64, 300 % 64}
        times = sorted({at for at, _ in period})
        assert {b - a for a, b in pairwise(times)} == {MS}


def test_requests_between_two_slices_are_decided_at_once() -> None:
    """Attempts are made at the time of the call, for functions that are checked already and others."""
    fleet, dispatcher = fleet_with_functions(300)
    run_until_between_slices(fleet, dispatcher)
    now = fleet.now
    for function in (0, 299, 1000):
        assert dispatcher.call(function) is not None
    assert dispatcher.policy.scaling.unchecked
    assert {a.time_ns for a in dispatcher.attempts[-3:]} == {now}
    fleet.run_for(10 * SECOND)
    assert_all_requests_ended(dispatcher)


def test_a_worker_that_leaves_between_two_slices_gets_no_load_request() -> None:
    """The functions that are still to be checked have replicas at the workers that leave."""
    fleet, dispatcher = fleet_with_functions(300)
    for _ in range(3):
        for number in range(300):
            dispatcher.call(number)
            fleet.run_for(2 * MS)
    run_until_between_slices(fleet, dispatcher)
    waiting = list(dispatcher.policy.scaling.unchecked)
    leaving = {replica.worker.facts.mark for function in waiting for replica in function.replicas.values()}
    assert len(leaving) > 50
    fleet.stop_workers(leaving)
    dispatcher.update_workers(facts_of_workers(sorted(leaving), types.WorkerState.GONE))
    before = len(dispatcher.load_requests), len(dispatcher.attempts)
    for function in waiting[:100]:
        assert dispatcher.call(function.facts.mark) not in leaving
    fleet.run_for(10 * SECOND)
    assert not leaving & {mark for _, _, mark in dispatcher.load_requests[before[0] :]}
    assert not leaving & {attempt.mark for attempt in dispatcher.attempts[before[1] :]}
    assert_all_requests_ended(dispatcher)
    assert_consistent(dispatcher.policy)
    assert all(
        function.replicas.keys() <= set(dispatcher.policy.state.workers)
        for function in dispatcher.functions.values()
    )


def test_functions_dropped_in_one_slice_and_called_before_the_next_are_checked_again() -> None:
    """They are forgotten again once they are not called any more."""
    fleet, dispatcher = fleet_with_functions(300)
    policy = dispatcher.policy
    while len(policy.state.functions) == 300:
        run_until_between_slices(fleet, dispatcher)
        fleet.run_for(MS)
    dropped = [
        function for function in dispatcher.functions.values() if function not in policy.state.functions
    ]
    assert policy.scaling.unchecked
    assert not any(function.replicas for function in dropped)
    for function in dropped:
        assert dispatcher.call(function.facts.mark) is not None
    assert all(function in policy.state.functions for function in dropped)
    fleet.run_for(1000 * SECOND)  # after two calls, a replica is retained for six times the gap between them
    assert_all_requests_ended(dispatcher)
    assert not policy.state.functions


def test_up_to_64_functions_are_checked_as_in_one_step(monkeypatch: pytest.MonkeyPatch) -> None:
    """With as many functions as a slice has, slices make no difference to the decisions."""

    def decisions() -> list[tuple[int, int, int]]:
        """The attempts and load requests of a run with random calls."""
        fleet, (dispatcher,) = fleet_of(400, 1, **BUDGET)
        random = Random(8)
        for n in range(600):
            dispatcher.call(int(SLICE_FUNCTIONS * random.random() ** 2))
            if n == 300:
                dispatcher.update_workers(facts_of_workers(range(40), types.WorkerState.GONE))
            fleet.run_for(15 * MS)
        assert len(dispatcher.functions) == SLICE_FUNCTIONS
        return [(a.time_ns, a.function, a.mark) for a in dispatcher.attempts] + dispatcher.load_requests

    in_slices = decisions()
    monkeypatch.setattr(replica_scaling, "SLICE_FUNCTIONS", 10**9)
    assert decisions() == in_slices
    assert len(in_slices) > 600

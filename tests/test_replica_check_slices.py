"""The periodic check of replicas takes some functions at a time and delays no request."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from random import Random
from typing import Any

import pytest

from martenlead.policy import replica_scaling
from martenlead.policy import types as io
from martenlead.policy.replica_scaling import SLICE_FUNCTIONS
from martenlead.policy.state import State
from tests.placement_rig import BUDGET, all_ended, consistent, fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, lines


class Steps:
    """Notes which functions are checked when."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, fleet: Fleet) -> None:
        self.noted: list[tuple[int, int]] = []
        plain = State.forget_unused

        def forget_unused(state: State, function: Any) -> None:
            self.noted.append((fleet.now, function.facts.mark))
            plain(state, function)

        monkeypatch.setattr(State, "forget_unused", forget_unused)


def between_slices(fleet: Fleet, dispatcher: Dispatcher) -> None:
    """Runs until some functions of a period are checked and others are not."""
    while not dispatcher.policy.scaling.unchecked:
        due = dispatcher.border.next_due_ns()
        assert due is not None
        fleet.run(due)


def known_functions(size: int, **changes: Any) -> tuple[Fleet, Dispatcher]:
    fleet, (dispatcher,) = fleet_of(500, 1, **changes)
    for function in range(size):
        dispatcher.call(function)
        fleet.run_for(2 * MS)
    fleet.run_for(3 * SECOND)
    return fleet, dispatcher


def test_each_of_300_functions_is_checked_once_a_period_64_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet, dispatcher = known_functions(300)
    steps = Steps(monkeypatch, fleet)
    between_slices(fleet, dispatcher)
    fleet.run_for(100 * MS)
    steps.noted.clear()
    for _ in range(3):
        begun = len(steps.noted)
        fleet.run_for(dispatcher.policy.state.check_period_ns + 10 * MS)
        period = steps.noted[begun:]
        assert sorted(mark for _, mark in period) == list(range(300))
        assert set(Counter(at for at, _ in period).values()) == {64, 300 % 64}
        times = sorted({at for at, _ in period})
        assert {b - a for a, b in pairwise(times)} == {MS}


def test_requests_between_two_slices_are_decided_at_once() -> None:
    fleet, dispatcher = known_functions(300)
    between_slices(fleet, dispatcher)
    now = fleet.now
    for function in (0, 299, 1000):
        assert dispatcher.call(function) is not None
    assert dispatcher.policy.scaling.unchecked
    assert {a.at for a in dispatcher.attempts[-3:]} == {now}
    fleet.run_for(10 * SECOND)
    all_ended(dispatcher)


def test_a_worker_that_goes_between_two_slices_gets_no_load_request() -> None:
    fleet, dispatcher = known_functions(300)
    for _ in range(3):
        for function in range(300):
            dispatcher.call(function)
            fleet.run_for(2 * MS)
    between_slices(fleet, dispatcher)
    waiting = list(dispatcher.policy.scaling.unchecked)
    going = {copy.worker.facts.mark for model in waiting for copy in model.replicas.values()}
    assert len(going) > 50
    fleet.lose(going)
    dispatcher.tell(lines(sorted(going), io.WorkerState.GONE))
    begun = len(dispatcher.loads), len(dispatcher.attempts)
    for model in waiting[:100]:
        assert dispatcher.call(model.facts.mark) not in going
    fleet.run_for(10 * SECOND)
    assert not going & {mark for _, _, mark in dispatcher.loads[begun[0] :]}
    assert not going & {attempt.mark for attempt in dispatcher.attempts[begun[1] :]}
    all_ended(dispatcher)
    consistent(dispatcher.policy)
    assert all(
        model.replicas.keys() <= set(dispatcher.policy.state.workers)
        for model in dispatcher.functions.values()
    )


def test_functions_that_fade_in_one_slice_and_are_called_before_the_next_are_checked_again() -> None:
    fleet, dispatcher = known_functions(300)
    policy = dispatcher.policy
    while len(policy.state.functions) == 300:
        between_slices(fleet, dispatcher)
        fleet.run_for(MS)
    faded = [model for model in dispatcher.functions.values() if model not in policy.state.functions]
    assert policy.scaling.unchecked
    assert not any(model.replicas for model in faded)
    for model in faded:
        assert dispatcher.call(model.facts.mark) is not None
    assert all(model in policy.state.functions for model in faded)
    fleet.run_for(1000 * SECOND)  # a replica of two calls is held for six of the gaps between them
    all_ended(dispatcher)
    assert not policy.state.functions


def test_up_to_64_functions_are_decided_as_in_one_step(monkeypatch: pytest.MonkeyPatch) -> None:
    def decisions() -> list[tuple[int, int, int]]:
        fleet, (dispatcher,) = fleet_of(400, 1, **BUDGET)
        chance = Random(8)
        for n in range(600):
            dispatcher.call(int(SLICE_FUNCTIONS * chance.random() ** 2))
            if n == 300:
                dispatcher.tell(lines(range(40), io.WorkerState.GONE))
            fleet.run_for(15 * MS)
        assert len(dispatcher.functions) == SLICE_FUNCTIONS
        return [(a.at, a.function, a.mark) for a in dispatcher.attempts] + dispatcher.loads

    some = decisions()
    monkeypatch.setattr(replica_scaling, "SLICE_FUNCTIONS", 10**9)
    assert decisions() == some
    assert len(some) > 600

"""Dispatchers with the same list of workers choose the same first worker for a function."""

from __future__ import annotations

from random import Random

import pytest

from martenlead.policy import types
from tests.placement_rig import (
    agreement,
    assert_all_requests_ended,
    assert_consistent,
    first_workers,
    fleet_of,
)
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, facts_of_workers, worker_facts


def test_ten_dispatchers_send_a_function_to_the_same_first_worker() -> None:
    """Each calls 60 functions, in an order of its own."""
    fleet, dispatchers = fleet_of(600, 10)
    random = Random(1)
    found: dict[int, set[int | None]] = {function: set() for function in range(1000, 1060)}
    for dispatcher in dispatchers:
        for function in random.sample(sorted(found), len(found)):
            found[function].add(dispatcher.call(function))
            fleet.run_for(300 * MS)
    assert all(len(workers) == 1 for workers in found.values())
    assert len(set.union(*found.values())) > 50
    for dispatcher in dispatchers:
        assert_all_requests_ended(dispatcher)


def test_dispatchers_agree_again_after_workers_and_dispatchers_joined_left_and_returned() -> None:
    """Each dispatcher gets the changes in its own order, late, and while it serves; two dispatchers start
    meanwhile. No attempt or load request goes to a worker that is draining or gone in the reports that
    its dispatcher has received."""
    fleet, dispatchers = fleet_of(400, 6)
    random = Random(2)
    changing = list(range(0, 400, 8)) + list(range(400, 440))
    fleet.up |= set(range(400, 440))
    listed = {mark: types.WorkerState.UP for mark in range(400)}
    for n in range(30):
        marks = random.sample(changing, 6)
        state = random.choice(
            [types.WorkerState.UP, types.WorkerState.UP, types.WorkerState.DRAINING, types.WorkerState.GONE]
        )
        listed |= dict.fromkeys(marks, state)
        for dispatcher in dispatchers:
            for mark in random.sample(marks, len(marks)):
                dispatcher.update_workers([worker_facts(mark, state)])
            unusable = {mark for mark in listed if listed[mark] is not types.WorkerState.UP}
            before = len(dispatcher.attempts), len(dispatcher.load_requests)
            for _ in range(8):
                dispatcher.call(2000 + random.randrange(60))
                fleet.run_for(25 * MS)
            assert not unusable & {attempt.mark for attempt in dispatcher.attempts[before[0] :]}
            assert not unusable & {mark for _, _, mark in dispatcher.load_requests[before[1] :]}
        if n in (10, 20):
            late = Dispatcher(fleet, 100 + n, dispatchers=6)
            late.update_workers(
                [worker_facts(m, s) for m, s in listed.items() if s is not types.WorkerState.GONE],
                is_snapshot=True,
            )
            dispatchers.append(late.start())
    fleet.run_for(5 * SECOND)
    chosen = [first_workers(fleet, dispatcher, range(5000, 5040)) for dispatcher in dispatchers]
    assert all(found == chosen[0] for found in chosen)
    for dispatcher in dispatchers:
        assert_all_requests_ended(dispatcher)
        assert_consistent(dispatcher.policy)


@pytest.mark.parametrize(("missing", "agreed"), [(1, 0.98), (10, 0.95), (50, 0.80)])
def test_dispatchers_with_different_lists_agree_on_a_large_share_of_functions(
    missing: int, agreed: float
) -> None:
    """One dispatcher does not know the last few of 1,000 workers."""
    fleet = Fleet(range(1000))
    one, other = Dispatcher(fleet, 1).start(), Dispatcher(fleet, 2).start()
    one.update_workers(facts_of_workers(range(1000)), is_snapshot=True)
    other.update_workers(facts_of_workers(range(1000 - missing)), is_snapshot=True)
    chosen: list[dict[int, int | None]] = []
    for dispatcher in (one, other):
        policy, functions = dispatcher.policy, [dispatcher.function(n) for n in range(300)]
        chosen.append({f.facts.mark: next(policy.placement.candidates(f, 0)).facts.mark for f in functions})
    assert agreement(*chosen) >= agreed
    other.update_workers(facts_of_workers(range(1000 - missing, 1000)))
    called = [first_workers(fleet, dispatcher, range(50)) for dispatcher in (one, other)]
    assert called[0] == called[1]

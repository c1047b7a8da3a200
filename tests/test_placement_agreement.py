"""Dispatchers with the same list of workers choose the same first worker for a function."""

from __future__ import annotations

from random import Random

import pytest

from martenlead.policy import types as io
from tests.placement_rig import agreement, all_ended, consistent, first_workers, fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, line, lines


def test_ten_dispatchers_send_a_function_to_the_same_first_worker() -> None:
    fleet, dispatchers = fleet_of(600, 10)
    chance = Random(1)
    found: dict[int, set[int | None]] = {function: set() for function in range(1000, 1060)}
    for dispatcher in dispatchers:
        for function in chance.sample(sorted(found), len(found)):
            found[function].add(dispatcher.call(function))
            fleet.run_for(300 * MS)
    assert all(len(workers) == 1 for workers in found.values())
    assert len(set.union(*found.values())) > 50
    for dispatcher in dispatchers:
        all_ended(dispatcher)


def test_they_agree_again_after_workers_and_dispatchers_joined_left_and_returned() -> None:
    """Each dispatcher hears the changes in its own order, late, and while it serves; two of them start
    during it. No attempt or load request goes to a worker that its dispatcher was told is draining or
    gone."""
    fleet, dispatchers = fleet_of(400, 6)
    chance = Random(2)
    changing = list(range(0, 400, 8)) + list(range(400, 440))
    fleet.up |= set(range(400, 440))
    listed = {mark: io.WorkerState.UP for mark in range(400)}
    for n in range(30):
        marks = chance.sample(changing, 6)
        state = chance.choice(
            [io.WorkerState.UP, io.WorkerState.UP, io.WorkerState.DRAINING, io.WorkerState.GONE]
        )
        listed |= dict.fromkeys(marks, state)
        for dispatcher in dispatchers:
            for mark in chance.sample(marks, len(marks)):
                dispatcher.tell([line(mark, state)])
            closed = {mark for mark in listed if listed[mark] is not io.WorkerState.UP}
            begun = len(dispatcher.attempts), len(dispatcher.loads)
            for _ in range(8):
                dispatcher.call(2000 + chance.randrange(60))
                fleet.run_for(25 * MS)
            assert not closed & {attempt.mark for attempt in dispatcher.attempts[begun[0] :]}
            assert not closed & {mark for _, _, mark in dispatcher.loads[begun[1] :]}
        if n in (10, 20):
            late = Dispatcher(fleet, 100 + n, dispatchers=6)
            late.tell([line(m, s) for m, s in listed.items() if s is not io.WorkerState.GONE], whole=True)
            dispatchers.append(late.begin())
    fleet.run_for(5 * SECOND)
    chosen = [first_workers(fleet, dispatcher, range(5000, 5040)) for dispatcher in dispatchers]
    assert all(found == chosen[0] for found in chosen)
    for dispatcher in dispatchers:
        all_ended(dispatcher)
        consistent(dispatcher.policy)


@pytest.mark.parametrize(("missing", "agreed"), [(1, 0.98), (10, 0.95), (50, 0.80)])
def test_dispatchers_with_different_lists_agree_on_most_functions(missing: int, agreed: float) -> None:
    """Of 1,000 workers one dispatcher has not heard of the last few."""
    fleet = Fleet(range(1000))
    one, other = Dispatcher(fleet, 1).begin(), Dispatcher(fleet, 2).begin()
    one.tell(lines(range(1000)), whole=True)
    other.tell(lines(range(1000 - missing)), whole=True)
    chosen: list[dict[int, int | None]] = []
    for dispatcher in (one, other):
        policy, functions = dispatcher.policy, [dispatcher.function(n) for n in range(300)]
        chosen.append({f.facts.mark: next(policy.placement.candidates(f, 0)).facts.mark for f in functions})
    assert agreement(*chosen) >= agreed
    other.tell(lines(range(1000 - missing, 1000)))
    called = [first_workers(fleet, dispatcher, range(50)) for dispatcher in (one, other)]
    assert called[0] == called[1]

"""The policy forgets functions, workers and replicas that are gone."""

from __future__ import annotations

import gc
import weakref
from typing import Any

from martenlead.policy import types as io
from tests.placement_rig import fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND, line


def test_functions_and_workers_that_came_and_went_leave_no_state() -> None:
    fleet, (dispatcher,) = fleet_of(300, 1)
    gone: list[weakref.ref[Any]] = []
    for n in range(2500):
        dispatcher.call(10_000 + n)
        if n % 2:
            fleet.up.add(1000 + n)
            dispatcher.tell([line(1000 + n)])
        if n % 2 and n > 100:
            last = 1000 + n - 100
            fleet.lose([last])
            dispatcher.tell([line(last, io.WorkerState.GONE)])
            gone.append(weakref.ref(dispatcher.workers.pop(last)))
        if n % 20 == 19:
            fleet.run_for(100 * MS)
    for _ in range(10):
        for function in range(10_000, 10_050):
            dispatcher.call(function)
            fleet.run_for(5 * MS)
    policy = dispatcher.policy
    assert len(gone) == 1200
    assert len(policy.state.paced_workers) > 30
    known = len(policy.state.functions)
    assert known > 2000
    fleet.run_for(10 * SECOND)
    gone += [weakref.ref(model) for model in dispatcher.functions.values()]
    dispatcher.functions.clear()
    dispatcher.attempts.clear()
    dispatcher.ended_tasks.clear()
    fleet.run_for(400 * SECOND)
    assert not policy.state.functions
    assert not policy.scaling.unchecked
    assert not policy.state.paced_workers
    assert all(not worker.replicas for worker in policy.state.workers)
    listed = {worker.facts.mark for worker in policy.state.workers}
    assert {w.facts.mark for leaf in policy.state.index._leaves.values() for w in leaf} == listed
    assert len(listed) == 350
    gc.collect()
    assert not [ref for ref in gone if ref() is not None]


def test_replicas_that_a_planner_held_for_a_faded_function_leave_no_state() -> None:
    """Nobody calls it here; a planner holds it now and then at workers that go soon after."""
    fleet, (dispatcher,) = fleet_of(300, 1)
    dispatcher.call(5)
    fleet.run_for(400 * SECOND)
    function = dispatcher.functions[5]
    assert function not in dispatcher.policy.state.functions
    for mark in range(1000, 1050):
        dispatcher.tell([line(mark)])
        dispatcher.border.set_retained(dispatcher.workers[mark], function, True)
        fleet.run_for(SECOND)
        dispatcher.border.set_retained(dispatcher.workers[mark], function, False)
        dispatcher.tell([line(mark, io.WorkerState.GONE)])
    fleet.run_for(100 * SECOND)
    assert not [runner for runner in function.replicas if not runner.is_listed]


def test_functions_that_were_asked_about_and_never_called_leave_no_state() -> None:
    """Requests that wait at the door ask for room again and again, and may give up before they are taken."""
    fleet, (dispatcher,) = fleet_of(300, 1)
    for number in range(100):
        dispatcher.border.choose_worker(
            dispatcher.function(number), dispatcher.settings.request_classes[0], False, 0.0
        )
    fleet.run_for(1000 * SECOND)
    assert not dispatcher.policy.state.functions

"""The policy forgets functions, workers and replicas that are gone."""

from __future__ import annotations

import gc
import weakref
from typing import Any

from martenlead.policy import types
from tests.placement_rig import fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND, worker_facts


def test_functions_and_workers_that_came_and_went_leave_no_state() -> None:
    """2500 functions that are called a few times, and 1200 workers that join and leave meanwhile."""
    fleet, (dispatcher,) = fleet_of(300, 1)
    gone: list[weakref.ref[Any]] = []
    for n in range(2500):
        dispatcher.call(10_000 + n)
        if n % 2:
            fleet.up.add(1000 + n)
            dispatcher.update_workers([worker_facts(1000 + n)])
        if n % 2 and n > 100:
            last = 1000 + n - 100
            fleet.stop_workers([last])
            dispatcher.update_workers([worker_facts(last, types.WorkerState.GONE)])
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
    gone += [weakref.ref(known_function) for known_function in dispatcher.functions.values()]
    dispatcher.functions.clear()
    dispatcher.attempts.clear()
    dispatcher.ended_requests.clear()
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


def test_replicas_that_a_planner_retained_for_a_forgotten_function_leave_no_state() -> None:
    """The function is not called here; a planner retains it now and then at workers that leave soon after."""
    fleet, (dispatcher,) = fleet_of(300, 1)
    dispatcher.call(5)
    fleet.run_for(400 * SECOND)
    function = dispatcher.functions[5]
    assert function not in dispatcher.policy.state.functions
    for mark in range(1000, 1050):
        dispatcher.update_workers([worker_facts(mark)])
        dispatcher.boundary.set_retained(dispatcher.workers[mark], function, True)
        fleet.run_for(SECOND)
        dispatcher.boundary.set_retained(dispatcher.workers[mark], function, False)
        dispatcher.update_workers([worker_facts(mark, types.WorkerState.GONE)])
    fleet.run_for(100 * SECOND)
    assert not [worker for worker in function.replicas if not worker.is_listed]


def test_functions_with_a_worker_choice_but_no_call_leave_no_state() -> None:
    """Queued requests ask for a worker again and again, and may leave the queue before they are accepted."""
    fleet, (dispatcher,) = fleet_of(300, 1)
    for number in range(100):
        dispatcher.boundary.choose_worker(
            dispatcher.function(number), dispatcher.settings.request_classes[0], False, 0.0
        )
    fleet.run_for(1000 * SECOND)
    assert not dispatcher.policy.state.functions

"""Slow start of cold workers that have half the capacity that their weight says.

With any number of dispatchers and requests: N from under 1 to hundreds, also while the demand exceeds the
capacity of the fleet. The operators' budget is N + 2 * sqrt(N) + 2 requests, and N + 3 * sqrt(N) + 3 for N
under 30.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest

from martenlead.policy import types
from tests import test_slow_start_fleet as fleets
from tests.test_slow_start_fleet import CASES, MS, RAMP, REPORT_DELAY, SECOND, WARM_UP, Fleet

FEW = 30  # number of requests under which more are allowed by chance
Case = Callable[[Fleet], None]


def allowed_requests(budget: float) -> float:
    """The requests allowed in a window with this budget, with those by chance."""
    root = math.sqrt(budget)
    return budget + (3 * root + 3 if budget < FEW else 2 * root + 2)


def assert_within_budget(fleet: Fleet, case: Case) -> None:
    """Runs a case, in which no worker may get more requests than its budget allows."""
    fleet.run_until(WARM_UP)
    case(fleet)
    assert fleet.highest_use(allowed_requests) <= 1.0


def burst(fleet: Fleet) -> None:
    """The demand grows by half, and the number of successes stays the same."""
    fleet.rates = [1.5 * rate for rate in fleet.rates]
    fleet.success_share = 1 / 1.5
    fleet.run_for(2 * SECOND)
    fleet.replace(3)


def lull(fleet: Fleet) -> None:
    """For 3 s of the ramp hardly any request is for the cold worker, then nearly all are."""
    fleet.report_workers([3], types.WorkerState.GONE)
    fleet.run_for(200 * MS)
    fleet.report_workers([3], types.WorkerState.UP, fleet.now - REPORT_DELAY)
    for mark, seconds in ((3, 2), (5, 3), (3, 3)):
        fleet.send_requests_to([mark])
        fleet.run_for(seconds * SECOND)


def all_send_as_they_get_to_know_it(fleet: Fleet) -> None:
    """All dispatchers get to know a worker at its start, and have ten requests for it at once."""
    fleet.report_workers([3], types.WorkerState.GONE)
    fleet.run_for(200 * MS)
    fleet.report_workers([3], types.WorkerState.UP, fleet.now)
    fleet.send_requests_to([3])
    for dispatcher in fleet.dispatchers:
        for _ in range(10):
            dispatcher.request(fleet.random.choice(fleet.cold_functions))
    fleet.run_until(fleet.now + RAMP)


def clock_ahead(fleet: Fleet) -> None:
    """The clock of the worker is an hour ahead, so that its start is in the future."""
    fleet.report_workers([3], types.WorkerState.GONE)
    fleet.run_for(200 * MS)
    fleet.report_workers([3], types.WorkerState.UP, fleet.now + 3600 * SECOND)
    fleet.started_ns[3] = fleet.now  # the true start
    fleet.send_requests_to([3])
    fleet.run_for(RAMP)


def others_are_full(fleet: Fleet) -> None:
    """Half of the attempts at warm workers are refused, and retried elsewhere."""
    fleet.refused_share = 0.5
    fleet.replace(3)


def released(fleet: Fleet) -> None:
    """Seven of twelve workers are replaced, each a second after the one before, so that several are cold at
    the same time."""
    for mark in range(7):
        fleet.report_workers([mark], types.WorkerState.DRAINING)
        fleet.run_for(300 * MS)
        fleet.report_workers([mark], types.WorkerState.GONE)
        fleet.run_for(100 * MS)
        fleet.report_workers([mark], types.WorkerState.UP, fleet.now - REPORT_DELAY)
        fleet.send_requests_to(list(range(mark + 1)))
        fleet.run_for(600 * MS)
    fleet.run_for(RAMP)


def doubled(fleet: Fleet) -> None:
    """Half of the workers were gone for a minute, and return cold in two steps."""
    away = list(range(6))
    fleet.report_workers(away, types.WorkerState.GONE)
    fleet.run_for(60 * SECOND)
    for marks in (away[:3], away[3:]):
        fleet.report_workers(marks, types.WorkerState.UP, fleet.now - REPORT_DELAY)
        fleet.send_requests_to(away)
        fleet.run_for(4 * SECOND)
    fleet.run_for(RAMP)


def workers_are_cold_as_dispatchers_start(fleet: Fleet) -> None:
    """Most successes of the new dispatchers come from workers that are warming up."""
    marks = list(range(2, fleets.WORKERS))
    fleet.report_workers(marks, types.WorkerState.UP, fleet.now - REPORT_DELAY)
    fleet.restart(fleet.some_dispatchers(10))
    fleet.send_requests_to(marks)
    fleet.run_for(RAMP)


def idle_before_all_start(fleet: Fleet) -> None:
    """After a minute without requests all workers start, and the full demand returns at once."""
    rates, marks = fleet.rates, list(range(fleets.WORKERS))
    fleet.rates = [0.0] * fleet.size
    fleet.report_workers(marks, types.WorkerState.GONE)
    fleet.run_for(60 * SECOND)
    fleet.rates = rates
    fleet.start(marks)


def all_start_together(fleet: Fleet) -> None:
    """All workers and dispatchers start: no dispatcher knows a rate, and all workers are cold."""
    marks = list(range(fleets.WORKERS))
    fleet.report_workers(marks, types.WorkerState.GONE)
    fleet.restart(fleet.some_dispatchers(10))
    fleet.run_for(SECOND)
    fleet.start(marks)


def cases_and_sizes(cases: list[Case], sizes: list[int]) -> list[tuple[Case, int]]:
    """Each case with each number of dispatchers. A single one has no others to take over its traffic."""
    impossible = (fleets.others_carried_their_traffic, 1)
    return [(case, size) for case in cases for size in sizes if (case, size) != impossible]


def name(value: Any) -> str:
    """The name of a case, or the text of a number."""
    return getattr(value, "__name__", str(value))


@pytest.mark.parametrize("capacity", [0.4, 5.0])
@pytest.mark.parametrize(
    ("case", "size"), cases_and_sizes([*CASES, burst, lull], [1, 2, 5, 30, 200]), ids=name
)
def test_few_requests(case: Case, capacity: float, size: int) -> None:
    """N of windows of 2 and 3 s, at half the capacity: from 0.2 at the start to 19 at the end."""
    assert_within_budget(Fleet(size, size, capacity=capacity), case)


@pytest.mark.parametrize("size", [1, 30, 200])
def test_hundreds_of_requests(size: int) -> None:
    """N up to 375, where half the capacity and the requests by chance are far below what the weight says."""
    assert_within_budget(Fleet(size, size, capacity=100.0), fleets.some_restarted)


@pytest.mark.parametrize(
    ("case", "size"),
    cases_and_sizes(
        [fleets.replaced, fleets.zone_gone, fleets.others_carried_their_traffic, fleets.traffic_moved],
        [1, 5, 30, 200],
    ),
    ids=name,
)
def test_the_demand_is_twice_the_capacity(case: Case, size: int) -> None:
    """The peak of a few noisy rates is far above the capacity of the fleet, and so is the demand."""
    assert_within_budget(Fleet(size, size, load=2.0, success_share=0.5), case)


def test_seven_in_ten_of_many_dispatchers_restarted_in_an_overload() -> None:
    """A seed that exceeded the budget when the first rate of a dispatcher left out a part of its time."""
    fleet = Fleet(200, 1200, load=2.0, success_share=0.5)
    assert_within_budget(fleet, fleets.others_carried_their_traffic)


@pytest.mark.parametrize("size", [1, 2, 5, 30, 200])
@pytest.mark.parametrize(
    "case",
    [
        burst,
        lull,
        all_send_as_they_get_to_know_it,
        clock_ahead,
        others_are_full,
        released,
        doubled,
        workers_are_cold_as_dispatchers_start,
    ],
    ids=lambda case: case.__name__,
)
def test_further_starts(case: Case, size: int) -> None:
    """Further cases, with 1 to 200 dispatchers."""
    assert_within_budget(Fleet(size, size), case)


@pytest.mark.parametrize(
    ("case", "size", "min_use"),
    [
        (idle_before_all_start, 1, 0.5),
        (idle_before_all_start, 5, 0.3),
        (idle_before_all_start, 30, 0.1),
        (idle_before_all_start, 200, 0.01),
        *((all_start_together, size, 0.01) for size in (1, 5, 30, 200)),
    ],
    ids=name,
)
def test_an_unknown_rate_does_not_starve_workers(case: Case, size: int, min_use: float) -> None:
    """A wait that was set before a rate was known is shortened. 0.01 of the budgets is a request a worker."""
    fleet = Fleet(size, size)
    assert_within_budget(fleet, case)
    assert fleet.mean_use() >= min_use


@pytest.mark.parametrize("size", [1, 30, 200])
def test_the_demand_equals_the_capacity(size: int) -> None:
    """One worker is replaced meanwhile."""
    assert_within_budget(Fleet(size, size, load=1.0), fleets.replaced)


@pytest.mark.parametrize("size", [30, 200])
def test_the_first_requests_are_spread(size: int) -> None:
    """All dispatchers get to know a worker, and get a request for it, at once; only a few may send theirs."""
    fleet = Fleet(size, size)
    fleet.run_until(WARM_UP)
    fleet.report_workers([3], types.WorkerState.GONE)
    fleet.run_for(200 * MS)
    fleet.report_workers([3], types.WorkerState.UP, fleet.now)
    fleet.send_requests_to([3])
    for dispatcher in fleet.dispatchers:
        dispatcher.request(fleet.cold_functions[0])
    assert len(fleet.arrivals_during_ramp(3)) <= 3


@pytest.mark.parametrize("seed", range(1, 7))
def test_the_first_rate_of_a_dispatcher_covers_all_of_its_time(seed: int) -> None:
    """Requests before the first period, which begins at a random time, count with the time before it."""
    fleet = Fleet(1, seed, load=10.0)
    fleet.run_until(600 * MS)
    requests_per_second = fleet.dispatchers[0].policy.state.traffic.new_requests_per_second
    assert requests_per_second == pytest.approx(fleet.rates[0], rel=0.15)

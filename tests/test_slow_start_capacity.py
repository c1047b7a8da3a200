"""Slow start of cold workers that can do half of what their weight says, for any number of dispatchers and of
requests: N from under 1 to hundreds, also while the fleet is asked for more than it can do.

The budget is the operators': N + 2 * sqrt(N) + 2, and for N under 30 N + 3 * sqrt(N) + 3.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest

from martenlead.policy import types as io
from tests import test_slow_start_fleet as fleets
from tests.test_slow_start_fleet import CASES, COLD, MS, SECOND, TOLD_AFTER, WARM_UP, Fleet

FEW = 30  # requests, under which more chance is allowed
Case = Callable[[Fleet], None]


def with_chance(budget: float) -> float:
    root = math.sqrt(budget)
    return budget + (3 * root + 3 if budget < FEW else 2 * root + 2)


def keeps_to_the_budget(fleet: Fleet, case: Case) -> None:
    fleet.run_until(WARM_UP)
    case(fleet)
    assert fleet.most_used(with_chance) <= 1.0


def burst(fleet: Fleet) -> None:
    """Half as much again is asked, and what is satisfied stays the same."""
    fleet.rates = [1.5 * rate for rate in fleet.rates]
    fleet.satisfied = 1 / 1.5
    fleet.pause(2 * SECOND)
    fleet.replace(3)


def lull(fleet: Fleet) -> None:
    """For three seconds of its slow start hardly a request wants the cold worker, then nearly all do."""
    fleet.tell([3], io.WorkerState.GONE)
    fleet.pause(200 * MS)
    fleet.tell([3], io.WorkerState.UP, fleet.now - TOLD_AFTER)
    for wanted, time in ((3, 2), (5, 3), (3, 3)):
        fleet.heat([wanted])
        fleet.pause(time * SECOND)


def all_ask_as_they_are_told(fleet: Fleet) -> None:
    """At the instant of its start each dispatcher is told, and has ten requests for it."""
    fleet.tell([3], io.WorkerState.GONE)
    fleet.pause(200 * MS)
    fleet.tell([3], io.WorkerState.UP, fleet.now)
    fleet.heat([3])
    for dispatcher in fleet.dispatchers:
        for _ in range(10):
            dispatcher.request(fleet.chance.choice(fleet.hot))
    fleet.run_until(fleet.now + COLD)


def clock_ahead(fleet: Fleet) -> None:
    """The worker's clock is an hour ahead: its start lies in the future."""
    fleet.tell([3], io.WorkerState.GONE)
    fleet.pause(200 * MS)
    fleet.tell([3], io.WorkerState.UP, fleet.now + 3600 * SECOND)
    fleet.since[3] = fleet.now  # when it truly was
    fleet.heat([3])
    fleet.pause(COLD)


def others_are_full(fleet: Fleet) -> None:
    """Half of the attempts at warm workers are answered as full, and are retried elsewhere."""
    fleet.full = 0.5
    fleet.replace(3)


def released(fleet: Fleet) -> None:
    """Seven of twelve workers are replaced, each a second after the one before, and stay within their budgets
    while some of the others are cold as well."""
    for mark in range(7):
        fleet.tell([mark], io.WorkerState.DRAINING)
        fleet.pause(300 * MS)
        fleet.tell([mark], io.WorkerState.GONE)
        fleet.pause(100 * MS)
        fleet.tell([mark], io.WorkerState.UP, fleet.now - TOLD_AFTER)
        fleet.heat(list(range(mark + 1)))
        fleet.pause(600 * MS)
    fleet.pause(COLD)


def doubled(fleet: Fleet) -> None:
    """Half of the workers have been away for long, and come back cold in two steps."""
    away = list(range(6))
    fleet.tell(away, io.WorkerState.GONE)
    fleet.pause(60 * SECOND)
    for marks in (away[:3], away[3:]):
        fleet.tell(marks, io.WorkerState.UP, fleet.now - TOLD_AFTER)
        fleet.heat(away)
        fleet.pause(4 * SECOND)
    fleet.pause(COLD)


def most_are_cold_as_dispatchers_begin(fleet: Fleet) -> None:
    """Of what a dispatcher has seen succeed, the most was done by workers that warm up."""
    marks = list(range(2, fleets.WORKERS))
    fleet.tell(marks, io.WorkerState.UP, fleet.now - TOLD_AFTER)
    fleet.restart(fleet.part(10))
    fleet.heat(marks)
    fleet.pause(COLD)


def quiet_before_all_start(fleet: Fleet) -> None:
    """Nothing is asked for a minute, all workers start, and then all is asked again at once."""
    rates, marks = fleet.rates, list(range(fleets.WORKERS))
    fleet.rates = [0.0] * fleet.size
    fleet.tell(marks, io.WorkerState.GONE)
    fleet.pause(60 * SECOND)
    fleet.rates = rates
    fleet.start(marks)


def all_start_together(fleet: Fleet) -> None:
    """Workers and dispatchers: no dispatcher knows a rate, and all workers are cold."""
    marks = list(range(fleets.WORKERS))
    fleet.tell(marks, io.WorkerState.GONE)
    fleet.restart(fleet.part(10))
    fleet.pause(SECOND)
    fleet.start(marks)


def plays(cases: list[Case], sizes: list[int]) -> list[tuple[Case, int]]:
    """Each case at each size; of one dispatcher alone no others can carry the traffic."""
    alone = (fleets.others_carried_their_traffic, 1)
    return [(case, size) for case in cases for size in sizes if (case, size) != alone]


def name(value: Any) -> str:
    return getattr(value, "__name__", str(value))


@pytest.mark.parametrize("capacity", [0.4, 5.0])
@pytest.mark.parametrize(("case", "size"), plays([*CASES, burst, lull], [1, 2, 5, 30, 200]), ids=name)
def test_few_requests(case: Case, capacity: float, size: int) -> None:
    """N of two and three seconds, of the half: from 0.2 at the start to 19 at the end."""
    keeps_to_the_budget(Fleet(size, size, capacity=capacity), case)


@pytest.mark.parametrize("size", [1, 30, 200])
def test_hundreds_of_requests(size: int) -> None:
    """N up to 375, where the half and its chance are far below what the weight says."""
    keeps_to_the_budget(Fleet(size, size, capacity=100.0), fleets.some_restarted)


@pytest.mark.parametrize(
    ("case", "size"),
    plays(
        [fleets.replaced, fleets.zone_gone, fleets.others_carried_their_traffic, fleets.traffic_moved],
        [1, 5, 30, 200],
    ),
    ids=name,
)
def test_twice_as_much_is_asked_as_can_be_done(case: Case, size: int) -> None:
    """The best of a few noisy rates is far more than the fleet can do, and so is what is asked."""
    keeps_to_the_budget(Fleet(size, size, load=2.0, satisfied=0.5), case)


def test_seven_in_ten_of_many_dispatchers_restarted_in_an_overload() -> None:
    """A seed that went over the budget while the first rate of a life left out a part of its time."""
    fleet = Fleet(200, 1200, load=2.0, satisfied=0.5)
    keeps_to_the_budget(fleet, fleets.others_carried_their_traffic)


@pytest.mark.parametrize("size", [1, 2, 5, 30, 200])
@pytest.mark.parametrize(
    "case",
    [
        burst,
        lull,
        all_ask_as_they_are_told,
        clock_ahead,
        others_are_full,
        released,
        doubled,
        most_are_cold_as_dispatchers_begin,
    ],
    ids=lambda case: case.__name__,
)
def test_further_starts(case: Case, size: int) -> None:
    keeps_to_the_budget(Fleet(size, size), case)


@pytest.mark.parametrize(
    ("case", "size", "least"),
    [
        (quiet_before_all_start, 1, 0.5),
        (quiet_before_all_start, 5, 0.3),
        (quiet_before_all_start, 30, 0.1),
        (quiet_before_all_start, 200, 0.01),
        *((all_start_together, size, 0.01) for size in (1, 5, 30, 200)),
    ],
    ids=name,
)
def test_a_rate_that_is_not_known_yet_locks_nothing_out(case: Case, size: int, least: float) -> None:
    """A wait that was set before a rate was known is set anew; 0.01 of the budgets is a request a worker."""
    fleet = Fleet(size, size)
    keeps_to_the_budget(fleet, case)
    assert fleet.mean_used() >= least


@pytest.mark.parametrize("size", [1, 30, 200])
def test_the_whole_capacity_is_in_use(size: int) -> None:
    keeps_to_the_budget(Fleet(size, size, load=1.0), fleets.replaced)


@pytest.mark.parametrize("size", [30, 200])
def test_the_first_requests_are_spread(size: int) -> None:
    """Each dispatcher is told at the same instant, and is asked at once: no more than a few may send then."""
    fleet = Fleet(size, size)
    fleet.run_until(WARM_UP)
    fleet.tell([3], io.WorkerState.GONE)
    fleet.pause(200 * MS)
    fleet.tell([3], io.WorkerState.UP, fleet.now)
    fleet.heat([3])
    for dispatcher in fleet.dispatchers:
        dispatcher.request(fleet.hot[0])
    assert len(fleet.sent(3)) <= 3


@pytest.mark.parametrize("seed", range(1, 7))
def test_the_first_rate_of_a_life_counts_all_of_its_time(seed: int) -> None:
    """Requests that come before the first period begins, at a random time, are counted with their time."""
    fleet = Fleet(1, seed, load=10.0)
    fleet.run_until(600 * MS)
    asked_per_second = fleet.dispatchers[0].policy.state.traffic.new_requests_per_second
    assert asked_per_second == pytest.approx(fleet.rates[0], rel=0.15)

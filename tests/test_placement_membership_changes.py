"""Workers are unreachable, return cold or restart, and membership updates are stale, reordered or lost."""

from __future__ import annotations

from collections import Counter
from itertools import count
from random import Random

import pytest

from martenlead.policy import types
from martenlead.policy.candidates import CandidateIndex, Ranking
from martenlead.policy.state import Worker
from tests.placement_rig import BUDGET, assert_all_requests_ended, assert_consistent, first_workers, fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND, facts_of_workers, worker_facts


@pytest.mark.parametrize("keep_alive_ns", [8 * SECOND, 7200 * SECOND])
def test_a_region_gone_for_an_hour_gets_no_work_and_its_replicas_do_not_count_as_warm(
    keep_alive_ns: int,
) -> None:
    """A third of 600 workers drains and is gone. For an hour the others serve; then the same processes are
    listed again, and may or may not have their replicas still."""
    fleet, (dispatcher,) = fleet_of(600, 1, keep_alive_ns=keep_alive_ns)
    functions = range(1000, 1060)
    before = first_workers(fleet, dispatcher, functions)
    region = set(range(200))
    in_region = [f for f in functions if before[f] in region]
    assert len(in_region) > 10
    dispatcher.update_workers(facts_of_workers(sorted(region), types.WorkerState.DRAINING))
    gone_ns = fleet.now
    fleet.run_for(2 * SECOND)
    dispatcher.update_workers(facts_of_workers(sorted(region), types.WorkerState.GONE))
    for _ in range(60):
        for function in (*functions[:20], *in_region[:3]):
            assert dispatcher.call(function) not in region
            fleet.run_for(100 * MS)
        fleet.run_for(60 * SECOND - 23 * 100 * MS)
    assert not [a for a in dispatcher.attempts if a.time_ns >= gone_ns and a.mark in region]
    assert not [load for load in dispatcher.load_requests if load[0] >= gone_ns and load[2] in region]
    dispatcher.update_workers(facts_of_workers(sorted(region)))
    again = [f for f in in_region[3:] if f not in functions[:20]]
    for function in again:
        before_call = len(dispatcher.attempts)
        assert dispatcher.call(function) == before[function]
        assert dispatcher.attempts[before_call].attempt.expects_warm == 0
        fleet.run_for(300 * MS)
    assert len(again) > 5
    assert_all_requests_ended(dispatcher)
    assert_consistent(dispatcher.policy)


def test_a_zone_that_returns_cold_is_not_overloaded_by_all_dispatchers_together() -> None:
    """Thirty of 300 workers are lost under traffic and return as new processes. Half of the calls are
    for new functions that have one of these as first candidate: five times as many as they may get.
    From all ten dispatchers together, a cold worker may get `fall_multiple` times its share of the mean, and
    half as much again by chance."""
    fleet, dispatchers = fleet_of(300, 10)
    random, zone, index = Random(4), set(range(0, 300, 10)), CandidateIndex()
    for fact in facts_of_workers(range(300)):
        index.add(Worker(fact, 0, 1.0))
    new = (f for f in count(10_000) if next(Ranking(f).candidates(index, 0)).facts.mark in zone)

    def run_traffic(seconds: int) -> None:
        """Calls known functions and new ones, 25 times a second at each dispatcher."""
        for _ in range(seconds * 25):
            for dispatcher in dispatchers:
                dispatcher.call(1000 + int(200 * random.random() ** 2))
                dispatcher.call(next(new))
            fleet.run_for(40 * MS)

    run_traffic(3)
    fleet.stop_workers(zone)
    for dispatcher in dispatchers:
        dispatcher.update_workers(facts_of_workers(sorted(zone), types.WorkerState.GONE))
    run_traffic(2)
    started_ns, window_seconds = fleet.now, 6
    fleet.up |= zone
    for dispatcher in dispatchers:
        dispatcher.update_workers(facts_of_workers(sorted(zone), started_ns=started_ns))
    run_traffic(window_seconds)
    sent = Counter(
        a.mark for d in dispatchers for a in d.attempts if a.time_ns >= started_ns and a.mark in zone
    )
    settings = dispatchers[0].settings
    share = (
        settings.slow_start_share
        + (1 - settings.slow_start_share) * window_seconds * SECOND / settings.slow_start_ns / 2
    )  # mean of the window
    allowed = settings.slow_start_multiple * share * window_seconds * (10 * 50 / 300)
    assert len(zone) <= sum(sent.values()) <= len(zone) * allowed
    assert max(sent.values()) <= 1.5 * allowed
    fleet.run_for(5 * SECOND)
    for dispatcher in dispatchers:
        assert_all_requests_ended(dispatcher)
        assert dispatcher.final_responses["satisfied"] == len(dispatcher.call_times_ns)


@pytest.mark.parametrize("seed", range(4))
def test_stale_repeated_reordered_and_lost_updates_lose_no_request(seed: int) -> None:
    """Each request has its one final response whatever discovery reports meanwhile: gone twice, up twice,
    workers that were never listed, older updates after newer ones, snapshots with attempts and loads in
    flight, and updates that never arrive."""
    fleet, (dispatcher,) = fleet_of(320, 1)
    random = Random(seed)
    reported = [worker_facts(mark) for mark in range(320)]
    for _ in range(400):
        dispatcher.call(3000 + int(80 * random.random() ** 2))
        kind = random.random()
        if kind < 0.2:
            mark, started_ns = random.randrange(340), random.choice([0, 0, fleet.now])
            new = [worker_facts(mark, random.choice(list(types.WorkerState)), started_ns)] * random.randint(
                1, 2
            )
            reported += new
            if random.random() < 0.8:  # otherwise the update is lost
                dispatcher.update_workers(new)
        elif kind < 0.3:
            dispatcher.update_workers(random.sample(reported, 3))  # stale
        elif kind < 0.33:
            gone = {fact.mark for fact in random.sample(reported, 5)}
            dispatcher.update_workers(
                [worker_facts(mark) for mark in range(320) if mark not in gone], is_snapshot=True
            )
        elif kind < 0.36:
            marks = {worker.facts.mark for worker in dispatcher.policy.state.workers}
            version = dispatcher.policy.state.index.version
            dispatcher.update_workers(
                [dispatcher.workers[mark].facts for mark in sorted(marks)], is_snapshot=True
            )
            assert dispatcher.policy.state.index.version == version
        elif kind < 0.4:
            fleet.stop_workers([random.randrange(320)])
        elif kind < 0.45:
            fleet.up |= set(range(320))
        assert_consistent(dispatcher.policy)
        fleet.run_for(random.randrange(60) * MS)
    dispatcher.update_workers(facts_of_workers(range(320)), is_snapshot=True)
    fleet.run_for(10 * SECOND)
    assert_all_requests_ended(dispatcher)
    assert [worker.facts.mark for worker in dispatcher.policy.state.workers] == list(range(320))
    assert dispatcher.final_responses["satisfied"] > 300


def test_a_mass_restart_keeps_load_requests_within_the_budget() -> None:
    """Twelve dispatchers start at once and know no replica. At each load request, those of the last second
    are no more than the budget allows for the requests of that second."""
    fleet, dispatchers = fleet_of(400, 12, **BUDGET)
    random = Random(5)
    for _ in range(200):
        for dispatcher in dispatchers:
            dispatcher.call(1000 + int(300 * random.random() ** 3))
        fleet.run_for(25 * MS)
    fleet.run_for(5 * SECOND)
    loaded: list[tuple[int, int]] = []
    for dispatcher in dispatchers:
        for time_ns, _, _ in dispatcher.load_requests:
            loads = sum(time_ns - SECOND < other <= time_ns for other, _, _ in dispatcher.load_requests)
            requests = sum(time_ns - SECOND <= call <= time_ns for call in dispatcher.call_times_ns)
            assert loads <= BUDGET["free_loads_per_window"] + BUDGET["loads_per_request"] * requests
        loaded += [(function, mark) for _, function, mark in dispatcher.load_requests]
        assert_all_requests_ended(dispatcher)
    assert len(loaded) > 100
    assert len(set(loaded)) < len(loaded) / 2  # they load the same replicas

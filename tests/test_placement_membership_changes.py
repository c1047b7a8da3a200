"""Workers are cut off, return cold or restart, and membership updates are stale, reordered or lost."""

from __future__ import annotations

from collections import Counter
from itertools import count
from random import Random

import pytest

from martenlead.policy import types as io
from martenlead.policy.candidates import CandidateIndex, Ranking
from martenlead.policy.state import Worker
from tests.placement_rig import BUDGET, all_ended, consistent, first_workers, fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND, line, lines


@pytest.mark.parametrize("keep", [8 * SECOND, 7200 * SECOND])
def test_a_region_cut_off_for_an_hour_gets_nothing_and_its_replicas_are_not_believed(keep: int) -> None:
    """A third of 600 workers drains and is gone. For an hour the others serve; then it is listed again
    with the same processes, which may or may not hold what they held."""
    fleet, (dispatcher,) = fleet_of(600, 1, keep_alive_ns=keep)
    functions = range(1000, 1060)
    before = first_workers(fleet, dispatcher, functions)
    region = set(range(200))
    there = [f for f in functions if before[f] in region]
    assert len(there) > 10
    dispatcher.tell(lines(sorted(region), io.WorkerState.DRAINING))
    cut = fleet.now
    fleet.run_for(2 * SECOND)
    dispatcher.tell(lines(sorted(region), io.WorkerState.GONE))
    for _ in range(60):
        for function in (*functions[:20], *there[:3]):
            assert dispatcher.call(function) not in region
            fleet.run_for(100 * MS)
        fleet.run_for(60 * SECOND - 23 * 100 * MS)
    assert not [a for a in dispatcher.attempts if a.at >= cut and a.mark in region]
    assert not [load for load in dispatcher.loads if load[0] >= cut and load[2] in region]
    dispatcher.tell(lines(sorted(region)))
    again = [f for f in there[3:] if f not in functions[:20]]
    for function in again:
        began = len(dispatcher.attempts)
        assert dispatcher.call(function) == before[function]
        assert dispatcher.attempts[began].sent.expects_warm == 0
        fleet.run_for(300 * MS)
    assert len(again) > 5
    all_ended(dispatcher)
    consistent(dispatcher.policy)


def test_a_zone_that_returns_cold_is_not_pushed_over_by_all_dispatchers_together() -> None:
    """Thirty of 300 workers are lost under traffic and return as new processes. Half of the calls are
    of functions never seen before which all rank one of these first: five times as many as they may
    get. Over all ten dispatchers a cold worker may get `fall_multiple` times its share of the mean, and
    half as much again for chance."""
    fleet, dispatchers = fleet_of(300, 10)
    chance, zone, index = Random(4), set(range(0, 300, 10)), CandidateIndex()
    for fact in lines(range(300)):
        index.add(Worker(fact, 0, 1.0))
    new = (f for f in count(10_000) if next(Ranking(f).candidates(index, 0)).facts.mark in zone)

    def traffic(seconds: int) -> None:
        for _ in range(seconds * 25):
            for dispatcher in dispatchers:
                dispatcher.call(1000 + int(200 * chance.random() ** 2))
                dispatcher.call(next(new))
            fleet.run_for(40 * MS)

    traffic(3)
    fleet.lose(zone)
    for dispatcher in dispatchers:
        dispatcher.tell(lines(sorted(zone), io.WorkerState.GONE))
    traffic(2)
    began, window = fleet.now, 6
    fleet.up |= zone
    for dispatcher in dispatchers:
        dispatcher.tell(lines(sorted(zone), since=began))
    traffic(window)
    sent = Counter(a.mark for d in dispatchers for a in d.attempts if a.at >= began and a.mark in zone)
    s = dispatchers[0].settings
    share = (
        s.slow_start_share + (1 - s.slow_start_share) * window * SECOND / s.slow_start_ns / 2
    )  # mean of the window
    allowed = s.slow_start_multiple * share * window * (10 * 50 / 300)
    assert len(zone) <= sum(sent.values()) <= len(zone) * allowed
    assert max(sent.values()) <= 1.5 * allowed
    fleet.run_for(5 * SECOND)
    for dispatcher in dispatchers:
        all_ended(dispatcher)
        assert dispatcher.finals["satisfied"] == len(dispatcher.calls)


@pytest.mark.parametrize("seed", range(4))
def test_stale_repeated_reordered_and_lost_news_lose_no_request(seed: int) -> None:
    """Each request has its one final response whatever is told meanwhile: gone twice, up twice, workers
    that were never listed, older lines after newer ones, whole lists with attempts and loads out, and
    lines that never come."""
    fleet, (dispatcher,) = fleet_of(320, 1)
    chance = Random(seed)
    told = [line(mark) for mark in range(320)]
    for _ in range(400):
        dispatcher.call(3000 + int(80 * chance.random() ** 2))
        kind = chance.random()
        if kind < 0.2:
            mark, since = chance.randrange(340), chance.choice([0, 0, fleet.now])
            new = [line(mark, chance.choice(list(io.WorkerState)), since)] * chance.randint(1, 2)
            told += new
            if chance.random() < 0.8:  # else it is lost
                dispatcher.tell(new)
        elif kind < 0.3:
            dispatcher.tell(chance.sample(told, 3))  # stale
        elif kind < 0.33:
            gone = {fact.mark for fact in chance.sample(told, 5)}
            dispatcher.tell([line(mark) for mark in range(320) if mark not in gone], whole=True)
        elif kind < 0.36:
            marks = {worker.facts.mark for worker in dispatcher.policy.state.workers}
            version = dispatcher.policy.state.index.version
            dispatcher.tell([dispatcher.workers[mark].facts for mark in sorted(marks)], whole=True)
            assert dispatcher.policy.state.index.version == version
        elif kind < 0.4:
            fleet.lose([chance.randrange(320)])
        elif kind < 0.45:
            fleet.up |= set(range(320))
        consistent(dispatcher.policy)
        fleet.run_for(chance.randrange(60) * MS)
    dispatcher.tell(lines(range(320)), whole=True)
    fleet.run_for(10 * SECOND)
    all_ended(dispatcher)
    assert [worker.facts.mark for worker in dispatcher.policy.state.workers] == list(range(320))
    assert dispatcher.finals["satisfied"] > 300


def test_a_mass_restart_keeps_load_requests_within_the_budget() -> None:
    """Twelve dispatchers start at once and know no replica. Whenever a load request is given, those of
    the last second are no more than the budget says for the requests of that second."""
    fleet, dispatchers = fleet_of(400, 12, **BUDGET)
    chance = Random(5)
    for _ in range(200):
        for dispatcher in dispatchers:
            dispatcher.call(1000 + int(300 * chance.random() ** 3))
        fleet.run_for(25 * MS)
    fleet.run_for(5 * SECOND)
    given: list[tuple[int, int]] = []
    for dispatcher in dispatchers:
        for at, _, _ in dispatcher.loads:
            loads = sum(at - SECOND < other <= at for other, _, _ in dispatcher.loads)
            requests = sum(at - SECOND <= call <= at for call in dispatcher.calls)
            assert loads <= BUDGET["free_loads_per_window"] + BUDGET["loads_per_request"] * requests
        given += [(function, mark) for _, function, mark in dispatcher.loads]
        all_ended(dispatcher)
    assert len(given) > 100
    assert len(set(given)) < len(given) / 2  # they load the same replicas

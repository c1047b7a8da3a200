"""Placement over long lists of workers: many dispatchers in virtual time, with trouble of every kind."""

from __future__ import annotations

import gc
import weakref
from collections import Counter
from itertools import count, dropwhile, pairwise
from pathlib import Path
from random import Random
from typing import Any

import pytest

from martenlead.capture import events as ev
from martenlead.capture.checkpoint import load
from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.replay import replay, write_checkpoint_between
from martenlead.capture.replayer import Replayer
from martenlead.policy import replica_scaling
from martenlead.policy import types as io
from martenlead.policy.candidates import CANDIDATES, CandidateIndex, Ranking
from martenlead.policy.policy import Policy
from martenlead.policy.replica_scaling import SLICE_FUNCTIONS
from martenlead.policy.state import State, Worker
from tests.play import MS
from tests.virtual_fleet import SECOND, Dispatcher, Fleet, line, lines

BUDGET = {"load_window_ns": SECOND, "free_loads_per_window": 4.0, "loads_per_request": 0.1}


def fleet_of(workers: int, dispatchers: int, **changes: Any) -> tuple[Fleet, list[Dispatcher]]:
    fleet = Fleet(range(workers))
    made = [Dispatcher(fleet, seed, dispatchers=dispatchers, **changes) for seed in range(dispatchers)]
    for dispatcher in made:
        dispatcher.tell(lines(range(workers)), whole=True)
        dispatcher.begin()
    return fleet, made


def first_workers(fleet: Fleet, dispatcher: Dispatcher, functions: range) -> dict[int, int | None]:
    """Of functions that nobody has called: the worker of each one's first attempt, one after the other."""
    found: dict[int, int | None] = {}
    for function in functions:
        found[function] = dispatcher.call(function)
        fleet.run_for(300 * MS)
    return found


def agreement(one: dict[int, int | None], other: dict[int, int | None]) -> float:
    return sum(one[function] == other[function] for function in one) / len(one)


def all_ended(dispatcher: Dispatcher) -> None:
    """Each request has its one final response, and nothing counts as out."""
    assert sum(dispatcher.finals.values()) == len(dispatcher.calls)
    assert dispatcher.policy.state.warm_in_flight == 0
    assert all(worker.in_flight == worker.warm_in_flight == 0 for worker in dispatcher.workers.values())


def consistent(policy: Policy) -> None:
    """The list is sorted with no worker twice, and functions and workers know the same replicas."""
    marks = [worker.facts.mark for worker in policy.state.workers]
    assert marks == sorted(set(marks))
    assert all(worker.is_listed for worker in policy.state.workers)
    of_functions = {copy for model in policy.state.functions for copy in model.replicas.values()}
    of_workers = {copy for worker in policy.state.workers for copy in worker.replicas.values()}
    assert of_workers <= of_functions


# -- what many dispatchers agree on


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


# -- regions, zones


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


# -- news of every kind


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


# -- a mass restart, a hot function


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


def test_a_hot_function_grows_beyond_the_candidates_beside_thousands_of_rare_ones() -> None:
    fleet, (dispatcher,) = fleet_of(1000, 1)
    hot = 7
    fleet.run_time[hot] = 200 * MS
    for n in range(1500):
        dispatcher.call(hot)
        dispatcher.call(100_000 + n)
        fleet.run_for(10 * MS)
    model = dispatcher.functions[hot]
    held = {copy.worker.facts.mark for copy in model.replicas.values() if copy.is_retained}
    assert len(held) > 2 * CANDIDATES
    late = Counter(a.mark for a in dispatcher.attempts[-400:] if a.function == hot)
    assert len(late) > CANDIDATES
    assert max(late.values()) <= 30
    rare = {a.function: a.mark for a in reversed(dispatcher.attempts) if a.function != hot}
    assert len(rare) > 1490
    assert len(set(rare.values())) > 600
    fleet.run_for(5 * SECOND)
    all_ended(dispatcher)
    assert dispatcher.finals["satisfied"] >= 2970


# -- state


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


# -- the check, some functions at a time


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


def captured(workers: int, functions: int) -> list[ev.CaptureEvent]:
    """A life with calls in each millisecond, so that some fall between two slices of a check."""
    fleet, events, chance = Fleet(range(workers)), list[ev.CaptureEvent](), Random(9)
    dispatcher = Dispatcher(fleet, 1, CaptureRecorder(events.append, "edge"), **BUDGET)
    dispatcher.tell(lines(range(workers)), whole=True)
    dispatcher.begin()
    for _ in range(1600):
        dispatcher.call(int(functions * chance.random() ** 2))
        fleet.run_for(2 * MS if chance.random() < 0.9 else 300_000)
    return events


def places_between_slices(events: list[ev.CaptureEvent]) -> list[int]:
    """Where an input begins while functions of a period are still to be checked."""
    replayer, found = Replayer(), []
    for place, event in enumerate(events):
        if isinstance(event, ev.InputEvent):
            if replayer.start is not None and replayer.policy.scaling.unchecked:
                found.append(place)
            replayer.feed(event)
            replayer.pending_decisions.clear()
    return found


def test_a_checkpoint_between_two_slices_goes_on_with_the_same_decisions(tmp_path: Path) -> None:
    events = captured(2000, 90)
    assert replay(events).divergence is None
    places = places_between_slices(events)
    assert len(places) >= 3
    for place in places[:: max(1, len(places) // 4)]:
        write_checkpoint_between(events[:place], events[place:], tmp_path / "x.ckpt")
        rest = list(dropwhile(lambda e: not isinstance(e, ev.InputEvent), events[place:]))
        outcome = replay([load(tmp_path / "x.ckpt"), *rest])
        assert (outcome.divergence, outcome.stop_reason, outcome.events) == (None, "", len(rest) + 1)
        assert outcome.decisions > 100


def test_a_checkpoint_of_many_functions_and_workers_is_written_and_read(tmp_path: Path) -> None:
    """Functions and workers refer to each other through their replicas: a chain as long as the list."""
    events = captured(300, 300)
    place = len(events) - 50
    write_checkpoint_between(events[:place], events[place:], tmp_path / "x.ckpt")
    rest = list(dropwhile(lambda e: not isinstance(e, ev.InputEvent), events[place:]))
    outcome = replay([load(tmp_path / "x.ckpt"), *rest])
    assert (outcome.divergence, outcome.stop_reason, outcome.events) == (None, "", len(rest) + 1)


@pytest.mark.parametrize(("workers", "goes_on"), [(256, False), (257, True)])
def test_a_request_goes_on_along_its_candidates_where_no_known_holder_has_room(
    workers: int, goes_on: bool
) -> None:
    """Of a short list it is rejected: a load at the next worker would push out what others need."""
    fleet, (dispatcher,) = fleet_of(workers, 1)
    holder = dispatcher.call(0)
    fleet.run_for(SECOND)
    assert holder is not None
    dispatcher.workers[holder].next_attempt_ns = fleet.now + SECOND  # its share is used up
    following = dispatcher.call(0)
    ranked = [w.facts.mark for w in dispatcher.policy.placement.candidates(dispatcher.functions[0])]
    assert ranked[0] == holder
    assert following == (ranked[1] if goes_on else None)


def test_where_no_candidate_has_room_a_request_is_rejected_at_once() -> None:
    fleet, (dispatcher,) = fleet_of(1_000, 1)
    dispatcher.call(0)
    fleet.run_for(SECOND)
    for worker in dispatcher.workers.values():
        worker.next_attempt_ns = fleet.now + SECOND
    finals = dispatcher.finals.copy()
    assert dispatcher.call(0) is None
    assert sum((dispatcher.finals - finals).values()) == 1

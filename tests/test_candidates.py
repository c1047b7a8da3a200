"""The ranking of workers for a function: the same at every dispatcher, spread by weight, and bounded."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from random import Random
from zlib import crc32

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenlead.policy import types as io
from martenlead.policy.candidates import CANDIDATES, FULLY_RANKED_WORKERS, LEAVES, CandidateIndex, Ranking
from martenlead.policy.policy import Policy
from martenlead.policy.state import Worker
from tests.play import SETTINGS

FULL_SIZE = 7_700
FUNCTIONS = range(1_000_000, 1_000_600)
SEEDS = st.integers(0, 2**32)


def facts(mark: int, weight: float = 1.0, state: io.WorkerState = io.WorkerState.UP) -> io.WorkerFacts:
    return io.WorkerFacts(mark, f"zone-{mark % 10}", 0, 50_000.0, weight, state, 0)


def worker(mark: int, weight: float = 1.0) -> Worker:
    return Worker(facts(mark, weight), 0, 1.0)


def index_of(workers: Iterable[Worker]) -> CandidateIndex:
    index = CandidateIndex()
    for one in workers:
        index.add(one)
    return index


def fleet(size: int) -> list[Worker]:
    return [worker(mark) for mark in Random(size).sample(range(1 << 40), size)]


def marks(index: CandidateIndex, function: int, replicas: int = 0) -> list[int]:
    return [one.facts.mark for one in Ranking(function).candidates(index, replicas)]


def firsts(index: CandidateIndex, functions: Iterable[int] = FUNCTIONS) -> dict[int, int]:
    return {function: next(Ranking(function).candidates(index, 0)).facts.mark for function in functions}


def moved(before: dict[int, int], after: dict[int, int]) -> float:
    return sum(before[function] != after[function] for function in before) / len(before)


# -- up to 256 workers


@given(SEEDS, st.integers(0, FULLY_RANKED_WORKERS))
@settings(max_examples=30, deadline=None)
def test_a_short_list_is_in_the_order_of_weighted_rendezvous_hashing(seed: int, size: int) -> None:
    chance = Random(seed)
    weights = {mark: chance.choice((0.5, 1.0, 3.0, 8.0)) for mark in chance.sample(range(1 << 48), size)}

    def key(mark: int) -> float:
        return -math.log((crc32(f"{seed} {mark}".encode()) + 1) / 2**32) / weights[mark]

    index = index_of(worker(mark, weight) for mark, weight in weights.items())
    assert marks(index, seed) == sorted(sorted(weights), key=key)


# -- the same list, whatever led to it


def told(policy: Policy, known: dict[int, Worker], lines: list[io.WorkerFacts], whole: bool = False) -> None:
    """News of workers by their marks, as a door tells it."""
    for line in lines:
        if line.mark not in known:
            known[line.mark] = policy.new_worker(line)
    policy.update_workers([(known[line.mark], line) for line in lines], whole)


@given(SEEDS)
@settings(max_examples=8, deadline=None)
def test_every_history_that_ends_in_the_same_list_draws_the_same(seed: int) -> None:
    """One dispatcher hears the whole list once. The other hears of joins, leaves, returns and weights, each
    line up to three times and out of turn, of workers that it never knew, and whole lists in between."""
    chance = Random(seed)
    weights = {mark: chance.choice((0.25, 1.0, 2.0, 8.0)) for mark in chance.sample(range(1 << 40), 400)}
    last = [facts(mark, weight) for mark, weight in weights.items()]
    once, often = Policy(SETTINGS, 1), Policy(SETTINGS, 2)
    told(once, {}, last, whole=True)
    known: dict[int, Worker] = {}
    for _ in range(6):
        some = chance.sample(last, 150)
        lines = [
            facts(line.mark, chance.random() + 0.1, chance.choice(list(io.WorkerState))) for line in some
        ]
        lines += [facts(chance.randrange(1 << 41), 1.0, io.WorkerState.GONE) for _ in range(20)]
        lines = [line for line in lines for _ in range(chance.randint(1, 3))]
        chance.shuffle(lines)
        told(often, known, lines, whole=chance.random() < 0.3)
    for line in chance.sample(last, 400):
        told(often, known, [line])
    assert (
        [r.facts.mark for r in often.state.workers]
        == [r.facts.mark for r in once.state.workers]
        == sorted(weights)
    )
    assert often.state.index.weight == once.state.index.weight
    assert often.state.index.memory == pytest.approx(once.state.index.memory)
    for function in range(40):
        assert marks(often.state.index, function, 5) == marks(once.state.index, function, 5)


def test_the_candidates_do_not_depend_on_what_was_asked_before() -> None:
    index = index_of(fleet(500))
    for function in range(50):
        asked = Ranking(function)
        next(asked.candidates(index, 3))
        list(asked.candidates(index, 0))
        assert [w.facts.mark for w in asked.candidates(index, 20)] == marks(index, function, 20)


class FewLeaves(CandidateIndex):
    """Many workers in each leaf, as at fleets of tens of thousands."""

    def _leaf(self, worker: Worker) -> int:
        return LEAVES + worker.facts.mark % 16


@given(SEEDS)
@settings(max_examples=10, deadline=None)
def test_sums_of_weights_keep_nothing_of_the_order_of_news(seed: int) -> None:
    chance = Random(seed)
    workers = [worker(mark, chance.uniform(0.1, 8.0)) for mark in range(400)]
    one, other = FewLeaves(), FewLeaves()
    for each in workers[:300]:
        one.add(each)
    for each in chance.sample(workers, 400):
        other.add(each)
    for each in chance.sample(workers[300:], 100):
        other.remove(each)
    assert one.weight == other.weight
    assert [marks(one, function) for function in range(20)] == [
        marks(other, function) for function in range(20)
    ]


def test_a_version_changes_with_the_list_alone() -> None:
    policy, known = Policy(SETTINGS, 1), dict[int, Worker]()
    lines = [facts(mark, 1.0 + mark % 3) for mark in range(300)]
    told(policy, known, lines, whole=True)
    version = policy.state.index.version
    told(policy, known, list(reversed(lines)), whole=True)
    told(policy, known, lines[:7] * 3)
    told(
        policy,
        known,
        [facts(5, lines[5].weight, io.WorkerState.DRAINING), facts(10**6, 1.0, io.WorkerState.GONE)],
    )
    assert policy.state.index.version == version
    versions = [version]
    for line in (facts(5, 8.0), facts(6, 1.0, io.WorkerState.GONE), facts(6), facts(301)):
        told(policy, known, [line])
        versions.append(policy.state.index.version)
        told(policy, known, [line])
        assert policy.state.index.version == versions[-1]
    assert len(set(versions)) == len(versions)


# -- shares and moves


def test_first_candidates_follow_the_weights() -> None:
    """Of 9,000 functions each class of weight has its share within four standard deviations, each worker of
    300 within five."""
    weights = {worker_mark: (1.0, 2.0, 4.0, 8.0)[worker_mark % 4] for worker_mark in range(300)}
    index = index_of(worker(mark, weight) for mark, weight in weights.items())
    drawn, functions = Counter(firsts(index, range(9_000)).values()), 9_000
    total = sum(weights.values())
    for weight in (1.0, 2.0, 4.0, 8.0):
        of_class = [mark for mark in weights if weights[mark] == weight]
        expected = functions * weight * len(of_class) / total
        got = sum(drawn[mark] for mark in of_class)
        assert abs(got - expected) < 4 * math.sqrt(expected), (weight, got, expected)
    for mark, weight in weights.items():
        expected = functions * weight / total
        assert abs(drawn[mark] - expected) < 5 * math.sqrt(expected), (mark, drawn[mark], expected)


@pytest.mark.parametrize("size", [300, 2_000, FULL_SIZE])
@pytest.mark.parametrize("change", ["joins", "leaves", "weighs more"])
def test_one_change_moves_a_small_multiple_of_one_share(size: int, change: str) -> None:
    """At most log2(n) / n of the functions on average, in 20 changes of one worker each."""
    workers = fleet(size)
    index = index_of(workers)
    before = firsts(index)
    shares = []
    for one in workers[:: size // 20][:20]:
        if change == "joins":
            one = worker(one.facts.mark + 1)
        else:
            index.remove(one)
        if change == "weighs more":
            one = worker(one.facts.mark, 2.0)
        if change != "leaves":
            index.add(one)
        shares.append(moved(before, firsts(index)))
        if change != "leaves":
            index.remove(one)
        if change != "joins":
            one.facts.weight = 1.0
            index.add(one)
    assert firsts(index) == before
    assert sum(shares) / len(shares) <= math.log2(size) / size
    assert max(shares) <= 4 * math.log2(size) / size + 4 / len(before)


def test_a_lost_zone_moves_its_functions_alone_to_many_and_its_return_gives_back_the_order() -> None:
    """Of the functions that stood elsewhere at most a fifth moves: weights on both sides of a choice change,
    the less the higher it is in the tree."""
    workers = fleet(2_000)
    index = index_of(workers)
    before, orders = firsts(index), {function: marks(index, function, 4) for function in range(60)}
    zone = {one.facts.mark: one for one in workers[::10]}
    for one in zone.values():
        index.remove(one)
    without = firsts(index)
    assert not set(without.values()) & set(zone)
    stayed = {function: mark for function, mark in before.items() if mark not in zone}
    assert moved(stayed, without) <= 0.2
    for mark, one in Random(3).sample(sorted(zone.items()), len(zone)):
        assert one.facts.mark == mark
        index.add(one)
    assert firsts(index) == before
    assert {function: marks(index, function, 4) for function in range(60)} == orders


@pytest.mark.parametrize("size", [300, FULL_SIZE])
def test_the_functions_of_a_lost_worker_spread_over_many(size: int) -> None:
    """A worker of a hundredth of the weight is lost: no other takes over a third of its functions."""
    workers = fleet(size)
    heavy = worker(7, size / 100)
    index = index_of([*workers, heavy])
    functions = range(6_000)
    before = firsts(index, functions)
    lost = [function for function, mark in before.items() if mark == 7]
    index.remove(heavy)
    after = firsts(index, functions)
    heirs = Counter(after[function] for function in lost)
    assert len(lost) > 30
    assert heirs.most_common(1)[0][1] <= len(lost) / 3
    assert len(heirs) > math.sqrt(len(lost))


# -- bounds


def test_the_second_candidates_of_functions_with_one_first_are_many() -> None:
    index = index_of(fleet(300))
    seconds: dict[int, set[int]] = {}
    for function in range(3_000):
        first, second, *_ = marks(index, function)
        seconds.setdefault(first, set()).add(second)
    assert sum(len(found) for found in seconds.values()) > 2_300  # ten functions a first, few seconds shared


@given(SEEDS, st.integers(0, 600), st.integers(0, 80))
@settings(max_examples=40, deadline=None)
def test_candidates_are_bounded_and_never_repeat(seed: int, size: int, replicas: int) -> None:
    workers = [worker(mark) for mark in Random(seed).sample(range(1 << 50), size)]
    found = marks(index_of(workers), seed, replicas)
    assert len(found) == len(set(found))
    assert set(found) <= {one.facts.mark for one in workers}
    if size <= FULLY_RANKED_WORKERS:
        assert len(found) == size
    else:
        assert CANDIDATES <= len(found) <= CANDIDATES + replicas


def test_an_empty_list_has_no_candidates_and_a_tiny_one_gives_all() -> None:
    index, ranking = CandidateIndex(), Ranking(1)
    assert list(ranking.candidates(index, 9)) == []
    only = worker(5)
    index.add(only)
    assert list(ranking.candidates(index, 9)) == [only]
    index.remove(only)
    assert list(ranking.candidates(index, 9)) == []
    assert index.weight == index.memory == 0.0


@pytest.mark.parametrize("weight", [1e-300, 1e-12, 1e12, 1e300])
def test_a_weight_beside_which_others_vanish_still_gives_candidates(weight: float) -> None:
    index = index_of([*fleet(300), worker(7, weight)])
    drawn = Counter(firsts(index, range(200)).values())
    assert drawn[7] == (200 if weight > 1 else 0)
    for function in range(30):
        assert len(set(marks(index, function))) >= (1 if weight > 1 else CANDIDATES)


def test_one_of_weight_nothing_is_no_candidate_beside_others() -> None:
    index = index_of([worker(mark, float(mark % 2)) for mark in range(600)])
    found = {mark for function in range(100) for mark in marks(index, function, 4)}
    assert found
    assert all(mark % 2 for mark in found)


class OneLeaf(CandidateIndex):
    """The worst that the hash of ids can do."""

    def _leaf(self, worker: Worker) -> int:
        return LEAVES + 17


def test_nearly_all_leaves_empty_and_all_workers_in_one_leaf() -> None:
    few = fleet(FULLY_RANKED_WORKERS + 1)
    crowded = OneLeaf()
    for one in few:
        crowded.add(one)
    for index in (index_of(few), crowded):
        assert len(set(firsts(index, range(4_000)).values())) > 250
        assert {len(marks(index, function)) for function in range(30)} == {CANDIDATES}


def test_a_list_that_crosses_256_is_ranked_anew_and_back_as_before() -> None:
    workers = fleet(FULLY_RANKED_WORKERS + 5)
    index = index_of(workers[:FULLY_RANKED_WORKERS])
    ranking = Ranking(77)
    whole = list(ranking.candidates(index, 0))
    for one in workers[FULLY_RANKED_WORKERS:]:
        index.add(one)
    drawn = [one.facts.mark for one in ranking.candidates(index, 0)]
    assert drawn == marks(index, 77)
    assert len(drawn) == CANDIDATES
    for one in workers[FULLY_RANKED_WORKERS:]:
        index.remove(one)
    assert list(ranking.candidates(index, 0)) == whole
    assert len(whole) == FULLY_RANKED_WORKERS


def test_what_was_found_for_more_replicas_is_not_given_for_fewer() -> None:
    """A function that shrank looks at no more workers than one that never grew."""
    index, ranking = index_of(fleet(500)), Ranking(3)
    assert len(list(ranking.candidates(index, 40))) == CANDIDATES + 40
    assert [one.facts.mark for one in ranking.candidates(index, 0)] == marks(index, 3)
    assert len(list(ranking.candidates(index, 0))) == CANDIDATES


@pytest.mark.parametrize("size", [FULLY_RANKED_WORKERS, FULLY_RANKED_WORKERS + 1])
def test_workers_that_all_weigh_nothing_are_ranked_all_the_same(size: int) -> None:
    index = index_of(worker(mark, 0.0) for mark in range(size))
    assert len(marks(index, 1)) >= CANDIDATES

"""The ranking of workers for a function: equal at all dispatchers, spread by weight, and bounded."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from random import Random
from zlib import crc32

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenlead.policy import types
from martenlead.policy.candidates import CANDIDATES, FULLY_RANKED_WORKERS, LEAVES, CandidateIndex, Ranking
from martenlead.policy.policy import Policy
from martenlead.policy.state import Worker
from tests.play import SETTINGS

FULL_SIZE = 7_700
FUNCTIONS = range(1_000_000, 1_000_600)
SEEDS = st.integers(0, 2**32)


def worker_facts(
    mark: int, weight: float = 1.0, state: types.WorkerState = types.WorkerState.UP
) -> types.WorkerFacts:
    """What discovery reports of one worker."""
    return types.WorkerFacts(mark, f"zone-{mark % 10}", 0, 50_000.0, weight, state, 0)


def new_worker(mark: int, weight: float = 1.0) -> Worker:
    """A worker with this mark and weight."""
    return Worker(worker_facts(mark, weight), 0, 1.0)


def index_of(workers: Iterable[Worker]) -> CandidateIndex:
    """An index of these workers."""
    index = CandidateIndex()
    for worker in workers:
        index.add(worker)
    return index


def random_workers(size: int) -> list[Worker]:
    """Workers with random marks, the same ones for the same size."""
    return [new_worker(mark) for mark in Random(size).sample(range(1 << 40), size)]


def candidate_marks(index: CandidateIndex, function: int, replicas: int = 0) -> list[int]:
    """The marks of a function's candidates, in order."""
    return [worker.facts.mark for worker in Ranking(function).candidates(index, replicas)]


def first_candidates(index: CandidateIndex, functions: Iterable[int] = FUNCTIONS) -> dict[int, int]:
    """The mark of the first candidate of each function."""
    return {function: next(Ranking(function).candidates(index, 0)).facts.mark for function in functions}


def moved_share(before: dict[int, int], after: dict[int, int]) -> float:
    """The share of functions whose first candidate differs."""
    return sum(before[function] != after[function] for function in before) / len(before)


# -- up to 256 workers


@given(SEEDS, st.integers(0, FULLY_RANKED_WORKERS))
@settings(max_examples=30, deadline=None)
def test_a_short_list_is_ranked_by_weighted_rendezvous_hashing(seed: int, size: int) -> None:
    """The score is computed here anew, from its published formula."""
    random = Random(seed)
    weights = {mark: random.choice((0.5, 1.0, 3.0, 8.0)) for mark in random.sample(range(1 << 48), size)}

    def score(mark: int) -> float:
        """The rendezvous score of a worker."""
        return -math.log((crc32(f"{seed} {mark}".encode()) + 1) / 2**32) / weights[mark]

    index = index_of(new_worker(mark, weight) for mark, weight in weights.items())
    assert candidate_marks(index, seed) == sorted(sorted(weights), key=score)


# -- the same list, whatever led to it


def apply_report(
    policy: Policy, known: dict[int, Worker], reports: list[types.WorkerFacts], is_snapshot: bool = False
) -> None:
    """Applies a report of discovery, with a new object for each worker that is not `known`."""
    for facts in reports:
        if facts.mark not in known:
            known[facts.mark] = policy.new_worker(facts)
    policy.update_workers([(known[facts.mark], facts) for facts in reports], is_snapshot)


@given(SEEDS)
@settings(max_examples=8, deadline=None)
def test_every_history_that_ends_in_the_same_list_draws_the_same(seed: int) -> None:
    """One dispatcher gets a single snapshot. The other gets joins, leaves, returns and weights, each up to
    three times and in any order, unknown workers that are gone, and snapshots in between."""
    random = Random(seed)
    weights = {mark: random.choice((0.25, 1.0, 2.0, 8.0)) for mark in random.sample(range(1 << 40), 400)}
    last = [worker_facts(mark, weight) for mark, weight in weights.items()]
    once, often = Policy(SETTINGS, 1), Policy(SETTINGS, 2)
    apply_report(once, {}, last, is_snapshot=True)
    known: dict[int, Worker] = {}
    for _ in range(6):
        some = random.sample(last, 150)
        reports = [
            worker_facts(facts.mark, random.random() + 0.1, random.choice(list(types.WorkerState)))
            for facts in some
        ]
        reports += [worker_facts(random.randrange(1 << 41), 1.0, types.WorkerState.GONE) for _ in range(20)]
        reports = [facts for facts in reports for _ in range(random.randint(1, 3))]
        random.shuffle(reports)
        apply_report(often, known, reports, is_snapshot=random.random() < 0.3)
    for facts in random.sample(last, 400):
        apply_report(often, known, [facts])
    assert (
        [r.facts.mark for r in often.state.workers]
        == [r.facts.mark for r in once.state.workers]
        == sorted(weights)
    )
    assert often.state.index.weight == once.state.index.weight
    assert often.state.index.memory == pytest.approx(once.state.index.memory)
    for function in range(40):
        assert candidate_marks(often.state.index, function, 5) == candidate_marks(
            once.state.index, function, 5
        )


def test_candidates_do_not_depend_on_earlier_requests_for_them() -> None:
    """A ranking that was read in parts continues as one that is read at once."""
    index = index_of(random_workers(500))
    for function in range(50):
        ranking = Ranking(function)
        next(ranking.candidates(index, 3))
        list(ranking.candidates(index, 0))
        assert [w.facts.mark for w in ranking.candidates(index, 20)] == candidate_marks(index, function, 20)


class IndexWithFewLeaves(CandidateIndex):
    """An index with many workers in each leaf, as in fleets of tens of thousands."""

    def _leaf(self, worker: Worker) -> int:
        return LEAVES + worker.facts.mark % 16


@given(SEEDS)
@settings(max_examples=10, deadline=None)
def test_sums_of_weights_do_not_depend_on_the_sequence_of_changes(seed: int) -> None:
    """Rounding errors must not differ between dispatchers, since candidates depend on the sums."""
    random = Random(seed)
    workers = [new_worker(mark, random.uniform(0.1, 8.0)) for mark in range(400)]
    one, other = IndexWithFewLeaves(), IndexWithFewLeaves()
    for each in workers[:300]:
        one.add(each)
    for each in random.sample(workers, 400):
        other.add(each)
    for each in random.sample(workers[300:], 100):
        other.remove(each)
    assert one.weight == other.weight
    assert [candidate_marks(one, function) for function in range(20)] == [
        candidate_marks(other, function) for function in range(20)
    ]


def test_the_version_changes_only_with_the_list() -> None:
    """Repeated reports, draining and unknown workers that are gone leave it as it is."""
    policy, known = Policy(SETTINGS, 1), dict[int, Worker]()
    reports = [worker_facts(mark, 1.0 + mark % 3) for mark in range(300)]
    apply_report(policy, known, reports, is_snapshot=True)
    version = policy.state.index.version
    apply_report(policy, known, list(reversed(reports)), is_snapshot=True)
    apply_report(policy, known, reports[:7] * 3)
    apply_report(
        policy,
        known,
        [
            worker_facts(5, reports[5].weight, types.WorkerState.DRAINING),
            worker_facts(10**6, 1.0, types.WorkerState.GONE),
        ],
    )
    assert policy.state.index.version == version
    versions = [version]
    for facts in (
        worker_facts(5, 8.0),
        worker_facts(6, 1.0, types.WorkerState.GONE),
        worker_facts(6),
        worker_facts(301),
    ):
        apply_report(policy, known, [facts])
        versions.append(policy.state.index.version)
        apply_report(policy, known, [facts])
        assert policy.state.index.version == versions[-1]
    assert len(set(versions)) == len(versions)


# -- shares and moves


def test_first_candidates_follow_the_weights() -> None:
    """Of 9,000 functions, each group of workers of one weight has its share within four standard deviations,
    and each of the 300 workers within five."""
    weights = {worker_mark: (1.0, 2.0, 4.0, 8.0)[worker_mark % 4] for worker_mark in range(300)}
    index = index_of(new_worker(mark, weight) for mark, weight in weights.items())
    drawn, functions = Counter(first_candidates(index, range(9_000)).values()), 9_000
    total = sum(weights.values())
    for weight in (1.0, 2.0, 4.0, 8.0):
        of_class = [mark for mark in weights if weights[mark] == weight]
        expected = functions * weight * len(of_class) / total
        actual = sum(drawn[mark] for mark in of_class)
        assert abs(actual - expected) < 4 * math.sqrt(expected), (weight, actual, expected)
    for mark, weight in weights.items():
        expected = functions * weight / total
        assert abs(drawn[mark] - expected) < 5 * math.sqrt(expected), (mark, drawn[mark], expected)


@pytest.mark.parametrize("size", [300, 2_000, FULL_SIZE])
@pytest.mark.parametrize("change", ["joins", "leaves", "weighs more"])
def test_one_change_moves_a_small_multiple_of_one_share(size: int, change: str) -> None:
    """On average at most log2(n) / n of the functions move, in 20 changes of one worker each."""
    workers = random_workers(size)
    index = index_of(workers)
    before = first_candidates(index)
    shares = []
    for worker in workers[:: size // 20][:20]:
        if change == "joins":
            worker = new_worker(worker.facts.mark + 1)
        else:
            index.remove(worker)
        if change == "weighs more":
            worker = new_worker(worker.facts.mark, 2.0)
        if change != "leaves":
            index.add(worker)
        shares.append(moved_share(before, first_candidates(index)))
        if change != "leaves":
            index.remove(worker)
        if change != "joins":
            worker.facts.weight = 1.0
            index.add(worker)
    assert first_candidates(index) == before
    assert sum(shares) / len(shares) <= math.log2(size) / size
    assert max(shares) <= 4 * math.log2(size) / size + 4 / len(before)


def test_a_lost_zone_moves_few_other_functions_and_its_return_restores_all_candidates() -> None:
    """At most a fifth of the functions of other zones move, because the weights on both sides of a choice
    change; the change is smaller at higher nodes of the tree."""
    workers = random_workers(2_000)
    index = index_of(workers)
    before, candidates = (
        first_candidates(index),
        {function: candidate_marks(index, function, 4) for function in range(60)},
    )
    zone = {worker.facts.mark: worker for worker in workers[::10]}
    for worker in zone.values():
        index.remove(worker)
    without = first_candidates(index)
    assert not set(without.values()) & set(zone)
    stayed = {function: mark for function, mark in before.items() if mark not in zone}
    assert moved_share(stayed, without) <= 0.2
    for mark, worker in Random(3).sample(sorted(zone.items()), len(zone)):
        assert worker.facts.mark == mark
        index.add(worker)
    assert first_candidates(index) == before
    assert {function: candidate_marks(index, function, 4) for function in range(60)} == candidates


@pytest.mark.parametrize("size", [300, FULL_SIZE])
def test_the_functions_of_a_lost_worker_spread_over_many(size: int) -> None:
    """A worker with a hundredth of the weight is lost; no other takes over more than a third of them."""
    workers = random_workers(size)
    heavy = new_worker(7, size / 100)
    index = index_of([*workers, heavy])
    functions = range(6_000)
    before = first_candidates(index, functions)
    lost = [function for function, mark in before.items() if mark == 7]
    index.remove(heavy)
    after = first_candidates(index, functions)
    successors = Counter(after[function] for function in lost)
    assert len(lost) > 30
    assert successors.most_common(1)[0][1] <= len(lost) / 3
    assert len(successors) > math.sqrt(len(lost))


# -- bounds


def test_functions_with_the_same_first_candidate_have_many_second_ones() -> None:
    """So that the functions of a full worker do not all overflow to the same next one."""
    index = index_of(random_workers(300))
    seconds: dict[int, set[int]] = {}
    for function in range(3_000):
        first, second, *_ = candidate_marks(index, function)
        seconds.setdefault(first, set()).add(second)
    assert (
        sum(len(found) for found in seconds.values()) > 2_300
    )  # ten functions per first candidate, few of them with the same second one


@given(SEEDS, st.integers(0, 600), st.integers(0, 80))
@settings(max_examples=40, deadline=None)
def test_candidates_are_bounded_and_never_repeat(seed: int, size: int, replicas: int) -> None:
    """All workers of a short list; at most CANDIDATES and one more per replica of a long one."""
    workers = [new_worker(mark) for mark in Random(seed).sample(range(1 << 50), size)]
    found = candidate_marks(index_of(workers), seed, replicas)
    assert len(found) == len(set(found))
    assert set(found) <= {worker.facts.mark for worker in workers}
    if size <= FULLY_RANKED_WORKERS:
        assert len(found) == size
    else:
        assert CANDIDATES <= len(found) <= CANDIDATES + replicas


def test_an_empty_list_has_no_candidates_and_a_list_of_one_has_one() -> None:
    """Also after the only worker was removed again."""
    index, ranking = CandidateIndex(), Ranking(1)
    assert list(ranking.candidates(index, 9)) == []
    only = new_worker(5)
    index.add(only)
    assert list(ranking.candidates(index, 9)) == [only]
    index.remove(only)
    assert list(ranking.candidates(index, 9)) == []
    assert index.weight == index.memory == 0.0


@pytest.mark.parametrize("weight", [1e-300, 1e-12, 1e12, 1e300])
def test_an_extreme_weight_still_gives_candidates(weight: float) -> None:
    """Beside it, the other weights or it itself vanish in the sums."""
    index = index_of([*random_workers(300), new_worker(7, weight)])
    drawn = Counter(first_candidates(index, range(200)).values())
    assert drawn[7] == (200 if weight > 1 else 0)
    for function in range(30):
        assert len(set(candidate_marks(index, function))) >= (1 if weight > 1 else CANDIDATES)


def test_workers_of_weight_0_are_no_candidates_beside_others() -> None:
    """Half of 600 workers have a weight of 0."""
    index = index_of([new_worker(mark, float(mark % 2)) for mark in range(600)])
    found = {mark for function in range(100) for mark in candidate_marks(index, function, 4)}
    assert found
    assert all(mark % 2 for mark in found)


class IndexWithOneLeaf(CandidateIndex):
    """An index with all workers in one leaf, the worst case of the hash of ids."""

    def _leaf(self, worker: Worker) -> int:
        return LEAVES + 17


def test_candidates_are_spread_with_nearly_empty_leaves_and_with_one_full_leaf() -> None:
    """Either way, nearly each worker is the first candidate of some function."""
    few = random_workers(FULLY_RANKED_WORKERS + 1)
    crowded = IndexWithOneLeaf()
    for worker in few:
        crowded.add(worker)
    for index in (index_of(few), crowded):
        assert len(set(first_candidates(index, range(4_000)).values())) > 250
        assert {len(candidate_marks(index, function)) for function in range(30)} == {CANDIDATES}


def test_a_list_that_grows_beyond_256_workers_and_shrinks_again_is_ranked_as_before() -> None:
    """The long list is drawn from the tree, the short one ranked in full."""
    workers = random_workers(FULLY_RANKED_WORKERS + 5)
    index = index_of(workers[:FULLY_RANKED_WORKERS])
    ranking = Ranking(77)
    short_list_ranking = list(ranking.candidates(index, 0))
    for worker in workers[FULLY_RANKED_WORKERS:]:
        index.add(worker)
    drawn = [worker.facts.mark for worker in ranking.candidates(index, 0)]
    assert drawn == candidate_marks(index, 77)
    assert len(drawn) == CANDIDATES
    for worker in workers[FULLY_RANKED_WORKERS:]:
        index.remove(worker)
    assert list(ranking.candidates(index, 0)) == short_list_ranking
    assert len(short_list_ranking) == FULLY_RANKED_WORKERS


def test_candidates_drawn_for_more_replicas_are_not_given_for_fewer() -> None:
    """A function that had more replicas considers no more workers than one that never had."""
    index, ranking = index_of(random_workers(500)), Ranking(3)
    assert len(list(ranking.candidates(index, 40))) == CANDIDATES + 40
    assert [worker.facts.mark for worker in ranking.candidates(index, 0)] == candidate_marks(index, 3)
    assert len(list(ranking.candidates(index, 0))) == CANDIDATES


@pytest.mark.parametrize("size", [FULLY_RANKED_WORKERS, FULLY_RANKED_WORKERS + 1])
def test_workers_are_ranked_even_if_all_have_weight_0(size: int) -> None:
    """With a short list and with a long one."""
    index = index_of(new_worker(mark, 0.0) for mark in range(size))
    assert len(candidate_marks(index, 1)) >= CANDIDATES

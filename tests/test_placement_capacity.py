"""Placement where demand exceeds the candidates: a popular function, and candidates without room."""

from __future__ import annotations

from collections import Counter

import pytest

from martenlead.policy.candidates import CANDIDATES
from tests.placement_rig import assert_all_requests_ended, fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND


def test_a_popular_function_grows_beyond_its_candidates_beside_thousands_of_rare_ones() -> None:
    """Its requests are spread over more workers than it has candidates, and the rare functions over most."""
    fleet, (dispatcher,) = fleet_of(1000, 1)
    popular = 7
    fleet.run_time[popular] = 200 * MS
    for n in range(1500):
        dispatcher.call(popular)
        dispatcher.call(100_000 + n)
        fleet.run_for(10 * MS)
    function = dispatcher.functions[popular]
    retained = {r.worker.facts.mark for r in function.replicas.values() if r.is_retained}
    assert len(retained) > 2 * CANDIDATES
    last_attempts = Counter(a.mark for a in dispatcher.attempts[-400:] if a.function == popular)
    assert len(last_attempts) > CANDIDATES
    assert max(last_attempts.values()) <= 30
    rare = {a.function: a.mark for a in reversed(dispatcher.attempts) if a.function != popular}
    assert len(rare) > 1490
    assert len(set(rare.values())) > 600
    fleet.run_for(5 * SECOND)
    assert_all_requests_ended(dispatcher)
    assert dispatcher.final_responses["satisfied"] >= 2970


@pytest.mark.parametrize(("workers", "goes_on"), [(256, False), (257, True)])
def test_a_request_goes_to_its_next_candidate_if_no_worker_with_the_function_has_room(
    workers: int, goes_on: bool
) -> None:
    """With a short list it is rejected, since a load elsewhere would evict replicas that others need."""
    fleet, (dispatcher,) = fleet_of(workers, 1)
    first = dispatcher.call(0)
    fleet.run_for(SECOND)
    assert first is not None
    dispatcher.workers[first].next_attempt_ns = fleet.now + SECOND  # no attempt fits into its limit
    following = dispatcher.call(0)
    ranked = [w.facts.mark for w in dispatcher.policy.placement.candidates(dispatcher.functions[0])]
    assert ranked[0] == first
    assert following == (ranked[1] if goes_on else None)


def test_a_request_is_rejected_at_once_if_no_candidate_has_room() -> None:
    """No attempt is made at any of 1,000 workers."""
    fleet, (dispatcher,) = fleet_of(1_000, 1)
    dispatcher.call(0)
    fleet.run_for(SECOND)
    for worker in dispatcher.workers.values():
        worker.next_attempt_ns = fleet.now + SECOND
    before = dispatcher.final_responses.copy()
    assert dispatcher.call(0) is None
    assert sum((dispatcher.final_responses - before).values()) == 1

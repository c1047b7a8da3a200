"""Placement where demand exceeds the candidates: a hot function, and candidates without room."""

from __future__ import annotations

from collections import Counter

import pytest

from martenlead.policy.candidates import CANDIDATES
from tests.placement_rig import all_ended, fleet_of
from tests.play import MS
from tests.virtual_fleet import SECOND


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

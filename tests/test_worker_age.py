"""Ages of workers whose starts were stamped by another machine's clock, which may be stepped."""

from __future__ import annotations

from pathlib import Path
from random import Random

import anyio
import pytest

from martenlead.node.worker_age import (
    GONE_WORKERS_LIMIT,
    OFFSET_SAMPLES,
    SOURCE_DELAY_LIMIT_NS,
    USUAL_DELAY_NS,
    WorkerAges,
)
from martenlead.system import clocks
from martenlead.upstream.endpoints import Endpoint, EndpointUpdate
from support.fleet import until
from support.node_rig import NodeRig, run_node, succeed

MS = 1_000_000
SECOND = 1000 * MS
HOUR = 3600 * SECOND
NOW = 1_800_000_000 * SECOND  # an arbitrary Unix time
HEARTBEAT_INTERVAL = 900 * MS
TOLERANCE = 50 * MS
STEPS = [0, 700 * MS, -700 * MS, 5 * SECOND, -5 * SECOND, HOUR, -HOUR]


class Source:
    """A membership source whose clock is `behind` ours, with the ages that a node computes from it."""

    def __init__(self, behind: int) -> None:
        self.behind = behind
        self.now = NOW
        self.ages = WorkerAges()
        self.count = 0

    def send_first_list(self, *ages: int) -> list[float | None]:
        """Lists workers of these ages in a snapshot, then confirms it; returns the computed ages in ns."""
        computed_ages = self.add_workers(*ages, is_snapshot=True)
        self.send_heartbeat()
        return computed_ages

    def send_heartbeat(self) -> None:
        """Confirms, one interval later, that there is nothing newer."""
        self.now += HEARTBEAT_INTERVAL
        self.ages.confirm(self.now)

    def add_workers(self, *ages: int, is_snapshot: bool = False) -> list[float | None]:
        """Lists new workers of these ages; returns the computed ages in ns."""
        endpoints = []
        for age in ages:
            self.count += 1
            endpoints.append(self.make_endpoint(f"w{self.count}", self.now - age))
        return self.send_update(*endpoints, is_snapshot=is_snapshot)

    def make_endpoint(self, id: str, start: int) -> Endpoint:
        """Returns a worker that started at `start` by our clock, as the source stamps it."""
        return Endpoint(id, incarnation=str(max(0, start - self.behind) // MS))

    def send_update(self, *endpoints: Endpoint, is_snapshot: bool = False) -> list[float | None]:
        """Lists these workers; returns the computed ages in ns."""
        self.ages.fill_ages(EndpointUpdate(1, is_snapshot, list(endpoints)), self.now)
        return [None if endpoint.age_ms is None else endpoint.age_ms * MS for endpoint in endpoints]


async def send_event_between_heartbeats(rig: NodeRig, record: bytes) -> None:
    """Sends an event while no heartbeat is being written: the journal service here cannot write both."""
    rig.journal.sends_heartbeats = False
    await anyio.sleep(0.02)
    await rig.journal.publish(record)
    rig.journal.sends_heartbeats = True


def is_near(computed_age: float | None, age: int) -> bool:
    """Whether a computed age is known, and equal to `age` within the tolerance."""
    return computed_age is not None and abs(computed_age - age) <= TOLERANCE


def test_ages_are_as_stamped_if_the_clocks_agree() -> None:
    """The first list, an addition that is reported at once, and additions during an outage."""
    source = Source(0)
    computed_ages = source.send_first_list(2 * SECOND, HOUR, 10 * MS)
    assert all(map(is_near, computed_ages, [2 * SECOND, HOUR, 10 * MS]))
    assert is_near(source.add_workers(100 * MS)[0], 100 * MS)
    source.send_heartbeat()
    source.now += 8 * SECOND
    computed_ages = source.add_workers(8 * SECOND, 4 * SECOND, 300 * MS)
    assert all(map(is_near, computed_ages, [8 * SECOND, 4 * SECOND, 300 * MS]))
    source.send_heartbeat()
    assert is_near(source.add_workers(1500 * MS)[0], 1500 * MS)  # a late event, after prompt ones


def test_a_start_long_past_has_no_age() -> None:
    source = Source(HOUR)
    source.send_first_list()
    assert source.send_update(Endpoint("w", incarnation="0")) == [None]


@pytest.mark.parametrize("behind", [step for step in STEPS if step > 0])
def test_a_new_worker_does_not_look_warm_if_our_clock_is_ahead(behind: int) -> None:
    source = Source(behind)
    source.send_first_list()
    for age in (100 * MS, 0, 200 * MS):
        source.send_heartbeat()
        found = source.add_workers(age)[0]
        assert found is not None and 0 <= found <= age + TOLERANCE


@pytest.mark.parametrize("behind", [step for step in STEPS if step < 0])
def test_a_new_worker_is_not_cold_for_longer_if_our_clock_is_behind(behind: int) -> None:
    """A start in our future counts as now, also in the first list; from there the monotonic clock counts."""
    source = Source(behind)
    first = source.make_endpoint("first", source.now)
    assert source.send_update(first, is_snapshot=True) == [0]
    source.send_heartbeat()
    second = source.make_endpoint("second", source.now)
    assert source.send_update(second) == [0]
    source.now += 10 * SECOND
    assert source.send_update(first, second, is_snapshot=True) == [
        10 * SECOND + HEARTBEAT_INTERVAL,
        10 * SECOND,
    ]


def test_a_clock_step_of_the_source_makes_no_new_worker_look_old() -> None:
    source = Source(0)
    source.send_first_list()
    for step in (HOUR, 0, -HOUR, 5 * SECOND, 0, HOUR):
        source.behind = step
        for age in (100 * MS, 50 * MS):
            source.send_heartbeat()
            found = source.add_workers(age)[0]
            assert found is not None and 0 <= found <= age + TOLERANCE, step


def test_the_offset_is_estimated_anew_from_the_first_worker_after_a_step() -> None:
    source = Source(0)
    source.send_first_list()
    for _ in range(OFFSET_SAMPLES):
        source.send_heartbeat()
        source.add_workers(0)
    source.behind = HOUR
    source.send_heartbeat()
    assert source.add_workers(0) == [0]
    source.send_heartbeat()
    source.now += 8 * SECOND
    assert is_near(source.add_workers(3 * SECOND)[0], 3 * SECOND)


def test_after_a_silence_the_age_of_a_worker_is_bounded_by_that_silence() -> None:
    source = Source(HOUR)
    source.send_first_list()
    source.now += 8 * SECOND
    assert source.add_workers(3 * SECOND, SECOND) == [0, 0]  # the offset of the clocks is not known yet
    source.send_heartbeat()
    source.add_workers(0)
    source.send_heartbeat()
    source.now += 8 * SECOND
    computed_ages = source.add_workers(3 * SECOND, SECOND)
    assert all(map(is_near, computed_ages, [3 * SECOND, SECOND]))  # now it is known


def test_ages_in_a_burst_of_events_are_bounded_by_the_silence_before_the_burst() -> None:
    """An event does not confirm that there is no newer one, and neither does a burst of events."""
    source = Source(0)
    source.send_first_list()
    source.now += 6 * SECOND
    computed_ages = [source.add_workers(age)[0] for age in (6 * SECOND, 5 * SECOND, SECOND)]
    assert all(map(is_near, computed_ages, [6 * SECOND, 5 * SECOND, SECOND]))


def test_an_incarnation_keeps_its_start_and_another_one_has_its_own() -> None:
    source = Source(0)
    source.send_first_list()
    first = source.make_endpoint("w", source.now)
    source.send_update(first)
    for _ in range(20):
        source.send_heartbeat()
    source.send_update(Endpoint("w", state="gone", incarnation="0"))
    source.send_heartbeat()
    assert source.send_update(first) == [21 * HEARTBEAT_INTERVAL]  # gone for a while, but not restarted
    source.send_update(is_snapshot=True)
    source.send_heartbeat()
    restarted = source.make_endpoint("w", source.now - 100 * MS)
    assert is_near(source.send_update(Endpoint("w", state="gone", incarnation="0"), restarted)[1], 100 * MS)


def test_the_number_of_remembered_workers_is_bounded() -> None:
    source = Source(0)
    source.send_first_list()
    for _ in range(GONE_WORKERS_LIMIT + 10):
        source.add_workers(0)
        source.send_update(is_snapshot=True)
    assert len(source.ages._gone) == GONE_WORKERS_LIMIT
    assert len(source.ages._apparent_ages_ns) == OFFSET_SAMPLES
    assert not source.ages._starts


@pytest.mark.parametrize("seed", range(40))
def test_ages_stay_within_their_bounds_under_random_clock_steps(seed: int) -> None:
    """Draws steps of the source's clock, prompt events and silences.

    An age is never negative. It exceeds the true age by at most the usual delay, unless the last silence
    allows more.
    """
    random = Random(seed)
    source = Source(random.choice(STEPS))
    source.send_first_list()
    for _ in range(200):
        if random.random() < 0.1:
            source.behind = random.choice(STEPS)
        source.send_heartbeat()
        silence = random.choice([0, 0, 0, 500 * MS, 8 * SECOND])
        source.now += silence
        ages = [random.randint(0, silence + 300 * MS) for _ in range(random.randint(1, 3))]
        for age, found in zip(ages, source.add_workers(*ages), strict=True):
            assert found is not None
            assert 0 <= found <= max(age + USUAL_DELAY_NS, silence + SOURCE_DELAY_LIMIT_NS)
        if random.random() < 0.3:
            source.send_update(is_snapshot=True)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.anyio
async def test_a_node_that_starts_with_a_stepped_clock_treats_a_new_worker_as_new(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    """The journal service stamps by the true clock; the node's clock is stepped before the node starts."""
    stepped_clock = clocks.wall_ns
    monkeypatch.setattr(clocks, "_read_wall", lambda read=clocks._read_wall: read() + step)
    async with run_node(tmp_path, {"a": [succeed]}) as rig:
        await rig.start_worker("b", succeed)
        source = rig.node.discovery
        await until(lambda: source.worker_ages._confirmed_ns)
        await send_event_between_heartbeats(
            rig, rig.worker_record("b", started=(stepped_clock() - step) // MS)
        )
        worker_id = f"s-{ord('b'):08x}"
        await until(lambda: worker_id in rig.node.dispatcher.workers)
        worker = rig.node.dispatcher.workers[worker_id]
        age = rig.node.dispatcher.clock() - worker.started_ns
        assert 0 <= age < USUAL_DELAY_NS
        await anyio.sleep(0.05)
        assert rig.node.dispatcher.clock() - worker.started_ns > age

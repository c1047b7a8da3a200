"""The age of a worker whose start was stamped by another machine's clock, which may be stepped."""

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
from tests.nodes import NodeRig, run_node, succeed

MS = 1_000_000
SECOND = 1000 * MS
HOUR = 3600 * SECOND
NOW = 1_800_000_000 * SECOND  # some Unix time
BEAT = 900 * MS  # since the source last said that it had nothing newer
SLACK = 50 * MS
STEPS = [0, 700 * MS, -700 * MS, 5 * SECOND, -5 * SECOND, HOUR, -HOUR]


class Source:
    """A source of membership whose clock is `behind` ours; it tells what is added, and confirms each beat."""

    def __init__(self, behind: int) -> None:
        self.behind = behind
        self.now = NOW
        self.ages = WorkerAges()
        self.count = 0

    def first_list(self, *ages: int) -> list[float | None]:
        told = self.tell(*ages, whole=True)
        self.beat()
        return told

    def beat(self) -> None:
        self.now += BEAT
        self.ages.confirm(self.now)

    def tell(self, *ages: int, whole: bool = False) -> list[float | None]:
        """Tells of new workers of these ages; what they are taken for, in ns."""
        lines = []
        for age in ages:
            self.count += 1
            lines.append(self.line(f"w{self.count}", self.now - age))
        return self.news(*lines, whole=whole)

    def line(self, id: str, start: int) -> Endpoint:
        """A worker that started at `start` by our clock, as the source stamps it."""
        return Endpoint(id, incarnation=str(max(0, start - self.behind) // MS))

    def news(self, *lines: Endpoint, whole: bool = False) -> list[float | None]:
        self.ages.fill_ages(EndpointUpdate(1, whole, list(lines)), self.now)
        return [None if line.age_ms is None else line.age_ms * MS for line in lines]


async def tell_between_beats(p: NodeRig, record: bytes) -> None:
    """Tells an event while no empty frame is being written: the service here cannot write two."""
    p.journal.sends_heartbeats = False
    await anyio.sleep(0.02)
    await p.journal.publish(record)
    p.journal.sends_heartbeats = True


def near(found: float | None, age: int) -> bool:
    return found is not None and abs(found - age) <= SLACK


def test_where_clocks_agree_ages_are_as_told() -> None:
    """The list at the start, an addition that is told at once, and those of an outage."""
    source = Source(0)
    told = source.first_list(2 * SECOND, HOUR, 10 * MS)
    assert all(map(near, told, [2 * SECOND, HOUR, 10 * MS]))
    assert near(source.tell(100 * MS)[0], 100 * MS)
    source.beat()
    source.now += 8 * SECOND
    told = source.tell(8 * SECOND, 4 * SECOND, 300 * MS)
    assert all(map(near, told, [8 * SECOND, 4 * SECOND, 300 * MS]))
    source.beat()
    assert near(source.tell(1500 * MS)[0], 1500 * MS)  # a late event, after prompt ones


def test_a_start_long_past_has_no_age() -> None:
    source = Source(HOUR)
    source.first_list()
    assert source.news(Endpoint("w", incarnation="0")) == [None]


@pytest.mark.parametrize("behind", [step for step in STEPS if step > 0])
def test_a_new_worker_is_not_warm_by_a_clock_that_is_ahead(behind: int) -> None:
    source = Source(behind)
    source.first_list()
    for age in (100 * MS, 0, 200 * MS):
        source.beat()
        found = source.tell(age)[0]
        assert found is not None and 0 <= found <= age + SLACK


@pytest.mark.parametrize("behind", [step for step in STEPS if step < 0])
def test_a_new_worker_is_not_cold_for_longer_by_a_clock_that_is_behind(behind: int) -> None:
    """A start in our future counts as now, in the list at the start too; the steady clock runs on."""
    source = Source(behind)
    first = source.line("first", source.now)
    assert source.news(first, whole=True) == [0]
    source.beat()
    second = source.line("second", source.now)
    assert source.news(second) == [0]
    source.now += 10 * SECOND
    assert source.news(first, second, whole=True) == [10 * SECOND + BEAT, 10 * SECOND]


def test_a_step_of_the_source_in_the_middle_makes_no_new_worker_old() -> None:
    source = Source(0)
    source.first_list()
    for step in (HOUR, 0, -HOUR, 5 * SECOND, 0, HOUR):
        source.behind = step
        for age in (100 * MS, 50 * MS):
            source.beat()
            found = source.tell(age)[0]
            assert found is not None and 0 <= found <= age + SLACK, step


def test_the_offset_is_learnt_anew_by_the_first_worker_after_a_step() -> None:
    source = Source(0)
    source.first_list()
    for _ in range(OFFSET_SAMPLES):
        source.beat()
        source.tell(0)
    source.behind = HOUR
    source.beat()
    assert source.tell(0) == [0]
    source.beat()
    source.now += 8 * SECOND
    assert near(source.tell(3 * SECOND)[0], 3 * SECOND)


def test_after_a_silence_a_worker_is_no_older_than_the_silence_grants() -> None:
    source = Source(HOUR)
    source.first_list()
    source.now += 8 * SECOND
    assert source.tell(3 * SECOND, SECOND) == [0, 0]  # the clocks are apart, by how much is not known yet
    source.beat()
    source.tell(0)
    source.beat()
    source.now += 8 * SECOND
    told = source.tell(3 * SECOND, SECOND)
    assert all(map(near, told, [3 * SECOND, SECOND]))  # now it is


def test_events_that_come_together_after_a_silence_are_judged_by_all_of_it() -> None:
    """An event proves that there is no newer one as little as the burst does that it came in."""
    source = Source(0)
    source.first_list()
    source.now += 6 * SECOND
    told = [source.tell(age)[0] for age in (6 * SECOND, 5 * SECOND, SECOND)]
    assert all(map(near, told, [6 * SECOND, 5 * SECOND, SECOND]))


def test_an_incarnation_keeps_its_start_and_another_one_has_its_own() -> None:
    source = Source(0)
    source.first_list()
    line = source.line("w", source.now)
    source.news(line)
    for _ in range(20):
        source.beat()
    source.news(Endpoint("w", state="gone", incarnation="0"))
    source.beat()
    assert source.news(line) == [21 * BEAT]  # cut off for a while, and not started anew
    source.news(whole=True)
    source.beat()
    anew = source.line("w", source.now - 100 * MS)
    assert near(source.news(Endpoint("w", state="gone", incarnation="0"), anew)[1], 100 * MS)


def test_what_is_remembered_is_bounded() -> None:
    source = Source(0)
    source.first_list()
    for _ in range(GONE_WORKERS_LIMIT + 10):
        source.tell(0)
        source.news(whole=True)
    assert len(source.ages._gone) == GONE_WORKERS_LIMIT
    assert len(source.ages._apparent_ages_ns) == OFFSET_SAMPLES
    assert not source.ages._starts


@pytest.mark.parametrize("seed", range(40))
def test_no_age_is_over_what_is_granted_whatever_is_stepped(seed: int) -> None:
    """Steps of the source by seeded draws, prompt events and silences: an age is never below zero, and it
    exceeds the true one by the usual delay, or by what the last silence leaves open."""
    chance = Random(seed)
    source = Source(chance.choice(STEPS))
    source.first_list()
    for _ in range(200):
        if chance.random() < 0.1:
            source.behind = chance.choice(STEPS)
        source.beat()
        silence = chance.choice([0, 0, 0, 500 * MS, 8 * SECOND])
        source.now += silence
        ages = [chance.randint(0, silence + 300 * MS) for _ in range(chance.randint(1, 3))]
        for age, found in zip(ages, source.tell(*ages), strict=True):
            assert found is not None
            assert 0 <= found <= max(age + USUAL_DELAY_NS, silence + SOURCE_DELAY_LIMIT_NS)
        if chance.random() < 0.3:
            source.news(whole=True)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.anyio
async def test_a_node_that_starts_with_a_stepped_clock_takes_a_new_worker_for_new(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    """The journal service stamps by the true clock; the node's is stepped before its start."""
    true = clocks.wall_ns
    monkeypatch.setattr(clocks, "_read_wall", lambda read=clocks._read_wall: read() + step)
    async with run_node(tmp_path, {"a": [succeed]}) as p:
        await p.start_worker("b", succeed)
        source = p.node.discovery
        await until(lambda: source.worker_ages._confirmed_ns)
        await tell_between_beats(p, p.worker_record("b", started=(true() - step) // MS))
        id = f"s-{ord('b'):08x}"
        await until(lambda: id in p.node.dispatcher.workers)
        box = p.node.dispatcher.workers[id]
        age = p.node.dispatcher.clock() - box.started_ns
        assert 0 <= age < USUAL_DELAY_NS
        await anyio.sleep(0.05)
        assert p.node.dispatcher.clock() - box.started_ns > age

"""Wall clocks that step between two lives, or between two reads: what is kept, learnt, promised and named."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from martenlead.admission import reservation_token as token
from martenlead.admission.controller import EARLY_ARRIVAL_SHARE, RESERVATION_GRACE_NS
from martenlead.capture import events as ev
from martenlead.capture.reader import find_runs
from martenlead.capture.writer import CaptureSettings, CaptureWriter
from martenlead.cli.state import state
from martenlead.durable_state import knowledge
from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.store import StateKind
from martenlead.durable_state.store import StateStore as StateStore
from martenlead.edge import protocol
from martenlead.edge.http_membership import HttpMembership
from martenlead.edge.queue_admission import reservation_issued_ns
from martenlead.events.cloudevent import Event
from martenlead.layers.cache import Cache
from martenlead.layers.image import digest_of
from martenlead.planner.frames import RetainedReplica
from martenlead.planner.server import Planner
from martenlead.planner.settings import PlannerSettings
from martenlead.system import clocks
from martenlead.system.durable_file import replace_file
from martenlead.upstream import endpoints
from support.fleet import respond_ok, run_edge, silent, until

MS = 1_000_000
SECOND = 1000 * MS
HOUR = 3600 * SECOND
STEPS = [0, 700 * MS, -700 * MS, 5 * SECOND, -5 * SECOND, HOUR, -HOUR]
OTHER_STEPS = [step for step in STEPS if step]


class Machine:
    """Its clocks, as the program reads them. The wall clock is stepped by `step`; `run` lets time pass."""

    def __init__(self) -> None:
        self.boot = "first start"
        self.uptime = 1000 * SECOND
        self.true = 1_800_000_000 * SECOND
        self.step = 0

    def run(self, time: int) -> None:
        self.uptime += time
        self.true += time


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Machine:
    made = Machine()
    monkeypatch.setattr(clocks, "_read_wall", lambda: made.true + made.step)
    monkeypatch.setattr(clocks, "_read_boot", lambda _: made.uptime)
    monkeypatch.setattr(clocks, "boot_id", lambda: made.boot)
    return made


# -- what is kept


@pytest.mark.parametrize("step", STEPS)
def test_a_kept_list_ages_by_the_time_that_passed(tmp_path: Path, machine: Machine, step: int) -> None:
    path = tmp_path / "kept"
    young, old = endpoints.Endpoint("young", age_ms=200.0), endpoints.Endpoint("old")
    endpoints.save_cached_endpoints(path, endpoints.make_cached_endpoints(3, [young, old]))
    machine.run(2 * SECOND)
    machine.step = step
    found = endpoints.load_cached_endpoints(path)
    assert found is not None and [line.age_ms for line in found.endpoints] == [2200.0, None]


@pytest.mark.parametrize("uptime", [-1000 * SECOND, 24 * HOUR])
@pytest.mark.parametrize("step", STEPS)
def test_a_kept_list_of_another_start_makes_no_worker_older_than_it_is(
    tmp_path: Path, machine: Machine, step: int, uptime: int
) -> None:
    """Neither a step nor a move to a machine that has been up for long makes a worker look warm."""
    path = tmp_path / "kept"
    endpoints.save_cached_endpoints(
        path, endpoints.make_cached_endpoints(3, [endpoints.Endpoint("a", age_ms=200.0)])
    )
    machine.boot = "another start"
    machine.run(4 * SECOND)
    machine.uptime += uptime
    machine.step = step
    found = endpoints.load_cached_endpoints(path)
    assert found is not None and found.endpoints[0].age_ms == 200.0


def test_a_list_that_was_kept_without_a_boot_clock_is_still_read(tmp_path: Path, machine: Machine) -> None:
    path = tmp_path / "kept"
    line = {"id": "a", "age_ms": 200.0}
    path.write_text(json.dumps({"version": 3, "saved": machine.true / 1e9 - 3600, "runners": [line]}))
    found = endpoints.load_cached_endpoints(path)
    assert found is not None and (found.version, found.endpoints[0].age_ms) == (3, 200.0)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.anyio
async def test_an_edge_writes_its_list_with_the_boot_clock(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    """A worker that started before the list was written is as old after a step as it is."""
    path = tmp_path / "kept"
    async with run_edge({"a": [respond_ok]}) as f:
        box = f.dispatcher.workers["a"]
        f.dispatcher.update_endpoints([replace(box.endpoint, incarnation="anew", age_ms=500.0)], False)
        source = HttpMembership(f.settings)
        source.endpoint_list = f.dispatcher.endpoint_list
        saver = source._make_saver(path, f.dispatcher)
        f.task_group.start_soon(saver.run)
        saver.changed()
        await until(path.exists)
        age_ms = (f.dispatcher.clock() - box.started_ns) / 1e6
    machine.run(2 * SECOND)
    machine.step = step
    found = endpoints.load_cached_endpoints(path)
    assert found is not None and found.endpoints[0].age_ms is not None
    assert abs(found.endpoints[0].age_ms - (age_ms + 2000)) < 200


@pytest.mark.anyio
async def test_an_age_below_zero_is_zero() -> None:
    """As told by a roster that made it with a clock that was stepped back."""
    async with run_edge() as f:
        box = next(iter(f.dispatcher.workers.values()))
        line = replace(box.endpoint, incarnation="anew", age_ms=-3_600_000.0)
        f.dispatcher.update_endpoints([line], False)
        assert box.started_ns <= f.dispatcher.clock()
        assert f.dispatcher.clock() - box.started_ns < SECOND


def known(boot: str, at: int) -> knowledge.SavedKnowledge:
    return knowledge.SavedKnowledge(
        50.0, 60.0, [], [], [], dict(knowledge.DEFAULT_CHANGE_PER_SECOND), boot, at
    )


@pytest.mark.parametrize("step", STEPS)
def test_what_was_learnt_ages_by_the_time_that_passed(machine: Machine, step: int) -> None:
    """Of another start of the machine the wall clock tells, unless it runs backwards."""
    told, saved = known(clocks.boot_id(), clocks.uptime_ns()), clocks.wall_ns()
    machine.run(2 * SECOND)
    machine.step = step
    now = clocks.moment()
    assert knowledge.compute_age_ns(told, saved, *now) == 2 * SECOND
    by_wall = 2 * SECOND + step if 2 * SECOND + step >= 0 else knowledge.UNKNOWN_AGE_NS
    assert knowledge.compute_age_ns(told, saved, now.wall, "another start", now.uptime) == by_wall


@pytest.mark.parametrize("step", STEPS)
def test_what_a_planner_held_ages_by_the_time_that_passed(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    """Within its life, and in the next one from its file."""
    path = tmp_path / "planner"
    settings = PlannerSettings(state_path=str(path))
    mirror = SimpleNamespace(restored=SimpleNamespace(settings=SimpleNamespace(keep_alive_ns=10 * SECOND)))
    first = Planner(settings)
    first.store.saved.replicas_by_edge["edge"] = [
        RetainedReplica("a", "m", 1, 10.0, 500.0),
        RetainedReplica("b", "m", 1, 10.0, 9500.0),
    ]
    first.refresh_saved_replicas()
    replace_file(path, endpoints.encode(first.store.saved))
    machine.run(2 * SECOND)
    machine.step = step
    for planner in (first, Planner(settings)):
        planner.sessions["edge"] = SimpleNamespace(policy_replica=mirror)  # type: ignore[assignment]
        assert planner.find_earlier_replicas("edge") == [("a", "m", 1, 10.0, 2500.0)]


@pytest.mark.parametrize("step", STEPS)
def test_operators_see_the_age_of_a_state_by_the_boot_clock(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    store = StateStore(StateFolder(tmp_path), "here", clocks.wall_ns)
    store.write(StateKind("knowledge"), known(clocks.boot_id(), clocks.uptime_ns()))
    store.close()
    machine.run(2 * SECOND)
    machine.step = step
    shown = json.loads(CliRunner().invoke(state, ["show", str(tmp_path), "--deployment", "here"]).output)
    ages = {one["file"].partition(".")[0]: one["age_s"] for one in shown}
    assert ages["knowledge"] == 2.0
    assert ages["epochs"] >= 0  # it has no boot clock


# -- what a request brings


def task(**more: Any) -> Event:
    attributes = {"specversion": "1.0", "id": "t", "source": "/c", "type": "estimate", "model": "m"}
    return Event({**attributes, **more}, b"{}", "application/json")


def expiry(at: int) -> str:
    return datetime.fromtimestamp(at / 1e9, UTC).isoformat()


@pytest.mark.parametrize("step", STEPS)
def test_an_expiry_is_judged_by_one_read_of_the_clock(
    machine: Machine, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    count = 0

    def stepping() -> int:
        nonlocal count
        count += 1
        return machine.true + count * step

    monkeypatch.setattr(clocks, "_read_wall", stepping)
    found = protocol.read_request(task(expirytime=expiry(machine.true + SECOND), timeleftms=1500))
    assert found.time_left_ns is not None and abs(found.time_left_ns - min(SECOND - step, 1500 * MS)) < MS
    assert count == 1


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.anyio
async def test_a_request_with_an_expiry_gets_its_answer_in_time_whatever_is_stepped(
    monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    """The worker is silent. A step before the request came leaves it no time or all that its class allows,
    and one afterwards changes nothing."""
    read: Callable[[], int] = clocks._read_wall
    reads = 0

    def stepping() -> int:
        nonlocal reads
        reads += 1
        return read() + step * reads

    limits = {"soft_limit_ms": 100, "hard_limit_ms": 400}
    offerings = [{"name": "estimate", "effect": "idempotent", **limits}]
    async with run_edge({"a": [silent]}, offerings=offerings) as f:
        monkeypatch.setattr(clocks, "_read_wall", stepping)
        began = time.monotonic()
        status, _ = await f.call(left=None, expirytime=expiry(read() + 300 * MS))
        assert status in (502, 503, 504)
        assert time.monotonic() - began < 0.4 + 0.5
        assert not f.dispatcher.pending_requests


# -- appointments

SECRET = "the same at all doors"
MARK = ("/c", "t")
WAIT = 4 * SECOND


def appointment(given: int) -> str:
    since, until = given + int((1 - EARLY_ARRIVAL_SHARE) * WAIT), given + WAIT + RESERVATION_GRACE_NS
    return token.issue(SECRET.encode(), MARK, since // MS, until // MS)


def test_when_an_appointment_was_given_is_read_from_it() -> None:
    for wait in (100 * MS, 1234 * MS, 120 * SECOND):
        given = 1_800_000_000 * SECOND
        found = reservation_issued_ns(
            given + int((1 - EARLY_ARRIVAL_SHARE) * wait), given + wait + RESERVATION_GRACE_NS
        )
        assert abs(found - given) < MS


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("after", [0, WAIT])
@pytest.mark.anyio
async def test_an_appointment_from_another_clock_asks_for_no_longer_wait_than_it_stated(
    machine: Machine, step: int, after: int
) -> None:
    async with run_edge(queues={"secret": SECRET}) as f:
        text = appointment(machine.true)
        machine.run(after)
        machine.step = step
        found = f.event_listener.queue_admission.verify_reservation(task(appointment=text))
        now = f.dispatcher.clock()
        if found is None:
            why = "not ours" if step == -HOUR else "clocks differ"
            assert step < -RESERVATION_GRACE_NS and f.dispatcher.counts["appointment", why] == 1
        else:
            assert found[0] <= found[1]
            assert found[1] - RESERVATION_GRACE_NS - now <= WAIT + 20 * MS


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.anyio
async def test_a_request_with_an_appointment_from_another_clock_is_answered(
    machine: Machine, step: int
) -> None:
    async with run_edge({"a": [respond_ok]}, queues={"secret": SECRET}) as f:
        text = appointment(machine.true)
        machine.step = step
        assert (await f.call(ident="t", again=True, appointment=text))[0] == 200


# -- names made from the time


@pytest.mark.parametrize("step", STEPS)
def test_captures_keep_their_order_and_no_file_is_written_twice(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    """The clock stands still between two lives as well, and there is a capture of another name."""
    written = []
    for life, name in enumerate(["edge", "edge_2", "edge", "edge"]):
        store = CaptureWriter(CaptureSettings(folder=str(tmp_path), flush_ms=1), name, lambda *_: None)
        store.put(ev.Advance(life))
        store.close()
        assert store.written == 1
        written.append((name, store.run))
        machine.step += step
    own = [run for name, run in written if name == "edge"]
    assert own == sorted(set(own))
    assert [(r.name, r.number) for r in find_runs([tmp_path])] == sorted(written)
    assert len(list(tmp_path.glob("*.mlc"))) == 4


@pytest.mark.parametrize("step", STEPS)
def test_chunks_set_aside_keep_their_order_and_their_files(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    cache = Cache(tmp_path, 10_000)
    data = b"x" * 100
    name = digest_of(data)
    for number in range(18):
        cache.put(name, data)
        cache.path(name).write_bytes(b"%d" % number)
        assert cache.get(name) is None
        machine.step += step
    cache.close()
    left = {path.read_bytes() for path in cache.aside.iterdir()}
    assert left == {b"%d" % number for number in range(2, 18)}


@pytest.mark.parametrize("step", OTHER_STEPS)
def test_chunks_keep_the_order_of_their_uses_over_a_restart(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    cache = Cache(tmp_path, 10_000)
    chunks = [b"%d" % number * 100 for number in range(4)]
    names = [digest_of(data) for data in chunks]
    for name, data in zip(names, chunks, strict=True):
        cache.put(name, data)
        machine.step += step
    cache.close()
    cache = Cache(tmp_path, 10_000)
    assert list(cache) == names
    machine.step -= 2 * step
    assert cache.get(names[1]) == chunks[1]
    cache.close()
    again = Cache(tmp_path, 10_000)
    assert list(again) == [names[0], names[2], names[3], names[1]]
    again.close()

"""Steps of the wall clock between runs or reads: stored ages, time limits, reservations and file names."""

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
from martenlead.durable_state.store import StateKind, StateStore
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
    """Simulated clocks of one machine. `wall_step_ns` offsets the wall clock; `advance` lets time pass."""

    def __init__(self) -> None:
        self.boot_id = "first start"
        self.uptime_ns = 1000 * SECOND
        self.true_ns = 1_800_000_000 * SECOND
        self.wall_step_ns = 0

    def advance(self, time_ns: int) -> None:
        self.uptime_ns += time_ns
        self.true_ns += time_ns


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Machine:
    simulated = Machine()
    monkeypatch.setattr(clocks, "_read_wall", lambda: simulated.true_ns + simulated.wall_step_ns)
    monkeypatch.setattr(clocks, "_read_boot", lambda _: simulated.uptime_ns)
    monkeypatch.setattr(clocks, "boot_id", lambda: simulated.boot_id)
    return simulated


# -- stored ages


@pytest.mark.parametrize("step", STEPS)
def test_a_cached_list_ages_by_the_time_that_passed(tmp_path: Path, machine: Machine, step: int) -> None:
    path = tmp_path / "kept"
    young, old = endpoints.Endpoint("young", age_ms=200.0), endpoints.Endpoint("old")
    endpoints.save_cached_endpoints(path, endpoints.make_cached_endpoints(3, [young, old]))
    machine.advance(2 * SECOND)
    machine.wall_step_ns = step
    found = endpoints.load_cached_endpoints(path)
    assert found is not None and [line.age_ms for line in found.endpoints] == [2200.0, None]


@pytest.mark.parametrize("uptime", [-1000 * SECOND, 24 * HOUR])
@pytest.mark.parametrize("step", STEPS)
def test_a_cached_list_of_an_earlier_boot_makes_no_worker_older(
    tmp_path: Path, machine: Machine, step: int, uptime: int
) -> None:
    """Guards against a cold worker that looks warm after a clock step or on a machine with a long uptime."""
    path = tmp_path / "kept"
    endpoints.save_cached_endpoints(
        path, endpoints.make_cached_endpoints(3, [endpoints.Endpoint("a", age_ms=200.0)])
    )
    machine.boot_id = "another start"
    machine.advance(4 * SECOND)
    machine.uptime_ns += uptime
    machine.wall_step_ns = step
    found = endpoints.load_cached_endpoints(path)
    assert found is not None and found.endpoints[0].age_ms == 200.0


def test_a_cached_list_without_a_boot_clock_is_read(tmp_path: Path, machine: Machine) -> None:
    path = tmp_path / "kept"
    line = {"id": "a", "age_ms": 200.0}
    path.write_text(json.dumps({"version": 3, "saved": machine.true_ns / 1e9 - 3600, "runners": [line]}))
    found = endpoints.load_cached_endpoints(path)
    assert found is not None and (found.version, found.endpoints[0].age_ms) == (3, 200.0)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.anyio
async def test_an_edge_caches_its_list_with_the_boot_clock(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    """The age of a worker in the cached list does not depend on a clock step after the list was written."""
    path = tmp_path / "kept"
    async with run_edge({"a": [respond_ok]}) as f:
        worker = f.dispatcher.workers["a"]
        f.dispatcher.update_endpoints([replace(worker.endpoint, incarnation="anew", age_ms=500.0)], False)
        source = HttpMembership(f.settings)
        source.endpoint_list = f.dispatcher.endpoint_list
        saver = source._make_saver(path, f.dispatcher)
        f.task_group.start_soon(saver.run)
        saver.changed()
        await until(path.exists)
        age_ms = (f.dispatcher.clock() - worker.started_ns) / 1e6
    machine.advance(2 * SECOND)
    machine.wall_step_ns = step
    found = endpoints.load_cached_endpoints(path)
    assert found is not None and found.endpoints[0].age_ms is not None
    assert abs(found.endpoints[0].age_ms - (age_ms + 2000)) < 200


@pytest.mark.anyio
async def test_a_negative_worker_age_counts_as_zero() -> None:
    """Discovery can report a negative age after its clock was stepped back."""
    async with run_edge() as f:
        worker = next(iter(f.dispatcher.workers.values()))
        line = replace(worker.endpoint, incarnation="anew", age_ms=-3_600_000.0)
        f.dispatcher.update_endpoints([line], False)
        assert worker.started_ns <= f.dispatcher.clock()
        assert f.dispatcher.clock() - worker.started_ns < SECOND


def make_knowledge(boot: str, at: int) -> knowledge.SavedKnowledge:
    """Saved knowledge of a boot, with the uptime at which it was saved."""
    return knowledge.SavedKnowledge(
        50.0, 60.0, [], [], [], dict(knowledge.DEFAULT_CHANGE_PER_SECOND), boot, at
    )


@pytest.mark.parametrize("step", STEPS)
def test_saved_knowledge_ages_by_the_time_that_passed(machine: Machine, step: int) -> None:
    """After a reboot the age is taken from the wall clock, and is unknown if that went backwards."""
    saved, saved_ns = make_knowledge(clocks.boot_id(), clocks.uptime_ns()), clocks.wall_ns()
    machine.advance(2 * SECOND)
    machine.wall_step_ns = step
    now = clocks.moment()
    assert knowledge.compute_age_ns(saved, saved_ns, *now) == 2 * SECOND
    by_wall = 2 * SECOND + step if 2 * SECOND + step >= 0 else knowledge.UNKNOWN_AGE_NS
    assert knowledge.compute_age_ns(saved, saved_ns, now.wall, "another start", now.uptime) == by_wall


@pytest.mark.parametrize("step", STEPS)
def test_retained_replicas_age_by_the_time_that_passed(tmp_path: Path, machine: Machine, step: int) -> None:
    """Checks the planner that saved the replicas, and one that reads them from its file."""
    path = tmp_path / "planner"
    settings = PlannerSettings(state_path=str(path))
    mirror = SimpleNamespace(restored=SimpleNamespace(settings=SimpleNamespace(keep_alive_ns=10 * SECOND)))
    earlier = Planner(settings)
    earlier.store.saved.replicas_by_edge["edge"] = [
        RetainedReplica("a", "m", 1, 10.0, 500.0),
        RetainedReplica("b", "m", 1, 10.0, 9500.0),
    ]
    earlier.refresh_saved_replicas()
    replace_file(path, endpoints.encode(earlier.store.saved))
    machine.advance(2 * SECOND)
    machine.wall_step_ns = step
    for planner in (earlier, Planner(settings)):
        planner.sessions["edge"] = SimpleNamespace(policy_replica=mirror)  # type: ignore[assignment]
        assert planner.find_earlier_replicas("edge") == [("a", "m", 1, 10.0, 2500.0)]


@pytest.mark.parametrize("step", STEPS)
def test_state_show_prints_ages_by_the_boot_clock(tmp_path: Path, machine: Machine, step: int) -> None:
    store = StateStore(StateFolder(tmp_path), "here", clocks.wall_ns)
    store.write(StateKind("knowledge"), make_knowledge(clocks.boot_id(), clocks.uptime_ns()))
    store.close()
    machine.advance(2 * SECOND)
    machine.wall_step_ns = step
    printed = json.loads(CliRunner().invoke(state, ["show", str(tmp_path), "--deployment", "here"]).output)
    ages = {entry["file"].partition(".")[0]: entry["age_s"] for entry in printed}
    assert ages["knowledge"] == 2.0
    assert ages["epochs"] >= 0  # epochs are stored without the boot clock


# -- time limits of requests


def make_event(**more: Any) -> Event:
    """A request's event with further attributes."""
    attributes = {"specversion": "1.0", "id": "t", "source": "/c", "type": "estimate", "model": "m"}
    return Event({**attributes, **more}, b"{}", "application/json")


def expiry(time_ns: int) -> str:
    return datetime.fromtimestamp(time_ns / 1e9, UTC).isoformat()


@pytest.mark.parametrize("step", STEPS)
def test_an_expiry_time_is_compared_with_one_clock_read(
    machine: Machine, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    count = 0

    def read_stepped_clock() -> int:
        nonlocal count
        count += 1
        return machine.true_ns + count * step

    monkeypatch.setattr(clocks, "_read_wall", read_stepped_clock)
    found = protocol.read_request(make_event(expirytime=expiry(machine.true_ns + SECOND), timeleftms=1500))
    assert found.time_left_ns is not None and abs(found.time_left_ns - min(SECOND - step, 1500 * MS)) < MS
    assert count == 1


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.anyio
async def test_a_request_with_an_expiry_time_is_answered_in_time_despite_clock_steps(
    monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    """The worker does not respond. A step before the request arrives leaves it no time, or the time of
    its class; a later step changes nothing."""
    read: Callable[[], int] = clocks._read_wall
    reads = 0

    def read_stepped_clock() -> int:
        nonlocal reads
        reads += 1
        return read() + step * reads

    limits = {"soft_limit_ms": 100, "hard_limit_ms": 400}
    offerings = [{"name": "estimate", "effect": "idempotent", **limits}]
    async with run_edge({"a": [silent]}, offerings=offerings) as f:
        monkeypatch.setattr(clocks, "_read_wall", read_stepped_clock)
        started_seconds = time.monotonic()
        status, _ = await f.call(left=None, expirytime=expiry(read() + 300 * MS))
        assert status in (502, 503, 504)
        assert time.monotonic() - started_seconds < 0.4 + 0.5
        assert not f.dispatcher.pending_requests


# -- reservations

SECRET = "the same at all edges"
REQUEST_KEY = ("/c", "t")
WAIT = 4 * SECOND


def issue_reservation(issued_ns: int) -> str:
    """The token of a reservation issued at this time for a wait of `WAIT`."""
    since, until = issued_ns + int((1 - EARLY_ARRIVAL_SHARE) * WAIT), issued_ns + WAIT + RESERVATION_GRACE_NS
    return token.issue(SECRET.encode(), REQUEST_KEY, since // MS, until // MS)


def test_the_issue_time_of_a_reservation_is_computed_from_its_times() -> None:
    for wait in (100 * MS, 1234 * MS, 120 * SECOND):
        issued_ns = 1_800_000_000 * SECOND
        found = reservation_issued_ns(
            issued_ns + int((1 - EARLY_ARRIVAL_SHARE) * wait), issued_ns + wait + RESERVATION_GRACE_NS
        )
        assert abs(found - issued_ns) < MS


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("after", [0, WAIT])
@pytest.mark.anyio
async def test_a_reservation_from_another_clock_waits_no_longer_than_stated(
    machine: Machine, step: int, after: int
) -> None:
    async with run_edge(queues={"secret": SECRET}) as f:
        text = issue_reservation(machine.true_ns)
        machine.advance(after)
        machine.wall_step_ns = step
        found = f.event_listener.queue_admission.verify_reservation(make_event(appointment=text))
        now = f.dispatcher.clock()
        if found is None:
            reason = "not ours" if step == -HOUR else "clocks differ"
            assert step < -RESERVATION_GRACE_NS and f.dispatcher.counts["appointment", reason] == 1
        else:
            assert found[0] <= found[1]
            assert found[1] - RESERVATION_GRACE_NS - now <= WAIT + 20 * MS


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.anyio
async def test_a_request_with_a_reservation_from_another_clock_is_answered(
    machine: Machine, step: int
) -> None:
    async with run_edge({"a": [respond_ok]}, queues={"secret": SECRET}) as f:
        text = issue_reservation(machine.true_ns)
        machine.wall_step_ns = step
        assert (await f.call(ident="t", again=True, appointment=text))[0] == 200


# -- file names made from the time


@pytest.mark.parametrize("step", STEPS)
def test_captures_keep_their_order_and_no_file_is_written_twice(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    """Also with a clock that stands still between two runs, and with a capture of another name."""
    runs = []
    for run_number, name in enumerate(["edge", "edge_2", "edge", "edge"]):
        writer = CaptureWriter(CaptureSettings(folder=str(tmp_path), flush_ms=1), name, lambda *_: None)
        writer.put(ev.Advance(run_number))
        writer.close()
        assert writer.written == 1
        runs.append((name, writer.run))
        machine.wall_step_ns += step
    numbers = [run for name, run in runs if name == "edge"]
    assert numbers == sorted(set(numbers))
    assert [(r.name, r.number) for r in find_runs([tmp_path])] == sorted(runs)
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
        machine.wall_step_ns += step
    cache.close()
    remaining = {path.read_bytes() for path in cache.aside.iterdir()}
    assert remaining == {b"%d" % number for number in range(2, 18)}


@pytest.mark.parametrize("step", OTHER_STEPS)
def test_chunks_keep_the_order_of_their_uses_over_a_restart(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    cache = Cache(tmp_path, 10_000)
    chunks = [b"%d" % number * 100 for number in range(4)]
    names = [digest_of(data) for data in chunks]
    for name, data in zip(names, chunks, strict=True):
        cache.put(name, data)
        machine.wall_step_ns += step
    cache.close()
    cache = Cache(tmp_path, 10_000)
    assert list(cache) == names
    machine.wall_step_ns -= 2 * step
    assert cache.get(names[1]) == chunks[1]
    cache.close()
    reopened = Cache(tmp_path, 10_000)
    assert list(reopened) == [names[0], names[2], names[3], names[1]]
    reopened.close()

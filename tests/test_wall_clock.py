"""Wall clocks that step between two lives, or between two reads: what is kept, learnt, promised and named."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from martenlead.cli.state import state
from martenlead.lasting import knowledge
from martenlead.lasting.disk import Folder
from martenlead.lasting.store import Kind
from martenlead.lasting.store import Store as StateStore
from martenlead.planner.serve import Planner, PlannerSettings
from martenlead.runnerlink import roster
from martenlead.system import clocks
from support.fleet import fleet

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

    def restart(self, away: int) -> None:
        self.true += away
        self.uptime = 0
        self.boot += " and another"


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
    young, old = roster.Line("young", age_ms=200.0), roster.Line("old")
    roster.keep(path, roster.dated(3, [young, old]))
    machine.run(2 * SECOND)
    machine.step = step
    found = roster.kept(path)
    assert found is not None and [line.age_ms for line in found.runners] == [2200.0, None]


@pytest.mark.parametrize("step", STEPS)
def test_a_kept_list_of_another_start_makes_no_worker_older_than_it_is(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    """What certainly passed is the time since the machine started; a step makes no worker look warm."""
    path = tmp_path / "kept"
    roster.keep(path, roster.dated(3, [roster.Line("a", age_ms=200.0)]))
    machine.restart(20 * SECOND)
    machine.run(4 * SECOND)
    machine.step = step
    found = roster.kept(path)
    assert found is not None and found.runners[0].age_ms == 4200.0


def test_a_list_that_was_kept_without_a_boot_clock_is_still_read(tmp_path: Path, machine: Machine) -> None:
    path = tmp_path / "kept"
    line = {"id": "a", "age_ms": 200.0}
    path.write_text(json.dumps({"version": 3, "saved": machine.true / 1e9 - 3600, "runners": [line]}))
    found = roster.kept(path)
    assert found is not None and (found.version, found.runners[0].age_ms) == (3, 200.0)


@pytest.mark.anyio
async def test_an_age_below_zero_is_zero() -> None:
    """As told by a roster that made it with a clock that was stepped back."""
    async with fleet() as f:
        box = next(iter(f.dispatcher.boxes.values()))
        line = replace(box.line, start="anew", age_ms=-3_600_000.0)
        f.dispatcher.news([line], False)
        assert box.since <= f.dispatcher.clock()
        assert f.dispatcher.clock() - box.since < SECOND


def known(boot: str, at: int) -> knowledge.Knowledge:
    return knowledge.Knowledge(50.0, 60.0, [], [], [], dict(knowledge.USUAL), boot, at)


def test_what_was_learnt_before_the_machine_started_is_at_least_as_old_as_that_start() -> None:
    """A clock that was stepped back an hour meanwhile, and still shows a later time, makes it no younger."""
    told = known("first", 500 * SECOND)
    assert knowledge.age(told, 0, SECOND, "second", 50 * SECOND) == 50 * SECOND
    assert knowledge.age(told, 0, 70 * SECOND, "second", 50 * SECOND) == 70 * SECOND


@pytest.mark.parametrize("step", STEPS)
def test_what_a_planner_held_ages_by_the_time_that_passed(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    """Within its life, and in the next one from its file."""
    path = tmp_path / "planner"
    settings = PlannerSettings(kept=str(path))
    mirror = SimpleNamespace(all=SimpleNamespace(settings=SimpleNamespace(keep=10 * SECOND)))
    first = Planner(settings)
    first.kept.edges["edge"] = [("a", "m", 1, 10.0, 500.0), ("b", "m", 1, 10.0, 9500.0)]
    first.look()
    roster.replace(path, roster.encode(first.kept))
    for planner in (first, Planner(settings)):
        planner.ends["edge"] = SimpleNamespace(mirror=mirror)  # type: ignore[assignment]
    machine.run(2 * SECOND)
    machine.step = step
    for planner in (first, Planner(settings)):
        planner.ends["edge"] = SimpleNamespace(mirror=mirror)  # type: ignore[assignment]
        assert planner.recall("edge") == [("a", "m", 1, 10.0, 2500.0)]


@pytest.mark.parametrize("step", STEPS)
def test_operators_see_the_age_of_a_state_by_the_boot_clock(
    tmp_path: Path, machine: Machine, step: int
) -> None:
    store = StateStore(Folder(tmp_path), "here", clocks.wall_ns)
    store.write(Kind("knowledge"), known(clocks.boot_id(), clocks.uptime_ns()))
    store.close()
    machine.run(2 * SECOND)
    machine.step = step
    shown = json.loads(CliRunner().invoke(state, ["show", str(tmp_path), "--deployment", "here"]).output)
    ages = {one["file"].partition(".")[0]: one["age_s"] for one in shown}
    assert ages["knowledge"] == 2.0
    assert ages["epochs"] >= 0  # it has no boot clock

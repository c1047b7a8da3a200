"""Saves on a failing disk, with a kill at any call, leave the old or the new state complete.

Each component that saves state saves a number and reads it at its next start: the state store, the cached
endpoint list, the planner and the agent's names. The newest state is saved once the disk works again.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.store import StateStore
from martenlead.layers.naming import Release
from martenlead.planner.frames import RetainedReplica
from martenlead.planner.replica_store import SavedReplicas
from martenlead.planner.server import Planner
from martenlead.planner.settings import PlannerSettings
from martenlead.system.clocks import Moment
from martenlead.system.durable_file import read_if_there, remove_leftovers, replace_file
from martenlead.upstream import endpoints
from support.disk_faults import DiskFaults, ProcessKilled
from tests.disk_fault_rig import THING, each_errno, temporary_files


class StateStoreUser:
    """Saves generations with the state store."""

    def __init__(self, root: Path) -> None:
        self.store = StateStore(StateFolder(root / "edge"), "here", lambda: 1_000)
        state = self.store.read(THING)
        self.found = state.value if state is not None else None

    def save(self, number: int) -> None:
        self.store.write(THING, number)


class EndpointListUser:
    """Saves the cached endpoint list."""

    def __init__(self, root: Path) -> None:
        self.path = root / "list"
        found = endpoints.load_cached_endpoints(self.path)
        self.found = found.version if found is not None else None

    def save(self, number: int) -> None:
        endpoints.save_cached_endpoints(
            self.path, endpoints.CachedEndpoints(number, 0.0, [endpoints.Endpoint(id="a" * 100)])
        )


class PlannerUser:
    """Saves the planner's file of retained replicas."""

    def __init__(self, root: Path) -> None:
        settings = PlannerSettings(state_path=str(root / "planner"))
        self.planner = Planner(settings, moment=lambda: Moment(0, "boot", 0))
        self.found = int(self.planner.store.saved.saved_unix_seconds) or None

    def save(self, number: int) -> None:
        self.planner.store.write_file(
            msgspec.json.encode(SavedReplicas(number, {"edge": [RetainedReplica("r", "m", 1, 1.0, 0.0)]}))
        )


class AgentNamesUser:
    """Saves the agent's file of names."""

    def __init__(self, root: Path) -> None:
        self.path = root / "names.json"
        data = read_if_there(self.path)
        known = msgspec.json.decode(data, type=dict[str, Release]) if data is not None else {}
        self.found = int(known["m"].digest) if "m" in known else None

    def save(self, number: int) -> None:
        replace_file(self.path, msgspec.json.encode({"m": Release(str(number))}))


USERS: dict[str, Callable[[Path], Any]] = {
    "store": StateStoreUser,
    "endpoints": EndpointListUser,
    "planner": PlannerUser,
    "names": AgentNamesUser,
}
each_user = pytest.mark.parametrize("user", list(USERS))


def calls_of_a_save(tmp_path: Path, user: str) -> list[str]:
    """Returns the file system calls of a second save on a disk without faults."""
    disk = DiskFaults(tmp_path / "count", Random(0))
    disk.root.mkdir()
    with disk():
        component = USERS[user](disk.root)
        component.save(1)
        disk.heal()
        component.save(2)
        return list(disk.calls)


def make_disk_with_state(tmp_path: Path, user: str, name: str, chance: Random) -> DiskFaults:
    """Returns a disk with the state 1, which is durable."""
    disk = DiskFaults(tmp_path / name, chance)
    disk.root.mkdir()
    component = USERS[user](disk.root)
    component.save(1)
    if isinstance(component, StateStoreUser):
        component.store.close()
    return disk


def load(disk: DiskFaults, user: str) -> Any:
    """Returns the state that the component finds when it starts."""
    return USERS[user](disk.root).found


def save_succeeds(component: Any, number: int) -> bool:
    """Saves a state; returns whether that succeeded."""
    try:
        component.save(number)
    except OSError:
        return False
    return True


@each_user
def test_a_save_makes_its_system_calls_in_the_order_that_makes_it_durable(tmp_path: Path, user: str) -> None:
    calls = [c for c in calls_of_a_save(tmp_path, user) if c not in ("scandir", "unlink")]
    assert calls == ["open", "write", "fsync", "rename", "open", "fsync_folder"]


@each_user
@each_errno
@pytest.mark.parametrize("for_calls", (1, 3), ids=("once", "for a while"))
def test_a_failure_of_any_call_and_then_a_kill_leave_the_old_or_the_new_state(
    tmp_path: Path, user: str, code: int, for_calls: int
) -> None:
    """A state that was reported as saved is durable; after the kill a newer one can be saved."""
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(6):
            disk = make_disk_with_state(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                component = USERS[user](disk.root)
                disk.fail(code, k, for_calls)
                saved = save_succeeds(component, 2)
                disk.crash()
                state = load(disk, user)
                assert state in ((2,) if saved else (1, 2)), (k, seed, saved, state)
                disk.crash()
                USERS[user](disk.root).save(3)
                disk.crash()
                assert load(disk, user) == 3, (k, seed)


@each_user
@each_errno
def test_periodic_faults_and_a_kill_lose_no_successful_save(tmp_path: Path, user: str, code: int) -> None:
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 4):
        for seed in range(4):
            disk = make_disk_with_state(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                component = USERS[user](disk.root)
                disk.fail_every(code, k)
                last = 1
                for number in range(2, 8):
                    last = number if save_succeeds(component, number) else last
                disk.crash()
                assert last <= load(disk, user) <= 7, (k, seed)
                disk.crash()
                USERS[user](disk.root).save(8)
                disk.crash()
                assert load(disk, user) == 8, (k, seed)


@each_user
@each_errno
def test_a_save_after_a_failed_one_is_durable(tmp_path: Path, user: str, code: int) -> None:
    """Guards against a later save of the same process that relies on the data of the failed sync."""
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(6):
            disk = make_disk_with_state(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                component = USERS[user](disk.root)
                disk.fail(code, k, 1)
                save_succeeds(component, 2)
                disk.heal()
                assert temporary_files(disk.root) == []
                component.save(3)
                assert temporary_files(disk.root) == []
                disk.crash()
                assert load(disk, user) == 3, (k, seed)


@each_user
def test_a_kill_at_any_call_leaves_the_old_or_the_new_state(tmp_path: Path, user: str) -> None:
    states = set()
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(20):
            disk = make_disk_with_state(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                component = USERS[user](disk.root)
                disk.kill(k)
                with pytest.raises(ProcessKilled):
                    component.save(2)
                disk.crash()
                state = load(disk, user)
                assert state in (1, 2), (k, seed, state)
                states.add(state)
                disk.crash()
                USERS[user](disk.root).save(3)
                disk.crash()
                assert load(disk, user) == 3, (k, seed)
    assert states == {1, 2}


@each_user
def test_short_writes_of_one_byte_are_continued_until_all_is_written(tmp_path: Path, user: str) -> None:
    disk = make_disk_with_state(tmp_path, user, "folder", Random(1))
    with disk():
        component = USERS[user](disk.root)
        disk.write_one_byte(1)
        component.save(2)
        assert disk.calls.count("write") > 20
        disk.crash()
        assert load(disk, user) == 2


@each_user
def test_the_simulated_disk_loses_saves_that_are_not_synced(
    tmp_path: Path, user: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Checks that the previous tests can fail."""
    lost = 0
    for seed in range(40):
        disk = make_disk_with_state(tmp_path, user, str(seed), Random(seed))
        with disk():
            monkeypatch.setattr(os, "fsync", lambda _: None)
            try:
                USERS[user](disk.root).save(2)
                disk.crash()
                lost += load(disk, user) != 2
            except (msgspec.DecodeError, ValueError):
                lost += 1
            monkeypatch.undo()
    assert lost > 5


def test_temporary_files_of_ended_processes_are_removed(tmp_path: Path) -> None:
    path = tmp_path / "list"
    for process in (1 << 30, (1 << 30) + 1):
        (tmp_path / f"list.{process}.new").write_bytes(b"half")
    others = [f"list.{os.getppid()}.new", "list.x.new", "other.1073741824.new"]
    for name in others:
        (tmp_path / name).write_bytes(b"another's")
    remove_leftovers(path)
    assert sorted(p.name for p in tmp_path.iterdir()) == sorted(others)

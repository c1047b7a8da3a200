"""Saves on a failing disk, with a kill at any call: the old or the new state is found whole.

Each component that saves state saves a number and finds it at its next start: the state store, the cached
list of endpoints, the planner and the agent's names. The newest state is saved once the disk works again.
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


class Lasts:
    """`lasting`: generations in a folder."""

    def __init__(self, root: Path) -> None:
        self.store = StateStore(StateFolder(root / "edge"), "here", lambda: 1_000)
        state = self.store.read(THING)
        self.found = state.value if state is not None else None

    def save(self, number: int) -> None:
        self.store.write(THING, number)


class RosterList:
    def __init__(self, root: Path) -> None:
        self.path = root / "list"
        found = endpoints.load_cached_endpoints(self.path)
        self.found = found.version if found is not None else None

    def save(self, number: int) -> None:
        endpoints.save_cached_endpoints(
            self.path, endpoints.CachedEndpoints(number, 0.0, [endpoints.Endpoint(id="a" * 100)])
        )


class PlannerState:
    def __init__(self, root: Path) -> None:
        settings = PlannerSettings(state_path=str(root / "planner"))
        self.planner = Planner(settings, moment=lambda: Moment(0, "boot", 0))
        self.found = int(self.planner.store.saved.saved_unix_seconds) or None

    def save(self, number: int) -> None:
        self.planner.store.write_file(
            msgspec.json.encode(SavedReplicas(number, {"edge": [RetainedReplica("r", "m", 1, 1.0, 0.0)]}))
        )


class AgentNames:
    def __init__(self, root: Path) -> None:
        self.path = root / "names.json"
        data = read_if_there(self.path)
        known = msgspec.json.decode(data, type=dict[str, Release]) if data is not None else {}
        self.found = int(known["m"].digest) if "m" in known else None

    def save(self, number: int) -> None:
        replace_file(self.path, msgspec.json.encode({"m": Release(str(number))}))


USERS: dict[str, Callable[[Path], Any]] = {
    "lasting": Lasts,
    "roster": RosterList,
    "planner": PlannerState,
    "names": AgentNames,
}
each_user = pytest.mark.parametrize("user", list(USERS))


def calls_of_a_save(tmp_path: Path, user: str) -> list[str]:
    """Counted on a disk that is well, for a second save."""
    disk = DiskFaults(tmp_path / "count", Random(0))
    disk.root.mkdir()
    with disk():
        using = USERS[user](disk.root)
        using.save(1)
        disk.heal()
        using.save(2)
        return list(disk.calls)


def begin(tmp_path: Path, user: str, name: str, chance: Random) -> DiskFaults:
    """A folder that holds the state 1, durable."""
    disk = DiskFaults(tmp_path / name, chance)
    disk.root.mkdir()
    using = USERS[user](disk.root)
    using.save(1)
    if isinstance(using, Lasts):
        using.store.close()
    return disk


def found(disk: DiskFaults, user: str) -> Any:
    return USERS[user](disk.root).found


def is_saved(using: Any, number: int) -> bool:
    try:
        using.save(number)
    except OSError:
        return False
    return True


@each_user
def test_a_save_makes_its_calls_in_the_order_that_makes_it_durable(tmp_path: Path, user: str) -> None:
    calls = [c for c in calls_of_a_save(tmp_path, user) if c not in ("scandir", "unlink")]
    assert calls == ["open", "write", "fsync", "rename", "open", "fsync_folder"]


@each_user
@each_errno
@pytest.mark.parametrize("for_calls", (1, 3), ids=("once", "for a while"))
def test_a_disk_that_fails_at_any_call_then_a_kill_leaves_old_or_new(
    tmp_path: Path, user: str, code: int, for_calls: int
) -> None:
    """And what was reported as saved is there; after the kill the newest state arrives as well."""
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(6):
            disk = begin(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                using = USERS[user](disk.root)
                disk.fail(code, k, for_calls)
                saved = is_saved(using, 2)
                disk.crash()
                at = found(disk, user)
                assert at in ((2,) if saved else (1, 2)), (k, seed, saved, at)
                disk.crash()
                USERS[user](disk.root).save(3)
                disk.crash()
                assert found(disk, user) == 3, (k, seed)


@each_user
@each_errno
def test_a_disk_that_fails_at_every_kth_call_then_a_kill_leaves_what_was_saved_or_newer(
    tmp_path: Path, user: str, code: int
) -> None:
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 4):
        for seed in range(4):
            disk = begin(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                using = USERS[user](disk.root)
                disk.fail_every(code, k)
                last = 1
                for number in range(2, 8):
                    last = number if is_saved(using, number) else last
                disk.crash()
                assert last <= found(disk, user) <= 7, (k, seed)
                disk.crash()
                USERS[user](disk.root).save(8)
                disk.crash()
                assert found(disk, user) == 8, (k, seed)


@each_user
@each_errno
def test_a_save_that_failed_is_durable_once_a_later_one_succeeds(
    tmp_path: Path, user: str, code: int
) -> None:
    """In the same life, at the same names: a sync that failed is not taken for done by the next attempt."""
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(6):
            disk = begin(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                using = USERS[user](disk.root)
                disk.fail(code, k, 1)
                is_saved(using, 2)
                disk.heal()
                assert temporary_files(disk.root) == []
                using.save(3)
                assert temporary_files(disk.root) == []
                disk.crash()
                assert found(disk, user) == 3, (k, seed)


@each_user
def test_a_kill_at_any_call_leaves_old_or_new(tmp_path: Path, user: str) -> None:
    seen = set()
    for k in range(1, len(calls_of_a_save(tmp_path, user)) + 1):
        for seed in range(20):
            disk = begin(tmp_path, user, f"{k}-{seed}", Random(seed))
            with disk():
                using = USERS[user](disk.root)
                disk.kill(k)
                with pytest.raises(ProcessKilled):
                    using.save(2)
                disk.crash()
                at = found(disk, user)
                assert at in (1, 2), (k, seed, at)
                seen.add(at)
                disk.crash()
                USERS[user](disk.root).save(3)
                disk.crash()
                assert found(disk, user) == 3, (k, seed)
    assert seen == {1, 2}


@each_user
def test_writes_that_take_one_byte_write_all(tmp_path: Path, user: str) -> None:
    disk = begin(tmp_path, user, "folder", Random(1))
    with disk():
        using = USERS[user](disk.root)
        disk.write_one_byte(1)
        using.save(2)
        assert disk.calls.count("write") > 20
        disk.crash()
        assert found(disk, user) == 2


@each_user
def test_a_save_without_its_syncs_is_found_out(
    tmp_path: Path, user: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The tests before can fail."""
    lost = 0
    for seed in range(40):
        disk = begin(tmp_path, user, str(seed), Random(seed))
        with disk():
            monkeypatch.setattr(os, "fsync", lambda _: None)
            try:
                USERS[user](disk.root).save(2)
                disk.crash()
                lost += found(disk, user) != 2
            except (msgspec.DecodeError, ValueError):
                lost += 1
            monkeypatch.undo()
    assert lost > 5


def test_temporary_files_of_processes_that_are_gone_are_removed(tmp_path: Path) -> None:
    path = tmp_path / "list"
    for process in (1 << 30, (1 << 30) + 1):
        (tmp_path / f"list.{process}.new").write_bytes(b"half")
    ours = [f"list.{os.getppid()}.new", "list.x.new", "other.1073741824.new"]
    for name in ours:
        (tmp_path / name).write_bytes(b"another's")
    remove_leftovers(path)
    assert sorted(p.name for p in tmp_path.iterdir()) == sorted(ours)

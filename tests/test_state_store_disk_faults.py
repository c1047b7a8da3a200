"""The state store on a failing disk: its lock, its epochs and the generations that it retains."""

from __future__ import annotations

import errno
import os
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import pytest

from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.store import MAX_GENERATIONS, RETAINED_GENERATIONS, FolderInUseError, StateStore
from support.disk_faults import ERRNOS, DiskFaults
from tests.disk_fault_rig import THING, temporary_files


def test_a_store_can_be_opened_after_a_failed_attempt_of_the_same_process(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
        store.write(THING, 1)
        store.close()
        disk.heal()
        StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1).close()
        for k in range(1, len(disk.calls) + 1):
            disk.fail(errno.EIO, k)
            open_error = None
            try:
                StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1).close()
            except OSError as error:
                open_error = error
            disk.heal()
            # raises FolderInUseError if the failed attempt still holds the lock
            reopened = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
            state = reopened.read(THING)
            assert state is not None and state.value == 1, (k, open_error)
            reopened.close()


def test_a_saved_state_can_be_read_from_a_read_only_disk(tmp_path: Path) -> None:
    first = StateStore(StateFolder(tmp_path), "here", lambda: 1)
    first.write(THING, "kept")
    first.close()

    def read_only(path: Any, flags: int, *rest: Any, real: Any = os.open) -> int:
        if flags & os.O_ACCMODE != os.O_RDONLY:
            raise OSError(errno.EROFS, "Read-only file system")
        return int(real(path, flags, *rest))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, "open", read_only)
        second = StateStore(StateFolder(tmp_path), "here", lambda: 1)
        state = second.read(THING)
        assert (state.value if state else None, second.epoch) == ("kept", 0)
        with pytest.raises(OSError, match="Read-only"):
            second.write(THING, "new")
        with pytest.raises(FolderInUseError):
            StateStore(StateFolder(tmp_path), "here", lambda: 1)
    assert second.write(THING, "new") == 2
    assert second.epoch == 2  # begun by the first write that succeeds


def test_an_epoch_is_used_only_once_despite_disk_faults(tmp_path: Path) -> None:
    uses: Counter[int] = Counter()
    for seed in range(120):
        chance = Random(seed)
        root = tmp_path / str(seed // 12)
        root.mkdir(exist_ok=True)
        if seed % 12 == 0:
            uses.clear()
        disk = DiskFaults(root, chance)
        with disk():
            disk.fail(chance.choice(ERRNOS), 1 + chance.randrange(14), 1 + chance.randrange(4))
            try:
                epoch = StateStore(StateFolder(root / "edge"), "here", lambda: 1).epoch
            except OSError:
                epoch = 0
            disk.crash()
        uses[epoch] += bool(epoch)
        assert max(uses.values(), default=0) <= 1, (seed, uses)


def test_the_number_of_generations_that_cannot_be_removed_is_limited(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
        store.write(THING, 0)
        disk.fail(errno.EIO, 1, only="unlink")
        newest = 0
        with pytest.raises(OSError, match="cannot be removed"):
            for n in range(1, 100):
                store.write(THING, n)
                newest = n
        state = store.read(THING)
        assert state is not None and state.value == newest > 5
        files = list(tmp_path.rglob("thing.*.state"))
        assert len(files) == MAX_GENERATIONS
        disk.heal()
        store.write(THING, "newest")
        assert len(list(tmp_path.rglob("thing.*.state"))) == RETAINED_GENERATIONS


def test_a_temporary_file_that_cannot_be_removed_does_not_prevent_a_start(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    (tmp_path / "thing.part").write_bytes(b"half")
    with disk():
        disk.fail(errno.EIO, 1, only="unlink")
        store = StateStore(StateFolder(tmp_path), "here", lambda: 1)
        assert store.write(THING, "new") == 1
        assert temporary_files(tmp_path) == []  # overwritten and renamed


def test_a_transient_read_error_does_not_lose_a_generation(tmp_path: Path) -> None:
    store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
    store.write(THING, "old")
    store.write(THING, "new")
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        disk.fail(errno.EIO, 1, 2, only="open")
        disk.fail(errno.EIO, 2, 2)  # the listing succeeds, two calls of open fail
        state = store.read(THING)
        assert state is not None and state.value == "new"
        assert store.read_errors == 0

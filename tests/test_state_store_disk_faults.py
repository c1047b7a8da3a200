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


def test_a_store_that_could_not_be_opened_can_be_opened_later_in_the_same_process(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
        store.write(THING, 1)
        store.close()
        disk.heal()
        StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1).close()
        for k in range(1, len(disk.calls) + 1):
            disk.fail(errno.EIO, k)
            with_error = None
            try:
                StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1).close()
            except OSError as error:
                with_error = error
            disk.heal()
            again = StateStore(
                StateFolder(tmp_path / "edge"), "here", lambda: 1
            )  # InUse, were the lock still held
            state = again.read(THING)
            assert state is not None and state.value == 1, (k, with_error)
            again.close()


def test_a_disk_that_takes_nothing_still_gives_what_was_kept(tmp_path: Path) -> None:
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
    assert second.epoch == 2  # counted anew, with the first write that could be made


def test_an_epoch_that_is_not_durable_is_not_given(tmp_path: Path) -> None:
    """Each epoch that was given is given once, whatever the disk does while it is counted."""
    given: Counter[int] = Counter()
    for seed in range(120):
        chance = Random(seed)
        root = tmp_path / str(seed // 12)
        root.mkdir(exist_ok=True)
        if seed % 12 == 0:
            given.clear()
        disk = DiskFaults(root, chance)
        with disk():
            disk.fail(chance.choice(ERRNOS), 1 + chance.randrange(14), 1 + chance.randrange(4))
            try:
                epoch = StateStore(StateFolder(root / "edge"), "here", lambda: 1).epoch
            except OSError:
                epoch = 0
            disk.crash()
        given[epoch] += bool(epoch)
        assert max(given.values(), default=0) <= 1, (seed, given)


def test_generations_that_cannot_be_removed_are_bounded(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
        store.write(THING, 0)
        disk.fail(errno.EIO, 1, only="unlink")
        written = 0
        with pytest.raises(OSError, match="cannot be removed"):
            for n in range(1, 100):
                store.write(THING, n)
                written = n
        state = store.read(THING)
        assert state is not None and state.value == written > 5
        files = list(tmp_path.rglob("thing.*.state"))
        assert len(files) == MAX_GENERATIONS
        disk.heal()
        store.write(THING, "newest")
        assert len(list(tmp_path.rglob("thing.*.state"))) == RETAINED_GENERATIONS


def test_a_write_cut_short_that_cannot_be_removed_stops_no_start(tmp_path: Path) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    (tmp_path / "thing.part").write_bytes(b"half")
    with disk():
        disk.fail(errno.EIO, 1, only="unlink")
        store = StateStore(StateFolder(tmp_path), "here", lambda: 1)
        assert store.write(THING, "new") == 1
        assert temporary_files(tmp_path) == []  # written over, and renamed


def test_a_read_that_fails_for_a_moment_costs_no_generation(tmp_path: Path) -> None:
    store = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1)
    store.write(THING, "old")
    store.write(THING, "new")
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        disk.fail(errno.EIO, 1, 2, only="open")
        disk.fail(errno.EIO, 2, 2)  # the listing goes well, two openings fail
        state = store.read(THING)
        assert state is not None and state.value == "new"
        assert store.read_errors == 0

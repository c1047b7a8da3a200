"""The state store: an interrupted write leaves the old or the new state complete."""

from __future__ import annotations

import os
import signal
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest

from martenlead.config.load import ConfigError
from martenlead.durable_state.disk import StateFolder
from martenlead.durable_state.store import (
    HEADER,
    MAX_FILES_SET_ASIDE,
    FolderInUseError,
    StateKind,
    StateStore,
    StateTooLargeError,
    UnreadableStateError,
    pack_state,
    unpack_state,
)
from tests.powercut import PowerCut, PowerCutDisk

THING = StateKind("thing")


def open_store(disk: Any, deployment: str = "here", **options: Any) -> StateStore:
    """Opens a store whose wall clock always returns 1000 ns."""
    return StateStore(disk, deployment, lambda: 1_000, **options)


def test_the_newest_state_is_read_and_the_previous_generation_is_retained(tmp_path: Path) -> None:
    first = open_store(StateFolder(tmp_path))
    assert first.read(THING) is None
    assert [first.write(THING, {"n": n}) for n in range(5)] == [1, 2, 3, 4, 5]
    first.close()
    second = open_store(StateFolder(tmp_path))
    state = second.read(THING)
    assert state is not None
    assert (state.value, state.generation, state.saved_ns, second.epoch) == ({"n": 4}, 5, 1_000, 2)
    assert sorted(n for n in os.listdir(tmp_path) if n.startswith("thing")) == [
        "thing.0000000000000004.state",
        "thing.0000000000000005.state",
    ]
    assert second.problems == []


def test_a_locked_folder_is_refused_and_can_be_opened_after_its_release(tmp_path: Path) -> None:
    first = open_store(StateFolder(tmp_path))
    with pytest.raises(FolderInUseError):
        open_store(StateFolder(tmp_path))
    first.close()
    assert open_store(StateFolder(tmp_path)).epoch == 2


def test_a_power_cut_at_any_step_leaves_the_old_or_the_new_state() -> None:
    """Cuts the power at random steps of a write, twelve times in a row on each of 300 disks."""
    outcomes = set()
    for seed in range(300):
        chance = Random(seed)
        disk = PowerCutDisk(chance)
        durable = 0
        for _ in range(12):
            written = durable
            try:
                disk.cut_at = disk.steps + 1 + chance.randrange(16)
                opened = open_store(disk)
                state = opened.read(THING)
                value = state.value if state is not None else 0
                assert value == durable, (seed, value, durable)
                while True:
                    written = durable + 1
                    opened.write(THING, written)
                    durable = written
            except PowerCut:
                disk = disk.restart()
            state = open_store(disk).read(THING)
            value = state.value if state is not None else 0
            assert value in (durable, written), (seed, value, durable)
            outcomes.add(value - durable)
            durable = value
    assert outcomes == {0, 1}


def test_the_simulated_disk_loses_states_that_are_not_synced() -> None:
    """Checks that the previous test can fail."""

    class UnsyncedDisk(PowerCutDisk):
        def sync(self, name: str) -> None:
            self.step()

        def sync_folder(self) -> None:
            self.step()

    lost = 0
    for seed in range(100):
        disk = UnsyncedDisk(Random(seed))
        opened = open_store(disk)
        opened.write(THING, 1)
        opened.write(THING, 2)
        state = open_store(disk.restart()).read(THING)
        lost += state is None or state.value != 2
    assert lost > 30


@pytest.fixture
def memory_folder(tmp_path: Path) -> Iterator[Path]:
    """A folder in memory, if available: a kill loses no data of the kernel, and with a slow fsync few kills
    would interrupt a write."""
    memory = Path("/dev/shm")
    if not os.access(memory, os.W_OK):
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(dir=memory) as folder:
        yield Path(folder)


def test_a_process_killed_at_two_hundred_random_moments_leaves_a_complete_state(memory_folder: Path) -> None:
    chance, tmp_path = Random(1), memory_folder
    last = 0
    for _ in range(200):
        child = os.fork()
        if not child:
            try:
                opened = open_store(StateFolder(tmp_path))
                state = opened.read(THING)
                number = state.value["n"] if state is not None else 0
                while True:
                    number += 1
                    opened.write(THING, {"n": number, "filling": "x" * (number % 50_000)})
            finally:
                os._exit(1)
        time.sleep(chance.uniform(0, 0.012))
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        opened = open_store(StateFolder(tmp_path))
        state = opened.read(THING)
        opened.close()
        assert opened.problems == []
        value = state.value["n"] if state is not None else 0
        assert value >= last
        last = value
    assert last > 50
    assert len(os.listdir(tmp_path)) < 10


def test_a_wrong_byte_at_any_position_is_detected_and_the_file_set_aside(tmp_path: Path) -> None:
    data = pack_state(THING, "here", 7, 5, {"a": [1, 2, 3]})
    assert unpack_state(data, THING, "here", 1000).value == {"a": [1, 2, 3]}
    for position in range(len(data)):
        bad = bytearray(data)
        bad[position] ^= 1 + position % 255
        with pytest.raises(UnreadableStateError):
            unpack_state(bytes(bad), THING, "here", 1000)
        with pytest.raises(UnreadableStateError):
            unpack_state(data[:position], THING, "here", 1000)
    first = open_store(StateFolder(tmp_path))
    first.write(THING, "old")
    first.write(THING, "new")
    first.close()
    path = tmp_path / "thing.0000000000000002.state"
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    second = open_store(StateFolder(tmp_path))
    state = second.read(THING)
    assert state is not None and state.value == "old"
    assert second.problems == [f"{path.name} is set aside: cut short or corrupt"]
    assert second.read(THING) is not None and len(second.problems) == 1  # reported once
    assert second.write(THING, "newer") == 3
    assert (tmp_path / f"{path.name}.aside").exists()


def test_older_versions_are_migrated_and_newer_ones_are_set_aside(tmp_path: Path) -> None:
    first = open_store(StateFolder(tmp_path))
    first.write(THING, {"n": 1})
    first.close()
    third = StateKind("thing", 3, {1: lambda v: {**v, "two": True}, 2: lambda v: {**v, "n": v["n"] + 1}})
    second = open_store(StateFolder(tmp_path))
    state = second.read(third)
    assert state is not None and (state.value, state.version) == ({"n": 2, "two": True}, 1)
    second.write(third, {"n": 5})
    second.close()
    older = open_store(StateFolder(tmp_path))
    state = older.read(THING)
    assert state is not None and state.value == {"n": 1}  # the previous generation
    assert older.problems == ["thing.0000000000000002.state is set aside: of a newer program (version 1.3)"]
    older.write(THING, {"n": 2})
    older.close()
    assert (tmp_path / "thing.0000000000000002.state.aside").exists()
    failing = StateKind("thing", 2, {1: lambda v: v["no such"]})
    assert open_store(StateFolder(tmp_path)).read(failing) is None


def test_files_of_another_deployment_or_program_are_set_aside(tmp_path: Path) -> None:
    other = open_store(StateFolder(tmp_path), "there")
    other.write(THING, "theirs")
    other.close()
    (tmp_path / "thing.0000000000000009.state").write_bytes(b"no state at all")
    (tmp_path / "notes.txt").write_text("somebody's")
    opened = open_store(StateFolder(tmp_path))
    assert opened.read(THING) is None
    assert any("of another deployment" in p for p in opened.problems)
    assert any(
        "thing.0000000000000009.state is set aside: 15 bytes are too short for a state file" in p
        for p in opened.problems
    )
    assert opened.write(THING, "ours") == 10
    assert (tmp_path / "notes.txt").read_text() == "somebody's"


def test_the_state_command_shows_checks_and_prunes(tmp_path: Path) -> None:
    from click.testing import CliRunner

    from martenlead.cli.state import state

    opened = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1_000)
    opened.write(StateKind("knowledge", 3), {"models": [1, 2, 3], "rate": 4.5})
    opened.close()
    run = CliRunner().invoke
    shown = run(state, ["show", str(tmp_path), "--deployment", "here"])
    assert '"state": "whole"' in shown.output and '"unreadable"' not in shown.output
    assert '"models": 3' in shown.output and '"version": 3' in shown.output and '"epoch": 1' in shown.output
    assert run(state, ["check", str(tmp_path), "--deployment", "here"]).exit_code == 0
    assert run(state, ["check", str(tmp_path)]).exit_code == 1  # the default deployment is another one
    path = next((tmp_path / "edge").glob("knowledge.*"))
    path.write_bytes(path.read_bytes()[:-1])
    checked = run(state, ["check", str(tmp_path), "--deployment", "here"])
    assert checked.exit_code == 1
    assert "edge/knowledge.0000000000000001.state: cut short or corrupt" in checked.output
    again = StateStore(StateFolder(tmp_path / "edge"), "here", lambda: 1_000)
    assert again.read(StateKind("knowledge", 3)) is None
    again.close()
    assert "knowledge.0000000000000001.state.aside" in run(state, ["prune", str(tmp_path)]).output
    assert not list(tmp_path.rglob("*.aside"))
    with pytest.raises(ConfigError, match="no such folder"):
        run(state, ["show", str(tmp_path / "no")], catch_exceptions=False)


def test_the_number_of_files_set_aside_is_limited(tmp_path: Path) -> None:
    for n in range(30):
        (tmp_path / f"thing.{n + 1:016d}.state").write_bytes(b"rot")
    opened = open_store(StateFolder(tmp_path))
    assert opened.read(THING) is None
    assert len(list(tmp_path.glob("*.aside"))) <= MAX_FILES_SET_ASIDE


def test_a_full_or_read_only_disk_preserves_the_saved_state() -> None:
    disk = PowerCutDisk(Random(1))
    opened = open_store(disk)
    opened.write(THING, "old")
    disk.full = True
    with pytest.raises(OSError, match="No space"):
        opened.write(THING, "new")
    disk.full = False
    state = opened.read(THING)
    assert state is not None and state.value == "old"
    assert not [n for n in disk.names() if n.endswith(".part")]
    assert opened.write(THING, "newer") == 2
    disk.read_only = True
    again = open_store(disk)
    assert again.epoch == 0
    assert again.problems == ["state cannot be saved: Read-only file system"]
    state = again.read(THING)
    assert state is not None and state.value == "newer"


def test_a_state_over_the_size_limit_is_not_written(tmp_path: Path) -> None:
    opened = open_store(StateFolder(tmp_path), max_bytes=2000)
    opened.write(THING, "small")
    with pytest.raises(StateTooLargeError, match="at most 2000 are allowed"):
        opened.write(THING, list(os.urandom(5000)))
    state = opened.read(THING)
    assert state is not None and state.value == "small"
    decompression_bomb = pack_state(THING, "here", 2, 5, "x" * 10_000_000)
    assert len(decompression_bomb) < 2000 + HEADER.size
    with pytest.raises(UnreadableStateError):
        unpack_state(decompression_bomb, THING, "here", 2000)

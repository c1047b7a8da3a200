"""The store: whatever cuts a write short, the old state or the new one is found, whole."""

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
from tests.powercut import Cut, PowerCut

THING = StateKind("thing")


def store(disk: Any, deployment: str = "here", **more: Any) -> StateStore:
    return StateStore(disk, deployment, lambda: 1_000, **more)


def test_what_was_written_is_read_and_the_generation_before_is_kept(tmp_path: Path) -> None:
    first = store(StateFolder(tmp_path))
    assert first.read(THING) is None
    assert [first.write(THING, {"n": n}) for n in range(5)] == [1, 2, 3, 4, 5]
    first.close()
    second = store(StateFolder(tmp_path))
    state = second.read(THING)
    assert state is not None
    assert (state.value, state.generation, state.saved_ns, second.epoch) == ({"n": 4}, 5, 1_000, 2)
    assert sorted(n for n in os.listdir(tmp_path) if n.startswith("thing")) == [
        "thing.0000000000000004.state",
        "thing.0000000000000005.state",
    ]
    assert second.problems == []


def test_a_second_process_is_refused_and_a_dead_ones_lock_is_free(tmp_path: Path) -> None:
    first = store(StateFolder(tmp_path))
    with pytest.raises(FolderInUseError):
        store(StateFolder(tmp_path))
    first.close()
    assert store(StateFolder(tmp_path)).epoch == 2


def test_the_power_fails_at_any_step_and_the_old_state_or_the_new_one_is_there() -> None:
    """Some thousands of cuts, one after the other on the same disk, at every step of a write."""
    found = set()
    for seed in range(300):
        chance = Random(seed)
        disk = PowerCut(chance)
        said = 0
        for _ in range(12):
            wanted = said
            try:
                disk.cut_at = disk.steps + 1 + chance.randrange(16)
                opened = store(disk)
                state = opened.read(THING)
                at = state.value if state is not None else 0
                assert at == said, (seed, at, said)
                while True:
                    wanted = said + 1
                    opened.write(THING, wanted)
                    said = wanted
            except Cut:
                disk = disk.after()
            state = store(disk).read(THING)
            at = state.value if state is not None else 0
            assert at in (said, wanted), (seed, at, said)
            found.add(at - said)
            said = at
    assert found == {0, 1}


def test_a_store_that_does_not_sync_is_found_out() -> None:
    """The test before can fail: without the syncs states are lost."""

    class Hasty(PowerCut):
        def sync(self, name: str) -> None:
            self.step()

        def sync_folder(self) -> None:
            self.step()

    lost = 0
    for seed in range(100):
        disk = Hasty(Random(seed))
        opened = store(disk)
        opened.write(THING, 1)
        opened.write(THING, 2)
        state = store(disk.after()).read(THING)
        lost += state is None or state.value != 2
    assert lost > 30


@pytest.fixture
def in_memory(tmp_path: Path) -> Iterator[Path]:
    """A folder whose fsync takes no time, where there is one: a killed process loses nothing that the kernel
    has, and a slow disk would leave it nothing to be killed in."""
    memory = Path("/dev/shm")
    if not os.access(memory, os.W_OK):
        yield tmp_path
        return
    with tempfile.TemporaryDirectory(dir=memory) as folder:
        yield Path(folder)


def test_killed_at_some_hundred_moments_the_state_is_whole(in_memory: Path) -> None:
    chance, tmp_path = Random(1), in_memory
    last = 0
    for _ in range(200):
        child = os.fork()
        if not child:
            try:
                opened = store(StateFolder(tmp_path))
                state = opened.read(THING)
                n = state.value["n"] if state is not None else 0
                while True:
                    n += 1
                    opened.write(THING, {"n": n, "filling": "x" * (n % 50_000)})
            finally:
                os._exit(1)
        time.sleep(chance.uniform(0, 0.012))
        os.kill(child, signal.SIGKILL)
        os.waitpid(child, 0)
        opened = store(StateFolder(tmp_path))
        state = opened.read(THING)
        opened.close()
        assert opened.problems == []
        at = state.value["n"] if state is not None else 0
        assert at >= last
        last = at
    assert last > 50
    assert len(os.listdir(tmp_path)) < 10


def test_a_byte_that_is_wrong_anywhere_is_found_and_set_aside(tmp_path: Path) -> None:
    data = pack_state(THING, "here", 7, 5, {"a": [1, 2, 3]})
    assert unpack_state(data, THING, "here", 1000).value == {"a": [1, 2, 3]}
    for at in range(len(data)):
        bad = bytearray(data)
        bad[at] ^= 1 + at % 255
        with pytest.raises(UnreadableStateError):
            unpack_state(bytes(bad), THING, "here", 1000)
        with pytest.raises(UnreadableStateError):
            unpack_state(data[:at], THING, "here", 1000)
    first = store(StateFolder(tmp_path))
    first.write(THING, "old")
    first.write(THING, "new")
    first.close()
    path = tmp_path / "thing.0000000000000002.state"
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    second = store(StateFolder(tmp_path))
    state = second.read(THING)
    assert state is not None and state.value == "old"
    assert second.problems == [f"{path.name} is set aside: cut short or corrupt"]
    assert second.read(THING) is not None and len(second.problems) == 1  # said once
    assert second.write(THING, "newer") == 3
    assert (tmp_path / f"{path.name}.aside").exists()


def test_older_versions_are_led_to_this_one_and_newer_ones_are_left_alone(tmp_path: Path) -> None:
    first = store(StateFolder(tmp_path))
    first.write(THING, {"n": 1})
    first.close()
    third = StateKind("thing", 3, {1: lambda v: {**v, "two": True}, 2: lambda v: {**v, "n": v["n"] + 1}})
    second = store(StateFolder(tmp_path))
    state = second.read(third)
    assert state is not None and (state.value, state.version) == ({"n": 2, "two": True}, 1)
    second.write(third, {"n": 5})
    second.close()
    back = store(StateFolder(tmp_path))
    state = back.read(THING)
    assert state is not None and state.value == {"n": 1}  # the generation before is still of this version
    assert back.problems == ["thing.0000000000000002.state is set aside: of a newer program (version 1.3)"]
    back.write(THING, {"n": 2})
    back.close()
    assert (tmp_path / "thing.0000000000000002.state.aside").exists()
    breaks = StateKind("thing", 2, {1: lambda v: v["no such"]})
    assert store(StateFolder(tmp_path)).read(breaks) is None


def test_a_file_of_another_deployment_or_of_nobody_is_set_aside(tmp_path: Path) -> None:
    other = store(StateFolder(tmp_path), "there")
    other.write(THING, "theirs")
    other.close()
    (tmp_path / "thing.0000000000000009.state").write_bytes(b"no state at all")
    (tmp_path / "notes.txt").write_text("somebody's")
    opened = store(StateFolder(tmp_path))
    assert opened.read(THING) is None
    assert any("of another deployment" in p for p in opened.problems)
    assert any(
        "thing.0000000000000009.state is set aside: 15 bytes are too short for a state file" in p
        for p in opened.problems
    )
    assert opened.write(THING, "ours") == 10
    assert (tmp_path / "notes.txt").read_text() == "somebody's"


def test_the_command_shows_checks_and_prunes(tmp_path: Path) -> None:
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
    assert run(state, ["check", str(tmp_path)]).exit_code == 1  # of another deployment
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


def test_files_set_aside_are_bounded(tmp_path: Path) -> None:
    for n in range(30):
        (tmp_path / f"thing.{n + 1:016d}.state").write_bytes(b"rot")
    opened = store(StateFolder(tmp_path))
    assert opened.read(THING) is None
    assert len(list(tmp_path.glob("*.aside"))) <= MAX_FILES_SET_ASIDE


def test_a_full_or_read_only_disk_leaves_what_was_there() -> None:
    disk = PowerCut(Random(1))
    opened = store(disk)
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
    again = store(disk)
    assert again.epoch == 0
    assert again.problems == ["state cannot be saved: Read-only file system"]
    state = again.read(THING)
    assert state is not None and state.value == "newer"


def test_a_state_over_its_bound_is_not_written(tmp_path: Path) -> None:
    opened = store(StateFolder(tmp_path), max_bytes=2000)
    opened.write(THING, "small")
    with pytest.raises(StateTooLargeError, match="at most 2000 are allowed"):
        opened.write(THING, list(os.urandom(5000)))
    state = opened.read(THING)
    assert state is not None and state.value == "small"
    bomb = pack_state(THING, "here", 2, 5, "x" * 10_000_000)
    assert len(bomb) < 2000 + HEADER.size
    with pytest.raises(UnreadableStateError):
        unpack_state(bomb, THING, "here", 2000)

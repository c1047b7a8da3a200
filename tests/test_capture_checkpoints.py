"""A replay resumes from a checkpoint, and a damaged or foreign checkpoint is refused."""

from __future__ import annotations

import os
import pickle
import time
from itertools import dropwhile
from pathlib import Path

import pytest
import zstandard

from martenlead.capture import events as ev
from martenlead.capture import format as fm
from martenlead.capture.checkpoint import Checkpoint, load
from martenlead.capture.reader import find_runs
from martenlead.capture.replay import replay, write_checkpoint_between
from tests.capture_rig import CAPTURES, open_writer, wait_until_written


@pytest.mark.parametrize("path", sorted(CAPTURES.glob("*.mlc")), ids=lambda path: path.name.split("-17")[0])
def test_a_replay_from_a_checkpoint_makes_the_same_decisions(path: Path, tmp_path: Path) -> None:
    events = list(find_runs([path])[0].events())
    for position in range(50, len(events), max(1, len(events) // 8)):
        write_checkpoint_between(events[:position], events[position:], tmp_path / "x.ckpt")
        following = list(dropwhile(lambda e: not isinstance(e, ev.InputEvent), events[position:]))
        outcome = replay([load(tmp_path / "x.ckpt"), *following])
        assert (outcome.divergence, outcome.stop_reason, outcome.events) == (None, "", len(following) + 1)


def test_a_damaged_or_foreign_checkpoint_is_refused(tmp_path: Path) -> None:
    events = list(find_runs([CAPTURES])[0].events())
    path = tmp_path / "x.ckpt"
    write_checkpoint_between(events[:100], events[100:], path)
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    (tmp_path / "y.ckpt").write_bytes(data)
    with pytest.raises(fm.CaptureFormatError, match="not with its checksum"):
        load(tmp_path / "y.ckpt")
    intact = load(path)
    with pytest.raises(fm.CaptureFormatError, match="another version of the module"):
        replay([Checkpoint(intact.time_ns, "other", intact.state)])
    malicious = zstandard.compress(pickle.dumps(os.system))
    with pytest.raises(fm.CaptureFormatError, match="none of ours"):
        replay([Checkpoint(intact.time_ns, intact.policy_hash, malicious)])


def test_a_run_whose_old_segments_were_removed_replays_from_its_checkpoint(tmp_path: Path) -> None:
    events = list(find_runs([CAPTURES / "retry-abuse-1796000000000000000-000000.mlc"])[0].events())
    writer, logged = open_writer(tmp_path, segment_bytes=6000, total_bytes=20_000)
    for n, event in enumerate(events):
        writer.put(event)
        if n % 400 == 399:
            wait_until_written(writer, n - 400)
            while writer.retention.checkpoint_process.is_running:
                time.sleep(0.01)
    writer.close()
    assert "segment_removed" in logged
    assert "checkpoint_failed" not in logged
    (run,) = find_runs([tmp_path])
    assert run.paths[0].name.endswith("-000000.mlc") is False
    outcome = replay(run.events())
    assert (outcome.divergence, outcome.stop_reason, outcome.is_resumed) == (None, "", True)
    assert outcome.decisions > 100
    run.paths[0].with_suffix(".ckpt").unlink()
    assert "are gone" in replay(run.events()).stop_reason

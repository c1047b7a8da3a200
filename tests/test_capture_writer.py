"""The capture writer: segments and their bounds, a full queue, a full disk, and folders in use."""

from __future__ import annotations

import errno
import os
import time
from pathlib import Path

import pytest

from martenlead.capture import events as ev
from martenlead.capture.reader import find_runs
from martenlead.capture.replay import replay
from martenlead.capture.run_folder import AlreadyLockedError
from martenlead.capture.writer import CaptureSettings, CaptureWriter
from tests.capture_rig import settle, store


def test_segments_turn_over_and_the_oldest_go_first(tmp_path: Path) -> None:
    made, told = store(tmp_path, segment_bytes=500, total_bytes=4000, checkpoints=False)
    for n in range(100):
        made.put(ev.FunctionAdded(n, n, os.urandom(40).hex(), "0", 1, 1.0))
        if n % 5 == 4:
            settle(made, n - 5)
    made.close()
    assert sum(p.stat().st_size for p in tmp_path.glob("*.mlc")) <= 4600
    assert "segment_removed" in told
    (run,) = find_runs([tmp_path])
    first, *rest = run.events()
    assert isinstance(first, ev.Gap)
    assert "are gone" in first.reason
    assert [e.function for e in rest if isinstance(e, ev.FunctionAdded)] == list(range(100))[-len(rest) :]
    assert replay(run.events()).stop_reason.startswith("some events are missing")


def test_a_full_queue_leaves_a_gap_and_never_waits(tmp_path: Path) -> None:
    made, _ = store(tmp_path, queue=10, flush_ms=100_000)
    for n in range(50):
        made.put(ev.Advance(n))
    assert made.dropped == 40
    made.queue.events.popleft()
    made.put(ev.Advance(99))
    made.close()
    gap = next(e for e in find_runs([tmp_path])[0].events() if isinstance(e, ev.Gap))
    assert (gap.time_ns, gap.until_ns, gap.dropped) == (10, 49, 40)


def test_a_full_disk_is_told_left_as_a_gap_and_got_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made, told = store(tmp_path)
    made.put(ev.Advance(1))
    settle(made, 1)
    plain = os.write

    def full_disk(descriptor: int, data: bytes) -> int:
        plain(descriptor, data[:7])  # part of it still goes
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "write", full_disk)
    for n in (2, 3):
        made.put(ev.Advance(n))
    while made.dropped < 2:
        time.sleep(0.002)
    monkeypatch.undo()
    made.put(ev.Advance(4))
    made.close()
    found = list(find_runs([tmp_path])[0].events())
    assert [type(e).__name__ for e in found] == ["Advance", "Gap", "Advance"]
    assert isinstance(found[1], ev.Gap)
    assert (found[1].time_ns, found[1].dropped) == (2, 2)
    assert told == ["capture_write_failed", "capture_resumed"]


def test_two_of_one_name_are_refused_and_two_names_share_a_folder(tmp_path: Path) -> None:
    made, _ = store(tmp_path)
    with pytest.raises(AlreadyLockedError, match="another dispatcher named edge writes there"):
        store(tmp_path)
    other = CaptureWriter(CaptureSettings(folder=str(tmp_path)), "other", lambda *_: None)
    for one in (made, other):
        one.put(ev.Advance(1))
        one.close()
    assert [run.name for run in find_runs([tmp_path])] == ["edge", "other"]
    again, _ = store(tmp_path)
    again.close()


def test_a_segment_removed_while_it_is_read_shows_as_missing(tmp_path: Path) -> None:
    made, _ = store(tmp_path, segment_bytes=1)
    for n in range(3):
        made.put(ev.Advance(n))
        settle(made, n + 1)
    made.close()
    (run,) = find_runs([tmp_path])
    events = run.events()
    assert next(events) == ev.Advance(0)
    run.paths[1].unlink()
    assert [type(e).__name__ for e in events] == ["Gap", "Advance"]

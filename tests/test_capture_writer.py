"""The capture writer: limits of segments and of disk usage, a full queue, a full disk, and locked folders."""

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
from tests.capture_rig import open_writer, wait_until_written


def test_full_segments_are_closed_and_the_oldest_are_removed_first(tmp_path: Path) -> None:
    writer, logged = open_writer(tmp_path, segment_bytes=500, total_bytes=4000, checkpoints=False)
    for n in range(100):
        writer.put(ev.FunctionAdded(n, n, os.urandom(40).hex(), "0", 1, 1.0))
        if n % 5 == 4:
            wait_until_written(writer, n - 5)
    writer.close()
    assert sum(p.stat().st_size for p in tmp_path.glob("*.mlc")) <= 4600
    assert "segment_removed" in logged
    (run,) = find_runs([tmp_path])
    first, *rest = run.events()
    assert isinstance(first, ev.Gap)
    assert "are gone" in first.reason
    assert [e.function for e in rest if isinstance(e, ev.FunctionAdded)] == list(range(100))[-len(rest) :]
    assert replay(run.events()).stop_reason.startswith("some events are missing")


def test_a_full_queue_drops_events_and_records_a_gap(tmp_path: Path) -> None:
    writer, _ = open_writer(tmp_path, queue=10, flush_ms=100_000)
    for n in range(50):
        writer.put(ev.Advance(n))
    assert writer.dropped == 40
    writer.queue.events.popleft()
    writer.put(ev.Advance(99))
    writer.close()
    gap = next(e for e in find_runs([tmp_path])[0].events() if isinstance(e, ev.Gap))
    assert (gap.time_ns, gap.until_ns, gap.dropped) == (10, 49, 40)


def test_a_full_disk_is_logged_and_recorded_as_a_gap(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    writer, logged = open_writer(tmp_path)
    writer.put(ev.Advance(1))
    wait_until_written(writer, 1)
    real_write = os.write

    def full_disk(descriptor: int, data: bytes) -> int:
        real_write(descriptor, data[:7])  # a partial write succeeds
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "write", full_disk)
    for n in (2, 3):
        writer.put(ev.Advance(n))
    while writer.dropped < 2:
        time.sleep(0.002)
    monkeypatch.undo()
    writer.put(ev.Advance(4))
    writer.close()
    found = list(find_runs([tmp_path])[0].events())
    assert [type(e).__name__ for e in found] == ["Advance", "Gap", "Advance"]
    assert isinstance(found[1], ev.Gap)
    assert (found[1].time_ns, found[1].dropped) == (2, 2)
    assert logged == ["capture_write_failed", "capture_resumed"]


def test_writers_share_a_folder_only_if_their_names_differ(tmp_path: Path) -> None:
    writer, _ = open_writer(tmp_path)
    with pytest.raises(AlreadyLockedError, match="another dispatcher named edge writes there"):
        open_writer(tmp_path)
    other = CaptureWriter(CaptureSettings(folder=str(tmp_path)), "other", lambda *_: None)
    for opened in (writer, other):
        opened.put(ev.Advance(1))
        opened.close()
    assert [run.name for run in find_runs([tmp_path])] == ["edge", "other"]
    reopened, _ = open_writer(tmp_path)
    reopened.close()


def test_a_segment_removed_while_it_is_read_shows_as_missing(tmp_path: Path) -> None:
    writer, _ = open_writer(tmp_path, segment_bytes=1)
    for n in range(3):
        writer.put(ev.Advance(n))
        wait_until_written(writer, n + 1)
    writer.close()
    (run,) = find_runs([tmp_path])
    events = run.events()
    assert next(events) == ev.Advance(0)
    run.paths[1].unlink()
    assert [type(e).__name__ for e in events] == ["Gap", "Advance"]

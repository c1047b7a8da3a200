"""Captures on a failing disk: losses are counted, the rest stays readable, and writing resumes afterwards."""

from __future__ import annotations

import errno
import os
import time
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import pytest

from martenlead.capture import checkpoint as checkpoints
from martenlead.capture import events as ev
from martenlead.capture.reader import find_runs
from martenlead.capture.run_folder import AlreadyLockedError
from martenlead.capture.writer import CaptureSettings, CaptureWriter
from martenlead.edge.status_report import report_status
from martenlead.system.durable_file import Backoff
from support.disk_faults import ERRNOS, DiskFaults
from support.fleet import run_edge, until

QUICK_BACKOFF = partial(Backoff, first_seconds=0.001, longest_seconds=0.004)
each_errno = pytest.mark.parametrize("code", ERRNOS, ids=[errno.errorcode[e] for e in ERRNOS])


def open_writer(root: Path, monkeypatch: pytest.MonkeyPatch, **more: Any) -> tuple[CaptureWriter, list[str]]:
    """Opens a writer with a quick backoff; returns it and the list of its log events."""
    monkeypatch.setattr("martenlead.capture.disk_failures.Backoff", QUICK_BACKOFF)
    logged: list[str] = []
    settings = CaptureSettings(folder=str(root), flush_ms=1, sync="flush", checkpoints=False, **more)
    return CaptureWriter(settings, "edge", lambda event, _: logged.append(event)), logged


def write_events(writer: CaptureWriter, first: int, count: int) -> None:
    """Puts `count` events, and waits after each until it is written or lost."""
    for n in range(first, first + count):
        writer.put(ev.Advance(n))
        end = time.monotonic() + 10
        while writer.written + writer.dropped < n and time.monotonic() < end:
            time.sleep(0.0005)
        assert writer.written + writer.dropped == n


def segments_in(root: Path) -> list[str]:
    """Names of the segments, listed by a call in which no fault is injected."""
    return [name for name in os.listdir(root) if name.endswith(".mlc")]


def read_capture(root: Path) -> tuple[list[int], int]:
    """The times of the readable events, and the number of lost events according to the gaps."""
    (run,) = find_runs([root])
    events = list(run.events())
    gaps = [e for e in events if isinstance(e, ev.Gap)]
    return [e.time_ns for e in events if isinstance(e, ev.Advance)], sum(gap.dropped for gap in gaps)


def count_disk_calls(root: Path, monkeypatch: pytest.MonkeyPatch) -> int:
    """The number of disk calls of a capture without faults."""
    root.mkdir()
    disk = DiskFaults(root, Random(1))
    with disk():
        writer, _ = open_writer(root, monkeypatch, segment_bytes=200)
        write_events(writer, 1, 4)
        writer.close()
        return len(disk.calls)


@each_errno
@pytest.mark.parametrize("for_calls", (1, 5), ids=("once", "for a while"))
def test_events_lost_to_a_failing_disk_are_counted_and_writing_continues(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int, for_calls: int
) -> None:
    """Whichever disk call fails first, each event is read exactly once or counted as lost, and after a crash
    all events written before it are still there."""
    for failing_call in range(1, count_disk_calls(tmp_path / "count", monkeypatch) + 1):
        root = tmp_path / str(failing_call)
        root.mkdir()
        disk = DiskFaults(root, Random(failing_call))
        with disk():
            disk.fail(code, failing_call, for_calls)
            writer, logged = open_writer(root, monkeypatch, segment_bytes=200)
            write_events(writer, 1, 4)
            disk.heal()
            write_events(writer, 5, 4)
            written, dropped = writer.written, writer.dropped
            writer.close()
            times, lost = read_capture(root)
            assert (len(times), lost) == (written, dropped), failing_call
            assert times == sorted(set(times)), failing_call
            assert times[-4:] == [5, 6, 7, 8], failing_call
            assert logged.count("capture_write_failed") == logged.count("capture_resumed"), failing_call
            assert writer.recoveries == logged.count("capture_resumed")
            disk.crash()
            assert read_capture(root) == (times, lost), failing_call


def test_a_full_disk_leaves_no_empty_segments(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        writer, logged = open_writer(tmp_path, monkeypatch)
        write_events(writer, 1, 1)
        for only in ("write", "fsync", "unlink"):
            disk.fail(errno.ENOSPC, 1, only=only)
            if only == "unlink":  # a segment without a header, which cannot be removed either
                disk._fails_only = ""
                disk._fails_from = 2  # opening the segment succeeds
            failures, segments = writer.failures, len(segments_in(tmp_path))
            writer.put(ev.Advance(writer.written + writer.dropped + 1))
            end = time.monotonic() + 10
            while writer.failures < failures + 20 and time.monotonic() < end:
                time.sleep(0.001)
            assert writer.failures >= failures + 20
            assert len(segments_in(tmp_path)) <= segments + 1
            disk.heal()
            write_events(writer, writer.written + writer.dropped + 1, 1)
        writer.close()
        times, lost = read_capture(tmp_path)
        assert (len(times), lost) == (writer.written, writer.dropped)
        assert lost == 3
        assert logged == ["capture_write_failed", "capture_resumed"] * 3


def test_a_capture_folder_that_is_unusable_at_the_start_is_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        disk.fail(errno.EROFS, 1)
        writer, logged = open_writer(tmp_path / "captures", monkeypatch)
        assert logged == ["capture_write_failed"]
        for n in (1, 2):
            writer.put(ev.Advance(n))
        end = time.monotonic() + 10
        while writer.failures < 5 and time.monotonic() < end:
            time.sleep(0.001)
        assert (writer.failures >= 5, writer.dropped) == (True, 0)
        disk.heal()
        write_events(writer, 3, 2)
        with pytest.raises(AlreadyLockedError):
            open_writer(tmp_path / "captures", monkeypatch)
        writer.close()
        assert read_capture(tmp_path / "captures") == ([1, 2, 3, 4], 0)  # replays need the first events
        assert logged == ["capture_write_failed", "capture_resumed"]


@pytest.mark.anyio
async def test_edge_status_shows_lost_capture_events(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        writer, _ = open_writer(tmp_path, monkeypatch)
        write_events(writer, 1, 2)
        disk.fail(errno.ENOSPC, 1)
        write_events(writer, 3, 1)
        disk.heal()
        write_events(writer, 4, 1)
        async with run_edge() as f:
            f.task_group.start_soon(writer.publish_counters, f.dispatcher)
            await until(lambda: f.dispatcher.counts["capture", "written"])
            counts = report_status(f.dispatcher).counts
        writer.close()
    assert [counts[f"capture/{name}"] for name in ("written", "dropped", "unsynced")] == [3, 1, 0]
    assert counts["capture/failures"] >= 1
    assert counts["capture/recoveries"] == 1


def test_events_stay_in_the_queue_between_attempts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the batch of the failed attempt is lost; the rest is written after the disk has recovered."""
    monkeypatch.setattr(Backoff, "next_seconds", lambda _: 3600.0)
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        writer, _ = open_writer(tmp_path, monkeypatch)
        write_events(writer, 1, 1)
        disk.fail(errno.ENOSPC, 1)
        write_events(writer, 2, 1)
        for n in range(3, 50):
            writer.put(ev.Advance(n))
        time.sleep(0.05)  # 50 flush intervals
        assert (writer.failures, writer.dropped) == (1, 1)
        disk.heal()
        writer.close()
        assert read_capture(tmp_path) == ([1, *range(3, 50)], 1)


def test_a_delayed_segment_removal_loses_no_event(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        writer, logged = open_writer(tmp_path, monkeypatch, segment_bytes=1, total_bytes=2000)
        disk.fail(errno.EIO, 1, only="unlink")
        count = 0
        while "segment_removal_failed" not in logged:
            count += 1
            write_events(writer, count, 1)
        disk.heal()
        write_events(writer, count + 1, 10)
        assert writer.dropped == 0
        writer.close()
        assert sum(path.stat().st_size for path in tmp_path.glob("*.mlc")) < 2600


def test_disk_usage_stays_limited_while_old_segments_cannot_be_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        writer, logged = open_writer(tmp_path, monkeypatch, segment_bytes=1, total_bytes=2000)
        disk.fail(errno.EIO, 1, only="unlink")
        for n in range(1, 120):
            write_events(writer, n, 1)
        size = sum(path.stat().st_size for path in tmp_path.glob("*.mlc"))
        assert size < 4000
        assert writer.dropped > 50
        assert logged.count("segment_removal_failed") == 1
        disk.heal()
        write_events(writer, 120, 5)
        writer.close()
        times, _ = read_capture(tmp_path)
        assert times[-5:] == [120, 121, 122, 123, 124]
        assert sum(path.stat().st_size for path in tmp_path.glob("*.mlc")) < 2600


def test_a_failed_segment_sync_is_logged_and_counted_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged: list[str] = []
    settings = CaptureSettings(folder=str(tmp_path), flush_ms=1, sync="segment", checkpoints=False)
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        writer = CaptureWriter(settings, "edge", lambda event, _: logged.append(event))
        write_events(writer, 1, 3)
        disk.fail(errno.EIO, 1, only="fsync")
        writer.close()
        assert (logged, writer.unsynced) == (["segment_sync_failed"], 3)
        assert disk.calls.count("fsync") == 1
        assert read_capture(tmp_path) == ([1, 2, 3], 0)


@pytest.mark.parametrize("header", (b"", b"mlcap", bytes(200)), ids=("empty", "cut", "zeros"))
def test_a_segment_without_header_does_not_hide_other_segments(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, header: bytes
) -> None:
    writer, _ = open_writer(tmp_path, monkeypatch, segment_bytes=1)
    write_events(writer, 1, 3)
    writer.close()
    middle = sorted(tmp_path.glob("*.mlc"))[1]
    middle.write_bytes(header)
    (run,) = find_runs([tmp_path])
    assert [type(e).__name__ for e in run.events()] == ["Advance", "Gap", "Advance"]
    assert run.torn_bytes == len(header)


def test_a_torn_checkpoint_does_not_hide_its_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    writer, _ = open_writer(tmp_path, monkeypatch, segment_bytes=1)
    write_events(writer, 1, 3)
    writer.close()
    first, second, _ = sorted(tmp_path.glob("*.mlc"))
    first.unlink()
    checkpoints.checkpoint_path(second).write_bytes(b"torn")
    (run,) = find_runs([tmp_path])
    assert [type(e).__name__ for e in run.events()] == ["Gap", "Advance", "Advance"]

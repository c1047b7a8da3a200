"""Captures on a disk that fails: what was lost is counted, what was written stays readable, and writing goes
on once the disk is well again."""

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
from martenlead.capture.writer import CaptureSettings
from martenlead.capture.writer import CaptureWriter as Captures
from martenlead.edge.status_report import report_status
from martenlead.system.durable_file import Backoff
from support.disk_faults import ERRNOS, DiskFaults
from support.fleet import run_edge, until

QUICK = partial(Backoff, first_seconds=0.001, longest_seconds=0.004)
each_errno = pytest.mark.parametrize("code", ERRNOS, ids=[errno.errorcode[e] for e in ERRNOS])


def captures(root: Path, monkeypatch: pytest.MonkeyPatch, **more: Any) -> tuple[Captures, list[str]]:
    monkeypatch.setattr("martenlead.capture.disk_failures.Backoff", QUICK)
    told: list[str] = []
    settings = CaptureSettings(folder=str(root), flush_ms=1, sync="flush", checkpoints=False, **more)
    return Captures(settings, "edge", lambda what, _: told.append(what)), told


def put(made: Captures, first: int, count: int) -> None:
    """One event after the other, each written or lost before the next."""
    for n in range(first, first + count):
        made.put(ev.Advance(n))
        end = time.monotonic() + 10
        while made.written + made.dropped < n and time.monotonic() < end:
            time.sleep(0.0005)
        assert made.written + made.dropped == n


def segments_in(root: Path) -> list[str]:
    """Listed by a call that does not fail."""
    return [name for name in os.listdir(root) if name.endswith(".mlc")]


def read(root: Path) -> tuple[list[int], int]:
    """The times of the events that can be read, and how many are said to be lost."""
    (run,) = find_runs([root])
    events = list(run.events())
    gaps = [e for e in events if isinstance(e, ev.Gap)]
    return [e.time_ns for e in events if isinstance(e, ev.Advance)], sum(gap.dropped for gap in gaps)


def calls_of_a_capture(root: Path, monkeypatch: pytest.MonkeyPatch) -> int:
    root.mkdir()
    disk = DiskFaults(root, Random(1))
    with disk():
        made, _ = captures(root, monkeypatch, segment_bytes=200)
        put(made, 1, 4)
        made.close()
        return len(disk.calls)


@each_errno
@pytest.mark.parametrize("for_calls", (1, 5), ids=("once", "for a while"))
def test_captures_count_what_a_failing_disk_lost_and_go_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int, for_calls: int
) -> None:
    """Each event that was put is read or counted as lost, none twice, at every call that fails; and after a
    kill all that was written before it is there."""
    for k in range(1, calls_of_a_capture(tmp_path / "count", monkeypatch) + 1):
        root = tmp_path / str(k)
        root.mkdir()
        disk = DiskFaults(root, Random(k))
        with disk():
            disk.fail(code, k, for_calls)
            made, told = captures(root, monkeypatch, segment_bytes=200)
            put(made, 1, 4)
            disk.heal()
            put(made, 5, 4)
            written, dropped = made.written, made.dropped
            made.close()
            times, lost = read(root)
            assert (len(times), lost) == (written, dropped), k
            assert times == sorted(set(times)), k
            assert times[-4:] == [5, 6, 7, 8], k
            assert told.count("capture_write_failed") == told.count("capture_resumed"), k
            assert made.recoveries == told.count("capture_resumed")
            disk.crash()
            assert read(root) == (times, lost), k


def test_a_full_disk_leaves_no_empty_segments(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        made, told = captures(tmp_path, monkeypatch)
        put(made, 1, 1)
        for only in ("write", "fsync", "unlink"):
            disk.fail(errno.ENOSPC, 1, only=only)
            if only == "unlink":  # a segment without a head that cannot be removed either
                disk._fails_only = ""
                disk._fails_from = 2  # the opening goes well
            failures, segments = made.failures, len(segments_in(tmp_path))
            made.put(ev.Advance(made.written + made.dropped + 1))
            end = time.monotonic() + 10
            while made.failures < failures + 20 and time.monotonic() < end:
                time.sleep(0.001)
            assert made.failures >= failures + 20
            assert len(segments_in(tmp_path)) <= segments + 1
            disk.heal()
            put(made, made.written + made.dropped + 1, 1)
        made.close()
        times, lost = read(tmp_path)
        assert (len(times), lost) == (made.written, made.dropped)
        assert lost == 3
        assert told == ["capture_write_failed", "capture_resumed"] * 3


def test_a_capture_folder_that_cannot_be_used_at_the_start_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        disk.fail(errno.EROFS, 1)
        made, told = captures(tmp_path / "captures", monkeypatch)
        assert told == ["capture_write_failed"]
        for n in (1, 2):
            made.put(ev.Advance(n))
        end = time.monotonic() + 10
        while made.failures < 5 and time.monotonic() < end:
            time.sleep(0.001)
        assert (made.failures >= 5, made.dropped) == (True, 0)
        disk.heal()
        put(made, 3, 2)
        with pytest.raises(AlreadyLockedError):
            captures(tmp_path / "captures", monkeypatch)
        made.close()
        assert read(tmp_path / "captures") == ([1, 2, 3, 4], 0)  # a run is replayed from its beginning only
        assert told == ["capture_write_failed", "capture_resumed"]


@pytest.mark.anyio
async def test_an_edge_shows_what_its_capture_lost(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        made, _ = captures(tmp_path, monkeypatch)
        put(made, 1, 2)
        disk.fail(errno.ENOSPC, 1)
        put(made, 3, 1)
        disk.heal()
        put(made, 4, 1)
        async with run_edge() as f:
            f.task_group.start_soon(made.publish_counters, f.dispatcher)
            await until(lambda: f.dispatcher.counts["capture", "written"])
            counts = report_status(f.dispatcher).counts
        made.close()
    assert [counts[f"capture/{name}"] for name in ("written", "dropped", "unsynced")] == [3, 1, 0]
    assert counts["capture/failures"] >= 1
    assert counts["capture/recoveries"] == 1


def test_between_attempts_events_wait_in_the_queue(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Only what was tried is lost; the rest is written as the disk is well again."""
    monkeypatch.setattr(Backoff, "next_seconds", lambda _: 3600.0)
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        made, _ = captures(tmp_path, monkeypatch)
        put(made, 1, 1)
        disk.fail(errno.ENOSPC, 1)
        put(made, 2, 1)
        for n in range(3, 50):
            made.put(ev.Advance(n))
        time.sleep(0.05)  # fifty flushes
        assert (made.failures, made.dropped) == (1, 1)
        disk.heal()
        made.close()
        assert read(tmp_path) == ([1, *range(3, 50)], 1)


def test_a_segment_that_cannot_be_removed_at_once_costs_no_event(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        made, told = captures(tmp_path, monkeypatch, segment_bytes=1, total_bytes=2000)
        disk.fail(errno.EIO, 1, only="unlink")
        count = 0
        while "segment_removal_failed" not in told:
            count += 1
            put(made, count, 1)
        disk.heal()
        put(made, count + 1, 10)
        assert made.dropped == 0
        made.close()
        assert sum(path.stat().st_size for path in tmp_path.glob("*.mlc")) < 2600


def test_while_older_segments_cannot_be_removed_the_bound_on_disk_holds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        made, told = captures(tmp_path, monkeypatch, segment_bytes=1, total_bytes=2000)
        disk.fail(errno.EIO, 1, only="unlink")
        for n in range(1, 120):
            put(made, n, 1)
        size = sum(path.stat().st_size for path in tmp_path.glob("*.mlc"))
        assert size < 4000
        assert made.dropped > 50
        assert told.count("segment_removal_failed") == 1
        disk.heal()
        put(made, 120, 5)
        made.close()
        times, _ = read(tmp_path)
        assert times[-5:] == [120, 121, 122, 123, 124]
        assert sum(path.stat().st_size for path in tmp_path.glob("*.mlc")) < 2600


def test_a_segment_whose_sync_failed_is_said_and_counted_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    told: list[str] = []
    settings = CaptureSettings(folder=str(tmp_path), flush_ms=1, sync="segment", checkpoints=False)
    disk = DiskFaults(tmp_path, Random(1))
    with disk():
        made = Captures(settings, "edge", lambda what, _: told.append(what))
        put(made, 1, 3)
        disk.fail(errno.EIO, 1, only="fsync")
        made.close()
        assert (told, made.unsynced) == (["segment_sync_failed"], 3)
        assert disk.calls.count("fsync") == 1
        assert read(tmp_path) == ([1, 2, 3], 0)


@pytest.mark.parametrize("head", (b"", b"mlcap", bytes(200)), ids=("empty", "cut", "zeros"))
def test_a_segment_without_its_head_hides_none_of_the_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, head: bytes
) -> None:
    made, _ = captures(tmp_path, monkeypatch, segment_bytes=1)
    put(made, 1, 3)
    made.close()
    middle = sorted(tmp_path.glob("*.mlc"))[1]
    middle.write_bytes(head)
    (run,) = find_runs([tmp_path])
    assert [type(e).__name__ for e in run.events()] == ["Advance", "Gap", "Advance"]
    assert run.torn_bytes == len(head)


def test_a_checkpoint_that_is_torn_does_not_hide_its_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made, _ = captures(tmp_path, monkeypatch, segment_bytes=1)
    put(made, 1, 3)
    made.close()
    first, second, _ = sorted(tmp_path.glob("*.mlc"))
    first.unlink()
    checkpoints.checkpoint_path(second).write_bytes(b"torn")
    (run,) = find_runs([tmp_path])
    assert [type(e).__name__ for e in run.events()] == ["Gap", "Advance", "Advance"]

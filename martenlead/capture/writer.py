"""A folder of segments: written by one thread, bounded on disk, never in the way of the event loop.

A disk that fails for a while costs the batches that were tried meanwhile: they are counted, a `Gap` stands in
their place, and writing goes on in a new segment once an attempt succeeds. Attempts back off; in between,
events wait in the bounded queue, and so does the beginning of a run until it is written.

Files are named NAME-RUN-SEGMENT.mlc: one run is one life of a dispatcher. Only the holder of NAME.lock writes
or removes files of that name, so that dispatchers share a folder as long as their names differ.
"""

from __future__ import annotations

import fcntl
import os
import re
import subprocess
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import dropwhile, pairwise
from pathlib import Path
from random import Random
from typing import Literal, Protocol

import anyio
import msgspec

from martenlead.capture.checkpoint import Checkpoint, checkpoint_path, load
from martenlead.capture.events import CaptureEvent, Gap, InputEvent
from martenlead.capture.format import (
    HEADER_BYTES,
    CaptureFormatError,
    FrameEncoder,
    IndexEntry,
    Segment,
    index_entry,
    pack_header,
)
from martenlead.system import clocks
from martenlead.system.durable_file import Backoff, remove_leftovers, sync_folder, write_all

FILE = re.compile(r"(?P<name>.+)-(?P<run>\d{19})-(?P<segment>\d{6})\.mlc\Z")
BATCH = 2048  # events a frame at most
UNBOUNDED_SEGMENTS = 4  # begun while older ones cannot be removed; beyond it nothing is written
REPORT_S = 1.0  # between two copies of the counters
CHILD_S = 600.0  # the longest that a checkpoint may take


class CaptureSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    folder: str
    segment_bytes: int = 16 * 1024 * 1024
    segment_s: float = 600
    total_bytes: int = 1024 * 1024 * 1024  # of this name; the oldest segments go first
    queue: int = 100_000  # events that may wait for the disk; beyond, a gap is written in their place
    flush_ms: float = 50
    sync: Literal["never", "segment", "flush"] = "segment"
    checkpoints: bool = True  # made in a process of its own before a segment goes, so that the rest replays


class CounterOwner(Protocol):
    """What has the counters that operators see."""

    @property
    def counts(self) -> Counter[tuple[str, str]]: ...


class AlreadyLockedError(Exception):
    """Another process writes under this name."""


class CaptureWriter:
    """`put` is for the event loop and never waits; a thread of its own packs and writes."""

    def __init__(self, settings: CaptureSettings, name: str, tell: Callable[[str, str], None]) -> None:
        """Raises `Busy` where another process writes under that name. A folder that cannot be used is tried
        again by the thread."""
        self.settings, self.name, self._log = settings, re.sub(r"[^\w.]", "_", name), tell
        self.folder = Path(settings.folder)
        self._lock: int | None = None
        self.run = 0  # until the folder is taken
        self._backoff = Backoff(Random(self.name))
        self._failing_since: float | None = None
        self._next_attempt = 0.0  # by the monotonic clock
        self.failures = self.recoveries = 0
        try:
            self._take_folder()
        except OSError as error:
            self._begin_trouble(error)
        self.segment = 0
        self.dropped = self.written = self.bytes = 0
        self._queue: deque[CaptureEvent] = deque()
        self._lost: tuple[int, int, int] | None = None  # first, last, count of what did not fit
        self.unsynced = 0  # events in segments whose sync has failed: they may be on the disk or not
        self._failed = 0  # the thread's: events that the disk did not take
        self._failed_at = 0
        self._packer = FrameEncoder()
        self._file: int | None = None
        self._path = self.folder  # of the segment that was begun last
        self._uncounted: tuple[Path, int] | None = None  # where events begin that count as lost
        self._empty: Path | None = None  # the file of a segment that was begun and holds no events yet
        self._unbounded = 0  # segments begun since the bound on disk could be held
        self._size = 0
        self._opened = 0.0
        self._events = 0  # in the segment
        self._entries: list[IndexEntry] = []
        self._child: subprocess.Popen[bytes] | None = None
        self._child_for: Path | None = None
        self._child_since = 0.0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._work, name="capture", daemon=True)
        self._thread.start()

    def _new_run(self) -> int:
        """The number of this run: the Unix time, ns, but above those of all earlier runs under this name, so
        that their order is kept and no file is written twice whatever the wall clock says. The lock is
        held."""
        earlier = (FILE.match(path.name) for path in self.folder.glob(f"{self.name}-*"))
        latest = max(
            (int(match["run"]) for match in earlier if match and match["name"] == self.name), default=0
        )
        return max(clocks.wall_ns(), latest + 1)

    def put(self, event: CaptureEvent) -> None:
        queue = self._queue
        if len(queue) < self.settings.queue:
            if self._lost is not None:
                first, last, count = self._lost
                self._lost = None
                queue.append(Gap(first, last, count, "the queue to the disk was full"))
            queue.append(event)
            return
        t = event.time_ns if isinstance(event, InputEvent) else self._lost[1] if self._lost else 0
        first, _, count = self._lost or (t, t, 0)
        self._lost = first, t, count + 1
        self.dropped += 1

    def close(self) -> None:
        """Writes what waits, the index, and ends the thread."""
        self._stop.set()
        self._thread.join(10)
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    async def publish_counters(self, dispatcher: CounterOwner) -> None:
        """Copies the counters to where operators see them, as long as the dispatcher runs."""
        while True:
            for name in ("written", "dropped", "unsynced", "failures", "recoveries"):
                dispatcher.counts["capture", name] = getattr(self, name)
            await anyio.sleep(REPORT_S)

    # -- the thread

    def _work(self) -> None:
        while True:
            stopping = self._stop.wait(self.settings.flush_ms / 1000)
            if not stopping and time.monotonic() < self._next_attempt:
                continue
            while (self._queue or self._failed) and self._write():
                pass
            if stopping:
                self._lose([self._queue.popleft() for _ in range(len(self._queue))])
                self._finish()
                return

    def _write(self) -> bool:
        """Whether the disk took a batch. One that it did not take is lost, and counted."""
        batch: list[CaptureEvent] = []
        while self._queue and len(batch) < BATCH:
            batch.append(self._queue.popleft())
        try:
            self._put_down([*self._gap_before(batch), *batch])
        except (OSError, AlreadyLockedError) as error:
            if self.written:
                self._lose(batch)
            else:  # a run whose beginning is missing cannot be replayed
                self._queue.extendleft(reversed(batch))
            self._begin_trouble(error)
            self._leave_segment()
            return False
        self.written += len(batch)
        self._end_trouble()
        old = time.monotonic() - self._opened > self.settings.segment_s
        if self._size > self.settings.segment_bytes or old:
            self._finish()
        return True

    def _put_down(self, events: list[CaptureEvent]) -> None:
        """One frame, in a segment that is begun if need be. Raises OSError and `Busy`; then none of it stands
        in the file, as far as the disk still takes orders."""
        if self._lock is None:
            self._take_folder()
        if self._file is None:
            self._open(events)
        assert self._file is not None
        at = self._size
        self._append(self._packer.pack_events(events))
        try:
            if self.settings.sync == "flush":
                os.fsync(self._file)
        except OSError:  # it may be on the disk or not; a second sync would not tell
            self._uncounted = self._path, at
            raise
        if not self._entries:
            self.segment += 1
            self._empty = None
        self._entries.append(index_entry(at, events))
        self._events += len(events)

    # -- trouble with the disk

    def _gap_before(self, batch: list[CaptureEvent]) -> list[CaptureEvent]:
        if not self._failed:
            return []
        t = next((e.time_ns for e in batch if isinstance(e, InputEvent)), self._failed_at)
        return [Gap(self._failed_at or t, t, self._failed, "the disk did not take it")]

    def _lose(self, batch: list[CaptureEvent]) -> None:
        """Counts events that are in no file; a `Gap` among them stands for those that `put` has counted."""
        if batch and not self._failed:
            self._failed_at = next((e.time_ns for e in batch if isinstance(e, InputEvent)), 0)
        self._failed += sum(e.dropped if isinstance(e, Gap) else 1 for e in batch)
        self.dropped += sum(not isinstance(e, Gap) for e in batch)

    def _begin_trouble(self, error: Exception) -> None:
        self.failures += 1
        now = time.monotonic()
        self._next_attempt = now + self._backoff.next_seconds()
        if self._failing_since is None:
            self._failing_since = now
            self._log("the capture is not written", str(error))

    def _end_trouble(self) -> None:
        if self._failing_since is None:
            return
        seconds = time.monotonic() - self._failing_since
        self._log("capture_resumed", f"{self._failed} events were lost in {seconds:.1f} s")
        self._failing_since, self._next_attempt, self._failed = None, 0.0, 0
        self._backoff.reset()
        self.recoveries += 1

    # -- segments

    def _take_folder(self) -> None:
        """Raises OSError, and `Busy` where another process writes under that name."""
        self.folder.mkdir(parents=True, exist_ok=True)
        lock = os.open(self.folder / f"{self.name}.lock", os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.run = self._new_run()
        except BlockingIOError:
            os.close(lock)
            raise AlreadyLockedError(
                f"{self.folder}: another dispatcher named {self.name} writes there"
            ) from None
        except OSError:
            os.close(lock)
            raise
        self._lock = lock

    def _open(self, events: list[CaptureEvent]) -> None:
        """Begins a segment, once what failed attempts have left behind is gone."""
        self._clean_up()
        self._path = self.folder / f"{self.name}-{self.run:019d}-{self.segment:06d}.mlc"
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o644)
        self._empty = self._path
        self._size, self._events, self._entries, self._opened = 0, 0, [], time.monotonic()
        first = next((e.time_ns for e in events if isinstance(e, InputEvent)), 0)
        self._append(pack_header(self.segment, self.run, first))
        if self.settings.sync == "flush":
            sync_folder(self.folder)
        self._hold_bound()

    def _append(self, data: bytes) -> None:
        """All of it or an error; a part that a full disk took is cut off again."""
        assert self._file is not None
        try:
            write_all(self._file, data)
        except OSError:
            with suppress(OSError):
                os.ftruncate(self._file, self._size)
            raise
        self._size += len(data)
        self.bytes += len(data)

    def _finish(self) -> None:
        if self._file is None:
            return
        try:
            self._append(self._packer.pack_index(self._entries))
        except OSError as error:
            self._log("a segment has no index", str(error))
        self._sync_segment()
        self._abandon()

    def _sync_segment(self) -> None:
        """Once: after a failed sync another one may say that it is done while nothing is."""
        if self._file is None or self.settings.sync == "never":
            return
        try:
            os.fsync(self._file)
            sync_folder(self.folder)
        except OSError as error:
            self.unsynced += self._events
            self._log("segment_sync_failed", f"{self._path}: {error}")

    def _leave_segment(self) -> None:
        """After an error. What was taken before stays readable; a segment without any of it goes."""
        if self._entries and self.settings.sync == "segment":
            self._sync_segment()
        self._abandon()
        with suppress(OSError):
            self._clean_up()

    def _clean_up(self) -> None:
        """Removes what failed attempts have left: a segment without events, and events that were counted as
        lost, since their sync failed, but can be read. Raises OSError."""
        if self._empty is not None:
            self._empty.unlink(missing_ok=True)
            self._empty = self._uncounted = None
        if self._uncounted is not None:
            os.truncate(*self._uncounted)
            self._uncounted = None

    def _abandon(self) -> None:
        if self._file is not None:
            file, self._file = self._file, None
            with suppress(OSError):  # the descriptor is gone all the same
                os.close(file)

    def _hold_bound(self) -> None:
        """Raises OSError once older segments could not be removed for a while: the bound comes first."""
        try:
            self._bound()
            self._unbounded = 0
        except OSError as error:
            self._unbounded += 1
            if self._unbounded == 1:
                self._log("segment_removal_failed", str(error))
            if self._unbounded > UNBOUNDED_SEGMENTS:
                raise

    def _bound(self) -> None:
        """Removes the oldest segments beyond the bound, each when the one behind it has its checkpoint."""
        own = sorted(p for p in self.folder.glob(f"{self.name}-*.mlc") if FILE.match(p.name))
        total = sum(p.stat().st_size for p in own)
        if self._child is not None:
            if self._child.poll() is None and time.monotonic() - self._child_since < CHILD_S:
                return  # until it is done the bound is overrun by what is written meanwhile
            self._child.kill()
            if self._child.wait():
                self._log("no checkpoint before the oldest segment goes", str(self._child_for))
            self._child = None
        for path, following in pairwise(own):
            if total <= self.settings.total_bytes:
                return
            wanted = self.settings.checkpoints and _run_of(path) == _run_of(following)
            if wanted and not following.with_suffix(".ckpt").exists() and self._child_for != following:
                self._make_checkpoint(following)
                return
            total -= path.stat().st_size
            path.unlink(missing_ok=True)
            path.with_suffix(".ckpt").unlink(missing_ok=True)
            remove_leftovers(path.with_suffix(".ckpt"))
            self._log("the oldest segment is removed", path.name)

    def _make_checkpoint(self, path: Path) -> None:
        command = [sys.executable, "-m", "martenlead", "capture", "checkpoint", str(path)]
        self._child_for, self._child_since = path, time.monotonic()
        try:
            self._child = subprocess.Popen(
                ["nice", "-n", "19", *command],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        except OSError as error:
            self._log("no checkpoint can be made", str(error))


def _run_of(path: Path) -> str:
    match = FILE.match(path.name)
    return match["run"] if match else ""


# -- reading


class CaptureRun:
    """The segments of one life of a dispatcher, in order."""

    def __init__(self, name: str, run: int, paths: list[Path]) -> None:
        self.name, self.number, self.paths = name, run, paths
        self.torn_bytes = 0
        self.missing_segments: list[int] = []
        self.is_resumed = False  # read on from a checkpoint

    def _checkpoint(self, path: Path) -> Checkpoint | None:
        try:
            return load(checkpoint_path(path))
        except (OSError, CaptureFormatError):  # none, or one that a power cut has torn
            return None

    def events(self) -> Iterator[CaptureEvent]:
        """All events that are whole. Where the first segments are gone and the first that is there has a
        checkpoint, that comes first, in place of what was before. A segment that is missing, or a torn end
        with more behind it, shows as a `Gap`. Raises `BadCapture` for what is no capture."""
        expected, last = 0, 0
        for path in self.paths:
            try:
                segment = Segment(path.read_bytes())
            except FileNotFoundError:  # removed by the bound on disk while it was about to be read
                continue
            except CaptureFormatError as error:
                if _is_without_head(path):  # killed, or cut off from power, as it was begun
                    self.torn_bytes += path.stat().st_size
                    if path is not self.paths[-1]:
                        yield Gap(last, last, 0, f"{path.name} is torn")
                        expected = int(path.stem.rpartition("-")[2]) + 1
                    continue
                raise CaptureFormatError(f"{path}: {error}") from None
            if segment.header.segment != expected and not expected:
                found = self._checkpoint(path)
                if found is not None:
                    yield found
                    for frame in segment.frames():
                        last = frame.last_time_ns
                        # what stands before the first input was decided before the checkpoint
                        events = frame.events()
                        if not self.is_resumed:
                            events = list(dropwhile(lambda e: not isinstance(e, InputEvent), events))
                            self.is_resumed = bool(events)
                        yield from events
                    self.torn_bytes += segment.torn_bytes
                    expected = segment.header.segment + 1
                    continue
            if segment.header.segment != expected:
                self.missing_segments += range(expected, segment.header.segment)
                yield Gap(
                    last,
                    segment.header.first_time_ns,
                    0,
                    f"segments {expected} to {segment.header.segment - 1} are gone",
                )
            for frame in segment.frames():
                last = frame.last_time_ns
                yield from frame.events()
            self.torn_bytes += segment.torn_bytes
            if segment.torn_bytes and path is not self.paths[-1]:
                yield Gap(last, last, 0, f"{path.name} is torn")
            expected = segment.header.segment + 1


def _is_without_head(path: Path) -> bool:
    """Whether the disk lost a segment's first bytes: it is too short, or a power cut left zeros there."""
    with open(path, "rb") as file:
        head = file.read(HEADER_BYTES)
    return len(head) < HEADER_BYTES or not any(head)


def find_runs(paths: list[Path]) -> list[CaptureRun]:
    """The runs in some files and folders, by name and time. Raises `BadCapture` where there is none."""
    files: dict[tuple[str, int], list[Path]] = {}
    for path in paths:
        found = sorted(path.glob("*.mlc")) if path.is_dir() else [path]
        for file in found:
            match = FILE.match(file.name)
            if match is None or not file.is_file():
                raise CaptureFormatError(f"{file}: no capture; NAME-RUN-SEGMENT.mlc was expected")
            files.setdefault((match["name"], int(match["run"])), []).append(file)
    if not files:
        raise CaptureFormatError(f"{', '.join(map(str, paths))}: no captures there")
    return [CaptureRun(name, run, sorted(set(found))) for (name, run), found in sorted(files.items())]

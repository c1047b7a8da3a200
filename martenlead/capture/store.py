"""A folder of segments: written by one thread, bounded on disk, never in the way of the event loop.

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
from collections import deque
from collections.abc import Callable, Iterator
from itertools import dropwhile, pairwise
from pathlib import Path
from typing import Literal

import msgspec

from martenlead.capture.checkpoint import Checkpoint, load, path_of
from martenlead.capture.events import Event, Gap, Input
from martenlead.capture.format import HEAD_SIZE, BadCapture, Entry, Packer, Segment, entry, write_head
from martenlead.system import clocks

FILE = re.compile(r"(?P<name>.+)-(?P<run>\d{19})-(?P<segment>\d{6})\.mlc\Z")
BATCH = 2048  # events a frame at most
CHILD_S = 600.0  # the longest that a checkpoint may take


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    folder: str
    segment_bytes: int = 16 * 1024 * 1024
    segment_s: float = 600
    total_bytes: int = 1024 * 1024 * 1024  # of this name; the oldest segments go first
    queue: int = 100_000  # events that may wait for the disk; beyond, a gap is written in their place
    flush_ms: float = 50
    sync: Literal["never", "segment", "flush"] = "segment"
    checkpoints: bool = True  # made in a process of its own before a segment goes, so that the rest replays


class Busy(Exception):
    """Another process writes under this name."""


class Store:
    """`put` is for the event loop and never waits; a thread of its own packs and writes."""

    def __init__(self, settings: StoreSettings, name: str, tell: Callable[[str, str], None]) -> None:
        """Raises OSError, and `Busy` where another process writes under that name."""
        self.settings, self.name, self._tell = settings, re.sub(r"[^\w.]", "_", name), tell
        self.folder = Path(settings.folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock = open(self.folder / f"{self.name}.lock", "w")  # noqa: SIM115
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._lock.close()
            raise Busy(f"{self.folder}: another dispatcher named {name} writes there") from None
        self.run = self._new_run()
        self.segment = 0
        self.dropped = self.written = self.bytes = 0
        self._queue: deque[Event] = deque()
        self._lost: tuple[int, int, int] | None = None  # first, last, count of what did not fit
        self._failed = 0  # the thread's: events that the disk did not take
        self._failed_at = 0
        self._packer = Packer()
        self._file: int | None = None
        self._size = 0
        self._opened = 0.0
        self._entries: list[Entry] = []
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

    def put(self, event: Event) -> None:
        queue = self._queue
        if len(queue) < self.settings.queue:
            if self._lost is not None:
                first, last, count = self._lost
                self._lost = None
                queue.append(Gap(first, last, count, "the queue to the disk was full"))
            queue.append(event)
            return
        t = event.t if isinstance(event, Input) else self._lost[1] if self._lost else 0
        first, _, count = self._lost or (t, t, 0)
        self._lost = first, t, count + 1
        self.dropped += 1

    def close(self) -> None:
        """Writes what waits, the index, and ends the thread."""
        self._stop.set()
        self._thread.join(10)
        self._lock.close()

    # -- the thread

    def _work(self) -> None:
        while True:
            stopping = self._stop.wait(self.settings.flush_ms / 1000)
            while self._queue:
                self._write()
            if stopping:
                self._finish()
                return

    def _write(self) -> None:
        batch: list[Event] = []
        while self._queue and len(batch) < BATCH:
            batch.append(self._queue.popleft())
        if self._failed:
            t = next((e.t for e in batch if isinstance(e, Input)), self._failed_at)
            batch.insert(0, Gap(self._failed_at or t, t, self._failed, "the disk did not take it"))
        count = len(batch)
        try:
            if self._file is None:
                self._open(batch)
            assert self._file is not None
            at = self._size
            self._append(self._packer.events(batch))
            self._entries.append(entry(at, batch))
            if self.settings.sync == "flush":
                os.fsync(self._file)
            self.written += count
            self._failed = 0
            old = time.monotonic() - self._opened > self.settings.segment_s
            if self._size > self.settings.segment_bytes or old:
                self._finish()
        except OSError as error:
            if not self._failed:
                self._tell("the capture is not written", str(error))
                self._failed_at = next((e.t for e in batch if isinstance(e, Input)), 0)
            self._failed += count
            self.dropped += count
            self._abandon()

    def _open(self, batch: list[Event]) -> None:
        path = self.folder / f"{self.name}-{self.run:019d}-{self.segment:06d}.mlc"
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o644)
        self._size, self._entries, self._opened = 0, [], time.monotonic()
        first = next((e.t for e in batch if isinstance(e, Input)), 0)
        self.segment += 1
        self._append(write_head(self.segment - 1, self.run, first))
        self._bound()

    def _append(self, data: bytes) -> None:
        """All of it or an error; a part that a full disk took is cut off again."""
        assert self._file is not None
        done = 0
        try:
            while done < len(data):
                done += os.write(self._file, data[done:])
        except OSError:
            os.ftruncate(self._file, self._size)
            raise
        self._size += done
        self.bytes += done

    def _finish(self) -> None:
        if self._file is None:
            return
        try:
            self._append(self._packer.index(self._entries))
            if self.settings.sync != "never":
                os.fsync(self._file)
        except OSError as error:
            self._tell("a segment has no index", str(error))
        self._abandon()

    def _abandon(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _bound(self) -> None:
        """Removes the oldest segments beyond the bound, each when the one behind it has its checkpoint."""
        own = sorted(p for p in self.folder.glob(f"{self.name}-*.mlc") if FILE.match(p.name))
        total = sum(p.stat().st_size for p in own)
        if self._child is not None:
            if self._child.poll() is None and time.monotonic() - self._child_since < CHILD_S:
                return  # until it is done the bound is overrun by what is written meanwhile
            self._child.kill()
            if self._child.wait():
                self._tell("no checkpoint before the oldest segment goes", str(self._child_for))
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
            self._tell("the oldest segment is removed", path.name)

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
            self._tell("no checkpoint can be made", str(error))


def _run_of(path: Path) -> str:
    match = FILE.match(path.name)
    return match["run"] if match else ""


# -- reading


class Run:
    """The segments of one life of a dispatcher, in order."""

    def __init__(self, name: str, run: int, paths: list[Path]) -> None:
        self.name, self.run, self.paths = name, run, paths
        self.torn = 0
        self.missing: list[int] = []
        self.resumed = False  # read on from a checkpoint

    def _checkpoint(self, path: Path) -> Checkpoint | None:
        try:
            return load(path_of(path))
        except OSError:
            return None

    def events(self) -> Iterator[Event]:
        """All events that are whole. Where the first segments are gone and the first that is there has a
        checkpoint, that comes first, in place of what was before. A segment that is missing, or a torn end
        with more behind it, shows as a `Gap`. Raises `BadCapture` for what is no capture."""
        expected, last = 0, 0
        for path in self.paths:
            try:
                segment = Segment(path.read_bytes())
            except FileNotFoundError:  # removed by the bound on disk while it was about to be read
                continue
            except BadCapture as error:
                if path.stat().st_size < HEAD_SIZE and path is self.paths[-1]:
                    self.torn += path.stat().st_size  # killed as it was begun
                    return
                raise BadCapture(f"{path}: {error}") from None
            if segment.head.segment != expected and not expected:
                found = self._checkpoint(path)
                if found is not None:
                    yield found
                    for frame in segment.frames():
                        last = frame.last
                        # what stands before the first input was decided before the checkpoint
                        events = frame.events()
                        if not self.resumed:
                            events = list(dropwhile(lambda e: not isinstance(e, Input), events))
                            self.resumed = bool(events)
                        yield from events
                    self.torn += segment.torn
                    expected = segment.head.segment + 1
                    continue
            if segment.head.segment != expected:
                self.missing += range(expected, segment.head.segment)
                yield Gap(
                    last, segment.head.first, 0, f"segments {expected} to {segment.head.segment - 1} are gone"
                )
            for frame in segment.frames():
                last = frame.last
                yield from frame.events()
            self.torn += segment.torn
            if segment.torn and path is not self.paths[-1]:
                yield Gap(last, last, 0, f"{path.name} is torn")
            expected = segment.head.segment + 1


def runs(paths: list[Path]) -> list[Run]:
    """The runs in some files and folders, by name and time. Raises `BadCapture` where there is none."""
    files: dict[tuple[str, int], list[Path]] = {}
    for path in paths:
        found = sorted(path.glob("*.mlc")) if path.is_dir() else [path]
        for file in found:
            match = FILE.match(file.name)
            if match is None or not file.is_file():
                raise BadCapture(f"{file}: no capture; NAME-RUN-SEGMENT.mlc was expected")
            files.setdefault((match["name"], int(match["run"])), []).append(file)
    if not files:
        raise BadCapture(f"{', '.join(map(str, paths))}: no captures there")
    return [Run(name, run, sorted(set(found))) for (name, run), found in sorted(files.items())]

"""Writes a dispatcher's events to its folder, by a thread of its own.

The event loop never waits for the disk. A disk that fails for a while costs the batches that were
tried meanwhile: they are counted, a `Gap` stands in their place, and writing goes on in a new
segment once an attempt succeeds. Attempts back off; in between, events wait in the bounded queue,
and so does the beginning of a run until it is written.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import anyio
import msgspec

from martenlead.capture.disk_failures import DiskFailures
from martenlead.capture.event_queue import EventQueue
from martenlead.capture.events import CaptureEvent
from martenlead.capture.retention import Retention
from martenlead.capture.run_folder import AlreadyLockedError, RunFolder
from martenlead.capture.segments import SegmentWriter, SyncPolicy

MAX_FRAME_EVENTS = 2048
COUNTERS_INTERVAL_SECONDS = 1.0
CLOSE_TIMEOUT_SECONDS = 10.0
MS_PER_SECOND = 1000


class CaptureSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Where and how captures are written; the names are keys of the settings."""

    folder: str
    segment_bytes: int = 16 * 1024 * 1024
    segment_s: float = 600
    total_bytes: int = 1024 * 1024 * 1024  # of this name; the oldest segments go first
    queue: int = 100_000  # events that may wait for the disk; a gap stands for those beyond
    flush_ms: float = 50
    sync: SyncPolicy = "segment"
    checkpoints: bool = True  # made before a segment goes, so that the rest can be replayed


class CounterOwner(Protocol):
    """Whoever has the counters that operators see."""

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """Numbers by group and name."""


class CaptureWriter:
    """One run of one dispatcher: `put` takes its events, a thread of its own writes them."""

    def __init__(
        self, settings: CaptureSettings, name: str, log: Callable[[str, str], None]
    ) -> None:
        """Raises `AlreadyLockedError` where another process writes under that name.

        A folder that cannot be used is tried again by the thread. `log` takes an event and a
        reason.
        """
        self.settings = settings
        self._folder = RunFolder(Path(settings.folder), name)
        self._disk = DiskFailures(self._folder.name, log)
        try:
            self._folder.lock()
        except OSError as error:
            self._disk.begin(error)
        self.retention = Retention(self._folder, settings.total_bytes, settings.checkpoints, log)
        self._segments = SegmentWriter(self._folder, settings.sync, self.retention, log)
        self.queue = EventQueue(settings.queue)
        self.put: Callable[[CaptureEvent], None] = self.queue.put  # for the event loop; never waits
        self.written = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._work, name="capture", daemon=True)
        self._thread.start()

    @property
    def run(self) -> int:
        """The number of this run, 0 until the folder can be used."""
        return self._folder.run

    @property
    def dropped(self) -> int:
        """Events that are in no file."""
        return self.queue.dropped + self._disk.lost_events

    @property
    def unsynced(self) -> int:
        """Events in segments whose sync has failed."""
        return self._segments.unsynced_events

    @property
    def failures(self) -> int:
        """Attempts to write that failed."""
        return self._disk.failures

    @property
    def recoveries(self) -> int:
        """Times that the disk took events again."""
        return self._disk.recoveries

    def close(self) -> None:
        """Writes what waits, and the index, and ends the thread."""
        self._stop.set()
        self._thread.join(CLOSE_TIMEOUT_SECONDS)
        self._folder.unlock()

    async def publish_counters(self, dispatcher: CounterOwner) -> None:
        """Copies the counters to where operators see them, as long as the dispatcher runs."""
        while True:
            for name in ("written", "dropped", "unsynced", "failures", "recoveries"):
                dispatcher.counts["capture", name] = getattr(self, name)
            await anyio.sleep(COUNTERS_INTERVAL_SECONDS)

    # -- the thread

    def _work(self) -> None:
        while True:
            is_stopping = self._stop.wait(self.settings.flush_ms / MS_PER_SECOND)
            if not is_stopping and not self._disk.is_attempt_due:
                continue
            while (self.queue or self._disk.has_unnoted_loss) and self._write_batch():
                pass
            if is_stopping:
                self._disk.lose(self.queue.take(len(self.queue)))
                self._segments.finish()
                return

    def _write_batch(self) -> bool:
        """Whether the disk took a batch. One that it did not take is lost, and counted."""
        batch = self.queue.take(MAX_FRAME_EVENTS)
        try:
            if not self._folder.is_locked:
                self._folder.lock()
            self._segments.append_events([*self._disk.gap_before(batch), *batch])
        except (OSError, AlreadyLockedError) as error:
            if self.written:
                self._disk.lose(batch)
            else:  # a run whose beginning is missing cannot be replayed
                self.queue.put_back(batch)
            self._disk.begin(error)
            self._segments.abandon()
            return False
        self.written += len(batch)
        self._disk.end()
        is_old = self._segments.age_seconds > self.settings.segment_s
        if self._segments.size_bytes > self.settings.segment_bytes or is_old:
            self._segments.finish()
        return True

"""Writes a dispatcher's events to its folder in a separate thread.

The event loop never waits for the disk. While the disk fails, the batches of the failed attempts
are lost: they are counted, a `Gap` replaces them, and writing continues in a new segment after the
first successful attempt. Attempts back off; between them, events stay in the bounded queue. The
first events of a run stay there until they are written.
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
    """Where and how captures are written; the field names are keys of the settings."""

    folder: str
    segment_bytes: int = 16 * 1024 * 1024
    segment_s: float = 600
    total_bytes: int = 1024 * 1024 * 1024  # per dispatcher name; the oldest segments go first
    queue: int = 100_000  # largest number of queued events; a gap replaces dropped ones
    flush_ms: float = 50
    sync: SyncPolicy = "segment"
    checkpoints: bool = True  # made before a segment is removed, so that the rest replays


class CounterOwner(Protocol):
    """An object with counters that operators see."""

    @property
    def counts(self) -> Counter[tuple[str, str]]:
        """Counters by kind and name."""


class CaptureWriter:
    """Writes one run of one dispatcher: `put` queues events, and a thread writes them."""

    def __init__(
        self, settings: CaptureSettings, name: str, log: Callable[[str, str], None]
    ) -> None:
        """Raises `AlreadyLockedError` if another process writes captures of that name.

        The thread retries a folder that cannot be used. `log` is called with an event and a reason.
        """
        self.settings = settings
        self._folder = RunFolder(Path(settings.folder), name)
        self._disk = DiskFailures(self._folder.name, log)
        try:
            self._folder.lock()
        except OSError as error:
            self._disk.record_failure(error)
        self.retention = Retention(self._folder, settings.total_bytes, settings.checkpoints, log)
        self._segments = SegmentWriter(self._folder, settings.sync, self.retention, log)
        self.queue = EventQueue(settings.queue)
        self.put: Callable[[CaptureEvent], None] = self.queue.put  # never blocks the event loop
        self.written = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._work, name="capture", daemon=True)
        self._thread.start()

    @property
    def run(self) -> int:
        """The number of this run, 0 until the folder is locked."""
        return self._folder.run

    @property
    def dropped(self) -> int:
        """The number of events that were dropped or lost."""
        return self.queue.dropped + self._disk.lost_events

    @property
    def unsynced(self) -> int:
        """The number of events in segments whose sync failed."""
        return self._segments.unsynced_events

    @property
    def failures(self) -> int:
        """The number of failed write attempts."""
        return self._disk.failures

    @property
    def recoveries(self) -> int:
        """The number of times that writing succeeded after failures."""
        return self._disk.recoveries

    def close(self) -> None:
        """Writes the queued events and the index, and stops the thread."""
        self._stop.set()
        self._thread.join(CLOSE_TIMEOUT_SECONDS)
        self._folder.unlock()

    async def publish_counters(self, dispatcher: CounterOwner) -> None:
        """Copies the counters to the dispatcher's periodically until it is cancelled."""
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
            while (self.queue or self._disk.has_unrecorded_loss) and self._write_batch():
                pass
            if is_stopping:
                self._disk.count_lost(self.queue.take(len(self.queue)))
                self._segments.finish()
                return

    def _write_batch(self) -> bool:
        """Writes one batch; returns False on failure. A failed batch is lost and counted."""
        batch = self.queue.take(MAX_FRAME_EVENTS)
        try:
            if not self._folder.is_locked:
                self._folder.lock()
            self._segments.append_events([*self._disk.gap_before(batch), *batch])
        except (OSError, AlreadyLockedError) as error:
            if self.written:
                self._disk.count_lost(batch)
            else:  # a run without its first events cannot be replayed
                self.queue.put_back(batch)
            self._disk.record_failure(error)
            self._segments.abandon()
            return False
        self.written += len(batch)
        self._disk.record_success()
        is_old = self._segments.age_seconds > self.settings.segment_s
        if self._segments.size_bytes > self.settings.segment_bytes or is_old:
            self._segments.finish()
        return True

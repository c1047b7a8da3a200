"""Writes the segments of one run: opens, appends to, syncs and closes them.

After an error, events that were counted as lost are removed from the files again, as far as the
disk still accepts operations.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from martenlead.capture.events import CaptureEvent, InputEvent
from martenlead.capture.format import FrameEncoder, IndexEntry, index_entry, pack_header
from martenlead.capture.retention import Retention
from martenlead.capture.run_folder import FILE_MODE, RunFolder
from martenlead.system.durable_file import sync_folder, write_all

SyncPolicy = Literal["never", "segment", "flush"]


@dataclass(frozen=True, slots=True)
class Tail:
    """The part of a file from an offset to its end."""

    path: Path
    offset: int


class SegmentWriter:
    """Appends frames to the open segment, and opens a new one if there is none."""

    def __init__(
        self,
        folder: RunFolder,
        sync: SyncPolicy,
        retention: Retention,
        log: Callable[[str, str], None],
    ) -> None:
        self._folder, self._sync, self._retention, self._log = folder, sync, retention, log
        self._encoder = FrameEncoder()
        self._file: int | None = None
        self._path = folder.path  # path of the latest segment
        self._segment = 0  # number of the next segment
        self._entries: list[IndexEntry] = []
        self._events = 0  # number of events in the open segment
        self._opened_seconds = 0.0  # monotonic clock
        self._empty_path: Path | None = None  # segment without events yet
        self._lost_tail: Tail | None = None  # events counted as lost but still readable
        self.size_bytes = 0  # size of the open segment
        self.written_bytes = 0  # total of all segments
        self.unsynced_events = 0  # in segments whose sync failed; they may not be durable

    @property
    def age_seconds(self) -> float:
        """The time since the open segment was started."""
        return time.monotonic() - self._opened_seconds

    def append_events(self, events: Sequence[CaptureEvent]) -> None:
        """Writes one frame. Raises OSError; its events then count as lost."""
        if self._file is None:
            self._begin(events)
        assert self._file is not None
        offset = self.size_bytes
        self._append(self._encoder.pack_events(events))
        try:
            if self._sync == "flush":
                os.fsync(self._file)
        except OSError:  # durability unknown; a second sync would not show it
            self._lost_tail = Tail(self._path, offset)
            raise
        if not self._entries:
            self._segment += 1
            self._empty_path = None
        self._entries.append(index_entry(offset, events))
        self._events += len(events)

    def finish(self) -> None:
        """Closes the open segment with its index."""
        if self._file is None:
            return
        try:
            self._append(self._encoder.pack_index(self._entries))
        except OSError as error:
            self._log("segment_index_failed", str(error))
        self._sync_segment()
        self._close()

    def abandon(self) -> None:
        """Closes the open segment after an error.

        Events written before it stay readable; a segment without events is removed.
        """
        if self._entries and self._sync == "segment":
            self._sync_segment()
        self._close()
        with suppress(OSError):
            self._remove_failed()

    def _begin(self, events: Sequence[CaptureEvent]) -> None:
        """Starts a segment after removing the remains of failed attempts."""
        self._remove_failed()
        self._path = self._folder.segment_path(self._segment)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self._file = os.open(self._path, flags, FILE_MODE)
        self._empty_path = self._path
        self._entries, self._events, self.size_bytes = [], 0, 0
        self._opened_seconds = time.monotonic()
        first_ns = next((e.time_ns for e in events if isinstance(e, InputEvent)), 0)
        self._append(pack_header(self._segment, self._folder.run, first_ns))
        if self._sync == "flush":
            sync_folder(self._folder.path)
        self._retention.enforce()

    def _append(self, data: bytes) -> None:
        """Writes all bytes or raises OSError; a partial write is truncated again."""
        assert self._file is not None
        try:
            write_all(self._file, data)
        except OSError:
            with suppress(OSError):
                os.ftruncate(self._file, self.size_bytes)
            raise
        self.size_bytes += len(data)
        self.written_bytes += len(data)

    def _sync_segment(self) -> None:
        """Syncs once: after a failed sync, the next may report success without durable data."""
        if self._file is None or self._sync == "never":
            return
        try:
            os.fsync(self._file)
            sync_folder(self._folder.path)
        except OSError as error:
            self.unsynced_events += self._events
            self._log("segment_sync_failed", f"{self._path}: {error}")

    def _remove_failed(self) -> None:
        """Removes a segment without events, and events counted as lost. Raises OSError."""
        if self._empty_path is not None:
            self._empty_path.unlink(missing_ok=True)
            self._empty_path = self._lost_tail = None
        if self._lost_tail is not None:
            os.truncate(self._lost_tail.path, self._lost_tail.offset)
            self._lost_tail = None

    def _close(self) -> None:
        if self._file is not None:
            file, self._file = self._file, None
            with suppress(OSError):  # the descriptor is closed even if this fails
                os.close(file)

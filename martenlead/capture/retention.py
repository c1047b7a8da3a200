"""Limits the disk space of one dispatcher's segments by removing the oldest first.

A segment is removed only after a checkpoint has been made before the following one, so that the
rest of the run can be replayed.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

from martenlead.capture.checkpoint import checkpoint_path
from martenlead.capture.checkpoint_process import CheckpointProcess
from martenlead.capture.run_folder import RunFolder, parse_segment_name
from martenlead.system.durable_file import remove_leftovers

# new segments that may be started while removal fails; after that, writing fails too
MAX_FAILURES = 4


class Retention:
    """Removes the oldest segments of a folder while their total size exceeds `max_bytes`."""

    def __init__(
        self,
        folder: RunFolder,
        max_bytes: int,
        has_checkpoints: bool,
        log: Callable[[str, str], None],
    ) -> None:
        self.checkpoint_process = CheckpointProcess(log)
        self._folder = folder
        self._max_bytes = max_bytes
        self._has_checkpoints = has_checkpoints
        self._log = log
        self._failures = 0  # consecutive

    def enforce(self) -> None:
        """Removes segments beyond the limit.

        Raises OSError after repeated failures: the disk limit takes precedence over new events.
        """
        try:
            self._remove_oldest()
            self._failures = 0
        except OSError as error:
            self._failures += 1
            if self._failures == 1:
                self._log("segment_removal_failed", str(error))
            if self._failures > MAX_FAILURES:
                raise

    def _remove_oldest(self) -> None:
        """Stops where a checkpoint has to be made first; until then the limit is exceeded."""
        segments = self._folder.segments()
        total_bytes = sum(path.stat().st_size for path in segments)
        if not self.checkpoint_process.collect():
            return
        for path, following in pairwise(segments):
            if total_bytes <= self._max_bytes:
                return
            if self._needs_checkpoint(path, following):
                self.checkpoint_process.start(following)
                return
            total_bytes -= path.stat().st_size
            self._remove(path)

    def _needs_checkpoint(self, path: Path, following: Path) -> bool:
        """Whether a checkpoint must be made before a segment is removed; it is tried only once."""
        if not self._has_checkpoints or _run_of(path) != _run_of(following):
            return False
        is_made = checkpoint_path(following).exists()
        return not is_made and self.checkpoint_process.segment != following

    def _remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)
        checkpoint = checkpoint_path(path)
        checkpoint.unlink(missing_ok=True)
        remove_leftovers(checkpoint)
        self._log("segment_removed", path.name)


def _run_of(path: Path) -> int | None:
    parsed = parse_segment_name(path)
    return parsed.run if parsed is not None else None

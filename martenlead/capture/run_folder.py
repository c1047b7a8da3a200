"""The folder of a dispatcher's captures: file names, the lock, and run numbers.

Files are named NAME-RUN-SEGMENT.mlc; one run is one incarnation of a dispatcher. Only the holder of
NAME.lock writes or removes files of that name, so dispatchers with different names can share a
folder.
"""

from __future__ import annotations

import fcntl
import os
import re
from dataclasses import dataclass
from pathlib import Path

from martenlead.system import clocks

SEGMENT_SUFFIX = ".mlc"
SEGMENT_NAME = re.compile(r"(?P<name>.+)-(?P<run>\d{19})-(?P<segment>\d{6})\.mlc\Z")
NOT_IN_NAMES = re.compile(r"[^\w.]")
FILE_MODE = 0o644


class AlreadyLockedError(Exception):
    """Another process holds the lock of this name."""

    def __init__(self, folder: Path, name: str) -> None:
        super().__init__(f"{folder}: another dispatcher named {name} writes there")


@dataclass(frozen=True, slots=True)
class SegmentName:
    """The parts of a segment's file name."""

    name: str
    run: int
    segment: int


def parse_segment_name(path: Path) -> SegmentName | None:
    """Parses a segment's file name; returns None for any other file."""
    match = SEGMENT_NAME.match(path.name)
    if match is None:
        return None
    return SegmentName(match["name"], int(match["run"]), int(match["segment"]))


class RunFolder:
    """The folder in which one dispatcher writes its runs."""

    def __init__(self, path: Path, name: str) -> None:
        self.path, self.name = path, NOT_IN_NAMES.sub("_", name)
        self.run = 0  # assigned when the folder is locked
        self._lock: int | None = None

    @property
    def is_locked(self) -> bool:
        """Whether this process holds the lock."""
        return self._lock is not None

    def lock(self) -> None:
        """Starts a run. Raises OSError, or `AlreadyLockedError` if another process has the lock."""
        self.path.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC
        lock = os.open(self.path / f"{self.name}.lock", flags, FILE_MODE)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.run = self._next_run()
        except BlockingIOError:
            os.close(lock)
            raise AlreadyLockedError(self.path, self.name) from None
        except OSError:
            os.close(lock)
            raise
        self._lock = lock

    def unlock(self) -> None:
        """Ends the run and releases the lock."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _next_run(self) -> int:
        """The Unix time in ns, but always above the numbers of all earlier runs of this name.

        This keeps the order of runs and prevents reused file names even if the wall clock steps.
        """
        found = (parse_segment_name(path) for path in self.path.glob(f"{self.name}-*"))
        latest = max((f.run for f in found if f is not None and f.name == self.name), default=0)
        return max(clocks.wall_ns(), latest + 1)

    def segment_path(self, segment: int) -> Path:
        """The path of a segment of this run."""
        return self.path / f"{self.name}-{self.run:019d}-{segment:06d}{SEGMENT_SUFFIX}"

    def segments(self) -> list[Path]:
        """The paths of all segments of this name, the oldest first."""
        found = self.path.glob(f"{self.name}-*{SEGMENT_SUFFIX}")
        return sorted(path for path in found if parse_segment_name(path) is not None)

"""The folder of a dispatcher's captures: names of files, the lock, and the number of a run.

Files are named NAME-RUN-SEGMENT.mlc, and one run is one life of a dispatcher. Only the holder of
NAME.lock writes or removes files of that name, so dispatchers share a folder as long as their names
differ.
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
    """Another process writes under this name."""

    def __init__(self, folder: Path, name: str) -> None:
        super().__init__(f"{folder}: another dispatcher named {name} writes there")


@dataclass(frozen=True, slots=True)
class SegmentName:
    """What the name of a segment's file says."""

    name: str
    run: int
    segment: int


def parse_segment_name(path: Path) -> SegmentName | None:
    """What a file's name says, None where it is no segment's."""
    match = SEGMENT_NAME.match(path.name)
    if match is None:
        return None
    return SegmentName(match["name"], int(match["run"]), int(match["segment"]))


class RunFolder:
    """The folder in which one dispatcher writes its runs."""

    def __init__(self, path: Path, name: str) -> None:
        self.path, self.name = path, NOT_IN_NAMES.sub("_", name)
        self.run = 0  # until the folder is locked
        self._lock: int | None = None

    @property
    def is_locked(self) -> bool:
        """Whether this process writes under the name."""
        return self._lock is not None

    def lock(self) -> None:
        """Begins a run. Raises OSError, and `AlreadyLockedError` where another process writes."""
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
        """Ends the run; another process may write under the name."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _next_run(self) -> int:
        """The Unix time in nanoseconds, but above the numbers of all earlier runs of this name.

        So the order of runs is kept, and no file is written twice, whatever the wall clock says.
        """
        found = (parse_segment_name(path) for path in self.path.glob(f"{self.name}-*"))
        latest = max((f.run for f in found if f is not None and f.name == self.name), default=0)
        return max(clocks.wall_ns(), latest + 1)

    def segment_path(self, segment: int) -> Path:
        """The file of a segment of this run."""
        return self.path / f"{self.name}-{self.run:019d}-{segment:06d}{SEGMENT_SUFFIX}"

    def segments(self) -> list[Path]:
        """All segments of this name, the oldest first."""
        found = self.path.glob(f"{self.name}-*{SEGMENT_SUFFIX}")
        return sorted(path for path in found if parse_segment_name(path) is not None)

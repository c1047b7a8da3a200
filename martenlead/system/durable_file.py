"""Atomic file replacement that survives a kill of the process and a power cut.

A replacement writes a complete temporary file, syncs it, renames it and syncs the folder, in this
order. After a failed `fsync` the kernel may have dropped the data, yet report success for the next
`fsync` of the same file. So nothing is synced twice: each attempt writes a new temporary file,
after the delay that `Backoff` returns.
"""

from __future__ import annotations

import os
import re
from contextlib import suppress
from pathlib import Path
from random import Random

FIRST_BACKOFF_SECONDS = 0.1  # a full disk or a lost mount seldom recovers sooner
# Longest delay until state is saved again after the folder has recovered
LONGEST_BACKOFF_SECONDS = 10.0
READ_SIZE = 1 << 20


class Backoff:
    """Exponential backoff with full jitter, so that processes on one disk do not retry in step."""

    def __init__(
        self,
        chance: Random,
        first_seconds: float = FIRST_BACKOFF_SECONDS,
        longest_seconds: float = LONGEST_BACKOFF_SECONDS,
    ) -> None:
        self._chance = chance
        self._first_seconds, self._longest_seconds = first_seconds, longest_seconds
        self._bound_seconds = first_seconds

    def next_seconds(self) -> float:
        """Returns the delay after another failure, in seconds."""
        wait = self._chance.uniform(0, self._bound_seconds)
        self._bound_seconds = min(self._longest_seconds, 2 * self._bound_seconds)
        return wait

    def reset(self) -> None:
        """Returns to the first delay, after a success."""
        self._bound_seconds = self._first_seconds


def write_all(descriptor: int, data: bytes) -> None:
    """Writes all data, in as many calls as the kernel needs. Raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def write_synced(path: Path, data: bytes) -> None:
    """Writes a file from its first byte and syncs it.

    Raises OSError, after which the content of the file is undefined.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_folder(path: Path) -> None:
    """Makes created, renamed and removed entries of a folder durable. Raises OSError."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Replaces a file so that always either the complete old or the complete new one is found.

    The new file is durable on return. Raises OSError, after which either file may be in place; the
    next attempt repeats the whole replacement.
    """
    temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        write_synced(temporary, data)
        os.replace(temporary, path)
        sync_folder(path.parent)
    except OSError:
        with suppress(OSError):
            os.unlink(temporary)
        raise


def remove_leftovers(path: Path) -> None:
    """Removes temporary files of `path` that ended processes have left behind."""
    pattern = re.compile(re.escape(path.name) + r"\.(\d+)\.new\Z")
    with suppress(OSError):
        for entry in os.scandir(path.parent):
            match = pattern.match(entry.name)
            if match and not _is_running(int(match[1])):
                with suppress(OSError):
                    os.unlink(entry.path)


def _is_running(process: int) -> bool:
    """Whether another process with this ID is running.

    This process does not count, as it writes no temporary file at this time.
    """
    return process != os.getpid() and Path(f"/proc/{process}").exists()


def read_if_there(path: Path) -> bytes | None:
    """Returns the content of a file, or None if it does not exist.

    Raises OSError if it exists but cannot be read now.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    try:
        pieces = []
        while piece := os.read(descriptor, READ_SIZE):
            pieces.append(piece)
        return b"".join(pieces)
    finally:
        os.close(descriptor)

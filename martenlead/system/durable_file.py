"""Files that are replaced as a whole and survive a kill and a power cut.

A replacement is a temporary file written in full and synced, a rename, and a sync of the folder, in
this order. After a failed `fsync` the kernel may have dropped the data while it reports the next
`fsync` of the same file as done; so nothing is synced twice: each attempt writes the temporary file
anew, after the wait that `Backoff` gives.
"""

from __future__ import annotations

import os
import re
from contextlib import suppress
from pathlib import Path
from random import Random

FIRST_BACKOFF_SECONDS = 0.1  # a full disk or a lost mount seldom recovers sooner
# so that what is known is at most this late once the folder is well again
LONGEST_BACKOFF_SECONDS = 10.0
READ_SIZE = 1 << 20


class Backoff:
    """Exponential backoff with full jitter: processes that share a disk do not try in step."""

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
        """The wait after one more failure."""
        wait = self._chance.uniform(0, self._bound_seconds)
        self._bound_seconds = min(self._longest_seconds, 2 * self._bound_seconds)
        return wait

    def reset(self) -> None:
        """After a success."""
        self._bound_seconds = self._first_seconds


def write_all(descriptor: int, data: bytes) -> None:
    """Writes all of it, in as many pieces as the kernel takes. Raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def write_synced(path: Path, data: bytes) -> None:
    """Writes a file from its first byte and syncs it.

    Raises OSError: nothing is known of its content.
    """
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_folder(path: Path) -> None:
    """Makes names that were made, renamed or removed in a folder durable. Raises OSError."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Replaces a file so that the old or the new one is found, whole, whatever happens.

    The new one is durable when this returns. Raises OSError: the old one may still be in its place
    or not, and the next attempt does everything again.
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
    """Removes the temporary files of `path` that processes which are gone have left behind."""
    pattern = re.compile(re.escape(path.name) + r"\.(\d+)\.new\Z")
    with suppress(OSError):
        for entry in os.scandir(path.parent):
            match = pattern.match(entry.name)
            if match and not _is_running(int(match[1])):
                with suppress(OSError):
                    os.unlink(entry.path)


def _is_running(process: int) -> bool:
    """Whether another process of that number runs.

    Our own writes no temporary file at this time.
    """
    return process != os.getpid() and Path(f"/proc/{process}").exists()


def read_if_there(path: Path) -> bytes | None:
    """A file's content, None where there is none.

    Raises OSError for one that is there and cannot be read now.
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

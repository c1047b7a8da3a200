"""The folder operations of the state store, and their implementation on the file system.

Tests substitute a simulated disk that loses writes which were not synced. All operations raise
OSError.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from martenlead.system import durable_file


class Disk(Protocol):
    """The operations on a flat folder of files."""

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        ...

    def write_synced(self, name: str, data: bytes) -> None:
        """Writes a whole file; its content is durable when this returns."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces a file of the new name."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        ...

    def sync_folder(self) -> None:
        """Makes creations, renames and removals of files durable."""
        ...

    def lock(self, name: str) -> bool:
        """Acquires the lock for this process; returns False if another process holds it."""
        ...

    def unlock(self) -> None:
        """Releases the lock if it is held."""
        ...


class StateFolder:
    """Implements `Disk` on a folder of the file system."""

    def __init__(self, path: Path, *, make: bool = True) -> None:
        self.path = path
        self._lock_descriptor: int | None = None
        if make:
            path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self.path / name).read_bytes()

    def write_synced(self, name: str, data: bytes) -> None:
        """Writes a whole file and syncs it.

        Each call writes the whole content again: after a failed fsync, a later one that succeeds
        does not prove that the data is on disk.
        """
        durable_file.write_synced(self.path / name, data)

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces a file of the new name."""
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        (self.path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Makes creations, renames and removals of files durable."""
        durable_file.sync_folder(self.path)

    def lock(self, name: str) -> bool:
        """Acquires the lock until `unlock` or the end of the process; False if it is held."""
        descriptor = self._open_lock(self.path / name)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        except OSError:
            os.close(descriptor)
            raise
        self._lock_descriptor = descriptor
        return True

    @staticmethod
    def _open_lock(path: Path) -> int:
        """Opens the lock file, read-only if it cannot be opened for writing.

        On a full or read-only disk the lock file of an earlier run still works, so that the saved
        state can be read.
        """
        try:
            return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError:
            return os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def unlock(self) -> None:
        """Releases the lock if it is held."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

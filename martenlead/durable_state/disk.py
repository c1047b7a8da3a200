"""The operations that the state store needs of a folder, and the file system's.

A test puts another disk in its place, one that loses what was not synced. All operations raise
OSError.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from martenlead.system import durable_file


class Disk(Protocol):
    """A flat folder of files."""

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """The content of a file."""
        ...

    def write_synced(self, name: str, data: bytes) -> None:
        """Writes a file from its first byte; its content is durable when this returns."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file, over another one if need be."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file, if there is one."""
        ...

    def sync_folder(self) -> None:
        """Makes names that were made, renamed or removed durable."""
        ...

    def lock(self, name: str) -> bool:
        """Takes the lock for this process; False if another one has it."""
        ...

    def unlock(self) -> None:
        """Releases the lock, if it was taken."""
        ...


class StateFolder:
    """A folder of the file system; see `Disk` for its operations."""

    def __init__(self, path: Path, *, make: bool = True) -> None:
        self.path = path
        self._lock_descriptor: int | None = None
        if make:
            path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        """The content of a file."""
        return (self.path / name).read_bytes()

    def write_synced(self, name: str, data: bytes) -> None:
        """Writes a file from its first byte and syncs it.

        Each call writes all of it anew: after a failed sync a successful one proves nothing.
        """
        durable_file.write_synced(self.path / name, data)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, over another one if need be."""
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Removes a file, if there is one."""
        (self.path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Makes names that were made, renamed or removed durable."""
        durable_file.sync_folder(self.path)

    def lock(self, name: str) -> bool:
        """Takes the lock until `unlock` or the process ends; False if another process has it."""
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
        """Opens the lock file; read-only if it cannot be written.

        On a full or read-only disk the lock file of an earlier run still serves, and its state is
        read.
        """
        try:
            return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError:
            return os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def unlock(self) -> None:
        """Releases the lock, if it was taken."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

"""The few things that the store asks of a folder, so that a test can put a disk that loses what was not
synced in its place. All raise OSError."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from martenlead.system import durable_file


class Disk(Protocol):
    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def write_synced(self, name: str, data: bytes) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync_folder(self) -> None: ...
    def lock(self, name: str) -> bool: ...
    def unlock(self) -> None: ...


class StateFolder:
    """A folder of the file system."""

    def __init__(self, path: Path, *, make: bool = True) -> None:
        self.path = path
        self._locked: int | None = None
        if make:
            path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self.path) if entry.is_file())

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def write_synced(self, name: str, data: bytes) -> None:
        """Anew and in full at each call: after a failed sync the next one proves nothing."""
        durable_file.write_synced(self.path / name, data)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        (self.path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        durable_file.sync_folder(self.path)

    def lock(self, name: str) -> bool:
        """For as long as this process lives, or until `unlock`; the kernel lets go of a dead one's."""
        handle = self._open_lock(self.path / name)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(handle)
            return False
        except OSError:
            os.close(handle)
            raise
        self._locked = handle
        return True

    @staticmethod
    def _open_lock(path: Path) -> int:
        """A disk that takes nothing still gives the lock that an earlier life made, so that its state is
        read."""
        try:
            return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError:
            return os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def unlock(self) -> None:
        if self._locked is not None:
            os.close(self._locked)
            self._locked = None

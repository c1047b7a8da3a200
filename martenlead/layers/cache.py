"""Chunks on a worker's disk: bounded, checked, and complete after a crash at any byte.

A chunk is a file `chunks/AB/HEX`, named by its digest and moved there by a rename: it is complete
or absent, and no index beside the folder is needed. The time of last use is the file's modification
time, so that a restart knows it without reading a chunk. Each time is later than all before it, so
that their order survives steps of the wall clock. A chunk that fails its check moves to `aside/`
and counts as missing. Eviction removes the least recently used chunk that is not pinned.
"""

from __future__ import annotations

import fcntl
import os
import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from martenlead.layers.image import DIGEST, BadImageError, check
from martenlead.system import clocks
from martenlead.system.durable_file import replace_file

VERSION = "1"
USE_WRITE_INTERVAL_SECONDS = 60.0  # least time between two writes of a chunk's last use
SET_ASIDE_LIMIT = 16  # corrupt files kept for examination
HEX_LENGTH = 64
HEX = slice(7, None)  # the digits of a digest, after "sha256:"
SUBFOLDER = slice(7, 9)


class CacheRefusedError(Exception):
    """The folder is in use or of another version; the text says which."""

    def __init__(self, folder: Path, reason: str) -> None:
        super().__init__(f"{folder}: {reason}")


class CacheFullError(Exception):
    """Every chunk is pinned, or the disk is full."""

    def __init__(self, folder: Path, reason: str | None) -> None:
        super().__init__(f"{folder}: {reason}")


def _read(path: Path) -> bytes:
    """Read a file, with one retry: a transient error must not cost a download. Raises OSError."""
    with suppress(OSError):
        return path.read_bytes()
    return path.read_bytes()


def set_aside_time(path: Path) -> int:
    """Return the time at the end of a set-aside file's name; 0 for any other name."""
    number = path.name.rpartition(".")[2]
    return int(number) if number.isascii() and number.isdigit() else 0


class Cache:
    """The chunks of one process. It is not thread-safe.

    It holds `limit_bytes` of chunks, and the latest `memory_limit_bytes` in memory too for `lend`.
    """

    def __init__(self, folder: Path, limit_bytes: int, memory_limit_bytes: int = 0) -> None:
        """Open the folder without reading a chunk. Raises `CacheRefusedError` and OSError."""
        self.folder, self.limit_bytes = folder, limit_bytes
        self.memory_limit_bytes = memory_limit_bytes
        self._in_memory: OrderedDict[str, bytes] = OrderedDict()
        self._in_memory_bytes = 0
        self._subfolders: set[str] = set()  # names of the existing subfolders
        self.chunks, self.aside = folder / "chunks", folder / "aside"
        for subfolder in (self.chunks, self.aside):
            subfolder.mkdir(parents=True, exist_ok=True)
        self._lock = open(folder / "lock", "w")  # noqa: SIM115
        self._acquire()
        self.size_bytes = 0
        self._sizes: OrderedDict[str, int] = OrderedDict()  # sorted by time of last use
        self._use_written: dict[str, float] = {}  # time of the last write, monotonic seconds
        self._latest_use_ns = 0  # latest modification time in the folder
        self._pins: dict[str, int] = {}
        self._unreadable: set[str] = set()  # files that count as missing until rewritten
        self.set_aside_count = self.evicted_count = 0
        self._scan()

    def _acquire(self) -> None:
        """Lock the folder and check its version. Raises `CacheRefusedError`."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._lock.close()
            raise CacheRefusedError(self.folder, "another agent uses it") from None
        path = self.folder / "version"
        version = path.read_text().strip() if path.exists() else ""
        if version not in ("", VERSION):
            self._lock.close()
            raise CacheRefusedError(
                self.folder, f"of version {version}; this program knows version {VERSION}"
            )
        if not version:
            replace_file(path, VERSION.encode())

    def _scan(self) -> None:
        found = []
        for subfolder in os.scandir(self.chunks):
            self._subfolders.add(subfolder.name)
            for entry in os.scandir(subfolder.path):
                if len(entry.name) == HEX_LENGTH:
                    stat = entry.stat()
                    found.append((stat.st_mtime_ns, "sha256:" + entry.name, stat.st_size))
                else:  # an unfinished write; it is harmless if it cannot be removed now
                    with suppress(OSError):
                        os.unlink(entry.path)
        self._latest_use_ns = max((used_ns for used_ns, _, _ in found), default=0)
        for _, digest, size_bytes in sorted(found):
            self._sizes[digest] = size_bytes
            self.size_bytes += size_bytes
        self._shrink(0)

    def close(self) -> None:
        """Unlock the folder."""
        self._lock.close()

    def path(self, digest: str) -> Path:
        """Return the file of a chunk. Raises `BadImageError` for an invalid digest."""
        if not DIGEST.match(digest):
            raise BadImageError(repr(digest[:80]), "a sha256 digest was expected")
        return self.chunks / digest[SUBFOLDER] / digest[HEX]

    def __contains__(self, digest: str) -> bool:
        """Return whether a readable chunk of this digest is on the disk."""
        return digest in self._sizes and digest not in self._unreadable

    def __len__(self) -> int:
        """Return the number of chunks."""
        return len(self._sizes)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the digests, the least recently used first."""
        return iter(self._sizes)

    def get(self, digest: str) -> bytes | None:
        """Read and check a chunk; None where it is missing.

        A chunk that fails its check is set aside and counts as missing. One that cannot be read
        stays on the disk and counts as missing until it is rewritten.
        """
        if digest not in self:
            return None
        path = self.path(digest)
        try:
            data = _read(path)
            check(data, digest)
        except FileNotFoundError:
            self._forget(digest)
            return None
        except OSError:
            self._unreadable.add(digest)
            return None
        except BadImageError:
            self._set_aside(digest, path)
            return None
        self._record_use(digest, path)
        return data

    def _set_aside(self, digest: str, path: Path) -> None:
        self._forget(digest)
        self.set_aside_count += 1
        try:
            os.replace(path, self.aside / f"{digest[HEX]}.{self._next_set_aside_time()}")
        except OSError:
            with suppress(OSError):
                path.unlink(missing_ok=True)
        with suppress(OSError):
            self._limit_set_aside()

    def lend(self, digest: str) -> bytes | None:
        """Return a chunk for another agent: from memory (checked on arrival), else as `get`.

        After a release all agents request the same few chunks from an owner; reading and checking
        them each time would be most of the cost.
        """
        data = self._in_memory.get(digest)
        if data is not None and digest in self._sizes:
            self._in_memory.move_to_end(digest)
            return data
        data = self.get(digest)
        if data is not None:
            self._keep_in_memory(digest, data)
        return data

    def _keep_in_memory(self, digest: str, data: bytes) -> None:
        if len(data) > self.memory_limit_bytes or digest in self._in_memory:
            return
        self._in_memory[digest] = data
        self._in_memory_bytes += len(data)
        while self._in_memory_bytes > self.memory_limit_bytes:
            self._in_memory_bytes -= len(self._in_memory.popitem(last=False)[1])

    def _next_set_aside_time(self) -> int:
        """Return the Unix time in ns, raised above that of every file set aside before."""
        latest = max((set_aside_time(path) for path in self.aside.iterdir()), default=0)
        return max(clocks.wall_ns(), latest + 1)

    def _limit_set_aside(self) -> None:
        """Remove all but the latest files that were set aside."""
        for path in sorted(self.aside.iterdir(), key=set_aside_time)[:-SET_ASIDE_LIMIT]:
            path.unlink(missing_ok=True)

    def _write_use(self, path: Path) -> None:
        """Write the time of last use to a file.

        A failure is harmless: the chunk counts as used earlier than it was at the next start.
        """
        self._latest_use_ns = max(clocks.wall_ns(), self._latest_use_ns + 1)
        with suppress(OSError):
            os.utime(path, ns=(self._latest_use_ns, self._latest_use_ns))

    def _record_use(self, digest: str, path: Path) -> None:
        self._sizes.move_to_end(digest)
        now = time.monotonic()
        written = self._use_written.get(digest, -USE_WRITE_INTERVAL_SECONDS)
        if now - written >= USE_WRITE_INTERVAL_SECONDS:
            self._use_written[digest] = now
            self._write_use(path)

    def put(self, digest: str, data: bytes) -> None:
        """Check and store a chunk. Raises `BadImageError` for other bytes, and `CacheFullError`.

        An error leaves the cache unchanged except for evictions.
        """
        check(data, digest)
        if digest in self:
            return
        self._shrink(len(data))
        self._write_chunk(digest, data)
        self.size_bytes += len(data) - self._sizes.get(digest, 0)
        self._sizes[digest] = len(data)
        self._unreadable.discard(digest)
        self._keep_in_memory(digest, data)

    def _write_chunk(self, digest: str, data: bytes) -> None:
        path = self.path(digest)
        temporary = path.with_name(f"{path.name}.new")
        subfolder = digest[SUBFOLDER]
        try:
            if subfolder not in self._subfolders:
                path.parent.mkdir(exist_ok=True)
                self._subfolders.add(subfolder)
            with open(temporary, "wb") as file:
                file.write(data)
            self._write_use(temporary)
            os.replace(temporary, path)
        except OSError as error:
            self._subfolders.discard(subfolder)  # recreated next time in case it was removed
            with suppress(OSError):
                temporary.unlink(missing_ok=True)
            raise CacheFullError(self.folder, f"{error.strerror}") from None

    def _shrink(self, required_bytes: int) -> None:
        """Evict until `required_bytes` are free. Raises `CacheFullError`."""
        if self.size_bytes + required_bytes <= self.limit_bytes:
            return
        for digest in list(self._sizes):
            if digest not in self._pins and self._remove(digest):
                self._forget(digest)
                self.evicted_count += 1
                if self.size_bytes + required_bytes <= self.limit_bytes:
                    return
        raise CacheFullError(
            self.folder, f"{self.size_bytes} of {self.limit_bytes} bytes are in use"
        )

    def _remove(self, digest: str) -> bool:
        """Return whether the file was removed; otherwise it still uses its space."""
        try:
            self.path(digest).unlink(missing_ok=True)
        except OSError:
            return False
        return True

    def _forget(self, digest: str) -> None:
        self._unreadable.discard(digest)
        self.size_bytes -= self._sizes.pop(digest)
        self._use_written.pop(digest, None)

    @contextmanager
    def pinned(self, digests: Iterable[str]) -> Iterator[None]:
        """Protect these chunks from eviction, also those that arrive later."""
        pinned = list(digests)
        for digest in pinned:
            self._pins[digest] = self._pins.get(digest, 0) + 1
        try:
            yield
        finally:
            for digest in pinned:
                self._pins[digest] -= 1
                if not self._pins[digest]:
                    del self._pins[digest]

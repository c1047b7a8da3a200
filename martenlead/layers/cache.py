"""Chunks on a box's disk: bounded, checked, and whole after a kill at any byte.

A chunk is a file `chunks/AB/HEX` named by its digest and put there by a rename: it is there whole or not at
all, and the folder is its own index. The time of last use is the file's time of change, so that a restart
knows it without reading a chunk; each is later than all before it, so that their order outlives steps of the
wall clock. What fails its check goes to `aside/` and counts as missing. The rule of eviction: the chunk that
was used least lately and is not pinned goes first.
"""

from __future__ import annotations

import fcntl
import os
import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from martenlead.layers.image import DIGEST, BadImage, check
from martenlead.system import clocks
from martenlead.system.durable_file import replace_file

VERSION = "1"
TOUCH_S = 60.0  # a use is written to disk at most so often


def _read(path: Path) -> bytes:
    """Once more where it fails: a call that fails for a moment must not cost a fetch. Raises OSError."""
    with suppress(OSError):
        return path.read_bytes()
    return path.read_bytes()


class Refused(Exception):
    """The folder is in use, or of another version; says which."""


class NoRoom(Exception):
    """All that is there is pinned, or the disk is full."""


def set_aside_at(path: Path) -> int:
    """The number at the end of the name of what was set aside; 0 for what was not named here."""
    number = path.name.rpartition(".")[2]
    return int(number) if number.isascii() and number.isdigit() else 0


class Cache:
    """One process's. Not for several threads at once."""

    def __init__(self, folder: Path, most: int, hot: int = 0) -> None:
        """`most`: bytes of chunks; `hot`: bytes of those that came last, which are kept in memory too for
        `lend`. Raises `Refused` and OSError. Reads no chunk."""
        self.folder, self.most, self.hot = folder, most, hot
        self._hot: OrderedDict[str, bytes] = OrderedDict()
        self._hot_size = 0
        self._parts: set[str] = set()  # folders that are there
        self.chunks, self.aside = folder / "chunks", folder / "aside"
        for made in (self.chunks, self.aside):
            made.mkdir(parents=True, exist_ok=True)
        self._lock = open(folder / "lock", "w")  # noqa: SIM115
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._lock.close()
            raise Refused(f"{folder}: another agent uses it") from None
        version = folder / "version"
        told = version.read_text().strip() if version.exists() else ""
        if told not in ("", VERSION):
            self._lock.close()
            raise Refused(f"{folder}: of version {told}; this program knows version {VERSION}")
        if not told:
            replace_file(version, VERSION.encode())
        self.size = 0
        self._known: OrderedDict[str, int] = OrderedDict()  # by last use
        self._touched: dict[str, float] = {}
        self._latest_use = 0  # ns, the latest time of last use in the folder
        self._pins: dict[str, int] = {}
        self._unreadable: set[str] = set()  # on the disk, and of no use until they were written anew
        self.set_aside = self.evicted = 0
        self._scan()

    def _scan(self) -> None:
        found = []
        for part in os.scandir(self.chunks):
            self._parts.add(part.name)
            for entry in os.scandir(part.path):
                if len(entry.name) == 64:
                    stat = entry.stat()
                    found.append((stat.st_mtime_ns, "sha256:" + entry.name, stat.st_size))
                else:  # begun and never renamed; one that cannot be removed now is in nobody's way
                    with suppress(OSError):
                        os.unlink(entry.path)
        self._latest_use = max((used for used, _, _ in found), default=0)
        for _, digest, size in sorted(found):
            self._known[digest] = size
            self.size += size
        self._shrink(0)

    def close(self) -> None:
        self._lock.close()

    def path(self, digest: str) -> Path:
        if not DIGEST.match(digest):
            raise BadImage(f"{digest[:80]!r}: a sha256 digest was expected")
        return self.chunks / digest[7:9] / digest[7:]

    def __contains__(self, digest: str) -> bool:
        return digest in self._known and digest not in self._unreadable

    def __len__(self) -> int:
        return len(self._known)

    def __iter__(self) -> Iterator[str]:
        return iter(self._known)

    def get(self, digest: str) -> bytes | None:
        """A chunk, checked; None where it is not there. One that fails its check is set aside and not
        there; one that cannot be read now stays on the disk, and counts as missing until it is written
        anew."""
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
        except BadImage:
            self._set_aside(digest, path)
            return None
        self._use(digest, path)
        return data

    def _set_aside(self, digest: str, path: Path) -> None:
        self._forget(digest)
        self.set_aside += 1
        try:
            os.replace(path, self.aside / f"{digest[7:]}.{self._next_aside()}")
        except OSError:
            with suppress(OSError):
                path.unlink(missing_ok=True)
        with suppress(OSError):
            self._bound_aside()

    def lend(self, digest: str) -> bytes | None:
        """A chunk for another box, as `get`, or as it came and was checked then: after a release an owner
        is asked for the same few by all boxes, and reading and checking it each time would be most of the
        cost."""
        data = self._hot.get(digest)
        if data is not None and digest in self._known:
            self._hot.move_to_end(digest)
            return data
        data = self.get(digest)
        if data is not None:
            self._heat(digest, data)
        return data

    def _heat(self, digest: str, data: bytes) -> None:
        if len(data) > self.hot or digest in self._hot:
            return
        self._hot[digest] = data
        self._hot_size += len(data)
        while self._hot_size > self.hot:
            self._hot_size -= len(self._hot.popitem(last=False)[1])

    def _next_aside(self) -> int:
        """The Unix time, ns, but above that of all that was set aside before."""
        latest = max((set_aside_at(path) for path in self.aside.iterdir()), default=0)
        return max(clocks.wall_ns(), latest + 1)

    def _bound_aside(self) -> None:
        """What was set aside is kept for whoever looks into it, the latest few of it."""
        for path in sorted(self.aside.iterdir(), key=set_aside_at)[:-16]:
            path.unlink(missing_ok=True)

    def _note_use(self, path: Path) -> None:
        """Writes the time of last use to a file. Where that fails, the chunk counts as older at the next
        start than it is, no more."""
        self._latest_use = max(clocks.wall_ns(), self._latest_use + 1)
        with suppress(OSError):
            os.utime(path, ns=(self._latest_use, self._latest_use))

    def _use(self, digest: str, path: Path) -> None:
        self._known.move_to_end(digest)
        now = time.monotonic()
        if now - self._touched.get(digest, -TOUCH_S) >= TOUCH_S:
            self._touched[digest] = now
            self._note_use(path)

    def put(self, digest: str, data: bytes) -> None:
        """Keeps a chunk. Raises `BadImage` for other bytes, `NoRoom`; then nothing has changed but what was
        evicted."""
        check(data, digest)
        if digest in self:
            return
        self._shrink(len(data))
        path = self.path(digest)
        temporary = path.with_name(f"{path.name}.new")
        try:
            if digest[7:9] not in self._parts:
                path.parent.mkdir(exist_ok=True)
                self._parts.add(digest[7:9])
            with open(temporary, "wb") as file:
                file.write(data)
            self._note_use(temporary)
            os.replace(temporary, path)
        except OSError as error:
            self._parts.discard(digest[7:9])  # if somebody took the folder away, it is made anew
            with suppress(OSError):
                temporary.unlink(missing_ok=True)
            raise NoRoom(f"{self.folder}: {error.strerror}") from None
        self.size += len(data) - self._known.get(digest, 0)
        self._known[digest] = len(data)
        self._unreadable.discard(digest)
        self._heat(digest, data)

    def _shrink(self, room: int) -> None:
        if self.size + room <= self.most:
            return
        for digest in list(self._known):
            if digest not in self._pins and self._remove(digest):
                self._forget(digest)
                self.evicted += 1
                if self.size + room <= self.most:
                    return
        raise NoRoom(f"{self.folder}: {self.size} bytes are in use of {self.most}")

    def _remove(self, digest: str) -> bool:
        """Whether its file is gone: what cannot be removed now still takes its room."""
        try:
            self.path(digest).unlink(missing_ok=True)
        except OSError:
            return False
        return True

    def _forget(self, digest: str) -> None:
        self._unreadable.discard(digest)
        self.size -= self._known.pop(digest)
        self._touched.pop(digest, None)

    @contextmanager
    def pinned(self, digests: Iterable[str]) -> Iterator[None]:
        """None of these goes while a load needs them, also those that are still to come."""
        held = list(digests)
        for digest in held:
            self._pins[digest] = self._pins.get(digest, 0) + 1
        try:
            yield
        finally:
            for digest in held:
                self._pins[digest] -= 1
                if not self._pins[digest]:
                    del self._pins[digest]

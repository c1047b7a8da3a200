"""A disk that fails at chosen calls and forgets at a kill what was not synced: real files of one folder.

It stands in the place of the calls of `os` and of `open` that name a file under its folder, for the time of a
`with`. As on Linux, after a failed `fsync` the data that it was for is gone, and a later `fsync` reports
success all the same: only what is written anew, from the first byte on, becomes durable. So it is with names
after a failed `fsync` of their folder, until the name is given to another file.
"""

from __future__ import annotations

import builtins
import errno
import io
import os
import stat
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Any

ERRNOS = (errno.ENOSPC, errno.EIO, errno.EROFS, errno.EDQUOT)
NEVER = 1 << 60


class Killed(BaseException):
    """The process is dead: each further call of it ends here too."""


class DiskFaults:
    """`calls` names the calls that were counted since `begin_count`."""

    def __init__(self, root: Path, chance: Random) -> None:
        self.root, self.chance = root, chance
        self.calls: list[str] = []
        self._real: dict[str, Callable[..., Any]] = {}
        self._descriptors: set[int] = set()  # the program's, under the folder
        self._anchors: list[int] = []  # ours, so that no inode number is given a second time
        self._content: dict[int, bytes] = {}  # by inode: what is durable
        self._names: dict[str, int] = {}  # durable names, and their inodes
        self._lost_content: set[int] = set()
        self._lost_names: dict[str, int] = {}
        self.heal()

    # -- what is to go wrong

    def heal(self) -> None:
        """Nothing more goes wrong; also the start of a count."""
        self.calls = []
        self._fails_from = self._fails_until = self._short_at = self._dies_at = NEVER
        self._errno = 0
        self._fails_only = ""
        self._fails_every = 1

    def fail_every(self, code: int, every: int) -> None:
        """Every so many calls one fails, for good."""
        self.fail(code, every)
        self._fails_every = every

    def fail(self, code: int, first: int, calls: int = NEVER, only: str = "") -> None:
        """Calls from the `first` on, counted from 1, `calls` of them; `only` those of that name."""
        self.heal()
        self._errno, self._fails_from, self._fails_until = code, first, first + calls
        self._fails_only = only

    def write_one_byte(self, first: int) -> None:
        """From that call on each write takes one byte and says so."""
        self.heal()
        self._short_at = first

    def kill(self, at: int) -> None:
        self.heal()
        self._dies_at = at

    def _step(self, name: str) -> OSError | None:
        """The error of this call, None where it goes well. Raises `Killed`."""
        self.calls.append(name)
        number = len(self.calls)
        if number >= self._dies_at:
            raise Killed
        hit = self._fails_from <= number < self._fails_until and self._fails_only in ("", name)
        hit = hit and number % self._fails_every == 0
        return OSError(self._errno, os.strerror(self._errno)) if hit else None

    # -- the calls

    @contextmanager
    def __call__(self) -> Iterator[DiskFaults]:
        self._adopt()
        places = [(os, name) for name in ("open", "write", "fsync", "replace", "rename", "unlink")]
        places += [(os, name) for name in ("ftruncate", "truncate", "mkdir", "scandir", "close")]
        self._real = {name: getattr(os, name) for _, name in places}
        self._real["file"] = io.open
        for module, name in places:
            setattr(module, name, getattr(self, f"_{name}"))
        io.open = builtins.open = self._file
        try:
            yield self
        finally:
            for module, name in places:
                setattr(module, name, self._real[name])
            io.open = builtins.open = self._real["file"]
            self._close_all()

    def _is_ours(self, path: Any) -> bool:
        if not isinstance(path, (str, os.PathLike)):
            return False
        name = os.fspath(path)
        root = str(self.root)
        return isinstance(name, str) and (name == root or name.startswith(root + "/"))

    def _open(self, path: Any, flags: int, mode: int = 0o777, *, dir_fd: int | None = None) -> int:
        if not self._is_ours(path):
            return int(self._real["open"](path, flags, mode, dir_fd=dir_fd))
        if (error := self._step("open")) is not None:
            raise error
        descriptor = int(self._real["open"](path, flags, mode))
        self._descriptors.add(descriptor)
        if flags & os.O_ACCMODE != os.O_RDONLY:
            self._anchor(path)
        if flags & os.O_TRUNC:
            self._lost_content.discard(os.fstat(descriptor).st_ino)
        return descriptor

    def _file(self, file: Any, mode: str = "r", *args: Any, **more: Any) -> Any:
        if not self._is_ours(file):
            return self._real["file"](file, mode, *args, **more)
        if (error := self._step("open")) is not None:
            raise error
        opened = self._real["file"](file, mode, *args, **more)
        if mode[0] != "r":
            self._anchor(file)
        return opened

    def _close(self, descriptor: int) -> None:
        self._descriptors.discard(descriptor)
        self._real["close"](descriptor)

    def _write(self, descriptor: int, data: Any) -> int:
        if descriptor not in self._descriptors:
            return int(self._real["write"](descriptor, data))
        try:
            error = self._step("write")
        except Killed:
            self._real["write"](descriptor, bytes(data)[: self.chance.randrange(len(data) + 1)])
            raise
        if error is not None:
            self._real["write"](descriptor, bytes(data)[: len(data) // 2])  # a part still went
            raise error
        if len(self.calls) >= self._short_at:
            data = bytes(data)[:1]
        return int(self._real["write"](descriptor, data))

    def _fsync(self, descriptor: int) -> None:
        if descriptor not in self._descriptors:
            self._real["fsync"](descriptor)
            return
        is_folder = stat.S_ISDIR(os.fstat(descriptor).st_mode)
        error = self._step("fsync_folder" if is_folder else "fsync")
        if is_folder:
            self._sync_names(os.readlink(f"/proc/self/fd/{descriptor}"), error is not None)
        else:
            self._sync_content(descriptor, error is not None)
        if error is not None:
            raise error

    def _sync_content(self, descriptor: int, has_failed: bool) -> None:
        inode = os.fstat(descriptor).st_ino
        if has_failed:
            self._lost_content.add(inode)
        elif inode not in self._lost_content:
            self._content[inode] = self._read(f"/proc/self/fd/{descriptor}")

    def _sync_names(self, folder: str, has_failed: bool) -> None:
        files = [entry for entry in self._real["scandir"](folder) if entry.is_file()]
        seen = {self._name(entry.path): entry.inode() for entry in files}
        if has_failed:
            self._lost_names.update((n, i) for n, i in seen.items() if self._names.get(n) != i)
            return
        above = self._name(folder)
        for name in [n for n in self._names if str(Path(n).parent) == above and n not in seen]:
            del self._names[name]
        self._names.update((n, i) for n, i in seen.items() if self._lost_names.get(n) != i)

    def _replace(self, old: Any, new: Any) -> None:
        self._change("rename", "replace", old, new)

    def _rename(self, old: Any, new: Any) -> None:
        self._change("rename", "rename", old, new)

    def _unlink(self, path: Any, *, dir_fd: int | None = None) -> None:
        if dir_fd is not None:
            self._real["unlink"](path, dir_fd=dir_fd)
            return
        self._change("unlink", "unlink", path)

    def _change(self, name: str, real: str, *paths: Any) -> None:
        """At a kill it may have been done; after an error of a rename too."""
        if not self._is_ours(paths[0]):
            self._real[real](*paths)
            return
        try:
            error = self._step(name)
        except Killed:
            if self.chance.random() < 0.5:
                self._real[real](*paths)
            raise
        if error is None:
            self._real[real](*paths)
            return
        if name == "rename" and error.errno == errno.EIO and self.chance.random() < 0.5:
            self._real[real](*paths)
        raise error

    def _ftruncate(self, descriptor: int, length: int) -> None:
        if descriptor in self._descriptors and (error := self._step("ftruncate")) is not None:
            raise error
        self._real["ftruncate"](descriptor, length)

    def _truncate(self, path: Any, length: int) -> None:
        if self._is_ours(path) and (error := self._step("truncate")) is not None:
            raise error
        self._real["truncate"](path, length)

    def _mkdir(self, path: Any, mode: int = 0o777, *, dir_fd: int | None = None) -> None:
        if self._is_ours(path) and (error := self._step("mkdir")) is not None:
            raise error
        self._real["mkdir"](path, mode, dir_fd=dir_fd)

    def _scandir(self, path: Any = ".") -> Any:
        if self._is_ours(path) and (error := self._step("scandir")) is not None:
            raise error
        return self._real["scandir"](path)

    # -- what a kill leaves

    def crash(self) -> None:
        """The process and the machine's memory are gone: what stands in the folder is what was durable, and
        of the rest as much as chance has it. The disk is well again."""
        self.heal()
        seen = {self._name(path): path.stat().st_ino for path in self.root.rglob("*") if path.is_file()}
        left: dict[str, int] = {}
        for name in seen.keys() | self._names.keys():
            inode = self.chance.choice((seen.get(name), self._names.get(name)))
            if inode is not None:
                left[name] = inode
        by_inode = {os.fstat(anchor).st_ino: anchor for anchor in self._anchors}
        data = {name: self._survives(inode, by_inode) for name, inode in sorted(left.items())}
        for name in seen:
            self._real["unlink"](self.root / name)
        self._close_all()
        for name, survived in data.items():
            with self._real["file"](self.root / name, "wb") as file:
                file.write(survived)
        self._adopt()
        self.heal()

    def _survives(self, inode: int, anchors: dict[int, int]) -> bytes:
        durable = self._content.get(inode, b"")
        seen = self._read(f"/proc/self/fd/{anchors[inode]}") if inode in anchors else durable
        if seen == durable:
            return durable
        kept = len(durable) if seen.startswith(durable) else 0
        cut = self.chance.randint(kept, len(seen))
        return self.chance.choice((durable, seen[:cut], seen[:cut] + bytes(len(seen) - cut), seen))

    def _adopt(self) -> None:
        """All that is there is durable."""
        self._content, self._names, self._lost_names = {}, {}, {}
        self._lost_content = set()
        for path in self.root.rglob("*"):
            if path.is_file():
                inode = path.stat().st_ino
                self._content[inode] = self._read(str(path))
                self._names[self._name(path)] = inode
                self._anchor(path)

    def _name(self, path: Any) -> str:
        return str(Path(path).relative_to(self.root))

    def _read(self, path: str) -> bytes:
        with self._real.get("file", open)(path, "rb") as file:
            return bytes(file.read())

    def _anchor(self, path: Any) -> None:
        self._anchors.append(int(self._real.get("open", os.open)(path, os.O_RDONLY)))

    def _close_all(self) -> None:
        """Descriptors of the dead process, and ours."""
        close = self._real["close"]
        for descriptor in [*self._descriptors, *self._anchors]:
            try:
                close(descriptor)
            except OSError as error:
                if error.errno != errno.EBADF:
                    raise
        self._descriptors.clear()
        self._anchors.clear()

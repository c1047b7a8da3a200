"""A disk that fails at chosen calls and loses at a kill what was not synced: real files of one folder.

Within a `with` block it replaces `open` and the calls of `os` that name a file under its folder. As on Linux,
a failed `fsync` drops the data that it should have written, and a later `fsync` succeeds nevertheless: only a
file that is written again from its first byte becomes durable. The same holds for file names after a failed
`fsync` of their folder, until a name is given to another file.
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
NO_CALL = 1 << 60


class ProcessKilled(BaseException):
    """The simulated process has been killed: each further call raises this too."""


class DiskFaults:
    """The faults of one folder. `calls` has the names of the calls since the last `heal` or other fault."""

    def __init__(self, root: Path, chance: Random) -> None:
        self.root, self.random = root, chance
        self.calls: list[str] = []
        self._real: dict[str, Callable[..., Any]] = {}
        self._descriptors: set[int] = set()  # open descriptors of the program under the folder
        self._anchors: list[int] = []  # keep the inodes in use, so that no number is reused
        self._durable_content: dict[int, bytes] = {}  # durable content by inode
        self._durable_names: dict[str, int] = {}  # inodes by durable name
        self._lost_content: set[int] = set()
        self._lost_names: dict[str, int] = {}
        self.heal()

    # -- faults

    def heal(self) -> None:
        """Ends all faults, and counts calls from 0 again."""
        self.calls = []
        self._fails_from = self._fails_until = self._short_at = self._kill_at = NO_CALL
        self._errno = 0
        self._fails_only = ""
        self._fails_every = 1

    def fail_every(self, code: int, every: int) -> None:
        """Has one of every `every` calls fail, until healed."""
        self.fail(code, every)
        self._fails_every = every

    def fail(self, code: int, first: int, calls: int = NO_CALL, only: str = "") -> None:
        """Has `calls` calls fail from the `first` on, counted from 1; `only` those of this name, if given."""
        self.heal()
        self._errno, self._fails_from, self._fails_until = code, first, first + calls
        self._fails_only = only

    def write_one_byte(self, first: int) -> None:
        """From the `first` call on, has each write write one byte and return 1."""
        self.heal()
        self._short_at = first

    def kill(self, at: int) -> None:
        """Kills the simulated process at this call, counted from 1."""
        self.heal()
        self._kill_at = at

    def _count_call(self, name: str) -> OSError | None:
        """Returns the error of this call, or None. Raises `ProcessKilled`."""
        self.calls.append(name)
        number = len(self.calls)
        if number >= self._kill_at:
            raise ProcessKilled
        fails = self._fails_from <= number < self._fails_until and self._fails_only in ("", name)
        fails = fails and number % self._fails_every == 0
        return OSError(self._errno, os.strerror(self._errno)) if fails else None

    # -- the calls

    @contextmanager
    def __call__(self) -> Iterator[DiskFaults]:
        """Replaces the system calls within a `with` block. All files that are there count as durable."""
        self._adopt()
        patched = [(os, name) for name in ("open", "write", "fsync", "replace", "rename", "unlink")]
        patched += [(os, name) for name in ("ftruncate", "truncate", "mkdir", "scandir", "close")]
        self._real = {name: getattr(os, name) for _, name in patched}
        self._real["file"] = io.open
        for module, name in patched:
            setattr(module, name, getattr(self, f"_{name}"))
        io.open = builtins.open = self._file
        try:
            yield self
        finally:
            for module, name in patched:
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
        if (error := self._count_call("open")) is not None:
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
        if (error := self._count_call("open")) is not None:
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
            error = self._count_call("write")
        except ProcessKilled:
            self._real["write"](descriptor, bytes(data)[: self.random.randrange(len(data) + 1)])
            raise
        if error is not None:
            self._real["write"](descriptor, bytes(data)[: len(data) // 2])  # half of it was written
            raise error
        if len(self.calls) >= self._short_at:
            data = bytes(data)[:1]
        return int(self._real["write"](descriptor, data))

    def _fsync(self, descriptor: int) -> None:
        if descriptor not in self._descriptors:
            self._real["fsync"](descriptor)
            return
        is_folder = stat.S_ISDIR(os.fstat(descriptor).st_mode)
        error = self._count_call("fsync_folder" if is_folder else "fsync")
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
            self._durable_content[inode] = self._read(f"/proc/self/fd/{descriptor}")

    def _sync_names(self, folder: str, has_failed: bool) -> None:
        files = [entry for entry in self._real["scandir"](folder) if entry.is_file()]
        current = {self._name(entry.path): entry.inode() for entry in files}
        if has_failed:
            self._lost_names.update((n, i) for n, i in current.items() if self._durable_names.get(n) != i)
            return
        folder_name = self._name(folder)
        for name in [
            n for n in self._durable_names if str(Path(n).parent) == folder_name and n not in current
        ]:
            del self._durable_names[name]
        self._durable_names.update((n, i) for n, i in current.items() if self._lost_names.get(n) != i)

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
        """Changes a file's name. The change may be made although the process is killed at it, or although a
        rename fails with EIO."""
        if not self._is_ours(paths[0]):
            self._real[real](*paths)
            return
        try:
            error = self._count_call(name)
        except ProcessKilled:
            if self.random.random() < 0.5:
                self._real[real](*paths)
            raise
        if error is None:
            self._real[real](*paths)
            return
        if name == "rename" and error.errno == errno.EIO and self.random.random() < 0.5:
            self._real[real](*paths)
        raise error

    def _ftruncate(self, descriptor: int, length: int) -> None:
        if descriptor in self._descriptors and (error := self._count_call("ftruncate")) is not None:
            raise error
        self._real["ftruncate"](descriptor, length)

    def _truncate(self, path: Any, length: int) -> None:
        if self._is_ours(path) and (error := self._count_call("truncate")) is not None:
            raise error
        self._real["truncate"](path, length)

    def _mkdir(self, path: Any, mode: int = 0o777, *, dir_fd: int | None = None) -> None:
        if self._is_ours(path) and (error := self._count_call("mkdir")) is not None:
            raise error
        self._real["mkdir"](path, mode, dir_fd=dir_fd)

    def _scandir(self, path: Any = ".") -> Any:
        if self._is_ours(path) and (error := self._count_call("scandir")) is not None:
            raise error
        return self._real["scandir"](path)

    # -- crash

    def crash(self) -> None:
        """Simulates a power cut: the folder holds what was durable and a random part of the rest. The faults
        end."""
        self.heal()
        current = {self._name(path): path.stat().st_ino for path in self.root.rglob("*") if path.is_file()}
        surviving: dict[str, int] = {}
        for name in current.keys() | self._durable_names.keys():
            inode = self.random.choice((current.get(name), self._durable_names.get(name)))
            if inode is not None:
                surviving[name] = inode
        by_inode = {os.fstat(anchor).st_ino: anchor for anchor in self._anchors}
        data = {name: self._survives(inode, by_inode) for name, inode in sorted(surviving.items())}
        for name in current:
            self._real["unlink"](self.root / name)
        self._close_all()
        for name, survived in data.items():
            with self._real["file"](self.root / name, "wb") as file:
                file.write(survived)
        self._adopt()
        self.heal()

    def _survives(self, inode: int, anchors: dict[int, int]) -> bytes:
        durable = self._durable_content.get(inode, b"")
        current = self._read(f"/proc/self/fd/{anchors[inode]}") if inode in anchors else durable
        if current == durable:
            return durable
        durable_length = len(durable) if current.startswith(durable) else 0
        cut = self.random.randint(durable_length, len(current))
        return self.random.choice(
            (durable, current[:cut], current[:cut] + bytes(len(current) - cut), current)
        )

    def _adopt(self) -> None:
        """Takes all files that are there as durable."""
        self._durable_content, self._durable_names, self._lost_names = {}, {}, {}
        self._lost_content = set()
        for path in self.root.rglob("*"):
            if path.is_file():
                inode = path.stat().st_ino
                self._durable_content[inode] = self._read(str(path))
                self._durable_names[self._name(path)] = inode
                self._anchor(path)

    def _name(self, path: Any) -> str:
        return str(Path(path).relative_to(self.root))

    def _read(self, path: str) -> bytes:
        with self._real.get("file", open)(path, "rb") as file:
            return bytes(file.read())

    def _anchor(self, path: Any) -> None:
        self._anchors.append(int(self._real.get("open", os.open)(path, os.O_RDONLY)))

    def _close_all(self) -> None:
        """Closes the descriptors of the killed process and the anchors."""
        close = self._real["close"]
        for descriptor in [*self._descriptors, *self._anchors]:
            try:
                close(descriptor)
            except OSError as error:
                if error.errno != errno.EBADF:
                    raise
        self._descriptors.clear()
        self._anchors.clear()

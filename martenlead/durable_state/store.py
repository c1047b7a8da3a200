"""A crash-safe store of small states.

Each state is one file, always written as a whole. A newer generation replaces it, and the previous
generation is retained. A write creates a temporary file, syncs it, renames it, and syncs the
folder: wherever a crash interrupts it, the previous or the new generation is complete. A write that
fails at one of these steps is repeated from the first step with the same generation number. One
process at a time writes to a folder: it holds a lock, which the kernel releases when the process
dies, and begins a new epoch of the folder.

A file that cannot be decoded is set aside (renamed) and reported once; it never prevents a start,
since only its content is lost. A file of a newer program is set aside without being decoded,
so that a downgrade destroys nothing.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress

from martenlead.durable_state.disk import Disk
from martenlead.durable_state.state_file import (
    HEADER,
    STATE_FILE_NAME,
    StateKind,
    StoredState,
    UnreadableStateError,
    file_name,
    pack_state,
    read_version,
    unpack_state,
)

__all__ = [  # the interface of the store, including the parts of the file format that users need
    "EPOCHS_KIND",
    "HEADER",
    "MAX_FILES_SET_ASIDE",
    "MAX_GENERATIONS",
    "RETAINED_GENERATIONS",
    "STATE_FILE_NAME",
    "FolderInUseError",
    "StateKind",
    "StateStore",
    "StateTooLargeError",
    "StoredState",
    "UnreadableStateError",
    "pack_state",
    "read_version",
    "unpack_state",
]

DEFAULT_MAX_BYTES = 64_000_000
RETAINED_GENERATIONS = 2
MAX_GENERATIONS = 16  # files of a kind, if old ones cannot be removed; writes fail at this limit
MAX_PROBLEMS = 64  # length of `StateStore.problems`
READ_ATTEMPTS = 3  # consecutive attempts, so that a transient error does not lose a generation
MAX_FILES_SET_ASIDE = 8  # older ones are removed
LOCK_FILE, EPOCHS_KIND = "lock", "epochs"


class FolderInUseError(Exception):
    """Another process holds the lock of the folder."""

    def __init__(self) -> None:
        super().__init__("another process writes to the state folder")


class StateTooLargeError(Exception):
    """An encoded state exceeds the size limit."""

    def __init__(self, kind: str, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{kind}: state of {size_bytes} bytes, at most {max_bytes} are allowed")


class StateStore:
    """Reads and writes states in one folder.

    `problems` lists each problem found once; the code that opens the store logs them.
    """

    def __init__(
        self,
        disk: Disk,
        deployment: str,
        wall_clock_ns: Callable[[], int],
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Raises `FolderInUseError`, and OSError if the folder cannot be read or locked."""
        self.disk, self.deployment = disk, deployment
        self.wall_clock_ns, self.max_bytes = wall_clock_ns, max_bytes
        self.problems: list[str] = []
        self.read_errors = 0  # number of files or listings that could not be read
        self.epoch = 0  # 0 until the new epoch is durable
        self._generations: dict[str, int] = {}  # newest known generation by kind
        if not disk.lock(LOCK_FILE):
            raise FolderInUseError
        try:
            self._remove_partial_writes()
            self._begin_epoch()
        except BaseException:
            disk.unlock()  # lets a later attempt of this process lock the folder
            raise

    def close(self) -> None:
        """Releases the folder."""
        self.disk.unlock()

    def _remove_partial_writes(self) -> None:
        """Removes temporary files of interrupted writes; ignores files that cannot be removed."""
        for name in self.disk.names():
            if name.endswith(".part"):
                with suppress(OSError):
                    self.disk.remove(name)

    def _report_problem(self, problem: str) -> None:
        if problem not in self.problems and len(self.problems) < MAX_PROBLEMS:
            self.problems.append(problem)

    # -- epochs

    def _begin_epoch(self) -> None:
        """Starts a new epoch if the disk is writable; reading works without one."""
        try:
            self.epoch = self._count_epoch()
        except OSError as error:
            self._report_problem(f"state cannot be saved: {error.strerror or error}")

    def _count_epoch(self) -> int:
        """Stores and returns the next epoch, which serves as a fencing token.

        The epoch is the number of processes that have written to the folder, including this one.
        Raises OSError if it cannot be made durable; the first write then tries again.
        """
        kind = StateKind(EPOCHS_KIND)
        # an epoch equals its file's generation: even if the file is unreadable, it is not reused
        last = max((generation for generation, _ in self._files(EPOCHS_KIND)), default=0)
        before = self.read(kind)
        if before is not None and isinstance(before.value, int):
            last = max(last, before.value)
        self._replace(kind, last + 1)
        return last + 1

    # -- reading

    def _files(self, kind: str) -> list[tuple[int, str]]:
        """Returns the generations of a kind with their file names, the newest first."""
        found = []
        for name in self.disk.names():
            match = STATE_FILE_NAME.match(name)
            if match and match[1] == kind:
                found.append((int(match[2]), name))
        return sorted(found, reverse=True)

    def read(self, kind: StateKind) -> StoredState | None:
        """Returns the newest complete generation, or None.

        Never raises because of the content of the folder. Files that may be intact but could not
        be read are counted in `read_errors`.
        """
        try:
            files = self._files(kind.name)
        except OSError as error:
            self._count_read_error(kind.name, error)
            return None
        found = None
        for generation, name in files:
            latest = self._generations.get(kind.name, 0)
            self._generations[kind.name] = max(latest, generation)
            if found is not None:
                break
            found = self._read_file(name, generation, kind)
        return found

    def _read_file(self, name: str, generation: int, kind: StateKind) -> StoredState | None:
        """Reads one file; sets it aside if its content is invalid."""
        try:
            data = self._read_with_retries(name)
            state = unpack_state(data, kind, self.deployment, self.max_bytes)
        except UnreadableStateError as error:
            self._set_aside(name, str(error))
            return None
        except OSError as error:
            self._count_read_error(name, error)
            return None
        if state.generation != generation:
            self._set_aside(name, f"its header has generation {state.generation}")
            return None
        return state

    def _count_read_error(self, name: str, error: OSError) -> None:
        self.read_errors += 1
        self._report_problem(f"{name}: {error.strerror or error}")

    def _read_with_retries(self, name: str) -> bytes:
        for _ in range(READ_ATTEMPTS - 1):
            with suppress(OSError):
                return self.disk.read(name)
        return self.disk.read(name)

    def _set_aside(self, name: str, reason: str) -> None:
        self._report_problem(f"{name} is set aside: {reason}")
        try:
            self.disk.rename(name, f"{name}.aside")
            set_aside = sorted(n for n in self.disk.names() if n.endswith(".aside"))
            for old in set_aside[:-MAX_FILES_SET_ASIDE]:
                self.disk.remove(old)
        except OSError as error:
            self._report_problem(f"{name}: {error.strerror or error}")

    # -- writing

    def write(self, kind: StateKind, value: object) -> int:
        """Writes a new generation and returns its number once it is durable.

        Raises `StateTooLargeError`, and OSError for a full or failing disk. The previous generation
        then remains the newest.
        """
        if not self.epoch:
            self.epoch = self._count_epoch()
        return self._replace(kind, value)

    def _replace(self, kind: StateKind, value: object) -> int:
        if kind.name not in self._generations:
            files = self._files(kind.name)
            self._generations[kind.name] = max((number for number, _ in files), default=0)
        generation = self._generations[kind.name] + 1
        data = pack_state(kind, self.deployment, generation, self.wall_clock_ns(), value)
        if len(data) > self.max_bytes:
            raise StateTooLargeError(kind.name, len(data), self.max_bytes)
        self._check_generation_limit(kind)
        self._write_file(f"{kind.name}.part", file_name(kind.name, generation), data)
        self._generations[kind.name] = generation
        self._remove_older(kind)
        return generation

    def _write_file(self, temporary: str, name: str, data: bytes) -> None:
        """Creates a file atomically: after a crash it is complete or absent. Raises OSError."""
        disk = self.disk
        try:
            disk.write_synced(temporary, data)
            disk.rename(temporary, name)
            disk.sync_folder()
        except OSError:
            with suppress(OSError):
                disk.remove(temporary)
            raise

    def _check_generation_limit(self, kind: StateKind) -> None:
        """Raises OSError if too many older generations remain that cannot be removed."""
        if len(self._files(kind.name)) < MAX_GENERATIONS:
            return
        self._remove_older(kind)
        if len(self._files(kind.name)) >= MAX_GENERATIONS:
            raise OSError(errno.EIO, "older generations cannot be removed")

    def _remove_older(self, kind: StateKind) -> None:
        """Removes all but the newest generations; the next write retries failed removals."""
        with suppress(OSError):
            for _, old in self._files(kind.name)[RETAINED_GENERATIONS:]:
                self.disk.remove(old)

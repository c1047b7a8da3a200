"""A crash-safe store of small states.

Each state is a file, written as a whole. A newer generation replaces it, and the generation before
is kept. A write makes a new file, syncs it, renames it into its place, and syncs the folder:
wherever it is cut short, the generation before or the new one is found whole. A write that fails at
one of these steps is done again from the first one, under the same generation. One process writes
to a folder. It holds a lock that the kernel releases when it dies, and counts the epochs of the
folder.

A file that cannot be read is set aside, reported once, and never stops a start: losing a state
costs only what was in it. A file of a newer program is set aside unread, so that a downgrade
destroys nothing.
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

__all__ = [  # what users of the store need, of the file format too
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
MAX_GENERATIONS = 16  # of a kind, while older ones cannot be removed; beyond it nothing is written
MAX_PROBLEMS = 64  # that wait to be reported
READ_ATTEMPTS = 3  # of a file, in a row: a call that fails for a moment must not cost a generation
MAX_FILES_SET_ASIDE = 8  # the newest are kept
LOCK_FILE, EPOCHS_KIND = "lock", "epochs"


class FolderInUseError(Exception):
    """Another process writes to the folder."""

    def __init__(self) -> None:
        super().__init__("another process writes there")


class StateTooLargeError(Exception):
    """A state is over the size limit."""

    def __init__(self, kind: str, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{kind}: {size_bytes} bytes, {max_bytes} are allowed")


class StateStore:
    """Reads and writes states in one folder.

    `problems` lists what was found wrong, each once; whoever opens the store logs them.
    """

    def __init__(
        self,
        disk: Disk,
        deployment: str,
        wall_clock_ns: Callable[[], int],
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Raises `FolderInUseError`, and OSError if the folder cannot be used at all."""
        self.disk, self.deployment = disk, deployment
        self.wall_clock_ns, self.max_bytes = wall_clock_ns, max_bytes
        self.problems: list[str] = []
        self.read_errors = 0  # files that exist and could not be read
        self.epoch = 0  # 0 until it is durable
        self._generations: dict[str, int] = {}  # the latest that is known, by kind
        if not disk.lock(LOCK_FILE):
            raise FolderInUseError
        try:
            self._remove_partial_writes()
            self._begin_epoch()
        except BaseException:
            disk.unlock()  # a later attempt of this process must not find the lock taken
            raise

    def close(self) -> None:
        """Releases the folder."""
        self.disk.unlock()

    def _remove_partial_writes(self) -> None:
        """Removes what is left of writes that were cut short, if the disk lets it."""
        for name in self.disk.names():
            if name.endswith(".part"):
                with suppress(OSError):
                    self.disk.remove(name)

    def _report_problem(self, problem: str) -> None:
        if problem not in self.problems and len(self.problems) < MAX_PROBLEMS:
            self.problems.append(problem)

    # -- epochs

    def _begin_epoch(self) -> None:
        """Counts an epoch if the disk can be written; reading works without."""
        try:
            self.epoch = self._count_epoch()
        except OSError as error:
            self._report_problem(f"nothing can be kept: {error.strerror or error}")

    def _count_epoch(self) -> int:
        """The number of processes that have written here, this one included; a fencing token.

        Raises OSError while it cannot be made durable; the first write tries again.
        """
        kind = StateKind(EPOCHS_KIND)
        # each epoch is a generation of its own: one whose file cannot be read is not given again
        last = max((generation for generation, _ in self._files(EPOCHS_KIND)), default=0)
        before = self.read(kind)
        if before is not None and isinstance(before.value, int):
            last = max(last, before.value)
        self._replace(kind, last + 1)
        return last + 1

    # -- reading

    def _files(self, kind: str) -> list[tuple[int, str]]:
        """Generations of a kind and their files, the newest first."""
        found = []
        for name in self.disk.names():
            match = STATE_FILE_NAME.match(name)
            if match and match[1] == kind:
                found.append((int(match[2]), name))
        return sorted(found, reverse=True)

    def read(self, kind: StateKind) -> StoredState | None:
        """The newest generation that is whole; None if there is none.

        Never raises for what is in the folder. Files that may be whole and could not be read are
        counted in `read_errors`.
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
        """One file; it is set aside if it is not whole."""
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
            self._set_aside(name, f"it is generation {state.generation}")
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

        Raises `StateTooLargeError`, and OSError for a full or broken disk. The state before stands
        then.
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
        """Writes a file so that it is found whole or not at all. Raises OSError."""
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
        """Raises OSError if too many older generations cannot be removed."""
        if len(self._files(kind.name)) < MAX_GENERATIONS:
            return
        self._remove_older(kind)
        if len(self._files(kind.name)) >= MAX_GENERATIONS:
            raise OSError(errno.EIO, "older generations cannot be removed")

    def _remove_older(self, kind: StateKind) -> None:
        """Removes all but the newest generations; the next write tries those again that stay."""
        with suppress(OSError):
            for _, old in self._files(kind.name)[RETAINED_GENERATIONS:]:
                self.disk.remove(old)

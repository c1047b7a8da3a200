"""A crash-safe store of small states: each a whole file, replaced by a newer generation, the one before kept.

docs/format-lasting.md has the bytes. A write is a new file, synced, renamed into its place, and its folder
synced: whatever cuts it short, the generation before or the new one is found whole. A write that fails at
any of these steps is done again from the first one, under the same generation. One process writes to a
folder; it holds a lock that the kernel lets go with it, and counts the folder's epochs.

What can not be read is set aside, told once, and never stops a start: a state that is lost costs what was in
it. What is of a newer program is set aside unread, so that going back a version destroys nothing.
"""

from __future__ import annotations

import errno
import hashlib
import re
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash
import zstandard

from martenlead.durable_state.disk import Disk

MAGIC = b"MLASTING"
FORMAT_VERSION = 1
HEADER = struct.Struct("<8sHHIQqQ16s")  # magic, format, version, 0, generation, saved, length, whose
CHECKSUM_BYTES = 16
RETAINED_GENERATIONS = 2  # generations of a kind
MAX_GENERATIONS = 16  # of a kind while older ones cannot be removed; beyond it nothing is written
MAX_PROBLEMS = 64  # that are not told yet
READ_ATTEMPTS = 3  # of a file, in a row: a call that fails for a moment must not cost a generation
MAX_FILES_SET_ASIDE = 8  # files set aside that are kept, the newest
STATE_FILE_NAME = re.compile(r"([a-z]+)\.(\d{16})\.state\Z")
LOCK_FILE, EPOCHS_KIND = "lock", "epochs"
MAX_UNPACK_RATIO = 8  # times the bound that a state may be once it is unpacked

Migration = Callable[[Any], Any]


# what a body can do that no `pack` has written, or a migration that does not fit it
CONTENT_ERRORS = (zstandard.ZstdError, msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError)


class FolderInUseError(Exception):
    """Another process writes to the folder."""


class StateTooLargeError(Exception):
    """A state is over the bound; says by how much."""


class UnreadableStateError(Exception):
    """Not a state that this program reads; says why."""


@dataclass(slots=True, frozen=True)
class StateKind:
    """A name of small letters, and its version with what leads to it from each older one."""

    name: str
    version: int = 1
    migrations: dict[int, Migration] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class StoredState:
    """`saved` is Unix time, ns, by the clock of whoever saved it."""

    value: Any
    generation: int
    saved_ns: int
    version: int


def owner_digest(deployment: str, kind: str) -> bytes:
    return hashlib.sha256(f"{kind}\0{deployment}".encode()).digest()[:16]


def pack_state(kind: StateKind, deployment: str, generation: int, saved: int, value: Any) -> bytes:
    body = zstandard.ZstdCompressor(level=3).compress(msgspec.msgpack.encode(value))
    told = owner_digest(deployment, kind.name)
    head = HEADER.pack(MAGIC, FORMAT_VERSION, kind.version, 0, generation, saved, len(body), told)
    return head + xxhash.xxh3_128_digest(head + body) + body


def read_version(data: bytes) -> int:
    """What a file says of itself, checked by nothing; 0 for one that is too short to."""
    return int(HEADER.unpack_from(data)[2]) if len(data) >= HEADER.size else 0


def unpack_state(data: bytes, kind: StateKind, deployment: str, most: int) -> StoredState:
    """Raises `Unreadable` for all that `pack` of this deployment and kind did not write whole."""
    if len(data) < HEADER.size + CHECKSUM_BYTES:
        raise UnreadableStateError(f"{len(data)} bytes are no state")
    magic, form, version, _, generation, saved, length, owner = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise UnreadableStateError("no state of this program")
    head, told, body = (
        data[: HEADER.size],
        data[HEADER.size : HEADER.size + CHECKSUM_BYTES],
        data[HEADER.size + CHECKSUM_BYTES :],
    )
    if len(body) != length or xxhash.xxh3_128_digest(head + body) != told:
        raise UnreadableStateError("cut short or corrupt")
    if form > FORMAT_VERSION or version > kind.version:
        raise UnreadableStateError(f"of a newer program (version {form}.{version})")
    if owner != owner_digest(deployment, kind.name):
        raise UnreadableStateError("of another deployment")
    try:
        if zstandard.frame_content_size(body) > MAX_UNPACK_RATIO * most:
            raise ValueError("it unpacks to more than is allowed")
        plain = zstandard.ZstdDecompressor().decompress(body, max_output_size=MAX_UNPACK_RATIO * most)
        value = msgspec.msgpack.decode(plain)
        for older in range(version, kind.version):
            value = kind.migrations[older](value)
    except (
        zstandard.ZstdError,
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        raise UnreadableStateError(f"its content cannot be read: {error}") from None
    return StoredState(value, generation, saved, version)


class StateStore:
    """`problems` says what was found wrong, each once; whoever opens it logs them."""

    def __init__(self, disk: Disk, deployment: str, wall: Callable[[], int], most: int = 64_000_000) -> None:
        """Raises `InUse`, and OSError where there is no folder to be had."""
        self.disk, self.deployment, self.wall_clock_ns, self.max_bytes = disk, deployment, wall, most
        self.problems: list[str] = []
        self._generations: dict[str, int] = {}
        self.read_errors = 0  # files that are there and could not be read
        self.epoch = 0  # 0 until it is durable
        if not disk.lock(LOCK_FILE):
            raise FolderInUseError("another process writes there")
        try:
            self._remove_parts()
            try:
                self.epoch = self._count_epoch()
            except OSError as error:  # reading goes on
                self._report_problem(f"nothing can be kept: {error.strerror or error}")
        except BaseException:
            disk.unlock()  # whoever tries again in this process must not find it held
            raise

    def close(self) -> None:
        self.disk.unlock()

    def _remove_parts(self) -> None:
        """Of writes that were cut short. Those that cannot be removed now are written over."""
        for name in self.disk.names():
            if name.endswith(".part"):
                with suppress(OSError):
                    self.disk.remove(name)

    def _report_problem(self, problem: str) -> None:
        if problem not in self.problems and len(self.problems) < MAX_PROBLEMS:
            self.problems.append(problem)

    def _count_epoch(self) -> int:
        """How many processes have written here before, and this one: the lock's fence, once it is durable.
        Raises OSError: the first write counts anew."""
        kind = StateKind(EPOCHS_KIND)
        # each epoch is a generation of its own: one whose file cannot be read is not given a second time
        last = max((generation for generation, _ in self._files(EPOCHS_KIND)), default=0)
        before = self.read(kind)
        if before is not None and isinstance(before.value, int):
            last = max(last, before.value)
        self._replace(kind, last + 1)
        return last + 1

    def _files(self, kind: str) -> list[tuple[int, str]]:
        """Generations of a kind, the newest first."""
        found = []
        for name in self.disk.names():
            match = STATE_FILE_NAME.match(name)
            if match and match[1] == kind:
                found.append((int(match[2]), name))
        return sorted(found, reverse=True)

    def read(self, kind: StateKind) -> StoredState | None:
        """The newest generation that is whole, None where there is none. Never raises for what lies there;
        what could not be read, and may be whole, is counted in `read_errors`."""
        found = None
        try:
            files = self._files(kind.name)
        except OSError as error:
            self.read_errors += 1
            self._report_problem(f"{kind.name}: {error.strerror or error}")
            return None
        for generation, name in files:
            self._generations[kind.name] = max(self._generations.get(kind.name, 0), generation)
            if found is not None:
                break
            try:
                state = unpack_state(self._read_with_retries(name), kind, self.deployment, self.max_bytes)
                if state.generation != generation:
                    raise UnreadableStateError(f"it is generation {state.generation}")
                found = state
            except UnreadableStateError as error:
                self._set_aside(name, str(error))
            except OSError as error:
                self.read_errors += 1
                self._report_problem(f"{name}: {error.strerror or error}")
        return found

    def _read_with_retries(self, name: str) -> bytes:
        for _ in range(READ_ATTEMPTS - 1):
            with suppress(OSError):
                return self.disk.read(name)
        return self.disk.read(name)

    def _set_aside(self, name: str, why: str) -> None:
        self._report_problem(f"{name} is set aside: {why}")
        try:
            self.disk.rename(name, f"{name}.aside")
            aside = sorted(n for n in self.disk.names() if n.endswith(".aside"))
            for old in aside[:-MAX_FILES_SET_ASIDE]:
                self.disk.remove(old)
        except OSError as error:
            self._report_problem(f"{name}: {error.strerror or error}")

    def write(self, kind: StateKind, value: Any) -> int:
        """Its generation, once it is safe on disk. Raises `TooLarge`; OSError for a full or broken disk, and
        then what was there before stands."""
        if not self.epoch:
            self.epoch = self._count_epoch()
        return self._replace(kind, value)

    def _replace(self, kind: StateKind, value: Any) -> int:
        if kind.name not in self._generations:
            self._generations[kind.name] = max((g for g, _ in self._files(kind.name)), default=0)
        generation = self._generations[kind.name] + 1
        data = pack_state(kind, self.deployment, generation, self.wall_clock_ns(), value)
        if len(data) > self.max_bytes:
            raise StateTooLargeError(f"{kind.name}: {len(data)} bytes, {self.max_bytes} are allowed")
        self._check_generation_limit(kind)
        part, name = f"{kind.name}.part", f"{kind.name}.{generation:016d}.state"
        disk = self.disk
        try:
            disk.write_synced(part, data)
            disk.rename(part, name)
            disk.sync_folder()
        except OSError:
            with suppress(OSError):
                disk.remove(part)
            raise
        self._generations[kind.name] = generation
        self._remove_older(kind)
        return generation

    def _check_generation_limit(self, kind: StateKind) -> None:
        """Older generations that could not be removed are few, or nothing is added to them."""
        if len(self._files(kind.name)) < MAX_GENERATIONS:
            return
        self._remove_older(kind)
        if len(self._files(kind.name)) >= MAX_GENERATIONS:
            raise OSError(errno.EIO, "older generations cannot be removed")

    def _remove_older(self, kind: StateKind) -> None:
        """What cannot be removed now goes with the next write: the state that was written is safe."""
        with suppress(OSError):
            for _, old in self._files(kind.name)[RETAINED_GENERATIONS:]:
                self.disk.remove(old)

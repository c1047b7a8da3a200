"""The format of a state file: header, checksum, compressed body (docs/format-lasting.md)."""

from __future__ import annotations

import hashlib
import re
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash
import zstandard

MAGIC = b"MLASTING"
FORMAT_VERSION = 1
HEADER = struct.Struct("<8sHHIQqQ16s")  # the fields of `Header` in order
CHECKSUM_BYTES = 16
OWNER_DIGEST_BYTES = 16
COMPRESSION_LEVEL = 3
MAX_UNPACK_RATIO = 8  # limit of the decompressed size as a multiple of `max_bytes`
STATE_FILE_NAME = re.compile(r"([a-z]+)\.(\d{16})\.state\Z")

# reasons for rejecting a file, reported to operators
FOREIGN = "not a state file of this program"
CORRUPT = "cut short or corrupt"
OF_ANOTHER_DEPLOYMENT = "of another deployment"
TOO_LARGE_UNPACKED = "its decompressed size exceeds the limit"

PlainValue = Any  # decoded MessagePack; its structure depends on kind and version
Migration = Callable[[PlainValue], PlainValue]

# raised by decoding a body that `pack_state` did not write, or by a migration that does not fit it
CONTENT_ERRORS = (
    zstandard.ZstdError,
    msgspec.DecodeError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
)


class UnreadableStateError(Exception):
    """The data is not a state that this program can read; the message gives the reason."""


@dataclass(slots=True, frozen=True)
class StateKind:
    """A kind of state: its name, version, and migration from each older version to the next."""

    name: str  # lower-case letters only
    version: int = 1
    migrations: dict[int, Migration] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class StoredState:
    """A state that was read from a file, migrated to the current version of its kind."""

    value: PlainValue
    generation: int
    saved_ns: int  # Unix time by the wall clock of the process that saved it
    version: int  # the version of the kind when the state was saved


@dataclass(slots=True, frozen=True)
class Header:
    """The fixed part of a file; the fields are in file order."""

    magic: bytes
    format_version: int
    version: int
    reserved: int
    generation: int
    saved_ns: int
    body_bytes: int
    owner_digest: bytes

    @classmethod
    def read(cls, data: bytes) -> Header:
        """Unpacks the header of a file without checking it."""
        return cls(*HEADER.unpack_from(data))

    def pack(self) -> bytes:
        """Returns the encoded header."""
        return HEADER.pack(
            self.magic,
            self.format_version,
            self.version,
            self.reserved,
            self.generation,
            self.saved_ns,
            self.body_bytes,
            self.owner_digest,
        )


def file_name(kind: str, generation: int) -> str:
    """Returns the name of a state file; `STATE_FILE_NAME` matches it."""
    return f"{kind}.{generation:016d}.state"


def owner_digest(deployment: str, kind: str) -> bytes:
    """Returns a digest that identifies the deployment and the kind of a state."""
    return hashlib.sha256(f"{kind}\0{deployment}".encode()).digest()[:OWNER_DIGEST_BYTES]


def pack_state(
    kind: StateKind, deployment: str, generation: int, saved_ns: int, value: object
) -> bytes:
    """Returns the content of a state file."""
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    body = compressor.compress(msgspec.msgpack.encode(value))
    owner = owner_digest(deployment, kind.name)
    header = Header(MAGIC, FORMAT_VERSION, kind.version, 0, generation, saved_ns, len(body), owner)
    head = header.pack()
    return head + xxhash.xxh3_128_digest(head + body) + body


def read_version(data: bytes) -> int:
    """Returns the version in a header without checking it; 0 if the file is too short."""
    return Header.read(data).version if len(data) >= HEADER.size else 0


def unpack_state(data: bytes, kind: StateKind, deployment: str, max_bytes: int) -> StoredState:
    """Reads a state file, and migrates its value to the version of `kind`.

    Raises `UnreadableStateError` unless the data is the complete output of `pack_state` for this
    deployment and kind.
    """
    header, body = _check_integrity(data)
    if header.format_version > FORMAT_VERSION or header.version > kind.version:
        reason = f"of a newer program (version {header.format_version}.{header.version})"
        raise UnreadableStateError(reason)
    if header.owner_digest != owner_digest(deployment, kind.name):
        raise UnreadableStateError(OF_ANOTHER_DEPLOYMENT)
    try:
        value = _decompress(body, MAX_UNPACK_RATIO * max_bytes)
        for older in range(header.version, kind.version):
            value = kind.migrations[older](value)
    except CONTENT_ERRORS as error:
        reason = f"its content cannot be read: {error}"
        raise UnreadableStateError(reason) from None
    return StoredState(value, header.generation, header.saved_ns, header.version)


def _check_integrity(data: bytes) -> tuple[Header, bytes]:
    """Returns header and body of a file whose length and checksum are correct."""
    body_start = HEADER.size + CHECKSUM_BYTES
    if len(data) < body_start:
        reason = f"{len(data)} bytes are too short for a state file"
        raise UnreadableStateError(reason)
    header = Header.read(data)
    if header.magic != MAGIC:
        raise UnreadableStateError(FOREIGN)
    head, checksum, body = data[: HEADER.size], data[HEADER.size : body_start], data[body_start:]
    if len(body) != header.body_bytes or xxhash.xxh3_128_digest(head + body) != checksum:
        raise UnreadableStateError(CORRUPT)
    return header, body


def _decompress(body: bytes, max_bytes: int) -> PlainValue:
    """Returns the decoded value of a body; raises one of `CONTENT_ERRORS`."""
    if zstandard.frame_content_size(body) > max_bytes:
        raise ValueError(TOO_LARGE_UNPACKED)
    plain = zstandard.ZstdDecompressor().decompress(body, max_output_size=max_bytes)
    return msgspec.msgpack.decode(plain)

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
HEADER = struct.Struct("<8sHHIQqQ16s")  # fields of `Header`, in this order
CHECKSUM_BYTES = 16
OWNER_DIGEST_BYTES = 16
COMPRESSION_LEVEL = 3
MAX_UNPACK_RATIO = 8  # times `max_bytes` that a state may be once it is unpacked
STATE_FILE_NAME = re.compile(r"([a-z]+)\.(\d{16})\.state\Z")

# why a file is not read, as operators are told
FOREIGN = "no state of this program"
CORRUPT = "cut short or corrupt"
OF_ANOTHER_DEPLOYMENT = "of another deployment"
TOO_LARGE_UNPACKED = "it unpacks to more than is allowed"

PlainValue = Any  # what MessagePack decodes to; its shape is known only by the kind and its version
Migration = Callable[[PlainValue], PlainValue]

# raised by a body that `pack_state` did not write, or by a migration that does not fit it
CONTENT_ERRORS = (
    zstandard.ZstdError,
    msgspec.DecodeError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
)


class UnreadableStateError(Exception):
    """The bytes are not a state that this program can read; the text says why."""


@dataclass(slots=True, frozen=True)
class StateKind:
    """What a state is about, its version, and the migration from each older version to the next."""

    name: str  # small letters
    version: int = 1
    migrations: dict[int, Migration] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class StoredState:
    """A state as it was read, migrated to the version of its kind."""

    value: PlainValue
    generation: int
    saved_ns: int  # Unix time, by the clock of the process that saved it
    version: int  # that it was saved with


@dataclass(slots=True, frozen=True)
class Header:
    """The fixed part of a file, in the order of its bytes."""

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
        """The header of a file, checked by nothing."""
        return cls(*HEADER.unpack_from(data))

    def pack(self) -> bytes:
        """The bytes of the header."""
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
    """The name of a state file, which `STATE_FILE_NAME` matches."""
    return f"{kind}.{generation:016d}.state"


def owner_digest(deployment: str, kind: str) -> bytes:
    """Tells states of one deployment and kind from all others."""
    return hashlib.sha256(f"{kind}\0{deployment}".encode()).digest()[:OWNER_DIGEST_BYTES]


def pack_state(
    kind: StateKind, deployment: str, generation: int, saved_ns: int, value: object
) -> bytes:
    """The bytes of a state file."""
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    body = compressor.compress(msgspec.msgpack.encode(value))
    owner = owner_digest(deployment, kind.name)
    header = Header(MAGIC, FORMAT_VERSION, kind.version, 0, generation, saved_ns, len(body), owner)
    head = header.pack()
    return head + xxhash.xxh3_128_digest(head + body) + body


def read_version(data: bytes) -> int:
    """The version that a file states, checked by nothing; 0 if the file is too short."""
    return Header.read(data).version if len(data) >= HEADER.size else 0


def unpack_state(data: bytes, kind: StateKind, deployment: str, max_bytes: int) -> StoredState:
    """Reads a state file, and migrates its value to the version of `kind`.

    Raises `UnreadableStateError` for all that `pack_state` of this deployment and kind did not
    write whole.
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
    """The header and the body of a file that is whole."""
    body_start = HEADER.size + CHECKSUM_BYTES
    if len(data) < body_start:
        reason = f"{len(data)} bytes are no state"
        raise UnreadableStateError(reason)
    header = Header.read(data)
    if header.magic != MAGIC:
        raise UnreadableStateError(FOREIGN)
    head, checksum, body = data[: HEADER.size], data[HEADER.size : body_start], data[body_start:]
    if len(body) != header.body_bytes or xxhash.xxh3_128_digest(head + body) != checksum:
        raise UnreadableStateError(CORRUPT)
    return header, body


def _decompress(body: bytes, max_bytes: int) -> PlainValue:
    """The value of a body. Raises one of `CONTENT_ERRORS`."""
    if zstandard.frame_content_size(body) > max_bytes:
        raise ValueError(TOO_LARGE_UNPACKED)
    plain = zstandard.ZstdDecompressor().decompress(body, max_output_size=max_bytes)
    return msgspec.msgpack.decode(plain)

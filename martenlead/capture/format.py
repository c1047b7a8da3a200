"""Segments of a capture, byte by byte, without I/O. docs/format-capture.md is the reference.

A segment is a header and frames; a frame holds some events, compressed, and is checked as a whole. The last
frame of a segment that was closed in order is its index. Cut at any byte, a segment gives all frames before
the cut.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import msgspec
import xxhash
import zstandard

from martenlead.capture.events import Event, Input, decode, encode, task_of

MAGIC = b"mlcaptur"
VERSION = 1
HEADER = struct.Struct("<8sHHIqq")  # magic, version, 0, segment, run (ns since 1970), first time
FRAME = struct.Struct("<4sIIIqq")  # kind, bytes that follow, bytes raw, events, first time, last time
SUM = struct.Struct("<Q")  # XXH3 of all before it in the header or frame
EVENTS, INDEX = b"EVTS", b"INDX"
LARGEST = 64 * 1024 * 1024


class BadCapture(Exception):
    """The bytes are no capture that can be read; says why."""


@dataclass(frozen=True, slots=True)
class Head:
    version: int
    segment: int
    run: int
    first: int


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A frame in the index: where it begins, its times, and the tasks that it tells of."""

    at: int
    first: int
    last: int
    tasks: list[int]


@dataclass(slots=True)
class Frame:
    at: int
    kind: bytes
    first: int
    last: int
    count: int
    payload: bytes

    def events(self) -> list[Event]:
        return list(decode(self.payload))


def write_head(segment: int, run: int, first: int) -> bytes:
    raw = HEADER.pack(MAGIC, VERSION, 0, segment, run, first)
    return raw + SUM.pack(xxhash.xxh3_64_intdigest(raw))


HEAD_SIZE = HEADER.size + SUM.size


def read_head(data: bytes) -> Head:
    """Raises `BadCapture`: no capture, a torn header, or a version that is newer than this program."""
    if len(data) < HEAD_SIZE or data[:8] != MAGIC:
        raise BadCapture("no capture: its first bytes are others")
    raw, (told,) = data[: HEADER.size], SUM.unpack_from(data, HEADER.size)
    _, version, _, segment, run, first = HEADER.unpack(raw)
    if version > VERSION:
        raise BadCapture(f"written in version {version} of the format; this program reads up to {VERSION}")
    if xxhash.xxh3_64_intdigest(raw) != told:
        raise BadCapture("its header does not have its checksum")
    return Head(version, segment, run, first)


class Packer:
    """Packs events into frames. Not for several threads at once."""

    def __init__(self, level: int = 3) -> None:
        self._compressor = zstandard.ZstdCompressor(level=level)
        self._last = 0

    def events(self, events: Sequence[Event]) -> bytes:
        times = [e.t for e in events if isinstance(e, Input)] or [self._last]
        self._last = times[-1]
        return self._frame(EVENTS, encode(events), len(events), min(times), max(times))

    def index(self, entries: Sequence[Entry]) -> bytes:
        times = (entries[0].first, entries[-1].last) if entries else (0, 0)
        return self._frame(INDEX, encode(entries), len(entries), *times)

    def _frame(self, kind: bytes, raw: bytes, count: int, first: int, last: int) -> bytes:
        packed = self._compressor.compress(raw)
        body = FRAME.pack(kind, len(packed), len(raw), count, first, last) + packed
        return body + SUM.pack(xxhash.xxh3_64_intdigest(body))


def entry(at: int, events: Sequence[Event]) -> Entry:
    times = [e.t for e in events if isinstance(e, Input)] or [0]
    return Entry(at, min(times), max(times), sorted({n for e in events if (n := task_of(e)) is not None}))


def read_frame(data: memoryview, at: int) -> tuple[Frame, int] | None:
    """The frame that begins there and where the next one does; None where there is no whole one."""
    if len(data) - at < FRAME.size + SUM.size:
        return None
    kind, size, raw, count, first, last = FRAME.unpack_from(data, at)
    end = at + FRAME.size + size
    if kind not in (EVENTS, INDEX) or raw > LARGEST or end + SUM.size > len(data):
        return None
    (told,) = SUM.unpack_from(data, end)
    if xxhash.xxh3_64_intdigest(data[at:end]) != told:
        return None
    try:
        payload = zstandard.ZstdDecompressor().decompress(data[at + FRAME.size : end], max_output_size=raw)
    except zstandard.ZstdError:
        return None
    return Frame(at, kind, first, last, count, payload), end + SUM.size


class Segment:
    """The whole frames of one segment's bytes. `torn` is how many bytes at its end belong to none."""

    def __init__(self, data: bytes) -> None:
        self.head = read_head(data)
        self._data = memoryview(data)
        self.torn = 0
        self.closed = False

    def frames(self) -> Iterator[Frame]:
        at = HEAD_SIZE
        while at < len(self._data):
            found = read_frame(self._data, at)
            if found is None:
                self.torn = len(self._data) - at
                return
            frame, at = found
            if frame.kind == INDEX:
                self.closed = True
            else:
                yield frame

    def index(self) -> list[Entry]:
        """Its index; one that has none, as after a kill, is read through instead."""
        entries: list[Entry] = []
        at = HEAD_SIZE
        while (found := read_frame(self._data, at)) is not None:
            frame, at = found
            if frame.kind == INDEX:
                return msgspec.msgpack.decode(frame.payload, type=list[Entry])
            entries.append(entry(frame.at, frame.events()))
        return entries

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

from martenlead.capture.events import CaptureEvent, InputEvent, decode, encode, request_number

MAGIC = b"mlcaptur"
VERSION = 1
HEADER = struct.Struct("<8sHHIqq")  # magic, version, 0, segment, run (ns since 1970), first time
FRAME = struct.Struct("<4sIIIqq")  # kind, bytes that follow, bytes raw, events, first time, last time
CHECKSUM = struct.Struct("<Q")  # XXH3 of all before it in the header or frame
EVENTS, INDEX = b"EVTS", b"INDX"
MAX_FRAME_BYTES = 64 * 1024 * 1024


class CaptureFormatError(Exception):
    """The bytes are no capture that can be read; says why."""


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    version: int
    segment: int
    run: int
    first_time_ns: int


class IndexEntry(msgspec.Struct, array_like=True, frozen=True):
    """A frame in the index: where it begins, its times, and the tasks that it tells of."""

    offset: int
    first_time_ns: int
    last_time_ns: int
    requests: list[int]


@dataclass(slots=True)
class Frame:
    offset: int
    kind: bytes
    first_time_ns: int
    last_time_ns: int
    event_count: int
    payload: bytes

    def events(self) -> list[CaptureEvent]:
        return list(decode(self.payload))


def pack_header(segment: int, run: int, first: int) -> bytes:
    raw = HEADER.pack(MAGIC, VERSION, 0, segment, run, first)
    return raw + CHECKSUM.pack(xxhash.xxh3_64_intdigest(raw))


HEADER_BYTES = HEADER.size + CHECKSUM.size


def unpack_header(data: bytes) -> SegmentHeader:
    """Raises `BadCapture`: no capture, a torn header, or a version that is newer than this program."""
    if len(data) < HEADER_BYTES or data[:8] != MAGIC:
        raise CaptureFormatError("no capture: its first bytes are others")
    raw, (told,) = data[: HEADER.size], CHECKSUM.unpack_from(data, HEADER.size)
    _, version, _, segment, run, first = HEADER.unpack(raw)
    if version > VERSION:
        raise CaptureFormatError(
            f"written in version {version} of the format; this program reads up to {VERSION}"
        )
    if xxhash.xxh3_64_intdigest(raw) != told:
        raise CaptureFormatError("its header does not have its checksum")
    return SegmentHeader(version, segment, run, first)


class FrameEncoder:
    """Packs events into frames. Not for several threads at once."""

    def __init__(self, level: int = 3) -> None:
        self._compressor = zstandard.ZstdCompressor(level=level)
        self._last = 0

    def pack_events(self, events: Sequence[CaptureEvent]) -> bytes:
        times = [e.time_ns for e in events if isinstance(e, InputEvent)] or [self._last]
        self._last = times[-1]
        return self._frame(EVENTS, encode(events), len(events), min(times), max(times))

    def pack_index(self, entries: Sequence[IndexEntry]) -> bytes:
        times = (entries[0].first_time_ns, entries[-1].last_time_ns) if entries else (0, 0)
        return self._frame(INDEX, encode(entries), len(entries), *times)

    def _frame(self, kind: bytes, raw: bytes, count: int, first: int, last: int) -> bytes:
        packed = self._compressor.compress(raw)
        body = FRAME.pack(kind, len(packed), len(raw), count, first, last) + packed
        return body + CHECKSUM.pack(xxhash.xxh3_64_intdigest(body))


def index_entry(at: int, events: Sequence[CaptureEvent]) -> IndexEntry:
    times = [e.time_ns for e in events if isinstance(e, InputEvent)] or [0]
    return IndexEntry(
        at, min(times), max(times), sorted({n for e in events if (n := request_number(e)) is not None})
    )


def read_frame(data: memoryview, at: int) -> tuple[Frame, int] | None:
    """The frame that begins there and where the next one does; None where there is no whole one."""
    if len(data) - at < FRAME.size + CHECKSUM.size:
        return None
    kind, size, raw, count, first, last = FRAME.unpack_from(data, at)
    end = at + FRAME.size + size
    if kind not in (EVENTS, INDEX) or raw > MAX_FRAME_BYTES or end + CHECKSUM.size > len(data):
        return None
    (told,) = CHECKSUM.unpack_from(data, end)
    if xxhash.xxh3_64_intdigest(data[at:end]) != told:
        return None
    try:
        payload = zstandard.ZstdDecompressor().decompress(data[at + FRAME.size : end], max_output_size=raw)
    except zstandard.ZstdError:
        return None
    return Frame(at, kind, first, last, count, payload), end + CHECKSUM.size


class Segment:
    """The whole frames of one segment's bytes. `torn` is how many bytes at its end belong to none."""

    def __init__(self, data: bytes) -> None:
        self.header = unpack_header(data)
        self._data = memoryview(data)
        self.torn_bytes = 0
        self.is_closed = False

    def frames(self) -> Iterator[Frame]:
        at = HEADER_BYTES
        while at < len(self._data):
            found = read_frame(self._data, at)
            if found is None:
                self.torn_bytes = len(self._data) - at
                return
            frame, at = found
            if frame.kind == INDEX:
                self.is_closed = True
            else:
                yield frame

    def index(self) -> list[IndexEntry]:
        """Its index; one that has none, as after a kill, is read through instead."""
        entries: list[IndexEntry] = []
        at = HEADER_BYTES
        while (found := read_frame(self._data, at)) is not None:
            frame, at = found
            if frame.kind == INDEX:
                return msgspec.msgpack.decode(frame.payload, type=list[IndexEntry])
            entries.append(index_entry(frame.offset, frame.events()))
        return entries

"""Encodes and decodes segments of a capture, without I/O. docs/format-capture.md is the reference.

A segment is a header followed by frames; a frame holds compressed events and has one checksum. The
last frame of a segment that was closed properly is its index. From a segment that is truncated at
any byte, all complete frames before the cut can be read.
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
# magic, version, 0 (reserved), segment, run (Unix time in ns), first time
HEADER = struct.Struct("<8sHHIqq")
# kind, payload bytes, payload bytes before compression, event count, first time, last time
FRAME = struct.Struct("<4sIIIqq")
CHECKSUM = struct.Struct("<Q")  # XXH3 of the preceding bytes of the header or frame
HEADER_BYTES = HEADER.size + CHECKSUM.size
EVENTS, INDEX = b"EVTS", b"INDX"
MAX_FRAME_BYTES = 64 * 1024 * 1024


class CaptureFormatError(Exception):
    """The bytes are not a readable capture; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The decoded header of a segment."""

    version: int
    segment: int
    run: int
    first_time_ns: int


class IndexEntry(msgspec.Struct, array_like=True, frozen=True):
    """A frame in the index: its offset, its first and last times, and its requests' numbers."""

    offset: int
    first_time_ns: int
    last_time_ns: int
    requests: list[int]


@dataclass(slots=True)
class Frame:
    """One complete frame. `end` is the offset of the next."""

    offset: int
    end: int
    kind: bytes
    first_time_ns: int
    last_time_ns: int
    event_count: int
    payload: bytes

    def events(self) -> list[CaptureEvent]:
        """Decodes the events of the frame, in stored order."""
        return list(decode(self.payload))


def pack_header(segment: int, run: int, first_time_ns: int) -> bytes:
    """Encodes a segment's header with its checksum."""
    header = HEADER.pack(MAGIC, VERSION, 0, segment, run, first_time_ns)
    return header + CHECKSUM.pack(xxhash.xxh3_64_intdigest(header))


def unpack_header(data: bytes) -> SegmentHeader:
    """Decodes a segment's header.

    Raises `CaptureFormatError` if the bytes are not a capture, the header is damaged, or its
    version is newer than this program's.
    """
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        error = "no capture: its first bytes are others"
        raise CaptureFormatError(error)
    header, (checksum,) = data[: HEADER.size], CHECKSUM.unpack_from(data, HEADER.size)
    _, version, _, segment, run, first_time_ns = HEADER.unpack(header)
    if version > VERSION:
        error = f"written in version {version} of the format; this program reads up to {VERSION}"
        raise CaptureFormatError(error)
    if xxhash.xxh3_64_intdigest(header) != checksum:
        error = "its header does not have its checksum"
        raise CaptureFormatError(error)
    return SegmentHeader(version, segment, run, first_time_ns)


class FrameEncoder:
    """Encodes events as frames. Not thread-safe."""

    def __init__(self, level: int = 3) -> None:
        self._compressor = zstandard.ZstdCompressor(level=level)
        self._last_time_ns = 0

    def pack_events(self, events: Sequence[CaptureEvent]) -> bytes:
        """Encodes one frame of events."""
        times_ns = _input_times_ns(events) or [self._last_time_ns]
        self._last_time_ns = times_ns[-1]
        return self._frame(EVENTS, encode(events), len(events), (min(times_ns), max(times_ns)))

    def pack_index(self, entries: Sequence[IndexEntry]) -> bytes:
        """Encodes the index, the last frame of a segment."""
        times_ns = (entries[0].first_time_ns, entries[-1].last_time_ns) if entries else (0, 0)
        return self._frame(INDEX, encode(entries), len(entries), times_ns)

    def _frame(self, kind: bytes, content: bytes, count: int, times_ns: tuple[int, int]) -> bytes:
        payload = self._compressor.compress(content)
        frame = FRAME.pack(kind, len(payload), len(content), count, *times_ns) + payload
        return frame + CHECKSUM.pack(xxhash.xxh3_64_intdigest(frame))


def _input_times_ns(events: Sequence[CaptureEvent]) -> list[int]:
    return [event.time_ns for event in events if isinstance(event, InputEvent)]


def index_entry(offset: int, events: Sequence[CaptureEvent]) -> IndexEntry:
    """The index entry of the frame at `offset`."""
    times_ns = _input_times_ns(events) or [0]
    requests = {number for e in events if (number := request_number(e)) is not None}
    return IndexEntry(offset, min(times_ns), max(times_ns), sorted(requests))


def read_frame(data: memoryview, offset: int) -> Frame | None:
    """Decodes the frame at `offset`; None if it is incomplete or damaged."""
    if len(data) - offset < FRAME.size + CHECKSUM.size:
        return None
    kind, payload_bytes, content_bytes, count, first_ns, last_ns = FRAME.unpack_from(data, offset)
    payload_offset = offset + FRAME.size
    end = payload_offset + payload_bytes
    is_complete = end + CHECKSUM.size <= len(data)
    if kind not in (EVENTS, INDEX) or content_bytes > MAX_FRAME_BYTES or not is_complete:
        return None
    (checksum,) = CHECKSUM.unpack_from(data, end)
    if xxhash.xxh3_64_intdigest(data[offset:end]) != checksum:
        return None
    content = _decompress(data[payload_offset:end], content_bytes)
    if content is None:
        return None
    return Frame(offset, end + CHECKSUM.size, kind, first_ns, last_ns, count, content)


def _decompress(payload: memoryview, content_bytes: int) -> bytes | None:
    try:
        return zstandard.ZstdDecompressor().decompress(payload, max_output_size=content_bytes)
    except zstandard.ZstdError:
        return None


class Segment:
    """The complete frames of one segment; `torn_bytes` counts the bytes after the last of them."""

    def __init__(self, data: bytes) -> None:
        """Raises `CaptureFormatError`."""
        self.header = unpack_header(data)
        self._data = memoryview(data)
        self.torn_bytes = 0
        self.is_closed = False

    def frames(self) -> Iterator[Frame]:
        """Iterates over all frames of events."""
        offset = HEADER_BYTES
        while offset < len(self._data):
            frame = read_frame(self._data, offset)
            if frame is None:
                self.torn_bytes = len(self._data) - offset
                return
            offset = frame.end
            if frame.kind == INDEX:
                self.is_closed = True
            else:
                yield frame

    def index(self) -> list[IndexEntry]:
        """The stored index; rebuilt from the frames if there is none, as after a killed process."""
        entries: list[IndexEntry] = []
        offset = HEADER_BYTES
        while (frame := read_frame(self._data, offset)) is not None:
            offset = frame.end
            if frame.kind == INDEX:
                return msgspec.msgpack.decode(frame.payload, type=list[IndexEntry])
            entries.append(index_entry(frame.offset, frame.events()))
        return entries

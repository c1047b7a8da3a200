"""Reads runs from their segments, with gaps where events are missing."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import dropwhile
from pathlib import Path

from martenlead.capture.checkpoint import Checkpoint, checkpoint_path, load
from martenlead.capture.events import CaptureEvent, Gap, InputEvent
from martenlead.capture.format import HEADER_BYTES, CaptureFormatError, Segment
from martenlead.capture.run_folder import SEGMENT_SUFFIX, parse_segment_name


class CaptureRun:
    """The segments of one run of a dispatcher, in order."""

    def __init__(self, name: str, number: int, paths: list[Path]) -> None:
        self.name, self.number, self.paths = name, number, paths
        self.torn_bytes = 0
        self.missing_segments: list[int] = []

    def events(self) -> Iterator[CaptureEvent]:
        """Iterates over all events that can be read.

        If the first segments have been removed and the oldest remaining one has a checkpoint, the
        checkpoint comes first, in place of the removed events. A missing segment, and a torn end
        that is followed by another segment, appear as a `Gap`. Raises `CaptureFormatError` for a
        file that is not a capture.
        """
        return _RunEvents(self).read()


class _RunEvents:
    """One pass over a run; tracks the next expected segment and the time of the last event."""

    def __init__(self, run: CaptureRun) -> None:
        self._run = run
        self._expected_segment = 0
        self._last_ns = 0

    def read(self) -> Iterator[CaptureEvent]:
        """Iterates over all events that can be read. Raises `CaptureFormatError`."""
        for path in self._run.paths:
            try:
                segment = Segment(path.read_bytes())
            except FileNotFoundError:  # removed by retention after the run was listed
                continue
            except CaptureFormatError as error:
                yield from self._skip_without_header(path, error)
                continue
            yield from self._read_segment(path, segment)
            self._run.torn_bytes += segment.torn_bytes
            self._expected_segment = segment.header.segment + 1

    def _skip_without_header(self, path: Path, error: CaptureFormatError) -> Iterator[CaptureEvent]:
        """Skips a segment whose header was lost when the process was killed or power failed."""
        if not _is_without_header(path):
            message = f"{path}: {error}"
            raise CaptureFormatError(message) from None
        self._run.torn_bytes += path.stat().st_size
        if not self._is_last(path):
            yield self._torn_gap(path)
            parsed = parse_segment_name(path)
            assert parsed is not None
            self._expected_segment = parsed.segment + 1

    def _read_segment(self, path: Path, segment: Segment) -> Iterator[CaptureEvent]:
        number = segment.header.segment
        if number != self._expected_segment:
            checkpoint = _load_if_intact(path) if not self._expected_segment else None
            if checkpoint is not None:
                yield checkpoint
                yield from dropwhile(_is_decision, self._frame_events(segment))
                return
            yield self._missing_gap(segment)
        yield from self._frame_events(segment)
        if segment.torn_bytes and not self._is_last(path):
            yield self._torn_gap(path)

    def _frame_events(self, segment: Segment) -> Iterator[CaptureEvent]:
        for frame in segment.frames():
            self._last_ns = frame.last_time_ns
            yield from frame.events()

    def _missing_gap(self, segment: Segment) -> Gap:
        expected, found = self._expected_segment, segment.header.segment
        self._run.missing_segments += range(expected, found)
        reason = f"segments {expected} to {found - 1} are gone"
        return Gap(self._last_ns, segment.header.first_time_ns, 0, reason)

    def _torn_gap(self, path: Path) -> Gap:
        return Gap(self._last_ns, self._last_ns, 0, f"{path.name} is torn")

    def _is_last(self, path: Path) -> bool:
        return path is self._run.paths[-1]


def _is_decision(event: CaptureEvent) -> bool:
    """Decisions before a segment's first input were made before its checkpoint."""
    return not isinstance(event, InputEvent)


def _load_if_intact(path: Path) -> Checkpoint | None:
    """The checkpoint before a segment; None if there is none or a power failure tore it."""
    try:
        return load(checkpoint_path(path))
    except (OSError, CaptureFormatError):
        return None


def _is_without_header(path: Path) -> bool:
    """Whether the header was lost: the file is too short, or a power failure left zeros."""
    with path.open("rb") as file:
        header = file.read(HEADER_BYTES)
    return len(header) < HEADER_BYTES or not any(header)


def find_runs(paths: list[Path]) -> list[CaptureRun]:
    """The runs in the given files and folders, sorted by name and time.

    Raises `CaptureFormatError` if there are none.
    """
    files: dict[tuple[str, int], set[Path]] = {}
    for path in paths:
        found = sorted(path.glob(f"*{SEGMENT_SUFFIX}")) if path.is_dir() else [path]
        for file in found:
            parsed = parse_segment_name(file)
            if parsed is None or not file.is_file():
                message = f"{file}: no capture; NAME-RUN-SEGMENT{SEGMENT_SUFFIX} was expected"
                raise CaptureFormatError(message)
            files.setdefault((parsed.name, parsed.run), set()).add(file)
    if not files:
        message = f"{', '.join(map(str, paths))}: no captures there"
        raise CaptureFormatError(message)
    return [CaptureRun(name, run, sorted(found)) for (name, run), found in sorted(files.items())]

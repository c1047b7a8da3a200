"""CSV files as streams of rows with their line numbers, in bounded memory.

A file is plain, gzip or Zstandard, detected by its first bytes, and of any length.
"""

from __future__ import annotations

import codecs
import csv
import gzip
import itertools
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import IO, NamedTuple

import zstandard

from martenlead.traces.problems import TraceError, TraceProblems

MAX_LINE_BYTES = 1 << 20
"""Longer than any row of the schemas."""
READ_SIZE_BYTES = 1 << 18
GZIP_MAGIC = b"\x1f\x8b"
ZSTANDARD_MAGIC = b"\x28\xb5\x2f\xfd"
DECOMPRESSION_ERRORS = (EOFError, zlib.error, gzip.BadGzipFile, zstandard.ZstdError)


class RawLine(NamedTuple):
    """A line as bytes. The last line of a file may lack its line feed."""

    number: int
    data: bytes
    is_terminated: bool


class CsvRow(NamedTuple):
    """The fields of a line."""

    line: int
    fields: list[str]
    is_terminated: bool


def _open(path: Path) -> IO[bytes]:
    raw = path.open("rb")
    magic = raw.read(len(ZSTANDARD_MAGIC))
    raw.seek(0)
    if magic.startswith(GZIP_MAGIC):
        return gzip.open(raw, "rb")  # type: ignore[return-value]
    if magic == ZSTANDARD_MAGIC:
        return zstandard.ZstdDecompressor().stream_reader(raw, read_across_frames=True)
    return raw


def _read_lines(path: Path, problems: TraceProblems) -> Iterator[RawLine]:
    """Yields the lines of a file, decompressed. Raises `TraceError`."""
    number = 0
    rest = b""
    try:
        with _open(path) as file:
            while True:
                try:
                    data = file.read(READ_SIZE_BYTES)
                except DECOMPRESSION_ERRORS as error:
                    message = f"the compressed data is truncated: {error}"
                    problems.record("file cut short", str(path), number + 1, message)
                    return  # the lines before the cut are complete and were yielded
                if not data:
                    break
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    number += 1
                    yield RawLine(number, line, True)
                if len(rest) > MAX_LINE_BYTES:
                    message = f"{path}:{number + 1}: the line is longer than {MAX_LINE_BYTES} bytes"
                    raise TraceError(message)
    except OSError as error:
        message = f"{path}: {error.strerror or error}"
        raise TraceError(message) from None
    if rest:  # the number of columns shows whether this line was cut short
        yield RawLine(number + 1, rest, False)


def _parse_fields(
    line: RawLine, data: bytes, path: Path, problems: TraceProblems
) -> list[str] | None:
    """Returns the fields of a line; records a problem and returns None if it is invalid."""
    try:
        return next(csv.reader([data.decode()], strict=True))
    except UnicodeDecodeError:
        kind, message = "encoding", "UTF-8 was expected"
    except (csv.Error, StopIteration):
        kind = "columns" if line.is_terminated else "last line cut short"
        message = "not a valid CSV row"
    problems.rows += 1
    problems.record(kind, str(path), line.number, message)
    return None


def read_rows(path: Path, problems: TraceProblems) -> Iterator[CsvRow]:
    """Yields the rows of a file without its empty lines. Raises `TraceError`."""
    for line in _read_lines(path, problems):
        data = line.data.rstrip(b"\r")
        if line.number == 1:
            data = data.removeprefix(codecs.BOM_UTF8)
        if not data.strip():
            continue
        fields = _parse_fields(line, data, path, problems)
        if fields is not None:
            yield CsvRow(line.number, fields, line.is_terminated)


class CsvTable:
    """Rows of a file with the columns of a schema, in the schema's order.

    A header may have the columns in any order, and further columns. Without a header the file's
    columns are exactly those of the schema.
    """

    def __init__(
        self, path: Path, problems: TraceProblems, columns: list[str], has_header: bool
    ) -> None:
        """Raises `TraceError` for a column that is missing."""
        self.path = path
        self.problems = problems
        rows = read_rows(path, problems)
        first_row = next(rows, None)
        if first_row is None:
            message = f"{path}: the file has no rows"
            raise TraceError(message)
        header = [name.strip() for name in first_row.fields]
        if has_header or set(columns) <= set(header):
            self._check_columns(columns, header)
            self.rows: Iterator[CsvRow] = rows
        else:
            header = columns
            self.rows = itertools.chain([first_row], rows)
        self.column_count = len(header)
        self.positions = [header.index(name) for name in columns]

    def _check_columns(self, columns: list[str], header: list[str]) -> None:
        for name in columns:
            if name not in header:
                message = (
                    f"{self.path}:1: the column {name} is missing; "
                    f"{', '.join(columns)} were expected"
                )
                raise TraceError(message)

    def __iter__(self) -> Iterator[tuple[int, list[str]]]:
        """Yields the line number and the schema's fields of each complete row."""
        for line, fields, is_terminated in self.rows:
            self.problems.rows += 1
            if len(fields) != self.column_count:
                kind = "columns" if is_terminated else "last line cut short"
                message = f"{self.column_count} columns were expected, {len(fields)} found"
                self.problems.record(kind, str(self.path), line, message)
                continue
            yield line, [fields[position] for position in self.positions]

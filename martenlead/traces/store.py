"""A trace as a Parquet file sorted by time, independent of the order of rows in the source.

The trace may be larger than memory, and rows may be out of order. Rows are appended to temporary
files, one for each bucket of ten minutes; each bucket is then sorted and written as a row group.
Memory holds one bucket and the names.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TypeAlias

import numpy as np
import numpy.typing as npt
import pyarrow as pa
import pyarrow.parquet as pq

from martenlead.traces.problems import TraceError
from martenlead.traces.schemas import Invocation

BUCKET_NS = 600 * 1_000_000_000
MAX_BUFFERED_ROWS = 200_000
"""Rows in memory before they are appended to the temporary files."""
ROWS_PER_BATCH = 8192
TEMPORARY_ROW = np.dtype(
    [("at", "<i8"), ("function", "<u4"), ("owner", "<u4"), ("took", "<i8"), ("memory", "<f4")]
)
SCHEMA = pa.schema(
    [
        ("at_ns", pa.int64()),
        ("function", pa.dictionary(pa.int32(), pa.string())),
        ("owner", pa.dictionary(pa.int32(), pa.string())),
        ("took_ns", pa.int64()),
        ("memory_mb", pa.float32()),
    ]
)

RowArray: TypeAlias = npt.NDArray[np.void]
BufferedRow: TypeAlias = tuple[int, int, int, int, float]
"""The fields of `TEMPORARY_ROW` for numpy; names are replaced by their numbers."""


class NameTable:
    """Numbers names in the order of their first use, so that each name is stored once."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}

    def get_number(self, name: str) -> int:
        """Returns the number of a name; a new name gets the next one."""
        return self.numbers.setdefault(name, len(self.numbers))

    def list_names(self) -> list[str]:
        """Returns all names, each at the index equal to its number."""
        return list(self.numbers)


class BucketFiles:
    """Rows partitioned by time into temporary files in a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.functions = NameTable()
        self.owners = NameTable()
        self.buckets: set[int] = set()
        self._buffers: dict[int, list[BufferedRow]] = {}
        self._buffered_rows = 0

    def add(self, invocation: Invocation) -> None:
        """Buffers an invocation; writes the buffers to their files when they are full."""
        row = (
            invocation.start_ns,
            self.functions.get_number(invocation.function),
            self.owners.get_number(invocation.owner),
            invocation.duration_ns,
            invocation.memory_mb,
        )
        self._buffers.setdefault(invocation.start_ns // BUCKET_NS, []).append(row)
        self._buffered_rows += 1
        if self._buffered_rows >= MAX_BUFFERED_ROWS:
            self.flush()

    def flush(self) -> None:
        """Appends all buffered rows to the files of their buckets."""
        for bucket, rows in self._buffers.items():
            with (self.folder / str(bucket)).open("ab") as file:
                np.array(rows, dtype=TEMPORARY_ROW).tofile(file)
            self.buckets.add(bucket)
        self._buffers.clear()
        self._buffered_rows = 0

    def read_sorted(self) -> Iterator[RowArray]:
        """Yields the rows of each bucket in turn, sorted by time."""
        for bucket in sorted(self.buckets):
            rows = np.fromfile(self.folder / str(bucket), dtype=TEMPORARY_ROW)
            yield rows[np.argsort(rows["at"], kind="stable")]


def write_trace(path: Path, invocations: Iterable[Invocation]) -> dict[str, int]:
    """Writes a trace atomically.

    Returns the numbers of its rows and names, under the keys that the command line prints. Raises
    OSError.
    """
    partial_path = path.with_name(f"{path.name}.{os.getpid()}.part")
    with tempfile.TemporaryDirectory(dir=path.parent, prefix=".trace-") as folder:
        bucket_files = BucketFiles(Path(folder))
        for invocation in invocations:
            bucket_files.add(invocation)
        bucket_files.flush()
        try:
            row_count = _write_parquet(partial_path, bucket_files)
            partial_path.replace(path)
        finally:
            partial_path.unlink(missing_ok=True)
    return {
        "rows": row_count,
        "functions": len(bucket_files.functions.numbers),
        "owners": len(bucket_files.owners.numbers),
    }


def _write_parquet(path: Path, bucket_files: BucketFiles) -> int:
    """Writes each bucket as a row group and returns the number of rows."""
    names = {
        "function": bucket_files.functions.list_names(),
        "owner": bucket_files.owners.list_names(),
    }
    row_count = 0
    with pq.ParquetWriter(path, SCHEMA, compression="zstd") as writer:
        for rows in bucket_files.read_sorted():
            writer.write_table(_make_table(rows, names))
            row_count += len(rows)
    return row_count


def _make_table(rows: RowArray, names: dict[str, list[str]]) -> pa.Table:
    columns = {
        "at_ns": pa.array(rows["at"]),
        "took_ns": pa.array(rows["took"]),
        "memory_mb": pa.array(rows["memory"]),
    }
    for column in ("function", "owner"):
        numbers, indices = np.unique(rows[column], return_inverse=True)
        dictionary = pa.array([names[column][number] for number in numbers], pa.string())
        index_array = pa.array(indices.astype("int32"))
        columns[column] = pa.DictionaryArray.from_arrays(index_array, dictionary)
    return pa.table([columns[field.name] for field in SCHEMA], schema=SCHEMA)


def read_trace(path: Path, begin_ns: int = 0, end_ns: int | None = None) -> Iterator[Invocation]:
    """Yields invocations by start time, from `begin_ns` to before `end_ns`. Raises `TraceError`.

    One row group is read at a time.
    """
    try:
        with pq.ParquetFile(path) as file:
            if not set(SCHEMA.names) <= set(file.schema_arrow.names):
                message = f"{path}: not a trace written by `martenlead trace convert`"
                raise TraceError(message)
            for group in range(file.num_row_groups):
                if not _overlaps(file, group, begin_ns, end_ns):
                    continue
                for invocation in _read_row_group(file, group):
                    start_ns = invocation.start_ns
                    if start_ns >= begin_ns and (end_ns is None or start_ns < end_ns):
                        yield invocation
    except (OSError, pa.ArrowException) as error:
        message = f"{path}: {error}"
        raise TraceError(message) from None


def _overlaps(file: pq.ParquetFile, group: int, begin_ns: int, end_ns: int | None) -> bool:
    """Returns whether a row group may have a start time in the interval, by its statistics."""
    start_ns = file.metadata.row_group(group).column(0).statistics
    if start_ns is None:
        return True
    return bool(start_ns.max >= begin_ns and (end_ns is None or start_ns.min < end_ns))


def _read_row_group(file: pq.ParquetFile, group: int) -> Iterator[Invocation]:
    for batch in file.iter_batches(ROWS_PER_BATCH, row_groups=[group], columns=SCHEMA.names):
        columns = batch.to_pydict()
        rows = zip(*(columns[name] for name in SCHEMA.names), strict=True)
        for start_ns, function, owner, duration_ns, memory_mb in rows:
            yield Invocation(start_ns, function, duration_ns, memory_mb, owner)

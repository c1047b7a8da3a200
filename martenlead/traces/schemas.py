"""Three published schemas of cluster traces, each read as invocations.

`minutes`: counts of invocations for each minute of a day, by function, with percentiles of
durations by function and of memory by application in separate files (Azure Functions trace of
2019; Shahrad et al., USENIX ATC 2020).

`invocations`: a row for each invocation with its end and duration in seconds (Azure Functions trace
of 2021; Zhang et al., SOSP 2021).

`tasks`: a row for each task of a batch job with the number of instances, start and end in seconds,
CPU in hundredths of a core and memory in hundredths of a machine's (`batch_task` of the Alibaba
cluster trace of 2018), without a header.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import NamedTuple

from martenlead.traces.csv_table import CsvTable, read_rows
from martenlead.traces.problems import TraceError, TraceProblems

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000
NS_PER_MINUTE = 60 * NS_PER_SECOND
MINUTES_PER_DAY = 1440
MAX_TIME_SECONDS = 20 * 366 * 86_400.0
"""A later time is an overflow or has a wrong unit."""
MAX_DURATION_SECONDS = 30 * 86_400.0
MAX_DURATION_MS = MAX_DURATION_SECONDS * 1000
MAX_INSTANCES = 100_000_000
"""Invocations of a function in a minute, or instances of a row of a batch job."""
MAX_MEMORY = 1e6
"""In the unit of the file: MB, or hundredths of a machine's memory."""
TIMER_SPREAD_NS = NS_PER_SECOND // 10
"""Timers fire within this time from the start of their minute."""
QUOTED_CHARACTERS = 40
QUOTED_STATUS_CHARACTERS = 20

INVOCATION_COLUMNS = ["app", "func", "end_timestamp", "duration"]
BATCH_JOB_COLUMNS = [
    "task_name",
    "instance_num",
    "job_name",
    "task_type",
    "status",
    "start_time",
    "end_time",
    "plan_cpu",
    "plan_mem",
]
APPLICATION_COLUMNS = ["HashOwner", "HashApp"]
FUNCTION_COLUMNS = [*APPLICATION_COLUMNS, "HashFunction"]
MINUTE_COUNT_COLUMNS = [*FUNCTION_COLUMNS, "Trigger", *map(str, range(1, MINUTES_PER_DAY + 1))]
DURATION_PERCENTILES = ("0", "1", "25", "50", "75", "99", "100")
MEMORY_PERCENTILES = ("1", "5", "25", "50", "75", "95", "99", "100")


@dataclass(slots=True)
class Invocation:
    """A call of a function. `start_ns` is relative to the start of the trace."""

    start_ns: int
    function: str
    duration_ns: int
    memory_mb: float
    owner: str


@dataclass
class ReaderOptions:
    """Options of a reader.

    `durations_path` and `memory_path` are the files that accompany a `minutes` file; `day` is the
    day that it covers, from 0. `machine_mb` is the memory of a machine of a `tasks` file. The
    defaults are used for functions without percentiles in these files.
    """

    durations_path: Path | None = None
    memory_path: Path | None = None
    day: int = 0
    seed: int = 1
    machine_mb: float = 96_000
    default_duration_ms: float = 500
    default_memory_mb: float = 170


class FieldReader:
    """Parses the fields of a file's rows, and records problems of row `line`."""

    __slots__ = ("line", "path", "problems")

    def __init__(self, path: Path, problems: TraceProblems) -> None:
        self.path = path
        self.problems = problems
        self.line = 0

    def record(self, kind: str, message: str) -> None:
        """Counts a problem of this row. Raises `TraceError` once too many rows are unusable."""
        self.problems.record(kind, str(self.path), self.line, message)

    def parse_number(self, text: str, maximum: float, column: str) -> float | None:
        """Returns the number; records a problem and returns None unless it is 0 to `maximum`."""
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        quoted = text[:QUOTED_CHARACTERS]
        if math.isnan(value):
            self.record("not a number", f"{column}: a number was expected, not {quoted!r}")
            return None
        if value < 0:
            self.record("negative", f"{column}: {quoted} is less than 0")
            return None
        if value > maximum:
            self.record("overflow", f"{column}: {quoted} is more than {maximum:g}")
            return None
        return value


# Schema `invocations`


def read_invocations(
    path: Path, options: ReaderOptions, problems: TraceProblems
) -> Iterator[Invocation]:
    """Reads a file of schema `invocations`, in the order of its rows."""
    latest_end = -math.inf
    reader = FieldReader(path, problems)
    for line, fields in CsvTable(path, problems, INVOCATION_COLUMNS, has_header=True):
        app, function, end_text, duration_text = fields
        reader.line = line
        if not function:
            reader.record("empty name", "func: a name was expected")
            continue
        end = reader.parse_number(end_text, MAX_TIME_SECONDS, "end_timestamp")
        if end is None:
            continue
        duration = reader.parse_number(duration_text, MAX_DURATION_SECONDS, "duration")
        if duration is None:
            continue
        if end < latest_end:
            reader.record("out of order", f"ends {latest_end - end:g} s before one above")
        latest_end = max(latest_end, end)
        start_ns = max(0, round((end - duration) * NS_PER_SECOND))
        yield Invocation(start_ns, function, round(duration * NS_PER_SECOND), 0.0, app)


# Schema `tasks`


class BatchJobRow(NamedTuple):
    """The usable content of a row of schema `tasks`. Memory is in hundredths of a machine's."""

    function: str
    job: str
    start_seconds: float
    end_seconds: float
    instances: int
    memory_percent: float


def _parse_batch_job_row(fields: list[str], reader: FieldReader) -> BatchJobRow | None:
    """Parses a row; records a problem and returns None if it cannot be used."""
    name, instances_text, job, kind, status, start_text, end_text, _, memory_text = fields
    if not name or not job:
        reader.record("empty name", "task_name, job_name: names were expected")
        return None
    if status != "Terminated":
        quoted = status[:QUOTED_STATUS_CHARACTERS]
        reader.record("not ended", f"status {quoted}: its end is not known")
        return None
    start = reader.parse_number(start_text or "0", MAX_TIME_SECONDS, "start_time")
    end = reader.parse_number(end_text or "0", MAX_TIME_SECONDS, "end_time")
    instances = reader.parse_number(instances_text or "0", MAX_INSTANCES, "instance_num")
    memory = reader.parse_number(memory_text or "0", MAX_MEMORY, "plan_mem")
    if start is None or end is None or instances is None or memory is None:
        return None
    if end < start:
        reader.record("ends before it starts", f"{start_text} to {end_text}")
        return None
    # The first part of the name identifies a task of a job; the rest lists its dependencies.
    function = f"{kind}/{name.split('_')[0]}"
    return BatchJobRow(function, job, start, end, max(1, int(instances)), memory)


def read_batch_jobs(
    path: Path, options: ReaderOptions, problems: TraceProblems
) -> Iterator[Invocation]:
    """Reads a file of schema `tasks`: each instance of a row is an invocation."""
    latest_start = -math.inf
    reader = FieldReader(path, problems)
    for line, fields in CsvTable(path, problems, BATCH_JOB_COLUMNS, has_header=False):
        reader.line = line
        row = _parse_batch_job_row(fields, reader)
        if row is None:
            continue
        start = row.start_seconds
        if start < latest_start:
            reader.record("out of order", f"starts {latest_start - start:g} s before one above")
        latest_start = max(latest_start, start)
        start_ns = round(start * NS_PER_SECOND)
        duration_ns = round((row.end_seconds - start) * NS_PER_SECOND)
        memory_mb = row.memory_percent / 100 * options.machine_mb
        for _ in range(row.instances):
            yield Invocation(start_ns, row.function, duration_ns, memory_mb, row.job)


# Schema `minutes`


class PercentileDistribution:
    """A distribution known by some of its percentiles, interpolated linearly between them."""

    __slots__ = ("percentiles", "values")

    def __init__(self, percentiles: tuple[float, ...], values: tuple[float, ...]) -> None:
        self.percentiles = percentiles
        self.values = values

    def interpolate(self, fraction: float) -> float:
        """Returns the value at a fraction of the distribution, from 0 to 1."""
        percentile = fraction * 100
        right = bisect_right(self.percentiles, percentile)
        if right == 0:
            return self.values[0]
        if right == len(self.percentiles):
            return self.values[-1]
        low, high = self.percentiles[right - 1], self.percentiles[right]
        low_value, high_value = self.values[right - 1], self.values[right]
        part = (percentile - low) / (high - low) if high > low else 0.0
        return low_value + part * (high_value - low_value)


class PercentileSource(NamedTuple):
    """Columns of a quantity's percentiles in a file that accompanies a `minutes` file."""

    key_columns: list[str]
    column_prefix: str
    percentiles: tuple[str, ...]
    maximum: float

    def read(self, path: Path | None, problems: TraceProblems) -> dict[str, PercentileDistribution]:
        """Returns distributions by key (its parts joined by spaces); none without a file."""
        if path is None:
            return {}
        found: dict[str, PercentileDistribution] = {}
        percentiles = tuple(float(percentile) for percentile in self.percentiles)
        columns = [f"{self.column_prefix}{percentile}" for percentile in self.percentiles]
        key_length = len(self.key_columns)
        table = CsvTable(path, problems, [*self.key_columns, *columns], has_header=True)
        reader = FieldReader(path, problems)
        for line, fields in table:
            reader.line = line
            parsed = [
                reader.parse_number(text, self.maximum, column)
                for text, column in zip(fields[key_length:], columns, strict=True)
            ]
            values = sorted(value for value in parsed if value is not None)
            if len(values) == len(columns):
                key = " ".join(fields[:key_length])
                found[key] = PercentileDistribution(percentiles, tuple(values))
        return found


DURATIONS_MS = PercentileSource(
    FUNCTION_COLUMNS, "percentile_Average_", DURATION_PERCENTILES, MAX_DURATION_MS
)
MEMORY_MB = PercentileSource(
    APPLICATION_COLUMNS, "AverageAllocatedMb_pct", MEMORY_PERCENTILES, MAX_MEMORY
)


def _read_counts(counts: list[str], reader: FieldReader) -> Iterator[tuple[int, int]]:
    """Yields the minutes of a row in which the function was called, each with its count.

    An unusable count ends the row: it is recorded once, and the minutes before it are used.
    """
    for minute, text in enumerate(counts):
        if text == "0":
            continue
        count = reader.parse_number(text, MAX_INSTANCES, str(minute + 1))
        if count is None:
            return
        yield minute, int(count)


def _draw_start_times(trigger: str, minute_ns: int, count: int, random: Random) -> list[int]:
    """Returns unsorted times at the start of the minute for timers, else sorted times in it."""
    if trigger == "timer":
        return [minute_ns + random.randrange(TIMER_SPREAD_NS) for _ in range(count)]
    return sorted(minute_ns + random.randrange(NS_PER_MINUTE) for _ in range(count))


def read_minute_counts(
    path: Path, options: ReaderOptions, problems: TraceProblems
) -> Iterator[Invocation]:
    """Reads a file of schema `minutes` row by row; invocations are not sorted by time."""
    durations = DURATIONS_MS.read(options.durations_path, problems)
    memories = MEMORY_MB.read(options.memory_path, problems)
    day_ns = options.day * MINUTES_PER_DAY * NS_PER_MINUTE
    table = CsvTable(path, problems, MINUTE_COUNT_COLUMNS, has_header=True)
    reader = FieldReader(path, problems)
    for line, (owner, app, function, trigger, *counts) in table:
        reader.line = line
        if not function:
            reader.record("empty name", "HashFunction: a name was expected")
            continue
        duration_distribution = durations.get(f"{owner} {app} {function}")
        if duration_distribution is None and options.durations_path is not None:
            reader.record("no duration known", function[:QUOTED_CHARACTERS])
        memory_distribution = memories.get(f"{owner} {app}")
        if memory_distribution is None and options.memory_path is not None:
            reader.record("no memory known", app[:QUOTED_CHARACTERS])
        random = Random(f"{options.seed}:{options.day}:{function}")
        memory_mb = options.default_memory_mb
        if memory_distribution is not None:
            memory_mb = memory_distribution.interpolate(0.5)
        for minute, count in _read_counts(counts, reader):
            minute_ns = day_ns + minute * NS_PER_MINUTE
            for start_ns in _draw_start_times(trigger, minute_ns, count, random):
                duration_ms = options.default_duration_ms
                if duration_distribution is not None:
                    duration_ms = duration_distribution.interpolate(random.random())
                duration_ns = round(duration_ms * NS_PER_MS)
                yield Invocation(start_ns, function, duration_ns, memory_mb, owner)


Reader = Callable[[Path, ReaderOptions, TraceProblems], Iterator[Invocation]]
SCHEMAS: dict[str, Reader] = {
    "minutes": read_minute_counts,
    "invocations": read_invocations,
    "tasks": read_batch_jobs,
}


def guess_schema(path: Path) -> str:
    """Returns the schema that the first row of a file matches. Raises `TraceError`."""
    first_row = next(read_rows(path, TraceProblems(1.0)), None)
    if first_row is not None:
        names = {name.strip() for name in first_row.fields}
        if {"HashFunction", "1", "1440"} <= names:
            return "minutes"
        if {"func", "end_timestamp", "duration"} <= names:
            return "invocations"
        if len(first_row.fields) == len(BATCH_JOB_COLUMNS) or "task_name" in names:
            return "tasks"
    message = f"{path}: no known schema; expected one of {', '.join(SCHEMAS)}"
    raise TraceError(message)

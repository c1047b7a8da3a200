"""Small traces that the project generates itself, in each schema, from a seed.

They resemble public traces: few functions have most of the calls, most are called once or never;
timers fire at the same time, most of them at midnight; durations span four orders of magnitude.
"""

from __future__ import annotations

import csv
import gzip
import hashlib
import io
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import TypeAlias

from martenlead.traces.schemas import (
    APPLICATION_COLUMNS,
    BATCH_JOB_COLUMNS,
    DURATION_PERCENTILES,
    FUNCTION_COLUMNS,
    INVOCATION_COLUMNS,
    MEMORY_PERCENTILES,
    MINUTE_COUNT_COLUMNS,
    MINUTES_PER_DAY,
)

CsvValue: TypeAlias = str | int | float

TRIGGERS = ("http", "timer", "queue", "event")
TIMER_PERIODS_MINUTES = (5, 15, 60, 1440)
POPULARITY_EXPONENT = 1.1
"""Exponent of the Zipf distribution of calls among functions."""
FUNCTIONS_PER_APP = 3
APPS_PER_OWNER = 4
HASH_CHARACTERS = 16
WORKDAY_MINUTES = range(8 * 60 + 1, 18 * 60)
NIGHT_LOAD = 0.4
"""Load outside working hours, as a share of the load within them."""
LOAD_ADDED_BY_DAY = 0.6
UNMEASURED_PERIOD = 20
UNMEASURED_REMAINDER = 7
"""One function of every 20 is missing in the file of durations, as in public traces."""
DURATION_FACTORS = (0.2, 0.3, 0.7, 1, 1.6, 5, 9)
"""The percentiles of durations, relative to the median."""
MEMORY_FACTORS = (0.7, 0.8, 0.9, 1, 1.1, 1.3, 1.4, 1.5)
MIN_POISSON_MEAN = 1e-9
TERMINATED_SHARE = 0.95


@dataclass
class MinuteTables:
    """The rows of the three files of schema `minutes`, each with its header."""

    counts: list[list[CsvValue]]
    durations: list[list[CsvValue]]
    memory: list[list[CsvValue]]


def hash_name(kind: str, number: int) -> str:
    """Returns an anonymised name for a numbered application, function or owner."""
    return hashlib.sha256(f"{kind} {number}".encode()).hexdigest()[:HASH_CHARACTERS]


def write_csv(path: Path, rows: Sequence[Sequence[CsvValue]], compressed: bool) -> Path:
    """Writes rows, as gzip if asked, and returns the path of the file. Raises OSError."""
    path = path.with_name(path.name + (".gz" if compressed else ""))
    buffer = io.StringIO()
    csv.writer(buffer, lineterminator="\n").writerows(rows)
    data = buffer.getvalue().encode()
    # without a modification time in the gzip header, so that a seed always gives the same bytes
    path.write_bytes(gzip.compress(data, mtime=0) if compressed else data)
    return path


def make_minute_tables(
    functions: int, seed: int, max_calls_per_minute: float = 6.0
) -> MinuteTables:
    """Returns the tables of one day.

    `max_calls_per_minute` is the mean of the function that is called most often.
    """
    random = Random(f"minutes {seed}")
    duration_percentiles = [f"percentile_Average_{p}" for p in DURATION_PERCENTILES]
    memory_percentiles = [f"AverageAllocatedMb_pct{p}" for p in MEMORY_PERCENTILES]
    tables = MinuteTables(
        counts=[[*MINUTE_COUNT_COLUMNS]],
        durations=[
            [*FUNCTION_COLUMNS, "Average", "Count", "Minimum", "Maximum", *duration_percentiles]
        ],
        memory=[[*APPLICATION_COLUMNS, "SampleCount", "AverageAllocatedMb", *memory_percentiles]],
    )
    for number in range(functions):
        app = number // FUNCTIONS_PER_APP
        app_key = [hash_name("owner", app // APPS_PER_OWNER), hash_name("app", app)]
        function_key = [*app_key, hash_name("function", number)]
        trigger = TRIGGERS[number % len(TRIGGERS)]
        if number >= functions // 4:
            trigger = random.choice(TRIGGERS)
        mean = max_calls_per_minute / (number + 1) ** POPULARITY_EXPONENT
        counts = _make_counts(trigger, mean, number >= functions // 2, random)
        tables.counts.append([*function_key, trigger, *counts])
        if number % UNMEASURED_PERIOD != UNMEASURED_REMAINDER:
            tables.durations.append([*function_key, *_make_durations(sum(counts), random)])
        if number % FUNCTIONS_PER_APP == 0:
            tables.memory.append([*app_key, *_make_memory(random)])
    return tables


def _make_counts(trigger: str, mean: float, is_called_once: bool, random: Random) -> list[int]:
    """Calls of a function in each minute of a day."""
    counts = [0] * MINUTES_PER_DAY
    if trigger == "timer":
        for minute in range(0, MINUTES_PER_DAY, random.choice(TIMER_PERIODS_MINUTES)):
            counts[minute] = 1
    elif is_called_once:
        counts[random.randrange(MINUTES_PER_DAY)] = 1
    else:
        for minute in range(MINUTES_PER_DAY):
            load = NIGHT_LOAD + LOAD_ADDED_BY_DAY * (minute in WORKDAY_MINUTES)
            counts[minute] = _draw_poisson(random, mean * load)
    return counts


def _make_durations(count: int, random: Random) -> list[CsvValue]:
    """Average, count, minimum, maximum and percentiles, in ms."""
    median_ms = 10 ** random.uniform(1, 4)
    points = [round(median_ms * factor, 1) for factor in DURATION_FACTORS]
    return [round(median_ms, 1), count, points[0], points[-1], *points]


def _make_memory(random: Random) -> list[CsvValue]:
    """Number of samples, average and percentiles, in MB."""
    median_mb = random.uniform(60, 400)
    return [100, round(median_mb), *(round(median_mb * factor) for factor in MEMORY_FACTORS)]


def _draw_poisson(random: Random, mean: float) -> int:
    """Draws from a Poisson distribution: counts the arrivals in a time of `mean` at a rate of 1."""
    if mean < MIN_POISSON_MEAN:
        return 0
    elapsed = random.expovariate(1.0)
    count = 0
    while elapsed < mean:
        count += 1
        elapsed += random.expovariate(1.0)
    return count


def make_invocation_rows(
    functions: int, count: int, seconds: float, seed: int
) -> list[list[CsvValue]]:
    """Returns the rows of a file of schema `invocations`, sorted by end as in the public trace."""
    random = Random(f"invocations {seed}")
    weights = [1 / (number + 1) ** POPULARITY_EXPONENT for number in range(functions)]
    medians = [10 ** random.uniform(-2, 0.5) for _ in range(functions)]
    invocations: list[tuple[float, list[CsvValue]]] = []
    for number in random.choices(range(functions), weights, k=count):
        duration = medians[number] * random.lognormvariate(0, 0.5)
        end = round(random.uniform(0, seconds) + duration, 4)
        app = hash_name("app", number // FUNCTIONS_PER_APP)
        row: list[CsvValue] = [app, hash_name("function", number), end, round(duration, 4)]
        invocations.append((end, row))
    invocations.sort(key=lambda invocation: invocation[0])
    return [[*INVOCATION_COLUMNS], *(row for _, row in invocations)]


def make_batch_job_rows(jobs: int, seconds: int, seed: int) -> list[list[CsvValue]]:
    """Returns the rows of a file of schema `tasks`, sorted by start, without a header."""
    random = Random(f"tasks {seed}")
    rows: list[tuple[int, list[CsvValue]]] = []
    for job in range(1, jobs + 1):
        start = random.randrange(seconds)
        for index in range(random.choice((1, 1, 2, 3))):
            duration = max(1, int(random.lognormvariate(2, 1)))
            rows.append((start, _make_batch_job_row(job, index, start, duration, random)))
            start += duration
    rows.sort(key=lambda row: row[0])
    return [row for _, row in rows]


def _make_batch_job_row(
    job: int, index: int, start: int, duration: int, random: Random
) -> list[CsvValue]:
    """Returns one row; each row of a job depends on the one before it."""
    is_terminated = random.random() < TERMINATED_SHARE
    status = "Terminated" if is_terminated else random.choice(("Failed", "Running"))
    kind = random.choice("123456789")
    name = f"{'MR'[index % 2]}{index + 1}" + (f"_{index}" if index else "")
    end = start + duration if status != "Running" else 0
    instances = random.choice((1, 1, 1, 4, 12))
    cpu = random.choice((50, 100, 200))
    memory = round(random.uniform(0.1, 1.5), 2)
    row: list[CsvValue] = [name, instances, f"j_{job}", kind, status, start, end, cpu, memory]
    assert len(row) == len(BATCH_JOB_COLUMNS)
    return row


def write_samples(folder: Path, seed: int = 1) -> list[Path]:
    """Writes the bundled samples and returns their paths. Raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    day = make_minute_tables(120, seed)
    invocations = make_invocation_rows(60, 3000, 600, seed)
    return [
        write_csv(folder / "minutes.csv", day.counts, compressed=True),
        write_csv(folder / "minutes-durations.csv", day.durations, compressed=False),
        write_csv(folder / "minutes-memory.csv", day.memory, compressed=False),
        write_csv(folder / "invocations.csv", invocations, compressed=True),
        write_csv(folder / "tasks.csv", make_batch_job_rows(300, 3600, seed), compressed=False),
    ]

"""Experiments: a plan crosses scripts, sizes, settings, policies and seeds into jobs, which run in parallel.

The outcome of each job is a Parquet file, written atomically, so an experiment that was stopped continues
with the missing jobs. Outcomes are read in the order of the plan, whichever process ran a job.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from itertools import product
from pathlib import Path
from random import Random
from statistics import fmean
from typing import Annotated, Any, get_args, get_type_hints

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq
from msgspec import Meta

from martenlead.config.load import ConfigError, decode, evaluate
from martenlead.days.script import Day
from martenlead.emulator.job import Job, Outcome, run_job
from martenlead.emulator.policies import find_policy
from martenlead.standins.settings import Settings

RESAMPLES = 2000
CONFIDENCE = 0.95  # Confidence level of the intervals


class Plan(Settings, frozen=True, kw_only=True):
    """The plan of an experiment.

    An axis names a field of the script by its path (`runners.count`); a value that is an object sets several
    fields by their paths. Each value is crossed with those of all other axes, the `policies` and the `seeds`.
    Figures of every policy are compared with those of the `baseline`, seed by seed.
    """

    name: str
    scripts: Annotated[list[str], Meta(min_length=1)]
    axes: dict[str, list[Any]] = msgspec.field(default_factory=dict)
    policies: Annotated[list[str], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["module"])
    baseline: str = "module"
    seeds: Annotated[int, Meta(ge=1, le=1000)] = 3
    audit: bool = False
    minute_of: int | None = None  # Job shown second by second; by default the one with the worst ten seconds


def read_plan(path: Path) -> Plan:
    """Reads a plan. Raises `ConfigError`."""
    plan = decode(evaluate(path), Plan, str(path))
    for index, policy in enumerate(plan.policies):
        try:
            find_policy(policy)
        except ValueError as error:
            raise ConfigError(f"{path}: $.policies[{index}]: {error}") from None
    if plan.baseline not in plan.policies:
        raise ConfigError(f"{path}: $.baseline: expected one of the policies")
    return plan


def make_jobs(plan: Plan, folder: Path) -> list[Job]:
    """Returns the jobs in the order of the plan.

    Paths of scripts are relative to `folder`. Raises `ConfigError`.
    """
    all_jobs = []
    names = list(plan.axes)
    for script in plan.scripts:
        text = evaluate(folder / script)
        script_fields = msgspec.json.decode(msgspec.json.encode(decode(text, Day, script)))
        for values in product(*plan.axes.values()):
            day_fields: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(script_fields))
            axis_values: dict[str, Any] = {}
            for name, value in zip(names, values, strict=True):
                axis_values[name] = value.get("name", value) if isinstance(value, dict) else value
                fields = value if isinstance(value, dict) else {name: value}
                for path, field_value in fields.items():
                    if path != "name":
                        _set_field(day_fields, path, field_value, script)
            try:
                day = msgspec.convert(day_fields, Day)
            except msgspec.ValidationError as error:
                raise ConfigError(f"{plan.name}: $.axes: {error}") from None
            for policy, seed in product(plan.policies, range(1, plan.seeds + 1)):
                all_jobs.append(
                    Job(script=script, day=day, seed=seed, policy=policy, at=axis_values, audit=plan.audit)
                )
    return all_jobs


def _set_field(day_fields: dict[str, Any], path: str, value: Any, script: str) -> None:
    *parts, last = path.split(".")
    parent: Any = day_fields
    for part in parts:
        if isinstance(parent, dict) and isinstance(parent.get(part), dict):
            parent = parent[part]
        else:
            raise ConfigError(f"{script}: $.{path}: no such field in the script")
    parent[last] = value


# -- outcomes on disk

SECONDS_TYPE = pa.list_(
    pa.struct(
        [("second", pa.int64()), ("wanted", pa.float64()), ("earned", pa.float64()), ("loads", pa.int64())]
    )
)
NESTED_TYPES: dict[str, pa.DataType] = {
    "seconds": SECONDS_TYPE,
    "latency": pa.list_(pa.struct([("ms", pa.float64()), ("count", pa.int64())])),
}
COLUMN_TYPES = {str: pa.string(), int: pa.int64(), float: pa.float64()}


def _column(name: str, hint: Any) -> tuple[str, pa.DataType]:
    plain = next((COLUMN_TYPES[kind] for kind in (hint, *get_args(hint)) if kind in COLUMN_TYPES), None)
    return name, NESTED_TYPES.get(name, plain)


SCHEMA = pa.schema([_column(name, hint) for name, hint in get_type_hints(Outcome).items()])


def write_outcome(folder: Path, outcome: Outcome) -> None:
    """Writes an outcome atomically."""
    table = pa.Table.from_pylist([msgspec.to_builtins(outcome)], schema=SCHEMA)
    path = folder / f"{outcome.job}.parquet"
    part = path.with_suffix(f".{os.getpid()}.part")
    pq.write_table(table, part, compression="zstd")
    os.replace(part, path)


def read_outcome(folder: Path, job: Job) -> Outcome | None:
    """Returns the outcome of a job; None if its file is missing or damaged, so that the job runs again."""
    path = folder / f"{job.name()}.parquet"
    if not path.exists():
        return None
    try:
        rows = pq.read_table(path).to_pylist()
        return msgspec.convert(rows[0], Outcome)
    except (OSError, pa.ArrowException, msgspec.ValidationError, IndexError, KeyError):
        return None


def write_table(folder: Path, outcomes: list[Outcome], name: str) -> Path:
    """Writes all outcomes of an experiment into one table and returns its path."""
    path = folder / f"{name}.parquet"
    table = pa.Table.from_pylist([msgspec.to_builtins(o) for o in outcomes], schema=SCHEMA)
    pq.write_table(table, path, compression="zstd")
    return path


# -- running jobs


def _ignore_interrupts() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # The parent process stops its workers


def _run_job(job: Job, folder: str) -> str:
    outcome, _ = run_job(job)
    write_outcome(Path(folder), outcome)
    return outcome.job


def run_jobs(
    all_jobs: list[Job], folder: Path, processes: int, progress: Callable[[int, int], None]
) -> Iterator[tuple[Job, str]]:
    """Runs the jobs without an outcome; yields those that failed, with the reason.

    `progress` gets the number of jobs done, which includes those with an outcome from before, and of all.
    """
    folder.mkdir(parents=True, exist_ok=True)
    missing = [job for job in all_jobs if read_outcome(folder, job) is None]
    done = len(all_jobs) - len(missing)
    progress(done, len(all_jobs))
    with ProcessPoolExecutor(processes, initializer=_ignore_interrupts) as pool:
        running: dict[Future[str], Job] = {}
        remaining = iter(missing)
        try:
            while True:
                for job in remaining:
                    running[pool.submit(_run_job, job, str(folder))] = job
                    if (
                        len(running) >= 2 * processes
                    ):  # Few jobs are submitted ahead, so that a stop takes effect soon
                        break
                if not running:
                    return
                ended, _ = wait(running, return_when=FIRST_COMPLETED)
                for future in ended:
                    job = running.pop(future)
                    error = future.exception()
                    if error is not None:
                        yield job, f"{type(error).__name__}: {error}"
                    done += 1
                    progress(done, len(all_jobs))
        except (KeyboardInterrupt, GeneratorExit):
            pool.shutdown(wait=False, cancel_futures=True)
            raise


# -- comparison with the baseline


class Comparison(msgspec.Struct, frozen=True):
    """A policy compared with the baseline at one combination of axis values.

    `difference` is the mean difference over paired seeds, `low` and `high` its 95% confidence interval.
    """

    script: str
    at: str
    policy: str
    seeds: int
    mean: float
    baseline: float
    difference: float
    low: float
    high: float


def compare(outcomes: list[Outcome], baseline: str, figure: str = "service") -> list[Comparison]:
    """Compares a figure of all policies with the baseline.

    Intervals are by a percentile bootstrap over the pairs, from a fixed seed; with a single seed the interval
    is the difference itself.
    """
    groups: dict[tuple[str, str], dict[str, dict[int, float]]] = {}
    for outcome in outcomes:
        by_policy = groups.setdefault((outcome.script, outcome.at), {})
        value = getattr(outcome, figure)
        if value is not None:
            by_policy.setdefault(outcome.policy, {})[outcome.seed] = float(value)
    results = []
    for (script, at), by_policy in groups.items():
        base = by_policy.get(baseline, {})
        for policy, values in by_policy.items():
            seeds = sorted(values.keys() & base.keys())
            if not seeds:
                continue
            pairs = [values[s] - base[s] for s in seeds]
            chance = Random(f"{script} {at} {policy} {figure}")
            means = sorted(fmean(chance.choices(pairs, k=len(pairs))) for _ in range(RESAMPLES))
            tail = (1 - CONFIDENCE) / 2
            results.append(
                Comparison(
                    script,
                    at,
                    policy,
                    len(seeds),
                    fmean(values[s] for s in seeds),
                    fmean(base[s] for s in seeds),
                    fmean(pairs),
                    means[int(tail * RESAMPLES)],
                    means[int((1 - tail) * RESAMPLES) - 1],
                )
            )
    return results

"""Experiments: a plan crosses scripts, sizes, settings, policies and seeds; jobs run in parallel and are
kept.

Every job's outcome is a Parquet file of its own, written whole or not at all, so an experiment that is
stopped goes on with what is missing. What is read back comes in the plan's order: which process did what
does not show.
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
from martenlead.emulator.job import Job, Outcome, run
from martenlead.emulator.policies import find
from martenlead.standins.settings import Settings

RESAMPLES = 2000
BOTH = 0.95  # of the interval


class Plan(Settings, frozen=True, kw_only=True):
    """`axes` name fields of the script by their path (`runners.count`), or several at once as objects by
    path; each of their values is crossed with all others, `policies` and `seeds`. Figures of every
    policy are compared with those of the `baseline`, seed by seed."""

    name: str
    scripts: Annotated[list[str], Meta(min_length=1)]
    axes: dict[str, list[Any]] = msgspec.field(default_factory=dict)
    policies: Annotated[list[str], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["module"])
    baseline: str = "module"
    seeds: Annotated[int, Meta(ge=1, le=1000)] = 3
    audit: bool = False
    minute_of: int | None = None  # which job's seconds the page shows; the one with the worst ten seconds


def read(path: Path) -> Plan:
    """Raises `BadConfig`."""
    made = decode(evaluate(path), Plan, str(path))
    for at, policy in enumerate(made.policies):
        try:
            find(policy)
        except ValueError as error:
            raise ConfigError(f"{path}: $.policies[{at}]: {error}") from None
    if made.baseline not in made.policies:
        raise ConfigError(f"{path}: $.baseline: one of the policies was expected")
    return made


def jobs(made: Plan, folder: Path) -> list[Job]:
    """In the plan's order; scripts' paths start at `folder`. Raises `BadConfig`."""
    found = []
    names = list(made.axes)
    for script in made.scripts:
        text = evaluate(folder / script)
        whole = msgspec.json.decode(msgspec.json.encode(decode(text, Day, script)))
        for values in product(*made.axes.values()):
            told: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(whole))
            at: dict[str, Any] = {}
            for name, value in zip(names, values, strict=True):
                at[name] = value.get("name", value) if isinstance(value, dict) else value
                several = value if isinstance(value, dict) else {name: value}
                for path, one in several.items():
                    if path != "name":
                        _set(told, path, one, script)
            try:
                day = msgspec.convert(told, Day)
            except msgspec.ValidationError as error:
                raise ConfigError(f"{made.name}: $.axes: {error}") from None
            for policy, seed in product(made.policies, range(1, made.seeds + 1)):
                found.append(Job(script=script, day=day, seed=seed, policy=policy, at=at, audit=made.audit))
    return found


def _set(told: dict[str, Any], path: str, value: Any, script: str) -> None:
    *parts, last = path.split(".")
    at: Any = told
    for part in parts:
        if isinstance(at, dict) and isinstance(at.get(part), dict):
            at = at[part]
        else:
            raise ConfigError(f"{script}: $.{path}: no such field to vary")
    at[last] = value


# -- what was found, on disk

SECONDS = pa.list_(
    pa.struct(
        [("second", pa.int64()), ("wanted", pa.float64()), ("earned", pa.float64()), ("loads", pa.int64())]
    )
)
TYPES: dict[str, pa.DataType] = {
    "seconds": SECONDS,
    "latency": pa.list_(pa.struct([("ms", pa.float64()), ("count", pa.int64())])),
}
PLAIN = {str: pa.string(), int: pa.int64(), float: pa.float64()}


def _column(name: str, hint: Any) -> tuple[str, pa.DataType]:
    plain = next((PLAIN[kind] for kind in (hint, *get_args(hint)) if kind in PLAIN), None)
    return name, TYPES.get(name, plain)


SCHEMA = pa.schema([_column(name, hint) for name, hint in get_type_hints(Outcome).items()])


def keep(folder: Path, outcome: Outcome) -> None:
    """Whole or not at all."""
    table = pa.Table.from_pylist([msgspec.to_builtins(outcome)], schema=SCHEMA)
    path = folder / f"{outcome.job}.parquet"
    part = path.with_suffix(f".{os.getpid()}.part")
    pq.write_table(table, part, compression="zstd")
    os.replace(part, path)


def kept(folder: Path, job: Job) -> Outcome | None:
    """None for one that is not there, or is not whole: then it is done anew."""
    path = folder / f"{job.name()}.parquet"
    if not path.exists():
        return None
    try:
        rows = pq.read_table(path).to_pylist()
        return msgspec.convert(rows[0], Outcome)
    except (OSError, pa.ArrowException, msgspec.ValidationError, IndexError, KeyError):
        return None


def together(folder: Path, outcomes: list[Outcome], name: str) -> Path:
    """All of an experiment in one table."""
    path = folder / f"{name}.parquet"
    table = pa.Table.from_pylist([msgspec.to_builtins(o) for o in outcomes], schema=SCHEMA)
    pq.write_table(table, path, compression="zstd")
    return path


# -- doing it


def _begin() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent stops them


def _do(job: Job, folder: str) -> str:
    outcome, _ = run(job)
    keep(Path(folder), outcome)
    return outcome.job


def do(
    todo: list[Job], folder: Path, processes: int, progress: Callable[[int, int], None]
) -> Iterator[tuple[Job, str]]:
    """Runs what is missing; yields the jobs that failed, and why. What was done before counts as done."""
    folder.mkdir(parents=True, exist_ok=True)
    missing = [job for job in todo if kept(folder, job) is None]
    done = len(todo) - len(missing)
    progress(done, len(todo))
    with ProcessPoolExecutor(processes, initializer=_begin) as pool:
        running: dict[Future[str], Job] = {}
        left = iter(missing)
        try:
            while True:
                for job in left:
                    running[pool.submit(_do, job, str(folder))] = job
                    if len(running) >= 2 * processes:  # the rest waits here: a stop ends soon
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
                    progress(done, len(todo))
        except (KeyboardInterrupt, GeneratorExit):
            pool.shutdown(wait=False, cancel_futures=True)
            raise


# -- what it means


class Compared(msgspec.Struct, frozen=True):
    """A policy against the baseline at one place of the axes: the mean difference over paired seeds, and the
    interval that holds it with 95%."""

    script: str
    at: str
    policy: str
    seeds: int
    mean: float
    baseline: float
    difference: float
    low: float
    high: float


def compare(outcomes: list[Outcome], baseline: str, figure: str = "service") -> list[Compared]:
    """By a percentile bootstrap over the pairs, from a fixed seed. One seed alone has no interval but
    itself."""
    groups: dict[tuple[str, str], dict[str, dict[int, float]]] = {}
    for outcome in outcomes:
        by_policy = groups.setdefault((outcome.script, outcome.at), {})
        value = getattr(outcome, figure)
        if value is not None:
            by_policy.setdefault(outcome.policy, {})[outcome.seed] = float(value)
    found = []
    for (script, at), by_policy in groups.items():
        base = by_policy.get(baseline, {})
        for policy, values in by_policy.items():
            seeds = sorted(values.keys() & base.keys())
            if not seeds:
                continue
            pairs = [values[s] - base[s] for s in seeds]
            chance = Random(f"{script} {at} {policy} {figure}")
            means = sorted(fmean(chance.choices(pairs, k=len(pairs))) for _ in range(RESAMPLES))
            out = (1 - BOTH) / 2
            found.append(
                Compared(
                    script,
                    at,
                    policy,
                    len(seeds),
                    fmean(values[s] for s in seeds),
                    fmean(base[s] for s in seeds),
                    fmean(pairs),
                    means[int(out * RESAMPLES)],
                    means[int((1 - out) * RESAMPLES) - 1],
                )
            )
    return found

"""One emulated day as a job that any process can run: from a script, policy and seed to its figures."""

from __future__ import annotations

import gc
import hashlib
from collections.abc import Callable
from time import perf_counter
from typing import Any

import msgspec

from martenlead.days.script import Day, plan
from martenlead.emulator.fleet import Fleet
from martenlead.emulator.tally import LOG_BIN_WIDTH
from martenlead.standins.settings import Settings


class Job(Settings, frozen=True, kw_only=True):
    """A day to emulate. `at` has the job's values on the axes of its experiment.

    With `audit` the rules are checked, which keeps every record in memory.
    """

    script: str
    day: Day
    seed: int
    policy: str = "module"
    at: dict[str, Any] = msgspec.field(default_factory=dict)
    audit: bool = False

    def name(self) -> str:
        """Returns a hash of the job, equal on all machines: outcomes on disk are found by it."""
        text = msgspec.json.encode(self, order="sorted")
        return hashlib.sha256(text).hexdigest()[:16]


class Second(msgspec.Struct, frozen=True):
    """A second of the day: revenue offered and earned in time, by the requests' start, and loads begun."""

    second: int
    wanted: float
    earned: float
    loads: int


class Bin(msgspec.Struct, frozen=True):
    """A bin of the latency histogram: its middle and its count."""

    ms: float
    count: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a job. All fields but `took_s`, the run time, are the same in each run."""

    job: str
    script: str
    policy: str
    seed: int
    at: str  # JSON
    tasks: int
    tries: int
    service: float
    service_with_late: float
    worst_ten_seconds: float
    p50_ms: float | None
    p90_ms: float | None
    p99_ms: float | None
    p999_ms: float | None
    satisfied: int
    turned_back: int
    scrapped: int
    hand_offs: int
    refused: int
    orders: int
    loads: int
    came_as_told: int
    met: float | None
    customers: str  # JSON: service by tenant
    breaches: int | None  # None without an audit
    events: int
    took_s: float
    seconds: list[Second]
    latency: list[Bin]


def run_job(job: Job, progress: Callable[[float], None] | None = None) -> tuple[Outcome, Fleet]:
    """Runs a job. Raises `ValueError` for a script that is invalid or not supported in virtual time."""
    fleet = Fleet(plan(job.day, job.seed), policy=job.policy, records=job.audit)
    begun = perf_counter()
    before = gc.get_threshold()
    gc.set_threshold(200_000, 20, 1000)  # By default, searching for cycles took a fifth of the run time
    try:
        fleet.run(progress)
    finally:
        gc.set_threshold(*before)
    took_s = perf_counter() - begun
    statistics, summary = fleet.statistics, fleet.statistics.summary()
    breaches = None
    if job.audit:
        breaches = sum(rule["breaches"] for rule in fleet.report()["rules"].values())
    counts = fleet.worker_records.counts
    latency = {name: summary["latency_ms"][name] for name in ("p50", "p90", "p99", "p99.9")}
    seconds = sorted({*statistics.by_second, *statistics.loads})
    by_second = {s: statistics.by_second.get(s, [0.0, 0.0]) for s in seconds}
    outcome = Outcome(
        job=job.name(),
        script=job.script,
        policy=job.policy,
        seed=job.seed,
        at=msgspec.json.encode(job.at, order="sorted").decode(),
        tasks=statistics.requests,
        tries=statistics.attempts,
        service=summary["service"] or 0.0,
        service_with_late=summary["service_with_late"] or 0.0,
        worst_ten_seconds=summary["worst_ten_seconds"] or 0.0,
        p50_ms=latency["p50"],
        p90_ms=latency["p90"],
        p99_ms=latency["p99"],
        p999_ms=latency["p99.9"],
        satisfied=statistics.finals["satisfied"],
        turned_back=statistics.finals["turned back"],
        scrapped=statistics.finals["scrapped"],
        hand_offs=counts["came"],
        refused=counts["refused"],
        orders=counts["order"],
        loads=counts["load"],
        came_as_told=statistics.scheduled_retries,
        met=summary["met"],
        customers=msgspec.json.encode(summary["customers"]).decode(),
        breaches=breaches,
        events=fleet.kernel.events,
        took_s=took_s,
        seconds=[Second(s, w, e, statistics.loads.get(s, 0)) for s, (w, e) in by_second.items()],
        latency=[Bin(_bin_middle_ms(at), n) for at, n in sorted(statistics.latency.bins.items())],
    )
    return outcome, fleet


def _bin_middle_ms(at: int) -> float:
    """Returns the middle of a latency bin."""
    return float(2.718281828459045 ** ((at + 0.5) * LOG_BIN_WIDTH)) / 1000

"""One emulated day as a job that any process can do: its script, its policy and seed in; figures out."""

from __future__ import annotations

import gc
import hashlib
from collections.abc import Callable
from time import perf_counter
from typing import Any

import msgspec

from martenlead.days.script import Day, plan
from martenlead.emulator.fleet import Fleet
from martenlead.emulator.tally import WIDTH
from martenlead.standins.settings import Settings


class Job(Settings, frozen=True, kw_only=True):
    """`at` says where on the axes of its experiment it stands. With `audit` the rules are checked, which
    keeps every record in memory."""

    script: str
    day: Day
    seed: int
    policy: str = "module"
    at: dict[str, Any] = msgspec.field(default_factory=dict)
    audit: bool = False

    def name(self) -> str:
        """The same for the same job, on any machine: what was done already is known by it."""
        text = msgspec.json.encode(self, order="sorted")
        return hashlib.sha256(text).hexdigest()[:16]


class Second(msgspec.Struct, frozen=True):
    """Of the day, by the time of asking: revenue wanted and earned in time; loads begun."""

    second: int
    wanted: float
    earned: float
    loads: int


class Bin(msgspec.Struct, frozen=True):
    ms: float
    count: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What came of a job. `took_s` is the machine's; all else is the same each time."""

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
    customers: str  # JSON: service by customer
    breaches: int | None  # None where there was no audit
    events: int
    took_s: float
    seconds: list[Second]
    latency: list[Bin]


def run(job: Job, progress: Callable[[float], None] | None = None) -> tuple[Outcome, Fleet]:
    """Raises `ValueError` for what a script cannot mean, or what is not in virtual time."""
    fleet = Fleet(plan(job.day, job.seed), policy=job.policy, records=job.audit)
    begun = perf_counter()
    before = gc.get_threshold()
    gc.set_threshold(200_000, 20, 1000)  # looking for cycles among all that lives took a fifth of the time
    try:
        fleet.run(progress)
    finally:
        gc.set_threshold(*before)
    took = perf_counter() - begun
    tally, told = fleet.tally, fleet.tally.told()
    breaches = None
    if job.audit:
        breaches = sum(rule["breaches"] for rule in fleet.report()["rules"].values())
    counts = fleet.runner_records.counts
    latency = {name: told["latency_ms"][name] for name in ("p50", "p90", "p99", "p99.9")}
    seconds = sorted({*tally.by_second, *tally.loads})
    by_second = {s: tally.by_second.get(s, [0.0, 0.0]) for s in seconds}
    outcome = Outcome(
        job=job.name(),
        script=job.script,
        policy=job.policy,
        seed=job.seed,
        at=msgspec.json.encode(job.at, order="sorted").decode(),
        tasks=tally.tasks,
        tries=tally.tries,
        service=told["service"] or 0.0,
        service_with_late=told["service_with_late"] or 0.0,
        worst_ten_seconds=told["worst_ten_seconds"] or 0.0,
        p50_ms=latency["p50"],
        p90_ms=latency["p90"],
        p99_ms=latency["p99"],
        p999_ms=latency["p99.9"],
        satisfied=tally.finals["satisfied"],
        turned_back=tally.finals["turned back"],
        scrapped=tally.finals["scrapped"],
        hand_offs=counts["came"],
        refused=counts["refused"],
        orders=counts["order"],
        loads=counts["load"],
        came_as_told=tally.came,
        met=told["met"],
        customers=msgspec.json.encode(told["customers"]).decode(),
        breaches=breaches,
        events=fleet.kernel.events,
        took_s=took,
        seconds=[Second(s, w, e, tally.loads.get(s, 0)) for s, (w, e) in by_second.items()],
        latency=[Bin(_ms(at), n) for at, n in sorted(tally.latency.bins.items())],
    )
    return outcome, fleet


def _ms(at: int) -> float:
    """The middle of a bin."""
    return float(2.718281828459045 ** ((at + 0.5) * WIDTH)) / 1000

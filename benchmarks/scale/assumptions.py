"""Assumptions where the operators state no figure: a value and a range for each, and the derived rates."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields, replace
from typing import Any

import numpy as np

from benchmarks.scale.popularity import Popularity
from benchmarks.scale.sizes import FleetSize

MINUTE_S = 60.0
HOUR_S = 3600.0
KB, MB = 1e3, 1e6
FULL_SIZE = FleetSize()


@dataclass(frozen=True, slots=True)
class Budget:
    """The operators' limits on the cost of the control plane; the first four apply to one dispatcher."""

    cpu_cores: float = 0.02
    memory_mb: float = 64
    traffic_kb_per_second: float = 14
    step_ms: float = 5
    in_force_s: float = 3
    cold_start_s: float = 1.6
    control_machines: int = 5


@dataclass(frozen=True, slots=True)
class Assumed:
    """An assumed value, the range in which it may lie, and what changes across that range."""

    value: float
    low: float
    high: float
    unit: str
    effect: str


@dataclass(frozen=True, slots=True)
class Assumptions:
    """The values that the stated fleet size does not determine."""

    instances_per_worker: Assumed = Assumed(
        10, 5, 20, "instances", "15,400 to 3,850 workers: membership and rendezvous in proportion"
    )
    record_bytes: Assumed = Assumed(
        27, 27, 200, "bytes", "the journal's record, or a JSON line: snapshots and deltas in proportion"
    )
    records_per_replacement: Assumed = Assumed(
        3, 2, 4, "records", "draining, gone, up again: deltas in proportion"
    )
    zipf_exponent: Assumed = Assumed(2.5, 2.45, 3.0, "", "share of rare functions and of their calls")
    keep_alive: Assumed = Assumed(300, 60, 3600, "s", "cold starts of rare functions")
    event_bytes: Assumed = Assumed(
        121, 107, 121, "bytes a call", "planner link (docs/measured/planner.md): its traffic in proportion"
    )
    change_bytes: Assumed = Assumed(
        2000, 200, 100_000, "bytes", "one configuration change as sent, in proportion"
    )
    placement_bytes: Assumed = Assumed(
        12, 8, 40, "bytes", "one replica's place as told: function, worker, state; in proportion"
    )
    workers_per_rack: Assumed = Assumed(30, 16, 48, "workers", "what one rack takes with it")
    instance_mb: Assumed = Assumed(500, 50, 5000, "MB", "bytes that a cold zone reads, in proportion")
    control_cores: Assumed = Assumed(16, 8, 64, "cores a machine", "planners that fit the 5 machines")
    control_memory_gb: Assumed = Assumed(64, 32, 256, "GB a machine", "mirrors that fit the 5 machines")


@dataclass(frozen=True, slots=True)
class Setting:
    """A fleet size and a value for each assumption."""

    size: FleetSize
    failures_per_day: float
    replacements_per_day: float
    zipf_offset: float
    values: Assumptions

    def value(self, name: str) -> float:
        """Returns the value of an assumption."""
        found: Assumed = getattr(self.values, name)
        return found.value

    @property
    def workers(self) -> float:
        """The number of workers of the full fleet."""
        return FULL_SIZE.instances / self.value("instances_per_worker")

    @property
    def snapshot_bytes(self) -> float:
        """Bytes of a snapshot of the membership list."""
        return self.workers * self.value("record_bytes")

    @property
    def membership_records_per_day(self) -> float:
        """Membership records sent per day for failed and replaced workers."""
        return (self.failures_per_day + self.replacements_per_day) * self.value("records_per_replacement")

    @property
    def popularity(self) -> Popularity:
        """The distribution of calls over functions."""
        return Popularity(self.size.functions, self.value("zipf_exponent"), self.zipf_offset)

    @property
    def rates(self) -> Any:
        """Calls per second of each function in the whole fleet."""
        return self.popularity.rates(self.size.calls_per_second)

    def functions_met(self, seconds: float) -> float:
        """The expected number of distinct functions that one dispatcher is called for."""
        return self.popularity.expected_distinct(self.size.calls_per_dispatcher * seconds)

    def rare_cold_share(self, sharing: float) -> float:
        """The share of rare functions' calls that arrive more than the keep-alive after the previous call.

        `sharing` is the share of all dispatchers that use the same replica.
        """
        rates = self.rates
        rates = rates[rates < 1 / MINUTE_S] * sharing
        if not len(rates):
            return 0.0
        return float((rates * np.exp(-rates * self.value("keep_alive"))).sum() / rates.sum())

    def cold_starts_per_second(self, sharing: float) -> float:
        """Cold starts per second in the fleet; `sharing` is the share of dispatchers that use one replica."""
        rates = self.rates
        return float((rates * np.exp(-rates * sharing * self.value("keep_alive"))).sum())

    @property
    def rare_call_share(self) -> float:
        """The share of all calls that go to functions called less than once a minute."""
        rates = self.rates
        return float(rates[rates < 1 / MINUTE_S].sum() / rates.sum())


DEFAULT = Setting(FULL_SIZE, 2, 110, 50.0, Assumptions())
BUDGET = Budget()


def varied(setting: Setting) -> Iterator[Setting]:
    """Yields the setting with one assumption at a time at either end of its range."""
    for each in fields(Assumptions):
        assumption: Assumed = getattr(setting.values, each.name)
        for end in (assumption.low, assumption.high):
            values = replace(setting.values, **{each.name: replace(assumption, value=end)})
            yield replace(setting, values=values)

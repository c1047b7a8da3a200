"""The size of a fleet, the stated assumptions behind it, and the limits of the machine that measures it."""

from __future__ import annotations

import os
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

SECONDS_PER_DAY = 86_400
MAX_WORKERS = 20_000  # what one membership frame may hold
MAX_DISPATCHERS = 1_000_000  # what a configuration may say
LEAST_FREE = 20  # a run stops where less than this part of the machine's memory is free
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class BadSize(ValueError):
    """A size that cannot be measured; the text is one line for the user."""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """One point to measure. `calls_per_second` is the whole fleet's."""

    dispatchers: int = 450
    workers: int = 7_700
    instances_per_worker: int = 10
    functions: int = 11_000
    calls_per_second: float = 50_000.0
    changes_per_day: int = 490
    zones: int = 10
    regions: int = 3

    def __post_init__(self) -> None:
        """Raises BadSize for a size that is not positive."""
        for name, value in asdict(self).items():
            if not 0 < value < 1e12:
                raise BadSize(f"{name} has to be a number above zero, not {value}")
        if self.workers > MAX_WORKERS:
            raise BadSize(f"workers: one membership frame holds at most {MAX_WORKERS}, not {self.workers}")
        if self.dispatchers > MAX_DISPATCHERS:
            raise BadSize(f"dispatchers: at most {MAX_DISPATCHERS}, not {self.dispatchers}")

    @property
    def instances(self) -> int:
        return self.workers * self.instances_per_worker

    @property
    def calls_per_dispatcher(self) -> float:
        return self.calls_per_second / self.dispatchers

    def with_values(self, **changes: Any) -> FleetSize:
        """The same size with some values replaced. Raises BadSize."""
        return replace(self, **changes)

    def record(self) -> dict[str, float]:
        """The size as it stands in a record."""
        return {
            "dispatchers": self.dispatchers,
            "workers": self.workers,
            "instances": self.instances,
            "functions": self.functions,
            "calls_per_second": self.calls_per_second,
            "changes_per_day": self.changes_per_day,
            "zones": self.zones,
        }


@dataclass(frozen=True, slots=True)
class Assumptions:
    """What the size leaves open. Times are seconds unless the name says otherwise."""

    zipf_exponent: float = 2.5
    zipf_offset: float = 50.0
    keep_alive: float = 300.0
    load_shortest: float = 0.96
    load_longest: float = 1.6
    run_shortest: float = 0.02
    run_longest: float = 0.06
    concurrency_per_instance: int = 4
    dispatcher_memory_limit_mb: float = 1_024.0


def total_memory_bytes() -> int:
    """The machine's memory."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES


def available_memory_bytes() -> int:
    """What the machine could give to a new process now."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        name, value = line.split(":")
        if name == "MemAvailable":
            return int(value.split()[0]) * 1024
    return total_memory_bytes()


def resident_bytes() -> int:
    """The resident set of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def check_memory(estimate_bytes: float) -> None:
    """Raises BadSize where the estimate is over half of the machine's memory, or over what is free."""
    half, available = total_memory_bytes() // 2, available_memory_bytes()
    if estimate_bytes > half:
        raise BadSize(f"about {estimate_bytes / 1e9:.1f} GB, over half of the machine's memory")
    if estimate_bytes > available:
        raise BadSize(f"about {estimate_bytes / 1e9:.1f} GB, only {available / 1e9:.1f} GB are free now")


def check_memory_in_use() -> None:
    """Raises BadSize where this process has come over its bound, or the machine is short of memory."""
    if resident_bytes() > total_memory_bytes() // 2:
        raise BadSize("stopped: over half of the machine's memory is in use")
    if available_memory_bytes() < total_memory_bytes() // LEAST_FREE:
        raise BadSize("stopped: the machine is short of memory")

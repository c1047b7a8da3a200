"""The size of a fleet, the assumptions about it, and the limits of the machine that measures it."""

from __future__ import annotations

import os
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

SECONDS_PER_DAY = 86_400
MAX_WORKERS = 20_000  # Largest number of workers in one membership frame.
MAX_DISPATCHERS = 1_000_000  # Largest number that a configuration accepts.
MIN_FREE_DIVISOR = 20  # A run stops when less than 1/20 of the machine's memory is available.
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class BadSize(ValueError):
    """A size that cannot be measured; the message is one line for the user."""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of a fleet. `calls_per_second` is the rate of the complete fleet."""

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
        """The number of instances of all workers."""
        return self.workers * self.instances_per_worker

    @property
    def calls_per_dispatcher(self) -> float:
        """Calls per second at one dispatcher."""
        return self.calls_per_second / self.dispatchers

    def with_values(self, **changes: Any) -> FleetSize:
        """Returns the size with some values replaced. Raises BadSize."""
        return replace(self, **changes)

    def record(self) -> dict[str, float]:
        """Returns the size as written in a record."""
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
    """Values that the size does not determine. Times are in seconds."""

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
    """Returns the total memory of the machine."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES


def available_memory_bytes() -> int:
    """Returns the memory that is available to a new process."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        name, value = line.split(":")
        if name == "MemAvailable":
            return int(value.split()[0]) * 1024
    return total_memory_bytes()


def resident_bytes() -> int:
    """Returns the resident set size of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def check_memory(estimate_bytes: float) -> None:
    """Raises BadSize where the estimate exceeds half of the total memory, or the available memory."""
    half, available = total_memory_bytes() // 2, available_memory_bytes()
    if estimate_bytes > half:
        raise BadSize(f"about {estimate_bytes / 1e9:.1f} GB, over half of the machine's memory")
    if estimate_bytes > available:
        raise BadSize(f"about {estimate_bytes / 1e9:.1f} GB, only {available / 1e9:.1f} GB are free now")


def check_memory_in_use() -> None:
    """Raises BadSize where this process uses over half of the memory, or too little is available."""
    if resident_bytes() > total_memory_bytes() // 2:
        raise BadSize("stopped: over half of the machine's memory is in use")
    if available_memory_bytes() < total_memory_bytes() // MIN_FREE_DIVISOR:
        raise BadSize("stopped: the machine is short of memory")

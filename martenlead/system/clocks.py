"""The one module that reads the wall clock and the boot clock.

Three clocks are in use, and only one of them may be stepped:

- The monotonic clock (`time.monotonic_ns`) measures deadlines, windows, waits and leases within a
  process. Any module may read it.
- The boot clock counts from the boot of the machine and is the same for all processes on it.
  Together with the boot ID it measures time spans between two runs of a process.
- The wall clock (Unix time) may be stepped at any time, forward or back. It is only read where a
  time comes from, or goes to, another machine, a person or a later boot of the machine, and each
  use is listed with its reason in tests/test_wall_clock_contract.py.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")

# The clocks are module attributes so that tests can replace them with clocks that step.
_read_wall: Callable[[], int] = time.time_ns
_read_boot: Callable[[int], int] = time.clock_gettime_ns


class Moment(NamedTuple):
    """A point in time from which a later run of a process can measure."""

    wall: int  # Unix time, ns
    boot: str  # boot ID, empty if unknown
    uptime: int  # time since boot, ns


def wall_ns() -> int:
    """Returns Unix time in ns. It may go backwards between two calls."""
    return _read_wall()


def uptime_ns() -> int:
    """Returns the time since boot in ns, including suspended time. It is never stepped."""
    return _read_boot(time.CLOCK_BOOTTIME)


def boot_id() -> str:
    """Returns the ID of the boot that `uptime_ns` counts from, or an empty string if unknown."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


def moment() -> Moment:
    """Returns the present time by the wall clock and the boot clock."""
    return Moment(wall_ns(), boot_id(), uptime_ns())


def unix_clock() -> Callable[[], int]:
    """Returns a clock, in ns, that starts at Unix time and advances with the monotonic clock.

    Later steps of the wall clock do not affect it.
    """
    offset_ns = wall_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset_ns


def is_same_boot(then: Moment, now: Moment) -> bool:
    """Whether both moments are of one boot, so that the boot clock measures the time between."""
    return bool(then.boot) and then.boot == now.boot and now.uptime >= then.uptime


def passed(then: Moment, now: Moment) -> int:
    """Returns the time between two moments in ns, which is never negative.

    It is exact within one boot. Otherwise it is measured by the wall clock, including its steps.
    """
    return certainly_passed(then, now) if is_same_boot(then, now) else max(0, now.wall - then.wall)


def certainly_passed(then: Moment, now: Moment) -> int:
    """Returns the least time that can have passed between two moments, in ns.

    It does not depend on the wall clock. It is 0 across boots: the folder may have moved to a
    machine that has been up for long.
    """
    return now.uptime - then.uptime if is_same_boot(then, now) else 0

"""The one module that reads the wall clock and the boot clock.

Three clocks are in use, and only one of them may be stepped:

- The monotonic clock (`time.monotonic_ns`) measures deadlines, windows, waits and leases within a
  process. Any module may read it.
- The boot clock counts from the start of the machine and is the same for all processes on it.
  Together with the name of that start it measures spans between two runs of a process.
- The wall clock (Unix time) may be stepped at any time, forward or back. It is only read where a
  time comes from, or goes to, another machine, a person or a later start of the machine, and each
  use is named with its reason in tests/test_wall_clock_contract.py.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")

# what is read, as module attributes: a test replaces them by clocks that step
_read_wall: Callable[[], int] = time.time_ns
_read_boot: Callable[[int], int] = time.clock_gettime_ns


class Moment(NamedTuple):
    """A time in the form that later lives of a process can measure from."""

    wall: int  # Unix time, ns
    boot: str  # name of the start of the machine, empty where it is not known
    uptime: int  # since that start, ns


def wall_ns() -> int:
    """Unix time, ns. It may be less than it was a moment ago."""
    return _read_wall()


def uptime_ns() -> int:
    """Time since the machine started, ns, the time that it slept included. It is never stepped."""
    return _read_boot(time.CLOCK_BOOTTIME)


def boot_id() -> str:
    """Which start of the machine `uptime_ns` counts from; empty where the system does not tell."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


def moment() -> Moment:
    """Now."""
    return Moment(wall_ns(), boot_id(), uptime_ns())


def unix_clock() -> Callable[[], int]:
    """A clock that shows Unix time as of now, ns, and runs on with the monotonic clock.

    Later steps of the wall clock do not reach it.
    """
    ahead = wall_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + ahead


def is_same_boot(then: Moment, now: Moment) -> bool:
    """Whether the boot clock measures the span between the two."""
    return bool(then.boot) and then.boot == now.boot and now.uptime >= then.uptime


def passed(then: Moment, now: Moment) -> int:
    """The span between two moments, ns.

    Exact within one start of the machine, else by the wall clock, whose steps show in it, and never
    below zero.
    """
    return certainly_passed(then, now) if is_same_boot(then, now) else max(0, now.wall - then.wall)


def certainly_passed(then: Moment, now: Moment) -> int:
    """The least that the span between two moments can have been, ns, whatever the wall clock says.

    Another start says nothing: the folder may have moved to a machine that has been up for long.
    """
    return now.uptime - then.uptime if is_same_boot(then, now) else 0

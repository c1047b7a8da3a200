"""Time limits that use a single timer each, rounded up to whole milliseconds.

anyio sets the timer of a deadline again until the loop's time has passed the deadline. uvloop
counts both its time and its timers in whole milliseconds. The last fraction of a millisecond would
be a timer of 0 ms that fires again and again until the millisecond is over: hundreds of iterations
of the loop, and more if its clock stands still meanwhile.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

MS_PER_SECOND = 1000


@contextmanager
def time_limit(seconds: float) -> Iterator[anyio.CancelScope]:
    """Limits a block as `anyio.move_on_after` does; it may last up to a millisecond longer."""
    delay = math.ceil(seconds * MS_PER_SECOND) / MS_PER_SECOND
    with anyio.CancelScope() as scope:
        timer = asyncio.get_running_loop().call_later(delay, scope.cancel)
        try:
            yield scope
        finally:
            timer.cancel()

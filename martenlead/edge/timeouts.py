"""Time limits that cost one timer of whole milliseconds each.

anyio sets the timer of a deadline again until the loop's time has passed the deadline. The faster
event loop counts both its time and its timers in whole milliseconds. What is left of a deadline
below that is a timer of 0 ms, due at once, again and again until the millisecond is over: hundreds
of turns of the loop, and more where its clock stands still meanwhile.
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

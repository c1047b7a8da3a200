"""Waits with an end, of one timer in whole milliseconds.

anyio sets a deadline's timer anew until the loop's time has passed it. The faster event loop counts both time
and timers in whole ms: what is left of a deadline below that is a timer of 0 ms, due at once, again and again
until the ms is over: hundreds of turns of the loop, and more where its clock stands still meanwhile.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio


@contextmanager
def time_limit(seconds: float) -> Iterator[anyio.CancelScope]:
    """As `anyio.move_on_after`; may last up to a ms longer."""
    with anyio.CancelScope() as scope:
        timer = asyncio.get_running_loop().call_later(math.ceil(seconds * 1000) / 1000, scope.cancel)
        try:
            yield scope
        finally:
            timer.cancel()

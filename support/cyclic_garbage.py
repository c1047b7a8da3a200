"""Finds received data that only a run of the garbage collector would release.

The collector counts objects and not their bytes. So a few thousand connections that ended can hold all memory
of a process before it runs, if a reference cycle keeps what was received on them.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Iterator
from contextlib import contextmanager

LARGE_BUFFER_BYTES = 4_096
"""Smallest buffer that counts: what tests send is larger, and what programs keep anyway is smaller."""
BUFFER_TYPES = (bytes, bytearray, str)


@contextmanager
def collector_disabled() -> Iterator[None]:
    """Collects what is there, and then disables automatic collections."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def describe_garbage_buffers() -> list[str]:
    """Collects, and returns the size and the owner's type of each large buffer that waited for that."""
    flags = gc.get_debug()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        gc.collect()
        garbage = list(gc.garbage)
    finally:
        gc.set_debug(flags)
        gc.garbage.clear()
    found: dict[int, str] = {}
    for owner in garbage:
        for referent in gc.get_referents(owner):
            if isinstance(referent, BUFFER_TYPES) and sys.getsizeof(referent) >= LARGE_BUFFER_BYTES:
                found[id(referent)] = f"{sys.getsizeof(referent)} bytes held by {type(owner).__name__}"
    return sorted(found.values())

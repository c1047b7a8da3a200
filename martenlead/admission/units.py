"""Conversion of time units to nanoseconds."""

from __future__ import annotations

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1000 * NS_PER_MS


def seconds_to_ns(seconds: float) -> int:
    """Converts seconds to whole nanoseconds, rounded down."""
    return int(seconds * NS_PER_SECOND)

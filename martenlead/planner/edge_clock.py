"""Estimates an edge's clock from the times in its messages."""

from __future__ import annotations

from collections.abc import Callable

MAX_CLOCK_DRIFT = 100e-6  # largest relative rate difference; an offset is lowered by it with age


class EdgeClock:
    """The planner's estimate of an edge's clock.

    The fastest message is assumed to have had no delay. Only differences of the planner's own clock
    are used, so its absolute time does not matter.
    """

    def __init__(self, own_clock: Callable[[], int]) -> None:
        self.own_clock = own_clock
        self.offset_ns = 0
        self.offset_measured_ns: int | None = None

    def record_edge_time(self, edge_time_ns: int) -> None:
        """Updates the estimate with the edge's time in a message that has just arrived."""
        now_ns = self.own_clock()
        offset_ns = edge_time_ns - now_ns
        if self.offset_measured_ns is not None:
            drift_ns = int(MAX_CLOCK_DRIFT * (now_ns - self.offset_measured_ns))
            if offset_ns <= self.offset_ns - drift_ns:
                return
        self.offset_ns, self.offset_measured_ns = offset_ns, now_ns

    def __call__(self) -> int:
        """Returns the current time of the edge in ns."""
        return self.own_clock() + self.offset_ns

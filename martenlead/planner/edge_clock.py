"""An estimate of an edge's clock, from the times in its messages."""

from __future__ import annotations

from collections.abc import Callable

MAX_CLOCK_DRIFT = 100e-6  # the share by which two clocks may differ; an offset ages by it


class EdgeClock:
    """The edge's clock, as the planner knows it.

    The message that arrived fastest is taken to have had no delay. Only differences of the own
    clock are used, so it may show any time.
    """

    def __init__(self, own_clock: Callable[[], int]) -> None:
        self.own_clock = own_clock
        self.offset_ns = 0
        self.offset_measured_ns: int | None = None

    def record_edge_time(self, edge_time_ns: int) -> None:
        """Takes in the edge's time from a message that has just arrived."""
        now_ns = self.own_clock()
        offset_ns = edge_time_ns - now_ns
        if self.offset_measured_ns is not None:
            drift_ns = int(MAX_CLOCK_DRIFT * (now_ns - self.offset_measured_ns))
            if offset_ns <= self.offset_ns - drift_ns:
                return
        self.offset_ns, self.offset_measured_ns = offset_ns, now_ns

    def __call__(self) -> int:
        """The edge's time now, ns."""
        return self.own_clock() + self.offset_ns

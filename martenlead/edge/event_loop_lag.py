"""Measures the current lag of the event loop.

The policy uses the lag as its tick, the margin that it leaves before deadlines. Listeners use the
samples to find how long a request may have waited in the kernel before it was read.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio
import structlog

SAMPLE_INTERVAL_NS = 10_000_000
WINDOW_NS = 1_000_000_000  # maximum age of the samples that determine the tick
# The tick is this quantile of the lags in the window, which is the second longest: a single stall
# does not count.
QUANTILE = 0.99
# Each report is an event of the capture, so the tick is lowered only after this many samples.
SAMPLES_BEFORE_DECREASE = 10
LONGEST_TICK_NS = 100_000_000
NS_PER_SECOND = 1e9
SAMPLE_LIMIT = 64  # kept for `earliest_arrival`, which is called soon after a read
# Shorter waits in the kernel are ignored: well within the tolerance of a forwarded deadline.
UNREMARKABLE_WAIT_NS = 60_000_000
STALL_NS = 250_000_000  # a longer lag is logged: it takes a large part of the time of a request
NS_PER_MS = 1_000_000


class EventLoopLag:
    """Measures the tick: a high quantile of the event loop's lag in the last second.

    A single past stall says little about the next one, and a margin of its length before each
    deadline would cause short requests to be rejected. Two stalls within a second count as long as
    both are in the window.
    """

    def __init__(
        self, clock: Callable[[], int], least_tick_ns: int, report: Callable[[int], None]
    ) -> None:
        """`report` is called with each new tick, in ns."""
        self.clock, self.tick_ns, self.worst_ns = clock, least_tick_ns, 0
        self._least_ns, self._report = least_tick_ns, report
        self._lags: deque[tuple[int, int]] = deque()  # (time, lag) of each sample in the window
        self._since_report = 0
        self._log = structlog.get_logger()
        self._samples: deque[int] = deque(maxlen=SAMPLE_LIMIT)  # times of the last samples

    def earliest_arrival(self, read_ns: int) -> int:
        """Returns the earliest time at which a request that was read at `read_ns` may have arrived.

        Between two samples the event loop polls its sockets at least once and reads their input,
        in whatever order it runs timers and sockets. So input that is read now arrived after the
        last sample but one. If the loop has stalled since, that is long ago; otherwise the
        difference is ignored.
        """
        last = len(self._samples) - 1
        while last >= 0 and self._samples[last] > read_ns:
            last -= 1
        if last < 0:
            return read_ns
        earliest_ns = self._samples[max(0, last - 1)]
        return earliest_ns if read_ns - earliest_ns > UNREMARKABLE_WAIT_NS else read_ns

    async def run(self) -> None:
        """Takes samples until it is cancelled."""
        while True:
            before_ns = self.clock()
            self._samples.append(before_ns)
            await anyio.sleep(SAMPLE_INTERVAL_NS / NS_PER_SECOND)
            now_ns = self.clock()
            self._add_sample(now_ns, now_ns - before_ns - SAMPLE_INTERVAL_NS)

    def _add_sample(self, now_ns: int, lag_ns: int) -> None:
        """Adds a sample. Reports a higher tick at once, a lower one only after some samples."""
        self.worst_ns = max(self.worst_ns, lag_ns)
        if lag_ns > STALL_NS:
            self._log.warning("event_loop_stalled", lag_ms=lag_ns // NS_PER_MS)
        self._lags.append((now_ns, lag_ns))
        while self._lags[0][0] <= now_ns - WINDOW_NS:
            self._lags.popleft()
        self._since_report += 1
        tick_ns = min(max(self._least_ns, self._quantile_ns()), LONGEST_TICK_NS)
        may_decrease = self._since_report >= SAMPLES_BEFORE_DECREASE
        if tick_ns > self.tick_ns or (tick_ns < self.tick_ns and may_decrease):
            self.tick_ns, self._since_report = tick_ns, 0
            self._report(tick_ns)

    def _quantile_ns(self) -> int:
        ascending = sorted(lag_ns for _, lag_ns in self._lags)
        return ascending[int(QUANTILE * (len(ascending) - 1))]

"""How late the event loop is at present.

The policy leaves the lag as room before deadlines (its tick). Listeners ask how long a request may
have lain unread by the time it is read.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio

SAMPLE_INTERVAL_NS = 10_000_000
WINDOW_NS = 1_000_000_000  # of the samples that the tick is taken from
QUANTILE = (
    0.99  # of the lags in the window: the second longest, so that one stall alone does not count
)
SAMPLES_PER_FALL = 10  # from one report to a lower one: each is an event of a capture
LONGEST_TICK_NS = 100_000_000
NS_PER_SECOND = 1e9
SAMPLE_LIMIT = 64  # a request is looked up soon after it was read
# time unread that is not counted: well within the slack of a deadline that is passed on
UNREMARKABLE_WAIT_NS = 60_000_000


class EventLoopLag:
    """Measures the tick: a high quantile of the event loop's lag in the last second.

    A stall that is over says little about the next one: room for it before each deadline would have
    short requests rejected. Two stalls within a second count, for as long as both lie in it.
    """

    def __init__(
        self, clock: Callable[[], int], least_tick_ns: int, report: Callable[[int], None]
    ) -> None:
        """`report` is called with each new tick, in ns."""
        self.clock, self.tick_ns, self.worst_ns = clock, least_tick_ns, 0
        self._least_ns, self._report = least_tick_ns, report
        self._lags: deque[tuple[int, int]] = deque()  # of the window: when measured, and the lag
        self._since_report = 0
        self._samples: deque[int] = deque(maxlen=SAMPLE_LIMIT)  # when each sample was taken

    def earliest_arrival(self, read_ns: int) -> int:
        """The earliest moment at which a request that was read at `read_ns` may have arrived.

        Between two samples the loop has polled its sockets at least once and read what was there,
        in whatever order it runs timers and sockets. So what is read now arrived after the sample
        before the last one. Where the loop stalled since, that is long ago; otherwise the
        difference is left out.
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
        """Reports a higher tick at once, and a lower one now and then."""
        self.worst_ns = max(self.worst_ns, lag_ns)
        self._lags.append((now_ns, lag_ns))
        while self._lags[0][0] <= now_ns - WINDOW_NS:
            self._lags.popleft()
        self._since_report += 1
        tick_ns = min(max(self._least_ns, self._quantile_ns()), LONGEST_TICK_NS)
        may_fall = self._since_report >= SAMPLES_PER_FALL
        if tick_ns > self.tick_ns or (tick_ns < self.tick_ns and may_fall):
            self.tick_ns, self._since_report = tick_ns, 0
            self._report(tick_ns)

    def _quantile_ns(self) -> int:
        ascending = sorted(lag_ns for _, lag_ns in self._lags)
        return ascending[int(QUANTILE * (len(ascending) - 1))]

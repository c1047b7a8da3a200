"""How late the event loop is at present: the policy's tick, which it leaves as room before deadlines, and how
long a request may have lain unread when it is read at last."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio

SAMPLE_INTERVAL = 10_000_000  # ns
WINDOW = 1_000_000_000  # ns of samples that the tick is taken from
QUANTILE = 0.99  # of the lags in the window: the second longest, so that a stall alone tells of no next one
SAMPLES_PER_FALL = 10  # from one report to a lower one: each is a line of a capture
LONGEST_TICK = 100_000_000  # ns
NS_PER_SECOND = 1e9
SAMPLES_KEPT = 64  # a request is looked up soon after it was read
UNREMARKABLE_WAIT = (
    60_000_000  # ns unread that are not counted: well within the slack of a deadline passed on
)


class EventLoopLag:
    """The tick is what the event loop achieves: a high quantile of its lag in the last second. All in ns.

    A stall that is over says little about the next one: room for it before each deadline would have short
    requests rejected. Two in a second count, for as long as both lie in it.
    """

    def __init__(self, clock: Callable[[], int], tick: int, report: Callable[[int], None]) -> None:
        """`tick` is the least; `report` is called with each new one."""
        self.clock, self.tick_ns, self.worst_ns = clock, tick, 0
        self._least, self._report = tick, report
        self._lags: deque[tuple[int, int]] = deque()  # of the window: when each was measured, and it
        self._since_report = 0
        self._samples: deque[int] = deque(maxlen=SAMPLES_KEPT)  # when each sample was taken

    def earliest_arrival(self, read_at: int) -> int:
        """The earliest moment at which a request that was read at `read_at` may have arrived.

        Between two samples the loop has polled its sockets at least once and read what was there, in whatever
        order it runs timers and sockets: so what is read now arrived after the sample before the last one.
        Where the loop stalled since, that is long ago; otherwise the difference is left out.
        """
        last = len(self._samples) - 1
        while last >= 0 and self._samples[last] > read_at:
            last -= 1
        if last < 0:
            return read_at
        earliest = self._samples[max(0, last - 1)]
        return earliest if read_at - earliest > UNREMARKABLE_WAIT else read_at

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            before = self.clock()
            self._samples.append(before)
            await anyio.sleep(SAMPLE_INTERVAL / NS_PER_SECOND)
            now = self.clock()
            self._note(now, now - before - SAMPLE_INTERVAL)

    def _note(self, now: int, lag: int) -> None:
        """Reports a higher tick at once, and a lower one now and then."""
        self.worst_ns = max(self.worst_ns, lag)
        self._lags.append((now, lag))
        while self._lags[0][0] <= now - WINDOW:
            self._lags.popleft()
        self._since_report += 1
        tick = min(max(self._least, self._quantile()), LONGEST_TICK)
        if tick > self.tick_ns or (tick < self.tick_ns and self._since_report >= SAMPLES_PER_FALL):
            self.tick_ns, self._since_report = tick, 0
            self._report(tick)

    def _quantile(self) -> int:
        ordered = sorted(lag for _, lag in self._lags)
        return ordered[int(QUANTILE * (len(ordered) - 1))]

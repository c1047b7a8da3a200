"""How late the event loop is at present: the policy's tick, which it leaves as room before deadlines, and how
long a request may have lain unread when it is read at last."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio

SAMPLE_INTERVAL = 10_000_000  # ns
SAMPLES_PER_REPORT = 50  # after which the worst lag is halved
LONGEST_TICK = 100_000_000  # ns
NS_PER_SECOND = 1e9
SAMPLES_KEPT = 64  # a request is looked up soon after it was read
UNREMARKABLE_WAIT = (
    60_000_000  # ns unread that are not counted: well within the slack of a deadline passed on
)


class EventLoopLag:
    """The tick is what the event loop achieves: the worst lag of late, halved as it fades. All in ns."""

    def __init__(self, clock: Callable[[], int], tick: int, report: Callable[[int], None]) -> None:
        """`tick` is the least; `report` is called with each new one."""
        self.clock, self.tick, self.worst = clock, tick, 0
        self._least, self._report = tick, report
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
        recent_worst = count = 0
        while True:
            before = self.clock()
            self._samples.append(before)
            await anyio.sleep(SAMPLE_INTERVAL / NS_PER_SECOND)
            lag = self.clock() - before - SAMPLE_INTERVAL
            recent_worst = max(recent_worst, lag)
            self.worst = max(self.worst, lag)
            count += 1
            if lag > self.tick or count >= SAMPLES_PER_REPORT:
                self.tick = min(max(self._least, recent_worst), LONGEST_TICK)
                self._report(self.tick)
                if count >= SAMPLES_PER_REPORT:
                    recent_worst, count = recent_worst // 2, 0

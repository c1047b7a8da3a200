"""How late the event loop is at present: the policy's tick, which it leaves as room before deadlines."""

from __future__ import annotations

from collections.abc import Callable

import anyio

SAMPLE_INTERVAL = 10_000_000  # ns
SAMPLES_PER_REPORT = 50  # after which the worst lag is halved
LONGEST_TICK = 100_000_000  # ns
NS_PER_SECOND = 1e9


class EventLoopLag:
    """The tick is what the event loop achieves: the worst lag of late, halved as it fades. All in ns."""

    def __init__(self, clock: Callable[[], int], tick: int, report: Callable[[int], None]) -> None:
        """`tick` is the least; `report` is called with each new one."""
        self.clock, self.tick, self.worst = clock, tick, 0
        self._least, self._report = tick, report

    async def run(self) -> None:
        """Until cancelled."""
        recent_worst = count = 0
        while True:
            before = self.clock()
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

"""Ends the calls whose time is over, with one heap and one timer for all connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush

from martenlead.node.outstanding_call import OutstandingCall

MIN_DELAY_SECONDS = 0.001


class CallTimeouts:
    """Calls by the time at which they are due.

    `expire` is called for each whose outcome has not come by then.
    """

    def __init__(self, clock: Callable[[], int], expire: Callable[[OutstandingCall], None]) -> None:
        self._clock, self._expire = clock, expire
        self._heap: list[tuple[int, int, OutstandingCall]] = []  # due time, number, call
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ns = 0

    def add(self, call: OutstandingCall, number: int) -> None:
        """Has a call expire at its time; `number` is above those of earlier calls."""
        heappush(self._heap, (call.due_ns, number, call))
        self.schedule()

    def next_due_ns(self) -> int | None:
        """When the next call is due, or None."""
        return self._heap[0][0] if self._heap else None

    def schedule(self) -> None:
        """Drops calls that have ended, and sets the timer for the next one."""
        heap = self._heap
        while heap and not heap[0][2].is_outstanding():
            heappop(heap)
        if heap and (self._timer is None or heap[0][0] < self._timer_due_ns):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due_ns = heap[0][0]
            delay_seconds = (self._timer_due_ns - self._clock()) / 1e9
            self._timer = asyncio.get_running_loop().call_later(
                max(MIN_DELAY_SECONDS, delay_seconds), self._handle_timer
            )

    def expire_due(self) -> None:
        """Ends the calls that are due; also for a caller that comes before a late timer."""
        now_ns = self._clock()
        while self._heap and self._heap[0][0] <= now_ns:
            call = heappop(self._heap)[2]
            if call.is_outstanding():
                self._expire(call)

    def _handle_timer(self) -> None:
        self._timer = None
        self.expire_due()
        self.schedule()

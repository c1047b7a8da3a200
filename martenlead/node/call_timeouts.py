"""Expires calls that have timed out, with one heap and one timer for all connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush

from martenlead.node.outstanding_call import OutstandingCall

MIN_DELAY_SECONDS = 0.001


class CallTimeouts:
    """Expires calls at the times at which they are due.

    `expire` is called for each call that has no outcome by then.
    """

    def __init__(self, clock: Callable[[], int], expire: Callable[[OutstandingCall], None]) -> None:
        self._clock, self._expire = clock, expire
        self._heap: list[tuple[int, int, OutstandingCall]] = []  # (due time, number, call)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ns = 0

    def add(self, call: OutstandingCall, number: int) -> None:
        """Schedules the expiry of a call; `number` is greater than those of earlier calls."""
        heappush(self._heap, (call.due_ns, number, call))
        self.schedule()

    def next_due_ns(self) -> int | None:
        """Returns when the next call is due, or None if there is no call."""
        return self._heap[0][0] if self._heap else None

    def schedule(self) -> None:
        """Drops ended calls from the front of the heap, and sets the timer for the next call."""
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
        """Expires the calls that are due; may also be called ahead of a late timer."""
        now_ns = self._clock()
        while self._heap and self._heap[0][0] <= now_ns:
            call = heappop(self._heap)[2]
            if call.is_outstanding():
                self._expire(call)

    def _handle_timer(self) -> None:
        self._timer = None
        self.expire_due()
        self.schedule()

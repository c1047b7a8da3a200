"""A scheduler in virtual time for callbacks and for generators that wait for time or for a signal.

A process is a generator that yields what it waits for: whole ns, a `Signal`, or both as `(signal, ns)`. It is
resumed with True if the signal was set, with False if the time passed. Nothing here is random or depends on
the machine: callbacks due at the same moment run in the order in which they were scheduled.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from typing import Any

Steps = Generator[Any, bool, Any]


class Signal:
    """An event that is set once; processes that wait for it, then or later, are resumed."""

    __slots__ = ("is_set", "waiters")

    def __init__(self) -> None:
        self.is_set = False
        self.waiters: list[tuple[Process, int]] | None = None


class Process:
    """A generator that the kernel resumes."""

    __slots__ = ("steps", "wait_number")

    def __init__(self, steps: Steps) -> None:
        self.steps = steps
        self.wait_number = (
            0  # Current wait, so that an earlier one does not resume the process; -1 once ended
        )


class Kernel:
    """The scheduler; `now` is the virtual time in ns."""

    def __init__(self) -> None:
        self.now = 0
        self.events = 0
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._ready: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self._scheduled_count = 0

    def clock(self) -> int:
        """Returns the virtual time in ns."""
        return self.now

    def call_at(self, when: int, callback: Callable[..., Any], *args: Any) -> None:
        """Runs a callback at a moment (ns)."""
        self._scheduled_count += 1
        heappush(self._heap, (when, self._scheduled_count, callback, args))

    def call_later(self, delay: int, callback: Callable[..., Any], *args: Any) -> None:
        """Runs a callback after a delay (ns)."""
        self._scheduled_count += 1
        heappush(self._heap, (self.now + delay, self._scheduled_count, callback, args))

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Runs a callback at this moment, after the running one has ended."""
        self._ready.append((callback, args))

    def spawn(self, steps: Steps) -> Process:
        """Starts a process after the running callback has ended."""
        process = Process(steps)
        self._ready.append((self._resume, (process, 0, False)))
        return process

    def cancel(self, process: Process) -> None:
        """Ends a process where it waits; its `finally` clauses run."""
        if process.wait_number >= 0:
            process.wait_number = -1
            process.steps.close()

    def set_signal(self, signal: Signal) -> None:
        """Sets a signal and resumes the processes that wait for it."""
        if signal.is_set:
            return
        signal.is_set = True
        for process, wait_number in signal.waiters or ():
            self._ready.append((self._resume, (process, wait_number, True)))
        signal.waiters = None

    def run(self, until: int) -> None:
        """Runs all that is due by `until`, and sets `now` to it."""
        heap, ready = self._heap, self._ready
        while True:
            while ready:
                callback, args = ready.popleft()
                self.events += 1
                callback(*args)
            if not heap or heap[0][0] > until:
                break
            self.now, _, callback, args = heappop(heap)
            self.events += 1
            callback(*args)
        self.now = until

    def _resume(self, process: Process, wait_number: int, by_signal: bool) -> None:
        if process.wait_number != wait_number:
            return
        process.wait_number = wait_number = wait_number + 1
        try:
            wait = process.steps.send(by_signal) if wait_number > 1 else next(process.steps)
        except StopIteration:
            process.wait_number = -1
            return
        if isinstance(wait, int):
            self.call_later(wait, self._resume, process, wait_number, False)
            return
        signal, timeout_ns = wait if isinstance(wait, tuple) else (wait, None)
        if signal.is_set:
            self._ready.append((self._resume, (process, wait_number, True)))
            return
        if signal.waiters is None:
            signal.waiters = []
        signal.waiters.append((process, wait_number))
        if timeout_ns is not None:
            self.call_later(timeout_ns, self._resume, process, wait_number, False)

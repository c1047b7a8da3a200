"""Measures CPU time by activity, of this thread only, so that other load on the machine matters less."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from time import thread_time_ns
from typing import Any


class Activity(Enum):
    """What a dispatcher's CPU time is spent on."""

    SERVING = "serving"
    TIMERS = "timers"
    LOAD_REQUESTS = "load_requests"
    MEMBERSHIP = "membership"


class Meter:
    """Totals of one or more dispatchers, in ns of CPU time."""

    def __init__(self, without_collections: bool = False) -> None:
        """`without_collections` subtracts garbage collection from steps: a collection over many dispatchers
        in one process takes far longer than it would for a single dispatcher."""
        self.without_collections = without_collections
        self.spent: Counter[Activity] = Counter()
        self.steps: Counter[str] = Counter()  # CPU time in the policy, by method of the boundary.
        self.longest: Counter[str] = Counter()
        self.collecting = 0
        self._collection_began = 0

    @contextmanager
    def measure(self, activity: Activity) -> Iterator[None]:
        """Adds the CPU time within the context to an activity."""
        collected, began = self.collecting, thread_time_ns()
        yield
        self.spent[activity] += thread_time_ns() - began
        if self.without_collections:
            self.spent[activity] -= self.collecting - collected

    def step(self, name: str, spent: int) -> None:
        """Records the CPU time of one call into the policy."""
        self.steps[name] += spent
        if spent > self.longest[name]:
            self.longest[name] = spent

    def garbage(self, phase: str, _info: dict[str, int]) -> None:
        """Measures a garbage collection; a callback for `gc.callbacks`."""
        if phase == "start":
            self._collection_began = thread_time_ns()
        else:
            self.collecting += thread_time_ns() - self._collection_began

    @contextmanager
    def collections(self) -> Iterator[None]:
        """Measures garbage collections within the context."""
        gc.callbacks.append(self.garbage)
        try:
            yield
        finally:
            gc.callbacks.remove(self.garbage)

    def longest_step(self) -> int:
        """Returns the longest call into the policy, in ns of CPU time."""
        return max(self.longest.values(), default=0)


class MeteredBoundary:
    """Wraps a dispatcher's policy boundary and measures each call into the policy."""

    def __init__(self, boundary: Any, meter: Meter) -> None:
        self._boundary, self._meter = boundary, meter

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._boundary, name)
        if name in ("next_due_ns", "inspect") or not callable(method):
            return method
        timed = self._timed(name, method)
        setattr(self, name, timed)
        return timed

    def _timed(self, name: str, method: Callable[..., Any]) -> Callable[..., Any]:
        meter = self._meter

        def timed(*arguments: Any, **named: Any) -> Any:
            """Calls the method and records its CPU time."""
            collected, began = meter.collecting, thread_time_ns()
            try:
                return method(*arguments, **named)
            finally:
                spent = thread_time_ns() - began
                if meter.without_collections:
                    spent -= meter.collecting - collected
                meter.step(name, spent)

        return timed

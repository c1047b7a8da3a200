"""Serializes the calls of the policy, runs its timers and records faults.

The policy must not be called again during a decision, because its generator is running then.
`DecisionLoop` tracks whether a decision is in progress. It defers work that arrives meanwhile, and
runs it together with the due timers once the decision has ended.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import TypeVar

import anyio
import anyio.lowlevel
import structlog

from martenlead.edge.policy_boundary import PolicyBoundary
from martenlead.edge.timeouts import time_limit

NEVER_NS = 1 << 62  # later than any time of the clock
LONGEST_SLEEP_SECONDS = 3600
NS_PER_SECOND = 1e9

ResultT = TypeVar("ResultT")


class DecisionLoop:
    """Makes one call of the policy boundary at a time, and wakes up for timers between calls."""

    def __init__(
        self,
        policy_boundary: PolicyBoundary,
        clock: Callable[[], int],
        counts: Counter[tuple[str, str]],
        name: str,
        end_overdue_attempts: Callable[[], None],
    ) -> None:
        """`clock` returns ns; `counts` counts faults; `name` is the dispatcher's, for the log."""
        self.policy_boundary, self.clock, self.counts = policy_boundary, clock, counts
        self.end_overdue_attempts = end_overdue_attempts
        self.log = structlog.get_logger().bind(edge=name)
        self.fault_count = 0
        self.fault_recorded = anyio.Event()  # set at the first fault
        self._deferred: deque[tuple[Callable[..., object], tuple[object, ...]]] = deque()
        self._is_busy = False  # the policy decides, or deferred work runs
        self._due_sooner = anyio.Event()  # set when a timer is due before `run` wakes up
        self._wakes_ns = 0

    async def run(self) -> None:
        """Runs timers as they become due, until it is cancelled."""
        while True:
            due_ns = self.policy_boundary.next_due_ns()
            self._wakes_ns = NEVER_NS if due_ns is None else due_ns
            left_seconds = (self._wakes_ns - self.clock()) / NS_PER_SECOND
            if left_seconds > 0:
                with time_limit(min(left_seconds, LONGEST_SLEEP_SECONDS)):
                    await self._due_sooner.wait()
            if self._due_sooner.is_set():
                self._due_sooner = anyio.Event()
            self.run_due()
            await anyio.lowlevel.checkpoint()

    def defer(self, work: Callable[..., object], *args: object) -> None:
        """Runs `work` once the current decision has ended, or at once if there is none."""
        self._deferred.append((work, args))
        if not self._is_busy:
            self.run_due()

    def run_due(self) -> None:
        """Runs deferred work and due timers, unless a decision is in progress.

        It is called after each call of the policy boundary and runs the work synchronously, because
        a busy event loop runs its timers late, after everything else that is ready. For the same
        reason the ends of overdue attempts are reported before a wait of the policy ends. Otherwise
        the policy would treat an attempt that was never sent as one that may have run.
        """
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while True:
                if self._deferred:
                    work, args = self._deferred.popleft()
                    work(*args)
                    continue
                due_ns = self.policy_boundary.next_due_ns()
                if due_ns is None or due_ns > self.clock():
                    break
                self.end_overdue_attempts()
                if not self._deferred:
                    self.policy_boundary.advance()
        except Exception as error:
            self.record_fault(error)
            if self._deferred:  # `run` continues with the remaining work
                self._due_sooner.set()
        finally:
            self._is_busy = False
        due_ns = self.policy_boundary.next_due_ns()
        if due_ns is not None and due_ns < self._wakes_ns:
            self._wakes_ns = due_ns
            self._due_sooner.set()

    def decide(self, call: Callable[..., ResultT], *args: object) -> ResultT | None:
        """Makes one call of the policy boundary, which carries out its decisions meanwhile.

        Returns the result of the call, or None if it raised an exception.
        """
        nested, self._is_busy = self._is_busy, True
        try:
            return call(*args)
        except Exception as error:
            self.record_fault(error)
            return None
        finally:
            self._is_busy = nested
            if not nested:
                self.run_due()

    def record_fault(self, error: Exception) -> None:
        """Logs and counts an unexpected exception, so that it does not affect other requests."""
        self.log.error("fault_recorded", exc_info=error)
        self.counts["fault", type(error).__name__] += 1
        self.fault_count += 1
        self.fault_recorded.set()

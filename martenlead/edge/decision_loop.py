"""When the policy decides: what is due, what has to wait until a decision has ended, and faults in between.

The policy may not be called back in the middle of a decision: its generator is running then. `DecisionLoop`
knows whether it is, keeps what comes meanwhile, and does it with all that is due once the decision has ended.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import anyio
import structlog

from martenlead.edge.policy_boundary import PolicyBoundary
from martenlead.edge.timeouts import time_limit

NEVER = 1 << 62  # ns, later than any clock
LONGEST_SLEEP = 3600  # s
NS_PER_SECOND = 1e9


class DecisionLoop:
    """Calls the border, one call at a time. `run` wakes it for what is due while nothing else happens."""

    def __init__(
        self, border: PolicyBoundary, clock: Callable[[], int], counts: Counter[tuple[str, str]], name: str
    ) -> None:
        """`clock` gives ns; faults are added to `counts`; `name` is the dispatcher's, for the log."""
        self.policy_boundary, self.clock, self.counts = border, clock, counts
        self.log = structlog.get_logger().bind(edge=name)
        self.fault_count = 0
        self.fault_recorded = anyio.Event()  # set at the first fault
        self._deferred: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._is_busy = False  # the policy is deciding, or what waits for that is being done
        self._due_sooner = anyio.Event()  # something is due before `run` would wake
        self._wakes_ns = 0

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            due = self.policy_boundary.next_due_ns()
            self._wakes_ns = NEVER if due is None else due
            left = (self._wakes_ns - self.clock()) / NS_PER_SECOND
            if left > 0:
                with time_limit(min(left, LONGEST_SLEEP)):
                    await self._due_sooner.wait()
            if self._due_sooner.is_set():
                self._due_sooner = anyio.Event()
            self.run_due()
            await anyio.sleep(0)

    def defer(self, work: Callable[..., None], *args: Any) -> None:
        """Does it once the policy has decided, or at once if it is not deciding. In the middle of a decision
        the policy may not be called back: its generator is running."""
        self._deferred.append((work, args))
        if not self._is_busy:
            self.run_due()

    def run_due(self) -> None:
        """After each call of the border: what had to wait for its end, and what is due. That is done here and
        now: a busy loop comes to its timers late, and behind all that is ready already."""
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while True:
                if self._deferred:
                    work, args = self._deferred.popleft()
                    work(*args)
                    continue
                due = self.policy_boundary.next_due_ns()
                if due is None or due > self.clock():
                    break
                self.policy_boundary.advance()
        except Exception as error:
            self.record_fault(error)
            if self._deferred:  # one that fails costs no other its turn
                self._due_sooner.set()
        finally:
            self._is_busy = False
        due = self.policy_boundary.next_due_ns()
        if due is not None and due < self._wakes_ns:
            self._wakes_ns = due
            self._due_sooner.set()

    def decide(self, call: Callable[..., Any], *args: Any) -> Any:
        """One call of the border, whose decisions are carried out meanwhile; None after a fault."""
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
        """An exception where none should be, of the policy or ours: it is logged and counted, and costs
        no other request anything."""
        self.log.error("a fault of ours", exc_info=error)
        self.counts["fault", type(error).__name__] += 1
        self.fault_count += 1
        self.fault_recorded.set()

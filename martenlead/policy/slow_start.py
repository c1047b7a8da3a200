"""Rule 4, slow start: a worker that has just started gets a growing share of its requests.

Each dispatcher keeps to its own part of the stated ramp; docs/design.md, "Cold workers", says how the parts
add up and tests/test_slow_start_fleet.py plays them against the budget.
"""

from __future__ import annotations

import math

from martenlead.policy.latency import SECOND
from martenlead.policy.state import State, Worker

LEAST_CAPACITY = 0.5  # of what its weight or memory says: nothing tells yet that a cold worker does more


class SlowStart:
    """When this dispatcher may send its next request to a worker that warms up."""

    def __init__(self, state: State) -> None:
        self.state = state

    def is_warming_up(self, worker: Worker) -> bool:
        """Whether its process started less than a ramp ago; one whose start is not told never is."""
        started = worker.facts.started_ns
        return bool(started) and self.state.now_ns - started < self.state.settings.slow_start_ns

    def allows(self, worker: Worker) -> bool:
        """Whether the worker is past its ramp, or its ramp has begun here.

        The first request waits for a random part of the gap, once for each start.
        """
        if not self.is_warming_up(worker) or worker.ramp_start_ns == worker.facts.started_ns:
            return True
        if not self.state.traffic.peak_succeeded_per_second:
            return False  # begun a moment ago: its part is not known, and a guess at it would last
        worker.ramp_start_ns = worker.facts.started_ns
        worker.next_attempt_ns = self.state.now_ns + self.gap_ns(worker, self.state.random())
        return True

    def gap_ns(self, worker: Worker, requests: float = 1.0) -> int:
        """The time in which a warming worker may get that many requests of this dispatcher.

        It is this dispatcher's part of the ramp. Each counts what succeeded by itself, so uneven traffic
        keeps the sum; the best, as a release lowers it, but no more than the part that succeeds of what is
        asked now, as the best of a few requests is mostly chance. The worker may do half of what its weight
        says.
        """
        state, settings = self.state, self.state.settings
        growth = (1 - settings.slow_start_share) / max(settings.slow_start_ns, 1)
        age_ns = max(0, state.now_ns - worker.facts.started_ns)  # clocks of workers may be ahead
        share = settings.slow_start_share + growth * age_ns
        part = LEAST_CAPACITY * worker.facts.weight / max(state.highest_weight, state.index.weight, 1e-9)
        traffic = state.traffic
        succeeding_per_second = traffic.succeeded_share * traffic.new_requests_per_second
        rate = min(traffic.peak_succeeded_per_second, succeeding_per_second)
        per_second = settings.slow_start_multiple * rate * part
        warm_ns = requests * SECOND / max(per_second, 1e-3) + 1  # that it takes a warm worker
        # solves share * gap + growth * gap ** 2 / 2 = warm_ns: of many dispatchers, a gap spans most of it
        return int(2 * warm_ns / (share + math.sqrt(share**2 + 2 * growth * warm_ns)))

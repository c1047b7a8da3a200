"""Rule 4, slow start: a worker that has just started gets a growing share of its requests.

Each dispatcher keeps to its own part of the stated ramp; docs/design.md, "Cold workers", says how the parts
add up and tests/test_slow_start_fleet.py plays them against the budget.
"""

from __future__ import annotations

import math

from martenlead.policy.candidates import LEAST_WEIGHT
from martenlead.policy.latency import SECOND
from martenlead.policy.state import PEAK_RATE_KEPT, State, Worker
from martenlead.policy.types import WorkerState

LEAST_CAPACITY = 0.5  # of what its weight or memory says: nothing tells yet that a cold worker does more


class SlowStart:
    """When this dispatcher may send its next request to a worker that warms up."""

    def __init__(self, state: State) -> None:
        self.state = state

    def is_warming_up(self, worker: Worker) -> bool:
        """Whether its process started less than a ramp ago; one whose start is not told never is."""
        started = worker.facts.started_ns
        return bool(started) and self.state.now_ns - started < self.state.settings.slow_start_ns

    def end_period(self) -> None:
        """Takes the listed weight into the highest one, which the best rate of requests is compared with.

        A worker that warms up counts by its share of the ramp: the rate was carried by the others. For a
        dispatcher that has just begun it counts in full, since its rate may be of such workers alone.
        """
        state = self.state
        if not state.highest_weight:
            state.highest_weight = state.index.weight
            return
        state.highest_weight = max(self._serving_weight(), PEAK_RATE_KEPT * state.highest_weight)

    def _serving_weight(self) -> float:
        """The weight that takes requests now, of all listed workers."""
        workers = self.state.workers
        up = [worker for worker in workers if worker.facts.state is WorkerState.UP]
        return math.fsum(worker.facts.weight * self._ramp_share(worker) for worker in up)

    def _ramp_share(self, worker: Worker) -> float:
        """The share of its requests that a worker may have now, 1 once it is warm."""
        if not self.is_warming_up(worker):
            return 1.0
        settings = self.state.settings
        age_ns = max(0, self.state.now_ns - worker.facts.started_ns)  # clocks of workers may be ahead
        return settings.slow_start_share + self._growth_per_ns() * age_ns

    def _growth_per_ns(self) -> float:
        """How fast the share of a worker that warms up grows."""
        settings = self.state.settings
        return (1 - settings.slow_start_share) / max(settings.slow_start_ns, 1)

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
        growth, share = self._growth_per_ns(), self._ramp_share(worker)
        part = LEAST_CAPACITY * worker.facts.weight / max(state.highest_weight, LEAST_WEIGHT)
        traffic = state.traffic
        succeeding_per_second = traffic.succeeded_share * traffic.new_requests_per_second
        rate = min(traffic.peak_succeeded_per_second, succeeding_per_second)
        per_second = settings.slow_start_multiple * rate * part
        warm_ns = requests * SECOND / max(per_second, 1e-3) + 1  # that it takes a warm worker
        # solves share * gap + growth * gap ** 2 / 2 = warm_ns: of many dispatchers, a gap spans most of it
        return int(2 * warm_ns / (share + math.sqrt(share**2 + 2 * growth * warm_ns)))

"""Rule 4, slow start: a worker that has just started gets a growing share of its requests.

Each dispatcher keeps to its own part of the stated ramp; docs/design.md, "Cold workers", says how
the parts add up and tests/test_slow_start_fleet.py plays them against the budget.
"""

from __future__ import annotations

import math

from martenlead.policy.candidates import LEAST_WEIGHT
from martenlead.policy.latency import SECOND
from martenlead.policy.state import PEAK_RATE_KEPT, State, Worker
from martenlead.policy.types import WorkerState

UNKNOWN_RATE_PER_SECOND = (
    0.5  # of all dispatchers, at a worker: three in its window are always allowed
)
LEAST_CAPACITY = (
    0.48  # of what its weight says: it may do half, and the sum over many dispatchers is chance
)


class SlowStart:
    """When this dispatcher may send its next request to a worker that warms up."""

    def __init__(self, state: State) -> None:
        self.state = state

    def is_warming_up(self, worker: Worker) -> bool:
        """Whether its process started less than a ramp ago; never for an unknown start."""
        return self.state.is_warming_up(worker)

    def end_period(self) -> None:
        """Takes the listed weight into the highest one, which the best request rate refers to.

        A worker that warms up counts by its share of the ramp: the rate was carried by the others.
        For a dispatcher that has just begun it counts in full, since its rate may be of such
        workers alone.
        """
        state = self.state
        if not state.highest_weight:
            state.highest_weight = state.index.weight
            return
        state.highest_weight = max(self._serving_weight(), PEAK_RATE_KEPT * state.highest_weight)

    def _serving_weight(self) -> float:
        """The weight that takes requests now, of all listed workers.

        Only those are looked at that take fewer than their share.
        """
        state = self.state
        limited = state.limited_workers
        for worker in [w for w in limited if self._taking_share(w) >= 1]:
            del limited[worker]
        missing = math.fsum((1 - self._taking_share(w)) * w.facts.weight for w in limited)
        return max(0.0, state.index.weight - missing)

    def _taking_share(self, worker: Worker) -> float:
        """The share of its requests that a listed worker may have now."""
        return self._ramp_share(worker) if worker.facts.state is WorkerState.UP else 0.0

    def _ramp_share(self, worker: Worker) -> float:
        """The share of its requests that a worker may have now, 1 once it is warm."""
        if not self.is_warming_up(worker):
            return 1.0
        settings = self.state.settings
        age_ns = max(
            0, self.state.now_ns - worker.facts.started_ns
        )  # clocks of workers may be ahead
        return settings.slow_start_share + self._growth_per_ns() * age_ns

    def _growth_per_ns(self) -> float:
        """How fast the share of a worker that warms up grows."""
        settings = self.state.settings
        return (1 - settings.slow_start_share) / max(settings.slow_start_ns, 1)

    def allows(self, worker: Worker) -> bool:
        """Whether the worker is past its ramp, or its ramp has begun here.

        The first request waits for a random part of the gap, once for each start.
        """
        if not self.is_warming_up(worker):
            return True
        if worker.ramp_start_ns != worker.facts.started_ns:
            worker.ramp_start_ns = worker.facts.started_ns
            self.schedule_next(worker, self.state.random())
        elif 0 < worker.ramp_rate_per_second <= self._unknown_rate_per_second():
            self._shorten_wait(worker)
        return True

    def schedule_next(self, worker: Worker, requests: float = 1.0) -> None:
        """Sets the time of the next attempt: when the worker may have that many more requests."""
        worker.ramp_rate_per_second = self._rate_per_second(worker)
        worker.next_attempt_ns = self.state.now_ns + self._gap_ns(worker, requests)

    def _shorten_wait(self, worker: Worker) -> None:
        """Sets a wait anew that was set before a rate was known, as after a quiet time.

        What the wait was a part of, a request or less, stays.
        """
        if self._rate_per_second(worker) <= worker.ramp_rate_per_second:
            return
        wait_ns = worker.next_attempt_ns - self.state.now_ns
        if wait_ns <= 0:
            return
        warm_ns = self._ramp_share(worker) * wait_ns + self._growth_per_ns() * wait_ns**2 / 2
        self.schedule_next(worker, min(1.0, worker.ramp_rate_per_second * warm_ns / SECOND))

    def _gap_ns(self, worker: Worker, requests: float) -> int:
        """The time in which a warming worker may get that many requests of this dispatcher."""
        growth, share = self._growth_per_ns(), self._ramp_share(worker)
        warm_ns = requests * SECOND / worker.ramp_rate_per_second + 1  # that it takes a warm worker
        # solves share * gap + growth * gap ** 2 / 2 = warm_ns: of many dispatchers, a gap spans
        # most of it
        return int(2 * warm_ns / (share + math.sqrt(share**2 + 2 * growth * warm_ns)))

    def _rate_per_second(self, worker: Worker) -> float:
        """The requests of this dispatcher that the worker may get once it is warm.

        It is this dispatcher's part of the ramp. Each counts what succeeded by itself, so uneven
        traffic keeps the sum; the best, as a release lowers it, but no more than the part that
        succeeds of what is asked now, as the best of a few requests is mostly chance. The worker
        may do half of what its weight says. Where nothing is known, as all begin together, there is
        a little for all to share.
        """
        state, settings = self.state, self.state.settings
        part = LEAST_CAPACITY * worker.facts.weight / max(state.highest_weight, LEAST_WEIGHT)
        traffic = state.traffic
        succeeding_per_second = traffic.succeeded_share * traffic.new_requests_per_second
        rate = min(traffic.peak_succeeded_per_second, succeeding_per_second)
        known = settings.slow_start_multiple * rate * part
        return max(known, self._unknown_rate_per_second())

    def _unknown_rate_per_second(self) -> float:
        """What a dispatcher may send to a worker, once it is warm, before it knows a rate."""
        return UNKNOWN_RATE_PER_SECOND / self.state.settings.dispatchers

"""Rule 4, slow start: a worker that has just started gets a growing share of its requests.

Each dispatcher keeps to its own part of the configured ramp. docs/design.md, "Cold workers",
explains how the parts add up; tests/test_slow_start_fleet.py checks their sum against the budget.
"""

from __future__ import annotations

import math

from martenlead.policy.candidates import LEAST_WEIGHT
from martenlead.policy.latency import SECOND
from martenlead.policy.state import PEAK_RATE_KEPT, State, Worker
from martenlead.policy.types import WorkerState

# Rate of all dispatchers together at one worker while they know no rate of requests. The budget of
# a worker always allows three requests in its window.
UNKNOWN_RATE_PER_SECOND = 0.5
# Capacity that a cold worker is assumed to have, as a share of its weight. It may have half, and
# the sum over many dispatchers varies by chance.
LEAST_CAPACITY = 0.48


class SlowStart:
    """Decides when this dispatcher may send its next request to a worker that warms up."""

    def __init__(self, state: State) -> None:
        self.state = state

    def is_warming_up(self, worker: Worker) -> bool:
        """Whether a worker started less than a ramp ago; False if its start is unknown."""
        return self.state.is_warming_up(worker)

    def end_period(self) -> None:
        """Updates the highest weight, which the peak request rate refers to.

        A worker that warms up counts by its share of the ramp, since the others carried the rate.
        At a dispatcher that has just started it counts in full, since the rate may come from such
        workers alone.
        """
        state = self.state
        if not state.highest_weight:
            state.highest_weight = state.index.weight
            return
        state.highest_weight = max(self._serving_weight(), PEAK_RATE_KEPT * state.highest_weight)

    def _serving_weight(self) -> float:
        """The sum of the weights of all listed workers, each times the share of requests it takes.

        Looks only at the workers that take fewer requests than they would when warm.
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
        # the clock of the worker may be ahead
        age_ns = max(0, self.state.now_ns - worker.facts.started_ns)
        return settings.slow_start_share + self._growth_per_ns() * age_ns

    def _growth_per_ns(self) -> float:
        """The growth per ns of the share of a worker that warms up."""
        settings = self.state.settings
        return (1 - settings.slow_start_share) / max(settings.slow_start_ns, 1)

    def allows(self, worker: Worker) -> bool:
        """True; schedules the first request to a worker that warms up, or shortens the wait for it.

        The first request waits for a random part of the gap, once for each start of the worker.
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
        """Sets the time of the next attempt: when the worker may get that many more requests."""
        worker.ramp_rate_per_second = self._rate_per_second(worker)
        worker.next_attempt_ns = self.state.now_ns + self._gap_ns(worker, requests)

    def _shorten_wait(self, worker: Worker) -> None:
        """Recomputes a wait that was set before a rate was known, for example after an idle time.

        The fraction of a request that is still to be waited for stays the same.
        """
        if self._rate_per_second(worker) <= worker.ramp_rate_per_second:
            return
        wait_ns = worker.next_attempt_ns - self.state.now_ns
        if wait_ns <= 0:
            return
        warm_ns = self._ramp_share(worker) * wait_ns + self._growth_per_ns() * wait_ns**2 / 2
        self.schedule_next(worker, min(1.0, worker.ramp_rate_per_second * warm_ns / SECOND))

    def _gap_ns(self, worker: Worker, requests: float) -> int:
        """The time in which a worker that warms up may get that many requests from here."""
        growth, share = self._growth_per_ns(), self._ramp_share(worker)
        # the time in which a warm worker may get them
        warm_ns = requests * SECOND / worker.ramp_rate_per_second + 1
        # Solves share * gap + growth * gap ** 2 / 2 = warm_ns. With many dispatchers, one gap spans
        # most of the ramp.
        return int(2 * warm_ns / (share + math.sqrt(share**2 + 2 * growth * warm_ns)))

    def _rate_per_second(self, worker: Worker) -> float:
        """The rate at which this dispatcher may send requests to the worker once it is warm.

        This is the dispatcher's part of the ramp. Each dispatcher uses its own rate of successes,
        so that uneven traffic leaves the sum as it is. It uses the peak, since a release lowers the
        rate, but at most the share that succeeds of present requests, since the peak of a few
        requests is mostly chance. The worker may have half the capacity that its weight says. While
        no rate is known, as when all processes start together, all dispatchers share a small rate.
        """
        state, settings = self.state, self.state.settings
        part = LEAST_CAPACITY * worker.facts.weight / max(state.highest_weight, LEAST_WEIGHT)
        traffic = state.traffic
        succeeding_per_second = traffic.succeeded_share * traffic.new_requests_per_second
        rate = min(traffic.peak_succeeded_per_second, succeeding_per_second)
        known = settings.slow_start_multiple * rate * part
        return max(known, self._unknown_rate_per_second())

    def _unknown_rate_per_second(self) -> float:
        """The rate for a dispatcher that knows no rate of requests yet."""
        return UNKNOWN_RATE_PER_SECOND / self.state.settings.dispatchers

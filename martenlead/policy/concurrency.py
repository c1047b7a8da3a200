"""The concurrency limit: how many attempts this dispatcher may have in flight at one worker.

The limit grows by one for each round of responses in time, and is cut by a fifth when more than a
fifth of the responses are late. The limit of all dispatchers together is divided among them without
a lower bound for each; see docs/design.md, "Concurrency limit".
"""

from __future__ import annotations

from martenlead.policy.slow_start import SlowStart
from martenlead.policy.state import State, Worker

# Lower bound of the limit of all dispatchers together at one worker. Responses to fewer attempts
# would say too little about the worker.
LEAST_CONCURRENCY = 4.0
# Share of the limit that client retries and requests over a tenant's share may use. The first try
# of a retried request is late already.
DEFERRED_SHARE = 0.3
# Share of late responses above which the limit is cut; long requests alone do not reach it.
LATE_SHARE_LIMIT = 0.2
# Weight of one response in the moving average of late responses.
LATE_WEIGHT = 1 / 8
DECREASE_FACTOR = 0.8
# Largest increase in one step, as a share of the limit, so that limits below one do not jump.
MAX_INCREASE_SHARE = 1 / 4


class ConcurrencyLimits:
    """Decides whether a worker may have one more attempt now, and adjusts the limits."""

    def __init__(self, state: State, slow_start: SlowStart) -> None:
        self.state, self.slow_start = state, slow_start

    def has_room(self, worker: Worker, is_deferrable: bool) -> bool:
        """Whether a request may go to this worker now.

        A deferrable request, which is a client retry or over its tenant's share, may use only a
        part of the limit, and nothing of a limit that was cut to the lower bound.
        """
        if not self.slow_start.allows(worker):
            return False
        limit = worker.concurrency_limit * (DEFERRED_SHARE if is_deferrable else 1.0)
        if is_deferrable and limit * self.state.settings.dispatchers < LEAST_CONCURRENCY:
            return False
        return self.state.now_ns >= worker.next_attempt_ns and worker.warm_in_flight < max(
            1.0, limit
        )

    def record_attempt(self, worker: Worker) -> None:
        """Records that an attempt is sent now.

        Sets the earliest time of the next attempt at a worker that is warming up or has a limit
        below one.
        """
        state = self.state
        if self.slow_start.is_warming_up(worker):
            self.slow_start.schedule_next(worker)
        elif worker.concurrency_limit < 1:
            # one of many dispatchers, with less than one attempt each: spaces them out in time
            usual_ns = state.latencies.warm_run_ns(state.latencies.all_functions)
            worker.next_attempt_ns = state.now_ns + int(
                (1 / worker.concurrency_limit - 1) * usual_ns
            )

    def record_latency(self, worker: Worker, latency_ns: int, objective_ns: int) -> None:
        """Adjusts the limit to a response; cuts it at most once per latency objective."""
        worker.late_share += ((latency_ns > objective_ns) - worker.late_share) * LATE_WEIGHT
        limit, is_late = worker.concurrency_limit, worker.late_share > LATE_SHARE_LIMIT
        if (
            latency_ns <= objective_ns // 2
            and not is_late
            and worker.warm_in_flight + 1 > limit / 2
        ):
            worker.concurrency_limit += min(1 / limit, limit * MAX_INCREASE_SHARE)
        elif (
            is_late
            and latency_ns > objective_ns
            and self.state.now_ns - worker.limit_cut_ns > objective_ns
        ):
            worker.limit_cut_ns = self.state.now_ns
            least = LEAST_CONCURRENCY / self.state.settings.dispatchers
            worker.concurrency_limit = max(least, limit * DECREASE_FACTOR)

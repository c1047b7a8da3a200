"""The concurrency limit: how many attempts this dispatcher may have in flight at one worker.

One more a round of responses in time, a fifth fewer when over a fifth come late. What the
dispatchers may have in flight together is divided between them without a floor; docs/design.md,
"Concurrency limit".
"""

from __future__ import annotations

from martenlead.policy.slow_start import SlowStart
from martenlead.policy.state import State, Worker

LEAST_CONCURRENCY = (
    4.0  # of all dispatchers together, at one worker: fewer would tell nothing of it
)
DEFERRED_SHARE = (
    0.3  # of a limit is for repeats and requests over a tenant's share: their first try is late
)
LATE_SHARE_LIMIT = 0.2  # a part of responses that long requests alone do not make late
LATE_WEIGHT = 1 / 8  # of one response in the share of late ones
DECREASE = 0.8
INCREASE_PART = 1 / 4  # of the limit, at most, in one step: limits below one must not jump


class ConcurrencyLimits:
    """Whether a worker may have one more attempt now."""

    def __init__(self, state: State, slow_start: SlowStart) -> None:
        self.state, self.slow_start = state, slow_start

    def has_room(self, worker: Worker, is_deferrable: bool) -> bool:
        """Whether a request may go to this worker now.

        One that is deferrable, a repeat or one over its tenant's share, gets only a part of the
        limit, and nothing of one that was cut to the least.
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
        """Notes that an attempt goes now.

        A worker that warms up, or has a limit below one, gets no other before a time that is set
        here.
        """
        state = self.state
        if self.slow_start.is_warming_up(worker):
            self.slow_start.schedule_next(worker)
        elif (
            worker.concurrency_limit < 1
        ):  # of many dispatchers, less than one attempt each: one at times
            usual_ns = state.latencies.warm_run_ns(state.latencies.all_functions)
            worker.next_attempt_ns = state.now_ns + int(
                (1 / worker.concurrency_limit - 1) * usual_ns
            )

    def record_latency(self, worker: Worker, latency_ns: int, objective_ns: int) -> None:
        """Adjusts the limit to a response; it is cut once a latency objective at most."""
        worker.late_share += ((latency_ns > objective_ns) - worker.late_share) * LATE_WEIGHT
        limit, is_late = worker.concurrency_limit, worker.late_share > LATE_SHARE_LIMIT
        if (
            latency_ns <= objective_ns // 2
            and not is_late
            and worker.warm_in_flight + 1 > limit / 2
        ):
            worker.concurrency_limit += min(1 / limit, limit * INCREASE_PART)
        elif (
            is_late
            and latency_ns > objective_ns
            and self.state.now_ns - worker.limit_cut_ns > objective_ns
        ):
            worker.limit_cut_ns = self.state.now_ns
            least = LEAST_CONCURRENCY / self.state.settings.dispatchers
            worker.concurrency_limit = max(least, limit * DECREASE)

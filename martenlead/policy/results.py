"""Updates what is known of a worker, a replica and a function by the result of an attempt.

Each result is passed to the modules responsible for it; the state that they share is in state.py.
"""

from __future__ import annotations

from martenlead.policy import retry_budget
from martenlead.policy.concurrency import ConcurrencyLimits
from martenlead.policy.latency import USUAL_RATIO
from martenlead.policy.outliers import NOT_REACHED, WORKER_ERRORS, Outliers, is_unexpected_silence
from martenlead.policy.state import Replica, State
from martenlead.policy.types import Attempt, AttemptResult, Result, Warmth

# Results that show that the worker answered.
ANSWERED = frozenset({Result.SUCCEEDED, Result.ERROR, Result.AT_CAPACITY, Result.FUNCTION_MISSING})
# Results that count in the error share of a worker.
COUNTED_FOR_ERRORS = frozenset({Result.SUCCEEDED, *WORKER_ERRORS})
# Multiple of the usual latency above which a worker is no longer the home of a function.
HOME_LATENESS_LIMIT = 2
# A refused attempt counts as a response that took this many latency objectives.
REFUSED_LATENESS = 2


class Results:
    """Records the end of every attempt, also of requests that have ended."""

    def __init__(self, state: State, outliers: Outliers, concurrency: ConcurrencyLimits) -> None:
        self.state, self.outliers, self.concurrency = state, outliers, concurrency

    def record(self, answer: AttemptResult) -> None:
        """Records the end of one attempt."""
        attempt, result = answer.attempt, answer.result
        worker = attempt.worker
        replica = self._end_attempt(attempt, result)
        if result in ANSWERED:
            self.outliers.record_answer(worker)
        if result in COUNTED_FOR_ERRORS and answer.warmth is not Warmth.LOAD_FAILED:
            self.outliers.record_response(attempt, result in WORKER_ERRORS)
        if result is Result.SUCCEEDED:
            self._record_success(answer, replica)
        elif result is Result.FUNCTION_MISSING:
            replica.is_loaded = False
        elif result is Result.AT_CAPACITY:
            objective_ns = attempt.request.request_class.latency_objective_ns
            self.concurrency.record_latency(worker, REFUSED_LATENESS * objective_ns, objective_ns)
            worker.refused_in_a_row += 1
        elif result in NOT_REACHED or is_unexpected_silence(attempt):
            self.outliers.record_silence(worker)
            if replica.function.home is worker and result in NOT_REACHED:
                replica.function.home = None
        if result is not Result.SUCCEEDED and not replica.in_flight:
            replica.load_requested_ns = 0  # the load that attempts waited for failed or never began

    def _end_attempt(self, attempt: Attempt, result: Result) -> Replica:
        """Removes an attempt from the counts in flight, and returns its replica."""
        worker = attempt.worker
        replica = self.state.replica(attempt.request.function, worker)
        attempt.result = result
        worker.in_flight -= 1
        worker.warm_in_flight -= attempt.expects_warm
        self.state.warm_in_flight -= attempt.expects_warm
        replica.in_flight -= 1
        return replica

    def _record_success(self, answer: AttemptResult, replica: Replica) -> None:
        state, worker, function = self.state, replica.worker, replica.function
        state.traffic.succeeded_in_period += 1
        worker.refused_in_a_row = 0
        retry_budget.earn(worker)
        if function.home is None or not state.is_warm(function.replicas[function.home]):
            function.home = worker
        replica.last_used_ns = max(replica.last_used_ns, state.now_ns)
        replica.load_requested_ns, replica.is_loaded = 0, True
        tells_warm = state.settings.tells_warmth
        if answer.warmth is Warmth.WARM if tells_warm else bool(answer.attempt.expects_warm):
            self._record_warm_run(answer, replica)
        elif not tells_warm:
            function.latency.add(answer.latency_ns)

    def _record_warm_run(self, answer: AttemptResult, replica: Replica) -> None:
        state, worker, function = self.state, replica.worker, replica.function
        request, latency_ns = answer.attempt.request, answer.latency_ns
        usual_ns = state.latencies.warm_run_ns(function.latency)
        if request.cost and function.mean_cost:
            usual_ns = int(usual_ns * request.cost / function.mean_cost)
        if usual_ns:
            worker.latency_ratio.add(USUAL_RATIO * latency_ns // usual_ns)
            state.paced_workers[worker] = None
        if latency_ns > HOME_LATENESS_LIMIT * usual_ns and function.home is worker:
            function.home = None  # each dispatcher decides this by its own responses
        for histogram in (replica.latency, function.latency, state.latencies.all_functions):
            histogram.add(latency_ns)
        self.concurrency.record_latency(
            worker, latency_ns, request.request_class.latency_objective_ns
        )

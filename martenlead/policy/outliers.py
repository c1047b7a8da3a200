"""Outlier detection: workers that stop answering or answer with errors get single trials only.

The design leaves health checks to the implementation. docs/design.md, "Health" and the rows on
errors, gives the reasons for the rules here.
"""

from __future__ import annotations

from martenlead.policy.latency import MILLISECOND, SECOND
from martenlead.policy.state import State, Worker
from martenlead.policy.types import Attempt, RequestClass, Result

# Errors for which the worker is to blame, unless the request fails at a second worker too.
WORKER_ERRORS = frozenset({Result.ERROR, Result.CONNECTION_LOST})
NOT_REACHED = frozenset({Result.UNREACHABLE, Result.CONNECTION_LOST})
# Unanswered attempts in a row after which a worker is silent; one may be lost by chance.
UNANSWERED_LIMIT = 2
# Time between two attempts at an ejected worker.
TRIAL_INTERVAL = SECOND
# Latency objectives without a response, with attempts in flight, after which a worker is silent.
SILENT_OBJECTIVES = 2
# Share of errors above which a worker is failing. Healthy workers never reach it; a worker with a
# broken function soon does.
ERROR_SHARE_LIMIT = 0.4
# Weight of one response in the moving average of errors.
ERROR_WEIGHT = 1 / 8
# Errors in a shorter interval count as one, since faulty clients send at full speed.
ERROR_INTERVAL = 20 * MILLISECOND


def is_unexpected_silence(attempt: Attempt) -> bool:
    """Whether a worker should have answered an attempt, and has sent no response at all since it.

    If the attempt had less time than half of the latency objective, the worker may have dropped the
    request without a response.
    """
    had_time = attempt.timeout_ns >= attempt.request.request_class.latency_objective_ns // 2
    is_silent = (
        attempt.result is Result.NO_RESPONSE and attempt.worker.last_response_ns < attempt.sent_ns
    )
    return had_time and is_silent


class Outliers:
    """Decides which workers may have an attempt, by their responses."""

    def __init__(self, state: State) -> None:
        self.state = state

    def is_usable(self, worker: Worker) -> bool:
        """Whether a worker accepts work, by rule 3, and is not silent."""
        return self.state.accepts_work(worker) and not self.is_silent(worker)

    def is_silent(self, worker: Worker) -> bool:
        """Whether responses stopped: unanswered attempts, or none for long with some in flight.

        A worker with unanswered attempts counts as usable after each `TRIAL_INTERVAL`, for a trial.
        """
        now = self.state.now_ns
        if worker.unanswered_in_a_row >= UNANSWERED_LIMIT:
            return now < worker.overdue_since_ns + TRIAL_INTERVAL
        silent_ns = now - max(worker.last_response_ns, worker.overdue_since_ns)
        return (
            worker.in_flight > 0
            and silent_ns > SILENT_OBJECTIVES * self.state.shortest_objective_ns
        )

    def is_failing(self, worker: Worker, request_class: RequestClass | None = None) -> bool:
        """Whether too many responses were errors, in this request class or in any.

        A worker that fails requests quickly is idle and looks the least busy, so that it would
        attract ever more requests.
        """
        shares = worker.error_shares
        some = shares.values() if request_class is None else (shares.get(request_class, 0.0),)
        recent = self.state.now_ns < worker.last_error_ns + TRIAL_INTERVAL
        return max(some, default=0.0) > ERROR_SHARE_LIMIT and recent

    def record_answer(self, worker: Worker) -> None:
        """Records that the worker has answered, whatever the answer was."""
        worker.last_response_ns = self.state.now_ns
        worker.unanswered_in_a_row = 0

    def record_silence(self, worker: Worker) -> None:
        """Records an attempt that ended without an answer of the worker."""
        worker.unanswered_in_a_row += 1
        worker.overdue_since_ns = self.state.now_ns

    def record_response(self, attempt: Attempt, is_error: bool) -> None:
        """Updates the error shares of workers.

        An error does not count against a worker if the request fails at a second worker too.
        """
        request, worker = attempt.request, attempt.worker
        earlier = [a for a in request.attempts if a.result in WORKER_ERRORS and a is not attempt]
        share = worker.error_shares.get(request.request_class, 0.0)
        if is_error and not earlier and self.state.now_ns < worker.last_error_ns + ERROR_INTERVAL:
            return  # a client that sends invalid requests sends many of them
        if not is_error or not earlier:
            worker.error_shares[request.request_class] = share + (is_error - share) * ERROR_WEIGHT
            worker.last_error_ns = self.state.now_ns if is_error else worker.last_error_ns
        elif len(earlier) == 1 and earlier[0].worker is not worker:
            first = earlier[0].worker.error_shares
            first[request.request_class] = max(
                0.0, first.get(request.request_class, 0.0) - ERROR_WEIGHT
            )

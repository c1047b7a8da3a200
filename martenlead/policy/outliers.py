"""Outlier detection: workers that stopped answering or answer with errors get single trials only.

Health is ours to add by the design page; docs/design.md, "Health" and the rows on errors, says why
it is as it is.
"""

from __future__ import annotations

from martenlead.policy.latency import MILLISECOND, SECOND
from martenlead.policy.state import State, Worker
from martenlead.policy.types import Attempt, RequestClass, Result

WORKER_ERRORS = frozenset(
    {Result.ERROR, Result.CONNECTION_LOST}
)  # the worker's fault, or else the request's
NOT_REACHED = frozenset({Result.UNREACHABLE, Result.CONNECTION_LOST})
UNANSWERED_LIMIT = 2  # attempts in a row without any word: one may be lost by chance
TRIAL_INTERVAL = SECOND  # between two attempts at an ejected worker
SILENT_OBJECTIVES = 2  # latency objectives without any word, with attempts in flight
ERROR_SHARE_LIMIT = 0.4  # a healthy worker never gets there; one with a broken function soon does
ERROR_WEIGHT = 1 / 8  # of one response in the share of errors
SAME_MOMENT = 20 * MILLISECOND  # errors closer than that are one: bad clients send at full speed


def is_unexpected_silence(attempt: Attempt) -> bool:
    """Whether a worker should have answered by now, and said nothing to anybody since the attempt.

    With less time than half of the latency objective it may have dropped the request without a
    word.
    """
    had_time = attempt.timeout_ns >= attempt.request.request_class.latency_objective_ns // 2
    is_silent = (
        attempt.result is Result.NO_RESPONSE and attempt.worker.last_response_ns < attempt.sent_ns
    )
    return had_time and is_silent


class Outliers:
    """Which workers may have an attempt, judged by their responses."""

    def __init__(self, state: State) -> None:
        self.state = state

    def is_usable(self, worker: Worker) -> bool:
        """Whether it takes work, by rule 3, and is not silent."""
        return self.state.accepts_work(worker) and not self.is_silent(worker)

    def is_silent(self, worker: Worker) -> bool:
        """Whether responses stopped: unreachable, or attempts in flight and no word for long.

        A trial now and then may go all the same.
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
        """Whether too many responses, of this class or of any, were errors.

        What fails at once stands idle and looks the least busy, so that it would draw ever more
        requests.
        """
        shares = worker.error_shares
        some = shares.values() if request_class is None else (shares.get(request_class, 0.0),)
        recent = self.state.now_ns < worker.last_error_ns + TRIAL_INTERVAL
        return max(some, default=0.0) > ERROR_SHARE_LIMIT and recent

    def record_word(self, worker: Worker) -> None:
        """The worker has answered, whatever it said."""
        worker.last_response_ns = self.state.now_ns
        worker.unanswered_in_a_row = 0

    def record_silence(self, worker: Worker) -> None:
        """An attempt ended without any word of the worker."""
        worker.unanswered_in_a_row += 1
        worker.overdue_since_ns = self.state.now_ns

    def record_response(self, attempt: Attempt, is_error: bool) -> None:
        """Notes whose fault an error is: the request's, if it fails at a second worker too."""
        request, worker = attempt.request, attempt.worker
        earlier = [a for a in request.attempts if a.result in WORKER_ERRORS and a is not attempt]
        share = worker.error_shares.get(request.request_class, 0.0)
        if is_error and not earlier and self.state.now_ns < worker.last_error_ns + SAME_MOMENT:
            return  # a client that sends what nobody can use sends much of it
        if not is_error or not earlier:
            worker.error_shares[request.request_class] = share + (is_error - share) * ERROR_WEIGHT
            worker.last_error_ns = self.state.now_ns if is_error else worker.last_error_ns
        elif len(earlier) == 1 and earlier[0].worker is not worker:
            first = earlier[0].worker.error_shares
            first[request.request_class] = max(
                0.0, first.get(request.request_class, 0.0) - ERROR_WEIGHT
            )

"""One request from its arrival to its final response: attempts, retries and hedging.

Rule 1, one final response in time: whatever the results of its attempts, `Attempts.handle` ends
before the deadline with a success, a rejection or a failure. Rule 2, no effect twice, is checked by
repeats.py before each attempt. Retries are described in docs/design.md, "Retries".
"""

from __future__ import annotations

import math

from martenlead.policy import retry_budget
from martenlead.policy.concurrency import ConcurrencyLimits
from martenlead.policy.latency import SECOND
from martenlead.policy.load_budget import LoadBudget
from martenlead.policy.placement import Placement
from martenlead.policy.replica_scaling import ReplicaScaling
from martenlead.policy.state import Function, State, Worker
from martenlead.policy.tenant_shares import TenantShares
from martenlead.policy.types import (
    Action,
    Attempt,
    AttemptResult,
    Cancel,
    Fail,
    Reject,
    Request,
    Result,
    Steps,
    Wait,
)

# A request that ended in an error at this many workers would fail at the others too.
ERRORS_LIMIT = 2
# The final response has to be sent, and not only decided, by the deadline.
DEADLINE_MARGIN_TICKS = 3
# Largest share of a request's time that the margin may take. With a larger share, a late
# event loop would reject every request.
MARGIN_SHARE = 0.5
# Ticks of the margin up to this length are never shortened: no request completes in so little time.
MIN_MARGIN_TICK_NS = 10_000_000
# An attempt is overdue after this multiple of this quantile of the function's latency. With a
# multiple of 2, dispatchers with few responses from a worker took attempts for lost too early.
OVERDUE_QUANTILE, OVERDUE_MULTIPLE = 0.95, 3
# Largest number of requests that the mean cost of a function is averaged over.
MEAN_COST_REQUESTS = 60
# A one-second rate has to exceed Rmax by this many standard deviations to be more than chance.
BURST_DEVIATIONS = 2


class Attempts:
    """Handles requests: makes their attempts and gives their final responses."""

    def __init__(
        self,
        state: State,
        placement: Placement,
        scaling: ReplicaScaling,
        load_budget: LoadBudget,
        concurrency: ConcurrencyLimits,
        tenant_shares: TenantShares,
    ) -> None:
        self.state = state
        self.placement = placement
        self.repeats = placement.repeats
        self.scaling = scaling
        self.load_budget = load_budget
        self.concurrency = concurrency
        self.tenant_shares = tenant_shares

    # -- a request from end to end

    def handle(self, request: Request) -> Steps:  # noqa: C901 - checkpoints refer to its waits
        """Makes attempts until one succeeds or none is left to make, then ends the request."""
        state, settings = self.state, self.state.settings
        yield from self.count_request(request)
        tick_ns = self._tick_ns(request)
        last_ns = request.deadline_ns - DEADLINE_MARGIN_TICKS * tick_ns
        tried: set[Worker] = set()
        while (worker := self._next_worker(request, tried, last_ns)) is not None:
            if request.attempts:
                retry_budget.spend_retry(worker)
            tried.add(worker)
            if not settings.loads_on_miss:
                yield from self._load_first(request.function, worker)
            attempt = self.begin_attempt(request, worker, last_ns)
            yield attempt
            # an attempt is never awaited beyond the deadline
            while attempt.result is None and state.now_ns <= last_ns:
                overdue_ns = state.now_ns + self._overdue_after_ns(request)
                answer: AttemptResult | None = yield Wait(min(last_ns + tick_ns, overdue_ns))
                if answer is not None and answer.is_final:
                    return
                if answer is None and self._is_lost(attempt):
                    if settings.may_hedge:
                        break
                    if settings.may_cancel:
                        yield Cancel(attempt)
        while any(a.result is None for a in request.attempts):
            answer = yield Wait(last_ns + tick_ns)
            if answer is None or answer.is_final:
                break
        if not any(a.result is Result.SUCCEEDED for a in request.attempts):
            yield self._reject_or_fail(request)

    def _tick_ns(self, request: Request) -> int:
        """The length of one tick of the margin before the deadline.

        It is shortened for a request with little time left, so that the request still gets an
        attempt when the event loop is late.
        """
        left_ns = request.deadline_ns - self.state.now_ns
        shared_ns = int(left_ns * MARGIN_SHARE) // DEADLINE_MARGIN_TICKS
        return min(self.state.settings.tick_ns, max(shared_ns, MIN_MARGIN_TICK_NS))

    def _next_worker(self, request: Request, tried: set[Worker], last_ns: int) -> Worker | None:
        """The worker for the next attempt, or None if no further attempt may be made."""
        attempts = request.attempts
        if self.state.now_ns >= last_ns or len(attempts) >= self.state.settings.attempt_limit:
            return None
        if sum(a.result is Result.ERROR for a in attempts) >= ERRORS_LIMIT:
            return None
        worker = self.placement.choose_worker(request, tried)
        if worker is None and attempts and attempts[-1].result is Result.ERROR:
            # no other worker may have the request: repeats it at one that was tried
            worker = self.placement.choose_worker(request, set())
        return worker

    def _load_first(self, function: Function, worker: Worker) -> Steps:
        """Requests the load of a replica, for workers that do not load functions on a miss."""
        replica = self.state.replica(function, worker)
        is_loaded_or_loading = self.state.is_warm(replica) or replica.load_requested_ns
        if not is_loaded_or_loading and self.load_budget.allows(worker):
            yield self.scaling.request_load(replica)

    def _overdue_after_ns(self, request: Request) -> int:
        """How long an attempt may take before it is overdue, and checked for being lost."""
        usual_ns: int = request.function.latency.quantile(OVERDUE_QUANTILE)
        return max(request.request_class.latency_objective_ns // 2, OVERDUE_MULTIPLE * usual_ns)

    def _is_lost(self, attempt: Attempt) -> bool:
        """Whether a request may be retried because of an overdue attempt.

        The attempt expected a warm replica, and its worker has sent no response since.
        """
        is_silent = attempt.expects_warm and attempt.worker.last_response_ns < attempt.sent_ns
        return bool(is_silent) and len(attempt.request.attempts) < self.state.settings.attempt_limit

    def _reject_or_fail(self, request: Request) -> Reject | Fail:
        """The final response to a request without a successful attempt."""
        if not self.repeats.may_reject(request):
            return Fail(request)
        return Reject(
            request,
            min(
                self.state.settings.retry_after_limit_ns,
                request.request_class.latency_objective_ns // 2,
            ),
        )

    # -- steps of a request

    def count_request(self, request: Request) -> Steps:
        """Counts a request in all rates, and checks its function at once if a rate exceeds Rmax."""
        state, function = self.state, request.function
        self.load_budget.record_request()
        state.note_request(function)
        function.requests += 1
        function.mean_cost += (request.cost - function.mean_cost) / min(
            function.requests, MEAN_COST_REQUESTS
        )
        function.last_request_ns = state.now_ns
        request.is_deferrable = request.is_retry or self.tenant_shares.is_over(request.tenant)
        if request.tenant:
            self.tenant_shares.record_request(request.tenant)
        if state.now_ns - function.second_start_ns > SECOND:
            function.new_requests[0], function.second_start_ns = 0, state.now_ns
        if not request.is_deferrable:
            function.new_requests = [count + 1 for count in function.new_requests]
            state.traffic.new_requests_in_period += 1
        if self._is_burst(function):
            yield from self.scaling.check(function, function.new_requests[0], SECOND)

    def _is_burst(self, function: Function) -> bool:
        """Whether this second's requests exceed Rmax beyond chance, or Rmax is still 0."""
        if function.requests <= 1:
            return False
        count = function.new_requests[0]
        lower_bound = count - BURST_DEVIATIONS * math.sqrt(count)
        capacity = function.capacity_per_second
        return not capacity or lower_bound * self.state.traffic.equivalent_dispatchers > capacity

    def begin_attempt(self, request: Request, worker: Worker, last_ns: int) -> Attempt:
        """Creates an attempt that has to end by `last_ns`, and counts it as in flight."""
        state, function = self.state, request.function
        replica = state.replica(function, worker)
        worker.in_flight += 1
        replica.in_flight += 1
        if worker.in_flight == 1:
            worker.overdue_since_ns = state.now_ns
        self.concurrency.record_attempt(worker)
        begin_by_ns = self.repeats.begin_by_ns(request)
        is_warm = int(state.is_warm(replica))
        attempt = Attempt(
            request, worker, last_ns - state.now_ns, state.now_ns, is_warm, begin_by_ns=begin_by_ns
        )
        if not replica.is_loaded and not replica.load_requested_ns:
            replica.load_requested_ns = state.now_ns
        worker.warm_in_flight += attempt.expects_warm
        state.warm_in_flight += attempt.expects_warm
        request.attempts.append(attempt)
        return attempt

    def close(self, request: Request, is_cancelled: bool) -> list[Action]:
        """The attempts to cancel once a request has ended or its client has left.

        None if the client left: workers complete most cancelled attempts all the same, and would
        count as idle meanwhile.
        """
        if is_cancelled and request.attempts:
            self.load_budget.withdraw_request(request.attempts[0].sent_ns)
        if is_cancelled or not self.state.settings.may_cancel:
            return []
        return [Cancel(attempt) for attempt in request.attempts if attempt.result is None]

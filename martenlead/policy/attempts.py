"""One request from its arrival to its final response: attempts, retries and hedging.

Rule 1, one final response in time: whatever becomes of its attempts, `Attempts.handle` ends before
the deadline with a success, a rejection or a failure. Rule 2, no effect twice, is asked of
repeats.py before each attempt. The retries are docs/design.md's "Retries".
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

ERRORS_LIMIT = 2  # workers where a request ended in an error: it would at the others too
DEADLINE_MARGIN_TICKS = 3  # a final response has to be out, and not only decided, by the deadline
MARGIN_SHARE = (
    0.5  # of a request's time that this may take: with more of it a late loop rejects all
)
UNSHARED_TICK_NS = (
    10_000_000  # a tick up to which it is kept whole all the same: nothing is that quick
)
OVERDUE_QUANTILE, OVERDUE_TIMES = (
    0.95,
    3,
)  # twice was too soon where a dispatcher seldom hears a worker
COST_REQUESTS = 60  # that the mean cost of a function's requests is taken from at most
BURST_DEVIATIONS = 2  # that a one-second rate is above Rmax by, before it is more than chance


class Attempts:
    """Takes requests, and has an attempt made where one may be made."""

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

    def handle(self, request: Request) -> Steps:  # noqa: C901 - a checkpoint knows its waits
        """Attempts until one succeeds or nothing is left to do, then the final response."""
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
            while (
                attempt.result is None and state.now_ns <= last_ns
            ):  # never waits on past the deadline
                overdue_ns = state.now_ns + self._patience_ns(request)
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
            yield self._give_up(request)

    def _tick_ns(self, request: Request) -> int:
        """The tick that is kept free before its deadline.

        Where the loop is late for once, a request of little time still gets an attempt.
        """
        left_ns = request.deadline_ns - self.state.now_ns
        shared_ns = int(left_ns * MARGIN_SHARE) // DEADLINE_MARGIN_TICKS
        return min(self.state.settings.tick_ns, max(shared_ns, UNSHARED_TICK_NS))

    def _next_worker(self, request: Request, tried: set[Worker], last_ns: int) -> Worker | None:
        """None where no further attempt is to be made."""
        attempts = request.attempts
        if self.state.now_ns >= last_ns or len(attempts) >= self.state.settings.attempt_limit:
            return None
        if sum(a.result is Result.ERROR for a in attempts) >= ERRORS_LIMIT:
            return None
        worker = self.placement.choose_worker(request, tried)
        if worker is None and attempts and attempts[-1].result is Result.ERROR:
            worker = self.placement.choose_worker(
                request, set()
            )  # nobody else may: the same, once more
        return worker

    def _load_first(self, function: Function, worker: Worker) -> Steps:
        """Asks for the replica, at workers that do not load on a miss."""
        replica = self.state.replica(function, worker)
        is_there = self.state.is_warm(replica) or replica.load_requested_ns
        if not is_there and self.load_budget.allows(worker):
            yield self.scaling.request_load(replica)

    def _patience_ns(self, request: Request) -> int:
        """How long an attempt may take before it is asked whether it is lost."""
        usual_ns: int = request.function.latency.quantile(OVERDUE_QUANTILE)
        return max(request.request_class.latency_objective_ns // 2, OVERDUE_TIMES * usual_ns)

    def _is_lost(self, attempt: Attempt) -> bool:
        """Whether an overdue attempt is one for a retry: its worker has not said a word since."""
        is_silent = attempt.expects_warm and attempt.worker.last_response_ns < attempt.sent_ns
        return bool(is_silent) and len(attempt.request.attempts) < self.state.settings.attempt_limit

    def _give_up(self, request: Request) -> Reject | Fail:
        if not self.repeats.may_reject(request):
            return Fail(request)
        return Reject(
            request,
            min(
                self.state.settings.retry_after_limit_ns,
                request.request_class.latency_objective_ns // 2,
            ),
        )

    # -- its parts

    def count_request(self, request: Request) -> Steps:
        """Counts it in all rates.

        A rate above Rmax runs the check at once.
        """
        state, function = self.state, request.function
        self.load_budget.record_request()
        state.note_request(function)
        function.requests += 1
        function.mean_cost += (request.cost - function.mean_cost) / min(
            function.requests, COST_REQUESTS
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
        """Whether this second's requests exceed Rmax beyond chance, or nothing is held yet."""
        if function.requests <= 1:
            return False
        count = function.new_requests[0]
        sure = count - BURST_DEVIATIONS * math.sqrt(count)
        capacity = function.capacity_per_second
        return not capacity or sure * self.state.traffic.equivalent_dispatchers > capacity

    def begin_attempt(self, request: Request, worker: Worker, last_ns: int) -> Attempt:
        """Counts an attempt as in flight.

        It has to end by `last_ns`.
        """
        state, function = self.state, request.function
        replica = state.replica(function, worker)
        worker.in_flight += 1
        replica.in_flight += 1
        if worker.in_flight == 1:
            worker.overdue_since_ns = state.now_ns
        self.concurrency.record_attempt(worker)
        by_ns = self.repeats.begin_by_ns(request)
        is_warm = int(state.is_warm(replica))
        attempt = Attempt(
            request, worker, last_ns - state.now_ns, state.now_ns, is_warm, begin_by_ns=by_ns
        )
        if not replica.is_loaded and not replica.load_requested_ns:
            replica.load_requested_ns = state.now_ns
        worker.warm_in_flight += attempt.expects_warm
        state.warm_in_flight += attempt.expects_warm
        request.attempts.append(attempt)
        return attempt

    def close(self, request: Request, is_cancelled: bool) -> list[Action]:
        """A request that is over leaves nothing waiting.

        Where its client left with its one attempt in flight, that may end: a worker goes on with
        most of what is cancelled, and would be taken for free meanwhile.
        """
        if is_cancelled and request.attempts:
            self.load_budget.withdraw_request(request.attempts[0].sent_ns)
        if is_cancelled or not self.state.settings.may_cancel:
            return []
        return [Cancel(attempt) for attempt in request.attempts if attempt.result is None]

"""Notifies the policy of events and carries out its decisions, without deciding anything itself.

How a request is processed: `accept` submits it to the policy, whose generator makes attempts
through `_perform`. The link sends each attempt to its worker and reports its end by
`attempt_ended`, which passes it to the policy as an `AttemptResult`. The final outcome is set on
the `PendingRequest`, whose `on_outcome` notifies the listener; the listener calls `close` when it
sends the response.

Membership, functions, load requests and the decision loop are components of the dispatcher. The
protocols of clients, workers and discovery are known only to listeners, links and sources.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from time import monotonic_ns
from typing import Any

import anyio

from martenlead.edge.cancellation import CancellationSource
from martenlead.edge.decision_log import DecisionLog
from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.event_loop_lag import EventLoopLag
from martenlead.edge.function_table import FunctionTable
from martenlead.edge.interfaces import MembershipSource, UpstreamLink
from martenlead.edge.late_responses import LateResponses
from martenlead.edge.load_requester import LoadRequester
from martenlead.edge.membership import Membership
from martenlead.edge.policy_boundary import PolicyBoundary, Recorder
from martenlead.edge.records import (
    DispatcherSettings,
    FinalOutcome,
    FunctionEntry,
    IncomingRequest,
    InFlightAttempt,
    OpaqueContent,
    PendingRequest,
    PolicyFunction,
    PolicyWorker,
    UpstreamWorker,
)
from martenlead.policy.types import (
    Action,
    Attempt,
    AttemptResult,
    Cancel,
    Fail,
    ListWorkers,
    LoadRequest,
    Reject,
    Request,
    Result,
    Wait,
)
from martenlead.upstream.endpoints import Endpoint
from martenlead.upstream.outcome import UpstreamOutcome

FAULT_CHECK_SECONDS = 0.005  # interval of checks for overdue requests after a fault
FAULT_REASON = "a fault of the dispatcher"
STOP_REASON = "the dispatcher stops"

# returns the status of another component, as plain values in a format of its own
StatusReporter = Callable[[], dict[str, Any]]


class Dispatcher:
    """Connects one policy engine with listeners, workers and discovery.

    `run` owns the task group; other methods are called while it runs, except where stated.
    """

    def __init__(
        self,
        settings: DispatcherSettings,
        link: UpstreamLink[Dispatcher],
        source: MembershipSource[Dispatcher],
        clock: Callable[[], int] = monotonic_ns,
        recorder: Recorder | None = None,
    ) -> None:
        self.settings, self.link, self.source, self.clock = settings, link, source, clock
        self.request_classes, self.tenants = settings.request_classes, settings.tenants
        self.deadlines_ns = settings.deadlines_ns
        self.deadline_margin_ns = settings.deadline_margin_ns
        self.random = Random(settings.seed)
        self.counts: Counter[tuple[str, str]] = Counter()
        self.pending_requests: dict[Request, PendingRequest] = {}
        self.pending_bytes = 0
        self.least_time_left_ns: int | None = None  # before the deadline, at final responses
        self._in_flight: dict[Attempt, InFlightAttempt] = {}
        # set by a listener that remembers the identities of requests
        self.record_close: Callable[[bytes, bool], None] | None = None
        # set by components whose status is reported to operators
        self.report_planner: StatusReporter | None = None
        self.report_queues: StatusReporter | None = None
        self._make_decision_parts(recorder)
        self._make_tables()
        link.attach(self)

    def _make_decision_parts(self, recorder: Recorder | None) -> None:
        """Creates the policy boundary, the decision loop and the measurement of its lag."""
        settings = self.settings
        policy_settings = settings.policy_settings
        policy_settings.function_limit = settings.function_limit
        self.policy_boundary = PolicyBoundary(
            policy_settings,
            settings.seed,
            self.clock,
            self._perform,
            recorder,
            (list(self.request_classes), self.tenants),
        )
        loop = DecisionLoop(
            self.policy_boundary,
            self.clock,
            self.counts,
            settings.name,
            self.link.end_overdue_attempts,
        )
        self.decision_loop = loop
        # bound here to avoid another call layer
        self.defer, self._decide, self._run_due = loop.defer, loop.decide, loop.run_due
        self.event_loop_lag = EventLoopLag(self.clock, policy_settings.tick_ns, self._set_tick)
        self._late_responses = LateResponses(
            self.counts, settings.name, lambda: self.event_loop_lag.tick_ns
        )

    def _make_tables(self) -> None:
        """Creates membership, functions and load requests, and makes their tables attributes."""
        name, loop = self.settings.name, self.decision_loop
        self.endpoint_list = self.source.endpoint_list
        self.membership = Membership(self.endpoint_list, loop, self.link, name)
        self.workers = self.membership.workers
        self.by_policy_worker = self.membership.by_policy_worker
        self.snapshot_received = self.membership.snapshot_received
        self.function_table = FunctionTable(loop, self.settings.function_limit)
        self.functions_by_name = self.function_table.by_name
        self.by_policy_function = self.function_table.by_policy_function
        self.find_or_add_function = self.function_table.find_or_add
        self._decision_log: DecisionLog | None = None
        if self.settings.logs_decisions:
            self._decision_log = DecisionLog(
                name, self.by_policy_worker, self.by_policy_function, self.pending_requests
            )
        self.load_requester = LoadRequester(
            self.link, loop, self.membership, self.function_table, self._decision_log
        )

    def use_policy_boundary(self, policy_boundary: PolicyBoundary) -> None:
        """Replaces the policy boundary, for instance by one that measures; called before `run`."""
        self.policy_boundary = self.decision_loop.policy_boundary = policy_boundary

    async def run(self) -> None:
        """Serves until it is cancelled."""
        async with anyio.create_task_group() as group:
            self.policy_boundary.start()
            group.start_soon(self.decision_loop.run)
            group.start_soon(self.event_loop_lag.run)
            group.start_soon(self._end_overdue_after_fault)
            group.start_soon(self.link.run)
            group.start_soon(self.source.run, self)

    def record_fault(self, error: Exception) -> None:
        """Logs and counts an unexpected exception of the policy or the dispatcher.

        A request that it left without a pending wait is ended by `_end_overdue_after_fault`.
        """
        self.decision_loop.record_fault(error)

    async def _end_overdue_after_fault(self) -> None:
        """After a fault, ends each request at its deadline, whatever the state of its generator."""
        await self.decision_loop.fault_recorded.wait()
        while True:
            await anyio.sleep(FAULT_CHECK_SECONDS)
            overdue_from_ns = self.clock() + self.event_loop_lag.tick_ns
            for policy_request, request in list(self.pending_requests.items()):
                if overdue_from_ns > policy_request.deadline_ns and request.outcome is None:
                    self._end_without_response(request, policy_request, FAULT_REASON)
            self._run_due()

    def _end_without_response(
        self, request: PendingRequest, policy_request: Request, reason: str
    ) -> None:
        """Rejects a request that certainly did not run; fails one that may have."""
        may_reject = self._may_repeat(policy_request)
        request.reason = reason
        request.end(FinalOutcome.REJECTED if may_reject else FinalOutcome.FAILED)

    def _may_repeat(self, policy_request: Request) -> bool:
        """Whether the client may repeat a request, as it certainly did not run or has no effect."""
        in_flight = [self._in_flight.get(attempt) for attempt in policy_request.attempts]
        unsent = [
            attempt.policy_attempt
            for attempt in in_flight
            if attempt is not None and not self.link.has_sent(attempt)
        ]
        return self.policy_boundary.may_reject(policy_request, *unsent)

    def _set_tick(self, tick_ns: int) -> None:
        self.policy_boundary.set_tick(tick_ns)

    # -- membership

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Applies a membership delta or snapshot from the source."""
        self.membership.update_endpoints(endpoints, is_snapshot)

    def mark_draining(self, worker: UpstreamWorker) -> None:
        """Marks a worker as draining, as it has announced itself."""
        self.membership.mark_draining(worker)

    # -- requests

    def accept(
        self,
        incoming: IncomingRequest,
        arrived_ns: int,
        content: OpaqueContent = None,
        size_bytes: int = 0,
        is_retry: bool | None = None,
        on_outcome: Callable[[PendingRequest], None] | None = None,
        client: CancellationSource[PendingRequest] | None = None,
    ) -> PendingRequest:
        """Submits a request to the policy.

        The listener has checked its names and the limits before. `on_outcome` is called at the
        final outcome, and the listener calls `close` when it sends the response. `is_retry`
        overrides the value in `incoming`.
        """
        request = PendingRequest(incoming, arrived_ns, content, size_bytes, on_outcome, client)
        entry = self.find_or_add_function(incoming.function, incoming.lanes, incoming.memory_mb)
        limit_ns, left_ns = self.deadlines_ns[incoming.request_class], incoming.time_left_ns
        if left_ns is not None:
            limit_ns = min(left_ns, limit_ns)
        faults_before = self.decision_loop.fault_count
        self._decide(
            self.policy_boundary.accept_request,
            entry.policy_function,
            self.request_classes[incoming.request_class],
            self.tenants.get(incoming.tenant or ""),
            arrived_ns + limit_ns - self.deadline_margin_ns,
            incoming.is_retry if is_retry is None else is_retry,
            incoming.cost_seconds,
            partial(self._add_pending, request, entry),
            incoming.trace_id,
        )
        if self.decision_loop.fault_count > faults_before:
            self._reject_if_unsent(request)
        return request

    def _add_pending(
        self, request: PendingRequest, entry: FunctionEntry, policy_request: Request
    ) -> None:
        """Registers a request with the policy's object for it, before the policy decides on it."""
        request.policy_request = policy_request
        self.pending_requests[policy_request] = request
        self.pending_bytes += request.size_bytes
        entry.pending_requests += 1

    @staticmethod
    def _reject_if_unsent(request: PendingRequest) -> None:
        """Rejects a request without attempts at once after a fault during its acceptance."""
        if request.policy_request is None or not request.policy_request.attempts:
            request.reason = FAULT_REASON
            request.end(FinalOutcome.REJECTED)

    async def wait_for_outcome(self, request: PendingRequest) -> None:
        """Waits for the final outcome. Cancellation means that the client has left."""
        try:
            if request.outcome is None:
                event = anyio.Event()
                request.on_outcome = lambda _: event.set()
                await event.wait()
        finally:
            request.end(FinalOutcome.CLIENT_LEFT)
            self.close(request)

    def finish_all(self) -> None:
        """Sets the final outcome of every pending request now."""
        for request in list(self.pending_requests.values()):
            if request.policy_request is not None and request.outcome is None:
                self._end_without_response(request, request.policy_request, STOP_REASON)

    def close(self, request: PendingRequest) -> None:
        """Closes a request whose response is being sent or whose client has left.

        Attempts that are still in flight are cancelled.
        """
        policy_request, outcome = request.policy_request, request.outcome
        if policy_request is None or self.pending_requests.pop(policy_request, None) is None:
            return
        self.pending_bytes -= request.size_bytes
        entry = self.by_policy_function.get(policy_request.function)
        if entry is not None:
            entry.pending_requests -= 1
        if request.incoming.identity and self.record_close is not None:
            self.record_close(request.incoming.identity, self._may_repeat(policy_request))
        if outcome is not None:
            self.counts["final", outcome.value] += 1
            if outcome is not FinalOutcome.CLIENT_LEFT:
                now_ns = self.clock()
                left_ns = policy_request.deadline_ns - now_ns
                if left_ns < 0:
                    self._late_responses.record(request, policy_request, outcome, now_ns)
                least_ns = self.least_time_left_ns
                self.least_time_left_ns = left_ns if least_ns is None else min(least_ns, left_ns)
        final = outcome.value if outcome is not None else ""
        self._decide(self.policy_boundary.close_request, policy_request, final)

    def _perform(self, action: Action) -> None:
        """Carries out one decision. Must not call the policy, which is still deciding."""
        match action:
            case Attempt(request=policy_request, worker=policy_worker):
                worker = self.by_policy_worker[policy_worker]
                request = self.pending_requests[policy_request]
                number = len(policy_request.attempts) - 1
                attempt = InFlightAttempt(action, request, worker, number)
                self._in_flight[action] = attempt
                worker.in_flight += 1
                self.link.send_attempt(attempt)
            case Reject(request=policy_request, retry_after_ns=retry_after_ns):
                request = self.pending_requests[policy_request]
                request.retry_after_ns = retry_after_ns
                request.end(FinalOutcome.REJECTED)
            case Fail(request=policy_request):
                self.pending_requests[policy_request].end(FinalOutcome.FAILED)
            case Cancel(attempt=policy_attempt):
                found = self._in_flight.get(policy_attempt)
                if found is not None:
                    self.link.cancel_attempt(found)
            case LoadRequest():
                self.load_requester.send(action)
            case ListWorkers() | Wait():
                pass  # the source sends the list without a request; the engine runs the timers
        if self._decision_log is not None:
            self._decision_log.log_decision(action)

    # -- ends of attempts

    def attempt_ended(self, attempt: InFlightAttempt, outcome: UpstreamOutcome) -> None:
        """Receives the end of an attempt from the link; a second report is ignored."""
        self.defer(self._end_attempt, attempt, outcome, self.clock())

    def _end_attempt(
        self, attempt: InFlightAttempt, upstream: UpstreamOutcome, ended_ns: int
    ) -> None:
        policy_attempt, request, worker = attempt.policy_attempt, attempt.request, attempt.worker
        if self._in_flight.pop(policy_attempt, None) is None:
            return
        worker.in_flight -= 1
        if upstream.is_draining:
            self.mark_draining(worker)
        worker.load_report.update(upstream.load_report)
        self.counts["hand-off", upstream.result.value] += 1
        if upstream.load_failure:
            self.counts["load failed", upstream.load_failure] += 1
        is_final = request.outcome is not None
        if not is_final:
            request.reason = upstream.reason
            if upstream.result is Result.SUCCEEDED:
                is_final = True
                request.response = upstream.response
                request.end(FinalOutcome.SUCCEEDED)
        latency_ns = max(0, ended_ns - policy_attempt.sent_ns)
        result = AttemptResult(
            policy_attempt, upstream.result, is_final, upstream.warmth, latency_ns
        )
        self._decide(self.policy_boundary.record_result, result)
        self.membership.forget_if_gone(worker)
        if self._decision_log is not None:
            self._decision_log.log_attempt_end(attempt, upstream)

    # -- decisions of a planner

    def apply_plan(
        self,
        load_requests: Iterable[tuple[int, PolicyWorker, PolicyFunction]],
        retained: Iterable[tuple[PolicyWorker, PolicyFunction, bool]],
    ) -> tuple[int, int]:
        """Carries out the decisions of a planner.

        Each of `load_requests` has the planner's number, the worker and the function. Each of
        `retained` has a replica's worker and function, and whether the replica is retained. Returns
        how many load requests were sent, and how many the load budget did not allow.
        """
        sent = refused = 0
        try:
            for worker, function, is_retained in retained:
                self.policy_boundary.set_retained(worker, function, is_retained)
            for number, worker, function in load_requests:
                if self.policy_boundary.request_load(number, worker, function) is None:
                    refused += 1
                else:
                    sent += 1
        except Exception as error:
            self.record_fault(error)
        self._run_due()
        return sent, refused

    def confirm_replicas(self, replicas: Iterable[tuple[str, str, int, float, float]]) -> None:
        """Confirms replicas of an earlier run; see `LoadRequester.confirm_replicas`."""
        self.load_requester.confirm_replicas(replicas)

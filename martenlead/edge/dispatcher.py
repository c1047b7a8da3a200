"""Tells the policy what happens and carries out what it decides. It decides nothing itself.

A request's way: `take` makes it known to the policy, whose generator asks for attempts through `_outlet`; the
link carries each to its worker and reports its end by `ended`, which goes back as an `Answer`; the final
response is set on `Held`, whose `done` tells the listener. Here stand the held requests and their attempts;
membership, functions, load requests and the decision loop are parts that the dispatcher holds. What is spoken
with clients, workers and discovery is known to the listeners, links and sources alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
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
from martenlead.edge.load_requester import LoadRequester
from martenlead.edge.membership import Membership
from martenlead.edge.policy_boundary import PolicyBoundary, Recorder
from martenlead.edge.records import (
    DispatcherSettings,
    FinalOutcome,
    IncomingRequest,
    InFlightAttempt,
    PendingRequest,
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

FAULT_CHECK_SECONDS = 0.005  # after a fault, between two looks for requests past their time


class Dispatcher:
    """One policy engine and what is around it. `run` holds its task group; all else is called inside it."""

    def __init__(
        self,
        about: DispatcherSettings,
        link: UpstreamLink,
        source: MembershipSource,
        clock: Callable[[], int] = monotonic_ns,
        tape: Recorder | None = None,
    ) -> None:
        self.settings, self.link, self.source, self.clock = about, link, source, clock
        told = about.policy_settings
        told.function_limit = about.function_limit
        self.request_classes, self.tenants, self.deadlines_ns = (
            about.request_classes,
            about.tenants,
            about.deadlines_ns,
        )
        self.deadline_margin_ns = about.deadline_margin_ns
        names = list(self.request_classes), self.tenants
        self.policy_boundary = PolicyBoundary(told, about.seed, clock, self._carry_out, tape, names)
        self.random = Random(about.seed)
        self.counts: Counter[tuple[str, str]] = Counter()
        self.decision_loop = DecisionLoop(self.policy_boundary, clock, self.counts, about.name)
        # bound here, as `known` is below: a call of them passes no further layer
        self.defer, self._decide, self._run_due = (
            self.decision_loop.defer,
            self.decision_loop.decide,
            self.decision_loop.run_due,
        )
        self.event_loop_lag = EventLoopLag(
            clock, told.tick_ns, lambda tick: self.policy_boundary.set_tick(tick)
        )
        self.membership = Membership(source.endpoint_list, self.decision_loop, link, about.name)
        self.workers, self.by_policy_worker = self.membership.workers, self.membership.by_policy_worker
        self.function_table = FunctionTable(self.decision_loop, about.function_limit)
        self.functions_by_name, self.by_policy_function = (
            self.function_table.by_name,
            self.function_table.by_policy_function,
        )
        self.find_or_add_function = self.function_table.find_or_add
        self.pending_requests: dict[Request, PendingRequest] = {}
        self.pending_bytes = 0
        self.endpoint_list = source.endpoint_list
        self.least_time_left_ns: int | None = None  # least time left at a final answer, ns
        self._in_flight: dict[Attempt, InFlightAttempt] = {}
        self._decision_log: DecisionLog | None = None
        if about.logs_decisions:
            self._decision_log = DecisionLog(
                about.name, self.by_policy_worker, self.by_policy_function, self.pending_requests
            )
        self.load_requester = LoadRequester(
            link, self.decision_loop, self.membership, self.function_table, self._decision_log
        )
        self.snapshot_received = self.membership.snapshot_received
        self.report_planner: Callable[[], dict[str, Any]] | None = None
        self.report_queues: Callable[[], dict[str, Any]] | None = None
        link.attach(self)

    def use_policy_boundary(self, border: PolicyBoundary) -> None:
        """Puts another border in the place of its own, such as one that measures; before `run`."""
        self.policy_boundary = self.decision_loop.policy_boundary = border

    # -- life

    async def run(self) -> None:
        """Until cancelled."""
        async with anyio.create_task_group() as group:
            self.policy_boundary.start()
            group.start_soon(self.decision_loop.run)
            group.start_soon(self.event_loop_lag.run)
            group.start_soon(self._guard)
            group.start_soon(self.link.run)
            group.start_soon(self.source.run, self)

    def record_fault(self, error: Exception) -> None:
        """An exception where none should be. The request that it left without a wait is ended by `_guard`."""
        self.decision_loop.record_fault(error)

    async def _guard(self) -> None:
        """After a fault: no request is held past its time, whatever became of its generator."""
        await self.decision_loop.fault_recorded.wait()
        while True:
            await anyio.sleep(FAULT_CHECK_SECONDS)
            late = self.clock() + self.event_loop_lag.tick_ns
            for task, held in list(self.pending_requests.items()):
                if late > task.deadline_ns and held.outcome is None:
                    held.reason = "a fault of the dispatcher"
                    held.end(
                        FinalOutcome.REJECTED
                        if self.policy_boundary.may_reject(task)
                        else FinalOutcome.FAILED
                    )
            self._run_due()

    # -- membership

    def update_endpoints(self, told: list[Endpoint], whole: bool) -> None:
        """What a source was told, of changes or of the whole list."""
        self.membership.update_endpoints(told, whole)

    def mark_draining(self, box: UpstreamWorker) -> None:
        """A worker's own word that it drains."""
        self.membership.mark_draining(box)

    # -- requests

    def accept(
        self,
        wanted: IncomingRequest,
        arrived: int,
        content: Any = None,
        size: int = 0,
        again: bool | None = None,
        done: Callable[[PendingRequest], None] | None = None,
        client: CancellationSource | None = None,
    ) -> PendingRequest:
        """Makes a request known to the policy. The listener has checked the names and the limits, and calls
        `over` once the final answer, which `done` is told of, is on its way. `again` goes before what
        `wanted` says."""
        held = PendingRequest(wanted, arrived, content, size, done, client)
        known = self.find_or_add_function(wanted.function, wanted.lanes, wanted.memory_mb)
        limit = self.deadlines_ns[wanted.request_class]
        left = limit if wanted.time_left_ns is None else min(wanted.time_left_ns, limit)
        give_up = arrived + left - self.deadline_margin_ns

        def note(task: Request) -> None:
            held.policy_request = task
            self.pending_requests[task] = held
            self.pending_bytes += size
            known.pending_requests += 1

        customer = self.tenants.get(wanted.tenant or "")
        offering, faults = self.request_classes[wanted.request_class], self.decision_loop.fault_count
        again = wanted.is_retry if again is None else again
        self._decide(
            self.policy_boundary.accept_request,
            known.policy_function,
            offering,
            customer,
            give_up,
            again,
            wanted.cost_seconds,
            note,
            wanted.trace_id,
        )
        if self.decision_loop.fault_count > faults and (
            held.policy_request is None or not held.policy_request.attempts
        ):
            held.reason = "a fault of the dispatcher"  # nothing was sent: no need to wait for `_guard`
            held.end(FinalOutcome.REJECTED)
        return held

    async def wait_for_outcome(self, held: PendingRequest) -> None:
        """Waits for the final answer. Cancelled, the client has left."""
        try:
            if held.outcome is None:
                event = anyio.Event()
                held.on_outcome = lambda _: event.set()
                await event.wait()
        finally:
            held.end(FinalOutcome.CLIENT_LEFT)
            self.close(held)

    def finish_all(self) -> None:
        """Every held request gets its answer now."""
        for held in list(self.pending_requests.values()):
            if held.policy_request is not None and held.outcome is None:
                back = self.policy_boundary.may_reject(held.policy_request)
                held.reason = "the dispatcher stops"
                held.end(FinalOutcome.REJECTED if back else FinalOutcome.FAILED)

    def close(self, held: PendingRequest) -> None:
        """The final answer is on its way, or nobody waits for it: what is still out is cancelled."""
        task = held.policy_request
        if task is None or self.pending_requests.pop(task, None) is None:
            return
        self.pending_bytes -= held.size_bytes
        known = self.by_policy_function.get(task.function)
        if known is not None:
            known.pending_requests -= 1
        if held.outcome is not None:
            self.counts["final", held.outcome.value] += 1
            if held.outcome is not FinalOutcome.CLIENT_LEFT:
                left = task.deadline_ns - self.clock()
                self.least_time_left_ns = (
                    left if self.least_time_left_ns is None else min(self.least_time_left_ns, left)
                )
        self._decide(self.policy_boundary.close_request, task, held.outcome.value if held.outcome else "")

    def _carry_out(self, action: Action) -> None:
        """Carries out one decision. Nothing here calls the policy back: it is in the middle of deciding."""
        match action:
            case Attempt(request=task, worker=runner):
                box = self.by_policy_worker[runner]
                out = self._in_flight[action] = InFlightAttempt(
                    action, self.pending_requests[task], box, len(task.attempts) - 1
                )
                box.in_flight += 1
                self.link.send_attempt(out)
            case Reject(request=task, retry_after_ns=wait):
                held = self.pending_requests[task]
                held.retry_after_ns = wait
                held.end(FinalOutcome.REJECTED)
            case Fail(request=task):
                self.pending_requests[task].end(FinalOutcome.FAILED)
            case Cancel(attempt=hand_off):
                found = self._in_flight.get(hand_off)
                if found is not None:
                    self.link.cancel_attempt(found)
            case LoadRequest():
                self.load_requester.send(action)
            case ListWorkers() | Wait():
                pass  # the roster is pushed; the engine keeps the waits
        if self._decision_log is not None:
            self._decision_log.log_decision(action)

    # -- ends of attempts

    def attempt_ended(self, out: InFlightAttempt, told: UpstreamOutcome) -> None:
        """From the link: the one end of an attempt."""
        self.defer(self._end_attempt, out, told, self.clock())

    def _end_attempt(self, out: InFlightAttempt, told: UpstreamOutcome, now: int) -> None:
        hand_off, held, box = out.policy_attempt, out.request, out.worker
        if self._in_flight.pop(hand_off, None) is None:
            return
        box.in_flight -= 1
        if told.is_draining:
            self.mark_draining(box)
        box.load_report.update(told.load_report)
        self.counts["hand-off", told.result.value] += 1
        if told.load_failure:
            self.counts["load failed", told.load_failure] += 1
        if held.outcome is None:
            held.reason = told.reason
        first = told.result is Result.SUCCEEDED and held.outcome is None
        final = first or held.outcome is not None
        if first:
            held.response = told.response
            held.end(FinalOutcome.SUCCEEDED)
        lag = max(0, now - hand_off.sent_ns)
        self._decide(
            self.policy_boundary.record_result, AttemptResult(hand_off, told.result, final, told.warmth, lag)
        )
        self.membership.forget_if_gone(box)
        if self._decision_log is not None:
            self._decision_log.log_attempt_end(out, told)

    # -- what a planner decided

    def apply_plan(
        self, orders: Iterable[tuple[int, Any, Any]], held: Iterable[tuple[Any, Any, bool]]
    ) -> tuple[int, int]:
        """Load requests by the planner's number, worker and function, and which replicas are held. Returns
        how many load requests were sent, and how many the budget had no room for."""
        given = refused = 0
        try:
            for runner, model, on in held:
                self.policy_boundary.set_retained(runner, model, on)
            for number, runner, model in orders:
                if self.policy_boundary.request_load(number, runner, model) is None:
                    refused += 1
                else:
                    given += 1
        except Exception as error:
            self.record_fault(error)
        self._run_due()
        return given, refused

    def confirm_replicas(self, copies: Iterable[tuple[str, str, int, float, float]]) -> None:
        """Asks workers for replicas of an incarnation before, as `Loads.recall`."""
        self.load_requester.confirm_replicas(copies)

    # -- what operators see

    def report_status(self) -> dict[str, Any]:
        """Of the process, in plain values."""
        return {
            "edge": self.settings.name,
            "roster": {"version": self.endpoint_list.version, "runners": len(self.endpoint_list.endpoints)},
            "planner": self.report_planner() if self.report_planner else None,
            "door": self.report_queues() if self.report_queues else None,
            "held": len(self.pending_requests),
            "held_bytes": self.pending_bytes,
            "models": len(self.functions_by_name),
            "tick_ms": self.event_loop_lag.tick_ns / 1e6,
            "worst_lag_ms": self.event_loop_lag.worst_ns / 1e6,
            "closest_answer_ms": None if self.least_time_left_ns is None else self.least_time_left_ns / 1e6,
            "counts": {f"{kind}/{name}": n for (kind, name), n in sorted(self.counts.items())},
            "runners": self.membership.report_workers(),
        }

"""Converts the policy's notifications and decisions to the events that captures store.

Stored events refer to objects by number. The recorder numbers objects in the order of their first
appearance, and does not read the policy's state.
"""

from __future__ import annotations

import hashlib
import inspect
import platform
from collections.abc import Callable
from typing import Any

from martenlead.capture import events as ev
from martenlead.policy import (
    attempts,
    candidates,
    concurrency,
    earlier_run,
    latency,
    load_budget,
    outliers,
    placement,
    policy,
    repeats,
    replica_scaling,
    results,
    retry_budget,
    slow_start,
    state,
    tenant_shares,
)
from martenlead.policy import boundary_events as boundary
from martenlead.policy.state import Function, Worker
from martenlead.policy.types import (
    Action,
    Attempt,
    Cancel,
    EarlierFunction,
    Fail,
    ListWorkers,
    LoadRequest,
    Reject,
    Request,
    RequestClass,
    Tenant,
)
from martenlead.system.clocks import wall_ns

PROGRAM_VERSION = "0.2.0"
NS_PER_SECOND = 1e9
NO_TENANT = -1  # stored for a request without a tenant
DECISION_MODULES = (
    attempts,
    candidates,
    concurrency,
    earlier_run,
    latency,
    load_budget,
    outliers,
    placement,
    policy,
    repeats,
    replica_scaling,
    results,
    retry_budget,
    slow_start,
    state,
    tenant_shares,
)

# stored name in a checkpoint -> attribute of the recorder
STORED_STATE = {
    "_runners": "_worker_numbers",
    "_models": "_function_numbers",
    "_tasks": "_request_numbers",
    "_orders": "_load_numbers",
    "_offerings": "_request_class_numbers",
    "_customers": "_tenant_numbers",
    "_over": "_closed_requests",
    "_count": "_request_count",
    "_ordered": "_load_count",
}


def policy_hash() -> str:
    """Hash of the source code of all modules that decide; equal hashes mean equal decisions."""
    source = "".join(inspect.getsource(module) for module in DECISION_MODULES)
    return hashlib.sha256(source.encode()).hexdigest()[:16]


class CaptureRecorder:
    """Numbers the objects of one run, and passes each stored event to a sink."""

    def __init__(self, sink: Callable[[ev.CaptureEvent], None], edge: str) -> None:
        """`edge` is the dispatcher's name."""
        self.sink, self.edge = sink, edge
        self._worker_numbers: dict[Worker, int] = {}
        self._function_numbers: dict[Function, int] = {}
        self._request_numbers: dict[Request, int] = {}
        self._load_numbers: dict[LoadRequest, int] = {}
        self._request_class_numbers: dict[RequestClass, int] = {}
        self._tenant_numbers: dict[Tenant, int] = {}
        self._closed_requests: set[Request] = set()  # closed, with attempts still in flight
        self._request_count = self._load_count = 0
        # each handler takes its own type of event, hence `Any`
        self._record: dict[type[boundary.BoundaryEvent], Callable[[Any], None]] = {
            boundary.RunStarted: self._record_start,
            boundary.EngineStarted: self._record_engine_start,
            boundary.TickChanged: self._record_tick,
            boundary.WorkerAdded: self._record_worker,
            boundary.FunctionAdded: self._record_function,
            boundary.WorkersUpdated: self._record_worker_updates,
            boundary.RequestAccepted: self._record_request,
            boundary.AttemptEnded: self._record_attempt_end,
            boundary.LoadEnded: self._record_load_end,
            boundary.RequestClosed: self._record_request_end,
            boundary.Advance: self._record_advance,
            boundary.RetentionChanged: self._record_retention,
            boundary.LoadPlanned: self._record_planned_load,
            boundary.LoadRequestsAllowed: self._record_permission,
            boundary.ReplicaConfirmed: self._record_confirmation,
            boundary.WorkerChoiceRequested: self._record_worker_choice,
            boundary.KnowledgeRestored: self._record_knowledge,
        }

    def record(self, event: boundary.BoundaryEvent) -> None:
        """Stores one notification."""
        self._record[type(event)](event)

    # -- numbers of objects

    @property
    def worker_numbers(self) -> dict[Worker, int]:
        """The numbers of all workers."""
        return self._worker_numbers

    @property
    def function_numbers(self) -> dict[Function, int]:
        """The numbers of all functions."""
        return self._function_numbers

    @property
    def request_numbers(self) -> dict[Request, int]:
        """The numbers of all requests that are open or have an attempt in flight."""
        return self._request_numbers

    @property
    def tenant_numbers(self) -> dict[Tenant, int]:
        """The numbers of all tenants."""
        return self._tenant_numbers

    # -- state in a checkpoint

    def pack_state(self) -> dict[str, object]:
        """The recorder's state, by the names that checkpoints store."""
        return {stored: getattr(self, name) for stored, name in STORED_STATE.items()}

    def restore_state(self, state: dict[str, object]) -> None:
        """Restores the state of another recorder from `pack_state`."""
        for stored, value in state.items():
            setattr(self, STORED_STATE[stored], value)

    # -- notifications

    def _record_start(self, event: boundary.RunStarted) -> None:
        tenants = event.tenants
        self._request_class_numbers = {c: n for n, c in enumerate(event.settings.request_classes)}
        self._tenant_numbers = {tenant: n for n, tenant in enumerate(tenants.values())}
        self.sink(
            ev.RunStarted(
                event.time_ns,
                wall_ns() / NS_PER_SECOND,
                self.edge,
                policy_hash(),
                PROGRAM_VERSION,
                platform.python_version(),
                event.seed,
                ev.pack_settings(event.settings),
                event.request_class_names,
                [(name, tenant.rate_limit_per_second) for name, tenant in tenants.items()],
            )
        )

    def _record_engine_start(self, event: boundary.EngineStarted) -> None:
        self.sink(ev.EngineStarted(event.time_ns))

    def _record_tick(self, event: boundary.TickChanged) -> None:
        self.sink(ev.TickChanged(event.time_ns, event.tick_ns))

    def _record_worker(self, event: boundary.WorkerAdded) -> None:
        number = self._worker_numbers[event.worker] = len(self._worker_numbers)
        self.sink(ev.WorkerAdded(event.time_ns, number, event.name, ev.pack_facts(event.facts)))

    def _record_function(self, event: boundary.FunctionAdded) -> None:
        number = self._function_numbers[event.function] = len(self._function_numbers)
        facts = event.facts
        self.sink(
            ev.FunctionAdded(
                event.time_ns, number, event.name, f"{facts.mark:x}", facts.lanes, facts.memory_mb
            )
        )

    def _record_worker_updates(self, event: boundary.WorkersUpdated) -> None:
        updates = [
            (self._worker_numbers[worker], ev.pack_facts(facts)) for worker, facts in event.updates
        ]
        self.sink(ev.WorkersUpdated(event.time_ns, event.is_complete, updates))

    def _record_request(self, event: boundary.RequestAccepted) -> None:
        request = event.request
        self._request_count += 1
        number = self._request_numbers[request] = self._request_count
        self.sink(
            ev.RequestAccepted(
                event.time_ns,
                number,
                event.name,
                self._function_numbers[request.function],
                self._request_class_numbers[request.request_class],
                NO_TENANT if request.tenant is None else self._tenant_numbers[request.tenant],
                request.deadline_ns,
                request.is_retry,
                request.cost,
            )
        )

    def _record_attempt_end(self, event: boundary.AttemptEnded) -> None:
        result = event.result
        request = result.attempt.request
        self.sink(
            ev.AttemptEnded(
                event.time_ns,
                self._request_numbers[request],
                request.attempts.index(result.attempt),
                result.result.value,
                result.is_final,
                result.warmth.value,
                result.latency_ns,
            )
        )
        # the policy sets the result after this call, so one attempt without a result is this one
        if (
            request in self._closed_requests
            and sum(a.result is None for a in request.attempts) == 1
        ):
            self._closed_requests.discard(request)
            del self._request_numbers[request]

    def _record_load_end(self, event: boundary.LoadEnded) -> None:
        number = self._load_numbers.pop(event.load_request)
        self.sink(ev.LoadEnded(event.time_ns, number, event.result.value, event.replicas))

    def _record_request_end(self, event: boundary.RequestClosed) -> None:
        request = event.request
        self.sink(ev.RequestClosed(event.time_ns, self._request_numbers[request], event.outcome))
        if any(attempt.result is None for attempt in request.attempts):
            self._closed_requests.add(request)
        else:
            del self._request_numbers[request]

    def _record_advance(self, event: boundary.Advance) -> None:
        self.sink(ev.Advance(event.time_ns))

    def _record_retention(self, event: boundary.RetentionChanged) -> None:
        worker, function = (
            self._worker_numbers[event.worker],
            self._function_numbers[event.function],
        )
        self.sink(ev.RetentionChanged(event.time_ns, worker, function, event.is_retained))

    def _record_planned_load(self, event: boundary.LoadPlanned) -> None:
        worker, function = (
            self._worker_numbers[event.worker],
            self._function_numbers[event.function],
        )
        self.sink(ev.LoadPlanned(event.time_ns, event.plan_number, worker, function))

    def _record_permission(self, event: boundary.LoadRequestsAllowed) -> None:
        self.sink(ev.LoadRequestsAllowed(event.time_ns, event.is_allowed))

    def _record_confirmation(self, event: boundary.ReplicaConfirmed) -> None:
        self.sink(
            ev.ReplicaConfirmed(
                event.time_ns,
                self._worker_numbers[event.worker],
                self._function_numbers[event.function],
                event.result.value,
                event.replicas,
                event.last_used_ns,
            )
        )

    def _record_worker_choice(self, event: boundary.WorkerChoiceRequested) -> None:
        request = event.request
        function = self._function_numbers[request.function]
        request_class = self._request_class_numbers[request.request_class]
        self.sink(
            ev.WorkerChoiceRequested(
                event.time_ns, function, request_class, request.is_deferrable, request.cost
            )
        )

    def _record_knowledge(self, event: boundary.KnowledgeRestored) -> None:
        earlier = event.earlier
        self.sink(
            ev.KnowledgeRestored(
                event.time_ns,
                earlier.succeeded_per_second,
                earlier.new_requests_per_second,
                earlier.weight,
                [self._pack_earlier_function(function) for function in earlier.functions],
                [
                    [self._worker_numbers[w.worker], w.concurrency_limit, w.weight]
                    for w in earlier.workers
                ],
                earlier.load_ages_ns,
            )
        )

    def _pack_earlier_function(self, earlier: EarlierFunction) -> list[object]:
        """All fields in order, with the function replaced by its number."""
        return [
            self._function_numbers[earlier.function],
            earlier.bins,
            earlier.latency_sum_ns,
            earlier.latency_weight,
            earlier.requests,
            earlier.span_ns,
            earlier.mean_gap_ns,
            earlier.idle_ns,
            earlier.demand_weight,
        ]

    # -- decisions

    def record_action(self, action: Action) -> None:
        """Stores one decision."""
        match action:
            case Attempt(request=request, worker=worker, timeout_ns=timeout_ns):
                attempt, number = len(request.attempts) - 1, self._request_numbers[request]
                self.sink(
                    ev.AttemptStarted(number, attempt, self._worker_numbers[worker], timeout_ns)
                )
            case Reject(request=request, retry_after_ns=retry_after_ns):
                self.sink(ev.RequestRejected(self._request_numbers[request], retry_after_ns))
            case Fail(request=request):
                self.sink(ev.RequestFailed(self._request_numbers[request]))
            case Cancel(attempt=cancelled):
                request = cancelled.request
                attempt = request.attempts.index(cancelled)
                self.sink(ev.AttemptCancelled(self._request_numbers[request], attempt))
            case LoadRequest(worker=worker, function=function, replicas=replicas):
                self._load_count += 1
                number = self._load_numbers[action] = self._load_count
                self.sink(
                    ev.LoadRequested(
                        number,
                        self._worker_numbers[worker],
                        self._function_numbers[function],
                        replicas,
                    )
                )
            case ListWorkers():
                self.sink(ev.WorkerListRequested())

"""The only caller of the policy: all notifications and decisions pass through it.

The boundary reads the clock once for each notification, and passes the notification with its time
to the recorder, if there is one, before it calls the policy. So a recorder gets all that a replay
needs: the settings, the seed and the notifications with their times.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from martenlead.policy import boundary_events as events
from martenlead.policy.boundary_events import BoundaryEvent
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker
from martenlead.policy.types import (
    Action,
    Attempt,
    AttemptResult,
    EarlierRun,
    FunctionFacts,
    LoadRequest,
    Request,
    RequestClass,
    Result,
    Settings,
    Tenant,
    WorkerFacts,
)

ResultT = TypeVar("ResultT")


class Recorder(Protocol):
    """Stores each notification, before the policy gets it, and each decision."""

    def record(self, event: BoundaryEvent) -> None:
        """Stores one notification."""

    def record_action(self, action: Action) -> None:
        """Stores one decision, made during the last notification."""


class TeeRecorder:
    """Passes everything to two recorders, one after the other."""

    def __init__(self, first: Recorder, second: Recorder) -> None:
        self._first, self._second = first, second

    def record(self, event: BoundaryEvent) -> None:
        """Stores one notification in both."""
        self._first.record(event)
        self._second.record(event)

    def record_action(self, action: Action) -> None:
        """Stores one decision in both."""
        self._first.record_action(action)
        self._second.record_action(action)


class PolicyBoundary:
    """One policy with its engine, its clock and its recorder."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        perform: Callable[[Action], None],
        recorder: Recorder | None = None,
        names: tuple[list[str], dict[str, Tenant]] = ([], {}),
        policy: type[Policy] = Policy,
    ) -> None:
        """Creates the policy; comparisons of policies pass another class as `policy`.

        `perform` is called with every decision. `names` are the names of the request classes, in
        the order of the settings, and the tenants by name; only the recorder uses them.
        """
        self._settings = settings
        self._clock = clock
        self._recorder = recorder
        self._perform = perform
        self._policy = policy(settings, seed)
        self._engine = Engine(
            self._policy, perform if recorder is None else self._record_and_perform
        )
        now = self._now()
        if recorder is not None:
            recorder.record(events.RunStarted(now, settings, seed, *names))

    def _record_and_perform(self, action: Action) -> None:
        assert self._recorder is not None
        self._recorder.record_action(action)
        self._perform(action)

    def _now(self) -> int:
        """Returns the time, and sets it in the policy; never decreases if the clock steps back."""
        now = max(self._clock(), self._policy.state.now_ns)
        self._policy.state.now_ns = now
        return now

    def start(self) -> None:
        """Starts the generators of the policy that run as long as the dispatcher."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(events.EngineStarted(now))
        self._engine.start()

    def set_tick(self, tick_ns: int) -> None:
        """Sets the tick that the event loop currently achieves."""
        if self._recorder is not None:
            self._recorder.record(events.TickChanged(self._now(), tick_ns))
        self._settings.tick_ns = tick_ns

    def add_worker(self, facts: WorkerFacts, name: str) -> Worker:
        """Creates the policy's object for a new worker."""
        now = self._now()
        worker = self._policy.new_worker(facts)
        if self._recorder is not None:
            self._recorder.record(events.WorkerAdded(now, worker, facts, name))
        return worker

    def add_function(self, facts: FunctionFacts, name: str) -> Function:
        """Creates the policy's object for a new function."""
        now = self._now()
        function = self._policy.new_function(facts)
        if self._recorder is not None:
            self._recorder.record(events.FunctionAdded(now, function, facts, name))
        return function

    def update_workers(self, updates: list[tuple[Worker, WorkerFacts]], is_complete: bool) -> None:
        """Notifies of updates from discovery; complete ones cover all workers that there are."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(events.WorkersUpdated(now, updates, is_complete))
        self._policy.update_workers(updates, is_complete)

    def accept_request(
        self,
        function: Function,
        request_class: RequestClass,
        tenant: Tenant | None,
        deadline_ns: int,
        is_retry: bool,
        cost: float,
        on_created: Callable[[Request], None],
        name: str = "",
    ) -> None:
        """Notifies of a new request.

        `on_created` is called with the policy's object for it, before the policy decides on it.
        """
        now = self._now()
        request = Request(function, request_class, tenant, deadline_ns, is_retry, cost)
        on_created(request)
        if self._recorder is not None:
            self._recorder.record(events.RequestAccepted(now, request, name))
        self._engine.handle_request(request)

    def record_result(self, result: AttemptResult) -> None:
        """Notifies of an attempt's result."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(events.AttemptEnded(now, result))
        self._engine.record_result(result)

    def record_load_end(self, load_request: LoadRequest, result: Result, replicas: int) -> None:
        """Notifies of the end of a load request."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(events.LoadEnded(now, load_request, result, replicas))
        self._engine.record_load_end(load_request, result, replicas)

    def close_request(self, request: Request, outcome: str) -> None:
        """Notifies that a request has its final response, or that its client has left."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(events.RequestClosed(now, request, outcome))
        self._engine.close_request(request)

    def choose_worker(
        self, function: Function, request_class: RequestClass, is_deferrable: bool, cost: float
    ) -> Worker | None:
        """Returns the worker that such a request would be sent to now; starts nothing."""
        now = self._now()
        request = Request(
            function, request_class, None, now, False, cost, is_deferrable=is_deferrable
        )
        if self._recorder is not None:
            self._recorder.record(events.WorkerChoiceRequested(now, request))
        return self._engine.choose_worker(request)

    # -- decisions of a planner for this dispatcher

    def set_retained(self, worker: Worker, function: Function, is_retained: bool) -> None:
        """Notifies of a planner's decision whether a replica is retained."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(events.RetentionChanged(now, worker, function, is_retained))
        self._engine.set_retained(worker, function, is_retained)

    def request_load(
        self, plan_number: int, worker: Worker, function: Function
    ) -> LoadRequest | None:
        """Makes a load request that a planner decided on; returns None if the budget is spent.

        The load budget is enforced here, whoever decides on load requests.
        """
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(events.LoadPlanned(now, plan_number, worker, function))
        return self._engine.request_load(worker, function)

    def allow_load_requests(self, is_allowed: bool) -> None:
        """Sets whether this policy, and not a planner, decides on load requests."""
        if self._recorder is not None:
            self._recorder.record(events.LoadRequestsAllowed(self._now(), is_allowed))
        self._settings.may_request_loads = is_allowed

    # -- knowledge of an earlier run of this dispatcher

    def confirm_replica(
        self, worker: Worker, function: Function, result: Result, replicas: int, last_used_ns: int
    ) -> None:
        """Notifies of a worker's answer whether it has a replica of an earlier run."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(
                events.ReplicaConfirmed(now, worker, function, result, replicas, last_used_ns)
            )
        self._engine.confirm_replica(worker, function, result, replicas, last_used_ns)

    def restore(self, earlier: EarlierRun) -> None:
        """Restores what an earlier run had learnt: once, before the first request."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.record(events.KnowledgeRestored(now, earlier))
        self._engine.restore(earlier)

    # -- queries, which change nothing

    def inspect(self, read: Callable[[Policy, int], ResultT]) -> ResultT:
        """Returns `read(policy, now_ns)`; `read` must not change the policy's state."""
        return read(self._policy, self._now())

    def may_reject(self, request: Request, *unsent: Attempt) -> bool:
        """Whether the client may retry it: nothing ran, or the retry would be deduplicated.

        `unsent` are attempts without a result of which no byte has been sent.
        """
        return self._policy.repeats.may_reject(request, unsent)

    # -- timers

    def next_due_ns(self) -> int | None:
        """Returns when `advance` is to be called next, or None if no timer is set."""
        return self._engine.next_due_ns()

    def advance(self) -> None:
        """Resumes all waits that are due."""
        now = self._now()
        due_ns = self._engine.next_due_ns()
        if due_ns is None or due_ns > now:
            return
        if self._recorder is not None:
            self._recorder.record(events.Advance(now))
        self._engine.advance(now)

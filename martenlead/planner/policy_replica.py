"""The planner's replica of an edge's policy: it applies the edge's events and decides on loads.

The edge's policy chooses a worker for each request and counts the load requests. This policy
replica decides which replicas of functions are retained. Both run the same policy code. Here a
request is counted (`Attempts.count_request`, which checks a function above Rmax immediately), the
attempts of the edge are added (`Attempts.begin_attempt`), their results are recorded
(`Policy.record_result`), and the periodic check runs (`ReplicaScaling.run`). No worker is chosen
for a request. The module does no I/O; its time is the planner's estimate of the edge's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from martenlead.capture import events as ev
from martenlead.planner.frames import PlannedLoad, RetainedReplica, RetentionChange
from martenlead.planner.link import NS_PER_MS
from martenlead.planner.restored_policy import RestoredPolicy
from martenlead.planner.snapshot import decode_snapshot
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function
from martenlead.policy.types import Action, AttemptResult, LoadRequest, Request, Result, Warmth
from martenlead.system.decode_errors import DECODE_ERRORS

CLOSED = "closed"  # marks a request (`process`) whose final response the edge has sent
SNAPSHOT_ERRORS = (*DECODE_ERRORS, KeyError, ValueError, TypeError, IndexError, AttributeError)
EVENT_ERRORS = (KeyError, ValueError, IndexError, AttributeError)

ReplicaKey = tuple[int, int]  # numbers of worker and function


class OutOfSyncError(Exception):
    """The replica has diverged from the edge's policy; the message says how it was detected.

    A new snapshot is needed.
    """


class PlannedChanges(msgspec.Struct):
    """The decisions since the previous `take_changes`.

    If they are complete, `retained` lists every retained replica.
    """

    load_requests: list[PlannedLoad] = msgspec.field(default_factory=list)
    retained: list[RetentionChange] = msgspec.field(default_factory=list)
    is_complete: bool = False

    def __bool__(self) -> bool:
        """Returns whether there is anything to send."""
        return bool(self.load_requests or self.retained or self.is_complete)


class PolicyReplica:
    """A replica of one edge's policy. Inconsistent events raise `OutOfSyncError`."""

    def __init__(
        self, state: msgspec.Raw | bytes, now_ns: int, next_number: Callable[[], int]
    ) -> None:
        """Restores an encoded `PolicySnapshot`; `next_number` returns numbers for load requests."""
        self.next_number = next_number
        self.planned_changes = PlannedChanges()
        # own load requests by number, until the edge sends or refuses them
        self.load_requests: dict[int, LoadRequest] = {}
        # load requests that the edge has in flight, by its number
        self._edge_loads: dict[int, LoadRequest] = {}
        self._planned_load: int | None = None  # number in the last `LoadPlanned` event
        self.request_count = 0
        try:
            self.restored = RestoredPolicy(decode_snapshot(state), now_ns)
        except SNAPSHOT_ERRORS as error:
            reason = f"the state can not be read: {type(error).__name__} {error}"
            raise OutOfSyncError(reason) from None
        self.policy: Policy = self.restored.policy
        self.engine = Engine(self.policy, self._handle_action)
        self._retained = self._find_retained(self.policy.state.functions)
        self.engine.start()

    def _handle_action(self, action: Action) -> None:
        """Queues load requests for the edge; ignores the policy's other actions."""
        if isinstance(action, LoadRequest):
            number = self.next_number()
            self.load_requests[number] = action
            worker = self.restored.worker_numbers[action.worker]
            function = self.restored.function_numbers[action.function]
            self.planned_changes.load_requests.append(PlannedLoad(number, worker, function))

    # -- which replicas are retained

    def _find_retained(self, functions: Iterable[Function]) -> set[ReplicaKey]:
        return {
            (self.restored.worker_numbers[worker], self.restored.function_numbers[function])
            for function in functions
            for worker, replica in function.replicas.items()
            if replica.is_retained
        }

    def _update_retained(self, functions: list[Function]) -> None:
        """Records changes of the retained replicas of these functions."""
        numbers = {self.restored.function_numbers[function] for function in functions}
        before = {key for key in self._retained if key[1] in numbers}
        self._record_retained(before, self._find_retained(functions))

    def _update_all_retained(self) -> None:
        """Records changes of the retained replicas of all functions."""
        self._record_retained(self._retained, self._find_retained(self.policy.state.functions))

    def _record_retained(self, before: set[ReplicaKey], now: set[ReplicaKey]) -> None:
        changes = self.planned_changes.retained
        changes += [RetentionChange(*key, True) for key in sorted(now - before)]
        changes += [RetentionChange(*key, False) for key in sorted(before - now)]
        self._retained = (self._retained - before) | now

    def list_retained(self) -> list[RetainedReplica]:
        """Returns all retained replicas."""
        restored = self.restored
        found = []
        for worker_number, function_number in sorted(self._retained):
            worker, function = restored.workers[worker_number], restored.functions[function_number]
            idle_ns = self.policy.state.now_ns - function.replicas[worker].last_used_ns
            retained = RetainedReplica(
                restored.names[worker],
                restored.names[function],
                function.facts.lanes,
                function.facts.memory_mb,
                idle_ns / NS_PER_MS,
            )
            found.append(retained)
        return found

    # -- the edge's events

    def apply_events(self, events: list[ev.AnyEvent]) -> None:
        """Applies events of the edge in order.

        Raises:
            OutOfSyncError: an event is inconsistent with the state.
        """
        state = self.policy.state
        try:
            for event in events:
                if isinstance(event, ev.InputEvent):
                    state.now_ns = max(state.now_ns, event.time_ns)
                self._apply(event)
        except EVENT_ERRORS as error:
            reason = f"{type(event).__name__}: {type(error).__name__} {error}"
            raise OutOfSyncError(reason) from None

    def _apply(self, event: ev.AnyEvent) -> None:
        """Applies an event; `LoadPlanned` without a following `LoadRequested` is a refusal."""
        planned, self._planned_load = self._planned_load, None
        if planned is not None and not isinstance(event, ev.LoadRequested):
            self._refuse_load(planned)
        match event:
            case ev.RequestAccepted():
                self._accept_request(event)
            case ev.AttemptStarted():
                self._start_attempt(event)
            case ev.AttemptEnded():
                self._end_attempt(event)
            case ev.RequestClosed():
                self._close_request(event)
            case ev.LoadPlanned(plan_number=number):
                self._planned_load = number
            case ev.LoadRequested():
                self._request_load(event, planned)
            case ev.LoadEnded():
                self._end_load(event)
            case _:
                self._apply_membership(event)

    def _apply_membership(self, event: ev.AnyEvent) -> None:
        """Applies an event about workers, functions, replicas or the tick; ignores other events."""
        match event:
            case ev.WorkerAdded():
                self.restored.add_worker(event.worker, event.name, ev.unpack_facts(event.facts))
            case ev.FunctionAdded():
                if event.function not in self.restored.functions:
                    self.restored.add_function(event)
            case ev.WorkersUpdated():
                self._update_workers(event)
            case ev.TickChanged(tick_ns=tick_ns):
                self.restored.settings.tick_ns = tick_ns
            case ev.ReplicaConfirmed():
                self._confirm_replica(event)
            case _:
                pass

    def _accept_request(self, event: ev.RequestAccepted) -> None:
        self.request_count += 1
        request = self.restored.accept_request(event)
        actions = list(self.policy.attempts.count_request(request))
        for action in actions:
            self._handle_action(action)
        if actions:
            self._update_retained([request.function])

    def _start_attempt(self, event: ev.AttemptStarted) -> None:
        request = self.restored.requests[event.request]
        worker = self.restored.workers[event.worker]
        timeout_ns = self.policy.state.now_ns + event.timeout_ns
        self.policy.attempts.begin_attempt(request, worker, timeout_ns)

    def _end_attempt(self, event: ev.AttemptEnded) -> None:
        """Records a result; ignores attempts that had ended before the snapshot."""
        request = self.restored.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.result is None:
            result, warmth = Result(event.result), Warmth(event.warmth)
            self.policy.record_result(
                AttemptResult(attempt, result, event.is_final, warmth, event.latency_ns)
            )
        self._forget_if_over(event.request, request)

    def _close_request(self, event: ev.RequestClosed) -> None:
        request = self.restored.requests.get(event.request)
        if request is not None:
            request.process = CLOSED
            self._forget_if_over(event.request, request)

    def _forget_if_over(self, number: int, request: Request) -> None:
        """Drops a request that is closed and has no attempt in flight."""
        if request.process == CLOSED and all(a.result is not None for a in request.attempts):
            del self.restored.requests[number]

    def _update_workers(self, event: ev.WorkersUpdated) -> None:
        workers = self.restored.workers
        listed = [(workers[number], ev.unpack_facts(facts)) for number, facts in event.workers]
        self.policy.update_workers(listed, event.is_complete)
        self._update_all_retained()

    def _confirm_replica(self, event: ev.ReplicaConfirmed) -> None:
        worker = self.restored.workers[event.worker]
        function = self.restored.functions[event.function]
        result = Result(event.result)
        self.engine.confirm_replica(worker, function, result, event.replicas, event.last_used_ns)
        self._update_retained([function])

    # -- load requests

    def _request_load(self, event: ev.LoadRequested, planned: int | None) -> None:
        """Records a load request in flight.

        Load requests of the edge itself and of earlier planners count as well.
        """
        load = self.load_requests.pop(planned, None) if planned is not None else None
        if load is None:
            function = self.restored.functions[event.function]
            worker = self.restored.workers[event.worker]
            replica = self.policy.state.replica(function, worker)
            load = self.policy.scaling.request_load(replica)
        self._edge_loads[event.load_request] = load

    def _end_load(self, event: ev.LoadEnded) -> None:
        load = self._edge_loads.pop(event.load_request, None)
        if load is not None:
            self.policy.record_load_end(load, Result(event.result), event.replicas)
            self._update_retained([load.function])

    def _refuse_load(self, number: int) -> None:
        """Records a refused load; the edge's load budget and worker states are more recent."""
        load = self.load_requests.pop(number, None)
        if load is not None:
            is_loaded = self.policy.state.replica(load.function, load.worker).is_loaded
            self.policy.record_load_end(load, Result.AT_CAPACITY, int(is_loaded))
            self._update_retained([load.function])

    # -- time

    def next_due_ns(self) -> int | None:
        """Returns the time on the edge's clock when the policy is due without an event, or None."""
        return self.engine.next_due_ns()

    def advance(self, now_ns: int) -> None:
        """Runs the policy's due timers."""
        state = self.policy.state
        state.now_ns = max(state.now_ns, now_ns)
        due_ns = self.engine.next_due_ns()
        if due_ns is not None and due_ns <= state.now_ns:
            self.engine.advance(state.now_ns)
            self._update_all_retained()

    # -- decisions for the edge

    def resume(self) -> None:
        """Continues after a lost connection, on which decisions may have been lost.

        Load requests that the edge has not confirmed count as refused, and the complete list of
        retained replicas is sent again.
        """
        for number in list(self.load_requests):
            self._refuse_load(number)
        self._update_all_retained()
        retained = [RetentionChange(*key, True) for key in sorted(self._retained)]
        self.planned_changes = PlannedChanges([], retained, True)

    def take_changes(self) -> PlannedChanges:
        """Returns the decisions since the previous call."""
        changes, self.planned_changes = self.planned_changes, PlannedChanges()
        return changes

"""Drives one dispatcher's policy with the inputs of a capture."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from martenlead.capture import events as ev
from martenlead.capture.checkpoint import Checkpoint, restore
from martenlead.capture.recorder import CaptureRecorder
from martenlead.policy import boundary_events as boundary
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker
from martenlead.policy.types import (
    Action,
    AttemptResult,
    EarlierFunction,
    EarlierRun,
    EarlierWorker,
    LoadRequest,
    Request,
    Result,
    Settings,
    Tenant,
    Warmth,
)


class ReplayError(Exception):
    """The replay cannot continue; the message gives the reason."""


class Replayer:
    """Feeds inputs to a policy and collects its decisions as events."""

    def __init__(self, change: Callable[[Settings], Settings] | None = None) -> None:
        """`change` is applied to the settings of the run."""
        self.change = change or (lambda settings: settings)
        self.pending_decisions: deque[ev.CaptureEvent] = deque()
        self.start: ev.RunStarted | None = None
        self.settings: Settings
        self.policy: Policy
        self.engine: Engine
        self.recorder = CaptureRecorder(self._collect_decision, "")
        self.workers: list[Worker] = []
        self.functions: list[Function] = []
        self.tenants: list[Tenant] = []
        self.requests: dict[int, Request] = {}
        self.closed_requests: set[int] = set()  # closed, with attempts still in flight
        self.load_requests: dict[int, LoadRequest] = {}
        self.load_count = 0
        self.names: dict[object, str] = {}
        # each handler takes its own type of event, hence `Any`
        self._handlers: dict[type[ev.InputEvent], Callable[[Any], None]] = {
            ev.EngineStarted: self._start_engine,
            ev.TickChanged: self._change_tick,
            ev.WorkerAdded: self._add_worker,
            ev.FunctionAdded: self._add_function,
            ev.WorkersUpdated: self._update_workers,
            ev.RequestAccepted: self._accept_request,
            ev.AttemptEnded: self._record_result,
            ev.LoadEnded: self._record_load_end,
            ev.RequestClosed: self._close_request,
            ev.Advance: self._advance,
            ev.RetentionChanged: self._change_retention,
            ev.LoadPlanned: self._request_load,
            ev.LoadRequestsAllowed: self._allow_load_requests,
            ev.ReplicaConfirmed: self._confirm_replica,
            ev.WorkerChoiceRequested: self._choose_worker,
            ev.KnowledgeRestored: self._restore_knowledge,
        }

    def feed(self, event: ev.CaptureEvent) -> None:
        """Feeds one input to the policy.

        Raises `ReplayError` for a gap, or for a capture that begins neither with `RunStarted` nor
        with a checkpoint.
        """
        match event:
            case ev.RunStarted():
                self._start_run(event)
                return
            case Checkpoint():
                restore(self, event)
                return
            case ev.Gap(dropped=dropped, reason=reason):
                missing = f"{dropped or 'some'} events are missing: {reason}"
                raise ReplayError(missing)
        if self.start is None:
            missing = "it does not begin with a start: the segments before are gone"
            raise ReplayError(missing)
        if isinstance(event, ev.InputEvent):
            self.policy.state.now_ns = event.time_ns
            self._handlers[type(event)](event)

    def perform(self, action: Action) -> None:
        """Records one decision of the engine."""
        if isinstance(action, LoadRequest):
            self.load_count += 1
            self.load_requests[self.load_count] = action
        self.recorder.record_action(action)

    def _collect_decision(self, event: ev.CaptureEvent) -> None:
        if isinstance(event, ev.DECISIONS):
            self.pending_decisions.append(event)

    # -- inputs

    def _start_run(self, event: ev.RunStarted) -> None:
        self.start = event
        self.settings = self.change(ev.unpack_settings(event.settings))
        self.tenants = ev.unpack_tenants(event)
        self.policy = Policy(self.settings, event.seed)
        self.policy.state.now_ns = event.time_ns
        self.engine = Engine(self.policy, self.perform)
        tenants = dict(zip((name for name, _ in event.tenants), self.tenants, strict=True))
        self.recorder.record(
            boundary.RunStarted(
                event.time_ns, self.settings, event.seed, event.request_classes, tenants
            )
        )

    def _start_engine(self, _event: ev.EngineStarted) -> None:
        self.engine.start()

    def _change_tick(self, event: ev.TickChanged) -> None:
        self.settings.tick_ns = event.tick_ns

    def _add_worker(self, event: ev.WorkerAdded) -> None:
        facts = ev.unpack_facts(event.facts)
        worker = self.policy.new_worker(facts)
        self.workers.append(worker)
        self.names[worker] = event.name
        self.recorder.record(boundary.WorkerAdded(event.time_ns, worker, facts, event.name))

    def _add_function(self, event: ev.FunctionAdded) -> None:
        facts = ev.unpack_function_facts(event)
        function = self.policy.new_function(facts)
        self.functions.append(function)
        self.names[function] = event.name
        self.recorder.record(boundary.FunctionAdded(event.time_ns, function, facts, event.name))

    def _update_workers(self, event: ev.WorkersUpdated) -> None:
        updates = [(self.workers[n], ev.unpack_facts(facts)) for n, facts in event.workers]
        self.policy.update_workers(updates, event.is_complete)

    def _accept_request(self, event: ev.RequestAccepted) -> None:
        request = self.create_request(event)
        self.requests[event.request] = request
        self.names[request] = event.name
        self.recorder.record(boundary.RequestAccepted(event.time_ns, request, event.name))
        self.engine.handle_request(request)

    def create_request(self, event: ev.RequestAccepted) -> Request:
        """Creates the policy's object of a request, before the policy decides on it."""
        return Request(
            self.functions[event.function],
            self.settings.request_classes[event.request_class],
            None if event.tenant < 0 else self.tenants[event.tenant],
            event.deadline_ns,
            event.is_retry,
            event.cost,
        )

    def _record_result(self, event: ev.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return  # attempt not made in this replay: the settings or the policy differ
        attempt = request.attempts[event.attempt]
        if attempt.result is not None:
            return
        result, warmth = Result(event.result), Warmth(event.warmth)
        ended = AttemptResult(attempt, result, event.is_final, warmth, event.latency_ns)
        self.recorder.record(boundary.AttemptEnded(event.time_ns, ended))
        self.engine.record_result(ended)
        self._remove_if_finished(event.request, request)

    def _record_load_end(self, event: ev.LoadEnded) -> None:
        load = self.load_requests.pop(event.load_request, None)
        if load is not None:
            self.engine.record_load_end(load, Result(event.result), event.replicas)

    def _close_request(self, event: ev.RequestClosed) -> None:
        request = self.requests[event.request]
        self.recorder.record(boundary.RequestClosed(event.time_ns, request, event.outcome))
        self.engine.close_request(request)
        self.closed_requests.add(event.request)
        self._remove_if_finished(event.request, request)

    def _remove_if_finished(self, number: int, request: Request) -> None:
        is_ended = all(attempt.result is not None for attempt in request.attempts)
        if number in self.closed_requests and is_ended:
            self.closed_requests.discard(number)
            self.requests.pop(number, None)
            self.names.pop(request, None)

    def _advance(self, event: ev.Advance) -> None:
        self.engine.advance(event.time_ns)

    def _change_retention(self, event: ev.RetentionChanged) -> None:
        worker, function = self.workers[event.worker], self.functions[event.function]
        self.engine.set_retained(worker, function, event.is_retained)

    def _request_load(self, event: ev.LoadPlanned) -> None:
        self.engine.request_load(self.workers[event.worker], self.functions[event.function])

    def _allow_load_requests(self, event: ev.LoadRequestsAllowed) -> None:
        self.settings.may_request_loads = event.is_allowed

    def _confirm_replica(self, event: ev.ReplicaConfirmed) -> None:
        self.engine.confirm_replica(
            self.workers[event.worker],
            self.functions[event.function],
            Result(event.result),
            event.replicas,
            event.last_used_ns,
        )

    def _choose_worker(self, event: ev.WorkerChoiceRequested) -> None:
        request = Request(
            self.functions[event.function],
            self.settings.request_classes[event.request_class],
            None,
            event.time_ns,
            False,
            event.cost,
            is_deferrable=event.is_deferrable,
        )
        self.engine.choose_worker(request)

    def _restore_knowledge(self, event: ev.KnowledgeRestored) -> None:
        functions = [
            EarlierFunction(self.functions[number], *known) for number, *known in event.functions
        ]
        workers = [EarlierWorker(self.workers[number], *known) for number, *known in event.workers]
        self.engine.restore(
            EarlierRun(
                event.succeeded_per_second,
                event.new_requests_per_second,
                event.weight,
                functions,
                workers,
                event.load_ages_ns,
            )
        )

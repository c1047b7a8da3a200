"""Captures simulated runs, separately for each instance of the simulator's adapter.

The adapter's program imports this module only if `MARTENLEAD_CAPTURE` names a folder.
"""

from __future__ import annotations

import atexit
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.writer import CaptureSettings, CaptureWriter
from martenlead.policy import boundary_events as boundary
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker
from martenlead.policy.types import (
    Action,
    AttemptResult,
    FunctionFacts,
    LoadRequest,
    Request,
    RequestClass,
    Result,
    Settings,
    Tenant,
    WorkerFacts,
)


class DispatcherProfile(Protocol):
    """A dispatcher's decoded settings, with its request classes and tenants by name."""

    settings: Settings
    request_classes: dict[str, RequestClass]
    tenants: dict[str, Tenant]


class RecordableInstance(Protocol):
    """The interface of one of the adapter's dispatchers that the recorder uses."""

    policy: Policy
    engine: Engine
    request_ids: dict[Request, str]

    @property
    def profile(self) -> DispatcherProfile:
        """The settings that the dispatcher was created with."""

    def perform(self, action: Action) -> None:
        """Carries out one decision of the policy."""


InstanceT = TypeVar("InstanceT", bound=RecordableInstance)

# holds all events of a run: simulated time can run faster than the disk writes
QUEUE_EVENTS = 10_000_000
CLOSED = "closed"  # the simulator does not report the outcome

# arguments: number of the dispatcher, the event that starts it, time in ns, and the list that
# collects its replies; the adapter defines the contents of the event and of the replies
InstanceFactory = Callable[[int, dict[str, Any], int, list[Any]], InstanceT]


class _RecordedInstance:
    """A proxy of an instance's policy and engine that records each call before delegating it."""

    def __init__(self, instance: RecordableInstance, recorder: CaptureRecorder) -> None:
        self._instance, self._recorder = instance, recorder
        self._policy, self._engine = instance.policy, instance.engine
        self.state = self._policy.state  # the adapter sets the time in it
        self._engine.outlet = self._record_and_perform

    @property
    def _now_ns(self) -> int:
        return self.state.now_ns

    def _record_and_perform(self, action: Action) -> None:
        self._recorder.record_action(action)
        self._instance.perform(action)

    def new_worker(self, facts: WorkerFacts) -> Worker:
        """Records and delegates `Policy.new_worker`."""
        worker = self._policy.new_worker(facts)
        self._recorder.record(boundary.WorkerAdded(self._now_ns, worker, facts, f"{facts.mark:x}"))
        return worker

    def new_function(self, facts: FunctionFacts) -> Function:
        """Records and delegates `Policy.new_function`."""
        function = self._policy.new_function(facts)
        self._recorder.record(
            boundary.FunctionAdded(self._now_ns, function, facts, f"{facts.mark:x}")
        )
        return function

    def update_workers(self, updates: list[tuple[Worker, WorkerFacts]], is_complete: bool) -> None:
        """Records and delegates `Policy.update_workers`."""
        self._recorder.record(boundary.WorkersUpdated(self._now_ns, updates, is_complete))
        self._policy.update_workers(updates, is_complete)

    def start(self) -> None:
        """Records and delegates `Engine.start`."""
        self._recorder.record(boundary.EngineStarted(self._now_ns))
        self._engine.start()

    def handle_request(self, request: Request) -> None:
        """Records and delegates `Engine.handle_request`."""
        request_id = self._instance.request_ids[request]
        self._recorder.record(boundary.RequestAccepted(self._now_ns, request, request_id))
        self._engine.handle_request(request)

    def record_result(self, result: AttemptResult) -> None:
        """Records and delegates `Engine.record_result`."""
        self._recorder.record(boundary.AttemptEnded(self._now_ns, result))
        self._engine.record_result(result)

    def record_load_end(self, load_request: LoadRequest, result: Result, replicas: int) -> None:
        """Records and delegates `Engine.record_load_end`."""
        self._recorder.record(boundary.LoadEnded(self._now_ns, load_request, result, replicas))
        self._engine.record_load_end(load_request, result, replicas)

    def close_request(self, request: Request) -> None:
        """Records and delegates `Engine.close_request`."""
        self._recorder.record(boundary.RequestClosed(self._now_ns, request, CLOSED))
        self._engine.close_request(request)

    def next_due_ns(self) -> int | None:
        """Delegates to `Engine.next_due_ns`; a query is not recorded."""
        return self._engine.next_due_ns()

    def advance(self, now_ns: int) -> None:
        """Advances the engine; records and does nothing if no timer is due."""
        due_ns = self._engine.next_due_ns()
        if due_ns is not None and due_ns <= now_ns:
            self._recorder.record(boundary.Advance(now_ns))
            self._engine.advance(now_ns)


def record_instances(folder: str, create: InstanceFactory[InstanceT]) -> InstanceFactory[InstanceT]:
    """Returns a factory of instances that are captured in a folder.

    `create` creates the instance to be recorded. Each start of an instance is a run of its own.
    """
    writers: dict[int, CaptureWriter] = {}

    def close_all() -> None:
        """Writes the events still queued when the program exits."""
        for writer in writers.values():
            writer.close()

    atexit.register(close_all)

    def create_recorded(
        number: int, event: dict[str, Any], now_ns: int, replies: list[Any]
    ) -> InstanceT:
        """Creates an instance and starts its capture."""
        if number in writers:
            writers[number].close()
        settings = CaptureSettings(folder=folder, queue=QUEUE_EVENTS, checkpoints=False)
        name = f"instance{number}"
        writer = writers[number] = CaptureWriter(settings, name, lambda *_: None)
        instance = create(number, event, now_ns, replies)
        recorder = CaptureRecorder(writer.put, name)
        profile = instance.profile
        class_names = list(profile.request_classes)
        recorder.record(
            boundary.RunStarted(
                now_ns, profile.settings, event["seed"], class_names, profile.tenants
            )
        )
        # `Any`: it has only the methods of a policy and an engine that the adapter calls
        recorded: Any = _RecordedInstance(instance, recorder)
        instance.policy = instance.engine = recorded
        return instance

    return create_recorded

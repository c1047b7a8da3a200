"""Captures of simulated runs: one for each instance of the simulator's adapter.

The adapter's program imports this only where `MARTENLEAD_CAPTURE` names a folder.
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
    """The decoded settings of a dispatcher, with request classes and tenants by name."""

    settings: Settings
    request_classes: dict[str, RequestClass]
    tenants: dict[str, Tenant]


class RecordableInstance(Protocol):
    """One dispatcher of the adapter, as the recorder needs it."""

    policy: Policy
    engine: Engine
    request_ids: dict[Request, str]

    @property
    def profile(self) -> DispatcherProfile:
        """What the dispatcher was begun with."""

    def perform(self, action: Action) -> None:
        """Carries out what the policy decided."""


InstanceT = TypeVar("InstanceT", bound=RecordableInstance)

QUEUE_EVENTS = 10_000_000  # all that a run brings: a simulated one has no clock to keep up with
CLOSED = "closed"  # the simulator does not say by which outcome

# number of the dispatcher, the event that begins it, the time in ns, and where its replies go; what
# these are is the adapter's matter
InstanceFactory = Callable[[int, dict[str, Any], int, list[Any]], InstanceT]


class _RecordedInstance:
    """Stands for an instance's policy and engine, and records each call before it passes it on."""

    def __init__(self, instance: RecordableInstance, recorder: CaptureRecorder) -> None:
        self._instance, self._recorder = instance, recorder
        self._policy, self._engine = instance.policy, instance.engine
        self.state = self._policy.state  # the adapter sets its clock
        self._engine.outlet = self._record_and_perform

    @property
    def _now_ns(self) -> int:
        return self.state.now_ns

    def _record_and_perform(self, action: Action) -> None:
        self._recorder.record_action(action)
        self._instance.perform(action)

    def new_worker(self, facts: WorkerFacts) -> Worker:
        """As the policy has it."""
        worker = self._policy.new_worker(facts)
        self._recorder.record(boundary.WorkerAdded(self._now_ns, worker, facts, f"{facts.mark:x}"))
        return worker

    def new_function(self, facts: FunctionFacts) -> Function:
        """As the policy has it."""
        function = self._policy.new_function(facts)
        self._recorder.record(
            boundary.FunctionAdded(self._now_ns, function, facts, f"{facts.mark:x}")
        )
        return function

    def update_workers(self, updates: list[tuple[Worker, WorkerFacts]], is_complete: bool) -> None:
        """As the policy has it."""
        self._recorder.record(boundary.WorkersUpdated(self._now_ns, updates, is_complete))
        self._policy.update_workers(updates, is_complete)

    def start(self) -> None:
        """As the engine has it."""
        self._recorder.record(boundary.EngineStarted(self._now_ns))
        self._engine.start()

    def handle_request(self, request: Request) -> None:
        """As the engine has it."""
        request_id = self._instance.request_ids[request]
        self._recorder.record(boundary.RequestAccepted(self._now_ns, request, request_id))
        self._engine.handle_request(request)

    def record_result(self, result: AttemptResult) -> None:
        """As the engine has it."""
        self._recorder.record(boundary.AttemptEnded(self._now_ns, result))
        self._engine.record_result(result)

    def record_load_end(self, load_request: LoadRequest, result: Result, replicas: int) -> None:
        """As the engine has it."""
        self._recorder.record(boundary.LoadEnded(self._now_ns, load_request, result, replicas))
        self._engine.record_load_end(load_request, result, replicas)

    def close_request(self, request: Request) -> None:
        """As the engine has it."""
        self._recorder.record(boundary.RequestClosed(self._now_ns, request, CLOSED))
        self._engine.close_request(request)

    def next_due_ns(self) -> int | None:
        """As the engine has it."""
        return self._engine.next_due_ns()

    def advance(self, now_ns: int) -> None:
        """As the engine has it; nothing is recorded where nothing is due."""
        due_ns = self._engine.next_due_ns()
        if due_ns is not None and due_ns <= now_ns:
            self._recorder.record(boundary.Advance(now_ns))
            self._engine.advance(now_ns)


def record_instances(folder: str, create: InstanceFactory[InstanceT]) -> InstanceFactory[InstanceT]:
    """Makes a factory of instances that are captured in a folder.

    `create` makes the instance that is recorded. Each life of each instance is a run of its own.
    """
    writers: dict[int, CaptureWriter] = {}

    def close_all() -> None:
        """Writes what still waits as the program ends."""
        for writer in writers.values():
            writer.close()

    atexit.register(close_all)

    def make(number: int, event: dict[str, Any], now_ns: int, replies: list[Any]) -> InstanceT:
        """Makes an instance and captures it."""
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
        # it has only those methods of a policy and of an engine that the adapter calls
        recorded: Any = _RecordedInstance(instance, recorder)
        instance.policy = instance.engine = recorded
        return instance

    return make

"""A bench day on tape: the adapter's instances with their module's border recorded, one run each.

Off unless `MARTENLEAD_CAPTURE` names a folder (`benchlink/__main__.py`); nothing of it is loaded then.
"""

from __future__ import annotations

import atexit
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.writer import CaptureSettings, CaptureWriter
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
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
    """The decoded settings of a dispatcher. Request classes and tenants are by name, in their order."""

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

    def carry_out(self, action: Action) -> None:
        """Carries out what the policy decided."""


InstanceT = TypeVar("InstanceT", bound=RecordableInstance)

# number of the dispatcher, the event that begins it, the time in ns, and where its replies go
InstanceFactory = Callable[[int, dict[str, Any], int, list[dict[str, Any]]], InstanceT]


class _RecordedInstance:
    """Stands for the instance's policy and engine, and writes down each call before it passes it on."""

    def __init__(self, instance: RecordableInstance, tape: CaptureRecorder) -> None:
        self._instance, self._recorder = instance, tape
        self._policy, self._engine = instance.policy, instance.engine
        self.state = self._policy.state  # the adapter sets its clock
        self._engine.outlet = self._carry_out

    @property
    def _now(self) -> int:
        return self.state.now_ns

    def _carry_out(self, action: Action) -> None:
        self._recorder.record_action(action)
        self._instance.carry_out(action)

    def new_worker(self, facts: WorkerFacts) -> Any:
        runner = self._policy.new_worker(facts)
        self._recorder.add_worker(self._now, runner, facts, f"{facts.mark:x}")
        return runner

    def new_function(self, facts: FunctionFacts) -> Any:
        model = self._policy.new_function(facts)
        self._recorder.add_function(self._now, model, facts, f"{facts.mark:x}")
        return model

    def update_workers(self, news: list[tuple[Any, WorkerFacts]], whole: bool) -> None:
        self._recorder.update_workers(self._now, news, whole)
        self._policy.update_workers(news, whole)

    def start(self) -> None:
        self._recorder.start_engine(self._now)
        self._engine.start()

    def handle_request(self, task: Request) -> None:
        self._recorder.accept_request(self._now, task, self._instance.request_ids[task])
        self._engine.handle_request(task)

    def record_result(self, answer: AttemptResult) -> None:
        self._recorder.record_result(self._now, answer)
        self._engine.record_result(answer)

    def record_load_end(self, order: LoadRequest, result: Result, copies: int) -> None:
        self._recorder.record_load_end(self._now, order, result, copies)
        self._engine.record_load_end(order, result, copies)

    def close_request(self, task: Request) -> None:
        self._recorder.close_request(self._now, task, "closed")
        self._engine.close_request(task)

    def next_due_ns(self) -> int | None:
        return self._engine.next_due_ns()

    def advance(self, now: int) -> None:
        due = self._engine.next_due_ns()
        if due is not None and due <= now:
            self._recorder.advance(now)
            self._engine.advance(now)


def record_instances(folder: str, create: InstanceFactory[InstanceT]) -> InstanceFactory[InstanceT]:
    """Makes instances that capture into a folder; each life of each instance is a run of its own.

    `create` makes the instance that is recorded.
    """
    stores: dict[int, CaptureWriter] = {}

    def close() -> None:
        for store in stores.values():
            store.close()

    atexit.register(close)

    def make(number: int, event: dict[str, Any], now: int, out: list[dict[str, Any]]) -> InstanceT:
        if number in stores:
            stores[number].close()
        # a bench day has no clock to keep up with: the queue holds what the day brings
        settings = CaptureSettings(folder=folder, queue=10_000_000, checkpoints=False)
        store = stores[number] = CaptureWriter(settings, f"instance{number}", lambda *_: None)
        instance = create(number, event, now, out)
        tape = CaptureRecorder(store.put, f"instance{number}")
        profile = instance.profile
        tape.begin_run(now, profile.settings, event["seed"], list(profile.request_classes), profile.tenants)
        tapped: Any = _RecordedInstance(instance, tape)
        instance.policy = instance.engine = tapped
        return instance

    return make

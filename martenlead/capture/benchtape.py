"""A bench day on tape: the adapter's instances with their module's border recorded, one run each.

Off unless `MARTENLEAD_CAPTURE` names a folder (`benchlink/__main__.py`); nothing of it is loaded then.
"""

from __future__ import annotations

import atexit
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from martenlead.capture.store import Store, StoreSettings
from martenlead.capture.tape import Tape
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
    offerings: dict[str, RequestClass]
    customers: dict[str, Tenant]


class RecordableInstance(Protocol):
    """One dispatcher of the adapter, as the recorder needs it."""

    policy: Policy
    engine: Engine
    task_ids: dict[Request, str]

    @property
    def profile(self) -> DispatcherProfile:
        """What the dispatcher was begun with."""

    def act(self, action: Action) -> None:
        """Carries out what the policy decided."""


InstanceT = TypeVar("InstanceT", bound=RecordableInstance)

# number of the dispatcher, the event that begins it, the time in ns, and where its replies go
InstanceFactory = Callable[[int, dict[str, Any], int, list[dict[str, Any]]], InstanceT]


class _Tapped:
    """Stands for the instance's policy and engine, and writes down each call before it passes it on."""

    def __init__(self, instance: RecordableInstance, tape: Tape) -> None:
        self._instance, self._tape = instance, tape
        self._policy, self._engine = instance.policy, instance.engine
        self.state = self._policy.state  # the adapter sets its clock
        self._engine.outlet = self._outlet

    @property
    def _now(self) -> int:
        return self.state.now_ns

    def _outlet(self, action: Action) -> None:
        self._tape.decided(action)
        self._instance.act(action)

    def new_worker(self, facts: WorkerFacts) -> Any:
        runner = self._policy.new_worker(facts)
        self._tape.runner(self._now, runner, facts, f"{facts.mark:x}")
        return runner

    def new_function(self, facts: FunctionFacts) -> Any:
        model = self._policy.new_function(facts)
        self._tape.model(self._now, model, facts, f"{facts.mark:x}")
        return model

    def update_workers(self, news: list[tuple[Any, WorkerFacts]], whole: bool) -> None:
        self._tape.roster(self._now, news, whole)
        self._policy.update_workers(news, whole)

    def start(self) -> None:
        self._tape.begin(self._now)
        self._engine.start()

    def handle_request(self, task: Request) -> None:
        self._tape.take(self._now, task, self._instance.task_ids[task])
        self._engine.handle_request(task)

    def record_result(self, answer: AttemptResult) -> None:
        self._tape.answered(self._now, answer)
        self._engine.record_result(answer)

    def record_load_end(self, order: LoadRequest, result: Result, copies: int) -> None:
        self._tape.ordered(self._now, order, result, copies)
        self._engine.record_load_end(order, result, copies)

    def close_request(self, task: Request) -> None:
        self._tape.closed(self._now, task, "closed")
        self._engine.close_request(task)

    def next_due_ns(self) -> int | None:
        return self._engine.next_due_ns()

    def advance(self, now: int) -> None:
        due = self._engine.next_due_ns()
        if due is not None and due <= now:
            self._tape.advance(now)
            self._engine.advance(now)


def capturing(folder: str, create: InstanceFactory[InstanceT]) -> InstanceFactory[InstanceT]:
    """Makes instances that capture into a folder; each life of each instance is a run of its own.

    `create` makes the instance that is recorded.
    """
    stores: dict[int, Store] = {}

    def close() -> None:
        for store in stores.values():
            store.close()

    atexit.register(close)

    def make(number: int, event: dict[str, Any], now: int, out: list[dict[str, Any]]) -> InstanceT:
        if number in stores:
            stores[number].close()
        # a bench day has no clock to keep up with: the queue holds what the day brings
        settings = StoreSettings(folder=folder, queue=10_000_000, checkpoints=False)
        store = stores[number] = Store(settings, f"instance{number}", lambda *_: None)
        instance = create(number, event, now, out)
        tape = Tape(store.put, f"instance{number}")
        profile = instance.profile
        tape.start(now, profile.settings, event["seed"], list(profile.offerings), profile.customers)
        tapped: Any = _Tapped(instance, tape)
        instance.policy = instance.engine = tapped
        return instance

    return make

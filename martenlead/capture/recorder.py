"""Writes down what crosses the border: numbers objects, and gives each call and decision to a sink.

It is given what the module is given and asks nothing of it.
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
from martenlead.policy.types import (
    Action,
    Attempt,
    AttemptResult,
    Cancel,
    EarlierRun,
    Fail,
    FunctionFacts,
    ListWorkers,
    LoadRequest,
    Reject,
    Request,
    Result,
    Settings,
    Tenant,
    WorkerFacts,
)
from martenlead.system.clocks import wall_ns

PROGRAM_VERSION = "0.2.0"
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


def policy_hash() -> str:
    """Of the text of all modules that decide."""
    source = "".join(inspect.getsource(module) for module in DECISION_MODULES)
    return hashlib.sha256(source.encode()).hexdigest()[:16]


class CaptureRecorder:
    def __init__(self, sink: Callable[[ev.CaptureEvent], None], edge: str) -> None:
        self.sink, self.edge = sink, edge
        self._runners: dict[Any, int] = {}
        self._models: dict[Any, int] = {}
        self._tasks: dict[Request, int] = {}
        self._orders: dict[LoadRequest, int] = {}
        self._offerings: dict[Any, int] = {}
        self._customers: dict[Any, int] = {}
        self._over: set[Request] = set()  # closed, with hand-offs whose answers are still to come
        self._count = self._ordered = 0

    # -- inputs

    def begin_run(
        self, t: int, settings: Settings, seed: int, names: list[str], customers: dict[str, Tenant]
    ) -> None:
        self._offerings = {o: n for n, o in enumerate(settings.request_classes)}
        self._customers = {c: n for n, c in enumerate(customers.values())}
        told = [(name, c.rate_limit_per_second) for name, c in customers.items()]
        packed = ev.pack_settings(settings)
        python = platform.python_version()
        self.sink(
            ev.RunStarted(
                t,
                wall_ns() / 1e9,
                self.edge,
                policy_hash(),
                PROGRAM_VERSION,
                python,
                seed,
                packed,
                names,
                told,
            )
        )

    def start_engine(self, t: int) -> None:
        self.sink(ev.EngineStarted(t))

    def set_tick(self, t: int, tick: int) -> None:
        self.sink(ev.TickChanged(t, tick))

    def add_worker(self, t: int, runner: Any, facts: WorkerFacts, name: str) -> None:
        number = self._runners[runner] = len(self._runners)
        self.sink(ev.WorkerAdded(t, number, name, ev.pack_facts(facts)))

    def add_function(self, t: int, model: Any, facts: FunctionFacts, name: str) -> None:
        number = self._models[model] = len(self._models)
        self.sink(ev.FunctionAdded(t, number, name, f"{facts.mark:x}", facts.lanes, facts.memory_mb))

    def update_workers(self, t: int, news: list[tuple[Any, WorkerFacts]], whole: bool) -> None:
        self.sink(
            ev.WorkersUpdated(t, whole, [(self._runners[r], ev.pack_facts(facts)) for r, facts in news])
        )

    def accept_request(self, t: int, task: Request, name: str) -> None:
        self._count += 1
        number = self._tasks[task] = self._count
        customer = -1 if task.tenant is None else self._customers[task.tenant]
        model, offering = self._models[task.function], self._offerings[task.request_class]
        self.sink(
            ev.RequestAccepted(
                t, number, name, model, offering, customer, task.deadline_ns, task.is_retry, task.cost
            )
        )

    def record_result(self, t: int, answer: AttemptResult) -> None:
        task = answer.attempt.request
        number = self._tasks[task]
        at = task.attempts.index(answer.attempt)
        result, warmth = answer.result.value, answer.warmth.value
        self.sink(ev.AttemptEnded(t, number, at, result, answer.is_final, warmth, answer.latency_ns))
        if task in self._over and sum(h.result is None for h in task.attempts) == 1:  # this one
            self._over.discard(task)
            del self._tasks[task]

    def record_load_end(self, t: int, order: LoadRequest, result: Result, copies: int) -> None:
        self.sink(ev.LoadEnded(t, self._orders.pop(order), result.value, copies))

    def close_request(self, t: int, task: Request, final: str) -> None:
        self.sink(ev.RequestClosed(t, self._tasks[task], final))
        if any(h.result is None for h in task.attempts):
            self._over.add(task)
        else:
            del self._tasks[task]

    def advance(self, t: int) -> None:
        self.sink(ev.Advance(t))

    def set_retained(self, t: int, runner: Any, model: Any, held: bool) -> None:
        self.sink(ev.RetentionChanged(t, self._runners[runner], self._models[model], held))

    def request_load(self, t: int, plan: int, runner: Any, model: Any) -> None:
        self.sink(ev.LoadPlanned(t, plan, self._runners[runner], self._models[model]))

    def allow_load_requests(self, t: int, on: bool) -> None:
        self.sink(ev.LoadRequestsAllowed(t, on))

    def confirm_replica(
        self, t: int, runner: Any, model: Any, result: Result, copies: int, touched: int
    ) -> None:
        told = self._runners[runner], self._models[model]
        self.sink(ev.ReplicaConfirmed(t, *told, result.value, copies, touched))

    def choose_worker(self, t: int, task: Request) -> None:
        model, offering = self._models[task.function], self._offerings[task.request_class]
        self.sink(ev.WorkerChoiceRequested(t, model, offering, task.is_deferrable, task.cost))

    def restore(self, t: int, past: EarlierRun) -> None:
        models = [
            [
                self._models[m.function],
                m.bins,
                m.latency_sum_ns,
                m.latency_weight,
                m.requests,
                m.span_ns,
                m.mean_gap_ns,
                m.idle_ns,
                m.demand_weight,
            ]
            for m in past.functions
        ]
        runners = [[self._runners[r.worker], r.concurrency_limit, r.weight] for r in past.workers]
        told = (
            past.succeeded_per_second,
            past.new_requests_per_second,
            past.weight,
            models,
            runners,
            past.load_ages_ns,
        )
        self.sink(ev.KnowledgeRestored(t, *told))

    # -- the numbers that stand for objects

    @property
    def worker_numbers(self) -> dict[Any, int]:
        return self._runners

    @property
    def function_numbers(self) -> dict[Any, int]:
        return self._models

    @property
    def request_numbers(self) -> dict[Request, int]:
        return self._tasks

    @property
    def tenant_numbers(self) -> dict[Any, int]:
        return self._customers

    # -- decisions

    def record_action(self, action: Action) -> None:
        match action:
            case Attempt(request=task, worker=runner, timeout_ns=patience):
                at = len(task.attempts) - 1
                self.sink(ev.AttemptStarted(self._tasks[task], at, self._runners[runner], patience))
            case Reject(request=task, retry_after_ns=wait):
                self.sink(ev.RequestRejected(self._tasks[task], wait))
            case Fail(request=task):
                self.sink(ev.RequestFailed(self._tasks[task]))
            case Cancel(attempt=hand_off):
                task = hand_off.request
                self.sink(ev.AttemptCancelled(self._tasks[task], task.attempts.index(hand_off)))
            case LoadRequest(worker=runner, function=model, replicas=copies):
                self._ordered += 1
                number = self._orders[action] = self._ordered
                self.sink(ev.LoadRequested(number, self._runners[runner], self._models[model], copies))
            case ListWorkers():
                self.sink(ev.WorkerListRequested())

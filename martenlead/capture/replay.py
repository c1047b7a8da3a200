"""Drives the module through what a capture tells, and compares what it decides with what it decided then.

A run is deterministic: the settings, the seed, the module's text and the inputs with their times decide
everything. Identical decisions are shown one by one, in order, with their place between the inputs.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from time import perf_counter
from typing import Any

from martenlead.capture import events as ev
from martenlead.capture.checkpoint import Checkpoint, restore, save
from martenlead.capture.recorder import CaptureRecorder
from martenlead.policy import boundary_events as boundary
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.types import (
    Action,
    Attempt,
    AttemptResult,
    EarlierFunction,
    EarlierRun,
    EarlierWorker,
    LoadRequest,
    Request,
    Result,
    Settings,
    Warmth,
)

CONTEXT = 20


class ReplayError(Exception):
    """The events cannot be replayed from here on; says why."""


@dataclass
class Divergence:
    """The first decision that is not the one of then, and the events before it."""

    position: int
    recorded: ev.CaptureEvent | None
    replayed: ev.CaptureEvent | None
    preceding: list[ev.CaptureEvent]


@dataclass
class ReplayOutcome:
    events: int = 0
    decisions: int = 0
    requests: int = 0
    first_time_ns: int = 0
    last_time_ns: int = 0
    elapsed_seconds: float = 0.0
    divergence: Divergence | None = None
    stop_reason: str = ""  # a gap: why nothing behind it was replayed
    is_resumed: bool = False  # began at a checkpoint, and not at the start

    @property
    def recorded_seconds(self) -> float:
        return (self.last_time_ns - self.first_time_ns) / 1e9


class Replayer:
    """One dispatcher's module, fed with events. `made` has its decisions since the last input, as events."""

    def __init__(self, change: Callable[[Settings], Settings] | None = None) -> None:
        self.change = change or (lambda settings: settings)
        self.pending_decisions: deque[ev.CaptureEvent] = deque()
        self.start: ev.RunStarted | None = None
        self.policy: Policy
        self.engine: Engine
        self.runners: list[Any] = []
        self.models: list[Any] = []
        self.tasks: dict[int, Request] = {}
        self.orders: dict[int, LoadRequest] = {}
        self.names: dict[Any, str] = {}
        self._tape = CaptureRecorder(self._sink, "")
        self._settings: Settings
        self._customers: list[Any] = []
        self._made_orders = 0
        self._closed: set[int] = set()

    def _sink(self, event: ev.CaptureEvent) -> None:
        if isinstance(event, ev.DECISIONS):
            self.pending_decisions.append(event)

    def _outlet(self, action: Action) -> None:
        if isinstance(action, LoadRequest):
            self._made_orders += 1
            self.orders[self._made_orders] = action
        self._tape.record_action(action)

    def feed(self, event: ev.CaptureEvent) -> None:
        """One input. Raises `Unreplayable` for a gap, or a capture that does not begin at its start."""
        match event:
            case ev.RunStarted():
                self._begin(event)
                return
            case Checkpoint():
                restore(self, event)
                return
            case ev.Gap(dropped=dropped, reason=why):
                raise ReplayError(f"{dropped or 'some'} events are missing: {why}")
        if self.start is None:
            raise ReplayError("it does not begin with a start: the segments before are gone")
        if isinstance(event, ev.InputEvent):
            self.policy.state.now_ns = event.time_ns
            self._input(event)

    def _begin(self, event: ev.RunStarted) -> None:
        self.start = event
        self._settings = self.change(ev.unpack_settings(event.settings))
        self._customers = ev.unpack_tenants(event)
        self.policy = Policy(self._settings, event.seed)
        self.policy.state.now_ns = event.time_ns
        self.engine = Engine(self.policy, self._outlet)
        customers = dict(zip((name for name, _ in event.tenants), self._customers, strict=True))
        self._tape.record(
            boundary.RunStarted(event.time_ns, self._settings, event.seed, event.request_classes, customers)
        )

    def _input(self, event: ev.InputEvent) -> None:
        policy, engine, tape, t = self.policy, self.engine, self._tape, event.time_ns
        match event:
            case ev.EngineStarted():
                engine.start()
            case ev.TickChanged(tick_ns=tick):
                self._settings.tick_ns = tick
            case ev.WorkerAdded(name=name, facts=packed):
                facts = ev.unpack_facts(packed)
                runner = policy.new_worker(facts)
                self.runners.append(runner)
                self.names[runner] = name
                tape.record(boundary.WorkerAdded(t, runner, facts, name))
            case ev.FunctionAdded(name=name):
                model = policy.new_function(ev.unpack_function_facts(event))
                self.models.append(model)
                self.names[model] = name
                tape.record(boundary.FunctionAdded(t, model, ev.unpack_function_facts(event), name))
            case ev.WorkersUpdated(is_complete=whole, workers=lines):
                policy.update_workers(
                    [(self.runners[n], ev.unpack_facts(facts)) for n, facts in lines], whole
                )
            case ev.RequestAccepted():
                task = Request(
                    self.models[event.function],
                    self._settings.request_classes[event.request_class],
                    None if event.tenant < 0 else self._customers[event.tenant],
                    event.deadline_ns,
                    event.is_retry,
                    event.cost,
                )
                self.tasks[event.request] = task
                self.names[task] = event.name
                tape.record(boundary.RequestAccepted(t, task, event.name))
                engine.handle_request(task)
            case ev.AttemptEnded():
                self._answered(event)
            case ev.LoadEnded(load_request=number, result=result, replicas=copies):
                order = self.orders.pop(number, None)
                if order is not None:
                    engine.record_load_end(order, Result(result), copies)
            case ev.RequestClosed(request=number, outcome=final):
                task = self.tasks[number]
                tape.record(boundary.RequestClosed(t, task, final))
                engine.close_request(task)
                self._closed.add(number)
                self._over(number, task)
            case ev.Advance():
                engine.advance(t)
            case ev.RetentionChanged(worker=runner, function=model, is_retained=held):
                engine.set_retained(self.runners[runner], self.models[model], held)
            case ev.LoadPlanned(worker=runner, function=model):
                engine.request_load(self.runners[runner], self.models[model])
            case ev.ReplicaConfirmed(result=result, replicas=copies, last_used_ns=touched):
                told = self.runners[event.worker], self.models[event.function]
                engine.confirm_replica(*told, Result(result), copies, touched)
            case ev.WorkerChoiceRequested(
                function=model, request_class=offering, is_deferrable=spare, cost=cost
            ):
                kind = self._settings.request_classes[offering]
                engine.choose_worker(
                    Request(self.models[model], kind, None, t, False, cost, is_deferrable=spare)
                )
            case ev.KnowledgeRestored():
                engine.restore(
                    EarlierRun(
                        event.succeeded_per_second,
                        event.new_requests_per_second,
                        event.weight,
                        [EarlierFunction(self.models[m], *about) for m, *about in event.functions],
                        [EarlierWorker(self.runners[r], *about) for r, *about in event.workers],
                        event.load_ages_ns,
                    )
                )
            case ev.LoadRequestsAllowed(is_allowed=on):
                self._settings.may_request_loads = on

    def _answered(self, event: ev.AttemptEnded) -> None:
        task = self.tasks.get(event.request)
        if task is None or event.attempt >= len(task.attempts):
            return  # of a hand-off that this run never made: only where settings or the module differ
        hand_off: Attempt = task.attempts[event.attempt]
        if hand_off.result is not None:
            return
        answer = AttemptResult(
            hand_off, Result(event.result), event.is_final, Warmth(event.warmth), event.latency_ns
        )
        self._tape.record(boundary.AttemptEnded(event.time_ns, answer))
        self.engine.record_result(answer)
        self._over(event.request, task)

    def _over(self, number: int, task: Request) -> None:
        if number in self._closed and all(h.result is not None for h in task.attempts):
            self._closed.discard(number)
            self.tasks.pop(number, None)
            self.names.pop(task, None)


def replay(events: Iterable[ev.CaptureEvent], replayer: Replayer | None = None) -> ReplayOutcome:
    """Feeds all events and compares each decision; stops at the first that differs, or at a gap."""
    replayer = replayer or Replayer()
    outcome = ReplayOutcome()
    before: deque[ev.CaptureEvent] = deque(maxlen=CONTEXT)
    begun = perf_counter()
    made = replayer.pending_decisions
    for event in events:
        if isinstance(event, ev.InputEvent):
            if made:
                outcome.divergence = Divergence(outcome.events, None, made[0], list(before))
                break
            outcome.first_time_ns = outcome.first_time_ns or event.time_ns
            outcome.last_time_ns = event.time_ns
            outcome.requests += isinstance(event, ev.RequestAccepted)
            outcome.is_resumed = outcome.is_resumed or isinstance(event, Checkpoint)
            try:
                replayer.feed(event)
            except ReplayError as error:
                outcome.stop_reason = str(error)
                break
        else:
            one = made.popleft() if made else None
            if one != event:
                outcome.divergence = Divergence(outcome.events, event, one, list(before))
                break
            outcome.decisions += 1
        before.append(event)
        outcome.events += 1
    outcome.elapsed_seconds = perf_counter() - begun
    return outcome


@dataclass
class WhatIfReport:
    """Two readings of the same inputs: as it was, and with another module or other settings.

    Answers are fed as they were recorded, whoever the hand-off went to: a replay cannot know what another
    runner would have answered. So what comes after a task's first difference is a tendency and no result.
    """

    requests: int = 0
    moved: int = 0  # tasks whose first hand-off would have gone to another runner
    no_longer_sent: int = 0  # tasks that would not have been handed off at all, and were
    newly_sent: int = 0  # and the other way round
    recorded_counts: Counter[str] = field(default_factory=Counter)
    replayed_counts: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)
    stop_reason: str = ""


def compare_with_change(
    events: Iterable[ev.CaptureEvent], change: Callable[[Settings], Settings]
) -> WhatIfReport:
    told = WhatIfReport()
    replayer = Replayer(change)
    first_then: dict[int, int] = {}
    first_now: dict[int, int] = {}
    for event in events:
        if isinstance(event, ev.InputEvent):
            told.requests += isinstance(event, ev.RequestAccepted)
            try:
                replayer.feed(event)
            except ReplayError as error:
                told.stop_reason = str(error)
                break
            while replayer.pending_decisions:
                _note(replayer.pending_decisions.popleft(), told.replayed_counts, first_now)
        else:
            _note(event, told.recorded_counts, first_then)
    for task in sorted(first_then.keys() | first_now.keys()):
        a, b = first_then.get(task), first_now.get(task)
        if a == b:
            continue
        told.moved += a is not None and b is not None
        told.no_longer_sent += b is None
        told.newly_sent += a is None
        if len(told.examples) < 10:
            names = ["nowhere" if n is None else replayer.names[replayer.runners[n]] for n in (a, b)]
            told.examples.append(f"task {task}: {names[0]} -> {names[1]}")
    return told


def _note(event: ev.CaptureEvent, counts: Counter[str], first: dict[int, int]) -> None:
    counts[ev.kind_name(event)] += 1
    if isinstance(event, ev.AttemptStarted) and not event.attempt:
        first[event.request] = event.worker


def parse_setting_change(text: str) -> Callable[[Settings], Settings]:
    """A change from NAME=VALUE, of a setting as the capture has it (times in ns). Raises ValueError."""
    name, _, value = text.partition("=")

    def change(settings: Settings) -> Settings:
        if name not in ev.SETTING_FIELDS or name == "offerings":
            raise ValueError(f"{name}: no such setting")
        field_name = ev.SETTING_FIELDS[name]
        old = getattr(settings, field_name)
        kind: type = type(old)
        if kind is bool and value not in ("true", "false"):
            raise ValueError(f"{name}: true or false was expected")
        try:
            new: dict[str, Any] = {field_name: value == "true" if kind is bool else kind(value)}
        except ValueError:
            raise ValueError(f"{name}: a value like {old} was expected") from None
        return replace(settings, **new)

    return change


def write_checkpoint_between(
    earlier: Iterable[ev.CaptureEvent], later: Iterable[ev.CaptureEvent], path: Path
) -> None:
    """Replays `earlier` and writes the state before the first input of `later`; decisions that stand there
    before it are still of the input before. Raises `Unreplayable` where a decision differs, and
    `CannotWrite`."""
    replayer = Replayer()

    def take(event: ev.CaptureEvent) -> None:
        if not isinstance(event, ev.InputEvent):
            if not replayer.pending_decisions or replayer.pending_decisions.popleft() != event:
                raise ReplayError("a decision differs from the one of then")
            return
        if replayer.pending_decisions:
            raise ReplayError("a decision differs from the one of then")
        replayer.feed(event)

    for event in earlier:
        take(event)
    for event in later:
        if isinstance(event, ev.InputEvent):
            if replayer.start is None:
                raise ReplayError("nothing stands before it")
            save(path, event.time_ns, replayer)
            return
        take(event)
    raise ReplayError("no input stands behind it")

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
from martenlead.capture.tape import Tape
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


class Unreplayable(Exception):
    """The events cannot be replayed from here on; says why."""


@dataclass
class Divergence:
    """The first decision that is not the one of then, and the events before it."""

    place: int
    recorded: ev.Event | None
    made: ev.Event | None
    before: list[ev.Event]


@dataclass
class Outcome:
    events: int = 0
    decisions: int = 0
    tasks: int = 0
    first: int = 0
    last: int = 0
    took: float = 0.0
    divergence: Divergence | None = None
    stopped: str = ""  # a gap: why nothing behind it was replayed
    resumed: bool = False  # began at a checkpoint, and not at the start

    @property
    def seconds(self) -> float:
        return (self.last - self.first) / 1e9


class Replayer:
    """One dispatcher's module, fed with events. `made` has its decisions since the last input, as events."""

    def __init__(self, change: Callable[[Settings], Settings] | None = None) -> None:
        self.change = change or (lambda settings: settings)
        self.made: deque[ev.Event] = deque()
        self.start: ev.Start | None = None
        self.policy: Policy
        self.engine: Engine
        self.runners: list[Any] = []
        self.models: list[Any] = []
        self.tasks: dict[int, Request] = {}
        self.orders: dict[int, LoadRequest] = {}
        self.names: dict[Any, str] = {}
        self._tape = Tape(self._sink, "")
        self._settings: Settings
        self._customers: list[Any] = []
        self._made_orders = 0
        self._closed: set[int] = set()

    def _sink(self, event: ev.Event) -> None:
        if isinstance(event, ev.DECISIONS):
            self.made.append(event)

    def _outlet(self, action: Action) -> None:
        if isinstance(action, LoadRequest):
            self._made_orders += 1
            self.orders[self._made_orders] = action
        self._tape.decided(action)

    def feed(self, event: ev.Event) -> None:
        """One input. Raises `Unreplayable` for a gap, or a capture that does not begin at its start."""
        match event:
            case ev.Start():
                self._begin(event)
                return
            case Checkpoint():
                restore(self, event)
                return
            case ev.Gap(dropped=dropped, why=why):
                raise Unreplayable(f"{dropped or 'some'} events are missing: {why}")
        if self.start is None:
            raise Unreplayable("it does not begin with a start: the segments before are gone")
        if isinstance(event, ev.Input):
            self.policy.state.now_ns = event.t
            self._input(event)

    def _begin(self, event: ev.Start) -> None:
        self.start = event
        self._settings = self.change(ev.settings_of(event.settings))
        self._customers = ev.customers_of(event)
        self.policy = Policy(self._settings, event.seed)
        self.policy.state.now_ns = event.t
        self.engine = Engine(self.policy, self._outlet)
        customers = dict(zip((name for name, _ in event.customers), self._customers, strict=True))
        self._tape.start(event.t, self._settings, event.seed, event.offerings, customers)

    def _input(self, event: ev.Input) -> None:
        policy, engine, tape, t = self.policy, self.engine, self._tape, event.t
        match event:
            case ev.Begin():
                engine.start()
            case ev.Tick(tick=tick):
                self._settings.tick_ns = tick
            case ev.NewRunner(name=name, facts=packed):
                facts = ev.facts_of(packed)
                runner = policy.new_worker(facts)
                self.runners.append(runner)
                self.names[runner] = name
                tape.runner(t, runner, facts, name)
            case ev.NewModel(name=name):
                model = policy.new_function(ev.model_facts(event))
                self.models.append(model)
                self.names[model] = name
                tape.model(t, model, ev.model_facts(event), name)
            case ev.Roster(whole=whole, lines=lines):
                policy.update_workers([(self.runners[n], ev.facts_of(facts)) for n, facts in lines], whole)
            case ev.Take():
                task = Request(
                    self.models[event.model],
                    self._settings.request_classes[event.offering],
                    None if event.customer < 0 else self._customers[event.customer],
                    event.give_up,
                    event.again,
                    event.cost,
                )
                self.tasks[event.task] = task
                self.names[task] = event.name
                tape.take(t, task, event.name)
                engine.handle_request(task)
            case ev.Answered():
                self._answered(event)
            case ev.OrderEnded(order=number, result=result, copies=copies):
                order = self.orders.pop(number, None)
                if order is not None:
                    engine.record_load_end(order, Result(result), copies)
            case ev.Closed(task=number, final=final):
                task = self.tasks[number]
                tape.closed(t, task, final)
                engine.close_request(task)
                self._closed.add(number)
                self._over(number, task)
            case ev.Advance():
                engine.advance(t)
            case ev.Hold(runner=runner, model=model, held=held):
                engine.set_retained(self.runners[runner], self.models[model], held)
            case ev.Carry(runner=runner, model=model):
                engine.request_load(self.runners[runner], self.models[model])
            case ev.Recalled(result=result, copies=copies, touched=touched):
                told = self.runners[event.runner], self.models[event.model]
                engine.confirm_replica(*told, Result(result), copies, touched)
            case ev.Room(model=model, offering=offering, spare=spare, cost=cost):
                kind = self._settings.request_classes[offering]
                engine.choose_worker(
                    Request(self.models[model], kind, None, t, False, cost, is_deferrable=spare)
                )
            case ev.Remembered():
                engine.restore(
                    EarlierRun(
                        event.rate,
                        event.asked,
                        event.worth,
                        [EarlierFunction(self.models[m], *about) for m, *about in event.models],
                        [EarlierWorker(self.runners[r], *about) for r, *about in event.runners],
                        event.orders,
                    )
                )
            case ev.Plans(on=on):
                self._settings.may_request_loads = on

    def _answered(self, event: ev.Answered) -> None:
        task = self.tasks.get(event.task)
        if task is None or event.hand_off >= len(task.attempts):
            return  # of a hand-off that this run never made: only where settings or the module differ
        hand_off: Attempt = task.attempts[event.hand_off]
        if hand_off.result is not None:
            return
        answer = AttemptResult(hand_off, Result(event.result), event.final, Warmth(event.warmth), event.lag)
        self._tape.answered(event.t, answer)
        self.engine.record_result(answer)
        self._over(event.task, task)

    def _over(self, number: int, task: Request) -> None:
        if number in self._closed and all(h.result is not None for h in task.attempts):
            self._closed.discard(number)
            self.tasks.pop(number, None)
            self.names.pop(task, None)


def replay(events: Iterable[ev.Event], replayer: Replayer | None = None) -> Outcome:
    """Feeds all events and compares each decision; stops at the first that differs, or at a gap."""
    replayer = replayer or Replayer()
    outcome = Outcome()
    before: deque[ev.Event] = deque(maxlen=CONTEXT)
    begun = perf_counter()
    made = replayer.made
    for event in events:
        if isinstance(event, ev.Input):
            if made:
                outcome.divergence = Divergence(outcome.events, None, made[0], list(before))
                break
            outcome.first = outcome.first or event.t
            outcome.last = event.t
            outcome.tasks += isinstance(event, ev.Take)
            outcome.resumed = outcome.resumed or isinstance(event, Checkpoint)
            try:
                replayer.feed(event)
            except Unreplayable as error:
                outcome.stopped = str(error)
                break
        else:
            one = made.popleft() if made else None
            if one != event:
                outcome.divergence = Divergence(outcome.events, event, one, list(before))
                break
            outcome.decisions += 1
        before.append(event)
        outcome.events += 1
    outcome.took = perf_counter() - begun
    return outcome


@dataclass
class WhatIf:
    """Two readings of the same inputs: as it was, and with another module or other settings.

    Answers are fed as they were recorded, whoever the hand-off went to: a replay cannot know what another
    runner would have answered. So what comes after a task's first difference is a tendency and no result.
    """

    tasks: int = 0
    elsewhere: int = 0  # tasks whose first hand-off would have gone to another runner
    not_sent: int = 0  # tasks that would not have been handed off at all, and were
    sent: int = 0  # and the other way round
    then: Counter[str] = field(default_factory=Counter)
    now: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)
    stopped: str = ""


def what_if(events: Iterable[ev.Event], change: Callable[[Settings], Settings]) -> WhatIf:
    told = WhatIf()
    replayer = Replayer(change)
    first_then: dict[int, int] = {}
    first_now: dict[int, int] = {}
    for event in events:
        if isinstance(event, ev.Input):
            told.tasks += isinstance(event, ev.Take)
            try:
                replayer.feed(event)
            except Unreplayable as error:
                told.stopped = str(error)
                break
            while replayer.made:
                _note(replayer.made.popleft(), told.now, first_now)
        else:
            _note(event, told.then, first_then)
    for task in sorted(first_then.keys() | first_now.keys()):
        a, b = first_then.get(task), first_now.get(task)
        if a == b:
            continue
        told.elsewhere += a is not None and b is not None
        told.not_sent += b is None
        told.sent += a is None
        if len(told.examples) < 10:
            names = ["nowhere" if n is None else replayer.names[replayer.runners[n]] for n in (a, b)]
            told.examples.append(f"task {task}: {names[0]} -> {names[1]}")
    return told


def _note(event: ev.Event, counts: Counter[str], first: dict[int, int]) -> None:
    counts[type(event).__name__] += 1
    if isinstance(event, ev.HandedOff) and not event.hand_off:
        first[event.task] = event.runner


def setting(text: str) -> Callable[[Settings], Settings]:
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


def checkpoint_between(earlier: Iterable[ev.Event], later: Iterable[ev.Event], path: Path) -> None:
    """Replays `earlier` and writes the state before the first input of `later`; decisions that stand there
    before it are still of the input before. Raises `Unreplayable` where a decision differs, and
    `CannotWrite`."""
    replayer = Replayer()

    def take(event: ev.Event) -> None:
        if not isinstance(event, ev.Input):
            if not replayer.made or replayer.made.popleft() != event:
                raise Unreplayable("a decision differs from the one of then")
            return
        if replayer.made:
            raise Unreplayable("a decision differs from the one of then")
        replayer.feed(event)

    for event in earlier:
        take(event)
    for event in later:
        if isinstance(event, ev.Input):
            if replayer.start is None:
                raise Unreplayable("nothing stands before it")
            save(path, event.t, replayer)
            return
        take(event)
    raise Unreplayable("no input stands behind it")

"""The module at the planner: told all that the edge's module is told, and asked for the half that plans.

The edge's instance decides where each task goes and counts what was ordered; this one decides which copies
are held. Both are the same policy, called as it is: a task is counted here (`Attempts.count_request`, which
runs the check at once above Rmax), its hand-offs are entered as the edge made them
(`Attempts.begin_attempt`), their results are recorded (`Policy.record_result`) and the periodic check runs
(`ReplicaScaling.run`). No task is placed here. Free of I/O; the clock is the edge's, as far as it is known
here. Times are ns.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from martenlead.capture import events as ev
from martenlead.planner.snapshot import Restored
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.types import Action, AttemptResult, LoadRequest, Result, Warmth

DRIFT = 100e-6  # that two clocks may differ by, as a part: the least way is believed for so long


@dataclass(slots=True)
class Decided:
    """Since it was asked last: orders by number, runner and model; copies that are held now or no longer."""

    orders: list[tuple[int, int, int]] = field(default_factory=list)
    held: list[tuple[int, int, bool]] = field(default_factory=list)
    whole: bool = False  # `held` has all that are held

    def __bool__(self) -> bool:
        return bool(self.orders or self.held or self.whole)


class Clock:
    """The edge's clock, read here: from the times in what it sends, taken to have come without delay where it
    came fastest. Only differences of the own clock count, so it may be set to anything."""

    def __init__(self, own: Callable[[], int]) -> None:
        self.own = own
        self.ahead = 0
        self.at: int | None = None

    def told(self, t: int) -> None:
        here = self.own()
        if self.at is None or t - here > self.ahead - int(DRIFT * (here - self.at)):
            self.ahead, self.at = t - here, here

    def __call__(self) -> int:
        return self.own() + self.ahead


class Mirror:
    """One edge's module, mirrored. What does not make sense raises `Lost`: the whole state is to be asked
    for."""

    def __init__(self, state: dict[str, Any], now: int, numbers: Callable[[], int]) -> None:
        """`numbers` gives a new number to each order."""
        self.numbers = numbers
        self.decided = Decided()
        self.orders: dict[int, LoadRequest] = {}  # own, by number, until they have ended
        self._given: dict[int, LoadRequest] = {}  # by the edge's number
        self._carried: int | None = None  # the own order that the edge has just taken up
        self.tasks_seen = 0
        try:
            self.all = Restored(state, now)
        except (KeyError, ValueError, TypeError, IndexError, AttributeError) as error:
            raise Lost(f"the state can not be read: {type(error).__name__} {error}") from None
        self.policy: Policy = self.all.policy
        self.engine = Engine(self.policy, self._outlet)
        self._numbers_of = {runner: n for n, runner in self.all.runners.items()}
        self._models_of = {model: n for n, model in self.all.models.items()}
        self._held = self._holds(self.policy.state.functions)
        self.engine.start()

    def _outlet(self, action: Action) -> None:
        if isinstance(action, LoadRequest):
            number = self.numbers()
            self.orders[number] = action
            told = number, self._numbers_of[action.worker], self._models_of[action.function]
            self.decided.orders.append(told)

    def _holds(self, models: Iterable[Any]) -> set[tuple[int, int]]:
        return {
            (self._numbers_of[runner], self._models_of[model])
            for model in models
            for runner, copy in model.replicas.items()
            if copy.is_retained
        }

    def _note_held(self, models: Iterable[Any] | None = None) -> None:
        """What has changed of what is held, of these models or of all."""
        now = self._holds(self.policy.state.functions if models is None else models)
        before = self._held
        if models is not None:
            numbers = {self._models_of[model] for model in models}
            before = {pair for pair in self._held if pair[1] in numbers}
        for runner, model in sorted(now - before):
            self.decided.held.append((runner, model, True))
        for runner, model in sorted(before - now):
            self.decided.held.append((runner, model, False))
        self._held = (self._held - before) | now

    # -- what the edge tells

    def feed(self, events: list[ev.Any_]) -> None:
        """Raises `Lost`."""
        try:
            for event in events:
                if isinstance(event, ev.Input):
                    self.policy.state.now_ns = max(self.policy.state.now_ns, event.t)
                self._one(event)
        except (KeyError, ValueError, IndexError, AttributeError) as error:
            raise Lost(f"{type(event).__name__}: {type(error).__name__} {error}") from None

    def _one(self, event: ev.Any_) -> None:
        policy, all_ = self.policy, self.all
        carried, self._carried = self._carried, None
        if carried is not None and not isinstance(event, ev.Ordered):
            self._refused(carried)
        match event:
            case ev.Take():
                self.tasks_seen += 1
                task = all_.task(
                    event.task,
                    event.model,
                    event.offering,
                    event.customer,
                    event.give_up,
                    event.again,
                    event.cost,
                )
                orders = 0
                for action in policy.attempts.count_request(task):
                    self._outlet(action)
                    orders += 1
                if orders:
                    self._note_held([task.function])
            case ev.HandedOff():
                task = all_.tasks[event.task]
                policy.attempts.begin_attempt(
                    task, all_.runners[event.runner], policy.state.now_ns + event.patience
                )
            case ev.Answered():
                found = all_.tasks.get(event.task)
                if found is None or event.hand_off >= len(found.attempts):
                    return  # of a task that was over when the state was written
                hand_off = found.attempts[event.hand_off]
                if hand_off.result is None:
                    result, warmth = Result(event.result), Warmth(event.warmth)
                    policy.record_result(AttemptResult(hand_off, result, event.final, warmth, event.lag))
                if found.process == "closed" and all(h.result is not None for h in found.attempts):
                    del all_.tasks[event.task]
            case ev.Closed():
                found = all_.tasks.get(event.task)
                if found is not None:
                    found.process = "closed"
                    if all(h.result is not None for h in found.attempts):
                        del all_.tasks[event.task]
            case ev.NewRunner():
                facts = ev.facts_of(event.facts)
                runner = all_.runners[event.runner] = policy.new_worker(facts)
                all_.names[runner] = event.name
                self._numbers_of[runner] = event.runner
            case ev.NewModel():
                if event.model not in all_.models:
                    self._models_of[all_.model(event)] = event.model
            case ev.Roster(whole=whole, lines=lines):
                policy.update_workers([(all_.runners[n], ev.facts_of(facts)) for n, facts in lines], whole)
                self._note_held()
            case ev.Tick(tick=tick):
                all_.settings.tick_ns = tick
            case ev.Carry(plan=plan):
                self._carried = plan
            case ev.Ordered():
                self._ordered(event, carried)
            case ev.OrderEnded(order=number, result=result, copies=copies):
                order = self._given.pop(number, None)
                if order is not None:
                    policy.record_load_end(order, Result(result), copies)
                    self._note_held([order.function])
            case ev.Recalled(result=result, copies=copies, touched=touched):
                told = all_.runners[event.runner], all_.models[event.model]
                self.engine.confirm_replica(*told, Result(result), copies, touched)
                self._note_held([told[1]])
            case _:
                pass  # own timers, and what the edge says of itself

    def _ordered(self, event: ev.Ordered, carried: int | None) -> None:
        order = self.orders.pop(carried, None) if carried is not None else None
        if order is None:  # the edge's own, or of a planner before this one: it counts all the same
            copy = self.policy.state.replica(self.all.models[event.model], self.all.runners[event.runner])
            order = self.policy.scaling.request_load(copy)
        self._given[event.order] = order

    def _refused(self, number: int) -> None:
        """The edge's ration, or its word on a drain, is ahead of what is known here."""
        order = self.orders.pop(number, None)
        if order is not None:
            stands = self.policy.state.replica(order.function, order.worker).is_loaded
            self.policy.record_load_end(order, Result.AT_CAPACITY, int(stands))
            self._note_held([order.function])

    # -- time

    def due(self) -> int | None:
        return self.engine.next_due_ns()

    def advance(self, now: int) -> None:
        self.policy.state.now_ns = max(self.policy.state.now_ns, now)
        due = self.engine.next_due_ns()
        if due is not None and due <= self.policy.state.now_ns:
            self.engine.advance(self.policy.state.now_ns)
            self._note_held()

    def resumed(self) -> None:
        """The connection broke and goes on: what was decided may not have come through. Orders that the edge
        has not taken up to our knowledge count as refused, and what is held is said anew, whole."""
        for number in list(self.orders):
            self._refused(number)
        self._note_held()
        held = [(runner, model, True) for runner, model in sorted(self._held)]
        self.decided = Decided([], held, True)

    def taken(self) -> Decided:
        """What was decided since this was called last."""
        decided, self.decided = self.decided, Decided()
        return decided

    def held(self) -> list[tuple[str, str, int, float, int]]:
        """Copies that are held: runner, model, lanes, memory (MB), and ns since they were last used."""
        found = []
        for runner, model in sorted(self._held):
            r, m = self.all.runners[runner], self.all.models[model]
            copy = m.replicas[r]
            used = self.policy.state.now_ns - copy.last_used_ns
            found.append((self.all.names[r], self.all.names[m], m.facts.lanes, m.facts.memory_mb, used))
        return found


class Lost(Exception):
    """The mirror and the edge are not of one mind any more; says where that showed."""

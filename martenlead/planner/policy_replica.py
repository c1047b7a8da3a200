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
from martenlead.planner.snapshot import RestoredPolicy
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.types import Action, AttemptResult, LoadRequest, Result, Warmth

MAX_CLOCK_DRIFT = 100e-6  # that two clocks may differ by, as a part: the least way is believed for so long


@dataclass(slots=True)
class PlannedChanges:
    """Since it was asked last: orders by number, runner and model; copies that are held now or no longer."""

    load_requests: list[tuple[int, int, int]] = field(default_factory=list)
    retained: list[tuple[int, int, bool]] = field(default_factory=list)
    is_complete: bool = False  # `held` has all that are held

    def __bool__(self) -> bool:
        return bool(self.load_requests or self.retained or self.is_complete)


class EdgeClock:
    """The edge's clock, read here: from the times in what it sends, taken to have come without delay where it
    came fastest. Only differences of the own clock count, so it may be set to anything."""

    def __init__(self, own: Callable[[], int]) -> None:
        self.own_clock = own
        self.offset_ns = 0
        self.offset_measured_ns: int | None = None

    def record_edge_time(self, t: int) -> None:
        here = self.own_clock()
        if self.offset_measured_ns is None or t - here > self.offset_ns - int(
            MAX_CLOCK_DRIFT * (here - self.offset_measured_ns)
        ):
            self.offset_ns, self.offset_measured_ns = t - here, here

    def __call__(self) -> int:
        return self.own_clock() + self.offset_ns


class PolicyReplica:
    """One edge's module, mirrored. What does not make sense raises `Lost`: the whole state is to be asked
    for."""

    def __init__(self, state: dict[str, Any], now: int, numbers: Callable[[], int]) -> None:
        """`numbers` gives a new number to each order."""
        self.next_number = numbers
        self.planned_changes = PlannedChanges()
        self.load_requests: dict[int, LoadRequest] = {}  # own, by number, until they have ended
        self._given: dict[int, LoadRequest] = {}  # by the edge's number
        self._carried: int | None = None  # the own order that the edge has just taken up
        self.request_count = 0
        try:
            self.restored = RestoredPolicy(state, now)
        except (KeyError, ValueError, TypeError, IndexError, AttributeError) as error:
            raise OutOfSyncError(f"the state can not be read: {type(error).__name__} {error}") from None
        self.policy: Policy = self.restored.policy
        self.engine = Engine(self.policy, self._outlet)
        self._numbers_of = {runner: n for n, runner in self.restored.workers.items()}
        self._models_of = {model: n for n, model in self.restored.functions.items()}
        self._held = self._holds(self.policy.state.functions)
        self.engine.start()

    def _outlet(self, action: Action) -> None:
        if isinstance(action, LoadRequest):
            number = self.next_number()
            self.load_requests[number] = action
            told = number, self._numbers_of[action.worker], self._models_of[action.function]
            self.planned_changes.load_requests.append(told)

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
            self.planned_changes.retained.append((runner, model, True))
        for runner, model in sorted(before - now):
            self.planned_changes.retained.append((runner, model, False))
        self._held = (self._held - before) | now

    # -- what the edge tells

    def apply_events(self, events: list[ev.AnyEvent]) -> None:
        """Raises `Lost`."""
        try:
            for event in events:
                if isinstance(event, ev.InputEvent):
                    self.policy.state.now_ns = max(self.policy.state.now_ns, event.time_ns)
                self._one(event)
        except (KeyError, ValueError, IndexError, AttributeError) as error:
            raise OutOfSyncError(f"{type(event).__name__}: {type(error).__name__} {error}") from None

    def _one(self, event: ev.AnyEvent) -> None:
        policy, all_ = self.policy, self.restored
        carried, self._carried = self._carried, None
        if carried is not None and not isinstance(event, ev.LoadRequested):
            self._refused(carried)
        match event:
            case ev.RequestAccepted():
                self.request_count += 1
                task = all_.add_request(
                    event.request,
                    event.function,
                    event.request_class,
                    event.tenant,
                    event.deadline_ns,
                    event.is_retry,
                    event.cost,
                )
                orders = 0
                for action in policy.attempts.count_request(task):
                    self._outlet(action)
                    orders += 1
                if orders:
                    self._note_held([task.function])
            case ev.AttemptStarted():
                task = all_.requests[event.request]
                policy.attempts.begin_attempt(
                    task, all_.workers[event.worker], policy.state.now_ns + event.timeout_ns
                )
            case ev.AttemptEnded():
                found = all_.requests.get(event.request)
                if found is None or event.attempt >= len(found.attempts):
                    return  # of a task that was over when the state was written
                hand_off = found.attempts[event.attempt]
                if hand_off.result is None:
                    result, warmth = Result(event.result), Warmth(event.warmth)
                    policy.record_result(
                        AttemptResult(hand_off, result, event.is_final, warmth, event.latency_ns)
                    )
                if found.process == "closed" and all(h.result is not None for h in found.attempts):
                    del all_.requests[event.request]
            case ev.RequestClosed():
                found = all_.requests.get(event.request)
                if found is not None:
                    found.process = "closed"
                    if all(h.result is not None for h in found.attempts):
                        del all_.requests[event.request]
            case ev.WorkerAdded():
                facts = ev.unpack_facts(event.facts)
                runner = all_.workers[event.worker] = policy.new_worker(facts)
                all_.names[runner] = event.name
                self._numbers_of[runner] = event.worker
            case ev.FunctionAdded():
                if event.function not in all_.functions:
                    self._models_of[all_.add_function(event)] = event.function
            case ev.WorkersUpdated(is_complete=whole, workers=lines):
                policy.update_workers(
                    [(all_.workers[n], ev.unpack_facts(facts)) for n, facts in lines], whole
                )
                self._note_held()
            case ev.TickChanged(tick_ns=tick):
                all_.settings.tick_ns = tick
            case ev.LoadPlanned(plan_number=plan):
                self._carried = plan
            case ev.LoadRequested():
                self._ordered(event, carried)
            case ev.LoadEnded(load_request=number, result=result, replicas=copies):
                order = self._given.pop(number, None)
                if order is not None:
                    policy.record_load_end(order, Result(result), copies)
                    self._note_held([order.function])
            case ev.ReplicaConfirmed(result=result, replicas=copies, last_used_ns=touched):
                told = all_.workers[event.worker], all_.functions[event.function]
                self.engine.confirm_replica(*told, Result(result), copies, touched)
                self._note_held([told[1]])
            case _:
                pass  # own timers, and what the edge says of itself

    def _ordered(self, event: ev.LoadRequested, carried: int | None) -> None:
        order = self.load_requests.pop(carried, None) if carried is not None else None
        if order is None:  # the edge's own, or of a planner before this one: it counts all the same
            copy = self.policy.state.replica(
                self.restored.functions[event.function], self.restored.workers[event.worker]
            )
            order = self.policy.scaling.request_load(copy)
        self._given[event.load_request] = order

    def _refused(self, number: int) -> None:
        """The edge's ration, or its word on a drain, is ahead of what is known here."""
        order = self.load_requests.pop(number, None)
        if order is not None:
            stands = self.policy.state.replica(order.function, order.worker).is_loaded
            self.policy.record_load_end(order, Result.AT_CAPACITY, int(stands))
            self._note_held([order.function])

    # -- time

    def next_due_ns(self) -> int | None:
        return self.engine.next_due_ns()

    def advance(self, now: int) -> None:
        self.policy.state.now_ns = max(self.policy.state.now_ns, now)
        due = self.engine.next_due_ns()
        if due is not None and due <= self.policy.state.now_ns:
            self.engine.advance(self.policy.state.now_ns)
            self._note_held()

    def resume(self) -> None:
        """The connection broke and goes on: what was decided may not have come through. Orders that the edge
        has not taken up to our knowledge count as refused, and what is held is said anew, whole."""
        for number in list(self.load_requests):
            self._refused(number)
        self._note_held()
        held = [(runner, model, True) for runner, model in sorted(self._held)]
        self.planned_changes = PlannedChanges([], held, True)

    def take_changes(self) -> PlannedChanges:
        """What was decided since this was called last."""
        decided, self.planned_changes = self.planned_changes, PlannedChanges()
        return decided

    def list_retained(self) -> list[tuple[str, str, int, float, int]]:
        """Copies that are held: runner, model, lanes, memory (MB), and ns since they were last used."""
        found = []
        for runner, model in sorted(self._held):
            r, m = self.restored.workers[runner], self.restored.functions[model]
            copy = m.replicas[r]
            used = self.policy.state.now_ns - copy.last_used_ns
            found.append(
                (self.restored.names[r], self.restored.names[m], m.facts.lanes, m.facts.memory_mb, used)
            )
        return found


class OutOfSyncError(Exception):
    """The mirror and the edge are not of one mind any more; says where that showed."""

"""Many dispatchers and workers in virtual time, with no sockets: each dispatcher is a `Border` with its
engine.

Workers are stubs: they answer an attempt after `RUN`, after a load first where they hold no replica,
and end a load request after `LOAD`. Whoever is down answers nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

from martenlead.edge.policy_boundary import PolicyBoundary, Recorder
from martenlead.policy import types as io
from tests.play import CHECK, MS, SETTINGS

SECOND = 1000 * MS
RUN, LOAD = 20 * MS, 200 * MS
PATIENCE = 4 * SECOND


def line(
    mark: int, state: io.WorkerState = io.WorkerState.UP, since: int = 0, weight: float = 1.0
) -> io.WorkerFacts:
    return io.WorkerFacts(mark, f"zone-{mark % 10}", 0, 50_000.0, weight, state, since)


def lines(
    marks: Iterable[int], state: io.WorkerState = io.WorkerState.UP, since: int = 0
) -> list[io.WorkerFacts]:
    return [line(mark, state, since) for mark in marks]


class Attempt:
    """One that a dispatcher sent. `mark` is its worker's."""

    def __init__(self, at: int, function: int, mark: int, sent: io.Attempt) -> None:
        self.at, self.function, self.mark, self.sent = at, function, mark, sent


class Dispatcher:
    def __init__(self, fleet: Fleet, seed: int, tape: Recorder | None = None, **changes: Any) -> None:
        self.fleet = fleet
        self.settings = replace(SETTINGS, **changes)
        names = (["check", "post", "once"], dict[str, io.Tenant]())
        self.border = PolicyBoundary(self.settings, seed, lambda: fleet.now, self._outlet, tape, names)
        self.policy = self.border.inspect(lambda policy, _: policy)
        self.workers: dict[int, Any] = {}
        self.functions: dict[int, Any] = {}
        self.attempts: list[Attempt] = []
        self.loads: list[tuple[int, int, int]] = []  # when, function, worker
        self.calls: list[int] = []  # when each was taken
        self.finals: Counter[str] = Counter()
        self.ended_tasks: set[io.Request] = set()
        fleet.dispatchers.append(self)

    def tell(self, news: list[io.WorkerFacts], whole: bool = False) -> None:
        """News of the list; a worker that is named for the first time gets its object."""
        for fact in news:
            if fact.mark not in self.workers:
                self.workers[fact.mark] = self.border.add_worker(fact, f"w{fact.mark}")
        self.border.update_workers([(self.workers[fact.mark], fact) for fact in news], whole)

    def begin(self) -> Dispatcher:
        self.border.start()
        return self

    def function(self, number: int) -> Any:
        if number not in self.functions:
            made = self.border.add_function(io.FunctionFacts(number, 2, 3000.0), f"f{number}")
            self.functions[number] = made
        return self.functions[number]

    def call(self, number: int, offering: io.RequestClass = CHECK) -> int | None:
        """The worker of the attempt that this leads to at once, None where it is rejected."""
        self.calls.append(self.fleet.now)
        known: list[io.Request] = []
        before = len(self.attempts)
        give_up = self.fleet.now + PATIENCE
        self.border.accept_request(self.function(number), offering, None, give_up, False, 0.0, known.append)
        return self.attempts[before].mark if len(self.attempts) > before else None

    def _outlet(self, action: io.Action) -> None:
        match action:
            case io.Attempt(worker=runner, request=task):
                mark, function = runner.facts.mark, task.function.facts.mark
                self.attempts.append(Attempt(self.fleet.now, function, mark, action))
                self.fleet.attempt(self, action, mark, function)
            case io.LoadRequest(worker=runner, function=model):
                mark, function = runner.facts.mark, model.facts.mark
                self.loads.append((self.fleet.now, function, mark))
                self.fleet.load(self, action, mark, function)
            case io.Reject(request=task):
                self._final(task, "rejected")
            case io.Fail(request=task):
                self._final(task, "dropped")

    def _final(self, task: io.Request, how: str) -> None:
        assert task not in self.ended_tasks, "a second final response"
        self.ended_tasks.add(task)
        self.finals[how] += 1
        self.fleet.at(0, lambda: self.border.close_request(task, how))

    def ended(self, attempt: io.Attempt, result: io.Result, warmth: io.Warmth) -> None:
        lag = self.fleet.now - attempt.sent_ns
        final = result is io.Result.SUCCEEDED and attempt.request not in self.ended_tasks
        self.border.record_result(io.AttemptResult(attempt, result, final, warmth, lag))
        if final:
            self._final(attempt.request, "satisfied")


class Fleet:
    """The clock, what is due, and which workers are up and hold what."""

    def __init__(self, marks: Iterable[int]) -> None:
        self.now = 0
        self.dispatchers: list[Dispatcher] = []
        self.up = set(marks)
        self.replicas: dict[int, set[int]] = {}  # functions by worker
        self.run_time: dict[int, int] = {}  # by function, where it is not RUN
        self._due: list[tuple[int, int, Callable[[], Any]]] = []
        self._count = 0

    def at(self, after: int, what: Callable[[], Any]) -> None:
        self._count += 1
        heappush(self._due, (self.now + after, self._count, what))

    def attempt(self, dispatcher: Dispatcher, sent: io.Attempt, mark: int, function: int) -> None:
        if mark not in self.up:
            self.at(RUN, lambda: dispatcher.ended(sent, io.Result.UNREACHABLE, io.Warmth.UNKNOWN))
            return
        held = self.replicas.setdefault(mark, set())
        warmth = io.Warmth.WARM if function in held else io.Warmth.STARTED_LOAD
        held.add(function)
        took = self.run_time.get(function, RUN) + (0 if warmth is io.Warmth.WARM else LOAD)
        self.at(took, lambda: dispatcher.ended(sent, io.Result.SUCCEEDED, warmth))

    def load(self, dispatcher: Dispatcher, order: io.LoadRequest, mark: int, function: int) -> None:
        result = io.Result.SUCCEEDED if mark in self.up else io.Result.UNREACHABLE
        if mark in self.up:
            self.replicas.setdefault(mark, set()).add(function)
        self.at(LOAD, lambda: dispatcher.border.record_load_end(order, result, int(mark in self.up)))

    def lose(self, marks: Iterable[int]) -> None:
        """Their processes end: what they held is gone."""
        for mark in marks:
            self.up.discard(mark)
            self.replicas.pop(mark, None)

    def run(self, until: int) -> None:
        while True:
            dues = [due for d in self.dispatchers if (due := d.border.next_due_ns()) is not None]
            next_at = min([*dues, *(entry[0] for entry in self._due[:1])], default=until + 1)
            if next_at > until:
                break
            self.now = max(self.now, next_at)
            while self._due and self._due[0][0] <= self.now:
                heappop(self._due)[2]()
            for dispatcher in self.dispatchers:
                dispatcher.border.advance()
        self.now = max(self.now, until)

    def run_for(self, time: int) -> None:
        self.run(self.now + time)

"""Resumes the decision module's generators: with answers as they come, with None when a wait is over.

The same engine is meant for the real dispatcher: it knows neither wire nor clock, only an outlet for what
the module wants done and the time it is told.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from martenlead.policy.policy import Policy
from martenlead.policy.types import (
    Action,
    AttemptResult,
    EarlierRun,
    LoadRequest,
    Request,
    Result,
    Steps,
    Wait,
)


class Process:
    """One running generator and the wait that it stands in."""

    __slots__ = ("alive", "steps", "turn")

    def __init__(self, steps: Steps) -> None:
        self.steps = steps
        self.turn = 0
        self.alive = True


class Engine:
    def __init__(self, policy: Policy, outlet: Callable[[Action], None]) -> None:
        self.policy = policy
        self.outlet = outlet
        self._due: list[tuple[int, int, Process, int]] = []
        self._count = 0

    def begin(self) -> None:
        for steps in self.policy.background():
            self._resume(Process(steps), None)

    def take(self, task: Request) -> None:
        task.process = Process(self.policy.handle_request(task))
        self._resume(task.process, None)

    def answered(self, answer: AttemptResult) -> None:
        self.policy.record_result(answer)
        self._resume(answer.attempt.request.process, answer)

    def ordered(self, order: LoadRequest, result: Result, copies: int) -> None:
        self.policy.record_load_end(order, result, copies)

    def room(self, task: Request) -> Any:
        """The runner that the module would hand this task to now, None where there is none. It is asked as a
        task asks it, and nothing is begun."""
        return self.policy.placement.choose_worker(task, set())

    def hold(self, runner: Any, model: Any, held: bool) -> None:
        """What another instance of the module decided for this one: whether a copy is held."""
        self.policy.state.replica(model, runner).is_held = held

    def carry(self, runner: Any, model: Any) -> LoadRequest | None:
        """An order that another instance of the module decided on. Whether it may be given is asked of this
        one, which counts all orders whoever decided on them: None where it may not."""
        if not self.policy.load_budget.allows(runner):
            return None
        copy = self.policy.state.replica(model, runner)
        copy.is_held = True
        order = self.policy.scaling.request_load(copy)
        self.outlet(order)
        return order

    def remember(self, past: EarlierRun) -> None:
        self.policy.restore(past)

    def recall(self, runner: Any, model: Any, result: Result, copies: int, touched: int) -> None:
        """The answer to an ask for a copy that was held before this instance began."""
        self.policy.record_load_end(LoadRequest(runner, model, 0), result, copies)
        copy = self.policy.state.replica(model, runner)
        if copy.is_loaded:
            copy.is_held, copy.last_used_ns = True, max(copy.last_used_ns, touched)

    def closed(self, task: Request) -> None:
        left = task.process.alive  # before the module was done with it
        if left:
            task.process.alive = False
            task.process.steps.close()
        for action in self.policy.close_request(task, left):
            self.outlet(action)

    def due(self) -> int | None:
        while self._due and not self._waiting(self._due[0]):
            heappop(self._due)
        return self._due[0][0] if self._due else None

    def advance(self, now: int) -> None:
        while self._due and self._due[0][0] <= now:
            entry = heappop(self._due)
            if self._waiting(entry):
                self._resume(entry[2], None)

    @staticmethod
    def _waiting(entry: tuple[int, int, Process, int]) -> bool:
        return entry[2].alive and entry[2].turn == entry[3]

    def _resume(self, process: Process, value: AttemptResult | None) -> None:
        if not process.alive:
            return
        process.turn += 1
        try:
            action = process.steps.send(value) if process.turn > 1 else next(process.steps)
            while not isinstance(action, Wait):
                self.outlet(action)
                action = process.steps.send(None)
        except StopIteration:
            process.alive = False
            return
        self._count += 1
        heappush(self._due, (action.until_ns, self._count, process, process.turn))

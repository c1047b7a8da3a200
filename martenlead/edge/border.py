"""All that reaches the module passes here, in order and with its time; all that it decides leaves here.

The module is never called around this border, so that whoever records it has recorded everything: a run is
the settings, the seed and the calls of this class.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from martenlead.brain import Brain
from martenlead.engine import Engine
from martenlead.interface import (
    Action,
    Answer,
    Customer,
    ModelFacts,
    Offering,
    Order,
    Result,
    RunnerFacts,
    Settings,
    Task,
)


class Tape(Protocol):
    """Whoever writes down what passes; told before the module is. Times are ns."""

    def start(
        self, t: int, settings: Settings, seed: int, names: list[str], customers: dict[str, Customer]
    ) -> None: ...
    def begin(self, t: int) -> None: ...
    def tick(self, t: int, tick: int) -> None: ...
    def runner(self, t: int, runner: Any, facts: RunnerFacts, name: str) -> None: ...
    def model(self, t: int, model: Any, facts: ModelFacts, name: str) -> None: ...
    def roster(self, t: int, news: list[tuple[Any, RunnerFacts]], whole: bool) -> None: ...
    def take(self, t: int, task: Task, name: str) -> None: ...
    def answered(self, t: int, answer: Answer) -> None: ...
    def ordered(self, t: int, order: Order, result: Result, copies: int) -> None: ...
    def closed(self, t: int, task: Task, final: str) -> None: ...
    def advance(self, t: int) -> None: ...
    def decided(self, action: Action) -> None: ...


class Border:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        outlet: Callable[[Action], None],
        tape: Tape | None = None,
        names: tuple[list[str], dict[str, Customer]] = ([], {}),
    ) -> None:
        """`names` are the offerings' and customers', for the tape."""
        self._settings = settings
        self._clock = clock
        self._tape = tape
        self._outlet = outlet
        self._brain = Brain(settings, seed)
        self._engine = Engine(self._brain, outlet if tape is None else self._decided)
        now = self._now()
        if tape is not None:
            tape.start(now, settings, seed, *names)

    def _decided(self, action: Action) -> None:
        assert self._tape is not None
        self._tape.decided(action)
        self._outlet(action)

    def _now(self) -> int:
        now = max(self._clock(), self._brain.now)  # a clock that steps back stands still here
        self._brain.now = now
        return now

    def begin(self) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.begin(now)
        self._engine.begin()

    def tick(self, tick: int) -> None:
        """What the event loop achieves at present, ns."""
        if self._tape is not None:
            self._tape.tick(self._now(), tick)
        self._settings.tick = tick

    def runner(self, facts: RunnerFacts, name: str) -> Any:
        now = self._now()
        runner = self._brain.runner(facts)
        if self._tape is not None:
            self._tape.runner(now, runner, facts, name)
        return runner

    def model(self, facts: ModelFacts, name: str) -> Any:
        now = self._now()
        model = self._brain.model(facts)
        if self._tape is not None:
            self._tape.model(now, model, facts, name)
        return model

    def roster(self, news: list[tuple[Any, RunnerFacts]], whole: bool) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.roster(now, news, whole)
        self._brain.roster(news, whole)

    def take(
        self,
        model: Any,
        offering: Offering,
        customer: Customer | None,
        give_up: int,
        again: bool,
        cost: float,
        known: Callable[[Task], None],
        name: str = "",
    ) -> None:
        """`known` gets the task before the module does anything for it."""
        now = self._now()
        task = Task(model, offering, customer, give_up, again, cost)
        known(task)
        if self._tape is not None:
            self._tape.take(now, task, name)
        self._engine.take(task)

    def answered(self, answer: Answer) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.answered(now, answer)
        self._engine.answered(answer)

    def ordered(self, order: Order, result: Result, copies: int) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.ordered(now, order, result, copies)
        self._engine.ordered(order, result, copies)

    def closed(self, task: Task, final: str) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.closed(now, task, final)
        self._engine.closed(task)

    def may_turn_back(self, task: Task) -> bool:
        return self._brain.may_turn_back(task)

    def due(self) -> int | None:
        return self._engine.due()

    def advance(self) -> None:
        now = self._now()
        due = self._engine.due()
        if due is None or due > now:
            return
        if self._tape is not None:
            self._tape.advance(now)
        self._engine.advance(now)

"""All that reaches the module passes here, in order and with its time; all that it decides leaves here.

The module is never called around this border, so that whoever records it has recorded everything: a run is
the settings, the seed and the calls of this class.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

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


class Border:
    def __init__(
        self, settings: Settings, seed: int, clock: Callable[[], int], outlet: Callable[[Action], None]
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._brain = Brain(settings, seed)
        self._engine = Engine(self._brain, outlet)
        self._now()

    def _now(self) -> int:
        now = max(self._clock(), self._brain.now)  # a clock that steps back stands still here
        self._brain.now = now
        return now

    def begin(self) -> None:
        self._now()
        self._engine.begin()

    def tick(self, tick: int) -> None:
        """What the event loop achieves at present, ns."""
        self._settings.tick = tick

    def runner(self, facts: RunnerFacts) -> Any:
        self._now()
        return self._brain.runner(facts)

    def model(self, facts: ModelFacts) -> Any:
        self._now()
        return self._brain.model(facts)

    def roster(self, news: Iterable[tuple[Any, RunnerFacts]], whole: bool) -> None:
        self._now()
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
    ) -> None:
        """`known` gets the task before the module does anything for it."""
        self._now()
        task = Task(model, offering, customer, give_up, again, cost)
        known(task)
        self._engine.take(task)

    def answered(self, answer: Answer) -> None:
        self._now()
        self._engine.answered(answer)

    def ordered(self, order: Order, result: Result, copies: int) -> None:
        self._now()
        self._engine.ordered(order, result, copies)

    def closed(self, task: Task) -> None:
        self._now()
        self._engine.closed(task)

    def may_turn_back(self, task: Task) -> bool:
        return self._brain.may_turn_back(task)

    def due(self) -> int | None:
        return self._engine.due()

    def advance(self) -> None:
        self._engine.advance(self._now())

"""All that reaches the module passes here, in order and with its time; all that it decides leaves here.

The module is never called around this border, so that whoever records it has recorded everything: a run is
the settings, the seed and the calls of this class.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy
from martenlead.policy.types import (
    Action,
    AttemptResult,
    EarlierRun,
    FunctionFacts,
    LoadRequest,
    Request,
    RequestClass,
    Result,
    Settings,
    Tenant,
    WorkerFacts,
)


class Tape(Protocol):
    """Whoever writes down what passes; told before the module is. Times are ns."""

    def start(
        self, t: int, settings: Settings, seed: int, names: list[str], customers: dict[str, Tenant]
    ) -> None: ...
    def begin(self, t: int) -> None: ...
    def tick(self, t: int, tick: int) -> None: ...
    def runner(self, t: int, runner: Any, facts: WorkerFacts, name: str) -> None: ...
    def model(self, t: int, model: Any, facts: FunctionFacts, name: str) -> None: ...
    def roster(self, t: int, news: list[tuple[Any, WorkerFacts]], whole: bool) -> None: ...
    def take(self, t: int, task: Request, name: str) -> None: ...
    def answered(self, t: int, answer: AttemptResult) -> None: ...
    def ordered(self, t: int, order: LoadRequest, result: Result, copies: int) -> None: ...
    def closed(self, t: int, task: Request, final: str) -> None: ...
    def advance(self, t: int) -> None: ...
    def hold(self, t: int, runner: Any, model: Any, held: bool) -> None: ...
    def carry(self, t: int, plan: int, runner: Any, model: Any) -> None: ...
    def plans(self, t: int, on: bool) -> None: ...
    def room(self, t: int, task: Request) -> None: ...
    def recalled(
        self, t: int, runner: Any, model: Any, result: Result, copies: int, touched: int
    ) -> None: ...
    def remembered(self, t: int, past: EarlierRun) -> None: ...
    def decided(self, action: Action) -> None: ...


class Both:
    """Two tapes as one."""

    def __init__(self, first: Tape, second: Tape) -> None:
        self._tapes = first, second

    def __getattr__(self, name: str) -> Callable[..., None]:
        one, two = (getattr(tape, name) for tape in self._tapes)

        def tell(*args: Any) -> None:
            one(*args)
            two(*args)

        setattr(self, name, tell)
        return tell


class Border:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        outlet: Callable[[Action], None],
        tape: Tape | None = None,
        names: tuple[list[str], dict[str, Tenant]] = ([], {}),
        policy: type[Policy] = Policy,
    ) -> None:
        """`names` are the offerings' and customers', for the tape; `policy` is the module but in
        comparisons."""
        self._settings = settings
        self._clock = clock
        self._tape = tape
        self._outlet = outlet
        self._policy = policy(settings, seed)
        self._engine = Engine(self._policy, outlet if tape is None else self._decided)
        now = self._now()
        if tape is not None:
            tape.start(now, settings, seed, *names)

    def _decided(self, action: Action) -> None:
        assert self._tape is not None
        self._tape.decided(action)
        self._outlet(action)

    def _now(self) -> int:
        now = max(self._clock(), self._policy.state.now_ns)  # a clock that steps back stands still here
        self._policy.state.now_ns = now
        return now

    def begin(self) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.begin(now)
        self._engine.start()

    def tick(self, tick: int) -> None:
        """What the event loop achieves at present, ns."""
        if self._tape is not None:
            self._tape.tick(self._now(), tick)
        self._settings.tick_ns = tick

    def runner(self, facts: WorkerFacts, name: str) -> Any:
        now = self._now()
        runner = self._policy.new_worker(facts)
        if self._tape is not None:
            self._tape.runner(now, runner, facts, name)
        return runner

    def model(self, facts: FunctionFacts, name: str) -> Any:
        now = self._now()
        model = self._policy.new_function(facts)
        if self._tape is not None:
            self._tape.model(now, model, facts, name)
        return model

    def roster(self, news: list[tuple[Any, WorkerFacts]], whole: bool) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.roster(now, news, whole)
        self._policy.update_workers(news, whole)

    def take(
        self,
        model: Any,
        offering: RequestClass,
        customer: Tenant | None,
        give_up: int,
        again: bool,
        cost: float,
        known: Callable[[Request], None],
        name: str = "",
    ) -> None:
        """`known` gets the task before the module does anything for it."""
        now = self._now()
        task = Request(model, offering, customer, give_up, again, cost)
        known(task)
        if self._tape is not None:
            self._tape.take(now, task, name)
        self._engine.handle_request(task)

    def answered(self, answer: AttemptResult) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.answered(now, answer)
        self._engine.record_result(answer)

    def ordered(self, order: LoadRequest, result: Result, copies: int) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.ordered(now, order, result, copies)
        self._engine.record_load_end(order, result, copies)

    def closed(self, task: Request, final: str) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.closed(now, task, final)
        self._engine.close_request(task)

    def room(self, model: Any, offering: RequestClass, spare: bool, cost: float) -> Any:
        """The runner that a task like this would be handed to now, or None; nothing is begun."""
        now = self._now()
        task = Request(model, offering, None, now, False, cost, is_deferrable=spare)
        if self._tape is not None:
            self._tape.room(now, task)
        return self._engine.choose_worker(task)

    # -- what a planner decided for this dispatcher

    def hold(self, runner: Any, model: Any, held: bool) -> None:
        now = self._now()
        if self._tape is not None:
            self._tape.hold(now, runner, model, held)
        self._engine.set_retained(runner, model, held)

    def carry(self, plan: int, runner: Any, model: Any) -> LoadRequest | None:
        """None where the order may not be given: the ration of all orders is counted here."""
        now = self._now()
        if self._tape is not None:
            self._tape.carry(now, plan, runner, model)
        return self._engine.request_load(runner, model)

    def plans(self, on: bool) -> None:
        """Whether copies are decided on here."""
        if self._tape is not None:
            self._tape.plans(self._now(), on)
        self._settings.may_request_loads = on

    def recalled(self, runner: Any, model: Any, result: Result, copies: int, touched: int) -> None:
        """What became of an ask for a copy that was held in a life before, and was last used then."""
        now = self._now()
        if self._tape is not None:
            self._tape.recalled(now, runner, model, result, copies, touched)
        self._engine.confirm_replica(runner, model, result, copies, touched)

    def remember(self, past: EarlierRun) -> None:
        """What was kept of an earlier life, once, before tasks are taken."""
        now = self._now()
        if self._tape is not None:
            self._tape.remembered(now, past)
        self._engine.restore(past)

    def look(self, read: Callable[[Policy, int], Any]) -> Any:
        """Gives the module's state to whoever reads it and changes nothing of it, with the time."""
        return read(self._policy, self._now())

    def may_turn_back(self, task: Request) -> bool:
        return self._policy.repeats.may_reject(task)

    def due(self) -> int | None:
        return self._engine.next_due_ns()

    def advance(self) -> None:
        now = self._now()
        due = self._engine.next_due_ns()
        if due is None or due > now:
            return
        if self._tape is not None:
            self._tape.advance(now)
        self._engine.advance(now)

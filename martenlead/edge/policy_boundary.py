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


class Recorder(Protocol):
    """Whoever writes down what passes; told before the module is. Times are ns."""

    def begin_run(
        self, t: int, settings: Settings, seed: int, names: list[str], customers: dict[str, Tenant]
    ) -> None: ...
    def start_engine(self, t: int) -> None: ...
    def set_tick(self, t: int, tick: int) -> None: ...
    def add_worker(self, t: int, runner: Any, facts: WorkerFacts, name: str) -> None: ...
    def add_function(self, t: int, model: Any, facts: FunctionFacts, name: str) -> None: ...
    def update_workers(self, t: int, news: list[tuple[Any, WorkerFacts]], whole: bool) -> None: ...
    def accept_request(self, t: int, task: Request, name: str) -> None: ...
    def record_result(self, t: int, answer: AttemptResult) -> None: ...
    def record_load_end(self, t: int, order: LoadRequest, result: Result, copies: int) -> None: ...
    def close_request(self, t: int, task: Request, final: str) -> None: ...
    def advance(self, t: int) -> None: ...
    def set_retained(self, t: int, runner: Any, model: Any, held: bool) -> None: ...
    def request_load(self, t: int, plan: int, runner: Any, model: Any) -> None: ...
    def allow_load_requests(self, t: int, on: bool) -> None: ...
    def choose_worker(self, t: int, task: Request) -> None: ...
    def confirm_replica(
        self, t: int, runner: Any, model: Any, result: Result, copies: int, touched: int
    ) -> None: ...
    def restore(self, t: int, past: EarlierRun) -> None: ...
    def record_action(self, action: Action) -> None: ...


class TeeRecorder:
    """Two tapes as one."""

    def __init__(self, first: Recorder, second: Recorder) -> None:
        self._recorders = first, second

    def __getattr__(self, name: str) -> Callable[..., None]:
        one, two = (getattr(tape, name) for tape in self._recorders)

        def tell(*args: Any) -> None:
            one(*args)
            two(*args)

        setattr(self, name, tell)
        return tell


class PolicyBoundary:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], int],
        outlet: Callable[[Action], None],
        tape: Recorder | None = None,
        names: tuple[list[str], dict[str, Tenant]] = ([], {}),
        policy: type[Policy] = Policy,
    ) -> None:
        """`names` are the offerings' and customers', for the tape; `policy` is the module but in
        comparisons."""
        self._settings = settings
        self._clock = clock
        self._recorder = tape
        self._carry_out = outlet
        self._policy = policy(settings, seed)
        self._engine = Engine(self._policy, outlet if tape is None else self._decided)
        now = self._now()
        if tape is not None:
            tape.begin_run(now, settings, seed, *names)

    def _decided(self, action: Action) -> None:
        assert self._recorder is not None
        self._recorder.record_action(action)
        self._carry_out(action)

    def _now(self) -> int:
        now = max(self._clock(), self._policy.state.now_ns)  # a clock that steps back stands still here
        self._policy.state.now_ns = now
        return now

    def start(self) -> None:
        now = self._now()
        if self._recorder is not None:
            self._recorder.start_engine(now)
        self._engine.start()

    def set_tick(self, tick: int) -> None:
        """What the event loop achieves at present, ns."""
        if self._recorder is not None:
            self._recorder.set_tick(self._now(), tick)
        self._settings.tick_ns = tick

    def add_worker(self, facts: WorkerFacts, name: str) -> Any:
        now = self._now()
        runner = self._policy.new_worker(facts)
        if self._recorder is not None:
            self._recorder.add_worker(now, runner, facts, name)
        return runner

    def add_function(self, facts: FunctionFacts, name: str) -> Any:
        now = self._now()
        model = self._policy.new_function(facts)
        if self._recorder is not None:
            self._recorder.add_function(now, model, facts, name)
        return model

    def update_workers(self, news: list[tuple[Any, WorkerFacts]], whole: bool) -> None:
        now = self._now()
        if self._recorder is not None:
            self._recorder.update_workers(now, news, whole)
        self._policy.update_workers(news, whole)

    def accept_request(
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
        if self._recorder is not None:
            self._recorder.accept_request(now, task, name)
        self._engine.handle_request(task)

    def record_result(self, answer: AttemptResult) -> None:
        now = self._now()
        if self._recorder is not None:
            self._recorder.record_result(now, answer)
        self._engine.record_result(answer)

    def record_load_end(self, order: LoadRequest, result: Result, copies: int) -> None:
        now = self._now()
        if self._recorder is not None:
            self._recorder.record_load_end(now, order, result, copies)
        self._engine.record_load_end(order, result, copies)

    def close_request(self, task: Request, final: str) -> None:
        now = self._now()
        if self._recorder is not None:
            self._recorder.close_request(now, task, final)
        self._engine.close_request(task)

    def choose_worker(self, model: Any, offering: RequestClass, spare: bool, cost: float) -> Any:
        """The runner that a task like this would be handed to now, or None; nothing is begun."""
        now = self._now()
        task = Request(model, offering, None, now, False, cost, is_deferrable=spare)
        if self._recorder is not None:
            self._recorder.choose_worker(now, task)
        return self._engine.choose_worker(task)

    # -- what a planner decided for this dispatcher

    def set_retained(self, runner: Any, model: Any, held: bool) -> None:
        now = self._now()
        if self._recorder is not None:
            self._recorder.set_retained(now, runner, model, held)
        self._engine.set_retained(runner, model, held)

    def request_load(self, plan: int, runner: Any, model: Any) -> LoadRequest | None:
        """None where the order may not be given: the ration of all orders is counted here."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.request_load(now, plan, runner, model)
        return self._engine.request_load(runner, model)

    def allow_load_requests(self, on: bool) -> None:
        """Whether copies are decided on here."""
        if self._recorder is not None:
            self._recorder.allow_load_requests(self._now(), on)
        self._settings.may_request_loads = on

    def confirm_replica(self, runner: Any, model: Any, result: Result, copies: int, touched: int) -> None:
        """What became of an ask for a copy that was held in a life before, and was last used then."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.confirm_replica(now, runner, model, result, copies, touched)
        self._engine.confirm_replica(runner, model, result, copies, touched)

    def restore(self, past: EarlierRun) -> None:
        """What was kept of an earlier life, once, before tasks are taken."""
        now = self._now()
        if self._recorder is not None:
            self._recorder.restore(now, past)
        self._engine.restore(past)

    def inspect(self, read: Callable[[Policy, int], Any]) -> Any:
        """Gives the module's state to whoever reads it and changes nothing of it, with the time."""
        return read(self._policy, self._now())

    def may_reject(self, task: Request) -> bool:
        return self._policy.repeats.may_reject(task)

    def next_due_ns(self) -> int | None:
        return self._engine.next_due_ns()

    def advance(self) -> None:
        now = self._now()
        due = self._engine.next_due_ns()
        if due is None or due > now:
            return
        if self._recorder is not None:
            self._recorder.advance(now)
        self._engine.advance(now)

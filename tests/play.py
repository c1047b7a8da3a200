"""Plays a dispatcher by hand: a clock, named runners and models, and a trace of what is decided."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

from martenlead.policy import types as io
from martenlead.policy.engine import Engine
from martenlead.policy.policy import Policy

MS = 1_000_000
CHECK = io.RequestClass(500 * MS, io.Effect.IDEMPOTENT, io.DeduplicationScope.ALL, 0)
POST = io.RequestClass(300 * MS, io.Effect.WITH_IDEMPOTENCY_KEY, io.DeduplicationScope.ZONE, 8000 * MS)
ONCE = io.RequestClass(300 * MS, io.Effect.NON_IDEMPOTENT, io.DeduplicationScope.ALL, 0)
SETTINGS = io.Settings(
    dispatchers=1,
    tick_ns=2 * MS,
    attempt_limit=3,
    may_hedge=False,
    may_cancel=True,
    may_request_loads=True,
    tells_warmth=True,
    loads_on_miss=True,
    retry_after_limit_ns=500 * MS,
    keep_alive_ns=8000 * MS,
    connect_timeout_ns=0,
    load_window_ns=0,
    free_loads_per_window=0,
    loads_per_request=0,
    slow_start_share=0.2,
    slow_start_ns=10_000 * MS,
    slow_start_multiple=2.5,
    over_share=0.2,
    rate_limit_per_second=1e9,
    late_value=0.2,
    load_price=0.04,
    memory_price=0.0,
    lists_workers=False,
    list_interval_ns=10_000 * MS,
    request_classes=[CHECK, POST, ONCE],
)


class Play:
    def __init__(self, runners: str = "abc", seed: int = 7, **changes: Any) -> None:
        self.lines: list[str] = []
        self.policy = Policy(replace(SETTINGS, **changes), seed)
        self.engine = Engine(self.policy, self.out)
        self.names: dict[Any, str] = {}
        self.hand_offs: list[io.Attempt] = []
        self.orders: list[io.LoadRequest] = []
        self.runners = {name: self.policy.new_worker(self.facts(name)) for name in runners}
        self.names |= {runner: name for name, runner in self.runners.items()}
        self.models: dict[str, Any] = {}
        self.list_all()
        self.engine.start()

    def facts(self, name: str, state: io.WorkerState = io.WorkerState.UP, since: int = 0) -> io.WorkerFacts:
        zone = "east" if name in "abc" else "west"
        return io.WorkerFacts(ord(name), zone, 0, 50_000.0, 1.0, state, since * MS)

    def list_all(self) -> None:
        self.policy.update_workers([(r, r.facts) for r in self.runners.values()], True)

    def list_one(self, name: str, state: io.WorkerState = io.WorkerState.UP, since: int = 0) -> None:
        self.say(f"listed {name} {state.value}")
        self.policy.update_workers([(self.runners[name], self.facts(name, state, since))], False)

    def say(self, text: str) -> None:
        self.lines.append(f"{self.policy.state.now_ns // MS:6} {text}")

    def out(self, action: io.Action) -> None:
        match action:
            case io.Attempt(request=task, worker=runner):
                self.hand_offs.append(action)
                self.say(f"{self.names[task]} -> {self.names[runner]}")
            case io.LoadRequest(worker=runner, function=model, replicas=copies):
                self.orders.append(action)
                self.say(f"{'hold' if copies else 'ask'} {self.names[model]} at {self.names[runner]}")
            case io.Reject(request=task, retry_after_ns=wait):
                self.say(f"{self.names[task]} turned back, come again in {wait // MS}")
            case io.Fail(request=task):
                self.say(f"{self.names[task]} scrapped")
            case io.Cancel(attempt=hand_off):
                self.say(f"{self.names[hand_off.request]} called off at {self.names[hand_off.worker]}")

    def task(
        self,
        name: str,
        model: str = "m",
        offering: io.RequestClass = CHECK,
        patience: int = 4000,
        **more: Any,
    ) -> Any:
        if model not in self.models:
            self.models[model] = self.policy.new_function(io.FunctionFacts(ord(model), 2, 3000.0))
            self.names[self.models[model]] = model
        give_up = self.policy.state.now_ns + patience * MS
        task = io.Request(
            self.models[model], offering, more.get("customer"), give_up, more.get("again", False), 0.0
        )
        self.names[task] = name
        self.engine.handle_request(task)
        return task

    def answer(
        self, result: io.Result = io.Result.SUCCEEDED, warmth: io.Warmth = io.Warmth.WARM, which: int = -1
    ) -> None:
        hand_off = self.hand_offs.pop(which)
        self.say(f"{self.names[hand_off.request]} {result.value} at {self.names[hand_off.worker]}")
        lag = self.policy.state.now_ns - hand_off.sent_ns
        final = result is io.Result.SUCCEEDED
        self.engine.record_result(io.AttemptResult(hand_off, result, final, warmth, lag))
        if final:
            self.engine.close_request(hand_off.request)

    def stands(self, places: str = "", result: io.Result = io.Result.SUCCEEDED) -> None:
        """Answers all orders out: asks find copies at `places`, holds end as told."""
        orders, self.orders = self.orders, []
        for order in orders:
            there = int(order.replicas > 0 and result is io.Result.SUCCEEDED)
            there = there or int(self.names[order.worker] in places)
            self.engine.record_load_end(order, result if order.replicas else io.Result.SUCCEEDED, there)

    def to(self, ms: int) -> None:
        """Moves the clock, stopping wherever something is due."""
        while (due := self.engine.next_due_ns()) is not None and due <= ms * MS:
            self.policy.state.now_ns = max(self.policy.state.now_ns, due)
            self.engine.advance(self.policy.state.now_ns)
        self.policy.state.now_ns = ms * MS

    def wide(self) -> None:
        for runner in self.runners.values():
            runner.concurrency_limit = 4.0

    def served(self, times: int, model: str = "m", every: int = 50) -> None:
        """Warm answers in plenty, left out of the trace."""
        kept = len(self.lines)
        for _ in range(times):
            self.task("-", model)
            self.stands()
            self.to(self.policy.state.now_ns // MS + every)
            self.answer()
        del self.lines[kept:]


def check(play: Play, name: str) -> None:
    path = Path(__file__).parent / "traces" / f"{name}.txt"
    assert "\n".join(play.lines) + "\n" == path.read_text(), f"differs from {path.name}"

"""An edge's module and a planner's in virtual time, a wire between them that can be cut, stalled and
swapped."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import Any

from martenlead.capture import events as ev
from martenlead.config.edge import EdgeSettings, PlannerLinkSettings, build_policy_settings, ms_to_ns
from martenlead.config.load import decode
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.policy_boundary import PolicyBoundary
from martenlead.planner import frames as fr
from martenlead.planner.link import NS_PER_MS, LinkProtocolError
from martenlead.planner.planner_client import PlannerClient
from martenlead.planner.planner_session import PlannerSession
from martenlead.policy.types import (
    Attempt,
    AttemptResult,
    Cancel,
    Fail,
    FunctionFacts,
    LoadRequest,
    Reject,
    Result,
    Warmth,
    WorkerFacts,
    WorkerState,
)

OFFERINGS = [
    {"name": "estimate", "soft_limit_ms": 500, "hard_limit_ms": 3000, "effect": "idempotent"},
    {"name": "notice", "soft_limit_ms": 500, "hard_limit_ms": 3000, "effect": "unrepeatable"},
]
RATION = {"window_ms": 5000, "free": 3, "share": 0.2}


class Wire:
    """One connection: bytes in both directions, each delivered in order, after a delay."""

    def __init__(self) -> None:
        self.up = True
        self.to_planner: list[tuple[int, bytes]] = []
        self.to_edge: list[tuple[int, bytes]] = []
        self.readers = fr.FrameReader(), fr.FrameReader()


class Pair:
    dispatcher_apply_plan = Dispatcher.apply_plan

    def __init__(
        self, seed: int = 1, runners: int = 4, planner_ahead: int = 0, rate: float = 1.0, **link: Any
    ) -> None:
        self.now = 1_000_000_000
        self.chance = Random(seed)
        told = {
            "seed": seed,
            "roster": {"port": 1},
            "offerings": OFFERINGS,
            "models": {"keep_ms": 8000, "ration": RATION},
            "planner": {"at": [{"port": 1}], **link},
        }
        self.edge = decode(told, EdgeSettings, "test")
        assert isinstance(self.edge.planner, PlannerLinkSettings)
        self.side = PlannerClient(self.edge, self.edge.planner, lambda: self.now)
        self.end = self.side.session
        made, self.offerings, customers = build_policy_settings(self.edge)
        names = list(self.offerings), customers
        self.policy_boundary = PolicyBoundary(
            made, seed, lambda: self.now, self._outlet, self.side.recorder, names
        )
        self.side.dispatcher = self  # type: ignore[assignment]
        self.planner_clock = lambda: int(self.now * rate) + planner_ahead
        self.planners = 0
        self.planner = self.new_planner()
        self.wire: Wire | None = None
        self.stalled_until = 0
        self.delay = 2 * NS_PER_MS
        self._heap: list[tuple[int, int, Any]] = []
        self._count = 0
        self.taken: list[int] = []
        self.ordered: list[int] = []
        self.finals = 0
        self.open = 0
        self.recalled: list[Any] = []
        self.epochs: list[int] = []
        self.fault: BaseException | None = None
        self.applied: list[tuple[int, int]] = []  # epoch and the epoch that its sender had
        self.runners = []
        news = []
        for n in range(runners):
            facts = WorkerFacts(n + 1, "zone", 0, 20_000.0, 4.0, WorkerState.UP, 0)
            self.runners.append(self.policy_boundary.add_worker(facts, f"r{n}"))
            news.append((self.runners[-1], facts))
        self.policy_boundary.start()
        self.policy_boundary.update_workers(news, True)
        self.models: list[Any] = []

    # what a dispatcher does

    def record_fault(self, error: Exception) -> None:
        raise error

    def _run_due(self) -> None:
        due = self.policy_boundary.next_due_ns()
        if due is not None and due <= self.now:
            self.policy_boundary.advance()

    def apply_plan(self, orders: Any, held: Any) -> tuple[int, int]:
        return Dispatcher.apply_plan(self, orders, held)  # type: ignore[arg-type]

    def confirm_replicas(self, copies: Any) -> None:
        self.recalled += copies

    def _outlet(self, action: Any) -> None:
        match action:
            case Attempt():
                took = int(self.chance.uniform(20, 200)) * NS_PER_MS
                self.at(self.now + took, lambda: self._answer(action, took))
            case LoadRequest():
                self.ordered.append(self.now)
                self.at(
                    self.now + 300 * NS_PER_MS,
                    lambda: self.policy_boundary.record_load_end(action, Result.SUCCEEDED, action.replicas),
                )
            case Reject(request=task) | Fail(request=task):
                self.at(self.now, lambda: self._over(task, "over"))
            case Cancel():
                pass

    def _answer(self, hand_off: Attempt, lag: int) -> None:
        if hand_off.result is not None:
            return
        good = self.chance.random() < 0.9
        warmth = Warmth.WARM if self.chance.random() < 0.7 else Warmth.STARTED_LOAD
        result = Result.SUCCEEDED if good else Result.AT_CAPACITY
        self.policy_boundary.record_result(AttemptResult(hand_off, result, good, warmth, lag))
        if good:
            self._over(hand_off.request, "satisfied")

    def _over(self, task: Any, final: str) -> None:
        if task in self.side.recorder.request_numbers:
            self.finals += 1
            self.policy_boundary.close_request(task, final)

    def task(self, model: int, offering: str = "estimate") -> None:
        while len(self.models) <= model:
            name = f"m{len(self.models)}"
            self.models.append(
                self.policy_boundary.add_function(FunctionFacts(len(self.models) + 1, 2, 1000.0), name)
            )
        self.taken.append(self.now)
        give_up = self.now + 3000 * NS_PER_MS
        self.policy_boundary.accept_request(
            self.models[model], self.offerings[offering], None, give_up, False, 0.0, lambda _: None
        )

    # time

    def at(self, when: int, what: Any) -> None:
        self._count += 1
        heappush(self._heap, (when, self._count, what))

    def run(self, ms: float) -> None:
        until = self.now + int(ms * NS_PER_MS)
        while self.now < until:
            self.now = min(until, self.now + 5 * NS_PER_MS)
            while self._heap and self._heap[0][0] <= self.now:
                heappop(self._heap)[2]()
            self._run_due()
            self.pump()

    # the link

    def new_planner(self, speaks: int = fr.HIGHEST_VERSION) -> PlannerSession:
        """A planner that has just started; whatever the one before knew is gone."""
        self.planners += 1
        life = f"life-{self.planners}"
        count = iter(range(self.planners * 1_000_000, 1 << 40))
        return PlannerSession(
            f"planner-{self.planners}", life, self.planner_clock, lambda: next(count), highest_version=speaks
        )

    def connect(self) -> None:
        self.wire = Wire()
        self.end.connection_made()
        self.planner.connection_made()

    def cut(self) -> None:
        """The connection ends, what was on its way is lost."""
        if self.wire is not None:
            self.wire = None
            self.end.connection_lost()

    def kill_planner(self) -> None:
        self.cut()
        self.planner = self.new_planner()

    def pump(self) -> None:
        wire = self.wire
        if wire is None:
            return
        try:
            while (data := self.end.next_frame()) is not None:
                wire.to_planner.append((self.now + self.delay, data))
            if self.now < self.stalled_until:
                return
            while wire.to_planner and wire.to_planner[0][0] <= self.now:
                for message in wire.readers[0].feed(wire.to_planner.pop(0)[1]):
                    self.planner.receive_message(message)
            self.planner.poll()
            while (data := self.planner.next_frame()) is not None:
                wire.to_edge.append((self.now + self.delay, data))
            while wire.to_edge and wire.to_edge[0][0] <= self.now:
                for message in wire.readers[1].feed(wire.to_edge.pop(0)[1]):
                    self.end.receive_message(message)
                self._note()
                self.side.apply_decisions()
        except LinkProtocolError as error:
            self.fault = error
            self.cut()
        leased = self.end.is_leased()
        if leased and self.side.plans_locally:
            self.side._set_planning(False)

    def _note(self) -> None:
        if not self.epochs or self.epochs[-1] != self.end.epoch:
            self.epochs.append(self.end.epoch)
        for message in self.end.pending_decisions:
            self.applied.append((self.end.epoch, message.epoch))

    # what is to hold

    def over_ration(self) -> int:
        """Orders beyond the stated ration, in any window; rounding aside there are to be none."""
        worst = 0
        for at, t in enumerate(self.ordered):
            since = t - ms_to_ns(RATION["window_ms"])
            orders = sum(o > since for o in self.ordered[: at + 1])
            tasks = sum(since < k <= t for k in self.taken)
            worst = max(worst, int(orders - RATION["free"] - RATION["share"] * tasks + 1e-9))
        return worst

    def differences(self) -> list[str]:
        """Where the planner's instance knows something else than the edge's, of what both are to know."""
        mirror = self.planner.policy_replica
        if mirror is None:
            return ["no mirror"]
        found: list[str] = []
        keep = ms_to_ns(self.edge.functions.keep_ms)
        for runner, number in self.side.recorder.worker_numbers.items():
            other = mirror.restored.workers[number]
            for name in ("in_flight", "warm_in_flight", "refused_in_a_row", "is_listed"):
                if getattr(runner, name) != getattr(other, name):
                    found.append(f"r{number}.{name}: {getattr(runner, name)}, {getattr(other, name)}")
        for model, number in self.side.recorder.function_numbers.items():
            function = mirror.restored.functions.get(number)
            if function is None:
                if model.replicas:
                    found.append(f"m{number} unknown")
                continue
            if model.requests != function.requests:
                found.append(f"m{number}.tasks: {model.requests}, {function.requests}")
            for runner, copy in model.replicas.items():
                there = function.replicas.get(
                    mirror.restored.workers[self.side.recorder.worker_numbers[runner]]
                )
                where = f"m{number} at r{self.side.recorder.worker_numbers[runner]}"
                if there is None:
                    found.append(f"{where} unknown")
                    continue
                if copy.in_flight != there.in_flight or abs(copy.latency.total - there.latency.total) > 1e-6:
                    found.append(f"{where}: {copy.in_flight}, {there.in_flight} out; {copy.latency.total}")
                if copy.is_retained != there.is_retained:
                    found.append(f"{where}: held {copy.is_retained}, {there.is_retained}")
                if copy.is_loaded != there.is_loaded and copy.last_used_ns + keep // 2 > self.now:
                    found.append(f"{where}: stands {copy.is_loaded}, {there.is_loaded}")
        return found

    def settled(self) -> list[str]:
        """The differences once what is on its way has come: no tasks come meanwhile."""
        for _ in range(20):
            self.run(100)
            if not self.differences():
                break
        return self.differences()


__all__ = ["Pair", "ev"]

"""Runners and the vault in virtual time. What a runner does with its copies is the stand-ins' own `Shelf`."""

from __future__ import annotations

from collections import deque
from random import Random
from typing import Protocol

from martenlead.emulator.kernel import Kernel, Signal, Steps
from martenlead.emulator.messages import Sender, Sent, Told
from martenlead.emulator.records import Records
from martenlead.emulator.tally import Tally
from martenlead.policy.types import Result, Warmth
from martenlead.standins.crowding import OverloadDetector
from martenlead.standins.settings import Fault, RequestClassSettings, TimedStoreSettings, WorkerSettings
from martenlead.standins.shelf import FunctionReplicas, ReplicaCache, WaitingRequest

LOAD_NS = 30_000_000_000
WARMTH = {b"warm": Warmth.WARM, b"began": Warmth.STARTED_LOAD, b"waited": Warmth.AWAITED_LOAD}


class VaultFleet(Protocol):
    """What a vault needs of the fleet."""

    kernel: Kernel
    vault_records: Records


class Vault:
    """Slows when crowded, turns away at `most`, stops for a while when pushed too far."""

    def __init__(self, fleet: VaultFleet, part: TimedStoreSettings) -> None:
        self.fleet, self.part = fleet, part
        self.active = 0
        self.down_until = 0
        self.fall = OverloadDetector(part.fall_multiple, part.fall_ms)

    def fetch(self, model: str, ms: float) -> Steps:
        """Returns "" or why there is none."""
        part, kernel = self.part, self.fleet.kernel
        crowd = self.active / part.pace
        if self.fall.is_overloaded(kernel.now, crowd):
            self.down_until = kernel.now + int(part.down_ms * 1e6)
        if kernel.now < self.down_until or self.active >= part.most:
            self.fleet.vault_records("turned away", model=model, active=self.active)
            return "vault-away"
        self.fleet.vault_records("fetch", model=model, active=self.active)
        self.active += 1
        try:
            left = ms / 1000
            while left > 0:
                step = min(left, 0.05)
                yield int(step * max(1.0, self.active / part.pace) * 1e9)
                left -= step
                if kernel.now < self.down_until:
                    return "vault-away"
        finally:
            self.active -= 1
        return ""

    def stop(self, fault: Fault) -> None:
        self.down_until = self.fleet.kernel.now + int(fault.for_ms * 1e6)
        self.fleet.vault_records("down", for_ms=fault.for_ms)


class Marks:
    """What a group of runners knows of the deduplicated tasks that it has run."""

    def __init__(self) -> None:
        self.seen: dict[str, tuple[int, Signal]] = {}


class LoadSource(Protocol):
    """Where workers' loads come from on a day with `layers`."""

    def fetch(self, runner: str, model: str) -> Steps:
        """Returns "" or the name of what failed."""


class WorkerFleet(Protocol):
    """What a worker needs of the fleet."""

    kernel: Kernel
    tally: Tally
    runner_records: Records
    vault: Vault

    @property
    def store(self) -> LoadSource | None:
        """In place of the vault, where there is one."""

    def way(self) -> int:
        """A name for one arrival of one attempt."""

    def marks(self, part: WorkerSettings, offering: RequestClassSettings) -> Marks | None:
        """What the worker's group has run of a deduplicated request class."""

    def offering_of(self, model: str) -> RequestClassSettings:
        """The request class of a function."""

    def back(self, sent: Sent, told: Told) -> None:
        """Carries an answer to the dispatcher that sent the attempt."""


class Runner(ReplicaCache):
    def __init__(self, fleet: WorkerFleet, part: WorkerSettings, seed: int) -> None:
        super().__init__(part, fleet.kernel.clock, Random(f"{seed}:{part.name}"), self._wake, self._fetch)
        self.fleet, self.kernel, self.record = fleet, fleet.kernel, fleet.runner_records
        self.name = part.name
        self.life, self.up = 0, True
        self.lost = self.garbage = 0.0
        self.deaf_until = self.paused_until = 0
        self.open: dict[Sent, None] = {}
        self.changed: dict[FunctionReplicas, Signal] = {}
        self.reports: deque[tuple[int, dict[str, float]]] = deque(maxlen=10_000)
        self.report_delay = 0
        self.kernel.spawn(self._sweeps(self.life))

    def _wake(self, place: WaitingRequest) -> None:
        self.kernel.come(place.wakeup)

    # -- hand-offs

    def arrives(self, sent: Sent) -> None:
        if not self.up:
            self.fleet.back(sent, Told(Result.UNREACHABLE, why="refused"))
            return
        if not sent.open:
            return
        self.open[sent] = None
        sent.at = self.kernel.spawn(self._task(sent, self.life))

    def cut(self, sent: Sent) -> None:
        """The edge has closed the connection."""
        if self.open.pop(sent, 0) is None and sent.at is not None:
            self.kernel.cancel(sent.at)

    def _answer(self, sent: Sent, told: Told) -> None:
        if self.open.pop(sent, 0) is None:
            self.fleet.back(sent, told)

    def _told(self, result: Result, copy: bytes = b"", why: str = "") -> Told:
        report = {"busy": min(1.0, self.running_count / self.settings.cores)}
        now = self.kernel.now
        self.reports.append((now, report))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_delay:
            self.reports.popleft()
        warmth = WARMTH.get(copy, Warmth.UNKNOWN) if self.settings.tells_warm else Warmth.UNKNOWN
        return Told(result, warmth, self.is_draining, why, self.reports[0][1])

    def _refuse(self, sent: Sent, status: int, why: str, way: int, copy: bytes = b"") -> None:
        self.record("refused", why=why, way=way)
        told = self._told(Result.AT_CAPACITY if status == 503 else Result.FUNCTION_MISSING, why=why)
        if copy:
            told.warmth = Warmth.LOAD_FAILED if self.settings.tells_warm else Warmth.UNKNOWN
        self._answer(sent, told)

    def _task(self, sent: Sent, life: int) -> Steps:
        kernel, record = self.kernel, self.record
        if kernel.now < self.deaf_until:
            yield LOAD_NS * 100
        while kernel.now < self.paused_until:
            yield self.paused_until - kernel.now
        held, offering = sent.held, sent.held.call.request_class
        way = self.fleet.way()
        record(
            "came",
            model=held.call.function,
            zone=self.settings.zone,
            cell=self.settings.cell,
            runner=self.name,
            edge=sent.edge.name,
            id=held.id,
            **{"try": held.name},
            offering=offering.name,
            handoff=sent.number,
            way=way,
        )
        over = False
        copies: FunctionReplicas | None = None
        place: WaitingRequest | None = None
        begun = False
        try:
            if self.is_draining:
                self._refuse(sent, 503, "draining", way)
                over = True
                return
            marks = self.fleet.marks(self.settings, offering)
            if marks is not None:
                known = marks.seen.get(held.id)
                if known is not None and kernel.now - known[0] < offering.window_ms * 1e6:
                    yield known[1]
                    record("repeat", way=way)
                    record("answered", way=way)
                    over = True
                    self._answer(sent, self._told(Result.SUCCEEDED, b"warm"))
                    return
            copies, copy, refused = self.admit(
                held.call.function, offering, float(int(offering.memory_mb)), offering.lanes
            )
            if copies is None:
                assert refused is not None
                self._refuse(sent, *refused, way)
                over = True
                return
            place = WaitingRequest(Signal())
            self.enqueue(copies, place)
            if not place.is_settled:
                yield place.wakeup, sent.left
            if not place.is_settled:
                self.dequeue(copies, place)
                place = None
                self._refuse(sent, 503, "its time was over before it could begin", way)
                over = True
                return
            if place.load_failure:
                status = 503 if place.load_failure == "no-room" else 404
                self._refuse(sent, status, "the load failed", way, b"load-failed")
                over = True
                return
            begun = True
            done = Signal()
            kernel.spawn(self._work(copies, held.call.cost_ms, offering, held.id, way, done, life))
            yield done
            while kernel.now < self.paused_until:
                yield self.paused_until - kernel.now
            if self.random.random() < self.lost:
                record("lost", way=way)
                yield LOAD_NS * 100
            record("answered", way=way)
            over = True
            garbage = self.garbage and self.random.random() < self.garbage
            told = self._told(Result.CONNECTION_LOST if garbage else Result.SUCCEEDED, copy)
            self._answer(sent, told)
        finally:
            if not over:
                record("cut", way=way)
                if place is not None and copies is not None and not begun and life == self.life:
                    self._left(sent, copies, place, offering, way)

    def _left(
        self,
        sent: Sent,
        copies: FunctionReplicas,
        place: WaitingRequest,
        offering: RequestClassSettings,
        way: int,
    ) -> None:
        if place.is_settled:
            if not place.load_failure:
                self.finish(copies)
        elif self.settings.drops_waiting:
            self.dequeue(copies, place)
        else:
            self.kernel.spawn(self._alone(sent, copies, place, offering, way))

    def _alone(
        self,
        sent: Sent,
        copies: FunctionReplicas,
        place: WaitingRequest,
        offering: RequestClassSettings,
        way: int,
    ) -> Steps:
        """It does not notice that the edge has left."""
        if not (yield place.wakeup, 2 * LOAD_NS):
            self.dequeue(copies, place)
        elif not place.load_failure:
            cost, name = sent.held.call.cost_ms, sent.held.id
            yield from self._work(copies, cost, offering, name, way, Signal(), self.life)

    def _work(
        self,
        copies: FunctionReplicas,
        cost: float,
        offering: RequestClassSettings,
        name: str,
        way: int,
        done: Signal,
        life: int,
    ) -> Steps:
        marks = self.fleet.marks(self.settings, offering)
        if marks is not None:
            marks.seen[name] = self.kernel.now, done
        self.record("ran", id=name, way=way)
        yield int(self.work_duration_ms(float(int(cost))) * 1e6)
        self.record("done", way=way)
        if life == self.life:
            self.finish(copies)
        self.kernel.come(done)

    # -- loads and orders

    def _fetch(self, copies: FunctionReplicas, ahead: int) -> None:
        self.kernel.spawn(self._loads(copies, ahead, self.life))

    def _loads(self, copies: FunctionReplicas, ahead: int, life: int) -> Steps:
        self.record("load", runner=self.name, model=copies.function)
        self.fleet.tally.loaded()
        fetching, starting = self.load_ms(copies, ahead)
        begun = self.kernel.now
        store = self.fleet.store
        if store is not None:
            failure = yield from store.fetch(self.name, copies.function)
        else:
            failure = yield from self.fleet.vault.fetch(copies.function, fetching)
        took = (self.kernel.now - begun) / 1e6
        self.record("fetched", runner=self.name, model=copies.function, failure=failure, took_ms=took)
        if not failure:
            yield int(starting * 1e6)
        if life != self.life:
            return
        self.finish_load(copies, failure)
        changed = self.changed.pop(copies, None)
        if changed is not None:
            self.kernel.come(changed)

    def ordered(self, edge: Sender, model: str, count: int, memory: float, lanes: int) -> Steps:
        """An order, or an ask where `count` is 0. Returns the result, the copies that stand, and whether it
        drains."""
        kernel = self.kernel
        if not self.up:
            return Result.UNREACHABLE, 0, False
        if kernel.now < self.deaf_until:
            yield LOAD_NS * 100
        while kernel.now < self.paused_until:
            yield self.paused_until - kernel.now
        self.record("order", runner=self.name, edge=edge.name, model=model, copies=count)
        copies = self.replicas.get(model)
        if not count:
            return Result.SUCCEEDED, copies.ready if copies else 0, self.is_draining
        if self.is_draining:
            return Result.AT_CAPACITY, copies.ready if copies else 0, True
        if copies is None:
            copies = self.replicas_of(model, self.fleet.offering_of(model), memory, lanes)
        copies.last_used_ns = kernel.now
        failed, life = copies.failed_loads, self.life
        while copies.ready + copies.loading < count:
            if not self.start_load(copies):
                return Result.AT_CAPACITY, copies.ready, self.is_draining
        until = kernel.now + LOAD_NS
        while (
            copies.ready < count
            and copies.failed_loads == failed
            and life == self.life
            and kernel.now < until
        ):
            yield self.changed.setdefault(copies, Signal()), until - kernel.now
        if life != self.life:
            return Result.CONNECTION_LOST, 0, False
        if copies.ready >= count:
            return Result.SUCCEEDED, copies.ready, self.is_draining
        no_room = copies.failed_loads != failed and copies.last_failure == "no-room"
        return Result.AT_CAPACITY if no_room else Result.ERROR, copies.ready, self.is_draining

    # -- life and faults

    def _sweeps(self, life: int) -> Steps:
        while life == self.life:
            yield 250_000_000
            if life == self.life:
                self.unload_idle()

    def start(self) -> None:
        self.life += 1
        self.up = True
        self.lost = self.garbage = 0.0
        self.record("up", runner=self.name, life=self.life)
        self.reset(self.kernel.now)
        self.kernel.spawn(self._sweeps(self.life))

    def vanish(self) -> None:
        """The process dies: what it held is lost, connections break."""
        if not self.up:
            return
        self.record("down", runner=self.name, life=self.life)
        self.life += 1
        self.up = False
        for sent in list(self.open):
            if sent.at is not None:
                self.kernel.cancel(sent.at)
            self._answer(sent, Told(Result.CONNECTION_LOST, why="closed"))
        for changed in self.changed.values():
            self.kernel.come(changed)
        self.changed.clear()

    def play(self, fault: Fault) -> Steps:
        self.record("fault", runner=self.name, kind=fault.kind, for_ms=fault.for_ms)
        span = int(fault.for_ms * 1e6)
        match fault.kind:
            case "slow":
                self.slow_factor = fault.size
                yield span
                self.slow_factor = 1.0
            case "ageing":
                for step in range(20):
                    self.slow_factor = 1 + (fault.size - 1) * step / 20
                    yield span // 20
                self.vanish()
            case "pause":
                self.paused_until = max(self.paused_until, self.kernel.now + span)
            case "drain":
                self.is_draining = True
            case "report_late":
                self.report_delay = int(fault.size * 1e9)
                yield span
                self.report_delay = 0
            case "vanish":
                self.vanish()
            case "start":
                self.start()
            case "release":
                self.invalidate(fault.models)
            case "answer_lost" | "garbage":
                name = "lost" if fault.kind == "answer_lost" else "garbage"
                setattr(self, name, fault.size)
                yield span
                setattr(self, name, 0.0)
            case "deaf":
                self.deaf_until = max(self.deaf_until, self.kernel.now + span)

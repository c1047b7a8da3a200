"""Workers and the artifact store in virtual time.

What a worker does with its replicas is the code that the stand-in workers on sockets use: `Shelf`.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import Protocol

from martenlead.emulator.kernel import Kernel, Signal, Steps
from martenlead.emulator.messages import AttemptInFlight, Sender, WorkerResponse
from martenlead.emulator.records import Records
from martenlead.emulator.tally import DayStatistics
from martenlead.policy.types import Result, Warmth
from martenlead.standins.crowding import OverloadDetector
from martenlead.standins.settings import Fault, RequestClassSettings, TimedStoreSettings, WorkerSettings
from martenlead.standins.shelf import FunctionReplicas, ReplicaCache, WaitingRequest

LOAD_NS = 30_000_000_000  # Longest wait of a load request for its replicas
WARMTH_BY_OUTCOME = {b"warm": Warmth.WARM, b"began": Warmth.STARTED_LOAD, b"waited": Warmth.AWAITED_LOAD}


class ArtifactStoreFleet(Protocol):
    """What the artifact store needs of the fleet."""

    kernel: Kernel
    artifact_store_records: Records


class ArtifactStore:
    """Delivers artifacts: slower under load, refusing at `most`, and down for a while when overloaded."""

    def __init__(self, fleet: ArtifactStoreFleet, part: TimedStoreSettings) -> None:
        self.fleet, self.part = fleet, part
        self.active = 0
        self.unavailable_until = 0
        self.fall = OverloadDetector(part.fall_multiple, part.fall_ms)

    def fetch(self, function: str, ms: float) -> Steps:
        """Fetches for `ms` of unloaded time. Returns "" or the name of what failed."""
        part, kernel = self.part, self.fleet.kernel
        utilization = self.active / part.pace
        if self.fall.is_overloaded(kernel.now, utilization):
            self.unavailable_until = kernel.now + int(part.down_ms * 1e6)
        if kernel.now < self.unavailable_until or self.active >= part.most:
            self.fleet.artifact_store_records("turned away", model=function, active=self.active)
            return "vault-away"
        self.fleet.artifact_store_records("fetch", model=function, active=self.active)
        self.active += 1
        try:
            remaining_s = ms / 1000
            while remaining_s > 0:
                step = min(remaining_s, 0.05)
                yield int(step * max(1.0, self.active / part.pace) * 1e9)
                remaining_s -= step
                if kernel.now < self.unavailable_until:
                    return "vault-away"
        finally:
            self.active -= 1
        return ""

    def play_stop(self, fault: Fault) -> None:
        """Makes the store unavailable for the duration of the fault."""
        self.unavailable_until = self.fleet.kernel.now + int(fault.for_ms * 1e6)
        self.fleet.artifact_store_records("down", for_ms=fault.for_ms)


class DeduplicationLog:
    """The deduplicated requests that a group of workers has run.

    Each request's ID maps to the start of its run in ns and the signal of its end.
    """

    def __init__(self) -> None:
        self.executions: dict[str, tuple[int, Signal]] = {}


class LoadSource(Protocol):
    """Where workers' loads come from on a day with `layers`."""

    def fetch(self, worker: str, function: str) -> Steps:
        """Returns "" or the name of what failed."""


class WorkerFleet(Protocol):
    """What a worker needs of the fleet."""

    kernel: Kernel
    statistics: DayStatistics
    worker_records: Records
    artifact_store: ArtifactStore

    @property
    def layer_loader(self) -> LoadSource | None:
        """Where loads come from in place of the artifact store, if the day has layers."""

    def next_arrival_number(self) -> int:
        """Returns the number that identifies one arrival of one attempt in the records."""

    def deduplication_log(
        self, part: WorkerSettings, request_class: RequestClassSettings
    ) -> DeduplicationLog | None:
        """Returns the log of the worker's group; None unless the request class is deduplicated."""

    def request_class_of(self, function: str) -> RequestClassSettings:
        """Returns the request class of a function."""

    def send_response(self, attempt: AttemptInFlight, response: WorkerResponse) -> None:
        """Delivers a response to the dispatcher that sent the attempt."""


class EmulatedWorker(ReplicaCache):
    """A worker: replicas, attempts, loads and faults in virtual time."""

    def __init__(self, fleet: WorkerFleet, part: WorkerSettings, seed: int) -> None:
        super().__init__(
            part, fleet.kernel.clock, Random(f"{seed}:{part.name}"), self._wake, self._spawn_load
        )
        self.fleet, self.kernel, self.record = fleet, fleet.kernel, fleet.worker_records
        self.name = part.name
        self.incarnation, self.up = 0, True
        self.lost = self.garbage = 0.0
        self.unresponsive_until = self.paused_until = 0
        self.open_attempts: dict[AttemptInFlight, None] = {}
        self.replica_signals: dict[FunctionReplicas, Signal] = {}
        self.reports: deque[tuple[int, dict[str, float]]] = deque(maxlen=10_000)
        self.report_delay = 0
        self.kernel.spawn(self._sweep_periodically(self.incarnation))

    def _wake(self, place: WaitingRequest) -> None:
        self.kernel.set_signal(place.wakeup)

    # -- attempts

    def receive_attempt(self, attempt: AttemptInFlight) -> None:
        """Handles an attempt that arrives; a worker that is down refuses the connection."""
        if not self.up:
            self.fleet.send_response(attempt, WorkerResponse(Result.UNREACHABLE, reason="refused"))
            return
        if not attempt.is_open:
            return
        self.open_attempts[attempt] = None
        attempt.process = self.kernel.spawn(self._run_attempt(attempt, self.incarnation))

    def close_attempt(self, attempt: AttemptInFlight) -> None:
        """Handles a connection that the dispatcher has closed."""
        if self.open_attempts.pop(attempt, 0) is None and attempt.process is not None:
            self.kernel.cancel(attempt.process)

    def _respond(self, attempt: AttemptInFlight, response: WorkerResponse) -> None:
        if self.open_attempts.pop(attempt, 0) is None:
            self.fleet.send_response(attempt, response)

    def _make_response(self, result: Result, warmth_name: bytes = b"", reason: str = "") -> WorkerResponse:
        report = {"busy": min(1.0, self.running_count / self.settings.cores)}
        now = self.kernel.now
        self.reports.append((now, report))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_delay:
            self.reports.popleft()
        warmth = (
            WARMTH_BY_OUTCOME.get(warmth_name, Warmth.UNKNOWN) if self.settings.tells_warm else Warmth.UNKNOWN
        )
        return WorkerResponse(result, warmth, self.is_draining, reason, self.reports[0][1])

    def _refuse(
        self, attempt: AttemptInFlight, status: int, reason: str, arrival: int, warmth_name: bytes = b""
    ) -> None:
        self.record("refused", why=reason, way=arrival)
        response = self._make_response(
            Result.AT_CAPACITY if status == 503 else Result.FUNCTION_MISSING, reason=reason
        )
        if warmth_name:
            response.warmth = Warmth.LOAD_FAILED if self.settings.tells_warm else Warmth.UNKNOWN
        self._respond(attempt, response)

    def _run_attempt(self, attempt: AttemptInFlight, incarnation: int) -> Steps:
        kernel, record = self.kernel, self.record
        if kernel.now < self.unresponsive_until:
            yield LOAD_NS * 100
        while kernel.now < self.paused_until:
            yield self.paused_until - kernel.now
        request, request_class = attempt.request, attempt.request.call.request_class
        arrival = self.fleet.next_arrival_number()
        record(
            "came",
            model=request.call.function,
            zone=self.settings.zone,
            cell=self.settings.cell,
            runner=self.name,
            edge=attempt.sender.name,
            id=request.id,
            **{"try": request.name},
            offering=request_class.name,
            handoff=attempt.number,
            way=arrival,
        )
        is_finished = False
        replicas: FunctionReplicas | None = None
        place: WaitingRequest | None = None
        is_started = False
        try:
            if self.is_draining:
                self._refuse(attempt, 503, "draining", arrival)
                is_finished = True
                return
            log = self.fleet.deduplication_log(self.settings, request_class)
            if log is not None:
                earlier = log.executions.get(request.id)
                if earlier is not None and kernel.now - earlier[0] < request_class.window_ms * 1e6:
                    yield earlier[1]
                    record("repeat", way=arrival)
                    record("answered", way=arrival)
                    is_finished = True
                    self._respond(attempt, self._make_response(Result.SUCCEEDED, b"warm"))
                    return
            replicas, warmth_name, refused = self.admit(
                request.call.function, request_class, float(int(request_class.memory_mb)), request_class.lanes
            )
            if replicas is None:
                assert refused is not None
                self._refuse(attempt, *refused, arrival)
                is_finished = True
                return
            place = WaitingRequest(Signal())
            self.enqueue(replicas, place)
            if not place.is_settled:
                yield place.wakeup, attempt.time_left_ns
            if not place.is_settled:
                self.dequeue(replicas, place)
                place = None
                self._refuse(attempt, 503, "its time was over before it could begin", arrival)
                is_finished = True
                return
            if place.load_failure:
                status = 503 if place.load_failure == "no-room" else 404
                self._refuse(attempt, status, "the load failed", arrival, b"load-failed")
                is_finished = True
                return
            is_started = True
            done = Signal()
            kernel.spawn(
                self._execute(
                    replicas, request.call.cost_ms, request_class, request.id, arrival, done, incarnation
                )
            )
            yield done
            while kernel.now < self.paused_until:
                yield self.paused_until - kernel.now
            if self.random.random() < self.lost:
                record("lost", way=arrival)
                yield LOAD_NS * 100
            record("answered", way=arrival)
            is_finished = True
            garbage = self.garbage and self.random.random() < self.garbage
            response = self._make_response(
                Result.CONNECTION_LOST if garbage else Result.SUCCEEDED, warmth_name
            )
            self._respond(attempt, response)
        finally:
            if not is_finished:
                record("cut", way=arrival)
                if (
                    place is not None
                    and replicas is not None
                    and not is_started
                    and incarnation == self.incarnation
                ):
                    self._handle_disconnect(attempt, replicas, place, request_class, arrival)

    def _handle_disconnect(
        self,
        attempt: AttemptInFlight,
        replicas: FunctionReplicas,
        place: WaitingRequest,
        request_class: RequestClassSettings,
        arrival: int,
    ) -> None:
        if place.is_settled:
            if not place.load_failure:
                self.finish(replicas)
        elif self.settings.drops_waiting:
            self.dequeue(replicas, place)
        else:
            self.kernel.spawn(self._run_after_disconnect(attempt, replicas, place, request_class, arrival))

    def _run_after_disconnect(
        self,
        attempt: AttemptInFlight,
        replicas: FunctionReplicas,
        place: WaitingRequest,
        request_class: RequestClassSettings,
        arrival: int,
    ) -> Steps:
        """Runs a request to its end: this worker does not notice that the dispatcher has disconnected."""
        if not (yield place.wakeup, 2 * LOAD_NS):
            self.dequeue(replicas, place)
        elif not place.load_failure:
            work_ms, name = attempt.request.call.cost_ms, attempt.request.id
            yield from self._execute(
                replicas, work_ms, request_class, name, arrival, Signal(), self.incarnation
            )

    def _execute(
        self,
        replicas: FunctionReplicas,
        work_ms: float,
        request_class: RequestClassSettings,
        request_id: str,
        arrival: int,
        done: Signal,
        incarnation: int,
    ) -> Steps:
        log = self.fleet.deduplication_log(self.settings, request_class)
        if log is not None:
            log.executions[request_id] = self.kernel.now, done
        self.record("ran", id=request_id, way=arrival)
        yield int(self.work_duration_ms(float(int(work_ms))) * 1e6)
        self.record("done", way=arrival)
        if incarnation == self.incarnation:
            self.finish(replicas)
        self.kernel.set_signal(done)

    # -- loads and load requests

    def _spawn_load(self, replicas: FunctionReplicas, ahead: int) -> None:
        self.kernel.spawn(self._run_load(replicas, ahead, self.incarnation))

    def _run_load(self, replicas: FunctionReplicas, ahead: int, incarnation: int) -> Steps:
        self.record("load", runner=self.name, model=replicas.function)
        self.fleet.statistics.record_load()
        fetching, starting = self.load_ms(replicas, ahead)
        begun_ns = self.kernel.now
        store = self.fleet.layer_loader
        if store is not None:
            failure = yield from store.fetch(self.name, replicas.function)
        else:
            failure = yield from self.fleet.artifact_store.fetch(replicas.function, fetching)
        took_ms = (self.kernel.now - begun_ns) / 1e6
        self.record("fetched", runner=self.name, model=replicas.function, failure=failure, took_ms=took_ms)
        if not failure:
            yield int(starting * 1e6)
        if incarnation != self.incarnation:
            return
        self.finish_load(replicas, failure)
        signal = self.replica_signals.pop(replicas, None)
        if signal is not None:
            self.kernel.set_signal(signal)

    def handle_load_request(
        self, edge: Sender, function: str, count: int, memory: float, lanes: int
    ) -> Steps:
        """Handles a load request, or a query for the replicas if `count` is 0.

        Returns the result, the number of loaded replicas and whether the worker drains.
        """
        kernel = self.kernel
        if not self.up:
            return Result.UNREACHABLE, 0, False
        if kernel.now < self.unresponsive_until:
            yield LOAD_NS * 100
        while kernel.now < self.paused_until:
            yield self.paused_until - kernel.now
        self.record("order", runner=self.name, edge=edge.name, model=function, copies=count)
        replicas = self.replicas.get(function)
        if not count:
            return Result.SUCCEEDED, replicas.ready if replicas else 0, self.is_draining
        if self.is_draining:
            return Result.AT_CAPACITY, replicas.ready if replicas else 0, True
        if replicas is None:
            replicas = self.replicas_of(function, self.fleet.request_class_of(function), memory, lanes)
        replicas.last_used_ns = kernel.now
        failed, incarnation = replicas.failed_loads, self.incarnation
        while replicas.ready + replicas.loading < count:
            if not self.start_load(replicas):
                return Result.AT_CAPACITY, replicas.ready, self.is_draining
        until = kernel.now + LOAD_NS
        while (
            replicas.ready < count
            and replicas.failed_loads == failed
            and incarnation == self.incarnation
            and kernel.now < until
        ):
            yield self.replica_signals.setdefault(replicas, Signal()), until - kernel.now
        if incarnation != self.incarnation:
            return Result.CONNECTION_LOST, 0, False
        if replicas.ready >= count:
            return Result.SUCCEEDED, replicas.ready, self.is_draining
        no_room = replicas.failed_loads != failed and replicas.last_failure == "no-room"
        return Result.AT_CAPACITY if no_room else Result.ERROR, replicas.ready, self.is_draining

    # -- start, crash and faults

    def _sweep_periodically(self, incarnation: int) -> Steps:
        while incarnation == self.incarnation:
            yield 250_000_000
            if incarnation == self.incarnation:
                self.unload_idle()

    def start(self) -> None:
        """Starts a new incarnation without replicas."""
        self.incarnation += 1
        self.up = True
        self.lost = self.garbage = 0.0
        self.record("up", runner=self.name, life=self.incarnation)
        self.reset(self.kernel.now)
        self.kernel.spawn(self._sweep_periodically(self.incarnation))

    def crash(self) -> None:
        """Ends the process: its state is lost and its connections break."""
        if not self.up:
            return
        self.record("down", runner=self.name, life=self.incarnation)
        self.incarnation += 1
        self.up = False
        for attempt in list(self.open_attempts):
            if attempt.process is not None:
                self.kernel.cancel(attempt.process)
            self._respond(attempt, WorkerResponse(Result.CONNECTION_LOST, reason="closed"))
        for signal in self.replica_signals.values():
            self.kernel.set_signal(signal)
        self.replica_signals.clear()

    def play_fault(self, fault: Fault) -> Steps:
        """Plays a fault of the script for its duration."""
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
                self.crash()
            case "pause":
                self.paused_until = max(self.paused_until, self.kernel.now + span)
            case "drain":
                self.is_draining = True
            case "report_late":
                self.report_delay = int(fault.size * 1e9)
                yield span
                self.report_delay = 0
            case "vanish":
                self.crash()
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
                self.unresponsive_until = max(self.unresponsive_until, self.kernel.now + span)

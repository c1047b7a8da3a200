"""A simulation, in virtual time, of an edge's policy, its planner and the connection between them, which can
be cut, stalled and replaced."""

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

REQUEST_CLASSES = [
    {"name": "estimate", "soft_limit_ms": 500, "hard_limit_ms": 3000, "effect": "idempotent"},
    {"name": "notice", "soft_limit_ms": 500, "hard_limit_ms": 3000, "effect": "unrepeatable"},
]
LOAD_BUDGET = {"window_ms": 5000, "free": 3, "share": 0.2}


class SimulatedConnection:
    """One connection: bytes in both directions, each delivered in order, after a delay."""

    def __init__(self) -> None:
        self.is_up = True
        self.to_planner: list[tuple[int, bytes]] = []
        self.to_edge: list[tuple[int, bytes]] = []
        self.readers = fr.FrameReader(), fr.FrameReader()


class EdgePlannerSimulation:
    """The policy of an edge and its planner. It stands in for the dispatcher, and answers attempts and load
    requests at random. Times are virtual ns."""

    dispatcher_apply_plan = Dispatcher.apply_plan

    def __init__(
        self, seed: int = 1, workers: int = 4, planner_ahead: int = 0, rate: float = 1.0, **link: Any
    ) -> None:
        """The planner's clock is ahead by `planner_ahead` ns and runs at `rate`; `link` are entries of the
        settings of the planner link."""
        self.now = 1_000_000_000
        self.random = Random(seed)
        settings = {
            "seed": seed,
            "roster": {"port": 1},
            "offerings": REQUEST_CLASSES,
            "models": {"keep_ms": 8000, "ration": LOAD_BUDGET},
            "planner": {"at": [{"port": 1}], **link},
        }
        self.settings = decode(settings, EdgeSettings, "test")
        assert isinstance(self.settings.planner, PlannerLinkSettings)
        self.planner_client = PlannerClient(self.settings, self.settings.planner, lambda: self.now)
        self.session = self.planner_client.session
        policy_settings, self.request_classes, tenants = build_policy_settings(self.settings)
        names = list(self.request_classes), tenants
        self.policy_boundary = PolicyBoundary(
            policy_settings, seed, lambda: self.now, self._perform, self.planner_client.recorder, names
        )
        self.planner_client.dispatcher = self  # type: ignore[assignment]
        self.planner_clock = lambda: int(self.now * rate) + planner_ahead
        self.planner_count = 0
        self.planner = self.new_planner()
        self.connection: SimulatedConnection | None = None
        self.stalled_until_ns = 0
        self.delay_ns = 2 * NS_PER_MS
        self._heap: list[tuple[int, int, Any]] = []
        self._count = 0
        self.request_times: list[int] = []
        self.load_request_times: list[int] = []
        self.closed_requests = 0
        self.open = 0
        self.confirmed_replicas: list[Any] = []
        self.epochs: list[int] = []
        self.protocol_error: BaseException | None = None
        # Epochs of the edge and of the decision that it applied, for each decision.
        self.applied_epochs: list[tuple[int, int]] = []
        self.workers = []
        listed = []
        for n in range(workers):
            facts = WorkerFacts(n + 1, "zone", 0, 20_000.0, 4.0, WorkerState.UP, 0)
            self.workers.append(self.policy_boundary.add_worker(facts, f"r{n}"))
            listed.append((self.workers[-1], facts))
        self.policy_boundary.start()
        self.policy_boundary.update_workers(listed, True)
        self.functions: list[Any] = []

    # The methods of a dispatcher that the planner client calls

    def record_fault(self, error: Exception) -> None:
        """Raises the error, so that the test fails."""
        raise error

    def _run_due(self) -> None:
        due = self.policy_boundary.next_due_ns()
        if due is not None and due <= self.now:
            self.policy_boundary.advance()

    def apply_plan(self, load_requests: Any, retained: Any) -> tuple[int, int]:
        """As `Dispatcher.apply_plan`."""
        return Dispatcher.apply_plan(self, load_requests, retained)  # type: ignore[arg-type]

    def confirm_replicas(self, replicas: Any) -> None:
        """Notes the replicas that the planner confirmed."""
        self.confirmed_replicas += replicas

    def _perform(self, action: Any) -> None:
        match action:
            case Attempt():
                run_ns = int(self.random.uniform(20, 200)) * NS_PER_MS
                self.call_at(self.now + run_ns, lambda: self._end_attempt(action, run_ns))
            case LoadRequest():
                self.load_request_times.append(self.now)
                self.call_at(
                    self.now + 300 * NS_PER_MS,
                    lambda: self.policy_boundary.record_load_end(action, Result.SUCCEEDED, action.replicas),
                )
            case Reject(request=request) | Fail(request=request):
                self.call_at(self.now, lambda: self._close_request(request, "over"))
            case Cancel():
                pass

    def _end_attempt(self, attempt: Attempt, latency_ns: int) -> None:
        if attempt.result is not None:
            return
        is_success = self.random.random() < 0.9
        warmth = Warmth.WARM if self.random.random() < 0.7 else Warmth.STARTED_LOAD
        result = Result.SUCCEEDED if is_success else Result.AT_CAPACITY
        self.policy_boundary.record_result(AttemptResult(attempt, result, is_success, warmth, latency_ns))
        if is_success:
            self._close_request(attempt.request, "satisfied")

    def _close_request(self, request: Any, final: str) -> None:
        if request in self.planner_client.recorder.request_numbers:
            self.closed_requests += 1
            self.policy_boundary.close_request(request, final)

    def submit_request(self, function: int, request_class: str = "estimate") -> None:
        """Accepts a request for the function of this index, from 0; adds functions up to it."""
        while len(self.functions) <= function:
            name = f"m{len(self.functions)}"
            self.functions.append(
                self.policy_boundary.add_function(FunctionFacts(len(self.functions) + 1, 2, 1000.0), name)
            )
        self.request_times.append(self.now)
        deadline = self.now + 3000 * NS_PER_MS
        self.policy_boundary.accept_request(
            self.functions[function],
            self.request_classes[request_class],
            None,
            deadline,
            False,
            0.0,
            lambda _: None,
        )

    # Virtual time

    def call_at(self, when_ns: int, callback: Any) -> None:
        """Calls back at a time."""
        self._count += 1
        heappush(self._heap, (when_ns, self._count, callback))

    def run(self, ms: float) -> None:
        """Advances time, and carries the messages of the connection every 5 ms."""
        until = self.now + int(ms * NS_PER_MS)
        while self.now < until:
            self.now = min(until, self.now + 5 * NS_PER_MS)
            while self._heap and self._heap[0][0] <= self.now:
                heappop(self._heap)[2]()
            self._run_due()
            self.pump()

    # The link

    def new_planner(self, highest_version: int = fr.HIGHEST_VERSION) -> PlannerSession:
        """Returns a planner that has just started and knows nothing."""
        self.planner_count += 1
        incarnation = f"life-{self.planner_count}"
        count = iter(range(self.planner_count * 1_000_000, 1 << 40))
        return PlannerSession(
            f"planner-{self.planner_count}",
            incarnation,
            self.planner_clock,
            lambda: next(count),
            highest_version=highest_version,
        )

    def connect(self) -> None:
        """Opens a connection."""
        self.connection = SimulatedConnection()
        self.session.connection_made()
        self.planner.connection_made()

    def disconnect(self) -> None:
        """Ends the connection; messages in transit are lost."""
        if self.connection is not None:
            self.connection = None
            self.session.connection_lost()

    def kill_planner(self) -> None:
        """Replaces the planner by one that has just started."""
        self.disconnect()
        self.planner = self.new_planner()

    def pump(self) -> None:
        """Delivers the messages that are due, unless the planner is stalled, and has both sides act on
        them."""
        connection = self.connection
        if connection is None:
            return
        try:
            while (data := self.session.next_frame()) is not None:
                connection.to_planner.append((self.now + self.delay_ns, data))
            if self.now < self.stalled_until_ns:
                return
            while connection.to_planner and connection.to_planner[0][0] <= self.now:
                for message in connection.readers[0].feed(connection.to_planner.pop(0)[1]):
                    self.planner.receive_message(message)
            self.planner.poll()
            while (data := self.planner.next_frame()) is not None:
                connection.to_edge.append((self.now + self.delay_ns, data))
            while connection.to_edge and connection.to_edge[0][0] <= self.now:
                for message in connection.readers[1].feed(connection.to_edge.pop(0)[1]):
                    self.session.receive_message(message)
                self._note_epochs()
                self.planner_client.apply_decisions()
        except LinkProtocolError as error:
            self.protocol_error = error
            self.disconnect()
        is_leased = self.session.is_leased()
        if is_leased and self.planner_client.plans_locally:
            self.planner_client._set_planning(False)

    def _note_epochs(self) -> None:
        if not self.epochs or self.epochs[-1] != self.session.epoch:
            self.epochs.append(self.session.epoch)
        for message in self.session.pending_decisions:
            self.applied_epochs.append((self.session.epoch, message.epoch))

    # What tests check

    def load_requests_over_budget(self) -> int:
        """Returns by how many load requests the load budget was exceeded in the worst window, rounded down; 0
        if it was kept."""
        worst = 0
        for index, sent_at in enumerate(self.load_request_times):
            window_start = sent_at - ms_to_ns(LOAD_BUDGET["window_ms"])
            loads = sum(at > window_start for at in self.load_request_times[: index + 1])
            requests = sum(window_start < at <= sent_at for at in self.request_times)
            worst = max(worst, int(loads - LOAD_BUDGET["free"] - LOAD_BUDGET["share"] * requests + 1e-9))
        return worst

    def differences(self) -> list[str]:
        """Returns where the planner's replica of the policy differs from the edge's policy, in the state that
        both must have."""
        policy_replica = self.planner.policy_replica
        if policy_replica is None:
            return ["no policy replica"]
        differences: list[str] = []
        keep_alive_ns = ms_to_ns(self.settings.functions.keep_ms)
        for worker, number in self.planner_client.recorder.worker_numbers.items():
            other_worker = policy_replica.restored.workers[number]
            for name in ("in_flight", "warm_in_flight", "refused_in_a_row", "is_listed"):
                if getattr(worker, name) != getattr(other_worker, name):
                    differences.append(
                        f"r{number}.{name}: {getattr(worker, name)}, {getattr(other_worker, name)}"
                    )
        for function, number in self.planner_client.recorder.function_numbers.items():
            other_function = policy_replica.restored.functions.get(number)
            if other_function is None:
                if function.replicas:
                    differences.append(f"m{number} unknown")
                continue
            if function.requests != other_function.requests:
                differences.append(f"m{number}.requests: {function.requests}, {other_function.requests}")
            for worker, replica in function.replicas.items():
                counterpart = other_function.replicas.get(
                    policy_replica.restored.workers[self.planner_client.recorder.worker_numbers[worker]]
                )
                where = f"m{number} at r{self.planner_client.recorder.worker_numbers[worker]}"
                if counterpart is None:
                    differences.append(f"{where} unknown")
                    continue
                if (
                    replica.in_flight != counterpart.in_flight
                    or abs(replica.latency.total - counterpart.latency.total) > 1e-6
                ):
                    differences.append(
                        f"{where}: {replica.in_flight}, {counterpart.in_flight} out; {replica.latency.total}"
                    )
                if replica.is_retained != counterpart.is_retained:
                    differences.append(f"{where}: retained {replica.is_retained}, {counterpart.is_retained}")
                if (
                    replica.is_loaded != counterpart.is_loaded
                    and replica.last_used_ns + keep_alive_ns // 2 > self.now
                ):
                    differences.append(f"{where}: loaded {replica.is_loaded}, {counterpart.is_loaded}")
        return differences

    def differences_once_settled(self) -> list[str]:
        """Returns the differences once the messages in transit have arrived; waits at most 2 s."""
        for _ in range(20):
            self.run(100)
            if not self.differences():
                break
        return self.differences()


__all__ = ["EdgePlannerSimulation", "ev"]

"""A dispatcher in virtual time: the real policy boundary, policy and admission control, without sockets.

This module does in virtual time what `edge/dispatcher.py` and `edge/listener.py` do on sockets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

import msgspec
import structlog

from martenlead.admission import controller as gate
from martenlead.admission.controller import (
    AdmissionController,
    AdmissionRequest,
    FunctionResources,
    QueuedRequest,
    ServiceResult,
)
from martenlead.admission.controller import QueueState as At
from martenlead.config import edge as config
from martenlead.config.edge import build_policy_settings, ms_to_ns
from martenlead.durable_state.knowledge import (
    SavedKnowledge,
    build_earlier_run,
    gather_knowledge,
    list_draining_workers,
    list_reloads,
)
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.policy_boundary import PolicyBoundary, Recorder, TeeRecorder
from martenlead.edge.queue_admission import classify_service_result
from martenlead.emulator.box import EmulatedWorker
from martenlead.emulator.kernel import Signal, Steps
from martenlead.emulator.messages import AcceptedRequest, AttemptInFlight, Exchange, WorkerResponse
from martenlead.emulator.planned import PlannerFleet, check_lease_periodically, keep_linked
from martenlead.planner.planner_client import PlannerClient
from martenlead.policy.policy import Policy
from martenlead.policy.types import (
    Action,
    Attempt,
    AttemptResult,
    Cancel,
    Fail,
    FunctionFacts,
    LoadRequest,
    Reject,
    Request,
    Result,
    WorkerFacts,
    WorkerState,
)
from martenlead.standins.demand import ClientRequest
from martenlead.upstream.endpoints import Endpoint

WORKER_STATES = {"up": WorkerState.UP, "draining": WorkerState.DRAINING, "gone": WorkerState.GONE}
NEVER = 1 << 62
SAVE_INTERVAL_NS = 1_000_000_000  # Between two savings of the knowledge
CONFIRMATION_SPREAD_NS = 250_000_000  # Queries for restored replicas are spread over this time


class EndpointSource(Protocol):
    """The stream of the list of workers."""

    def follow(self, edge: Edge, incarnation: int) -> Steps:
        """Sends changes to one incarnation of a dispatcher."""


class DispatcherFleet(PlannerFleet, Protocol):
    """What a dispatcher needs of the fleet. Latencies are one way."""

    worker_latency_ns: int
    has_durable_state: bool
    expiry: bool
    workers: dict[str, EmulatedWorker]
    function_names: dict[Any, str]  # By function of any dispatcher

    @property
    def endpoint_list(self) -> EndpointSource:
        """Where the list of workers comes from."""

    @property
    def make_recorder(self) -> Callable[[Edge], Recorder | None]:
        """Returns the function that makes the recorder of a dispatcher's policy boundary, if any."""

    def reply(self, exchange: Exchange, final: str, wait_ms: float, at_admission: bool) -> None:
        """A response, or the end of its connection, reaches a client."""


class KnownWorker:
    """A worker as this dispatcher knows it."""

    def __init__(self, endpoint: Endpoint, emulated_worker: EmulatedWorker) -> None:
        self.endpoint, self.emulated_worker = endpoint, emulated_worker
        self.policy_worker: Any = None
        self.up_since_ns = 0
        self.draining_incarnation = ""
        self.open_attempts = 0

    def facts(self, state: WorkerState) -> WorkerFacts:
        """Returns what the policy is told of the worker."""
        endpoint = self.endpoint
        mark = int.from_bytes(endpoint.id.encode(), "big")
        weight = endpoint.weight or endpoint.memory_mb or 1.0
        return WorkerFacts(
            mark, endpoint.zone, endpoint.cell, endpoint.memory_mb or 1.0, weight, state, self.up_since_ns
        )


class Edge:
    """A dispatcher over its incarnations."""

    def __init__(
        self, fleet: DispatcherFleet, number: int, settings: config.EdgeSettings, policy: type[Policy]
    ) -> None:
        self.fleet, self.kernel, self.number, self.settings = fleet, fleet.kernel, number, settings
        self.policy = policy
        self.name = settings.name
        self.incarnation, self.up = 0, False
        self.hard_limits_ns = {o.name: ms_to_ns(o.hard_limit_ms) for o in settings.request_classes}
        self.response_margin_ns = ms_to_ns(settings.margin_ms)
        self.counts: Counter[tuple[str, str]] = Counter()
        self.cached_endpoints: list[Endpoint] = []  # Last endpoint list, kept on disk
        self.exchanges: dict[Exchange, None] = {}
        self.knowledge: tuple[int, SavedKnowledge] | None = None  # Time of saving and content, kept on disk

    # -- start and kill

    def start(self) -> None:
        """Starts a new incarnation from the cached endpoint list and the saved knowledge."""
        self.incarnation += 1
        self.up = True
        settings = self.settings
        policy_settings, self.request_classes, self.tenants = build_policy_settings(settings)
        seed = settings.seed or 0
        names = list(self.request_classes), self.tenants
        self.chance = Random(seed)
        recorder = self.fleet.make_recorder(self)
        self.planner_client: PlannerClient | None = None
        if settings.planner is not None:
            self.planner_client = PlannerClient(settings, settings.planner, self.kernel.clock)
            self.planner_client.dispatcher = self  # type: ignore[assignment]
            self.planner_client.log = structlog.wrap_logger(structlog.ReturnLogger())  # Logs nothing
            recorder = (
                self.planner_client.recorder
                if recorder is None
                else TeeRecorder(recorder, self.planner_client.recorder)
            )
        self.policy_boundary = PolicyBoundary(
            policy_settings, seed, self.kernel.clock, self._perform_action, recorder, names, self.policy
        )
        self.workers_by_id: dict[str, KnownWorker] = {}
        self.workers_by_policy_worker: dict[Any, KnownWorker] = {}
        self.functions: dict[str, Any] = {}
        self.function_names: dict[Any, str] = {}
        self.accepted_requests: dict[Request, AcceptedRequest] = {}
        self.open_attempts: dict[Attempt, AttemptInFlight] = {}
        self.cancelled_attempts: set[Attempt] = set()
        self._timer_due_ns = NEVER
        self.admission: AdmissionController | None = None
        self.queued_exchanges: dict[QueuedRequest, Exchange] = {}
        if settings.queues is not None:
            weights = {c.name: c.weight for c in settings.tenants}
            limits = gate.AdmissionLimits(settings.queues.waiting, settings.queues.bytes, weights)
            self.admission = AdmissionController(limits, self.kernel.clock, Random(seed), self._choose_worker)
            self.kernel.spawn(self._admit_periodically(self.incarnation))
        if self.cached_endpoints:
            self.update_endpoints(self.incarnation, self.cached_endpoints, True)
            if self.fleet.has_durable_state and self.knowledge is not None:
                self._restore(*self.knowledge)
        self.policy_boundary.start()
        self._run_due()
        self.kernel.spawn(self.fleet.endpoint_list.follow(self, self.incarnation))
        if self.fleet.has_durable_state:
            self.kernel.spawn(self._save_periodically(self.incarnation))
        if self.planner_client is not None:
            self.kernel.spawn(check_lease_periodically(self, self.planner_client, self.incarnation))
            self.kernel.spawn(keep_linked(self, self.planner_client, self.incarnation))

    def _save_periodically(self, incarnation: int) -> Steps:
        """Saves the knowledge as the program does; a kill does not lose what was saved."""
        while incarnation == self.incarnation:
            yield SAVE_INTERVAL_NS
            if incarnation == self.incarnation:
                self.knowledge = self.kernel.now, self.policy_boundary.inspect(self._gather)

    def _gather(self, policy: Policy, now: int) -> SavedKnowledge:
        return gather_knowledge(policy, now, self.function_names, self._worker_incarnations(), self.knowledge)

    def _worker_incarnations(self) -> dict[Any, tuple[str, str, bool]]:
        return {
            worker.policy_worker: (
                worker.endpoint.id,
                worker.endpoint.incarnation,
                worker.draining_incarnation == worker.endpoint.incarnation
                and bool(worker.draining_incarnation),
            )
            for worker in self.workers_by_id.values()
        }

    def _restore(self, saved_ns: int, knowledge: SavedKnowledge) -> None:
        """Restores the saved knowledge after the first snapshot.

        Queries for the restored replicas are spread over a short time.
        """
        elapsed = self.kernel.now - saved_ns
        workers = {
            worker.endpoint.id: (worker.policy_worker, worker.endpoint.incarnation)
            for worker in self.workers_by_id.values()
        }
        functions = {
            function.name: self._get_function(function.name, function.lanes, function.memory_mb)
            for function in knowledge.functions
        }
        policy_settings = self.policy_boundary.inspect(lambda policy, _: policy.settings)
        self.policy_boundary.restore(
            build_earlier_run(knowledge, elapsed, functions, workers, policy_settings.load_window_ns)
        )
        for name in list_draining_workers(knowledge, workers):
            self._mark_draining(self.workers_by_id[name])
        for reload in list_reloads(knowledge, elapsed, policy_settings.keep_alive_ns, workers):
            self.kernel.call_later(
                int(self.chance.random() * CONFIRMATION_SPREAD_NS), self.confirm_replicas, [reload]
            )

    def kill(self) -> None:
        """Ends the process: its requests are lost and its connections break."""
        if not self.up:
            return
        self.up = False
        self.incarnation += 1
        for exchange in list(self.exchanges):
            exchange.is_open = False
            self.kernel.call_later(
                self.fleet.client_latency_ns, self.fleet.reply, exchange, "broken", 0.0, False
            )
        self.exchanges.clear()
        for attempt in self.open_attempts.values():
            self._close_attempt(attempt)
        self.open_attempts.clear()

    def _run_due(self) -> None:
        due = self.policy_boundary.next_due_ns()
        now = self.kernel.now
        while due is not None and due <= now:
            self.policy_boundary.advance()
            due = self.policy_boundary.next_due_ns()
        if due is not None and due < self._timer_due_ns:
            self._timer_due_ns = due
            self.kernel.call_at(due, self._timer, self.incarnation, due)

    def _timer(self, incarnation: int, due: int) -> None:
        if incarnation == self.incarnation and due == self._timer_due_ns:
            self._timer_due_ns = NEVER
            self._run_due()

    # -- endpoint list

    def update_endpoints(self, incarnation: int, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Applies a snapshot or a delta of the endpoint list."""
        if incarnation != self.incarnation or not self.up:
            return
        now = self.kernel.now
        updates = []
        known = {} if is_snapshot else {endpoint.id: endpoint for endpoint in self.cached_endpoints}
        for endpoint in endpoints:
            if endpoint.state == "gone":
                known.pop(endpoint.id, None)
            else:
                known[endpoint.id] = endpoint
            worker = self.workers_by_id.get(endpoint.id)
            if worker is None:
                if endpoint.state == "gone":
                    continue
                worker = self.workers_by_id[endpoint.id] = KnownWorker(
                    endpoint, self.fleet.workers[endpoint.id]
                )
            if not worker.policy_worker or endpoint.incarnation != worker.endpoint.incarnation:
                worker.up_since_ns = 0 if endpoint.age_ms is None else max(1, now - ms_to_ns(endpoint.age_ms))
            if endpoint.state != "gone":
                worker.endpoint = endpoint
            state = WORKER_STATES[endpoint.state]
            if (
                state is WorkerState.UP
                and worker.draining_incarnation
                and worker.draining_incarnation == endpoint.incarnation
            ):
                state = WorkerState.DRAINING
            facts = worker.facts(state)
            if worker.policy_worker is None:
                worker.policy_worker = self.policy_boundary.add_worker(facts, endpoint.id)
                self.workers_by_policy_worker[worker.policy_worker] = worker
            updates.append((worker.policy_worker, facts))
        self.cached_endpoints = [
            msgspec.structs.replace(
                endpoint,
                age_ms=(now - self.workers_by_id[endpoint.id].up_since_ns) / 1e6
                if self.workers_by_id[endpoint.id].up_since_ns
                else None,
            )
            for endpoint in known.values()
        ]
        self.policy_boundary.update_workers(updates, is_snapshot)
        self._run_due()

    def _mark_draining(self, worker: KnownWorker) -> None:
        """Marks a worker as draining: its own report takes precedence over the endpoint list."""
        if worker.draining_incarnation == worker.endpoint.incarnation and worker.draining_incarnation:
            return
        worker.draining_incarnation = worker.endpoint.incarnation
        self.policy_boundary.update_workers(
            [(worker.policy_worker, worker.facts(WorkerState.DRAINING))], False
        )

    # -- admission

    def receive_request(self, exchange: Exchange) -> None:
        """Handles a request that arrives."""
        if not self.up:
            self.kernel.call_later(
                self.fleet.client_latency_ns, self.fleet.reply, exchange, "unreached", 0.0, False
            )
            return
        if not exchange.is_open:
            return
        self.exchanges[exchange] = None
        limits = self.settings.limits
        function = exchange.call.function
        if len(self.accepted_requests) >= limits.open_requests or (
            function not in self.functions and len(self.functions) >= limits.known_functions
        ):
            self._reject(exchange, ms_to_ns(self.settings.allowed.retry_after_limit_ms), True)
        elif self.admission is None:
            self._accept(exchange, None)
        else:
            self._submit(self.admission, exchange)

    def handle_client_disconnect(self, exchange: Exchange) -> None:
        """Handles a client that has disconnected."""
        if self.exchanges.pop(exchange, 0) is not None:
            return
        if exchange.request is not None:
            self._finish(exchange.request, "left")
        elif exchange.queued_request is not None and self.admission is not None:
            self.queued_exchanges.pop(exchange.queued_request, None)
            self._resume_queued(self.admission.complete(exchange.queued_request, ServiceResult.OTHER))

    def _time_left_ns(self, exchange: Exchange) -> int:
        """Returns the time left (ns) as the event's attributes state it."""
        time_left_ns = max(
            0,
            (exchange.client_attempt.gives_up_at - exchange.client_attempt.started_at)
            // 1_000_000
            * 1_000_000,
        )
        if self.fleet.expiry:
            time_left_ns = min(time_left_ns, exchange.client_attempt.gives_up_at - self.kernel.now)
        return time_left_ns

    def _deadline_ns(self, exchange: Exchange) -> int:
        return (
            self.kernel.now
            + min(self._time_left_ns(exchange), self.hard_limits_ns[exchange.call.request_class.name])
            - self.response_margin_ns
        )

    def _submit(self, admission: AdmissionController, exchange: Exchange) -> None:
        call, request_class = exchange.call, exchange.call.request_class.name
        request = AdmissionRequest(
            function=call.function,
            request_class=request_class,
            tenant=call.tenant or "",
            client="/portal",
            trace_id=call.number,
            work_seconds=int(call.cost_ms) / 1000,
            size_bytes=14,
            respond_by_ns=self.kernel.now + self.request_classes[request_class].latency_objective_ns,
            deadline_ns=self._deadline_ns(exchange),
            is_retry=call.is_retry,
            resources=FunctionResources(call.request_class.lanes, float(int(call.request_class.memory_mb))),
            reservation=self._presented_reservation(call),
        )
        exchange.queued_request = queued_request = admission.submit(request)
        if queued_request.state is At.QUEUED:
            self.queued_exchanges[queued_request] = exchange
            self.kernel.call_at(
                max(self.kernel.now, queued_request.start_by_ns),
                self._expire,
                self.incarnation,
                queued_request,
            )
        else:
            self._continue_request(exchange, queued_request)

    def _presented_reservation(self, call: ClientRequest) -> tuple[int, int] | None:
        """Returns the reservation that a call presents.

        All parties share one clock here, and no MAC is checked.
        """
        queues = self.settings.queues
        if not call.reservation or queues is None or queues.secret is None:
            return None
        since, _, until = call.reservation.partition(" ")
        return int(since), int(until)

    def _continue_request(self, exchange: Exchange, queued_request: QueuedRequest) -> None:
        self._set_reservation(exchange, queued_request)
        if queued_request.state is At.REJECTED:
            self._reject(exchange, queued_request.retry_after_ns, True)
        else:
            self._accept(exchange, queued_request)

    def _set_reservation(self, exchange: Exchange, queued_request: QueuedRequest) -> None:
        if queued_request.reservation is not None:
            exchange.reservation = "{} {}".format(*queued_request.reservation)

    def _expire(self, incarnation: int, queued_request: QueuedRequest) -> None:
        if incarnation == self.incarnation and queued_request in self.queued_exchanges:
            assert self.admission is not None
            self.admission.expire(queued_request)
            self._resume_queued([queued_request])

    def _resume_queued(self, changed: list[QueuedRequest]) -> None:
        for queued_request in changed:
            exchange = self.queued_exchanges.pop(queued_request, None)
            if exchange is not None:
                self.kernel.call_soon(self._continue_queued, self.incarnation, exchange, queued_request)

    def _continue_queued(self, incarnation: int, exchange: Exchange, queued_request: QueuedRequest) -> None:
        if incarnation != self.incarnation:
            return
        if exchange in self.exchanges:
            self._continue_request(exchange, queued_request)

    def _admit_periodically(self, incarnation: int) -> Steps:
        while incarnation == self.incarnation and self.admission is not None:
            yield 10_000_000 if self.admission.waiting_requests else 50_000_000
            if incarnation == self.incarnation:
                self._resume_queued(self.admission.admit_waiting())

    def _choose_worker(self, queued_request: QueuedRequest) -> Any:
        request_class = self.request_classes[queued_request.request_class]
        work = queued_request.work_seconds if queued_request.has_declared_work else 0.0
        return self.policy_boundary.choose_worker(
            self._get_function(queued_request.function, *queued_request.resources),
            request_class,
            queued_request.counts_as_retry,
            work,
        )

    # -- requests

    def _get_function(self, name: str, lanes: int, memory: float) -> Any:
        function = self.functions.get(name)
        if function is None:
            mark = int.from_bytes(name.encode()[:64], "big")
            function = self.functions[name] = self.policy_boundary.add_function(
                FunctionFacts(mark, lanes, memory), name
            )
            self.function_names[function] = self.fleet.function_names[function] = name
        return function

    def _accept(self, exchange: Exchange, queued_request: QueuedRequest | None) -> None:
        call, request_class = exchange.call, exchange.call.request_class
        request = exchange.request = AcceptedRequest(exchange, queued_request)
        function = self._get_function(call.function, request_class.lanes, float(int(request_class.memory_mb)))

        def remember_request(policy_request: Request) -> None:
            """Registers the policy's request before it makes decisions about it."""
            request.policy_request = policy_request
            self.accepted_requests[policy_request] = request

        tenant = self.tenants.get(call.tenant or "")
        self.policy_boundary.accept_request(
            function,
            self.request_classes[request_class.name],
            tenant,
            self._deadline_ns(exchange),
            call.is_retry if queued_request is None else queued_request.counts_as_retry,
            int(call.cost_ms) / 1000,
            remember_request,
            request.name,
        )
        if queued_request is not None and self.admission is not None:
            self._resume_queued(self.admission.confirm_admission(queued_request))
        self._run_due()

    def _finish(self, request: AcceptedRequest, final: str) -> None:
        """Ends a request; only the first call counts.

        The rest is scheduled, since the policy may be in the middle of a decision.
        """
        if not request.final:
            request.final = final
            self.kernel.call_soon(self._close_request, self.incarnation, request)

    def _close_request(self, incarnation: int, request: AcceptedRequest) -> None:
        policy_request, exchange = request.policy_request, request.exchange
        if (
            incarnation != self.incarnation
            or policy_request is None
            or self.accepted_requests.pop(policy_request, None) is None
        ):
            return
        self.counts["final", request.final] += 1
        self.policy_boundary.close_request(policy_request, request.final)
        queued_request = request.queued_request
        if queued_request is not None and self.admission is not None:
            result = classify_service_result(request.final, policy_request, request.failure_reason)
            self._resume_queued(self.admission.complete(queued_request, result))
            if result is ServiceResult.NO_CAPACITY:
                request.retry_after_ns = max(request.retry_after_ns, queued_request.retry_after_ns)
                self._set_reservation(exchange, queued_request)
        if request.final != "left":
            self._reply(exchange, request.final, request.retry_after_ns, False)
        self._run_due()

    def _reject(self, exchange: Exchange, retry_after_ns: int, at_admission: bool) -> None:
        self.counts["final", "turned back"] += 1
        self._reply(exchange, "turned back", retry_after_ns, at_admission)

    def _reply(self, exchange: Exchange, final: str, retry_after_ns: int, at_admission: bool) -> None:
        if self.exchanges.pop(exchange, 0) is None:
            # Milliseconds, rounded up as in the header
            self.kernel.call_later(
                self.fleet.client_latency_ns,
                self.fleet.reply,
                exchange,
                final,
                -(-retry_after_ns // 1_000_000),
                at_admission,
            )

    def _perform_action(self, action: Action) -> None:
        """Carries out an action of the policy.

        Nothing here calls the policy, which is in the middle of a decision.
        """
        match action:
            case Attempt(request=policy_request):
                self.kernel.call_soon(
                    self._send_attempt, self.incarnation, self.accepted_requests[policy_request], action
                )
            case Reject(request=policy_request, retry_after_ns=retry_after_ns):
                request = self.accepted_requests[policy_request]
                request.retry_after_ns = retry_after_ns
                self._finish(request, "turned back")
            case Fail(request=policy_request):
                self._finish(self.accepted_requests[policy_request], "scrapped")
            case Cancel(attempt=policy_attempt):
                attempt = self.open_attempts.get(policy_attempt)
                if attempt is not None:
                    self._close_attempt(attempt)
                    self.kernel.call_soon(
                        self._handle_response,
                        self.incarnation,
                        attempt,
                        WorkerResponse(Result.CANCELLED, reason="called off"),
                    )
                elif policy_attempt.result is None:
                    self.cancelled_attempts.add(policy_attempt)
            case LoadRequest():
                self.kernel.spawn(self._request_load(action, self.incarnation))

    # -- attempts and load requests

    def _send_attempt(self, incarnation: int, request: AcceptedRequest, policy_attempt: Attempt) -> None:
        if incarnation != self.incarnation:
            return
        worker = self.workers_by_policy_worker[policy_attempt.worker]
        time_left_ns = policy_attempt.sent_ns + policy_attempt.timeout_ns - self.kernel.now
        number = policy_attempt.request.attempts.index(policy_attempt)
        attempt = AttemptInFlight(self, incarnation, policy_attempt, request, number, time_left_ns)
        if (
            policy_attempt in self.cancelled_attempts
            or time_left_ns <= 0
            or worker.open_attempts >= self.settings.limits.worker_connections
        ):
            self.cancelled_attempts.discard(policy_attempt)
            self._handle_response(incarnation, attempt, WorkerResponse(Result.NOT_SENT, reason="not sent"))
            return
        self.open_attempts[policy_attempt] = attempt
        worker.open_attempts += 1
        self.kernel.call_later(self.fleet.worker_latency_ns, worker.emulated_worker.receive_attempt, attempt)
        self.kernel.call_later(time_left_ns, self._expire_attempt, attempt)

    def _expire_attempt(self, attempt: AttemptInFlight) -> None:
        if attempt.is_open and attempt.incarnation == self.incarnation:
            self._close_attempt(attempt)
            self._handle_response(
                attempt.incarnation, attempt, WorkerResponse(Result.NO_RESPONSE, reason="no answer in time")
            )

    def _close_attempt(self, attempt: AttemptInFlight) -> None:
        attempt.is_open = False
        worker = self.workers_by_policy_worker[attempt.policy_attempt.worker].emulated_worker
        self.kernel.call_later(self.fleet.worker_latency_ns, worker.close_attempt, attempt)

    def receive_response(self, attempt: AttemptInFlight, response: WorkerResponse) -> None:
        """Handles a worker's response, unless the attempt has ended."""
        if attempt.is_open and attempt.incarnation == self.incarnation:
            attempt.is_open = False
            self._handle_response(attempt.incarnation, attempt, response)

    def _handle_response(self, incarnation: int, attempt: AttemptInFlight, response: WorkerResponse) -> None:
        if incarnation != self.incarnation:
            return
        policy_attempt, request = attempt.policy_attempt, attempt.request
        worker = self.workers_by_policy_worker[policy_attempt.worker]
        if self.open_attempts.pop(policy_attempt, None) is not None:
            worker.open_attempts -= 1
        if response.is_draining:
            self._mark_draining(worker)
        self.counts["hand-off", response.result.value] += 1
        if not request.final:
            request.failure_reason = (
                "turned away"
                if response.result is Result.AT_CAPACITY
                else response.reason or response.result.value
            )
        first = response.result is Result.SUCCEEDED and not request.final
        final = first or bool(request.final)
        if first:
            self._finish(request, "satisfied")
        lag = max(0, self.kernel.now - policy_attempt.sent_ns)
        self.policy_boundary.record_result(
            AttemptResult(policy_attempt, response.result, final, response.warmth, lag)
        )
        self._run_due()

    def record_fault(self, error: Exception) -> None:
        """Raises the error: a fault ends the emulation."""
        raise error

    def apply_plan(self, load_requests: Any, retained: Any) -> tuple[int, int]:
        """Carries out the decisions of a planner, by the code of the dispatcher on sockets."""
        return Dispatcher.apply_plan(self, load_requests, retained)  # type: ignore[arg-type]

    def confirm_replicas(self, replicas: Iterable[tuple[str, str, int, float, float]]) -> None:
        """Asks workers how many replicas they have."""
        for name, function, lanes, memory, age_ms in replicas:
            worker = self.workers_by_id.get(name)
            if worker is not None and worker.endpoint.state == "up":
                used_ns = self.kernel.now - ms_to_ns(age_ms)
                self.kernel.spawn(
                    self._confirm_replica(
                        worker, self._get_function(function, lanes, memory), used_ns, self.incarnation
                    )
                )

    def _confirm_replica(self, worker: KnownWorker, function: Any, used_ns: int, incarnation: int) -> Steps:
        facts = function.facts
        yield self.fleet.worker_latency_ns
        outcome = yield from worker.emulated_worker.handle_load_request(
            self, self.function_names[function], 0, facts.memory_mb, facts.lanes
        )
        yield self.fleet.worker_latency_ns
        if incarnation == self.incarnation:
            self.policy_boundary.confirm_replica(
                worker.policy_worker, function, outcome[0], outcome[1], used_ns
            )
            self._run_due()

    def _request_load(self, load_request: LoadRequest, incarnation: int) -> Steps:
        worker, name = (
            self.workers_by_policy_worker[load_request.worker],
            self.function_names[load_request.function],
        )
        memory, lanes = load_request.function.facts.memory_mb, load_request.function.facts.lanes
        fleet = self.fleet
        yield fleet.worker_latency_ns
        done = Signal()
        results: list[tuple[Result, int, bool]] = []

        def steps() -> Steps:
            """Sends the load request and keeps its result."""
            results.append(
                (
                    yield from worker.emulated_worker.handle_load_request(
                        self, name, load_request.replicas, memory, lanes
                    )
                )
            )
            yield fleet.worker_latency_ns
            self.kernel.set_signal(done)

        process = self.kernel.spawn(steps())
        if (yield done, ms_to_ns(self.settings.functions.load_timeout_ms)):
            result, replicas, is_draining = results[0]
        else:
            result, replicas, is_draining = Result.NO_RESPONSE, 0, False
            self.kernel.cancel(process)
        if incarnation != self.incarnation:
            return
        if is_draining:
            self._mark_draining(worker)
        self.counts["order", result.value] += 1
        self.policy_boundary.record_load_end(load_request, result, replicas)
        self._run_due()

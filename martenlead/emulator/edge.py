"""A dispatcher in virtual time: the border, the engine, the module and the door's gate as they are; only the
sockets are not there. What `edge/dispatcher.py` and `edge/door.py` do on sockets is done here in ns of the
kernel."""

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
from martenlead.emulator.box import Runner
from martenlead.emulator.kernel import Signal, Steps
from martenlead.emulator.messages import Exchange, Held, Sent, Told
from martenlead.emulator.planned import PlannerFleet, links, looks
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

STATES = {"up": WorkerState.UP, "draining": WorkerState.DRAINING, "gone": WorkerState.GONE}
NEVER = 1 << 62
KEEP = 1_000_000_000  # ns between two savings of what is known
ASK_WITHIN = 250_000_000  # ns after a start in which copies are asked for


class Watch(Protocol):
    """The stream of the list of workers."""

    def follow(self, edge: Edge, life: int) -> Steps:
        """Tells one dispatcher, in one of its lives, of changes."""


class DispatcherFleet(PlannerFleet, Protocol):
    """What a dispatcher needs of the fleet. Ways are ns one way."""

    runner_way: int
    lasting: bool
    expiry: bool
    runners: dict[str, Runner]
    names: dict[Any, str]  # of all dispatchers' functions

    @property
    def roster(self) -> Watch:
        """Where the list of workers comes from."""

    @property
    def tape(self) -> Callable[[Edge], Recorder | None]:
        """Makes what records a dispatcher's border, where anything does."""

    def reply(self, x: Exchange, final: str, wait_ms: float, door: bool) -> None:
        """A response, or the end of its connection, reaches a client."""


class Box:
    """A runner as this dispatcher knows it."""

    def __init__(self, line: Endpoint, at: Runner) -> None:
        self.line, self.at = line, at
        self.runner: Any = None
        self.since = 0
        self.drains = ""
        self.out = 0

    def facts(self, state: WorkerState) -> WorkerFacts:
        line = self.line
        mark = int.from_bytes(line.id.encode(), "big")
        weight = line.weight or line.memory_mb or 1.0
        return WorkerFacts(mark, line.zone, line.cell, line.memory_mb or 1.0, weight, state, self.since)


class Edge:
    def __init__(
        self, fleet: DispatcherFleet, number: int, about: config.EdgeSettings, policy: type[Policy]
    ) -> None:
        self.fleet, self.kernel, self.number, self.about = fleet, fleet.kernel, number, about
        self.policy = policy
        self.name = about.name
        self.life, self.up = 0, False
        self.hard = {o.name: ms_to_ns(o.hard_limit_ms) for o in about.request_classes}
        self.margin = ms_to_ns(about.margin_ms)
        self.counts: Counter[tuple[str, str]] = Counter()
        self.kept: list[Endpoint] = []  # the roster's last list, on disk
        self.exchanges: dict[Exchange, None] = {}
        self.knowledge: tuple[int, SavedKnowledge] | None = None  # as it lies on disk

    # -- life

    def start(self) -> None:
        self.life += 1
        self.up = True
        about = self.about
        told, self.offerings, self.customers = build_policy_settings(about)
        seed = about.seed or 0
        names = list(self.offerings), self.customers
        self.chance = Random(seed)
        tape = self.fleet.tape(self)
        self.side: PlannerClient | None = None
        if about.planner is not None:
            self.side = PlannerClient(about, about.planner, self.kernel.clock)
            self.side.dispatcher = self  # type: ignore[assignment]
            self.side.log = structlog.wrap_logger(structlog.ReturnLogger())  # virtual time is no news
            tape = self.side.recorder if tape is None else TeeRecorder(tape, self.side.recorder)
        self.policy_boundary = PolicyBoundary(
            told, seed, self.kernel.clock, self._outlet, tape, names, self.policy
        )
        self.boxes: dict[str, Box] = {}
        self.by_runner: dict[Any, Box] = {}
        self.models: dict[str, Any] = {}
        self.names: dict[Any, str] = {}
        self.held: dict[Request, Held] = {}
        self.out: dict[Attempt, Sent] = {}
        self.off: set[Attempt] = set()
        self._until = NEVER
        self.gate: AdmissionController | None = None
        self.waiting: dict[QueuedRequest, Exchange] = {}
        if about.queues is not None:
            weights = {c.name: c.weight for c in about.tenants}
            limits = gate.AdmissionLimits(about.queues.waiting, about.queues.bytes, weights)
            self.gate = AdmissionController(limits, self.kernel.clock, Random(seed), self._room)
            self.kernel.spawn(self._door(self.life))
        if self.kept:
            self.news(self.life, self.kept, True)
            if self.fleet.lasting and self.knowledge is not None:
                self._restore(*self.knowledge)
        self.policy_boundary.start()
        self._run_due()
        self.kernel.spawn(self.fleet.roster.follow(self, self.life))
        if self.fleet.lasting:
            self.kernel.spawn(self._keeps(self.life))
        if self.side is not None:
            self.kernel.spawn(looks(self, self.side, self.life))
            self.kernel.spawn(links(self, self.side, self.life))

    def _keeps(self, life: int) -> Steps:
        """Saves what it knows, as the program does; it is there after a kill."""
        while life == self.life:
            yield KEEP
            if life == self.life:
                self.knowledge = self.kernel.now, self.policy_boundary.inspect(self._gather)

    def _gather(self, policy: Policy, now: int) -> SavedKnowledge:
        return gather_knowledge(policy, now, self.names, self._lives(), self.knowledge)

    def _lives(self) -> dict[Any, tuple[str, str, bool]]:
        return {
            box.runner: (
                box.line.id,
                box.line.incarnation,
                box.drains == box.line.incarnation and bool(box.drains),
            )
            for box in self.boxes.values()
        }

    def _restore(self, saved: int, told: SavedKnowledge) -> None:
        """With the first whole list: what was known, and asks for copies, not all at one moment."""
        elapsed = self.kernel.now - saved
        runners = {box.line.id: (box.runner, box.line.incarnation) for box in self.boxes.values()}
        models = {m.name: self._model(m.name, m.lanes, m.memory_mb) for m in told.functions}
        settings_ = self.policy_boundary.inspect(lambda policy, _: policy.settings)
        self.policy_boundary.restore(
            build_earlier_run(told, elapsed, models, runners, settings_.load_window_ns)
        )
        for name in list_draining_workers(told, runners):
            self._drains(self.boxes[name])
        for ask in list_reloads(told, elapsed, settings_.keep_alive_ns, runners):
            self.kernel.after(int(self.chance.random() * ASK_WITHIN), self.confirm_replicas, [ask])

    def kill(self) -> None:
        """Everything that it held is lost; connections break."""
        if not self.up:
            return
        self.up = False
        self.life += 1
        for exchange in list(self.exchanges):
            exchange.open = False
            self.kernel.after(self.fleet.client_way, self.fleet.reply, exchange, "broken", 0.0, False)
        self.exchanges.clear()
        for sent in self.out.values():
            self._close(sent)
        self.out.clear()

    def _run_due(self) -> None:
        due = self.policy_boundary.next_due_ns()
        now = self.kernel.now
        while due is not None and due <= now:
            self.policy_boundary.advance()
            due = self.policy_boundary.next_due_ns()
        if due is not None and due < self._until:
            self._until = due
            self.kernel.at(due, self._timer, self.life, due)

    def _timer(self, life: int, due: int) -> None:
        if life == self.life and due == self._until:
            self._until = NEVER
            self._run_due()

    # -- the roster

    def news(self, life: int, lines: list[Endpoint], whole: bool) -> None:
        if life != self.life or not self.up:
            return
        now = self.kernel.now
        told = []
        known = {} if whole else {line.id: line for line in self.kept}
        for line in lines:
            if line.state == "gone":
                known.pop(line.id, None)
            else:
                known[line.id] = line
            box = self.boxes.get(line.id)
            if box is None:
                if line.state == "gone":
                    continue
                box = self.boxes[line.id] = Box(line, self.fleet.runners[line.id])
            if not box.runner or line.incarnation != box.line.incarnation:
                box.since = 0 if line.age_ms is None else max(1, now - ms_to_ns(line.age_ms))
            if line.state != "gone":
                box.line = line
            state = STATES[line.state]
            if state is WorkerState.UP and box.drains and box.drains == line.incarnation:
                state = WorkerState.DRAINING
            facts = box.facts(state)
            if box.runner is None:
                box.runner = self.policy_boundary.add_worker(facts, line.id)
                self.by_runner[box.runner] = box
            told.append((box.runner, facts))
        self.kept = [
            msgspec.structs.replace(
                line,
                age_ms=(now - self.boxes[line.id].since) / 1e6 if self.boxes[line.id].since else None,
            )
            for line in known.values()
        ]
        self.policy_boundary.update_workers(told, whole)
        self._run_due()

    def _drains(self, box: Box) -> None:
        """A runner's own word that it drains counts ahead of the roster's."""
        if box.drains == box.line.incarnation and box.drains:
            return
        box.drains = box.line.incarnation
        self.policy_boundary.update_workers([(box.runner, box.facts(WorkerState.DRAINING))], False)

    # -- the door

    def arrives(self, x: Exchange) -> None:
        if not self.up:
            self.kernel.after(self.fleet.client_way, self.fleet.reply, x, "unreached", 0.0, False)
            return
        if not x.open:
            return
        self.exchanges[x] = None
        limits = self.about.limits
        model = x.call.function
        if len(self.held) >= limits.open_requests or (
            model not in self.models and len(self.models) >= limits.known_functions
        ):
            self._back(x, ms_to_ns(self.about.allowed.retry_after_limit_ms), True)
        elif self.gate is None:
            self._take(x, None)
        else:
            self._through(self.gate, x)

    def leaves(self, x: Exchange) -> None:
        """Its client has gone."""
        if self.exchanges.pop(x, 0) is not None:
            return
        if x.held is not None:
            self._end(x.held, "left")
        elif x.ticket is not None and self.gate is not None:
            self.waiting.pop(x.ticket, None)
            self._wake(self.gate.complete(x.ticket, ServiceResult.OTHER))

    def _left(self, x: Exchange) -> int:
        """Of the time that it has, ns: as the event's attributes tell it."""
        left = max(0, (x.told.gives_up_at - x.told.started_at) // 1_000_000 * 1_000_000)
        if self.fleet.expiry:
            left = min(left, x.told.gives_up_at - self.kernel.now)
        return left

    def _give_up(self, x: Exchange) -> int:
        return self.kernel.now + min(self._left(x), self.hard[x.call.request_class.name]) - self.margin

    def _through(self, gate: AdmissionController, x: Exchange) -> None:
        call, offering = x.call, x.call.request_class.name
        arriving = AdmissionRequest(
            function=call.function,
            request_class=offering,
            tenant=call.tenant or "",
            client="/portal",
            trace_id=call.number,
            work_seconds=int(call.cost_ms) / 1000,
            size_bytes=14,
            respond_by_ns=self.kernel.now + self.offerings[offering].latency_objective_ns,
            deadline_ns=self._give_up(x),
            is_retry=call.is_retry,
            resources=FunctionResources(call.request_class.lanes, float(int(call.request_class.memory_mb))),
            reservation=self._brought(call),
        )
        x.ticket = ticket = gate.submit(arriving)
        if ticket.state is At.QUEUED:
            self.waiting[ticket] = x
            self.kernel.at(max(self.kernel.now, ticket.start_by_ns), self._expire, self.life, ticket)
        else:
            self._on(x, ticket)

    def _brought(self, call: ClientRequest) -> tuple[int, int] | None:
        """All clocks are one here, and what a MAC proves needs no proof."""
        queues = self.about.queues
        if not call.reservation or queues is None or queues.secret is None:
            return None
        since, _, until = call.reservation.partition(" ")
        return int(since), int(until)

    def _on(self, x: Exchange, ticket: QueuedRequest) -> None:
        self._appoint(x, ticket)
        if ticket.state is At.REJECTED:
            self._back(x, ticket.retry_after_ns, True)
        else:
            self._take(x, ticket)

    def _appoint(self, x: Exchange, ticket: QueuedRequest) -> None:
        if ticket.reservation is not None:
            x.appointment = "{} {}".format(*ticket.reservation)

    def _expire(self, life: int, ticket: QueuedRequest) -> None:
        if life == self.life and ticket in self.waiting:
            assert self.gate is not None
            self.gate.expire(ticket)
            self._wake([ticket])

    def _wake(self, changed: list[QueuedRequest]) -> None:
        for ticket in changed:
            x = self.waiting.pop(ticket, None)
            if x is not None:
                self.kernel.soon(self._woken, self.life, x, ticket)

    def _woken(self, life: int, x: Exchange, ticket: QueuedRequest) -> None:
        if life != self.life:
            return
        if x in self.exchanges:
            self._on(x, ticket)

    def _door(self, life: int) -> Steps:
        while life == self.life and self.gate is not None:
            yield 10_000_000 if self.gate.waiting_requests else 50_000_000
            if life == self.life:
                self._wake(self.gate.admit_waiting())

    def _room(self, ticket: QueuedRequest) -> Any:
        offering = self.offerings[ticket.request_class]
        work = ticket.work_seconds if ticket.has_declared_work else 0.0
        return self.policy_boundary.choose_worker(
            self._model(ticket.function, *ticket.resources), offering, ticket.counts_as_retry, work
        )

    # -- tasks

    def _model(self, name: str, lanes: int, memory: float) -> Any:
        model = self.models.get(name)
        if model is None:
            mark = int.from_bytes(name.encode()[:64], "big")
            model = self.models[name] = self.policy_boundary.add_function(
                FunctionFacts(mark, lanes, memory), name
            )
            self.names[model] = self.fleet.names[model] = name
        return model

    def _take(self, x: Exchange, ticket: QueuedRequest | None) -> None:
        call, offering = x.call, x.call.request_class
        held = x.held = Held(x, ticket)
        model = self._model(call.function, offering.lanes, float(int(offering.memory_mb)))

        def note(task: Request) -> None:
            held.task = task
            self.held[task] = held

        customer = self.customers.get(call.tenant or "")
        self.policy_boundary.accept_request(
            model,
            self.offerings[offering.name],
            customer,
            self._give_up(x),
            call.is_retry if ticket is None else ticket.counts_as_retry,
            int(call.cost_ms) / 1000,
            note,
            held.name,
        )
        if ticket is not None and self.gate is not None:
            self._wake(self.gate.confirm_admission(ticket))
        self._run_due()

    def _end(self, held: Held, final: str) -> None:
        """The first of its calls counts. What follows waits until the module has decided."""
        if not held.final:
            held.final = final
            self.kernel.soon(self._over, self.life, held)

    def _over(self, life: int, held: Held) -> None:
        task, x = held.task, held.exchange
        if life != self.life or task is None or self.held.pop(task, None) is None:
            return
        self.counts["final", held.final] += 1
        self.policy_boundary.close_request(task, held.final)
        ticket = held.ticket
        if ticket is not None and self.gate is not None:
            end = classify_service_result(held.final, task, held.why)
            self._wake(self.gate.complete(ticket, end))
            if end is ServiceResult.NO_CAPACITY:
                held.wait = max(held.wait, ticket.retry_after_ns)
                self._appoint(x, ticket)
        if held.final != "left":
            self._reply(x, held.final, held.wait, False)
        self._run_due()

    def _back(self, x: Exchange, wait: int, door: bool) -> None:
        self.counts["final", "turned back"] += 1
        self._reply(x, "turned back", wait, door)

    def _reply(self, x: Exchange, final: str, wait: int, door: bool) -> None:
        if self.exchanges.pop(x, 0) is None:
            # ms, rounded up, as the header has them
            self.kernel.after(self.fleet.client_way, self.fleet.reply, x, final, -(-wait // 1_000_000), door)

    def _outlet(self, action: Action) -> None:
        """Nothing here calls the module back: it is in the middle of deciding."""
        match action:
            case Attempt(request=task):
                self.kernel.soon(self._carry, self.life, self.held[task], action)
            case Reject(request=task, retry_after_ns=wait):
                held = self.held[task]
                held.wait = wait
                self._end(held, "turned back")
            case Fail(request=task):
                self._end(self.held[task], "scrapped")
            case Cancel(attempt=hand_off):
                sent = self.out.get(hand_off)
                if sent is not None:
                    self._close(sent)
                    self.kernel.soon(self._heard, self.life, sent, Told(Result.CANCELLED, why="called off"))
                elif hand_off.result is None:
                    self.off.add(hand_off)
            case LoadRequest():
                self.kernel.spawn(self._order(action, self.life))

    # -- hand-offs and orders

    def _carry(self, life: int, held: Held, hand_off: Attempt) -> None:
        if life != self.life:
            return
        box = self.by_runner[hand_off.worker]
        left = hand_off.sent_ns + hand_off.timeout_ns - self.kernel.now
        number = hand_off.request.attempts.index(hand_off)
        sent = Sent(self, life, hand_off, held, number, left)
        if hand_off in self.off or left <= 0 or box.out >= self.about.limits.worker_connections:
            self.off.discard(hand_off)
            self._heard(life, sent, Told(Result.NOT_SENT, why="not sent"))
            return
        self.out[hand_off] = sent
        box.out += 1
        self.kernel.after(self.fleet.runner_way, box.at.arrives, sent)
        self.kernel.after(left, self._patience, sent)

    def _patience(self, sent: Sent) -> None:
        if sent.open and sent.life == self.life:
            self._close(sent)
            self._heard(sent.life, sent, Told(Result.NO_RESPONSE, why="no answer in time"))

    def _close(self, sent: Sent) -> None:
        sent.open = False
        at = self.by_runner[sent.hand_off.worker].at
        self.kernel.after(self.fleet.runner_way, at.cut, sent)

    def back(self, sent: Sent, told: Told) -> None:
        if sent.open and sent.life == self.life:
            sent.open = False
            self._heard(sent.life, sent, told)

    def _heard(self, life: int, sent: Sent, told: Told) -> None:
        if life != self.life:
            return
        hand_off, held = sent.hand_off, sent.held
        box = self.by_runner[hand_off.worker]
        if self.out.pop(hand_off, None) is not None:
            box.out -= 1
        if told.drains:
            self._drains(box)
        self.counts["hand-off", told.result.value] += 1
        if not held.final:
            held.why = "turned away" if told.result is Result.AT_CAPACITY else told.why or told.result.value
        first = told.result is Result.SUCCEEDED and not held.final
        final = first or bool(held.final)
        if first:
            self._end(held, "satisfied")
        lag = max(0, self.kernel.now - hand_off.sent_ns)
        self.policy_boundary.record_result(AttemptResult(hand_off, told.result, final, told.warmth, lag))
        self._run_due()

    def record_fault(self, error: Exception) -> None:
        raise error

    def apply_plan(self, orders: Any, held: Any) -> tuple[int, int]:
        """As the dispatcher on sockets carries out what a planner decided."""
        return Dispatcher.apply_plan(self, orders, held)  # type: ignore[arg-type]

    def confirm_replicas(self, copies: Iterable[tuple[str, str, int, float, float]]) -> None:
        for name, model, lanes, memory, age_ms in copies:
            box = self.boxes.get(name)
            if box is not None and box.line.state == "up":
                touched = self.kernel.now - ms_to_ns(age_ms)
                self.kernel.spawn(self._ask(box, self._model(model, lanes, memory), touched, self.life))

    def _ask(self, box: Box, model: Any, touched: int, life: int) -> Steps:
        facts = model.facts
        yield self.fleet.runner_way
        asked = yield from box.at.ordered(self, self.names[model], 0, facts.memory_mb, facts.lanes)
        yield self.fleet.runner_way
        if life == self.life:
            self.policy_boundary.confirm_replica(box.runner, model, asked[0], asked[1], touched)
            self._run_due()

    def _order(self, order: LoadRequest, life: int) -> Steps:
        box, name = self.by_runner[order.worker], self.names[order.function]
        memory, lanes = order.function.facts.memory_mb, order.function.facts.lanes
        fleet = self.fleet
        yield fleet.runner_way
        done = Signal()
        told: list[tuple[Result, int, bool]] = []

        def steps() -> Steps:
            told.append((yield from box.at.ordered(self, name, order.replicas, memory, lanes)))
            yield fleet.runner_way
            self.kernel.come(done)

        asked = self.kernel.spawn(steps())
        if (yield done, ms_to_ns(self.about.functions.load_timeout_ms)):
            result, copies, drains = told[0]
        else:
            result, copies, drains = Result.NO_RESPONSE, 0, False
            self.kernel.cancel(asked)
        if life != self.life:
            return
        if drains:
            self._drains(box)
        self.counts["order", result.value] += 1
        self.policy_boundary.record_load_end(order, result, copies)
        self._run_due()

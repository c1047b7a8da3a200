"""The door: one request in, one final answer out. Reads the event, holds the limits, writes the answer."""

from __future__ import annotations

from random import Random
from typing import Annotated, Any

import anyio
import msgspec
import structlog
from msgspec import Meta

from martenlead.admission import controller as gate
from martenlead.admission import reservation_token as token
from martenlead.admission.controller import (
    AdmissionController,
    AdmissionRequest,
    FunctionResources,
    QueuedRequest,
    QueueState,
    ServiceResult,
)
from martenlead.config.edge import EdgeSettings, ms_to_ns
from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.http_upstream import EventContent
from martenlead.edge.protocol import read_request
from martenlead.edge.records import FinalOutcome, IncomingRequest, PendingRequest
from martenlead.events import cloudevent
from martenlead.events.cloudevent import Event, InvalidEventError
from martenlead.events.http import Headers, Message, MessageLimits, Peer
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits
from martenlead.policy.types import Request, Result
from martenlead.system.clocks import wall_ns

PASSED_ON = frozenset({b"content-type", b"traceparent", b"tracestate"})
TITLES = {400: "Bad task", 404: "No such path", 405: "Only POST", 413: "Too large", 415: "Not an event"}


class HttpCancellationSource:
    """A `ClientConnection` of HTTP/1.1, where a request is cancelled by an end of its connection alone: bytes
    that are not read yet are requests behind it, and need not be read before an attempt."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer

    def peek_input(self) -> UnreadInput:
        return UnreadInput.END if self.peer.has_left() else UnreadInput.NOTHING

    def read_unread_input(self) -> bool:
        return True

    def handle_disconnect(self, held: PendingRequest) -> None:
        held.end(FinalOutcome.CLIENT_LEFT)
        self.peer.end()


class EventListener:
    def __init__(self, dispatcher: Dispatcher, edge: EdgeSettings) -> None:
        self.dispatcher, self.edge = dispatcher, edge
        self.wait = ms_to_ns(edge.allowed.retry_after_limit_ms)
        self.log = structlog.get_logger().bind(edge=edge.name)
        self.gate: AdmissionController | None = None
        if edge.queues is not None:
            weights = {c.name: c.weight for c in edge.tenants}
            told = gate.AdmissionLimits(edge.queues.waiting, edge.queues.bytes, weights)
            self.gate = AdmissionController(told, dispatcher.clock, Random(edge.seed), self._room)
            dispatcher.report_queues = self.gate.status_report
        secret = edge.queues.secret if edge.queues is not None else None
        self.secret = secret.encode() if secret else None
        self._wall = wall_ns
        self._changed: dict[QueuedRequest, anyio.Event] = {}
        limits = edge.limits
        self.server = Server(
            self.handle,
            ServerLimits(
                MessageLimits(limits.head_bytes, limits.body_bytes),
                limits.connections,
                limits.pipelined,
                ms_to_ns(limits.idle_ms),
                ms_to_ns(limits.slow_ms),
            ),
            make_error_reply=bad,
            make_fault_reply=self.crashed,
            earliest_arrival_ns=dispatcher.event_loop_lag.earliest_arrival,
        )

    async def handle(self, message: Message, now: int) -> Reply:
        """Cancelled when the client has left: its task is over then."""
        dispatcher = self.dispatcher
        if message.target.split(b"?")[0] != b"/":
            return problem(404, "No such path", "tasks are posted to /")
        if message.method != b"POST":
            reply = problem(405, "Only POST", "tasks are posted to /")
            reply.headers.append((b"allow", b"POST"))
            return reply
        try:
            event = cloudevent.decode_event(message.headers, message.body)
            asked = read_request(event, dispatcher.clock() - now)
            if asked.request_class not in dispatcher.request_classes:
                raise InvalidEventError("type", "no such offering")
            if dispatcher.tenants and asked.tenant not in dispatcher.tenants:
                raise InvalidEventError(
                    "customer", "no such customer" if asked.tenant else "the attribute is missing"
                )
        except InvalidEventError as error:
            dispatcher.counts["refused", error.attribute] += 1
            reply = problem(error.status, TITLES[error.status], str(error), attribute=error.attribute)
            if error.status == 415:
                reply.headers.append((b"accept", cloudevent.ACCEPTED_MEDIA_TYPES))
            return reply
        full = self._full(asked.function, len(message.body))
        if full:
            dispatcher.counts["final", FinalOutcome.REJECTED.value] += 1
            return at_the_door(full, self.wait)
        if message.header(b"ce-id") is None:
            headers, body = cloudevent.encode_event(event)
        else:  # what came in binary mode goes on as it came
            headers = [p for p in message.headers if p[0][:3] == b"ce-" or p[0] == b"content-type"]
            body = message.body
        client = HttpCancellationSource(message.peer) if message.peer is not None else None
        if self.gate is None:
            held = dispatcher.accept(asked, now, EventContent(headers, body), len(body), client=client)
            await dispatcher.wait_for_outcome(held)
            return self.answer(held)
        return await self._through(self.gate, asked, event, now, EventContent(headers, body), client)

    async def _through(
        self,
        gate: AdmissionController,
        asked: IncomingRequest,
        event: Event,
        now: int,
        content: EventContent,
        client: HttpCancellationSource | None,
    ) -> Reply:
        """A request by the gate: at once, after a wait, or not at all."""
        dispatcher = self.dispatcher
        ticket = self._arrive(gate, asked, event, now, len(content.body))
        if ticket.state is QueueState.QUEUED:
            await self._wait(gate, ticket)
        if ticket.state is QueueState.REJECTED:
            dispatcher.counts["final", FinalOutcome.REJECTED.value] += 1
            return self._appoint(at_the_door(ticket.reason, ticket.retry_after_ns), event, ticket)
        end = ServiceResult.OTHER
        try:
            held = dispatcher.accept(
                asked, now, content, len(content.body), ticket.counts_as_retry, client=client
            )
            self._wake(gate.confirm_admission(ticket))
            await dispatcher.wait_for_outcome(held)
            end = classify_service_result(
                held.outcome.value if held.outcome else "", held.policy_request, held.reason
            )
        finally:
            self._wake(gate.complete(ticket, end))
        if end is ServiceResult.NO_CAPACITY:
            held.retry_after_ns = max(held.retry_after_ns, ticket.retry_after_ns)
            return self._appoint(self.answer(held), event, ticket)
        return self.answer(held)

    def _arrive(
        self, gate: AdmissionController, asked: IncomingRequest, event: Event, now: int, size: int
    ) -> QueuedRequest:
        """Tells the gate of a request of `size` bytes that came at `now`, ns."""
        dispatcher = self.dispatcher
        limit = dispatcher.deadlines_ns[asked.request_class]
        time_left_ns = limit if asked.time_left_ns is None else min(asked.time_left_ns, limit)
        objective_ns = dispatcher.request_classes[asked.request_class].latency_objective_ns
        arriving = AdmissionRequest(
            function=asked.function,
            request_class=asked.request_class,
            tenant=asked.tenant or "",
            client=event.identity[0],
            trace_id=hash(event.identity),
            work_seconds=asked.cost_seconds,
            size_bytes=size,
            respond_by_ns=now + objective_ns,
            deadline_ns=now + time_left_ns - dispatcher.deadline_margin_ns,
            is_retry=asked.is_retry,
            resources=FunctionResources(asked.lanes, asked.memory_mb),
            reservation=self._brought(event),
        )
        return gate.submit(arriving)

    async def _wait(self, gate: AdmissionController, ticket: QueuedRequest) -> None:
        """Until the gate has decided on a request that waits there, or its time is over."""
        changed = self._changed[ticket] = anyio.Event()
        try:
            with anyio.move_on_after(max(0, ticket.start_by_ns - self.dispatcher.clock()) / 1e9):
                await changed.wait()
            gate.expire(ticket)
        except anyio.get_cancelled_exc_class():
            # its client left: as it waited, or just as it was let in, and then the next is due
            self._wake(gate.complete(ticket, ServiceResult.OTHER))
            raise
        finally:
            del self._changed[ticket]

    def _brought(self, event: Event) -> tuple[int, int] | None:
        """The appointment that a task brings from another door, by this door's clock. One that was given in
        the future shows that a wall clock was stepped. By no more than doors allow for it counts as given
        now, so that nobody is told to wait for longer than was stated; beyond, it is refused."""
        text = event.text("appointment") if self.secret is not None else None
        if text is None or self.secret is None:
            return None
        wall = self._wall()
        told = token.verify(self.secret, event.identity, text, wall // 1_000_000)
        if told is None:
            self.dispatcher.counts["appointment", "not ours"] += 1
            return None
        since, until = (time * 1_000_000 for time in told)
        early = max(0, reservation_issued_ns(since, until) - wall)
        if early > gate.RESERVATION_GRACE_NS:
            self.dispatcher.counts["appointment", "clocks differ"] += 1
            return None
        ahead = self.dispatcher.clock() - wall - early
        return since + ahead, until + ahead

    def _appoint(self, reply: Reply, event: Event, ticket: QueuedRequest) -> Reply:
        if self.secret is not None and ticket.reservation is not None:
            behind = self._wall() - self.dispatcher.clock()
            since, until = ((t + behind) // 1_000_000 for t in ticket.reservation)
            text = token.issue(self.secret, event.identity, since, until)
            reply.headers.append((b"martenlead-appointment", text.encode()))
        return reply

    def _wake(self, changed: list[QueuedRequest]) -> None:
        for ticket in changed:
            self._changed[ticket].set()

    def _room(self, ticket: QueuedRequest) -> Any:
        """The module's word on a task that stands at the door."""
        dispatcher = self.dispatcher
        known = dispatcher.find_or_add_function(ticket.function, *ticket.resources)
        return dispatcher.policy_boundary.choose_worker(
            known.policy_function,
            dispatcher.request_classes[ticket.request_class],
            ticket.counts_as_retry,
            ticket.work_seconds if ticket.has_declared_work else 0.0,
        )

    async def run(self) -> None:
        """Lets in who waits as room comes with time alone; what ends lets them in at once. Never returns."""
        while self.gate is not None:
            await anyio.sleep(0.01 if self.gate.waiting_requests else 0.05)
            self._wake(self.gate.admit_waiting())

    def drain(self) -> None:
        """Takes no connection more; who waits at the door is turned back now."""
        self.server.drain()
        if self.gate is not None:
            self._wake(self.gate.reject_all())

    def _full(self, model: str, size: int) -> str:
        """At a limit nothing was begun for the task, whatever its kind: it may come again."""
        limits, dispatcher = self.edge.limits, self.dispatcher
        if self.server.is_draining:
            return "the dispatcher stops"
        if len(dispatcher.pending_requests) >= limits.open_requests:
            return f"{limits.open_requests} tasks are held"
        if dispatcher.pending_bytes + size > limits.pending_bytes:
            return f"{limits.pending_bytes} bytes are held"
        if (
            model not in dispatcher.functions_by_name
            and len(dispatcher.functions_by_name) >= limits.known_functions
        ):
            return f"{limits.known_functions} models are known"
        return ""

    def answer(self, held: PendingRequest) -> Reply:
        task = held.policy_request
        if held.outcome is FinalOutcome.SUCCEEDED and held.response is not None:
            headers: Headers = [
                (name, value)
                for name, value in held.response.headers
                if name.startswith(b"ce-") or name in PASSED_ON
            ]
            return Reply(200, headers, held.response.body)
        results = [h.result for h in task.attempts] if task else []
        told: dict[str, Any] = {"hand_offs": len(results)}
        if held.outcome is FinalOutcome.REJECTED:
            over = task is not None and task.is_deferrable and not task.is_retry
            why = held.reason or ("over the customer's share" if over else "no runner may take it now")
            return problem(
                429 if over else 503,
                "Turned back",
                why,
                retry_after_ns=held.retry_after_ns,
                final="turned back",
                **told,
            )
        late = any(r in (None, Result.NO_RESPONSE, Result.CANCELLED) for r in results)
        why = held.reason or "no runner had an answer"
        return problem(504 if late else 502, "Scrapped", why, final="scrapped", **told)

    def crashed(self, error: BaseException) -> Reply:
        self.log.error("a fault of ours", exc_info=error)
        return problem(500, "A fault of ours", "the dispatcher failed on this task", final="scrapped")


def reservation_issued_ns(since: int, until: int) -> int:
    """When an appointment from `since` to `until` was given: its span is the early part of its wait and the
    grace."""
    wait = round((until - since - gate.RESERVATION_GRACE_NS) / gate.EARLY_ARRIVAL_SHARE)
    return until - gate.RESERVATION_GRACE_NS - wait


def classify_service_result(final: str, task: Request | None, why: str) -> ServiceResult:
    """What became of a task that was let in, for the gate. What is over its customer's share is the
    module's to turn back, with its own wait, and no appointment of the door's."""
    if final == FinalOutcome.SUCCEEDED.value:
        return ServiceResult.SUCCEEDED
    if final == FinalOutcome.REJECTED.value and task is not None and not task.is_deferrable:
        # sent nowhere, or turned away wherever it was sent
        full = all(h.result is Result.AT_CAPACITY for h in task.attempts)
        return ServiceResult.NO_CAPACITY if full and why in ("", "turned away") else ServiceResult.OTHER
    return ServiceResult.OTHER


def at_the_door(why: str, wait: int) -> Reply:
    """A turn-back that the module never heard of, and says so."""
    reply = problem(503, "Turned back", why, retry_after_ns=wait, final="turned back", hand_offs=0)
    reply.headers.append((b"martenlead-door", b"1"))
    return reply


def bad(status: int, detail: str) -> Reply:
    """What a message gets that could not be read; the connection ends behind it."""
    wait = 1_000_000_000 if status == 503 else None
    reply = problem(status, "Not a message that is taken", detail, retry_after_ns=wait)
    reply.close = True
    return reply


class LimitsUpdate(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What `PUT /limits` takes; what is absent stays as it is."""

    waiting: Annotated[int, Meta(ge=1)] | None = None
    bytes: Annotated[int, Meta(ge=1)] | None = None
    weights: dict[str, Annotated[float, Meta(gt=0)]] = {}


class Admin:
    """GET /state for people, GET /metrics in the Prometheus text format, PUT /limits for the queues."""

    def __init__(self, dispatcher: Dispatcher, door: EventListener | None = None) -> None:
        self.door = door
        from prometheus_client import CollectorRegistry

        self.dispatcher = dispatcher
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self.server = Server(
            self.handle,
            ServerLimits(max_connections=16),
            make_error_reply=bad,
            make_fault_reply=lambda _: bad(500, "failed"),
        )

    def collect(self) -> Any:
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        counted = CounterMetricFamily("martenlead", "What ended, by kind and name", labels=["kind", "name"])
        for (kind, name), n in sorted(self.dispatcher.counts.items()):
            counted.add_metric([kind, name], n)
        yield counted
        state = self.dispatcher.report_status()
        for name in ("held", "held_bytes", "models", "tick_ms", "worst_lag_ms", "closest_answer_ms"):
            yield GaugeMetricFamily(f"martenlead_{name}", name, value=state[name] or 0.0)

    async def handle(self, message: Message, _now: int) -> Reply:
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        if message.target == b"/state":
            state = msgspec.json.format(msgspec.json.encode(self.dispatcher.report_status()))
            return Reply(200, [(b"content-type", b"application/json")], state)
        if message.target == b"/metrics":
            return Reply(
                200, [(b"content-type", CONTENT_TYPE_LATEST.encode())], generate_latest(self.registry)
            )
        if message.target == b"/limits" and message.method == b"PUT":
            return self.limits(message.body)
        return problem(404, "No such path", "/state, /metrics and PUT /limits are here")

    def limits(self, body: bytes) -> Reply:
        """Takes effect whole or not at all; who waits stays where he is."""
        gate_ = self.door.gate if self.door is not None else None
        if gate_ is None:
            return problem(409, "Not changed", "this edge has no `queues`")
        try:
            told = msgspec.json.decode(body, type=LimitsUpdate)
        except msgspec.DecodeError as error:
            return problem(400, "Not changed", str(error))
        unknown = sorted(told.weights.keys() - gate_.limits.weights.keys())
        if unknown:
            return problem(400, "Not changed", f"$.weights: no customer {unknown[0]!r}")
        old = gate_.limits
        new = gate.AdmissionLimits(
            told.waiting or old.waiting, told.bytes or old.bytes, {**old.weights, **told.weights}
        )
        gate_.update_limits(new)
        return Reply(200, [(b"content-type", b"application/json")], msgspec.json.encode(new))

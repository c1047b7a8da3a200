"""The door: one request in, one final answer out. Reads the event, holds the limits, writes the answer."""

from __future__ import annotations

from random import Random
from typing import Annotated, Any

import anyio
import msgspec
import structlog
from msgspec import Meta

from martenlead.admission import gate, token
from martenlead.admission.gate import End, Gate, State, Ticket
from martenlead.config.edge import Edge, ns
from martenlead.edge.client import Pending
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.httplink import Content
from martenlead.edge.protocol import wanted
from martenlead.edge.records import Final, Held, Wanted
from martenlead.events import cloudevent
from martenlead.events.cloudevent import BadEvent, Event
from martenlead.events.http import Headers, Limits, Message, Peer
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits
from martenlead.policy.types import Request, Result
from martenlead.system.clocks import wall_ns

PASSED_ON = frozenset({b"content-type", b"traceparent", b"tracestate"})
TITLES = {400: "Bad task", 404: "No such path", 405: "Only POST", 413: "Too large", 415: "Not an event"}


class HttpClient:
    """A `ClientConnection` of HTTP/1.1, where a request is cancelled by an end of its connection alone: bytes
    that are not read yet are requests behind it, and need not be read before an attempt."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer

    def pending(self) -> Pending:
        return Pending.END if self.peer.has_left() else Pending.NOTHING

    def read_pending(self) -> bool:
        return True

    def leave(self, held: Held) -> None:
        held.end(Final.LEFT)
        self.peer.end()


class Door:
    def __init__(self, dispatcher: Dispatcher, edge: Edge) -> None:
        self.dispatcher, self.edge = dispatcher, edge
        self.wait = ns(edge.allowed.turn_back_wait_ms)
        self.log = structlog.get_logger().bind(edge=edge.name)
        self.gate: Gate | None = None
        if edge.queues is not None:
            weights = {c.name: c.weight for c in edge.customers}
            told = gate.Limits(edge.queues.waiting, edge.queues.bytes, weights)
            self.gate = Gate(told, dispatcher.clock, Random(edge.seed), self._room)
            dispatcher.about_door = self.gate.told
        secret = edge.queues.secret if edge.queues is not None else None
        self.secret = secret.encode() if secret else None
        self._wall = wall_ns
        self._changed: dict[Ticket, anyio.Event] = {}
        limits = edge.limits
        self.server = Server(
            self.handle,
            ServerLimits(
                Limits(limits.head_bytes, limits.body_bytes),
                limits.connections,
                limits.pipelined,
                ns(limits.idle_ms),
                ns(limits.slow_ms),
            ),
            bad=bad,
            crashed=self.crashed,
            arrival=dispatcher.lag.earliest_arrival,
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
            event = cloudevent.read(message.headers, message.body)
            asked = wanted(event, dispatcher.clock() - now)
            if asked.offering not in dispatcher.offerings:
                raise BadEvent("type", "no such offering")
            if dispatcher.customers and asked.customer not in dispatcher.customers:
                raise BadEvent(
                    "customer", "no such customer" if asked.customer else "the attribute is missing"
                )
        except BadEvent as error:
            dispatcher.counts["refused", error.attribute] += 1
            reply = problem(error.status, TITLES[error.status], str(error), attribute=error.attribute)
            if error.status == 415:
                reply.headers.append((b"accept", cloudevent.ACCEPTED))
            return reply
        full = self._full(asked.model, len(message.body))
        if full:
            dispatcher.counts["final", Final.TURNED_BACK.value] += 1
            return at_the_door(full, self.wait)
        if message.header(b"ce-id") is None:
            headers, body = cloudevent.write(event)
        else:  # what came in binary mode goes on as it came
            headers = [p for p in message.headers if p[0][:3] == b"ce-" or p[0] == b"content-type"]
            body = message.body
        client = HttpClient(message.peer) if message.peer is not None else None
        if self.gate is None:
            held = dispatcher.take(asked, now, Content(headers, body), len(body), client=client)
            await dispatcher.settle(held)
            return self.answer(held)
        return await self._through(self.gate, asked, event, now, Content(headers, body), client)

    async def _through(
        self,
        gate: Gate,
        asked: Wanted,
        event: Event,
        now: int,
        content: Content,
        client: HttpClient | None,
    ) -> Reply:
        """A request by the gate: at once, after a wait, or not at all."""
        dispatcher = self.dispatcher
        ticket = self._arrive(gate, asked, event, now, len(content.body))
        if ticket.state is State.WAITS:
            await self._wait(gate, ticket)
        if ticket.state is State.BACK:
            dispatcher.counts["final", Final.TURNED_BACK.value] += 1
            return self._appoint(at_the_door(ticket.why, ticket.wait), event, ticket)
        end = End.OTHER
        try:
            held = dispatcher.take(asked, now, content, len(content.body), ticket.repeats, client=client)
            self._wake(gate.begun(ticket))
            await dispatcher.settle(held)
            end = end_of(held.final.value if held.final else "", held.task, held.why)
        finally:
            self._wake(gate.ended(ticket, end))
        if end is End.NO_ROOM:
            held.wait = max(held.wait, ticket.wait)
            return self._appoint(self.answer(held), event, ticket)
        return self.answer(held)

    def _arrive(self, gate: Gate, asked: Wanted, event: Event, now: int, size: int) -> Ticket:
        """Tells the gate of a request of `size` bytes that came at `now`, ns."""
        dispatcher = self.dispatcher
        limit = dispatcher.hard[asked.offering]
        return gate.arrive(
            asked.model,
            asked.offering,
            asked.customer or "",
            event.mark[0],
            hash(event.mark),
            asked.cost,
            size,
            now + dispatcher.offerings[asked.offering].latency_objective_ns,
            now + (limit if asked.left is None else min(asked.left, limit)) - dispatcher.margin,
            asked.again,
            (asked.lanes, asked.memory_mb),
            self._brought(event),
        )

    async def _wait(self, gate: Gate, ticket: Ticket) -> None:
        """Until the gate has decided on a request that waits there, or its time is over."""
        changed = self._changed[ticket] = anyio.Event()
        try:
            with anyio.move_on_after(max(0, ticket.until - self.dispatcher.clock()) / 1e9):
                await changed.wait()
            gate.expire(ticket)
        except anyio.get_cancelled_exc_class():
            # its client left: as it waited, or just as it was let in, and then the next is due
            self._wake(gate.ended(ticket, End.OTHER))
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
        told = token.take(self.secret, event.mark, text, wall // 1_000_000)
        if told is None:
            self.dispatcher.counts["appointment", "not ours"] += 1
            return None
        since, until = (time * 1_000_000 for time in told)
        early = max(0, given_at(since, until) - wall)
        if early > gate.GRACE:
            self.dispatcher.counts["appointment", "clocks differ"] += 1
            return None
        ahead = self.dispatcher.clock() - wall - early
        return since + ahead, until + ahead

    def _appoint(self, reply: Reply, event: Event, ticket: Ticket) -> Reply:
        if self.secret is not None and ticket.appointment is not None:
            behind = self._wall() - self.dispatcher.clock()
            since, until = ((t + behind) // 1_000_000 for t in ticket.appointment)
            text = token.give(self.secret, event.mark, since, until)
            reply.headers.append((b"martenlead-appointment", text.encode()))
        return reply

    def _wake(self, changed: list[Ticket]) -> None:
        for ticket in changed:
            self._changed[ticket].set()

    def _room(self, ticket: Ticket) -> Any:
        """The module's word on a task that stands at the door."""
        dispatcher = self.dispatcher
        known = dispatcher.known(ticket.model, *ticket.about)
        return dispatcher.border.room(
            known.model,
            dispatcher.offerings[ticket.offering],
            ticket.repeats,
            ticket.work if ticket.told else 0.0,
        )

    async def run(self) -> None:
        """Lets in who waits as room comes with time alone; what ends lets them in at once. Never returns."""
        while self.gate is not None:
            await anyio.sleep(0.01 if self.gate.waiting else 0.05)
            self._wake(self.gate.sweep())

    def drain(self) -> None:
        """Takes no connection more; who waits at the door is turned back now."""
        self.server.drain()
        if self.gate is not None:
            self._wake(self.gate.stop())

    def _full(self, model: str, size: int) -> str:
        """At a limit nothing was begun for the task, whatever its kind: it may come again."""
        limits, dispatcher = self.edge.limits, self.dispatcher
        if self.server.draining:
            return "the dispatcher stops"
        if len(dispatcher.held) >= limits.open_tasks:
            return f"{limits.open_tasks} tasks are held"
        if dispatcher.bytes + size > limits.held_bytes:
            return f"{limits.held_bytes} bytes are held"
        if model not in dispatcher.models and len(dispatcher.models) >= limits.known_models:
            return f"{limits.known_models} models are known"
        return ""

    def answer(self, held: Held) -> Reply:
        task = held.task
        if held.final is Final.SATISFIED and held.answer is not None:
            headers: Headers = [
                (name, value)
                for name, value in held.answer.headers
                if name.startswith(b"ce-") or name in PASSED_ON
            ]
            return Reply(200, headers, held.answer.body)
        results = [h.result for h in task.attempts] if task else []
        told: dict[str, Any] = {"hand_offs": len(results)}
        if held.final is Final.TURNED_BACK:
            over = task is not None and task.is_deferrable and not task.is_retry
            why = held.why or ("over the customer's share" if over else "no runner may take it now")
            return problem(
                429 if over else 503, "Turned back", why, wait_ns=held.wait, final="turned back", **told
            )
        late = any(r in (None, Result.NO_RESPONSE, Result.CANCELLED) for r in results)
        why = held.why or "no runner had an answer"
        return problem(504 if late else 502, "Scrapped", why, final="scrapped", **told)

    def crashed(self, error: BaseException) -> Reply:
        self.log.error("a fault of ours", exc_info=error)
        return problem(500, "A fault of ours", "the dispatcher failed on this task", final="scrapped")


def given_at(since: int, until: int) -> int:
    """When an appointment from `since` to `until` was given: its span is the early part of its wait and the
    grace."""
    wait = round((until - since - gate.GRACE) / gate.EARLY)
    return until - gate.GRACE - wait


def end_of(final: str, task: Request | None, why: str) -> End:
    """What became of a task that was let in, for the gate. What is over its customer's share is the
    module's to turn back, with its own wait, and no appointment of the door's."""
    if final == Final.SATISFIED.value:
        return End.SATISFIED
    if final == Final.TURNED_BACK.value and task is not None and not task.is_deferrable:
        # sent nowhere, or turned away wherever it was sent
        full = all(h.result is Result.AT_CAPACITY for h in task.attempts)
        return End.NO_ROOM if full and why in ("", "turned away") else End.OTHER
    return End.OTHER


def at_the_door(why: str, wait: int) -> Reply:
    """A turn-back that the module never heard of, and says so."""
    reply = problem(503, "Turned back", why, wait_ns=wait, final="turned back", hand_offs=0)
    reply.headers.append((b"martenlead-door", b"1"))
    return reply


def bad(status: int, detail: str) -> Reply:
    """What a message gets that could not be read; the connection ends behind it."""
    wait = 1_000_000_000 if status == 503 else None
    reply = problem(status, "Not a message that is taken", detail, wait_ns=wait)
    reply.close = True
    return reply


class NewLimits(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What `PUT /limits` takes; what is absent stays as it is."""

    waiting: Annotated[int, Meta(ge=1)] | None = None
    bytes: Annotated[int, Meta(ge=1)] | None = None
    weights: dict[str, Annotated[float, Meta(gt=0)]] = {}


class Admin:
    """GET /state for people, GET /metrics in the Prometheus text format, PUT /limits for the queues."""

    def __init__(self, dispatcher: Dispatcher, door: Door | None = None) -> None:
        self.door = door
        from prometheus_client import CollectorRegistry

        self.dispatcher = dispatcher
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self.server = Server(
            self.handle, ServerLimits(connections=16), bad=bad, crashed=lambda _: bad(500, "failed")
        )

    def collect(self) -> Any:
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        counted = CounterMetricFamily("martenlead", "What ended, by kind and name", labels=["kind", "name"])
        for (kind, name), n in sorted(self.dispatcher.counts.items()):
            counted.add_metric([kind, name], n)
        yield counted
        state = self.dispatcher.state()
        for name in ("held", "held_bytes", "models", "tick_ms", "worst_lag_ms", "closest_answer_ms"):
            yield GaugeMetricFamily(f"martenlead_{name}", name, value=state[name] or 0.0)

    async def handle(self, message: Message, _now: int) -> Reply:
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        if message.target == b"/state":
            state = msgspec.json.format(msgspec.json.encode(self.dispatcher.state()))
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
            told = msgspec.json.decode(body, type=NewLimits)
        except msgspec.DecodeError as error:
            return problem(400, "Not changed", str(error))
        unknown = sorted(told.weights.keys() - gate_.limits.weights.keys())
        if unknown:
            return problem(400, "Not changed", f"$.weights: no customer {unknown[0]!r}")
        old = gate_.limits
        new = gate.Limits(
            told.waiting or old.waiting, told.bytes or old.bytes, {**old.weights, **told.weights}
        )
        gate_.change(new)
        return Reply(200, [(b"content-type", b"application/json")], msgspec.json.encode(new))

"""Runners on sockets: hand-offs, orders, drains and faults. What they do with their copies is shelf.py."""

from __future__ import annotations

import hashlib
import re
from collections import deque
from collections.abc import Callable
from random import Random
from time import monotonic_ns
from typing import Any
from urllib.parse import quote, unquote

import anyio
import msgspec
from anyio.abc import TaskGroup

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.cloudevent import Event, InvalidEventError, decode_event, encode_event
from martenlead.events.http import Message
from martenlead.events.server import Reply, Server, listen
from martenlead.standins.life import epoch, for_seconds, on_cue, plain, ready, server
from martenlead.standins.record import Recorder
from martenlead.standins.settings import Fault, Host, OfferingPart, RunnerPart
from martenlead.standins.shelf import Copies, Place, Shelf

LOAD = re.compile(rb"/v2/repository/models/([^/]+)/(load|unload)\Z")
NEVER_RAN = (b"martenlead-never-ran", b"1")
LOAD_FAILURE = b"martenlead-load-failure"
LOAD_S = 30.0


class Marks:
    """What a group of runners knows of the deduplicated tasks that it has run: it drops repeats by their
    mark."""

    def __init__(self) -> None:
        self.seen: dict[tuple[str, str], tuple[int, anyio.Event]] = {}

    def find(self, mark: tuple[str, str], window: int) -> anyio.Event | None:
        found = self.seen.get(mark)
        return found[1] if found and monotonic_ns() - found[0] < window else None

    def begin(self, mark: tuple[str, str]) -> anyio.Event:
        done = anyio.Event()
        self.seen[mark] = monotonic_ns(), done
        return done


class Runner(Shelf):
    def __init__(self, part: RunnerPart, host: HostProcess) -> None:
        chance = Random(f"{host.settings.seed}:{part.name}")
        super().__init__(part, monotonic_ns, chance, lambda place: place.go.set(), self.fetch_begins)
        self.host, self.record = host, host.record
        self.life = 0
        self.changed: dict[Copies, anyio.Event] = {}  # who waits for the end of a load
        self.lost = self.garbage = self.twice = 0.0
        self.deaf = False
        self.reports: deque[tuple[int, str]] = deque(maxlen=10_000)  # the first is the one that is told
        self.report_delay = 0
        self.gate: anyio.Event | None = None  # set when a pause is over
        self.server: Server | None = None
        self.port = part.port

    # -- life

    async def serve(self) -> None:
        listener, self.port = await listen("127.0.0.1", self.port)
        self.server = server(self.handle, self.part.connections)
        await self.server.serve(listener)

    async def start(self) -> None:
        """A new life of the process: cold and empty."""
        self.life += 1
        self.lost = self.garbage = self.twice = 0.0
        self.empty(self.record("up", runner=self.part.name, life=self.life))
        self.host.group.start_soon(self.serve)
        self.host.group.start_soon(self.sweeps, self.life)

    def vanish(self) -> None:
        """The process dies: what it held is lost, connections break."""
        self.record("down", runner=self.part.name, life=self.life)
        self.life += 1
        if self.server is not None:
            self.server.abort()

    async def sweeps(self, life: int) -> None:
        while life == self.life:
            await anyio.sleep(0.25)
            self.sweep()

    # -- requests

    async def handle(self, message: Message, _now: int) -> Reply:
        if self.deaf:
            await anyio.sleep(3600)
        if self.gate is not None:
            await self.gate.wait()
        edge = (message.header(b"user-agent") or b"").decode().removeprefix("martenlead/")
        order = LOAD.match(message.target)
        if message.method == b"GET" and message.target == b"/v2/health/ready":
            return self.told(plain(200, "ready"))
        if order:
            return await self.ordered(edge, unquote(order[1].decode()), order[2] == b"load", message.body)
        if message.method != b"POST" or message.target != b"/":
            return plain(404)
        try:
            event = decode_event(message.headers, message.body)
        except InvalidEventError as error:
            return plain(400, str(error))
        return await self.task(edge, event)

    def told(self, reply: Reply, copy: bytes = b"") -> Reply:
        memory = self.used_mb()
        busy = min(1.0, self.running / self.part.cores)
        now = monotonic_ns()
        self.reports.append((now, f"busy={busy:.2f},x0={memory / self.part.memory_mb:.2f},x1={self.loads}"))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_delay:
            self.reports.popleft()
        reply.headers.append((b"martenlead-report", self.reports[0][1].encode()))
        if copy and self.part.tells_warm:
            reply.headers.append((b"martenlead-copy", copy))
        if self.draining:
            reply.headers.append((b"martenlead-state", b"draining"))
        return reply

    def never(
        self, status: int, why: str, about: dict[str, Any], copy: bytes = b"", failure: str = ""
    ) -> Reply:
        self.record("refused", why=why, **about)
        reply = plain(status, why)
        reply.headers.append(NEVER_RAN)
        if failure:
            reply.headers.append((LOAD_FAILURE, failure.encode()))
        return self.told(reply, copy)

    async def task(self, edge: str, event: Event) -> Reply:
        name = self.part.name
        about = {
            "runner": name,
            "edge": edge,
            "id": event.text("id"),
            "try": event.text("tryid") or event.text("id"),
            "offering": event.text("type"),
            "handoff": int(event.text("handoff") or 0),
            "way": self.host.way(),
        }
        self.record("came", model=event.text("model"), zone=self.part.zone, cell=self.part.cell, **about)
        offering = self.host.offerings.get(str(event.attributes["type"]))
        model = event.text("model")
        if offering is None or not model:
            return self.told(plain(400, "type, model"))
        about = {"way": about["way"]}
        try:
            reply = await self.run(event, offering, model, about)
            self.record("answered", **about)
            return reply
        except anyio.get_cancelled_exc_class():
            self.record("cut", **about)  # the edge has closed the connection
            raise

    async def run(self, event: Event, offering: OfferingPart, model: str, about: dict[str, Any]) -> Reply:
        if self.draining:
            return self.never(503, "draining", about)
        marks = self.host.marks(self.part, offering)
        if marks is not None:
            known = marks.find(event.identity, int(offering.window_ms * 1e6))
            if known is not None:
                await known.wait()
                self.record("repeat", **about)
                return self.answer(event, offering, b"warm")
        lanes = int(event.text("lanes") or offering.lanes)
        memory = float(event.text("memorymb") or offering.memory_mb)
        copies, copy, refused = self.enter(model, offering, memory, lanes)
        if copies is None:
            assert refused is not None
            return self.never(*refused, about)
        left = float(event.text("timeleftms") or offering.hard_limit_ms)
        place = Place(anyio.Event())
        self.wait(copies, place)
        try:
            with anyio.move_on_after(left / 1000) as scope:
                await place.go.wait()
        except anyio.get_cancelled_exc_class():
            if place.go.is_set():
                self.end(copies)
            elif self.part.drops_waiting:
                self.leave(copies, place)
            else:
                self.host.group.start_soon(self.alone, copies, place, event, offering, about)
            raise
        if scope.cancelled_caught and not place.go.is_set():
            self.leave(copies, place)
            return self.never(503, "its time was over before it could begin", about)
        if place.never:
            status = 503 if place.never == "no-room" else 404
            return self.never(status, "the load failed", about, b"load-failed", place.never)
        done = anyio.Event()
        self.host.group.start_soon(self.work, copies, event, offering, about, done)
        await done.wait()  # the work goes on if the edge leaves
        if self.gate is not None:
            await self.gate.wait()
        if self.chance.random() < self.lost:
            self.record("lost", **about)
            await anyio.sleep(3600)
        return self.answer(event, offering, copy)

    async def alone(
        self, copies: Copies, place: Place, event: Event, offering: OfferingPart, about: dict[str, Any]
    ) -> None:
        with anyio.move_on_after(60):
            await place.go.wait()
            if not place.never:
                await self.work(copies, event, offering, about, anyio.Event())

    async def work(
        self, copies: Copies, event: Event, offering: OfferingPart, about: dict[str, Any], done: anyio.Event
    ) -> None:
        marks = self.host.marks(self.part, offering)
        known = marks.begin(event.identity) if marks is not None else None
        life = self.life
        self.record("ran", id=event.text("id"), **about)
        asked = float(event.text("costms") or offering.work_ms)
        await anyio.sleep(self.lasts_ms(asked) / 1000)
        self.record("done", **about)
        if known is not None:
            known.set()
        if life == self.life:
            self.end(copies)
        done.set()

    def answer(self, event: Event, offering: OfferingPart, copy: bytes) -> Reply:
        result = Event(
            {
                "specversion": "1.0",
                "id": f"{event.text('id')}.answer",
                "source": f"/runners/{quote(self.part.name)}",
                "type": f"{offering.name}.answer",
            },
            b'{"payment":120}',
            "application/json",
        )
        for name in ("traceparent", "tracestate"):
            if name in event.attributes:
                result.attributes[name] = event.attributes[name]
        headers, body = encode_event(result)
        reply = self.told(Reply(200, headers, body), copy)
        if self.chance.random() < self.garbage:
            reply.headers.append((b"content-length", b"nonsense"))
        return reply

    # -- copies

    def fetch_begins(self, copies: Copies, ahead: int) -> None:
        self.host.group.start_soon(self.loaded, copies, self.life, ahead)

    async def loaded(self, copies: Copies, life: int, ahead: int) -> None:
        self.record("load", runner=self.part.name, model=copies.model)
        fetching, starting = self.load_ms(copies, ahead)
        begun = monotonic_ns()
        failure = await self.bring(copies.model, fetching)
        took = (monotonic_ns() - begun) / 1e6
        self.record("fetched", runner=self.part.name, model=copies.model, failure=failure, took_ms=took)
        if not failure:
            await anyio.sleep(starting / 1000)
        if life != self.life:
            return
        self.fetched(copies, failure)
        changed = self.changed.pop(copies, None)
        if changed is not None:
            changed.set()

    async def bring(self, model: str, ms: float) -> str:
        """Brings a model to the box; "" or the name of what failed."""
        if self.part.agent is not None:
            return await self.through_agent(model)
        if self.host.depot is not None:
            with anyio.move_on_after(LOAD_S):
                return await self.whole(self.host.depot, model)
            return "late"
        vault = self.host.vault
        if vault is None:
            await anyio.sleep(ms / 1000)
            return ""
        target = f"/models/{quote(model, safe='')}?ms={ms:.0f}".encode()
        with anyio.move_on_after(LOAD_S):
            exchange = await vault.exchange(http.request(b"GET", target, b"vault", []))
            if exchange.message is not None and exchange.message.status == 200:
                return ""
        return "vault-away"

    async def through_agent(self, model: str) -> str:
        pool = self.host.agent(self.part)
        body = msgspec.json.encode({"ref": model, "within_ms": LOAD_S * 1000 - 1000})
        with anyio.move_on_after(LOAD_S):
            exchange = await pool.exchange(http.request(b"POST", b"/load", b"agent", [], body))
            message = exchange.message
            if message is None:
                return "agent-away"
            if message.status == 200:
                return ""
            try:
                told = msgspec.json.decode(message.body)
                return str(told.get("failure") or "agent-away")
            except (msgspec.DecodeError, AttributeError):
                return "agent-away"
        return "late"

    async def whole(self, depot: Pool, model: str) -> str:
        """The baseline: a model in one piece from the vault, checked, and asked for again as the vault
        asks."""

        async def get(path: str) -> bytes | str:
            for attempt in range(5):
                request = http.request(b"GET", f"/v2/models/{path}".encode(), b"vault", [])
                exchange = await depot.exchange(request)
                message = exchange.message
                if message is not None and message.status == 200:
                    digest = path.partition("sha256:")[2]
                    if not digest or hashlib.sha256(message.body).hexdigest() == digest:
                        return message.body
                elif message is not None and message.status == 404:
                    return "missing"
                wait = float(message.header(b"retry-after") or 0) if message else 0.0
                await anyio.sleep((wait or 0.2 * 2**attempt) * self.chance.uniform(0.5, 1.5))
            return "vault-away"

        manifest = await get(f"manifests/{quote(model, safe='')}.whole")
        if isinstance(manifest, str):
            return manifest
        for layer in msgspec.json.decode(manifest)["layers"]:
            listed = await get(f"blobs/{layer['digest']}")
            if isinstance(listed, str):
                return listed
            for chunk in msgspec.json.decode(listed)["chunks"]:
                piece = await get(f"blobs/{chunk[0]}")
                if isinstance(piece, str):
                    return piece
        return ""

    async def ordered(self, edge: str, model: str, load: bool, body: bytes) -> Reply:
        try:
            asked = msgspec.json.decode(body or b"{}", type=dict[str, Any]).get("parameters", {})
            count = min(int(asked.get("copies", 1)), 16)
            memory, lanes = float(asked.get("memory_mb", 0)), int(asked.get("lanes", 1))
        except (msgspec.DecodeError, ValueError, AttributeError, TypeError):
            return plain(400, "parameters")
        self.record(
            "order" if load else "unload", runner=self.part.name, edge=edge, model=model, copies=count
        )
        if not load:
            self.unload(model)
            return self.told(plain(200))
        copies = self.copies.get(model)
        if not count:
            return self.stand(200, copies)
        if self.draining:
            return self.stand(503, copies)
        if copies is None:
            copies = self.known(model, self.host.offering_of(model), memory, lanes)
        copies.touched = monotonic_ns()
        failed, life = copies.failed, self.life
        while copies.standing + copies.loading < count:
            if not self.load(copies):
                return self.stand(503, copies)
        with anyio.move_on_after(30):
            while copies.standing < count and copies.failed == failed and life == self.life:
                await self.changed.setdefault(copies, anyio.Event()).wait()
        if copies.standing >= count:
            return self.stand(200, copies)
        failure = copies.why if copies.failed != failed else ""
        return self.stand(503 if failure == "no-room" else 500, copies, failure)

    def stand(self, status: int, copies: Copies | None, failure: str = "") -> Reply:
        body = msgspec.json.encode({"copies": copies.standing if copies else 0})
        headers = [(b"content-type", b"application/json")]
        if failure:
            headers.append((LOAD_FAILURE, failure.encode()))
        return self.told(Reply(status, headers, body))

    # -- faults

    async def play(self, fault: Fault) -> None:
        self.record("fault", runner=self.part.name, kind=fault.kind, for_ms=fault.for_ms)
        match fault.kind:
            case "slow":
                self.slow = fault.size
                await anyio.sleep(fault.for_ms / 1000)
                self.slow = 1.0
            case "ageing":
                steps = 20
                for step in range(steps):
                    self.slow = 1 + (fault.size - 1) * step / steps
                    await anyio.sleep(fault.for_ms / 1000 / steps)
                self.vanish()
            case "pause":
                gate = self.gate = anyio.Event()
                await anyio.sleep(fault.for_ms / 1000)
                gate.set()
                self.gate = None
            case "drain":
                self.draining = True
            case "report_late":
                self.report_delay = int(fault.size * 1e9)
                await anyio.sleep(fault.for_ms / 1000)
                self.report_delay = 0
            case "vanish":
                self.vanish()
            case "start":
                await self.start()
            case "release":
                self.release(fault.models)
            case "answer_lost" | "garbage":
                attribute = "lost" if fault.kind == "answer_lost" else "garbage"
                setattr(self, attribute, fault.size)
                await anyio.sleep(fault.for_ms / 1000)
                setattr(self, attribute, 0.0)
            case "deaf":
                self.deaf = True
                await anyio.sleep(fault.for_ms / 1000)
                self.deaf = False


class HostProcess:
    """Some runners in one process. Groups that drop repeats share their knowledge within it."""

    def __init__(self, settings: Host) -> None:
        self.settings = settings
        self.record = Recorder(settings.record)
        self.offerings = {o.name: o for o in settings.offerings}
        self.vault = (
            Pool(settings.vault.host, settings.vault.port, connection_limit=4096) if settings.vault else None
        )
        limits = http.MessageLimits(body_bytes=1 << 28)
        depot = settings.depot
        self.depot = Pool(depot.host, depot.port, connection_limit=4096, limits=limits) if depot else None
        self._agents: dict[str, Pool] = {}
        self.runners = {part.name: Runner(part, self) for part in settings.runners}
        self._marks: dict[Any, Marks] = {}
        self._ways = 0
        self.group: TaskGroup

    def agent(self, part: RunnerPart) -> Pool:
        """The agent on a runner's box."""
        assert part.agent is not None
        if part.name not in self._agents:
            self._agents[part.name] = Pool(part.agent.host, part.agent.port, connection_limit=256)
        return self._agents[part.name]

    def way(self) -> str:
        """A name for one arrival of one hand-off."""
        self._ways += 1
        return f"{self.settings.runners[0].name}/{self._ways}"

    def marks(self, part: RunnerPart, offering: OfferingPart) -> Marks | None:
        if offering.effect != "deduplicated":
            return None
        where = {"all": (), "zone": (part.zone,), "cell": (part.zone, part.cell)}[offering.group]
        return self._marks.setdefault((offering.name, where), Marks())

    def offering_of(self, model: str) -> OfferingPart:
        """Models are named OFFERING.NUMBER; one that is not is taken for the first offering's."""
        return self.offerings.get(model.rpartition(".")[0]) or self.settings.offerings[0]

    async def play(self, fault: Fault) -> None:
        await self.runners[fault.who].play(fault)

    async def run(self, then: Callable[[], None] | None = None) -> None:
        async with anyio.create_task_group() as group:
            self.group = group
            for runner in self.runners.values():
                listener, runner.port = await listen("127.0.0.1", runner.part.port)
                runner.server = server(runner.handle, runner.part.connections)
                group.start_soon(runner.server.serve, listener)
                group.start_soon(runner.sweeps, runner.life)
            ready(ports={name: runner.port for name, runner in self.runners.items()})
            if then:
                then()
            await on_cue(await epoch(self.settings.epoch_ns), self.settings.faults, self.play)


async def run(settings: Host) -> None:
    await for_seconds(settings.seconds, HostProcess(settings).run)

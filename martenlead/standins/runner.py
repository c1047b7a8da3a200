"""Workers on sockets: requests, load requests, drains and faults. Their replicas are in shelf.py."""

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
from martenlead.standins.life import (
    announce_ready,
    make_server,
    run_faults,
    run_for,
    text_reply,
    wait_for_epoch,
)
from martenlead.standins.record import RecordWriter
from martenlead.standins.settings import Fault, RequestClassSettings, WorkerHostSettings, WorkerSettings
from martenlead.standins.shelf import FunctionReplicas, ReplicaCache, WaitingRequest

LOAD_PATH_PATTERN = re.compile(rb"/v2/repository/models/([^/]+)/(load|unload)\Z")
NEVER_RAN_HEADER = (b"martenlead-never-ran", b"1")
LOAD_FAILURE_HEADER = b"martenlead-load-failure"
LOAD_TIMEOUT_S = 30.0
CONFLICTING_FIELDS = [(b"expect", b"nonsense")] * 2  # makes a response that no edge accepts


class DeduplicationTable:
    """The deduplicated requests that a group of workers has run; repeats are recognized by their identity."""

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], tuple[int, anyio.Event]] = {}

    def find(self, identity: tuple[str, str], window_ns: int) -> anyio.Event | None:
        """The completion event of a request that began within the window."""
        found = self.entries.get(identity)
        return found[1] if found and monotonic_ns() - found[0] < window_ns else None

    def begin(self, identity: tuple[str, str]) -> anyio.Event:
        """Enters a request that begins now, and returns the event that its end has to set."""
        done = anyio.Event()
        self.entries[identity] = monotonic_ns(), done
        return done


class ScriptedWorker(ReplicaCache):
    """One worker: serves requests of edges and applies faults."""

    def __init__(self, settings: WorkerSettings, host: WorkerHost) -> None:
        random = Random(f"{host.settings.seed}:{settings.name}")
        super().__init__(
            settings, monotonic_ns, random, lambda waiting: waiting.wakeup.set(), self.begin_load
        )
        self.host, self.write_record = host, host.write_record
        self.incarnation = 0
        self.load_ended: dict[FunctionReplicas, anyio.Event] = {}  # set at the end of a load
        self.lost_share = self.garbage_share = 0.0
        self.is_unresponsive = False
        self.reports: deque[tuple[int, str]] = deque(maxlen=10_000)  # the first one is sent
        self.report_delay_ns = 0
        self.pause_ended: anyio.Event | None = None  # set when a pause is over
        self.server: Server | None = None
        self.port = settings.port

    # -- start and end

    async def serve(self) -> None:
        """Serves the worker's port in a new incarnation."""
        listener, self.port = await listen("127.0.0.1", self.port)
        self.server = make_server(self.handle, self.settings.connections)
        await self.server.serve(listener)

    async def start(self) -> None:
        """Starts a new incarnation: cold and empty."""
        self.incarnation += 1
        self.lost_share = self.garbage_share = 0.0
        self.reset(self.write_record("up", runner=self.settings.name, life=self.incarnation))
        self.host.group.start_soon(self.serve)
        self.host.group.start_soon(self.unload_idle_loop, self.incarnation)

    def crash(self) -> None:
        """Ends the incarnation: its state is lost and its connections break."""
        self.write_record("down", runner=self.settings.name, life=self.incarnation)
        self.incarnation += 1
        if self.server is not None:
            self.server.abort()

    async def unload_idle_loop(self, incarnation: int) -> None:
        """Unloads idle functions for as long as the incarnation lasts."""
        while incarnation == self.incarnation:
            await anyio.sleep(0.25)
            self.unload_idle()

    # -- requests

    async def handle(self, message: Message, _now: int) -> Reply:
        """Answers any request at the worker's port."""
        if self.is_unresponsive:
            await anyio.sleep(3600)
        if self.pause_ended is not None:
            await self.pause_ended.wait()
        edge = (message.header(b"user-agent") or b"").decode().removeprefix("martenlead/")
        load_request = LOAD_PATH_PATTERN.match(message.target)
        if message.method == b"GET" and message.target == b"/v2/health/ready":
            return self.add_report(text_reply(200, "ready"))
        if load_request:
            return await self.handle_load_request(
                edge, unquote(load_request[1].decode()), load_request[2] == b"load", message.body
            )
        if message.method != b"POST" or message.target != b"/":
            return text_reply(404)
        try:
            event = decode_event(message.headers, message.body)
        except InvalidEventError as error:
            return text_reply(400, str(error))
        return await self.handle_request(edge, event)

    def add_report(self, reply: Reply, warmth: bytes = b"") -> Reply:
        """Adds the headers with the load report, the replica's state and the draining state."""
        memory = self.used_mb()
        busy = min(1.0, self.running_count / self.settings.cores)
        now = monotonic_ns()
        self.reports.append(
            (now, f"busy={busy:.2f},x0={memory / self.settings.memory_mb:.2f},x1={self.active_loads}")
        )
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.report_delay_ns:
            self.reports.popleft()
        reply.headers.append((b"martenlead-report", self.reports[0][1].encode()))
        if warmth and self.settings.tells_warm:
            reply.headers.append((b"martenlead-copy", warmth))
        if self.is_draining:
            reply.headers.append((b"martenlead-state", b"draining"))
        return reply

    def reject(
        self, status: int, why: str, fields: dict[str, Any], warmth: bytes = b"", failure: str = ""
    ) -> Reply:
        """A reply that says that the request has not run."""
        self.write_record("refused", why=why, **fields)
        reply = text_reply(status, why)
        reply.headers.append(NEVER_RAN_HEADER)
        if failure:
            reply.headers.append((LOAD_FAILURE_HEADER, failure.encode()))
        return self.add_report(reply, warmth)

    async def handle_request(self, edge: str, event: Event) -> Reply:
        """Runs a request and records its course."""
        name = self.settings.name
        fields = {
            "runner": name,
            "edge": edge,
            "id": event.text("id"),
            "try": event.text("tryid") or event.text("id"),
            "offering": event.text("type"),
            "handoff": int(event.text("handoff") or 0),
            "way": self.host.next_attempt_id(),
        }
        self.write_record(
            "came",
            model=event.text("model"),
            zone=self.settings.zone,
            cell=self.settings.cell,
            **fields,
        )
        request_class = self.host.request_classes.get(str(event.attributes["type"]))
        function = event.text("model")
        if request_class is None or not function:
            return self.add_report(text_reply(400, "type, model"))
        fields = {"way": fields["way"]}
        try:
            reply = await self.run_request(event, request_class, function, fields)
            self.write_record("answered", **fields)
            return reply
        except anyio.get_cancelled_exc_class():
            self.write_record("cut", **fields)  # the edge has closed the connection
            raise

    async def run_request(
        self,
        event: Event,
        request_class: RequestClassSettings,
        function: str,
        fields: dict[str, Any],
    ) -> Reply:
        """Waits for a lane, runs the request, and returns the reply."""
        if self.is_draining:
            return self.reject(503, "draining", fields)
        deduplication = self.host.deduplication_for(self.settings, request_class)
        if deduplication is not None:
            completion = deduplication.find(event.identity, int(request_class.window_ms * 1e6))
            if completion is not None:
                await completion.wait()
                self.write_record("repeat", **fields)
                return self.success_reply(event, request_class, b"warm")
        lanes = int(event.text("lanes") or request_class.lanes)
        memory_mb = float(event.text("memorymb") or request_class.memory_mb)
        replicas, warmth, refused = self.admit(function, request_class, memory_mb, lanes)
        if replicas is None:
            assert refused is not None
            return self.reject(*refused, fields)
        left_ms = float(event.text("timeleftms") or request_class.hard_limit_ms)
        waiting = WaitingRequest(anyio.Event())
        self.enqueue(replicas, waiting)
        try:
            with anyio.move_on_after(left_ms / 1000) as scope:
                await waiting.wakeup.wait()
        except anyio.get_cancelled_exc_class():
            if waiting.wakeup.is_set():
                self.finish(replicas)
            elif self.settings.drops_waiting:
                self.dequeue(replicas, waiting)
            else:
                self.host.group.start_soon(
                    self.run_abandoned, replicas, waiting, event, request_class, fields
                )
            raise
        if scope.cancelled_caught and not waiting.wakeup.is_set():
            self.dequeue(replicas, waiting)
            return self.reject(503, "its time was over before it could begin", fields)
        if waiting.load_failure:
            status = 503 if waiting.load_failure == "no-room" else 404
            return self.reject(status, "the load failed", fields, b"load-failed", waiting.load_failure)
        done = anyio.Event()
        self.host.group.start_soon(self.execute, replicas, event, request_class, fields, done)
        await done.wait()  # the work goes on if the edge leaves
        if self.pause_ended is not None:
            await self.pause_ended.wait()
        if self.random.random() < self.lost_share:
            self.write_record("lost", **fields)
            await anyio.sleep(3600)
        return self.success_reply(event, request_class, warmth)

    async def run_abandoned(
        self,
        replicas: FunctionReplicas,
        waiting: WaitingRequest,
        event: Event,
        request_class: RequestClassSettings,
        fields: dict[str, Any],
    ) -> None:
        """Runs a request whose edge left while it waited, in a worker that doesn't notice that."""
        with anyio.move_on_after(60):
            await waiting.wakeup.wait()
            if not waiting.load_failure:
                await self.execute(replicas, event, request_class, fields, anyio.Event())

    async def execute(
        self,
        replicas: FunctionReplicas,
        event: Event,
        request_class: RequestClassSettings,
        fields: dict[str, Any],
        done: anyio.Event,
    ) -> None:
        """Takes the time of the request's work, and frees its lane."""
        deduplication = self.host.deduplication_for(self.settings, request_class)
        completion = deduplication.begin(event.identity) if deduplication is not None else None
        incarnation = self.incarnation
        self.write_record("ran", id=event.text("id"), **fields)
        work_ms = float(event.text("costms") or request_class.work_ms)
        await anyio.sleep(self.work_duration_ms(work_ms) / 1000)
        self.write_record("done", **fields)
        if completion is not None:
            completion.set()
        if incarnation == self.incarnation:
            self.finish(replicas)
        done.set()

    def success_reply(self, event: Event, request_class: RequestClassSettings, warmth: bytes) -> Reply:
        """The reply to a request that has run."""
        result = Event(
            {
                "specversion": "1.0",
                "id": f"{event.text('id')}.answer",
                "source": f"/runners/{quote(self.settings.name)}",
                "type": f"{request_class.name}.answer",
            },
            b'{"payment":120}',
            "application/json",
        )
        for name in ("traceparent", "tracestate"):
            if name in event.attributes:
                result.attributes[name] = event.attributes[name]
        headers, body = encode_event(result)
        reply = self.add_report(Reply(200, headers, body), warmth)
        if self.random.random() < self.garbage_share:
            reply.headers += CONFLICTING_FIELDS
        return reply

    # -- replicas

    def begin_load(self, replicas: FunctionReplicas, position: int) -> None:
        """Starts a load in a task of its own."""
        self.host.group.start_soon(self.load_replica, replicas, self.incarnation, position)

    async def load_replica(self, replicas: FunctionReplicas, incarnation: int, position: int) -> None:
        """Fetches a function and starts its replica, unless the incarnation ends meanwhile."""
        self.write_record("load", runner=self.settings.name, model=replicas.function)
        fetch_ms, start_ms = self.load_ms(replicas, position)
        started_at = monotonic_ns()
        failure = await self.fetch_function(replicas.function, fetch_ms)
        took_ms = (monotonic_ns() - started_at) / 1e6
        self.write_record(
            "fetched", runner=self.settings.name, model=replicas.function, failure=failure, took_ms=took_ms
        )
        if not failure:
            await anyio.sleep(start_ms / 1000)
        if incarnation != self.incarnation:
            return
        self.finish_load(replicas, failure)
        ended = self.load_ended.pop(replicas, None)
        if ended is not None:
            ended.set()

    async def fetch_function(self, function: str, fetch_ms: float) -> str:
        """Fetches a function to the worker's machine; returns "" or the name of the failure."""
        if self.settings.agent is not None:
            return await self.fetch_through_agent(function)
        if self.host.artifact_store is not None:
            with anyio.move_on_after(LOAD_TIMEOUT_S):
                return await self.fetch_whole(self.host.artifact_store, function)
            return "late"
        timed_store = self.host.timed_store
        if timed_store is None:
            await anyio.sleep(fetch_ms / 1000)
            return ""
        target = f"/models/{quote(function, safe='')}?ms={fetch_ms:.0f}".encode()
        with anyio.move_on_after(LOAD_TIMEOUT_S):
            exchange = await timed_store.exchange(http.request(b"GET", target, b"vault", []))
            if exchange.message is not None and exchange.message.status == 200:
                return ""
        return "vault-away"

    async def fetch_through_agent(self, function: str) -> str:
        """Fetches a function through the machine's agent; returns "" or the name of the failure."""
        pool = self.host.agent_pool(self.settings)
        body = msgspec.json.encode({"ref": function, "within_ms": LOAD_TIMEOUT_S * 1000 - 1000})
        with anyio.move_on_after(LOAD_TIMEOUT_S):
            exchange = await pool.exchange(http.request(b"POST", b"/load", b"agent", [], body))
            message = exchange.message
            if message is None:
                return "agent-away"
            if message.status == 200:
                return ""
            try:
                failed_load = msgspec.json.decode(message.body)
                return str(failed_load.get("failure") or "agent-away")
            except (msgspec.DecodeError, AttributeError):
                return "agent-away"
        return "late"

    async def fetch_whole(self, store: Pool, function: str) -> str:
        """The baseline without agents: fetches all of a function from the store, verifies it, and retries as
        the store says.
        """

        async def get(path: str) -> bytes | str:
            """Fetches a manifest or blob; returns its bytes, or the name of the failure."""
            for attempt in range(5):
                request = http.request(b"GET", f"/v2/models/{path}".encode(), b"vault", [])
                exchange = await store.exchange(request)
                message = exchange.message
                if message is not None and message.status == 200:
                    digest = path.partition("sha256:")[2]
                    if not digest or hashlib.sha256(message.body).hexdigest() == digest:
                        return message.body
                elif message is not None and message.status == 404:
                    return "missing"
                wait = float(message.header(b"retry-after") or 0) if message else 0.0
                await anyio.sleep((wait or 0.2 * 2**attempt) * self.random.uniform(0.5, 1.5))
            return "vault-away"

        manifest = await get(f"manifests/{quote(function, safe='')}.whole")
        if isinstance(manifest, str):
            return manifest
        for layer in msgspec.json.decode(manifest)["layers"]:
            chunk_list = await get(f"blobs/{layer['digest']}")
            if isinstance(chunk_list, str):
                return chunk_list
            for chunk in msgspec.json.decode(chunk_list)["chunks"]:
                piece = await get(f"blobs/{chunk[0]}")
                if isinstance(piece, str):
                    return piece
        return ""

    async def handle_load_request(self, edge: str, function: str, load: bool, body: bytes) -> Reply:
        """Answers a request to load replicas, to unload a function, or (for 0 copies) to count them."""
        try:
            parameters = msgspec.json.decode(body or b"{}", type=dict[str, Any]).get("parameters", {})
            count = min(int(parameters.get("copies", 1)), 16)
            memory_mb, lanes = float(parameters.get("memory_mb", 0)), int(parameters.get("lanes", 1))
        except (msgspec.DecodeError, ValueError, AttributeError, TypeError):
            return text_reply(400, "parameters")
        self.write_record(
            "order" if load else "unload", runner=self.settings.name, edge=edge, model=function, copies=count
        )
        if not load:
            self.unload(function)
            return self.add_report(text_reply(200))
        replicas = self.replicas.get(function)
        if not count:
            return self.replica_reply(200, replicas)
        if self.is_draining:
            return self.replica_reply(503, replicas)
        if replicas is None:
            replicas = self.replicas_of(function, self.host.request_class_of(function), memory_mb, lanes)
        replicas.last_used_ns = monotonic_ns()
        failed_before, incarnation = replicas.failed_loads, self.incarnation
        while replicas.ready + replicas.loading < count:
            if not self.start_load(replicas):
                return self.replica_reply(503, replicas)
        with anyio.move_on_after(30):
            while (
                replicas.ready < count
                and replicas.failed_loads == failed_before
                and incarnation == self.incarnation
            ):
                await self.load_ended.setdefault(replicas, anyio.Event()).wait()
        if replicas.ready >= count:
            return self.replica_reply(200, replicas)
        failure = replicas.last_failure if replicas.failed_loads != failed_before else ""
        return self.replica_reply(503 if failure == "no-room" else 500, replicas, failure)

    def replica_reply(self, status: int, replicas: FunctionReplicas | None, failure: str = "") -> Reply:
        """A reply that tells the number of ready replicas."""
        body = msgspec.json.encode({"copies": replicas.ready if replicas else 0})
        headers = [(b"content-type", b"application/json")]
        if failure:
            headers.append((LOAD_FAILURE_HEADER, failure.encode()))
        return self.add_report(Reply(status, headers, body))

    # -- faults

    async def apply_fault(self, fault: Fault) -> None:
        """Applies a fault for its duration."""
        self.write_record("fault", runner=self.settings.name, kind=fault.kind, for_ms=fault.for_ms)
        match fault.kind:
            case "slow":
                self.slow_factor = fault.size
                await anyio.sleep(fault.for_ms / 1000)
                self.slow_factor = 1.0
            case "ageing":
                steps = 20
                for step in range(steps):
                    self.slow_factor = 1 + (fault.size - 1) * step / steps
                    await anyio.sleep(fault.for_ms / 1000 / steps)
                self.crash()
            case "pause":
                pause_ended = self.pause_ended = anyio.Event()
                await anyio.sleep(fault.for_ms / 1000)
                pause_ended.set()
                self.pause_ended = None
            case "drain":
                self.is_draining = True
            case "report_late":
                self.report_delay_ns = int(fault.size * 1e9)
                await anyio.sleep(fault.for_ms / 1000)
                self.report_delay_ns = 0
            case "vanish":
                self.crash()
            case "start":
                await self.start()
            case "release":
                self.invalidate(fault.models)
            case "answer_lost" | "garbage":
                attribute = "lost_share" if fault.kind == "answer_lost" else "garbage_share"
                setattr(self, attribute, fault.size)
                await anyio.sleep(fault.for_ms / 1000)
                setattr(self, attribute, 0.0)
            case "deaf":
                self.is_unresponsive = True
                await anyio.sleep(fault.for_ms / 1000)
                self.is_unresponsive = False


class WorkerHost:
    """Some workers in one process. Groups that drop repeats share their knowledge within it."""

    def __init__(self, settings: WorkerHostSettings) -> None:
        self.settings = settings
        self.write_record = RecordWriter(settings.record)
        self.request_classes = {o.name: o for o in settings.offerings}
        self.timed_store = (
            Pool(settings.vault.host, settings.vault.port, connection_limit=4096) if settings.vault else None
        )
        limits = http.MessageLimits(body_bytes=1 << 28)
        store = settings.depot
        self.artifact_store = (
            Pool(store.host, store.port, connection_limit=4096, limits=limits) if store else None
        )
        self._agents: dict[str, Pool] = {}
        self.workers = {part.name: ScriptedWorker(part, self) for part in settings.runners}
        self._deduplication: dict[Any, DeduplicationTable] = {}
        self._attempt_count = 0
        self.group: TaskGroup

    def agent_pool(self, settings: WorkerSettings) -> Pool:
        """Connections to the agent on a worker's machine."""
        assert settings.agent is not None
        if settings.name not in self._agents:
            self._agents[settings.name] = Pool(settings.agent.host, settings.agent.port, connection_limit=256)
        return self._agents[settings.name]

    def next_attempt_id(self) -> str:
        """A name for one arrival of one attempt."""
        self._attempt_count += 1
        return f"{self.settings.runners[0].name}/{self._attempt_count}"

    def deduplication_for(
        self, settings: WorkerSettings, request_class: RequestClassSettings
    ) -> DeduplicationTable | None:
        """What a worker's group has run of a request class; None for a class that is not deduplicated."""
        if request_class.effect != "deduplicated":
            return None
        scope = {"all": (), "zone": (settings.zone,), "cell": (settings.zone, settings.cell)}[
            request_class.group
        ]
        return self._deduplication.setdefault((request_class.name, scope), DeduplicationTable())

    def request_class_of(self, function: str) -> RequestClassSettings:
        """Functions are named CLASS.NUMBER; any other name counts as one of the first class."""
        return self.request_classes.get(function.rpartition(".")[0]) or self.settings.offerings[0]

    async def apply_fault(self, fault: Fault) -> None:
        """Applies a fault to its worker."""
        await self.workers[fault.who].apply_fault(fault)

    async def run(self, when_ready: Callable[[], None] | None = None) -> None:
        """Serves all workers and applies the faults; calls `when_ready` when they listen."""
        async with anyio.create_task_group() as group:
            self.group = group
            for worker in self.workers.values():
                listener, worker.port = await listen("127.0.0.1", worker.settings.port)
                worker.server = make_server(worker.handle, worker.settings.connections)
                group.start_soon(worker.server.serve, listener)
                group.start_soon(worker.unload_idle_loop, worker.incarnation)
            announce_ready(ports={name: worker.port for name, worker in self.workers.items()})
            if when_ready:
                when_ready()
            await run_faults(
                await wait_for_epoch(self.settings.epoch_ns), self.settings.faults, self.apply_fault
            )


async def run(settings: WorkerHostSettings) -> None:
    """Runs the workers' process; `martenlead standin runner`."""
    await run_for(settings.seconds, WorkerHost(settings).run)

"""An edge on the loopback address in this process, with scripted discovery and scripted workers."""

from __future__ import annotations

import json
import struct
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from http import HTTPStatus
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from martenlead.config.edge import EdgeSettings, check_edge_settings
from martenlead.config.load import decode
from martenlead.edge import http_dispatcher
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.http_dispatcher import create_dispatcher
from martenlead.edge.listener import EventListener
from martenlead.edge.policy_boundary import Recorder
from martenlead.events import http
from martenlead.events.client import Exchange, Pool
from martenlead.events.cloudevent import AttributeValue, Event, encode_event
from martenlead.events.http import InvalidMessageError, Message, MessageLimits, Reader
from martenlead.events.server import Reply, Server, ServerLimits, listen

Behaviour = Callable[["ScriptedWorker", SocketStream, Message], Awaitable[None]]
"""How a scripted worker handles one message that it read from a connection."""
LISTENER_CLOSED_ERRORS = (anyio.ClosedResourceError, ExceptionGroup)
"""What serving raises once its listener has been closed."""
REQUEST_CLASSES = [
    {"name": "estimate", "soft_limit_ms": 500, "hard_limit_ms": 2000, "effect": "idempotent"},
    {
        "name": "post",
        "soft_limit_ms": 500,
        "hard_limit_ms": 2000,
        "effect": "deduplicated",
        "group": "zone",
        "window_ms": 5000,
    },
    {"name": "notice", "soft_limit_ms": 500, "hard_limit_ms": 2000, "effect": "unrepeatable"},
]


async def respond_ok(_worker: ScriptedWorker, stream: SocketStream, _message: Message) -> None:
    """The behaviour that answers 200 with an event, from a replica that was loaded."""
    event = Event({"specversion": "1.0", "id": "r", "source": "/r", "type": "t"}, b"{}", "application/json")
    headers, body = encode_event(event)
    await stream.send(http.response(200, [*headers, (b"martenlead-copy", b"warm")], body))


def respond_with(status: int, *headers: tuple[bytes, bytes], body: bytes = b"") -> Behaviour:
    """Returns a behaviour that answers with this status."""

    async def behaviour(_worker: ScriptedWorker, stream: SocketStream, _message: Message) -> None:
        await stream.send(http.response(status, headers, body))

    return behaviour


def after_delay(delay_ms: float, behaviour: Behaviour) -> Behaviour:
    """Returns a behaviour that waits before it runs the given one."""

    async def delayed(worker: ScriptedWorker, stream: SocketStream, message: Message) -> None:
        await anyio.sleep(delay_ms / 1000)
        await behaviour(worker, stream, message)

    return delayed


def send_bytes(data: bytes, *, end: bool = False) -> Behaviour:
    """Returns a behaviour that writes `data`, and closes the connection if `end` is set."""

    async def behaviour(_worker: ScriptedWorker, stream: SocketStream, _message: Message) -> None:
        if data:
            await stream.send(data)
        if end:
            await stream.aclose()

    return behaviour


reject_at_capacity = respond_with(503, (b"martenlead-never-ran", b"1"))
reject_not_found = respond_with(404, (b"martenlead-never-ran", b"1"))
reject_draining = respond_with(503, (b"martenlead-never-ran", b"1"), (b"martenlead-state", b"draining"))
respond_error = respond_with(500)
close_connection = send_bytes(b"", end=True)
silent = send_bytes(b"")


async def until(condition: Callable[[], object], within: float = 20) -> None:
    """Waits until the condition is true, however slow the machine is; fails after `within` seconds."""
    with anyio.fail_after(within):
        while not condition():
            await anyio.sleep(0.002)


class ScriptedWorker:
    """A worker that runs one behaviour for each attempt, in their order, and the last one for all further
    attempts. It answers each load request at once, with one replica, unless `load_behaviour` is replaced."""

    def __init__(self, rig: EdgeRig, name: str, behaviours: list[Behaviour], zone: str) -> None:
        self.rig, self.name, self.behaviours, self.zone = rig, name, behaviours, zone
        self.port = 0
        self.listener: Any = None
        self.load_behaviour: Behaviour = respond_with(200, body=b'{"copies": 1}')
        self.connection_count = 0
        self.resets_connections = False  # whether each connection is reset as soon as it is accepted

    async def serve(self) -> None:
        """Accepts connections until the listener is closed."""
        self.listener, self.port = await listen("127.0.0.1", self.port)
        with suppress(*LISTENER_CLOSED_ERRORS):
            await self.listener.serve(self.serve_connection)

    async def serve_connection(self, stream: SocketStream) -> None:
        """Handles the messages of one connection, one after the other."""
        self.connection_count += 1
        if self.resets_connections:
            stream.extra(SocketAttribute.raw_socket).setsockopt(
                SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0)
            )
            await anyio.aclose_forcefully(stream)
            return
        reader = Reader(MessageLimits(), requests=True)
        async with stream:
            try:
                while True:
                    for message in reader.feed(await stream.receive()):
                        await self.handle_message(stream, message)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                InvalidMessageError,
            ):
                return

    async def handle_message(self, stream: SocketStream, message: Message) -> None:
        """Records a message, and runs the behaviour for it. All targets but `/` count as load requests."""
        now = anyio.current_time()
        if message.target != b"/":
            self.rig.load_requests.append((now, self.name, message.target.decode()))
            await self.load_behaviour(self, stream, message)
            return
        request_id = (message.header(b"ce-id") or b"").decode()
        self.rig.arrivals.append((now, self.name, request_id))
        behaviours = self.rig.shared_behaviours or self.behaviours
        behaviour = (
            behaviours.pop(0)
            if len(behaviours) > 1 or behaviours is self.rig.shared_behaviours
            else behaviours[0]
        )
        await behaviour(self, stream, message)


class EdgeRig:
    """An edge and its scripted peers. `arrivals` and `load_requests` hold, for each message that workers
    received, the time, the worker's name, and the id or the target."""

    def __init__(self, behaviours: dict[str, list[Behaviour]], zones: dict[str, str]) -> None:
        self.arrivals: list[tuple[float, str, str]] = []
        self.load_requests: list[tuple[float, str, str]] = []
        self.shared_behaviours: list[Behaviour] = []  # run before the workers' own, at whichever worker
        self.workers = {n: ScriptedWorker(self, n, list(p), zones.get(n, "z")) for n, p in behaviours.items()}
        self.version = 1
        self.states = dict.fromkeys(self.workers, "up")
        self._list_streams: list[Any] = []
        self.settings: EdgeSettings
        self.dispatcher: Dispatcher
        self.event_listener: EventListener
        self.port = 0
        self.discovery_port = 0
        self.task_group: Any = None
        self.discovery_scope: anyio.CancelScope
        self.discovery_server: Server
        self.pool: Pool
        self.request_count = 0

    def worker_record(self, name: str) -> dict[str, Any]:
        """Returns a worker as the endpoint list has it."""
        worker = self.workers[name]
        return {
            "id": name,
            "port": worker.port,
            "zone": worker.zone,
            "memory_mb": 40_000,
            "state": self.states[name],
            "start": "0",
        }

    async def publish_state(self, name: str, state: str) -> float:
        """Changes a worker's state and sends the delta; returns the time at which it had been sent."""
        self.states[name] = state
        self.version += 1
        delta = json.dumps({"version": self.version, "runners": [self.worker_record(name)]}).encode() + b"\n"
        for send in self._list_streams:
            await send.send(delta)
        return anyio.current_time()

    async def serve_list(self, _message: Message, _now: int) -> Reply:
        """Answers a watch of the endpoint list: a snapshot, then deltas as they are published."""
        send, receive = anyio.create_memory_object_stream[bytes](100)
        endpoints = [self.worker_record(n) for n in self.workers if self.states[n] != "gone"]
        snapshot = {"version": self.version, "whole": True, "runners": endpoints}
        send.send_nowait(json.dumps(snapshot).encode() + b"\n")
        self._list_streams.append(send)

        async def lines() -> AsyncGenerator[bytes]:
            async for line in receive:
                yield line

        return Reply(200, [], lines())

    async def call(
        self, kind: str = "estimate", *, left: float | None = 1500, ident: str = "", **more: AttributeValue
    ) -> tuple[int, dict[str, Any]]:
        """Sends one request with `left` ms until its deadline; returns the status and the JSON of the
        response."""
        exchange = await self.exchange(kind, left=left, ident=ident, **more)
        assert exchange.message is not None, exchange
        return exchange.message.status, json.loads(exchange.message.body or b"{}")

    async def wait_until_up(self, within: float) -> None:
        """Sends requests until one succeeds: an edge in a process of its own says that it is ready before it
        has the endpoint list. Fails after `within` seconds."""
        with anyio.fail_after(within):
            while (await self.call())[0] != HTTPStatus.OK:
                await anyio.sleep(0.01)

    async def exchange(
        self, kind: str = "estimate", *, left: float | None = 1500, ident: str = "", **more: AttributeValue
    ) -> Exchange:
        """Sends one request; returns the exchange with its response. `more` are further attributes."""
        self.request_count += 1
        attributes: dict[str, AttributeValue] = {
            "specversion": "1.0",
            "id": ident or f"t{self.request_count}",
            "source": "/c",
            "type": kind,
            "model": "m",
        }
        if left is not None:
            attributes["timeleftms"] = int(left)
        headers, body = encode_event(Event({**attributes, **more}, b"{}", "application/json"))
        with anyio.fail_after(10):
            return await self.pool.exchange(http.request(b"POST", b"/", b"edge", headers, body))

    async def break_list_stream(self) -> None:
        """Ends the open streams of the endpoint list; a new watch is served."""
        for connection in list(self.discovery_server.connections):
            connection.scope.cancel()
        await until(lambda: not self.discovery_server.connections)

    def has_list_stream(self) -> bool:
        """Returns whether a stream of the endpoint list is open."""
        return bool(self.discovery_server.connections)

    def received(self) -> list[str]:
        """Returns the id and the worker of each attempt that a worker received."""
        return [f"{request_id} at {name}" for _, name, request_id in self.arrivals]


@asynccontextmanager
async def run_edge(
    behaviours: dict[str, list[Behaviour]] | None = None,
    zones: dict[str, str] | None = None,
    recorder: Recorder | None = None,
    **settings: Any,
) -> AsyncIterator[EdgeRig]:
    """Runs an edge in this process, with a scripted worker for each name in `behaviours` (by default `a` and
    `b`, which succeed) and further entries of its settings. Yields once it has the endpoint list."""
    rig = EdgeRig(behaviours or {"a": [respond_ok], "b": [respond_ok]}, zones or {})
    async with anyio.create_task_group() as group:
        rig.task_group = group
        for worker in rig.workers.values():
            group.start_soon(worker.serve)
        while not all(worker.port for worker in rig.workers.values()):
            await anyio.sleep(0.001)
        listener, rig.discovery_port = await listen("127.0.0.1", 0)
        discovery = Server(
            rig.serve_list,
            ServerLimits(),
            make_error_reply=lambda s, d: Reply(s, []),
            make_fault_reply=lambda e: Reply(500, []),
        )
        rig.discovery_scope = anyio.CancelScope()

        rig.discovery_server = discovery

        async def serve_discovery() -> None:
            with rig.discovery_scope:
                await discovery.serve(listener)

        group.start_soon(serve_discovery)
        config = {"seed": 5, "roster": {"port": rig.discovery_port}, "offerings": REQUEST_CLASSES, **settings}
        rig.settings = check_edge_settings(decode(config, EdgeSettings, "test"), "test")
        clock = http_dispatcher.monotonic_ns  # type: ignore[attr-defined]  # a test may have replaced it
        rig.dispatcher = create_dispatcher(rig.settings, clock, recorder)
        rig.event_listener = EventListener(rig.dispatcher, rig.settings)
        group.start_soon(rig.dispatcher.run)
        edge_listener, rig.port = await listen("127.0.0.1", 0)
        group.start_soon(rig.event_listener.server.serve, edge_listener)
        rig.pool = Pool("127.0.0.1", rig.port, connection_limit=5000, connect_timeout_ns=10_000_000_000)
        with anyio.fail_after(5):
            await rig.dispatcher.snapshot_received.wait()
        yield rig
        group.cancel_scope.cancel()

"""A real edge on loopback in this process, a roster that says what the test says, and scripted runners."""

from __future__ import annotations

import json
import struct
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
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

Part = Callable[["Runner", SocketStream, Message], Awaitable[None]]
GONE = (anyio.ClosedResourceError, ExceptionGroup)
OFFERINGS = [
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


async def satisfied(_runner: Runner, stream: SocketStream, _message: Message) -> None:
    event = Event({"specversion": "1.0", "id": "r", "source": "/r", "type": "t"}, b"{}", "application/json")
    headers, body = encode_event(event)
    await stream.send(http.response(200, [*headers, (b"martenlead-copy", b"warm")], body))


def says(status: int, *headers: tuple[bytes, bytes], body: bytes = b"") -> Part:
    async def part(_runner: Runner, stream: SocketStream, _message: Message) -> None:
        await stream.send(http.response(status, headers, body))

    return part


def after(ms: float, part: Part) -> Part:
    async def later(runner: Runner, stream: SocketStream, message: Message) -> None:
        await anyio.sleep(ms / 1000)
        await part(runner, stream, message)

    return later


def raw(data: bytes, *, end: bool = False) -> Part:
    async def part(_runner: Runner, stream: SocketStream, _message: Message) -> None:
        if data:
            await stream.send(data)
        if end:
            await stream.aclose()

    return part


full = says(503, (b"martenlead-never-ran", b"1"))
missing = says(404, (b"martenlead-never-ran", b"1"))
draining = says(503, (b"martenlead-never-ran", b"1"), (b"martenlead-state", b"draining"))
error = says(500)
closes = raw(b"", end=True)
silent = raw(b"")


async def until(what: Callable[[], object], within: float = 20) -> None:
    """Waits for it to come true, however slow the machine is; fails after `within` s."""
    with anyio.fail_after(within):
        while not what():
            await anyio.sleep(0.002)


class Runner:
    """Plays its parts in turn, one a hand-off; the last one for the rest. Orders find their copies at
    once."""

    def __init__(self, fleet: Fleet, name: str, parts: list[Part], zone: str) -> None:
        self.fleet, self.name, self.parts, self.zone = fleet, name, parts, zone
        self.port = 0
        self.listener: Any = None
        self.order: Part = says(200, body=b'{"copies": 1}')
        self.connections = 0
        self.resets = False  # each connection, as soon as it is made

    async def serve(self) -> None:
        self.listener, self.port = await listen("127.0.0.1", self.port)
        with suppress(*GONE):
            await self.listener.serve(self.connected)

    async def connected(self, stream: SocketStream) -> None:
        self.connections += 1
        if self.resets:
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
                        await self.play(stream, message)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                InvalidMessageError,
            ):
                return

    async def play(self, stream: SocketStream, message: Message) -> None:
        now = anyio.current_time()
        if message.target != b"/":
            self.fleet.orders.append((now, self.name, message.target.decode()))
            await self.order(self, stream, message)
            return
        ident = (message.header(b"ce-id") or b"").decode()
        self.fleet.arrivals.append((now, self.name, ident))
        parts = self.fleet.first or self.parts
        part = parts.pop(0) if len(parts) > 1 or parts is self.fleet.first else parts[0]
        await part(self, stream, message)


class Fleet:
    def __init__(self, parts: dict[str, list[Part]], zones: dict[str, str]) -> None:
        self.arrivals: list[tuple[float, str, str]] = []
        self.orders: list[tuple[float, str, str]] = []
        self.first: list[Part] = []  # played before any runner's own part, whoever is asked
        self.runners = {n: Runner(self, n, list(p), zones.get(n, "z")) for n, p in parts.items()}
        self.version = 1
        self.states = dict.fromkeys(self.runners, "up")
        self._news: list[Any] = []
        self.edge: EdgeSettings
        self.dispatcher: Dispatcher
        self.door: EventListener
        self.port = 0
        self.roster_port = 0
        self.group: Any = None
        self.roster_scope: anyio.CancelScope
        self.roster_server: Server
        self.pool: Pool
        self.count = 0

    def line(self, name: str) -> dict[str, Any]:
        runner = self.runners[name]
        return {
            "id": name,
            "port": runner.port,
            "zone": runner.zone,
            "memory_mb": 40_000,
            "state": self.states[name],
            "start": "0",
        }

    async def say(self, name: str, state: str) -> float:
        """The roster says so; when it had been said."""
        self.states[name] = state
        self.version += 1
        news = json.dumps({"version": self.version, "runners": [self.line(name)]}).encode() + b"\n"
        for send in self._news:
            await send.send(news)
        return anyio.current_time()

    async def roster(self, _message: Message, _now: int) -> Reply:
        send, receive = anyio.create_memory_object_stream[bytes](100)
        endpoints = [self.line(n) for n in self.runners if self.states[n] != "gone"]
        snapshot = {"version": self.version, "whole": True, "runners": endpoints}
        send.send_nowait(json.dumps(snapshot).encode() + b"\n")
        self._news.append(send)

        async def lines() -> AsyncGenerator[bytes]:
            async for line in receive:
                yield line

        return Reply(200, [], lines())

    async def call(
        self, kind: str = "estimate", *, left: float | None = 1500, ident: str = "", **more: AttributeValue
    ) -> tuple[int, dict[str, Any]]:
        """One task; the status and the answer's JSON."""
        exchange = await self.exchange(kind, left=left, ident=ident, **more)
        assert exchange.message is not None, exchange
        return exchange.message.status, json.loads(exchange.message.body or b"{}")

    async def exchange(
        self, kind: str = "estimate", *, left: float | None = 1500, ident: str = "", **more: AttributeValue
    ) -> Exchange:
        self.count += 1
        attributes: dict[str, AttributeValue] = {
            "specversion": "1.0",
            "id": ident or f"t{self.count}",
            "source": "/c",
            "type": kind,
            "model": "m",
        }
        if left is not None:
            attributes["timeleftms"] = int(left)
        headers, body = encode_event(Event({**attributes, **more}, b"{}", "application/json"))
        with anyio.fail_after(10):
            return await self.pool.exchange(http.request(b"POST", b"/", b"edge", headers, body))

    async def break_roster(self) -> None:
        """Ends the stream that is open; a new one is served."""
        for connection in list(self.roster_server.connections):
            connection.scope.cancel()
        await until(lambda: not self.roster_server.connections)

    def listens(self) -> bool:
        """Whether the roster has a stream open."""
        return bool(self.roster_server.connections)

    def ran(self) -> list[str]:
        return [f"{ident} at {name}" for _, name, ident in self.arrivals]


@asynccontextmanager
async def fleet(
    parts: dict[str, list[Part]] | None = None,
    zones: dict[str, str] | None = None,
    tape: Recorder | None = None,
    **settings: Any,
) -> AsyncIterator[Fleet]:
    f = Fleet(parts or {"a": [satisfied], "b": [satisfied]}, zones or {})
    async with anyio.create_task_group() as group:
        f.group = group
        for runner in f.runners.values():
            group.start_soon(runner.serve)
        while not all(runner.port for runner in f.runners.values()):
            await anyio.sleep(0.001)
        listener, f.roster_port = await listen("127.0.0.1", 0)
        stub = Server(
            f.roster,
            ServerLimits(),
            make_error_reply=lambda s, d: Reply(s, []),
            make_fault_reply=lambda e: Reply(500, []),
        )
        f.roster_scope = anyio.CancelScope()

        f.roster_server = stub

        async def serve_roster() -> None:
            with f.roster_scope:
                await stub.serve(listener)

        group.start_soon(serve_roster)
        config = {"seed": 5, "roster": {"port": f.roster_port}, "offerings": OFFERINGS, **settings}
        f.edge = check_edge_settings(decode(config, EdgeSettings, "test"), "test")
        clock = http_dispatcher.monotonic_ns  # type: ignore[attr-defined]  # a test may have replaced it
        f.dispatcher = create_dispatcher(f.edge, clock, tape)
        f.door = EventListener(f.dispatcher, f.edge)
        group.start_soon(f.dispatcher.run)
        door, f.port = await listen("127.0.0.1", 0)
        group.start_soon(f.door.server.serve, door)
        f.pool = Pool("127.0.0.1", f.port, connection_limit=5000, connect_timeout_ns=10_000_000_000)
        with anyio.fail_after(5):
            await f.dispatcher.snapshot_received.wait()
        yield f
        group.cancel_scope.cancel()

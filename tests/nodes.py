"""A real dispatcher on the platform's protocol, in this process, and scripted peers around it."""

from __future__ import annotations

import json
import struct
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from martenlead.node.serve import Node
from support.fleet import GONE, until
from support.node_wire import (
    SETTINGS as SETTINGS,
)
from support.node_wire import (
    ListedWorker,
    configuration,
)
from support.node_wire import (
    answer as answer,
)
from support.node_wire import (
    frame as frame,
)
from support.node_wire import (
    message as message,
)
from support.node_wire import (
    record as record,
)
from support.node_wire import (
    with_deadlines as with_deadlines,
)
from support.peers import PeerListener, unused_port

Part = Callable[["Runner", SocketStream, dict[str, Any]], Awaitable[None]]
BROKEN = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


def says(word: str, why: str = "resident") -> Part:
    async def part(_runner: Runner, stream: SocketStream, message: dict[str, Any]) -> None:
        await stream.send(answer(word, message["txn"], why, message["raw"] if word == "DONE" else ""))

    return part


def raw(data: bytes, *, end: bool = False, reset: bool = False) -> Part:
    """Writes this, with the txn in place of %TXN%, and ends the connection if asked to."""

    async def part(_runner: Runner, stream: SocketStream, message: dict[str, Any]) -> None:
        if data:
            await stream.send(data.replace(b"%TXN%", message["txn"].encode()))
        if reset:
            linger(stream)
        if end or reset:
            await anyio.aclose_forcefully(stream)

    return part


def linger(stream: SocketStream) -> None:
    stream.extra(SocketAttribute.raw_socket).setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))


def after(ms: float, part: Part) -> Part:
    async def later(runner: Runner, stream: SocketStream, message: dict[str, Any]) -> None:
        await anyio.sleep(ms / 1000)
        await part(runner, stream, message)

    return later


def in_turn(part: Part) -> Part:
    """One at a time on a connection: two that write in the same turn of the loop are a fault of the rig,
    which ends the runner."""
    locks: defaultdict[SocketStream, anyio.Lock] = defaultdict(anyio.Lock)

    async def one(runner: Runner, stream: SocketStream, message: dict[str, Any]) -> None:
        async with locks[stream]:
            await part(runner, stream, message)

    return one


done, silent = says("DONE"), raw(b"")


class Runner:
    """Plays its parts in turn, one a DO, the last for the rest; orders find their copies at once."""

    def __init__(self, name: str, parts: list[Part], log: list[str]) -> None:
        self.name, self.parts, self.log = name, parts, log
        self.listener: PeerListener | None = None
        self.port = 0
        self.connections = self.open = 0
        self.streams: list[SocketStream] = []

    async def serve(self) -> None:
        self.listener = PeerListener(self.port)
        self.port = self.listener.port
        with suppress(*GONE):
            await self.listener.serve(self.connected)

    async def connected(self, stream: SocketStream) -> None:
        self.connections += 1
        self.open += 1
        self.streams.append(stream)
        held = b""
        async with stream, anyio.create_task_group() as group:
            with suppress(*BROKEN):
                while True:
                    *lines, held = (held + await stream.receive()).split(b"\n")
                    for line in lines:
                        message = json.loads(line)
                        about = message["props"]["name"] if message["m"] == "PIN" else message["txn"]
                        self.log.append(f"{self.name} {message['m']} {about[-2:]}")
                        if message["m"] == "DO":
                            part = self.parts.pop(0) if len(self.parts) > 1 else self.parts[0]
                            group.start_soon(self.play, part, stream, message)
                        elif message["m"] == "PIN":
                            await stream.send(answer("DONE", message["txn"], instances="1"))
            group.cancel_scope.cancel()
        self.open -= 1

    async def play(self, part: Part, stream: SocketStream, message: dict[str, Any]) -> None:
        with suppress(*BROKEN):
            await part(self, stream, message)


class Journal:
    """A journal service: whoever connects is told all behind its number, then what comes."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.asked: list[int] = []
        self.streams: list[SocketStream] = []
        self.port = 0
        self.beats = True

    async def serve(self) -> None:
        listener = PeerListener()
        self.port = listener.port
        await listener.serve(self.connected)

    async def connected(self, stream: SocketStream) -> None:
        async with stream:
            with suppress(*BROKEN):
                number = int.from_bytes(await stream.receive(8), "big")
                self.asked.append(number)
                self.streams.append(stream)  # what is told from here on follows
                await stream.send(b"".join(self.events[number - 1 :]))  # the first stands in `known`
                while True:
                    await anyio.sleep(0.2)
                    if self.beats:
                        await stream.send(frame(len(self.events) + 1, 0))  # events may queue behind it

    async def tell(self, *records: bytes, kind: int = 2, cut: int | None = None) -> None:
        event = frame(len(self.events) + 2, kind, *records)
        self.events.append(event)
        for stream in self.streams:
            with suppress(*BROKEN):
                await stream.send(event[:cut])


class Caller:
    """One client connection."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.held = b""
        self.number = 0

    async def send(self, data: bytes) -> None:
        await self.stream.send(data)

    async def ask(self, method: str = "safe", **more: Any) -> int:
        """Sends a task that keeps the form, but for what is given; its number."""
        await self.send(self.task(method, **more))
        return self.number

    def task(self, method: str = "safe", **more: Any) -> bytes:
        self.number += 1
        params = {"id": f"{self.number:016x}", "wait": 1500, "tenant": "acme", "key": "0" * 15 + "1"}
        params = {k: v for k, v in {**params, "blob": "Ym9keQ==", **more}.items() if v is not None}
        return message({"jsonrpc": "2.0", "id": self.number, "method": method, "params": params})

    async def answer(self, within: float = 5) -> dict[str, Any] | None:
        """The next one; None where the connection has ended."""
        with anyio.fail_after(within):
            while True:
                head, found, rest = self.held.partition(b"\r\n\r\n")
                if found:
                    length = int(head.split(b":")[1])
                    if len(rest) >= length:
                        self.held = rest[length:]
                        told: dict[str, Any] = json.loads(rest[:length])
                        return told
                try:
                    self.held += await self.stream.receive()
                except BROKEN:
                    return None

    async def call(self, method: str = "safe", **more: Any) -> str:
        """One task, and its answer in a word."""
        await self.ask(method, **more)
        return word(await self.answer())


class Asker:
    """A client that asks without waiting for answers, and keeps when each was asked and answered."""

    def __init__(self, caller: Caller, first: int = 0) -> None:
        """Numbers and ids begin behind `first`, so that those of several askers differ."""
        self.caller = caller
        caller.number = first
        self.asked: dict[int, float] = {}
        self.answers: list[tuple[int, str, float]] = []  # number, answer in a word, when
        self.ended = False

    async def ask(self, method: str = "safe", **more: Any) -> None:
        if method == "keyed":
            more["once"] = f"{self.caller.number + 1:032x}"
        number = self.caller.number + 1
        self.asked[number] = anyio.current_time()
        await self.caller.ask(method, **more)

    async def read(self) -> None:
        """Until the connection ends."""
        while (told := await self.caller.answer(within=60)) is not None:
            self.answers.append((told["id"], word(told), anyio.current_time()))
        self.ended = True

    def latencies(self) -> list[float]:
        return [at - self.asked[number] for number, _, at in self.answers]

    def words(self) -> set[str]:
        return {answer for _, answer, _ in self.answers}

    def has_one_answer_each(self) -> bool:
        """Exactly one, and none to what was not asked."""
        return sorted(number for number, _, _ in self.answers) == sorted(self.asked)


def word(told: dict[str, Any] | None) -> str:
    if told is None:
        return "closed"
    if "result" in told:
        return "satisfied"
    return "turned back" if told["error"]["code"] == -32001 else f"error {told['error']['code']}"


class Play:
    def __init__(self) -> None:
        self.log: list[str] = []
        self.runners: dict[str, Runner] = {}
        self.journal = Journal()
        self.node: Node
        self.path: Path
        self.port = 0
        self.group: Any
        self.ended = False

    def record(self, name: str, state: int = 0, started: int = 0) -> bytes:
        return record(ord(name), self.runners[name].port, state, started)

    async def runner(self, name: str, *parts: Part, port: int = 0) -> Runner:
        runner = self.runners[name] = Runner(name, list(parts), self.log)
        runner.port = port
        self.group.start_soon(runner.serve)
        await until(lambda: runner.listener)
        return runner

    def write(self, journal: int, **more: Any) -> None:
        workers = [ListedWorker(ord(name), runner.port) for name, runner in self.runners.items()]
        config = configuration("n0", self.port, journal, workers, **more)
        self.path.write_text(json.dumps(config))

    async def client(self) -> Caller:
        return Caller(await anyio.connect_tcp("127.0.0.1", self.port))

    def did(self, what: str = "DO") -> list[str]:
        return [line for line in self.log if f" {what} " in line]


@asynccontextmanager
async def play(
    tmp_path: Path, parts: dict[str, list[Part]] | None = None, journal: Journal | None = None, **more: Any
) -> AsyncIterator[Play]:
    p = Play()
    p.journal = journal or p.journal
    p.path = tmp_path / "config.json"
    async with anyio.create_task_group() as p.group:
        for name, its in (parts or {"a": [done]}).items():
            await p.runner(name, *its)
        p.group.start_soon(p.journal.serve)
        p.port = unused_port()
        await until(lambda: p.journal.port)
        p.write(p.journal.port, **more)
        p.node = Node(p.path)
        started = anyio.Event()

        async def serve() -> None:
            await p.node.serve(started.set)
            p.ended = True

        p.group.start_soon(serve)
        with anyio.fail_after(10):
            await started.wait()
        await until(lambda: p.journal.asked)
        yield p
        p.group.cancel_scope.cancel()

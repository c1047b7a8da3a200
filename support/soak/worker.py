"""A worker of the soak: it behaves as it is told to, and records what comes to it."""

from __future__ import annotations

import json
import struct
from contextlib import suppress
from random import Random
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from support.node_wire import answer
from support.peers import PeerListener
from support.soak.records import RecordBook

BROKEN = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
RUN_SECONDS = (0.005, 0.03)
LATE_SECONDS = (0.3, 1.0)
RESET_INTERVAL_SECONDS = 0.05


class SharedEffects:
    """The idempotency keys whose effect stands, at all workers of the group."""

    def __init__(self) -> None:
        self.keys: set[str] = set()


class SoakWorker:
    """One worker with a listener for each node, by which it knows who sends."""

    def __init__(self, name: str, nodes: int, book: RecordBook, effects: SharedEffects, seed: int) -> None:
        self.name, self.book, self.effects = name, book, effects
        self.random = Random(f"{seed} {name}")
        self.ports = [0] * nodes
        self.behaviour = ""  # a kind of `schedule.WORKER_TROUBLES`, or none
        self.started_ms = 0
        self.is_listening = False
        self._listeners: list[PeerListener] = []
        self._streams: dict[SocketStream, int] = {}  # to how many requests are out on each
        self._attempts = 0

    def start(self, group: TaskGroup) -> None:
        """Listens, at the ports that it had before."""
        self._listeners = [PeerListener(port) for port in self.ports]
        self.ports = [listener.port for listener in self._listeners]
        self.is_listening = True
        for node, listener in enumerate(self._listeners):
            group.start_soon(self._serve, node, listener)

    async def stop(self) -> None:
        """Accepts nothing more and resets all connections, as the end of its process does."""
        self.is_listening = False
        for listener in self._listeners:
            await listener.aclose()
        for stream in list(self._streams):
            await _reset(stream)

    async def reset_idle_connections(self, seconds: float) -> None:
        """Resets whatever is idle, again and again."""
        with anyio.move_on_after(seconds):
            while True:
                for stream, out in list(self._streams.items()):
                    if not out:
                        await _reset(stream)
                await anyio.sleep(RESET_INTERVAL_SECONDS)

    async def _serve(self, node: int, listener: PeerListener) -> None:
        async def handle(stream: SocketStream) -> None:
            await self._serve_connection(node, stream)

        with suppress(anyio.ClosedResourceError, ExceptionGroup):
            await listener.serve(handle)

    async def _serve_connection(self, node: int, stream: SocketStream) -> None:
        self._streams[stream] = 0
        out: dict[str, str] = {}  # the ways of requests that are out, by their ids
        held = b""
        try:
            async with stream, anyio.create_task_group() as group:
                with suppress(*BROKEN):
                    while True:
                        *lines, held = (held + await stream.receive()).split(b"\n")
                        for line in lines:
                            self._handle_line(node, stream, json.loads(line), out, group)
                group.cancel_scope.cancel()
        finally:  # also where the listener ends, and its connections with it
            for way in out.values():
                self.book.worker("cut", way=way)
            self._streams.pop(stream, None)

    def _handle_line(
        self, node: int, stream: SocketStream, line: dict[str, Any], out: dict[str, str], group: TaskGroup
    ) -> None:
        match line["m"]:
            case "DO":
                self._attempts += 1
                way = f"{self.name} {self._attempts}"
                out[line["txn"]] = way
                self._note(stream, 1)
                self.book.worker(
                    "came",
                    way=way,
                    id=line["txn"],
                    offering=line["props"]["lane"],
                    runner=self.name,
                    edge=f"n{node}",
                    zone="east",
                    cell=0,
                    **{"try": line["txn"]},
                )
                group.start_soon(self._run, stream, line, way, out)
            case "UNDO":
                cancelled = out.pop(line["txn"], None)
                if cancelled is not None:
                    self._note(stream, -1)
                    self.book.worker("cut", way=cancelled)
            case "PIN":
                group.start_soon(self._send, stream, answer("DONE", line["txn"], instances="1"))

    def _note(self, stream: SocketStream, change: int) -> None:
        if stream in self._streams:
            self._streams[stream] += change

    async def _run(self, stream: SocketStream, line: dict[str, Any], way: str, out: dict[str, str]) -> None:
        behaviour, call_id = self.behaviour, line["txn"]
        if behaviour == "is full":
            self.book.worker("refused", way=way, why="full")
            await self._answer(stream, call_id, way, out, answer("WAIT", call_id))
            return
        self._take_effect(line, way)
        if behaviour == "hangs":
            return
        span = LATE_SECONDS if behaviour == "answers late" else RUN_SECONDS
        await anyio.sleep(self.random.uniform(*span))
        data = answer("DONE", call_id, "resident", line["raw"])
        await self._answer(stream, call_id, way, out, data * 2 if behaviour == "answers twice" else data)

    def _take_effect(self, line: dict[str, Any], way: str) -> None:
        key = line["props"].get("dedupe")
        if key is not None and key in self.effects.keys:
            return  # its effect stands already
        if key is not None:
            self.effects.keys.add(key)
        self.book.worker("ran", way=way)

    async def _answer(
        self, stream: SocketStream, call_id: str, way: str, out: dict[str, str], data: bytes
    ) -> None:
        if out.get(call_id) != way:
            return  # given up
        del out[call_id]
        self._note(stream, -1)
        self.book.worker("answered", way=way)
        await self._send(stream, data)

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        with suppress(*BROKEN):
            await stream.send(data)


async def _reset(stream: SocketStream) -> None:
    with suppress(*BROKEN):
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(stream)

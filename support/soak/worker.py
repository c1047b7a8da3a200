"""A worker of the soak, which behaves as the schedule says and records what it receives."""

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

CONNECTION_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
RUN_SECONDS = (0.005, 0.03)
LATE_SECONDS = (0.3, 1.0)
RESET_INTERVAL_SECONDS = 0.05


class SharedEffects:
    """The idempotency keys of requests that have had their effect, for all workers of the group."""

    def __init__(self) -> None:
        self.keys: set[str] = set()


class SoakWorker:
    """One worker, with a listener for each node, so that it knows which node sends."""

    def __init__(self, name: str, nodes: int, book: RecordBook, effects: SharedEffects, seed: int) -> None:
        self.name, self.book, self.effects = name, book, effects
        self.random = Random(f"{seed} {name}")
        self.ports = [0] * nodes
        self.behaviour = ""  # one of `schedule.WORKER_TROUBLES`, or empty
        self.started_ms = 0
        self.is_listening = False
        self._listeners: list[PeerListener] = []
        self._streams: dict[SocketStream, int] = {}  # number of open requests by connection
        self._attempts = 0

    def start(self, group: TaskGroup) -> None:
        """Listens, at the same ports as before."""
        self._listeners = [PeerListener(port) for port in self.ports]
        self.ports = [listener.port for listener in self._listeners]
        self.is_listening = True
        for node, listener in enumerate(self._listeners):
            group.start_soon(self._serve, node, listener)

    async def stop(self) -> None:
        """Stops accepting and resets all connections, as the end of its process would."""
        self.is_listening = False
        for listener in self._listeners:
            await listener.aclose()
        for stream in list(self._streams):
            await _reset(stream)

    async def reset_idle_connections(self, seconds: float) -> None:
        """Resets idle connections repeatedly, for this time."""
        with anyio.move_on_after(seconds):
            while True:
                for stream, open_requests in list(self._streams.items()):
                    if not open_requests:
                        await _reset(stream)
                await anyio.sleep(RESET_INTERVAL_SECONDS)

    async def _serve(self, node: int, listener: PeerListener) -> None:
        async def handle(stream: SocketStream) -> None:
            await self._serve_connection(node, stream)

        with suppress(anyio.ClosedResourceError, ExceptionGroup):
            await listener.serve(handle)

    async def _serve_connection(self, node: int, stream: SocketStream) -> None:
        self._streams[stream] = 0
        open_attempts: dict[str, str] = {}  # `way` (key of the attempt in records) by request id
        buffer = b""
        try:
            async with stream, anyio.create_task_group() as group:
                with suppress(*CONNECTION_ERRORS):
                    while True:
                        *lines, buffer = (buffer + await stream.receive()).split(b"\n")
                        for line in lines:
                            self._handle_line(node, stream, json.loads(line), open_attempts, group)
                group.cancel_scope.cancel()
        finally:  # also if the listener ends and its connections with it
            for attempt_key in open_attempts.values():
                self.book.record_worker("cut", way=attempt_key)
            self._streams.pop(stream, None)

    def _handle_line(
        self,
        node: int,
        stream: SocketStream,
        line: dict[str, Any],
        open_attempts: dict[str, str],
        group: TaskGroup,
    ) -> None:
        match line["m"]:
            case "DO":
                self._attempts += 1
                attempt_key = f"{self.name} {self._attempts}"
                open_attempts[line["txn"]] = attempt_key
                self._add_open_requests(stream, 1)
                self.book.record_worker(
                    "came",
                    way=attempt_key,
                    id=line["txn"],
                    offering=line["props"]["lane"],
                    runner=self.name,
                    edge=f"n{node}",
                    zone="east",
                    cell=0,
                    **{"try": line["txn"]},
                )
                group.start_soon(self._run, stream, line, attempt_key, open_attempts)
            case "UNDO":
                cancelled = open_attempts.pop(line["txn"], None)
                if cancelled is not None:
                    self._add_open_requests(stream, -1)
                    self.book.record_worker("cut", way=cancelled)
            case "PIN":
                group.start_soon(self._send, stream, answer("DONE", line["txn"], instances="1"))

    def _add_open_requests(self, stream: SocketStream, change: int) -> None:
        if stream in self._streams:
            self._streams[stream] += change

    async def _run(
        self, stream: SocketStream, line: dict[str, Any], attempt_key: str, open_attempts: dict[str, str]
    ) -> None:
        behaviour, call_id = self.behaviour, line["txn"]
        if behaviour == "is full":
            self.book.record_worker("refused", way=attempt_key, why="full")
            await self._answer(stream, call_id, attempt_key, open_attempts, answer("WAIT", call_id))
            return
        self._take_effect(line, attempt_key)
        if behaviour == "hangs":
            return
        span = LATE_SECONDS if behaviour == "answers late" else RUN_SECONDS
        await anyio.sleep(self.random.uniform(*span))
        data = answer("DONE", call_id, "resident", line["raw"])
        await self._answer(
            stream, call_id, attempt_key, open_attempts, data * 2 if behaviour == "answers twice" else data
        )

    def _take_effect(self, line: dict[str, Any], attempt_key: str) -> None:
        key = line["props"].get("dedupe")
        if key is not None and key in self.effects.keys:
            return  # a repeated key has no second effect
        if key is not None:
            self.effects.keys.add(key)
        self.book.record_worker("ran", way=attempt_key)

    async def _answer(
        self, stream: SocketStream, call_id: str, attempt_key: str, open_attempts: dict[str, str], data: bytes
    ) -> None:
        if open_attempts.get(call_id) != attempt_key:
            return  # the node cancelled it
        del open_attempts[call_id]
        self._add_open_requests(stream, -1)
        self.book.record_worker("answered", way=attempt_key)
        await self._send(stream, data)

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        with suppress(*CONNECTION_ERRORS):
            await stream.send(data)


async def _reset(stream: SocketStream) -> None:
    with suppress(*CONNECTION_ERRORS):
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(stream)

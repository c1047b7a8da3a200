"""Clients of the soak: usual ones, whose every request is recorded, and a crowd that only makes trouble."""

from __future__ import annotations

import json
from base64 import b64encode
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from time import monotonic_ns
from typing import Any

import anyio
from anyio.abc import SocketStream

from support.node_wire import message
from support.soak.records import RecordBook
from support.soak.worker import BROKEN

REJECTED = -32001
NS_PER_MS = 1_000_000
METHODS = ("safe", "keyed", "unsafe")
PAUSE_SECONDS = (0.005, 0.08)
RETRY_SECONDS = 0.02  # between two tries to connect
PIECES_SHARE, BURST_SHARE, CANCEL_SHARE, SHORT_SHARE = 0.1, 0.1, 0.05, 0.05  # of the requests
BURST = 5  # requests that are written at once
PIECE_SECONDS = (0.001, 0.1)  # between the two pieces of a request
SHORT_WAIT_MS = (5, 60)  # of requests with very little time left
LATE_NS = 500 * NS_PER_MS  # behind a request's time: an answer that comes later counts as lost
CROSSING_NS = 50 * NS_PER_MS  # a request that crosses the close of a connection is sent again
CHECK_SECONDS = 0.1
FLOOD = 100  # requests that are written and cancelled at once
FLOOD_SECONDS = 0.3


@dataclass
class OpenRequest:
    """A request without its final response."""

    request_id: str
    sent_ns: int
    give_up_ns: int
    body: str


class SoakClient:
    """Asks on one connection after the other, and keeps using each until it has ended."""

    def __init__(
        self, node: int, number: int, port: int, deadline_ms: int, book: RecordBook, seed: int
    ) -> None:
        self.node, self.port, self.deadline_ms, self.book = node, port, deadline_ms, book
        self.random = Random(f"{seed} client {node} {number}")
        self.prefix = f"{node:02x}{number:02x}"
        self.is_done = False
        self._requests = 0
        self._open: dict[int, OpenRequest] = {}  # by the number on the connection
        self._number = 0

    async def run(self) -> None:
        """Until `is_done`, then until each request has its end."""
        while not self.is_done:
            try:
                stream = await anyio.connect_tcp("127.0.0.1", self.port)
            except OSError:
                await anyio.sleep(RETRY_SECONDS)
                continue
            await self._use(stream)

    async def _use(self, stream: SocketStream) -> None:
        self._open, self._number = {}, 0
        async with stream, anyio.create_task_group() as group:
            group.start_soon(self._send, stream)
            group.start_soon(self._watch, group.cancel_scope)
            await self._receive(stream)
            group.cancel_scope.cancel()
        now_ns = monotonic_ns()
        for request in self._open.values():
            # the end of the connection was read late where the loop of this process was late
            is_crossing = now_ns - request.sent_ns <= CROSSING_NS + self.book.own_lag_ns
            self._end(request, "unreached" if is_crossing else "broken")
        self._open = {}

    async def _watch(self, scope: anyio.CancelScope) -> None:
        """Gives up what has no answer long after its time, and ends once nothing is open."""
        while not (self.is_done and not self._open):
            await anyio.sleep(CHECK_SECONDS)
            now_ns = monotonic_ns()
            for number, request in list(self._open.items()):
                if now_ns > request.give_up_ns + LATE_NS:
                    del self._open[number]
                    self._end(request, "no answer")
        scope.cancel()

    async def _send(self, stream: SocketStream) -> None:
        with suppress(*BROKEN):
            while not self.is_done:
                await self._send_some(stream)
                await anyio.sleep(self.random.uniform(*PAUSE_SECONDS))

    async def _send_some(self, stream: SocketStream) -> None:
        drawn = self.random.random()
        if drawn < PIECES_SHARE:
            data, note = self._make()
            await stream.send(data[:-5])
            await anyio.sleep(self.random.uniform(*PIECE_SECONDS))
            note()
            await stream.send(data[-5:])
        elif drawn < PIECES_SHARE + BURST_SHARE:
            made = [self._make() for _ in range(BURST)]
            for _, note in made:
                note()
            await stream.send(b"".join(data for data, _ in made))
        else:
            data, note = self._make()
            note()
            await stream.send(data)
        if self.random.random() < CANCEL_SHARE and self._number in self._open:
            self._end(self._open.pop(self._number), "left")
            await stream.send(_abort(self._number))

    def _make(self) -> tuple[bytes, Callable[[], None]]:
        """A request, and what notes that it is being sent."""
        self._requests += 1
        self._number += 1
        number, request_id = self._number, f"{self.prefix}{self._requests:012x}"
        is_short = self.random.random() < SHORT_SHARE
        wait_ms = self.random.randint(*SHORT_WAIT_MS) if is_short else self.deadline_ms
        method, body = self.random.choice(METHODS), b64encode(request_id.encode()).decode()
        params: dict[str, Any] = {"id": request_id, "wait": wait_ms, "tenant": "acme", "key": "0" * 16}
        params["blob"] = body
        if method == "keyed":
            params["once"] = f"{request_id:0>32}"
        data = message({"jsonrpc": "2.0", "id": number, "method": method, "params": params})

        def note() -> None:
            now_ns = monotonic_ns()
            give_up_ns = now_ns + wait_ms * NS_PER_MS
            self._open[number] = OpenRequest(request_id, now_ns, give_up_ns, body)
            self.book.client("sent", edge=self.node, give_up=give_up_ns, **{"try": request_id})

        return data, note

    async def _receive(self, stream: SocketStream) -> None:
        held = b""
        with suppress(*BROKEN):
            while True:
                held += await stream.receive()
                while (taken := _take_message(held)) is not None:
                    told, held = taken
                    self._handle(told)

    def _handle(self, told: dict[str, Any]) -> None:
        request = self._open.pop(told.get("id", 0), None)
        if request is None:
            if told.get("id", 0) > self._number:
                self.book.client("stray", edge=self.node, **{"try": str(told)})
            return  # cancelled, or given up
        if "result" in told:
            if told["result"]["blob"] != request.body:
                self.book.wrong_bodies.append(request.request_id)
            self._end(request, "answer", final="satisfied", status=200)
        else:
            code = told["error"]["code"]
            self._end(request, "answer", final="turned back" if code == REJECTED else "scrapped", status=code)

    def _end(self, request: OpenRequest, what: str, **about: Any) -> None:
        self.book.client(what, edge=self.node, **about, **{"try": request.request_id})


def _take_message(held: bytes) -> tuple[dict[str, Any], bytes] | None:
    head, found, rest = held.partition(b"\r\n\r\n")
    if not found:
        return None
    length = int(head.split(b":")[1])
    if len(rest) < length:
        return None
    told: dict[str, Any] = json.loads(rest[:length])
    return told, rest[length:]


def _abort(number: int) -> bytes:
    return message({"jsonrpc": "2.0", "method": "abort", "params": {"id": number}})


async def crowd(port: int, connections: int, book_free_prefix: str) -> None:
    """Idle and half-open connections, and floods that cancel all that they ask. Runs until cancelled."""

    async def hold(data: bytes) -> None:
        while True:
            with suppress(*BROKEN):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(data)
                    while True:
                        await stream.receive()
            await anyio.sleep(RETRY_SECONDS)

    async def flood() -> None:
        count = 0
        while True:
            with suppress(*BROKEN):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    for number in range(1, FLOOD + 1):
                        count += 1
                        request_id = f"{book_free_prefix}{count:012x}"
                        params = {"id": request_id, "wait": 300, "tenant": "acme", "key": "0" * 16}
                        told = {"jsonrpc": "2.0", "id": number, "method": "safe", "params": params}
                        await stream.send(message(told) + _abort(number))
            await anyio.sleep(FLOOD_SECONDS)

    half = message({"jsonrpc": "2.0", "id": 1, "method": "safe", "params": {}})[:-3]
    async with anyio.create_task_group() as group:
        for number in range(connections):
            group.start_soon(hold, half if number % 2 else b"")
        group.start_soon(flood)

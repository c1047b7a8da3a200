"""Clients of the soak: regular ones, whose requests are all recorded, and a crowd that only causes load."""

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
from support.soak.worker import CONNECTION_ERRORS

REJECTED = -32001
NS_PER_MS = 1_000_000
METHODS = ("safe", "keyed", "unsafe")
PAUSE_SECONDS = (0.005, 0.08)
RETRY_SECONDS = 0.02  # pause between two tries to connect
SPLIT_SHARE, BURST_SHARE, CANCEL_SHARE, SHORT_DEADLINE_SHARE = 0.1, 0.1, 0.05, 0.05
BURST_REQUESTS = 5  # requests that are written at once
SPLIT_PAUSE_SECONDS = (0.001, 0.1)  # pause between the two parts of a split request
SHORT_DEADLINE_MS = (5, 60)
LATE_RESPONSE_NS = 500 * NS_PER_MS  # after the deadline: a response that comes later counts as lost
# A request sent this shortly before the end of its connection may have crossed the close.
CROSSING_NS = 50 * NS_PER_MS
CHECK_SECONDS = 0.1
FLOOD_REQUESTS = 100  # requests of a flood, each of which is cancelled at once
FLOOD_INTERVAL_SECONDS = 0.3


@dataclass
class OpenRequest:
    """A request without its final response."""

    request_id: str
    sent_ns: int
    give_up_ns: int
    body: str


class SoakClient:
    """Sends requests on one connection after the other, and uses each until it has ended."""

    def __init__(
        self, node: int, number: int, port: int, deadline_ms: int, book: RecordBook, seed: int
    ) -> None:
        self.node, self.port, self.deadline_ms, self.book = node, port, deadline_ms, book
        self.random = Random(f"{seed} client {node} {number}")
        self.prefix = f"{node:02x}{number:02x}"
        self.is_done = False
        self._requests = 0
        self._open: dict[int, OpenRequest] = {}  # keys are JSON-RPC ids
        self._number = 0

    async def run(self) -> None:
        """Sends requests until `is_done`, then waits until each request has ended."""
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
            group.start_soon(self._give_up_overdue, group.cancel_scope)
            await self._receive(stream)
            group.cancel_scope.cancel()
        now_ns = monotonic_ns()
        for request in self._open.values():
            # The end of the connection was read late if the event loop of this process was late.
            is_crossing = now_ns - request.sent_ns <= CROSSING_NS + self.book.own_lag_ns
            self._end(request, "unreached" if is_crossing else "broken")
        self._open = {}

    async def _give_up_overdue(self, scope: anyio.CancelScope) -> None:
        """Gives up requests without a response long after their deadline; ends once no request is open."""
        while not (self.is_done and not self._open):
            await anyio.sleep(CHECK_SECONDS)
            now_ns = monotonic_ns()
            for number, request in list(self._open.items()):
                if now_ns > request.give_up_ns + LATE_RESPONSE_NS:
                    del self._open[number]
                    self._end(request, "no answer")
        scope.cancel()

    async def _send(self, stream: SocketStream) -> None:
        with suppress(*CONNECTION_ERRORS):
            while not self.is_done:
                await self._send_some(stream)
                await anyio.sleep(self.random.uniform(*PAUSE_SECONDS))

    async def _send_some(self, stream: SocketStream) -> None:
        drawn = self.random.random()
        if drawn < SPLIT_SHARE:
            data, record_sent = self._make_request()
            await stream.send(data[:-5])
            await anyio.sleep(self.random.uniform(*SPLIT_PAUSE_SECONDS))
            record_sent()
            await stream.send(data[-5:])
        elif drawn < SPLIT_SHARE + BURST_SHARE:
            made = [self._make_request() for _ in range(BURST_REQUESTS)]
            for _, record_sent in made:
                record_sent()
            await stream.send(b"".join(data for data, _ in made))
        else:
            data, record_sent = self._make_request()
            record_sent()
            await stream.send(data)
        if self.random.random() < CANCEL_SHARE and self._number in self._open:
            self._end(self._open.pop(self._number), "left")
            await stream.send(_encode_cancel(self._number))

    def _make_request(self) -> tuple[bytes, Callable[[], None]]:
        """Returns a request, and a function that records that it is being sent."""
        self._requests += 1
        self._number += 1
        number, request_id = self._number, f"{self.prefix}{self._requests:012x}"
        is_short = self.random.random() < SHORT_DEADLINE_SHARE
        wait_ms = self.random.randint(*SHORT_DEADLINE_MS) if is_short else self.deadline_ms
        method, body = self.random.choice(METHODS), b64encode(request_id.encode()).decode()
        params: dict[str, Any] = {"id": request_id, "wait": wait_ms, "tenant": "acme", "key": "0" * 16}
        params["blob"] = body
        if method == "keyed":
            params["once"] = f"{request_id:0>32}"
        data = message({"jsonrpc": "2.0", "id": number, "method": method, "params": params})

        def record_sent() -> None:
            now_ns = monotonic_ns()
            give_up_ns = now_ns + wait_ms * NS_PER_MS
            self._open[number] = OpenRequest(request_id, now_ns, give_up_ns, body)
            self.book.record_client("sent", edge=self.node, give_up=give_up_ns, **{"try": request_id})

        return data, record_sent

    async def _receive(self, stream: SocketStream) -> None:
        buffer = b""
        with suppress(*CONNECTION_ERRORS):
            while True:
                buffer += await stream.receive()
                while (taken := take_message(buffer)) is not None:
                    response, buffer = taken
                    self._handle(response)

    def _handle(self, response: dict[str, Any]) -> None:
        request = self._open.pop(response.get("id", 0), None)
        if request is None:
            if response.get("id", 0) > self._number:
                self.book.record_client("stray", edge=self.node, **{"try": str(response)})
            return  # the client cancelled it or gave it up
        if "result" in response:
            if response["result"]["blob"] != request.body:
                self.book.wrong_bodies.append(request.request_id)
            self._end(request, "answer", final="satisfied", status=200)
        else:
            code = response["error"]["code"]
            self._end(request, "answer", final="turned back" if code == REJECTED else "scrapped", status=code)

    def _end(self, request: OpenRequest, what: str, **about: Any) -> None:
        self.book.record_client(what, edge=self.node, **about, **{"try": request.request_id})


def take_message(buffer: bytes) -> tuple[dict[str, Any], bytes] | None:
    """Returns the first message of the buffer and the bytes after it, or None if it is incomplete."""
    head, found, rest = buffer.partition(b"\r\n\r\n")
    if not found:
        return None
    length = int(head.split(b":")[1])
    if len(rest) < length:
        return None
    content: dict[str, Any] = json.loads(rest[:length])
    return content, rest[length:]


def _encode_cancel(number: int) -> bytes:
    return message({"jsonrpc": "2.0", "method": "abort", "params": {"id": number}})


async def run_crowd(port: int, connections: int, request_id_prefix: str) -> None:
    """Holds idle connections and ones with an incomplete request, and sends floods of requests that are
    cancelled at once. Nothing is recorded. Runs until cancelled."""

    async def hold(data: bytes) -> None:
        while True:
            with suppress(*CONNECTION_ERRORS):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(data)
                    while True:
                        await stream.receive()
            await anyio.sleep(RETRY_SECONDS)

    async def flood() -> None:
        count = 0
        while True:
            with suppress(*CONNECTION_ERRORS):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    for number in range(1, FLOOD_REQUESTS + 1):
                        count += 1
                        request_id = f"{request_id_prefix}{count:012x}"
                        params = {"id": request_id, "wait": 300, "tenant": "acme", "key": "0" * 16}
                        content = {"jsonrpc": "2.0", "id": number, "method": "safe", "params": params}
                        await stream.send(message(content) + _encode_cancel(number))
            await anyio.sleep(FLOOD_INTERVAL_SECONDS)

    incomplete = message({"jsonrpc": "2.0", "id": 1, "method": "safe", "params": {}})[:-3]
    async with anyio.create_task_group() as group:
        for number in range(connections):
            group.start_soon(hold, incomplete if number % 2 else b"")
        group.start_soon(flood)

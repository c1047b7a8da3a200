"""A real dispatcher on the platform's protocol in this process, and scripted peers around it.

The peers are workers, a journal service and clients.
"""

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
from support.fleet import LISTENER_CLOSED_ERRORS, until
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

Behaviour = Callable[["ScriptedWorker", SocketStream, dict[str, Any]], Awaitable[None]]
"""How a scripted worker handles one request line (`DO`) that it read from a connection."""
CONNECTION_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
"""What reading or writing raises once a connection has ended."""


def respond_with(answer_word: str, why: str = "resident") -> Behaviour:
    """Returns a behaviour that answers with this word; `DONE` returns the request's body."""

    async def behaviour(_worker: ScriptedWorker, stream: SocketStream, request: dict[str, Any]) -> None:
        await stream.send(
            answer(answer_word, request["txn"], why, request["raw"] if answer_word == "DONE" else "")
        )

    return behaviour


def send_bytes(data: bytes, *, end: bool = False, reset: bool = False) -> Behaviour:
    """Returns a behaviour that writes `data` with the request's id in place of %TXN%, and closes (`end`)
    or resets (`reset`) the connection if asked to."""

    async def behaviour(_worker: ScriptedWorker, stream: SocketStream, request: dict[str, Any]) -> None:
        if data:
            await stream.send(data.replace(b"%TXN%", request["txn"].encode()))
        if reset:
            reset_on_close(stream)
        if end or reset:
            await anyio.aclose_forcefully(stream)

    return behaviour


def reset_on_close(stream: SocketStream) -> None:
    """Makes the kernel send a reset (RST) instead of a FIN when this socket is closed."""
    stream.extra(SocketAttribute.raw_socket).setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))


def after_delay(delay_ms: float, behaviour: Behaviour) -> Behaviour:
    """Returns a behaviour that waits before it runs the given one."""

    async def delayed(worker: ScriptedWorker, stream: SocketStream, request: dict[str, Any]) -> None:
        await anyio.sleep(delay_ms / 1000)
        await behaviour(worker, stream, request)

    return delayed


def one_at_a_time(behaviour: Behaviour) -> Behaviour:
    """Returns a behaviour that handles the requests of a connection one after the other. Two tasks that
    write to a connection in the same turn of the event loop are an error of the rig, which ends the
    worker."""
    locks: defaultdict[SocketStream, anyio.Lock] = defaultdict(anyio.Lock)

    async def serialized(worker: ScriptedWorker, stream: SocketStream, request: dict[str, Any]) -> None:
        async with locks[stream]:
            await behaviour(worker, stream, request)

    return serialized


succeed, silent = respond_with("DONE"), send_bytes(b"")


class ScriptedWorker:
    """A worker that runs one behaviour for each request (`DO`), in their order, and the last one for all
    further requests. It answers each load request (`PIN`) at once, with one replica."""

    def __init__(self, name: str, behaviours: list[Behaviour], log: list[str]) -> None:
        self.name, self.behaviours, self.log = name, behaviours, log
        self.listener: PeerListener | None = None
        self.port = 0
        self.connection_count = self.open_connections = 0
        self.streams: list[SocketStream] = []

    async def serve(self) -> None:
        """Accepts connections until the listener is closed."""
        self.listener = PeerListener(self.port)
        self.port = self.listener.port
        with suppress(*LISTENER_CLOSED_ERRORS):
            await self.listener.serve(self.serve_connection)

    async def serve_connection(self, stream: SocketStream) -> None:
        """Logs each line of one connection as worker, method and the last two characters of its id, and
        handles it."""
        self.connection_count += 1
        self.open_connections += 1
        self.streams.append(stream)
        buffer = b""
        async with stream, anyio.create_task_group() as group:
            with suppress(*CONNECTION_ERRORS):
                while True:
                    *lines, buffer = (buffer + await stream.receive()).split(b"\n")
                    for line in lines:
                        message = json.loads(line)
                        about = message["props"]["name"] if message["m"] == "PIN" else message["txn"]
                        self.log.append(f"{self.name} {message['m']} {about[-2:]}")
                        if message["m"] == "DO":
                            behaviour = (
                                self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
                            )
                            group.start_soon(self.run_behaviour, behaviour, stream, message)
                        elif message["m"] == "PIN":
                            await stream.send(answer("DONE", message["txn"], instances="1"))
            group.cancel_scope.cancel()
        self.open_connections -= 1

    async def run_behaviour(
        self, behaviour: Behaviour, stream: SocketStream, message: dict[str, Any]
    ) -> None:
        """Runs a behaviour until it is done or its connection has ended."""
        with suppress(*CONNECTION_ERRORS):
            await behaviour(self, stream, message)


class ScriptedJournal:
    """A journal service that sends each connection all events after the position it asks for, then new
    events as they are published, and heartbeats (empty frames) in between."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.resume_positions: list[int] = []
        self.streams: list[SocketStream] = []
        self.port = 0
        self.sends_heartbeats = True

    async def serve(self) -> None:
        """Accepts connections, on a port that the kernel chooses."""
        listener = PeerListener()
        self.port = listener.port
        await listener.serve(self.serve_connection)

    async def serve_connection(self, stream: SocketStream) -> None:
        """Reads the position that the node resumes from, sends what it lacks, then a heartbeat every 0.2
        s."""
        async with stream:
            with suppress(*CONNECTION_ERRORS):
                number = int.from_bytes(await stream.receive(8), "big")
                self.resume_positions.append(number)
                self.streams.append(stream)  # events published from here on are sent to it
                await stream.send(b"".join(self.events[number - 1 :]))  # event 1 is `known` in the config
                while True:
                    await anyio.sleep(0.2)
                    if self.sends_heartbeats:
                        await stream.send(frame(len(self.events) + 1, 0))  # events may queue behind it

    async def publish(self, *records: bytes, kind: int = 2, cut: int | None = None) -> None:
        """Adds an event and sends it, or its first `cut` bytes, to all open connections."""
        event = frame(len(self.events) + 2, kind, *records)
        self.events.append(event)
        for stream in self.streams:
            with suppress(*CONNECTION_ERRORS):
                await stream.send(event[:cut])


class Client:
    """One client connection."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.buffer = b""
        self.last_number = 0  # JSON-RPC id of the last request

    async def send(self, data: bytes) -> None:
        """Writes bytes as they are."""
        await self.stream.send(data)

    async def send_request(self, method: str = "safe", **fields: Any) -> int:
        """Sends a valid request, changed by `fields` (None leaves a field out). Returns its JSON-RPC id."""
        await self.send(self.encode_request(method, **fields))
        return self.last_number

    def encode_request(self, method: str = "safe", **fields: Any) -> bytes:
        """Returns the next request as it goes over the wire."""
        self.last_number += 1
        params = {"id": f"{self.last_number:016x}", "wait": 1500, "tenant": "acme", "key": "0" * 15 + "1"}
        params = {k: v for k, v in {**params, "blob": "Ym9keQ==", **fields}.items() if v is not None}
        return message({"jsonrpc": "2.0", "id": self.last_number, "method": method, "params": params})

    async def receive_response(self, within: float = 5) -> dict[str, Any] | None:
        """Returns the next response, or None where the connection has ended. Fails after `within` seconds."""
        with anyio.fail_after(within):
            while True:
                head, found, rest = self.buffer.partition(b"\r\n\r\n")
                if found:
                    length = int(head.split(b":")[1])
                    if len(rest) >= length:
                        self.buffer = rest[length:]
                        response: dict[str, Any] = json.loads(rest[:length])
                        return response
                try:
                    self.buffer += await self.stream.receive()
                except CONNECTION_ERRORS:
                    return None

    async def call(self, method: str = "safe", **fields: Any) -> str:
        """Sends one request and returns the outcome of its response."""
        await self.send_request(method, **fields)
        return outcome_of(await self.receive_response())


class PipeliningClient:
    """A client that sends requests without waiting for responses, and records when each was sent and
    answered."""

    def __init__(self, client: Client, first: int = 0) -> None:
        """Numbers and ids begin after `first`, so that those of several clients differ."""
        self.client = client
        client.last_number = first
        self.sent_at: dict[int, float] = {}
        self.responses: list[tuple[int, str, float]] = []  # number of the request, outcome, time
        self.connection_ended = False

    async def send_request(self, method: str = "safe", **fields: Any) -> None:
        """Sends a request; one of the keyed class gets an idempotency key of its own."""
        if method == "keyed":
            fields["once"] = f"{self.client.last_number + 1:032x}"
        number = self.client.last_number + 1
        self.sent_at[number] = anyio.current_time()
        await self.client.send_request(method, **fields)

    async def read_responses(self) -> None:
        """Records responses until the connection ends."""
        while (response := await self.client.receive_response(within=60)) is not None:
            self.responses.append((response["id"], outcome_of(response), anyio.current_time()))
        self.connection_ended = True

    def latencies(self) -> list[float]:
        """Returns the time in seconds from request to response, for each response."""
        return [at - self.sent_at[number] for number, _, at in self.responses]

    def outcomes(self) -> set[str]:
        """Returns the different outcomes of all responses."""
        return {outcome for _, outcome, _ in self.responses}

    def has_one_response_each(self) -> bool:
        """Whether each request has exactly one response, and there is no response to anything else."""
        return sorted(number for number, _, _ in self.responses) == sorted(self.sent_at)


def outcome_of(response: dict[str, Any] | None) -> str:
    """Returns `satisfied` (succeeded), `turned back` (rejected), `error` with its code, or `closed` where the
    connection ended without a response."""
    if response is None:
        return "closed"
    if "result" in response:
        return "satisfied"
    return "turned back" if response["error"]["code"] == -32001 else f"error {response['error']['code']}"


class NodeRig:
    """A node and its scripted peers. `log` has one line for each message that a worker received."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.workers: dict[str, ScriptedWorker] = {}
        self.journal = ScriptedJournal()
        self.node: Node
        self.config_path: Path
        self.port = 0
        self.task_group: Any
        self.node_ended = False

    def worker_record(self, name: str, state: int = 0, started: int = 0) -> bytes:
        """Returns the record of a scripted worker for an event of the journal service."""
        return record(ord(name), self.workers[name].port, state, started)

    async def start_worker(self, name: str, *behaviours: Behaviour, port: int = 0) -> ScriptedWorker:
        """Starts a scripted worker, on a free port unless one is given, and waits until it listens."""
        worker = self.workers[name] = ScriptedWorker(name, list(behaviours), self.log)
        worker.port = port
        self.task_group.start_soon(worker.serve)
        await until(lambda: worker.listener)
        return worker

    def write_config(self, journal_port: int, **entries: Any) -> None:
        """Writes the node's configuration with all workers listed; `entries` replaces whole entries of it."""
        workers = [ListedWorker(ord(name), worker.port) for name, worker in self.workers.items()]
        config = configuration("n0", self.port, journal_port, workers, **entries)
        self.config_path.write_text(json.dumps(config))

    async def connect_client(self) -> Client:
        """Returns a client with a new connection to the node."""
        return Client(await anyio.connect_tcp("127.0.0.1", self.port))

    def received(self, method: str = "DO") -> list[str]:
        """Returns the log lines of messages of this method that workers received."""
        return [line for line in self.log if f" {method} " in line]


@asynccontextmanager
async def run_node(
    tmp_path: Path,
    behaviours: dict[str, list[Behaviour]] | None = None,
    journal: ScriptedJournal | None = None,
    **entries: Any,
) -> AsyncIterator[NodeRig]:
    """Runs a node in this process, with a scripted worker for each name in `behaviours` (by default one
    that succeeds) and entries of its configuration replaced by `entries`. Yields once the node follows
    the journal service."""
    rig = NodeRig()
    rig.journal = journal or rig.journal
    rig.config_path = tmp_path / "config.json"
    async with anyio.create_task_group() as rig.task_group:
        for name, script in (behaviours or {"a": [succeed]}).items():
            await rig.start_worker(name, *script)
        rig.task_group.start_soon(rig.journal.serve)
        rig.port = unused_port()
        await until(lambda: rig.journal.port)
        rig.write_config(rig.journal.port, **entries)
        rig.node = Node(rig.config_path)
        started = anyio.Event()

        async def serve() -> None:
            await rig.node.serve(started.set)
            rig.node_ended = True

        rig.task_group.start_soon(serve)
        with anyio.fail_after(10):
            await started.wait()
        await until(lambda: rig.journal.resume_positions)
        yield rig
        rig.task_group.cancel_scope.cancel()

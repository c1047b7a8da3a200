"""Stand-ins and process control that the cases of the second review share; standard library alone.

All addresses are loopback, on free ports. Every process that a case starts is ended by its id when the case
ends, also after an error.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
LONGEST_RUN_S = 110
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GONE = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError)
# From deploy/balancer.toml; the edge has no line of its own there, and is started in the same form.
RUN_LINE = "exec .venv/bin/python -m martenlead.node"
EDGE_LINE = "exec .venv/bin/python -m martenlead edge"


class CouldNotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Case:
    """One play: its record, its temporary folder and its processes."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.record_file = (folder / "record.txt").open("w")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.processes: list[asyncio.subprocess.Process] = []
        self.note("case", trouble=TROUBLE)

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started

    def note(self, what: str, **fields: Any) -> float:
        """Writes one line of the record; returns its time."""
        at = self.now()
        if self.record_file.closed:  # a stand-in's task that ends after the case
            return at
        self.record_file.write(json.dumps({"t": round(at, 4), "what": what, **fields}) + "\n")
        return at

    async def start(self, line: str, log: str, **environment: str) -> asyncio.subprocess.Process:
        """Starts a program from the repository's root, as the deploy file says."""
        temporary = self.folder / f"tmp-{log}"
        temporary.mkdir(exist_ok=True)
        environment = {**os.environ, "TMPDIR": str(temporary), **environment}
        with (self.folder / f"{log}.log").open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                line,
                cwd=ROOT,
                env=environment,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        self.processes.append(process)
        self.note("started", line=line.split(" /")[0], process=log)
        return process

    async def start_edge(self, settings: dict[str, Any]) -> asyncio.subprocess.Process:
        """Starts an edge and waits until it is ready."""
        path = self.folder / f"{settings['name']}.jsonnet"
        path.write_text(json.dumps(settings))
        process = await self.start(f"{EDGE_LINE} {path}", settings["name"])
        assert process.stdout is not None
        try:
            line = await asyncio.wait_for(process.stdout.readline(), 30)
        except TimeoutError:
            line = b""
        if b"ready" not in line:
            raise CouldNotRunError("the edge did not become ready")
        return process

    async def start_node(self, config: dict[str, Any]) -> asyncio.subprocess.Process:
        """Starts a node; `NodeClient.open_ready` waits until it answers."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        return await self.start(
            RUN_LINE,
            config["name"],
            ROUTER_NAME=config["name"],
            ROUTER_LISTEN=config["listen"],
            ROUTER_CONFIG=str(path),
        )

    async def end(self) -> None:
        """Ends all processes that the case started."""
        for process in self.processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self.record_file.close()
        self.temporary.cleanup()


def play(folder: Path, script: Callable[[Case], Awaitable[str]]) -> None:
    """Plays a case and exits; `script` returns how the rule was broken, or an empty text."""

    async def run() -> int:
        case = Case(folder)
        try:
            broken = await asyncio.wait_for(script(case), LONGEST_RUN_S)
            case.note("verdict", broken=broken)
            print(f"BROKEN: {broken}" if broken else "held")
            return BROKEN if broken else HELD
        except Exception as error:  # whatever goes wrong with the play shows nothing of the program
            case.note("could not run", why=repr(error))
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await case.end()

    sys.exit(asyncio.run(run()))


def free_port() -> int:
    """A port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


# -- the edge's peers: docs/protocol.md


async def read_http(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str], bytes]:
    """Reads one HTTP/1.1 message with Content-Length: the words of its first line, headers, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0].split(" "), headers, body


def http_event(event_id: str, kind: str, body: bytes, **attributes: object) -> bytes:
    """One event in binary mode, as a request to an edge."""
    fields: dict[str, object] = {
        "specversion": "1.0",
        "id": event_id,
        "source": "/client",
        "type": kind,
        "model": "m1",
        "lanes": 8,
        "memorymb": 100,
        **attributes,
    }
    lines = "".join(f"ce-{name}: {value}\r\n" for name, value in fields.items())
    head = f"POST / HTTP/1.1\r\nhost: edge\r\n{lines}content-type: text/plain\r\n"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


CHECK = {"name": "eligibility-check", "soft_limit_ms": 750, "hard_limit_ms": 5000, "effect": "idempotent"}
DECISION = {"name": "decision-post", "soft_limit_ms": 300, "hard_limit_ms": 4000, "effect": "unrepeatable"}


class HttpWorker:
    """A worker on HTTP/1.1: answers the requests of a connection one after the other, in their order.

    The answer to an event has the event's id with `.answer` behind it, and the event's data `repeated` times.
    """

    def __init__(
        self, case: Case, name: str, work_s: Callable[[dict[str, str]], float], repeated: int = 1
    ) -> None:
        self.case, self.name, self.work_s, self.repeated = case, name, work_s, repeated
        self.arrived: list[tuple[float, dict[str, str]]] = []
        self.port = 0

    async def start(self, listening: socket.socket | None = None) -> None:
        """Listens on a free port, or accepts on a socket that listens already."""
        if listening is None:
            listening = socket.create_server((HOST, 0), backlog=512)
        self.port = int(listening.getsockname()[1])
        self.server = await asyncio.start_server(self.serve, sock=listening)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        with suppress(*GONE):
            while True:
                (_, target, *_), headers, body = await read_http(reader)
                if target.startswith("/v2/"):
                    answer = b'{"copies":1}'
                    writer.write(_http_response(200, {"content-type": "application/json"}, answer))
                else:
                    identity = {n: headers.get(f"ce-{n}", "") for n in ("source", "id", "type")}
                    at = self.case.note("arrived", worker=self.name, **identity)
                    self.arrived.append((at, identity))
                    await asyncio.sleep(self.work_s(identity))
                    fields = {
                        "ce-specversion": "1.0",
                        "ce-id": f"{identity['id']}.answer",
                        "ce-source": f"/runners/{self.name}",
                        "ce-type": "answer",
                        "content-type": "text/plain",
                        "martenlead-copy": "warm",
                    }
                    writer.write(_http_response(200, fields, body * self.repeated))
                await writer.drain()
        writer.close()


def _http_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} OK\r\n{lines}content-length: {len(body)}\r\n\r\n".encode() + body


class Roster:
    """Discovery for edges: a stream of JSON lines, told at once, with a keep-alive line each 0.5 s."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.version = 0
        self.lines: dict[str, dict[str, Any]] = {}
        self.deltas: dict[int, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def tell(self, worker: str, port: int, state: str = "up") -> float:
        """Adds or changes a worker; returns when that was told to all who watch."""
        line = {"id": worker, "host": HOST, "port": port, "zone": "east", "cell": 0, "kind": "std"}
        line |= {"memory_mb": 40_000, "weight": 1, "state": state, "start": "1"}
        self.version += 1
        self.lines[worker] = self.deltas[self.version] = line
        self.changed.set()
        self.changed = asyncio.Event()
        return self.case.note("told", worker=worker, state=state, version=self.version)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one watch: the whole list first, then each change."""

        def send(message: dict[str, Any]) -> None:
            data = json.dumps(message).encode() + b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

        with suppress(*GONE):
            await read_http(reader)
            head = "content-type: application/x-ndjson\r\ntransfer-encoding: chunked"
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n\r\n".encode())
            sent = self.version
            send({"version": sent, "whole": True, "runners": list(self.lines.values())})
            while True:
                changed = self.changed
                while sent < self.version:
                    sent += 1
                    send({"version": sent, "runners": [self.deltas[sent]]})
                await writer.drain()
                try:
                    await asyncio.wait_for(changed.wait(), 0.5)
                except TimeoutError:
                    send({"version": sent})
        writer.close()


# -- the node's peers: the platform's protocol


def node_settings() -> dict[str, Any]:
    """Settings with the figures of the deployment `savannah-hardship`."""
    return {
        "balancers": 1,
        "granularity": 0.004,
        "azs": ["east-wing"],
        "skus": ["std-2c"],
        "weights": "nominal",
        "allowed": {
            "attempts-cap": 5,
            "cancel": True,
            "may-duplicate": True,
            "retry-after": True,
            "max-retry-after": 2.0,
            "connect-timeout": 0.25,
            "conn-idle": 30.0,
            "streams-per-conn": 32,
        },
        "rules": {"cold-from": 0.18, "cold": 14.0, "fall-multiple": 2.5, "fall": 3.0, "drain-grace": 2.0},
        "family-info": {
            "if-cold": "load",
            "kind-memory-mb": [50_000],
            "linger-idle": 10.0,
            "tells-warm": True,
            "placement-calls": True,
            "load-period": 10.0,
            "loads-anyway": 2,
            "loads-per-request": 0.3,
            "order-limit": 10.0,
        },
        "orgs": [{"name": "hardship", "quota-per-s": 200.0}],
        "classes": [{"name": "eligibility-check", "effect": "read_like", "on-time": 0.75, "give-up": 5.0}],
    }


def node_config(port: int, journal_port: int, runners: dict[int, int]) -> dict[str, Any]:
    """The configuration of a node; `runners` has the port of each runner by its number."""
    members = [
        {
            "id": f"s-{number:08x}",
            "host_port": f"{HOST}:{runner_port}",
            "locality": "east-wing",
            "flavor": "std-2c",
            "cell": 0,
            "phase": "in_service",
            "size": 1,
            "up_since_ms": 0,
        }
        for number, runner_port in runners.items()
    ]
    hosts = {"revision": 1, "complete": True, "members": members}
    return {
        "name": "n0",
        "listen": f"{HOST}:{port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "journal": f"{HOST}:{journal_port}",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": hosts}]},
        "settings": node_settings(),
    }


class Runner:
    """A runner on the platform's protocol: runs each request for a fixed time, and has copies at once.

    One that drains turns requests and orders away (`WAIT`).
    """

    def __init__(self, case: Case, number: int, work_s: float) -> None:
        self.case, self.number, self.work_s = case, number, work_s
        self.arrived: list[tuple[float, str]] = []
        self.drains = False

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        running = set()
        with suppress(*GONE):
            while line := await reader.readline():
                message = json.loads(line)
                if message["m"] in ("DO", "PIN"):
                    at = self.case.note("arrived", runner=self.number, m=message["m"], txn=message["txn"])
                    self.arrived.append((at, message["m"]))
                    running.add(asyncio.create_task(self.answer(message, writer)))
        writer.close()

    async def answer(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Answers a request or an order."""
        if self.drains:
            answer = {"m": "WAIT", "txn": message["txn"], "props": {}}
        elif message["m"] == "DO":
            await asyncio.sleep(self.work_s)
            props = {"why": "resident"}
            answer = {"m": "DONE", "txn": message["txn"], "props": props, "raw": message["raw"]}
        else:
            answer = {"m": "DONE", "txn": message["txn"], "props": {"instances": 1}}
        with suppress(*GONE):
            writer.write(json.dumps(answer).encode() + b"\n")


DRAINING = 1  # a state of the journal's records


class Journal:
    """The journal service; `late_s` is how long a new connection waits for its first frame."""

    def __init__(self, case: Case, late_s: float = 0.0) -> None:
        self.case, self.late_s = case, late_s
        self.frames: list[bytes] = []  # events from number 2 on; number 1 is `known`
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def tell(self, number: int, port: int, state: int) -> float:
        """Adds an event with one record; returns when it was in the journal service."""
        event = len(self.frames) + 2
        record = struct.pack(">I4sHBBBHIQ", number, socket.inet_aton(HOST), port, state, 0, 0, 0, 1000, 0)
        self.frames.append(struct.pack(">IQB", 9 + len(record), event, 2) + record)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.case.note("in the journal", runner=number, state=state, event=event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends all events after the number that was asked for, and an empty frame each second."""
        with suppress(*GONE):
            last = int.from_bytes(await reader.readexactly(8), "big")
            self.case.note("journal asked", after=last)
            await asyncio.sleep(self.late_s)
            while True:
                changed = self.changed
                while last - 1 < len(self.frames):
                    writer.write(self.frames[last - 1])
                    last += 1
                    self.case.note("journal sent", event=last)
                await writer.drain()
                try:
                    await asyncio.wait_for(changed.wait(), 1.0)
                except TimeoutError:
                    writer.write(struct.pack(">IQB", 9, last, 0))
                    await writer.drain()
        self.case.note("journal connection ended")
        writer.close()


class NodeClient:
    """One client connection to a node."""

    def __init__(self, case: Case, port: int) -> None:
        self.case, self.port = case, port
        self.last_number = 0
        self.waiting: dict[int, asyncio.Future[dict[str, Any] | None]] = {}

    async def open_ready(self, seconds: float = 30) -> None:
        """Connects, and returns once the node has answered a ping with `"up":true`."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with suppress(OSError, TimeoutError):
                self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
                self.reading = asyncio.create_task(self.read())
                answer = await asyncio.wait_for(self.send("ping", {}), 2)
                if answer is not None and answer["result"]["up"]:
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the node did not become ready")

    def send(self, method: str, params: dict[str, Any]) -> asyncio.Future[dict[str, Any] | None]:
        """Sends a message; the result is its answer, or None where the connection ended first."""
        self.last_number += 1
        message = {"jsonrpc": "2.0", "id": self.last_number, "method": method, "params": params}
        body = json.dumps(message).encode()
        answer = self.waiting[self.last_number] = asyncio.get_running_loop().create_future()
        self.writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        return answer

    async def read(self) -> None:
        """Reads answers until the connection ends."""
        with suppress(*GONE):
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                message = json.loads(await self.reader.readexactly(int(head.split(b":")[1])))
                answer = self.waiting.pop(message["id"], None)
                if answer is not None and not answer.done():
                    answer.set_result(message)
        for answer in self.waiting.values():
            if not answer.done():
                answer.set_result(None)

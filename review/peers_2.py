"""Stand-ins and process control that the cases of the second review share; standard library alone.

All addresses are loopback, on free ports. Every process that a case starts is ended by its id when the case
ends, also after an error.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
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
# deploy/balancer.toml has no line for the edge: it is started in the form of `run`.
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
        # how many bytes less a good answer's Content-Length says than its body has
        self.missing_bytes: Callable[[dict[str, str], bytes], int] = lambda _event, _body: 0
        # after how many seconds a second copy of a good answer is written, if at all
        self.second_copy_s: Callable[[dict[str, str]], float | None] = lambda _event: None
        self.copies: set[asyncio.Task[None]] = set()
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
                    body *= self.repeated
                    answer = _http_response(200, fields, body, self.missing_bytes(identity, body))
                    writer.write(answer)
                    after_s = self.second_copy_s(identity)
                    if after_s is not None:
                        self.copies.add(asyncio.create_task(self.write_again(writer, answer, after_s)))
                await writer.drain()
        writer.close()

    async def write_again(self, writer: asyncio.StreamWriter, answer: bytes, after_s: float) -> None:
        """Writes a second copy of an answer."""
        await asyncio.sleep(after_s)
        with suppress(*GONE):
            writer.write(answer)


def _http_response(status: int, headers: dict[str, str], body: bytes, missing: int = 0) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} OK\r\n{lines}content-length: {len(body) - missing}\r\n\r\n".encode() + body


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

"""A program of the command line as a process of its own, as an operator starts it."""

from __future__ import annotations

import json
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process

from martenlead.events import http
from martenlead.events.client import Pool
from support.fleet import REQUEST_CLASSES
from support.peers import unused_port

OTHER_HTTP_PROGRAMS = ("planner", "agent")  # besides the edge
READY_SECONDS = 20.0


@dataclass
class ProgramProcess:
    """A program that has started, and the port that it names when it is ready."""

    process: Process
    port: int


@asynccontextmanager
async def run_program(
    tmp_path: Path, arguments: tuple[str, ...], settings: dict[str, Any]
) -> AsyncIterator[ProgramProcess]:
    """Starts a program with these settings, and kills it behind the block."""
    config = tmp_path / f"{arguments[-1]}.json"
    config.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "martenlead", *arguments, str(config)]
    process = await anyio.open_process(command, stderr=None)
    assert process.stdout is not None
    try:
        with anyio.fail_after(READY_SECONDS):
            ready = json.loads(await process.stdout.receive())
        yield ProgramProcess(process, ready["ready"]["port"])
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        with anyio.CancelScope(shield=True):
            await process.wait()


@asynccontextmanager
async def run_edge_process(
    tmp_path: Path, discovery_port: int, **settings: Any
) -> AsyncIterator[ProgramProcess]:
    """Starts an edge."""
    required = {"roster": {"port": discovery_port}, "offerings": REQUEST_CLASSES}
    async with run_program(tmp_path, ("edge",), {**required, **settings}) as program:
        yield program


@asynccontextmanager
async def run_planner_process(tmp_path: Path) -> AsyncIterator[tuple[ProgramProcess, int]]:
    """Starts a planner; yields it with the port of its links, and the port of its operators' listener."""
    admin_port = unused_port()
    async with run_program(tmp_path, ("plan",), {"admin": {"port": admin_port}}) as program:
        yield program, admin_port


@asynccontextmanager
async def run_agent_process(tmp_path: Path) -> AsyncIterator[ProgramProcess]:
    """Starts an agent of a worker's machine."""
    settings = {"name": "x", "cache": str(tmp_path / "cache"), "vault": {"port": unused_port()}}
    async with run_program(tmp_path, ("layers", "agent"), settings) as program:
        yield program


@dataclass
class HttpProgram:
    """A program with a port that serves HTTP."""

    pid: int
    port: int
    path: bytes  # of a usual request

    def make_call(self, connections: int) -> Callable[[], Awaitable[str]]:
        """Returns a function that sends one usual request, to which any response will do."""
        pool = Pool("127.0.0.1", self.port, connection_limit=connections)

        async def call() -> str:
            """Sends one request."""
            exchange = await pool.exchange(http.request(b"GET", self.path, b"x", []))
            return "satisfied" if exchange.message is not None else "closed"

        return call


@asynccontextmanager
async def run_http_program(name: str, tmp_path: Path) -> AsyncIterator[HttpProgram]:
    """Starts a planner or an agent."""
    if name == "planner":
        async with run_planner_process(tmp_path) as (program, port):
            yield HttpProgram(program.process.pid, port, b"/state")
    else:
        async with run_agent_process(tmp_path) as program:
            yield HttpProgram(program.process.pid, program.port, b"/have")

"""Clients that send at full speed hold up no other client, and fill no memory.

Programs and floods are processes of their own, on loopback addresses; workers, discovery and the usual
clients are simulated in this process.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.events import http
from martenlead.events.client import Pool
from support.edge_process import run_edge_process
from support.fleet import after_delay, respond_ok, run_edge
from support.full_speed_client import full_speed_clients, peak_mb
from support.peers import unused_port
from support.usual_requests import DEADLINE_SECONDS, UsualRequests
from tests.apart import run_node_process, serve_journal
from tests.nodes import Client

pytestmark = pytest.mark.anyio

FLOODING_CLIENTS = 6
FLOOD_SECONDS = 5.0
USUAL_CLIENTS = 4
# benchmarks/floods.py: what the settings of an edge allow it, without functions and bodies
EDGE_BASE_MB, CONNECTION_MB = 75, 0.25
READY_SECONDS = 20.0


FUNCTIONS = 16  # of the usual requests, so that each worker gets some of them


async def call_node(client: Client, first: int) -> str:
    """Sends one usual request to a node; its id differs from those of the floods."""
    client.last_number = max(client.last_number, first)
    request_id = f"{client.last_number + 1:016x}"
    function = f"{client.last_number % FUNCTIONS:016x}"
    return await client.call(id=request_id, key=function, wait=round(DEADLINE_SECONDS * 1000))


@pytest.mark.parametrize(
    "kind",
    [
        "pings",
        "cancels of unknown ids",
        "requests under new names",
        "requests without a deadline",
        "no json",
        "no framing",
    ],
)
async def test_clients_at_full_speed_hold_up_no_other_client_of_a_node(tmp_path: Path, kind: str) -> None:
    # Guards against one connection that takes the event loop for seconds.
    usual = UsualRequests()
    async with run_node_process(tmp_path, "ab") as rig, anyio.create_task_group() as group:
        group.start_soon(serve_journal, rig.journal)
        await rig.wait_until_up(READY_SECONDS)
        async with full_speed_clients(rig.port, kind, FLOODING_CLIENTS, FLOOD_SECONDS + 1):
            until = anyio.current_time() + FLOOD_SECONDS
            async with anyio.create_task_group() as asking:
                for number in range(1, USUAL_CLIENTS + 1):
                    client = await rig.connect_client()
                    first = number << 40
                    asking.start_soon(usual.send, lambda c=client, f=first: call_node(c, f), until)
        group.cancel_scope.cancel()
    # valid requests compete for the workers: others may be rejected, in their time
    usual.check(*(["turned back"] if kind == "requests under new names" else []))


@pytest.mark.parametrize("kind", ["paths that do not exist", "invalid events", "no http"])
async def test_clients_at_full_speed_neither_fill_an_edge_nor_hold_it_up(tmp_path: Path, kind: str) -> None:
    # Guards against input that an edge reads faster than it answers, and keeps.
    usual = UsualRequests()
    behaviours = {"a": [after_delay(5, respond_ok)], "b": [after_delay(5, respond_ok)]}
    async with run_edge(behaviours) as rig, run_edge_process(tmp_path, rig.discovery_port) as edge:
        rig.pool.port = edge.port
        await rig.wait_until_up(READY_SECONDS)

        async def call_edge() -> str:
            """Sends one usual request to the edge."""
            status, _ = await rig.call(left=DEADLINE_SECONDS * 1000)
            return "satisfied" if status == 200 else str(status)

        async with full_speed_clients(edge.port, kind, FLOODING_CLIENTS, FLOOD_SECONDS + 1):
            until = anyio.current_time() + FLOOD_SECONDS
            async with anyio.create_task_group() as asking:
                for _ in range(USUAL_CLIENTS):
                    asking.start_soon(usual.send, call_edge, until)
            highest_mb = peak_mb(edge.process.pid)
    usual.check()
    connections = FLOODING_CLIENTS + USUAL_CLIENTS
    assert highest_mb < EDGE_BASE_MB + connections * CONNECTION_MB


@dataclass(frozen=True)
class OtherProgram:
    """A program that serves HTTP on a port of its settings or on the one that it names when it is ready."""

    arguments: tuple[str, ...]
    settings: Callable[[Path, int], dict[str, Any]]  # from a folder and a free port
    is_port_in_settings: bool
    path: bytes  # of a usual request


OTHER_PROGRAMS = {
    "planner": OtherProgram(("plan",), lambda _, port: {"admin": {"port": port}}, True, b"/state"),
    "agent": OtherProgram(
        ("layers", "agent"),
        lambda folder, port: {"name": "x", "cache": str(folder / "cache"), "vault": {"port": port}},
        False,
        b"/have",
    ),
}


@pytest.mark.parametrize("kind", ["paths that do not exist", "no http"])
@pytest.mark.parametrize("name", OTHER_PROGRAMS)
async def test_clients_at_full_speed_neither_fill_another_program_nor_hold_it_up(
    tmp_path: Path, name: str, kind: str
) -> None:
    # Guards against the same at the other programs, which share the server of HTTP.
    program, free_port = OTHER_PROGRAMS[name], unused_port()
    config = tmp_path / "config.json"
    config.write_text(json.dumps(program.settings(tmp_path, free_port)))
    command = [sys.executable, "-m", "martenlead", *program.arguments, str(config)]
    usual = UsualRequests()
    async with await anyio.open_process(command, stderr=None) as process:
        assert process.stdout is not None
        with anyio.fail_after(READY_SECONDS):
            ready = json.loads(await process.stdout.receive())
        port = free_port if program.is_port_in_settings else ready["ready"]["port"]
        pool = Pool("127.0.0.1", port, connection_limit=USUAL_CLIENTS)

        async def call() -> str:
            """Sends one usual request, to which any response will do."""
            exchange = await pool.exchange(http.request(b"GET", program.path, b"x", []))
            return "satisfied" if exchange.message is not None else "closed"

        async with full_speed_clients(port, kind, FLOODING_CLIENTS, FLOOD_SECONDS + 1):
            until = anyio.current_time() + FLOOD_SECONDS
            async with anyio.create_task_group() as asking:
                for _ in range(USUAL_CLIENTS):
                    asking.start_soon(usual.send, call, until)
            highest_mb = peak_mb(process.pid)
        process.kill()
    usual.check()
    assert highest_mb < EDGE_BASE_MB + (FLOODING_CLIENTS + USUAL_CLIENTS) * CONNECTION_MB

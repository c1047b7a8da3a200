"""Clients that send at full speed hold up no other client, and fill no memory.

Programs and floods are processes of their own, on loopback addresses; workers, discovery and the usual
clients are simulated in this process.
"""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from support.fleet import after_delay, respond_ok, run_edge
from support.full_speed_client import full_speed_clients, peak_mb
from support.full_speed_crowd import full_speed_crowd
from support.node_process import run_node_process, serve_journal
from support.node_rig import Client
from support.program_process import OTHER_HTTP_PROGRAMS, run_edge_process, run_http_program
from support.usual_requests import DEADLINE_SECONDS, UsualRequests

pytestmark = pytest.mark.anyio

FLOODING_CLIENTS = 6
FLOOD_SECONDS = 5.0
CROWD_CLIENTS, CROWD_MEMORY_MB = 450, 64
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


@pytest.mark.parametrize("kind", ["pings", "requests without a deadline"])
async def test_hundreds_of_clients_at_full_speed_hold_up_no_other_client_of_a_node(
    tmp_path: Path, kind: str
) -> None:
    # Guards against reads that are short enough for each client, and together take seconds.
    usual = UsualRequests()
    limits = {"descriptor_limit": 1024, "memory_mb": CROWD_MEMORY_MB}
    async with run_node_process(tmp_path, "ab", **limits) as rig, anyio.create_task_group() as group:
        group.start_soon(serve_journal, rig.journal)
        await rig.wait_until_up(READY_SECONDS)
        clients = [await rig.connect_client() for _ in range(USUAL_CLIENTS)]
        async with full_speed_crowd(rig.port, kind, CROWD_CLIENTS, FLOOD_SECONDS + 1):
            until = anyio.current_time() + FLOOD_SECONDS
            async with anyio.create_task_group() as asking:
                for number, client in enumerate(clients, start=1):
                    first = number << 40
                    asking.start_soon(usual.send, lambda c=client, f=first: call_node(c, f), until)
            highest_mb = peak_mb(rig.process.pid)
        group.cancel_scope.cancel()
    usual.check()
    assert highest_mb < CROWD_MEMORY_MB


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


@pytest.mark.parametrize("kind", ["paths that do not exist", "events under new names"])
async def test_hundreds_of_clients_at_full_speed_hold_up_no_other_client_of_an_edge(
    tmp_path: Path, kind: str
) -> None:
    # Guards against reads that are short enough for each client, and together take seconds.
    usual = UsualRequests()
    behaviours = {"a": [after_delay(5, respond_ok)], "b": [after_delay(5, respond_ok)]}
    async with run_edge(behaviours) as rig, run_edge_process(tmp_path, rig.discovery_port) as edge:
        rig.pool.port = edge.port
        await rig.wait_until_up(READY_SECONDS)

        async def call_edge() -> str:
            """Sends one usual request to the edge."""
            status, _ = await rig.call(left=DEADLINE_SECONDS * 1000)
            return "satisfied" if status == 200 else str(status)

        async with full_speed_crowd(edge.port, kind, CROWD_CLIENTS, FLOOD_SECONDS + 1):
            until = anyio.current_time() + FLOOD_SECONDS
            async with anyio.create_task_group() as asking:
                for _ in range(USUAL_CLIENTS):
                    asking.start_soon(usual.send, call_edge, until)
    # valid requests compete for the workers: others may be rejected, in their time
    usual.check(*(["503"] if kind == "events under new names" else []))


@pytest.mark.parametrize("kind", ["paths that do not exist", "no http"])
@pytest.mark.parametrize("name", OTHER_HTTP_PROGRAMS)
async def test_clients_at_full_speed_neither_fill_another_program_nor_hold_it_up(
    tmp_path: Path, name: str, kind: str
) -> None:
    # Guards against the same at the other programs, which share the server of HTTP.
    usual = UsualRequests()
    async with run_http_program(name, tmp_path) as program:
        call = program.make_call(USUAL_CLIENTS)
        async with full_speed_clients(program.port, kind, FLOODING_CLIENTS, FLOOD_SECONDS + 1):
            until = anyio.current_time() + FLOOD_SECONDS
            async with anyio.create_task_group() as asking:
                for _ in range(USUAL_CLIENTS):
                    asking.start_soon(usual.send, call, until)
            highest_mb = peak_mb(program.pid)
    usual.check()
    assert highest_mb < EDGE_BASE_MB + (FLOODING_CLIENTS + USUAL_CLIENTS) * CONNECTION_MB

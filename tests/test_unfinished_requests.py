"""Hundreds of clients that stop half way, or write slowly, take a program to no more memory than it may use.

Programs are processes of their own, on loopback addresses; clients, workers and discovery are simulated.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.events.server import Reply, Server, ServerLimits, listen
from martenlead.node.received_messages import MESSAGES_PER_TURN
from support.fleet import after_delay, respond_ok, run_edge, until
from support.full_speed_client import peak_mb
from support.node_process import run_node_process, serve_journal
from support.node_rig import message, outcome_of, run_node
from support.program_process import OTHER_HTTP_PROGRAMS, run_edge_process, run_http_program
from support.unfinished_clients import HALF_OF_A_MESSAGE, unfinished_clients
from support.usual_requests import DEADLINE_SECONDS, UsualRequests
from tests.test_full_speed_clients import (
    CONNECTION_MB,
    EDGE_BASE_MB,
    READY_SECONDS,
    call_node,
)

pytestmark = pytest.mark.anyio

CLIENTS = 300
SECONDS = 5.0
NODE_MEMORY_MB, NODE_DESCRIPTORS = 48, 1024
HELD_BYTES = 8_000_000
NODE_KINDS = ("half of a request", "requests and half of one")
EDGE_KINDS = ("half of a body", "half of a body in chunks", "many short fields")


async def play(port: int, kind: str, calls: list[Callable[[], Awaitable[str]]]) -> UsualRequests:
    """Runs the unfinished clients beside usual ones."""
    usual = UsualRequests()
    async with unfinished_clients(port, kind, CLIENTS, SECONDS) as unfinished:
        until_time = anyio.current_time() + SECONDS
        async with anyio.create_task_group() as group:
            for call in calls:
                group.start_soon(usual.send, call, until_time)
    assert unfinished.beginnings >= CLIENTS
    return usual


@pytest.mark.parametrize("kind", NODE_KINDS)
async def test_unfinished_requests_do_not_take_a_node_over_its_memory_limit(
    tmp_path: Path, kind: str
) -> None:
    # Guards against hundreds of connections that each keep less than their own bound.
    rig_limits: dict[str, Any] = {"descriptor_limit": NODE_DESCRIPTORS, "memory_mb": NODE_MEMORY_MB}
    async with run_node_process(tmp_path, "ab", **rig_limits) as rig, anyio.create_task_group() as group:
        group.start_soon(serve_journal, rig.journal)
        await rig.wait_until_up(READY_SECONDS)
        clients = [await rig.connect_client() for _ in range(2)]
        calls = [
            lambda c=client, f=place << 48: call_node(c, f) for place, client in enumerate(clients, start=1)
        ]
        usual = await play(rig.port, kind, calls)
        highest_mb = peak_mb(rig.process.pid)
        group.cancel_scope.cancel()
    assert highest_mb < NODE_MEMORY_MB
    assert set(usual.outcomes) <= {"satisfied", "turned back"}


@pytest.mark.parametrize("kind", EDGE_KINDS)
async def test_unfinished_requests_do_not_fill_an_edge(tmp_path: Path, kind: str) -> None:
    # Guards against incomplete bodies, which `held_bytes` did not count.
    behaviours = {"a": [after_delay(5, respond_ok)], "b": [after_delay(5, respond_ok)]}
    limits = {"held_bytes": HELD_BYTES}
    async with (
        run_edge(behaviours) as rig,
        run_edge_process(tmp_path, rig.discovery_port, limits=limits) as edge,
    ):
        rig.pool.port = edge.port
        await rig.wait_until_up(READY_SECONDS)

        async def call_edge() -> str:
            """Sends one usual request to the edge."""
            status, _ = await rig.call(left=DEADLINE_SECONDS * 1000)
            return "satisfied" if status == 200 else str(status)

        usual = await play(edge.port, kind, [call_edge] * 2)
        highest_mb = peak_mb(edge.process.pid)
    usual.check()
    assert highest_mb < EDGE_BASE_MB + HELD_BYTES / 1e6 + CLIENTS * CONNECTION_MB


@pytest.mark.parametrize("kind", EDGE_KINDS)
@pytest.mark.parametrize("name", OTHER_HTTP_PROGRAMS)
async def test_unfinished_requests_do_not_fill_another_program(tmp_path: Path, name: str, kind: str) -> None:
    # Guards against the same at the other programs, which share the server of HTTP.
    async with run_http_program(name, tmp_path) as program:
        usual = await play(program.port, kind, [program.make_call(2)] * 2)
        highest_mb = peak_mb(program.pid)
    usual.check()
    received_mb = ServerLimits().received_bytes / 1e6
    assert highest_mb < EDGE_BASE_MB + received_mb + CLIENTS * CONNECTION_MB


async def test_the_oldest_unfinished_request_is_refused_first(tmp_path: Path) -> None:
    # Guards against a bound that refuses whoever comes last, however long others have kept their places.
    async with run_node(tmp_path) as rig:
        rig.node.listener.input_memory.limit_bytes = 2 * 65_000
        clients = [await rig.connect_client() for _ in range(3)]
        for client in clients:
            kept_bytes = rig.node.listener.input_memory.kept_bytes
            await client.send(HALF_OF_A_MESSAGE + b"A" * 60_000)
            if client is not clients[-1]:
                await until(
                    lambda before=kept_bytes: rig.node.listener.input_memory.kept_bytes > before + 60_000
                )
        assert outcome_of(await clients[0].receive_response()) == "turned back"
        assert await clients[0].receive_response() is None
        assert rig.node.dispatcher.counts["client", "refused input"] == 1
        rest = 65_000 - 60_000 - len(HALF_OF_A_MESSAGE) + HALF_OF_A_MESSAGE.index(b"{")
        for client in clients[1:]:
            await client.send(b"A" * (rest - 3) + b'"}}')
            # it was read to its end, and is no valid request
            assert outcome_of(await client.receive_response()) == "error -32602"
        assert rig.node.listener.input_memory.kept_bytes == 0


async def test_what_ended_connections_kept_is_counted_no_more(tmp_path: Path) -> None:
    # Guards against an account that grows with each client, until all input is refused.
    ping = message({"jsonrpc": "2.0", "id": 1, "method": "ping", "params": {}})
    async with run_node(tmp_path) as rig:
        memory = rig.node.listener.input_memory
        for data in (HALF_OF_A_MESSAGE, ping * 20 * MESSAGES_PER_TURN, b"Content-Len"):
            client = await rig.connect_client()
            await client.send(data)
            await until(lambda: memory.kept_bytes)
            await client.stream.aclose()
            await until(lambda: not rig.node.listener.clients)
            assert memory.kept_bytes == 0


async def test_a_server_counts_what_its_connections_keep_and_refuses_the_oldest() -> None:
    # Guards against incomplete messages of many connections that nothing bounds together.
    async def handler(_message: Any, _arrived_ns: int) -> Reply:
        return Reply(200, [])

    refused: list[None] = []
    server = Server(
        handler,
        ServerLimits(received_bytes=50_000),
        make_error_reply=lambda status, _: Reply(status, []),
        make_fault_reply=lambda _: Reply(500, []),
        count_refused_input=lambda: refused.append(None),
    )
    listener, port = await listen("127.0.0.1", 0)
    head = b"POST / HTTP/1.1\r\nhost: e\r\ncontent-length: 30000\r\n\r\n"
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, listener)
        first, second = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(2)]
        await first.send(head + b"A" * 29_000)
        await until(lambda: server.input_memory.kept_bytes >= 29_000)
        await second.send(head + b"A" * 29_000)
        assert (await first.receive()).startswith(b"HTTP/1.1 503 ")
        await second.send(b"A" * 1_000)
        assert (await second.receive()).startswith(b"HTTP/1.1 200 ")
        await first.aclose()
        await second.aclose()
        await until(lambda: not server.connections)
        assert server.input_memory.kept_bytes == 0 and len(refused) == 1
        group.cancel_scope.cancel()

"""A client closes with much still unread: none of its requests is sent on 0.1 s later, no id runs twice.

Programs are processes of their own, on loopback addresses; clients, workers and discovery are simulated in
this process.
"""

from __future__ import annotations

import socket
import struct
from base64 import b64encode
from collections import Counter
from contextlib import suppress
from pathlib import Path

import anyio
import anyio.to_thread
import pytest
from anyio.abc import SocketStream

from martenlead.events import http
from martenlead.events.cloudevent import Event, encode_event
from martenlead.events.http import Message
from support import fleet
from support import node_rig as nodes
from support.fleet import run_edge, until
from support.node_process import NodeProcess, run_node_process, serve_journal
from support.node_rig import Client
from support.node_wire import with_deadlines
from support.program_process import run_edge_process

pytestmark = pytest.mark.anyio

GONE_AFTER_SECONDS = 0.1  # STANDING.md: an attempt for a client that has gone begins no later
OWN_LAG_SECONDS = 0.05  # until this process has read what a worker got
REQUESTS = 400
BODY = b"x" * 8_000
WAYS = ["close", "half close", "reset"]
READY_SECONDS = 20.0
LONGEST_DEADLINE_SECONDS = 10.0  # a node keeps ids for no longer than this and a second
SLOW_MS = 20


class AbandonedConnection:
    """A connection on which much is written at once, and which then ends, without a look at the answers."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.ended_at = 0.0

    def _write_and_end(self, data: bytes, way: str) -> None:
        self.socket.settimeout(1.0)
        with suppress(OSError):  # the rest is never sent
            self.socket.sendall(data)
        if way == "half close":
            self.socket.shutdown(socket.SHUT_WR)
            return
        if way == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    async def write_and_end(self, data: bytes, way: str) -> None:
        """Writes as much as the server takes within a second, and ends the connection."""
        await anyio.to_thread.run_sync(self._write_and_end, data, way)
        self.ended_at = anyio.current_time()


def late_starts(started: list[tuple[float, str]], ended_at: float) -> list[str]:
    """Returns the ids of attempts that began too long after their client had gone."""
    limit = ended_at + GONE_AFTER_SECONDS + OWN_LAG_SECONDS
    return [request_id for at, request_id in started if at > limit]


async def serve_node(rig: NodeProcess, started: list[tuple[float, str]], delay_ms: float) -> None:
    """Starts the journal service, and has the workers note when each attempt came; answers come later."""

    async def note(worker: nodes.ScriptedWorker, stream: SocketStream, request: dict[str, str]) -> None:
        """Notes an attempt and answers it after the delay."""
        started.append((anyio.current_time(), request["txn"]))
        await nodes.after_delay(delay_ms, nodes.succeed)(worker, stream, request)

    behaviour = nodes.one_at_a_time(note)
    for worker in rig.workers.values():
        worker.behaviours = [behaviour]
    rig.task_group.start_soon(serve_journal, rig.journal)
    await rig.wait_until_up(READY_SECONDS)


@pytest.mark.parametrize("way", WAYS)
async def test_a_node_sends_nothing_for_a_client_that_closed_with_much_unread(
    tmp_path: Path, way: str
) -> None:
    # Guards against attempts for requests whose client had left behind them.
    started: list[tuple[float, str]] = []
    async with run_node_process(tmp_path, "ab") as rig:
        await serve_node(rig, started, SLOW_MS)
        connection, client = AbandonedConnection(rig.port), Client(None)  # type: ignore[arg-type]
        body = b64encode(BODY).decode()
        data = b"".join(client.encode_request("unsafe", blob=body) for _ in range(REQUESTS))
        await connection.write_and_end(data, way)
        await anyio.sleep(1.0)
        late = late_starts(started, connection.ended_at)
    assert not late, (len(late), len(started))


async def call_often(client: Client, place: int) -> None:
    """Sends requests under ids of this client: four have more than a node of this size has room for."""
    for number in range(1, 401):
        await client.call("safe", id=f"{place << 32 | number:016x}", wait=0)


async def test_an_id_runs_once_though_its_client_left_and_sent_it_again(tmp_path: Path) -> None:
    # Guards against ids that are forgotten while their requests may still run.
    started: list[tuple[float, str]] = []
    ids = [f"{number:016x}" for number in range(1, 17)]
    settings = with_deadlines(LONGEST_DEADLINE_SECONDS)
    async with run_node_process(tmp_path, "ab", settings=settings) as rig:
        await serve_node(rig, started, 1000)
        leaving = await rig.connect_client()
        for request_id in ids:
            await leaving.send_request("unsafe", id=request_id)
        await until(lambda: len(started) >= len(ids))
        await leaving.stream.aclose()
        others = [await rig.connect_client() for _ in range(4)]
        async with anyio.create_task_group() as group:
            for place, other in enumerate(others, start=1):
                group.start_soon(call_often, other, place)
        again = await rig.connect_client()
        for request_id in ids:
            await again.send_request("unsafe", id=request_id)
        responses = [await again.receive_response() for _ in ids]
    counts = Counter(request_id for _, request_id in started)
    assert [counts[request_id] for request_id in ids] == [1] * len(ids)
    assert all("error" in (response or {}) for response in responses)


def edge_request(number: int) -> bytes:
    """Returns a request of a class that may not run twice."""
    attributes = {
        "specversion": "1.0",
        "id": f"left{number}",
        "source": "/c",
        "type": "notice",
        "model": "m",
        "timeleftms": 1500,
    }
    headers, body = encode_event(Event(attributes, BODY, "application/octet-stream"))
    return http.request(b"POST", b"/", b"edge", headers, body)


@pytest.mark.parametrize("way", WAYS)
async def test_an_edge_sends_nothing_for_a_client_that_closed_with_much_unread(
    tmp_path: Path, way: str
) -> None:
    # Guards against attempts for pipelined requests whose client had left behind them.
    async def slow(worker: fleet.ScriptedWorker, stream: SocketStream, message: Message) -> None:
        """Answers after a while."""
        await anyio.sleep(SLOW_MS / 1000)
        await fleet.respond_ok(worker, stream, message)

    async with (
        run_edge({"a": [slow], "b": [slow]}) as rig,
        run_edge_process(tmp_path, rig.discovery_port) as edge,
    ):
        rig.pool.port = edge.port
        await rig.wait_until_up(READY_SECONDS)
        connection = AbandonedConnection(edge.port)
        data = b"".join(edge_request(number) for number in range(REQUESTS))
        await connection.write_and_end(data, way)
        await anyio.sleep(1.5)
        started = [(at, request_id) for at, _, request_id in rig.arrivals]
    late = late_starts(started, connection.ended_at)
    assert not late, (len(late), len(started))

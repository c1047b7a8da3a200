"""The time that a worker is told is at most what the client has left, also where its request lay unread while
the event loop was busy, or waited for a connection. For the node and for the edge."""

from __future__ import annotations

import asyncio
import socket
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.edge.event_loop_lag import UNREMARKABLE_WAIT_NS, EventLoopLag
from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.node.client_acceptor import EXTRA_DESCRIPTORS
from support.fleet import Fleet, after, fleet, full, satisfied
from tests.nodes import SETTINGS, Client, outcome_of, run_node, succeed

pytestmark = pytest.mark.anyio

MS = 1_000_000
BLOCKED = (
    0.6  # s in which the event loop does nothing: more than the policy then sets aside by itself, and SLACK
)
SLACK = 150  # ms
LEAST = 450  # ms that may be kept back of it: the policy's reserve at most, and its margin
STEADY = 0.1  # s, in which the loop is on time
WAIT = 1500  # ms
ONE_ATTEMPT = "unsafe"  # a class whose attempt is given all the time that is left


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


@pytest.mark.parametrize("new", [False, True], ids=["open connection", "new connection"])
async def test_the_node_counts_the_time_that_a_request_lay_unread(new: bool, tmp_path: Path) -> None:
    stated: list[int] = []

    async def noting(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        stated.append(told["props"]["ttl"])
        await succeed(runner, stream, told)

    async with run_node(tmp_path, {"a": [noting]}) as p:
        caller = Client(None)  # type: ignore[arg-type]
        client = socket.create_connection(("127.0.0.1", p.port))
        await anyio.sleep(STEADY)
        if new:
            client.close()
            client = socket.create_connection(("127.0.0.1", p.port))
        client.sendall(caller.encode_request(ONE_ATTEMPT, wait=WAIT))
        time.sleep(BLOCKED)  # the loop is busy, before it reads
        with anyio.fail_after(5):
            while not stated:
                await anyio.sleep(0.002)
        assert stated[0] <= WAIT - BLOCKED * 1000 + SLACK
        client.close()


async def test_the_node_counts_the_wait_for_a_place(tmp_path: Path) -> None:
    stated: list[int] = []

    async def noting(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        stated.append(told["props"]["ttl"])
        await succeed(runner, stream, told)

    async with run_node(tmp_path, {"a": [noting]}) as p:
        door = p.node.listener
        door.connection_limit, places = -EXTRA_DESCRIPTORS, door.connection_limit
        client, idle = await p.connect_client(), await p.connect_client()
        await client.send_request(ONE_ATTEMPT, wait=WAIT)
        await anyio.sleep(BLOCKED)  # in the backlog
        assert not door.clients
        door.connection_limit = places
        door.on_connection_closed()
        assert outcome_of(await client.receive_response()) == "satisfied"
        for other in (client, idle):  # what they send now has waited for nothing
            assert await other.call(ONE_ATTEMPT, wait=WAIT, id=f"{len(stated) + 9:016x}") == "satisfied"
        late, *prompt = stated
        assert late <= WAIT - BLOCKED * 1000 + SLACK
        assert min(prompt) > WAIT - SLACK


async def test_the_node_counts_the_wait_for_a_connection(tmp_path: Path, monkeypatch: Any) -> None:
    stated: list[int] = []

    async def noting(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        stated.append(told["props"]["ttl"])
        await succeed(runner, stream, told)

    allowed = SETTINGS["allowed"] | {"connect-timeout": 1.0}
    async with run_node(tmp_path, {"a": [noting]}, settings=SETTINGS | {"allowed": allowed}) as p:
        client = await p.connect_client()
        real = p.node.worker_client._connect

        async def late(conn: Any) -> None:
            await anyio.sleep(BLOCKED)
            await real(conn)

        monkeypatch.setattr(p.node.worker_client, "_connect", late)
        assert await client.call(wait=WAIT) == "satisfied"
        assert stated[0] <= WAIT - BLOCKED * 1000 + 1


async def test_the_edge_counts_the_time_that_a_request_lay_unread() -> None:
    stated: list[int] = []

    async def noting(runner: Any, stream: Any, message: Any) -> None:
        stated.append(int(message.header(b"ce-timeleftms")))
        await satisfied(runner, stream, message)

    async with fleet({"a": [noting]}) as f:
        client = socket.create_connection(("127.0.0.1", f.port))
        await anyio.sleep(STEADY)
        client.sendall(event(WAIT))
        time.sleep(BLOCKED)
        with anyio.fail_after(5):
            while not stated:
                await anyio.sleep(0.002)
        assert stated[0] <= WAIT - BLOCKED * 1000 + SLACK
        client.close()


async def test_the_edge_counts_the_wait_for_a_connection(monkeypatch: Any) -> None:
    stated: list[int] = []

    async def noting(runner: Any, stream: Any, message: Any) -> None:
        stated.append(int(message.header(b"ce-timeleftms")))
        await satisfied(runner, stream, message)

    async with fleet({"a": [noting]}) as f:
        real = Pool._connect

        async def late(pool: Pool) -> Any:
            await anyio.sleep(BLOCKED)
            return await real(pool)

        client = socket.create_connection(("127.0.0.1", f.port))
        monkeypatch.setattr(Pool, "_connect", late)
        client.sendall(event(WAIT))
        with anyio.fail_after(5):
            while not stated:
                await anyio.sleep(0.002)
        assert stated[0] <= WAIT - BLOCKED * 1000 + 1
        client.close()


WAYS = {  # the settings of the edge, and how many requests are sent
    "unread on a new connection": ({}, 1),
    "in pieces": ({}, 1),
    "in pieces, of an expiry time": ({}, 1),
    "a further attempt": ({}, 1),
    "a wait at the gate": ({"queues": {}}, 1),
    "unread behind a full pipeline": ({"limits": {"pipelined": 1}}, 4),
}


@pytest.mark.parametrize("way", WAYS)
async def test_the_edge_counts_the_time_on_the_way_to_a_worker(way: str, monkeypatch: Any) -> None:
    sent: list[float] = []
    stated: list[tuple[float, float]] = []  # the time left by what a worker is told, and by the clock, ms
    settings, count = WAYS[way]

    async def noting(runner: Any, stream: Any, message: Any) -> None:
        left = WAIT - (time.monotonic() - sent[len(stated)]) * 1000
        stated.append((int(message.header(b"ce-timeleftms")), left))
        if count > 1:
            await anyio.sleep(BLOCKED / 2)
        await satisfied(runner, stream, message)

    async with fleet({"a": [noting], "b": [noting]}, **settings) as f:
        f.group.start_soon(f.door.run)
        await anyio.sleep(STEADY)
        client = socket.create_connection(("127.0.0.1", f.port))
        if "new" not in way:
            await anyio.sleep(STEADY)
        expiry = time.time_ns() // 1_000_000 + WAIT
        told = event(None if "expiry" in way else WAIT, expiry if "expiry" in way else None)
        await send(f, way, client, told, sent, monkeypatch)
        with anyio.fail_after(5):
            while len(stated) < count:
                await anyio.sleep(0.002)
        client.close()
        for said, left in stated:
            assert left - LEAST <= said <= left + SLACK


async def send(
    f: Fleet, way: str, client: socket.socket, told: bytes, sent: list[float], monkeypatch: Any
) -> None:
    """Sends it on that way; notes when."""
    sent.append(time.monotonic())
    match way:
        case "unread on a new connection":
            client.sendall(told)
            time.sleep(BLOCKED)
        case "in pieces" | "in pieces, of an expiry time":
            client.sendall(told[:-1])
            await anyio.sleep(BLOCKED)
            if "expiry" in way:
                client.sendall(told[-1:])
            else:
                sent[0] = time.monotonic()  # its time counts from its last byte, which lies unread
                client.sendall(told[-1:])
                time.sleep(BLOCKED)
        case "a further attempt":
            f.first = [after(BLOCKED * 1000, full)]
            client.sendall(told)
        case "a wait at the gate":
            assert f.door.admission_controller is not None
            room, opens = f.door.admission_controller.find_placement, sent[0] + BLOCKED / 2  # within its aim
            f.door.admission_controller.find_placement = lambda ticket: (
                room(ticket) if time.monotonic() > opens else None
            )
            client.sendall(told)
        case "unread behind a full pipeline":
            monkeypatch.setattr("martenlead.events.connection.READ_AHEAD_BYTES", 1)
            for number in range(4):
                client.sendall(told.replace(b"ce-id: t1", b"ce-id: t%d" % number))
                await anyio.sleep(0.02)
                sent.append(time.monotonic())


def event(left: int | None, expiry_ms: int | None = None) -> bytes:
    attributes = {"specversion": "1.0", "id": "t1", "source": "/c", "type": "notice", "model": "m"}
    if left is not None:
        attributes["timeleftms"] = str(left)
    if expiry_ms is not None:
        expiry = datetime.fromtimestamp(expiry_ms / 1000, UTC)
        attributes["expirytime"] = expiry.isoformat(timespec="milliseconds")
    headers = [(b"ce-" + name.encode(), value.encode()) for name, value in attributes.items()]
    headers.append((b"content-type", b"application/json"))
    return http.request(b"POST", b"/", b"edge", headers, b"{}")


def test_the_earliest_arrival_is_the_sample_before_the_last_one_where_the_loop_stalled() -> None:
    lag = EventLoopLag(lambda: 0, 0, lambda _: None)
    assert lag.earliest_arrival(5 * MS) == 5 * MS  # nothing is known
    lag._samples.extend([100 * MS, 110 * MS, 520 * MS, 530 * MS])
    assert lag.earliest_arrival(112 * MS) == 112 * MS  # it was on time
    assert lag.earliest_arrival(519 * MS) == 100 * MS  # sockets before timers: read before the sample
    assert lag.earliest_arrival(521 * MS) == 110 * MS  # timers before sockets
    assert lag.earliest_arrival(531 * MS) == 531 * MS
    assert lag.earliest_arrival(520 * MS + UNREMARKABLE_WAIT_NS) == 520 * MS + UNREMARKABLE_WAIT_NS


async def test_what_follows_a_full_read_may_have_come_with_it(tmp_path: Path, monkeypatch: Any) -> None:
    async with run_node(tmp_path) as p:
        await p.connect_client()
        while not p.node.listener.clients:
            await asyncio.sleep(0.002)
        (own,) = p.node.listener.clients
        arrivals = [100, 900, 950, 990]
        monkeypatch.setattr(p.node.dispatcher.event_loop_lag, "earliest_arrival", lambda _: arrivals.pop(0))
        assert [own._earliest_arrival_ns(1000, size) for size in (262_144, 65_536, 10, 10)] == [
            100,
            100,
            100,
            990,
        ]

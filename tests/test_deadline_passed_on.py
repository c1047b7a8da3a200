"""The time left that a worker gets is at most what the client has left, for the node and for the edge.

Time counts as well while a request is unread because the event loop is busy, or waits for a connection.
"""

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
from support.fleet import EdgeRig, after_delay, reject_at_capacity, respond_ok, run_edge
from support.node_rig import SETTINGS, Client, outcome_of, run_node, succeed

pytestmark = pytest.mark.anyio

MS = 1_000_000
# Stall of the event loop in s; longer than the time that the policy reserves after it, plus SLACK.
BLOCKED = 0.6
SLACK = 150  # Tolerance in ms
MAX_RESERVE = 450  # Most time in ms that the policy keeps back: its reserve and its margin
STEADY = 0.1  # Time in s in which the event loop runs without a stall
WAIT = 1500  # Time in ms that a client has
ONE_ATTEMPT = "unsafe"  # Request class whose only attempt gets all the time left


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


@pytest.mark.parametrize("new", [False, True], ids=["open connection", "new connection"])
async def test_the_node_counts_the_time_that_a_request_is_unread(new: bool, tmp_path: Path) -> None:
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
        time.sleep(BLOCKED)  # the event loop is blocked before it reads
        with anyio.fail_after(5):
            while not stated:
                await anyio.sleep(0.002)
        assert stated[0] <= WAIT - BLOCKED * 1000 + SLACK
        client.close()


async def test_the_node_counts_the_wait_in_the_backlog(tmp_path: Path) -> None:
    stated: list[int] = []

    async def noting(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        stated.append(told["props"]["ttl"])
        await succeed(runner, stream, told)

    async with run_node(tmp_path, {"a": [noting]}) as p:
        door = p.node.listener
        door.connection_limit, original_limit = -EXTRA_DESCRIPTORS, door.connection_limit
        client, idle = await p.connect_client(), await p.connect_client()
        await client.send_request(ONE_ATTEMPT, wait=WAIT)
        await anyio.sleep(BLOCKED)  # the connections wait in the backlog
        assert not door.clients
        door.connection_limit = original_limit
        door.on_connection_closed()
        assert outcome_of(await client.receive_response()) == "satisfied"
        for other in (client, idle):  # requests sent now have not waited
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


async def test_the_edge_counts_the_time_that_a_request_is_unread() -> None:
    stated: list[int] = []

    async def noting(runner: Any, stream: Any, message: Any) -> None:
        stated.append(int(message.header(b"ce-timeleftms")))
        await respond_ok(runner, stream, message)

    async with run_edge({"a": [noting]}) as f:
        client = socket.create_connection(("127.0.0.1", f.port))
        await anyio.sleep(STEADY)
        client.sendall(encode_request(WAIT))
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
        await respond_ok(runner, stream, message)

    async with run_edge({"a": [noting]}) as f:
        real = Pool._connect

        async def late(pool: Pool) -> Any:
            await anyio.sleep(BLOCKED)
            return await real(pool)

        client = socket.create_connection(("127.0.0.1", f.port))
        monkeypatch.setattr(Pool, "_connect", late)
        client.sendall(encode_request(WAIT))
        with anyio.fail_after(5):
            while not stated:
                await anyio.sleep(0.002)
        assert stated[0] <= WAIT - BLOCKED * 1000 + 1
        client.close()


DELAYS = {  # Settings of the edge, and the number of requests
    "unread on a new connection": ({}, 1),
    "in pieces": ({}, 1),
    "in pieces, of an expiry time": ({}, 1),
    "a further attempt": ({}, 1),
    "a wait at the gate": ({"queues": {}}, 1),
    "unread behind a full pipeline": ({"limits": {"pipelined": 1}}, 4),
}


@pytest.mark.parametrize("delay", DELAYS)
async def test_the_edge_counts_all_delays_before_a_worker(delay: str, monkeypatch: Any) -> None:
    sent: list[float] = []
    stated: list[tuple[float, float]] = []  # Time left in ms as stated to a worker, and by the clock
    settings, count = DELAYS[delay]

    async def noting(runner: Any, stream: Any, message: Any) -> None:
        left = WAIT - (time.monotonic() - sent[len(stated)]) * 1000
        stated.append((int(message.header(b"ce-timeleftms")), left))
        if count > 1:
            await anyio.sleep(BLOCKED / 2)
        await respond_ok(runner, stream, message)

    async with run_edge({"a": [noting], "b": [noting]}, **settings) as f:
        f.task_group.start_soon(f.event_listener.run)
        await anyio.sleep(STEADY)
        client = socket.create_connection(("127.0.0.1", f.port))
        if "new" not in delay:
            await anyio.sleep(STEADY)
        expiry = time.time_ns() // 1_000_000 + WAIT
        told = encode_request(None if "expiry" in delay else WAIT, expiry if "expiry" in delay else None)
        await send_with_delay(f, delay, client, told, sent, monkeypatch)
        with anyio.fail_after(5):
            while len(stated) < count:
                await anyio.sleep(0.002)
        client.close()
        for stated_ms, left in stated:
            assert left - MAX_RESERVE <= stated_ms <= left + SLACK


async def send_with_delay(
    f: EdgeRig, delay: str, client: socket.socket, told: bytes, sent: list[float], monkeypatch: Any
) -> None:
    """Sends the request with the delay of this case and records when."""
    sent.append(time.monotonic())
    match delay:
        case "unread on a new connection":
            client.sendall(told)
            time.sleep(BLOCKED)
        case "in pieces" | "in pieces, of an expiry time":
            client.sendall(told[:-1])
            await anyio.sleep(BLOCKED)
            if "expiry" in delay:
                client.sendall(told[-1:])
            else:
                sent[0] = time.monotonic()  # its time counts from its last byte, which is unread
                client.sendall(told[-1:])
                time.sleep(BLOCKED)
        case "a further attempt":
            f.shared_behaviours = [after_delay(BLOCKED * 1000, reject_at_capacity)]
            client.sendall(told)
        case "a wait at the gate":
            assert f.event_listener.admission_controller is not None
            # the controller finds no placement until `opens`, which is within the latency objective
            find_placement, opens = (
                f.event_listener.admission_controller.find_placement,
                sent[0] + BLOCKED / 2,
            )
            f.event_listener.admission_controller.find_placement = lambda ticket: (
                find_placement(ticket) if time.monotonic() > opens else None
            )
            client.sendall(told)
        case "unread behind a full pipeline":
            monkeypatch.setattr("martenlead.events.connection.READ_AHEAD_BYTES", 1)
            monkeypatch.setattr("martenlead.events.connection.WAITING_RESPONSES", 0)
            for number in range(4):
                client.sendall(told.replace(b"ce-id: t1", b"ce-id: t%d" % number))
                await anyio.sleep(0.02)
                sent.append(time.monotonic())


def encode_request(left: int | None, expiry_ms: int | None = None) -> bytes:
    """A request to the edge with a time left in ms or with an expiry time in ms of Unix time."""
    attributes = {"specversion": "1.0", "id": "t1", "source": "/c", "type": "notice", "model": "m"}
    if left is not None:
        attributes["timeleftms"] = str(left)
    if expiry_ms is not None:
        expiry = datetime.fromtimestamp(expiry_ms / 1000, UTC)
        attributes["expirytime"] = expiry.isoformat(timespec="milliseconds")
    headers = [(b"ce-" + name.encode(), value.encode()) for name, value in attributes.items()]
    headers.append((b"content-type", b"application/json"))
    return http.request(b"POST", b"/", b"edge", headers, b"{}")


def test_earliest_arrival_after_a_stall_is_the_sample_before_it() -> None:
    lag = EventLoopLag(lambda: 0, 0, lambda _: None)
    assert lag.earliest_arrival(5 * MS) == 5 * MS  # no samples yet
    lag._samples.extend([100 * MS, 110 * MS, 520 * MS, 530 * MS])
    assert lag.earliest_arrival(112 * MS) == 112 * MS  # the sample was on time
    assert lag.earliest_arrival(519 * MS) == 100 * MS  # sockets before timers, read before the sample
    assert lag.earliest_arrival(521 * MS) == 110 * MS  # timers before sockets, read after it
    assert lag.earliest_arrival(531 * MS) == 531 * MS
    assert lag.earliest_arrival(520 * MS + UNREMARKABLE_WAIT_NS) == 520 * MS + UNREMARKABLE_WAIT_NS


async def test_bytes_after_a_full_read_may_have_arrived_with_it(tmp_path: Path, monkeypatch: Any) -> None:
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

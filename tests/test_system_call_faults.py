"""System calls that fail with the errors that Linux documents, one case for each call site and error.

During the fault each request gets one final response in time, and afterwards service recovers. Faults are
injected below the event loop under asyncio and above it under uvloop (support/socket_faults.py).
"""

from __future__ import annotations

import errno
import os
import signal
import socket
import subprocess
import sys
from contextlib import aclosing, closing
from pathlib import Path
from random import Random
from typing import Any

import anyio
import pytest

from martenlead.events.client import ExchangeEnd, Pool
from martenlead.events.http import request
from martenlead.events.line_stream import read_lines
from martenlead.events.server import listen
from martenlead.node import client_connection
from martenlead.planner import frames
from martenlead.policy.types import Result
from martenlead.system.sockets import has_ended, readable
from support.fleet import respond_ok, run_edge, until
from support.node_rig import Client, answer, outcome_of, run_node, send_bytes, succeed
from support.planned import assert_prompt_responses, run_planned_edge, run_planner
from support.socket_faults import SocketFaults, break_transport, from_port, send_bytewise, to_port
from tests.test_late_connections import unreachable_listener

pytestmark = pytest.mark.anyio
ROOT = Path(__file__).parent.parent

OPENING = (
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
)
"""Temporary errors of accept, socket, connect and bind."""
BROKEN = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EPIPE)
"""Errors of a broken connection on a read or a write."""
SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
"""Shortages of this machine on a connect; they say nothing about the peer."""
CONNECTING = (*OPENING, errno.ECONNREFUSED, errno.ETIMEDOUT)
LONG = 1_400.0  # Time of a request in ms, longer than its faults last
FINAL = ("satisfied", "turned back", "error -32000")


def error_name(number: int) -> str:
    """The symbolic name of an errno, as the id of a test."""
    return errno.errorcode[number]


opening = pytest.mark.parametrize("number", OPENING, ids=error_name)
connecting = pytest.mark.parametrize("number", CONNECTING, ids=error_name)
broken = pytest.mark.parametrize("number", BROKEN, ids=error_name)
temporary = pytest.mark.parametrize("number", (errno.ENOBUFS, errno.ENOMEM), ids=error_name)
asyncio_only = pytest.mark.parametrize("anyio_backend", [("asyncio", {"use_uvloop": False})], ids=["asyncio"])
"""For system calls that a test cannot intercept under uvloop."""


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


@pytest.fixture
def connect_call(anyio_backend: Any) -> str:
    """The call in which a new connection can be made to fail."""
    return "create_connection" if anyio_backend[1]["use_uvloop"] else "connect"


def is_uvloop(anyio_backend: Any) -> bool:
    """Whether a test runs under uvloop."""
    return bool(anyio_backend[1]["use_uvloop"])


# -- bind and accept


@opening
async def test_the_node_binds_once_the_fault_has_passed(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                p.port = int(probe.getsockname()[1])
            p.write_config(p.journal.port)
            faults.add("bind", number, to_port(p.port), times=2)
            faults.add("listen", number, from_port(p.port), times=1)
            started = anyio.Event()
            p.task_group.start_soon(type(p.node)(p.config_path).serve, started.set)
            with anyio.fail_after(5):
                await started.wait()
            assert faults.failure_counts == {"bind": 2, "listen": 1}
            assert await (await p.connect_client()).call() == "satisfied"


FORBIDDEN = """
import errno, sys
from martenlead.node.serve import main
from support.socket_faults import SocketFaults

faults = SocketFaults()
faults.add("bind", errno.EACCES)
with faults.installed():
    status = main()
sys.exit(status if faults.failure_counts["bind"] == 1 else 99)
"""


@asyncio_only
async def test_the_node_exits_at_once_if_it_may_not_bind_its_address(tmp_path: Path) -> None:
    """It logs one line with the reason and exits with the status of a failed start."""
    async with run_node(tmp_path) as p:
        path = p.config_path
    environment = {**os.environ, "ROUTER_CONFIG": str(path)}
    with anyio.fail_after(10):
        ended = await anyio.run_process(
            [sys.executable, "-c", FORBIDDEN], cwd=ROOT, env=environment, check=False, stderr=subprocess.PIPE
        )
    read_lines = ended.stderr.decode().splitlines()
    # the node logs its list of workers with level info
    problems = [line for line in read_lines if '"level": "info"' not in line]
    assert (ended.returncode, len(problems)) == (2, 1), read_lines
    assert "listener_failed" in problems[0] and "Permission denied" in problems[0]


@opening
async def test_an_http_server_binds_once_the_fault_has_passed(number: int) -> None:
    faults = SocketFaults()
    faults.add("bind", number, times=2)
    with faults.installed(), anyio.fail_after(5):
        listener, _ = await listen("127.0.0.1", 0)
    listener.close()
    assert faults.failure_counts["bind"] == 2


@opening
async def test_the_node_accepts_once_the_fault_has_passed(tmp_path: Path, number: int) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            faults.add("accept", number, from_port(p.port), times=3)
            client = await p.connect_client()
            assert await client.call(wait=LONG) == "satisfied"
            assert faults.failure_counts["accept"] == 3
            assert await (await p.connect_client()).call(id="a" * 16) == "satisfied"


@opening
async def test_an_http_server_accepts_once_the_fault_has_passed(number: int) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_edge() as f:
            faults.add("accept", number, from_port(f.port), times=3)
            assert (await f.call(left=LONG))[0] == 200
            assert faults.failure_counts["accept"] == 3
            assert (await f.call())[0] == 200


# -- connections to workers


@connecting
async def test_a_connection_to_a_worker_that_cannot_be_made_proves_that_nothing_ran(
    tmp_path: Path, number: int, connect_call: str
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path, {"a": [succeed]}) as p:
            client = await p.connect_client()
            faults.add(connect_call, number, to_port(p.workers["a"].port))
            reply = await send_load_request(p)
            assert reply.result is (Result.NOT_SENT if number in SHORTAGES else Result.UNREACHABLE)
            assert await client.call("unsafe", wait=LONG) in FINAL
            assert not p.received() and faults.failure_counts[connect_call]
            assert sum(pool.open_connections for pool in p.node.worker_client.pools) == 0
            faults.clear()
            await until_served(client)


@pytest.mark.parametrize("number", SHORTAGES, ids=error_name)
async def test_a_shortage_of_this_machine_does_not_count_against_a_worker(
    tmp_path: Path, number: int, connect_call: str
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            client = await p.connect_client()
            faults.add(connect_call, number, to_port(p.workers["a"].port))
            for _ in range(3):
                assert await client.call("unsafe", wait=LONG) == "turned back"
            assert faults.failure_counts[connect_call] == 3
            faults.clear()
            assert await client.call("unsafe", wait=LONG) == "satisfied"


@pytest.mark.parametrize("number", (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM), ids=error_name)
@asyncio_only
async def test_a_socket_to_a_worker_that_cannot_be_created_proves_that_nothing_ran(
    tmp_path: Path, number: int
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path, {"a": [succeed]}) as p:
            client = await p.connect_client()
            faults.add("socket", number)
            assert (await send_load_request(p)).result is Result.NOT_SENT
            assert await client.call("unsafe", wait=LONG) in FINAL
            assert not p.received() and faults.failure_counts["socket"]
            assert sum(pool.open_connections for pool in p.node.worker_client.pools) == 0
            faults.clear()
            await until_served(client)


@broken
async def test_a_connection_to_a_worker_that_breaks_under_a_request_may_have_run(
    tmp_path: Path, number: int, anyio_backend: Any
) -> None:
    """A request that must not run twice is not sent again; one that may run twice is."""
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path, {"a": [send_bytes(b""), succeed], "b": [succeed]}) as p:
            client = await p.connect_client()
            for runner in p.workers.values():
                runner.behaviours = [send_bytes(b""), succeed]
            await client.send_request("unsafe", wait=LONG)
            await until(p.received)
            (conn,) = [
                c for pool in p.node.worker_client.pools for c in pool.connections if c.outstanding_calls
            ]
            if is_uvloop(anyio_backend):
                break_transport(conn, conn.transport, number)
            else:
                faults.add("recv", number, to_port(conn.pool.port), times=1)
                stream = next(r for r in p.workers.values() if r.port == conn.pool.port).streams[-1]
                await stream.send(answer("FIT", "0"))  # makes the connection readable
            assert outcome_of(await client.receive_response()) == "error -32000"
            assert len(p.received()) == 1
            assert conn not in conn.pool.connections
            faults.clear()
            await until_served(client)


@broken
async def test_a_write_to_a_worker_that_fails_uses_one_attempt(tmp_path: Path, number: int) -> None:
    """If no byte was sent, the request cannot have run, so that the client may retry it."""
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as p:
            client = await p.connect_client()
            for runner in p.workers.values():
                faults.add("send", number, to_port(runner.port), times=1)
            assert await client.call("unsafe", wait=LONG) == "turned back"
            assert faults.failure_counts["send"] == 2 and not p.received()
            faults.clear()
            await until_served(client)
            assert all(conn.transport for pool in p.node.worker_client.pools for conn in pool.connections)


@temporary
@pytest.mark.parametrize("bytes_leave", [False, True], ids=["nothing leaves", "single bytes leave"])
async def test_a_request_that_the_machine_has_no_memory_for_reaches_its_worker_later(
    tmp_path: Path, number: int, bytes_leave: bool
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            client = await p.connect_client()
            to_worker = faults.short_selects = to_port(p.workers["a"].port)
            faults.short_writes = bytes_leave
            faults.add("send", number, to_worker, times=20, share=0.2 if bytes_leave else 1.0)
            assert await client.call("unsafe", wait=LONG) == "satisfied"
            assert faults.failure_counts["send"] and len(p.received()) == 1
            assert [pool.connections_opened for pool in p.node.worker_client.pools] == [1]


@temporary
async def test_a_cancellation_is_sent_before_its_connection_ends(tmp_path: Path, number: int) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path, {"a": [send_bytes(b"")]}) as p:
            client = await p.connect_client()
            await client.send_request("unsafe", wait=400)
            await until(p.received)
            faults.add("send", number, to_port(p.workers["a"].port), times=3)
            assert outcome_of(await client.receive_response()) == "error -32000"
            await until(lambda: p.received("UNDO") and not p.workers["a"].open_connections)
            assert faults.failure_counts["send"] == 3


@temporary
async def test_a_request_that_the_machine_never_has_memory_for_is_proven_not_to_have_run(
    tmp_path: Path, number: int
) -> None:
    """It does not count against its worker either."""
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            client = await p.connect_client()
            faults.add("send", number, to_port(p.workers["a"].port))
            assert await client.call("unsafe", wait=400) == "turned back"
            assert faults.failure_counts["send"] > 1 and not p.received()
            ends = {how: n for (what, how), n in p.node.dispatcher.counts.items() if what == "hand-off"}
            assert ends == {"not sent": 1}


PARTIAL_RESPONSE = b'{"m":"DONE","txn":"%TXN%","pro'


async def half_close(_runner: Any, stream: Any, _message: dict[str, Any]) -> None:
    """Closes the sending side without a response."""
    await stream.send_eof()


async def half_close_within_response(_runner: Any, stream: Any, _message: dict[str, Any]) -> None:
    """Closes the sending side in the middle of the response."""
    await stream.send(PARTIAL_RESPONSE)
    await stream.send_eof()


ENDINGS = {
    "reset": send_bytes(b"", reset=True),
    "reset within the answer": send_bytes(PARTIAL_RESPONSE, reset=True),
    "close": send_bytes(b"", end=True),
    "close within the answer": send_bytes(PARTIAL_RESPONSE, end=True),
    "half-close": half_close,
    "half-close within the answer": half_close_within_response,
}


@pytest.mark.parametrize("ending", ENDINGS)
async def test_a_worker_that_ends_a_connection_under_a_request(tmp_path: Path, ending: str) -> None:
    """Requests that may run twice go to the other worker, others fail; none is left waiting."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as p:
        client = await p.connect_client()
        for runner in p.workers.values():
            runner.behaviours = [ENDINGS[ending], succeed]
        with anyio.fail_after(LONG / 1000):
            assert await client.call("unsafe", wait=LONG) == "error -32000"
        assert len(p.received()) == 1
        for runner in p.workers.values():
            runner.behaviours = [ENDINGS[ending], succeed]
        with anyio.fail_after(LONG / 1000):
            assert await client.call("safe", wait=LONG) in FINAL
        await until_served(client)
        assert all(conn.transport for pool in p.node.worker_client.pools for conn in pool.connections)


async def test_reads_and_writes_of_one_byte_change_no_request_and_no_response(
    tmp_path: Path, anyio_backend: Any
) -> None:
    """For clients, workers and discovery; under uvloop the peers send single bytes instead."""
    faults = SocketFaults()

    async def dribbled(_runner: Any, stream: Any, message: dict[str, Any]) -> None:
        await send_bytewise(stream.send, answer("DONE", message["txn"], "resident", message["raw"]))

    with faults.installed():
        async with run_node(tmp_path, {"a": [dribbled]}) as p:
            faults.short_reads = faults.short_writes = not is_uvloop(anyio_backend)
            client = await p.connect_client()
            await send_bytewise(client.send, client.encode_request(wait=LONG))
            found = await client.receive_response()
            assert (
                outcome_of(found) == "satisfied"
                and found is not None
                and found["result"]["blob"] == "Ym9keQ=="
            )
            await p.start_worker("b", succeed)
            await p.journal.publish(p.worker_record("b"))
            await until(lambda: len(p.node.dispatcher.workers) == 2, within=10)
            assert is_uvloop(anyio_backend) or (faults.short_counts["recv"] and faults.short_counts["send"])


async def send_load_request(p: Any) -> Any:
    """Sends a load request to worker "a" over a connection of its own, and returns the result."""
    results: list[Any] = []
    function = p.node.dispatcher.find_or_add_function("0" * 15 + "1", 1, 100.0)
    (worker,) = p.node.dispatcher.workers.values()
    p.node.worker_client.send_load_request(worker, function, 0, results.append)
    await until(lambda: results)
    return results[0]


async def until_served(client: Any) -> None:
    """Calls until a request succeeds, within the longest time that a worker is avoided after faults."""
    with anyio.fail_after(8):
        while await client.call("safe", wait=LONG, id=f"{client.last_number + 4096:016x}") != "satisfied":
            await anyio.sleep(0.05)


# -- connections of clients


@broken
async def test_a_client_whose_connection_breaks_does_not_affect_others(
    tmp_path: Path, number: int, anyio_backend: Any
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path, {"a": [send_bytes(b""), succeed]}) as p:
            lost, other = await p.connect_client(), await p.connect_client()
            await lost.send_request(wait=LONG)
            await until(p.received)
            own = next(client for client in p.node.listener.clients if client.open_requests)
            if is_uvloop(anyio_backend):
                break_transport(own, own.transport, number)
            else:
                peer = lost.stream.extra(anyio.abc.SocketAttribute.local_port)
                faults.add("recv", number, to_port(peer), times=1)
                await lost.send(b"C")
            await until(lambda: own.is_closed)
            assert not own.open_requests
            assert await other.call(id="b" * 16) == "satisfied"
            assert len(p.node.listener.clients) == 1 and not p.node.listener.closing


@temporary
@pytest.mark.parametrize("bytes_leave", [False, True], ids=["nothing leaves", "single bytes leave"])
async def test_responses_that_the_machine_has_no_memory_for_are_sent_later(
    tmp_path: Path, number: int, bytes_leave: bool
) -> None:
    """Responses arrive in order and once, and the connection stays open.

    A connection that ends afterwards gets its error response as well.
    """
    faults = SocketFaults()
    faults.short_selects = lambda call, subject: from_port(p.port)(call, subject)
    with faults.installed():
        async with run_node(tmp_path) as p:
            client = await p.connect_client()
            if bytes_leave:
                faults.short_writes = True
                faults.add("send", number, from_port(p.port), share=0.2)
            else:
                faults.add("send", number, from_port(p.port), times=5)
            for _ in range(3):
                await client.send_request(wait=LONG)
            assert [outcome_of(await client.receive_response()) for _ in range(3)] == ["satisfied"] * 3
            assert faults.failure_counts["send"]
            assert await client.call() == "satisfied"
            faults.add("send", number, from_port(p.port), times=2)
            await client.send(b"no head\r\n\r\n")
            assert outcome_of(await client.receive_response()) == "error -32600"
            assert await client.receive_response() is None


@temporary
async def test_unsent_responses_are_bounded_in_bytes_and_time(
    tmp_path: Path, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_connection, "WRITE_BUFFER_BYTES", 100)
    monkeypatch.setattr(client_connection, "STALLED_CLIENT_TIMEOUT_NS", 1_000_000_000)
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            client = await p.connect_client()
            faults.add("send", number, from_port(p.port))
            for _ in range(2):
                await client.send_request(wait=LONG)
            await until(lambda: any(own.write_blocked_since_ns for own in p.node.listener.clients))
            (own,) = p.node.listener.clients
            faults.clear()
            assert [outcome_of(await client.receive_response()) for _ in range(2)] == ["satisfied"] * 2
            assert not own.write_blocked_since_ns
            faults.add("send", number, from_port(p.port))
            assert await client.call() == "closed"
            await until(lambda: not p.node.listener.count_descriptors())


@pytest.mark.parametrize("number", (errno.EAGAIN, *BROKEN), ids=error_name)
async def test_reading_unread_bytes_may_fail(tmp_path: Path, number: int) -> None:
    """After EAGAIN the event loop reads later; a broken connection ends and affects no other client."""
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            with closing(socket.create_connection(("127.0.0.1", p.port))) as client:
                await until(lambda: p.node.listener.clients)
                (own,) = p.node.listener.clients
                client.sendall(Client.encode_request(Client(None), id="c" * 16))  # type: ignore[arg-type]
                faults.add("os.read", number, times=1)
                own.read_unread_input()
                assert faults.failure_counts["os.read"] == 1
                assert own.is_closed == (number != errno.EAGAIN)
                if not own.is_closed:
                    await until(p.received)
                assert await (await p.connect_client()).call(id="d" * 16) == "satisfied"


@broken
async def test_an_http_client_whose_connection_breaks_does_not_affect_others(
    number: int, anyio_backend: Any
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_edge() as f:
            stream = await anyio.connect_tcp("127.0.0.1", f.port)
            await until(lambda: f.event_listener.server.connections)
            (connection,) = f.event_listener.server.connections
            if is_uvloop(anyio_backend):
                transport = connection.stream._transport  # type: ignore[attr-defined]
                break_transport(connection.stream._protocol, transport, number)  # type: ignore[attr-defined]
            else:
                peer = stream.extra(anyio.abc.SocketAttribute.local_port)
                faults.add("recv", number, to_port(peer), times=1)
                await stream.send(b"P")
            await until(lambda: not f.event_listener.server.connections)
            assert (await f.call())[0] == 200
            await stream.aclose()


# -- discovery


@connecting
async def test_the_node_retries_discovery_until_it_can_connect(
    tmp_path: Path, number: int, connect_call: str
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            await until(lambda: p.journal.streams)
            faults.add(connect_call, number, to_port(p.journal.port), times=3)
            for stream in p.journal.streams:
                await stream.aclose()
            p.journal.streams.clear()
            await until(lambda: faults.failure_counts[connect_call] == 3)
            client = await p.connect_client()
            assert await client.call() == "satisfied"
            await p.start_worker("b", succeed)
            await p.journal.publish(p.worker_record("b"))
            await until(lambda: len(p.node.dispatcher.workers) == 2, within=5)


@broken
@asyncio_only
async def test_the_node_reconnects_to_discovery_after_a_broken_connection(
    tmp_path: Path, number: int
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_node(tmp_path) as p:
            faults.add("recv", number, to_port(p.journal.port), times=1)
            await until(lambda: len(p.journal.resume_positions) == 2, within=5)
            assert faults.failure_counts["recv"] == 1
            assert await (await p.connect_client()).call() == "satisfied"


# -- the HTTP pool


def has_no_busy_slot(pool: Pool) -> bool:
    """Whether all open connections of the pool are idle."""
    return pool.open_connections == len(pool._idle)


@connecting
async def test_a_pool_that_cannot_connect_sent_nothing_and_keeps_no_slot(
    number: int, connect_call: str
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_edge() as f:
            faults.add(connect_call, number, to_port(f.port), times=1)
            pool = Pool("127.0.0.1", f.port, connection_limit=1)
            data = request(b"GET", b"/nothing", b"e", [])
            exchange = await pool.exchange(data)
            expected = (
                (ExchangeEnd.NO_SLOT,)
                if number in SHORTAGES
                else (ExchangeEnd.REFUSED, ExchangeEnd.CONNECT_TIMEOUT)
            )
            assert exchange.end in expected and has_no_busy_slot(pool)
            assert (await pool.exchange(data)).end is ExchangeEnd.ANSWERED and has_no_busy_slot(pool)


@broken
@pytest.mark.parametrize("call", ["send", "recv"])
@asyncio_only
async def test_a_pool_whose_connection_breaks_may_have_sent_and_keeps_no_slot(number: int, call: str) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_edge() as f:
            faults.add(call, number, to_port(f.port), times=1)
            pool = Pool("127.0.0.1", f.port, connection_limit=1)
            data = request(b"GET", b"/nothing", b"e", [])
            assert (await pool.exchange(data)).end is ExchangeEnd.CLOSED and has_no_busy_slot(pool)
            assert (await pool.exchange(data)).end is ExchangeEnd.ANSWERED and has_no_busy_slot(pool)


async def test_a_pooled_connection_that_cannot_be_checked_keeps_no_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection has ended, and no descriptor is free to check whether bytes came before."""

    def dup(_number: int) -> int:
        raise OSError(errno.EMFILE, "Too many open files")

    async with run_edge() as f:
        pool = Pool("127.0.0.1", f.port, connection_limit=1)
        data = request(b"GET", b"/nothing", b"e", [])
        assert (await pool.exchange(data)).end is ExchangeEnd.ANSWERED
        for connection in f.event_listener.server.connections:
            connection.scope.cancel()
        await until(lambda: not f.event_listener.server.connections)
        await anyio.sleep(0.02)
        monkeypatch.setattr(os, "dup", dup)
        assert (await pool.exchange(data)).end is ExchangeEnd.ANSWERED and has_no_busy_slot(pool)


async def test_a_probe_that_fails_with_no_socket_error_ends_only_the_probe(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a probe in the task group of the link whose error ended the program."""
    async with run_edge({"a": [respond_ok]}) as f:
        (worker,) = f.dispatcher.workers.values()
        has_failed = anyio.Event()

        async def exchange(*_arguments: Any) -> Any:
            has_failed.set()
            raise RuntimeError("of the event loop")

        monkeypatch.setattr(worker.connections.pool, "exchange", exchange)
        await f.dispatcher.link._probe(worker, 1_000_000_000)  # type: ignore[attr-defined]
        assert has_failed.is_set()


# -- the endpoint list over HTTP, and planners


@connecting
async def test_the_edge_retries_its_endpoint_list_until_it_can_connect(
    number: int, connect_call: str
) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_edge() as f:
            faults.add(connect_call, number, to_port(f.discovery_port), times=1)
            lost = f.dispatcher.counts["roster", "lost"]
            await f.break_list_stream()
            await until(lambda: faults.failure_counts[connect_call] == 1, within=5)
            assert (await f.call())[0] == 200
            await until(lambda: f.has_list_stream(), within=5)
            assert f.dispatcher.counts["roster", "lost"] == lost + 2


async def test_an_endpoint_list_that_cannot_be_connected_times_out() -> None:
    """Guards against a wait for as long as the kernel retries a connect, more than two minutes."""
    with unreachable_listener() as listener, anyio.fail_after(2), pytest.raises(TimeoutError):
        async with aclosing(
            read_lines(*listener.getsockname(), b"", silence_timeout_seconds=0.2, max_line_bytes=1)
        ) as stream:
            await anext(stream)


@connecting
async def test_the_edge_retries_a_planner_until_it_can_connect(number: int, connect_call: str) -> None:
    faults = SocketFaults()
    with faults.installed():
        async with run_planner() as (_, port):
            faults.add(connect_call, number, to_port(port), times=3)
            async with run_planned_edge([port]) as (f, side):
                await assert_prompt_responses(f)
                await until(side.session.is_leased, within=5)
                assert faults.failure_counts[connect_call] == 3 and side.counts["links lost"] == 3


async def test_an_error_that_no_socket_raises_ends_a_link_to_a_planner_and_not_the_edge(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Event loops raise a RuntimeError if a connection ends in the iteration that opens it."""
    original_connect, failed_ports = anyio.connect_tcp, []

    async def connect(host: str, port: int) -> Any:
        if port == planner_port and len(failed_ports) < 2:
            failed_ports.append(port)
            raise RuntimeError("the handler is closed")
        return await original_connect(host, port)

    async with run_planner() as (_, planner_port):
        monkeypatch.setattr(anyio, "connect_tcp", connect)
        async with run_planned_edge([planner_port]) as (f, side):
            await assert_prompt_responses(f)
            await until(side.session.is_leased, within=5)
            assert len(failed_ports) == 2


async def test_a_fault_in_one_link_of_a_planner_ends_only_that_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the loss of its link can end the lease of the other edge here, as it outlasts the test.

    With the lease of other tests, printing the traceback may block the event loop for longer than it lasts.
    """
    lease = {"lease_ms": 60_000}
    async with (
        run_planner() as (planner_server, port),
        run_planned_edge([port], name="first", **lease) as (f, first),
    ):
        await until(first.session.is_leased, within=5)
        with monkeypatch.context() as patch:
            patch.setattr(planner_server, "get_session", raise_fault)
            stream = await anyio.connect_tcp("127.0.0.1", port)
            await stream.send(
                frames.encode_frame(
                    frames.Hello(frames.LOWEST_VERSION, frames.HIGHEST_VERSION, "second", "0", "0")
                )
            )
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
        await assert_prompt_responses(f)
        assert first.session.is_leased() and first.counts["links lost"] == 0


def raise_fault(_edge: str) -> Any:
    """Fails as a bug of the planner would."""
    raise KeyError("an internal fault")


# -- waits


@asyncio_only
async def test_a_poll_that_fails_ends_no_connection(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """If poll fails for lack of memory, the socket counts as readable.

    No connection is closed as idle then, and an attempt is sent after a read of its client's connection.
    """

    class Poll:
        def register(self, *_arguments: Any) -> None: ...

        def poll(self, _wait: float) -> Any:
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        with monkeypatch.context() as patch:
            patch.setattr("martenlead.system.sockets.select.poll", Poll)
            with socket.socket() as any_socket:
                assert readable(any_socket) and not has_ended(any_socket)
            assert await client.call(wait=LONG) == "satisfied"
        assert await client.call(wait=LONG) == "satisfied"
        assert len(p.received()) == 2


async def test_signals_that_interrupt_every_wait_fail_no_request(tmp_path: Path) -> None:
    """Each signal interrupts a system call with EINTR."""
    before = signal.signal(signal.SIGALRM, lambda _number, _frame: None)
    async with run_node(tmp_path) as p:
        signal.setitimer(signal.ITIMER_REAL, 0.002, 0.002)
        try:
            client = await p.connect_client()
            for _ in range(30):
                assert await client.call(wait=LONG) == "satisfied"
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0)
            signal.signal(signal.SIGALRM, before)


# -- random faults


@pytest.mark.parametrize("seed", range(3))
async def test_each_request_has_one_final_response_while_calls_fail_at_random(
    tmp_path: Path, seed: int, connect_call: str
) -> None:
    """About a fifth of the calls to workers, to discovery and of the listener fail, chosen by a seed."""
    faults, chance = SocketFaults(seed), Random(seed)
    with faults.installed():
        parts = [chance.choice([succeed, succeed, succeed, *ENDINGS.values()]) for _ in range(100)]
        async with run_node(tmp_path, {"a": [succeed], "b": [succeed], "c": [succeed]}) as p:
            p.workers["a"].behaviours = [*parts, succeed]
            clients = [await p.connect_client() for _ in range(4)]
            ports = [*(runner.port for runner in p.workers.values()), p.journal.port]
            for number in OPENING:
                faults.add("accept", number, from_port(p.port), share=0.02)
                for port in ports:
                    faults.add(connect_call, number, to_port(port), share=0.02)
            for number in BROKEN:
                for port in ports:
                    faults.add("recv", number, to_port(port), share=0.02)
                    faults.add("send", number, to_port(port), share=0.02)
            words: list[str] = []

            async def ask(at: int) -> None:
                for count in range(25):
                    words.append(await clients[at].call(wait=LONG, id=f"{at:04x}{count:012x}"))
                    late = await p.connect_client()
                    words.append(await late.call(wait=LONG, id=f"{at + 16:04x}{count:012x}"))
                    await late.stream.aclose()

            with anyio.fail_after(60):
                async with anyio.create_task_group() as group:
                    for at in range(len(clients)):
                        group.start_soon(ask, at)
            assert len(words) == 200 and set(words) <= set(FINAL)
            assert faults.failure_counts[connect_call] + faults.failure_counts["accept"]
            faults.clear()
            await until_served(clients[0])

"""The HTTP server answers all requests that it has read before it closes a connection.

A fault of one connection does not affect the others.
"""

from __future__ import annotations

import select
import socket
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from time import monotonic_ns
from typing import Any

import anyio
import pytest

from martenlead.events.connection import READ_BYTES, Connection
from martenlead.events.http import Message, MessageLimits
from martenlead.events.server import Reply, Server, ServerLimits, listen
from martenlead.events.server_interface import SECOND_NS
from support.fleet import until
from support.node_rig import reset_on_close

pytestmark = pytest.mark.anyio

GET_REQUEST = b"GET /%d HTTP/1.1\r\nhost: e\r\n\r\n"
CLOSING_REQUEST = b"GET /%d HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n"
NOTICED_SECONDS = 0.1  # Time in which a disconnect has to be noticed


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


class ServerHarness:
    """A server whose handler responds with the target, or as set in `answer`."""

    def __init__(self, limits: ServerLimits) -> None:
        self.port = 0
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.faults: list[BaseException] = []
        self.answer: Callable[[Message], Awaitable[Reply]] = self.echo
        self.release = anyio.Event()
        self.stopped = anyio.Event()
        self.server = Server(
            self.handle, limits, make_error_reply=make_error_reply, make_fault_reply=self.make_fault_reply
        )

    async def echo(self, message: Message) -> Reply:
        return Reply(200, [], message.target)

    async def wait_then_echo(self, message: Message) -> Reply:
        await self.release.wait()
        return Reply(200, [], message.target)

    async def handle(self, message: Message, _now: int) -> Reply:
        self.started.append(message.target)
        try:
            return await self.answer(message)
        except anyio.get_cancelled_exc_class():
            self.cancelled.append(message.target)
            raise

    def make_fault_reply(self, error: BaseException) -> Reply:
        self.faults.append(error)
        return Reply(500, [], b"fault")

    def connect(self) -> socket.socket:
        """Connects without running the event loop: only the kernel has accepted the connection."""
        return socket.create_connection(("127.0.0.1", self.port))


def make_error_reply(status: int, detail: str) -> Reply:
    """A response with the detail as its body."""
    return Reply(status, [], detail.encode())


@asynccontextmanager
async def running_server(limits: ServerLimits | None = None) -> AsyncIterator[ServerHarness]:
    """Runs a server on a free port."""
    harness = ServerHarness(limits or ServerLimits())
    listener, harness.port = await listen("127.0.0.1", 0)

    async def serve() -> None:
        await harness.server.serve(listener)
        harness.stopped.set()

    async with anyio.create_task_group() as group:
        group.start_soon(serve)
        await anyio.sleep(0.01)
        yield harness
        group.cancel_scope.cancel()


async def read_until_closed(client: socket.socket, seconds: float = 5) -> bytes:
    """Returns all bytes until the connection ends; a reset raises."""
    client.setblocking(False)
    received = b""
    with anyio.fail_after(seconds):
        while True:
            try:
                data = client.recv(65_536)
            except BlockingIOError:
                await anyio.sleep(0.002)
                continue
            if not data:
                client.close()
                return received
            received += data


async def read_until(client: socket.socket, expected: bytes) -> bytes:
    """Returns all bytes up to a read that completes the expected ones."""
    client.setblocking(False)
    received = b""
    with anyio.fail_after(5):
        while expected not in received:
            try:
                received += client.recv(65_536)
            except BlockingIOError:
                await anyio.sleep(0.002)
    return received


async def idle_connection(harness: ServerHarness) -> Connection:
    """Returns the only connection once its requests are answered.

    Its client may have read the last response just before the server is done with writing it.
    """
    (connection,) = harness.server.connections
    await until(lambda: not connection.slots and not connection.write_started_ns)
    return connection


def check_delivered(client: socket.socket) -> None:
    """Checks that sent bytes wait at the server: loopback delivers them as they are sent."""
    assert select.select([], [client], [], 1)[1]


# -- a drain


async def test_requests_in_the_backlog_when_a_drain_begins_are_answered() -> None:
    async with running_server() as harness:
        clients = [harness.connect() for _ in range(20)]
        for number, client in enumerate(clients):
            client.sendall(GET_REQUEST % number)
        harness.server.drain()
        for number, client in enumerate(clients):
            received = await read_until_closed(client)
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"/%d" % number)
        with anyio.fail_after(2):
            await harness.stopped.wait()


async def test_an_unread_request_when_a_drain_begins_is_answered() -> None:
    async with running_server() as harness:
        client = harness.connect()
        client.sendall(GET_REQUEST % 1)
        await read_until(client, b"/1")
        client.setblocking(True)
        client.sendall(GET_REQUEST % 2)
        harness.server.drain()
        received = await read_until_closed(client)
        assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"/2")


async def test_the_first_request_of_a_new_connection_is_answered_in_a_drain() -> None:
    async with running_server() as harness:
        client = harness.connect()
        await until(lambda: harness.server.connections)
        harness.server.drain()
        await anyio.sleep(0.05)
        client.setblocking(True)
        client.sendall(GET_REQUEST % 1)
        assert (await read_until_closed(client)).endswith(b"/1")


async def test_only_the_last_response_of_a_drain_announces_the_close() -> None:
    """A client that reads `Connection: close` expects no further response."""
    async with running_server() as harness:
        harness.answer = harness.wait_then_echo
        client = harness.connect()
        client.sendall(GET_REQUEST % 1 + GET_REQUEST % 2 + GET_REQUEST % 3)
        await until(lambda: len(harness.started) == 3)
        harness.server.drain()
        harness.release.set()
        received = await read_until_closed(client)
        assert received.count(b"HTTP/1.1 200") == 3
        assert b"connection: close" not in received[: received.index(b"/2")]
        assert received.count(b"connection: close") == 1 and received.endswith(b"/3")


@pytest.mark.parametrize("count", [3, 40])
async def test_pipelined_requests_that_have_not_started_are_answered_in_a_drain(count: int) -> None:
    """All of them were read, but only the first one was started."""
    async with running_server(ServerLimits(max_pipelined=1)) as harness:
        harness.answer = harness.wait_then_echo
        client = harness.connect()
        client.sendall(b"".join(GET_REQUEST % number for number in range(count)))
        await until(lambda: harness.started)
        harness.server.drain()
        harness.release.set()
        received = await read_until_closed(client)
        assert received.count(b"HTTP/1.1 200") == count and received.count(b"connection: close") == 1


async def test_an_idle_connection_ends_in_a_drain() -> None:
    async with running_server() as harness:
        client = harness.connect()
        client.sendall(GET_REQUEST % 1)
        await read_until(client, b"/1")
        harness.server.drain()
        assert await read_until_closed(client, 1) == b""
        await until(harness.stopped.is_set)


# -- the connection limit, and idle connections


async def test_a_connection_beyond_the_limit_gets_the_reason_even_after_sending_a_request() -> None:
    async with running_server(ServerLimits(max_connections=1)) as harness:
        harness.answer = harness.wait_then_echo
        first_client = harness.connect()
        first_client.sendall(GET_REQUEST % 1)
        await until(lambda: harness.started)
        for _ in range(5):
            client = harness.connect()
            client.sendall(b"POST / HTTP/1.1\r\nhost: e\r\ncontent-length: 300000\r\n\r\n" + b"x" * 300_000)
            received = await read_until_closed(client)
            assert received.startswith(b"HTTP/1.1 503") and b"more than 1 connections" in received
        harness.release.set()
        assert (await read_until(first_client, b"/1")).startswith(b"HTTP/1.1 200")
        first_client.close()


async def test_a_503_that_cannot_be_written_affects_no_other_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an error that ended the server: the client has reset the connection before."""
    original_write, failed = Connection.write, []

    async def write(connection: Connection, reply: Reply, is_last: bool) -> None:
        if reply.status == 503:
            failed.append(reply)
            raise anyio.BrokenResourceError
        await original_write(connection, reply, is_last)

    monkeypatch.setattr(Connection, "write", write)
    async with running_server(ServerLimits(max_connections=1)) as harness:
        first_client = harness.connect()
        first_client.sendall(GET_REQUEST % 1)
        await read_until(first_client, b"/1")
        harness.connect().close()
        await until(lambda: failed)
        first_client.setblocking(True)
        first_client.sendall(GET_REQUEST % 2)
        await read_until(first_client, b"/2")
        first_client.close()


async def test_a_connection_beyond_the_limit_that_is_reset_affects_no_other_connection() -> None:
    async with running_server(ServerLimits(max_connections=1)) as harness:
        first_client = harness.connect()
        first_client.sendall(GET_REQUEST % 1)
        await read_until(first_client, b"/1")
        for _ in range(10):
            stream = await anyio.connect_tcp("127.0.0.1", harness.port)
            reset_on_close(stream)
            await anyio.aclose_forcefully(stream)
        await anyio.sleep(0.05)
        first_client.setblocking(True)
        first_client.sendall(GET_REQUEST % 2)
        await read_until(first_client, b"/2")
        first_client.close()


async def test_an_idle_connection_is_closed_unless_it_has_an_unread_request() -> None:
    async with running_server() as harness:
        client = harness.connect()
        client.sendall(GET_REQUEST % 1)
        await read_until(client, b"/1")
        connection = await idle_connection(harness)
        client.setblocking(True)
        client.sendall(GET_REQUEST % 2)
        check_delivered(client)
        connection.close_if_overdue(monotonic_ns() + 3600 * SECOND_NS)  # before the event loop reads it
        await read_until(client, b"/2")
        await idle_connection(harness)
        connection.close_if_overdue(monotonic_ns() + 3600 * SECOND_NS)
        assert await read_until_closed(client) == b""


async def test_a_request_read_in_the_iteration_that_closes_its_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The event loop has read its bytes and the reading task has not run yet: the socket looks empty."""
    async with running_server() as harness:
        client = harness.connect()
        client.sendall(GET_REQUEST % 1)
        await read_until(client, b"/1")
        connection = await idle_connection(harness)
        protocol = connection.stream._protocol  # type: ignore[attr-defined]
        protocol.data_received(GET_REQUEST % 2)
        assert connection.close_if_idle(monotonic_ns())
        received = await read_until_closed(client)
        assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"/2")
        assert b"connection: close" in received


async def test_idle_connections_are_closed_for_new_ones_and_busy_ones_are_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("martenlead.events.stream_listener.PROCESS_CLIENTS.limit", lambda: 0)
    async with running_server() as harness:  # room for LEAST_CONNECTIONS only
        harness.answer = harness.wait_then_echo
        busy_clients = [harness.connect() for _ in range(2)]
        for number, client in enumerate(busy_clients):
            client.sendall(GET_REQUEST % number)
        await until(lambda: len(harness.started) == 2)
        idle_clients = [harness.connect() for _ in range(10)]
        late_client = harness.connect()
        late_client.sendall(GET_REQUEST % 9)
        with anyio.fail_after(3):
            while b"/9" not in harness.started:
                await anyio.sleep(0.01)
        harness.release.set()
        for number, client in enumerate(busy_clients):
            assert (await read_until(client, b"/%d" % number)).startswith(b"HTTP/1.1 200")
        assert (await read_until(late_client, b"/9")).startswith(b"HTTP/1.1 200")
        for client in (*busy_clients, *idle_clients, late_client):
            client.close()


# -- invalid requests, and faults


async def test_valid_requests_before_an_invalid_one_in_one_read_are_answered_in_order() -> None:
    async with running_server() as harness:
        harness.answer = harness.wait_then_echo
        client = harness.connect()
        client.sendall(GET_REQUEST % 1 + GET_REQUEST % 2 + b"NO HTTP\r\n\r\n")
        await until(lambda: len(harness.started) == 2)
        await anyio.sleep(0.05)
        harness.release.set()
        received = await read_until_closed(client)
        assert received.index(b"/1") < received.index(b"/2") < received.index(b"HTTP/1.1 400")
        assert received.count(b"HTTP/1.1 200") == 2 and received.count(b"connection: close") == 1


async def test_nothing_is_sent_after_the_response_to_a_closing_request() -> None:
    async with running_server() as harness:
        client = harness.connect()
        client.sendall(CLOSING_REQUEST % 1 + b"NO HTTP\r\n\r\n")
        received = await read_until_closed(client)
        assert received.count(b"HTTP/1.1") == 1 and received.endswith(b"/1")


async def test_a_fault_of_a_handler_is_answered_and_the_connection_stays_open() -> None:
    async def failing_handler(message: Message) -> Reply:
        raise KeyError(message.target.decode())

    async with running_server() as harness:
        client = harness.connect()
        harness.answer = failing_handler
        client.sendall(GET_REQUEST % 1)
        assert (await read_until(client, b"fault")).startswith(b"HTTP/1.1 500")
        harness.answer = harness.echo
        client.setblocking(True)
        client.sendall(GET_REQUEST % 2)
        assert (await read_until(client, b"/2")).startswith(b"HTTP/1.1 200")
        client.close()


async def test_a_fault_while_reporting_a_fault_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def failing_handler(_message: Message) -> Reply:
        raise KeyError("first")

    def make_fault_reply(_error: BaseException) -> Reply:
        raise KeyError("second")

    async with running_server() as harness:
        harness.answer, harness.server.make_fault_reply = failing_handler, make_fault_reply
        client = harness.connect()
        client.sendall(CLOSING_REQUEST % 1)
        assert (await read_until_closed(client)).startswith(b"HTTP/1.1 500")
        harness.answer = harness.echo
        other_client = harness.connect()
        other_client.sendall(CLOSING_REQUEST % 2)
        assert (await read_until_closed(other_client)).endswith(b"/2")


async def test_a_reply_that_cannot_be_written_is_answered_as_a_fault() -> None:
    async def unwritable_handler(_message: Message) -> Reply:
        return Reply(200, [(b"x", "a str")], b"")  # type: ignore[list-item]

    async with running_server() as harness:
        harness.answer = unwritable_handler
        client = harness.connect()
        client.sendall(GET_REQUEST % 1)
        assert (await read_until(client, b"\r\n\r\n")).startswith(b"HTTP/1.1 500")
        assert [type(error) for error in harness.faults] == [TypeError]
        client.close()


async def test_a_body_that_fails_midway_ends_only_its_connection() -> None:
    """Its client can tell that the body is incomplete. Other connections are still served."""

    async def failing_body() -> AsyncGenerator[bytes]:
        yield b"first"
        raise RuntimeError("second")

    async def failing_handler(message: Message) -> Reply:
        return (
            Reply(200, [], failing_body())
            if message.target == b"/1"
            else await harness.wait_then_echo(message)
        )

    async with running_server() as harness:
        harness.answer = failing_handler
        other_client = harness.connect()
        other_client.sendall(GET_REQUEST % 2)
        client = harness.connect()
        client.sendall(GET_REQUEST % 1)
        received = await read_until_closed(client)
        assert b"first" in received and not received.endswith(b"0\r\n\r\n")
        assert [type(error) for error in harness.faults] == [RuntimeError]
        harness.release.set()
        assert (await read_until(other_client, b"/2")).startswith(b"HTTP/1.1 200")
        other_client.close()


# -- clients that disconnect


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("further_requests", [0, 1, 4, 12])
async def test_a_disconnect_while_no_request_may_start_is_noticed(reset: bool, further_requests: int) -> None:
    """Guards against a disconnect that stays unnoticed while the pipeline is full and nothing more is read.

    The disconnect comes at once, or after more bytes than the kernel buffers.
    """
    pipeline_limit = 4
    async with running_server(
        ServerLimits(MessageLimits(head_bytes=2 * READ_BYTES), max_pipelined=pipeline_limit)
    ) as harness:
        harness.answer = harness.wait_then_echo
        stream = await anyio.connect_tcp("127.0.0.1", harness.port)
        await stream.send(b"".join(GET_REQUEST % number for number in range(pipeline_limit + 2)))
        for number in range(further_requests):
            await stream.send(
                (GET_REQUEST % (pipeline_limit + number)).replace(
                    b"\r\n\r\n", b"\r\nx: %b\r\n\r\n" % (b"x" * READ_BYTES)
                )
            )
        await until(lambda: len(harness.started) == pipeline_limit)
        if reset:
            reset_on_close(stream)
        await anyio.aclose_forcefully(stream)
        with anyio.fail_after(NOTICED_SECONDS):
            while len(harness.cancelled) < pipeline_limit:
                await anyio.sleep(0.002)
        assert len(harness.started) == pipeline_limit
        await until(lambda: not harness.server.connections)

"""The HTTP server answers what it has read before a connection closes, and a fault costs one connection."""

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
from tests.nodes import reset_on_close

pytestmark = pytest.mark.anyio

GET = b"GET /%d HTTP/1.1\r\nhost: e\r\n\r\n"
LAST = b"GET /%d HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n"
NOTICED_SECONDS = 0.1  # within which a client's end has to be known


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


class Play:
    """A server whose handler answers with the target, or as the test says."""

    def __init__(self, limits: ServerLimits) -> None:
        self.port = 0
        self.begun: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.faults: list[BaseException] = []
        self.answer: Callable[[Message], Awaitable[Reply]] = self.echo
        self.go_on = anyio.Event()
        self.ended = anyio.Event()
        self.server = Server(self.handle, limits, make_error_reply=bad, make_fault_reply=self.crashed)

    async def echo(self, message: Message) -> Reply:
        return Reply(200, [], message.target)

    async def waiting(self, message: Message) -> Reply:
        await self.go_on.wait()
        return Reply(200, [], message.target)

    async def handle(self, message: Message, _now: int) -> Reply:
        self.begun.append(message.target)
        try:
            return await self.answer(message)
        except anyio.get_cancelled_exc_class():
            self.cancelled.append(message.target)
            raise

    def crashed(self, error: BaseException) -> Reply:
        self.faults.append(error)
        return Reply(500, [], b"fault")

    def connect(self) -> socket.socket:
        """Without a turn of the event loop: the machine alone has accepted it."""
        return socket.create_connection(("127.0.0.1", self.port))


def bad(status: int, why: str) -> Reply:
    return Reply(status, [], why.encode())


@asynccontextmanager
async def served(limits: ServerLimits | None = None) -> AsyncIterator[Play]:
    p = Play(limits or ServerLimits())
    listener, p.port = await listen("127.0.0.1", 0)

    async def serve() -> None:
        await p.server.serve(listener)
        p.ended.set()

    async with anyio.create_task_group() as group:
        group.start_soon(serve)
        await anyio.sleep(0.01)
        yield p
        group.cancel_scope.cancel()


async def whole(client: socket.socket, seconds: float = 5) -> bytes:
    """All that comes until the connection ends; a reset raises."""
    client.setblocking(False)
    found = b""
    with anyio.fail_after(seconds):
        while True:
            try:
                part = client.recv(65_536)
            except BlockingIOError:
                await anyio.sleep(0.002)
                continue
            if not part:
                client.close()
                return found
            found += part


async def part(client: socket.socket, wanted: bytes) -> bytes:
    """What comes until these bytes do."""
    client.setblocking(False)
    found = b""
    with anyio.fail_after(5):
        while wanted not in found:
            try:
                found += client.recv(65_536)
            except BlockingIOError:
                await anyio.sleep(0.002)
    return found


async def idle_connection(p: Play) -> Connection:
    """The one that there is, once its requests are answered: its client may have read the last answer in the
    turn before the server is done with writing it."""
    (connection,) = p.server.connections
    await until(lambda: not connection.slots and not connection.write_started_ns)
    return connection


def arrived(client: socket.socket) -> None:
    """Loopback delivers as it sends: what the client wrote waits at the server."""
    assert select.select([], [client], [], 1)[1]


# -- a drain


async def test_what_waits_in_the_backlog_as_a_drain_begins_is_answered() -> None:
    async with served() as p:
        clients = [p.connect() for _ in range(20)]
        for at, client in enumerate(clients):
            client.sendall(GET % at)
        p.server.drain()
        for at, client in enumerate(clients):
            found = await whole(client)
            assert found.startswith(b"HTTP/1.1 200") and found.endswith(b"/%d" % at)
        with anyio.fail_after(2):
            await p.ended.wait()


async def test_what_lies_unread_as_a_drain_begins_is_answered() -> None:
    async with served() as p:
        client = p.connect()
        client.sendall(GET % 1)
        await part(client, b"/1")
        client.setblocking(True)
        client.sendall(GET % 2)
        p.server.drain()
        found = await whole(client)
        assert found.startswith(b"HTTP/1.1 200") and found.endswith(b"/2")


async def test_a_request_just_behind_its_connection_is_answered_in_a_drain() -> None:
    async with served() as p:
        client = p.connect()
        await until(lambda: p.server.connections)
        p.server.drain()
        await anyio.sleep(0.05)
        client.setblocking(True)
        client.sendall(GET % 1)
        assert (await whole(client)).endswith(b"/1")


async def test_a_drain_says_that_it_closes_with_the_last_response_alone() -> None:
    """A client that is told of a close reads no further response."""
    async with served() as p:
        p.answer = p.waiting
        client = p.connect()
        client.sendall(GET % 1 + GET % 2 + GET % 3)
        await until(lambda: len(p.begun) == 3)
        p.server.drain()
        p.go_on.set()
        found = await whole(client)
        assert found.count(b"HTTP/1.1 200") == 3
        assert b"connection: close" not in found[: found.index(b"/2")]
        assert found.count(b"connection: close") == 1 and found.endswith(b"/3")


@pytest.mark.parametrize("count", [3, 40])
async def test_requests_that_wait_for_one_before_them_are_answered_in_a_drain(count: int) -> None:
    """They were read, and none of them was begun."""
    async with served(ServerLimits(max_pipelined=1)) as p:
        p.answer = p.waiting
        client = p.connect()
        client.sendall(b"".join(GET % at for at in range(count)))
        await until(lambda: p.begun)
        p.server.drain()
        p.go_on.set()
        found = await whole(client)
        assert found.count(b"HTTP/1.1 200") == count and found.count(b"connection: close") == 1


async def test_an_idle_connection_ends_in_a_drain() -> None:
    async with served() as p:
        client = p.connect()
        client.sendall(GET % 1)
        await part(client, b"/1")
        p.server.drain()
        assert await whole(client, 1) == b""
        await until(p.ended.is_set)


# -- a full table, and idle connections


async def test_a_connection_beyond_the_limit_reads_why_though_it_had_asked() -> None:
    async with served(ServerLimits(max_connections=1)) as p:
        p.answer = p.waiting
        first = p.connect()
        first.sendall(GET % 1)
        await until(lambda: p.begun)
        for _ in range(5):
            client = p.connect()
            client.sendall(b"POST / HTTP/1.1\r\nhost: e\r\ncontent-length: 300000\r\n\r\n" + b"x" * 300_000)
            found = await whole(client)
            assert found.startswith(b"HTTP/1.1 503") and b"more than 1 connections" in found
        p.go_on.set()
        assert (await part(first, b"/1")).startswith(b"HTTP/1.1 200")
        first.close()


async def test_a_503_that_cannot_be_written_costs_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client has reset the connection by then. It ended the server."""
    real, failed = Connection.write, []

    async def write(own: Connection, reply: Reply, is_last: bool) -> None:
        if reply.status == 503:
            failed.append(reply)
            raise anyio.BrokenResourceError
        await real(own, reply, is_last)

    monkeypatch.setattr(Connection, "write", write)
    async with served(ServerLimits(max_connections=1)) as p:
        first = p.connect()
        first.sendall(GET % 1)
        await part(first, b"/1")
        p.connect().close()
        await until(lambda: failed)
        first.setblocking(True)
        first.sendall(GET % 2)
        await part(first, b"/2")
        first.close()


async def test_a_connection_beyond_the_limit_that_is_reset_costs_no_other() -> None:
    async with served(ServerLimits(max_connections=1)) as p:
        first = p.connect()
        first.sendall(GET % 1)
        await part(first, b"/1")
        for _ in range(10):
            stream = await anyio.connect_tcp("127.0.0.1", p.port)
            reset_on_close(stream)
            await anyio.aclose_forcefully(stream)
        await anyio.sleep(0.05)
        first.setblocking(True)
        first.sendall(GET % 2)
        await part(first, b"/2")
        first.close()


async def test_an_idle_connection_ends_unless_a_request_lies_unread_on_it() -> None:
    async with served() as p:
        client = p.connect()
        client.sendall(GET % 1)
        await part(client, b"/1")
        connection = await idle_connection(p)
        client.setblocking(True)
        client.sendall(GET % 2)
        arrived(client)
        connection.close_if_overdue(monotonic_ns() + 3600 * SECOND_NS)  # in the turn before it is read
        await part(client, b"/2")
        await idle_connection(p)
        connection.close_if_overdue(monotonic_ns() + 3600 * SECOND_NS)
        assert await whole(client) == b""


async def test_a_request_read_in_the_turn_that_its_connection_ends_in_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The event loop has its bytes, and the task that reads has not run: the socket looks empty."""
    async with served() as p:
        client = p.connect()
        client.sendall(GET % 1)
        await part(client, b"/1")
        connection = await idle_connection(p)
        protocol = connection.stream._protocol  # type: ignore[attr-defined]
        protocol.data_received(GET % 2)
        assert connection.close_if_idle(monotonic_ns())
        found = await whole(client)
        assert found.startswith(b"HTTP/1.1 200") and found.endswith(b"/2")
        assert b"connection: close" in found


async def test_idle_connections_give_way_and_those_with_requests_do_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("martenlead.events.stream_listener.PROCESS_CLIENTS.limit", lambda: 0)
    async with served() as p:  # room for LEAST_CONNECTIONS
        p.answer = p.waiting
        busy = [p.connect() for _ in range(2)]
        for at, client in enumerate(busy):
            client.sendall(GET % at)
        await until(lambda: len(p.begun) == 2)
        idle = [p.connect() for _ in range(10)]
        late = p.connect()
        late.sendall(GET % 9)
        with anyio.fail_after(3):
            while b"/9" not in p.begun:
                await anyio.sleep(0.01)
        p.go_on.set()
        for at, client in enumerate(busy):
            assert (await part(client, b"/%d" % at)).startswith(b"HTTP/1.1 200")
        assert (await part(late, b"/9")).startswith(b"HTTP/1.1 200")
        for client in (*busy, *idle, late):
            client.close()


# -- bad requests, and faults


async def test_good_requests_before_a_bad_one_in_one_read_are_answered_in_order() -> None:
    async with served() as p:
        p.answer = p.waiting
        client = p.connect()
        client.sendall(GET % 1 + GET % 2 + b"NO HTTP\r\n\r\n")
        await until(lambda: len(p.begun) == 2)
        await anyio.sleep(0.05)
        p.go_on.set()
        found = await whole(client)
        assert found.index(b"/1") < found.index(b"/2") < found.index(b"HTTP/1.1 400")
        assert found.count(b"HTTP/1.1 200") == 2 and found.count(b"connection: close") == 1


async def test_nothing_is_said_behind_the_response_to_a_last_request() -> None:
    async with served() as p:
        client = p.connect()
        client.sendall(LAST % 1 + b"NO HTTP\r\n\r\n")
        found = await whole(client)
        assert found.count(b"HTTP/1.1") == 1 and found.endswith(b"/1")


async def test_a_fault_of_a_handler_is_answered_and_the_connection_goes_on() -> None:
    async def failing(message: Message) -> Reply:
        raise KeyError(message.target.decode())

    async with served() as p:
        client = p.connect()
        p.answer = failing
        client.sendall(GET % 1)
        assert (await part(client, b"fault")).startswith(b"HTTP/1.1 500")
        p.answer = p.echo
        client.setblocking(True)
        client.sendall(GET % 2)
        assert (await part(client, b"/2")).startswith(b"HTTP/1.1 200")
        client.close()


async def test_a_fault_in_the_answer_to_a_fault_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    async def failing(_message: Message) -> Reply:
        raise KeyError("first")

    def crashed(_error: BaseException) -> Reply:
        raise KeyError("second")

    async with served() as p:
        p.answer, p.server.make_fault_reply = failing, crashed
        client = p.connect()
        client.sendall(LAST % 1)
        assert (await whole(client)).startswith(b"HTTP/1.1 500")
        p.answer = p.echo
        other = p.connect()
        other.sendall(LAST % 2)
        assert (await whole(other)).endswith(b"/2")


async def test_a_reply_that_cannot_be_written_is_answered_as_a_fault() -> None:
    async def unwritable(_message: Message) -> Reply:
        return Reply(200, [(b"x", "a str")], b"")  # type: ignore[list-item]

    async with served() as p:
        p.answer = unwritable
        client = p.connect()
        client.sendall(GET % 1)
        assert (await part(client, b"\r\n\r\n")).startswith(b"HTTP/1.1 500")
        assert [type(error) for error in p.faults] == [TypeError]
        client.close()


async def test_a_body_that_fails_within_ends_its_connection_alone() -> None:
    """Its client can tell that it is not whole. The server of other connections goes on."""

    async def parts() -> AsyncGenerator[bytes]:
        yield b"first"
        raise RuntimeError("second")

    async def failing(message: Message) -> Reply:
        return Reply(200, [], parts()) if message.target == b"/1" else await p.waiting(message)

    async with served() as p:
        p.answer = failing
        other = p.connect()
        other.sendall(GET % 2)
        client = p.connect()
        client.sendall(GET % 1)
        found = await whole(client)
        assert b"first" in found and not found.endswith(b"0\r\n\r\n")
        assert [type(error) for error in p.faults] == [RuntimeError]
        p.go_on.set()
        assert (await part(other, b"/2")).startswith(b"HTTP/1.1 200")
        other.close()


# -- a client that leaves


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("more", [0, 1, 4, 12])
async def test_a_client_that_leaves_while_no_request_may_be_begun_is_noticed(reset: bool, more: int) -> None:
    """With as many requests as may be pipelined no more was read, and its end did not show: neither at once
    nor behind more bytes than the kernel takes."""
    pipelined = 4
    async with served(ServerLimits(MessageLimits(head_bytes=2 * READ_BYTES), max_pipelined=pipelined)) as p:
        p.answer = p.waiting
        stream = await anyio.connect_tcp("127.0.0.1", p.port)
        await stream.send(b"".join(GET % at for at in range(pipelined + 2)))
        for at in range(more):
            await stream.send(
                (GET % (pipelined + at)).replace(b"\r\n\r\n", b"\r\nx: %b\r\n\r\n" % (b"x" * READ_BYTES))
            )
        await until(lambda: len(p.begun) == pipelined)
        if reset:
            reset_on_close(stream)
        await anyio.aclose_forcefully(stream)
        with anyio.fail_after(NOTICED_SECONDS):
            while len(p.cancelled) < pipelined:
                await anyio.sleep(0.002)
        assert len(p.begun) == pipelined
        await until(lambda: not p.server.connections)

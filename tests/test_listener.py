"""Listeners: binding survives temporary errors, and no error of accept ends a listener."""

from __future__ import annotations

import asyncio
import errno
import socket
import subprocess
import sys
from contextlib import closing
from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.events.stream_listener import StreamListener, listen
from martenlead.system import listener as listening
from martenlead.system.listener import ClientDescriptors, Listener, bind
from support.fleet import until
from support.socket_faults import SocketFaults, from_port

pytestmark = pytest.mark.anyio
ROOT = Path(__file__).parent.parent
LOOPBACK = ("127.0.0.1", 0)


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


async def test_bind_fails_at_once_on_a_permanent_error() -> None:
    faults = SocketFaults()
    faults.add("bind", errno.EACCES)
    with faults.installed(), pytest.raises(PermissionError):
        await bind(LOOPBACK, 60)
    assert faults.failure_counts["bind"] == 1


async def test_bind_fails_once_its_time_for_retries_is_over() -> None:
    delayed: list[OSError] = []
    faults = SocketFaults()
    faults.add("bind", errno.ENOBUFS)
    with faults.installed(), pytest.raises(OSError) as raised, anyio.fail_after(5):
        await bind(LOOPBACK, 0.2, delayed=delayed.append)
    assert raised.value.errno == errno.ENOBUFS
    assert len(delayed) == 1 and faults.failure_counts["bind"] > 2


async def test_bind_fails_at_once_if_a_name_does_not_resolve() -> None:
    with pytest.raises(socket.gaierror), anyio.fail_after(5):
        await bind(("no-such-host.invalid", 0), 60)


@pytest.mark.parametrize("host", ["127.0.0.1", "localhost", ""])
async def test_bind_uses_ipv4_for_an_address_or_a_name(host: str) -> None:
    with closing(await bind((host, 0), 1)) as sock:
        assert sock.family is socket.AF_INET
        with closing(socket.create_connection(("127.0.0.1", sock.getsockname()[1]), 2)):
            pass


async def test_a_connection_accepted_as_its_listener_is_cancelled_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leaked descriptor: the stream is created after its task group has ended."""
    clients = ClientDescriptors()
    listener = StreamListener(await bind(LOOPBACK, 1), clients)
    original, may_continue, was_called = anyio.abc.SocketStream.from_socket, anyio.Event(), anyio.Event()

    async def from_socket(sock: socket.socket) -> Any:
        """Creates the stream only when the test allows it."""
        was_called.set()
        await may_continue.wait()
        return await original(sock)

    monkeypatch.setattr(anyio.abc.SocketStream, "from_socket", from_socket)
    with closing(socket.create_connection(("127.0.0.1", listener.port), 2)) as client:
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, anyio.sleep_forever)
            await was_called.wait()
            group.cancel_scope.cancel()
        may_continue.set()
        assert listener._listener is not None
        await until(lambda: not listener._listener.accepting)
        client.settimeout(2)
        assert await anyio.to_thread.run_sync(client.recv, 1) == b""
    assert (clients.in_use, listener.open_connections) == (0, 0)


async def test_an_http_listener_fails_at_once_if_its_address_is_in_use() -> None:
    with (
        closing(socket.create_server(LOOPBACK)) as occupied,
        anyio.fail_after(2),
        pytest.raises(OSError) as raised,
    ):
        await listen("127.0.0.1", occupied.getsockname()[1])
    assert raised.value.errno == errno.EADDRINUSE


async def test_a_listener_resumes_once_the_event_loop_can_watch_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """epoll_ctl may fail for lack of memory when the listener starts or resumes after a pause."""
    sock = await bind(LOOPBACK, 1)
    accepted: list[socket.socket] = []

    async def connect(connection: socket.socket) -> None:
        """Keeps the accepted socket."""
        accepted.append(connection)

    attempts = 0

    class FailingLoop:
        """The running event loop, except that the first two calls of `add_reader` fail."""

        def __init__(self, real: Any) -> None:
            self.real = real

        def __getattr__(self, name: str) -> Any:
            return getattr(self.real, name)

        def add_reader(self, *arguments: Any) -> None:
            """Fails twice, then watches the descriptor."""
            nonlocal attempts
            attempts += 1
            if attempts <= 2:
                raise OSError(errno.ENOMEM, "no memory")
            self.real.add_reader(*arguments)

    listener = Listener(sock, connect, lambda _accepting: True)
    listener._loop = FailingLoop(listener._loop)  # type: ignore[assignment]
    listener.start()
    with closing(socket.create_connection(sock.getsockname())):
        await until(lambda: accepted)
    listener.close()
    accepted[0].close()


async def test_a_fault_while_a_connection_is_taken_over_closes_only_that_connection() -> None:
    loop = asyncio.get_running_loop()
    original_handler = loop.get_exception_handler()
    reported: list[Any] = []
    loop.set_exception_handler(lambda _loop, context: reported.append(context.get("exception")))
    sock = await bind(LOOPBACK, 1)
    accepted: list[socket.socket] = []

    async def connect(connection: socket.socket) -> None:
        """Fails for the first connection."""
        accepted.append(connection)
        if len(accepted) == 1:
            raise RuntimeError("a fault while the connection is taken over")

    listener = Listener(sock, connect, lambda _accepting: True)
    listener.start()
    with closing(socket.create_connection(sock.getsockname())) as first:
        await until(lambda: accepted)
        with closing(socket.create_connection(sock.getsockname())):
            await until(lambda: len(accepted) == 2)
        await until(lambda: not listener.accepting)
        first.setblocking(False)
        with anyio.fail_after(2):
            while True:
                try:
                    assert first.recv(1) == b""
                    break
                except BlockingIOError:
                    await anyio.sleep(0.01)
    listener.close()
    accepted[1].close()
    loop.set_exception_handler(original_handler)
    assert [type(error) for error in reported] == [RuntimeError]


async def test_a_failed_handler_closes_its_connection_but_not_the_listener() -> None:
    listener, port = await listen("127.0.0.1", 0)
    connections = 0

    async def handler(stream: Any) -> None:
        """Fails for the first connection, serves the others."""
        nonlocal connections
        connections += 1
        if connections == 1:
            raise KeyError("a fault of the handler")
        await stream.send(b"served")

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, handler)
        async with await anyio.connect_tcp("127.0.0.1", port) as first:
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await first.receive()
        async with await anyio.connect_tcp("127.0.0.1", port) as second:
            assert await second.receive() == b"served"
        await until(lambda: not listener.open_connections)
        group.cancel_scope.cancel()


async def test_a_connection_waits_in_the_backlog_until_another_has_ended() -> None:
    clients = ClientDescriptors(lambda: 0)
    sock = await bind(LOOPBACK, 1)
    listener = StreamListener(sock, clients)
    port = listener.port
    released = anyio.Event()

    async def handler(stream: Any) -> None:
        """Keeps the connection open until the test releases it."""
        await stream.send(b"accepted")
        await released.wait()

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, handler)
        first = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(listening.LEAST_CONNECTIONS)]
        for stream in first:
            assert await stream.receive() == b"accepted"
        late = await anyio.connect_tcp("127.0.0.1", port)
        with anyio.move_on_after(0.2) as waited:
            await late.receive()
        assert waited.cancelled_caught and listener.is_full
        released.set()
        with anyio.fail_after(2):
            assert await late.receive() == b"accepted"
        for stream in [*first, late]:
            await stream.aclose()
        group.cancel_scope.cancel()


async def test_a_failed_accept_is_retried_without_a_busy_loop() -> None:
    listener, port = await listen("127.0.0.1", 0)

    async def handler(stream: Any) -> None:
        """Serves a connection."""
        await stream.send(b"served")

    faults = SocketFaults()
    faults.add("accept", errno.EMFILE, from_port(port))
    with faults.installed():
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, handler)
            client = await anyio.connect_tcp("127.0.0.1", port)
            await anyio.sleep(0.3)
            assert 2 <= faults.failure_counts["accept"] <= 0.3 / listening.RETRY_SECONDS + 2
            faults.clear()
            with anyio.fail_after(2):
                assert await client.receive() == b"served"
            await client.aclose()
            group.cancel_scope.cancel()


PROXY_PROGRAM = """
import socket, sys, time
import anyio
from martenlead.events.client import ExchangeEnd, Pool
from martenlead.events.http import request
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits, listen

async def main():
    worker, worker_port = await listen("127.0.0.1", 0)

    async def respond(_message, _now):
        return Reply(200, [], b"worked")

    pool = Pool("127.0.0.1", worker_port, connect_timeout_ns=2_000_000_000)

    async def forward(message, _now):
        exchange = await pool.exchange(request(b"GET", b"/", b"w", []))
        assert exchange.end is ExchangeEnd.ANSWERED, exchange
        return Reply(200, [], exchange.message.body)

    def make_server(handler):
        return Server(handler, ServerLimits(), make_error_reply=lambda s, d: problem(s, "bad", d),
                      make_fault_reply=lambda e: problem(500, "fault", repr(e)))

    async with anyio.create_task_group() as group:
        group.start_soon(make_server(respond).serve, worker)
        listener, port = await listen("127.0.0.1", 0)
        group.start_soon(make_server(forward).serve, listener)
        print(port, flush=True)
        await anyio.sleep_forever()

anyio.run(main, backend_options={"use_uvloop": sys.argv[1] == "uvloop"})
"""


def send_request(port: int, timeout_seconds: float) -> bytes:
    """Sends a GET request on a new connection, and returns the complete response."""
    with closing(socket.create_connection(("127.0.0.1", port), timeout_seconds)) as client:
        client.settimeout(timeout_seconds)
        client.sendall(b"GET / HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n")
        response = b""
        while part := client.recv(65_536):
            response += part
    return response


async def test_a_flood_of_clients_blocks_neither_other_clients_nor_connections_to_workers(
    anyio_backend: Any,
) -> None:
    """Opens 80 idle connections to a program with 64 descriptors.

    The listener of anyio ended with EMFILE here, and the program with it.
    """
    loop = "uvloop" if anyio_backend[1]["use_uvloop"] else "asyncio"
    command = f"ulimit -n 64; exec {sys.executable} - {loop}"
    with subprocess.Popen(
        ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdin is not None and process.stdout is not None
        try:
            process.stdin.write(PROXY_PROGRAM)
            process.stdin.close()
            port = int(process.stdout.readline())
            idle = []
            for _ in range(80):
                idle.append(socket.socket())
                idle[-1].setblocking(False)
                idle[-1].connect_ex(("127.0.0.1", port))
            for _ in range(3):
                response = await anyio.to_thread.run_sync(send_request, port, 3.0)
                assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"worked")
            assert process.poll() is None
            for connection in idle:
                connection.close()
            assert (await anyio.to_thread.run_sync(send_request, port, 3.0)).endswith(b"worked")
        finally:
            process.kill()

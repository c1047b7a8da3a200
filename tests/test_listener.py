"""Listeners: bound in spite of faults that pass, and alive whatever accept says."""

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
    return "asyncio", {"use_uvloop": request.param}


async def test_a_bind_is_given_up_at_once_for_what_no_wait_changes() -> None:
    faults = SocketFaults()
    faults.add("bind", errno.EACCES)
    with faults.installed(), pytest.raises(PermissionError):
        await bind(LOOPBACK, 60)
    assert faults.failed["bind"] == 1


async def test_a_bind_is_given_up_once_its_time_is_over() -> None:
    delayed: list[OSError] = []
    faults = SocketFaults()
    faults.add("bind", errno.ENOBUFS)
    with faults.installed(), pytest.raises(OSError) as raised, anyio.fail_after(5):
        await bind(LOOPBACK, 0.2, delayed=delayed.append)
    assert raised.value.errno == errno.ENOBUFS
    assert len(delayed) == 1 and faults.failed["bind"] > 2


async def test_a_name_that_does_not_resolve_is_given_up_at_once() -> None:
    with pytest.raises(socket.gaierror), anyio.fail_after(5):
        await bind(("no-such-host.invalid", 0), 60)


@pytest.mark.parametrize("host", ["127.0.0.1", "localhost", ""])
async def test_an_address_or_a_name_is_listened_on_over_ipv4(host: str) -> None:
    with closing(await bind((host, 0), 1)) as sock:
        assert sock.family is socket.AF_INET
        with closing(socket.create_connection(("127.0.0.1", sock.getsockname()[1]), 2)):
            pass


async def test_a_connection_that_comes_as_its_listener_is_cancelled_takes_no_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its stream is made once the group that would serve it has ended."""
    clients = ClientDescriptors()
    listener = StreamListener(await bind(LOOPBACK, 1), clients)
    real, going_on, asked = anyio.abc.SocketStream.from_socket, anyio.Event(), anyio.Event()

    async def from_socket(sock: socket.socket) -> Any:
        asked.set()
        await going_on.wait()
        return await real(sock)

    monkeypatch.setattr(anyio.abc.SocketStream, "from_socket", from_socket)
    with closing(socket.create_connection(("127.0.0.1", listener.port), 2)) as client:
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, anyio.sleep_forever)
            await asked.wait()
            group.cancel_scope.cancel()
        going_on.set()
        assert listener._listener is not None
        await until(lambda: not listener._listener.accepting)
        client.settimeout(2)
        assert await anyio.to_thread.run_sync(client.recv, 1) == b""
    assert (clients.in_use, listener.open_connections) == (0, 0)


async def test_an_address_in_use_ends_a_program_of_http_at_once() -> None:
    with (
        closing(socket.create_server(LOOPBACK)) as taken,
        anyio.fail_after(2),
        pytest.raises(OSError) as raised,
    ):
        await listen("127.0.0.1", taken.getsockname()[1])
    assert raised.value.errno == errno.EADDRINUSE


async def test_a_listener_goes_on_once_the_loop_can_watch_it_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """epoll_ctl may fail for want of memory, as the listener starts or goes on after a pause."""
    sock = await bind(LOOPBACK, 1)
    accepted: list[socket.socket] = []

    async def connect(connection: socket.socket) -> None:
        accepted.append(connection)

    tries = 0

    class Loop:
        """The running one, whose first two watches fail."""

        def __init__(self, real: Any) -> None:
            self.real = real

        def __getattr__(self, name: str) -> Any:
            return getattr(self.real, name)

        def add_reader(self, *arguments: Any) -> None:
            nonlocal tries
            tries += 1
            if tries <= 2:
                raise OSError(errno.ENOMEM, "no memory")
            self.real.add_reader(*arguments)

    listener = Listener(sock, connect, lambda _accepting: True)
    listener._loop = Loop(listener._loop)  # type: ignore[assignment]
    listener.start()
    with closing(socket.create_connection(sock.getsockname())):
        await until(lambda: accepted)
    listener.close()
    accepted[0].close()


async def test_a_fault_as_a_connection_is_taken_over_costs_that_connection() -> None:
    loop = asyncio.get_running_loop()
    runners_own = loop.get_exception_handler()
    reported: list[Any] = []
    loop.set_exception_handler(lambda _loop, context: reported.append(context.get("exception")))
    sock = await bind(LOOPBACK, 1)
    taken: list[socket.socket] = []

    async def connect(connection: socket.socket) -> None:
        taken.append(connection)
        if len(taken) == 1:
            raise RuntimeError("of the event loop")

    listener = Listener(sock, connect, lambda _accepting: True)
    listener.start()
    with closing(socket.create_connection(sock.getsockname())) as first:
        await until(lambda: taken)
        with closing(socket.create_connection(sock.getsockname())):
            await until(lambda: len(taken) == 2)
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
    taken[1].close()
    loop.set_exception_handler(runners_own)
    assert [type(error) for error in reported] == [RuntimeError]


async def test_a_handler_that_fails_costs_its_connection_and_not_the_listener() -> None:
    listener, port = await listen("127.0.0.1", 0)
    seen = 0

    async def handler(stream: Any) -> None:
        nonlocal seen
        seen += 1
        if seen == 1:
            raise KeyError("a fault of ours")
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


async def test_a_connection_waits_in_the_backlog_until_one_has_ended() -> None:
    clients = ClientDescriptors(lambda: 0)
    sock = await bind(LOOPBACK, 1)
    listener = StreamListener(sock, clients)
    port = listener.port
    released = anyio.Event()

    async def handler(stream: Any) -> None:
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


async def test_a_failed_accept_is_tried_again_without_a_busy_loop() -> None:
    listener, port = await listen("127.0.0.1", 0)

    async def handler(stream: Any) -> None:
        await stream.send(b"served")

    faults = SocketFaults()
    faults.add("accept", errno.EMFILE, from_port(port))
    with faults.installed():
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, handler)
            client = await anyio.connect_tcp("127.0.0.1", port)
            await anyio.sleep(0.3)
            assert 2 <= faults.failed["accept"] <= 0.3 / listening.RETRY_SECONDS + 2
            faults.end()
            with anyio.fail_after(2):
                assert await client.receive() == b"served"
            await client.aclose()
            group.cancel_scope.cancel()


FLOOD = """
import socket, sys, time
import anyio
from martenlead.events.client import ExchangeEnd, Pool
from martenlead.events.http import request
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits, listen

async def main():
    worker, worker_port = await listen("127.0.0.1", 0)

    async def answer(_message, _now):
        return Reply(200, [], b"worked")

    pool = Pool("127.0.0.1", worker_port, connect_timeout_ns=2_000_000_000)

    async def forward(message, _now):
        exchange = await pool.exchange(request(b"GET", b"/", b"w", []))
        assert exchange.end is ExchangeEnd.ANSWERED, exchange
        return Reply(200, [], exchange.message.body)

    def of(handler):
        return Server(handler, ServerLimits(), make_error_reply=lambda s, d: problem(s, "bad", d),
                      make_fault_reply=lambda e: problem(500, "fault", repr(e)))

    async with anyio.create_task_group() as group:
        group.start_soon(of(answer).serve, worker)
        listener, port = await listen("127.0.0.1", 0)
        group.start_soon(of(forward).serve, listener)
        print(port, flush=True)
        await anyio.sleep_forever()

anyio.run(main, backend_options={"use_uvloop": sys.argv[1] == "uvloop"})
"""


def ask(port: int, seconds: float) -> bytes:
    with closing(socket.create_connection(("127.0.0.1", port), seconds)) as client:
        client.settimeout(seconds)
        client.sendall(b"GET / HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n")
        whole = b""
        while part := client.recv(65_536):
            whole += part
    return whole


async def test_a_flood_of_clients_keeps_a_program_of_http_neither_from_others_nor_from_its_workers(
    anyio_backend: Any,
) -> None:
    """64 descriptors, 80 idle connections: the listener of anyio ended with EMFILE, and all with it."""
    loop = "uvloop" if anyio_backend[1]["use_uvloop"] else "asyncio"
    command = f"ulimit -n 64; exec {sys.executable} - {loop}"
    with subprocess.Popen(
        ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdin is not None and process.stdout is not None
        try:
            process.stdin.write(FLOOD)
            process.stdin.close()
            port = int(process.stdout.readline())
            idle = []
            for _ in range(80):
                idle.append(socket.socket())
                idle[-1].setblocking(False)
                idle[-1].connect_ex(("127.0.0.1", port))
            for _ in range(3):
                whole = await anyio.to_thread.run_sync(ask, port, 3.0)
                assert whole.startswith(b"HTTP/1.1 200") and whole.endswith(b"worked")
            assert process.poll() is None
            for one in idle:
                one.close()
            assert (await anyio.to_thread.run_sync(ask, port, 3.0)).endswith(b"worked")
        finally:
            process.kill()

"""Listeners and streams of the scripted peers around a program under test.

They avoid two errors of tests themselves: a cancelled accept, and two tasks that write to one stream.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import SystemRandom

import anyio
from anyio.abc import SocketAttribute, SocketStream

from martenlead.events.stream_listener import StreamListener
from martenlead.system.listener import ClientDescriptors

BACKLOG = 4096
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")  # ports of outgoing connections
FIRST_PORT = 10_000  # lowest port that tests use
PEER_DESCRIPTOR_LIMIT = 1 << 20  # the limit of the process is for the program under test, not for peers


class SingleWriterStream(SocketStream):
    """A stream that any task may write to: each `send` waits for the one before it.

    A stream of anyio raises `BusyResourceError` for a second writer. A test that sends on a connection on
    which heartbeats are sent too would get it now and then.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._writer = anyio.Lock(fast_acquire=True)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Returns the next bytes; raises `anyio.EndOfStream` at the end."""
        return await self._stream.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """Sends all of it, after what other tasks are sending."""
        async with self._writer:
            await self._stream.send(item)

    async def send_eof(self) -> None:
        """Ends the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Closes the connection at once, also while a task writes."""
        await self._stream.aclose()

    @property
    def _raw_socket(self) -> socket.socket:
        return self._stream.extra(SocketAttribute.raw_socket)


class PeerListener:
    """A listener of a scripted peer on the loopback address.

    anyio's listener waits in `loop.sock_accept`. If that is cancelled in the turn in which a connection
    arrives, asyncio sets the result of a cancelled future and reports an `InvalidStateError`, which
    looks like a fault of the program or of the test.
    """

    def __init__(self, port: int = 0) -> None:
        """Listens at `port`, or at a free one."""
        server = socket.create_server(("127.0.0.1", port), backlog=BACKLOG)
        self._listener = StreamListener(server, ClientDescriptors(lambda: PEER_DESCRIPTOR_LIMIT))

    @property
    def port(self) -> int:
        """The port that it listens at."""
        return self._listener.port

    async def serve(self, handler: Callable[[SocketStream], Awaitable[None]]) -> None:
        """Runs `handler` for each connection until it is closed or cancelled, and ends the connections then.
        An exception of a handler ends all of them and is raised in an `ExceptionGroup`."""
        failed = anyio.Event()
        errors: list[Exception] = []

        async def handle(stream: SocketStream) -> None:
            try:
                await handler(SingleWriterStream(stream))
            except Exception as error:
                errors.append(error)
                failed.set()

        async def raise_first_error() -> None:
            await failed.wait()
            raise errors[0]

        async with anyio.create_task_group() as group:
            group.start_soon(raise_first_error)
            await self._listener.serve(handle, group)
            group.cancel_scope.cancel()

    async def aclose(self) -> None:
        """Stops accepting connections."""
        await self._listener.aclose()


def unused_port() -> int:
    """Returns a port of the loopback address that nothing listens at, outside the ephemeral range.

    Ports of the ephemeral range may be taken by any connection before the program under test binds.
    """
    first_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
    random = SystemRandom()
    while True:
        port = random.randrange(FIRST_PORT, first_ephemeral)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port

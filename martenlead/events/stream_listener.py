"""A listener that accepts connections as anyio streams, shared by all programs."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import SocketStream, TaskGroup

from martenlead.system.listener import PROCESS_CLIENTS, ClientDescriptors, Listener, bind
from martenlead.system.sockets import readable

BIND_SECONDS = 8.0  # Time for a bind error to pass; programs have to be ready within 10 s
RECEIVE_BUFFER_BYTES = 32_768  # Size of the kernel's buffer; the event loop reads all of it at once
# With 1, the decision on each request of a burst takes the requests before it into account.
ACCEPTED_PER_TURN = 1
POLL_SECONDS = 0.001  # Interval of checks for connections that are about to be accepted

Handler = Callable[[SocketStream], Awaitable[None]]


class StreamListener:
    """Accepts while the process has descriptors for clients; each connection has its own task.

    A fault in one connection ends that connection only.
    """

    def __init__(self, sock: socket.socket, clients: ClientDescriptors = PROCESS_CLIENTS) -> None:
        self.sock, self.clients = sock, clients
        # Called when a connection waits to be accepted and there is no room for it
        self.on_full: Callable[[], None] = lambda: None
        self.open_connections = 0  # Connections of this listener only
        self._log = structlog.get_logger()
        self._listener: Listener | None = None
        self._closed = anyio.Event()

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        return int(self.sock.getsockname()[1])

    async def serve(self, handler: Handler, task_group: TaskGroup | None = None) -> None:
        """Accepts until it is closed or cancelled.

        A connection is closed when its `handler` returns. Handlers run in `task_group`, or in a
        task group that ends with this call.
        """
        if task_group is None:
            async with anyio.create_task_group() as own_group:
                await self._serve(handler, own_group)
                own_group.cancel_scope.cancel()
        else:
            await self._serve(handler, task_group)

    async def _serve(self, handler: Handler, group: TaskGroup) -> None:
        connect = partial(self._connect, handler, group)
        listener = Listener(self.sock, connect, self._has_room, ACCEPTED_PER_TURN)
        self._listener = listener
        self.clients.add_listener(listener.resume)
        listener.start()
        try:
            await self._closed.wait()
            while listener.accepting:  # noqa: ASYNC110 - the listener has no event for it
                await anyio.sleep(POLL_SECONDS)
        finally:
            self.clients.remove_listener(listener.resume)
            listener.close()

    async def _connect(self, handler: Handler, group: TaskGroup, connection: socket.socket) -> None:
        """Starts the handler of an accepted connection."""
        try:
            stream = await SocketStream.from_socket(connection)
            _pause_reading(stream)
        except ValueError:  # raised by anyio if the connection was reset in the meantime
            connection.close()
            return
        try:
            group.start_soon(self._handle, handler, stream)
        except RuntimeError:  # the task group has ended in the meantime
            await anyio.aclose_forcefully(stream)
            return
        self._take()

    def _has_room(self, accepting: int) -> bool:
        has_room = self.clients.has_room(self.open_connections + accepting)
        if not has_room:
            self.on_full()
        return has_room

    def _take(self) -> None:
        self.open_connections += 1
        self.clients.take()

    def _release(self) -> None:
        self.open_connections -= 1
        self.clients.release()

    async def _handle(self, handler: Handler, stream: SocketStream) -> None:
        try:
            await handler(stream)
        except Exception as error:
            self._log.error("connection_failed", exc_info=error)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            self._release()

    @property
    def is_idle(self) -> bool:
        """Whether no connection is open or being accepted."""
        return not self.open_connections and (
            self._listener is None or not self._listener.accepting
        )

    @property
    def is_full(self) -> bool:
        """Whether accepting waits for room or for a resource that the machine lacks."""
        return self._listener is not None and self._listener.is_waiting

    async def accept_all(self) -> None:
        """Returns once no connection waits to be accepted, or the listener is closed."""
        while not self._closed.is_set() and readable(self.sock):  # noqa: ASYNC110 - the kernel's state
            await anyio.sleep(POLL_SECONDS)

    def close(self) -> None:
        """Stops accepting; open connections stay open."""
        self._closed.set()
        if self._listener is None:
            self.sock.close()
        else:
            self._listener.close()

    async def aclose(self) -> None:
        """Stops accepting; the form of `close` that anyio's resources have."""
        self.close()
        await anyio.lowlevel.checkpoint()


def _pause_reading(stream: SocketStream) -> None:
    """Stops the event loop from reading until `receive` waits for bytes.

    anyio does so for connections that it opens, but a stream that wraps a socket goes on reading,
    and keeps what it reads without a limit, until a `receive` had to wait.
    """
    transport: asyncio.Transport = stream._transport  # type: ignore[attr-defined]
    if not transport.is_closing():
        transport.pause_reading()


async def listen(host: str, port: int) -> tuple[StreamListener, int]:
    """Opens a listener; returns it and its port. Port 0 selects a free one.

    Errors that may pass are retried for `BIND_SECONDS`. Raises OSError.
    """
    sock = await bind((host, port), BIND_SECONDS, backlog=1024, waits_for_address=False)
    # accepted sockets inherit this option
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener = StreamListener(sock)
    return listener, listener.port

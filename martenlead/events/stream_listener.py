"""A listener whose accepted sockets are anyio streams, for every program that speaks on them."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import SocketStream, TaskGroup

from martenlead.system.listener import PROCESS_CLIENTS, ClientDescriptors, Listener, bind
from martenlead.system.sockets import readable

BIND_SECONDS = 8.0  # for faults that pass as an address is bound; programs are to be ready within 10 s
RECEIVE_BUFFER = 32_768  # bytes: what the kernel holds of a connection is read at once, whatever is asked for
ACCEPTED_PER_TURN = 1  # requests of a burst are decided one by one, each on what came before it

Handler = Callable[[SocketStream], Awaitable[None]]


class StreamListener:
    """Accepts as long as the process has descriptors for clients, and hands each connection to a task of its
    own. A fault of one connection costs that connection alone."""

    def __init__(self, sock: socket.socket, clients: ClientDescriptors = PROCESS_CLIENTS) -> None:
        self.sock, self.clients = sock, clients
        self.on_full: Callable[[], None] = lambda: None  # called where a connection waits and has no room
        self.open_connections = 0  # connections of this listener
        self._log = structlog.get_logger()
        self._listener: Listener | None = None
        self._closed = anyio.Event()

    @property
    def port(self) -> int:
        return int(self.sock.getsockname()[1])

    async def serve(self, handler: Handler, task_group: TaskGroup | None = None) -> None:
        """Until it is closed or cancelled. Each connection ends with its `handler`, which runs in
        `task_group`, else in a group of this call's own that ends with it."""
        if task_group is None:
            async with anyio.create_task_group() as own_group:
                await self._serve(handler, own_group)
                own_group.cancel_scope.cancel()
        else:
            await self._serve(handler, task_group)

    async def _serve(self, handler: Handler, group: TaskGroup) -> None:
        async def connect(connection: socket.socket) -> None:
            try:
                stream = await SocketStream.from_socket(connection)
            except ValueError:  # what anyio makes of a connection that was reset meanwhile
                connection.close()
                return
            try:
                group.start_soon(self._handle, handler, stream)
            except RuntimeError:  # the group has ended meanwhile
                await anyio.aclose_forcefully(stream)
                return
            self._take()

        listener = Listener(self.sock, connect, self._has_room, ACCEPTED_PER_TURN)
        self._listener = listener
        self.clients.add_listener(listener.resume)
        listener.start()
        try:
            await self._closed.wait()
            while listener.accepting:
                await anyio.sleep(0.001)
        finally:
            self.clients.remove_listener(listener.resume)
            listener.close()

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
        """Whether no connection is open or about to be."""
        return not self.open_connections and (self._listener is None or not self._listener.accepting)

    @property
    def is_full(self) -> bool:
        """Whether it waits for room, or for what the machine lacks to accept with."""
        return self._listener is not None and self._listener.is_waiting

    async def accept_all(self) -> None:
        """Returns once no connection waits to be accepted, or none can be."""
        while not self._closed.is_set() and readable(self.sock):
            await anyio.sleep(0.001)

    def close(self) -> None:
        """Accepts nothing more; connections go on."""
        self._closed.set()
        if self._listener is None:
            self.sock.close()
        else:
            self._listener.close()

    async def aclose(self) -> None:
        self.close()
        await anyio.lowlevel.checkpoint()


async def listen(host: str, port: int) -> tuple[StreamListener, int]:
    """A listener and the port it has; port 0 takes a free one. Tries for a while where an error may pass;
    raises OSError."""
    sock = await bind((host, port), BIND_SECONDS, backlog=1024, waits_for_address=False)
    # accepted sockets inherit it
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    listener = StreamListener(sock)
    return listener, listener.port

"""The server side of HTTP/1.1 on anyio: a listener, and the connections that it has accepted.

connection.py serves a connection, drain.py closes connections. A fault ends only the connection on
which it occurs.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from time import monotonic_ns

import anyio
from anyio.abc import SocketStream

from martenlead.events import drain
from martenlead.events.connection import INTERNAL_SERVER_ERROR, Connection
from martenlead.events.server_interface import Handler, Reply, ServerLimits
from martenlead.events.stream_listener import StreamListener, listen
from martenlead.system.input_memory import InputMemory

__all__ = ["Handler", "Reply", "Server", "ServerLimits", "StreamListener", "listen"]

SERVICE_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE.value
OVERRUN_REASON = "too many requests were sent ahead of their responses"


class Server:
    """Serves one or more listeners with one handler."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        *,
        make_error_reply: Callable[[int, str], Reply],
        make_fault_reply: Callable[[BaseException], Reply],
        make_overrun_reply: Callable[[], Reply] | None = None,
        count_refused_input: Callable[[], None] = lambda: None,
        earliest_arrival_ns: Callable[[int], int] = lambda now: now,
    ) -> None:
        """Creates a server that accepts nothing yet.

        Args:
            handler: Answers a request.
            limits: Limits on what clients may use.
            make_error_reply: Makes the response to an invalid message, or to a connection beyond
                the limit, from the status and the reason.
            make_fault_reply: Makes the response if the handler, or sending its reply, has failed.
            make_overrun_reply: Makes the response to a request that is rejected, as its client has
                sent too many ahead; by default that of an error with status 503.
            count_refused_input: Is called for each connection whose incomplete message is refused,
                as all connections together keep too much.
            earliest_arrival_ns: Returns the earliest time at which bytes read now can have arrived.
        """
        self.handler, self.limits = handler, limits
        self.make_error_reply, self.make_fault_reply = make_error_reply, make_fault_reply
        self.make_overrun_reply = make_overrun_reply or self._make_overrun_reply
        self.earliest_arrival_ns = earliest_arrival_ns
        self.connections: set[Connection] = set()
        self.input_memory = InputMemory(
            limits.received_bytes, self.connections, monotonic_ns, count_refused_input
        )
        self.is_draining = False
        self.active_listeners = 0  # 0 once all their connections have ended
        self._accepts_backlog = True
        self._stop = anyio.Event()

    async def serve(self, listener: StreamListener) -> None:
        """Serves until `drain` is called; returns when all connections have ended."""
        idle_closer = drain.IdleCloser(listener, self.connections)
        listener.on_full = idle_closer.note_full
        self.active_listeners += 1
        try:
            async with anyio.create_task_group() as group, anyio.create_task_group() as helpers:
                group.start_soon(listener.serve, self._serve_connection, group)
                helpers.start_soon(idle_closer.run)
                helpers.start_soon(drain.close_overdue, self.connections, self.limits)
                await self._stop.wait()
                accepts_backlog = self._accepts_backlog
                await drain.drain(listener, self.connections, accepts_backlog=accepts_backlog)
                helpers.cancel_scope.cancel()
        finally:
            self.active_listeners -= 1

    def drain(self) -> None:
        """Begins a graceful shutdown: requests that clients have sent are still answered."""
        self.is_draining = True
        self._stop.set()

    def abort(self) -> None:
        """Closes all connections at once, as if the process were killed."""
        self._accepts_backlog = False
        self.drain()
        for connection in list(self.connections):
            connection.scope.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = Connection(self, stream)
        limit = self.limits.max_connections
        if len(self.connections) >= limit:
            reply = self.make_error_reply(SERVICE_UNAVAILABLE, f"more than {limit} connections")
            await connection.reject(reply)
            return
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    def _make_overrun_reply(self) -> Reply:
        return self.make_error_reply(SERVICE_UNAVAILABLE, OVERRUN_REASON)

    def handle_fault(self, error: Exception) -> Reply:
        """The response to an internal error; a plain one if `make_fault_reply` fails too."""
        try:
            return self.make_fault_reply(error)
        except Exception:
            return Reply(INTERNAL_SERVER_ERROR, [])

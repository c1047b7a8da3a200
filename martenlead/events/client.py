"""The client side of HTTP/1.1 on anyio: one exchange at a time on pooled connections.

Each exchange ends with an `ExchangeEnd`, which says what happened on the sockets. What that proves
about the request is decided in `upstream.exchange_classifier`.
"""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from time import monotonic_ns

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketStream

from martenlead.events.http import InvalidMessageError, Message, MessageLimits, Reader
from martenlead.events.response import ResponseAssembler, Surplus
from martenlead.system.sockets import is_own_shortage

SECOND_NS = 1_000_000_000
RECEIVE_BYTES = 1 << 20  # more than event loops read at once, so that none of it waits unseen
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    RuntimeError,  # Raised by event loops that have closed the transport without an error
)


class ExchangeEnd(Enum):
    """How an exchange ended, in the order in which this can happen on a socket."""

    # Also if this machine has no descriptor, memory or port for a connection
    NO_SLOT = "all connections that may be open are busy"
    REFUSED = "the peer refused the connection, or it could not be reached"
    CONNECT_TIMEOUT = "no connection in time; not a byte was sent"
    WITHHELD = "its time to begin was over before the first byte; the connection ends unused"
    CLOSED = "the connection ended before the first byte of an answer"
    CUT = "the connection ended in the middle of an answer"
    GARBAGE = "what came back is no HTTP/1.1 answer, or is over the limits"
    OVERRUN = "bytes came behind a whole answer: its length may be too small"
    ANSWERED = "a whole answer"


@dataclass(slots=True)
class Exchange:
    """The result of one request: `message` is the response, `detail` explains any other end."""

    end: ExchangeEnd
    message: Message | None = None
    detail: str = ""


class SendProgress:
    """The progress of an exchange, for a caller that may cancel it."""

    __slots__ = ("has_written", "may_send")

    def __init__(self, may_send: Callable[[], bool] = lambda: True) -> None:
        """`may_send` is called on an open connection, just before the first byte is sent."""
        self.may_send = may_send
        self.has_written = False  # Whether a byte may have been sent


class _Connection:
    """An open connection that can be polled for a close by its peer."""

    __slots__ = ("descriptor", "idle_since_ns", "poll", "reader", "stream")

    def __init__(self, stream: SocketStream, limits: MessageLimits) -> None:
        self.stream = stream
        self.descriptor: int = stream.extra(SocketAttribute.raw_socket).fileno()
        self.reader = Reader(limits, requests=False)
        self.idle_since_ns = 0
        self.poll = select.poll()
        self.poll.register(self.descriptor, select.POLLIN | select.POLLHUP | select.POLLERR)

    async def close(self) -> None:
        """Closes it without waiting, and drops what was received."""
        self.reader.close()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    def is_stale(self) -> bool:
        """Whether an idle connection received anything: its end, or bytes without a request.

        A connection that cannot be polled is stale too.
        """
        try:
            return bool(self.poll.poll(0))
        except OSError:
            return True

    def has_unread(self) -> bool:
        """Whether bytes or its end can be read at once; false if the kernel does not say."""
        try:
            return bool(self.poll.poll(0))
        except OSError:
            return False

    def has_stray_bytes(self) -> bool:
        """Whether a stale connection has received bytes, and not only its end."""
        try:
            with socket.socket(fileno=os.dup(self.descriptor)) as duplicate:
                return bool(duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # also if no descriptor is free for the duplicate
            return False


class Pool:
    """Connections to one peer.

    An idle connection is reused within `idle_timeout_ns` if nothing was received on it; others are
    closed when one is looked for, and by `close_unusable`. A peer can still close one just as a
    request is written: the exchange then ends with `CLOSED`, and it is unknown whether the request
    was read.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        connection_limit: int = 64,
        idle_timeout_ns: int = 15 * SECOND_NS,
        connect_timeout_ns: int = SECOND_NS // 4,
        limits: MessageLimits | None = None,
        on_stray_response: Callable[[], None] = lambda: None,
    ) -> None:
        self.host, self.port = host, port
        self.connection_limit = connection_limit
        self.idle_timeout_ns = idle_timeout_ns
        self.connect_timeout_ns = connect_timeout_ns
        self.limits = limits or MessageLimits()
        self.open_connections = 0
        self.connections_opened = 0
        self.stray_responses = 0  # Responses or other bytes without a request
        self._on_stray_response = on_stray_response
        self._idle: list[_Connection] = []

    async def exchange(
        self, data: bytes | Callable[[], bytes], sending: SendProgress | None = None
    ) -> Exchange:
        """Sends one request and waits for its response; the caller's cancel scope limits the time.

        `data` is a function if the request states the time left: it is called on an open
        connection. Unless the exchange ends with a complete response that keeps the connection
        open, the connection is closed, so that a late response cannot be taken for that of a later
        request.
        """
        connection = await self._reuse()
        if connection is None:
            if self.open_connections >= self.connection_limit:
                return Exchange(ExchangeEnd.NO_SLOT)
            self.open_connections += 1
            connected = await self._connect()
            if isinstance(connected, Exchange):
                self.open_connections -= 1
                return connected
            connection = connected
        is_reusable = False
        try:
            exchange = await self._exchange(connection, data, sending or SendProgress())
            message = exchange.message
            is_answered = exchange.end is ExchangeEnd.ANSWERED
            is_reusable = is_answered and message is not None and message.keep_alive
            return exchange
        finally:
            if is_reusable:
                connection.idle_since_ns = monotonic_ns()
                self._idle.append(connection)
            else:
                self.open_connections -= 1
                await connection.close()

    async def _reuse(self) -> _Connection | None:
        """An idle connection that is still usable, or None; closes those that are not."""
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            await self._close_idle(connection)
        return None

    def _is_usable(self, connection: _Connection) -> bool:
        is_recent = monotonic_ns() - connection.idle_since_ns < self.idle_timeout_ns
        return is_recent and not connection.is_stale()

    async def _close_idle(self, connection: _Connection) -> None:
        """Closes a connection that is no longer in `_idle`, and counts what it has received."""
        self.open_connections -= 1
        if connection.is_stale() and connection.has_stray_bytes():
            self._count_stray_response()
        await connection.close()

    def _count_stray_response(self) -> None:
        self.stray_responses += 1
        self._on_stray_response()

    async def _connect(self) -> _Connection | Exchange:
        """Opens a connection; if that fails, no byte of a request has been sent."""
        try:
            with anyio.fail_after(self.connect_timeout_ns / 1e9):
                stream = await anyio.connect_tcp(self.host, self.port)
        except TimeoutError:
            return Exchange(ExchangeEnd.CONNECT_TIMEOUT)
        except Exception as error:  # event loops raise more than OSError on an immediate close
            end = ExchangeEnd.NO_SLOT if is_own_shortage(error) else ExchangeEnd.REFUSED
            return Exchange(end, detail=str(error.__cause__ or error))
        except BaseException:
            self.open_connections -= 1
            raise
        self.connections_opened += 1
        try:
            return _Connection(stream, self.limits)
        except (AttributeError, OSError, ValueError):  # a reset connection has no socket any more
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            return Exchange(ExchangeEnd.REFUSED, detail="reset as soon as it was made")

    async def _exchange(
        self, connection: _Connection, data: bytes | Callable[[], bytes], sending: SendProgress
    ) -> Exchange:
        """Sends one request on a connection and reads its response."""
        stream, response = connection.stream, ResponseAssembler(connection.reader)
        has_received = False
        try:
            await anyio.lowlevel.checkpoint_if_cancelled()
            if not sending.may_send():
                return Exchange(ExchangeEnd.WITHHELD)
            encoded = data if isinstance(data, bytes) else data()
            sending.has_written = True
            await stream.send(encoded)
            while response.message is None or self._may_have_surplus(connection, response):
                received = await stream.receive(RECEIVE_BYTES)
                has_received = True
                response.feed(received)
        except CONNECTION_ERRORS:
            if response.message is None:
                return Exchange(ExchangeEnd.CUT if has_received else ExchangeEnd.CLOSED)
            response.message.keep_alive = False
        except InvalidMessageError as error:
            return Exchange(ExchangeEnd.GARBAGE, detail=error.reason.detail)
        return self._end_exchange(response)

    @staticmethod
    def _may_have_surplus(connection: _Connection, response: ResponseAssembler) -> bool:
        return not response.is_decided and connection.has_unread()

    def _end_exchange(self, response: ResponseAssembler) -> Exchange:
        """The end of an exchange whose response is complete; a sole one keeps the connection."""
        message = response.message
        surplus = response.classify_surplus()
        if message is None or surplus is Surplus.NONE:
            return Exchange(ExchangeEnd.ANSWERED, message)
        self._count_stray_response()
        if surplus is Surplus.OTHER:
            return Exchange(ExchangeEnd.OVERRUN, detail=response.detail)
        message.keep_alive = False
        return Exchange(ExchangeEnd.ANSWERED, message)

    async def close_unusable(self) -> None:
        """Closes idle connections that have received something or were idle for too long."""
        if not self._idle:
            return
        idle, self._idle = self._idle, []
        unusable: list[_Connection] = []
        for connection in idle:
            kept = self._idle if self._is_usable(connection) else unusable
            kept.append(connection)
        for connection in unusable:
            await self._close_idle(connection)

    async def close(self) -> None:
        """Closes the idle connections; running exchanges close the others."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await self._close_idle(connection)

"""The asking end of HTTP/1.1 on anyio: one exchange at a time on pooled connections, each end told by its
name.

An end says what the sockets did and no more; what that proves of a task is in `runnerlink.outcomes`.
"""

from __future__ import annotations

import os
import select
import socket
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from enum import Enum
from time import monotonic_ns

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketStream

from martenlead.events.http import InvalidMessageError, Message, MessageLimits, Reader
from martenlead.system.sockets import is_own_shortage

SECOND_NS = 1_000_000_000
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    RuntimeError,  # of an event loop that has closed the transport and not told of it
)


class ExchangeEnd(Enum):
    """How an exchange ended. Before ANSWERED, what comes first in this list came first on the socket."""

    NO_SLOT = "all connections that may be open are busy"  # or there is no descriptor, memory or port for one
    REFUSED = "the peer refused the connection, or it could not be reached"
    CONNECT_TIMEOUT = "no connection in time; not a byte was sent"
    WITHHELD = "its time to begin was over before the first byte; the connection ends unused"
    CLOSED = "the connection ended before the first byte of an answer"
    CUT = "the connection ended in the middle of an answer"
    GARBAGE = "what came back is no HTTP/1.1 answer, or is over the limits"
    ANSWERED = "a whole answer"


@dataclass(slots=True)
class Exchange:
    end: ExchangeEnd
    message: Message | None = None
    detail: str = ""


class SendProgress:
    """How far an exchange has come that its caller may cancel."""

    __slots__ = ("has_written", "may_send")

    def __init__(self, may_send: Callable[[], bool] = lambda: True) -> None:
        """`may_begin` is asked as the first byte would leave, after any wait for a connection."""
        self.may_send = may_send
        self.has_written = False  # from here on a byte may have left


class _Connection:
    __slots__ = ("descriptor", "poll", "reader", "since", "stream")

    def __init__(self, stream: SocketStream, limits: MessageLimits) -> None:
        self.stream = stream
        self.descriptor: int = stream.extra(SocketAttribute.raw_socket).fileno()
        self.reader = Reader(limits, requests=False)
        self.since = 0
        self.poll = select.poll()
        self.poll.register(self.descriptor, select.POLLIN | select.POLLHUP | select.POLLERR)

    def stale(self) -> bool:
        """Anything to read on an idle connection is its end, or bytes that answer nothing. One that cannot
        be asked is not used again."""
        try:
            return bool(self.poll.poll(0))
        except OSError:
            return True

    def stray(self) -> bool:
        """Whether what came on a stale connection are bytes, and not only its end."""
        try:
            with socket.socket(fileno=os.dup(self.descriptor)) as own:
                return bool(own.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # also where no descriptor is left to look with
            return False


class Pool:
    """Connections to one peer. Times are ns.

    An idle connection is used again only within `idle` and while nothing has come on it. A peer can still
    close it just as a request is written: that ends CLOSED, and whether the request was read is not known.
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
    ) -> None:
        self.host, self.port = host, port
        self.connection_limit, self.idle_timeout_ns, self.connect_timeout_ns = (
            connection_limit,
            idle_timeout_ns,
            connect_timeout_ns,
        )
        self.limits = limits or MessageLimits()
        self.open_connections = 0
        self.connections_opened = 0
        self.stray_responses = 0  # answers, or other bytes, that no request of ours asked for
        self._idle: list[_Connection] = []

    async def exchange(
        self, data: bytes | Callable[[], bytes], sending: SendProgress | None = None
    ) -> Exchange:
        """Sends one request and waits for its answer, without an end of its own: the caller's scope sets it.
        A request that states a time left is made by a call, once there is a connection.

        Cancelled, or ended by anything but a whole answer that keeps the connection, it closes the
        connection: no late answer can meet a later request.
        """
        connection = await self._reuse()
        if connection is None:
            if self.open_connections >= self.connection_limit:
                return Exchange(ExchangeEnd.NO_SLOT)
            self.open_connections += 1
            made = await self._connect()
            if isinstance(made, Exchange):
                self.open_connections -= 1
                return made
            connection = made
        good = False
        try:
            exchange = await self._exchange(connection, data, sending or SendProgress())
            message = exchange.message
            good = exchange.end is ExchangeEnd.ANSWERED and message is not None and message.keep_alive
            return exchange
        finally:
            if good:
                connection.since = monotonic_ns()
                self._idle.append(connection)
            else:
                self.open_connections -= 1
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(connection.stream)

    async def _reuse(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            stale = connection.stale()
            if not stale and monotonic_ns() - connection.since < self.idle_timeout_ns:
                return connection
            self.open_connections -= 1
            self.stray_responses += stale and connection.stray()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(connection.stream)
        return None

    async def _connect(self) -> _Connection | Exchange:
        """Whatever fails here, not a byte of a request was sent."""
        try:
            with anyio.fail_after(self.connect_timeout_ns / 1e9):
                stream = await anyio.connect_tcp(self.host, self.port)
        except TimeoutError:
            return Exchange(ExchangeEnd.CONNECT_TIMEOUT)
        except Exception as error:  # event loops raise more than OSError for an end in that moment
            end = ExchangeEnd.NO_SLOT if is_own_shortage(error) else ExchangeEnd.REFUSED
            return Exchange(end, detail=str(error.__cause__ or error))
        except BaseException:
            self.open_connections -= 1
            raise
        self.connections_opened += 1
        try:
            return _Connection(stream, self.limits)
        except (AttributeError, OSError, ValueError):  # reset while it was being made: no socket any more
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            return Exchange(ExchangeEnd.REFUSED, detail="reset as soon as it was made")

    async def _exchange(
        self, connection: _Connection, data: bytes | Callable[[], bytes], sending: SendProgress
    ) -> Exchange:
        stream, reader = connection.stream, connection.reader
        begun = False
        try:
            await anyio.lowlevel.checkpoint_if_cancelled()
            if not sending.may_send():
                return Exchange(ExchangeEnd.WITHHELD)
            sending.has_written = True
            await stream.send(data if isinstance(data, bytes) else data())
            while True:
                part = await stream.receive()
                begun = True
                done = reader.feed(part)
                if done:
                    if len(done) > 1 or reader.in_message:
                        done[
                            0
                        ].keep_alive = (
                            False  # answers nobody asked for: the first counts, the rest is dropped
                        )
                    return Exchange(ExchangeEnd.ANSWERED, done[0])
        except CONNECTION_ERRORS:
            return Exchange(ExchangeEnd.CUT if begun else ExchangeEnd.CLOSED)
        except InvalidMessageError as error:
            if reader.completed:
                reader.completed[0].keep_alive = False
                self.stray_responses += 1
                return Exchange(ExchangeEnd.ANSWERED, reader.completed[0])
            return Exchange(ExchangeEnd.GARBAGE, detail=error.detail)

    async def close(self) -> None:
        idle, self._idle = self._idle, []
        for connection in idle:
            self.open_connections -= 1
            self.stray_responses += connection.stale() and connection.stray()
            await anyio.aclose_forcefully(connection.stream)


async def read_lines(
    host: str, port: int, data: bytes, *, silence_timeout_seconds: float, max_line_bytes: int
) -> AsyncGenerator[bytes]:
    """The lines of a chunked answer that does not end, as they come.

    Raises OSError, anyio's errors of a broken stream, TimeoutError after `quiet` seconds without a connection
    or without a byte, and
    `BadMessage` for an answer other than 200 or a line over `longest` bytes.
    """
    with anyio.fail_after(silence_timeout_seconds):
        stream = await anyio.connect_tcp(host, port)
    try:
        with anyio.fail_after(silence_timeout_seconds):
            await stream.send(data)
        left = b""
        status = 0
        reader = _Stream()
        while True:
            with anyio.fail_after(silence_timeout_seconds):
                part = await stream.receive()
            left += reader.feed(part)
            status = reader.status
            if status not in (0, 200):
                raise InvalidMessageError(502, f"status {status}")
            *whole, left = left.split(b"\n")
            if len(left) > max_line_bytes:
                raise InvalidMessageError(502, f"a line over {max_line_bytes} bytes")
            for line in whole:
                if line:
                    yield line
            if reader.ended:
                return
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


class _Stream:
    """The body of one answer as it comes."""

    def __init__(self) -> None:
        import httptools

        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.status = 0
        self.ended = False
        self._errors = httptools.HttpParserError

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.ended = True

    def feed(self, data: bytes) -> bytes:
        self.parts.clear()
        try:
            self.parser.feed_data(data)
        except self._errors as error:
            raise InvalidMessageError(502, f"not HTTP/1.1: {error}") from None
        return b"".join(self.parts)

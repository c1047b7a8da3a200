"""The serving end of HTTP/1.1 on anyio: pipelining in order, bounds on all that a peer can make us hold.

Every request of a connection is begun when it has been read, also behind one that still runs: its client's
time runs too. Answers leave in the order of the requests, as RFC 9112 section 9.3.2 wants. A peer that closes
its sending side is taken to have left: HTTP/1.1 clients keep it open until they have their answer.

A request that was read is answered before its connection closes: at a drain, at a full table, at a message
that is none behind it, at a fault of its handler. A fault costs the connection that it happens on.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing, suppress
from dataclasses import dataclass
from time import monotonic_ns
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from martenlead.events.http import (
    Headers,
    InvalidMessageError,
    Message,
    MessageLimits,
    Reader,
    chunk,
    response,
)
from martenlead.events.stream_listener import StreamListener, listen
from martenlead.system.sockets import has_ended, readable

__all__ = ["Handler", "Reply", "Server", "ServerLimits", "StreamListener", "listen"]

SECOND_NS = 1_000_000_000
READ_BYTES = 16_384  # bytes at a time: what one read holds is parsed at once, and a slow reader sits on it
HANGUP_CHECK_SECONDS = 0.02  # between two looks for a client's end while no request of it may be begun
READ_AHEAD = 262_144  # bytes read meanwhile: an end does not show behind more than the kernel takes
ROOM_CHECK_SECONDS = 0.02  # between two looks for idle connections that give way, while some have no room
GIVE_WAY = 4  # idle connections that are ended at each look
YOUNG = 50_000_000  # ns that a connection has for its first request before it may give way
DRAIN_YOUNG = 200_000_000  # the same, before a drain ends it
BACKLOG_SECONDS = 1.0  # for the connections that wait to be accepted as a drain begins
REJECT_SECONDS = 1.0  # for the response to a connection beyond the limit
LINGER_SECONDS = 0.25  # for the client to read its response and to close
GONE = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


@dataclass(slots=True)
class Reply:
    """What a handler answers; with a generator the body is sent in chunks as they come."""

    status: int
    headers: Headers
    body: bytes | AsyncGenerator[bytes] = b""
    close: bool = False


Handler = Callable[[Message, int], Awaitable[Reply]]
"""Takes a request and when its last byte arrived (monotonic ns). Cancelled when the peer has left."""


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Times are ns. At `connections` a further one is told 503 and closed; at `pipelined` no more is read."""

    message: MessageLimits = MessageLimits()  # noqa: RUF009
    max_connections: int = 2048
    max_pipelined: int = 32
    idle_timeout_ns: int = 60 * SECOND_NS
    receive_timeout_ns: int = 10 * SECOND_NS  # from a message's first byte to its last
    write_timeout_ns: int = 10 * SECOND_NS  # for a peer that does not read


class _Slot:
    __slots__ = ("close", "reply")

    def __init__(self, close: bool) -> None:
        self.reply: Reply | None = None
        self.close = close


@dataclass(slots=True, frozen=True)
class _Received:
    """Bytes of a connection, by the monotonic clock; `arrived_ns` is the earliest that they may have come."""

    data: bytes
    read_ns: int
    arrived_ns: int


class Server:
    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        *,
        make_error_reply: Callable[[int, str], Reply],
        make_fault_reply: Callable[[BaseException], Reply],
        earliest_arrival_ns: Callable[[int], int] = lambda now: now,
    ) -> None:
        """`arrival` tells the earliest moment at which what is read now may have arrived."""
        self.handler, self.limits, self.make_error_reply, self.make_fault_reply = (
            handler,
            limits,
            make_error_reply,
            make_fault_reply,
        )
        self.earliest_arrival_ns = earliest_arrival_ns
        self.connections: set[Connection] = set()
        self.is_draining = False
        self.active_listeners = 0  # listeners; 0 again once all their connections have ended
        self._takes_backlog = True
        self._stop = anyio.Event()

    async def serve(self, listener: StreamListener) -> None:
        """Until `drain`: then what waits to be accepted is taken still, idle connections end, and those with
        requests end when answered."""
        full = anyio.Event()

        def on_full() -> None:
            full.set()

        async def keep_room() -> None:
            nonlocal full
            while True:
                await full.wait()
                full = anyio.Event()
                while listener.is_full:
                    self._make_room()
                    await anyio.sleep(ROOM_CHECK_SECONDS)

        listener.on_full = on_full
        self.active_listeners += 1
        try:
            async with anyio.create_task_group() as group, anyio.create_task_group() as helpers:
                group.start_soon(listener.serve, self._connected, group)
                helpers.start_soon(keep_room)
                helpers.start_soon(self._sweep)
                await self._stop.wait()
                await self._wind_up(listener)
                helpers.cancel_scope.cancel()
        finally:
            self.active_listeners -= 1

    async def _wind_up(self, listener: StreamListener) -> None:
        if self._takes_backlog:
            with anyio.move_on_after(BACKLOG_SECONDS):
                await listener.accept_all()
        listener.close()
        while self.connections or not listener.is_idle:
            now = monotonic_ns()
            for connection in list(self.connections):
                connection.close_if_idle(now - DRAIN_YOUNG)
            await anyio.sleep(0.01)

    def _make_room(self) -> None:
        """Ends the connections that never asked anything, the oldest first, then those idle for longest."""
        now = monotonic_ns()
        by_rank = sorted(
            self.connections, key=lambda connection: (connection.has_sent_request, connection.last_read_ns)
        )
        ended = 0
        for connection in by_rank:
            if ended == GIVE_WAY:
                break
            ended += connection.close_if_idle(now - YOUNG)

    async def _sweep(self) -> None:
        """Ends what takes too long. One look at all connections now and then costs less than a timer for each
        read and write; a time-out may come late by a quarter."""
        limits = self.limits
        every = min(limits.idle_timeout_ns, limits.receive_timeout_ns, limits.write_timeout_ns) / 4e9
        while True:
            await anyio.sleep(min(max(every, 0.01), 1.0))
            now = monotonic_ns()
            for connection in list(self.connections):
                connection.close_if_overdue(now)

    def drain(self) -> None:
        self.is_draining = True
        self._stop.set()

    def abort(self) -> None:
        """Ends everything now, as a process that dies would."""
        self._takes_backlog = False
        self.drain()
        for connection in list(self.connections):
            connection.scope.cancel()

    async def _connected(self, stream: SocketStream) -> None:
        connection = Connection(self, stream)
        if len(self.connections) >= self.limits.max_connections:
            await connection.reject(
                self.make_error_reply(503, f"more than {self.limits.max_connections} connections")
            )
            return
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    def crash(self, error: Exception) -> Reply:
        """What a client is told of a fault of ours, whatever else fails."""
        try:
            return self.make_fault_reply(error)
        except Exception:
            return Reply(500, [])


class Connection:
    """One client's. `group` holds a worker for the request at hand, and one more task for each pipelined
    one."""

    def __init__(self, server: Server, stream: SocketStream) -> None:
        self.server, self.stream = server, stream
        self.limits = server.limits
        self.reader = Reader(self.limits.message, requests=True)
        self.slots: deque[_Slot] = deque()
        self.write_started_ns = 0  # since when
        self.last_read_ns = monotonic_ns()  # when there was last something, or the message at hand had begun
        self.scope = anyio.CancelScope()
        self.read_scope = anyio.CancelScope()
        self.has_sent_request = False
        self.is_closing = False  # it was idle, and closes once what crosses that is answered
        self.is_too_slow = False
        self.has_last_request = False  # nothing more is read
        self._unbegun = 0  # requests that were read, and wait for one before them to be answered
        self._unread_since = 0  # since when more may wait to be read than is read ahead
        self._ahead: deque[_Received] = deque()  # what was read meanwhile
        self._ahead_bytes = 0
        self._waiting = anyio.CancelScope()
        self._job: tuple[Message, int, _Slot] | None = None
        self._ready = anyio.Event()
        self._idle = False
        self._socket: Any = None
        with suppress(AttributeError):  # reset while it was being made: the stream has no socket any more
            self._socket = stream.extra(SocketAttribute.raw_socket)

    def _has_nothing_unread(self) -> bool:
        if self._unbegun or self._ahead or self.reader.in_message:
            return False
        return not readable(self._socket)

    def has_left(self) -> bool:
        """Whether the client has closed, or half of it, also where the loop has not read so far. Bytes that
        it sent since are no end: requests that wait their turn."""
        return has_ended(self._socket)

    def end(self) -> None:
        """As where its end was read: all its requests are cancelled, from the next turn of the loop on."""
        self.scope.cancel()

    def close_if_idle(self, before: int) -> bool:
        """Ends it if no request is open or unread, unless it is new since `before` (ns) and has not spoken.
        Only reading is cancelled: a request that the event loop has read in this turn is answered still."""
        is_young = not self.has_sent_request and self.last_read_ns > before
        if self.is_closing or self.slots or is_young or not self._has_nothing_unread():
            return False
        self.is_closing = True
        self.read_scope.cancel()
        return True

    def close_if_overdue(self, now: int) -> None:
        """The sweeper's: ends the connection of a peer that does not read, send on or ask again."""
        if self.write_started_ns:
            if now - self.write_started_ns > self.limits.write_timeout_ns:
                self.scope.cancel()
        elif self.reader.in_message:
            if now - self.last_read_ns > self.limits.receive_timeout_ns:
                self.is_too_slow = True
                self.read_scope.cancel()
        elif not self.slots and now - self.last_read_ns > self.limits.idle_timeout_ns:
            self.close_if_idle(now)

    async def reject(self, reply: Reply) -> None:
        """Answers before anything was read, and closes."""
        with anyio.move_on_after(REJECT_SECONDS), suppress(*GONE):
            await self.write(reply, True)
            await self._linger()

    async def run(self) -> None:
        try:
            with self.scope:
                async with anyio.create_task_group() as group:
                    bad = None
                    try:
                        with self.read_scope:
                            bad = await self._read(group)
                    except GONE:
                        group.cancel_scope.cancel()
                        return
                    if self.is_too_slow:
                        bad = InvalidMessageError(408, "the message took too long to arrive")
                    if bad is not None:
                        slot = _Slot(True)
                        self.slots.append(slot)
                        await self._put(slot, self.server.make_error_reply(bad.status, bad.detail))
                    while self.slots:  # a last request is out: a peer that leaves is still to be noticed
                        try:
                            await self.stream.receive()
                        except GONE:
                            break
                    group.cancel_scope.cancel()
                if self.has_last_request:
                    await self._linger()
        finally:
            await anyio.aclose_forcefully(self.stream)

    async def _read(self, group: anyio.abc.TaskGroup) -> InvalidMessageError | None:
        """Reads and begins requests until the last one; returns what made the bytes unreadable."""
        reader, slots = self.reader, self.slots
        group.start_soon(self._work)
        while not self.has_last_request:
            waiting = reader.in_message
            received = await self._receive()
            if not waiting:
                self.last_read_ns = received.read_ns
            messages, bad = self._parse(received.data)
            self.has_sent_request = self.has_sent_request or bool(messages)
            self._unbegun = len(messages)
            for message in messages:
                message.peer = self
                # one read holds far more small requests than may be begun at a time
                await self._wait_for_slot()
                self._unbegun -= 1
                self.has_last_request = self.has_last_request or not message.keep_alive
                slot = _Slot(self.has_last_request)
                slots.append(slot)
                if self._idle:
                    self._idle = False
                    self._job = message, received.arrived_ns, slot
                    self._ready.set()
                else:
                    group.start_soon(self._answer, message, received.arrived_ns, slot)
                if self.has_last_request:
                    self._unbegun = 0  # whoever says that a request is the last one sends none behind it
                    return None
            if bad is not None:
                self.has_last_request = True
                return bad
            if reader.expects_continue and not slots:
                reader.expects_continue = False
                await self.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return None

    def _parse(self, data: bytes) -> tuple[list[Message], InvalidMessageError | None]:
        """The messages that ended in these bytes, and what made the rest unreadable."""
        try:
            return self.reader.feed(data), None
        except InvalidMessageError as error:
            return self.reader.completed, error

    async def _receive(self) -> _Received:
        """The next bytes, also of what was read ahead."""
        if not self._ahead:
            return await self._receive_unread()
        received = self._ahead.popleft()
        self._ahead_bytes -= len(received.data)
        return received

    async def _receive_unread(self) -> _Received:
        data = await self.stream.receive(READ_BYTES)
        now = monotonic_ns()
        arrived = self.server.earliest_arrival_ns(now)
        if self._unread_since:
            arrived = min(arrived, self._unread_since)
            if len(data) < READ_BYTES and not readable(self._socket):
                self._unread_since = 0
        return _Received(data, now, arrived)

    async def _wait_for_slot(self) -> None:
        """Reads ahead meanwhile, and asks the socket: the client may leave. Raises EndOfStream, or what else
        the stream does."""
        while len(self.slots) >= self.limits.max_pipelined:
            with anyio.move_on_after(HANGUP_CHECK_SECONDS) as self._waiting:
                if self._ahead_bytes >= READ_AHEAD:
                    self._unread_since = self._unread_since or self._ahead[-1].read_ns
                    await anyio.sleep_forever()
                received = await self._receive_unread()
                self._ahead.append(received)
                self._ahead_bytes += len(received.data)
            if self.has_left():
                raise anyio.EndOfStream

    async def _work(self) -> None:
        """Answers one request after the other: most connections have one at a time, and need no task for
        each."""
        while True:
            self._idle = True
            await self._ready.wait()
            self._ready = anyio.Event()
            assert self._job is not None
            message, arrived, slot = self._job
            self._job = None  # the message names this connection, which would keep itself
            await self._answer(message, arrived, slot)

    async def _answer(self, message: Message, arrived: int, slot: _Slot) -> None:
        try:
            reply = await self.server.handler(message, arrived)
        except Exception as error:
            reply = self.server.crash(error)
        await self._put(slot, reply)

    async def _put(self, slot: _Slot, reply: Reply) -> None:
        slot.reply = reply
        if self.write_started_ns:
            return
        self.write_started_ns = monotonic_ns()
        try:
            while self.slots and (first := self.slots[0]).reply is not None:
                self.is_closing = self.is_closing or first.close or first.reply.close
                close = self._closes_behind_first()
                try:
                    await self.write(first.reply, close)
                except GONE:
                    self.scope.cancel()
                    return
                except Exception as error:  # of the body: the client can tell that it is not whole
                    self.server.crash(error)
                    self.scope.cancel()
                    return
                self.slots.popleft()
                self._waiting.cancel()
                if close and not self.slots:
                    self.has_last_request = True
                    await self._linger()
                    self.scope.cancel()
                    return
        finally:
            self.write_started_ns = 0
            self.last_read_ns = monotonic_ns()

    def _closes_behind_first(self) -> bool:
        """Whether the first response is the last one. None is as long as more requests are open or unread: a
        client that is told of a close expects no further response."""
        if len(self.slots) > 1:
            return False
        if self.slots[0].close:
            return True
        return (self.is_closing or self.server.is_draining) and self._has_nothing_unread()

    async def write(self, reply: Reply, close: bool) -> None:
        headers = reply.headers
        if isinstance(reply.body, bytes):
            await self.stream.send(self._whole(reply, reply.body, close))
            return
        await self.stream.send(response(reply.status, [*headers, (b"transfer-encoding", b"chunked")], None))
        async with aclosing(reply.body) as parts:  # its end is told also where the peer has gone
            async for part in parts:
                self.write_started_ns = monotonic_ns()
                await self.stream.send(chunk(part))
                self.write_started_ns = 1 << 62  # between two parts nobody is to blame
        await self.stream.send(chunk(b""))

    def _whole(self, reply: Reply, body: bytes, close: bool) -> bytes:
        last: Headers = [(b"connection", b"close")] if close else []
        try:
            return response(reply.status, [*reply.headers, *last], body)
        except Exception as error:  # headers that cannot be written
            return response(500, [*self.server.crash(error).headers, *last], b"")

    async def _linger(self) -> None:
        """Bytes left unread would make the kernel reset the connection and drop the answer with it."""
        with anyio.move_on_after(LINGER_SECONDS), suppress(*GONE, anyio.BusyResourceError):
            await self.stream.send_eof()
            left = 1 << 20
            while left > 0:
                left -= len(await self.stream.receive())

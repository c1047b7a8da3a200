"""The serving end of HTTP/1.1 on anyio: pipelining in order, bounds on all that a peer can make us hold.

Every request of a connection is begun when it has been read, also behind one that still runs: its client's
time runs too. Answers leave in the order of the requests, as RFC 9112 section 9.3.2 wants. A peer that closes
its sending side is taken to have left: HTTP/1.1 clients keep it open until they have their answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from time import monotonic_ns

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream

from martenlead.events.http import BadMessage, Headers, Limits, Message, Reader, chunk, response

SECOND = 1_000_000_000


@dataclass(slots=True)
class Reply:
    """What a handler answers: with an iterator the body is sent in chunks as they come, and the connection
    ends."""

    status: int
    headers: Headers
    body: bytes | AsyncIterator[bytes] = b""
    close: bool = False


Handler = Callable[[Message, int], Awaitable[Reply]]
"""Takes a request and when its last byte was read (monotonic ns). Cancelled when the peer has left."""


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Times are ns. At `connections` a further one is told 503 and closed; at `pipelined` no more is read."""

    message: Limits = Limits()  # noqa: RUF009
    connections: int = 2048
    pipelined: int = 32
    idle: int = 60 * SECOND
    slow: int = 10 * SECOND  # from a message's first byte to its last
    write: int = 10 * SECOND  # for a peer that does not read


class _Slot:
    __slots__ = ("close", "reply")

    def __init__(self, close: bool) -> None:
        self.reply: Reply | None = None
        self.close = close


class Server:
    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        *,
        bad: Callable[[int, str], Reply],
        crashed: Callable[[BaseException], Reply],
    ) -> None:
        self.handler, self.limits, self.bad, self.crashed = handler, limits, bad, crashed
        self.connections: set[Connection] = set()
        self.draining = False
        self._stop = anyio.Event()

    async def serve(self, listener: SocketListener) -> None:
        """Until `drain`: then no connection is taken, idle ones end, and those with requests end when
        answered."""
        async with anyio.create_task_group() as group:
            accepting = anyio.CancelScope()

            async def accept_until_stopped() -> None:
                with accepting, suppress(anyio.ClosedResourceError):
                    await listener.serve(self._connected, group)

            group.start_soon(accept_until_stopped)
            await self._stop.wait()
            accepting.cancel()
            await listener.aclose()
            for connection in list(self.connections):
                connection.wind_up()

    def drain(self) -> None:
        self.draining = True
        self._stop.set()

    async def _connected(self, stream: SocketStream) -> None:
        connection = Connection(self, stream)
        if len(self.connections) >= self.limits.connections:
            reply = self.bad(503, f"more than {self.limits.connections} connections")
            with anyio.move_on_after(1):
                await connection.write(reply, True)
            await anyio.aclose_forcefully(stream)
            return
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)


class Connection:
    def __init__(self, server: Server, stream: SocketStream) -> None:
        self.server, self.stream = server, stream
        self.limits = server.limits
        self.reader = Reader(self.limits.message, requests=True)
        self.slots: deque[_Slot] = deque()
        self.writing = False
        self.scope = anyio.CancelScope()
        self.reading = anyio.CancelScope()
        self.flushed = anyio.Event()
        self.last = False  # nothing more is read

    def wind_up(self) -> None:
        if not self.slots and not self.reader.in_message:
            self.scope.cancel()

    async def run(self) -> None:
        try:
            with self.scope:
                async with anyio.create_task_group() as group:
                    try:
                        bad = await self._read(group)
                    except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
                        group.cancel_scope.cancel()
                        return
                    if bad is not None:
                        slot = _Slot(True)
                        self.slots.append(slot)
                        await self._put(slot, self.server.bad(bad.status, bad.detail))
                if self.last:
                    await self._linger()
        finally:
            await anyio.aclose_forcefully(self.stream)

    async def _read(self, group: anyio.abc.TaskGroup) -> BadMessage | None:
        """Reads and begins requests until the last one; returns what made the bytes unreadable."""
        begun = 0
        while not self.last:
            waiting = self.reader.in_message
            limit = self.limits.slow - (monotonic_ns() - begun) if waiting else self.limits.idle
            with anyio.move_on_after(max(0, limit) / 1e9) as scope:
                data = await self.stream.receive()
            if scope.cancelled_caught:
                if not waiting and self.slots:
                    continue  # idle only as far as the peer waits for us
                if waiting:
                    self.last = True
                    return BadMessage(408, "the message took too long to arrive")
                raise anyio.EndOfStream
            now = monotonic_ns()
            if not waiting:
                begun = now
            bad = None
            try:
                messages = self.reader.feed(data)
            except BadMessage as error:
                bad, messages = error, self.reader.done
            for message in messages:
                self.last = self.last or not message.keep_alive
                slot = _Slot(self.last)
                self.slots.append(slot)
                group.start_soon(self._answer, message, now, slot)
                if self.last:
                    break
            if bad is not None:
                self.last = True
                return bad
            if self.reader.continues and not self.slots:
                self.reader.continues = False
                await self.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            while len(self.slots) >= self.limits.pipelined and not self.last:
                self.flushed = anyio.Event()
                await self.flushed.wait()
        while self.slots:  # a last request is out: a peer that leaves is still to be noticed
            if not await self.stream.receive():
                break
        return None

    async def _answer(self, message: Message, now: int, slot: _Slot) -> None:
        try:
            reply = await self.server.handler(message, now)
        except Exception as error:
            reply = self.server.crashed(error)
        await self._put(slot, reply)

    async def _put(self, slot: _Slot, reply: Reply) -> None:
        slot.reply = reply
        if self.writing:
            return
        self.writing = True
        try:
            while self.slots and (first := self.slots[0]).reply is not None:
                close = first.close or first.reply.close or self.server.draining
                try:
                    await self.write(first.reply, close)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
                    self.scope.cancel()
                    return
                self.slots.popleft()
                self.flushed.set()
                if close and not self.slots:
                    self.last = True
                    await self._linger()
                    self.scope.cancel()
                    return
        finally:
            self.writing = False

    async def write(self, reply: Reply, close: bool) -> None:
        headers = reply.headers
        if isinstance(reply.body, bytes):
            if close:
                headers = [*headers, (b"connection", b"close")]
            with anyio.fail_after(self.limits.write / 1e9):
                await self.stream.send(response(reply.status, headers, reply.body))
            return
        head = response(reply.status, [*headers, (b"transfer-encoding", b"chunked")], None)
        with anyio.fail_after(self.limits.write / 1e9):
            await self.stream.send(head)
        async for part in reply.body:
            with anyio.fail_after(self.limits.write / 1e9):
                await self.stream.send(chunk(part))
        with anyio.fail_after(self.limits.write / 1e9):
            await self.stream.send(chunk(b""))

    async def _linger(self) -> None:
        """Bytes left unread would make the kernel reset the connection and drop the answer with it."""
        with anyio.move_on_after(0.25):
            try:
                await self.stream.send_eof()
                left = 1 << 20
                while left > 0:
                    left -= len(await self.stream.receive())
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.BusyResourceError,
            ):
                return


async def listen(host: str, port: int) -> tuple[SocketListener, int]:
    """A listener and the port it has; port 0 takes a free one. Raises OSError."""
    multi = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=1024)
    listener = multi.listeners[0]
    return listener, int(listener.extra(SocketAttribute.local_port))  # type: ignore[return-value]

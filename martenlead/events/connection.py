"""One connection of an HTTP/1.1 server: ordered pipelining, and limits on what a client can use.

Each request starts as soon as it was read, even while an earlier one is running, as its deadline
is running too. Responses are sent in the order of the requests (RFC 9112, section 9.3.2). A client
that closes its sending side counts as disconnected: HTTP/1.1 clients keep it open until they have
their response.

A request that was read is answered before the connection closes: when the server drains or makes
room for other connections, when an invalid message follows, and when the handler fails.
"""

from __future__ import annotations

from collections import deque
from contextlib import aclosing, suppress
from dataclasses import dataclass
from http import HTTPStatus
from time import monotonic_ns
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from martenlead.events.head import LAST_CHUNK, encode_chunk, encode_interim_response
from martenlead.events.http import (
    CONTINUE,
    Headers,
    InvalidMessage,
    InvalidMessageError,
    Message,
    Reader,
    response,
)
from martenlead.events.server_interface import ConnectionOwner, Reply
from martenlead.events.stream_listener import RECEIVE_BUFFER_BYTES
from martenlead.system.sockets import has_ended, readable, unread_bytes
from martenlead.system.stream_writes import send_all

# Largest read; all its messages are parsed at once and kept in memory while a handler is slow.
READ_BYTES = 16_384
# Bytes read while no request may start, so that a disconnect that follows them is noticed. Further
# requests are rejected for the same purpose, up to a number of responses that wait.
READ_AHEAD_BYTES = 262_144
WAITING_RESPONSES = 1024
# The kernel accepts the end of a connection while less than this is unread: its window is open then
UNSEEN_END_BYTES = RECEIVE_BUFFER_BYTES // 4
HANGUP_CHECK_SECONDS = 0.02  # Interval of checks for a disconnect while no request may start
REJECT_SECONDS = 1.0  # Time limit for the response to a connection beyond the limit
LINGER_SECONDS = 0.25  # Time for the client to read its response and to close
LINGER_BYTES = 1 << 20  # Bytes that are read and dropped during that time
NEVER_NS = 1 << 62  # A start of writing that is never overdue
CLIENT_GONE_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
TOO_SLOW_REASON = "the message took too long to arrive"
TOO_MUCH_REASON = "too much is being received"
SERVICE_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE.value
REQUEST_TIMEOUT = HTTPStatus.REQUEST_TIMEOUT.value
INTERNAL_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR.value


class _ResponseSlot:
    """The place of one response in the order in which they are sent."""

    __slots__ = ("is_last", "reply")

    def __init__(self, is_last: bool) -> None:
        self.reply: Reply | None = None
        self.is_last = is_last


@dataclass(slots=True, frozen=True)
class _Received:
    """Received bytes; `arrived_ns` is the earliest time at which they can have arrived."""

    data: bytes
    read_ns: int
    arrived_ns: int


class Connection:
    """One client's connection.

    One task answers requests one after the other. A request that arrives while that task is busy
    gets a task of its own.
    """

    def __init__(self, server: ConnectionOwner, stream: SocketStream) -> None:
        self.server, self.stream = server, stream
        self.limits = server.limits
        self.reader = Reader(self.limits.message, requests=True)
        self.slots: deque[_ResponseSlot] = deque()
        self.write_started_ns = 0  # 0 while no response is being written
        # Time of the last read or write, or the start of an incomplete message
        self.last_read_ns = monotonic_ns()
        self.scope = anyio.CancelScope()
        self.read_scope = anyio.CancelScope()
        self.has_sent_request = False
        self.is_closing = False  # Closes once all requests that were read are answered
        self._input_error: InvalidMessage | None = None  # why reading was cancelled
        self._recorded_bytes = 0  # of what it keeps, in the server's account
        self.has_last_request = False  # Nothing more is read
        self._requests_without_slot = 0  # Requests that were read and wait for a slot
        # Time since which bytes may be waiting in the kernel behind those read ahead
        self._unread_since_ns = 0
        self._read_ahead: deque[_Received] = deque()
        self._read_ahead_bytes = 0
        self._slot_wait = anyio.CancelScope()
        self._jobs: deque[tuple[Message, int, _ResponseSlot]] = deque()
        self._has_job = anyio.Event()
        self._is_answerer_idle = False
        self._socket: Any = None  # `Any`: the event loop's own type, see system/sockets.py
        with suppress(AttributeError):  # a reset connection has no socket any more
            self._socket = stream.extra(SocketAttribute.raw_socket)

    # -- disconnects and closing

    def _has_no_unread_input(self) -> bool:
        if self._requests_without_slot or self._read_ahead or self.reader.in_message:
            return False
        return not readable(self._socket)

    def has_left(self) -> bool:
        """Whether the client has closed the connection, or its sending side.

        This asks the kernel, as the event loop may not have read the end yet. Unread bytes alone do
        not count as a disconnect.
        """
        return has_ended(self._socket)

    def may_have_left(self) -> bool:
        """Whether an end of the connection may still wait at the client, behind unread bytes."""
        return unread_bytes(self._socket) >= UNSEEN_END_BYTES

    def end(self) -> None:
        """Cancels all its requests, in a later iteration of the event loop."""
        self.scope.cancel()

    def close_if_idle(self, before_ns: int) -> bool:
        """Closes it if no request is in flight or unread; returns whether it does.

        A connection that was opened after `before_ns` and has sent no request yet stays open. Only
        reading is cancelled: a request that the event loop has read in this iteration is still
        answered.
        """
        is_young = not self.has_sent_request and self.last_read_ns > before_ns
        if self.is_closing or self.slots or is_young or not self._has_no_unread_input():
            return False
        self.is_closing = True
        self.read_scope.cancel()
        return True

    def close_if_overdue(self, now_ns: int) -> None:
        """Closes it if the client did not read, complete a request or send one in time."""
        if self.write_started_ns:
            if now_ns - self.write_started_ns > self.limits.write_timeout_ns:
                self.scope.cancel()
        elif self.reader.in_message:
            if now_ns - self.last_read_ns > self.limits.receive_timeout_ns:
                self._refuse(InvalidMessage(REQUEST_TIMEOUT, TOO_SLOW_REASON))
        elif not self.slots and now_ns - self.last_read_ns > self.limits.idle_timeout_ns:
            self.close_if_idle(now_ns)

    def _refuse(self, error: InvalidMessage) -> None:
        """Drops an incomplete message and reads no more; the response to it is its error."""
        self._input_error = self._input_error or error
        self.reader.close()
        self._record_kept_bytes()
        self.read_scope.cancel()

    # -- received bytes that are kept

    @property
    def partial_since_ns(self) -> int:
        """The start of an incomplete message, or 0."""
        return self.last_read_ns if self.reader.in_message else 0

    @property
    def peer_address(self) -> str:
        """The client's address and port."""
        address = self.stream.extra(SocketAttribute.remote_address, ())
        return ":".join(str(part) for part in address)

    @property
    def refusable_bytes(self) -> int:
        """The bytes of an incomplete message, unless requests before it still have to start."""
        has_requests = self._requests_without_slot or self._read_ahead
        return 0 if has_requests or self._input_error else self.reader.kept_bytes

    def refuse_input(self) -> None:
        """Refuses an incomplete message, as all connections together keep too much."""
        self._refuse(InvalidMessage(SERVICE_UNAVAILABLE, TOO_MUCH_REASON))

    def _record_kept_bytes(self) -> None:
        kept_bytes = self.reader.kept_bytes + self._read_ahead_bytes
        difference_bytes = kept_bytes - self._recorded_bytes
        self._recorded_bytes = kept_bytes
        if difference_bytes:
            self.server.input_memory.change(difference_bytes)

    async def reject(self, reply: Reply) -> None:
        """Responds without reading a request, and closes."""
        with anyio.move_on_after(REJECT_SECONDS), suppress(*CLIENT_GONE_ERRORS):
            await self.write(reply, is_last=True)
            await self._linger()

    async def run(self) -> None:
        """Serves the connection until it has ended."""
        try:
            with self.scope:
                async with anyio.create_task_group() as group:
                    is_open = await self._serve(group)
                    group.cancel_scope.cancel()
                if is_open and self.has_last_request:
                    await self._linger()
        finally:
            self._release_input()
            await anyio.aclose_forcefully(self.stream)

    def _release_input(self) -> None:
        """Drops what was received: tasks and scopes may refer to this connection for longer."""
        self.reader.close()
        self._read_ahead.clear()
        self._read_ahead_bytes = 0
        self._record_kept_bytes()
        self._jobs.clear()

    async def _serve(self, group: TaskGroup) -> bool:
        """Serves all requests; returns false if the client disconnected during that time."""
        error = None
        try:
            with self.read_scope:
                error = await self._read(group)
        except CLIENT_GONE_ERRORS:
            return False
        error = self._input_error or error
        if error is not None:
            slot = _ResponseSlot(is_last=True)
            self.slots.append(slot)
            await self._submit_reply(slot, self.server.make_error_reply(error.status, error.detail))
        with suppress(*CLIENT_GONE_ERRORS):
            while self.slots:  # the client may disconnect while the last request is in flight
                await self.stream.receive()
        return True

    # -- reading

    async def _read(self, group: TaskGroup) -> InvalidMessage | None:
        """Reads and starts requests up to the last one; returns why a message is invalid."""
        group.start_soon(self._answer_jobs)
        while not self.has_last_request:
            invalid = await self._read_once(group)
            if invalid is not None:
                self.has_last_request = True
                return invalid
        return None

    async def _read_once(self, group: TaskGroup) -> InvalidMessage | None:
        """Reads once and starts the requests that are complete then.

        What was read is released as this returns, and not held while the connection is idle.
        """
        reader = self.reader
        was_in_message = reader.in_message
        received = await self._receive()
        if not was_in_message:
            self.last_read_ns = received.read_ns
        messages, invalid = self._parse(received.data)
        self.has_sent_request = self.has_sent_request or bool(messages)
        self._requests_without_slot = len(messages)
        for message in messages:
            await self._start_request(group, message, received.arrived_ns)
            if self.has_last_request:
                # a client sends nothing after a request that closes the connection
                self._requests_without_slot = 0
                return None
        if invalid is None and reader.expects_continue and not self.slots:
            reader.expects_continue = False
            await send_all(self.stream, encode_interim_response(CONTINUE))
        self._record_kept_bytes()
        return invalid

    async def _start_request(self, group: TaskGroup, message: Message, arrived_ns: int) -> None:
        """Starts one request once it has a slot."""
        message.peer = self
        # one read can hold far more small requests than may be in flight
        may_start = await self._wait_for_slot()
        self._requests_without_slot -= 1
        self.has_last_request = self.has_last_request or not message.keep_alive
        slot = _ResponseSlot(self.has_last_request)
        self.slots.append(slot)
        if not may_start:
            await self._submit_reply(slot, self.server.make_overrun_reply())
            return
        self._jobs.append((message, arrived_ns, slot))
        if self._is_answerer_idle:
            self._is_answerer_idle = False
            self._has_job.set()
        else:
            group.start_soon(self._answer_next)

    def _parse(self, data: bytes) -> tuple[list[Message], InvalidMessage | None]:
        """The messages that these bytes complete, and why the one after them is invalid."""
        try:
            return self.reader.feed(data), None
        except InvalidMessageError as error:
            return self.reader.completed, error.reason

    async def _receive(self) -> _Received:
        """The next bytes, starting with those that were read ahead."""
        if not self._read_ahead:
            return await self._receive_unread()
        received = self._read_ahead.popleft()
        self._read_ahead_bytes -= len(received.data)
        return received

    async def _receive_unread(self) -> _Received:
        data = await self.stream.receive(READ_BYTES)
        now_ns = monotonic_ns()
        arrived_ns = self.server.earliest_arrival_ns(now_ns)
        if self._unread_since_ns:
            arrived_ns = min(arrived_ns, self._unread_since_ns)
            if len(data) < READ_BYTES and not readable(self._socket):
                self._unread_since_ns = 0
        return _Received(data, now_ns, arrived_ns)

    async def _wait_for_slot(self) -> bool:
        """Waits until another request may start; returns false if it has to be rejected instead.

        Meanwhile it reads ahead and polls the kernel, to notice that the client disconnects. Raises
        EndOfStream then, or another error of the stream.
        """
        while len(self.slots) >= self.limits.max_pipelined:
            may_reject = len(self.slots) < self.limits.max_pipelined + WAITING_RESPONSES
            is_far_ahead = self._read_ahead_bytes >= READ_AHEAD_BYTES
            if may_reject and (is_far_ahead or self.server.input_memory.is_full):
                return False
            with anyio.move_on_after(HANGUP_CHECK_SECONDS) as self._slot_wait:
                if self._read_ahead_bytes >= READ_AHEAD_BYTES:
                    self._unread_since_ns = self._unread_since_ns or self._read_ahead[-1].read_ns
                    await anyio.sleep_forever()
                received = await self._receive_unread()
                self._read_ahead.append(received)
                self._read_ahead_bytes += len(received.data)
                self._record_kept_bytes()
            if self.has_left():
                raise anyio.EndOfStream
        return True

    # -- answering

    async def _answer_jobs(self) -> None:
        """Answers one request after the other, so that most connections need no further task."""
        while True:
            self._is_answerer_idle = True
            await self._has_job.wait()
            self._has_job = anyio.Event()
            await self._answer_next()

    async def _answer_next(self) -> None:
        """Answers the request that was started first.

        A task group of anyio leaves the exception of a cancelled task in a reference cycle. Without
        a traceback the exception does not refer to the frames that hold the request.
        """
        try:
            await self._answer(*self._jobs.popleft())
        except anyio.get_cancelled_exc_class() as error:
            raise error.with_traceback(None) from None

    async def _answer(self, message: Message, arrived_ns: int, slot: _ResponseSlot) -> None:
        try:
            reply = await self.server.handler(message, arrived_ns)
        except Exception as error:
            reply = self.server.handle_fault(error)
        await self._submit_reply(slot, reply)

    async def _submit_reply(self, slot: _ResponseSlot, reply: Reply) -> None:
        """Fills a slot, and writes all responses that are next unless another task is doing so."""
        slot.reply = reply
        if self.write_started_ns:
            return
        self.write_started_ns = monotonic_ns()
        try:
            while self.slots and (first := self.slots[0]).reply is not None:
                self.is_closing = self.is_closing or first.is_last or first.reply.close
                is_last = self._closes_after_first()
                try:
                    await self.write(first.reply, is_last)
                except CLIENT_GONE_ERRORS:
                    self.scope.cancel()
                    return
                except Exception as error:  # the body failed; the client sees that it is incomplete
                    self.server.handle_fault(error)
                    self.scope.cancel()
                    return
                self.slots.popleft()
                self._slot_wait.cancel()
                if is_last and not self.slots:
                    self.has_last_request = True
                    await self._linger()
                    self.scope.cancel()
                    return
        finally:
            self.write_started_ns = 0
            self.last_read_ns = monotonic_ns()

    def _closes_after_first(self) -> bool:
        """Whether the connection closes after the first response in `slots`.

        It does not while further requests are in flight or unread: a client that reads
        `Connection: close` expects no further response.
        """
        if len(self.slots) > 1:
            return False
        if self.slots[0].is_last:
            return True
        return (self.is_closing or self.server.is_draining) and self._has_no_unread_input()

    async def write(self, reply: Reply, is_last: bool) -> None:
        """Writes one response; the last one announces that the connection closes."""
        if isinstance(reply.body, bytes):
            await send_all(self.stream, self._encode(reply, reply.body, is_last))
            return
        await send_all(self.stream, response(reply.status, reply.headers, None))
        async with aclosing(reply.body) as parts:  # closed even if the client has disconnected
            async for part in parts:
                self.write_started_ns = monotonic_ns()
                await send_all(self.stream, encode_chunk(part))
                self.write_started_ns = NEVER_NS  # no time-out between two parts
        await send_all(self.stream, LAST_CHUNK)

    def _encode(self, reply: Reply, body: bytes, is_last: bool) -> bytes:
        close: Headers = [(b"connection", b"close")] if is_last else []
        try:
            return response(reply.status, [*reply.headers, *close], body)
        except Exception as error:  # the headers cannot be encoded
            fault = self.server.handle_fault(error)
            return response(INTERNAL_SERVER_ERROR, [*fault.headers, *close], b"")

    async def _linger(self) -> None:
        """Reads on for a while: on a close with unread bytes the kernel drops the response."""
        errors = (*CLIENT_GONE_ERRORS, anyio.BusyResourceError)
        with anyio.move_on_after(LINGER_SECONDS), suppress(*errors):
            await self.stream.send_eof()
            left_bytes = LINGER_BYTES
            while left_bytes > 0:
                left_bytes -= len(await self.stream.receive())

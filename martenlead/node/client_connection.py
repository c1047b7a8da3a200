"""One connection of a client: bytes to messages, responses to bytes, and its limits.

A client that does not keep the form of the protocol gets an error, or the end of its connection.
That costs other clients nothing.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any, Protocol

from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import PendingRequest
from martenlead.node import sockets
from martenlead.node.client_protocol import (
    INVALID_REQUEST,
    FramingError,
    MessageDecoder,
    encode_error,
)
from martenlead.node.graceful_close import LAST_READS_NS, NS_PER_MS, GracefulClose
from martenlead.node.sockets import readable
from martenlead.system.sender import Sender

WRITE_BUFFER_BYTES = 262_144  # that wait for a client; beyond them no request is accepted from it
FULL_READ_BYTES = 65_536  # a read of so many may have left some that came at the same time
FIRST_REQUEST_GRACE_NS = 100 * NS_PER_MS  # for a connection that is over the limit
LINGER_SECONDS = 0.04  # from our end to the close, which resets where bytes lie unread
REQUEST_TRANSIT_NS = 50 * NS_PER_MS  # a request may be on its way for so long
FIRST_MESSAGE_TIMEOUT_NS = 2_000 * NS_PER_MS  # also for the rest of a message that has begun
IDLE_TIMEOUT_NS = 5_000 * NS_PER_MS  # clients close after 4 s themselves
STALLED_CLIENT_TIMEOUT_NS = 2_500 * NS_PER_MS  # nothing leaves for so long: the client is gone
READ_BYTES = 262_144  # of one read between two turns of the loop
READS_PER_TURN = 4


class MessageHandler(Protocol):
    """What is done with the messages of clients."""

    def handle_messages(
        self, connection: ClientConnection, messages: list[bytes], arrived_ns: int
    ) -> None:
        """Handles the messages of one read."""

    def abandon_request(self, request: PendingRequest) -> None:
        """Ends a request whose client waits for it no more."""


class ConnectionOwner(Protocol):
    """What a connection needs of the listener that has accepted it."""

    dispatcher: Dispatcher
    closing: dict[ClientConnection, int]
    on_connection_closed: Callable[[], None]

    @property
    def requests(self) -> MessageHandler:
        """Handles what the connection reads."""

    def add_connection(self, connection: ClientConnection) -> None:
        """Counts a connection that is established."""

    def remove_connection(self, connection: ClientConnection) -> None:
        """Forgets a connection, and ends its requests."""


class ClientConnection(asyncio.Protocol):
    """One connection. Something has waited for `unread_ns` to be read from it."""

    def __init__(self, listener: ConnectionOwner, unread_ns: int = 0) -> None:
        self.listener = listener
        self.transport: Any = None  # of either event loop
        self.sender: Sender
        self.decoder = MessageDecoder()
        self.open_requests: dict[int, PendingRequest] = {}
        self.counted_until_ns: list[int] = []  # of ended requests that count as open until then
        self.last_number = 0
        self.error_count = 0
        self.has_sent_message = False  # one that was accepted
        self.last_read_ns = 0  # of a complete message
        self.partial_since_ns = 0  # a message has begun, and is not complete
        self.write_blocked_since_ns = 0  # the client does not read
        # the earliest arrival of bytes that may be unread: of a full read's rest, or of the backlog
        self.unread_since_ns = listener.dispatcher.clock() - unread_ns if unread_ns else 0
        self.graceful_close: GracefulClose | None = None
        self.is_reading = False  # messages of one read are being handled
        self.answered_in_read: set[int] = set()  # numbers that have their responses meanwhile
        self.is_unreadable = False  # where a message begins is not known any more
        self.is_closed = False

    # -- called by the event loop

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401 - of either event loop
        """Joins the listener's connections."""
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        give_up_seconds = STALLED_CLIENT_TIMEOUT_NS / 1e9
        self.sender = Sender(
            transport, WRITE_BUFFER_BYTES, give_up_seconds, self.pause_writing, self.resume_writing
        )
        self.last_read_ns = self.listener.dispatcher.clock()
        self.listener.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Handles the messages that are complete."""
        if self.is_closed:
            return
        self.is_reading = True
        try:
            self._process(data, self.listener.dispatcher.clock())
        except Exception as error:  # ours: it costs this connection
            self.listener.dispatcher.record_fault(error)
            self.is_unreadable = True
            self.begin_graceful_close()
        finally:
            self.is_reading = False
            self.answered_in_read.clear()
        if self.graceful_close is not None:
            self.graceful_close.close_if_finished()

    def _process(self, data: bytes, now_ns: int) -> None:
        if self.is_unreadable:
            return
        framing_error: FramingError | None = None
        try:
            messages = self.decoder.feed(data)
        except FramingError as error:
            messages, framing_error = error.complete_messages, error
        arrived_ns = self._earliest_arrival_ns(now_ns, len(data))
        self.listener.requests.handle_messages(self, messages, arrived_ns)
        if messages:
            self.last_read_ns = now_ns
        if not self.decoder.has_partial_message:
            self.partial_since_ns = 0
        elif messages or not self.partial_since_ns:
            self.partial_since_ns = now_ns
        if framing_error is not None:
            self.write(encode_error(None, INVALID_REQUEST, framing_error.detail))
            self.is_unreadable = True
            self.begin_graceful_close()

    def _earliest_arrival_ns(self, now_ns: int, size_bytes: int) -> int:
        """Returns the earliest time at which what is read now may have arrived."""
        arrival_ns = self.listener.dispatcher.event_loop_lag.earliest_arrival(now_ns)
        if self.unread_since_ns:
            arrival_ns = min(arrival_ns, self.unread_since_ns)
        self.unread_since_ns = arrival_ns if size_bytes >= FULL_READ_BYTES else 0
        return arrival_ns

    def eof_received(self) -> None:
        """Takes a closed or half-closed client for gone, before all that was written has left."""
        self.close()

    def connection_lost(self, _error: Exception | None) -> None:
        """Leaves the listener's connections."""
        self.is_closed = True
        self.listener.remove_connection(self)
        self.listener.closing.pop(self, None)
        self.listener.on_connection_closed()

    def pause_writing(self) -> None:
        """Goes on reading, since a cancel or the client's end may come; not while it is closing."""
        self.write_blocked_since_ns = self.listener.dispatcher.clock()
        if self.graceful_close is not None and not self.is_closed:
            self._pause_reading()

    def resume_writing(self) -> None:
        """The client reads again."""
        self.write_blocked_since_ns = 0
        if self.graceful_close is not None and not self.is_closed:
            self.transport.resume_reading()

    # -- asked before an attempt of one of its requests leaves

    def peek_input(self) -> UnreadInput:
        """Returns what lies unread."""
        return UnreadInput.END if self.is_closed else sockets.peek_input(self.transport)

    def read_unread_input(self) -> bool:
        """Reads before the event loop does, up to a bound; returns whether nothing is left unread.

        What a client that does not read sends beyond the bound stays unread: there is no room for
        the responses.
        """
        try:
            self._read_socket()
        except BlockingIOError:
            return True  # the machine's own word, also where a look at the socket fails
        except InterruptedError:
            pass
        except OSError:
            self.close()
        unread = self.peek_input()
        if unread is UnreadInput.END:
            self.close()
        return unread is not UnreadInput.BYTES

    def _read_socket(self) -> None:
        for _ in range(READS_PER_TURN):
            if self.write_blocked_since_ns and self.graceful_close is not None:
                return
            if self.peek_input() is not UnreadInput.BYTES:
                return
            data = os.read(sockets.descriptor(self.transport), READ_BYTES)
            if not data:
                self.close()
                return
            self.data_received(data)

    def handle_disconnect(self, request: PendingRequest) -> None:
        """Closes the connection of a client that has left, and ends this request of it."""
        self.close()
        self.listener.requests.abandon_request(request)  # it may not be among the open ones yet

    # -- responses

    def write(self, data: bytes) -> None:
        """Writes, unless the connection is closed."""
        if not self.is_closed and not self.transport.is_closing():
            self.sender.write(data)

    def respond(self, number: int, data: bytes) -> None:
        """Writes the one response to the request of this number."""
        if self.is_reading:
            self.answered_in_read.add(number)
        self.write(data)

    # -- its end

    def close(self) -> None:
        """Closes once what was written has left; its open requests have no client any more."""
        if not self.is_closed:
            self._mark_closed()
            self.sender.after_writes(self.transport.close)

    def _mark_closed(self) -> None:
        self.is_closed = True
        self.listener.closing[self] = self.listener.dispatcher.clock()
        self.listener.remove_connection(self)

    def begin_graceful_close(self, is_over_limit: bool = False) -> None:
        """Accepts no new request, and closes once all that was read has its response.

        The first request on a connection that is over the limit may be on its way.
        """
        if self.graceful_close is not None or self.is_closed:
            return
        close_after_ns = 0
        if is_over_limit:
            close_after_ns = self.listener.dispatcher.clock() + FIRST_REQUEST_GRACE_NS
        self.graceful_close = GracefulClose(self, close_after_ns)
        if self.write_blocked_since_ns:
            self._pause_reading()
        if is_over_limit:
            asyncio.get_running_loop().call_later(
                FIRST_REQUEST_GRACE_NS / 1e9, self.graceful_close.close_if_finished
            )

    def start_lingering_close(self) -> None:
        """Ends the writing side, and closes once the client has had time to read."""
        if self.is_closed:
            return
        self._mark_closed()
        self.sender.after_writes(self._end_writing)

    def _end_writing(self) -> None:
        if self.transport.is_closing():
            return
        try:
            self._pause_reading()
            self.transport.write_eof()
        except OSError:  # it was reset
            self.transport.abort()
            return
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self.transport.close)

    def _pause_reading(self) -> None:
        if self.transport.is_reading():
            self.transport.pause_reading()

    # -- its state

    def is_between_requests(self, now_ns: int) -> bool:
        """Whether nothing is open, on its way or unread, and nothing was read just before."""
        if self.open_requests or self.write_blocked_since_ns:
            return False
        if now_ns - self.last_read_ns <= REQUEST_TRANSIT_NS:
            return False
        if self.partial_since_ns and now_ns - self.partial_since_ns <= LAST_READS_NS:
            return False
        return not readable(self.transport)

    def is_idle(self, now_ns: int) -> bool:
        """Whether it has done nothing for longer than it may."""
        if self.open_requests or self.graceful_close is not None:
            return False
        if self.write_blocked_since_ns:
            return now_ns - self.write_blocked_since_ns > STALLED_CLIENT_TIMEOUT_NS
        if self.partial_since_ns:
            return now_ns - self.partial_since_ns > FIRST_MESSAGE_TIMEOUT_NS
        timeout_ns = IDLE_TIMEOUT_NS if self.has_sent_message else FIRST_MESSAGE_TIMEOUT_NS
        if now_ns - self.last_read_ns <= timeout_ns:
            return False
        return not readable(self.transport)  # a request that has just come is read in this turn

    def count_open_requests(self, now_ns: int) -> int:
        """Counts requests that are open to the client, or cost the workers as much."""
        self.counted_until_ns = [until for until in self.counted_until_ns if until > now_ns]
        return len(self.open_requests) + len(self.counted_until_ns)

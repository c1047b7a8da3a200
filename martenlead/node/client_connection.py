"""One client connection: decodes messages, writes responses and enforces limits.

A client that violates the protocol gets an error response, or its connection is closed. Other
clients are not affected.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol

from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import PendingRequest
from martenlead.node import sockets
from martenlead.node.client_protocol import (
    INVALID_REQUEST,
    REQUEST_REJECTED,
    encode_error,
)
from martenlead.node.graceful_close import LAST_READS_NS, NS_PER_MS, GracefulClose
from martenlead.node.input_scheduler import InputScheduler
from martenlead.node.received_messages import ReceivedMessages
from martenlead.node.sockets import readable
from martenlead.system.input_memory import InputMemory
from martenlead.system.sender import Sender

# Unsent response bytes above which no further request is accepted from the client
WRITE_BUFFER_BYTES = 262_144
# A read of at least this size may have left bytes unread that arrived at the same time
FULL_READ_BYTES = 65_536
# Time for a connection over the limit to deliver its first request
FIRST_REQUEST_GRACE_NS = 100 * NS_PER_MS
# Delay from the half-close to the close, which resets the connection if bytes are unread
LINGER_SECONDS = 0.04
# Longest time that a request is assumed to be in transit
REQUEST_TRANSIT_NS = 50 * NS_PER_MS
# Also applies to the rest of a message that was received in part
FIRST_MESSAGE_TIMEOUT_NS = 2_000 * NS_PER_MS
# Clients close idle connections themselves after 4 s
IDLE_TIMEOUT_NS = 5_000 * NS_PER_MS
# A client to which nothing could be sent for this long is considered gone
STALLED_CLIENT_TIMEOUT_NS = 2_500 * NS_PER_MS
# Size and number of the reads of one call of `read_unread_input`
READ_BYTES = 262_144
READS_PER_TURN = 4


class MessageHandler(Protocol):
    """Handles the messages of clients."""

    def handle_messages(
        self, connection: ClientConnection, messages: list[bytes], arrived_ns: int, read_ns: int
    ) -> None:
        """Handles messages of one read."""

    def abandon_request(self, request: PendingRequest) -> None:
        """Ends a request whose client no longer waits for the response."""


class ConnectionOwner(Protocol):
    """The part of the accepting listener that a connection uses."""

    dispatcher: Dispatcher
    input_scheduler: InputScheduler
    input_memory: InputMemory
    closing: dict[ClientConnection, int]
    on_connection_closed: Callable[[], None]

    @property
    def requests(self) -> MessageHandler:
        """The handler of the messages that the connection receives."""

    def add_connection(self, connection: ClientConnection) -> None:
        """Registers an established connection."""

    def remove_connection(self, connection: ClientConnection) -> None:
        """Unregisters a connection, and ends its requests."""


class ClientConnection(asyncio.Protocol):
    """One client connection, whose first bytes have been waiting unread for `unread_ns`."""

    def __init__(self, listener: ConnectionOwner, unread_ns: int = 0) -> None:
        self.listener = listener
        self.transport: Any = None  # asyncio's or uvloop's
        self.sender: Sender
        # Of the last read; nothing is read while messages of it wait.
        self.received = ReceivedMessages()
        self._read_ns = self._arrived_ns = 0  # when that was, and when they may have arrived
        self._recorded_bytes = 0  # of what is kept of it, in the listener's account
        self.open_requests: dict[int, PendingRequest] = {}
        self.counted_until_ns: list[int] = []  # when ended requests stop counting as open
        self.last_number = 0
        self.error_count = 0
        self.has_sent_message = False  # set once a message was accepted
        self.last_read_ns = 0  # when a complete message was last read
        self.partial_since_ns = 0  # start of an incomplete message, or 0
        self.write_blocked_since_ns = 0  # start of a pause in the client's reading, or 0
        # Earliest arrival of bytes that may be unread: left by a full read, or in the backlog.
        self.unread_since_ns = listener.dispatcher.clock() - unread_ns if unread_ns else 0
        self.graceful_close: GracefulClose | None = None
        self.is_reading = False  # set while the messages of one read are being handled
        self.answered_in_read: set[int] = set()  # numbers answered while `is_reading`
        self.is_unreadable = False  # set once message boundaries are unknown
        self.is_closed = False

    # -- called by the event loop

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401 - asyncio's or uvloop's
        """Registers the connection with its listener."""
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        give_up_seconds = STALLED_CLIENT_TIMEOUT_NS / 1e9
        self.sender = Sender(transport, WRITE_BUFFER_BYTES, give_up_seconds)
        self.last_read_ns = self.listener.dispatcher.clock()
        self.listener.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Handles the messages that are now complete."""
        if self.is_closed:
            return
        with self._reading():
            self._process(data, self.listener.dispatcher.clock())

    @contextmanager
    def _reading(self) -> Iterator[None]:
        """Marks that messages are being handled; a fault of this program closes this connection."""
        self.is_reading = True
        try:
            yield
        except Exception as error:
            self.listener.dispatcher.record_fault(error)
            self._stop_decoding()
            self.begin_graceful_close()
        finally:
            self.is_reading = False
            self.answered_in_read.clear()
            self._record_kept_bytes()
        if self.graceful_close is not None:
            self.graceful_close.close_if_finished()

    def _process(self, data: bytes, now_ns: int) -> None:
        if self.is_unreadable:
            return
        has_waiting = bool(self.received)  # it is read before one of its attempts
        complete = self.received.feed(data)
        self._arrived_ns, self._read_ns = self._earliest_arrival_ns(now_ns, len(data)), now_ns
        if complete:
            self.last_read_ns = now_ns
        self._record_partial_message(now_ns, is_new=bool(complete))
        if has_waiting:
            return
        messages = self.received.take_at_once(now_ns)
        if self.received:  # what follows lies unread from now on
            self.unread_since_ns = self.unread_since_ns or now_ns
        self._handle_messages(messages)
        if self.received and not self.is_closed:
            self._update_reading()
            self.listener.input_scheduler.add(self)

    def _record_partial_message(self, now_ns: int, is_new: bool) -> None:
        """Records since when the rest of a message has been awaited."""
        if not self.received.has_partial_message:
            self.partial_since_ns = 0
        elif is_new or not self.partial_since_ns:
            self.partial_since_ns = now_ns

    def _handle_messages(self, messages: list[bytes]) -> None:
        """Handles messages of the last read; behind the last one, reports an invalid rest."""
        self.listener.requests.handle_messages(self, messages, self._arrived_ns, self._read_ns)
        if self.received.framing_error_text and not self.received:
            self.write(encode_error(None, INVALID_REQUEST, self.received.framing_error_text))
            self._stop_decoding()
            self.begin_graceful_close()

    # -- messages that wait for their turn

    @property
    def waiting_messages(self) -> int:
        """The number of decoded messages that wait to be handled; 0 if none does."""
        return len(self.received)

    @property
    def peer_address(self) -> str:
        """The client's address and port."""
        return ":".join(str(part) for part in self.transport.get_extra_info("peername") or ())

    def handle_next_messages(self) -> None:
        """Handles the messages of one turn, and reads on behind the last that waits."""
        if self.is_closed:
            return
        with self._reading():
            self._handle_messages(self.received.take_turn())
            now_ns = self.listener.dispatcher.clock()
            self._record_partial_message(now_ns, is_new=False)
        self._update_reading()

    def _stop_decoding(self) -> None:
        """Ignores all further input, as message boundaries are unknown."""
        self.is_unreadable = True
        self._discard_input()

    def _discard_input(self) -> None:
        self.received.discard()
        self._record_kept_bytes()

    # -- received bytes that are kept

    @property
    def refusable_bytes(self) -> int:
        """The bytes of messages that are incomplete or wait: it is refused with all of them."""
        return self.received.kept_bytes

    def _record_kept_bytes(self) -> None:
        difference_bytes = self.received.kept_bytes - self._recorded_bytes
        self._recorded_bytes += difference_bytes
        if difference_bytes:
            self.listener.input_memory.change(difference_bytes)

    def refuse_input(self) -> None:
        """Ignores what it keeps and what follows, as all connections together keep too much."""
        self.write(encode_error(None, REQUEST_REJECTED, "too much is being received"))
        self._stop_decoding()
        self.begin_graceful_close()
        if self.graceful_close is not None:
            self.graceful_close.close_if_finished()

    def _earliest_arrival_ns(self, now_ns: int, size_bytes: int) -> int:
        """Returns the earliest time at which the bytes just read may have arrived."""
        arrival_ns = self.listener.dispatcher.event_loop_lag.earliest_arrival(now_ns)
        if self.unread_since_ns:
            arrival_ns = min(arrival_ns, self.unread_since_ns)
        self.unread_since_ns = arrival_ns if size_bytes >= FULL_READ_BYTES else 0
        return arrival_ns

    def eof_received(self) -> None:
        """Treats a client that has closed or half-closed as gone, even with responses unsent."""
        self.close()

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregisters the connection from its listener."""
        self.is_closed = True
        self._discard_input()
        self.graceful_close = None  # it refers to this connection: a reference cycle
        self.listener.remove_connection(self)
        self.listener.closing.pop(self, None)
        self.listener.on_connection_closed()

    def pause_writing(self) -> None:
        """Keeps reading, as a cancel or an EOF may arrive, unless the connection is closing."""
        self.write_blocked_since_ns = self.listener.dispatcher.clock()
        self._update_reading()

    def resume_writing(self) -> None:
        """Clears the blocked state: the client reads again."""
        self.write_blocked_since_ns = 0
        self._update_reading()

    # -- called before an attempt of one of its requests is sent

    def peek_input(self) -> UnreadInput:
        """Returns what is pending on the connection, without reading or handling it."""
        unread = UnreadInput.END if self.is_closed else sockets.peek_input(self.transport)
        return UnreadInput.BYTES if unread is UnreadInput.NOTHING and self.received else unread

    def read_unread_input(self) -> bool:
        """Reads pending input ahead of the event loop, up to a limit; returns whether none is left.

        If the client does not read and the connection is closing, its input stays unread: there is
        no room for the responses. Messages that wait come first, and nothing is read behind them.
        """
        if self.received:
            self.handle_next_messages()
        try:
            self._read_socket()
        except BlockingIOError:
            return not self.received  # the kernel has no input, even if polling the socket failed
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
            if self.received or self.peek_input() is not UnreadInput.BYTES:
                return
            data = os.read(sockets.descriptor(self.transport), READ_BYTES)
            if not data:
                self.close()
                return
            self.data_received(data)

    def handle_disconnect(self, request: PendingRequest) -> None:
        """Closes the connection of a client that has left, and ends the given request."""
        self.close()
        self.listener.requests.abandon_request(request)  # may not be in `open_requests` yet

    # -- responses

    def write(self, data: bytes) -> None:
        """Writes data, unless the connection is closed or closing."""
        if not self.is_closed and not self.transport.is_closing():
            self.sender.write(data)

    def respond(self, number: int, data: bytes) -> None:
        """Writes the only response to the request of this number."""
        if self.is_reading:
            self.answered_in_read.add(number)
        self.write(data)

    # -- closing

    def close(self) -> None:
        """Closes once all written data is sent; ends the open requests, whose client is gone."""
        if not self.is_closed:
            self._mark_closed()
            self.sender.after_writes(self.transport.close)

    def _mark_closed(self) -> None:
        self.is_closed = True
        self._discard_input()
        self.listener.closing[self] = self.listener.dispatcher.clock()
        self.listener.remove_connection(self)

    def begin_graceful_close(self, is_over_limit: bool = False) -> None:
        """Rejects new requests, and closes once all requests that were read have responses.

        A connection over the limit is kept for a grace period, as its first request may be in
        transit.
        """
        if self.graceful_close is not None or self.is_closed:
            return
        close_after_ns = 0
        if is_over_limit:
            close_after_ns = self.listener.dispatcher.clock() + FIRST_REQUEST_GRACE_NS
        self.graceful_close = GracefulClose(self, close_after_ns, self.listener.dispatcher.clock)
        if self.write_blocked_since_ns:
            self._update_reading()
        if is_over_limit:
            asyncio.get_running_loop().call_later(
                FIRST_REQUEST_GRACE_NS / 1e9, self.graceful_close.close_if_finished
            )

    def start_lingering_close(self) -> None:
        """Half-closes the connection, and closes it once the client has had time to read."""
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
        except OSError:  # the connection was reset
            self.transport.abort()
            return
        asyncio.get_running_loop().call_later(LINGER_SECONDS, self.transport.close)

    def _update_reading(self) -> None:
        """Reads unless messages wait, or the client does not read and the connection is closing."""
        if self.is_closed or self.transport.is_closing():
            return
        is_blocked = self.graceful_close is not None and bool(self.write_blocked_since_ns)
        if self.received or is_blocked:
            self._pause_reading()
        elif not self.transport.is_reading():
            self.transport.resume_reading()

    def _pause_reading(self) -> None:
        if self.transport.is_reading():
            self.transport.pause_reading()

    # -- state

    def is_between_requests(self, now_ns: int) -> bool:
        """Whether no request is open, unread or possibly in transit."""
        if self.open_requests or self.write_blocked_since_ns:
            return False
        if now_ns - self.last_read_ns <= REQUEST_TRANSIT_NS:
            return False
        if self.partial_since_ns and now_ns - self.partial_since_ns <= LAST_READS_NS:
            return False
        return not self.received and not readable(self.transport)

    def is_idle(self, now_ns: int) -> bool:
        """Whether the connection has been idle for longer than its timeout."""
        if self.open_requests or self.graceful_close is not None or self.received:
            return False
        if self.write_blocked_since_ns:
            return now_ns - self.write_blocked_since_ns > STALLED_CLIENT_TIMEOUT_NS
        if self.partial_since_ns:
            return now_ns - self.partial_since_ns > FIRST_MESSAGE_TIMEOUT_NS
        timeout_ns = IDLE_TIMEOUT_NS if self.has_sent_message else FIRST_MESSAGE_TIMEOUT_NS
        if now_ns - self.last_read_ns <= timeout_ns:
            return False
        return not readable(self.transport)  # pending input is read in this loop iteration

    def count_open_requests(self, now_ns: int) -> int:
        """Returns the number of open requests, with ended ones that still count as open."""
        self.counted_until_ns = [until for until in self.counted_until_ns if until > now_ns]
        return len(self.open_requests) + len(self.counted_until_ns)

"""One connection to a worker, with several calls in flight.

Until a connection is established, no call that waits for it has run. Once a byte of its line was
sent, a call may have run, whatever happens later, unless the worker states otherwise. A call that
waited for its connection, or for kernel memory, is checked again before it is sent: its request may
have ended meanwhile, or its worker may be draining or gone.

A line states the time left when it is written, not when the decision to send it was made.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from martenlead.node.client_protocol import BODY_BYTES_LIMIT
from martenlead.node.config import ConnectionSettings
from martenlead.node.outstanding_call import OutstandingCall
from martenlead.node.sockets import readable
from martenlead.node.worker_protocol import (
    RESULT_BY_WORD,
    WARMTH_BY_NOTE,
    InvalidLineError,
    LineDecoder,
    WorkerResponse,
    encode_cancel,
    parse_response,
)
from martenlead.policy.types import Result, Warmth
from martenlead.system.sender import Sender
from martenlead.upstream.outcome import UpstreamOutcome

# Cancelled calls of a connection whose responses may still arrive; with more it takes no new call
CANCELLED_CALLS_LIMIT = 32
# Responses to calls that are unknown; with more, what the worker sends is no use any more
STRAY_RESPONSES_LIMIT = 64
# Stray responses that come with a valid one: a copy of it, and one under an unknown id
STRAYS_PER_RESPONSE = 2
# Delay before lines are retried that wait for their clients to be read, or for kernel memory
WRITE_RETRY_SECONDS = 0.001


class ConnectionOwner(Protocol):
    """The part of the worker client that a connection uses."""

    settings: ConnectionSettings
    clock: Callable[[], int]

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Unregisters a connection that has ended."""

    def count_invalid_response(self) -> None:
        """Counts a connection that received an invalid response."""


class OwningPool(Protocol):
    """The part of a connection's pool that the worker client uses."""

    host: str
    port: int
    connections: set[UpstreamConnection]
    connections_opened: int
    is_retired: bool


class UpstreamConnection(asyncio.Protocol):
    """One connection to a worker, which accepts calls even before it is established."""

    def __init__(self, owner: ConnectionOwner, pool: OwningPool) -> None:
        self.owner, self.pool = owner, pool
        self.transport: Any = None  # asyncio's or uvloop's; None until it is established
        self.sender: Sender
        self.outstanding_calls: dict[str, OutstandingCall] = {}
        self.cancelled_ids: set[str] = set()  # calls whose responses may still arrive
        self._stray_responses = 0  # beyond those that came with valid ones
        self.is_write_blocked = False  # the worker does not read what was written
        self.decoder = LineDecoder()
        self.last_received_ns = self.idle_since_ns = owner.clock()
        self.is_retired = False  # accepts no new call, and closes once it has none
        self.is_closed = False
        self._is_write_scheduled = False

    # -- called by the event loop

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401 - asyncio's or uvloop's
        """Writes the calls that waited for the connection."""
        # Clients are read first: a cancel may still remove a call from this connection.
        unread = [call for call in list(self.outstanding_calls.values()) if not call.read_client()]
        self.transport = transport
        if self.is_closed:
            transport.abort()  # closed in this loop iteration, and all waiting calls with it
            return
        # A written line goes to the kernel at once, or the connection counts as blocked. No line
        # is buffered here to be sent when the worker reads again: it may be draining by then.
        transport.set_write_buffer_limits(0)
        give_up_seconds = self.owner.settings.connect_timeout_ns / 1e9
        self.sender = Sender(transport, 0, give_up_seconds)
        self.last_received_ns = self.idle_since_ns = self.owner.clock()
        self._write_waiting(unread)

    def data_received(self, data: bytes) -> None:
        """Ends the calls whose responses are now complete."""
        self.last_received_ns = self.owner.clock()
        error_text = ""
        try:
            lines = self.decoder.feed(data)
        except InvalidLineError as error:
            lines, error_text = error.complete_lines, str(error)
        for line in lines:
            try:
                self._handle_response(parse_response(line, BODY_BYTES_LIMIT))
            except InvalidLineError as error:
                error_text = str(error)
                break
        if error_text:
            self.owner.count_invalid_response()
            self.close("what came cannot be read")

    def eof_received(self) -> None:
        """Closes at once: lines written until the loss is reported would be lost."""
        self.close("the connection ended")

    def connection_lost(self, _error: Exception | None) -> None:
        """Ends all outstanding calls."""
        self.close("the connection ended")

    def pause_writing(self) -> None:
        """Marks the connection as blocked: the kernel accepts no more data."""
        self.is_write_blocked = True

    def resume_writing(self) -> None:
        """Marks the connection as writable again."""
        self.is_write_blocked = False

    # -- calls

    def send(self, call: OutstandingCall) -> None:
        """Writes a call, or queues it until the connection is established."""
        call.connection = self
        self.outstanding_calls[call.call_id] = call
        if self.transport is not None:
            self._write(call, self.owner.clock())

    def _write(self, call: OutstandingCall, now_ns: int) -> None:
        """Writes a call; it stays queued if the kernel does not accept its line."""
        assert call.encode_line is not None
        if not self.sender.offer(call.encode_line(now_ns)):
            self._schedule_write()
            return
        call.written_ns = now_ns
        call.encode_line = None

    def _schedule_write(self) -> None:
        if not self._is_write_scheduled:
            self._is_write_scheduled = True
            asyncio.get_running_loop().call_later(WRITE_RETRY_SECONDS, self._retry_write)

    def _retry_write(self) -> None:
        """Retries the waiting lines.

        Their clients had more input than one loop iteration reads, or the kernel accepted no line.
        """
        self._is_write_scheduled = False
        if not self.is_closed:
            calls = list(self.outstanding_calls.values())
            self._write_waiting([call for call in calls if not call.read_client()])

    def _write_waiting(self, unread: list[OutstandingCall]) -> None:
        """Writes the waiting calls, except `unread`, whose clients have more input to be read."""
        if self.is_closed:
            return
        now_ns = self.owner.clock()
        refused: list[tuple[OutstandingCall, str]] = []
        is_waiting = False
        for call in list(self.outstanding_calls.values()):
            if call.encode_line is None:
                continue
            reason = call.reason_not_to_send(now_ns)
            if not reason and self.is_write_blocked:
                reason = "the runner does not read"
            if reason:
                del self.outstanding_calls[call.call_id]
                refused.append((call, reason))
            elif call in unread:
                is_waiting = True
            else:
                self._write(call, now_ns)
        if not self.outstanding_calls:
            self._note_idle()
        if is_waiting:
            self._schedule_write()
        # Outcomes are reported last: they may start the next attempt on this connection.
        for call, reason in refused:
            call.on_outcome(UpstreamOutcome(Result.NOT_SENT, reason=reason))

    def cancel(self, call: OutstandingCall) -> bool:
        """Cancels a call; returns whether it may have run.

        A connection that has received nothing since the call was written accepts no new call: its
        peer may be unreachable.
        """
        self.outstanding_calls.pop(call.call_id, None)
        may_have_run = call.encode_line is None
        if may_have_run:
            self.sender.write(encode_cancel(call.call_id))
            self.cancelled_ids.add(call.call_id)
            is_silent = self.last_received_ns <= call.written_ns
            if is_silent or len(self.cancelled_ids) > CANCELLED_CALLS_LIMIT:
                self.is_retired = True
        if not self.outstanding_calls:
            self._note_idle()
        return may_have_run

    def _note_idle(self) -> None:
        self.idle_since_ns = self.owner.clock()
        if self.is_retired and self.transport is not None:
            self.close()

    def _handle_response(self, response: WorkerResponse) -> None:
        """Ends the call of a response; raises InvalidLineError if it cannot be its response."""
        call = self.outstanding_calls.get(response.call_id)
        if call is None:
            self._handle_stray_response(response.call_id)
            return
        self._stray_responses = max(0, self._stray_responses - STRAYS_PER_RESPONSE)
        result = RESULT_BY_WORD.get(response.word, Result.ERROR)
        warmth = WARMTH_BY_NOTE.get(response.note, Warmth.UNKNOWN)
        body = response.body_base64 if result is Result.SUCCEEDED else None
        if result is Result.SUCCEEDED and body is None and call.is_attempt:
            raise InvalidLineError([], "attempt succeeded without a body")
        del self.outstanding_calls[response.call_id]
        if not self.outstanding_calls:
            self._note_idle()
        call.on_outcome(
            UpstreamOutcome(
                result, warmth, response=body, reason=response.word, replicas=response.replicas
            )
        )

    def _handle_stray_response(self, call_id: str) -> None:
        """Ignores the response to a call that was cancelled, or is unknown, up to a limit."""
        if call_id in self.cancelled_ids:
            self.cancelled_ids.discard(call_id)
            return
        self._stray_responses += 1
        if self._stray_responses > STRAY_RESPONSES_LIMIT:
            raise InvalidLineError([], "too many responses to unknown calls")

    # -- state

    def is_overdue(self, now_ns: int) -> bool:
        """Whether its oldest call is overdue, and nothing was received since that was written."""
        oldest = next(iter(self.outstanding_calls.values()), None)
        if oldest is None or now_ns <= oldest.overdue_ns:
            return False
        return self.last_received_ns <= oldest.written_ns

    def is_transport_closing(self) -> bool:
        """Whether the event loop has closed it without reporting that: no line would be sent."""
        return self.transport is not None and bool(self.transport.is_closing())

    def has_ended(self) -> bool:
        """Whether an idle connection has ended.

        Anything that can be read from it is an EOF, or bytes that belong to no call.
        """
        return self.is_transport_closing() or readable(self.transport)

    def close(self, reason: str = "", unwritten_result: Result = Result.UNREACHABLE) -> None:
        """Closes the connection, at once if there is a `reason`, and ends its calls.

        Calls that were not written end with `unwritten_result`. Closing it again has no effect.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self.decoder.discard()
        self.owner.remove_connection(self)
        calls = list(self.outstanding_calls.values())
        self.outstanding_calls.clear()
        if self.transport is not None:
            if reason:
                self.transport.abort()
            else:
                self.sender.after_writes(self.transport.close)
        for call in calls:
            result = Result.CONNECTION_LOST if call.encode_line is None else unwritten_result
            call.on_outcome(UpstreamOutcome(result, reason=reason))

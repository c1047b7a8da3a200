"""One connection to a worker, with several calls in flight.

As long as a connection is not established, nothing that waits for it has run. Once a byte of a line
has left, the call may have run, whatever follows, until the worker says otherwise. A call that
waited for its connection, or for memory that the machine lacked, is checked once more before it
leaves: meanwhile its request may have ended, or its worker may be draining or gone.

The time left that a line states is that of its writing, not that of the decision to send it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

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

if TYPE_CHECKING:
    from martenlead.node.connection_pool import ConnectionPool

CANCELLED_CALLS_LIMIT = 32  # of one connection, whose responses may still come
WRITE_RETRY_SECONDS = 0.001  # for lines that wait for their clients to be read, or for the machine


class ConnectionOwner(Protocol):
    """What a connection needs of the worker client."""

    settings: ConnectionSettings
    clock: Callable[[], int]

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Forgets a connection that has ended."""

    def count_invalid_response(self) -> None:
        """Counts a connection that brought what cannot be read."""


class UpstreamConnection(asyncio.Protocol):
    """One connection, from the request to establish it on."""

    def __init__(self, owner: ConnectionOwner, pool: ConnectionPool) -> None:
        self.owner, self.pool = owner, pool
        self.transport: Any = None  # of either event loop; None until it is established
        self.sender: Sender
        self.outstanding_calls: dict[str, OutstandingCall] = {}
        self.cancelled_ids: set[str] = set()  # their responses may still come
        self.is_write_blocked = False  # the worker does not read what was written
        self.decoder = LineDecoder()
        self.last_received_ns = self.idle_since_ns = owner.clock()
        self.is_retired = False  # takes no new call, and closes once it has none
        self.is_closed = False
        self._is_write_scheduled = False

    # -- called by the event loop

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401 - of either event loop
        """Writes the calls that have waited for it."""
        # first: a client's cancel may still take a call from this connection
        unread = [call for call in list(self.outstanding_calls.values()) if not call.read_client()]
        self.transport = transport
        if self.is_closed:
            transport.abort()  # in this turn of the loop; all that waited has ended as not sent
            return
        # A line goes to the machine as it is written, or the connection counts as blocked. None
        # lies here and leaves when the worker reads again, which may be draining by then.
        transport.set_write_buffer_limits(0)
        give_up_seconds = self.owner.settings.connect_timeout_ns / 1e9
        self.sender = Sender(transport, 0, give_up_seconds, self.pause_writing, self.resume_writing)
        self.last_received_ns = self.idle_since_ns = self.owner.clock()
        self._write_waiting(unread)

    def data_received(self, data: bytes) -> None:
        """Ends the calls whose responses are complete."""
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
        """Closes at once: what is written before the loss is reported would be lost."""
        self.close("the connection ended")

    def connection_lost(self, _error: Exception | None) -> None:
        """Ends all calls."""
        self.close("the connection ended")

    def pause_writing(self) -> None:
        """The machine takes no more."""
        self.is_write_blocked = True

    def resume_writing(self) -> None:
        """The machine takes lines again."""
        self.is_write_blocked = False

    # -- calls

    def send(self, call: OutstandingCall) -> None:
        """Writes a call, or keeps it until the connection is established."""
        call.connection = self
        self.outstanding_calls[call.call_id] = call
        if self.transport is not None:
            self._write(call, self.owner.clock())

    def _write(self, call: OutstandingCall, now_ns: int) -> None:
        """A line that the machine does not take waits, as before the connection was established."""
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
        """Tries the waiting lines again.

        Their clients had more to be read than one turn of the loop reads, or the machine took no
        line.
        """
        self._is_write_scheduled = False
        if not self.is_closed:
            calls = list(self.outstanding_calls.values())
            self._write_waiting([call for call in calls if not call.read_client()])

    def _write_waiting(self, unread: list[OutstandingCall]) -> None:
        """Writes the calls that wait, but for `unread`, whose clients have more to be read."""
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
        for (
            call,
            reason,
        ) in refused:  # last: an outcome may bring the next attempt on this connection
            call.on_outcome(UpstreamOutcome(Result.NOT_SENT, reason=reason))

    def cancel(self, call: OutstandingCall) -> bool:
        """Gives a call up; returns whether it may have run.

        A connection that has received nothing since the call was written takes no new call: the
        machine behind it may have vanished.
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
        call = self.outstanding_calls.pop(response.call_id, None)
        if call is None:  # it was cancelled, or never sent
            self.cancelled_ids.discard(response.call_id)
            return
        result = RESULT_BY_WORD.get(response.word, Result.ERROR)
        warmth = WARMTH_BY_NOTE.get(response.note, Warmth.UNKNOWN)
        body = response.body_base64 if result is Result.SUCCEEDED else None
        if not self.outstanding_calls:
            self._note_idle()
        call.on_outcome(
            UpstreamOutcome(
                result, warmth, response=body, reason=response.word, replicas=response.replicas
            )
        )

    # -- its state

    def is_overdue(self, now_ns: int) -> bool:
        """Whether it is silent, and its oldest call should have ended."""
        oldest = next(iter(self.outstanding_calls.values()), None)
        if oldest is None or now_ns <= oldest.overdue_ns:
            return False
        return self.last_received_ns <= oldest.written_ns

    def is_transport_closing(self) -> bool:
        """Whether the event loop has closed it and not reported that yet: no line would leave."""
        return self.transport is not None and bool(self.transport.is_closing())

    def has_ended(self) -> bool:
        """Whether an idle connection has ended.

        Anything that can be read from it is its end, or bytes that answer nothing.
        """
        return self.is_transport_closing() or readable(self.transport)

    def close(self, reason: str = "", unwritten_result: Result = Result.UNREACHABLE) -> None:
        """Closes it, at once if there is a `reason`, and ends its calls.

        Calls of which nothing has left end with `unwritten_result`. Only the first call counts.
        """
        if self.is_closed:
            return
        self.is_closed = True
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

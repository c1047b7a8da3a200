"""The door for JSON-RPC clients: a message in, one final answer out. No decisions.

What a client gets that keeps no form is an error, or the end of its connection; it costs the others nothing.

A connection that we end owes an answer to each request that was read from it. So it finishes first
(`Client.finish`): what comes is refused, what is open is answered, and it ends with nothing open and nothing
unread. Only a client that has left, by an end or a reset, is owed nothing.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any

import anyio

from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import FinalOutcome, IncomingRequest, PendingRequest
from martenlead.node import client_protocol as rpc
from martenlead.node import sockets
from martenlead.node.client_protocol import Call, InvalidCallError
from martenlead.node.sockets import readable
from martenlead.system.sender import Sender

REQUESTS_PER_CONNECTION = 32  # tasks of one connection, by the protocol
ERRORS_PER_CONNECTION = 16  # of one connection, then it ends
WRITE_BUFFER_BYTES = 262_144  # bytes that wait for a client; beyond, no task is taken from it
NS_PER_MS = 1_000_000
FULL_READ_BYTES = 65_536  # bytes; behind a read of so many there may be more that came at the same time
FIRST_REQUEST_GRACE_NS = 100 * NS_PER_MS  # for the first request on a connection that there is no place for
LAST_READS_NS = 500 * NS_PER_MS  # for what lies unread once nothing is open on a connection that finishes
LINGER_SECONDS = 0.04  # s between our end and the close; one with bytes unread resets, which may drop answers
REQUEST_TRANSIT_NS = (
    50 * NS_PER_MS
)  # after its last message a client may have sent another that has not come yet
RESPONSE_TRANSIT_NS = (
    5 * NS_PER_MS
)  # until an answer has reached a client: to whoever wrote before, its task was still open
FIRST_MESSAGE_TIMEOUT_NS = (
    2_000 * NS_PER_MS
)  # for the first whole message, and for the rest of one that has begun
IDLE_TIMEOUT_NS = 5_000 * NS_PER_MS  # clients close after 4 s themselves
STALLED_CLIENT_TIMEOUT_NS = (
    2_500 * NS_PER_MS
)  # a client that reads nothing, or that the machine sends nothing to, for so long has left
SWEEP_INTERVAL_NS = 250 * NS_PER_MS
READ_BYTES, READS_PER_TURN = (
    262_144,
    4,
)  # bytes of one read between two turns of the loop, and how many follow each other
FINAL_READS = 16  # of so many reads, for a client that never pauses as the node ends


class ClientConnection(asyncio.Protocol):
    """One connection."""

    def __init__(self, door: RpcListener, unread_ns: int = 0) -> None:
        """For `unread_ns` something has waited on it to be read."""
        self.listener = door
        self.transport: Any = None
        self.sender: Sender
        self.decoder = rpc.MessageDecoder()
        self.open_requests: dict[int, PendingRequest] = {}
        self.counted_until_ns: list[int] = []  # until when each task counts as open that is so no more here
        self.last_number = 0  # number
        self.error_count = 0
        self.has_sent_message = False  # a message that was taken
        self.last_read_ns = self.partial_since_ns = self.write_blocked_since_ns = (
            0  # when: last message, the partial one, reading stopped
        )
        # the earliest arrival of bytes that may still be unread: of a full read's rest, or of the backlog
        self.unread_since_ns = door.dispatcher.clock() - unread_ns if unread_ns else 0
        self.finishing_since_ns = self.all_answered_ns = (
            0  # since when: it is to end; then nothing was open any more
        )
        self.close_after_ns = 0  # and not before
        self.is_reading = False  # messages of one read are being processed
        self.answered_in_read: set[int] = set()  # numbers answered meanwhile
        self.is_unreadable = False  # where a message begins is not known any more
        self.is_closed = False

    # -- the event loop's side

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self.sender = Sender(
            transport,
            WRITE_BUFFER_BYTES,
            STALLED_CLIENT_TIMEOUT_NS / 1e9,
            self.pause_writing,
            self.resume_writing,
        )
        self.last_read_ns = self.listener.dispatcher.clock()
        self.listener.add_connection(self)

    def data_received(self, data: bytes) -> None:
        if self.is_closed:
            return
        self.is_reading = True
        try:
            self._read(data, self.listener.dispatcher.clock())
        except Exception as error:
            self.listener.dispatcher.record_fault(error)
            self.is_unreadable = True
            self.begin_graceful_close()
        finally:
            self.is_reading = False
            self.answered_in_read.clear()
        self.close_if_finished()

    def _read(self, data: bytes, now: int) -> None:
        if self.is_unreadable:
            return
        bad: rpc.FramingError | None = None
        try:
            messages = self.decoder.feed(data)
        except rpc.FramingError as error:
            messages, bad = error.complete_messages, error
        self.listener.handle_messages(self, messages, self._arrival(now, len(data)))
        if messages:
            self.last_read_ns = now
        if not self.decoder.has_partial_message:
            self.partial_since_ns = 0
        elif messages or not self.partial_since_ns:
            self.partial_since_ns = now
        if bad is not None:
            self.write(rpc.error(None, rpc.INVALID_REQUEST, bad.detail))
            self.is_unreadable = True
            self.begin_graceful_close()

    def _arrival(self, now: int, size: int) -> int:
        """The earliest moment at which what is read now may have arrived."""
        arrival = self.listener.dispatcher.event_loop_lag.earliest_arrival(now)
        if self.unread_since_ns:
            arrival = min(arrival, self.unread_since_ns)
        self.unread_since_ns = arrival if size >= FULL_READ_BYTES else 0
        return arrival

    def eof_received(self) -> None:
        """Whoever closes, or half of it, has left: now, and not once all that was written has gone out."""
        self.close()

    def connection_lost(self, _error: Exception | None) -> None:
        self.is_closed = True
        self.listener.remove_connection(self)
        self.listener.closing.pop(self, None)
        self.listener.on_connection_closed()

    def pause_writing(self) -> None:
        """It goes on being read: that it takes a task back, or leaves, stands there."""
        self.write_blocked_since_ns = self.listener.dispatcher.clock()
        if self.finishing_since_ns and not self.is_closed:
            self._pause_reading()

    def resume_writing(self) -> None:
        self.write_blocked_since_ns = 0
        if self.finishing_since_ns and not self.is_closed:
            self.transport.resume_reading()

    # -- the link's, before an attempt of its leaves

    def peek_input(self) -> UnreadInput:
        return UnreadInput.END if self.is_closed else sockets.pending(self.transport)

    def read_unread_input(self) -> bool:
        """The event loop finds the socket empty, or ended, when it comes to it. What a client that reads
        nothing asks for beyond the bound stays unread, as there is no room for the answers."""
        try:
            for _ in range(READS_PER_TURN):
                if self.peek_input() is not UnreadInput.BYTES or (
                    self.write_blocked_since_ns and self.finishing_since_ns
                ):
                    break
                data = os.read(sockets.descriptor(self.transport), READ_BYTES)
                if not data:
                    self.close()
                    break
                self.data_received(data)
        except BlockingIOError:
            return True  # the machine's own word, also where a look at the socket fails
        except InterruptedError:
            pass
        except OSError:
            self.close()
        found = self.peek_input()
        if found is UnreadInput.END:
            self.close()
        return found is not UnreadInput.BYTES

    def handle_disconnect(self, held: PendingRequest) -> None:
        self.close()
        self.listener.abandon_request(held)  # one that is being taken is not among the open ones yet

    # -- ours

    def write(self, data: bytes) -> None:
        if not self.is_closed and not self.transport.is_closing():
            self.sender.write(data)

    def respond(self, number: int, data: bytes) -> None:
        """The one answer to the request of this number."""
        if self.is_reading:
            self.answered_in_read.add(number)
        self.write(data)

    def close(self) -> None:
        """What was written leaves; what is open has no client any more."""
        if not self.is_closed:
            self._mark_over()
            self.sender.after_writes(self.transport.close)

    def _mark_over(self) -> None:
        self.is_closed = True
        self.listener.closing[self] = self.listener.dispatcher.clock()
        self.listener.remove_connection(self)

    def begin_graceful_close(self, newcomer: bool = False) -> None:
        """Ends it once all that is read from it has its answer; nothing new is taken. A newcomer's first
        request may be on its way."""
        if self.finishing_since_ns or self.is_closed:
            return
        self.finishing_since_ns = self.listener.dispatcher.clock()
        if self.write_blocked_since_ns:
            self._pause_reading()
        if newcomer:
            self.close_after_ns = self.finishing_since_ns + FIRST_REQUEST_GRACE_NS
            asyncio.get_running_loop().call_later(FIRST_REQUEST_GRACE_NS / 1e9, self.close_if_finished)

    def close_if_finished(self) -> None:
        """Whether anything is open or unread on a connection that finishes; if not, it ends."""
        if not self.finishing_since_ns or self.is_closed or self.open_requests or self.is_reading:
            return
        now = self.listener.dispatcher.clock()
        self.all_answered_ns = self.all_answered_ns or now
        is_owed = not self.is_unreadable and self.peek_input() is UnreadInput.BYTES
        if is_owed and now - self.all_answered_ns <= LAST_READS_NS:
            return  # it is read in the next turn
        if now >= self.close_after_ns:
            self.start_lingering_close()

    def start_lingering_close(self) -> None:
        """Tells the client of the end, and closes a moment later: by then it has read its answers."""
        if self.is_closed:
            return
        self._mark_over()
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

    def is_quiet(self, now: int) -> bool:
        """Nothing is open, on its way in or out, or unread, and nothing was read just before."""
        if self.open_requests or self.write_blocked_since_ns or now - self.last_read_ns <= REQUEST_TRANSIT_NS:
            return False
        if self.partial_since_ns and now - self.partial_since_ns <= LAST_READS_NS:
            return False
        return not readable(self.transport)

    def is_idle(self, now: int) -> bool:
        if self.open_requests or self.finishing_since_ns:
            return False
        if self.write_blocked_since_ns:
            return now - self.write_blocked_since_ns > STALLED_CLIENT_TIMEOUT_NS
        if self.partial_since_ns:
            return now - self.partial_since_ns > FIRST_MESSAGE_TIMEOUT_NS
        if now - self.last_read_ns <= (
            IDLE_TIMEOUT_NS if self.has_sent_message else FIRST_MESSAGE_TIMEOUT_NS
        ):
            return False
        return not readable(self.transport)  # a task that came as this turn began is read in it

    def count_open_requests(self, now: int) -> int:
        """Tasks that are open to the client, or cost the runners as much."""
        self.counted_until_ns = [until for until in self.counted_until_ns if until > now]
        return len(self.open_requests) + len(self.counted_until_ns)


class RpcListener:
    def __init__(self, dispatcher: Dispatcher, connections: int, tasks: int, held_bytes: int) -> None:
        """At most so many connections, tasks held and bytes of their bodies."""
        self.dispatcher = dispatcher
        self.connection_limit, self.request_limit, self.body_bytes_limit = connections, tasks, held_bytes
        self.retry_after_ms = dispatcher.settings.policy_settings.retry_after_limit_ns // NS_PER_MS
        self.clients: dict[ClientConnection, None] = {}  # the oldest first
        self.open_requests: dict[str, PendingRequest] = {}  # of the tasks open here
        self.finished_ids: dict[str, None] = {}  # ids of tasks that are over, the oldest first
        self.closing: dict[
            ClientConnection, int
        ] = {}  # what was written to them has yet to leave; since when
        self.on_connection_closed: Callable[[], None] = lambda: None  # the listener's: a connection has ended
        self.rejects_requests = False  # the node stops too soon for what comes now

    async def run(self) -> None:
        """Until cancelled: ends what stands too long."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_NS / 1e9)
            self.close_overdue_connections()

    def close_overdue_connections(self) -> None:
        now = self.dispatcher.clock()
        for client in [c for c in self.clients if c.is_idle(now)]:
            client.close()
        for client in [c for c in self.clients if c.finishing_since_ns]:
            client.close_if_finished()
        patience = (
            STALLED_CLIENT_TIMEOUT_NS
            if self.count_descriptors() < self.connection_limit
            else SWEEP_INTERVAL_NS
        )
        for client in [c for c, since in self.closing.items() if now - since > patience]:
            client.transport.abort()

    def count_descriptors(self) -> int:
        """That clients hold, those whose connections are being closed among them."""
        return len(self.clients) + len(self.closing)

    def add_connection(self, client: ClientConnection) -> None:
        """A place for everyone who speaks: the oldest that never did gives way, else the longest idle, else
        the new one."""
        self.clients[client] = None
        if len(self.clients) <= self.connection_limit:
            return
        others = [
            c for c in self.clients if c is not client and not c.open_requests and not c.finishing_since_ns
        ]
        silent = [c for c in others if not c.has_sent_message]
        idle = sorted((c for c in others if c.has_sent_message), key=lambda c: c.last_read_ns)
        # asked one by one until one gives way: all of them would cost more than the connection does
        gives_way = next((c for c in (*silent, *idle) if not readable(c.transport)), None)
        if gives_way is not None:
            gives_way.close()
        else:
            client.begin_graceful_close(newcomer=True)
        self.dispatcher.counts["client", "no place"] += 1

    def reject_new_requests(self) -> None:
        """As the node stops: what comes now could not be answered by a worker before the end."""
        self.rejects_requests = True

    def close_quiet_connections(self) -> None:
        """As the node stops: who is between two requests comes again elsewhere."""
        now = self.dispatcher.clock()
        for client in [c for c in self.clients if c.is_quiet(now)]:
            client.start_lingering_close()

    def close_all_connections(self) -> None:
        """At the end of the stop, with nothing open any more: each is read to its end, answered and ended."""
        self.reject_new_requests()
        for client in list(self.clients):
            for _ in range(FINAL_READS):
                if client.read_unread_input():
                    break
            client.start_lingering_close()

    def remove_connection(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        for held in list(client.open_requests.values()):
            self.abandon_request(held)
        client.open_requests.clear()

    def abandon_request(self, held: PendingRequest) -> None:
        """Its client waits for it no more."""
        if held.outcome is not None:
            return
        held.on_outcome = held.content = None
        self._spend(held.incoming.id)
        held.end(FinalOutcome.CLIENT_LEFT)
        self.dispatcher.defer(self.dispatcher.close, held)

    def _spend(self, id: str) -> None:
        """An id is new with every task. Hundreds under one would count as taken, and make room for orders."""
        self.open_requests.pop(id, None)
        self.finished_ids[id] = None
        if len(self.finished_ids) > self.request_limit:
            del self.finished_ids[next(iter(self.finished_ids))]

    def handle_messages(self, client: ClientConnection, messages: list[bytes], arrived: int) -> None:
        """One read, of what may have arrived at `arrived`. What is taken back in the read that it came in is
        not taken at all."""
        now = self.dispatcher.clock()
        calls = [self._read(message) for message in messages]
        for call in calls:  # first: what is taken in this read may bring further attempts of what is open
            if isinstance(call, Call) and call.method == "abort":
                self._abort(client, call.cancelled_id, now)
        back: set[int | str | None] = set()
        over: set[int] = set()  # places in `calls`
        for at in range(len(calls) - 1, -1, -1):
            call = calls[at]
            if isinstance(call, InvalidCallError):
                continue
            if call.method == "abort":
                back.add(call.cancelled_id)
            elif call.number in back or call.request_id in back:
                over.add(at)
        for at, call in enumerate(calls):
            if client.is_closed:
                return
            try:
                if isinstance(call, InvalidCallError):
                    raise call
                self._heard(client, call, now, arrived, at in over)
                client.has_sent_message = True
            except InvalidCallError as error:
                self._refuse(client, error)
            except Exception as error:
                self._failed(client, call, error)

    def _read(self, message: bytes) -> Call | InvalidCallError:
        try:
            return rpc.parse_call(message)
        except InvalidCallError as error:
            return error
        except Exception as error:
            self.dispatcher.record_fault(error)
            return rpc.unparsed_call_error(message)

    def _failed(self, client: ClientConnection, call: Call | InvalidCallError, error: Exception) -> None:
        """A fault of ours on one message: it has its answer all the same, and costs no other anything."""
        self.dispatcher.record_fault(error)
        number = call.number
        if number is None or number in client.open_requests or number in client.answered_in_read:
            return
        if isinstance(call, Call) and call.method == "abort":
            return
        client.respond(number, rpc.error(number, rpc.REQUEST_FAILED, "a fault of the dispatcher"))

    def _heard(self, client: ClientConnection, call: Call, now: int, arrived: int, over: bool) -> None:
        if call.method == "abort":
            self._abort(client, call.cancelled_id, now)
        elif call.method == "ping":
            client.write(rpc.up(call.number, self.dispatcher.snapshot_received.is_set()))
        else:
            self._accept_request(client, call, now, arrived, over)
        if client.write_blocked_since_ns and call.method != "abort":
            client.error_count += 1  # whoever asks for ever more and reads nothing
            if client.error_count > ERRORS_PER_CONNECTION:
                client.begin_graceful_close()

    def _refuse(self, client: ClientConnection, error: InvalidCallError) -> None:
        self.dispatcher.counts["refused", str(error.code)] += 1
        client.error_count += 1
        number = error.number
        if number is not None and number in client.open_requests:
            number = None  # its one answer is still to come
        refusal = rpc.error(number, error.code, error.detail)
        if number is None:
            client.write(refusal)
        else:
            client.respond(number, refusal)
        if number is None or client.error_count > ERRORS_PER_CONNECTION:
            client.begin_graceful_close()

    def _abort(self, client: ClientConnection, about: int | str | None, now: int) -> None:
        """No answer is owed for it, nor for the task. Its runner may be at it for a while: until then it
        counts as open, or hundreds that are taken back at once would get hundreds of hand-offs."""
        for number, held in client.open_requests.items():
            if about in (number, held.incoming.id):
                del client.open_requests[number]
                if held.policy_request is not None and held.policy_request.attempts:
                    client.counted_until_ns.append(
                        now + held.policy_request.request_class.latency_objective_ns
                    )
                self.abandon_request(held)
                return

    def _accept_request(
        self, client: ClientConnection, call: Call, now: int, arrived: int, over: bool
    ) -> None:
        dispatcher, number = self.dispatcher, call.number
        assert number is not None
        if number <= client.last_number:
            raise InvalidCallError(rpc.INVALID_REQUEST, "a number that was used before")
        client.last_number = number
        if call.method not in dispatcher.request_classes:
            raise InvalidCallError(rpc.METHOD_NOT_FOUND, "no such method", number)
        if dispatcher.tenants and call.tenant not in dispatcher.tenants:
            raise InvalidCallError(rpc.INVALID_PARAMS, "tenant: no such tenant", number)
        if call.request_id in self.open_requests:
            raise InvalidCallError(rpc.INVALID_PARAMS, "id: of a request that is open", number)
        if call.request_id in self.finished_ids:
            raise InvalidCallError(rpc.INVALID_PARAMS, "id: of a request that was answered", number)
        if over:
            self._spend(call.request_id)
            return
        size = len(call.body_base64)
        if (
            self.rejects_requests
            or client.finishing_since_ns
            or client.write_blocked_since_ns
            or client.count_open_requests(now) >= REQUESTS_PER_CONNECTION
            or len(dispatcher.pending_requests) >= self.request_limit
            or dispatcher.pending_bytes + size > self.body_bytes_limit
        ):
            dispatcher.counts["final", FinalOutcome.REJECTED.value] += 1
            client.respond(
                number, rpc.error(number, rpc.REQUEST_REJECTED, "too much is open", self.retry_after_ms)
            )
            return
        about = (
            call.lanes,
            call.memory_mb,
            call.cost_seconds,
            call.time_left_ns,
            call.is_retry,
            call.request_id,
        )
        wanted = IncomingRequest(call.method, call.function, call.tenant, *about)

        def done(held: PendingRequest) -> None:
            client.open_requests.pop(number, None)
            client.counted_until_ns.append(dispatcher.clock() + RESPONSE_TRANSIT_NS)
            self._spend(call.request_id)
            client.respond(number, answer(number, held))
            if client.finishing_since_ns:  # in the next turn: this may be in the middle of a decision
                asyncio.get_running_loop().call_soon(client.close_if_finished)
            held.content = held.response = (
                None  # a task and its hand-offs hold each other until they are collected
            )
            dispatcher.defer(dispatcher.close, held)

        # an answer may come before `take` has returned
        held = dispatcher.accept(wanted, arrived, call, size, on_outcome=done, client=client)
        if held.outcome is None:
            client.open_requests[number] = held
            self.open_requests[call.request_id] = held


def answer(number: int, held: PendingRequest) -> bytes:
    if held.outcome is FinalOutcome.SUCCEEDED:
        return rpc.result(number, held.response)
    if held.outcome is FinalOutcome.REJECTED:
        return rpc.error(
            number,
            rpc.REQUEST_REJECTED,
            held.reason or "no runner may take it now",
            held.retry_after_ns // NS_PER_MS,
        )
    return rpc.error(number, rpc.REQUEST_FAILED, held.reason or "no runner had an answer")

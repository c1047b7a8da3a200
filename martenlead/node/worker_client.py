"""The link to runners: JSON lines over few connections, several hand-offs open on each.

One reader serves all that is open on a connection: answers are found by their txn, time-outs come from one
heap of the link's. A task of its own has only a connection that is being made.

What is proven: as long as the connection has not come up, nothing ran. Once a byte of a line has left it may
have run, whatever follows, until the runner's own word says otherwise. What waited for its connection, or for
memory that the machine lacked, is asked once more whether it may still leave: by then its task may be over,
or its runner told as draining or gone.

A busy event loop learns late that a client has closed or cancelled. So each attempt asks its client's socket
as its line would leave: where an end waits there it does not, where bytes wait they are read first, over as
many turns of the loop as that takes: a cancel may lie behind any number of them.

The time that a line states to its runner is what is left as the line is written, not as it was decided on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import anyio
from anyio.abc import TaskGroup

from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import FunctionEntry, InFlightAttempt, PendingRequest, UpstreamWorker
from martenlead.edge.timeouts import time_limit
from martenlead.node import worker_protocol as lines
from martenlead.node.client_protocol import BODY_BYTES_LIMIT, Call
from martenlead.node.config import ConnectionSettings as Told
from martenlead.node.sockets import readable
from martenlead.policy.types import Result, Warmth
from martenlead.system.sender import Sender
from martenlead.system.sockets import is_own_shortage
from martenlead.upstream.endpoints import Endpoint
from martenlead.upstream.outcome import UpstreamOutcome

CONNECTIONS_PER_WORKER = 32  # connections to one runner, however many descriptors there are
CANCELLED_CALLS_PER_CONNECTION = 32  # hand-offs given up on one connection whose answers may still come
NEVER_NS = 1 << 62  # ns
SWEEP_INTERVAL_NS = 500_000_000  # ns between two looks for connections that stood idle
NS_PER_MS = 1_000_000  # ns
READ_BUDGET_NS = 5_000_000  # ns of one turn of the loop for clients' bytes that attempts wait for
READ_PAUSE_SECONDS = 0.001  # s between two such turns, for all else
WRITE_RETRY_SECONDS = (
    0.001  # s between two tries to write lines that wait for their clients or for the machine
)


class OutstandingCall:
    """What is open on a connection: a hand-off, or an order."""

    __slots__ = ("begin_by", "box", "conn", "due", "held", "line", "overdue", "told", "txn", "written")

    def __init__(
        self,
        txn: str,
        box: UpstreamWorker,
        held: PendingRequest | None,
        due: int,
        overdue: int,
        line: Callable[[int], bytes],
        told: Callable[[UpstreamOutcome], None],
        begin_by: int = NEVER_NS,
    ) -> None:
        """`held` is the task, None of an order; the first byte may not leave after `begin_by`, ns. `line`
        makes what is written at a time, ns."""
        self.txn, self.due, self.overdue, self.told = txn, due, overdue, told
        self.box, self.held, self.begin_by = box, held, begin_by
        self.line: Callable[[int], bytes] | None = line  # until any of it is written
        self.conn: UpstreamConnection | None = None
        self.written = 0  # when

    def late(self, now: int) -> str:
        """Why it may not leave any more, or nothing."""
        return reason_not_to_send(self.held, self.box, self.begin_by, now)

    def hear_client(self) -> bool:
        """Reads what its client has sent since, be it the end; whether all of it was read."""
        if self.held is None or self.held.outcome is not None or self.held.client is None:
            return True
        return self.held.client.read_unread_input()


def reason_not_to_send(held: PendingRequest | None, box: UpstreamWorker, begin_by: int, now: int) -> str:
    """Why an attempt, or an order where `held` is None, may not leave after a wait, or nothing."""
    if held is not None and held.outcome is not None:
        return "its task is over"
    if now > begin_by:
        return "its time to begin is over"
    return "" if box.is_up else "the runner drains or is gone"


class UpstreamConnection(asyncio.Protocol):
    """One connection, from the wish for it on."""

    def __init__(self, link: WorkerClient, way: ConnectionPool) -> None:
        self.worker_client, self.pool = link, way
        self.transport: Any = None
        self.sender: Sender
        self.outstanding_calls: dict[str, OutstandingCall] = {}
        self.cancelled_ids: set[str] = set()  # given up: their answers may still come
        self.is_write_blocked = False  # what was written has yet to leave: the runner does not read
        self.decoder = lines.LineDecoder()
        self.last_received_ns = self.idle_since_ns = link.clock()  # since: without anything open
        self.is_retired = False  # takes nothing new, ends once nothing is open on it
        self._will_write = False  # `_hear_and_write` is to be called

    # -- the event loop's side

    def connection_made(self, transport: Any) -> None:
        # first: what follows from it may still be taken from this connection
        unheard = [sent for sent in list(self.outstanding_calls.values()) if not sent.hear_client()]
        self.transport = transport
        if self not in self.pool.connections:
            transport.abort()  # given up in the turn that it came up in: all that waited was told as unsent
            return
        # each line goes to the machine as it is written, or the connection is full: none lies here and leaves
        # when its runner reads again, drained by then
        transport.set_write_buffer_limits(0)
        give_up = (
            self.worker_client.settings.connect_timeout_ns / 1e9
        )  # no more patience than for a connection that is being made
        self.sender = Sender(transport, 0, give_up, self.pause_writing, self.resume_writing)
        self.last_received_ns = self.idle_since_ns = self.worker_client.clock()
        self._write_waiting(unheard)

    def _hear_and_write(self) -> None:
        """Again, in a further turn, for lines whose clients had more unread than one turn reads, or that the
        machine did not take."""
        self._will_write = False
        if self in self.pool.connections:
            self._write_waiting(
                [sent for sent in list(self.outstanding_calls.values()) if not sent.hear_client()]
            )

    def _write_waiting(self, unheard: list[OutstandingCall]) -> None:
        """Writes what waits, but for those whose clients have more to be read: these wait on."""
        if self not in self.pool.connections:
            return
        now = self.worker_client.clock()
        late = []
        waits = False
        for sent in list(self.outstanding_calls.values()):
            if sent.line is None:
                continue
            why = sent.late(now) or ("the runner does not read" if self.is_write_blocked else "")
            if not why and sent in unheard:
                waits = True
            elif why:
                del self.outstanding_calls[sent.txn]
                late.append((sent, why))
            else:
                self._write(sent, now)
        self._free(bool(self.outstanding_calls))
        if waits:
            self._write_later()
        for sent, why in late:  # last: what they are told may bring the next hand-off, over this connection
            sent.told(UpstreamOutcome(Result.NOT_SENT, reason=why))

    def data_received(self, data: bytes) -> None:
        self.last_received_ns = self.worker_client.clock()
        bad = ""
        try:
            done = self.decoder.feed(data)
        except lines.InvalidLineError as error:
            done, bad = error.complete_lines, str(error)
        for line in done:
            try:
                self._handle_response(lines.parse_response(line, BODY_BYTES_LIMIT))
            except lines.InvalidLineError as error:
                bad = str(error)
                break
        if bad:
            self.worker_client.dispatcher.counts["runner", "spoilt"] += 1
            self.close("what came cannot be read")

    def eof_received(self) -> None:
        self.close("the connection ended")  # now: what is written until its loss is told would be lost

    def connection_lost(self, _error: Exception | None) -> None:
        self.close("the connection ended")

    def pause_writing(self) -> None:
        self.is_write_blocked = True

    def resume_writing(self) -> None:
        self.is_write_blocked = False

    # -- ours

    def send(self, sent: OutstandingCall) -> None:
        sent.conn = self
        self.outstanding_calls[sent.txn] = sent
        if self.transport is not None:
            self._write(sent, self.worker_client.clock())

    def _write(self, sent: OutstandingCall, now: int) -> None:
        """A line that the machine does not take waits on, as if its connection were still being made."""
        assert sent.line is not None
        if not self.sender.offer(sent.line(now)):
            self._write_later()
            return
        sent.written = now
        sent.line = None

    def _write_later(self) -> None:
        if not self._will_write:
            self._will_write = True
            asyncio.get_running_loop().call_later(WRITE_RETRY_SECONDS, self._hear_and_write)

    def cancel(self, sent: OutstandingCall) -> bool:
        """Gives it up; whether it may have run. A connection that has said nothing since it was written gets
        nothing new: the machine behind it may have vanished without a word."""
        self.outstanding_calls.pop(sent.txn, None)
        if sent.line is not None:  # never written
            self._free(bool(self.outstanding_calls))
            return False
        self.sender.write(lines.encode_cancel(sent.txn))
        self.cancelled_ids.add(sent.txn)
        if self.last_received_ns <= sent.written or len(self.cancelled_ids) > CANCELLED_CALLS_PER_CONNECTION:
            self.is_retired = True
        self._free(bool(self.outstanding_calls))
        return True

    def _free(self, busy: bool) -> None:
        if busy:
            return
        self.idle_since_ns = self.worker_client.clock()
        if self.is_retired and self.transport is not None:
            self.close()

    def _handle_response(self, word: lines.WorkerResponse) -> None:
        sent = self.outstanding_calls.pop(word.call_id, None)
        if sent is None:
            self.cancelled_ids.discard(word.call_id)
            return  # nobody waits for it any more, or nobody ever asked
        result = lines.RESULT_BY_WORD.get(word.word, Result.ERROR)
        warmth = lines.WARMTH_BY_NOTE.get(word.note, Warmth.UNKNOWN)
        content = word.body_base64 if result is Result.SUCCEEDED else None
        self._free(bool(self.outstanding_calls))
        sent.told(UpstreamOutcome(result, warmth, response=content, reason=word.word, replicas=word.replicas))

    def is_overdue(self, now: int) -> bool:
        """Silent under work that should have ended."""
        first = next(iter(self.outstanding_calls.values()), None)
        return first is not None and now > first.overdue and self.last_received_ns <= first.written

    def is_closing(self) -> bool:
        """Whether the event loop has closed it, and not told of it yet: nothing that is written leaves."""
        return self.transport is not None and bool(self.transport.is_closing())

    def has_ended(self) -> bool:
        """Anything to read on an idle connection is its end, or bytes that answer nothing."""
        return self.is_closing() or readable(self.transport)

    def close(self, why: str = "", unwritten: Result = Result.UNREACHABLE) -> None:
        """Closes it; all that is open on it ends, as `unwritten` where nothing of it has left. The first call
        counts."""
        if self not in self.pool.connections:
            return
        self.worker_client.remove_connection(self)
        transport, opened = self.transport, list(self.outstanding_calls.values())
        self.outstanding_calls.clear()
        if transport is not None:
            transport.abort() if why else self.sender.after_writes(transport.close)
        for sent in opened:
            result = Result.CONNECTION_LOST if sent.line is None else unwritten
            sent.told(UpstreamOutcome(result, reason=why))


class ConnectionPool:
    """The connections to one runner."""

    def __init__(self, line: Endpoint) -> None:
        self.host, self.port = line.host, line.port
        self.connections: set[UpstreamConnection] = set()
        self.connections_opened = 0
        self.is_retired = False

    @property
    def open_connections(self) -> int:
        return len(self.connections)


class WorkerClient:
    def __init__(self, told: Told, sockets: int, soft: dict[str, int], clock: Callable[[], int]) -> None:
        """`sockets` may be open to all runners together; `soft` are the offerings' soft limits, ns."""
        self.settings, self.connection_limit, self.latency_objectives_ns, self.clock = (
            told,
            sockets,
            soft,
            clock,
        )
        self.dispatcher: Dispatcher
        self.pools: set[ConnectionPool] = set()
        self.connections: set[UpstreamConnection] = (
            set()
        )  # to all runners: far fewer than the runners of a large fleet
        self._task_group: TaskGroup
        self._deferred: dict[InFlightAttempt, None] = {}  # attempts whose clients have bytes to be read first
        self._reads_deferred = False  # `_send_deferred` is to be called
        self._timeouts: list[tuple[int, int, OutstandingCall]] = []
        self._count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._at = 0

    def attach(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def run(self) -> None:
        async with anyio.create_task_group() as self._task_group:
            while True:
                await anyio.sleep(SWEEP_INTERVAL_NS / 1e9)
                self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Closes what stood idle, well before the runner would: what is written as it closes may have run."""
        now = self.clock()
        for conn in list(self.connections):
            old = (
                conn.pool.is_retired
                or conn.is_retired
                or now - conn.idle_since_ns > self.settings.idle_timeout_ns // 2
            )
            if old and not conn.outstanding_calls and conn.transport is not None:
                conn.close()

    def remove_connection(self, conn: UpstreamConnection) -> None:
        """It has ended; a runner that is gone is forgotten with the last connection to it."""
        way = conn.pool
        self.connections.discard(conn)
        way.connections.discard(conn)
        if way.is_retired and not way.connections:
            self.pools.discard(way)

    def create_connections(self, line: Endpoint) -> ConnectionPool:
        way = ConnectionPool(line)
        self.pools.add(way)
        return way

    def retire_connections(self, way: ConnectionPool) -> None:
        way.is_retired = True
        for conn in list(way.connections):
            conn.is_retired = True
            if conn.transport is None:
                conn.close("its runner is gone")  # it never came up: nothing was sent
            elif not conn.outstanding_calls:
                conn.close()
        if not way.connections:
            self.pools.discard(way)

    # -- hand-offs and orders

    def send_attempt(self, out: InFlightAttempt) -> None:
        client = out.request.client
        pending = client.peek_input() if client is not None else UnreadInput.NOTHING
        if client is not None and pending is UnreadInput.END:
            client.handle_disconnect(out.request)
            self.dispatcher.attempt_ended(out, UpstreamOutcome(Result.NOT_SENT, reason="its client has left"))
        elif pending is UnreadInput.BYTES:
            self._defer(out)
        else:
            self._attempt(out)

    def _defer(self, out: InFlightAttempt) -> None:
        """To a further turn: in the middle of a decision, or of that client's own read, nothing is read."""
        self._deferred[out] = None
        if not self._reads_deferred:
            self._reads_deferred = True
            asyncio.get_running_loop().call_soon(self._send_deferred)

    def _send_deferred(self) -> None:
        """Who has more to read than one turn allows waits on, behind the others, up to its request's time."""
        self._reads_deferred = False
        began = self.clock()
        for out in list(self._deferred):
            if self.clock() - began > READ_BUDGET_NS:
                break
            client = out.request.client
            is_read = client is None or client.read_unread_input()
            if out not in self._deferred:
                continue  # cancelled by what was read
            del self._deferred[out]
            now = self.clock()
            why = reason_not_to_send(out.request, out.worker, out.policy_attempt.begin_by_ns, now)
            if not why and now >= out.policy_attempt.sent_ns + out.policy_attempt.timeout_ns:
                why = "the time was over before its client was heard"
            if why:
                self.dispatcher.attempt_ended(out, UpstreamOutcome(Result.NOT_SENT, reason=why))
            elif is_read:
                self._attempt(out)
            else:
                self._deferred[out] = None
        if self._deferred and not self._reads_deferred:
            self._reads_deferred = True
            asyncio.get_running_loop().call_later(READ_PAUSE_SECONDS, self._send_deferred)

    def _attempt(self, out: InFlightAttempt) -> None:
        hand_off, call = out.policy_attempt, out.request.content
        assert isinstance(call, Call)
        now = self.clock()
        left = hand_off.timeout_ns + hand_off.sent_ns - now
        if left <= 0:
            self.dispatcher.attempt_ended(
                out, UpstreamOutcome(Result.NOT_SENT, reason="the time was over before it was sent")
            )
            return
        overdue = now + self.latency_objectives_ns.get(call.method, 0)
        until = (
            min(now + left, out.request.policy_request.deadline_ns)
            if out.request.policy_request is not None
            else now + left
        )

        def line(written: int) -> bytes:
            ttl = max(1, (until - written) // NS_PER_MS)
            return lines.encode_attempt(
                call.request_id, call.method, call.function, ttl, call.idempotency_key, call.body_base64
            )

        def told(heard: UpstreamOutcome) -> None:
            self.dispatcher.attempt_ended(out, heard)

        begin_by = hand_off.begin_by_ns
        sent = out.link_handle = OutstandingCall(
            call.request_id, out.worker, out.request, now + left, overdue, line, told, begin_by
        )
        self._send(sent, call.used_connections)

    def cancel_attempt(self, out: InFlightAttempt) -> None:
        if out in self._deferred:
            del self._deferred[out]
            self.dispatcher.attempt_ended(out, UpstreamOutcome(Result.NOT_SENT, reason="called off"))
            return
        sent: OutstandingCall | None = out.link_handle
        conn = sent.conn if sent is not None else None
        if sent is None or conn is None or conn.outstanding_calls.get(sent.txn) is not sent:
            return  # its end is on its way
        ran = conn.cancel(sent)
        result = Result.CANCELLED if ran else Result.NOT_SENT
        sent.told(UpstreamOutcome(result, reason="called off"))

    def send_load_request(
        self, box: UpstreamWorker, known: FunctionEntry, copies: int, told: Callable[[UpstreamOutcome], None]
    ) -> None:
        self._count += 1
        now = self.clock()
        txn, due = f"o{self._count}", now + self.settings.load_timeout_ns

        def line(_written: int) -> bytes:
            return lines.encode_load_request(txn, known.name, copies)

        self._send(OutstandingCall(txn, box, None, due, due, line, told), [])

    def _send(self, sent: OutstandingCall, met: list[Any]) -> None:
        """`met` are the connections that the task was on before: a second answer that comes late there would
        be taken for the new hand-off's, since both have one txn."""
        conn = self._choose_connection(sent.box.connections, met)
        if conn is None:
            sent.told(UpstreamOutcome(Result.NOT_SENT, reason="all connections are busy"))
            return
        met.append(conn)
        conn.send(sent)
        self._count += 1
        heappush(self._timeouts, (sent.due, self._count, sent))
        self._schedule_timeout()

    def _choose_connection(self, way: ConnectionPool, met: list[Any]) -> UpstreamConnection | None:
        """One that stands idle, the last used first; else a new one while there may be; else the one with
        the least open. Never one that has met this task already, nor one whose runner does not read."""
        now = self.clock()
        idle, busy = None, None
        for conn in list(way.connections):
            if conn.is_retired or conn.is_write_blocked or conn in met:
                continue
            if not conn.outstanding_calls and conn.transport is not None:
                if now - conn.idle_since_ns > self.settings.idle_timeout_ns // 2 or conn.has_ended():
                    conn.close("ended while it was idle")
                elif idle is None or conn.idle_since_ns > idle.idle_since_ns:
                    idle = conn
            elif (
                len(conn.outstanding_calls) < self.settings.calls_per_connection
                and not conn.is_closing()
                and not conn.is_overdue(now)
                and (busy is None or len(conn.outstanding_calls) < len(busy.outstanding_calls))
            ):
                busy = conn
        if idle is not None:
            return idle
        most = min(CONNECTIONS_PER_WORKER, max(1, self.connection_limit // max(1, len(self.pools))))
        if len(way.connections) >= most or not self._has_room():
            return busy
        conn = UpstreamConnection(self, way)
        way.connections.add(conn)
        self.connections.add(conn)
        self._task_group.start_soon(self._connect, conn)
        return conn

    def _has_room(self) -> bool:
        """Whether one more connection may be made: at the bound, the one idle for longest gives way."""
        if len(self.connections) < self.connection_limit:
            return True
        idle = [
            conn for conn in self.connections if not conn.outstanding_calls and conn.transport is not None
        ]
        if idle:
            min(idle, key=lambda conn: conn.idle_since_ns).close()
        return bool(idle)

    async def _connect(self, conn: UpstreamConnection) -> None:
        way = conn.pool
        way.connections_opened += 1
        loop = asyncio.get_running_loop()
        try:
            with time_limit(self.settings.connect_timeout_ns / 1e9) as scope:
                await loop.create_connection(lambda: conn, way.host, way.port)
            if scope.cancelled_caught:
                conn.close("no connection in time")
        except OSError as error:
            if is_own_shortage(error):
                conn.close("no descriptor, memory or port for a connection", Result.NOT_SENT)
            else:
                conn.close("no connection")
        except Exception as error:  # of the event loop or ours: it must not end the group, and the program
            self.dispatcher.record_fault(error)
            conn.close("no connection")

    # -- time-outs

    def _schedule_timeout(self) -> None:
        while self._timeouts and not self._waits(self._timeouts[0][2]):
            heappop(self._timeouts)
        if self._timeouts and (self._timer is None or self._timeouts[0][0] < self._at):
            if self._timer is not None:
                self._timer.cancel()
            self._at = self._timeouts[0][0]
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.001, (self._at - self.clock()) / 1e9), self._expire_calls)

    @staticmethod
    def _waits(sent: OutstandingCall) -> bool:
        return sent.conn is not None and sent.conn.outstanding_calls.get(sent.txn) is sent

    def _expire_calls(self) -> None:
        self._timer = None
        now = self.clock()
        while self._timeouts and self._timeouts[0][0] <= now:
            sent = heappop(self._timeouts)[2]
            if self._waits(sent):
                assert sent.conn is not None
                is_up = sent.conn.transport is not None
                unwritten = Result.NOT_SENT if is_up else Result.UNREACHABLE
                ran = sent.conn.cancel(sent)
                sent.told(
                    UpstreamOutcome(Result.NO_RESPONSE if ran else unwritten, reason="no answer in time")
                )
        self._schedule_timeout()

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

from martenlead.edge.client import Pending
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import Box, Held, Known, Out
from martenlead.edge.waits import within
from martenlead.node import lines
from martenlead.node.config import Conn as Told
from martenlead.node.rpc import BODY, Call
from martenlead.node.sockets import readable
from martenlead.policy.types import Result, Warmth
from martenlead.runnerlink.heard import Heard
from martenlead.runnerlink.roster import Line
from martenlead.system.sender import Sender
from martenlead.system.sockets import is_own_shortage

MOST = 32  # connections to one runner, however many descriptors there are
STALE = 32  # hand-offs given up on one connection whose answers may still come
NEVER = 1 << 62  # ns
SWEEP = 500_000_000  # ns between two looks for connections that stood idle
MS = 1_000_000  # ns
READING_TURN = 5_000_000  # ns of one turn of the loop for clients' bytes that attempts wait for
READING_PAUSE = 0.001  # s between two such turns, for all else
WRITING_PAUSE = 0.001  # s between two tries to write lines that wait for their clients or for the machine


class Sent:
    """What is open on a connection: a hand-off, or an order."""

    __slots__ = ("begin_by", "box", "conn", "due", "held", "line", "overdue", "told", "txn", "written")

    def __init__(
        self,
        txn: str,
        box: Box,
        held: Held | None,
        due: int,
        overdue: int,
        line: Callable[[int], bytes],
        told: Callable[[Heard], None],
        begin_by: int = NEVER,
    ) -> None:
        """`held` is the task, None of an order; the first byte may not leave after `begin_by`, ns. `line`
        makes what is written at a time, ns."""
        self.txn, self.due, self.overdue, self.told = txn, due, overdue, told
        self.box, self.held, self.begin_by = box, held, begin_by
        self.line: Callable[[int], bytes] | None = line  # until any of it is written
        self.conn: Conn | None = None
        self.written = 0  # when

    def late(self, now: int) -> str:
        """Why it may not leave any more, or nothing."""
        return why_late(self.held, self.box, self.begin_by, now)

    def hear_client(self) -> bool:
        """Reads what its client has sent since, be it the end; whether all of it was read."""
        if self.held is None or self.held.final is not None or self.held.client is None:
            return True
        return self.held.client.read_pending()


def why_late(held: Held | None, box: Box, begin_by: int, now: int) -> str:
    """Why an attempt, or an order where `held` is None, may not leave after a wait, or nothing."""
    if held is not None and held.final is not None:
        return "its task is over"
    if now > begin_by:
        return "its time to begin is over"
    return "" if box.up else "the runner drains or is gone"


class Conn(asyncio.Protocol):
    """One connection, from the wish for it on."""

    def __init__(self, link: RunnerLink, way: Way) -> None:
        self.link, self.way = link, way
        self.transport: Any = None
        self.sender: Sender
        self.open: dict[str, Sent] = {}
        self.stale: set[str] = set()  # given up: their answers may still come
        self.full = False  # what was written has yet to leave: the runner does not read
        self.lines = lines.Lines()
        self.heard = self.since = link.clock()  # since: without anything open
        self.retired = False  # takes nothing new, ends once nothing is open on it
        self._will_write = False  # `_hear_and_write` is to be called

    # -- the event loop's side

    def connection_made(self, transport: Any) -> None:
        # first: what follows from it may still be taken from this connection
        unheard = [sent for sent in list(self.open.values()) if not sent.hear_client()]
        self.transport = transport
        if self not in self.way.conns:
            transport.abort()  # given up in the turn that it came up in: all that waited was told as unsent
            return
        # each line goes to the machine as it is written, or the connection is full: none lies here and leaves
        # when its runner reads again, drained by then
        transport.set_write_buffer_limits(0)
        give_up = self.link.told.connect / 1e9  # no more patience than for a connection that is being made
        self.sender = Sender(transport, 0, give_up, self.pause_writing, self.resume_writing)
        self.heard = self.since = self.link.clock()
        self._write_waiting(unheard)

    def _hear_and_write(self) -> None:
        """Again, in a further turn, for lines whose clients had more unread than one turn reads, or that the
        machine did not take."""
        self._will_write = False
        if self in self.way.conns:
            self._write_waiting([sent for sent in list(self.open.values()) if not sent.hear_client()])

    def _write_waiting(self, unheard: list[Sent]) -> None:
        """Writes what waits, but for those whose clients have more to be read: these wait on."""
        if self not in self.way.conns:
            return
        now = self.link.clock()
        late = []
        waits = False
        for sent in list(self.open.values()):
            if sent.line is None:
                continue
            why = sent.late(now) or ("the runner does not read" if self.full else "")
            if not why and sent in unheard:
                waits = True
            elif why:
                del self.open[sent.txn]
                late.append((sent, why))
            else:
                self._write(sent, now)
        self._free(bool(self.open))
        if waits:
            self._write_later()
        for sent, why in late:  # last: what they are told may bring the next hand-off, over this connection
            sent.told(Heard(Result.NOT_SENT, why=why))

    def data_received(self, data: bytes) -> None:
        self.heard = self.link.clock()
        bad = ""
        try:
            done = self.lines.feed(data)
        except lines.BadLine as error:
            done, bad = error.done, str(error)
        for line in done:
            try:
                self._answered(lines.read(line, BODY))
            except lines.BadLine as error:
                bad = str(error)
                break
        if bad:
            self.link.dispatcher.counts["runner", "spoilt"] += 1
            self.end("what came cannot be read")

    def eof_received(self) -> None:
        self.end("the connection ended")  # now: what is written until its loss is told would be lost

    def connection_lost(self, _error: Exception | None) -> None:
        self.end("the connection ended")

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False

    # -- ours

    def send(self, sent: Sent) -> None:
        sent.conn = self
        self.open[sent.txn] = sent
        if self.transport is not None:
            self._write(sent, self.link.clock())

    def _write(self, sent: Sent, now: int) -> None:
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
            asyncio.get_running_loop().call_later(WRITING_PAUSE, self._hear_and_write)

    def take_back(self, sent: Sent) -> bool:
        """Gives it up; whether it may have run. A connection that has said nothing since it was written gets
        nothing new: the machine behind it may have vanished without a word."""
        self.open.pop(sent.txn, None)
        if sent.line is not None:  # never written
            self._free(bool(self.open))
            return False
        self.sender.write(lines.undo(sent.txn))
        self.stale.add(sent.txn)
        if self.heard <= sent.written or len(self.stale) > STALE:
            self.retired = True
        self._free(bool(self.open))
        return True

    def _free(self, busy: bool) -> None:
        if busy:
            return
        self.since = self.link.clock()
        if self.retired and self.transport is not None:
            self.end()

    def _answered(self, word: lines.Word) -> None:
        sent = self.open.pop(word.txn, None)
        if sent is None:
            self.stale.discard(word.txn)
            return  # nobody waits for it any more, or nobody ever asked
        result = lines.RESULTS.get(word.word, Result.ERROR)
        warmth = lines.WARMTH.get(word.why, Warmth.UNKNOWN)
        content = word.raw if result is Result.SUCCEEDED else None
        self._free(bool(self.open))
        sent.told(Heard(result, warmth, content=content, why=word.word, copies=word.copies))

    def overdue(self, now: int) -> bool:
        """Silent under work that should have ended."""
        first = next(iter(self.open.values()), None)
        return first is not None and now > first.overdue and self.heard <= first.written

    def is_closing(self) -> bool:
        """Whether the event loop has closed it, and not told of it yet: nothing that is written leaves."""
        return self.transport is not None and bool(self.transport.is_closing())

    def dead(self) -> bool:
        """Anything to read on an idle connection is its end, or bytes that answer nothing."""
        return self.is_closing() or readable(self.transport)

    def end(self, why: str = "", unwritten: Result = Result.UNREACHABLE) -> None:
        """Closes it; all that is open on it ends, as `unwritten` where nothing of it has left. The first call
        counts."""
        if self not in self.way.conns:
            return
        self.link.forget(self)
        transport, opened = self.transport, list(self.open.values())
        self.open.clear()
        if transport is not None:
            transport.abort() if why else self.sender.after_writes(transport.close)
        for sent in opened:
            result = Result.CONNECTION_LOST if sent.line is None else unwritten
            sent.told(Heard(result, why=why))


class Way:
    """The connections to one runner."""

    def __init__(self, line: Line) -> None:
        self.host, self.port = line.host, line.port
        self.conns: set[Conn] = set()
        self.opened = 0
        self.left = False

    @property
    def open(self) -> int:
        return len(self.conns)


class RunnerLink:
    def __init__(self, told: Told, sockets: int, soft: dict[str, int], clock: Callable[[], int]) -> None:
        """`sockets` may be open to all runners together; `soft` are the offerings' soft limits, ns."""
        self.told, self.sockets, self.soft, self.clock = told, sockets, soft, clock
        self.dispatcher: Dispatcher
        self.ways: set[Way] = set()
        self.conns: set[Conn] = set()  # to all runners: far fewer than the runners of a large fleet
        self._group: TaskGroup
        self._deferred: dict[Out, None] = {}  # attempts whose clients have bytes to be read first
        self._reads_deferred = False  # `_send_deferred` is to be called
        self._heap: list[tuple[int, int, Sent]] = []
        self._count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._at = 0

    def use(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def run(self) -> None:
        async with anyio.create_task_group() as self._group:
            while True:
                await anyio.sleep(SWEEP / 1e9)
                self.sweep()

    def sweep(self) -> None:
        """Closes what stood idle, well before the runner would: what is written as it closes may have run."""
        now = self.clock()
        for conn in list(self.conns):
            old = conn.way.left or conn.retired or now - conn.since > self.told.idle // 2
            if old and not conn.open and conn.transport is not None:
                conn.end()

    def forget(self, conn: Conn) -> None:
        """It has ended; a runner that is gone is forgotten with the last connection to it."""
        way = conn.way
        self.conns.discard(conn)
        way.conns.discard(conn)
        if way.left and not way.conns:
            self.ways.discard(way)

    def way(self, line: Line) -> Way:
        way = Way(line)
        self.ways.add(way)
        return way

    def leave(self, way: Way) -> None:
        way.left = True
        for conn in list(way.conns):
            conn.retired = True
            if conn.transport is None:
                conn.end("its runner is gone")  # it never came up: nothing was sent
            elif not conn.open:
                conn.end()
        if not way.conns:
            self.ways.discard(way)

    # -- hand-offs and orders

    def hand_off(self, out: Out) -> None:
        client = out.held.client
        pending = client.pending() if client is not None else Pending.NOTHING
        if client is not None and pending is Pending.END:
            client.leave(out.held)
            self.dispatcher.ended(out, Heard(Result.NOT_SENT, why="its client has left"))
        elif pending is Pending.BYTES:
            self._defer(out)
        else:
            self._attempt(out)

    def _defer(self, out: Out) -> None:
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
            if self.clock() - began > READING_TURN:
                break
            client = out.held.client
            is_read = client is None or client.read_pending()
            if out not in self._deferred:
                continue  # cancelled by what was read
            del self._deferred[out]
            now = self.clock()
            why = why_late(out.held, out.box, out.hand_off.begin_by_ns, now)
            if not why and now >= out.hand_off.sent_ns + out.hand_off.timeout_ns:
                why = "the time was over before its client was heard"
            if why:
                self.dispatcher.ended(out, Heard(Result.NOT_SENT, why=why))
            elif is_read:
                self._attempt(out)
            else:
                self._deferred[out] = None
        if self._deferred and not self._reads_deferred:
            self._reads_deferred = True
            asyncio.get_running_loop().call_later(READING_PAUSE, self._send_deferred)

    def _attempt(self, out: Out) -> None:
        hand_off, call = out.hand_off, out.held.content
        assert isinstance(call, Call)
        now = self.clock()
        left = hand_off.timeout_ns + hand_off.sent_ns - now
        if left <= 0:
            self.dispatcher.ended(out, Heard(Result.NOT_SENT, why="the time was over before it was sent"))
            return
        overdue = now + self.soft.get(call.method, 0)
        until = min(now + left, out.held.task.deadline_ns) if out.held.task is not None else now + left

        def line(written: int) -> bytes:
            ttl = max(1, (until - written) // MS)
            return lines.do(call.id, call.method, call.key, ttl, call.once, call.blob)

        def told(heard: Heard) -> None:
            self.dispatcher.ended(out, heard)

        begin_by = hand_off.begin_by_ns
        sent = out.at = Sent(call.id, out.box, out.held, now + left, overdue, line, told, begin_by)
        self._send(sent, call.met)

    def call_off(self, out: Out) -> None:
        if out in self._deferred:
            del self._deferred[out]
            self.dispatcher.ended(out, Heard(Result.NOT_SENT, why="called off"))
            return
        sent: Sent | None = out.at
        conn = sent.conn if sent is not None else None
        if sent is None or conn is None or conn.open.get(sent.txn) is not sent:
            return  # its end is on its way
        ran = conn.take_back(sent)
        result = Result.CANCELLED if ran else Result.NOT_SENT
        sent.told(Heard(result, why="called off"))

    def order(self, box: Box, known: Known, copies: int, told: Callable[[Heard], None]) -> None:
        self._count += 1
        now = self.clock()
        txn, due = f"o{self._count}", now + self.told.order

        def line(_written: int) -> bytes:
            return lines.pin(txn, known.name, copies)

        self._send(Sent(txn, box, None, due, due, line, told), [])

    def _send(self, sent: Sent, met: list[Any]) -> None:
        """`met` are the connections that the task was on before: a second answer that comes late there would
        be taken for the new hand-off's, since both have one txn."""
        conn = self._pick(sent.box.way, met)
        if conn is None:
            sent.told(Heard(Result.NOT_SENT, why="all connections are busy"))
            return
        met.append(conn)
        conn.send(sent)
        self._count += 1
        heappush(self._heap, (sent.due, self._count, sent))
        self._arm()

    def _pick(self, way: Way, met: list[Any]) -> Conn | None:
        """One that stands idle, the last used first; else a new one while there may be; else the one with
        the least open. Never one that has met this task already, nor one whose runner does not read."""
        now = self.clock()
        idle, busy = None, None
        for conn in list(way.conns):
            if conn.retired or conn.full or conn in met:
                continue
            if not conn.open and conn.transport is not None:
                if now - conn.since > self.told.idle // 2 or conn.dead():
                    conn.end("ended while it was idle")
                elif idle is None or conn.since > idle.since:
                    idle = conn
            elif (
                len(conn.open) < self.told.streams
                and not conn.is_closing()
                and not conn.overdue(now)
                and (busy is None or len(conn.open) < len(busy.open))
            ):
                busy = conn
        if idle is not None:
            return idle
        most = min(MOST, max(1, self.sockets // max(1, len(self.ways))))
        if len(way.conns) >= most or not self._has_room():
            return busy
        conn = Conn(self, way)
        way.conns.add(conn)
        self.conns.add(conn)
        self._group.start_soon(self._connect, conn)
        return conn

    def _has_room(self) -> bool:
        """Whether one more connection may be made: at the bound, the one idle for longest gives way."""
        if len(self.conns) < self.sockets:
            return True
        idle = [conn for conn in self.conns if not conn.open and conn.transport is not None]
        if idle:
            min(idle, key=lambda conn: conn.since).end()
        return bool(idle)

    async def _connect(self, conn: Conn) -> None:
        way = conn.way
        way.opened += 1
        loop = asyncio.get_running_loop()
        try:
            with within(self.told.connect / 1e9) as scope:
                await loop.create_connection(lambda: conn, way.host, way.port)
            if scope.cancelled_caught:
                conn.end("no connection in time")
        except OSError as error:
            if is_own_shortage(error):
                conn.end("no descriptor, memory or port for a connection", Result.NOT_SENT)
            else:
                conn.end("no connection")
        except Exception as error:  # of the event loop or ours: it must not end the group, and the program
            self.dispatcher.fault(error)
            conn.end("no connection")

    # -- time-outs

    def _arm(self) -> None:
        while self._heap and not self._waits(self._heap[0][2]):
            heappop(self._heap)
        if self._heap and (self._timer is None or self._heap[0][0] < self._at):
            if self._timer is not None:
                self._timer.cancel()
            self._at = self._heap[0][0]
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.001, (self._at - self.clock()) / 1e9), self._expire)

    @staticmethod
    def _waits(sent: Sent) -> bool:
        return sent.conn is not None and sent.conn.open.get(sent.txn) is sent

    def _expire(self) -> None:
        self._timer = None
        now = self.clock()
        while self._heap and self._heap[0][0] <= now:
            sent = heappop(self._heap)[2]
            if self._waits(sent):
                assert sent.conn is not None
                is_up = sent.conn.transport is not None
                unwritten = Result.NOT_SENT if is_up else Result.UNREACHABLE
                ran = sent.conn.take_back(sent)
                sent.told(Heard(Result.NO_RESPONSE if ran else unwritten, why="no answer in time"))
        self._arm()

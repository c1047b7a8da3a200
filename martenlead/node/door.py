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

from martenlead.edge.client import Pending
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import Final, Held, Wanted
from martenlead.node import rpc, sockets
from martenlead.node.rpc import BadCall, Call
from martenlead.node.sockets import readable
from martenlead.system.sender import Sender

OPEN = 32  # tasks of one connection, by the protocol
ERRORS = 16  # of one connection, then it ends
UNREAD = 262_144  # bytes that wait for a client; beyond, no task is taken from it
MS = 1_000_000
FULL_READ = 65_536  # bytes; behind a read of so many there may be more that came at the same time
NEWCOMER = 100 * MS  # for the first request on a connection that there is no place for
LAST_READS = 500 * MS  # for what lies unread once nothing is open on a connection that finishes
LINGER = 0.04  # s between our end and the close; one with bytes unread resets, which may drop answers
CROSSED = 50 * MS  # after its last message a client may have sent another that has not come yet
CROSSING = 5 * MS  # until an answer has reached a client: to whoever wrote before, its task was still open
FIRST = 2_000 * MS  # for the first whole message, and for the rest of one that has begun
IDLE = 5_000 * MS  # clients close after 4 s themselves
SLOW = 2_500 * MS  # a client that reads nothing, or that the machine sends nothing to, for so long has left
SWEEP = 250 * MS
READ, READS = 262_144, 4  # bytes of one read between two turns of the loop, and how many follow each other
LAST_TURNS = 16  # of so many reads, for a client that never pauses as the node ends


class Client(asyncio.Protocol):
    """One connection."""

    def __init__(self, door: Door, unread_ns: int = 0) -> None:
        """For `unread_ns` something has waited on it to be read."""
        self.door = door
        self.transport: Any = None
        self.sender: Sender
        self.frames = rpc.Frames()
        self.open: dict[int, Held] = {}
        self.counted: list[int] = []  # until when each task counts as open that is so no more here
        self.last = 0  # number
        self.errors = 0
        self.spoke = False  # a message that was taken
        self.read = self.begun = self.stuck = 0  # when: last message, the partial one, reading stopped
        # the earliest arrival of bytes that may still be unread: of a full read's rest, or of the backlog
        self.arrived = door.dispatcher.clock() - unread_ns if unread_ns else 0
        self.finishing = self.answered = 0  # since when: it is to end; then nothing was open any more
        self.ends_after = 0  # and not before
        self.is_reading = False  # messages of one read are being processed
        self.answered_now: set[int] = set()  # numbers answered meanwhile
        self.is_unreadable = False  # where a message begins is not known any more
        self.over = False

    # -- the event loop's side

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(UNREAD)
        self.sender = Sender(transport, UNREAD, SLOW / 1e9, self.pause_writing, self.resume_writing)
        self.read = self.door.dispatcher.clock()
        self.door.joined(self)

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.is_reading = True
        try:
            self._read(data, self.door.dispatcher.clock())
        except Exception as error:
            self.door.dispatcher.fault(error)
            self.is_unreadable = True
            self.finish()
        finally:
            self.is_reading = False
            self.answered_now.clear()
        self.end_if_finished()

    def _read(self, data: bytes, now: int) -> None:
        if self.is_unreadable:
            return
        bad: rpc.BadFrame | None = None
        try:
            messages = self.frames.feed(data)
        except rpc.BadFrame as error:
            messages, bad = error.done, error
        self.door.heard(self, messages, self._arrival(now, len(data)))
        if messages:
            self.read = now
        if not self.frames.partial:
            self.begun = 0
        elif messages or not self.begun:
            self.begun = now
        if bad is not None:
            self.write(rpc.error(None, rpc.INVALID, bad.detail))
            self.is_unreadable = True
            self.finish()

    def _arrival(self, now: int, size: int) -> int:
        """The earliest moment at which what is read now may have arrived."""
        arrival = self.door.dispatcher.lag.earliest_arrival(now)
        if self.arrived:
            arrival = min(arrival, self.arrived)
        self.arrived = arrival if size >= FULL_READ else 0
        return arrival

    def eof_received(self) -> None:
        """Whoever closes, or half of it, has left: now, and not once all that was written has gone out."""
        self.close()

    def connection_lost(self, _error: Exception | None) -> None:
        self.over = True
        self.door.left(self)
        self.door.closing.pop(self, None)
        self.door.place_freed()

    def pause_writing(self) -> None:
        """It goes on being read: that it takes a task back, or leaves, stands there."""
        self.stuck = self.door.dispatcher.clock()
        if self.finishing and not self.over:
            self._pause_reading()

    def resume_writing(self) -> None:
        self.stuck = 0
        if self.finishing and not self.over:
            self.transport.resume_reading()

    # -- the link's, before an attempt of its leaves

    def pending(self) -> Pending:
        return Pending.END if self.over else sockets.pending(self.transport)

    def read_pending(self) -> bool:
        """The event loop finds the socket empty, or ended, when it comes to it. What a client that reads
        nothing asks for beyond the bound stays unread, as there is no room for the answers."""
        try:
            for _ in range(READS):
                if self.pending() is not Pending.BYTES or (self.stuck and self.finishing):
                    break
                data = os.read(sockets.descriptor(self.transport), READ)
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
        found = self.pending()
        if found is Pending.END:
            self.close()
        return found is not Pending.BYTES

    def leave(self, held: Held) -> None:
        self.close()
        self.door.leave(held)  # one that is being taken is not among the open ones yet

    # -- ours

    def write(self, data: bytes) -> None:
        if not self.over and not self.transport.is_closing():
            self.sender.write(data)

    def answer(self, number: int, data: bytes) -> None:
        """The one answer to the request of this number."""
        if self.is_reading:
            self.answered_now.add(number)
        self.write(data)

    def close(self) -> None:
        """What was written leaves; what is open has no client any more."""
        if not self.over:
            self._mark_over()
            self.sender.after_writes(self.transport.close)

    def _mark_over(self) -> None:
        self.over = True
        self.door.closing[self] = self.door.dispatcher.clock()
        self.door.left(self)

    def finish(self, newcomer: bool = False) -> None:
        """Ends it once all that is read from it has its answer; nothing new is taken. A newcomer's first
        request may be on its way."""
        if self.finishing or self.over:
            return
        self.finishing = self.door.dispatcher.clock()
        if self.stuck:
            self._pause_reading()
        if newcomer:
            self.ends_after = self.finishing + NEWCOMER
            asyncio.get_running_loop().call_later(NEWCOMER / 1e9, self.end_if_finished)

    def end_if_finished(self) -> None:
        """Whether anything is open or unread on a connection that finishes; if not, it ends."""
        if not self.finishing or self.over or self.open or self.is_reading:
            return
        now = self.door.dispatcher.clock()
        self.answered = self.answered or now
        is_owed = not self.is_unreadable and self.pending() is Pending.BYTES
        if is_owed and now - self.answered <= LAST_READS:
            return  # it is read in the next turn
        if now >= self.ends_after:
            self.end()

    def end(self) -> None:
        """Tells the client of the end, and closes a moment later: by then it has read its answers."""
        if self.over:
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
        asyncio.get_running_loop().call_later(LINGER, self.transport.close)

    def _pause_reading(self) -> None:
        if self.transport.is_reading():
            self.transport.pause_reading()

    def is_quiet(self, now: int) -> bool:
        """Nothing is open, on its way in or out, or unread, and nothing was read just before."""
        if self.open or self.stuck or now - self.read <= CROSSED:
            return False
        if self.begun and now - self.begun <= LAST_READS:
            return False
        return not readable(self.transport)

    def idle(self, now: int) -> bool:
        if self.open or self.finishing:
            return False
        if self.stuck:
            return now - self.stuck > SLOW
        if self.begun:
            return now - self.begun > FIRST
        if now - self.read <= (IDLE if self.spoke else FIRST):
            return False
        return not readable(self.transport)  # a task that came as this turn began is read in it

    def counts(self, now: int) -> int:
        """Tasks that are open to the client, or cost the runners as much."""
        self.counted = [until for until in self.counted if until > now]
        return len(self.open) + len(self.counted)


class Door:
    def __init__(self, dispatcher: Dispatcher, connections: int, tasks: int, held_bytes: int) -> None:
        """At most so many connections, tasks held and bytes of their bodies."""
        self.dispatcher = dispatcher
        self.connections, self.tasks, self.held_bytes = connections, tasks, held_bytes
        self.wait = dispatcher.about.settings.retry_after_limit_ns // MS
        self.clients: dict[Client, None] = {}  # the oldest first
        self.ids: dict[str, Held] = {}  # of the tasks open here
        self.spent: dict[str, None] = {}  # ids of tasks that are over, the oldest first
        self.closing: dict[Client, int] = {}  # what was written to them has yet to leave; since when
        self.place_freed: Callable[[], None] = lambda: None  # the listener's: a connection has ended
        self.takes_nothing = False  # the node stops too soon for what comes now

    async def run(self) -> None:
        """Until cancelled: ends what stands too long."""
        while True:
            await anyio.sleep(SWEEP / 1e9)
            self.sweep()

    def sweep(self) -> None:
        now = self.dispatcher.clock()
        for client in [c for c in self.clients if c.idle(now)]:
            client.close()
        for client in [c for c in self.clients if c.finishing]:
            client.end_if_finished()
        patience = SLOW if self.descriptors() < self.connections else SWEEP
        for client in [c for c, since in self.closing.items() if now - since > patience]:
            client.transport.abort()

    def descriptors(self) -> int:
        """That clients hold, those whose connections are being closed among them."""
        return len(self.clients) + len(self.closing)

    def joined(self, client: Client) -> None:
        """A place for everyone who speaks: the oldest that never did gives way, else the longest idle, else
        the new one."""
        self.clients[client] = None
        if len(self.clients) <= self.connections:
            return
        others = [c for c in self.clients if c is not client and not c.open and not c.finishing]
        silent = [c for c in others if not c.spoke]
        idle = sorted((c for c in others if c.spoke), key=lambda c: c.read)
        # asked one by one until one gives way: all of them would cost more than the connection does
        gives_way = next((c for c in (*silent, *idle) if not readable(c.transport)), None)
        if gives_way is not None:
            gives_way.close()
        else:
            client.finish(newcomer=True)
        self.dispatcher.counts["client", "no place"] += 1

    def take_nothing_more(self) -> None:
        """As the node stops: what comes now could not be answered by a worker before the end."""
        self.takes_nothing = True

    def end_quiet_clients(self) -> None:
        """As the node stops: who is between two requests comes again elsewhere."""
        now = self.dispatcher.clock()
        for client in [c for c in self.clients if c.is_quiet(now)]:
            client.end()

    def end_all_clients(self) -> None:
        """At the end of the stop, with nothing open any more: each is read to its end, answered and ended."""
        self.take_nothing_more()
        for client in list(self.clients):
            for _ in range(LAST_TURNS):
                if client.read_pending():
                    break
            client.end()

    def left(self, client: Client) -> None:
        self.clients.pop(client, None)
        for held in list(client.open.values()):
            self.leave(held)
        client.open.clear()

    def leave(self, held: Held) -> None:
        """Its client waits for it no more."""
        if held.final is not None:
            return
        held.done = held.content = None
        self._spend(held.wanted.id)
        held.end(Final.LEFT)
        self.dispatcher.later(self.dispatcher.over, held)

    def _spend(self, id: str) -> None:
        """An id is new with every task. Hundreds under one would count as taken, and make room for orders."""
        self.ids.pop(id, None)
        self.spent[id] = None
        if len(self.spent) > self.tasks:
            del self.spent[next(iter(self.spent))]

    def heard(self, client: Client, messages: list[bytes], arrived: int) -> None:
        """One read, of what may have arrived at `arrived`. What is taken back in the read that it came in is
        not taken at all."""
        now = self.dispatcher.clock()
        calls = [self._read(message) for message in messages]
        for call in calls:  # first: what is taken in this read may bring further attempts of what is open
            if isinstance(call, Call) and call.method == "abort":
                self._abort(client, call.about, now)
        back: set[int | str | None] = set()
        over: set[int] = set()  # places in `calls`
        for at in range(len(calls) - 1, -1, -1):
            call = calls[at]
            if isinstance(call, BadCall):
                continue
            if call.method == "abort":
                back.add(call.about)
            elif call.number in back or call.id in back:
                over.add(at)
        for at, call in enumerate(calls):
            if client.over:
                return
            try:
                if isinstance(call, BadCall):
                    raise call
                self._heard(client, call, now, arrived, at in over)
                client.spoke = True
            except BadCall as error:
                self._refuse(client, error)
            except Exception as error:
                self._failed(client, call, error)

    def _read(self, message: bytes) -> Call | BadCall:
        try:
            return rpc.read(message)
        except BadCall as error:
            return error
        except Exception as error:
            self.dispatcher.fault(error)
            return rpc.unread(message)

    def _failed(self, client: Client, call: Call | BadCall, error: Exception) -> None:
        """A fault of ours on one message: it has its answer all the same, and costs no other anything."""
        self.dispatcher.fault(error)
        number = call.number
        if number is None or number in client.open or number in client.answered_now:
            return
        if isinstance(call, Call) and call.method == "abort":
            return
        client.answer(number, rpc.error(number, rpc.FAILED, "a fault of the dispatcher"))

    def _heard(self, client: Client, call: Call, now: int, arrived: int, over: bool) -> None:
        if call.method == "abort":
            self._abort(client, call.about, now)
        elif call.method == "ping":
            client.write(rpc.up(call.number, self.dispatcher.listed.is_set()))
        else:
            self._take(client, call, now, arrived, over)
        if client.stuck and call.method != "abort":
            client.errors += 1  # whoever asks for ever more and reads nothing
            if client.errors > ERRORS:
                client.finish()

    def _refuse(self, client: Client, error: BadCall) -> None:
        self.dispatcher.counts["refused", str(error.code)] += 1
        client.errors += 1
        number = error.number
        if number is not None and number in client.open:
            number = None  # its one answer is still to come
        refusal = rpc.error(number, error.code, error.detail)
        if number is None:
            client.write(refusal)
        else:
            client.answer(number, refusal)
        if number is None or client.errors > ERRORS:
            client.finish()

    def _abort(self, client: Client, about: int | str | None, now: int) -> None:
        """No answer is owed for it, nor for the task. Its runner may be at it for a while: until then it
        counts as open, or hundreds that are taken back at once would get hundreds of hand-offs."""
        for number, held in client.open.items():
            if about in (number, held.wanted.id):
                del client.open[number]
                if held.task is not None and held.task.attempts:
                    client.counted.append(now + held.task.request_class.latency_objective_ns)
                self.leave(held)
                return

    def _take(self, client: Client, call: Call, now: int, arrived: int, over: bool) -> None:
        dispatcher, number = self.dispatcher, call.number
        assert number is not None
        if number <= client.last:
            raise BadCall(rpc.INVALID, "a number that was used before")
        client.last = number
        if call.method not in dispatcher.offerings:
            raise BadCall(rpc.NO_METHOD, "no such method", number)
        if dispatcher.customers and call.tenant not in dispatcher.customers:
            raise BadCall(rpc.PARAMS, "tenant: no such tenant", number)
        if call.id in self.ids:
            raise BadCall(rpc.PARAMS, "id: of a request that is open", number)
        if call.id in self.spent:
            raise BadCall(rpc.PARAMS, "id: of a request that was answered", number)
        if over:
            self._spend(call.id)
            return
        size = len(call.blob)
        if (
            self.takes_nothing
            or client.finishing
            or client.stuck
            or client.counts(now) >= OPEN
            or len(dispatcher.held) >= self.tasks
            or dispatcher.bytes + size > self.held_bytes
        ):
            dispatcher.counts["final", Final.TURNED_BACK.value] += 1
            client.answer(number, rpc.error(number, rpc.TURNED_BACK, "too much is open", self.wait))
            return
        about = call.lanes, call.memory_mb, call.cost, call.wait, call.again, call.id
        wanted = Wanted(call.method, call.key, call.tenant, *about)

        def done(held: Held) -> None:
            client.open.pop(number, None)
            client.counted.append(dispatcher.clock() + CROSSING)
            self._spend(call.id)
            client.answer(number, answer(number, held))
            if client.finishing:  # in the next turn: this may be in the middle of a decision
                asyncio.get_running_loop().call_soon(client.end_if_finished)
            held.content = held.answer = (
                None  # a task and its hand-offs hold each other until they are collected
            )
            dispatcher.later(dispatcher.over, held)

        # an answer may come before `take` has returned
        held = dispatcher.take(wanted, arrived, call, size, done=done, client=client)
        if held.final is None:
            client.open[number] = held
            self.ids[call.id] = held


def answer(number: int, held: Held) -> bytes:
    if held.final is Final.SATISFIED:
        return rpc.result(number, held.answer)
    if held.final is Final.TURNED_BACK:
        return rpc.error(number, rpc.TURNED_BACK, held.why or "no runner may take it now", held.wait // MS)
    return rpc.error(number, rpc.FAILED, held.why or "no runner had an answer")

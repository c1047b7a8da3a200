"""The door for JSON-RPC clients: a message in, one final answer out. No decisions.

What a client gets that keeps no form is an error, or the end of its connection; it costs the others nothing.
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

OPEN = 32  # tasks of one connection, by the protocol
ERRORS = 16  # of one connection, then it ends
UNREAD = 262_144  # bytes that wait for a client; beyond, no task is taken from it
MS = 1_000_000
CROSSING = 5 * MS  # until an answer has reached a client: to whoever wrote before, its task was still open
FIRST = 2_000 * MS  # for the first whole message, and for the rest of one that has begun
IDLE = 5_000 * MS  # clients close after 4 s themselves
SLOW = 2_500 * MS  # a client that reads nothing for so long has left
SWEEP = 250 * MS
READ, READS = 262_144, 4  # bytes of one read between two turns of the loop, and how many follow each other


class Client(asyncio.Protocol):
    """One connection."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.transport: Any = None
        self.frames = rpc.Frames()
        self.open: dict[int, Held] = {}
        self.counted: list[int] = []  # until when each task counts as open that is so no more here
        self.last = 0  # number
        self.errors = 0
        self.spoke = False  # a message that was taken
        self.read = self.begun = self.stuck = 0  # when: last message, the partial one, reading stopped
        self.over = False

    # -- the event loop's side

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(UNREAD)
        self.read = self.door.dispatcher.clock()
        self.door.joined(self)

    def data_received(self, data: bytes) -> None:
        now = self.door.dispatcher.clock()
        bad: rpc.BadFrame | None = None
        try:
            messages = self.frames.feed(data)
        except rpc.BadFrame as error:
            messages, bad = error.done, error
        self.door.heard(self, messages, now)
        if messages:
            self.read = now
        if not self.frames.partial:
            self.begun = 0
        elif messages or not self.begun:
            self.begun = now
        if bad is not None and not self.over:
            self.write(rpc.error(None, rpc.INVALID, bad.detail))
            self.close()

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

    def resume_writing(self) -> None:
        self.stuck = 0

    # -- the link's, before an attempt of its leaves

    def pending(self) -> Pending:
        return Pending.END if self.over else sockets.pending(self.transport)

    def read_pending(self) -> None:
        """The event loop finds the socket empty, or ended, when it comes to it."""
        try:
            for _ in range(READS):
                if self.pending() is not Pending.BYTES:
                    break
                data = os.read(sockets.descriptor(self.transport), READ)
                if not data:
                    self.close()
                    return
                self.data_received(data)
        except BlockingIOError:
            return
        except OSError:
            self.close()
        except Exception as error:
            self.door.dispatcher.fault(error)
            self.close()
        if self.pending() is Pending.END:
            self.close()

    def leave(self, held: Held) -> None:
        self.close()
        self.door.leave(held)  # one that is being taken is not among the open ones yet

    # -- ours

    def write(self, data: bytes) -> None:
        if not self.over:
            self.transport.write(data)

    def close(self) -> None:
        """What was written leaves; what is open has no client any more."""
        if not self.over:
            self.over = True
            self.door.closing[self] = self.door.dispatcher.clock()
            self.transport.close()
            self.door.left(self)

    def idle(self, now: int) -> bool:
        if self.stuck:
            return now - self.stuck > SLOW
        if self.open:
            return False
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

    async def run(self) -> None:
        """Until cancelled: ends what stands too long."""
        while True:
            await anyio.sleep(SWEEP / 1e9)
            self.sweep()

    def sweep(self) -> None:
        now = self.dispatcher.clock()
        for client in [c for c in self.clients if c.idle(now)]:
            client.close()
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
        others = [c for c in self.clients if c is not client and not c.open]
        silent = [c for c in others if not c.spoke]
        idle = sorted((c for c in others if c.spoke), key=lambda c: c.read)
        # asked one by one until one gives way: all of them would cost more than the connection does
        next((c for c in (*silent, *idle) if not readable(c.transport)), client).close()
        self.dispatcher.counts["client", "no place"] += 1

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

    def heard(self, client: Client, messages: list[bytes], now: int) -> None:
        """One read. What is taken back in the read that it came in is not taken at all."""
        calls: list[Call | BadCall] = []
        for message in messages:
            try:
                calls.append(rpc.read(message))
            except BadCall as error:
                calls.append(error)
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
                self._heard(client, call, now, at in over)
                client.spoke = True
            except BadCall as error:
                self._refuse(client, error)

    def _heard(self, client: Client, call: Call, now: int, over: bool) -> None:
        if call.method == "abort":
            self._abort(client, call.about, now)
        elif call.method == "ping":
            client.write(rpc.up(call.number, self.dispatcher.listed.is_set()))
        else:
            self._take(client, call, now, over)
        if client.stuck and call.method != "abort":
            client.errors += 1  # whoever asks for ever more and reads nothing
            if client.errors > ERRORS:
                client.close()

    def _refuse(self, client: Client, error: BadCall) -> None:
        self.dispatcher.counts["refused", str(error.code)] += 1
        client.errors += 1
        number = error.number
        if number is not None and number in client.open:
            number = None  # its one answer is still to come
        client.write(rpc.error(number, error.code, error.detail))
        if number is None or client.errors > ERRORS:
            client.close()

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

    def _take(self, client: Client, call: Call, now: int, over: bool) -> None:
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
            client.stuck
            or client.counts(now) >= OPEN
            or len(dispatcher.held) >= self.tasks
            or dispatcher.bytes + size > self.held_bytes
        ):
            dispatcher.counts["final", Final.TURNED_BACK.value] += 1
            client.write(rpc.error(number, rpc.TURNED_BACK, "too much is open", self.wait))
            return
        about = call.lanes, call.memory_mb, call.cost, call.wait, call.again, call.id
        wanted = Wanted(call.method, call.key, call.tenant, *about)

        def done(held: Held) -> None:
            client.open.pop(number, None)
            client.counted.append(dispatcher.clock() + CROSSING)
            self._spend(call.id)
            client.write(answer(number, held))
            held.content = held.answer = (
                None  # a task and its hand-offs hold each other until they are collected
            )
            dispatcher.later(dispatcher.over, held)

        # an answer may come before `take` has returned
        held = dispatcher.take(wanted, now, call, size, done=done, client=client)
        if held.final is None:
            client.open[number] = held
            self.ids[call.id] = held


def answer(number: int, held: Held) -> bytes:
    if held.final is Final.SATISFIED:
        return rpc.result(number, held.answer)
    if held.final is Final.TURNED_BACK:
        return rpc.error(number, rpc.TURNED_BACK, held.why or "no runner may take it now", held.wait // MS)
    return rpc.error(number, rpc.FAILED, held.why or "no runner had an answer")

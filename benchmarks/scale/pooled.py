"""A hollow dispatcher whose link is the node's own, with the node's rules on connections, in virtual time.

`RunnerLink` and `Conn` decide which connection a line leaves on, when a new one is made, and when one is
closed. The event loop's part is replaced: connections come up after a round trip, what is written is kept for
the simulation, and time-outs are run when the virtual clock comes to them. No socket is opened.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

import msgspec

from benchmarks.scale import discovery
from benchmarks.scale.hollow import (
    BODY_BASE64,
    CALL_COST_SECONDS,
    Call,
    HollowDispatcher,
    LinkCounts,
    function_name,
    function_number,
)
from benchmarks.scale.meter import Activity, Meter
from benchmarks.scale.simulation import NEVER, Event, Simulation
from benchmarks.scale.workers import Instance, Met
from martenlead.edge.records import IncomingRequest, PendingRequest
from martenlead.node import client_protocol as rpc
from martenlead.node import config
from martenlead.node.call_timeouts import CallTimeouts
from martenlead.node.serve import RESERVED_DESCRIPTORS
from martenlead.node.upstream_connection import UpstreamConnection
from martenlead.node.worker_client import WorkerClient


@dataclass(slots=True)
class Written:
    """A line that was written to a worker."""

    conn: UpstreamConnection
    txn: str
    worker: int
    function: int


class VirtualTransport:
    """What a connection writes to, once it is up."""

    def __init__(self, link: PooledLink, conn: UpstreamConnection) -> None:
        self.link, self.conn = link, conn
        self.closed = False

    def write(self, line: bytes) -> None:
        if not self.closed:
            self.link.written.append((self.conn, line))

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.link.open_connections -= 1

    def get_extra_info(self, _name: str) -> None:
        """There is no socket: nothing can wait on it unread."""

    def set_write_buffer_limits(self, _high: int) -> None:
        """The machine takes each line at once."""


class ConnectionsWanted:
    """In place of the link's task group: it is asked for nothing but to make connections."""

    def __init__(self, link: PooledLink) -> None:
        self.link = link

    def start_soon(self, _connect: Callable[..., Any], conn: UpstreamConnection) -> None:
        conn.pool.connections_opened += 1
        self.link.count_connection()
        self.link.connecting.append(conn)


class UnscheduledTimeouts(CallTimeouts):
    """Time-outs without a timer: the simulation asks for the next one after each event."""

    def schedule(self) -> None:
        """Sets no timer."""


class PooledLink(WorkerClient):
    """The node's link; the simulation carries its lines and runs its time-outs."""

    def __init__(self, told: config.NodeConfig, sockets: int, clock: Callable[[], int]) -> None:
        """`sockets` is the dispatcher's limit on descriptors, shared out as the node does."""
        soft = {
            name: offering.latency_objective_ns
            for name, offering in told.dispatcher_settings.request_classes.items()
        }
        super().__init__(told.connection_settings, max(16, sockets - RESERVED_DESCRIPTORS) // 2, soft, clock)
        self._task_group: Any = ConnectionsWanted(self)
        self._timeouts = UnscheduledTimeouts(clock, self._expire)
        self.counts = LinkCounts()
        self.connecting: list[UpstreamConnection] = []
        self.connections_made = 0
        self.open_connections = self.most_connections = 0  # one that is given up as it comes up, until then
        self.written: list[tuple[UpstreamConnection, bytes]] = []
        self.attempts: list[Written] = []
        self.loads: list[Written] = []

    def due(self) -> int | None:
        """When the next time-out is."""
        return self._timeouts.next_due_ns()

    def expire(self) -> None:
        """Runs the time-outs that are due."""
        self._timeouts.expire_due()

    def count_connection(self) -> None:
        """One more is being made."""
        self.connections_made += 1
        self.open_connections += 1
        self.most_connections = max(self.most_connections, self.open_connections)

    def sort_written(self) -> None:
        """What was written since, by what it is."""
        lines, self.written = self.written, []
        for conn, line in lines:
            told = msgspec.json.decode(line)
            worker = int(IPv4Address(conn.pool.host)) - discovery.FIRST_ADDRESS
            if told["m"] == "UNDO":
                self.counts.cancels += 1
                continue
            function = function_number(told["props"]["name"])
            sent = Written(conn, told["txn"], worker, function)
            if told["m"] == "DO":
                self.counts.attempts += 1
                self.attempts.append(sent)
            else:
                self.counts.loads += 1
                self.loads.append(sent)


class PooledDispatcher(HollowDispatcher):
    """A hollow dispatcher with the node's link."""

    def __init__(self, told: config.NodeConfig, clock: Callable[[], int], meter: Meter, sockets: int) -> None:
        """`sockets` is its limit on descriptors."""
        self.sockets = sockets
        self.open_calls: dict[str, Call] = {}
        self.link_armed = NEVER  # when the simulation runs the link's time-outs next
        super().__init__(told, clock, meter)

    def make_link(self, told: config.NodeConfig, clock: Callable[[], int]) -> Any:
        return PooledLink(told, self.sockets, clock)

    def take(self, call: Call) -> None:
        name = function_name(call.function)
        self.open_calls[call.id] = call
        done = call.done

        def over(held: PendingRequest) -> None:
            self.open_calls.pop(call.id, None)
            if done is not None:
                done(held)

        with self.meter.measure(Activity.SERVING):
            message = rpc.Call(
                None,
                discovery.REQUEST_CLASS,
                call.id,
                0,
                None,
                False,
                None,
                name,
                CALL_COST_SECONDS,
                4,
                discovery.FUNCTION_MEMORY_MB,
                BODY_BASE64,
            )
            wanted = IncomingRequest(
                discovery.REQUEST_CLASS,
                name,
                None,
                4,
                discovery.FUNCTION_MEMORY_MB,
                CALL_COST_SECONDS,
                None,
                False,
                call.id,
                call.id,
            )
            self.dispatcher.accept(wanted, call.arrived, message, len(BODY_BASE64), on_outcome=over)
            self.dispatcher.defer(_nothing)

    def connected(self, conn: UpstreamConnection) -> None:
        """The connection is up."""
        with self.meter.measure(Activity.SERVING):
            conn.connection_made(VirtualTransport(self.link, conn))

    def heard(self, sent: Written, line: bytes, activity: Activity) -> None:
        """A line of a worker arrives, unless its connection has ended."""
        if sent.conn.transport.is_closing():
            return
        with self.meter.measure(activity):
            sent.conn.data_received(line + b"\n")

    def maintain(self) -> None:
        """The link's periodic look for idle connections."""
        with self.meter.measure(Activity.TIMERS):
            self.link.close_idle_connections()


class PooledSimulation(Simulation):
    """Carries lines over the link's connections."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._handlers[Event.CONNECTED] = self._connected

    def carry_from(self, number: int) -> None:
        """Carries what a dispatcher has sent outside of an event."""
        self._after(number)

    def _after(self, number: int) -> None:
        dispatcher: Any = self.dispatchers[number]
        link: PooledLink = dispatcher.link
        if link.connecting:
            connecting, link.connecting = link.connecting, []
            for conn in connecting:
                worker = int(IPv4Address(conn.pool.host)) - discovery.FIRST_ADDRESS
                self._push(self.now + self.workers.round_trip(number, worker), Event.CONNECTED, number, conn)
        link.sort_written()
        super()._after(number)
        due = link.due()
        if due is not None and due < dispatcher.link_armed:
            dispatcher.link_armed = due
            self._push(max(due, self.now), Event.EXPIRES, number, due)

    def _connected(self, number: int, conn: UpstreamConnection) -> None:
        dispatcher: Any = self.dispatchers[number]
        dispatcher.connected(conn)

    def _attempt_arrives(self, number: int, sent: Any) -> None:
        met, delay, instance = self.workers.call(sent.worker, sent.function, self.now)
        self._push(self.now + delay, Event.ANSWER_LEAVES, -1, (number, sent, met, instance))

    def _answer_leaves(self, _none: int, about: tuple[int, Any, Met, Instance | None]) -> None:
        number, sent, met, instance = about
        if instance is not None:
            self.workers.release(instance, self.now)
        half = self.workers.round_trip(number, sent.worker) // 2
        self._push(self.now + half, Event.ANSWER_ARRIVES, number, (sent, met))

    def _answer_arrives(self, number: int, about: tuple[Any, Met]) -> None:
        sent, met = about
        dispatcher: Any = self.dispatchers[number]
        call = dispatcher.open_calls.get(sent.txn)
        if call is not None:
            call.cold = met in (Met.BEGAN_LOAD, Met.WAITED_FOR_LOAD)
        word = b"WAIT" if met is Met.NO_ROOM else b"DONE"
        line = b'{"m":"%b","txn":"%b","props":{"why":"%b"},"raw":"eyJ5IjoxfQ=="}' % (
            word,
            sent.txn.encode(),
            met.value.encode(),
        )
        dispatcher.heard(sent, line, Activity.SERVING)

    def _load_ends(self, number: int, about: tuple[Any, bool]) -> None:
        sent, stands = about
        word, instances = (b"DONE", 1) if stands else (b"WAIT", 0)
        line = b'{"m":"%b","txn":"%b","props":{"instances":%d}}' % (word, sent.txn.encode(), instances)
        dispatcher: Any = self.dispatchers[number]
        dispatcher.heard(sent, line, Activity.LOAD_REQUESTS)

    def _expires(self, number: int, due: Any) -> None:
        dispatcher: Any = self.dispatchers[number]
        if dispatcher.link_armed == due:
            dispatcher.link_armed = NEVER
            with dispatcher.meter.measure(Activity.TIMERS):
                dispatcher.link.expire()


def _nothing() -> None:
    """The dispatcher runs what is due behind it."""

"""A hollow dispatcher with the node's own link and its rules for connections, in virtual time.

`WorkerClient` and `UpstreamConnection` decide which connection a line is sent on, when a new one is opened,
and when one is closed. The event loop is replaced: connections are established after a round trip, written
lines are queued for the simulation, and time-outs run when the virtual clock reaches them. No socket is
opened.
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
    """The transport of an established connection; it queues lines for the simulation."""

    def __init__(self, link: PooledLink, conn: UpstreamConnection) -> None:
        self.link, self.conn = link, conn
        self.closed = False

    def write(self, line: bytes) -> None:
        """Queues a line, unless the connection is closed."""
        if not self.closed:
            self.link.written.append((self.conn, line))

    def is_closing(self) -> bool:
        """Whether the connection is closed."""
        return self.closed

    def abort(self) -> None:
        """Closes the connection."""
        self.close()

    def close(self) -> None:
        """Closes the connection."""
        if not self.closed:
            self.closed = True
            self.link.open_connections -= 1

    def get_extra_info(self, _name: str) -> None:
        """Returns None, as there is no socket with unread data."""

    def set_write_buffer_limits(self, _high: int) -> None:
        """Does nothing, as each line is accepted at once."""


class ConnectionOpener:
    """Replaces the link's task group, which is only used to open connections."""

    def __init__(self, link: PooledLink) -> None:
        self.link = link

    def start_soon(self, _connect: Callable[..., Any], conn: UpstreamConnection) -> None:
        """Queues a connection that the simulation establishes after a round trip."""
        conn.pool.connections_opened += 1
        self.link.count_connection()
        self.link.connecting.append(conn)


class UnscheduledTimeouts(CallTimeouts):
    """Time-outs without a timer: the simulation checks the next one after each event."""

    def schedule(self) -> None:
        """Sets no timer."""


class PooledLink(WorkerClient):
    """The node's link; the simulation delivers its lines and runs its time-outs."""

    def __init__(self, node_config: config.NodeConfig, sockets: int, clock: Callable[[], int]) -> None:
        """`sockets` is the dispatcher's limit on descriptors, allocated as the node does."""
        latency_objectives_ns = {
            name: request_class.latency_objective_ns
            for name, request_class in node_config.dispatcher_settings.request_classes.items()
        }
        super().__init__(
            node_config.connection_settings,
            max(16, sockets - RESERVED_DESCRIPTORS) // 2,
            latency_objectives_ns,
            clock,
        )
        self._task_group: Any = ConnectionOpener(self)
        self._timeouts = UnscheduledTimeouts(clock, self._expire)
        self.counts = LinkCounts()
        self.connecting: list[UpstreamConnection] = []
        self.connections_made = 0
        # A connection that is abandoned while it is being established counts as open until it is established.
        self.open_connections = self.peak_connections = 0
        self.written: list[tuple[UpstreamConnection, bytes]] = []
        self.attempts: list[Written] = []
        self.loads: list[Written] = []

    def due(self) -> int | None:
        """Returns the time of the next time-out, None if there is none."""
        return self._timeouts.next_due_ns()

    def expire(self) -> None:
        """Runs the time-outs that are due."""
        self._timeouts.expire_due()

    def count_connection(self) -> None:
        """Counts a connection that is being established."""
        self.connections_made += 1
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)

    def sort_written(self) -> None:
        """Sorts the lines written since the last call into attempts, load requests and cancellations."""
        lines, self.written = self.written, []
        for conn, line in lines:
            message = msgspec.json.decode(line)
            worker = int(IPv4Address(conn.pool.host)) - discovery.FIRST_ADDRESS
            if message["m"] == "UNDO":
                self.counts.cancels += 1
                continue
            function = function_number(message["props"]["name"])
            sent = Written(conn, message["txn"], worker, function)
            if message["m"] == "DO":
                self.counts.attempts += 1
                self.attempts.append(sent)
            else:
                self.counts.loads += 1
                self.loads.append(sent)


class PooledDispatcher(HollowDispatcher):
    """A hollow dispatcher with the node's link."""

    def __init__(
        self, node_config: config.NodeConfig, clock: Callable[[], int], meter: Meter, sockets: int
    ) -> None:
        """`sockets` is the limit on descriptors."""
        self.sockets = sockets
        self.open_calls: dict[str, Call] = {}
        self.link_armed = NEVER  # When the simulation next runs the link's time-outs.
        super().__init__(node_config, clock, meter)

    def make_link(self, node_config: config.NodeConfig, clock: Callable[[], int]) -> Any:
        """Creates the node's link."""
        return PooledLink(node_config, self.sockets, clock)

    def accept_call(self, call: Call) -> None:
        """Accepts the call of a client."""
        name = function_name(call.function)
        self.open_calls[call.id] = call
        done = call.done

        def call_finished(request: PendingRequest) -> None:
            """Removes the call and passes on its outcome."""
            self.open_calls.pop(call.id, None)
            if done is not None:
                done(request)

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
            incoming = IncomingRequest(
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
            self.dispatcher.accept(
                incoming, call.arrived, message, len(BODY_BASE64), on_outcome=call_finished
            )
            self.dispatcher.defer(_nothing)

    def connected(self, conn: UpstreamConnection) -> None:
        """Establishes a connection."""
        with self.meter.measure(Activity.SERVING):
            conn.connection_made(VirtualTransport(self.link, conn))

    def receive_line(self, sent: Written, line: bytes, activity: Activity) -> None:
        """Processes a line of a worker, unless its connection is closed."""
        if sent.conn.transport.is_closing():
            return
        with self.meter.measure(activity):
            sent.conn.data_received(line + b"\n")

    def maintain(self) -> None:
        """Runs the link's periodic check for idle connections."""
        with self.meter.measure(Activity.TIMERS):
            self.link.close_idle_connections()


class PooledSimulation(Simulation):
    """Delivers lines over the link's connections."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._handlers[Event.CONNECTED] = self._connected

    def carry_from(self, number: int) -> None:
        """Delivers what a dispatcher has sent outside of an event."""
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

    def _answer_leaves(self, _none: int, payload: tuple[int, Any, Met, Instance | None]) -> None:
        number, sent, met, instance = payload
        if instance is not None:
            self.workers.release(instance, self.now)
        half = self.workers.round_trip(number, sent.worker) // 2
        self._push(self.now + half, Event.ANSWER_ARRIVES, number, (sent, met))

    def _answer_arrives(self, number: int, payload: tuple[Any, Met]) -> None:
        sent, met = payload
        dispatcher: Any = self.dispatchers[number]
        call = dispatcher.open_calls.get(sent.txn)
        if call is not None:
            call.cold = met in (Met.BEGAN_LOAD, Met.WAITED_FOR_LOAD)
        response_word = b"WAIT" if met is Met.NO_ROOM else b"DONE"
        line = b'{"m":"%b","txn":"%b","props":{"why":"%b"},"raw":"eyJ5IjoxfQ=="}' % (
            response_word,
            sent.txn.encode(),
            met.value.encode(),
        )
        dispatcher.receive_line(sent, line, Activity.SERVING)

    def _load_ends(self, number: int, payload: tuple[Any, bool]) -> None:
        sent, is_loaded = payload
        response_word, instances = (b"DONE", 1) if is_loaded else (b"WAIT", 0)
        line = b'{"m":"%b","txn":"%b","props":{"instances":%d}}' % (
            response_word,
            sent.txn.encode(),
            instances,
        )
        dispatcher: Any = self.dispatchers[number]
        dispatcher.receive_line(sent, line, Activity.LOAD_REQUESTS)

    def _expires(self, number: int, due: Any) -> None:
        dispatcher: Any = self.dispatchers[number]
        if dispatcher.link_armed == due:
            dispatcher.link_armed = NEVER
            with dispatcher.meter.measure(Activity.TIMERS):
                dispatcher.link.expire()


def _nothing() -> None:
    """Deferred so that the dispatcher runs its due work afterwards."""

"""Sends attempts and load requests to workers, several at a time on each of few connections.

Responses are matched to calls by id. Only establishing a connection runs as a task of its own.

A busy event loop learns late that a client has closed its connection or cancelled. So the client's
socket is polled before an attempt is sent. If the client's connection has ended, the attempt is not
sent. If input is pending, it is read first, over as many loop iterations as needed, since it may
hold a cancel.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import anyio
from anyio.abc import TaskGroup

from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import (
    FunctionEntry,
    InFlightAttempt,
    PendingRequest,
    UpstreamWorker,
)
from martenlead.edge.timeouts import time_limit
from martenlead.node.call_timeouts import CallTimeouts
from martenlead.node.client_protocol import Call
from martenlead.node.config import ConnectionSettings
from martenlead.node.connection_pool import ConnectionPool
from martenlead.node.outstanding_call import OutstandingCall, reason_not_to_send
from martenlead.node.upstream_connection import OwningPool, UpstreamConnection
from martenlead.node.worker_protocol import encode_attempt, encode_load_request
from martenlead.policy.types import Result
from martenlead.system.sockets import is_own_shortage
from martenlead.upstream.endpoints import Endpoint
from martenlead.upstream.outcome import UpstreamOutcome

CONNECTIONS_PER_WORKER = 32  # upper limit, however many descriptors are free
SWEEP_INTERVAL_NS = 500_000_000  # interval between checks for idle connections
NS_PER_MS = 1_000_000
# Time per loop iteration to read the input of clients whose attempts wait for that
READ_BUDGET_NS = 5_000_000
# Pause between two such iterations, for all other work
READ_PAUSE_SECONDS = 0.001
TIME_OVER_UNREAD = "the time was over before its client was heard"


class WorkerClient:
    """The dispatcher's client for workers.

    At most `connection_limit` connections are open to all workers together.
    `latency_objectives_ns` is keyed by request class.
    """

    def __init__(
        self,
        settings: ConnectionSettings,
        connection_limit: int,
        latency_objectives_ns: dict[str, int],
        clock: Callable[[], int],
    ) -> None:
        self.settings, self.connection_limit = settings, connection_limit
        self.latency_objectives_ns, self.clock = latency_objectives_ns, clock
        self.dispatcher: Dispatcher
        self.pools: set[OwningPool] = set()
        # Connections of all pools, most of which have none.
        self.connections: set[UpstreamConnection] = set()
        self._task_group: TaskGroup
        # Attempts whose clients' input has to be read first.
        self._deferred: dict[InFlightAttempt, None] = {}
        self._is_deferred_send_scheduled = False
        self._timeouts = CallTimeouts(clock, self._expire)
        self._last_number = 0  # numbers load requests, and calls with a timeout

    def attach(self, dispatcher: Dispatcher) -> None:
        """Sets the dispatcher that outcomes are reported to; must be called first."""
        self.dispatcher = dispatcher

    async def run(self) -> None:
        """Establishes connections and closes idle ones, until cancelled."""
        async with anyio.create_task_group() as self._task_group:
            while True:
                await anyio.sleep(SWEEP_INTERVAL_NS / 1e9)
                self.close_idle_connections()

    # -- connections

    def create_connections(self, endpoint: Endpoint) -> ConnectionPool:
        """Adds the pool of a worker; no connection is opened yet."""
        pool = ConnectionPool(endpoint)
        self.pools.add(pool)
        return pool

    def retire_connections(self, pool: ConnectionPool) -> None:
        """Stops sending calls to a worker that is gone; calls in flight continue."""
        pool.is_retired = True
        for connection in list(pool.connections):
            connection.is_retired = True
            if connection.transport is None:
                connection.close("its runner is gone")  # not established: nothing was sent
            elif not connection.outstanding_calls:
                connection.close()
        if not pool.connections:
            self.pools.discard(pool)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Unregisters a connection that has ended.

        The pool of a worker that is gone is removed with its last connection.
        """
        pool = connection.pool
        self.connections.discard(connection)
        pool.connections.discard(connection)
        if pool.is_retired and not pool.connections:
            self.pools.discard(pool)

    def count_invalid_response(self) -> None:
        """Counts a connection that received an invalid response."""
        self.dispatcher.counts["runner", "spoilt"] += 1

    def close_idle_connections(self) -> None:
        """Closes idle connections well before the worker would.

        A call that is written while the worker closes its side may have run.
        """
        now_ns = self.clock()
        idle_limit_ns = self.settings.idle_timeout_ns // 2
        for connection in list(self.connections):
            if connection.outstanding_calls or connection.transport is None:
                continue
            is_retired = connection.pool.is_retired or connection.is_retired
            if is_retired or now_ns - connection.idle_since_ns > idle_limit_ns:
                connection.close()

    def _choose_connection(
        self, pool: ConnectionPool, used: list[UpstreamConnection]
    ) -> UpstreamConnection | None:
        """Returns an idle connection, a new one while the limit allows it, or the least busy one.

        The connection is not in `used`, and its worker reads what is written.
        """
        now_ns = self.clock()
        idle = pool.find_idle(used, self.settings.idle_timeout_ns // 2, now_ns)
        if idle is not None:
            return idle
        share = max(1, self.connection_limit // max(1, len(self.pools)))
        if len(pool.connections) >= min(CONNECTIONS_PER_WORKER, share) or not self._make_room():
            return pool.find_least_busy(used, self.settings.calls_per_connection, now_ns)
        connection = UpstreamConnection(self, pool)
        pool.connections.add(connection)
        self.connections.add(connection)
        self._task_group.start_soon(self._connect, connection)
        return connection

    def _make_room(self) -> bool:
        """Returns whether another connection may be opened.

        At the limit, the connection that was idle for longest is closed to make room.
        """
        if len(self.connections) < self.connection_limit:
            return True
        idle = [c for c in self.connections if not c.outstanding_calls and c.transport is not None]
        if idle:
            min(idle, key=lambda connection: connection.idle_since_ns).close()
        return bool(idle)

    async def _connect(self, connection: UpstreamConnection) -> None:
        pool = connection.pool
        pool.connections_opened += 1
        loop = asyncio.get_running_loop()
        try:
            with time_limit(self.settings.connect_timeout_ns / 1e9) as scope:
                await loop.create_connection(lambda: connection, pool.host, pool.port)
            if scope.cancelled_caught:
                connection.close("no connection in time")
        except OSError as error:
            if is_own_shortage(error):
                reason = "no descriptor, memory or port for a connection"
                connection.close(reason, Result.NOT_SENT)
            else:
                connection.close("no connection")
        except Exception as error:  # a fault here must not end the task group
            self.dispatcher.record_fault(error)
            connection.close("no connection")

    # -- attempts

    def send_attempt(self, attempt: InFlightAttempt) -> None:
        """Sends an attempt once its client's pending input was read."""
        client = attempt.request.client
        unread = client.peek_input() if client is not None else UnreadInput.NOTHING
        if client is not None and unread is UnreadInput.END:
            client.handle_disconnect(attempt.request)
            self._refuse(attempt, "its client has left")
        elif unread is UnreadInput.BYTES:
            self._defer(attempt)
        else:
            self._send_now(attempt)

    def _refuse(self, attempt: InFlightAttempt, reason: str) -> None:
        self.dispatcher.attempt_ended(attempt, UpstreamOutcome(Result.NOT_SENT, reason=reason))

    def _defer(self, attempt: InFlightAttempt) -> None:
        """Defers an attempt to a later loop iteration.

        No client may be read during a decision or during another read.
        """
        self._deferred[attempt] = None
        if not self._is_deferred_send_scheduled:
            self._is_deferred_send_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_deferred)

    def _send_deferred(self) -> None:
        """Reads the clients of deferred attempts, and sends the attempts whose clients were read.

        An attempt whose client has more input than one iteration reads is queued behind the others,
        until its time is over.
        """
        self._is_deferred_send_scheduled = False
        started_ns = self.clock()
        for attempt in list(self._deferred):
            if self.clock() - started_ns > READ_BUDGET_NS:
                break
            client = attempt.request.client
            is_read = client is None or client.read_unread_input()
            if attempt not in self._deferred:
                continue  # cancelled by the input just read
            del self._deferred[attempt]
            reason = self._reason_after_wait(attempt)
            if reason:
                self._refuse(attempt, reason)
            elif is_read:
                self._send_now(attempt)
            else:
                self._deferred[attempt] = None
        if self._deferred and not self._is_deferred_send_scheduled:
            self._is_deferred_send_scheduled = True
            asyncio.get_running_loop().call_later(READ_PAUSE_SECONDS, self._send_deferred)

    def _reason_after_wait(self, attempt: InFlightAttempt) -> str:
        """Returns why a deferred attempt may no longer be sent, or an empty string."""
        now_ns, decision = self.clock(), attempt.policy_attempt
        reason = reason_not_to_send(attempt.request, attempt.worker, decision.begin_by_ns, now_ns)
        if not reason and now_ns >= decision.sent_ns + decision.timeout_ns:
            return TIME_OVER_UNREAD
        return reason

    def _send_now(self, attempt: InFlightAttempt) -> None:
        decision, request, call = attempt.policy_attempt, attempt.request, attempt.request.content
        assert isinstance(call, Call)
        now_ns = self.clock()
        due_ns = decision.timeout_ns + decision.sent_ns
        if due_ns <= now_ns:
            self._refuse(attempt, "the time was over before it was sent")
            return
        deadline_ns = due_ns
        if request.policy_request is not None:
            deadline_ns = min(due_ns, request.policy_request.deadline_ns)

        outstanding = attempt.link_handle = OutstandingCall(
            call.request_id,
            attempt.worker,
            request,
            due_ns,
            now_ns + self.latency_objectives_ns.get(call.method, 0),
            partial(_encode_attempt, request, deadline_ns),
            partial(self.dispatcher.attempt_ended, attempt),
            decision.begin_by_ns,
        )
        self._send(outstanding, call.used_connections)

    def cancel_attempt(self, attempt: InFlightAttempt) -> None:
        """Cancels an attempt, unless its call has already ended."""
        if attempt in self._deferred:
            del self._deferred[attempt]
            self._refuse(attempt, "called off")
            return
        call: OutstandingCall | None = attempt.link_handle
        if call is None or call.connection is None or not call.is_outstanding():
            return
        may_have_run = call.connection.cancel(call)
        result = Result.CANCELLED if may_have_run else Result.NOT_SENT
        call.on_outcome(UpstreamOutcome(result, reason="called off"))

    def end_overdue_attempts(self) -> None:
        """Ends attempts that are due, in case the event loop runs the timer late."""
        now_ns = self.clock()
        for attempt in list(self._deferred):
            decision = attempt.policy_attempt
            if now_ns >= decision.sent_ns + decision.timeout_ns:
                del self._deferred[attempt]
                self._refuse(attempt, TIME_OVER_UNREAD)
        self._timeouts.expire_due()

    def has_sent(self, attempt: InFlightAttempt) -> bool:
        """Whether a byte of an attempt in flight may have been sent."""
        call: OutstandingCall | None = attempt.link_handle
        return attempt not in self._deferred and call is not None and call.encode_line is None

    # -- load requests

    def send_load_request(
        self,
        worker: UpstreamWorker,
        function: FunctionEntry,
        replicas: int,
        on_outcome: Callable[[UpstreamOutcome], None],
    ) -> None:
        """Sends a load request for `replicas` replicas of a function."""
        self._last_number += 1
        call_id = f"o{self._last_number}"
        due_ns = self.clock() + self.settings.load_timeout_ns

        def encode_line(_written_ns: int) -> bytes:
            """Encodes the load request, which does not depend on the time of writing."""
            return encode_load_request(call_id, function.name, replicas)

        call = OutstandingCall(call_id, worker, None, due_ns, due_ns, encode_line, on_outcome)
        self._send(call, [])

    # -- both

    def _send(self, call: OutstandingCall, used: list[UpstreamConnection]) -> None:
        """Sends a call on a connection not in `used`, the ones its request was sent on before.

        All attempts of a request share one id. On the same connection, a late second response to
        the earlier attempt would be mistaken for the response to the new one.
        """
        connection = self._choose_connection(call.worker.connections, used)
        if connection is None:
            call.on_outcome(UpstreamOutcome(Result.NOT_SENT, reason="all connections are busy"))
            return
        used.append(connection)
        connection.send(call)
        self._last_number += 1
        self._timeouts.add(call, self._last_number)

    def _expire(self, call: OutstandingCall) -> None:
        """Ends a call that has timed out."""
        connection = call.connection
        assert connection is not None
        is_established = connection.transport is not None
        unwritten_result = Result.NOT_SENT if is_established else Result.UNREACHABLE
        may_have_run = connection.cancel(call)
        result = Result.NO_RESPONSE if may_have_run else unwritten_result
        call.on_outcome(UpstreamOutcome(result, reason="no answer in time"))


def _encode_attempt(request: PendingRequest, deadline_ns: int, written_ns: int) -> bytes:
    """Encodes an attempt with the time left when it is written.

    Reads the content from the request, which releases it with its outcome: an attempt that was
    never written may stay in memory until it is garbage-collected. None is written after that.
    """
    call: Call = request.content
    return encode_attempt(
        call.request_id,
        call.method,
        call.function,
        max(1, (deadline_ns - written_ns) // NS_PER_MS),
        call.idempotency_key,
        call.body_base64,
    )

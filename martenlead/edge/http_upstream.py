"""The upstream link to workers over HTTP (docs/protocol.md).

Each attempt or load request is one exchange on a pooled connection, in a task of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from martenlead.config.edge import EdgeSettings, ms_to_ns
from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import FunctionEntry, InFlightAttempt, UpstreamWorker
from martenlead.events import http
from martenlead.events.client import Exchange, Pool, SendProgress
from martenlead.events.head import (
    FieldLines,
    encode_authority,
    encode_field_lines,
    encode_request_head,
)
from martenlead.policy.types import Result
from martenlead.upstream import exchange_classifier, load_requests
from martenlead.upstream.endpoints import Endpoint
from martenlead.upstream.outcome import UpstreamOutcome

REWRITTEN_HEADERS = frozenset({b"ce-timeleftms", b"ce-handoff"})
DRAINING_STATE = b"draining"
IDLE_CHECK_SECONDS = 2.0
UNREAD_CHECK_SECONDS = 0.002
WORKERS_PER_STEP = 64  # between two of them other tasks run
MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000
NS_PER_SECOND = 1e9


@dataclass(slots=True)
class EventContent:
    """An event in binary mode, as it is sent to workers."""

    headers: http.Headers
    body: bytes
    field_lines: FieldLines | None = None  # encoded at the first attempt, the same for all of them


class WorkerConnections:
    """The connections to one worker."""

    def __init__(
        self, endpoint: Endpoint, settings: EdgeSettings, on_stray_response: Callable[[], None]
    ) -> None:
        limits = settings.limits
        self.host = encode_authority(endpoint.host, endpoint.port)
        self.pool = Pool(
            endpoint.host,
            endpoint.port,
            connection_limit=limits.worker_connections,
            connect_timeout_ns=ms_to_ns(limits.connect_ms),
            limits=http.MessageLimits(limits.head_bytes, limits.body_bytes),
            on_stray_response=on_stray_response,
        )

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""
        return self.pool.open_connections

    @property
    def connections_opened(self) -> int:
        """Number of connections that were opened in total."""
        return self.pool.connections_opened


class HttpUpstream:
    """An `UpstreamLink` that speaks HTTP/1.1."""

    def __init__(self, settings: EdgeSettings) -> None:
        self.settings = settings
        self.user_agent = f"martenlead/{settings.name}".encode()
        self._agent_line = encode_field_lines([(b"user-agent", self.user_agent)])
        self.dispatcher: Dispatcher
        self.group: TaskGroup
        self._cancelled: set[InFlightAttempt] = set()
        self._unsent: set[InFlightAttempt] = set()  # attempts of which no byte has been sent

    def attach(self, dispatcher: Dispatcher) -> None:
        """Sets the dispatcher that ends are reported to."""
        self.dispatcher = dispatcher

    async def run(self) -> None:
        """Runs the tasks of all exchanges, and sends health checks if they are configured."""
        async with anyio.create_task_group() as self.group:
            self.group.start_soon(self._close_unusable_connections)
            if self.settings.probes:
                await self._probe_all(ms_to_ns(self.settings.probes.every_ms))
            await anyio.sleep_forever()

    def create_connections(self, endpoint: Endpoint) -> WorkerConnections:
        """Creates the connection pool of a worker, without opening a connection."""
        return WorkerConnections(endpoint, self.settings, self._count_stray_response)

    def retire_connections(self, connections: WorkerConnections) -> None:
        """Closes idle connections now, and the others when their exchange ends."""
        self.group.start_soon(connections.pool.close)

    def _count_stray_response(self) -> None:
        self.dispatcher.counts["stray", "response"] += 1

    async def _close_unusable_connections(self) -> None:
        """Closes idle connections that received something, so that it is seen without a request."""
        while True:
            await anyio.sleep(IDLE_CHECK_SECONDS)
            workers = list(self.dispatcher.membership.workers.values())
            for number, worker in enumerate(workers):
                await self._close_unusable(worker.connections)
                if number % WORKERS_PER_STEP == 0:
                    await anyio.lowlevel.checkpoint()

    async def _close_unusable(self, connections: WorkerConnections) -> None:
        try:
            await connections.pool.close_unusable()
        except Exception as error:  # the connections of other workers are looked at all the same
            self.dispatcher.record_fault(error)

    # -- attempts

    def send_attempt(self, attempt: InFlightAttempt) -> None:
        """Starts the exchange of an attempt in a task of its own."""
        attempt.link_handle = anyio.CancelScope()
        self._unsent.add(attempt)
        self.group.start_soon(self._exchange, attempt)

    def cancel_attempt(self, attempt: InFlightAttempt) -> None:
        """Cancels the exchange of an attempt, which still reports its end."""
        self._cancelled.add(attempt)
        attempt.link_handle.cancel()

    def end_overdue_attempts(self) -> None:
        """Ends overdue unsent attempts; an earlier end of a sent one would prove nothing more."""
        now_ns = self.dispatcher.clock()
        for attempt in list(self._unsent):
            if now_ns >= attempt.policy_attempt.sent_ns + attempt.policy_attempt.timeout_ns:
                self._unsent.discard(attempt)
                attempt.link_handle.cancel()
                outcome = self._classify(attempt, None, has_written=False)
                self.dispatcher.attempt_ended(attempt, outcome)

    def has_sent(self, attempt: InFlightAttempt) -> bool:
        """Whether a byte of an attempt in flight may have been sent."""
        return attempt not in self._unsent

    async def _exchange(self, attempt: InFlightAttempt) -> None:
        """Performs an attempt and reports its end once, even on a socket error or cancellation."""
        policy_attempt, clock = attempt.policy_attempt, self.dispatcher.clock
        connections: WorkerConnections = attempt.worker.connections
        left_ns = policy_attempt.sent_ns + policy_attempt.timeout_ns - clock()
        if left_ns <= 0:
            self._end_unsent(attempt, "the time was over before it was sent")
            return
        if not self._has_client(attempt):
            self._end_unsent(attempt, "its client has left")
            return
        progress = SendProgress(lambda: self._may_send(attempt, connections))
        exchange: Exchange | None = None
        attempt.link_handle.deadline = anyio.current_time() + left_ns / NS_PER_SECOND
        try:
            with attempt.link_handle:
                await _wait_until_read(attempt)
                exchange = await connections.pool.exchange(
                    lambda: self._encode(attempt, connections), progress
                )
        except Exception as error:  # the outcome below accounts for what may have been sent
            self.dispatcher.record_fault(error)
        finally:  # also on cancellation: the policy expects the end of each attempt
            outcome = self._classify(attempt, exchange, has_written=progress.has_written)
            self._cancelled.discard(attempt)
            self._unsent.discard(attempt)
            self.dispatcher.attempt_ended(attempt, outcome)

    def _may_send(self, attempt: InFlightAttempt, connections: WorkerConnections) -> bool:
        """Whether an attempt may be sent now; if so, it counts as sent from then on."""
        may_begin = self.dispatcher.clock() <= attempt.policy_attempt.begin_by_ns
        is_over = attempt not in self._unsent or not may_begin
        if is_over or not _accepts_work(attempt.worker, connections):
            return False
        if not self._has_client(attempt) or _may_have_left(attempt):
            return False
        self._unsent.discard(attempt)
        return True

    def _end_unsent(self, attempt: InFlightAttempt, reason: str) -> None:
        self._unsent.discard(attempt)
        self.dispatcher.attempt_ended(attempt, UpstreamOutcome(Result.NOT_SENT, reason=reason))

    def _classify(
        self, attempt: InFlightAttempt, exchange: Exchange | None, *, has_written: bool
    ) -> UpstreamOutcome:
        """Returns the outcome of an attempt, from its exchange or from the lack of one."""
        if exchange is None:
            policy_attempt = attempt.policy_attempt
            timeout_at_ns = policy_attempt.sent_ns + policy_attempt.timeout_ns
            is_early = self.dispatcher.clock() < timeout_at_ns
            return exchange_classifier.classify_unanswered_attempt(
                is_cancelled=attempt in self._cancelled or is_early, has_written=has_written
            )
        outcome = exchange_classifier.classify_attempt(exchange)
        if exchange.message is not None:
            outcome.load_report = _load_report(exchange.message)
        return outcome

    @staticmethod
    def _has_client(attempt: InFlightAttempt) -> bool:
        """Whether the client still waits for the request. If it has left, ends the request."""
        request = attempt.request
        client = request.client
        has_left = (
            request.outcome is None
            and client is not None
            and client.peek_input() is UnreadInput.END
        )
        if has_left and client is not None:
            client.handle_disconnect(request)
        return request.outcome is None

    def _encode(self, attempt: InFlightAttempt, connections: WorkerConnections) -> bytes:
        """Encodes an attempt as it is sent, so that the time left excludes a connection wait."""
        content: EventContent = attempt.request.content
        policy_attempt = attempt.policy_attempt
        timeout_at_ns = policy_attempt.sent_ns + policy_attempt.timeout_ns
        left_ns = max(0, timeout_at_ns - self.dispatcher.clock())
        if content.field_lines is None:
            kept = [pair for pair in content.headers if pair[0] not in REWRITTEN_HEADERS]
            content.field_lines = encode_field_lines(kept)
        rewritten = encode_field_lines(
            [
                (b"ce-timeleftms", b"%d" % (left_ns // NS_PER_MS)),
                (b"ce-handoff", b"%d" % attempt.number),
            ]
        )
        fields = FieldLines(self._agent_line + content.field_lines + rewritten)
        body = content.body
        return encode_request_head(b"POST", b"/", connections.host, fields, len(body)) + body

    # -- load requests and health checks

    def send_load_request(
        self,
        worker: UpstreamWorker,
        function: FunctionEntry,
        replicas: int,
        on_outcome: Callable[[UpstreamOutcome], None],
    ) -> None:
        """Starts the exchange of a load request in a task of its own."""
        self.group.start_soon(self._exchange_load, worker, function, replicas, on_outcome)

    async def _exchange_load(
        self,
        worker: UpstreamWorker,
        function: FunctionEntry,
        replicas: int,
        on_outcome: Callable[[UpstreamOutcome], None],
    ) -> None:
        connections: WorkerConnections = worker.connections
        data = load_requests.encode_load_request(
            connections.host,
            self.user_agent,
            function.name,
            replicas,
            function.memory_mb,
            function.lanes,
        )
        outcome = UpstreamOutcome(Result.NO_RESPONSE, reason="no answer")
        timeout_seconds = self.settings.functions.load_timeout_ms / MS_PER_SECOND
        try:
            with anyio.move_on_after(timeout_seconds):
                exchange = await connections.pool.exchange(
                    data, SendProgress(lambda: _accepts_work(worker, connections))
                )
                result, reason = exchange_classifier.classify_load_request(exchange)
                outcome.result, outcome.reason = result, reason
                outcome.replicas = load_requests.parse_replica_count(exchange)
                if exchange.message is not None:
                    failure = exchange_classifier.parse_load_failure(exchange.message)
                    outcome.load_failure = failure
                    outcome.is_draining = _announces_draining(exchange.message)
        except Exception as error:  # the policy expects the end of each load request
            self.dispatcher.record_fault(error)
        on_outcome(outcome)

    async def _probe_all(self, interval_ns: int) -> None:
        """Sends a health check to every worker that is up, once per interval."""
        membership = self.dispatcher.membership
        while True:
            for worker in list(membership.workers.values()):
                if membership.is_listed_up(worker):
                    self.group.start_soon(self._probe, worker, interval_ns)
            await anyio.sleep(interval_ns / NS_PER_SECOND)

    async def _probe(self, worker: UpstreamWorker, timeout_ns: int) -> None:
        connections: WorkerConnections = worker.connections
        data = load_requests.encode_health_check(connections.host, self.user_agent)
        try:
            with anyio.move_on_after(timeout_ns / NS_PER_SECOND):
                exchange = await connections.pool.exchange(data)
                if exchange.message:
                    worker.load_report.update(_load_report(exchange.message))
                    if _announces_draining(exchange.message):
                        self.dispatcher.mark_draining(worker)
        except Exception as error:  # only this health check fails
            self.dispatcher.record_fault(error)


def _may_have_left(attempt: InFlightAttempt) -> bool:
    """Whether the end of its client's connection may wait behind unread bytes."""
    client = attempt.request.client
    return client is not None and client.peek_input() is UnreadInput.BYTES


async def _wait_until_read(attempt: InFlightAttempt) -> None:
    """Waits while the end of its client's connection may wait behind unread bytes."""
    while _may_have_left(attempt):  # noqa: ASYNC110 - the kernel's state
        await anyio.sleep(UNREAD_CHECK_SECONDS)


def _accepts_work(worker: UpstreamWorker, connections: WorkerConnections) -> bool:
    """Whether a worker accepts work on these connections: it is up, and still at their address.

    It may have begun to drain, or gone, while a connection was opened (rule 3).
    """
    return worker.is_up and worker.connections is connections


def _load_report(message: http.Message) -> dict[str, float]:
    header = message.header(exchange_classifier.LOAD_REPORT_HEADER)
    return load_requests.parse_load_report(header)


def _announces_draining(message: http.Message) -> bool:
    return message.header(exchange_classifier.STATE_HEADER) == DRAINING_STATE

"""A dispatcher without sockets: the program's `Dispatcher` with a link that only encodes and decodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.scale import discovery
from benchmarks.scale.meter import Activity, Meter, MeteredBoundary
from benchmarks.scale.workers import Met
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import (
    FunctionEntry,
    IncomingRequest,
    InFlightAttempt,
    PendingRequest,
    UpstreamWorker,
)
from martenlead.node import config
from martenlead.node import worker_protocol as lines
from martenlead.node.client_protocol import BODY_BYTES_LIMIT
from martenlead.node.connection_pool import ConnectionPool
from martenlead.node.journal import FrameDecoder
from martenlead.node.worker_age import WorkerAges
from martenlead.policy.types import Result, Warmth
from martenlead.upstream.endpoints import Endpoint, EndpointList, EndpointUpdate
from martenlead.upstream.outcome import UpstreamOutcome

BODY_BASE64 = "eyJ4IjoxfQ=="
CALL_COST_SECONDS = 0.04


@dataclass(slots=True)
class Call:
    """One call of a client. Times are in virtual ns."""

    id: str
    function: int
    arrived: int
    cold: bool = False
    done: Callable[[PendingRequest], None] | None = None


@dataclass(slots=True)
class SentAttempt:
    """An attempt that the link has written."""

    attempt: InFlightAttempt
    worker: int
    function: int
    due: int
    open: bool = True


@dataclass(slots=True)
class SentLoad:
    """A load request that the link has written."""

    txn: str
    worker: int
    function: int
    on_outcome: Callable[[UpstreamOutcome], None]


@dataclass(slots=True)
class LinkCounts:
    """Numbers of bytes and messages on the links to workers, by purpose."""

    attempts: int = 0
    attempt_bytes: int = 0
    cancels: int = 0
    loads: int = 0
    load_sent_bytes: int = 0
    load_received_bytes: int = 0


def function_name(number: int) -> str:
    """Returns the name of a function, which holds its number."""
    return f"function-{number:05d}"


def function_number(name: str) -> int:
    """Returns the number in a function's name."""
    return int(name[-5:])


def worker_number(name: str) -> int:
    """Returns the number in a worker's name."""
    return int(name[2:], 16)


class HollowLink:
    """Encodes what a dispatcher sends to workers and queues it for delivery by the simulation."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.counts = LinkCounts()
        self.attempts: list[SentAttempt] = []
        self.loads: list[SentLoad] = []
        self.dispatcher: Any = None

    def attach(self, dispatcher: Dispatcher) -> None:
        """Sets the dispatcher that outcomes are reported to."""
        self.dispatcher = dispatcher

    async def run(self) -> None:
        """Does nothing: the simulation delivers all messages."""

    def create_connections(self, endpoint: Endpoint) -> ConnectionPool:
        """Creates the pool of a worker, which opens no connection."""
        return ConnectionPool(endpoint)

    def retire_connections(self, pool: ConnectionPool) -> None:
        """Marks the pool of a worker that is gone."""
        pool.is_retired = True

    def send_attempt(self, attempt: InFlightAttempt) -> None:
        """Encodes an attempt and queues it."""
        policy_attempt, call = attempt.policy_attempt, attempt.request.content
        function = attempt.request.incoming.function
        ttl = max(1, policy_attempt.timeout_ns // 1_000_000)
        line = lines.encode_attempt(call.id, discovery.REQUEST_CLASS, function, ttl, None, BODY_BASE64)
        self.counts.attempts += 1
        self.counts.attempt_bytes += len(line)
        sent = SentAttempt(
            attempt,
            worker_number(attempt.worker.endpoint.id),
            call.function,
            self.clock() + policy_attempt.timeout_ns,
        )
        attempt.link_handle = sent
        self.attempts.append(sent)

    def end_overdue_attempts(self) -> None:
        """Does nothing: the simulation ends attempts in virtual time."""

    def has_sent(self, attempt: InFlightAttempt) -> bool:
        """Returns True, as attempts are sent at once."""
        return True

    def cancel_attempt(self, attempt: InFlightAttempt) -> None:
        """Encodes the cancellation and ends the attempt, unless it has ended already."""
        sent: SentAttempt | None = attempt.link_handle
        if sent is None or not sent.open:
            return
        sent.open = False
        self.counts.cancels += 1
        lines.encode_cancel(attempt.request.content.id)
        self.dispatcher.attempt_ended(attempt, UpstreamOutcome(Result.CANCELLED, reason="called off"))

    def send_load_request(
        self,
        worker: UpstreamWorker,
        function: FunctionEntry,
        replicas: int,
        on_outcome: Callable[[UpstreamOutcome], None],
    ) -> None:
        """Encodes a load request and queues it."""
        self.counts.loads += 1
        txn = f"o{self.counts.loads}"
        self.counts.load_sent_bytes += len(lines.encode_load_request(txn, function.name, replicas))
        self.loads.append(
            SentLoad(txn, worker_number(worker.endpoint.id), function_number(function.name), on_outcome)
        )


class ListSource:
    """The membership list of a dispatcher; the simulation updates it."""

    def __init__(self) -> None:
        self.endpoint_list = EndpointList()

    async def run(self, dispatcher: Dispatcher) -> None:
        """Does nothing: frames arrive through `HollowDispatcher.membership`."""


@dataclass(slots=True)
class ControlCounts:
    """Numbers of bytes and frames of the membership stream."""

    received_bytes: int = 0
    frames: int = 0
    deltas: list[int] = field(default_factory=list)


class HollowDispatcher:
    """One dispatcher, created from its configuration; `meter` may be shared."""

    def __init__(
        self,
        node_config: config.NodeConfig,
        clock: Callable[[], int],
        meter: Meter,
        initial_updates: list[EndpointUpdate] | None = None,
    ) -> None:
        """`initial_updates` replaces the list of the configuration; dispatchers may share its endpoints."""
        self.meter, self.clock = meter, clock
        self.link: Any = self.make_link(node_config, clock)
        self.source = ListSource()
        self.dispatcher = Dispatcher(node_config.dispatcher_settings, self.link, self.source, clock)
        metered: Any = MeteredBoundary(self.dispatcher.policy_boundary, meter)
        self.dispatcher.use_policy_boundary(metered)
        self.frames = FrameDecoder(node_config.tables)
        self.ages = WorkerAges()
        self.control = ControlCounts()
        self.armed = 1 << 62  # When the simulation next runs the timers.
        self._initial_updates = node_config.initial_updates if initial_updates is None else initial_updates

    def make_link(self, _node_config: config.NodeConfig, clock: Callable[[], int]) -> Any:
        """Creates the link to workers; subclasses create another kind of link."""
        return HollowLink(clock)

    def begin(self) -> None:
        """Applies the list of the configuration and starts the periodic work, as the program does."""
        with self.meter.measure(Activity.MEMBERSHIP):
            for update in self._initial_updates:
                self.ages.fill_ages(update, self.clock())
                if self.source.endpoint_list.apply(update):
                    self.dispatcher.update_endpoints(update.endpoints or [], update.is_snapshot)
        self._initial_updates = []
        with self.meter.measure(Activity.TIMERS):
            self.dispatcher.policy_boundary.start()

    def membership(self, data: bytes) -> None:
        """Decodes bytes of the membership stream and applies them as `JournalSource` does.

        Raises Gap, BadFrame.
        """
        self.control.received_bytes += len(data)
        self.control.frames += 1
        with self.meter.measure(Activity.MEMBERSHIP):
            for update in self.frames.feed(data):
                if update.version <= self.source.endpoint_list.version or update.endpoints is None:
                    self.ages.confirm(self.clock())
                    continue
                self.ages.fill_ages(update, self.clock())
                if self.source.endpoint_list.apply(update):
                    self.dispatcher.update_endpoints(update.endpoints, update.is_snapshot)

    def timers(self) -> None:
        """Runs the timers that are due."""
        with self.meter.measure(Activity.TIMERS):
            self.dispatcher.defer(_nothing)

    def accept_call(self, call: Call) -> None:
        """Accepts the call of a client."""
        name = function_name(call.function)
        with self.meter.measure(Activity.SERVING):
            request = IncomingRequest(
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
            self.dispatcher.accept(request, call.arrived, call, len(BODY_BASE64), on_outcome=call.done)
            self.dispatcher.defer(_nothing)

    def answered(self, sent: SentAttempt, line: bytes, met: Met) -> None:
        """Processes the response line of an attempt."""
        if not sent.open:
            return
        sent.open = False
        with self.meter.measure(Activity.SERVING):
            response = lines.parse_response(line, BODY_BYTES_LIMIT)
            outcome = UpstreamOutcome(
                lines.RESULT_BY_WORD[response.word],
                lines.WARMTH_BY_NOTE.get(response.note, Warmth.UNKNOWN),
                response=response.body_base64,
                reason=response.word,
                replicas=response.replicas,
            )
            sent.attempt.request.content.cold = met in (Met.BEGAN_LOAD, Met.WAITED_FOR_LOAD)
            self.dispatcher.attempt_ended(sent.attempt, outcome)

    def expired(self, sent: SentAttempt) -> None:
        """Ends an attempt whose response did not arrive in time."""
        if sent.open:
            sent.open = False
            with self.meter.measure(Activity.SERVING):
                self.dispatcher.attempt_ended(
                    sent.attempt, UpstreamOutcome(Result.NO_RESPONSE, reason="no answer in time")
                )

    def loaded(self, sent: SentLoad, line: bytes) -> None:
        """Processes the response line of a load request."""
        self.link.counts.load_received_bytes += len(line)
        with self.meter.measure(Activity.LOAD_REQUESTS):
            response = lines.parse_response(line, BODY_BYTES_LIMIT)
            sent.on_outcome(
                UpstreamOutcome(
                    lines.RESULT_BY_WORD[response.word], reason=response.word, replicas=response.replicas
                )
            )


def _nothing() -> None:
    """Deferred so that the dispatcher runs its due work afterwards."""

"""A dispatcher without sockets: the program's own `Dispatcher`, with a link that only encodes and decodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.scale import discovery
from benchmarks.scale.meter import Activity, Meter, MeteredBorder
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
    """One call of a client. Times are virtual ns."""

    id: str
    function: int
    arrived: int
    cold: bool = False
    done: Callable[[PendingRequest], None] | None = None


@dataclass(slots=True)
class SentAttempt:
    """An attempt that the link has written."""

    out: InFlightAttempt
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
    told: Callable[[UpstreamOutcome], None]


@dataclass(slots=True)
class LinkCounts:
    """Bytes and messages on the links to workers, by purpose."""

    attempts: int = 0
    attempt_bytes: int = 0
    cancels: int = 0
    loads: int = 0
    load_sent_bytes: int = 0
    load_received_bytes: int = 0


def function_name(number: int) -> str:
    return f"function-{number:05d}"


def function_number(name: str) -> int:
    return int(name[-5:])


def worker_number(name: str) -> int:
    return int(name[2:], 16)


class HollowLink:
    """Encodes what a dispatcher sends to workers and keeps it for the simulation to carry."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.counts = LinkCounts()
        self.attempts: list[SentAttempt] = []
        self.loads: list[SentLoad] = []
        self.dispatcher: Any = None

    def attach(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def run(self) -> None:
        """Nothing runs: the simulation carries all."""

    def create_connections(self, line: Endpoint) -> ConnectionPool:
        return ConnectionPool(line)

    def retire_connections(self, way: ConnectionPool) -> None:
        way.is_retired = True

    def send_attempt(self, out: InFlightAttempt) -> None:
        hand_off, call = out.policy_attempt, out.request.content
        known = out.request.incoming.function
        ttl = max(1, hand_off.timeout_ns // 1_000_000)
        line = lines.encode_attempt(call.id, discovery.REQUEST_CLASS, known, ttl, None, BODY_BASE64)
        self.counts.attempts += 1
        self.counts.attempt_bytes += len(line)
        sent = SentAttempt(
            out, worker_number(out.worker.endpoint.id), call.function, self.clock() + hand_off.timeout_ns
        )
        out.link_handle = sent
        self.attempts.append(sent)

    def end_overdue_attempts(self) -> None:
        """Nothing is late here: the simulation ends attempts in virtual time."""

    def has_sent(self, out: InFlightAttempt) -> bool:
        return True

    def cancel_attempt(self, out: InFlightAttempt) -> None:
        sent: SentAttempt | None = out.link_handle
        if sent is None or not sent.open:
            return
        sent.open = False
        self.counts.cancels += 1
        lines.encode_cancel(out.request.content.id)
        self.dispatcher.attempt_ended(out, UpstreamOutcome(Result.CANCELLED, reason="called off"))

    def send_load_request(
        self, box: UpstreamWorker, known: FunctionEntry, copies: int, told: Callable[[UpstreamOutcome], None]
    ) -> None:
        self.counts.loads += 1
        txn = f"o{self.counts.loads}"
        self.counts.load_sent_bytes += len(lines.encode_load_request(txn, known.name, copies))
        self.loads.append(SentLoad(txn, worker_number(box.endpoint.id), function_number(known.name), told))


class ListSource:
    """The membership list that a dispatcher follows; the simulation feeds it."""

    def __init__(self) -> None:
        self.endpoint_list = EndpointList()

    async def run(self, dispatcher: Dispatcher) -> None:
        """Nothing runs: `HollowDispatcher.membership` is fed."""


@dataclass(slots=True)
class ControlCounts:
    """Bytes of discovery's stream."""

    received_bytes: int = 0
    frames: int = 0
    deltas: list[int] = field(default_factory=list)


class HollowDispatcher:
    """One dispatcher from its configuration file on; `meter` may be shared."""

    def __init__(
        self,
        told: config.NodeConfig,
        clock: Callable[[], int],
        meter: Meter,
        known: list[EndpointUpdate] | None = None,
    ) -> None:
        """`known` goes before the list of the configuration; its lines may be shared by dispatchers."""
        self.meter, self.clock = meter, clock
        self.link: Any = self.make_link(told, clock)
        self.source = ListSource()
        self.dispatcher = Dispatcher(told.dispatcher_settings, self.link, self.source, clock)
        metered: Any = MeteredBorder(self.dispatcher.policy_boundary, meter)
        self.dispatcher.use_policy_boundary(metered)
        self.frames = FrameDecoder(told.tables)
        self.ages = WorkerAges()
        self.control = ControlCounts()
        self.armed = 1 << 62  # when the simulation runs the timers next
        self._known = told.initial_updates if known is None else known

    def make_link(self, _told: config.NodeConfig, clock: Callable[[], int]) -> Any:
        """The link to workers; another kind of dispatcher has another one."""
        return HollowLink(clock)

    def begin(self) -> None:
        """Takes in the list of the configuration and starts the periodic work, as the program does."""
        with self.meter.measure(Activity.MEMBERSHIP):
            for news in self._known:
                self.ages.fill_ages(news, self.clock())
                if self.source.endpoint_list.apply(news):
                    self.dispatcher.update_endpoints(news.endpoints or [], news.is_snapshot)
        self._known = []
        with self.meter.measure(Activity.TIMERS):
            self.dispatcher.policy_boundary.start()

    def membership(self, data: bytes) -> None:
        """Bytes of discovery's stream, decoded and told on as `JournalSource` does. Raises Gap, BadFrame."""
        self.control.received_bytes += len(data)
        self.control.frames += 1
        with self.meter.measure(Activity.MEMBERSHIP):
            for news in self.frames.feed(data):
                if news.version <= self.source.endpoint_list.version or news.endpoints is None:
                    self.ages.confirm(self.clock())
                    continue
                self.ages.fill_ages(news, self.clock())
                if self.source.endpoint_list.apply(news):
                    self.dispatcher.update_endpoints(news.endpoints, news.is_snapshot)

    def timers(self) -> None:
        """What is due now."""
        with self.meter.measure(Activity.TIMERS):
            self.dispatcher.defer(_nothing)

    def take(self, call: Call) -> None:
        name = function_name(call.function)
        with self.meter.measure(Activity.SERVING):
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
            self.dispatcher.accept(wanted, call.arrived, call, len(BODY_BASE64), on_outcome=call.done)
            self.dispatcher.defer(_nothing)

    def answered(self, sent: SentAttempt, line: bytes, met: Met) -> None:
        """An answer's line arrives."""
        if not sent.open:
            return
        sent.open = False
        with self.meter.measure(Activity.SERVING):
            word = lines.parse_response(line, BODY_BYTES_LIMIT)
            heard = UpstreamOutcome(
                lines.RESULT_BY_WORD[word.word],
                lines.WARMTH_BY_NOTE.get(word.note, Warmth.UNKNOWN),
                response=word.body_base64,
                reason=word.word,
                replicas=word.replicas,
            )
            sent.out.request.content.cold = met in (Met.BEGAN_LOAD, Met.WAITED_FOR_LOAD)
            self.dispatcher.attempt_ended(sent.out, heard)

    def expired(self, sent: SentAttempt) -> None:
        """No answer came in time."""
        if sent.open:
            sent.open = False
            with self.meter.measure(Activity.SERVING):
                self.dispatcher.attempt_ended(
                    sent.out, UpstreamOutcome(Result.NO_RESPONSE, reason="no answer in time")
                )

    def loaded(self, sent: SentLoad, line: bytes) -> None:
        """The answer to a load request arrives."""
        self.link.counts.load_received_bytes += len(line)
        with self.meter.measure(Activity.LOAD_REQUESTS):
            word = lines.parse_response(line, BODY_BYTES_LIMIT)
            sent.told(
                UpstreamOutcome(lines.RESULT_BY_WORD[word.word], reason=word.word, replicas=word.replicas)
            )


def _nothing() -> None:
    """The dispatcher runs what is due behind it."""

"""HTTP as one link to runners and one source of the roster: docs/protocol.md.

A hand-off or an order is one exchange on a pooled connection, in a task of the link's own group.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import monotonic_ns

import anyio
import anyio.to_thread
import msgspec
import structlog
from anyio.abc import TaskGroup

from martenlead.config.edge import EdgeSettings, build_policy_settings, ms_to_ns
from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.policy_boundary import Recorder
from martenlead.edge.records import DispatcherSettings, FunctionEntry, InFlightAttempt, UpstreamWorker
from martenlead.events import http
from martenlead.events.client import Exchange, Pool, SendProgress
from martenlead.policy.types import Result
from martenlead.system.durable_file import Backoff, remove_leftovers
from martenlead.system.state_saver import SaveHealth, StateSaver
from martenlead.upstream import endpoints, exchange_classifier, load_requests
from martenlead.upstream.endpoint_watch import watch_endpoints
from martenlead.upstream.outcome import UpstreamOutcome

RELAYED_ANEW = frozenset({b"ce-timeleftms", b"ce-handoff"})


@dataclass(slots=True)
class EventContent:
    """An event in binary mode, as runners get it."""

    headers: http.Headers
    body: bytes
    header_lines: bytes | None = None  # of the headers, as every hand-off sends them


class WorkerConnections:
    def __init__(self, line: endpoints.Endpoint, edge: EdgeSettings) -> None:
        limits = edge.limits
        self.host = f"{line.host}:{line.port}".encode()
        self.pool = Pool(
            line.host,
            line.port,
            connection_limit=limits.worker_connections,
            connect_timeout_ns=ms_to_ns(limits.connect_ms),
            limits=http.MessageLimits(limits.head_bytes, limits.body_bytes),
        )

    @property
    def open_connections(self) -> int:
        return self.pool.open_connections

    @property
    def connections_opened(self) -> int:
        return self.pool.connections_opened


class HttpUpstream:
    def __init__(self, edge: EdgeSettings) -> None:
        self.settings = edge
        self.user_agent = f"martenlead/{edge.name}".encode()
        self.dispatcher: Dispatcher
        self.group: TaskGroup
        self._cancelled: set[InFlightAttempt] = set()

    def attach(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            if self.settings.probes:
                await self._probe_all(ms_to_ns(self.settings.probes.every_ms))
            await anyio.sleep_forever()

    def create_connections(self, line: endpoints.Endpoint) -> WorkerConnections:
        return WorkerConnections(line, self.settings)

    def retire_connections(self, way: WorkerConnections) -> None:
        self.group.start_soon(way.pool.close)

    # -- hand-offs

    def send_attempt(self, out: InFlightAttempt) -> None:
        out.link_handle = anyio.CancelScope()
        self.group.start_soon(self._carry, out)

    def cancel_attempt(self, out: InFlightAttempt) -> None:
        self._cancelled.add(out)
        out.link_handle.cancel()

    async def _carry(self, out: InFlightAttempt) -> None:
        """One hand-off from its decision to its end. Whatever happens on the socket, there is exactly one."""
        hand_off, way, clock = out.policy_attempt, out.worker.connections, self.dispatcher.clock
        sending = SendProgress(lambda: clock() <= hand_off.begin_by_ns and self._has_client(out))
        exchange: Exchange | None = None
        left = hand_off.sent_ns + hand_off.timeout_ns - clock()
        if left <= 0:
            heard = UpstreamOutcome(Result.NOT_SENT, reason="the time was over before it was sent")
            self.dispatcher.attempt_ended(out, heard)
            return
        if not self._has_client(out):
            self.dispatcher.attempt_ended(out, UpstreamOutcome(Result.NOT_SENT, reason="its client has left"))
            return
        out.link_handle.deadline = anyio.current_time() + left / 1e9
        try:
            with out.link_handle:
                exchange = await way.pool.exchange(lambda: self._request(out, way), sending)
        except Exception as error:  # the end is told all the same, with what may have run
            self.dispatcher.record_fault(error)
        finally:  # the module is owed one answer all the same
            if exchange is not None:
                told = exchange_classifier.classify_attempt(exchange)
                if exchange.message is not None:
                    told.load_report = load_requests.parse_load_report(
                        exchange.message.header(exchange_classifier.LOAD_REPORT_HEADER)
                    )
            else:
                off = out in self._cancelled or clock() < hand_off.sent_ns + hand_off.timeout_ns
                told = exchange_classifier.classify_unanswered_attempt(
                    is_cancelled=off, has_written=sending.has_written
                )
            self._cancelled.discard(out)
            self.dispatcher.attempt_ended(out, told)

    @staticmethod
    def _has_client(out: InFlightAttempt) -> bool:
        """Whether somebody waits for it. Where its client has left, its request ends."""
        held = out.request
        if held.outcome is None and held.client is not None and held.client.peek_input() is UnreadInput.END:
            held.client.handle_disconnect(held)
        return held.outcome is None

    def _request(self, out: InFlightAttempt, way: WorkerConnections) -> bytes:
        """Made as it leaves: the time left that it states does not count the wait for a connection."""
        content: EventContent = out.request.content
        left = max(0, out.policy_attempt.sent_ns + out.policy_attempt.timeout_ns - self.dispatcher.clock())
        if content.header_lines is None:
            content.header_lines = b"".join(
                b"%b: %b\r\n" % p for p in content.headers if p[0] not in RELAYED_ANEW
            )
        return (
            b"POST / HTTP/1.1\r\nhost: %b\r\nuser-agent: %b\r\n%bce-timeleftms: %d\r\nce-handoff: %d\r\n"
            b"content-length: %d\r\n\r\n%b"
            % (
                way.host,
                self.user_agent,
                content.header_lines,
                left // 1_000_000,
                out.number,
                len(content.body),
                content.body,
            )
        )

    # -- orders and probes

    def send_load_request(
        self, box: UpstreamWorker, known: FunctionEntry, copies: int, told: Callable[[UpstreamOutcome], None]
    ) -> None:
        self.group.start_soon(self._order, box, known, copies, told)

    async def _order(
        self, box: UpstreamWorker, known: FunctionEntry, copies: int, told: Callable[[UpstreamOutcome], None]
    ) -> None:
        way = box.connections
        data = load_requests.encode_load_request(
            way.host, self.user_agent, known.name, copies, known.memory_mb, known.lanes
        )
        heard = UpstreamOutcome(Result.NO_RESPONSE, reason="no answer")
        try:
            with anyio.move_on_after(self.settings.functions.load_timeout_ms / 1000):
                exchange = await way.pool.exchange(data)
                heard.result, heard.reason = exchange_classifier.classify_load_request(exchange)
                heard.replicas = load_requests.parse_replica_count(exchange)
                if exchange.message is not None:
                    heard.load_failure = exchange_classifier.parse_load_failure(exchange.message)
                    heard.is_draining = (
                        exchange.message.header(exchange_classifier.STATE_HEADER) == b"draining"
                    )
        except Exception as error:
            self.dispatcher.record_fault(error)
        told(heard)

    async def _probe_all(self, every: int) -> None:
        dispatcher = self.dispatcher
        while True:
            for box in list(dispatcher.workers.values()):
                if box.endpoint.id in dispatcher.endpoint_list.endpoints and box.endpoint.state == "up":
                    self.group.start_soon(self._probe, box, every)
            await anyio.sleep(every / 1e9)

    async def _probe(self, box: UpstreamWorker, within: int) -> None:
        try:
            with anyio.move_on_after(within / 1e9):
                exchange = await box.connections.pool.exchange(
                    load_requests.encode_health_check(box.connections.host, self.user_agent)
                )
                if exchange.message:
                    box.load_report.update(
                        load_requests.parse_load_report(
                            exchange.message.header(exchange_classifier.LOAD_REPORT_HEADER)
                        )
                    )
                    if exchange.message.header(exchange_classifier.STATE_HEADER) == b"draining":
                        self.dispatcher.mark_draining(box)
        except Exception as error:  # costs this probe, not the link and the program
            self.dispatcher.record_fault(error)


class HttpMembership:
    """The roster's stream, and the list that is kept on disk for the next start."""

    def __init__(self, edge: EdgeSettings) -> None:
        self.settings = edge
        self.endpoint_list = endpoints.EndpointList()
        self.log = structlog.get_logger().bind(edge=edge.name)
        self._saver: StateSaver[endpoints.CachedEndpoints] | None = None

    async def run(self, dispatcher: Dispatcher) -> None:
        path = Path(self.settings.endpoint_list.kept) if self.settings.endpoint_list.kept else None
        if path is not None:
            self._saver = self._make_saver(path, dispatcher)

        def told(news: endpoints.EndpointUpdate) -> None:
            dispatcher.update_endpoints(news.endpoints or [], news.is_snapshot)
            if self._saver is not None:
                self._saver.changed()

        def lost(why: str) -> None:
            dispatcher.counts["roster", "lost"] += 1
            self.log.warning(
                "no roster; the last list stands", why=why, runners=len(self.endpoint_list.endpoints)
            )

        async with anyio.create_task_group() as group:
            if path is not None and self._saver is not None:
                if not self._start_with_kept(path, dispatcher):
                    group.start_soon(self._read_again, path, dispatcher)
                group.start_soon(self._saver.run)
            await watch_endpoints(
                self.settings.endpoint_list,
                f"martenlead/{self.settings.name}".encode(),
                self.endpoint_list,
                on_update=told,
                on_lost=lost,
                on_error=dispatcher.record_fault,
                random=dispatcher.random.random,
            )

    def _start_with_kept(self, path: Path, dispatcher: Dispatcher) -> bool:
        """Whether the kept list is done with: taken up, or not there."""
        try:
            found = endpoints.load_cached_endpoints(path)
        except OSError as error:
            self.log.warning("list_unread", why=str(error))
            return False
        self._take_up(found, dispatcher)
        return True

    async def _read_again(self, path: Path, dispatcher: Dispatcher) -> None:
        """A kept list that could not be read at the start is of use until the roster has answered."""
        backoff = Backoff(Random(self.settings.name))
        while True:
            await anyio.sleep(backoff.next_seconds())
            found = None
            with suppress(OSError):
                found = await anyio.to_thread.run_sync(endpoints.load_cached_endpoints, path)
            if dispatcher.snapshot_received.is_set():
                return
            if found is not None:
                self._take_up(found, dispatcher)

    def _take_up(self, found: endpoints.CachedEndpoints | None, dispatcher: Dispatcher) -> None:
        if found is None:
            return
        self.endpoint_list.version = 0  # whatever was missed since is asked for whole
        self.endpoint_list.endpoints = {line.id: line for line in found.endpoints}
        dispatcher.update_endpoints(list(self.endpoint_list.endpoints.values()), True)
        self.log.info("starts with the kept list", runners=len(found.endpoints))

    def _make_saver(self, path: Path, dispatcher: Dispatcher) -> StateSaver[endpoints.CachedEndpoints]:
        """Writes the list whenever it has changed: off the event loop, since a disk may take its time, and
        only the latest, however many came meanwhile."""
        remove_leftovers(path)
        health = SaveHealth(
            "list",
            self.log,
            Backoff(Random(self.settings.name)),
            count=lambda event, state: dispatcher.counts.update([(event, state)]),
        )
        return StateSaver(
            lambda: self._snapshot(dispatcher),
            lambda kept: endpoints.save_cached_endpoints(path, kept),
            health,
        )

    def _snapshot(self, dispatcher: Dispatcher) -> endpoints.CachedEndpoints:
        now = dispatcher.clock()
        kept = []
        for line in self.endpoint_list.endpoints.values():
            since = dispatcher.workers[line.id].started_ns
            kept.append(msgspec.structs.replace(line, age_ms=(now - since) / 1e6 if since else None))
        return endpoints.make_cached_endpoints(self.endpoint_list.version, kept)


def dispatcher(
    edge: EdgeSettings, clock: Callable[[], int] = monotonic_ns, tape: Recorder | None = None
) -> Dispatcher:
    """The dispatcher of an edge that speaks HTTP."""
    told, offerings, customers = build_policy_settings(edge)
    seed = edge.seed if edge.seed is not None else int.from_bytes(Random().randbytes(8), "big")
    about = DispatcherSettings(
        name=edge.name,
        seed=seed,
        policy_settings=told,
        request_classes=offerings,
        tenants=customers,
        deadlines_ns={o.name: ms_to_ns(o.hard_limit_ms) for o in edge.request_classes},
        deadline_margin_ns=ms_to_ns(edge.margin_ms),
        function_limit=edge.limits.known_functions,
        logs_decisions=edge.log.decisions,
    )
    return Dispatcher(about, HttpUpstream(edge), HttpMembership(edge), clock, tape)

"""The edge's end of the link on sockets: beside the dispatcher, in its event loop, never on a task's path."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from random import Random
from time import monotonic_ns
from typing import Any

import anyio
import structlog
from anyio.abc import SocketStream

from martenlead.capture import events as ev
from martenlead.capture.recorder import CaptureRecorder, policy_hash
from martenlead.config.edge import Address, EdgeSettings, PlannerLinkSettings, ms_to_ns
from martenlead.edge.dispatcher import Dispatcher
from martenlead.planner import frames as fr
from martenlead.planner.link import EdgeSession, LinkProtocolError, SessionLimits
from martenlead.planner.snapshot import take_snapshot
from martenlead.policy.boundary_events import BoundaryEvent, FunctionAdded, RunStarted, WorkerAdded
from martenlead.policy.policy import Policy

LEASE_CHECK_INTERVAL_NS = 50_000_000  # ns between two looks at who decides
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class LinkRecorder(CaptureRecorder):
    """A tape that also finds objects by their numbers, and writes all that the module knows."""

    def __init__(self, sink: Callable[[ev.CaptureEvent], None], edge: str, most: int) -> None:
        """`most` models are written in a state."""
        super().__init__(sink, edge)
        self.function_limit = most
        self.by_number: tuple[list[Any], list[Any]] = ([], [])
        self.names: tuple[dict[Any, str], dict[Any, str]] = ({}, {})
        self.start_event: ev.RunStarted | None = None

    def record(self, event: BoundaryEvent) -> None:
        match event:
            case RunStarted():
                self._record_start_event(event)
                return
            case WorkerAdded(worker=worker, name=name):
                self.by_number[0].append(worker)
                self.names[0][worker] = name
            case FunctionAdded(function=function, name=name):
                self.by_number[1].append(function)
                self.names[1][function] = name
        super().record(event)

    def _record_start_event(self, event: RunStarted) -> None:
        found: list[Any] = []
        sink = self.sink
        self.sink = found.append
        super().record(event)
        self.sink = sink
        (self.start_event,) = found

    def take_snapshot(self, policy: Policy, _now: int) -> tuple[dict[str, Any], set[int]]:
        """All that the module knows, and which models are in it."""
        assert self.start_event is not None
        told = take_snapshot(
            policy,
            self.start_event,
            self.worker_numbers,
            self.function_numbers,
            self.request_numbers,
            self.tenant_numbers,
            self.names,
            self.function_limit,
        )
        return told, {model[0] for model in told["models"]}


class PlannerClient:
    """`tape` is to be given to the dispatcher's border; `run` runs beside the dispatcher."""

    def __init__(
        self, edge: EdgeSettings, link: PlannerLinkSettings, clock: Callable[[], int] = monotonic_ns
    ) -> None:
        self.edge_settings, self.link_settings, self.clock = edge, link, clock
        chance = Random(edge.seed) if edge.seed is not None else Random()
        self.random = chance.random
        life = f"{Random().getrandbits(64):016x}"
        limits = SessionLimits(
            ms_to_ns(link.lease_ms), link.outbox_bytes, ms_to_ns(link.snapshot_ms), link.speaks
        )
        self.session = EdgeSession(edge.name, life, policy_hash(), clock, self._take_snapshot, limits)
        self.recorder = LinkRecorder(self.session.record_event, edge.name, link.snapshot_functions)
        self.dispatcher: Dispatcher
        self.plans_locally = (
            edge.functions.may_request_loads
        )  # whether this process decides on copies at present
        self.counts: Counter[str] = Counter()
        self.log = structlog.get_logger().bind(edge=edge.name)
        self._leased = -1 << 62  # the last moment that a planner had the lease
        self._retained: set[tuple[int, int]] = set()  # as planners said, by numbers

    def _take_snapshot(self) -> tuple[dict[str, Any], set[int]]:
        told: tuple[dict[str, Any], set[int]] = self.dispatcher.policy_boundary.inspect(
            self.recorder.take_snapshot
        )
        return told

    async def run(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        dispatcher.report_planner = self.report_status
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch)
            group.start_soon(self._keep_linked)

    def report_status(self) -> dict[str, Any]:
        return {**self.session.report_status(), "plans_itself": self.plans_locally, **self.counts}

    async def _watch(self) -> None:
        while self.edge_settings.functions.may_request_loads:
            self.check_lease()
            await anyio.sleep(LEASE_CHECK_INTERVAL_NS / 1e9)

    def check_lease(self) -> None:
        """Who decides on copies: the planner while it has the lease, this process once there was none for
        `alone_ms`, and nobody in between."""
        now = self.clock()
        if self.session.is_leased():
            self._leased = now
            if self.plans_locally:
                self._set_planning(False)
        elif not self.plans_locally and now - self._leased > ms_to_ns(self.link_settings.alone_ms):
            self._set_planning(True)

    def _set_planning(self, on: bool) -> None:
        self.plans_locally = on
        self.dispatcher.policy_boundary.allow_load_requests(on)
        self.counts["took over" if on else "handed over"] += 1
        self.log.info("plans itself" if on else "is planned for", planner=self.session.planner_name)

    async def _keep_linked(self) -> None:
        at, wait = 0, self.link_settings.retry_ms / 1000
        while True:
            address = self.link_settings.at[at % len(self.link_settings.at)]
            try:
                await self._linked(address)
                why = "the planner closed the connection"
            except* (LinkProtocolError, fr.FrameError) as errors:
                why = str(errors.exceptions[0])
            except* CONNECTION_ERRORS as errors:
                why = f"{type(errors.exceptions[0]).__name__} {errors.exceptions[0]}".strip()
            except* Exception as errors:  # of the event loop or ours: the edge goes on without a planner
                self.dispatcher.record_fault(errors)
                why = "a fault of ours"
            proven = self.session.is_established()
            self.session.connection_lost()
            self.counts["links lost"] += 1
            self.log.warning("no planner", why=why, host=address.host, port=address.port)
            if proven:
                wait = self.link_settings.retry_ms / 1000  # it may be back at once
            else:
                at += 1
                wait = min(2 * wait, self.link_settings.retry_ms / 100)
            await anyio.sleep(wait * (0.5 + self.random()))

    async def _linked(self, address: Address) -> None:
        with anyio.fail_after(self.link_settings.lease_ms / 1000):
            stream = await anyio.connect_tcp(address.host, address.port)
        try:
            self.session.connection_made()
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, stream)
                await self._read(stream)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _write(self, stream: SocketStream) -> None:
        every, longest = self.link_settings.flush_ms / 1000, self.link_settings.lease_ms / 1000
        while True:
            data = self.session.next_frame()
            if data is None:
                await anyio.sleep(every)
                continue
            with anyio.fail_after(longest):  # one that does not read is as one that does not answer
                await stream.send(data)

    async def _read(self, stream: SocketStream) -> None:
        reader = fr.FrameReader()
        while True:
            with suppress(anyio.EndOfStream):
                data = await stream.receive()
                for message in reader.feed(data):
                    self.session.receive_message(message)
                self.apply_decisions()
                continue
            return

    def apply_decisions(self) -> None:
        while self.session.pending_decisions:
            message = self.session.pending_decisions.popleft()
            if isinstance(message, fr.RestoreReplicas):
                self.dispatcher.confirm_replicas(message.replicas)
                continue
            runners, models = self.recorder.by_number
            try:
                held = [(runners[r], models[m], on) for r, m, on in message.retained]
                orders = [(number, runners[r], models[m]) for number, r, m in message.load_requests]
            except IndexError:
                raise LinkProtocolError("it decided on what there is not") from None
            if message.is_complete:
                named = {(r, m) for r, m, _ in message.retained}
                held += [(runners[r], models[m], False) for r, m in sorted(self._retained - named)]
                self._retained = named
            for r, m, on in message.retained:
                (self._retained.add if on else self._retained.discard)((r, m))
            given, refused = self.dispatcher.apply_plan(orders, held)
            self.counts["orders"] += given
            self.counts["orders refused"] += refused

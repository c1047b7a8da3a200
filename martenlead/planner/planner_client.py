"""An edge's client of its planner: the connection, and the switch to local planning.

It runs in the event loop of the dispatcher, but never as part of handling a request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from random import Random
from time import monotonic_ns

import anyio
import structlog
from anyio.abc import SocketStream

from martenlead.capture.recorder import policy_hash
from martenlead.config.edge import Address, EdgeSettings, PlannerLinkSettings, ms_to_ns
from martenlead.edge.dispatcher import Dispatcher
from martenlead.planner import frames as fr
from martenlead.planner.connection_errors import CONNECTION_ERRORS, describe_error
from martenlead.planner.edge_session import EdgeSession, TakenSnapshot
from martenlead.planner.link import (
    LONG_AGO_NS,
    NS_PER_MS,
    NS_PER_SECOND,
    LinkProtocolError,
    SessionLimits,
)
from martenlead.planner.link_recorder import LinkRecorder
from martenlead.planner.status import JsonObject
from martenlead.policy.state import Function, Worker

LEASE_CHECK_INTERVAL_NS = 50 * NS_PER_MS
MS_PER_SECOND = 1000
BACKOFF_FACTOR = 2
MAX_BACKOFF_RETRIES = 10  # longest wait between connections, as a multiple of `retry_ms`


class PlannerClient:
    """Keeps the edge connected to a planner and executes the planner's decisions.

    `recorder` is passed to the dispatcher's policy boundary; `run` runs beside the dispatcher.
    """

    def __init__(
        self,
        edge: EdgeSettings,
        link: PlannerLinkSettings,
        clock: Callable[[], int] = monotonic_ns,
    ) -> None:
        self.edge_settings, self.link_settings, self.clock = edge, link, clock
        self.random = (Random(edge.seed) if edge.seed is not None else Random()).random
        incarnation = f"{Random().getrandbits(64):016x}"
        limits = SessionLimits(
            lease_ns=ms_to_ns(link.lease_ms),
            outbox_bytes=link.outbox_bytes,
            snapshot_interval_ns=ms_to_ns(link.snapshot_ms),
            highest_version=link.speaks,
        )
        self.session = EdgeSession(
            edge.name, incarnation, policy_hash(), clock, self._take_snapshot, limits
        )
        self.recorder = LinkRecorder(self.session.record_event, edge.name, link.snapshot_functions)
        self.dispatcher: Dispatcher
        # whether this process decides on loads now; changes with the lease
        self.plans_locally = edge.functions.may_request_loads
        self.counts: Counter[str] = Counter()  # keys as on the status page
        self.log = structlog.get_logger().bind(edge=edge.name)
        self._last_leased_ns = LONG_AGO_NS
        # replicas retained by planners, as numbers of worker and function
        self._retained: set[tuple[int, int]] = set()

    def _take_snapshot(self) -> TakenSnapshot:
        taken: TakenSnapshot = self.dispatcher.policy_boundary.inspect(self.recorder.take_snapshot)
        return taken

    async def run(self, dispatcher: Dispatcher) -> None:
        """Keeps the link and checks the lease until cancelled."""
        self.dispatcher = dispatcher
        dispatcher.report_planner = self.report_status
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_lease)
            group.start_soon(self._keep_linked)

    def report_status(self) -> JsonObject:
        """Returns the status for operators, with the keys of the status page."""
        link = self.session.report_status().to_json_object()
        return {**link, "plans_itself": self.plans_locally, **self.counts}

    # -- who decides on loads

    async def _watch_lease(self) -> None:
        while self.edge_settings.functions.may_request_loads:
            self.check_lease()
            await anyio.sleep(LEASE_CHECK_INTERVAL_NS / NS_PER_SECOND)

    def check_lease(self) -> None:
        """Lets the planner decide on loads while it holds the lease.

        After `alone_ms` without a lease this process decides; until then nobody does.
        """
        now_ns = self.clock()
        if self.session.is_leased():
            self._last_leased_ns = now_ns
            if self.plans_locally:
                self._set_planning(False)
            return
        alone_ns = now_ns - self._last_leased_ns
        if not self.plans_locally and alone_ns > ms_to_ns(self.link_settings.alone_ms):
            self._set_planning(True)

    def _set_planning(self, is_local: bool) -> None:
        self.plans_locally = is_local
        self.dispatcher.policy_boundary.allow_load_requests(is_local)
        self.counts["took over" if is_local else "handed over"] += 1
        event = "planning_taken_over" if is_local else "planning_handed_over"
        self.log.info(event, planner=self.session.planner_name)

    # -- the connection

    async def _keep_linked(self) -> None:
        """Connects to the planners of the list in turn, with a growing delay.

        An established planner is tried again first, after the shortest delay.
        """
        addresses, retry_seconds = (
            self.link_settings.at,
            self.link_settings.retry_ms / MS_PER_SECOND,
        )
        attempt, backoff_seconds = 0, retry_seconds
        while True:
            address = addresses[attempt % len(addresses)]
            reason = await self._run_link(address)
            was_established = self.session.is_established()
            self.session.connection_lost()
            self.counts["links lost"] += 1
            self.log.warning("link_lost", reason=reason, host=address.host, port=address.port)
            if was_established:
                backoff_seconds = retry_seconds
            else:
                attempt += 1
                longest_seconds = MAX_BACKOFF_RETRIES * retry_seconds
                backoff_seconds = min(BACKOFF_FACTOR * backoff_seconds, longest_seconds)
            await anyio.sleep(backoff_seconds * (0.5 + self.random()))

    async def _run_link(self, address: Address) -> str:
        """Runs one link and returns why it ended; an internal error ends only the link."""
        reason = "the planner closed the connection"
        try:
            await self._connect_and_exchange(address)
        except* (LinkProtocolError, fr.FrameError) as errors:
            reason = str(errors.exceptions[0])
        except* CONNECTION_ERRORS as errors:
            reason = describe_error(errors.exceptions[0])
        except* Exception as errors:
            self.dispatcher.record_fault(errors)
            reason = "an internal fault"
        return reason

    async def _connect_and_exchange(self, address: Address) -> None:
        with anyio.fail_after(self.link_settings.lease_ms / MS_PER_SECOND):
            stream = await anyio.connect_tcp(address.host, address.port)
        try:
            self.session.connection_made()
            async with anyio.create_task_group() as group:
                group.start_soon(self._write_frames, stream)
                await self._read_frames(stream)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _write_frames(self, stream: SocketStream) -> None:
        """Sends frames; a send that takes longer than a lease duration ends the connection."""
        flush_seconds = self.link_settings.flush_ms / MS_PER_SECOND
        lease_seconds = self.link_settings.lease_ms / MS_PER_SECOND
        while True:
            data = self.session.next_frame()
            if data is None:
                await anyio.sleep(flush_seconds)
                continue
            with anyio.fail_after(lease_seconds):
                await stream.send(data)

    async def _read_frames(self, stream: SocketStream) -> None:
        """Handles messages until the planner closes the connection."""
        reader = fr.FrameReader()
        with suppress(anyio.EndOfStream):
            while True:
                data = await stream.receive()
                for message in reader.feed(data):
                    self.session.receive_message(message)
                self.apply_decisions()

    # -- the planner's decisions

    def apply_decisions(self) -> None:
        """Executes the decisions that have arrived.

        Raises:
            LinkProtocolError: a decision names an object that does not exist.
        """
        while self.session.pending_decisions:
            message = self.session.pending_decisions.popleft()
            if isinstance(message, fr.RestoreReplicas):
                self.dispatcher.confirm_replicas(message.replicas)
            else:
                self._apply_update(message)

    def _apply_update(self, update: fr.PlanUpdate) -> None:
        changes = self._retention_changes(update)
        workers, functions = self.recorder.workers_by_number, self.recorder.functions_by_number
        try:
            retained = [(workers[w], functions[f], is_retained) for w, f, is_retained in changes]
            loads = [(number, workers[w], functions[f]) for number, w, f in update.load_requests]
        except IndexError:
            error = "a decision of the planner names a worker or function that does not exist"
            raise LinkProtocolError(error) from None
        self._record_retained(changes)
        self._request_loads(loads, retained)

    def _retention_changes(self, update: fr.PlanUpdate) -> list[fr.RetentionChange]:
        """Returns the changes; a complete update releases every replica that it does not list."""
        if not update.is_complete:
            return update.retained
        listed = {(change.worker, change.function) for change in update.retained}
        released = sorted(self._retained - listed)
        return [*update.retained, *(fr.RetentionChange(*key, False) for key in released)]

    def _record_retained(self, changes: list[fr.RetentionChange]) -> None:
        for worker, function, is_retained in changes:
            if is_retained:
                self._retained.add((worker, function))
            else:
                self._retained.discard((worker, function))

    def _request_loads(
        self,
        loads: list[tuple[int, Worker, Function]],
        retained: list[tuple[Worker, Function, bool]],
    ) -> None:
        requested, refused = self.dispatcher.apply_plan(loads, retained)
        self.counts["orders"] += requested
        self.counts["orders refused"] += refused

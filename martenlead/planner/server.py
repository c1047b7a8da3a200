"""The planner program: links with many edges, and a replica of the policy of each edge."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from time import monotonic_ns

import anyio
import msgspec
import structlog
from anyio.abc import SocketStream

from martenlead.events.http import Message
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits, StreamListener, listen
from martenlead.planner import frames as fr
from martenlead.planner.connection_errors import CONNECTION_ERRORS, describe_error
from martenlead.planner.link import NS_PER_MS, NS_PER_SECOND, LinkProtocolError
from martenlead.planner.link_input import INPUT_BYTES_LIMIT, LinkInput
from martenlead.planner.planner_session import PlannerSession
from martenlead.planner.replica_store import ReplicaStore
from martenlead.planner.settings import PlannerSettings
from martenlead.planner.status import PlannerStatus
from martenlead.system import clocks
from martenlead.system.clocks import Moment
from martenlead.system.input_memory import InputMemory

HELLO_TIMEOUT_SECONDS = 5.0
WRITE_TIMEOUT_SECONDS = 5.0
REFUSE_TIMEOUT_SECONDS = 1.0
REFRESH_INTERVAL_SECONDS = 1.0
MAX_UNSAVED_SECONDS = 5.0  # limits the error of the saved idle times
MIN_WAIT_SECONDS, MAX_WAIT_SECONDS = 0.001, 1.0  # bounds of the wait between two polls of a link


class Planner:
    """A planner: its sessions with edges, and the store of the replicas that they retain."""

    def __init__(
        self,
        settings: PlannerSettings,
        clock: Callable[[], int] = monotonic_ns,
        moment: Callable[[], Moment] = clocks.moment,
    ) -> None:
        self.settings, self.clock = settings, clock
        self.incarnation = f"{Random().getrandbits(64):016x}"
        self.sessions: dict[str, PlannerSession] = {}  # keyed by edge name
        self.connection_scopes: dict[str, anyio.CancelScope] = {}  # keyed by edge name
        self._inputs: set[LinkInput] = set()
        self.input_memory = InputMemory(INPUT_BYTES_LIMIT, self._inputs, clock, lambda: None)
        # scopes of connections that have not sent a Hello, the oldest first
        self._hello_scopes: dict[SocketStream, anyio.CancelScope] = {}
        self.log = structlog.get_logger().bind(planner=settings.name)
        self._last_number = 0
        path = Path(settings.state_path) if settings.state_path is not None else None
        self.store = ReplicaStore(path, settings.name, self.log, moment)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # -- retained replicas

    def find_earlier_replicas(self, edge: str) -> list[fr.RetainedReplica]:
        """Returns replicas that an edge's predecessor retained and that may still be loaded."""
        session = self.sessions.get(edge)
        if session is None or session.policy_replica is None:
            return []
        keep_alive_ns = session.policy_replica.restored.settings.keep_alive_ns
        return self.store.find(edge, keep_alive_ns / NS_PER_MS)

    def refresh_saved_replicas(self) -> bool:
        """Stores the replicas retained now; returns whether the set of replicas changed."""
        replicas: dict[str, list[fr.RetainedReplica]] = {}
        for edge, session in self.sessions.items():
            if session.policy_replica is None:
                continue
            retained = session.policy_replica.list_retained()
            if retained or session.policy_replica.request_count:
                replicas[edge] = retained
        return self.store.update(replicas)

    async def _keep_saving(self) -> None:
        """Saves when the retained replicas change, and periodically to update idle times."""
        saved_seconds = 0.0
        while True:
            await anyio.sleep(REFRESH_INTERVAL_SECONDS)
            is_changed = self.refresh_saved_replicas()
            if self.settings.state_path is None:
                continue
            if is_changed or time.monotonic() - saved_seconds > MAX_UNSAVED_SECONDS:
                saved_seconds = time.monotonic()
                self.store.saver.changed()

    # -- links

    def get_session(self, edge: str) -> PlannerSession:
        """Returns the session of an edge, creating it at the first connection.

        Raises:
            LinkProtocolError: the limit of edges is reached, and all have sent their state.
        """
        if edge not in self.sessions:
            if len(self.sessions) >= self.settings.edge_limit:
                self._end_oldest_without_state()
            if len(self.sessions) >= self.settings.edge_limit:
                error = f"it plans for {self.settings.edge_limit} edges already"
                raise LinkProtocolError(error)
            self.sessions[edge] = PlannerSession(
                self.settings.name,
                self.incarnation,
                self.clock,
                self._next_number,
                self.find_earlier_replicas,
                int(self.settings.heartbeat_ms * NS_PER_MS),
                self.settings.highest_version,
            )
        return self.sessions[edge]

    def _end_oldest_without_state(self) -> None:
        """Ends the link of an edge that has sent no state, so that a further edge has a place."""
        for edge, session in self.sessions.items():
            if session.policy_replica is None:
                self.connection_scopes[edge].cancel()
                self._forget(edge)
                return

    def _forget(self, edge: str) -> None:
        del self.sessions[edge], self.connection_scopes[edge]

    async def run(self, listener: StreamListener) -> None:
        """Serves edges until cancelled."""
        async with anyio.create_task_group() as group:
            self.store.remove_leftovers()
            group.start_soon(self._keep_saving)
            group.start_soon(self.store.saver.run)
            if self.settings.admin is not None:
                admin, port = await listen(self.settings.admin.host, self.settings.admin.port)
                group.start_soon(self._make_admin_server().serve, admin)
                self.log.info("admin_started", port=port)
            listener.on_full = self._end_oldest_without_hello
            await listener.serve(self._serve_connection, group)

    def _end_oldest_without_hello(self) -> None:
        """Ends a connection without a Hello, so that a waiting connection can be accepted."""
        oldest = next(iter(self._hello_scopes.values()), None)
        if oldest is not None:
            oldest.cancel()

    async def _serve_connection(self, stream: SocketStream) -> None:
        """Serves one connection until it ends; an internal error ends only this link."""
        reason, edge = "closed", ""
        link_input = LinkInput(stream, self.input_memory)
        self._inputs.add(link_input)
        try:
            messages = await self._read_first_messages(stream, link_input)
            edge = _edge_name(messages[0])
            reason = await self._run_session(edge, stream, link_input, messages)
        except* LinkProtocolError as errors:
            reason = str(errors.exceptions[0])
            with suppress(*CONNECTION_ERRORS), anyio.move_on_after(REFUSE_TIMEOUT_SECONDS):
                await stream.send(fr.encode_frame(fr.LinkRefused(reason)))
        except* (fr.FrameError, *CONNECTION_ERRORS) as errors:
            reason = describe_error(errors.exceptions[0])
        except* Exception as errors:
            self.log.exception("link_failed", edge=edge, exc_info=errors)
            reason = "an internal fault"
        finally:
            self._inputs.remove(link_input)
            link_input.release()
            self.log.info("link_ended", edge=edge, reason=reason)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _read_first_messages(
        self, stream: SocketStream, link_input: LinkInput
    ) -> list[fr.AnyMessage]:
        """Returns the first messages; raises `LinkProtocolError` if its slot is needed."""
        messages: list[fr.AnyMessage] = []
        with anyio.fail_after(HELLO_TIMEOUT_SECONDS) as scope:
            self._hello_scopes[stream] = scope
            try:
                while not messages:
                    messages = await link_input.receive()
            finally:
                del self._hello_scopes[stream]
        if not messages:
            error = "no Hello came, and others wait for its place"
            raise LinkProtocolError(error)
        return messages

    async def _run_session(
        self,
        edge: str,
        stream: SocketStream,
        link_input: LinkInput,
        messages: list[fr.AnyMessage],
    ) -> str:
        """Runs an edge's session on a connection and cancels an older connection of that edge.

        The session outlives the connection if it has the state of the edge.
        """
        session = self.get_session(edge)
        if edge in self.connection_scopes:
            self.connection_scopes[edge].cancel()
        with anyio.CancelScope() as scope:
            self.connection_scopes[edge] = scope
            session.connection_made()
            self.log.info("link_started", edge=edge)
            try:
                await _exchange(stream, link_input, session, messages)
            finally:
                is_newest = self.connection_scopes.get(edge) is scope
                if is_newest and session.policy_replica is None:
                    self._forget(edge)
        return "its place was needed" if scope.cancelled_caught else "closed"

    # -- status for operators

    def report_status(self) -> PlannerStatus:
        """Returns the status of the planner and all its links."""
        return PlannerStatus(
            planner_name=self.settings.name,
            incarnation=self.incarnation,
            edges=[session.report_status().to_json_object() for session in self.sessions.values()],
            saves=dict(self.store.save_counts),
        )

    def _make_admin_server(self) -> Server:
        async def handle(message: Message, _now: int) -> Reply:
            """Answers GET /state."""
            if message.target.partition(b"?")[0] != b"/state":
                return problem(404, "No such path", "GET /state is here")
            body = msgspec.json.encode(self.report_status())
            return Reply(200, [(b"content-type", b"application/json")], body)

        return Server(
            handle,
            ServerLimits(),
            make_error_reply=lambda status, why: problem(status, "Not taken", why),
            make_fault_reply=lambda error: problem(500, "A fault of ours", repr(error)),
        )


def _edge_name(message: fr.AnyMessage) -> str:
    if not isinstance(message, fr.Hello):
        error = "a Hello was expected first"
        raise LinkProtocolError(error)
    return message.edge_name


async def _exchange(
    stream: SocketStream,
    link_input: LinkInput,
    session: PlannerSession,
    messages: list[fr.AnyMessage],
) -> None:
    """Passes these and all further messages to a session, and sends its frames.

    Reads no further while frames of the session wait to be sent.
    """
    received, sent = anyio.Event(), anyio.Event()

    async def read() -> None:
        """Passes on received messages until the connection ends with an error."""
        nonlocal messages
        while True:
            for message in messages:
                session.receive_message(message)
            received.set()
            if session.has_frames:
                await sent.wait()
            messages = await link_input.receive()

    async with anyio.create_task_group() as group:
        group.start_soon(read)
        while True:
            received = anyio.Event()
            session.poll()
            while (data := session.next_frame()) is not None:
                with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
                    await stream.send(data)
            sent.set()
            sent = anyio.Event()
            if not received.is_set():
                wait_ns = session.next_due_ns() - session.own_clock()
                wait_seconds = min(wait_ns / NS_PER_SECOND, MAX_WAIT_SECONDS)
                with anyio.move_on_after(max(MIN_WAIT_SECONDS, wait_seconds)):
                    await received.wait()


async def serve(settings: PlannerSettings, on_started: Callable[[int], None] | None = None) -> None:
    """Runs a planner until SIGTERM or SIGINT; calls `on_started` with its port.

    No shutdown protocol is needed, as edges continue without a planner. Raises OSError if the
    listener cannot be opened.
    """
    planner = Planner(settings)
    listener, port = await listen(settings.listen.host, settings.listen.port)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(planner.run, listener)
            if on_started:
                on_started(port)
            await anext(signals)
            group.cancel_scope.cancel()

"""The planner program: links of many edges, a mirror of each one's module, what they held on disk."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from time import monotonic_ns
from typing import Annotated, Any

import anyio
import anyio.to_thread
import msgspec
import structlog
from anyio.abc import SocketStream
from msgspec import Meta

from martenlead.events.http import Message
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits, StreamListener, listen
from martenlead.planner import frames as fr
from martenlead.planner.link import NS_PER_MS, LinkProtocolError, PlannerSession
from martenlead.system import clocks
from martenlead.system.clocks import Moment
from martenlead.system.durable_file import Backoff, read_if_there, remove_leftovers, replace_file
from martenlead.system.state_saver import SaveHealth, StateSaver

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
HELLO_TIMEOUT_SECONDS, WRITE_TIMEOUT_SECONDS, REFRESH_INTERVAL_SECONDS = 5.0, 5.0, 1.0
MAX_UNSAVED_SECONDS = 5.0  # the ages of copies that are saved are wrong by this at most

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(gt=0)]


class ListenAddress(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    host: str = "127.0.0.1"
    port: Port = 0


class PlannerSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Times are ms. What an edge's models may cost is the edge's to say: a planner has no settings for it."""

    name: Annotated[str, Meta(min_length=1, max_length=200)] = "planner"
    listen: ListenAddress = ListenAddress()
    admin: ListenAddress | None = None  # GET /state
    state_path: str | None = msgspec.field(
        default=None, name="kept"
    )  # file that holds what was held, for edges and planners that start anew
    edge_limit: Annotated[int, Meta(ge=1, le=10_000)] = msgspec.field(
        default=256, name="edges"
    )  # beyond: refused
    heartbeat_ms: Positive = msgspec.field(default=200, name="beat_ms")
    highest_version: Annotated[int, Meta(ge=1, le=2)] = msgspec.field(
        default=fr.HIGHEST_VERSION, name="speaks"
    )


class SavedReplicas(msgspec.Struct):
    """What was held for each edge, as of a time of the wall clock (s), and of the boot clock (`uptime`, ns,
    of the machine's start `boot`). Older files have no boot clock."""

    saved_unix_seconds: float = msgspec.field(name="saved")
    replicas_by_edge: dict[str, list[fr.RetainedReplica]] = msgspec.field(name="edges")
    boot_id: str = msgspec.field(default="", name="boot")
    uptime_ns: int = msgspec.field(default=0, name="uptime")


def saved_moment(kept: SavedReplicas) -> Moment:
    """When this state was written."""
    return Moment(round(kept.saved_unix_seconds * 1e9), kept.boot_id, kept.uptime_ns)


class Planner:
    def __init__(
        self,
        settings: PlannerSettings,
        clock: Callable[[], int] = monotonic_ns,
        moment: Callable[[], Moment] = clocks.moment,
    ) -> None:
        self.settings, self.clock, self.moment = settings, clock, moment
        self.incarnation = f"{Random().getrandbits(64):016x}"
        self.sessions: dict[str, PlannerSession] = {}
        self.connection_scopes: dict[str, anyio.CancelScope] = {}
        self.log = structlog.get_logger().bind(planner=settings.name)
        self._number = 0
        self._is_unread = False  # a file is there that could not be read: it must not be written over
        self.saved_replicas = self._read_at_start()
        self.save_counts = Counter[str]()  # by their outcome
        self.saver = self._make_saver()

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    # -- what was held

    def _read_at_start(self) -> SavedReplicas:
        """At the start. What cannot be read now is read again before anything is written."""
        try:
            return self._read_file()
        except OSError as error:
            self._is_unread = True
            self.log.warning("state_unread", why=str(error))
            return self._saved_now({})

    def _read_file(self) -> SavedReplicas:
        """Raises OSError for a file that is there and cannot be read now."""
        if self.settings.state_path is None:
            return self._saved_now({})
        data = read_if_there(Path(self.settings.state_path))
        try:
            return msgspec.json.decode(data or b"", type=SavedReplicas)
        except msgspec.DecodeError:
            return self._saved_now({})

    def _saved_now(self, edges: dict[str, list[fr.RetainedReplica]]) -> SavedReplicas:
        now = self.moment()
        return SavedReplicas(now.wall / 1e9, edges, now.boot, now.uptime)

    async def _read_unread(self) -> None:
        """Takes up what could not be read at the start, where no edge has told of newer since. Raises
        OSError."""
        if not self._is_unread:
            return
        found = await anyio.to_thread.run_sync(self._read_file)
        passed = clocks.passed(saved_moment(found), saved_moment(self.saved_replicas)) / NS_PER_MS
        for edge, copies in found.replicas_by_edge.items():
            aged = [(r, m, lanes, mb, age + passed) for r, m, lanes, mb, age in copies]
            self.saved_replicas.replicas_by_edge.setdefault(edge, aged)
        self._is_unread = False

    def _make_saver(self) -> StateSaver[bytes]:
        backoff = Backoff(Random(self.settings.name))
        health = SaveHealth(
            "planner", self.log, backoff, count=lambda event, _state: self.save_counts.update([event])
        )
        return StateSaver(
            lambda: msgspec.json.encode(self.saved_replicas),
            self._write_state_file,
            health,
            prepare=self._read_unread,
        )

    def _write_state_file(self, data: bytes) -> None:
        """In a thread. Raises OSError."""
        if self.settings.state_path is not None:
            replace_file(Path(self.settings.state_path), data)

    def find_earlier_replicas(self, edge: str) -> list[fr.RetainedReplica]:
        """What was held for an edge, and has not lapsed since to our knowledge."""
        since = clocks.passed(saved_moment(self.saved_replicas), self.moment()) / NS_PER_MS
        keep = self._keep_ms(edge)
        copies = self.saved_replicas.replicas_by_edge.get(edge, [])
        return [(r, m, lanes, mb, age + since) for r, m, lanes, mb, age in copies if age + since < keep]

    def _keep_ms(self, edge: str) -> float:
        end = self.sessions.get(edge)
        return (
            end.policy_replica.restored.settings.keep_alive_ns / NS_PER_MS
            if end is not None and end.policy_replica is not None
            else 0.0
        )

    def refresh_saved_replicas(self) -> bool:
        """Takes over what is held now; whether that is another list than before."""
        edges = dict(self.saved_replicas.replicas_by_edge)
        for name, end in self.sessions.items():
            if end.policy_replica is not None and (
                end.policy_replica.request_count or end.policy_replica.list_retained()
            ):
                edges[name] = [
                    (r, m, lanes, mb, used / NS_PER_MS)
                    for r, m, lanes, mb, used in end.policy_replica.list_retained()
                ]
        changed = {n: [c[:2] for c in v] for n, v in edges.items()} != {
            n: [c[:2] for c in v] for n, v in self.saved_replicas.replicas_by_edge.items()
        }
        self.saved_replicas = self._saved_now(edges)
        return changed

    async def _keep_saving(self) -> None:
        """Tells the saver when what is held has changed, and now and then, since copies were used
        meanwhile."""
        saved = 0.0
        while True:
            await anyio.sleep(REFRESH_INTERVAL_SECONDS)
            changed = self.refresh_saved_replicas()
            if self.settings.state_path is None:
                continue
            if changed or time.monotonic() - saved > MAX_UNSAVED_SECONDS:
                saved = time.monotonic()
                self.saver.changed()

    # -- links

    def get_session(self, edge: str) -> PlannerSession:
        """Of one edge's link, its first or a later one. Raises `Broken`."""
        if edge not in self.sessions:
            if len(self.sessions) >= self.settings.edge_limit:
                raise LinkProtocolError(f"it plans for {self.settings.edge_limit} edges already")
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

    async def run(self, listener: StreamListener) -> None:
        async with anyio.create_task_group() as group:
            if self.settings.state_path is not None:
                remove_leftovers(Path(self.settings.state_path))
            group.start_soon(self._keep_saving)
            group.start_soon(self.saver.run)
            if self.settings.admin is not None:
                admin, port = await listen(self.settings.admin.host, self.settings.admin.port)
                group.start_soon(self._admin().serve, admin)
                self.log.info("admin", port=port)
            await listener.serve(self._connected, group)

    async def _connected(self, stream: SocketStream) -> None:
        why = "closed"
        edge = ""
        try:
            reader = fr.FrameReader()
            with anyio.fail_after(HELLO_TIMEOUT_SECONDS):
                messages: list[fr.AnyMessage] = []
                while not messages:
                    messages = reader.feed(await stream.receive())
            if not isinstance(messages[0], fr.Hello):
                raise LinkProtocolError("a Hello was expected first")
            edge = messages[0].edge_name
            end = self.get_session(edge)
            if edge in self.connection_scopes:
                self.connection_scopes[edge].cancel()  # nothing more of the connection before is heard
            with anyio.CancelScope() as scope:
                self.connection_scopes[edge] = scope
                end.connection_made()
                self.log.info("links", edge=edge)
                await self._link(stream, reader, end, messages)
            if scope.cancelled_caught:
                why = "a newer connection of that edge"
        except* LinkProtocolError as errors:
            why = str(errors.exceptions[0])
            with suppress(*CONNECTION_ERRORS), anyio.move_on_after(1):
                await stream.send(fr.encode_frame(fr.LinkRefused(why)))
        except* (fr.FrameError, *CONNECTION_ERRORS) as errors:
            why = f"{type(errors.exceptions[0]).__name__} {errors.exceptions[0]}".strip()
        except* Exception as errors:  # it costs this link alone; its edge asks for a new one
            self.log.error("link_failed", edge=edge, exc_info=errors)
            why = "a fault of ours"
        finally:
            self.log.info("link ends", edge=edge, why=why)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _link(
        self, stream: SocketStream, reader: fr.FrameReader, end: PlannerSession, messages: list[fr.AnyMessage]
    ) -> None:
        woken = anyio.Event()

        async def read() -> None:
            nonlocal messages
            while True:
                for message in messages:
                    end.receive_message(message)
                woken.set()
                messages = reader.feed(await stream.receive())

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            while True:
                woken = anyio.Event()
                end.poll()
                while (data := end.next_frame()) is not None:
                    with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
                        await stream.send(data)
                wait = (end.next_due_ns() - self.clock()) / 1e9
                if not woken.is_set():
                    with anyio.move_on_after(max(0.001, min(wait, 1.0))):
                        await woken.wait()

    # -- what operators see

    def report_status(self) -> dict[str, Any]:
        return {
            "planner": self.settings.name,
            "life": self.incarnation,
            "edges": [end.report_status() for end in self.sessions.values()],
            "saves": dict(self.save_counts),
        }

    def _admin(self) -> Server:
        async def handle(message: Message, _now: int) -> Reply:
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


async def serve(settings: PlannerSettings, started: Callable[[int], None] | None = None) -> None:
    """Until SIGTERM or SIGINT. Edges go on by themselves; nothing has to be handed over. Raises OSError for
    the listener."""
    planner = Planner(settings)
    listener, port = await listen(settings.listen.host, settings.listen.port)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(planner.run, listener)
            if started:
                started(port)
            await anext(signals)
            group.cancel_scope.cancel()

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
from martenlead.planner.link import MS, Broken, PlannerEnd
from martenlead.system import clocks
from martenlead.system.clocks import Moment
from martenlead.system.durable_file import Backoff, read_if_there, remove_leftovers, replace_file
from martenlead.system.state_saver import SaveHealth, StateSaver

GONE = (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
HELLO_S, WRITE_S, KEEP_S = 5.0, 5.0, 1.0
LONGEST_UNSAVED_S = 5.0  # the ages of copies that are saved are wrong by this at most

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(gt=0)]


class Place(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    host: str = "127.0.0.1"
    port: Port = 0


class PlannerSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Times are ms. What an edge's models may cost is the edge's to say: a planner has no settings for it."""

    name: Annotated[str, Meta(min_length=1, max_length=200)] = "planner"
    listen: Place = Place()
    admin: Place | None = None  # GET /state
    kept: str | None = None  # file that holds what was held, for edges and planners that start anew
    edges: Annotated[int, Meta(ge=1, le=10_000)] = 256  # beyond: refused
    beat_ms: Positive = 200
    speaks: Annotated[int, Meta(ge=1, le=2)] = fr.MOST


class Kept(msgspec.Struct):
    """What was held for each edge, as of a time of the wall clock (s), and of the boot clock (`uptime`, ns,
    of the machine's start `boot`). Older files have no boot clock."""

    saved: float
    edges: dict[str, list[fr.Copy]]
    boot: str = ""
    uptime: int = 0


def saved_at(kept: Kept) -> Moment:
    """When this state was written."""
    return Moment(round(kept.saved * 1e9), kept.boot, kept.uptime)


class Planner:
    def __init__(
        self,
        settings: PlannerSettings,
        clock: Callable[[], int] = monotonic_ns,
        moment: Callable[[], Moment] = clocks.moment,
    ) -> None:
        self.settings, self.clock, self.moment = settings, clock, moment
        self.life = f"{Random().getrandbits(64):016x}"
        self.ends: dict[str, PlannerEnd] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.log = structlog.get_logger().bind(planner=settings.name)
        self._number = 0
        self._is_unread = False  # a file is there that could not be read: it must not be written over
        self.kept = self._read()
        self.saves = Counter[str]()  # by their outcome
        self.saver = self._make_saver()

    def _numbers(self) -> int:
        self._number += 1
        return self._number

    # -- what was held

    def _read(self) -> Kept:
        """At the start. What cannot be read now is read again before anything is written."""
        try:
            return self._read_file()
        except OSError as error:
            self._is_unread = True
            self.log.warning("state_unread", why=str(error))
            return self._kept_now({})

    def _read_file(self) -> Kept:
        """Raises OSError for a file that is there and cannot be read now."""
        if self.settings.kept is None:
            return self._kept_now({})
        data = read_if_there(Path(self.settings.kept))
        try:
            return msgspec.json.decode(data or b"", type=Kept)
        except msgspec.DecodeError:
            return self._kept_now({})

    def _kept_now(self, edges: dict[str, list[fr.Copy]]) -> Kept:
        now = self.moment()
        return Kept(now.wall / 1e9, edges, now.boot, now.uptime)

    async def _read_unread(self) -> None:
        """Takes up what could not be read at the start, where no edge has told of newer since. Raises
        OSError."""
        if not self._is_unread:
            return
        found = await anyio.to_thread.run_sync(self._read_file)
        passed = clocks.passed(saved_at(found), saved_at(self.kept)) / MS
        for edge, copies in found.edges.items():
            aged = [(r, m, lanes, mb, age + passed) for r, m, lanes, mb, age in copies]
            self.kept.edges.setdefault(edge, aged)
        self._is_unread = False

    def _make_saver(self) -> StateSaver[bytes]:
        backoff = Backoff(Random(self.settings.name))
        health = SaveHealth(
            "planner", self.log, backoff, count=lambda event, _state: self.saves.update([event])
        )
        return StateSaver(
            lambda: msgspec.json.encode(self.kept), self._write, health, prepare=self._read_unread
        )

    def _write(self, data: bytes) -> None:
        """In a thread. Raises OSError."""
        if self.settings.kept is not None:
            replace_file(Path(self.settings.kept), data)

    def recall(self, edge: str) -> list[fr.Copy]:
        """What was held for an edge, and has not lapsed since to our knowledge."""
        since = clocks.passed(saved_at(self.kept), self.moment()) / MS
        keep = self._keep_ms(edge)
        copies = self.kept.edges.get(edge, [])
        return [(r, m, lanes, mb, age + since) for r, m, lanes, mb, age in copies if age + since < keep]

    def _keep_ms(self, edge: str) -> float:
        end = self.ends.get(edge)
        return (
            end.mirror.all.settings.keep_alive_ns / MS if end is not None and end.mirror is not None else 0.0
        )

    def look(self) -> bool:
        """Takes over what is held now; whether that is another list than before."""
        edges = dict(self.kept.edges)
        for name, end in self.ends.items():
            if end.mirror is not None and (end.mirror.tasks_seen or end.mirror.held()):
                edges[name] = [(r, m, lanes, mb, used / MS) for r, m, lanes, mb, used in end.mirror.held()]
        changed = {n: [c[:2] for c in v] for n, v in edges.items()} != {
            n: [c[:2] for c in v] for n, v in self.kept.edges.items()
        }
        self.kept = self._kept_now(edges)
        return changed

    async def _keep(self) -> None:
        """Tells the saver when what is held has changed, and now and then, since copies were used
        meanwhile."""
        saved = 0.0
        while True:
            await anyio.sleep(KEEP_S)
            changed = self.look()
            if self.settings.kept is None:
                continue
            if changed or time.monotonic() - saved > LONGEST_UNSAVED_S:
                saved = time.monotonic()
                self.saver.changed()

    # -- links

    def end(self, edge: str) -> PlannerEnd:
        """Of one edge's link, its first or a later one. Raises `Broken`."""
        if edge not in self.ends:
            if len(self.ends) >= self.settings.edges:
                raise Broken(f"it plans for {self.settings.edges} edges already")
            self.ends[edge] = PlannerEnd(
                self.settings.name,
                self.life,
                self.clock,
                self._numbers,
                self.recall,
                int(self.settings.beat_ms * MS),
                self.settings.speaks,
            )
        return self.ends[edge]

    async def run(self, listener: StreamListener) -> None:
        async with anyio.create_task_group() as group:
            if self.settings.kept is not None:
                remove_leftovers(Path(self.settings.kept))
            group.start_soon(self._keep)
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
            reader = fr.Reader()
            with anyio.fail_after(HELLO_S):
                messages: list[fr.Any_] = []
                while not messages:
                    messages = reader.feed(await stream.receive())
            if not isinstance(messages[0], fr.Hello):
                raise Broken("a Hello was expected first")
            edge = messages[0].edge
            end = self.end(edge)
            if edge in self.scopes:
                self.scopes[edge].cancel()  # nothing more of the connection before is heard
            with anyio.CancelScope() as scope:
                self.scopes[edge] = scope
                end.connected()
                self.log.info("links", edge=edge)
                await self._link(stream, reader, end, messages)
            if scope.cancelled_caught:
                why = "a newer connection of that edge"
        except* Broken as errors:
            why = str(errors.exceptions[0])
            with suppress(*GONE), anyio.move_on_after(1):
                await stream.send(fr.frame(fr.Refuse(why)))
        except* (fr.BadFrame, *GONE) as errors:
            why = f"{type(errors.exceptions[0]).__name__} {errors.exceptions[0]}".strip()
        except* Exception as errors:  # it costs this link alone; its edge asks for a new one
            self.log.error("link_failed", edge=edge, exc_info=errors)
            why = "a fault of ours"
        finally:
            self.log.info("link ends", edge=edge, why=why)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _link(
        self, stream: SocketStream, reader: fr.Reader, end: PlannerEnd, messages: list[fr.Any_]
    ) -> None:
        woken = anyio.Event()

        async def read() -> None:
            nonlocal messages
            while True:
                for message in messages:
                    end.received(message)
                woken.set()
                messages = reader.feed(await stream.receive())

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            while True:
                woken = anyio.Event()
                end.poll()
                while (data := end.next()) is not None:
                    with anyio.fail_after(WRITE_S):
                        await stream.send(data)
                wait = (end.due() - self.clock()) / 1e9
                if not woken.is_set():
                    with anyio.move_on_after(max(0.001, min(wait, 1.0))):
                        await woken.wait()

    # -- what operators see

    def state(self) -> dict[str, Any]:
        return {
            "planner": self.settings.name,
            "life": self.life,
            "edges": [end.told() for end in self.ends.values()],
            "saves": dict(self.saves),
        }

    def _admin(self) -> Server:
        async def handle(message: Message, _now: int) -> Reply:
            if message.target.partition(b"?")[0] != b"/state":
                return problem(404, "No such path", "GET /state is here")
            body = msgspec.json.encode(self.state())
            return Reply(200, [(b"content-type", b"application/json")], body)

        return Server(
            handle,
            ServerLimits(),
            bad=lambda status, why: problem(status, "Not taken", why),
            crashed=lambda error: problem(500, "A fault of ours", repr(error)),
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

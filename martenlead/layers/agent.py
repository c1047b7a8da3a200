"""The agent of a box: loads images into its cache, from other boxes and the vault, and serves other boxes.

It runs the generators of `Chooser` and `Names` on sockets and decides nothing of its own. The vault speaks
the OCI distribution specification (manifests by name or digest, blobs by digest). docs/format-layers.md has
what passes between boxes, and between a runner and its agent.
"""

from __future__ import annotations

import hashlib
import os
from collections import Counter
from collections.abc import AsyncGenerator, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import monotonic_ns
from typing import Annotated, Any
from urllib.parse import parse_qs, quote

import anyio
import anyio.lowlevel
import anyio.to_thread
import msgspec
import structlog
import xxhash
from anyio.abc import TaskGroup
from msgspec import Meta

from martenlead.events import http
from martenlead.events.client import Exchange, Pool
from martenlead.events.client import ExchangeEnd as SocketEnd
from martenlead.events.http import Message, MessageLimits
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits, StreamListener
from martenlead.layers.cache import Cache, NoRoom
from martenlead.layers.choice import MS, PARKED, Ask, Chooser, End, Failure, Pause, Peer, Want
from martenlead.layers.image import (
    DIGEST,
    LARGEST_CHUNK,
    MANIFEST,
    BadImage,
    Chunk,
    Layer,
    check,
    digest_of,
    read_layer,
    read_manifest,
    unpack,
)
from martenlead.layers.naming import AskName, Heard, Names, Release, Resolved
from martenlead.system.durable_file import Backoff, read_if_there, remove_leftovers, replace_file
from martenlead.system.state_saver import SaveHealth, StateSaver
from martenlead.upstream import endpoints
from martenlead.upstream.endpoint_watch import watch_endpoints

WORD = b"martenlead-layers"
WORDS = {b"busy": End.BUSY, b"wait": End.WAIT, b"away": End.AWAY, b"missing": End.MISSING}
PIECE = 64 * 1024
KNOWN = "names.json"
CONNECT = 1000 * MS  # a box that loads is slow to take a connection

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1, le=65536)]


class Place(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    host: str = "127.0.0.1"
    port: Port


class Member(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A box: its number is the same at all boxes."""

    mark: int
    host: str = "127.0.0.1"
    port: Port


class RosterLink(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    host: str = "127.0.0.1"
    port: Port
    silence_timeout_ms: Positive = msgspec.field(default=3000, name="quiet_ms")
    retry_ms: Positive = 100


class AgentSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Times are ms, sizes bytes. `name` is the box's runner as the roster has it."""

    name: Annotated[str, Meta(min_length=1, max_length=200)]
    port: Port = 0
    cache: str
    cache_bytes: Annotated[int, Meta(ge=1)] = 10 * 1024**3
    hot_bytes: Annotated[int, Meta(ge=0)] = 64 * 1024**2  # of chunks that came last, in memory too
    files: str | None = None  # folder in which files of models are put together for the runner
    vault: Place
    repository: str = "models"
    members: list[Member] = []  # beside, or in place of, those of the roster
    roster: RosterLink | None = None
    uploads: Count = 8
    at_once: Count = 16  # chunks of one load that are wanted at once
    parked: Count = 256  # asks of other boxes that wait for a chunk; beyond: busy
    loads: Count = 256  # loads that are waited for; beyond: refused
    last_known: bool = True  # whether a release that is known may be loaded while the vault is away
    drain_ms: Positive = 2000  # at the end: for uploads and loads that are out
    seed: int = 0

    @property
    def mark(self) -> int:
        return mark_of(self.name)


def mark_of(name: str) -> int:
    """A box's number, the same at all boxes."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> 11


class LoadFailed(Exception):
    """A load cannot be had; `failure` is the name that its runner is told."""

    def __init__(self, kind: Failure, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind, self.failure, self.detail = kind, kind.value, detail


@dataclass(slots=True)
class Loaded:
    """`took` in seconds; `stale`: the vault could not say whether the name stands for this release still."""

    ref: str
    digest: str
    layers: list[Layer]
    size: int
    took: float
    stale: bool


class _Wants(msgspec.Struct):
    ref: Annotated[str, Meta(min_length=1, max_length=300)]
    within_ms: Annotated[float, Meta(gt=0, le=3_600_000)] = 30_000
    into: Annotated[str, Meta(pattern=r"^[A-Za-z0-9_][A-Za-z0-9._-]{0,199}$")] | None = None


class Agent:
    def __init__(
        self, settings: AgentSettings, cache: Cache, clock: Callable[[], int] = monotonic_ns
    ) -> None:
        self.settings, self.cache, self.clock = settings, cache, clock
        self.chooser = Chooser(settings.mark, settings.seed or settings.mark, settings.uploads, clock)
        limits = MessageLimits(body_bytes=LARGEST_CHUNK)
        self.vault = Pool(
            settings.vault.host,
            settings.vault.port,
            connection_limit=256,
            connect_timeout_ns=CONNECT,
            limits=limits,
        )
        self.pools: dict[int, Pool] = {}
        self.limits = limits
        self.members(settings.members)
        self.group: TaskGroup
        self.parked = 0
        self.vault_bytes = self.peer_bytes = self.sent_bytes = 0
        self._ended: dict[Want, anyio.Event] = {}
        self.names = Names(clock, self.chooser.later, self.chooser.vault, last_known=settings.last_known)
        self.log = structlog.get_logger().bind(box=settings.name)
        self._are_names_unread = False  # the file must not be written over
        self._read_names()
        self.saves = Counter[str]()  # of names, by their outcome
        self.names_saver = self._make_names_saver()
        self.list = endpoints.EndpointList()
        self.loading = 0
        self.loads: dict[str, int] = {}  # by how they ended
        self.server = Server(
            self.handle,
            ServerLimits(limits),
            make_error_reply=lambda status, why: problem(status, "Not taken", why),
            make_fault_reply=self.crashed,
        )

    def crashed(self, error: BaseException) -> Reply:
        self.log.error("a fault of ours", exc_info=error)
        return problem(500, "A fault of ours", "the agent failed on this")

    def members(self, members: list[Member]) -> None:
        """The boxes that there are now."""
        self.chooser.members(member.mark for member in members)
        for member in members:
            pool = self.pools.get(member.mark)
            if pool is None or (pool.host, pool.port) != (member.host, member.port):
                self.pools[member.mark] = Pool(
                    member.host,
                    member.port,
                    connection_limit=64,
                    connect_timeout_ns=CONNECT,
                    limits=self.limits,
                )

    def _listed(self, news: endpoints.EndpointUpdate) -> None:
        """A box that drains still has its chunks; one that is gone is asked nothing."""
        found = [
            Member(mark=mark_of(line.id), host=line.host, port=line.agent_port)
            for line in self.list.endpoints.values()
            if line.agent_port
        ]
        self.members([*self.settings.members, *found])

    def _read_names(self) -> None:
        """What an earlier life knew of names; what can not be read now is read again before it is written
        over."""
        try:
            self.names.known = self._names_on_disk()
        except OSError as error:
            self.names.known = {}
            self._are_names_unread = True
            self.log.warning("names_unread", why=str(error))

    def _names_on_disk(self) -> dict[str, Release]:
        """Raises OSError for a file that is there and cannot be read now; one of other content is as none."""
        data = read_if_there(self.cache.folder / KNOWN)
        try:
            return msgspec.json.decode(data or b"", type=dict[str, Release])
        except msgspec.DecodeError:
            return {}

    async def _read_unread_names(self) -> None:
        """Takes up what could not be read at the start, beside what the vault has told since. Raises
        OSError."""
        if self._are_names_unread:
            found = await anyio.to_thread.run_sync(self._names_on_disk)
            self.names.known = {**found, **self.names.known}
            self._are_names_unread = False

    def _make_names_saver(self) -> StateSaver[bytes]:
        path = self.cache.folder / KNOWN
        remove_leftovers(path)
        backoff = Backoff(Random(self.settings.seed or self.settings.mark))
        health = SaveHealth(
            "names", self.log, backoff, count=lambda event, _state: self.saves.update([event])
        )
        return StateSaver(
            lambda: msgspec.json.encode(self.names.known),
            lambda data: replace_file(path, data),
            health,
            prepare=self._read_unread_names,
        )

    # -- for the runner beside it, and for other boxes

    async def handle(self, message: Message, _now: int) -> Reply:
        path, _, query = message.target.partition(b"?")
        if message.method == b"GET" and path.startswith(b"/chunks/"):
            return await self.serve(path[8:].decode("latin-1"), query.decode("latin-1"))
        if message.method == b"POST" and path == b"/load":
            return await self.load_for(message.body)
        if message.method == b"GET" and path == b"/state":
            told = msgspec.json.encode(self.state())
            return Reply(200, [(b"content-type", b"application/json")], told)
        return problem(404, "No such path", "GET /chunks/DIGEST, GET /state and POST /load are here")

    def state(self) -> dict[str, Any]:
        counts = self.chooser.counts
        return {
            "box": self.settings.name,
            "boxes": self.chooser.boxes,
            "chunks": len(self.cache),
            "bytes": self.cache.size,
            "evicted": self.cache.evicted,
            "set_aside": self.cache.set_aside,
            "loads": self.loads,
            "loading": self.loading,
            "wants": len(self.chooser.wants),
            "vault_bytes": self.vault_bytes,
            "peer_bytes": self.peer_bytes,
            "sent_bytes": self.sent_bytes,
            "vault_window": self.chooser.window,
            "vault_asks": counts.vault_asks,
            "vault_busy": counts.vault_busy,
            "peer_asks": counts.peer_asks,
            "wrong": counts.wrong,
            "passed_over": counts.passed_over,
            "ends": {end.name.lower(): n for end, n in counts.by_end.items()},
            "uploads_refused": counts.uploads_refused,
            "old_names_told": self.names.old_told,
            "saves": dict(self.saves),
        }

    async def load_for(self, body: bytes) -> Reply:
        try:
            wanted = msgspec.json.decode(body, type=_Wants)
        except msgspec.DecodeError as error:
            return problem(400, "Not a load", str(error))
        if self.loading >= self.settings.loads:
            return problem(
                503, "Not loaded", "too many loads are waited for", retry_after_ns=500 * MS, failure="busy"
            )
        self.loading += 1
        try:
            loaded = await self.load(wanted.ref, wanted.within_ms, wanted.into)
            self.loads["loaded"] = self.loads.get("loaded", 0) + 1
        except LoadFailed as error:
            self.loads[error.failure] = self.loads.get(error.failure, 0) + 1
            self.log.warning("not loaded", ref=wanted.ref, failure=error.failure, detail=error.detail)
            return problem(503, "Not loaded", error.detail, failure=error.failure)
        finally:
            self.loading -= 1
        told = {
            "ref": loaded.ref,
            "digest": loaded.digest,
            "size": loaded.size,
            "took_ms": loaded.took * 1000,
            "stale": loaded.stale,
        }
        return Reply(200, [(b"content-type", b"application/json")], msgspec.json.encode(told))

    async def serve(self, digest: str, query: str) -> Reply:
        try:
            size = int(parse_qs(query).get("size", ["0"])[0])
        except ValueError:
            size = 0
        if not DIGEST.match(digest) or not 0 < size <= LARGEST_CHUNK:
            return problem(400, "Not a chunk", "a sha256 digest and its size were expected")
        if digest not in self.cache:
            if self.parked >= self.settings.parked:
                return word(503, b"busy")
            self.parked += 1
            try:
                want = None
                with anyio.move_on_after(PARKED / 1e9):
                    want = await self.get(digest, size, self.clock() + 2 * PARKED)
            finally:
                self.parked -= 1
            if want is None or want.failure is Failure.LATE:
                return word(503, b"wait")
            if want.failure is not None:
                # one without room here is to be had elsewhere all the same
                missing = want.failure in (Failure.MISSING, Failure.NO_ROOM)
                return word(404, b"missing") if missing else word(502, b"away")
        if not self.chooser.may_send():
            return word(503, b"busy")
        data = self.cache.lend(digest)
        if data is None:
            return word(503, b"wait")  # it did not stand its check here: it is fetched anew when asked again
        return Reply(200, [(b"content-type", b"application/octet-stream")], self.upload(data))

    async def upload(self, data: bytes) -> AsyncGenerator[bytes]:
        """Counts as an upload for as long as the other box takes it in."""
        self.chooser.sending += 1
        try:
            view = memoryview(data)
            for at in range(0, len(view), PIECE):
                yield bytes(view[at : at + PIECE])
            self.sent_bytes += len(data)
        finally:
            self.chooser.sending -= 1

    # -- a load

    async def load(self, ref: str, within_ms: float, into: str | None = None) -> Loaded:
        """Every chunk of an image in the cache, checked; with `into` its files too, in that folder of
        `files`, which is the caller's from then on. Raises `LoadFailed`."""
        begun = self.clock()
        try:
            with anyio.fail_after(within_ms / 1000):
                resolved, layers = await self.load_release(ref, begun + int(within_ms * MS), into)
        except (TimeoutError, LoadFailed) as error:
            # at the deadline either may come first: this wait's end, or that of what it waits for
            if isinstance(error, LoadFailed) and error.kind is not Failure.LATE:
                raise
            raise LoadFailed(self.chooser.vault.failure_at_deadline(begun), ref) from None
        size = sum(layer.size for layer in layers)
        took = (self.clock() - begun) / 1e9
        return Loaded(ref, resolved.release.digest, layers, size, took, resolved.stale)

    async def load_release(self, ref: str, deadline: int, into: str | None) -> tuple[Resolved, list[Layer]]:
        """Begins anew with what the name stands for by then, where its chunks are gone meanwhile. Raises
        `LoadFailed`."""
        resolved = await self.resolve(ref, deadline)
        if isinstance(resolved, Failure):
            raise LoadFailed(resolved, ref)
        times = 0
        while True:
            try:
                return resolved, await self.fetch(resolved.release.digest, deadline, into)
            except LoadFailed as error:
                if not self.names.doubts(error.kind, times):
                    raise
                now = await self.resolve(ref, deadline)
                if isinstance(now, Failure) or now.release.digest == resolved.release.digest:
                    raise
                resolved, times = now, times + 1

    async def fetch(self, digest: str, deadline: int, into: str | None) -> list[Layer]:
        """The chunks of one manifest. Raises `LoadFailed`."""
        try:
            data = self.cache.get(digest)
            if data is None:
                found = await self.resolve(digest, deadline)
                if isinstance(found, Failure):
                    raise LoadFailed(found, digest)
                data = self.cache.get(digest)
                if data is None:
                    raise LoadFailed(Failure.NO_ROOM, digest)
            layers = []
            for descriptor in read_manifest(data, digest).layers:
                listed = await self.chunk(
                    Chunk(descriptor.digest, descriptor.size, descriptor.size), deadline
                )
                layers.append(read_layer(listed, descriptor.digest))
            chunks = {c.digest: c for layer in layers for c in layer.chunks}
            with self.cache.pinned(chunks):
                await self.all_of(chunks, deadline)
                if into is not None:
                    await self.put_together(layers, into, deadline)
        except BadImage as error:
            raise LoadFailed(Failure.CORRUPT, str(error)) from None
        return layers

    async def all_of(self, chunks: dict[str, Chunk], deadline: int) -> None:
        planned = iter(self.chooser.plan(chunks))
        failed: list[LoadFailed] = []

        async def some() -> None:
            for digest in planned:
                try:
                    await self.have(chunks[digest], deadline)
                except LoadFailed as error:
                    failed.append(error)
                    group.cancel_scope.cancel()  # the rest is for nothing

        async with anyio.create_task_group() as group:
            for _ in range(min(len(chunks), self.settings.at_once)):
                group.start_soon(some)
        if failed:
            raise failed[0]

    async def put_together(self, layers: list[Layer], into: str, deadline: int) -> None:
        """The files of a model, each checked as a whole. Raises `LoadFailed`, `BadImage`."""
        if self.settings.files is None:
            raise LoadFailed(Failure.NO_ROOM, "no `files` in the agent's settings")
        folder = Path(self.settings.files) / into
        for layer in layers:
            temporary = folder / f".{layer.name}.new"
            whole = hashlib.sha256()
            try:
                folder.mkdir(parents=True, exist_ok=True)
                with open(temporary, "wb") as file:
                    for chunk in layer.chunks:
                        part = unpack(chunk, await self.chunk(chunk, deadline), layer.packed)
                        whole.update(part)
                        file.write(part)
                        await anyio.lowlevel.checkpoint()
                if f"sha256:{whole.hexdigest()}" != layer.digest:
                    raise BadImage(f"{layer.name} put together has another digest")
                os.replace(temporary, folder / layer.name)
            except OSError as error:
                raise LoadFailed(Failure.NO_ROOM, f"{folder}: {error.strerror}") from None
            finally:
                with suppress(OSError):
                    temporary.unlink(missing_ok=True)

    async def have(self, chunk: Chunk, deadline: int) -> None:
        """A chunk stands in the cache, checked now: as it was read from the disk, or as it came. Raises
        `LoadFailed`."""
        if self.cache.get(chunk.digest) is not None:
            await anyio.lowlevel.checkpoint()
            return
        want = await self.get(chunk.digest, chunk.stored, deadline)
        if want.failure is not None:
            raise LoadFailed(want.failure, chunk.digest)

    async def chunk(self, chunk: Chunk, deadline: int) -> bytes:
        """The bytes of a chunk, fetched if need be. Raises `LoadFailed`."""
        for _ in range(2):
            await self.have(chunk, deadline)
            data = self.cache.get(chunk.digest)
            if data is not None:
                return data
        raise LoadFailed(Failure.CORRUPT, f"{chunk.digest}: the own disk does not keep it")

    # -- names, on sockets

    async def resolve(self, ref: str, deadline: int) -> Resolved | Failure:
        steps, before = self.names.resolve(ref, deadline), self.names.known.get(ref)
        value: tuple[Heard, Release | None] | None = None
        try:
            while True:
                action = steps.send(value)
                if isinstance(action, AskName):
                    value = await self.ask_name(action)
                else:
                    await anyio.sleep(max(0, action.until - self.clock()) / 1e9)
                    value = None
        except StopIteration as stop:
            ended: Resolved | Failure = stop.value
        if self.names.known.get(ref) != before:
            self.names_saver.changed()
        return ended

    async def ask_name(self, ask: AskName) -> tuple[Heard, Release | None]:
        target = f"/v2/{quote(self.settings.repository)}/manifests/{quote(ask.ref, safe=':')}".encode()
        accept = [(b"accept", MANIFEST.encode())]
        exchange: Exchange | None = None
        with anyio.move_on_after(max(0, ask.until - self.clock()) / 1e9):
            exchange = await self.vault.exchange(http.request(b"GET", target, b"vault", accept))
        if exchange is None:
            return Heard.LATE, None
        message = exchange.message
        if message is None:
            return Heard.BROKEN, None
        if message.status == 200:
            digest = digest_of(message.body)
            try:
                if DIGEST.match(ask.ref):
                    check(message.body, ask.ref)
                manifest = read_manifest(message.body, digest)
                self.cache.put(digest, message.body)
            except BadImage as error:
                self.log.warning("no manifest", ref=ask.ref, why=str(error))
                return Heard.WRONG, None
            except NoRoom as error:
                self.log.warning("no room", why=str(error))
            return Heard.TOLD, Release(digest, manifest.created)
        if message.status in (429, 503):
            return Heard.BUSY, None
        return (Heard.MISSING if message.status == 404 else Heard.BROKEN), None

    # -- wants, on sockets

    async def get(self, digest: str, size: int, deadline: int) -> Want:
        """Waits for a want's end; there is one for all that wait. Cancelled, one waits less."""
        new = digest not in self.chooser.wants
        want = self.chooser.want(digest, size, deadline)
        if new:
            self._ended[want] = anyio.Event()
            self.group.start_soon(self.run_want, want)
        ended = self._ended[want]
        try:
            await ended.wait()
        except anyio.get_cancelled_exc_class():
            self.chooser.leave(want)
            raise
        return want

    async def run_want(self, want: Want) -> None:
        value: End | None = None
        assert want.steps is not None
        try:
            while True:
                action = want.steps.send(value)
                if isinstance(action, Pause):
                    await anyio.sleep(max(0, action.until - self.clock()) / 1e9)
                    value = None
                else:
                    value = await self.ask(action)
        except StopIteration:
            return
        finally:
            self._ended.pop(want).set()

    async def ask(self, ask: Ask) -> End:
        want, peer = ask.want, ask.peer
        exchange: Exchange | None = None
        with anyio.move_on_after(max(0, ask.until - self.clock()) / 1e9):
            if peer is None:
                target = f"/v2/{quote(self.settings.repository)}/blobs/{want.digest}".encode()
                exchange = await self.vault.exchange(http.request(b"GET", target, b"vault", []))
            else:
                target = f"/chunks/{want.digest}?size={want.size}".encode()
                exchange = await self.pools[peer.mark].exchange(http.request(b"GET", target, b"box", []))
        return End.LATE if exchange is None else self.heard(want, peer, exchange)

    def heard(self, want: Want, peer: Peer | None, exchange: Exchange) -> End:
        """What came of an ask; good bytes are in the cache then, and no others ever."""
        message = exchange.message
        if message is None or exchange.end is not SocketEnd.ANSWERED:
            return End.BUSY if exchange.end is SocketEnd.NO_SLOT else End.BROKEN
        if message.status == 200:
            try:
                self.cache.put(want.digest, message.body)  # checks it
            except BadImage as error:
                self.log.warning(
                    "wrong bytes", digest=want.digest, source=peer.mark if peer else "vault", why=str(error)
                )
                return End.WRONG
            except NoRoom as error:
                self.log.warning("no room", why=str(error))
                return End.UNKEPT
            if peer is None:
                self.vault_bytes += len(message.body)
            else:
                self.peer_bytes += len(message.body)
            return End.GOOD
        if peer is not None:
            return WORDS.get(message.header(WORD) or b"", End.BROKEN)
        if message.status in (429, 503):
            return End.BUSY
        return End.MISSING if message.status == 404 else End.BROKEN

    async def run(self, listener: StreamListener) -> None:
        """Until it is cancelled, or `drain` is through."""
        async with anyio.create_task_group() as group:
            self.group = group
            group.start_soon(self.names_saver.run)
            if self.settings.roster is not None:
                group.start_soon(self._follow, self.settings.roster)
            await self.server.serve(listener)
            group.cancel_scope.cancel()

    async def drain(self) -> None:
        """Takes nothing new, and gives what is out its time."""
        self.server.drain()
        with anyio.move_on_after(self.settings.drain_ms / 1000):
            while self.server.active_listeners:
                await anyio.sleep(0.005)

    async def _follow(self, link: RosterLink) -> None:
        await watch_endpoints(
            link,
            f"martenlead-layers/{self.settings.name}".encode(),
            self.list,
            on_update=self._listed,
            on_lost=lambda why: self.log.warning("no roster; the last list of boxes stands", why=why),
            on_error=lambda error: self.log.error("a fault of ours", exc_info=error),
            random=Random(self.settings.seed or self.settings.mark).random,
        )


def word(status: int, text: bytes) -> Reply:
    return Reply(status, [(WORD, text)])


__all__ = ["Agent", "AgentSettings", "LoadFailed", "Loaded", "Member", "Place", "mark_of"]

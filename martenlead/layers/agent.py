"""The agent of a box: loads images into its cache, from other boxes and the vault, and serves other boxes.

It runs the `Chooser`'s generators on sockets and decides nothing of its own. The vault speaks the OCI
distribution specification (manifests by name, blobs by digest). Between boxes: `GET /chunks/DIGEST?size=N`
answers 200 with the chunk's bytes, 503 with `martenlead-layers: busy` or `wait`, 502 `away`, 404 `missing`.
For the runner beside it: `POST /load {"ref": NAME, "within_ms": N}` answers 200 when every chunk stands
checked in the cache, else 503 with problem details whose `failure` names why.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from time import monotonic_ns
from urllib.parse import parse_qs, quote

import anyio
import msgspec
import structlog
from anyio.abc import TaskGroup

from martenlead.events import http
from martenlead.events.client import End as SocketEnd
from martenlead.events.client import Exchange, Pool
from martenlead.events.http import Limits, Message
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits
from martenlead.layers.cache import Cache, NoRoom
from martenlead.layers.choice import MS, PARKED, Ask, Chooser, End, Failure, Pause, Peer, Want
from martenlead.layers.image import (
    DIGEST,
    LARGEST_CHUNK,
    MANIFEST,
    BadImage,
    Chunk,
    Layer,
    Manifest,
    check,
    digest_of,
    read_layer,
    read_manifest,
)

WORD = b"martenlead-layers"
WORDS = {b"busy": End.BUSY, b"wait": End.WAIT, b"away": End.AWAY, b"missing": End.MISSING}
PIECE = 64 * 1024
NO_ROOM = "no room for its chunks"


class Member(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A box: its number is the same at all boxes."""

    mark: int
    host: str = "127.0.0.1"
    port: int


class AgentSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Times are ms, sizes bytes."""

    mark: int
    port: int = 0
    cache: str
    cache_bytes: int = 10 * 1024**3
    vault: Member
    repository: str = "models"
    members: list[Member] = []
    uploads: int = 8
    at_once: int = 64  # chunks of one load that are wanted at once
    parked: int = 256  # asks of other boxes that wait for a chunk; beyond: busy
    seed: int = 0


class LoadFailed(Exception):
    """A load cannot be had; `failure` is the name that its runner is told."""

    def __init__(self, failure: str, detail: str) -> None:
        super().__init__(f"{failure}: {detail}")
        self.failure, self.detail = failure, detail


@dataclass(slots=True)
class Loaded:
    ref: str
    digest: str
    layers: list[Layer]
    size: int
    took: float


class _Wants(msgspec.Struct):
    ref: str
    within_ms: float = 30_000


class Agent:
    def __init__(
        self, settings: AgentSettings, cache: Cache, clock: Callable[[], int] = monotonic_ns
    ) -> None:
        self.settings, self.cache, self.clock = settings, cache, clock
        self.chooser = Chooser(settings.mark, settings.seed or settings.mark, settings.uploads, clock)
        limits = Limits(body=LARGEST_CHUNK)
        self.vault = Pool(settings.vault.host, settings.vault.port, most=256, limits=limits)
        self.pools: dict[int, Pool] = {}
        self.limits = limits
        self.members(settings.members)
        self.group: TaskGroup
        self.parked = 0
        self.vault_bytes = self.peer_bytes = self.sent_bytes = 0
        self._ended: dict[Want, anyio.Event] = {}
        self.no_room: set[str] = set()
        self.log = structlog.get_logger().bind(box=settings.mark)
        self.server = Server(
            self.handle,
            ServerLimits(limits),
            bad=lambda status, why: problem(status, "Not taken", why),
            crashed=self.crashed,
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
                self.pools[member.mark] = Pool(member.host, member.port, most=64, limits=self.limits)

    # -- for the runner beside it, and for other boxes

    async def handle(self, message: Message, _now: int) -> Reply:
        path, _, query = message.target.partition(b"?")
        if message.method == b"GET" and path.startswith(b"/chunks/"):
            return await self.serve(path[8:].decode("latin-1"), query.decode("latin-1"))
        if message.method == b"POST" and path == b"/load":
            return await self.load_for(message.body)
        return problem(404, "No such path", "GET /chunks/DIGEST and POST /load are here")

    async def load_for(self, body: bytes) -> Reply:
        try:
            wanted = msgspec.json.decode(body, type=_Wants)
        except msgspec.DecodeError as error:
            return problem(400, "Not a load", str(error))
        try:
            loaded = await self.load(wanted.ref, wanted.within_ms)
        except LoadFailed as error:
            return problem(503, "Not loaded", error.detail, failure=error.failure)
        told = {
            "ref": loaded.ref,
            "digest": loaded.digest,
            "size": loaded.size,
            "took_ms": loaded.took * 1000,
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
                missing = want.failure is Failure.MISSING
                return word(404, b"missing") if missing else word(502, b"away")
        if not self.chooser.may_send():
            return word(503, b"busy")
        data = self.cache.get(digest)
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

    async def load(self, ref: str, within_ms: float) -> Loaded:
        """Every chunk of an image in the cache, checked. Raises `LoadFailed`."""
        begun = self.clock()
        deadline = begun + int(within_ms * MS)
        try:
            with anyio.fail_after(within_ms / 1000):
                digest, manifest = await self.manifest(ref)
                layers = []
                for descriptor in manifest.layers:
                    data = await self.chunk(
                        Chunk(descriptor.digest, descriptor.size, descriptor.size), deadline
                    )
                    layers.append(read_layer(data, descriptor.digest))
                chunks = {c.digest: c for layer in layers for c in layer.chunks}
                with self.cache.pinned(chunks):
                    await self.all_of(list(chunks.values()), deadline)
        except TimeoutError:
            raise LoadFailed(Failure.LATE.value, ref) from None
        except BadImage as error:
            raise LoadFailed(Failure.CORRUPT.value, str(error)) from None
        size = sum(layer.size for layer in layers)
        return Loaded(ref, digest, layers, size, (self.clock() - begun) / 1e9)

    async def all_of(self, chunks: list[Chunk], deadline: int) -> None:
        limiter = anyio.CapacityLimiter(self.settings.at_once)
        failed: list[LoadFailed] = []

        async def one(chunk: Chunk) -> None:
            async with limiter:
                try:
                    await self.chunk(chunk, deadline)
                except LoadFailed as error:
                    failed.append(error)
                    group.cancel_scope.cancel()  # the rest is for nothing

        async with anyio.create_task_group() as group:
            for chunk in chunks:
                group.start_soon(one, chunk)
        if failed:
            raise failed[0]

    async def chunk(self, chunk: Chunk, deadline: int) -> bytes:
        """A chunk from the cache, fetched if need be. Raises `LoadFailed`."""
        for _ in range(2):
            data = self.cache.get(chunk.digest)
            if data is not None:
                return data
            want = await self.get(chunk.digest, chunk.stored, deadline)
            if chunk.digest in self.no_room:
                raise LoadFailed(NO_ROOM, chunk.digest)
            if want.failure is not None:
                raise LoadFailed(want.failure.value, chunk.digest)
        data = self.cache.get(chunk.digest)
        if data is None:
            raise LoadFailed(Failure.CORRUPT.value, f"{chunk.digest}: the own disk does not keep it")
        return data

    async def manifest(self, ref: str) -> tuple[str, Manifest]:
        target = f"/v2/{quote(self.settings.repository)}/manifests/{quote(ref, safe=':')}".encode()
        wait = 100 * MS
        while True:
            exchange = await self.vault.exchange(
                http.request(b"GET", target, b"vault", [(b"accept", MANIFEST.encode())])
            )
            message = exchange.message
            if message is not None and message.status == 200:
                digest = digest_of(message.body)
                if DIGEST.match(ref) and digest != ref:
                    raise BadImage(f"{ref}: the vault's manifest has the digest {digest}")
                return digest, read_manifest(message.body, digest)
            if message is not None and message.status == 404:
                raise LoadFailed(Failure.MISSING.value, f"{ref}: no manifest of that name")
            await anyio.sleep(max(0, self.chooser.later(wait) - self.clock()) / 1e9)
            wait = min(2 * wait, 1000 * MS)

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
                check(message.body, want.digest, want.size)
                self.cache.put(want.digest, message.body)
            except BadImage as error:
                self.log.warning(
                    "wrong bytes", digest=want.digest, source=peer.mark if peer else "vault", why=str(error)
                )
                return End.WRONG
            except NoRoom as error:
                self.log.warning("no room", why=str(error))
                self.no_room.add(want.digest)
                return End.GOOD  # it was had and could not be kept: asking on would not help
            self.no_room.discard(want.digest)
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

    async def run(self, listener: anyio.abc.SocketListener) -> None:
        async with anyio.create_task_group() as group:
            self.group = group
            await self.server.serve(listener)


def word(status: int, text: bytes) -> Reply:
    return Reply(status, [(WORD, text)])


__all__ = ["Agent", "AgentSettings", "LoadFailed", "Loaded", "Member"]

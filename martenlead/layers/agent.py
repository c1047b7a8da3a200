"""The agent of a worker: loads images into its cache and serves chunks to other agents.

It is the HTTP server around `ImageLoader`, `ChunkDownloader` and `NameResolver`. The artifact store
speaks the OCI distribution specification (manifests by name or digest, blobs by digest).
docs/format-layers.md describes the messages between agents, and between a worker and its agent.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from random import Random
from time import monotonic_ns
from urllib.parse import parse_qs

import anyio
import msgspec
import structlog

from martenlead.events.http import Message
from martenlead.events.problem import problem
from martenlead.events.server import Reply, Server, ServerLimits, StreamListener
from martenlead.layers.agent_messages import AgentStatus, LoadCommand, LoadReply
from martenlead.layers.cache import Cache
from martenlead.layers.choice import MS, PEER_WAIT_NS, Chooser, ChunkDownload, Failure
from martenlead.layers.chunk_downloader import (
    MESSAGE_LIMITS,
    REASON_HEADER,
    ChunkDownloader,
    connect_to_store,
)
from martenlead.layers.image import DIGEST, LARGEST_CHUNK
from martenlead.layers.image_loader import ImageLoader, LoadedImage, LoadFailedError
from martenlead.layers.name_resolver import NameResolver
from martenlead.layers.naming import Names
from martenlead.layers.settings import AgentSettings, EndpointListLink, Member, hash_worker_name
from martenlead.system.decode_errors import DECODE_ERRORS
from martenlead.upstream import endpoints
from martenlead.upstream.endpoint_watch import watch_endpoints

CHUNKS_PATH = b"/chunks/"
UPLOAD_PIECE_BYTES = 64 * 1024
BUSY_RETRY_AFTER_NS = 500 * MS
DRAIN_POLL_SECONDS = 0.005
JSON_HEADERS = [(b"content-type", b"application/json")]


class Agent:
    """One agent, with its server. `run` serves; `load` may also be called in the process."""

    def __init__(
        self, settings: AgentSettings, cache: Cache, clock: Callable[[], int] = monotonic_ns
    ) -> None:
        self.settings, self.cache, self.clock = settings, cache, clock
        self.log = structlog.get_logger().bind(worker=settings.name)
        self.chooser = Chooser(settings.worker_id, settings.random_seed, settings.uploads, clock)
        self.artifact_store = connect_to_store(settings)
        self.downloader = ChunkDownloader(
            settings, cache, self.chooser, self.artifact_store, self.log
        )
        self.downloader.update_members(settings.members)
        self.names = Names(
            clock,
            self.chooser.jittered_deadline,
            self.chooser.store_state,
            last_known=settings.last_known,
        )
        self.resolver = NameResolver(settings, cache, self.names, self.artifact_store, self.log)
        self.loader = ImageLoader(settings, cache, self.chooser, self.resolver, self.downloader)
        self.endpoint_list = endpoints.EndpointList()
        self.parked = 0  # requests of other agents waiting for a chunk
        self.loading = 0
        self.loads_by_result: dict[str, int] = {}
        self.sent_bytes = 0
        self.server = Server(
            self.handle,
            ServerLimits(MESSAGE_LIMITS),
            make_error_reply=lambda status, reason: problem(status, "Not taken", reason),
            make_fault_reply=self._report_fault,
        )

    def _report_fault(self, error: BaseException) -> Reply:
        self.log.error("handler_failed", exc_info=error)
        return problem(500, "A fault of ours", "the agent failed on this")

    async def load(self, ref: str, within_ms: float, into: str | None = None) -> LoadedImage:
        """Load an image, as `ImageLoader.load` does. Raises `LoadFailedError`."""
        return await self.loader.load(ref, within_ms, into)

    async def handle(self, message: Message, _now: int) -> Reply:
        """Handle a request of the worker or of another agent."""
        path, _, query = message.target.partition(b"?")
        if message.method == b"GET" and path.startswith(CHUNKS_PATH):
            digest = path[len(CHUNKS_PATH) :].decode("latin-1")
            return await self.serve(digest, query.decode("latin-1"))
        if message.method == b"POST" and path == b"/load":
            return await self._handle_load(message.body)
        if message.method == b"GET" and path == b"/state":
            return Reply(200, JSON_HEADERS.copy(), msgspec.json.encode(self.status()))
        return problem(
            404, "No such path", "GET /chunks/DIGEST, GET /state and POST /load are here"
        )

    def status(self) -> AgentStatus:
        """Return the counters that `GET /state` shows."""
        counts = self.chooser.counts
        return AgentStatus(
            worker_name=self.settings.name,
            worker_count=self.chooser.worker_count,
            chunk_count=len(self.cache),
            cached_bytes=self.cache.size_bytes,
            evicted_count=self.cache.evicted_count,
            set_aside_count=self.cache.set_aside_count,
            loads_by_result=self.loads_by_result,
            loads_in_flight=self.loading,
            download_count=len(self.chooser.downloads),
            store_bytes=self.downloader.store_bytes,
            peer_bytes=self.downloader.peer_bytes,
            sent_bytes=self.sent_bytes,
            store_window=self.chooser.window,
            store_requests=counts.store_requests,
            store_busy=counts.store_busy,
            peer_requests=counts.peer_requests,
            wrong=counts.wrong,
            passed_over=counts.passed_over,
            outcomes={outcome.value: count for outcome, count in counts.by_end.items()},
            uploads_refused=counts.uploads_refused,
            old_release_count=self.names.old_release_count,
            saves=dict(self.resolver.saves),
        )

    async def _handle_load(self, body: bytes) -> Reply:
        try:
            command = msgspec.json.decode(body, type=LoadCommand)
        except DECODE_ERRORS as error:
            return problem(400, "Not a load", str(error))
        if self.loading >= self.settings.loads:
            return problem(
                503,
                "Not loaded",
                "too many loads are waited for",
                retry_after_ns=BUSY_RETRY_AFTER_NS,
                failure="busy",
            )
        self.loading += 1
        try:
            loaded = await self.load(command.ref, command.within_ms, command.into)
            self._count_load("loaded")
        except LoadFailedError as error:
            self._count_load(error.failure)
            self.log.warning(
                "load_failed", ref=command.ref, failure=error.failure, detail=error.detail
            )
            return problem(503, "Not loaded", error.detail, failure=error.failure)
        finally:
            self.loading -= 1
        reply = LoadReply(
            ref=loaded.ref,
            digest=loaded.digest,
            size_bytes=loaded.size_bytes,
            took_ms=loaded.duration_seconds * 1000,
            is_stale=loaded.is_stale,
        )
        return Reply(200, JSON_HEADERS.copy(), msgspec.json.encode(reply))

    def _count_load(self, result: str) -> None:
        self.loads_by_result[result] = self.loads_by_result.get(result, 0) + 1

    async def serve(self, digest: str, query: str) -> Reply:
        """Answer another agent's request for a chunk; download the chunk first if it is missing."""
        try:
            size_bytes = int(parse_qs(query).get("size", ["0"])[0])
        except ValueError:
            size_bytes = 0
        if not DIGEST.match(digest) or not 0 < size_bytes <= LARGEST_CHUNK:
            return problem(400, "Not a chunk", "a sha256 digest and its size were expected")
        if digest not in self.cache:
            rejection = await self._download_for_peer(digest, size_bytes)
            if rejection is not None:
                return rejection
        if not self.chooser.may_send():
            return _reject(503, b"busy")
        data = self.cache.lend(digest)
        if data is None:
            return _reject(503, b"wait")  # the digest check failed; the next request downloads it
        headers = [(b"content-type", b"application/octet-stream")]
        return Reply(200, headers, self._upload(data))

    async def _download_for_peer(self, digest: str, size_bytes: int) -> Reply | None:
        """Download a chunk that another agent asks for; return the reply if that fails."""
        if self.parked >= self.settings.parked:
            return _reject(503, b"busy")
        self.parked += 1
        download: ChunkDownload | None = None
        try:
            with anyio.move_on_after(PEER_WAIT_NS / 1e9):
                deadline_ns = self.clock() + 2 * PEER_WAIT_NS
                download = await self.downloader.download(digest, size_bytes, deadline_ns)
        finally:
            self.parked -= 1
        if download is None or download.failure is Failure.LATE:
            return _reject(503, b"wait")
        if download.failure is None:
            return None
        # if this agent has no space for the chunk, another agent may still have it
        if download.failure in (Failure.MISSING, Failure.NO_ROOM):
            return _reject(404, b"missing")
        return _reject(502, b"away")

    async def _upload(self, data: bytes) -> AsyncGenerator[bytes]:
        """Yield a chunk in pieces; it counts as an upload until the other agent has read it."""
        self.chooser.sending += 1
        try:
            view = memoryview(data)
            for start in range(0, len(view), UPLOAD_PIECE_BYTES):
                yield bytes(view[start : start + UPLOAD_PIECE_BYTES])
            self.sent_bytes += len(data)
        finally:
            self.chooser.sending -= 1

    async def run(self, listener: StreamListener) -> None:
        """Serve until it is cancelled, or until `drain` has ended."""
        async with anyio.create_task_group() as group:
            self.downloader.task_group = group
            group.start_soon(self.resolver.saver.run)
            if self.settings.endpoint_list is not None:
                group.start_soon(self._watch_endpoints, self.settings.endpoint_list)
            await self.server.serve(listener)
            group.cancel_scope.cancel()

    async def drain(self) -> None:
        """Accept no new connections, and wait up to `drain_ms` for requests in flight."""
        self.server.drain()
        with anyio.move_on_after(self.settings.drain_ms / 1000):
            while self.server.active_listeners:  # noqa: ASYNC110 - the server has no event
                await anyio.sleep(DRAIN_POLL_SECONDS)

    async def _watch_endpoints(self, link: EndpointListLink) -> None:
        await watch_endpoints(
            link,
            f"martenlead-layers/{self.settings.name}".encode(),
            self.endpoint_list,
            on_update=self._apply_endpoints,
            on_lost=lambda reason: self.log.warning("endpoint_list_lost", reason=reason),
            on_error=lambda error: self.log.error("endpoint_watch_failed", exc_info=error),
            random=Random(self.settings.random_seed).random,
        )

    def _apply_endpoints(self, _update: endpoints.EndpointUpdate) -> None:
        """Update the members: draining workers still receive requests, removed ones do not."""
        listed = [
            Member(
                worker_id=hash_worker_name(endpoint.id),
                host=endpoint.host,
                port=endpoint.agent_port,
            )
            for endpoint in self.endpoint_list.endpoints.values()
            if endpoint.agent_port
        ]
        self.downloader.update_members([*self.settings.members, *listed])


def _reject(status: int, reason: bytes) -> Reply:
    """Return a rejection that names its reason to the other agent."""
    return Reply(status, [(REASON_HEADER, reason)])


__all__ = ["Agent", "LoadFailedError", "LoadedImage"]

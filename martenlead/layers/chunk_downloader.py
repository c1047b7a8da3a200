"""Downloads chunks from the artifact store and from other agents, as `Chooser` decides.

This module does the network I/O and makes no decisions.
"""

from __future__ import annotations

from urllib.parse import quote

import anyio
import structlog
from anyio.abc import TaskGroup

from martenlead.events import http
from martenlead.events.client import Exchange, ExchangeEnd, Pool
from martenlead.events.http import MessageLimits
from martenlead.layers.cache import Cache, CacheFullError
from martenlead.layers.choice import (
    MS,
    Chooser,
    ChunkDownload,
    ChunkOutcome,
    ChunkRequest,
    Pause,
    Peer,
)
from martenlead.layers.image import LARGEST_CHUNK, BadImageError
from martenlead.layers.settings import AgentSettings, Member

REASON_HEADER = b"martenlead-layers"
OUTCOMES_BY_REASON = {
    b"busy": ChunkOutcome.BUSY,
    b"wait": ChunkOutcome.WAIT,
    b"away": ChunkOutcome.AWAY,
    b"missing": ChunkOutcome.MISSING,
}
CONNECT_TIMEOUT_NS = 1000 * MS  # a worker that is loading is slow to accept a connection
STORE_CONNECTION_LIMIT = 256
PEER_CONNECTION_LIMIT = 64
STATUS_OK, STATUS_NOT_FOUND = 200, 404
BUSY_STATUSES = (429, 503)
MESSAGE_LIMITS = MessageLimits(body_bytes=LARGEST_CHUNK)


def connect_to_store(settings: AgentSettings) -> Pool:
    """Return the connection pool of the artifact store."""
    return Pool(
        settings.artifact_store.host,
        settings.artifact_store.port,
        connection_limit=STORE_CONNECTION_LIMIT,
        connect_timeout_ns=CONNECT_TIMEOUT_NS,
        limits=MESSAGE_LIMITS,
    )


class ChunkDownloader:
    """Runs the downloads of one agent. `task_group` is set before the first download."""

    def __init__(
        self,
        settings: AgentSettings,
        cache: Cache,
        chooser: Chooser,
        artifact_store: Pool,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self.cache, self.chooser, self.artifact_store, self.log = (
            cache,
            chooser,
            artifact_store,
            log,
        )
        self.blobs_path = f"/v2/{quote(settings.repository)}/blobs"
        self.task_group: TaskGroup
        self.peer_pools: dict[int, Pool] = {}
        self.store_bytes = self.peer_bytes = 0
        self._ended: dict[ChunkDownload, anyio.Event] = {}

    def update_members(self, members: list[Member]) -> None:
        """Replace the list of agents that chunks may be requested from."""
        self.chooser.update_members(member.worker_id for member in members)
        for member in members:
            pool = self.peer_pools.get(member.worker_id)
            if pool is None or (pool.host, pool.port) != (member.host, member.port):
                self.peer_pools[member.worker_id] = Pool(
                    member.host,
                    member.port,
                    connection_limit=PEER_CONNECTION_LIMIT,
                    connect_timeout_ns=CONNECT_TIMEOUT_NS,
                    limits=MESSAGE_LIMITS,
                )

    async def download(self, digest: str, size_bytes: int, deadline_ns: int) -> ChunkDownload:
        """Wait until the download of a chunk has ended; all callers share one download.

        A cancelled caller only stops waiting.
        """
        is_new = digest not in self.chooser.downloads
        download = self.chooser.request_chunk(digest, size_bytes, deadline_ns)
        if is_new:
            self._ended[download] = anyio.Event()
            self.task_group.start_soon(self._run_download, download)
        ended = self._ended[download]
        try:
            await ended.wait()
        except anyio.get_cancelled_exc_class():
            self.chooser.remove_waiter(download)
            raise
        return download

    async def _run_download(self, download: ChunkDownload) -> None:
        outcome: ChunkOutcome | None = None
        assert download.steps is not None
        try:
            while True:
                action = download.steps.send(outcome)
                if isinstance(action, Pause):
                    await anyio.sleep(self._seconds_until(action.until_ns))
                    outcome = None
                else:
                    outcome = await self._send_request(action)
        except StopIteration:
            return
        finally:
            self._ended.pop(download).set()

    def _seconds_until(self, time_ns: int) -> float:
        return max(0, time_ns - self.chooser.clock()) / 1e9

    async def _send_request(self, request: ChunkRequest) -> ChunkOutcome:
        download, peer = request.download, request.peer
        exchange: Exchange | None = None
        with anyio.move_on_after(self._seconds_until(request.until_ns)):
            if peer is None:
                target = f"{self.blobs_path}/{download.digest}".encode()
                message = http.request(b"GET", target, b"vault", [])
                exchange = await self.artifact_store.exchange(message)
            else:
                target = f"/chunks/{download.digest}?size={download.size_bytes}".encode()
                message = http.request(b"GET", target, b"box", [])
                exchange = await self.peer_pools[peer.worker_id].exchange(message)
        if exchange is None:
            return ChunkOutcome.LATE
        return self._accept_response(download, peer, exchange)

    def _accept_response(
        self, download: ChunkDownload, peer: Peer | None, exchange: Exchange
    ) -> ChunkOutcome:
        message = exchange.message
        if message is None or exchange.end is not ExchangeEnd.ANSWERED:
            is_full = exchange.end is ExchangeEnd.NO_SLOT
            return ChunkOutcome.BUSY if is_full else ChunkOutcome.BROKEN
        if message.status == STATUS_OK:
            return self._store_chunk(download, peer, message.body)
        if peer is not None:
            reason = message.header(REASON_HEADER) or b""
            return OUTCOMES_BY_REASON.get(reason, ChunkOutcome.BROKEN)
        if message.status in BUSY_STATUSES:
            return ChunkOutcome.BUSY
        is_missing = message.status == STATUS_NOT_FOUND
        return ChunkOutcome.MISSING if is_missing else ChunkOutcome.BROKEN

    def _store_chunk(self, download: ChunkDownload, peer: Peer | None, data: bytes) -> ChunkOutcome:
        """Put a chunk into the cache, which checks its digest first."""
        try:
            self.cache.put(download.digest, data)
        except BadImageError as error:
            source = peer.worker_id if peer else "artifact_store"
            self.log.warning(
                "chunk_rejected", digest=download.digest, source=source, reason=str(error)
            )
            return ChunkOutcome.WRONG
        except CacheFullError as error:
            self.log.warning("cache_exhausted", reason=str(error))
            return ChunkOutcome.NOT_CACHED
        if peer is None:
            self.store_bytes += len(data)
        else:
            self.peer_bytes += len(data)
        return ChunkOutcome.GOOD

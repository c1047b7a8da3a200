"""A simulation, in virtual time, of agents that load chunks from an artifact store and from one another.

The agents choose by the real `Chooser`. A run with the same seed is the same every time.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from martenlead.layers.choice import (
    MS,
    PEER_WAIT_NS,
    Chooser,
    ChunkDownload,
    ChunkOutcome,
    ChunkRequest,
    Failure,
    Pause,
)

CHUNK_BYTES = 1000


class Swarm:
    """Agents and an artifact store. Times are virtual ns."""

    def __init__(
        self,
        agents: int,
        *,
        full_speed_requests: int = 8,
        request_limit: int = 24,
        uploads: int = 8,
        store_ms: float = 40,
        seed: int = 1,
        chooser: type[Chooser] = Chooser,
        fetches_for_others: bool = True,
    ) -> None:
        """The store takes `store_ms` for a chunk, longer above `full_speed_requests`, and rejects
        requests at `request_limit`. An agent sends `uploads` chunks at once."""
        self.now = 0
        self.chooser_class, self.fetches_for_others = chooser, fetches_for_others
        self._count = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self.full_speed_requests, self.request_limit, self.store_ms = (
            full_speed_requests,
            request_limit,
            store_ms,
        )
        self.store_requests = self.store_chunks = self.store_rejections = self.peak_requests = 0
        self.store_outage_ns = (0, 0)
        self.store_corrupt: set[str] = set()
        self.agents = [SimulatedAgent(self, n, seed * 1000 + n, uploads) for n in range(agents)]
        for agent in self.agents:
            agent.chooser.update_members(range(agents))

    def call_at(self, when_ns: int, callback: Callable[[], None]) -> None:
        """Calls back at a time, or at once where it has passed."""
        self._count += 1
        heappush(self._queue, (max(when_ns, self.now), self._count, callback))

    def run(self, until_ms: float = 60_000) -> None:
        """Runs what is due until this time."""
        while self._queue and self._queue[0][0] <= until_ms * MS:
            self.now, _, callback = heappop(self._queue)
            callback()

    def request_from_store(self, digest: str, answer: Callable[[ChunkOutcome], None]) -> None:
        """Reads a chunk from the artifact store; `answer` gets the outcome."""
        if self.store_outage_ns[0] <= self.now < self.store_outage_ns[1]:
            self.call_at(self.now + 5 * MS, lambda: answer(ChunkOutcome.BROKEN))
            return
        if self.store_requests >= self.request_limit:
            self.store_rejections += 1
            self.call_at(self.now + MS, lambda: answer(ChunkOutcome.BUSY))
            return
        self.store_requests += 1
        self.peak_requests = max(self.peak_requests, self.store_requests)
        duration_ns = int(self.store_ms * MS * max(1.0, self.store_requests / self.full_speed_requests))

        def done() -> None:
            self.store_requests -= 1
            self.store_chunks += 1
            answer(ChunkOutcome.WRONG if digest in self.store_corrupt else ChunkOutcome.GOOD)

        self.call_at(self.now + duration_ns, done)


class SimulatedAgent:
    """The agent of one worker. Faults: `is_down` (connections fail), `is_stalled` (it does not answer),
    `sends_wrong_chunks`."""

    def __init__(self, swarm: Swarm, worker_id: int, seed: int, uploads: int) -> None:
        self.swarm, self.worker_id = swarm, worker_id
        self.chooser = swarm.chooser_class(worker_id, seed, uploads, lambda: swarm.now)
        self.chunks: set[str] = set()
        self.callbacks: dict[str, list[Callable[[ChunkDownload], None]]] = {}
        self.is_down = self.sends_wrong_chunks = self.is_stalled = False
        self.sent_chunks = self.sent_wrong_chunks = 0
        self.finished_ns: int | None = None
        self.failures: list[Any] = []

    def load_chunks(self, digests: list[str], within_ms: float = 30_000, at_once: int = 16) -> None:
        """Loads the chunks that are missing, `at_once` at a time; sets `finished_ns` once all are there."""
        left = {d for d in digests if d not in self.chunks}
        planned = iter(self.chooser.plan_downloads(sorted(left)))
        deadline = self.swarm.now + int(within_ms * MS)

        def done(download: ChunkDownload) -> None:
            left.discard(download.digest)
            if download.failure:
                self.failures.append(download.failure)
            if not left:
                self.finished_ns = self.swarm.now
            start_next()

        def start_next() -> None:
            digest = next(planned, None)
            if digest is not None:
                self.fetch_chunk(digest, deadline, done)

        for _ in range(at_once):
            start_next()
        if not left:
            self.finished_ns = self.swarm.now

    def fetch_chunk(self, digest: str, deadline: int, done: Callable[[ChunkDownload], None]) -> ChunkDownload:
        """Requests a chunk, and downloads it unless a download is under way; `done` gets the download."""
        is_new = digest not in self.chooser.downloads
        download = self.chooser.request_chunk(digest, CHUNK_BYTES, deadline)
        self.callbacks.setdefault(digest, []).append(done)
        if is_new:
            self.swarm.call_at(self.swarm.now, lambda: self.resume_download(download, None))
        return download

    def resume_download(self, download: ChunkDownload, value: Any) -> None:
        """Passes the outcome of its last action to a download, and carries out its next one."""
        assert download.steps is not None
        try:
            action = download.steps.send(value)
        except StopIteration:
            if download.is_done:
                self.chunks.add(download.digest)
            for done in self.callbacks.pop(download.digest, []):
                done(download)
            return
        if isinstance(action, Pause):
            self.swarm.call_at(action.until_ns, lambda: self.resume_download(download, None))
            return
        self.send_request(download, action)

    def send_request(self, download: ChunkDownload, request: ChunkRequest) -> None:
        """Requests a chunk from a peer or the store, with a time limit."""
        is_answered = False

        def answer(outcome: ChunkOutcome) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                self.resume_download(download, outcome)

        self.swarm.call_at(request.until_ns, lambda: answer(ChunkOutcome.LATE))
        if request.peer is None:
            self.swarm.request_from_store(download.digest, answer)
        else:
            self.swarm.agents[request.peer.worker_id].serve_chunk(download.digest, request.until_ns, answer)

    def serve_chunk(self, digest: str, deadline: int, answer: Callable[[ChunkOutcome], None]) -> None:
        """Answers a peer's request; a chunk that is missing here is fetched for the peer."""
        swarm = self.swarm
        if self.is_down:
            swarm.call_at(swarm.now + MS, lambda: answer(ChunkOutcome.BROKEN))
            return
        if self.is_stalled:
            return
        if digest in self.chunks or self.sends_wrong_chunks:
            self.send_chunk(answer)
            return
        if not swarm.fetches_for_others:
            swarm.call_at(swarm.now + MS, lambda: answer(ChunkOutcome.MISSING))
            return

        is_waiting = True

        def wait() -> None:
            nonlocal is_waiting
            if is_waiting:
                is_waiting = False
                self.chooser.remove_waiter(download)
                answer(ChunkOutcome.WAIT)

        def fetched(download: ChunkDownload) -> None:
            nonlocal is_waiting
            if not is_waiting:
                return
            is_waiting = False
            if download.failure:
                outcomes = {Failure.MISSING: ChunkOutcome.MISSING, Failure.LATE: ChunkOutcome.WAIT}
                answer(outcomes.get(download.failure, ChunkOutcome.AWAY))
            else:
                self.send_chunk(answer)

        download = self.fetch_chunk(
            digest, deadline, fetched
        )  # counts as an upload only once the chunk is there
        swarm.call_at(swarm.now + PEER_WAIT_NS, wait)

    def send_chunk(self, answer: Callable[[ChunkOutcome], None]) -> None:
        """Sends a chunk to a peer, in 4 ms, unless too many uploads are under way."""
        if not self.chooser.may_send():
            self.swarm.call_at(self.swarm.now + MS, lambda: answer(ChunkOutcome.BUSY))
            return
        self.chooser.sending += 1

        def sent() -> None:
            self.chooser.sending -= 1
            self.sent_chunks += 1
            self.sent_wrong_chunks += self.sends_wrong_chunks
            answer(ChunkOutcome.WRONG if self.sends_wrong_chunks else ChunkOutcome.GOOD)

        self.swarm.call_at(self.swarm.now + 4 * MS, sent)

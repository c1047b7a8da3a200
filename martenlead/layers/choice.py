"""Decides which source each chunk comes from: free of I/O, one `Chooser` for each agent.

Agents exchange no messages about it: all of them rank the workers alike for each chunk (rendezvous
hashing). The first worker of that ranking owns the chunk. It alone downloads it from the artifact
store, and the others request it from the owner, which downloads a requested chunk that it does not
have yet. A release that every worker needs is thus read from the store about once, and each worker
sends about as much as it receives. An owner that is slow, unreachable or sends wrong bytes is
skipped for the next of the ranking, and finally for the store.

A download is a generator: it yields `ChunkRequest` and is resumed with a `ChunkOutcome`, or it
yields `Pause` and is resumed with None. Times are integer nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import xxhash

from martenlead.layers.chunk_records import (
    FIRST_LATENCY_NS,
    MS,
    SECOND,
    ArtifactStoreState,
    AttemptSteps,
    ChunkDownload,
    ChunkOutcome,
    ChunkRequest,
    Counts,
    DownloadProgress,
    DownloadSteps,
    Failure,
    Pause,
    Peer,
    RequestSteps,
)

OWNERS = 2  # workers of the ranking that are tried before the store
# this many failed requests for one chunk, over this time: the store is unreachable
STORE_AWAY_FAILURES = 3
STORE_AWAY_NS = 8 * SECOND
STORE_WRONG_LIMIT = 2  # wrong responses of the store after which no source can be right
FIRST_WINDOW, LEAST_WINDOW = 12.0, 0.5  # requests in flight at the store, of all agents together
WINDOW_DECREASE = 0.7  # factor after the store was busy
OWNER_TIME_NS = 5 * SECOND  # longest time that a download waits for owners that respond
PEER_WAIT_NS = 600 * MS  # longest time that another agent's request waits for a download
PEER_TIMEOUT_LATENCIES = 4  # multiple of a peer's usual latency; then the next is tried
LONGEST_LATENCY_NS = 4 * SECOND
# factor after a stall or a broken response, and gain after a good chunk
TRUST_LOSS_FACTOR, TRUST_GAIN = 0.4, 0.05
WRONG_EXCLUSION_NS = 30 * SECOND  # exclusion of a peer that sent wrong bytes
LEAST_TRUST = 0.3
DISTRUSTED_REQUEST_SHARE = 0.05  # requests that a distrusted peer still gets, to recover
PEER_REQUEST_LIMIT = 8  # requests in flight at one peer
SMOOTHING_DIVISOR = 8  # a new latency has a weight of one eighth
FIRST_BACKOFF_NS, LONGEST_BACKOFF_NS = 100 * MS, SECOND


class Chooser:
    """The decisions of one agent.

    `worker_id` is this worker's id at all agents; at most `uploads` chunks are sent out at once.
    """

    def __init__(self, worker_id: int, seed: int, uploads: int, clock: Callable[[], int]) -> None:
        random = Random(seed)
        self.draw_random, self.shuffle = random.random, random.shuffle
        self.worker_id, self.uploads, self.clock = worker_id, uploads, clock
        self.peers: dict[int, Peer] = {}
        self.downloads: dict[str, ChunkDownload] = {}
        self.window = FIRST_WINDOW  # becomes this agent's part when it knows how many there are
        self.next_store_request_ns = 0
        self.store_latency_ns = 100.0 * MS
        self.store_in_flight = 0
        self.worker_count = 1
        self.membership_version = 0
        self.sending = 0
        self.store_backoff_until_ns = 0
        self.store_state = ArtifactStoreState()
        self.counts = Counts()

    # -- membership and ranking

    def update_members(self, worker_ids: Iterable[int]) -> None:
        """Replace the list of workers; one that is no longer listed gets no requests."""
        listed = set(worker_ids) - {self.worker_id}
        for worker_id, peer in self.peers.items():
            peer.is_listed = worker_id in listed
        for worker_id in sorted(listed - self.peers.keys()):
            self.peers[worker_id] = Peer(worker_id)
        self.worker_count = 1 + len(listed)
        self.membership_version += 1
        self.window = min(self.window, max(1.0, FIRST_WINDOW) / self.worker_count)

    def rank_workers(self, digest: str) -> list[int]:
        """Return all workers in the ranking that every agent computes alike for a chunk."""

        def hash_for_chunk(worker_id: int) -> int:
            """Return the weight of a worker for this chunk."""
            return xxhash.xxh3_64_intdigest(f"{digest} {worker_id}".encode())

        worker_ids = [worker_id for worker_id, peer in self.peers.items() if peer.is_listed]
        worker_ids.append(self.worker_id)
        return sorted(worker_ids, key=hash_for_chunk, reverse=True)

    def plan_downloads(self, digests: Iterable[str]) -> list[str]:
        """Return the sequence in which a load downloads its chunks.

        Chunks that other agents will request from this one come first. The others are shuffled, so
        that the agents do not all request from one owner at the same time.
        """
        own: list[str] = []
        others: list[str] = []
        for digest in digests:
            is_owner = self.rank_workers(digest)[0] == self.worker_id
            (own if is_owner else others).append(digest)
        self.shuffle(others)
        return own + others

    def is_usable(self, peer: Peer) -> bool:
        """Return whether a peer may get a request now; a distrusted one seldom may."""
        return self.clock() >= peer.excluded_until_ns and (
            peer.trust >= LEAST_TRUST or self.draw_random() < DISTRUSTED_REQUEST_SHARE
        )

    # -- downloads

    def request_chunk(self, digest: str, size_bytes: int, deadline_ns: int) -> ChunkDownload:
        """Return the one download of a chunk; the caller runs the `steps` of a new one."""
        download = self.downloads.get(digest)
        if download is not None:
            download.waiting += 1
            download.deadline_ns = max(download.deadline_ns, deadline_ns)
            return download
        download = self.downloads[digest] = ChunkDownload(digest, size_bytes, deadline_ns)
        download.steps = self.download_chunk(download)
        return download

    def remove_waiter(self, download: ChunkDownload) -> None:
        """Remove one waiter; a download without waiters ends at its next step."""
        download.waiting -= 1

    def may_send(self) -> bool:
        """Return whether another agent may receive a chunk now; own loads are not limited."""
        if self.sending < self.uploads:
            return True
        self.counts.uploads_refused += 1
        return False

    def download_chunk(self, download: ChunkDownload) -> DownloadSteps:
        """Download a chunk from its owners, or else the store, until it succeeds or fails."""
        progress = DownloadProgress(self.clock())
        while not self.has_ended(download):
            peer = self.next_owner(download, progress.excluded_peers)
            if peer is not None:
                is_complete = yield from self._try_peer(download, peer, progress)
            else:
                is_complete = yield from self._try_store(download, progress)
            if is_complete:
                break
        download.is_done = download.failure is None
        self.downloads.pop(download.digest, None)

    def _try_peer(
        self, download: ChunkDownload, peer: Peer, progress: DownloadProgress
    ) -> AttemptSteps:
        """Request a chunk from a peer; return whether it was received."""
        if peer.in_flight >= PEER_REQUEST_LIMIT:
            yield Pause(self.jittered_deadline(peer.latency_ns / 4))
            return False
        requested_ns = self.clock()
        outcome = yield from self.request_from_peer(download, peer)
        if outcome is ChunkOutcome.GOOD:
            return True
        if outcome is ChunkOutcome.NOT_CACHED:
            download.failure = Failure.NO_ROOM
            return False
        is_responding = outcome in (ChunkOutcome.BUSY, ChunkOutcome.WAIT) or (
            outcome is ChunkOutcome.LATE and peer.last_response_ns >= requested_ns
        )
        if is_responding and self.clock() - progress.started_ns < OWNER_TIME_NS:
            yield Pause(self.jittered_deadline(peer.latency_ns / 4))  # then try the same owner
            return False
        if outcome is ChunkOutcome.AWAY:
            progress.is_store_away_for_peer = True
        progress.excluded_peers.add(peer)
        return False

    def _try_store(self, download: ChunkDownload, progress: DownloadProgress) -> AttemptSteps:
        """Request a chunk from the store if allowed; return whether it was received."""
        if not self.may_request_from_store():
            yield Pause(
                max(
                    self.store_backoff_until_ns,
                    self.next_store_request_ns,
                    self.jittered_deadline(self.store_latency_ns / 4),
                )
            )
            return False
        outcome = yield from self.request_from_store(download)
        if outcome is ChunkOutcome.GOOD:
            return True
        if outcome is ChunkOutcome.WRONG:
            progress.wrong_count += 1
        elif outcome not in (ChunkOutcome.BUSY, ChunkOutcome.NOT_CACHED):
            progress.first_failure_ns = progress.first_failure_ns or self.clock()
            progress.failure_count += 1
        download.failure = self._final_failure(outcome, progress)
        if download.failure is None:
            backoff_ns = min(LONGEST_BACKOFF_NS, FIRST_BACKOFF_NS * 2**progress.failure_count)
            yield Pause(self.jittered_deadline(backoff_ns))
            progress.excluded_peers.clear()  # meanwhile the peers may have downloaded it
        return False

    def _final_failure(self, outcome: ChunkOutcome, progress: DownloadProgress) -> Failure | None:
        """Return why a download fails after this outcome at the store; None if it is retried."""
        if progress.wrong_count >= STORE_WRONG_LIMIT:
            return Failure.CORRUPT
        if outcome is ChunkOutcome.NOT_CACHED:
            return Failure.NO_ROOM
        if outcome is ChunkOutcome.MISSING:
            return Failure.MISSING
        if progress.failure_count and progress.is_store_away_for_peer:
            return Failure.STORE_AWAY
        if progress.failure_count < STORE_AWAY_FAILURES:
            return None
        is_away = self.clock() - progress.first_failure_ns > STORE_AWAY_NS
        return Failure.STORE_AWAY if is_away else None

    def may_request_from_store(self) -> bool:
        """Return whether this agent's part of the window has space.

        With many agents the part is less than one request; requests are then spaced in time.
        """
        not_before_ns = max(self.store_backoff_until_ns, self.next_store_request_ns)
        return self.clock() >= not_before_ns and self.store_in_flight < max(1, int(self.window))

    def has_ended(self, download: ChunkDownload) -> bool:
        """Return whether a download has failed; it fails at its deadline or without waiters."""
        if download.failure is None and (
            self.clock() >= download.deadline_ns or download.waiting <= 0
        ):
            download.failure = Failure.LATE
        return download.failure is not None

    def next_owner(self, download: ChunkDownload, excluded: set[Peer]) -> Peer | None:
        """Return the peer to try next, or None if the store is next."""
        if download.membership_version != self.membership_version:
            download.candidates = self.rank_workers(download.digest)
            download.membership_version = self.membership_version
        for worker_id in download.candidates:
            if worker_id == self.worker_id or len(excluded) >= OWNERS:
                return None
            peer = self.peers[worker_id]
            if peer in excluded:
                continue
            if self.is_usable(peer):
                return peer
            self.counts.passed_over += 1
        return None

    # -- requests

    def request_from_peer(self, download: ChunkDownload, peer: Peer) -> RequestSteps:
        """Send a request to a peer and update its record by the outcome."""
        started_ns = self.clock()
        peer.in_flight += 1
        self.counts.peer_requests += 1
        timeout_ns = int(PEER_TIMEOUT_LATENCIES * max(peer.latency_ns, FIRST_LATENCY_NS))
        until_ns = min(download.deadline_ns, started_ns + timeout_ns)
        outcome: ChunkOutcome = yield ChunkRequest(download, peer, until_ns)
        peer.in_flight -= 1
        self.count_outcome(outcome)
        self._update_peer(peer, outcome, started_ns)
        return outcome

    def _update_peer(self, peer: Peer, outcome: ChunkOutcome, started_ns: int) -> None:
        if outcome in (ChunkOutcome.GOOD, ChunkOutcome.NOT_CACHED):
            peer.latency_ns += (self.clock() - started_ns - peer.latency_ns) / SMOOTHING_DIVISOR
            peer.trust = min(1.0, peer.trust + TRUST_GAIN)
        elif outcome is ChunkOutcome.WRONG:
            peer.excluded_until_ns = self.clock() + WRONG_EXCLUSION_NS
            peer.trust *= TRUST_LOSS_FACTOR
            self.counts.wrong += 1
        elif outcome is ChunkOutcome.LATE:
            # with the same timeout as before, retries would slow down a peer that is only slow
            peer.latency_ns = min(2 * peer.latency_ns, LONGEST_LATENCY_NS)
            if peer.last_response_ns < started_ns:
                peer.trust *= TRUST_LOSS_FACTOR
        elif outcome is ChunkOutcome.BROKEN:
            peer.trust *= TRUST_LOSS_FACTOR
        if outcome not in (ChunkOutcome.LATE, ChunkOutcome.BROKEN):
            peer.last_response_ns = self.clock()

    def request_from_store(self, download: ChunkDownload) -> RequestSteps:
        """Send a request to the store and adapt the window to its outcome.

        All agents together add one request after a round of good responses and remove three tenths
        after a rejection. Each agent does its part, so that the sum adapts to the store's capacity.
        """
        started_ns = self.clock()
        self.store_in_flight += 1
        self.counts.store_requests += 1
        if self.window < 1:
            wait_ns = (1 / self.window - 1) * self.store_latency_ns
            self.next_store_request_ns = self.jittered_deadline(wait_ns)
        outcome: ChunkOutcome = yield ChunkRequest(download, None, download.deadline_ns)
        self.store_in_flight -= 1
        self.count_outcome(outcome)
        if outcome is ChunkOutcome.BROKEN:
            self.store_state.record_failure(self.clock())
        elif outcome is not ChunkOutcome.LATE:
            self.store_state.record_response()
        self._update_window(outcome, started_ns)
        return outcome

    def _update_window(self, outcome: ChunkOutcome, started_ns: int) -> None:
        if outcome in (ChunkOutcome.GOOD, ChunkOutcome.NOT_CACHED):
            latency_ns = self.clock() - started_ns
            self.store_latency_ns += (latency_ns - self.store_latency_ns) / SMOOTHING_DIVISOR
            self.window += 1 / (self.worker_count * max(1.0, self.window))
        elif outcome is ChunkOutcome.BUSY:
            self.counts.store_busy += 1
            if self.clock() >= self.store_backoff_until_ns:  # simultaneous rejections count once
                least = LEAST_WINDOW / self.worker_count
                self.window = max(least, self.window * WINDOW_DECREASE)
                self.store_backoff_until_ns = self.jittered_deadline(2 * self.store_latency_ns)

    def jittered_deadline(self, wait_ns: float) -> int:
        """Return the time after the wait from now, with a jitter of up to half of it."""
        return self.clock() + int(wait_ns * (0.5 + self.draw_random()))

    def count_outcome(self, outcome: ChunkOutcome) -> None:
        """Count how a request ended."""
        self.counts.by_end[outcome] = self.counts.by_end.get(outcome, 0) + 1


__all__ = [
    "MS",
    "OWNERS",
    "PEER_WAIT_NS",
    "SECOND",
    "STORE_AWAY_FAILURES",
    "STORE_AWAY_NS",
    "STORE_WRONG_LIMIT",
    "ArtifactStoreState",
    "Chooser",
    "ChunkDownload",
    "ChunkOutcome",
    "ChunkRequest",
    "Counts",
    "DownloadSteps",
    "Failure",
    "Pause",
    "Peer",
]

"""Data structures for the choice of chunk sources. Times are integer nanoseconds."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MS = 1_000_000
SECOND = 1000 * MS
FIRST_LATENCY_NS = 250 * MS


class ChunkOutcome(Enum):
    """How a request for a chunk ended; the values are the names in the agent's status.

    `BUSY`, `WAIT` and `AWAY` are responses of the source; the others were observed here.
    """

    GOOD = "good"
    WRONG = "wrong"  # the digest check failed: the bytes are neither served nor cached
    BUSY = "busy"  # the source asks for a retry later
    WAIT = "wait"  # a peer is downloading it
    AWAY = "away"  # a peer could not download it from the store
    MISSING = "missing"
    BROKEN = "broken"  # truncated, refused or malformed
    LATE = "late"
    NOT_CACHED = "unkept"  # received, but the cache has no space for it


class Failure(Enum):
    """Why a load failed; the values are the names on the wire, which reach the balancer."""

    STORE_AWAY = "vault-away"
    CORRUPT = "corrupt"  # every source has wrong bytes
    MISSING = "missing"  # no source has the chunk or name
    LATE = "late"  # the deadline has passed
    NO_ROOM = "no-room"  # all chunks in the cache are in use, or the disk is full


@dataclass(slots=True)
class ArtifactStoreState:
    """Whether the artifact store's last response to this agent was a failure."""

    failed_at_ns: int = -1  # -1: it has responded or had no request yet

    def record_response(self) -> None:
        """Record a response, which may also be a rejection: the store is reachable."""
        self.failed_at_ns = -1

    def record_failure(self, now_ns: int) -> None:
        """Record a failure; a request that ended at its own deadline does not count as one."""
        self.failed_at_ns = now_ns

    def failure_at_deadline(self, started_ns: int) -> Failure:
        """Return why a load that started at `started_ns` has missed its deadline.

        The store is the cause if it has failed since, else the time was too short.
        """
        return Failure.STORE_AWAY if self.failed_at_ns >= started_ns else Failure.LATE


@dataclass(slots=True, eq=False)
class Peer:
    """Another agent, as this one has observed it."""

    worker_id: int
    in_flight: int = 0
    trust: float = 1.0
    excluded_until_ns: int = 0
    latency_ns: float = float(FIRST_LATENCY_NS)
    last_response_ns: int = -1  # any response, also a rejection
    is_listed: bool = True


@dataclass(slots=True, eq=False)
class ChunkRequest:
    """A request for a chunk to a peer, or to the store where `peer` is None.

    It times out at `until_ns`.
    """

    download: ChunkDownload
    peer: Peer | None
    until_ns: int


@dataclass(slots=True, eq=False)
class Pause:
    """An instruction to suspend the download until `until_ns`."""

    until_ns: int


@dataclass(slots=True, eq=False)
class ChunkDownload:
    """One download of a chunk, shared by all loads and agents that wait for it."""

    digest: str
    size_bytes: int
    deadline_ns: int
    waiting: int = 1
    failure: Failure | None = None
    is_done: bool = False
    steps: DownloadSteps | None = None
    candidates: list[int] = field(default_factory=list)  # worker ids, as of `membership_version`
    membership_version: int = -1


# what is sent to the generator: an outcome after a request, None after a pause
DownloadSteps = Generator[ChunkRequest | Pause, Any, None]
RequestSteps = Generator[ChunkRequest | Pause, Any, ChunkOutcome]
AttemptSteps = Generator[ChunkRequest | Pause, Any, bool]


@dataclass(slots=True)
class DownloadProgress:
    """Failures and exclusions of one download so far."""

    started_ns: int
    first_failure_ns: int = 0  # 0: none yet
    failure_count: int = 0  # failed requests to the store
    wrong_count: int = 0  # store responses with a wrong digest
    is_store_away_for_peer: bool = False
    excluded_peers: set[Peer] = field(default_factory=set)


@dataclass(slots=True)
class Counts:
    """Counters of the agent's status."""

    store_requests: int = 0
    store_busy: int = 0
    peer_requests: int = 0
    wrong: int = 0
    passed_over: int = 0
    uploads_refused: int = 0
    by_end: dict[ChunkOutcome, int] = field(default_factory=dict)

"""Settings of the agent that runs beside a worker. The keys are those of its configuration file."""

from __future__ import annotations

from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from martenlead.events.head import HOST_PATTERN, TEXT_PATTERN

WORKER_ID_SHIFT = 11  # leaves 53 bits, which JSON numbers carry exactly

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1, le=65536)]
Host = Annotated[str, Meta(pattern=HOST_PATTERN)]


def hash_worker_name(name: str) -> int:
    """Return the id of a worker, which every agent computes alike."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> WORKER_ID_SHIFT


class StoreAddress(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Where the artifact store listens."""

    host: Host = "127.0.0.1"
    port: Port


class Member(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The agent of a worker. Its id is the same at all agents."""

    worker_id: int = msgspec.field(name="mark")
    host: Host = "127.0.0.1"
    port: Port


class EndpointListLink(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Where the endpoint list is watched, and how."""

    host: Host = "127.0.0.1"
    port: Port
    silence_timeout_ms: Positive = msgspec.field(default=3000, name="quiet_ms")
    retry_ms: Positive = 100


class AgentSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Settings of one agent. `name` is the worker's name in the endpoint list."""

    name: Annotated[str, Meta(min_length=1, max_length=200, pattern=TEXT_PATTERN)]
    port: Port = 0
    cache: str  # folder of the cache
    cache_bytes: Annotated[int, Meta(ge=1)] = 10 * 1024**3
    hot_bytes: Annotated[int, Meta(ge=0)] = 64 * 1024**2  # latest chunks, also kept in memory
    files: str | None = None  # folder in which the files of functions are assembled
    artifact_store: StoreAddress = msgspec.field(name="vault")
    repository: str = "models"
    members: list[Member] = []  # in addition to those of the endpoint list
    endpoint_list: EndpointListLink | None = msgspec.field(default=None, name="roster")
    uploads: Count = 8  # concurrent uploads to other agents
    at_once: Count = 16  # concurrent chunk downloads of one load
    parked: Count = 256  # requests of agents waiting for a chunk; further ones get `busy`
    loads: Count = 256  # concurrent loads; further ones are rejected
    last_known: bool = True  # use the last known release while the store is unreachable
    drain_ms: Positive = 2000  # time for the uploads and loads in flight at shutdown
    seed: int = 0

    @property
    def worker_id(self) -> int:
        """The id of this agent's worker."""
        return hash_worker_name(self.name)

    @property
    def random_seed(self) -> int:
        """The seed to use: the configured one, or else the worker's id."""
        return self.seed or self.worker_id

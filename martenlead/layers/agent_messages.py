"""JSON messages of the agent's HTTP interface.

Keys on the wire are fixed; see docs/format-layers.md.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta


class LoadCommand(msgspec.Struct):
    """`POST /load`: load the image `ref`; with `into`, assemble its files in that folder."""

    ref: Annotated[str, Meta(min_length=1, max_length=300)]
    within_ms: Annotated[float, Meta(gt=0, le=3_600_000)] = 30_000
    into: Annotated[str, Meta(pattern=r"^[A-Za-z0-9_][A-Za-z0-9._-]{0,199}$")] | None = None


class LoadReply(msgspec.Struct, frozen=True):
    """The response to a load that succeeded."""

    ref: str
    digest: str
    size_bytes: int = msgspec.field(name="size")
    took_ms: float
    is_stale: bool = msgspec.field(name="stale")


class AgentStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The response to `GET /state`."""

    worker_name: str = msgspec.field(name="box")
    worker_count: int = msgspec.field(name="boxes")
    chunk_count: int = msgspec.field(name="chunks")
    cached_bytes: int = msgspec.field(name="bytes")
    evicted_count: int = msgspec.field(name="evicted")
    set_aside_count: int = msgspec.field(name="set_aside")
    loads_by_result: dict[str, int] = msgspec.field(name="loads")
    loads_in_flight: int = msgspec.field(name="loading")
    download_count: int = msgspec.field(name="wants")
    store_bytes: int = msgspec.field(name="vault_bytes")
    peer_bytes: int
    sent_bytes: int
    store_window: float = msgspec.field(name="vault_window")
    store_requests: int = msgspec.field(name="vault_asks")
    store_busy: int = msgspec.field(name="vault_busy")
    peer_requests: int = msgspec.field(name="peer_asks")
    wrong: int
    passed_over: int
    outcomes: dict[str, int] = msgspec.field(name="ends")
    uploads_refused: int
    old_release_count: int = msgspec.field(name="old_names_told")
    saves: dict[str, int]

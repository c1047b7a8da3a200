"""The settings of the planner program."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from martenlead.planner import frames

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(gt=0)]


class ListenAddress(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """An address to listen on; port 0 is any free one."""

    host: str = "127.0.0.1"
    port: Port = 0


class PlannerSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Times are ms. What an edge's loads may cost is set at the edge, and not here."""

    name: Annotated[str, Meta(min_length=1, max_length=200)] = "planner"
    listen: ListenAddress = ListenAddress()
    admin: ListenAddress | None = None  # GET /state
    # the file of retained replicas, for edges and planners that start anew
    state_path: str | None = msgspec.field(default=None, name="kept")
    # beyond: refused
    edge_limit: Annotated[int, Meta(ge=1, le=10_000)] = msgspec.field(default=256, name="edges")
    heartbeat_ms: Positive = msgspec.field(default=200, name="beat_ms")
    highest_version: Annotated[int, Meta(ge=1, le=2)] = msgspec.field(
        default=frames.HIGHEST_VERSION, name="speaks"
    )

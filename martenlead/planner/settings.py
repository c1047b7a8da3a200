"""The settings of the planner program."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from martenlead.planner import frames

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(gt=0)]


class ListenAddress(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """An address to listen on; port 0 selects any free port."""

    host: str = "127.0.0.1"
    port: Port = 0


class PlannerSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The settings of a planner; times are in ms. An edge's load budget is set at the edge."""

    name: Annotated[str, Meta(min_length=1, max_length=200)] = "planner"
    listen: ListenAddress = ListenAddress()
    admin: ListenAddress | None = None  # GET /state
    # file of retained replicas, read after a restart of the planner or of an edge
    state_path: str | None = msgspec.field(default=None, name="kept")
    # largest number of edges; further ones are refused
    edge_limit: Annotated[int, Meta(ge=1, le=10_000)] = msgspec.field(default=256, name="edges")
    heartbeat_ms: Positive = msgspec.field(default=200, name="beat_ms")
    highest_version: Annotated[int, Meta(ge=1, le=2)] = msgspec.field(
        default=frames.HIGHEST_VERSION, name="speaks"
    )

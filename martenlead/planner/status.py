"""The status of the link and of the planner for operators, with the keys of the status pages."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

JsonObject = dict[str, object]


def link_counts(counts: Mapping[str, int]) -> dict[str, int]:
    """Returns the counts of a session with the keys of a status."""
    return {f"link_{name}": count for name, count in sorted(counts.items())}


class EdgeLinkStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of an edge's end of its link."""

    planner_name: str = msgspec.field(name="planner")
    state: str
    version: int
    epoch: int
    lease_ms: float
    last_sequence: int = msgspec.field(name="events")
    unacknowledged: int
    outbox_bytes: int
    counts: dict[str, int]

    def to_json_object(self) -> JsonObject:
        """Returns fields and counts in one object, with the keys of the status page."""
        return _with_counts(self)


class PlannerLinkStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a planner's end of its link with one edge."""

    edge_name: str = msgspec.field(name="edge")
    version: int
    epoch: int
    last_sequence: int = msgspec.field(name="events")
    has_replica: bool = msgspec.field(name="mirrors")
    retained: int = msgspec.field(name="held")
    load_requests: int = msgspec.field(name="orders_out")
    requests: int = msgspec.field(name="tasks")
    counts: dict[str, int]

    def to_json_object(self) -> JsonObject:
        """Returns fields and counts in one object, with the keys of the status page."""
        return _with_counts(self)


class PlannerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a planner and all its links."""

    planner_name: str = msgspec.field(name="planner")
    incarnation: str = msgspec.field(name="life")
    edges: list[JsonObject]
    saves: dict[str, int]


def _with_counts(status: EdgeLinkStatus | PlannerLinkStatus) -> JsonObject:
    fields: JsonObject = msgspec.to_builtins(status)
    del fields["counts"]
    return {**fields, **link_counts(status.counts)}

"""What both ends of the link between an edge and its planner share.

The ends are state machines without I/O and without a clock of their own: `EdgeSession` and
`PlannerSession`. They guarantee together that at most one planner decides for an edge. The edge
carries out a load request only if

- its sender is the planner of the edge's latest epoch, and that lease has not expired, and
- the edge's own policy accepts it: the load budget has room, and the worker is up.

So two planners that both believe to be in charge can together request no more loads than one,
whatever clocks and networks do, and without talking to each other. It is not guaranteed that there
is a planner, or that the planners of two edges do not retain the same replica.

A planner receives all events in order and without a gap, starting from a snapshot. Events are
numbered, kept until they are acknowledged, and sent again after a connection is lost. If too many
are kept, a new snapshot replaces them.
"""

from __future__ import annotations

import msgspec

from martenlead.planner import frames

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000
LONG_AGO_NS = -1 << 62  # before any time of a clock


class LinkProtocolError(Exception):
    """The connection is of no further use; the text says why."""


class SessionLimits(msgspec.Struct, frozen=True):
    """The limits that an edge sets for its link."""

    lease_ns: int = 1500 * NS_PER_MS
    outbox_bytes: int = 8_388_608
    snapshot_interval_ns: int = 500 * NS_PER_MS
    highest_version: int = frames.HIGHEST_VERSION

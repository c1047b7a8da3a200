"""Constants, limits and errors shared by both ends of the link between an edge and its planner.

The ends, `EdgeSession` and `PlannerSession`, are state machines that do no I/O and are given their
clock. Together they guarantee that at most one planner decides for an edge. The edge executes a
load request only if

- its sender is the planner of the edge's latest epoch, whose lease has not expired, and
- the edge's own policy accepts it: the load budget has room, and the worker is up.

Two planners that both believe that they hold the lease can therefore not request more loads than
one, whatever clocks and networks do, without communicating with each other. It is not guaranteed
that there is a planner, or that the planners of two edges do not retain the same replica.

A planner receives all events in order and without gaps, starting from a snapshot. Events are
numbered, kept until they are acknowledged, and sent again after a lost connection. If they exceed
the limit of the outbox, a new snapshot replaces them.
"""

from __future__ import annotations

import msgspec

from martenlead.planner import frames

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000
LONG_AGO_NS = -1 << 62  # earlier than any clock reading


class LinkProtocolError(Exception):
    """The connection has to be closed; the message gives the reason."""


class SessionLimits(msgspec.Struct, frozen=True):
    """The limits that an edge applies to its link."""

    lease_ns: int = 1500 * NS_PER_MS
    outbox_bytes: int = 8_388_608
    snapshot_interval_ns: int = 500 * NS_PER_MS
    highest_version: int = frames.HIGHEST_VERSION

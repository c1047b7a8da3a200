"""Closing the connections of a server: in a drain, to make room, and after a time-out."""

from __future__ import annotations

from time import monotonic_ns

import anyio

from martenlead.events.connection import Connection
from martenlead.events.server_interface import ServerLimits
from martenlead.events.stream_listener import StreamListener

BACKLOG_SECONDS = 1.0  # Time limit for accepting the backlog when a drain begins
DRAIN_CHECK_SECONDS = 0.01  # Interval of checks for idle connections during a drain
# Time that a new connection has for its first request before a drain closes it.
DRAIN_FIRST_REQUEST_NS = 200_000_000
ROOM_CHECK_SECONDS = 0.02  # Interval of checks for idle connections while new ones have no room
CLOSED_PER_CHECK = 4  # Idle connections that one check closes at most
# Time that a new connection has for its first request before it is closed to make room.
FIRST_REQUEST_NS = 50_000_000
SWEEPS_PER_TIMEOUT = 4  # A time-out is noticed late by up to a quarter of the shortest one
SHORTEST_SWEEP_SECONDS, LONGEST_SWEEP_SECONDS = 0.01, 1.0


async def drain(
    listener: StreamListener, connections: set[Connection], *, accepts_backlog: bool
) -> None:
    """Stops accepting, closes connections as they become idle, and returns when all have ended.

    Connections in the backlog at the start of the drain are still served, unless `accepts_backlog`
    is false.
    """
    if accepts_backlog:
        with anyio.move_on_after(BACKLOG_SECONDS):
            await listener.accept_all()
    listener.close()
    while connections or not listener.is_idle:
        before_ns = monotonic_ns() - DRAIN_FIRST_REQUEST_NS
        for connection in list(connections):
            connection.close_if_idle(before_ns)
        await anyio.sleep(DRAIN_CHECK_SECONDS)


class IdleCloser:
    """Closes idle connections while the listener has no room for new ones."""

    def __init__(self, listener: StreamListener, connections: set[Connection]) -> None:
        self.listener, self.connections = listener, connections
        self._is_full = anyio.Event()

    def note_full(self) -> None:
        """Records that a connection waits to be accepted and there is no room for it."""
        self._is_full.set()

    async def run(self) -> None:
        """Closes idle connections whenever the listener is full; runs until it is cancelled."""
        while True:
            await self._is_full.wait()
            self._is_full = anyio.Event()
            while self.listener.is_full:
                close_idle(self.connections)
                await anyio.sleep(ROOM_CHECK_SECONDS)


def close_idle(connections: set[Connection]) -> None:
    """Closes a few: first the oldest that sent no request, then those that are idle the longest."""
    before_ns = monotonic_ns() - FIRST_REQUEST_NS
    by_rank = sorted(connections, key=lambda c: (c.has_sent_request, c.last_read_ns))
    closed = 0
    for connection in by_rank:
        if closed == CLOSED_PER_CHECK:
            break
        closed += connection.close_if_idle(before_ns)


async def close_overdue(connections: set[Connection], limits: ServerLimits) -> None:
    """Closes connections whose client exceeds a time-out; runs until it is cancelled.

    A periodic check of all connections costs less than a timer for each read and write.
    """
    shortest_ns = min(limits.idle_timeout_ns, limits.receive_timeout_ns, limits.write_timeout_ns)
    interval_seconds = shortest_ns / SWEEPS_PER_TIMEOUT / 1e9
    while True:
        await anyio.sleep(min(max(interval_seconds, SHORTEST_SWEEP_SECONDS), LONGEST_SWEEP_SECONDS))
        now_ns = monotonic_ns()
        for connection in list(connections):
            connection.close_if_overdue(now_ns)

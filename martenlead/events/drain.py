"""Closing the connections of a server: in a drain, for want of room, and when they are overdue."""

from __future__ import annotations

from time import monotonic_ns

import anyio

from martenlead.events.connection import Connection
from martenlead.events.server_interface import ServerLimits
from martenlead.events.stream_listener import StreamListener

BACKLOG_SECONDS = 1.0  # for the connections that wait to be accepted as a drain begins
DRAIN_CHECK_SECONDS = 0.01  # between two looks for connections that have become idle in a drain
DRAIN_YOUNG_NS = 200_000_000  # that a connection has for its first request before a drain closes it
ROOM_CHECK_SECONDS = 0.02  # between two looks for idle connections while new ones have no room
CLOSED_PER_CHECK = 4  # idle connections, at each look
YOUNG_NS = 50_000_000  # that a connection has for its first request before it is closed for another
SWEEPS_PER_TIMEOUT = 4  # a time-out may be noticed late by this part of the shortest one
SHORTEST_SWEEP_SECONDS, LONGEST_SWEEP_SECONDS = 0.01, 1.0


async def drain(
    listener: StreamListener, connections: set[Connection], *, accepts_backlog: bool
) -> None:
    """Takes nothing new, closes connections as they become idle, and returns when all have ended.

    Connections that wait to be accepted as the drain begins are served, unless `accepts_backlog`
    is false.
    """
    if accepts_backlog:
        with anyio.move_on_after(BACKLOG_SECONDS):
            await listener.accept_all()
    listener.close()
    while connections or not listener.is_idle:
        before_ns = monotonic_ns() - DRAIN_YOUNG_NS
        for connection in list(connections):
            connection.close_if_idle(before_ns)
        await anyio.sleep(DRAIN_CHECK_SECONDS)


class IdleCloser:
    """Closes idle connections while the listener has no room for new ones."""

    def __init__(self, listener: StreamListener, connections: set[Connection]) -> None:
        self.listener, self.connections = listener, connections
        self._is_full = anyio.Event()

    def note_full(self) -> None:
        """A connection waits to be accepted and has no room."""
        self._is_full.set()

    async def run(self) -> None:
        """Runs until it is cancelled."""
        while True:
            await self._is_full.wait()
            self._is_full = anyio.Event()
            while self.listener.is_full:
                close_idle(self.connections)
                await anyio.sleep(ROOM_CHECK_SECONDS)


def close_idle(connections: set[Connection]) -> None:
    """Closes a few: first the oldest that sent no request, then those that are idle for longest."""
    before_ns = monotonic_ns() - YOUNG_NS
    by_rank = sorted(connections, key=lambda one: (one.has_sent_request, one.last_read_ns))
    closed = 0
    for connection in by_rank:
        if closed == CLOSED_PER_CHECK:
            break
        closed += connection.close_if_idle(before_ns)


async def close_overdue(connections: set[Connection], limits: ServerLimits) -> None:
    """Closes connections whose client takes too long; runs until it is cancelled.

    One look at all connections now and then costs less than a timer for each read and write.
    """
    shortest_ns = min(limits.idle_timeout_ns, limits.receive_timeout_ns, limits.write_timeout_ns)
    every_seconds = shortest_ns / SWEEPS_PER_TIMEOUT / 1e9
    while True:
        await anyio.sleep(min(max(every_seconds, SHORTEST_SWEEP_SECONDS), LONGEST_SWEEP_SECONDS))
        now_ns = monotonic_ns()
        for connection in list(connections):
            connection.close_if_overdue(now_ns)

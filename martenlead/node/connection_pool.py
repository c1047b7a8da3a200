"""Keeps the connections to one worker, and selects one of them for a call."""

from __future__ import annotations

from collections.abc import Sequence

from martenlead.node.upstream_connection import UpstreamConnection
from martenlead.upstream.endpoints import Endpoint


class ConnectionPool:
    """The connections to one worker; each worker of the fleet has its own pool."""

    __slots__ = ("connections", "connections_opened", "host", "is_retired", "port")

    def __init__(self, endpoint: Endpoint) -> None:
        self.host, self.port = endpoint.host, endpoint.port
        self.connections: set[UpstreamConnection] = set()
        self.connections_opened = 0
        self.is_retired = False  # set once the worker is gone

    @property
    def open_connections(self) -> int:
        """Connections that are established or being established."""
        return len(self.connections)

    def find_idle(
        self, used: Sequence[UpstreamConnection], idle_limit_ns: int, now_ns: int
    ) -> UpstreamConnection | None:
        """Returns the most recently used idle connection that is not in `used`, or None.

        Closes connections that have ended or been idle so long that the worker may close them.
        """
        found: UpstreamConnection | None = None
        for connection in list(self.connections):
            if connection.outstanding_calls or connection.transport is None:
                continue
            if connection.is_retired or connection.is_write_blocked or connection in used:
                continue
            if now_ns - connection.idle_since_ns > idle_limit_ns or connection.has_ended():
                connection.close("ended while it was idle")
            elif found is None or connection.idle_since_ns > found.idle_since_ns:
                found = connection
        return found

    def find_least_busy(
        self, used: Sequence[UpstreamConnection], calls_limit: int, now_ns: int
    ) -> UpstreamConnection | None:
        """Returns the connection with the fewest calls, below the limit and not in `used`."""
        found: UpstreamConnection | None = None
        for connection in self.connections:
            calls = len(connection.outstanding_calls)
            if calls >= calls_limit or (
                found is not None and calls >= len(found.outstanding_calls)
            ):
                continue
            if connection.is_retired or connection.is_write_blocked or connection in used:
                continue
            if not connection.is_transport_closing() and not connection.is_overdue(now_ns):
                found = connection
        return found

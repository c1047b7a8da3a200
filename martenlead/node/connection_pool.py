"""The connections to one worker, and the choice among them."""

from __future__ import annotations

from collections.abc import Sequence

from martenlead.node.upstream_connection import UpstreamConnection
from martenlead.upstream.endpoints import Endpoint


class ConnectionPool:
    """The connections to one worker; there is one pool for each worker of the fleet."""

    __slots__ = ("connections", "connections_opened", "host", "is_retired", "port")

    def __init__(self, endpoint: Endpoint) -> None:
        self.host, self.port = endpoint.host, endpoint.port
        self.connections: set[UpstreamConnection] = set()
        self.connections_opened = 0
        self.is_retired = False  # its worker is gone

    @property
    def open_connections(self) -> int:
        """Connections that are established or being established."""
        return len(self.connections)

    def find_idle(
        self, used: Sequence[UpstreamConnection], idle_limit_ns: int, now_ns: int
    ) -> UpstreamConnection | None:
        """Returns the idle connection that was used last, and none of `used`.

        Closes those that have ended, or were idle for so long that the worker may close them.
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
        """Returns the connection with the fewest calls, below the limit, and none of `used`."""
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

"""All connections of clients: how many there may be, and which ones are closed when."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from martenlead.edge.dispatcher import Dispatcher
from martenlead.node import client_connection
from martenlead.node.client_connection import ClientConnection
from martenlead.node.request_handler import RequestHandler
from martenlead.node.sockets import readable

NS_PER_MS = 1_000_000
SWEEP_INTERVAL_NS = 250 * NS_PER_MS
FINAL_READS = 16  # of one client, which may never pause, as the node ends


class RpcListener:
    """The connections of a node, at most `connection_limit`."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        connection_limit: int,
        request_limit: int,
        body_bytes_limit: int,
    ) -> None:
        self.dispatcher, self.connection_limit = dispatcher, connection_limit
        self.requests = RequestHandler(dispatcher, request_limit, body_bytes_limit)
        self.clients: dict[ClientConnection, None] = {}  # the oldest first
        self.closing: dict[ClientConnection, int] = {}  # since when; not all written has left
        self.on_connection_closed: Callable[[], None] = lambda: None  # a descriptor is free

    async def run(self) -> None:
        """Closes connections that wait too long, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_NS / 1e9)
            self.close_overdue_connections()

    def close_overdue_connections(self) -> None:
        """Closes idle and finished connections, and those that do not come to their end."""
        now_ns = self.dispatcher.clock()
        for connection in [c for c in self.clients if c.is_idle(now_ns)]:
            connection.close()
        for closing in [c.graceful_close for c in self.clients]:
            if closing is not None:
                closing.close_if_finished()
        patience_ns = SWEEP_INTERVAL_NS
        if self.count_descriptors() < self.connection_limit:
            patience_ns = client_connection.STALLED_CLIENT_TIMEOUT_NS
        for connection in [c for c, since in self.closing.items() if now_ns - since > patience_ns]:
            connection.transport.abort()

    def count_descriptors(self) -> int:
        """Counts those that clients have, with those of connections that are being closed."""
        return len(self.clients) + len(self.closing)

    def add_connection(self, connection: ClientConnection) -> None:
        """Adds a connection, and closes another one if there are too many.

        That is the oldest that never sent a message, else the one idle for longest, else the new
        one.
        """
        self.clients[connection] = None
        if len(self.clients) <= self.connection_limit:
            return
        others = [
            c
            for c in self.clients
            if c is not connection and not c.open_requests and c.graceful_close is None
        ]
        unused = [c for c in others if not c.has_sent_message]
        idle = sorted((c for c in others if c.has_sent_message), key=lambda c: c.last_read_ns)
        # one by one until one may be closed: looking at all would cost more than the connection
        replaced = next((c for c in (*unused, *idle) if not readable(c.transport)), None)
        if replaced is not None:
            replaced.close()
        else:
            connection.begin_graceful_close(is_over_limit=True)
        self.dispatcher.counts["client", "no place"] += 1

    def remove_connection(self, connection: ClientConnection) -> None:
        """Forgets a connection, and ends its requests."""
        self.clients.pop(connection, None)
        for request in list(connection.open_requests.values()):
            self.requests.abandon_request(request)
        connection.open_requests.clear()

    # -- shutdown

    def reject_new_requests(self) -> None:
        """Rejects all that comes from now on: no worker could respond before the end."""
        self.requests.rejects_requests = True

    def close_connections_between_requests(self) -> None:
        """Closes connections of clients that have nothing open; they come again elsewhere."""
        now_ns = self.dispatcher.clock()
        for connection in [c for c in self.clients if c.is_between_requests(now_ns)]:
            connection.start_lingering_close()

    def close_all_connections(self) -> None:
        """Reads each connection to its end, answers what was read, and closes it.

        No request may be open any more.
        """
        self.reject_new_requests()
        for connection in list(self.clients):
            for _ in range(FINAL_READS):
                if connection.read_unread_input():
                    break
            connection.start_lingering_close()

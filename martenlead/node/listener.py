"""Manages all client connections: limits their number, and decides which ones to close."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from martenlead.edge.dispatcher import Dispatcher
from martenlead.node import client_connection
from martenlead.node.client_connection import ClientConnection
from martenlead.node.input_scheduler import InputScheduler
from martenlead.node.request_handler import RequestHandler
from martenlead.node.sockets import readable
from martenlead.system.input_memory import InputMemory

NS_PER_MS = 1_000_000
SWEEP_INTERVAL_NS = 250 * NS_PER_MS
# Turns of each client at shutdown, and their time in total: a client may never stop sending
FINAL_TURNS = 64
FINAL_TURNS_NS = 100 * NS_PER_MS


class RpcListener:
    """The client connections of a node, at most `connection_limit`."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        connection_limit: int,
        request_limit: int,
        body_bytes_limit: int,
        input_bytes_limit: int,
    ) -> None:
        self.dispatcher, self.connection_limit = dispatcher, connection_limit
        self.requests = RequestHandler(dispatcher, request_limit, body_bytes_limit)
        self.input_scheduler = InputScheduler(dispatcher.clock, self._count_deferral)
        self.clients: dict[ClientConnection, None] = {}  # the oldest first
        self.input_memory = InputMemory(
            input_bytes_limit, self.clients, dispatcher.clock, self._count_refused_input
        )
        # Connections with unsent data that are being closed, and since when.
        self.closing: dict[ClientConnection, int] = {}
        # Called when a descriptor has become free.
        self.on_connection_closed: Callable[[], None] = lambda: None

    def _count_deferral(self) -> None:
        self.dispatcher.counts["client", "deferred"] += 1

    def _count_refused_input(self) -> None:
        self.dispatcher.counts["client", "refused input"] += 1

    async def run(self) -> None:
        """Closes overdue connections periodically, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_NS / 1e9)
            self.close_overdue_connections()

    def close_overdue_connections(self) -> None:
        """Closes idle and finished connections, and aborts those that take too long to close."""
        now_ns = self.dispatcher.clock()
        for connection in [c for c in self.clients if c.is_idle(now_ns)]:
            connection.close()
        for closing in [c.graceful_close for c in self.clients]:
            if closing is not None:
                closing.close_if_finished()
        timeout_ns = SWEEP_INTERVAL_NS
        if self.count_descriptors() < self.connection_limit:
            timeout_ns = client_connection.STALLED_CLIENT_TIMEOUT_NS
        for connection in [c for c, since in self.closing.items() if now_ns - since > timeout_ns]:
            connection.transport.abort()

    def count_descriptors(self) -> int:
        """Returns the number of descriptors used by open and closing connections."""
        return len(self.clients) + len(self.closing)

    def add_connection(self, connection: ClientConnection) -> None:
        """Registers a connection, and closes one if there are too many.

        That is the oldest one that never sent a message, else the one idle for longest, else the
        new one.
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
        # Polls the sockets one by one until a connection may be closed: polling all of them would
        # cost more than the connection.
        replaced = next((c for c in (*unused, *idle) if not readable(c.transport)), None)
        if replaced is not None:
            replaced.close()
        else:
            connection.begin_graceful_close(is_over_limit=True)
        self.dispatcher.counts["client", "no place"] += 1

    def remove_connection(self, connection: ClientConnection) -> None:
        """Unregisters a connection, and ends its requests."""
        self.clients.pop(connection, None)
        for request in list(connection.open_requests.values()):
            self.requests.abandon_request(request)
        connection.open_requests.clear()

    # -- shutdown

    def reject_new_requests(self) -> None:
        """Rejects all further requests: no worker could respond before the node stops."""
        self.requests.rejects_requests = True

    def close_connections_between_requests(self) -> None:
        """Closes connections without open requests; their clients reconnect elsewhere."""
        now_ns = self.dispatcher.clock()
        for connection in [c for c in self.clients if c.is_between_requests(now_ns)]:
            connection.start_lingering_close()

    def close_all_connections(self) -> None:
        """Reads all pending input of each connection, rejects its requests, and closes it.

        No request may be open when this is called. Connections take turns, so that one that sends
        without an end leaves the others their time.
        """
        self.reject_new_requests()
        end_ns = self.dispatcher.clock() + FINAL_TURNS_NS
        unread = list(self.clients)
        for turn in range(FINAL_TURNS):
            if turn and self.dispatcher.clock() >= end_ns:
                break
            unread = [c for c in unread if not c.read_unread_input()]
        for connection in list(self.clients):
            connection.start_lingering_close()

"""Accepts clients' connections as long as there are descriptors for them."""

from __future__ import annotations

import asyncio
import socket

from martenlead.node.client_connection import ClientConnection
from martenlead.node.listener import NS_PER_MS, RpcListener
from martenlead.system.listener import BACKLOG, Listener
from martenlead.system.sockets import unread_ms

EXTRA_DESCRIPTORS = 8  # beyond the clients' share, for those that come while others are closed

__all__ = ["BACKLOG", "Listener", "create_listener"]


def create_listener(sock: socket.socket, clients: RpcListener) -> Listener:
    """Makes a listener that has not been started."""

    async def connect(connection: socket.socket) -> None:
        """Gives an accepted socket to the event loop."""
        loop = asyncio.get_running_loop()
        unread_ns = unread_ms(connection) * NS_PER_MS  # it may have waited in the backlog
        await loop.connect_accepted_socket(lambda: ClientConnection(clients, unread_ns), connection)

    def has_room(accepting: int) -> bool:
        """Whether one more may be accepted, beside those that are being accepted."""
        limit = clients.connection_limit + EXTRA_DESCRIPTORS
        return clients.count_descriptors() + accepting < limit

    listener = Listener(sock, connect, has_room)
    clients.on_connection_closed = listener.resume
    return listener

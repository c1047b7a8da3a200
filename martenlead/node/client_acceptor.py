"""Accepts client connections while file descriptors are available for them."""

from __future__ import annotations

import asyncio
import socket

from martenlead.node.client_connection import ClientConnection
from martenlead.node.listener import NS_PER_MS, RpcListener
from martenlead.system.listener import BACKLOG, Listener
from martenlead.system.sockets import unread_ms

# Descriptors above the connection limit, for clients that connect while others are being closed
EXTRA_DESCRIPTORS = 8

__all__ = ["BACKLOG", "Listener", "create_listener"]


def create_listener(sock: socket.socket, clients: RpcListener) -> Listener:
    """Returns a listener that has not been started."""

    async def connect(connection: socket.socket) -> None:
        """Hands an accepted socket over to the event loop."""
        loop = asyncio.get_running_loop()
        unread_ns = unread_ms(connection) * NS_PER_MS  # bytes may have waited in the backlog
        await loop.connect_accepted_socket(lambda: ClientConnection(clients, unread_ns), connection)

    def has_room(accepting: int) -> bool:
        """Whether another connection may be accepted while `accepting` others are in progress."""
        limit = clients.connection_limit + EXTRA_DESCRIPTORS
        return clients.count_descriptors() + accepting < limit

    listener = Listener(sock, connect, has_room)
    clients.on_connection_closed = listener.resume
    return listener

"""The node's listener: accepted sockets become clients of its door, as long as the door has descriptors."""

from __future__ import annotations

import asyncio
import socket

from martenlead.node.client_connection import NS_PER_MS, ClientConnection, RpcListener
from martenlead.system.listener import BACKLOG, Listener
from martenlead.system.sockets import unread_ms

EXTRA_DESCRIPTORS = 8  # descriptors beyond the clients' share, for those that come while others give way

__all__ = ["BACKLOG", "Listener", "create_listener"]


def create_listener(sock: socket.socket, door: RpcListener) -> Listener:
    """A listener that has not been started."""

    async def connect(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        unread_ns = unread_ms(connection) * NS_PER_MS  # it may have waited in the backlog for a place
        await loop.connect_accepted_socket(lambda: ClientConnection(door, unread_ns), connection)

    def has_room(accepting: int) -> bool:
        return door.count_descriptors() + accepting < door.connection_limit + EXTRA_DESCRIPTORS

    listener = Listener(sock, connect, has_room)
    door.on_connection_closed = listener.resume
    return listener

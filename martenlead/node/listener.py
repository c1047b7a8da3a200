"""The node's listener: accepted sockets become clients of its door, as long as the door has descriptors."""

from __future__ import annotations

import asyncio
import socket

from martenlead.node.door import MS, Client, Door
from martenlead.system.listener import BACKLOG, Listener
from martenlead.system.sockets import unread_ms

SPARE = 8  # descriptors beyond the clients' share, for those that come while others give way

__all__ = ["BACKLOG", "Listener", "listener_of"]


def listener_of(sock: socket.socket, door: Door) -> Listener:
    """A listener that has not been started."""

    async def connect(connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        unread_ns = unread_ms(connection) * MS  # it may have waited in the backlog for a place
        await loop.connect_accepted_socket(lambda: Client(door, unread_ns), connection)

    def has_room(accepting: int) -> bool:
        return door.descriptors() + accepting < door.connections + SPARE

    listener = Listener(sock, connect, has_room)
    door.place_freed = listener.resume
    return listener

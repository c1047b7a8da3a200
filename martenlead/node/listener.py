"""The listening socket: accepts clients only as long as descriptors are left for them.

The event loops' own servers accept all that waits in one turn, before a connection that gives way is closed.
Without a descriptor one of them then closes whoever waits, requests and all, the other accepts nothing for a
second. What is not accepted here waits in the backlog, and loses nothing.
"""

from __future__ import annotations

import asyncio
import socket

from martenlead.node.door import Client, Door

BACKLOG = 512  # connections that the machine accepts before we do
RETRY = 0.05  # s between two tries where the machine had no descriptor or memory to accept with
ACCEPTED = 32  # connections of one turn of the loop, so that a flood of them leaves time for all else
SPARE = 8  # descriptors beyond the clients' share, for those that come while others give way


class Listener:
    """Accepts from `start` to `close`."""

    def __init__(self, sock: socket.socket, door: Door) -> None:
        self.sock, self.door = sock, door
        self.accepting: set[asyncio.Task[None]] = set()  # accepted, and no client yet
        self._loop = asyncio.get_running_loop()
        self._waits = False  # for a place, or for a descriptor
        self._closed = False

    def start(self) -> None:
        self.sock.setblocking(False)
        self.sock.listen(BACKLOG)
        self.door.place_freed = self._resume
        self._loop.add_reader(self.sock.fileno(), self._accept)

    def close(self) -> None:
        """What was accepted becomes a client all the same."""
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()

    def _accept(self) -> None:
        for _ in range(ACCEPTED):
            if self.door.descriptors() + len(self.accepting) >= self.door.connections + SPARE:
                self._pause()
                return
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                self._pause()
                self._loop.call_later(RETRY, self._resume)
                return
            task = self._loop.create_task(self._connect(connection))
            self.accepting.add(task)
            task.add_done_callback(self._connected)

    async def _connect(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(lambda: Client(self.door), connection)
        except OSError:  # it was reset before
            connection.close()

    def _connected(self, task: asyncio.Task[None]) -> None:
        """For a moment it counted twice, as accepted and as a client: there may be room again."""
        self.accepting.discard(task)
        self._resume()

    def _pause(self) -> None:
        self._waits = True
        self._loop.remove_reader(self.sock.fileno())

    def _resume(self) -> None:
        if self._waits and not self._closed:
            self._waits = False
            self._loop.add_reader(self.sock.fileno(), self._accept)

"""Listening sockets: binding is retried, and connections are accepted only while there is room.

The event loops' own servers accept all that waits in one turn, before a connection that gives way
is closed. Without a descriptor one of them then closes whoever waits, requests and all, the other
accepts nothing for a second; the listener of anyio ends with the error, and the program with it.
What is not accepted here waits in the backlog, and loses nothing.
"""

from __future__ import annotations

import asyncio
import errno
import resource
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from time import monotonic
from typing import NamedTuple

import anyio

BACKLOG = 512  # connections that the machine accepts before we do
RETRY_SECONDS = 0.05  # between two tries where the machine had no descriptor, memory or address
# connections of one turn of the loop: a flood of them leaves time for all else
ACCEPTED_PER_TURN = 32
OWN_DESCRIPTORS = 40  # of listeners, event loop, discovery, files and what the interpreter opens
LEAST_CONNECTIONS = 4  # of each listener, however full the others are: operators' ports stay open

PERMANENT_BIND_ERRORS = frozenset(
    {
        errno.EACCES,
        errno.EPERM,
        errno.EINVAL,
        errno.EAFNOSUPPORT,
        errno.EPROTONOSUPPORT,
        errno.EPROTOTYPE,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.ENOTSOCK,
    }
)
"""What no wait changes. A name that cannot be resolved belongs here too, but for EAI_AGAIN."""

CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    }
)
"""Of accept: the connection that waited first has ended, and is gone; accept(2) says to go on."""


class ResolvedAddress(NamedTuple):
    """What a socket is bound to."""

    family: int  # such as socket.AF_INET
    target: tuple[str, int]  # address and port


def may_pass(error: OSError) -> bool:
    """Whether another try to bind may succeed."""
    if isinstance(error, socket.gaierror):
        return error.errno == socket.EAI_AGAIN
    return error.errno not in PERMANENT_BIND_ERRORS


async def bind(
    address: tuple[str, int],
    seconds: float,
    *,
    backlog: int = BACKLOG,
    waits_for_address: bool = True,
    delayed: Callable[[OSError], None] = lambda _error: None,
) -> socket.socket:
    """A listening socket at this address.

    Tries for so long where the error may pass, and calls `delayed` with the first such error. An
    address in use is waited for only if asked. Raises the last OSError.
    """
    end = monotonic() + seconds
    is_delayed = False
    while True:
        try:
            return _create(address, backlog)
        except OSError as error:
            in_use = error.errno == errno.EADDRINUSE and not waits_for_address
            if in_use or not may_pass(error) or monotonic() >= end:
                raise
            if not is_delayed:
                is_delayed = True
                delayed(error)
        await anyio.sleep(RETRY_SECONDS)


def _create(address: tuple[str, int], backlog: int) -> socket.socket:
    resolved = _resolve(*address)
    return socket.create_server(resolved.target, family=resolved.family, backlog=backlog)


def _resolve(host: str, port: int) -> ResolvedAddress:
    """Looks up a name here: the event loop would do it on threads, which then stay.

    IPv4 comes first, and an IPv4 address, or none, needs no look at all.
    """
    with suppress(OSError):
        if host:
            socket.inet_pton(socket.AF_INET, host)
        return ResolvedAddress(socket.AF_INET, (host, port))
    found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    family, _, _, _, target = min(found)
    return ResolvedAddress(family, (str(target[0]), port))


def descriptors_for_clients() -> int:
    """How many accepted connections this process may have.

    Half of its descriptors but its own, since a request in flight needs one more to its worker.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = 1 << 20
    return max(LEAST_CONNECTIONS, (limit - OWN_DESCRIPTORS) // 2)


class ClientDescriptors:
    """Counts the accepted connections of a process over all of its listeners."""

    def __init__(self, limit: Callable[[], int] = descriptors_for_clients) -> None:
        self.limit = limit
        self.in_use = 0
        self._waiting: set[Callable[[], None]] = set()

    def has_room(self, own: int) -> bool:
        """Whether a listener that has `own` connections open may accept one more."""
        return own < LEAST_CONNECTIONS or self.in_use < self.limit()

    def take(self) -> None:
        """Counts an accepted connection."""
        self.in_use += 1

    def release(self) -> None:
        """Counts a connection as ended, and lets the listeners accept again."""
        self.in_use -= 1
        for resume in list(self._waiting):
            resume()

    def add_listener(self, resume: Callable[[], None]) -> None:
        """`resume` is called whenever a connection has ended."""
        self._waiting.add(resume)

    def remove_listener(self, resume: Callable[[], None]) -> None:
        """`resume` is not called any more."""
        self._waiting.discard(resume)


PROCESS_CLIENTS = ClientDescriptors()
"""Of this process: the limit of descriptors is its own, too."""


class Listener:
    """Accepts from `start` to `close`."""

    def __init__(
        self,
        sock: socket.socket,
        connect: Callable[[socket.socket], Awaitable[object]],
        has_room: Callable[[int], bool],
        per_turn: int = ACCEPTED_PER_TURN,
    ) -> None:
        """`connect` takes over an accepted socket.

        If it raises, the socket is closed, and an error other than an OSError goes to the event
        loop's exception handler. `has_room` is asked before each accept, with the number of sockets
        that are accepted and not taken over yet. `per_turn` of the event loop are accepted at most.
        """
        self.sock, self.connect, self.has_room, self.per_turn = sock, connect, has_room, per_turn
        self.accepting: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self.is_waiting = True  # for its start, for room, or for a descriptor
        self._is_closed = False

    def start(self) -> None:
        """The socket listens already, as `bind` gives it."""
        self.sock.setblocking(False)
        self.resume()

    def close(self) -> None:
        """Accepts nothing more; `connect` still gets what was accepted."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self.sock.fileno())
        self.sock.close()

    def resume(self) -> None:
        """There may be room again."""
        if not self.is_waiting or self._is_closed:
            return
        try:
            self._loop.add_reader(self.sock.fileno(), self._accept)
        except OSError:  # no memory, or no watch left, for one more descriptor
            self._loop.call_later(RETRY_SECONDS, self.resume)
            return
        self.is_waiting = False

    def _accept(self) -> None:
        for _ in range(self.per_turn):
            if not self.has_room(len(self.accepting)):
                self._pause()
                return
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in CONNECTION_ERRORS:
                    continue
                self._wait()
                return
            connecting = self._loop.create_task(self._connect(connection))
            self.accepting.add(connecting)
            connecting.add_done_callback(self._connected)

    async def _connect(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.connect(connection)
        except OSError:  # it was reset before
            connection.close()
        except Exception as error:
            connection.close()
            self._loop.call_exception_handler(
                {"message": "an accepted connection was not taken over", "exception": error}
            )

    def _connected(self, connecting: asyncio.Task[None]) -> None:
        """For a moment it may have counted twice, as accepted and as a client.

        There may be room again.
        """
        self.accepting.discard(connecting)
        self.resume()

    def _pause(self) -> None:
        self.is_waiting = True
        self._loop.remove_reader(self.sock.fileno())

    def _wait(self) -> None:
        self._pause()
        self._loop.call_later(RETRY_SECONDS, self.resume)

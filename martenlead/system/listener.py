"""Listening sockets: binding is retried, and connections are accepted only while there is room.

The servers of asyncio and uvloop accept the whole backlog in one loop iteration, before a
connection that is closed for a new one has ended. When descriptors run out, one of them closes the
waiting connections with their requests, and the other accepts nothing for a second. The listener of
anyio raises the error, which ends the program. Connections that are not accepted here wait in the
backlog, and lose nothing.
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

BACKLOG = 512  # connections that the kernel queues until they are accepted
# Delay between attempts while the machine has no descriptor, memory or address
RETRY_SECONDS = 0.05
# Connections accepted per loop iteration, so that a flood of them leaves time for other work
ACCEPTED_PER_TURN = 32
# Descriptors for listeners, the event loop, discovery, files and the interpreter
OWN_DESCRIPTORS = 40
# Connections granted to each listener, however full the others are: operators' ports stay open
LEAST_CONNECTIONS = 4

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
"""Errors that no wait resolves. Failures to resolve a name count too, except for EAI_AGAIN."""

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
"""Errors of accept for a pending connection that has failed already; accept(2) says to retry."""


class ResolvedAddress(NamedTuple):
    """The address that a socket is bound to."""

    family: int  # such as socket.AF_INET
    target: tuple[str, int]  # address and port


def is_temporary(error: OSError) -> bool:
    """Whether the error is temporary, so that binding again may succeed."""
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
    """Returns a listening socket at `address`.

    Retries temporary errors for up to `seconds`, and calls `delayed` with the first of them. An
    address in use is retried only with `waits_for_address`. Raises the last OSError.
    """
    end = monotonic() + seconds
    is_delayed = False
    while True:
        try:
            return _create(address, backlog)
        except OSError as error:
            in_use = error.errno == errno.EADDRINUSE and not waits_for_address
            if in_use or not is_temporary(error) or monotonic() >= end:
                raise
            if not is_delayed:
                is_delayed = True
                delayed(error)
        await anyio.sleep(RETRY_SECONDS)


def _create(address: tuple[str, int], backlog: int) -> socket.socket:
    resolved = _resolve(*address)
    return socket.create_server(resolved.target, family=resolved.family, backlog=backlog)


def _resolve(host: str, port: int) -> ResolvedAddress:
    """Resolves a name in this thread: the event loop would use other threads, which then stay.

    IPv4 is preferred, and an IPv4 address or an empty host needs no lookup.
    """
    with suppress(OSError):
        if host:
            socket.inet_pton(socket.AF_INET, host)
        return ResolvedAddress(socket.AF_INET, (host, port))
    found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    family, _, _, _, target = min(found)
    return ResolvedAddress(family, (str(target[0]), port))


def descriptors_for_clients() -> int:
    """Returns how many accepted connections this process may have.

    That is half of the descriptors that are not reserved, since a request in flight needs another
    one to its worker.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = 1 << 20
    return max(LEAST_CONNECTIONS, (limit - OWN_DESCRIPTORS) // 2)


class ClientDescriptors:
    """Counts the accepted connections of a process across all of its listeners."""

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
        """Registers `resume`, which is called whenever a connection has ended."""
        self._waiting.add(resume)

    def remove_listener(self, resume: Callable[[], None]) -> None:
        """Unregisters `resume`."""
        self._waiting.discard(resume)


PROCESS_CLIENTS = ClientDescriptors()
"""Shared by all listeners of this process, as the descriptor limit applies to the process."""


class Listener:
    """Accepts connections between `start` and `close`."""

    def __init__(
        self,
        sock: socket.socket,
        connect: Callable[[socket.socket], Awaitable[object]],
        has_room: Callable[[int], bool],
        per_turn: int = ACCEPTED_PER_TURN,
    ) -> None:
        """Initializes the listener; `connect` takes over an accepted socket.

        If it raises, the socket is closed, and an error other than an OSError goes to the event
        loop's exception handler. `has_room` is called before each accept, with the number of
        sockets that are accepted but not taken over yet. At most `per_turn` connections are
        accepted per loop iteration.
        """
        self.sock, self.connect, self.has_room, self.per_turn = sock, connect, has_room, per_turn
        self.accepting: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self.is_waiting = True  # waits for `start`, for room, or for a descriptor
        self._is_closed = False

    def start(self) -> None:
        """Starts accepting. The socket is already listening, as returned by `bind`."""
        self.sock.setblocking(False)
        self.resume()

    def close(self) -> None:
        """Stops accepting; sockets that were already accepted still go to `connect`."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self.sock.fileno())
        self.sock.close()

    def resume(self) -> None:
        """Resumes accepting after a pause, as there may be room again."""
        if not self.is_waiting or self._is_closed:
            return
        try:
            self._loop.add_reader(self.sock.fileno(), self._accept)
        except OSError:  # no memory or no epoll watch left for the descriptor
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
                self._pause_and_retry()
                return
            connecting = self._loop.create_task(self._connect(connection))
            self.accepting.add(connecting)
            connecting.add_done_callback(self._connected)

    async def _connect(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.connect(connection)
        except OSError:  # the connection was already reset
            connection.close()
        except Exception as error:
            connection.close()
            self._loop.call_exception_handler(
                {"message": "an accepted connection was not taken over", "exception": error}
            )

    def _connected(self, connecting: asyncio.Task[None]) -> None:
        """Resumes accepting after a connection was taken over, as there may be room again.

        Until now the connection may have counted twice, as being accepted and as a client.
        """
        self.accepting.discard(connecting)
        self.resume()

    def _pause(self) -> None:
        self.is_waiting = True
        self._loop.remove_reader(self.sock.fileno())

    def _pause_and_retry(self) -> None:
        self._pause()
        self._loop.call_later(RETRY_SECONDS, self.resume)

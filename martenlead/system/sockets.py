"""What the machine knows of a socket and a transport of the event loop does not tell."""

from __future__ import annotations

import errno
import select
import socket
import struct
from typing import Any

# of Linux: told also where bytes lie in front of the end
HALF_CLOSED = getattr(select, "POLLRDHUP", 0)
LAST_DATA_RECEIVED = 52  # where `struct tcp_info` of Linux has the ms since then
OWN_SHORTAGES = frozenset(
    # the last: of local ports
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Why a connection cannot be asked for that say nothing of the peer."""

ENDED = HALF_CLOSED | select.POLLHUP | select.POLLERR | select.POLLNVAL


def descriptor(at: Any) -> int:
    """Of a transport or of a socket; -1 where it is closed."""
    own = at.get_extra_info("socket") if hasattr(at, "get_extra_info") else at
    return -1 if own is None else int(own.fileno())


def poll(number: int, events: int) -> int:
    """What of these is so now, 0 for nothing.

    Where the machine cannot say, something is taken to wait to be read: whoever asks then reads, or
    leaves the connection as it is.
    """
    poller = select.poll()
    poller.register(number, events)
    try:
        found = poller.poll(0)
    except OSError:
        return events & select.POLLIN
    return found[0][1] if found else 0


def readable(at: Any) -> bool:
    """Whether bytes, a new connection or an end wait there.

    Of a transport or of a listening socket: what the machine has and the event loop has not
    reported yet.
    """
    number = descriptor(at)
    return number >= 0 and bool(poll(number, select.POLLIN))


def has_ended(at: Any) -> bool:
    """Whether the peer has closed, or half of it, or the connection is broken or closed here."""
    number = descriptor(at)
    return number < 0 or bool(poll(number, HALF_CLOSED) & ENDED)


def is_own_shortage(error: BaseException) -> bool:
    """Whether a connection failed for what this machine lacks.

    The cause is where anyio has the errno.
    """
    return any(getattr(at, "errno", None) in OWN_SHORTAGES for at in (error, error.__cause__))


def unread_ms(connection: socket.socket) -> int:
    """For how long what came last has waited to be read there.

    0 where nothing waits, or nobody can tell.
    """
    if not readable(connection) or not hasattr(socket, "TCP_INFO"):
        return 0
    try:
        tcp_info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4
        )
    except OSError:
        return 0
    if len(tcp_info) < LAST_DATA_RECEIVED + 4:
        return 0
    return int(struct.unpack_from("=I", tcp_info, LAST_DATA_RECEIVED)[0])

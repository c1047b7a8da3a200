"""Socket state that is known to the kernel but not exposed by transports of the event loop."""

from __future__ import annotations

import errno
import select
import socket
import struct
from fcntl import ioctl
from termios import FIONREAD
from typing import Any

# Linux only: reported even if unread bytes precede the EOF
HALF_CLOSED = getattr(select, "POLLRDHUP", 0)
LAST_DATA_RECEIVED = 52  # offset of `tcpi_last_data_recv` (ms) in Linux's `struct tcp_info`
OWN_SHORTAGES = frozenset(
    # EADDRNOTAVAIL: no local port is left
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Errors of connecting that are caused by this machine and say nothing about the peer."""

ENDED = HALF_CLOSED | select.POLLHUP | select.POLLERR | select.POLLNVAL


def descriptor(source: Any) -> int:
    """Returns the descriptor of a transport or a socket, -1 if it is closed."""
    own = source.get_extra_info("socket") if hasattr(source, "get_extra_info") else source
    return -1 if own is None else int(own.fileno())


def poll(number: int, events: int) -> int:
    """Returns which of `events` hold now, 0 for none.

    If polling fails, input is assumed to be pending: the caller then reads, or leaves the
    connection as it is.
    """
    poller = select.poll()
    poller.register(number, events)
    try:
        found = poller.poll(0)
    except OSError:
        return events & select.POLLIN
    return found[0][1] if found else 0


def readable(source: Any) -> bool:
    """Whether bytes, a new connection or an EOF is pending.

    Applies to a transport or a listening socket, and includes what the event loop has not reported
    yet.
    """
    number = descriptor(source)
    return number >= 0 and bool(poll(number, select.POLLIN))


def has_ended(source: Any) -> bool:
    """Whether the peer has closed or half-closed, or the connection is broken or closed here."""
    number = descriptor(source)
    return number < 0 or bool(poll(number, HALF_CLOSED) & ENDED)


def unread_bytes(source: Any) -> int:
    """Returns how many received bytes wait to be read; 0 if that is unknown."""
    number = descriptor(source)
    if number < 0:
        return 0
    try:
        return int(struct.unpack("=i", ioctl(number, FIONREAD, bytes(4)))[0])
    except OSError:
        return 0


def is_own_shortage(error: BaseException) -> bool:
    """Whether a connection failed because this machine lacks a resource.

    The cause of the error is checked too, as anyio leaves the errno there.
    """
    return any(getattr(one, "errno", None) in OWN_SHORTAGES for one in (error, error.__cause__))


def unread_ms(connection: socket.socket) -> int:
    """Returns for how many ms the last received bytes have been waiting to be read.

    0 if no bytes are waiting, or if the system does not provide the time.
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

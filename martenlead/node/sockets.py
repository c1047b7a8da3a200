"""What a transport of the event loop does not tell of its socket."""

from __future__ import annotations

import select
from typing import Any

from martenlead.edge.client import Pending

HALF_CLOSED = getattr(select, "POLLRDHUP", 0)  # of Linux: told also where bytes lie in front of the end
ENDED = HALF_CLOSED | select.POLLHUP | select.POLLERR | select.POLLNVAL


def descriptor(at: Any) -> int:
    """Of a transport or of a socket; -1 where it is closed."""
    socket = at.get_extra_info("socket") if hasattr(at, "get_extra_info") else at
    return -1 if socket is None else int(socket.fileno())


def _poll(number: int, events: int) -> int:
    """What of these is so now, 0 for nothing."""
    poll = select.poll()
    poll.register(number, events)
    found = poll.poll(0)
    return found[0][1] if found else 0


def readable(at: Any) -> bool:
    """Whether bytes, a new connection or an end wait there, of a transport or of a listening socket: what the
    machine has and the event loop has not told yet."""
    number = descriptor(at)
    return number >= 0 and bool(_poll(number, select.POLLIN))


def pending(transport: Any) -> Pending:
    """What waits on a connection. One that is closed here has ended as well."""
    number = descriptor(transport)
    if number < 0 or transport.is_closing():
        return Pending.END
    found = _poll(number, select.POLLIN | HALF_CLOSED)
    if found & ENDED:
        return Pending.END
    return Pending.BYTES if found else Pending.NOTHING

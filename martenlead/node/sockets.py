"""What a transport of the event loop does not tell of its socket."""

from __future__ import annotations

import select
from typing import Any


def readable(at: Any) -> bool:
    """Whether bytes, a new connection or an end wait there, of a transport or of a listening socket: what the
    machine has and the event loop has not told yet."""
    socket = at.get_extra_info("socket") if hasattr(at, "get_extra_info") else at
    if socket is None or socket.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))

"""What waits on a client's connection, in the terms of the dispatcher."""

from __future__ import annotations

import select
from typing import Any

from martenlead.edge.cancellation import UnreadInput
from martenlead.system.sockets import ENDED, HALF_CLOSED, descriptor, poll, readable

__all__ = ["descriptor", "pending", "readable"]


def pending(transport: Any) -> UnreadInput:
    """What waits on a connection. One that is closed here has ended as well."""
    number = descriptor(transport)
    if number < 0 or transport.is_closing():
        return UnreadInput.END
    found = poll(number, select.POLLIN | HALF_CLOSED)
    if found & ENDED:
        return UnreadInput.END
    return UnreadInput.BYTES if found else UnreadInput.NOTHING

"""Detects input of a client connection that the event loop has not read yet."""

from __future__ import annotations

import select
from typing import Any

from martenlead.edge.cancellation import UnreadInput
from martenlead.system.sockets import ENDED, HALF_CLOSED, descriptor, poll, readable

__all__ = ["descriptor", "peek_input", "readable"]


def peek_input(transport: Any) -> UnreadInput:  # noqa: ANN401 - asyncio's or uvloop's transport
    """Returns what is pending, without reading it. A connection closed here counts as ended."""
    number = descriptor(transport)
    if number < 0 or transport.is_closing():
        return UnreadInput.END
    found = poll(number, select.POLLIN | HALF_CLOSED)
    if found & ENDED:
        return UnreadInput.END
    return UnreadInput.BYTES if found else UnreadInput.NOTHING

"""Writes to transports that survive a temporary shortage of kernel buffers or memory.

Linux documents ENOBUFS and ENOMEM for send(2), and neither means that the connection has failed.
The event loops close it nevertheless, and the responses that are due on it are lost.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any

from martenlead.system.sockets import descriptor

TEMPORARY_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM})
RETRY_SECONDS = 0.005  # delay between attempts to write data that the kernel had no room for


class Sender:
    """Writes all data of one transport, in order and each byte once.

    Data is first written to the socket directly. Data that the kernel has no memory for is kept
    here and retried. Data that the peer does not accept yet is passed to the transport, and so is
    all later data while the transport has any buffered. A transport without a socket gets all data.
    Every other error ends the connection.

    The protocol is reached through the transport, which lets go of it as the connection ends: a
    reference held here would be a cycle, and the protocol would wait for the garbage collector.
    """

    def __init__(self, transport: Any, limit: int, give_up_seconds: float) -> None:
        """Calls the protocol's `pause_writing` once more than `limit` bytes are kept.

        Calls its `resume_writing` once they were sent. The connection is aborted if none of the
        kept data was sent for `give_up_seconds`.
        """
        self.transport, self.limit, self.give_up_seconds = transport, limit, give_up_seconds
        self._descriptor = descriptor(transport)
        self._kept = b""
        self._kept_since = 0.0
        self._is_paused = False
        self._next: Callable[[], None] | None = None

    def write(self, data: bytes) -> None:
        """Writes all data, or keeps what must wait, unless the connection is closing."""
        if not self._kept:
            data = self._send(data)
        self._keep(data)

    def offer(self, data: bytes) -> bool:
        """Returns whether the data is accepted; if not, no byte of it was or will be sent."""
        if self._kept or self.transport.is_closing():
            return False
        rest = self._send(data)
        if len(rest) == len(data):
            return False
        self._keep(rest)
        return True

    def after_writes(self, action: Callable[[], None]) -> None:
        """Calls `action` once no data is kept here.

        The transport sends the data in its own buffer before it closes.
        """
        if self._kept:
            self._next = action
        else:
            action()

    def _send(self, data: bytes) -> bytes:
        """Writes data, and returns the rest that could not be written for now."""
        while data and not self.transport.is_closing():
            if self._descriptor < 0 or self.transport.get_write_buffer_size():
                self.transport.write(data)
                return b""
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                self.transport.write(data)
                return b""
            except OSError as error:
                if error.errno not in TEMPORARY_ERRORS:
                    self.transport.abort()
                return data
        return data

    def _keep(self, data: bytes) -> None:
        if not data or self.transport.is_closing():
            return
        if not self._kept:
            loop = asyncio.get_running_loop()
            self._kept_since = loop.time()
            loop.call_later(RETRY_SECONDS, self._retry)
        self._kept += data
        if len(self._kept) > self.limit and not self._is_paused:
            self._is_paused = True
            self.transport.get_protocol().pause_writing()

    def _retry(self) -> None:
        loop = asyncio.get_running_loop()
        before = len(self._kept)
        self._kept = self._send(self._kept)
        if self.transport.is_closing():
            self._kept = b""
            return
        if not self._kept:
            self._handle_all_sent()
            return
        if len(self._kept) < before:
            self._kept_since = loop.time()
        elif loop.time() - self._kept_since > self.give_up_seconds:
            self._kept = b""
            self.transport.abort()
            return
        loop.call_later(RETRY_SECONDS, self._retry)

    def _handle_all_sent(self) -> None:
        """Resumes writing. A transport whose own buffer is too full calls `resume` itself."""
        if self._is_paused:
            self._is_paused = False
            if self.transport.get_write_buffer_size() <= self.limit:
                self.transport.get_protocol().resume_writing()
        if self._next is not None:
            action, self._next = self._next, None
            action()

"""Writes that outlive a moment in which the machine has no buffer or no memory for them.

Linux documents ENOBUFS and ENOMEM for send(2), and neither says anything of the connection. The
event loops end it all the same, and with it go the answers that are owed on it.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any

from martenlead.system.sockets import descriptor

TEMPORARY_ERRORS = frozenset({errno.ENOBUFS, errno.ENOMEM})
RETRY_SECONDS = 0.005  # between two tries to write what the machine had no room for


class Sender:
    """All that is written to one transport, in its order, each byte once.

    A write goes to the machine itself first. What it has no memory for is kept here and tried
    again. What the peer does not take yet is the transport's, and as long as it has any, so is what
    follows; a transport without a socket has all. Every other error ends the connection.
    """

    def __init__(
        self,
        transport: Any,
        limit: int,
        give_up_seconds: float,
        pause: Callable[[], None],
        resume: Callable[[], None],
    ) -> None:
        """`pause` is called once more than `limit` bytes are kept, `resume` once these have left.

        The connection ends where none of what is kept has left for `give_up_seconds`.
        """
        self.transport, self.limit, self.give_up_seconds = transport, limit, give_up_seconds
        self._pause, self._resume = pause, resume
        self._descriptor = descriptor(transport)
        self._kept = b""
        self._kept_since = 0.0
        self._is_paused = False
        self._next: Callable[[], None] | None = None

    def write(self, data: bytes) -> None:
        """Takes all of it, unless the connection is being closed."""
        if not self._kept:
            data = self._send(data)
        self._keep(data)

    def offer(self, data: bytes) -> bool:
        """Whether it is taken; if not, not a byte of it has left or will."""
        if self._kept or self.transport.is_closing():
            return False
        rest = self._send(data)
        if len(rest) == len(data):
            return False
        self._keep(rest)
        return True

    def after_writes(self, action: Callable[[], None]) -> None:
        """Calls it once nothing is kept here.

        What the transport has it sends itself before it closes.
        """
        if self._kept:
            self._next = action
        else:
            action()

    def _send(self, data: bytes) -> bytes:
        """What the machine did not take for now."""
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
            self._pause()

    def _retry(self) -> None:
        loop = asyncio.get_running_loop()
        before = len(self._kept)
        self._kept = self._send(self._kept)
        if self.transport.is_closing():
            self._kept = b""
            return
        if not self._kept:
            self._go_on()
            return
        if len(self._kept) < before:
            self._kept_since = loop.time()
        elif loop.time() - self._kept_since > self.give_up_seconds:
            self._kept = b""
            self.transport.abort()
            return
        loop.call_later(RETRY_SECONDS, self._retry)

    def _go_on(self) -> None:
        """Nothing is kept any more. A transport that has too much itself calls `resume` itself."""
        if self._is_paused:
            self._is_paused = False
            if self.transport.get_write_buffer_size() <= self.limit:
                self._resume()
        if self._next is not None:
            action, self._next = self._next, None
            action()

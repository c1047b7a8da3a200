"""Hundreds of clients that write at full speed and read nothing, as a process of their own.

    python -m support.full_speed_crowd PORT KIND COUNT SECONDS

The kinds are those of support/full_speed_client.py. A client whose connection has ended connects again.
"""

from __future__ import annotations

import selectors
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from time import monotonic, sleep

import anyio

from support.full_speed_client import MESSAGES, ROOT

MESSAGES_PER_CLIENT = 800  # repeated
RECEIVE_BUFFER_BYTES = 4096  # small, so that responses soon wait in the program
WRITE_BYTES = 65_536
PAUSE_SECONDS = 0.002


@dataclass
class _Client:
    connection: socket.socket
    data: bytes
    written: int = 0

    def write(self) -> None:
        """Writes what the socket takes; raises OSError at the end of the connection."""
        with suppress(BlockingIOError):
            self.written += self.connection.send(self.data[self.written :][:WRITE_BYTES])
        if self.written == len(self.data):
            self.written = 0


def _connect(port: int, kind: str, first: int) -> _Client:
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.connect(("127.0.0.1", port))
    connection.setblocking(False)
    numbers = range(first, first + MESSAGES_PER_CLIENT)
    return _Client(connection, b"".join(MESSAGES[kind](number) for number in numbers))


def write_at_full_speed(port: int, kind: str, count: int, seconds: float) -> None:
    """Writes until the time is over."""
    end = monotonic() + seconds
    connected = 0
    with selectors.DefaultSelector() as selector:
        while monotonic() < end:
            while len(selector.get_map()) < count and monotonic() < end:
                with suppress(OSError):
                    client = _connect(port, kind, 1 + connected * MESSAGES_PER_CLIENT)
                    selector.register(client.connection, selectors.EVENT_WRITE, client)
                connected += 1
            for key, _ in selector.select(PAUSE_SECONDS):
                try:
                    key.data.write()
                except OSError:
                    selector.unregister(key.fileobj)
                    key.data.connection.close()
            sleep(PAUSE_SECONDS)


@asynccontextmanager
async def full_speed_crowd(port: int, kind: str, count: int, seconds: float) -> AsyncIterator[None]:
    """Runs such clients beside the body, which begins as their process starts."""
    command = [sys.executable, "-m", "support.full_speed_crowd", str(port), kind, str(count), str(seconds)]
    async with await anyio.open_process(command, cwd=ROOT, stderr=None) as process:
        try:
            yield
            assert process.returncode in (None, 0)
        finally:
            with suppress(ProcessLookupError):
                process.kill()


if __name__ == "__main__":
    write_at_full_speed(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))

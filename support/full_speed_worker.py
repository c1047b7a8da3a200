"""A worker that sends responses to unknown calls at full speed, as a process of its own.

python -m support.full_speed_worker PORT
"""

from __future__ import annotations

import socket
import sys
import threading
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import anyio

from support.node_wire import answer

ROOT = Path(__file__).parent.parent
BLOCK_LINES = 5_000  # written at once
FIRST_READ_BYTES = 1_000
START_SECONDS = 0.02  # between two tries to connect


def _serve(connection: socket.socket) -> None:
    block = b"".join(answer("DONE", f"{number:016x}") for number in range(BLOCK_LINES))
    with suppress(OSError), connection:
        connection.recv(FIRST_READ_BYTES)
        while True:
            connection.sendall(block)


def serve(port: int) -> None:
    """Accepts connections until it is killed."""
    with socket.create_server(("127.0.0.1", port)) as listener:
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=_serve, args=(connection,), daemon=True).start()


@asynccontextmanager
async def full_speed_worker(port: int) -> AsyncIterator[None]:
    """Runs such a worker beside the body, which begins once it listens."""
    command = [sys.executable, "-m", "support.full_speed_worker", str(port)]
    async with await anyio.open_process(command, cwd=ROOT) as process:
        try:
            while True:
                with suppress(OSError):
                    await (await anyio.connect_tcp("127.0.0.1", port)).aclose()
                    break
                await anyio.sleep(START_SECONDS)
            yield
        finally:
            process.kill()


if __name__ == "__main__":
    serve(int(sys.argv[1]))

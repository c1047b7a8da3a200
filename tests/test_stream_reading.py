"""A server reads no more of a connection than its handler asks for."""

from __future__ import annotations

import socket
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from martenlead.events.stream_listener import RECEIVE_BUFFER_BYTES, listen

pytestmark = pytest.mark.anyio

READ_BYTES = 16_384
OFFERED_BYTES = 16 << 20
SEND_BUFFER_BYTES = 65_536
# the kernel doubles both buffers; the event loop makes one read when it begins and one for each wait
KEPT_BYTES_LIMIT = 2 * SEND_BUFFER_BYTES + 6 * RECEIVE_BUFFER_BYTES
WITHOUT_PROGRESS_SECONDS = 0.3


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on asyncio and on uvloop."""
    return "asyncio", {"use_uvloop": request.param}


async def send_while_accepted(port: int) -> int:
    """Writes until nothing more is accepted for a while; returns how many bytes were."""
    with socket.socket() as sender:
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sender.connect(("127.0.0.1", port))
        sender.setblocking(False)
        sent, data = 0, b"x" * READ_BYTES
        progress_at = anyio.current_time()
        while sent < OFFERED_BYTES and anyio.current_time() - progress_at < WITHOUT_PROGRESS_SECONDS:
            try:
                sent += sender.send(data)
                progress_at = anyio.current_time()
            except BlockingIOError:
                await anyio.sleep(0.001)
        return sent


@pytest.mark.parametrize("reads", [0, 1, 10])
async def test_bytes_that_no_handler_asked_for_stay_with_the_sender(reads: int) -> None:
    # Guards against a stream that reads without a limit before its handler has waited for bytes.
    received = 0

    async def read_some(stream: SocketStream) -> None:
        """Reads a number of times while bytes are there, and then no more."""
        nonlocal received
        await anyio.sleep(0.05)  # the sender is faster than the handler
        for _ in range(reads):
            received += len(await stream.receive(READ_BYTES))
        await anyio.sleep_forever()

    listener, port = await listen("127.0.0.1", 0)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, read_some)
        sent = await send_while_accepted(port)
        group.cancel_scope.cancel()
    assert sent - received < KEPT_BYTES_LIMIT

"""Clients that write the beginning of a request and then a byte now and then, as a process of their own.

    python -m support.unfinished_clients PORT KIND COUNT SECONDS

Each connects again once its connection has ended. In the process of a test, hundreds of them would slow down
the clients, workers and discovery that run there.
"""

from __future__ import annotations

import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

import anyio

from martenlead.planner import frames
from support.full_speed_client import ROOT, planner_hello
from support.node_wire import message

START_SECONDS = 20.0
WRITE_INTERVAL_SECONDS = 0.2
CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
OPEN_REQUESTS = 31  # one below the limit of a node's client
HALF_OF_A_MESSAGE = (
    b'Content-Length: 65000\r\n\r\n{"jsonrpc":"2.0","id":40,"method":"safe","params":{"blob":"'
)
_LONG_HALF = HALF_OF_A_MESSAGE + b"A" * 64_000
_HALF_OF_A_FRAME = frames.MAX_PAYLOAD_BYTES.to_bytes(frames.LENGTH_BYTES, "big") + b"A" * 900_000
_HEAD = b"POST / HTTP/1.1\r\nhost: e\r\n"


def _whole_requests(client: int) -> bytes:
    """Returns as many large requests as a client may have open, under ids of its own."""
    params = {"wait": 1500, "tenant": "acme", "key": f"{1:016x}", "blob": "A" * 20_000}
    ids = (f"{client:08x}{number:08x}" for number in range(OPEN_REQUESTS))
    calls = (
        {"jsonrpc": "2.0", "id": number, "method": "unsafe", "params": {"id": request_id, **params}}
        for number, request_id in enumerate(ids)
    )
    return b"".join(message(call) for call in calls)


BEGINNINGS: dict[str, Callable[[int], bytes]] = {
    "half of a request": lambda _: _LONG_HALF,
    "requests and half of one": lambda client: _whole_requests(client) + _LONG_HALF,
    "half of a body": lambda _: _HEAD + b"content-length: 1000000\r\n\r\n" + b"A" * 900_000,
    "half of a body in chunks": lambda _: (
        _HEAD + b"transfer-encoding: chunked\r\n\r\n" + (b"4000\r\n" + b"A" * 16_384 + b"\r\n") * 50
    ),
    "half of a frame": lambda _: _HALF_OF_A_FRAME,
    "a hello and half of a frame": lambda client: planner_hello(f"client{client}") + _HALF_OF_A_FRAME,
    "many short fields": lambda _: _HEAD + b"a:b\r\n" * 98,
}
"""What each kind of client writes first, from its number."""


@dataclass
class UnfinishedClients:
    """What the clients of a process have done."""

    beginnings: int = 0  # written in full; known behind the block


async def _keep_unfinished(port: int, beginning: bytes, written: list[int]) -> None:
    while True:
        with suppress(*CONNECTION_ERRORS):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(beginning)
                written.append(len(beginning))
                while True:
                    await anyio.sleep(WRITE_INTERVAL_SECONDS)
                    await stream.send(b"A")
        await anyio.sleep(WRITE_INTERVAL_SECONDS)


async def run_clients(port: int, kind: str, count: int, seconds: float) -> None:
    """Runs clients of a kind until the time is over. Prints an empty line as they start, and how many
    beginnings they wrote at the end."""
    beginnings = [BEGINNINGS[kind](client) for client in range(count)]
    written: list[int] = []
    print(flush=True)
    with anyio.move_on_after(seconds):
        async with anyio.create_task_group() as group:
            for beginning in beginnings:
                group.start_soon(_keep_unfinished, port, beginning, written)
    print(len(written), flush=True)


@asynccontextmanager
async def unfinished_clients(
    port: int, kind: str, count: int, seconds: float
) -> AsyncIterator[UnfinishedClients]:
    """Runs clients of this kind beside the body, which begins once they start; waits for their end."""
    command = [sys.executable, "-m", "support.unfinished_clients", str(port), kind, str(count), str(seconds)]
    async with await anyio.open_process(command, cwd=ROOT, stderr=None) as process:
        assert process.stdout is not None
        try:
            with anyio.fail_after(START_SECONDS):
                await process.stdout.receive()
            clients = UnfinishedClients()
            yield clients
            with anyio.fail_after(seconds + START_SECONDS):
                clients.beginnings = int(await process.stdout.receive())
        finally:
            with suppress(ProcessLookupError):
                process.kill()


if __name__ == "__main__":
    anyio.run(run_clients, int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))

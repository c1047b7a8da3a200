"""A client that writes the same bytes at full speed and drops what it reads, as a process of its own.

    python -m support.full_speed_client PORT KIND SECONDS

It connects again whenever its connection ends. In the process of a test it would slow down the clients that
are measured there.
"""

from __future__ import annotations

import itertools
import json
import socket
import sys
import threading
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from time import monotonic

import anyio

from martenlead.planner import frames
from support.node_wire import message

ROOT = Path(__file__).parent.parent
BLOCK_MESSAGES = 2_000  # written at once
PREPARED_BLOCKS = 20  # made before the first connection, since making them is slower than writing them
READ_BYTES = 1 << 20
RECONNECT_SECONDS = 0.001


def _call(number: int, method: str, **params: object) -> bytes:
    return message({"jsonrpc": "2.0", "id": number, "method": method, "params": params})


def _request(number: int, **fields: object) -> bytes:
    params = {"id": f"{number:016x}", "wait": 1500, "tenant": "acme", "key": f"{number:016x}", "blob": ""}
    return _call(number, "safe", **{**params, **fields})


def _http(target: str, body: str = "", *headers: str) -> bytes:
    lines = [f"POST {target} HTTP/1.1", "host: e", *headers, f"content-length: {len(body)}"]
    return "\r\n".join([*lines, "", body]).encode()


def _event(number: int) -> bytes:
    event = {"specversion": "1.0", "id": f"e{number}", "source": f"/s{number}", "type": "estimate"}
    content = json.dumps({**event, "model": f"model{number}", "customer": f"c{number}", "timeleftms": 1500})
    return _http("/", content, "content-type: application/cloudevents+json")


def planner_hello(edge: str) -> bytes:
    """Returns the first message of an edge to its planner."""
    return frames.encode_frame(
        frames.Hello(frames.LOWEST_VERSION, frames.HIGHEST_VERSION, edge, "run", "policy")
    )


def _after_hello(number: int, message: frames.Message) -> bytes:
    return planner_hello("client") if number == 1 else frames.encode_frame(message)


MESSAGES: dict[str, Callable[[int], bytes]] = {
    "pings": lambda number: _call(number, "ping"),
    "cancels of unknown ids": lambda number: _call(number, "abort", id=f"{number:016x}"),
    "requests under new names": _request,
    "requests without a deadline": lambda number: _request(number, wait=None),
    "no json": lambda _: b"Content-Length: 2\r\n\r\n[[",
    "no framing": lambda _: b"\r\n\r\n",
    "paths that do not exist": lambda number: _http(f"/{number}"),
    "events under new names": _event,
    "invalid events": lambda _: _http("/", "{", "content-type: application/cloudevents+json"),
    "no http": lambda _: b"\0\r\n\r\n",
    "hellos of an edge": lambda number: planner_hello(f"client{number}"),
    "leases of an edge": lambda number: _after_hello(number, frames.Lease(number, 1000.0)),
    "empty events of an edge": lambda number: _after_hello(number, frames.Events(number, number, [])),
    "requests for a planner": lambda number: _after_hello(number, frames.ResyncRequest("none")),
    "status requests": lambda _: b"GET /status HTTP/1.1\r\nhost: e\r\n\r\n",
}
"""How each kind of flood makes its messages from a number that grows over a connection."""


def _blocks(kind: str, first: int) -> Iterator[bytes]:
    make = MESSAGES[kind]
    for start in itertools.count(first, BLOCK_MESSAGES):
        yield b"".join(make(number) for number in range(start, start + BLOCK_MESSAGES))


def _drop_input(connection: socket.socket) -> None:
    with suppress(OSError):
        while connection.recv(READ_BYTES):
            pass
        connection.shutdown(socket.SHUT_RDWR)


def flood(port: int, kind: str, seconds: float) -> None:
    """Sends messages of a kind until the time is over."""
    end = monotonic() + seconds
    prepared = list(itertools.islice(_blocks(kind, 1), PREPARED_BLOCKS))
    while monotonic() < end:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=seconds) as connection:
                threading.Thread(target=_drop_input, args=(connection,), daemon=True).start()
                further = _blocks(kind, 1 + PREPARED_BLOCKS * BLOCK_MESSAGES)
                for block in itertools.chain(prepared, further):
                    if monotonic() >= end:
                        return
                    connection.sendall(block)
        except OSError:
            threading.Event().wait(RECONNECT_SECONDS)


def peak_mb(pid: int) -> float:
    """Returns the peak resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


@asynccontextmanager
async def full_speed_clients(port: int, kind: str, count: int, seconds: float) -> AsyncIterator[None]:
    """Runs clients of this kind beside the body, which begins once they have started."""
    command = [sys.executable, "-m", "support.full_speed_client", str(port), kind, str(seconds)]
    processes = [await anyio.open_process(command, cwd=ROOT) for _ in range(count)]
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            for process in processes:
                with suppress(ProcessLookupError):
                    process.kill()
                await process.aclose()


if __name__ == "__main__":
    flood(int(sys.argv[1]), sys.argv[2], float(sys.argv[3]))

"""Floods one edge with queues, over sockets, and compares its peak resident memory with the bound.

    PYTHONPATH=. .venv/bin/python benchmarks/floods.py [--seconds 60]

Each flood runs against a separate edge process, beside 60 usual requests per second; the share of these that
succeed is printed too.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic
from typing import Any

import anyio
import click
import structlog

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.cloudevent import Event, encode_event
from support.fleet import REQUEST_CLASSES, EdgeRig, after_delay, respond_ok, run_edge

LIMITS = {
    "connections": 1000,
    "open_tasks": 1000,
    "held_bytes": 8_000_000,
    "body_bytes": 65_536,
    "known_models": 4000,
}
QUEUES = {"waiting": 1000, "bytes": 8_000_000}
BASE_MB, EACH_MODEL_KB, EACH_CONNECTION_KB = 75, 6, 250


def bound_mb() -> float:
    """Returns the memory that the settings allow, in MB.

    It is the sum of the program, the bodies of open and waiting requests, the known models, and for each
    connection 64 KB in buffers of the kernel and the event loop, one read of small requests after parsing
    (65 of 2.5 KB), and 32 responses of 1 KB.
    """
    body_bytes = LIMITS["held_bytes"] + QUEUES["bytes"]
    connection_bytes = LIMITS["connections"] * EACH_CONNECTION_KB * 1000
    return BASE_MB + (body_bytes + connection_bytes + LIMITS["known_models"] * EACH_MODEL_KB * 1000) / 1e6


def make_request(n: int, **more: str) -> bytes:
    """Encodes an HTTP request with an event of number `n` and further attributes."""
    attributes: dict[str, Any] = {
        "specversion": "1.0",
        "id": f"t{n}",
        "source": "/flood",
        "type": "estimate",
        "model": "m",
        "timeleftms": 1500,
    }
    headers, body = encode_event(Event({**attributes, **more}, b"{}", "application/json"))
    return http.request(b"POST", b"/", b"edge", headers, body)


async def names(port: int, seconds: float) -> int:
    """Sends 100,000 distinct names of tenants, clients and models per minute."""
    pool = Pool("127.0.0.1", port, connection_limit=200)
    sent = 0

    async def send_requests(at: int) -> None:
        """Sends requests with new names at a hundredth of the rate."""
        nonlocal sent
        end = monotonic() + seconds
        while monotonic() < end:
            sent += 1
            n = sent
            with anyio.move_on_after(3):
                await pool.exchange(
                    make_request(
                        n, customer=f"customer {n}", source=f"/client/{n}", model=f"model {n % 20_000}"
                    )
                )
            await anyio.sleep(max(0.0, at / 100 + (sent / 1667) - (monotonic() - end + seconds) - 1))

    async with anyio.create_task_group() as group:
        for at in range(100):
            group.start_soon(send_requests, at)
    return sent


async def idle(port: int, seconds: float) -> int:
    """Opens connections that send nothing."""
    return await open_connections(port, seconds, 900, b"", b"")


async def slow_senders(port: int, seconds: float) -> int:
    """Sends request heads one byte at a time."""
    return await open_connections(port, seconds, 900, b"POST / HTTP/1.1\r\nhost: e\r\n", b"x")


async def endless_heads(port: int, seconds: float) -> int:
    """Sends request heads that never end, as fast as they are read."""
    return await open_connections(
        port, seconds, 900, b"POST / HTTP/1.1\r\n", b"x-more: " + b"y" * 500 + b"\r\n", 0.002
    )


async def slow_readers(port: int, seconds: float) -> int:
    """Sends many requests on each connection and never reads a response."""
    return await open_connections(port, seconds, 900, b"", make_request(1) * 40, 0.2)


async def open_connections(
    port: int, seconds: float, count: int, first: bytes, then: bytes, every: float = 0.1
) -> int:
    """Keeps a number of connections open that send `first` and then `then` every so many seconds."""
    sent = 0

    async def keep_connection(at: int) -> None:
        """Opens a connection, and a new one whenever it is closed."""
        nonlocal sent
        end = monotonic() + seconds
        await anyio.sleep(at / count)
        while monotonic() < end:
            try:
                with anyio.move_on_after(end - monotonic()):
                    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                        sent += 1
                        if first:
                            await stream.send(first)
                        while True:
                            await anyio.sleep(every if then else seconds)
                            if then:
                                await stream.send(then)
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                await anyio.sleep(0.2)

    async with anyio.create_task_group() as group:
        for at in range(count):
            group.start_soon(keep_connection, at)
    return sent


async def send_usual_requests(port: int, until: Callable[[], bool]) -> tuple[int, int]:
    """Sends 60 requests per second; returns how many succeeded, and how many were sent."""
    pool = Pool("127.0.0.1", port, connection_limit=200)
    succeeded = count = 0

    async def send_request(n: int) -> None:
        """Sends one request and counts a success within 1.5 s."""
        nonlocal succeeded
        with anyio.move_on_after(1.5):
            exchange = await pool.exchange(make_request(n, source="/usual", model="usual"))
            succeeded += exchange.message is not None and exchange.message.status == 200

    async with anyio.create_task_group() as group:
        while not until():
            count += 1
            group.start_soon(send_request, count)
            await anyio.sleep(1 / 60)
    return succeeded, count


def resident(pid: int) -> float:
    """Returns the peak resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


async def measure_flood(
    flood: Callable[[int, float], Awaitable[int]], seconds: float, f: EdgeRig
) -> dict[str, Any]:
    """Runs one flood against a new edge process and returns its memory and the usual requests."""
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "edge.json"
        settings = {"roster": {"port": f.discovery_port}, "offerings": REQUEST_CLASSES, "queues": QUEUES}
        config.write_text(
            json.dumps({**settings, "limits": {**LIMITS, "slow_ms": 2000}, "log": {"level": "error"}})
        )
        process = await anyio.open_process([sys.executable, "-m", "martenlead", "edge", str(config)])
        assert process.stdout is not None
        port = json.loads(await process.stdout.receive())["ready"]["port"]
        is_over = False
        await anyio.sleep(0.5)
        before = resident(process.pid)
        usual_counts: list[tuple[int, int]] = []

        async def collect_usual_requests() -> None:
            """Sends the usual requests until the flood is over."""
            usual_counts.append(await send_usual_requests(port, lambda: is_over))

        async with anyio.create_task_group() as group:
            group.start_soon(collect_usual_requests)
            sent = await flood(port, seconds)
            is_over = True
        highest = resident(process.pid)
        os.kill(process.pid, signal.SIGTERM)
        with anyio.move_on_after(40):
            await process.wait()
        succeeded, count = usual_counts[0]
        return {
            "flood": flood.__name__,
            "sent": sent,
            "MB before": round(before, 1),
            "MB at the highest": round(highest, 1),
            "bound, MB": round(bound_mb(), 1),
            "usual tasks satisfied": round(succeeded / max(1, count), 3),
            "exit": process.returncode,
        }


async def run(seconds: float, which: str | None) -> None:
    """Runs the floods, or one of them, in turn."""
    async with run_edge({"a": [after_delay(20, respond_ok)], "b": [after_delay(20, respond_ok)]}) as f:
        for flood in (idle, slow_senders, endless_heads, slow_readers, names):
            if which not in (None, flood.__name__):
                continue
            print(json.dumps(await measure_flood(flood, seconds, f)), flush=True)


@click.command()
@click.option("--seconds", type=float, default=20.0)
@click.option("--flood", "which", help="Run only this flood.")
def main(seconds: float, which: str | None) -> None:
    """Print one JSON object per flood."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    anyio.run(run, seconds, which)


if __name__ == "__main__":
    main()

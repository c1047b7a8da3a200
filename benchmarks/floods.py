"""Floods against one edge with queues, on sockets: its resident memory at the highest, beside its bound.

    PYTHONPATH=. .venv/bin/python benchmarks/floods.py [--seconds 60]

Each flood meets an edge process of its own and runs while 60 tasks a second come as usual; what becomes of
those is told too.
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
    """What the settings allow: bodies held and waiting, models known, the program, and for each connection
    64 KB in the kernel's and the loop's buffers, a read of small requests parsed (65 of 2.5 KB), and 32
    answers of 1 KB."""
    held = LIMITS["held_bytes"] + QUEUES["bytes"]
    connections = LIMITS["connections"] * EACH_CONNECTION_KB * 1000
    return BASE_MB + (held + connections + LIMITS["known_models"] * EACH_MODEL_KB * 1000) / 1e6


def task(n: int, **more: str) -> bytes:
    about: dict[str, Any] = {
        "specversion": "1.0",
        "id": f"t{n}",
        "source": "/flood",
        "type": "estimate",
        "model": "m",
        "timeleftms": 1500,
    }
    headers, body = encode_event(Event({**about, **more}, b"{}", "application/json"))
    return http.request(b"POST", b"/", b"edge", headers, body)


async def names(port: int, seconds: float) -> int:
    """100,000 names a minute, of customers, clients and models."""
    pool = Pool("127.0.0.1", port, connection_limit=200)
    sent = 0

    async def some(at: int) -> None:
        nonlocal sent
        end = monotonic() + seconds
        while monotonic() < end:
            sent += 1
            n = sent
            with anyio.move_on_after(3):
                await pool.exchange(
                    task(n, customer=f"customer {n}", source=f"/client/{n}", model=f"model {n % 20_000}")
                )
            await anyio.sleep(max(0.0, at / 100 + (sent / 1667) - (monotonic() - end + seconds) - 1))

    async with anyio.create_task_group() as group:
        for at in range(100):
            group.start_soon(some, at)
    return sent


async def idle(port: int, seconds: float) -> int:
    """Connections that say nothing."""
    return await connections(port, seconds, 900, b"", b"")


async def slow_senders(port: int, seconds: float) -> int:
    """Heads that come a byte at a time."""
    return await connections(port, seconds, 900, b"POST / HTTP/1.1\r\nhost: e\r\n", b"x")


async def endless_heads(port: int, seconds: float) -> int:
    """Heads that never end, as fast as they are read."""
    return await connections(
        port, seconds, 900, b"POST / HTTP/1.1\r\n", b"x-more: " + b"y" * 500 + b"\r\n", 0.002
    )


async def slow_readers(port: int, seconds: float) -> int:
    """Many tasks on each connection, and no answer is ever read."""
    return await connections(port, seconds, 900, b"", task(1) * 40, 0.2)


async def connections(
    port: int, seconds: float, count: int, first: bytes, then: bytes, every: float = 0.1
) -> int:
    sent = 0

    async def one(at: int) -> None:
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
            group.start_soon(one, at)
    return sent


async def usual(port: int, until: Callable[[], bool]) -> tuple[int, int]:
    pool = Pool("127.0.0.1", port, connection_limit=200)
    good = count = 0

    async def one(n: int) -> None:
        nonlocal good
        with anyio.move_on_after(1.5):
            exchange = await pool.exchange(task(n, source="/usual", model="usual"))
            good += exchange.message is not None and exchange.message.status == 200

    async with anyio.create_task_group() as group:
        while not until():
            count += 1
            group.start_soon(one, count)
            await anyio.sleep(1 / 60)
    return good, count


def resident(pid: int) -> float:
    """At its highest, MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


async def one(flood: Callable[[int, float], Awaitable[int]], seconds: float, f: EdgeRig) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "edge.json"
        settings = {"roster": {"port": f.discovery_port}, "offerings": REQUEST_CLASSES, "queues": QUEUES}
        config.write_text(
            json.dumps({**settings, "limits": {**LIMITS, "slow_ms": 2000}, "log": {"level": "error"}})
        )
        process = await anyio.open_process([sys.executable, "-m", "martenlead", "edge", str(config)])
        assert process.stdout is not None
        port = json.loads(await process.stdout.receive())["ready"]["port"]
        over = False
        await anyio.sleep(0.5)
        before = resident(process.pid)
        told: list[tuple[int, int]] = []

        async def as_usual() -> None:
            told.append(await usual(port, lambda: over))

        async with anyio.create_task_group() as group:
            group.start_soon(as_usual)
            sent = await flood(port, seconds)
            over = True
        highest = resident(process.pid)
        os.kill(process.pid, signal.SIGTERM)
        with anyio.move_on_after(40):
            await process.wait()
        good, count = told[0]
        return {
            "flood": flood.__name__,
            "sent": sent,
            "MB before": round(before, 1),
            "MB at the highest": round(highest, 1),
            "bound, MB": round(bound_mb(), 1),
            "usual tasks satisfied": round(good / max(1, count), 3),
            "exit": process.returncode,
        }


async def run(seconds: float, which: str | None) -> None:
    async with run_edge({"a": [after_delay(20, respond_ok)], "b": [after_delay(20, respond_ok)]}) as f:
        for flood in (idle, slow_senders, endless_heads, slow_readers, names):
            if which not in (None, flood.__name__):
                continue
            print(json.dumps(await one(flood, seconds, f)), flush=True)


@click.command()
@click.option("--seconds", type=float, default=20.0)
@click.option("--flood", "which", help="one of them alone")
def main(seconds: float, which: str | None) -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    anyio.run(run, seconds, which)


if __name__ == "__main__":
    main()

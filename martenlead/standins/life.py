"""What every stand-in process does alike: says that it is ready, plays its faults on cue, ends by itself."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable, Coroutine
from time import monotonic_ns
from typing import Any

import anyio
import anyio.to_thread
import msgspec

from martenlead.events.http import Message
from martenlead.events.server import Reply, Server, ServerLimits
from martenlead.standins.settings import Fault


def ready(**about: Any) -> None:
    sys.stdout.write(msgspec.json.encode({"ready": about}).decode() + "\n")
    sys.stdout.flush()


async def epoch(told: int | None) -> int:
    """When the day begins: told in the settings; with 0 the first line of standard input; with None now."""
    if told == 0:
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        return int(line or 0) or monotonic_ns()
    return told or monotonic_ns()


async def until(epoch_ns: int, at_ms: float) -> None:
    """Sleeps until a time of the day."""
    await anyio.sleep(max(0, epoch_ns + at_ms * 1e6 - monotonic_ns()) / 1e9)


async def on_cue(
    epoch_ns: int, faults: list[Fault], play: Callable[[Fault], Coroutine[Any, Any, None]]
) -> None:
    """Begins each fault at its time, each in a task of its own."""
    async with anyio.create_task_group() as group:
        for fault in sorted(faults, key=lambda f: f.at_ms):
            await until(epoch_ns, fault.at_ms)
            group.start_soon(play, fault)


async def for_seconds(seconds: float, work: Callable[[], Awaitable[None]]) -> None:
    """Runs a stand-in until its day is over: none outlives it, whatever became of who started it."""
    with anyio.move_on_after(seconds):
        await work()


def plain(status: int, text: str = "") -> Reply:
    return Reply(status, [(b"content-type", b"text/plain")], text.encode())


def server(handler: Callable[[Message, int], Awaitable[Reply]], connections: int = 4096) -> Server:
    return Server(
        handler,
        ServerLimits(max_connections=connections),
        make_error_reply=lambda status, detail: plain(status, detail),
        make_fault_reply=lambda error: plain(500, repr(error)),
    )

"""What all stand-in processes share: they report that they are ready, apply faults at their times, and end by
themselves.
"""

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


def announce_ready(**fields: Any) -> None:
    """Writes the line on standard output that tells the parent process that this one is ready."""
    sys.stdout.write(msgspec.json.encode({"ready": fields}).decode() + "\n")
    sys.stdout.flush()


async def wait_for_epoch(epoch_ns: int | None) -> int:
    """Returns the start of the day: from the settings; for 0 from the first line of standard input; for None
    now.
    """
    if epoch_ns == 0:
        line = await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
        return int(line or 0) or monotonic_ns()
    return epoch_ns or monotonic_ns()


async def sleep_until(epoch_ns: int, at_ms: float) -> None:
    """Sleeps until a time of the day."""
    await anyio.sleep(max(0, epoch_ns + at_ms * 1e6 - monotonic_ns()) / 1e9)


async def run_faults(
    epoch_ns: int, faults: list[Fault], apply_fault: Callable[[Fault], Coroutine[Any, Any, None]]
) -> None:
    """Starts each fault at its time, each in a task of its own."""
    async with anyio.create_task_group() as group:
        for fault in sorted(faults, key=lambda f: f.at_ms):
            await sleep_until(epoch_ns, fault.at_ms)
            group.start_soon(apply_fault, fault)


async def run_for(seconds: float, run: Callable[[], Awaitable[None]]) -> None:
    """Runs a stand-in until its day is over, so that none outlives it, whatever happened to its parent."""
    with anyio.move_on_after(seconds):
        await run()


def text_reply(status: int, text: str = "") -> Reply:
    """A reply with a plain text."""
    return Reply(status, [(b"content-type", b"text/plain")], text.encode())


def make_server(handler: Callable[[Message, int], Awaitable[Reply]], connections: int = 4096) -> Server:
    """An HTTP server that answers errors and faults with plain text."""
    return Server(
        handler,
        ServerLimits(max_connections=connections),
        make_error_reply=lambda status, detail: text_reply(status, detail),
        make_fault_reply=lambda error: text_reply(500, repr(error)),
    )

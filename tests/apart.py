"""A real dispatcher in a process of its own, under a limit of descriptors that is set in that process alone.

Its peers are in this process, as in tests/nodes.py; its journal service is down until `serve_at`.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process

from support.peers import PeerListener, unused_port
from tests.nodes import BROKEN, Journal, Play, done, message

DESCRIPTORS = 96
ROOT = Path(__file__).parent.parent
LIMITED = f"ulimit -n {DESCRIPTORS}; exec {sys.executable} -m martenlead.node"
PING = message({"jsonrpc": "2.0", "id": 1, "method": "ping", "params": {}})


class Apart(Play):
    """Peers in this process, the node in its own."""

    process: Process

    async def start(self) -> None:
        environment = {**os.environ, "ROUTER_CONFIG": str(self.path)}
        self.process = await anyio.open_process(
            ["/bin/sh", "-c", LIMITED], cwd=ROOT, env=environment, stdout=None, stderr=None
        )

    async def kill(self) -> None:
        with suppress(ProcessLookupError):  # it has ended by itself
            self.process.send_signal(signal.SIGKILL)
        with anyio.CancelScope(shield=True):
            await self.process.wait()

    def held(self) -> int:
        """Descriptors that the node has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def connect(self, count: int) -> list[socket.socket]:
        """At once, whether the node accepts them yet or not."""
        made = [socket.socket() for _ in range(count)]
        for one in made:
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
        return made

    async def came_up(self, within: float) -> None:
        """Asks for it as a platform does: until it answers that it is up."""
        with anyio.fail_after(within):
            while not await self.is_up():
                await anyio.sleep(0.01)

    async def is_up(self) -> bool:
        try:
            client = await self.client()
            await client.send(PING)
            told = await client.answer()
            await client.stream.aclose()
        except BROKEN:
            return False
        return told is not None and bool(told["result"]["up"])


@asynccontextmanager
async def apart(tmp_path: Path, runners: str = "a", **more: Any) -> AsyncIterator[Apart]:
    """A node that has been started. It is ended as the test ends."""
    p = Apart()
    p.path = tmp_path / "config.json"
    p.port, p.journal.port = unused_port(), unused_port()
    async with anyio.create_task_group() as p.group:
        for name in runners:
            await p.runner(name, done)
        p.write(p.journal.port, limits={"cores": 1.0, "memory_mb": 64, "sockets": DESCRIPTORS}, **more)
        await p.start()
        try:
            yield p
        finally:
            await p.kill()
        p.group.cancel_scope.cancel()


async def serve_at(journal: Journal) -> None:
    """The journal service comes back, at the address that it had."""
    listener = PeerListener(journal.port)
    assert listener.port == journal.port
    await listener.serve(journal.connected)

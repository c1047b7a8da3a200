"""A real dispatcher in a process of its own, under a limit of descriptors that is set in that process alone.

Its peers are in this process, as in support/node_rig.py; its journal service is down until `serve_journal`
runs.
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

from support.node_rig import CONNECTION_ERRORS, NodeRig, ScriptedJournal, message, succeed
from support.peers import PeerListener, unused_port

DESCRIPTOR_LIMIT = 96
ROOT = Path(__file__).parent.parent
MEMORY_MB = 64
PING_REQUEST = message({"jsonrpc": "2.0", "id": 1, "method": "ping", "params": {}})


class NodeProcess(NodeRig):
    """A node in a process of its own, and its scripted peers in this one."""

    process: Process
    descriptor_limit = DESCRIPTOR_LIMIT

    async def start(self) -> None:
        """Starts the node with the configuration that was written last."""
        environment = {**os.environ, "ROUTER_CONFIG": str(self.config_path)}
        command = f"ulimit -n {self.descriptor_limit}; exec {sys.executable} -m martenlead.node"
        self.process = await anyio.open_process(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=None, stderr=None
        )

    async def kill(self) -> None:
        """Kills the node, unless it has ended, and waits for its end."""
        with suppress(ProcessLookupError):  # the process has ended by itself
            self.process.send_signal(signal.SIGKILL)
        with anyio.CancelScope(shield=True):
            await self.process.wait()

    def open_descriptors(self) -> int:
        """Returns how many descriptors the node has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def connect_sockets(self, count: int) -> list[socket.socket]:
        """Begins so many connections to the node at once, whether it accepts them yet or not."""
        sockets = [socket.socket() for _ in range(count)]
        for one in sockets:
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
        return sockets

    async def wait_until_up(self, within: float) -> None:
        """Sends pings, as a platform does, until the node answers that it is up. Fails after `within`
        seconds."""
        with anyio.fail_after(within):
            while not await self.is_up():
                await anyio.sleep(0.01)

    async def is_up(self) -> bool:
        """Whether the node answers a ping and says that it is up."""
        try:
            client = await self.connect_client()
            await client.send(PING_REQUEST)
            response = await client.receive_response()
            await client.stream.aclose()
        except CONNECTION_ERRORS:
            return False
        return response is not None and bool(response["result"]["up"])


@asynccontextmanager
async def run_node_process(
    tmp_path: Path,
    workers: str = "a",
    descriptor_limit: int = DESCRIPTOR_LIMIT,
    memory_mb: int = MEMORY_MB,
    **entries: Any,
) -> AsyncIterator[NodeProcess]:
    """Starts a node with a scripted worker for each letter of `workers`, and kills it as the test ends."""
    rig = NodeProcess()
    rig.descriptor_limit = descriptor_limit
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptor_limit}
    rig.config_path = tmp_path / "config.json"
    rig.port, rig.journal.port = unused_port(), unused_port()
    async with anyio.create_task_group() as rig.task_group:
        for name in workers:
            await rig.start_worker(name, succeed)
        rig.write_config(rig.journal.port, limits=limits, **entries)
        await rig.start()
        try:
            yield rig
        finally:
            await rig.kill()
        rig.task_group.cancel_scope.cancel()


async def serve_journal(journal: ScriptedJournal) -> None:
    """Starts the journal service at the address that the node's configuration has."""
    listener = PeerListener(journal.port)
    assert listener.port == journal.port
    await listener.serve(journal.serve_connection)

"""A node as a process of its own: its start, its signals, its end, and its use of memory and descriptors."""

from __future__ import annotations

import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process

from support.node_wire import message
from support.soak.client import take_message
from support.soak.records import ProcessSample, RecordBook
from support.soak.worker import CONNECTION_ERRORS

KILL_MARGIN_SECONDS, KILL_DEADLINE_LIMIT_SECONDS = 0.7, 3.0  # when SIGKILL follows SIGTERM
READY_LIMIT_SECONDS = 30.0
POLL_SECONDS = 0.01
SIGNAL_PAUSE_SECONDS = 0.003  # between two signals of a series
PING_REQUEST = message({"jsonrpc": "2.0", "id": 1, "method": "ping", "params": {}})
ROOT = Path(__file__).parent.parent.parent


class NodeProcess:
    """One node at one address, over all its restarts."""

    def __init__(self, node: int, port: int, folder: Path, book: RecordBook) -> None:
        self.node, self.port, self.book = node, port, book
        self.path, self.log_path = folder / f"n{node}.json", folder / f"n{node}.log"
        self.process: Process | None = None

    def write_configuration(self, content: dict[str, Any]) -> None:
        """Replaces the configuration file atomically."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(content))
        new.replace(self.path)

    async def start(self) -> None:
        """Starts a process, waits until it answers that it is up, and records how long that took."""
        environment = {**os.environ, "ROUTER_CONFIG": str(self.path)}
        began = anyio.current_time()
        with open(self.log_path, "ab") as log:
            self.process = await anyio.open_process(
                [sys.executable, "-m", "martenlead.node"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        with anyio.move_on_after(READY_LIMIT_SECONDS):
            while not await self._is_up():
                await anyio.sleep(POLL_SECONDS)
        self.book.ready_seconds.append(anyio.current_time() - began)

    async def _is_up(self) -> bool:
        buffer = b""
        try:
            async with await anyio.connect_tcp("127.0.0.1", self.port) as stream:
                await stream.send(PING_REQUEST)
                while (taken := take_message(buffer)) is None:
                    buffer += await stream.receive()
        except CONNECTION_ERRORS:
            return False
        return bool(taken[0].get("result", {}).get("up"))

    def send(self, name: str) -> None:
        """Sends SIGTERM or SIGHUP, unless the process has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.Signals[f"SIG{name}"])

    async def send_series(self, names: tuple[str, ...]) -> None:
        """Sends signals within milliseconds of one another."""
        for name in names:
            self.send(name)
            await anyio.sleep(SIGNAL_PAUSE_SECONDS)

    async def wait_for_end(self, deadline_seconds: float) -> None:
        """Waits after SIGTERM until the process has ended; kills it at the earliest time that the protocol
        allows."""
        assert self.process is not None
        limit_seconds = min(deadline_seconds, KILL_DEADLINE_LIMIT_SECONDS) + KILL_MARGIN_SECONDS
        with anyio.move_on_after(limit_seconds):
            self.book.exit_statuses.append(await self.process.wait())
            return
        await self.kill()

    async def kill(self) -> None:
        """Sends SIGKILL unless the process has ended, and records it."""
        if self.process is not None and self.process.returncode is None:
            self.book.record_kill(self.node)
            self.process.kill()
            with anyio.CancelScope(shield=True):
                await self.process.wait()

    def sample(self) -> None:
        """Records its resident memory and its number of descriptors."""
        if self.process is None or self.process.returncode is not None:
            return
        folder = Path(f"/proc/{self.process.pid}")
        try:
            pages = int((folder / "statm").read_text().split()[1])
            descriptors = len(os.listdir(folder / "fd"))
        except (OSError, IndexError):
            return  # the process has ended meanwhile
        resident_bytes = pages * os.sysconf("SC_PAGESIZE")
        self.book.samples.append(ProcessSample(self.node, resident_bytes, descriptors))

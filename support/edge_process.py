"""An edge as a process of its own, as an operator starts it."""

from __future__ import annotations

import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process

from support.fleet import REQUEST_CLASSES

READY_SECONDS = 20.0


@dataclass
class EdgeProcess:
    """An edge as a process of its own."""

    process: Process
    port: int


@asynccontextmanager
async def run_edge_process(
    tmp_path: Path, discovery_port: int, **settings: Any
) -> AsyncIterator[EdgeProcess]:
    """Starts an edge, and kills it behind the block."""
    config = tmp_path / "edge.json"
    config.write_text(
        json.dumps({"roster": {"port": discovery_port}, "offerings": REQUEST_CLASSES, **settings})
    )
    command = [sys.executable, "-m", "martenlead", "edge", str(config)]
    process = await anyio.open_process(command, stderr=None)
    assert process.stdout is not None
    try:
        with anyio.fail_after(READY_SECONDS):
            ready = json.loads(await process.stdout.receive())
        yield EdgeProcess(process, ready["ready"]["port"])
    finally:
        process.kill()
        with anyio.CancelScope(shield=True):
            await process.wait()

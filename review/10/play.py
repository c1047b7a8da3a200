"""Case 10: a connection to a worker comes up late, and the worker begins to drain meanwhile."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers_2 import (  # noqa: E402
    DECISION,
    HOST,
    TROUBLE,
    Case,
    CouldNotRunError,
    HttpWorker,
    Roster,
    free_port,
    http_event,
    play,
    read_http,
)

CONNECT_MS, GRACE_MS, SLACK_MS = 1500, 250, 50
DRAIN_AFTER_S, ACCEPTS_AFTER_S = 0.1, 0.5


async def script(case: Case) -> str:
    """The worker's accept queue is full as the edge connects, and has room half a second later."""
    listening = socket.create_server((HOST, 0), backlog=0)
    worker_port = int(listening.getsockname()[1])
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex((HOST, worker_port))
    roster = Roster(case)
    await roster.start()
    roster.tell("w1", worker_port)
    worker = HttpWorker(case, "w1", lambda _: 0.01)
    port = free_port()
    await case.start_edge(
        {
            "name": "edge-0",
            "listen": {"port": port},
            "roster": {"port": roster.port},
            "offerings": [DECISION],
            "cold": {"drain_grace_ms": GRACE_MS},
            "limits": {"connect_ms": CONNECT_MS},
        }
    )
    await asyncio.sleep(0.5)
    reader, writer = await asyncio.open_connection(HOST, port)
    sent = case.note("sent", id="e1")
    writer.write(http_event("e1", "decision-post", b"data", timeleftms=4000))
    await asyncio.sleep(DRAIN_AFTER_S)
    told = roster.tell("w1", worker_port, "draining" if TROUBLE else "up")
    await asyncio.sleep(ACCEPTS_AFTER_S - DRAIN_AFTER_S)
    for filler in fillers:
        filler.close()
    await worker.start(listening)
    case.note("the worker accepts")
    (_, status, *_), _, _ = await asyncio.wait_for(read_http(reader), 10)
    case.note("answered", id="e1", status=status)
    if not worker.arrived and not TROUBLE:
        raise CouldNotRunError("the connection did not come up")
    late = [at for at, _ in worker.arrived if at > told + (GRACE_MS + SLACK_MS) / 1000]
    if not (TROUBLE and late):
        return ""
    after_ms, connect_ms = (late[0] - told) * 1000, (late[0] - sent) * 1000
    return f"sent {after_ms:.0f} ms after the drain was told, {connect_ms:.0f} ms after the request came"


play(HERE, script)

"""Case 10: bad clients send messages without end, in the fields behind the last chunk."""

from __future__ import annotations

import asyncio
import select
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path
from socket import create_connection

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers_2 import CHECK, HOST, TROUBLE, Case, HttpWorker, Roster, free_port, http_event, play  # noqa: E402
from usual_2 import UsualClients  # noqa: E402

MEMORY_MB, LOOK_S = 2048, 0.1
BAD_CLIENTS = 4 if TROUBLE else 0
CLIENTS, SECONDS, PAUSE_S = 3, 40.0, 0.05
FIELD = b"x: y\r\n"


class BadClient(threading.Thread):
    """Sends an event in chunks and fields behind the last chunk without end; reads what it receives."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.is_ending = False
        self.sent_bytes = self.connections = 0

    def run(self) -> None:
        """Connects anew when the edge has closed the connection."""
        head = http_event("bad", "eligibility-check", b"", timeleftms=5000)
        begin = head.replace(b"content-length: 0", b"transfer-encoding: chunked") + b"1\r\nx\r\n0\r\n"
        fields = FIELD * 20_000
        while not self.is_ending:
            with suppress(OSError), create_connection((HOST, self.port), timeout=2) as own:
                self.connections += 1
                own.sendall(begin)
                while not self.is_ending:
                    own.sendall(fields)
                    self.sent_bytes += len(fields)
                    if select.select([own], [], [], 0)[0] and not own.recv(65_536):
                        break
            time.sleep(0.05)


def anonymous_mb(process: int) -> float:
    """The memory of a process without its files, in MB; 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{process}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def script(case: Case) -> str:
    """The platform ends an edge that is over its limit of memory, as DEPLOY.md says."""
    roster = Roster(case)
    await roster.start()
    for name in ("w1", "w2"):
        worker = HttpWorker(case, name, lambda _: 0.02)
        await worker.start()
        roster.tell(name, worker.port)
    port = free_port()
    edge = await case.start_edge(
        {"name": "edge-0", "listen": {"port": port}, "roster": {"port": roster.port}, "offerings": [CHECK]}
    )
    await asyncio.sleep(0.5)
    clients = UsualClients(case, port)
    bad = [BadClient(port) for _ in range(BAD_CLIENTS)]
    for one in bad:
        one.start()
    usual = asyncio.create_task(clients.run(CLIENTS, SECONDS, PAUSE_S))
    most_mb, broken = 0.0, ""
    while not usual.done() and not broken:
        await asyncio.sleep(LOOK_S)
        most_mb = max(most_mb, anonymous_mb(edge.pid))
        case.note("memory", mb=round(most_mb), sent_by_bad_clients=sum(one.sent_bytes for one in bad))
        if most_mb > MEMORY_MB:
            edge.kill()
            await edge.wait()
            broken = f"the edge had {most_mb:.0f} MB and was ended by the platform"
        elif edge.returncode is not None:
            broken = f"the edge ended with status {edge.returncode} at {most_mb:.0f} MB"
    for one in bad:
        one.is_ending = True
    with suppress(Exception):
        await asyncio.wait_for(usual, 15)
    lost = len(clients.unanswered)
    connections = sum(one.connections for one in bad)
    case.note("figures", most_mb=round(most_mb), bad_connections=connections, unanswered=clients.unanswered)
    return f"{broken}; {lost} requests of usual clients have no answer" if broken else ""


play(HERE, script)

"""Case 8: some good answers of a worker have a length that doesn't fit."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from peers_2 import CHECK, TROUBLE, Case, HttpWorker, Roster, free_port, play  # noqa: E402
from usual_2 import UsualClients  # noqa: E402

CLIENTS, SECONDS, PAUSE_S, WORK_S = 3, 8.0, 0.01, 0.02
ONE_IN, MISSING_BYTES = 50, 9  # what is left of "payment 1250 dollars" is "payment 125"


async def script(case: Case) -> str:
    """Usual clients ask two workers; one answer in fifty says that it is nine bytes shorter than it is."""
    roster = Roster(case)
    await roster.start()
    answers = 0

    def missing_bytes(event: dict[str, str], _body: bytes) -> int:
        nonlocal answers
        answers += 1
        if not TROUBLE or answers % ONE_IN:
            return 0
        case.note("a length does not fit", of=event["id"])
        return MISSING_BYTES

    for name in ("w1", "w2"):
        worker = HttpWorker(case, name, lambda _: WORK_S)
        worker.missing_bytes = missing_bytes
        await worker.start()
        roster.tell(name, worker.port)
    port = free_port()
    await case.start_edge(
        {"name": "edge-0", "listen": {"port": port}, "roster": {"port": roster.port}, "offerings": [CHECK]}
    )
    await asyncio.sleep(0.5)
    clients = UsualClients(case, port)
    await clients.run(CLIENTS, SECONDS, PAUSE_S)
    case.note("answers", served=clients.answered, wrong=len(clients.wrong), unanswered=clients.unanswered)
    if not clients.wrong:
        return ""
    return f"{len(clients.wrong)} of {clients.answered} were served cut off, as {clients.wrong[0]}"


play(HERE, script)

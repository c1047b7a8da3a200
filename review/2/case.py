"""Bad clients send half a request and close, at full speed; the platform watches the node's memory."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

from node_platform import Client, Journal, Node, Worker
from rig import HOST, READ_ERRORS, NotRunError, Record, has_trouble, main

MEMORY_MB, SOCKETS = 192, 1024  # DEPLOY.md: no more than these on scored days
USUAL_CLIENTS = 8
BAD_CLIENTS = 320  # with the usual ones under a third of the descriptors
HALF = b"Content-Length: 65000\r\n\r\n" + b'{"jsonrpc":"2.0","id":1,"method":"call","params":{"blob":"'
OPEN_SECONDS = 0.1
SECONDS = 60.0


async def send_usual(client: Client, node: Node, outcomes: Counter[str], end: float) -> None:
    """Sends five requests a second, one after the other."""
    loop = asyncio.get_running_loop()
    try:
        await client.connect()
        while loop.time() < end and not node.was_killed_for_memory:
            outcomes[await client.call()] += 1
            await asyncio.sleep(0.2)
        client.close()
    except READ_ERRORS as error:
        client.record.write("connection ended", client=client.name, reason=type(error).__name__)


async def send_halves(node: Node, counts: Counter[str], end: float) -> None:
    """Connects, sends the first part of a request, and closes; again and again."""
    loop = asyncio.get_running_loop()
    part = HALF + b"A" * 64_800
    while loop.time() < end and not node.was_killed_for_memory:
        try:
            _, writer = await asyncio.open_connection(HOST, node.port)
            writer.write(part)
            await writer.drain()
            counts["halves"] += 1
            await asyncio.sleep(OPEN_SECONDS)
            writer.close()
        except OSError:
            await asyncio.sleep(0.1)


async def note_progress(node: Node, record: Record, counts: Counter[str], outcomes: Counter[str]) -> None:
    """Writes how far the case is, each second."""
    while not node.was_killed_for_memory:
        record.write("so far", **counts, **outcomes, memory_mb=round(node.highest_mb, 1))
        await asyncio.sleep(1)


async def play(record: Record, folder: Path) -> list[str]:
    """One node, three workers, the journal service, eight usual clients and the bad ones."""
    workers, journal = [Worker(name, record) for name in "abc"], Journal()
    for one in (*workers, journal):
        await one.start()
    node = Node(record, folder, MEMORY_MB, SOCKETS)
    counts: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    try:
        await node.start(journal, workers)
        watch = asyncio.create_task(node.watch_memory())
        end = asyncio.get_running_loop().time() + SECONDS
        notes = asyncio.create_task(note_progress(node, record, counts, outcomes))
        tasks = [
            send_usual(Client(node.port, record, f"u{number}"), node, outcomes, end)
            for number in range(USUAL_CLIENTS)
        ]
        await asyncio.sleep(0)
        if has_trouble():
            tasks += [send_halves(node, counts, end) for _ in range(BAD_CLIENTS)]
        await asyncio.gather(*tasks)
        watch.cancel()
        notes.cancel()
        crashed = node.program.process is not None and node.program.process.returncode is not None
    finally:
        await node.program.end()
    record.write("summary", **outcomes, **counts, highest_mb=round(node.highest_mb, 1))
    if not outcomes["served"]:
        raise NotRunError("no request was served")
    if node.was_killed_for_memory:
        return [
            f"the dispatcher was killed for memory: {node.highest_mb:.0f} MB of {MEMORY_MB} MB,"
            f" after {counts['halves']} halves of requests; usual requests lost: {outcomes['lost']}"
        ]
    if crashed:
        return ["the dispatcher has ended by itself"]
    return []


if __name__ == "__main__":
    main(__file__, play)

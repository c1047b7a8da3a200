"""Workers spoil some good answers with noise: one byte outside the body is wrong."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from node_platform import Client, Journal, Node, Worker
from rig import READ_ERRORS, NotRunError, Record, has_trouble, main

MEMORY_MB, SOCKETS = 192, 1024
USUAL_CLIENTS = 16
SPOILT_SHARE = 0.1  # of the good answers
SECONDS = 45.0
NOISE = range(0x20, 0x7F)


class SpoilingWorker(Worker):
    """A worker that runs each request, and spoils some of its good answers."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record)
        self.random = Random(name)
        self.spoilt: list[str] = []  # the ids of the requests whose answers were spoilt
        self.useless: set[asyncio.StreamWriter] = set()  # connections that serve no further use

    async def run(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Runs one request; writes its answer, or noise in place of one byte of it."""
        self.record.write("ran", worker=self.name, id=message["txn"])
        await asyncio.sleep(self.work_seconds)
        if writer in self.useless or writer.is_closing():
            return
        if not has_trouble() or self.random.random() >= SPOILT_SHARE:
            self.answer(writer, "DONE", message["txn"], {"why": "resident"}, message["raw"])
            return
        self.useless.add(writer)
        answer = {"m": "DONE", "txn": message["txn"], "props": {"why": "resident"}, "raw": message["raw"]}
        line = bytearray(json.dumps(answer, separators=(",", ":")).encode())
        body_start = line.index(message["raw"].encode())
        outside = [n for n in range(len(line)) if not body_start <= n < body_start + len(message["raw"])]
        place = self.random.choice(outside)
        line[place] = self.random.choice([byte for byte in NOISE if byte != line[place]])
        self.spoilt.append(message["txn"])
        self.record.write("spoilt", worker=self.name, id=message["txn"], line=line.decode())
        writer.write(bytes(line) + b"\n")


async def send_usual(client: Client, outcomes: Counter[str], end: float) -> None:
    """Sends one request after the other, on a new connection where the last one has ended."""
    loop = asyncio.get_running_loop()
    while loop.time() < end:
        try:
            await client.connect()
            client.number = 0
            while loop.time() < end:
                outcome = await client.call()
                outcomes[outcome] += 1
                if outcome == "lost":
                    break
                await asyncio.sleep(0.05)
            client.close()
        except READ_ERRORS as error:
            client.record.write("connection ended", client=client.name, reason=type(error).__name__)
            await asyncio.sleep(0.1)


async def play(record: Record, folder: Path) -> list[str]:
    """One node, three workers, the journal service, and usual clients alone."""
    workers, journal = [SpoilingWorker(name, record) for name in "abc"], Journal()
    for one in (*workers, journal):
        await one.start()
    node = Node(record, folder, MEMORY_MB, SOCKETS)
    outcomes: Counter[str] = Counter()
    try:
        await node.start(journal, list(workers))
        end = asyncio.get_running_loop().time() + SECONDS
        clients = [Client(node.port, record, f"u{number}") for number in range(USUAL_CLIENTS)]
        await asyncio.gather(*(send_usual(client, outcomes, end) for client in clients))
    finally:
        await node.program.end()
    spoilt = sum(len(worker.spoilt) for worker in workers)
    record.write("summary", **outcomes, spoilt=spoilt)
    if outcomes["served"] < 100 or (has_trouble() and spoilt < 50):
        raise NotRunError(f"{dict(outcomes)}, {spoilt} answers spoilt: too few to tell")
    if not outcomes["wrong"]:
        return []
    return [
        f"{outcomes['wrong']} requests were answered as served with a body that no runner made;"
        f" {spoilt} answers were spoilt, other outcomes: {dict(outcomes)}"
    ]


if __name__ == "__main__":
    main(__file__, play)

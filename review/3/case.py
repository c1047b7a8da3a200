"""A bad client sends a message without end: its trailer section goes on and on. The memory is watched."""

from __future__ import annotations

import asyncio
import json
import re
from collections import Counter
from pathlib import Path

from rig import (
    HOST,
    READ_ERRORS,
    NotRunError,
    Program,
    Record,
    Roster,
    encode,
    has_trouble,
    main,
    read_message,
)

MEMORY_MB = 2048  # the limit in DEPLOY.md's example
USUAL_CLIENTS, BAD_CLIENTS = 4, 4
SECONDS = 60.0
HEAD = b"POST / HTTP/1.1\r\nhost: edge\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
TRAILERS = b"aa:bb\r\n" * 4000


class Platform:
    """Kills the edge once its anonymous memory is over the limit."""

    def __init__(self, record: Record, edge: Program) -> None:
        self.record, self.edge = record, edge
        self.highest_mb = 0.0
        self.has_killed = False

    async def watch(self) -> None:
        """Looks at the memory ten times a second."""
        process = self.edge.process
        assert process is not None
        noted = 0.0
        while process.returncode is None:
            found = re.search(r"RssAnon:\s+(\d+) kB", Path(f"/proc/{process.pid}/status").read_text())
            self.highest_mb = max(self.highest_mb, int(found[1]) / 1024 if found else 0)
            if self.highest_mb >= noted + 50:
                noted = self.highest_mb
                self.record.write("memory", mb=round(noted), limit_mb=MEMORY_MB)
            if self.highest_mb > MEMORY_MB:
                self.has_killed = True
                self.record.write("killed for memory", mb=round(self.highest_mb), limit_mb=MEMORY_MB)
                process.kill()
                return
            await asyncio.sleep(0.1)


async def serve_worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A worker that has every function loaded and answers in order."""
    try:
        while True:
            start, headers, _ = await read_message(reader)
            if "/v2/repository/" in start:
                writer.write(encode("HTTP/1.1 200 OK", {}, b'{"copies":1}'))
                continue
            await asyncio.sleep(0.02)
            answer = {
                "ce-specversion": "1.0",
                "ce-id": headers["ce-id"] + ".answer",
                "ce-source": "/runners/a",
                "ce-type": "answer",
                "martenlead-copy": "warm",
            }
            writer.write(encode("HTTP/1.1 200 OK", answer, b"{}"))
            await writer.drain()
    except READ_ERRORS:
        pass
    finally:
        writer.close()


async def send_usual(
    name: str, port: int, record: Record, platform: Platform, outcomes: Counter[str]
) -> None:
    """Sends five requests a second on one connection, one after the other."""
    loop = asyncio.get_running_loop()
    end, number, event_id = loop.time() + SECONDS, 0, ""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        while loop.time() < end and not platform.has_killed:
            number += 1
            event_id = f"{name}-{number}"
            headers = {
                "host": "edge",
                "ce-specversion": "1.0",
                "ce-id": event_id,
                "ce-source": "/portal",
                "ce-type": "estimate",
                "ce-model": "m1",
                "ce-timeleftms": "3000",
                "content-type": "application/json",
            }
            record.write("sent", id=event_id)
            writer.write(encode("POST / HTTP/1.1", headers, b"{}"))
            start, _, _ = await asyncio.wait_for(read_message(reader), 3.5)
            status = start.split()[1]
            outcomes[status] += 1
            record.write("answered", id=event_id, status=status)
            event_id = ""
            await asyncio.sleep(0.2)
        writer.close()
    except READ_ERRORS as error:
        outcomes["lost"] += bool(event_id)
        record.write("connection ended", client=name, open_request=event_id, reason=type(error).__name__)


async def send_endless(port: int, platform: Platform, record: Record, number: int) -> None:
    """Sends the head and the body of a request, and then header fields as long as it may."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    while loop.time() < end and not platform.has_killed:
        sent = 0
        try:
            _, writer = await asyncio.open_connection(HOST, port)  # its reader takes what comes
            writer.write(HEAD)
            while loop.time() < end and not platform.has_killed:
                writer.write(TRAILERS)
                sent += len(TRAILERS)
                await writer.drain()
        except READ_ERRORS as error:
            record.write("bad client ended", number=number, sent_bytes=sent, reason=type(error).__name__)
            await asyncio.sleep(0.1)
    record.write("bad client done", number=number)


async def play(record: Record, folder: Path) -> list[str]:
    """One edge, one worker, discovery, four usual clients and four bad ones."""
    roster = Roster(record)
    await roster.start()
    worker = await asyncio.start_server(serve_worker, HOST, 0)
    port = worker.sockets[0].getsockname()[1]
    roster.publish({"id": "a", "host": HOST, "port": port, "memory_mb": 4000, "weight": 1, "start": "1"})
    settings = {
        "name": "edge-0",
        "listen": {"port": 0},
        "roster": {"port": roster.port},
        "offerings": [
            {"name": "estimate", "soft_limit_ms": 500, "hard_limit_ms": 4000, "effect": "idempotent"}
        ],
    }
    path = folder / "edge.jsonnet"
    path.write_text(json.dumps(settings))
    edge = Program("edge", record, folder)
    outcomes: Counter[str] = Counter()
    try:
        await edge.start("martenlead", "edge", str(path))
        edge_port = await edge.ready_port()
        await asyncio.sleep(0.5)
        platform = Platform(record, edge)
        watch = asyncio.create_task(platform.watch())
        tasks = [
            send_usual(f"u{number}", edge_port, record, platform, outcomes) for number in range(USUAL_CLIENTS)
        ]
        if has_trouble():
            tasks += [send_endless(edge_port, platform, record, number) for number in range(BAD_CLIENTS)]
        await asyncio.gather(*tasks)
        watch.cancel()
        crashed = edge.process is not None and edge.process.returncode is not None
    finally:
        await edge.end()
    record.write("summary", **outcomes, highest_mb=round(platform.highest_mb))
    if not outcomes["200"]:
        raise NotRunError("no request was served")
    if platform.has_killed:
        text = f"the edge was killed for memory: {platform.highest_mb:.0f} MB of {MEMORY_MB} MB"
        return [f"{text}; usual requests by outcome: {dict(outcomes)}"]
    return ["the edge has ended by itself"] if crashed else []


if __name__ == "__main__":
    main(__file__, play)

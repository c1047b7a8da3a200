"""The platform's side of a node: its settings, the journal service, workers, clients and the memory limit.

They follow PROTOCOL.md and DEPLOY.md of the node's kit. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import re
import struct
import uuid
from pathlib import Path
from typing import Any

from rig import HOST, READ_ERRORS, NotRunError, Program, Record, free_port

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "granularity": 0.001,
    "azs": ["east"],
    "skus": ["std"],
    "weights": "nominal",
    "allowed": {
        "attempts-cap": 3,
        "cancel": True,
        "may-duplicate": False,
        "retry-after": True,
        "max-retry-after": 0.5,
        "connect-timeout": 0.25,
        "conn-idle": 15.0,
        "streams-per-conn": 32,
    },
    "rules": {"cold-from": 0.17, "cold": 17.0, "fall-multiple": 2.5, "drain-grace": 0.25, "ask-every": 10.0},
    "family-info": {
        "if-cold": "load",
        "kind-memory-mb": [50_000],
        "linger-idle": 8.0,
        "tells-warm": True,
        "placement-calls": True,
        "order-limit": 10.0,
    },
    "orgs": [{"name": "acme", "quota-per-s": 1000.0}],
    "classes": [{"name": "call", "effect": "read_like", "on-time": 0.5, "give-up": 4.0}],
}


class Worker:
    """A sound worker: it runs each request in `work_seconds`, and has every function loaded."""

    def __init__(self, name: str, record: Record, work_seconds: float = 0.02) -> None:
        self.name, self.record, self.work_seconds = name, record, work_seconds
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection; answers come in any order."""
        running: set[asyncio.Task[None]] = set()
        try:
            while line := await reader.readline():
                message = json.loads(line)
                if message["m"] == "DO":
                    task = asyncio.create_task(self.run(message, writer))
                    running.add(task)
                    task.add_done_callback(running.discard)
                elif message["m"] == "PIN":
                    self.answer(writer, "DONE", message["txn"], {"instances": 1})
        except READ_ERRORS:
            pass
        finally:
            writer.close()

    async def run(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Runs one request."""
        self.record.write("ran", worker=self.name, id=message["txn"])
        await asyncio.sleep(self.work_seconds)
        self.answer(writer, "DONE", message["txn"], {"why": "resident"}, message["raw"])

    @staticmethod
    def answer(
        writer: asyncio.StreamWriter, word: str, txn: str, props: dict[str, Any], raw: str = ""
    ) -> None:
        """Writes one answer."""
        if not writer.is_closing():
            line = json.dumps({"m": word, "txn": txn, "props": props, "raw": raw})
            writer.write(line.encode() + b"\n")


class Journal:
    """The journal service: the list of the configuration stands, and an empty frame comes each second."""

    def __init__(self) -> None:
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    @staticmethod
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one dispatcher."""
        try:
            await reader.readexactly(8)
            while True:
                writer.write(struct.pack(">IQB", 9, 1, 0))
                await writer.drain()
                await asyncio.sleep(1)
        except READ_ERRORS:
            pass
        finally:
            writer.close()


class Node:
    """A dispatcher, started as the deploy file's `run` says, under the platform's memory limit."""

    def __init__(self, record: Record, folder: Path, memory_mb: int, sockets: int) -> None:
        self.record, self.folder = record, folder
        self.memory_mb, self.sockets = memory_mb, sockets
        self.program = Program("node", record, folder)
        self.port = free_port()
        self.highest_mb = 0.0
        self.was_killed_for_memory = False

    async def start(self, journal: Journal, workers: list[Worker]) -> None:
        """Writes the configuration, starts the program, and waits until a ping says that it is up."""
        members = [
            {
                "id": f"s-{number:08x}",
                "host_port": f"{HOST}:{worker.port}",
                "locality": "east",
                "flavor": "std",
                "cell": 0,
                "phase": "in_service",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for number, worker in enumerate(workers, 1)
        ]
        listen = f"{HOST}:{self.port}"
        content = {
            "name": "n0",
            "listen": listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "journal": f"{HOST}:{journal.port}",
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]},
            "settings": SETTINGS,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(content))
        await self.program.start(
            "martenlead.node", ROUTER_NAME="n0", ROUTER_LISTEN=listen, ROUTER_CONFIG=str(path)
        )
        for _ in range(200):
            await asyncio.sleep(0.1)
            try:
                client = Client(self.port, self.record, "ping")
                await client.connect()
                answer = await client.send("ping", {}, 2)
                client.close()
            except READ_ERRORS:
                continue
            if answer is not None and answer.get("result", {}).get("up") is True:
                return
        raise NotRunError("the node is not ready")

    async def watch_memory(self) -> None:
        """The platform: kills the dispatcher once its memory is over the limit.

        Counts the anonymous memory of its process only: neither its program's files nor shared pages.
        """
        process = self.program.process
        assert process is not None
        while process.returncode is None:
            status = Path(f"/proc/{process.pid}/status").read_text()
            found = re.search(r"RssAnon:\s+(\d+) kB", status)
            if found is not None:
                used_mb = int(found[1]) / 1024
                if used_mb >= self.highest_mb + 5:
                    self.record.write("memory", mb=round(used_mb, 1), limit_mb=self.memory_mb)
                self.highest_mb = max(self.highest_mb, used_mb)
                if used_mb > self.memory_mb:
                    self.was_killed_for_memory = True
                    self.record.write("killed for memory", mb=round(used_mb, 1), limit_mb=self.memory_mb)
                    process.kill()
                    return
            await asyncio.sleep(0.1)


class Client:
    """A usual client: one connection, on which it sends one request after the other."""

    def __init__(self, port: int, record: Record, name: str) -> None:
        self.port, self.record, self.name = port, record, name
        self.number = 0

    async def connect(self) -> None:
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()

    async def send(self, method: str, params: dict[str, Any], seconds: float) -> dict[str, Any] | None:
        """Sends one message; returns its answer, or None where none came in time."""
        self.number += 1
        content = {"jsonrpc": "2.0", "id": self.number, "method": method, "params": params}
        body = json.dumps(content).encode()
        self.writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        try:
            async with asyncio.timeout(seconds):
                head = await self.reader.readuntil(b"\r\n\r\n")
                answer: dict[str, Any] = json.loads(await self.reader.readexactly(int(head.split(b":")[1])))
                return answer
        except TimeoutError:
            return None

    async def call(self) -> str:
        """Sends one request; returns `served`, `refused`, `failed` or `lost`."""
        request_id = uuid.uuid4().hex[:16]
        blob = base64.b64encode(request_id.encode()).decode()
        params = {
            "id": request_id,
            "wait": 2000,
            "tenant": "acme",
            "key": "7f3a9c21e0b4d655",
            "props": "memory_mb:512;lanes:8",
            "blob": blob,
        }
        self.record.write("sent", client=self.name, id=request_id)
        try:
            answer = await self.send("call", params, 2.5)
        except READ_ERRORS:
            answer = None
        outcome, body = "lost", None
        if answer is not None and "result" in answer:
            body = answer["result"]["blob"]
            outcome = "served" if body == blob else "wrong"
        elif answer is not None:
            outcome = "refused" if answer["error"]["code"] == -32001 else "failed"
        self.record.write("answered", client=self.name, id=request_id, outcome=outcome, body=body)
        return outcome

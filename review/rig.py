"""What the cases of this review share: records, programs as processes, and stand-ins that speak HTTP.

The stand-ins follow docs/protocol.md. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 11, 2  # `run.sh` passes BROKEN on as 1: Python itself ends with 1 on errors
READ_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)

Headers = dict[str, str]


class NotRunError(Exception):
    """The case could not be played, so that it says nothing."""


class Record:
    """Writes one line of JSON for each event, with the ms since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now_ms(self) -> float:
        """The ms since the start of the record."""
        return (time.monotonic() - self.started) * 1000

    def write(self, what: str, **about: Any) -> None:
        """Writes one event."""
        line = {"ms": round(self.now_ms(), 1), "what": what, **about}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


def free_port() -> int:
    """A port of the loopback address that nobody listens on now."""
    import socket

    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Program:
    """A program of the project, as a process of its own, started from the root."""

    def __init__(self, name: str, record: Record, folder: Path) -> None:
        self.name, self.record, self.folder = name, record, folder
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *arguments: str, **environment: str) -> None:
        """Starts `.venv/bin/python -m` with these arguments; its log goes to the case's temporary folder."""
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / ".venv/bin/python"),
            "-m",
            *arguments,
            cwd=ROOT,
            env={**os.environ, **environment},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
        )
        self.record.write("started", program=self.name, command=" ".join(["python -m", *arguments[:2]]))

    async def ready_port(self, within: float = 20) -> int:
        """Waits for the line in which the program tells its port."""
        assert self.process is not None and self.process.stdout is not None
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), within)
            return int(json.loads(line)["ready"]["port"])
        except (TimeoutError, ValueError, KeyError) as error:
            raise NotRunError(f"{self.name} is not ready: {error}") from None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        assert self.process is not None
        self.record.write("signal", program=self.name, signal=number.name)
        self.process.send_signal(number)

    async def end(self) -> None:
        """Ends the process, if it still runs."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Reads a start line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    pairs = [line.split(":", 1) for line in lines]
    return start, [(name.strip().lower(), value.strip()) for name, value in pairs]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Reads a message with Content-Length: start line, headers by lower-case name, body."""
    start, pairs = await read_head(reader)
    headers = dict(pairs)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start, headers, body


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    """Encodes a message with Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Roster:
    """Discovery: streams the endpoint list, and each change of it, to edges."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.version = 0
        self.lines: dict[str, dict[str, Any]] = {}
        self.deltas: list[list[dict[str, Any]]] = []  # the change that led to each version
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def publish(self, *lines: dict[str, Any]) -> None:
        """Publishes a new version, in which these endpoints have changed."""
        for line in lines:
            self.lines[line["id"]] = line
        self.version += 1
        self.deltas.append(list(lines))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers `GET /roster?after=V` with a stream that does not end."""
        try:
            start, _, _ = await read_message(reader)
            after = int(start.split()[1].partition("after=")[2] or 0)
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            while True:
                if not 0 < after <= self.version:
                    content = {"version": self.version, "whole": True, "runners": list(self.lines.values())}
                    after = self.version
                elif after < self.version:
                    content = {"version": after + 1, "runners": self.deltas[after]}
                    after += 1
                else:
                    content = {"version": after}
                if "runners" in content:
                    states = {line["id"]: line.get("state", "up") for line in content["runners"]}
                    self.record.write("told", version=after, states=states)
                data = json.dumps(content).encode() + b"\n"
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
                if after == self.version:
                    changed = self.changed
                    try:
                        await asyncio.wait_for(changed.wait(), 0.5)
                    except TimeoutError:
                        continue
        except READ_ERRORS:
            pass
        finally:
            writer.close()


async def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[list[str]]], limit: float) -> int:
    """Plays a case within `limit` seconds; `play` returns what broke the rule, one line each."""
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        breaches = await asyncio.wait_for(play(record, temporary), limit)
    except NotRunError as error:
        record.write("not run", reason=str(error))
        print(f"not run: {error}")
        return NOT_RUN
    except TimeoutError:
        record.write("not run", reason="the time of the case is over")
        print("not run: the time of the case is over")
        return NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {temporary}", file=sys.stderr)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    for breach in breaches:
        record.write("breach", detail=breach)
        print(breach)
    print("the rule was broken" if breaches else "the rule held")
    return BROKEN if breaches else HELD


def main(script: str, play: Callable[[Record, Path], Awaitable[list[str]]], limit: float = 90) -> None:
    """Plays the case of this script, and ends with the status that `run.sh` passes on."""
    try:
        status = asyncio.run(run_case(Path(script).resolve().parent, play, limit))
    except Exception as error:
        print(f"not run: {type(error).__name__}: {error}")
        status = NOT_RUN
    sys.stdout.flush()
    os._exit(status)


def has_trouble() -> bool:
    """Whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"

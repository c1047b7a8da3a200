"""The list of runners, pushed as the protocol has it. What it says and when is written in its settings:
late."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from time import monotonic_ns
from typing import Any
from urllib.parse import parse_qs

import anyio
import msgspec

from martenlead.events.http import Message
from martenlead.events.server import Reply, listen
from martenlead.standins.life import epoch, for_seconds, on_cue, plain, ready, server, until
from martenlead.standins.record import Recorder
from martenlead.standins.settings import Fault, RosterPart

KEPT = 64  # changes kept for those who come back; who missed more is sent the whole list


class Roster:
    def __init__(self, part: RosterPart) -> None:
        self.part = part
        self.record = Recorder(part.record)
        self.version = 1
        self.epoch = monotonic_ns()
        self.born: dict[str, float] = {}
        self.lines: dict[str, dict[str, Any]] = {line["id"]: line for line in part.lines}
        self.changes: dict[int, dict[str, Any]] = {}
        self.changed = anyio.Event()
        self.away_until = 0

    def aged(self, line: dict[str, Any]) -> dict[str, Any]:
        born = self.born.get(line["id"])
        if born is None:
            return line
        return {**line, "age_ms": (monotonic_ns() - self.epoch) / 1e6 - born}

    async def say_all(self) -> None:
        for said in sorted(self.part.says, key=lambda s: s.at_ms):
            await until(self.epoch, said.at_ms)
            name = said.line["id"]
            line = {**self.lines.get(name, {}), **said.line}
            if said.born_ms is not None:
                self.born[name] = said.born_ms
            if line.get("state") == "gone":
                self.lines.pop(name, None)
                self.born.pop(name, None)
            else:
                self.lines[name] = line
            self.version += 1
            self.changes[self.version] = line
            self.changes.pop(self.version - KEPT, None)
            self.changed.set()
            self.changed = anyio.Event()

    async def handle(self, message: Message, _now: int) -> Reply:
        path, _, query = message.target.partition(b"?")
        if path != b"/roster":
            return plain(404)
        if monotonic_ns() < self.away_until:
            return Reply(503, [], b"away", close=True)
        after = int(parse_qs(query.decode()).get("after", ["0"])[0])
        edge = (message.header(b"user-agent") or b"").decode().removeprefix("martenlead/")
        return Reply(200, [(b"content-type", b"application/x-ndjson")], self.stream(edge, after))

    async def stream(self, edge: str, after: int) -> AsyncGenerator[bytes]:
        encode = msgspec.json.encode
        at = after
        while monotonic_ns() >= self.away_until:
            version = self.version
            if at == version:
                changed = self.changed
                with anyio.move_on_after(self.part.keep_alive_ms / 1000):
                    await changed.wait()
                if self.version == at:
                    yield encode({"version": at}) + b"\n"
                continue
            if at > version or not all(v in self.changes for v in range(at + 1, version + 1)) or not at:
                lines = [self.aged(line) for line in self.lines.values()]
                self.told(edge, lines, True, version)
                yield encode({"version": version, "whole": True, "runners": lines}) + b"\n"
                at = version
                continue
            at += 1
            lines = [self.aged(self.changes[at])]
            self.told(edge, lines, False, at)
            yield encode({"version": at, "runners": lines}) + b"\n"

    def told(self, edge: str, lines: list[dict[str, Any]], whole: bool, version: int) -> None:
        said = [[line["id"], line.get("state", "up"), line.get("start", "")] for line in lines]
        self.record("told", edge=edge, whole=whole, version=version, lines=said)

    async def play(self, fault: Fault) -> None:
        self.away_until = monotonic_ns() + int(fault.for_ms * 1e6)
        self.record("away", for_ms=fault.for_ms)

    async def run(self) -> None:
        listener, port = await listen("127.0.0.1", self.part.port)
        ready(port=port)
        async with anyio.create_task_group() as group:
            group.start_soon(server(self.handle).serve, listener)
            self.epoch = await epoch(self.part.epoch_ns)
            group.start_soon(self.say_all)
            await on_cue(self.epoch, self.part.away, self.play)


async def run(part: RosterPart) -> None:
    await for_seconds(part.seconds, Roster(part).run)

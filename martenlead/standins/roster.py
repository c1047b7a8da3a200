"""The endpoint list's server; its settings say when it publishes which update, also later than the change."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from time import monotonic_ns
from typing import Any
from urllib.parse import parse_qs

import anyio
import msgspec

from martenlead.events.http import Message
from martenlead.events.server import Reply, listen
from martenlead.standins.crowding import EndpointTable
from martenlead.standins.life import (
    announce_ready,
    make_server,
    run_faults,
    run_for,
    sleep_until,
    text_reply,
    wait_for_epoch,
)
from martenlead.standins.record import RecordWriter
from martenlead.standins.settings import EndpointServerSettings, Fault


class EndpointListServer:
    """Streams the endpoint list to edges as the protocol describes it."""

    def __init__(self, settings: EndpointServerSettings) -> None:
        self.settings = settings
        self.write_record = RecordWriter(settings.record)
        self.epoch_ns = monotonic_ns()
        self.endpoints = EndpointTable(settings.lines)
        self.changed = anyio.Event()
        self.unavailable_until = 0

    async def publish_updates(self) -> None:
        """Applies each scheduled update at its time and wakes the streams."""
        for update in sorted(self.settings.says, key=lambda s: s.at_ms):
            await sleep_until(self.epoch_ns, update.at_ms)
            self.endpoints.apply(update.line, update.born_ms)
            self.changed.set()
            self.changed = anyio.Event()

    async def handle(self, message: Message, _now: int) -> Reply:
        """Answers a subscription with a stream."""
        path, _, query = message.target.partition(b"?")
        if path != b"/roster":
            return text_reply(404)
        if monotonic_ns() < self.unavailable_until:
            return Reply(503, [], b"away", close=True)
        version = int(parse_qs(query.decode()).get("after", ["0"])[0])
        edge = (message.header(b"user-agent") or b"").decode().removeprefix("martenlead/")
        return Reply(200, [(b"content-type", b"application/x-ndjson")], self.stream(edge, version))

    async def stream(self, edge: str, version: int) -> AsyncGenerator[bytes]:
        """The updates after a version, with keep-alive lines between them."""
        encode = msgspec.json.encode
        current = version
        while monotonic_ns() >= self.unavailable_until:
            if current == self.endpoints.version:
                changed = self.changed
                with anyio.move_on_after(self.settings.keep_alive_ms / 1000):
                    await changed.wait()
                if self.endpoints.version == current:
                    yield encode({"version": current}) + b"\n"
                continue
            current, changed_endpoints, is_snapshot = self.endpoints.updates_after(current)
            day_ms = (monotonic_ns() - self.epoch_ns) / 1e6
            endpoints = [self.endpoints.with_age(line, day_ms) for line in changed_endpoints]
            self.record_update(edge, endpoints, is_snapshot, current)
            message = (
                {"version": current, "whole": True, "runners": endpoints}
                if is_snapshot
                else {"version": current, "runners": endpoints}
            )
            yield encode(message) + b"\n"

    def record_update(
        self, edge: str, endpoints: list[dict[str, Any]], is_snapshot: bool, version: int
    ) -> None:
        """Records the states that an edge was sent."""
        states = [
            [endpoint["id"], endpoint.get("state", "up"), endpoint.get("start", "")] for endpoint in endpoints
        ]
        self.write_record("told", edge=edge, whole=is_snapshot, version=version, lines=states)

    async def apply_fault(self, fault: Fault) -> None:
        """Makes the list unavailable for the fault's duration."""
        self.unavailable_until = monotonic_ns() + int(fault.for_ms * 1e6)
        self.write_record("away", for_ms=fault.for_ms)

    async def run(self) -> None:
        """Serves the list and plays its updates and outages."""
        listener, port = await listen("127.0.0.1", self.settings.port)
        announce_ready(port=port)
        async with anyio.create_task_group() as group:
            group.start_soon(make_server(self.handle).serve, listener)
            self.epoch_ns = await wait_for_epoch(self.settings.epoch_ns)
            group.start_soon(self.publish_updates)
            await run_faults(self.epoch_ns, self.settings.away, self.apply_fault)


async def run(settings: EndpointServerSettings) -> None:
    """Runs the server's process; `martenlead standin roster`."""
    await run_for(settings.seconds, EndpointListServer(settings).run)

"""An artifact store that simulates fetches by their duration: it slows down under load, rejects requests
beyond a limit, and stops when overloaded.
"""

from __future__ import annotations

from time import monotonic_ns
from urllib.parse import parse_qs

import anyio

from martenlead.events.http import Message
from martenlead.events.server import Reply, listen
from martenlead.standins.crowding import OverloadDetector
from martenlead.standins.life import (
    announce_ready,
    make_server,
    run_faults,
    run_for,
    text_reply,
    wait_for_epoch,
)
from martenlead.standins.record import RecordWriter
from martenlead.standins.settings import Fault, TimedStoreSettings


class TimedStore:
    """Serves `GET /models/NAME?ms=N` with the duration of a fetch and no data."""

    def __init__(self, settings: TimedStoreSettings) -> None:
        self.settings = settings
        self.write_record = RecordWriter(settings.record)
        self.active_fetches = 0
        self.down_until = 0
        self.overload = OverloadDetector(settings.fall_multiple, settings.fall_ms)

    async def handle(self, message: Message, now: int) -> Reply:
        """`GET /models/NAME?ms=N`: N ms of fetching at full speed."""
        settings = self.settings
        function = message.target.split(b"?")[0].rsplit(b"/", 1)[-1].decode()
        fetch_ms = float(parse_qs(message.target.partition(b"?")[2].decode()).get("ms", ["0"])[0])
        load = self.active_fetches / settings.pace
        if self.overload.is_overloaded(now, load):
            self.down_until = now + int(settings.down_ms * 1e6)
        if now < self.down_until or self.active_fetches >= settings.most:
            self.write_record("turned away", model=function, active=self.active_fetches)
            return text_reply(503, "crowded")
        self.write_record("fetch", model=function, active=self.active_fetches)
        self.active_fetches += 1
        try:
            left_s = fetch_ms / 1000
            while left_s > 0:
                step = min(left_s, 0.05)
                await anyio.sleep(step * max(1.0, self.active_fetches / settings.pace))
                left_s -= step
                if monotonic_ns() < self.down_until:
                    return text_reply(503, "stopped")
        finally:
            self.active_fetches -= 1
        return text_reply(200, "model")

    async def apply_fault(self, fault: Fault) -> None:
        """Stops the store for the fault's duration."""
        self.down_until = monotonic_ns() + int(fault.for_ms * 1e6)
        self.write_record("down", for_ms=fault.for_ms)

    async def run(self) -> None:
        """Serves fetches and applies the faults."""
        listener, port = await listen("127.0.0.1", self.settings.port)
        announce_ready(port=port)
        async with anyio.create_task_group() as group:
            group.start_soon(make_server(self.handle).serve, listener)
            await run_faults(
                await wait_for_epoch(self.settings.epoch_ns), self.settings.faults, self.apply_fault
            )


async def run(settings: TimedStoreSettings) -> None:
    """Runs the store's process; `martenlead standin vault`."""
    await run_for(settings.seconds, TimedStore(settings).run)

"""Clients with patience, repeats and customers. Tasks come at their own times, whatever becomes of those
before."""

from __future__ import annotations

from datetime import UTC, datetime
from random import Random
from time import monotonic_ns
from typing import Any

import anyio

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.cloudevent import Event, encode_event, encode_json_event
from martenlead.standins.demand import Call, Demand
from martenlead.standins.life import epoch, for_seconds, on_cue, ready, until
from martenlead.standins.record import Recorder
from martenlead.standins.settings import Clients, Fault
from martenlead.standins.traced import Traced
from martenlead.system.clocks import wall_ns

FINALS = {200: "satisfied", 429: "turned back", 503: "turned back", 502: "scrapped", 504: "scrapped"}


class Crowd:
    def __init__(self, settings: Clients) -> None:
        self.settings = settings
        self.record = Recorder(settings.record)
        self.pools = [
            Pool(e.host, e.port, connection_limit=8192, idle_timeout_ns=20_000_000_000)
            for e in settings.edges
        ]
        self.demand = Demand(settings, len(self.pools), monotonic_ns)

    async def arrivals(self, begin: int, group: anyio.abc.TaskGroup) -> None:
        if self.settings.trace is not None:
            traced = Traced(self.settings, self.settings.mapping, monotonic_ns)
            for when, call in traced.calls():
                await until(begin, when)
                group.start_soon(self.follow, call())
            return
        at = 0.0
        while True:
            at += self.demand.gap_ms()
            if at > self.settings.seconds * 1000:
                return
            await until(begin, at)
            group.start_soon(self.follow, self.demand.call())

    # -- one task, over its tries

    async def follow(self, call: Call) -> None:
        chance = self.demand.chance_of(call)
        while True:
            final, wait = await self.a_try(call, chance)
            pause = self.demand.pause_ms(call, chance, final, wait)
            if pause is None:
                return
            await anyio.sleep(pause / 1000)

    async def a_try(self, call: Call, chance: Random) -> tuple[str, float]:
        """The final answer, or how it was missed, and the wait (ms) that was asked for."""
        settings, offering = self.settings, call.offering
        told = self.demand.attempt(call, chance)
        at, name, give_up, leaves = told.edge, told.name, told.give_up, told.leaves
        event = Event(
            {
                "specversion": "1.0",
                "id": str(call.number),
                "source": "/portal",
                "type": offering.name,
                "model": call.model,
                "lanes": offering.lanes,
                "memorymb": int(offering.memory_mb),
                "costms": int(call.cost_ms),
                "timeleftms": max(0, (give_up - monotonic_ns()) // 1_000_000),
                "tryid": name,
                "traceparent": f"00-{call.number:032x}-{call.tries + 1:016x}-01",
            },
            b'{"borrower":1}',
            "application/json",
        )
        if settings.expiry:  # also covers what passes before the edge reads it
            left = (give_up - monotonic_ns()) / 1e9
            event.attributes["expirytime"] = datetime.fromtimestamp(wall_ns() / 1e9 + left, UTC).isoformat()
        if call.customer:
            event.attributes["customer"] = call.customer
        if call.again:
            event.attributes["again"] = True
        if call.appointment:
            event.attributes["appointment"] = call.appointment
        if told.structured:
            headers, body = [(b"content-type", b"application/cloudevents+json")], encode_json_event(event)
        else:
            headers, body = encode_event(event)
        pool = self.pools[at]
        about: dict[str, Any] = {"try": name, "id": str(call.number), "edge": at}
        self.record(
            "sent",
            give_up=give_up,
            offering=offering.name,
            model=call.model,
            customer=call.customer,
            first=not call.tries,
            until=call.until,
            leaves=leaves if leaves < give_up else None,
            **about,
        )
        slack = 0 if leaves < give_up else settings.slack_ms / 1000
        exchange = None
        strays = pool.stray_responses
        with anyio.move_on_after(max(0.0, leaves - monotonic_ns()) / 1e9 + slack):
            exchange = await pool.exchange(http.request(b"POST", b"/", b"edge", headers, body))
        if pool.stray_responses > strays:
            self.record("stray", edge=at)
        if exchange is None:
            self.record("left" if leaves < give_up else "no answer", **about)
            return "left" if leaves < give_up else "no answer", 0
        message = exchange.message
        if message is None:
            refused = exchange.end.name in ("REFUSED", "CONNECT_TIMEOUT", "NO_SLOT")
            self.record("unreached" if refused else "broken", why=exchange.end.name, **about)
            if refused:
                self.demand.refused(at)
            return "unreached" if refused else "broken", 0
        final = FINALS.get(message.status, "refused")
        wait = message.header(b"martenlead-retry-after-ms")
        call.appointment = (message.header(b"martenlead-appointment") or b"").decode("latin-1")
        if message.header(b"martenlead-door") is not None:
            about = {**about, "door": True}
        self.record(
            "answer", status=message.status, final=final, wait_ms=float(wait) if wait else None, **about
        )
        return final, float(wait) if wait else 0.0

    async def play(self, fault: Fault) -> None:
        self.record("fault", kind=fault.kind, for_ms=fault.for_ms)
        self.demand.begins(fault)
        await anyio.sleep(fault.for_ms / 1000)
        self.demand.ends(fault)

    async def run(self) -> None:
        ready()
        begin = await epoch(self.settings.epoch_ns)
        async with anyio.create_task_group() as group:
            group.start_soon(on_cue, begin, self.settings.faults, self.play)
            await self.arrivals(begin, group)
        strays = 0
        for pool in self.pools:
            before = pool.stray_responses
            await pool.close()
            strays += pool.stray_responses - before
        if strays:
            self.record("stray", edge=-1)
        self.record("over")


async def run(settings: Clients) -> None:
    await for_seconds(settings.seconds + 120, Crowd(settings).run)

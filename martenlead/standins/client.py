"""Open-loop clients that retry, give up and leave early: requests are sent at their own times, independent of
earlier ones.
"""

from __future__ import annotations

from datetime import UTC, datetime
from random import Random
from time import monotonic_ns
from typing import Any

import anyio

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.cloudevent import Event, encode_event, encode_json_event
from martenlead.standins.demand import ClientRequest, RequestGenerator
from martenlead.standins.life import announce_ready, run_faults, run_for, sleep_until, wait_for_epoch
from martenlead.standins.record import RecordWriter
from martenlead.standins.settings import ClientsSettings, Fault
from martenlead.standins.traced import TraceRequests
from martenlead.system.clocks import wall_ns

FINAL_BY_STATUS = {200: "satisfied", 429: "turned back", 503: "turned back", 502: "scrapped", 504: "scrapped"}


class ScriptedClients:
    """All clients of a day, in one process."""

    def __init__(self, settings: ClientsSettings) -> None:
        self.settings = settings
        self.write_record = RecordWriter(settings.record)
        self.pools = [
            Pool(e.host, e.port, connection_limit=8192, idle_timeout_ns=20_000_000_000)
            for e in settings.edges
        ]
        self.generator = RequestGenerator(settings, len(self.pools), monotonic_ns)

    async def send_requests(self, begin: int, group: anyio.abc.TaskGroup) -> None:
        """Starts each request at its time, from the trace or from the generator."""
        if self.settings.trace is not None:
            trace = TraceRequests(self.settings, self.settings.mapping, monotonic_ns)
            for at_ms, make_request in trace.requests():
                await sleep_until(begin, at_ms)
                group.start_soon(self.follow_request, make_request())
            return
        at_ms = 0.0
        while True:
            at_ms += self.generator.next_interval_ms()
            if at_ms > self.settings.seconds * 1000:
                return
            await sleep_until(begin, at_ms)
            group.start_soon(self.follow_request, self.generator.next_request())

    # -- one request, over its tries

    async def follow_request(self, request: ClientRequest) -> None:
        """Sends a request, and its retries until there are no more."""
        random = self.generator.random_for(request)
        while True:
            final, wait_ms = await self.send_try(request, random)
            delay_ms = self.generator.retry_delay_ms(request, random, final, wait_ms)
            if delay_ms is None:
                return
            await anyio.sleep(delay_ms / 1000)

    async def send_try(self, request: ClientRequest, random: Random) -> tuple[str, float]:
        """Sends one try; returns the final response, or why there was none, and the Retry-After in ms (0 for
        none).
        """
        settings, request_class = self.settings, request.request_class
        client_try = self.generator.next_try(request, random)
        edge, name, gives_up_at, leaves_at = (
            client_try.edge,
            client_try.name,
            client_try.gives_up_at,
            client_try.leaves_at,
        )
        event = Event(
            {
                "specversion": "1.0",
                "id": str(request.number),
                "source": "/portal",
                "type": request_class.name,
                "model": request.function,
                "lanes": request_class.lanes,
                "memorymb": int(request_class.memory_mb),
                "costms": int(request.cost_ms),
                "timeleftms": max(0, (gives_up_at - monotonic_ns()) // 1_000_000),
                "tryid": name,
                "traceparent": f"00-{request.number:032x}-{request.try_count + 1:016x}-01",
            },
            b'{"borrower":1}',
            "application/json",
        )
        if settings.expiry:  # also counts the time before the edge reads the request
            left_s = (gives_up_at - monotonic_ns()) / 1e9
            event.attributes["expirytime"] = datetime.fromtimestamp(wall_ns() / 1e9 + left_s, UTC).isoformat()
        if request.tenant:
            event.attributes["customer"] = request.tenant
        if request.is_retry:
            event.attributes["again"] = True
        if request.reservation:
            event.attributes["appointment"] = request.reservation
        if client_try.is_structured:
            headers, body = [(b"content-type", b"application/cloudevents+json")], encode_json_event(event)
        else:
            headers, body = encode_event(event)
        pool = self.pools[edge]
        identity: dict[str, Any] = {"try": name, "id": str(request.number), "edge": edge}
        self.write_record(
            "sent",
            give_up=gives_up_at,
            offering=request_class.name,
            model=request.function,
            customer=request.tenant,
            first=not request.try_count,
            until=request.deadline,
            leaves=leaves_at if leaves_at < gives_up_at else None,
            **identity,
        )
        slack = 0 if leaves_at < gives_up_at else settings.slack_ms / 1000
        exchange = None
        strays = pool.stray_responses
        with anyio.move_on_after(max(0.0, leaves_at - monotonic_ns()) / 1e9 + slack):
            exchange = await pool.exchange(http.request(b"POST", b"/", b"edge", headers, body))
        if pool.stray_responses > strays:
            self.write_record("stray", edge=edge)
        if exchange is None:
            self.write_record("left" if leaves_at < gives_up_at else "no answer", **identity)
            return "left" if leaves_at < gives_up_at else "no answer", 0
        message = exchange.message
        if message is None:
            is_unreachable = exchange.end.name in ("REFUSED", "CONNECT_TIMEOUT", "NO_SLOT")
            self.write_record("unreached" if is_unreachable else "broken", why=exchange.end.name, **identity)
            if is_unreachable:
                self.generator.mark_unreachable(edge)
            return "unreached" if is_unreachable else "broken", 0
        final = FINAL_BY_STATUS.get(message.status, "refused")
        wait = message.header(b"martenlead-retry-after-ms")
        request.reservation = (message.header(b"martenlead-appointment") or b"").decode("latin-1")
        if message.header(b"martenlead-door") is not None:
            identity = {**identity, "door": True}
        self.write_record(
            "answer", status=message.status, final=final, wait_ms=float(wait) if wait else None, **identity
        )
        return final, float(wait) if wait else 0.0

    async def apply_fault(self, fault: Fault) -> None:
        """Applies a fault for its duration."""
        self.write_record("fault", kind=fault.kind, for_ms=fault.for_ms)
        self.generator.start_fault(fault)
        await anyio.sleep(fault.for_ms / 1000)
        self.generator.end_fault(fault)

    async def run(self) -> None:
        """Runs the clients until all requests of the day have ended."""
        announce_ready()
        begin = await wait_for_epoch(self.settings.epoch_ns)
        async with anyio.create_task_group() as group:
            group.start_soon(run_faults, begin, self.settings.faults, self.apply_fault)
            await self.send_requests(begin, group)
        stray_count = 0
        for pool in self.pools:
            before = pool.stray_responses
            await pool.close()
            stray_count += pool.stray_responses - before
        if stray_count:
            self.write_record("stray", edge=-1)
        self.write_record("over")


async def run(settings: ClientsSettings) -> None:
    """Runs the clients' process; `martenlead standin client`."""
    await run_for(settings.seconds + 120, ScriptedClients(settings).run)

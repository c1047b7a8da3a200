"""HTTP as one link to runners and one source of the roster: docs/protocol.md.

A hand-off or an order is one exchange on a pooled connection, in a task of the link's own group.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import monotonic_ns

import anyio
import anyio.to_thread
import msgspec
import structlog
from anyio.abc import TaskGroup

from martenlead.config.edge import Edge, ns, settings
from martenlead.edge.border import Tape
from martenlead.edge.client import Pending
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.records import About, Box, Known, Out
from martenlead.events import http
from martenlead.events.client import Exchange, Pool, Sending
from martenlead.policy.types import Result
from martenlead.runnerlink import orders, outcomes, roster
from martenlead.runnerlink.follow import follow
from martenlead.runnerlink.heard import Heard
from martenlead.system.durable_file import Backoff, remove_leftovers
from martenlead.system.state_saver import SaveHealth, StateSaver

RELAYED_ANEW = frozenset({b"ce-timeleftms", b"ce-handoff"})


@dataclass(slots=True)
class Content:
    """An event in binary mode, as runners get it."""

    headers: http.Headers
    body: bytes
    lines: bytes | None = None  # of the headers, as every hand-off sends them


class Way:
    def __init__(self, line: roster.Line, edge: Edge) -> None:
        limits = edge.limits
        self.host = f"{line.host}:{line.port}".encode()
        self.pool = Pool(
            line.host,
            line.port,
            most=limits.runner_connections,
            connect=ns(limits.connect_ms),
            limits=http.Limits(limits.head_bytes, limits.body_bytes),
        )

    @property
    def open(self) -> int:
        return self.pool.open

    @property
    def opened(self) -> int:
        return self.pool.opened


class HttpLink:
    def __init__(self, edge: Edge) -> None:
        self.edge = edge
        self.agent = f"martenlead/{edge.name}".encode()
        self.dispatcher: Dispatcher
        self.group: TaskGroup
        self._off: set[Out] = set()

    def use(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            if self.edge.probes:
                await self._probe_all(ns(self.edge.probes.every_ms))
            await anyio.sleep_forever()

    def way(self, line: roster.Line) -> Way:
        return Way(line, self.edge)

    def leave(self, way: Way) -> None:
        self.group.start_soon(way.pool.close)

    # -- hand-offs

    def hand_off(self, out: Out) -> None:
        out.at = anyio.CancelScope()
        self.group.start_soon(self._carry, out)

    def call_off(self, out: Out) -> None:
        self._off.add(out)
        out.at.cancel()

    async def _carry(self, out: Out) -> None:
        """One hand-off from its decision to its end. Whatever happens on the socket, there is exactly one."""
        hand_off, way, clock = out.hand_off, out.box.way, self.dispatcher.clock
        sending = Sending(lambda: clock() <= hand_off.begin_by_ns and self._has_client(out))
        exchange: Exchange | None = None
        left = hand_off.sent_ns + hand_off.timeout_ns - clock()
        if left <= 0:
            heard = Heard(Result.NOT_SENT, why="the time was over before it was sent")
            self.dispatcher.ended(out, heard)
            return
        if not self._has_client(out):
            self.dispatcher.ended(out, Heard(Result.NOT_SENT, why="its client has left"))
            return
        out.at.deadline = anyio.current_time() + left / 1e9
        try:
            with out.at:
                exchange = await way.pool.exchange(lambda: self._request(out, way), sending)
        except Exception as error:  # the end is told all the same, with what may have run
            self.dispatcher.fault(error)
        finally:  # the module is owed one answer all the same
            if exchange is not None:
                told = outcomes.heard(exchange)
                if exchange.message is not None:
                    told.report = orders.report(exchange.message.header(outcomes.REPORT))
            else:
                off = out in self._off or clock() < hand_off.sent_ns + hand_off.timeout_ns
                told = outcomes.without_answer(called_off=off, wrote=sending.wrote)
            self._off.discard(out)
            self.dispatcher.ended(out, told)

    @staticmethod
    def _has_client(out: Out) -> bool:
        """Whether somebody waits for it. Where its client has left, its request ends."""
        held = out.held
        if held.final is None and held.client is not None and held.client.pending() is Pending.END:
            held.client.leave(held)
        return held.final is None

    def _request(self, out: Out, way: Way) -> bytes:
        """Made as it leaves: the time left that it states does not count the wait for a connection."""
        content: Content = out.held.content
        left = max(0, out.hand_off.sent_ns + out.hand_off.timeout_ns - self.dispatcher.clock())
        if content.lines is None:
            content.lines = b"".join(b"%b: %b\r\n" % p for p in content.headers if p[0] not in RELAYED_ANEW)
        return (
            b"POST / HTTP/1.1\r\nhost: %b\r\nuser-agent: %b\r\n%bce-timeleftms: %d\r\nce-handoff: %d\r\n"
            b"content-length: %d\r\n\r\n%b"
            % (
                way.host,
                self.agent,
                content.lines,
                left // 1_000_000,
                out.number,
                len(content.body),
                content.body,
            )
        )

    # -- orders and probes

    def order(self, box: Box, known: Known, copies: int, told: Callable[[Heard], None]) -> None:
        self.group.start_soon(self._order, box, known, copies, told)

    async def _order(self, box: Box, known: Known, copies: int, told: Callable[[Heard], None]) -> None:
        way = box.way
        data = orders.load(way.host, self.agent, known.name, copies, known.memory_mb, known.lanes)
        heard = Heard(Result.NO_RESPONSE, why="no answer")
        try:
            with anyio.move_on_after(self.edge.models.order_limit_ms / 1000):
                exchange = await way.pool.exchange(data)
                heard.result, heard.why = outcomes.ordered(exchange)
                heard.copies = orders.standing(exchange)
                if exchange.message is not None:
                    heard.failure = outcomes.failed(exchange.message)
                    heard.drains = exchange.message.header(outcomes.STATE) == b"draining"
        except Exception as error:
            self.dispatcher.fault(error)
        told(heard)

    async def _probe_all(self, every: int) -> None:
        dispatcher = self.dispatcher
        while True:
            for box in list(dispatcher.boxes.values()):
                if box.line.id in dispatcher.list.lines and box.line.state == "up":
                    self.group.start_soon(self._probe, box, every)
            await anyio.sleep(every / 1e9)

    async def _probe(self, box: Box, within: int) -> None:
        try:
            with anyio.move_on_after(within / 1e9):
                exchange = await box.way.pool.exchange(orders.probe(box.way.host, self.agent))
                if exchange.message:
                    box.reported.update(orders.report(exchange.message.header(outcomes.REPORT)))
                    if exchange.message.header(outcomes.STATE) == b"draining":
                        self.dispatcher.drains(box)
        except Exception as error:  # costs this probe, not the link and the program
            self.dispatcher.fault(error)


class HttpRoster:
    """The roster's stream, and the list that is kept on disk for the next start."""

    def __init__(self, edge: Edge) -> None:
        self.edge = edge
        self.list = roster.List()
        self.log = structlog.get_logger().bind(edge=edge.name)
        self._saver: StateSaver[roster.Kept] | None = None

    async def run(self, dispatcher: Dispatcher) -> None:
        path = Path(self.edge.roster.kept) if self.edge.roster.kept else None
        if path is not None:
            self._saver = self._make_saver(path, dispatcher)

        def told(news: roster.News) -> None:
            dispatcher.news(news.runners or [], news.whole)
            if self._saver is not None:
                self._saver.changed()

        def lost(why: str) -> None:
            dispatcher.counts["roster", "lost"] += 1
            self.log.warning("no roster; the last list stands", why=why, runners=len(self.list.lines))

        async with anyio.create_task_group() as group:
            if path is not None and self._saver is not None:
                if not self._start_with_kept(path, dispatcher):
                    group.start_soon(self._read_again, path, dispatcher)
                group.start_soon(self._saver.run)
            await follow(
                self.edge.roster,
                f"martenlead/{self.edge.name}".encode(),
                self.list,
                told=told,
                lost=lost,
                fault=dispatcher.fault,
                pick=dispatcher.chance.random,
            )

    def _start_with_kept(self, path: Path, dispatcher: Dispatcher) -> bool:
        """Whether the kept list is done with: taken up, or not there."""
        try:
            found = roster.kept(path)
        except OSError as error:
            self.log.warning("list_unread", why=str(error))
            return False
        self._take_up(found, dispatcher)
        return True

    async def _read_again(self, path: Path, dispatcher: Dispatcher) -> None:
        """A kept list that could not be read at the start is of use until the roster has answered."""
        backoff = Backoff(Random(self.edge.name))
        while True:
            await anyio.sleep(backoff.next_seconds())
            found = None
            with suppress(OSError):
                found = await anyio.to_thread.run_sync(roster.kept, path)
            if dispatcher.listed.is_set():
                return
            if found is not None:
                self._take_up(found, dispatcher)

    def _take_up(self, found: roster.Kept | None, dispatcher: Dispatcher) -> None:
        if found is None:
            return
        self.list.version = 0  # whatever was missed since is asked for whole
        self.list.lines = {line.id: line for line in found.runners}
        dispatcher.news(list(self.list.lines.values()), True)
        self.log.info("starts with the kept list", runners=len(found.runners))

    def _make_saver(self, path: Path, dispatcher: Dispatcher) -> StateSaver[roster.Kept]:
        """Writes the list whenever it has changed: off the event loop, since a disk may take its time, and
        only the latest, however many came meanwhile."""
        remove_leftovers(path)
        health = SaveHealth(
            "list",
            self.log,
            Backoff(Random(self.edge.name)),
            count=lambda event, state: dispatcher.counts.update([(event, state)]),
        )
        return StateSaver(lambda: self._snapshot(dispatcher), lambda kept: roster.keep(path, kept), health)

    def _snapshot(self, dispatcher: Dispatcher) -> roster.Kept:
        now = dispatcher.clock()
        kept = []
        for line in self.list.lines.values():
            since = dispatcher.boxes[line.id].since
            kept.append(msgspec.structs.replace(line, age_ms=(now - since) / 1e6 if since else None))
        return roster.dated(self.list.version, kept)


def dispatcher(edge: Edge, clock: Callable[[], int] = monotonic_ns, tape: Tape | None = None) -> Dispatcher:
    """The dispatcher of an edge that speaks HTTP."""
    told, offerings, customers = settings(edge)
    seed = edge.seed if edge.seed is not None else int.from_bytes(Random().randbytes(8), "big")
    about = About(
        name=edge.name,
        seed=seed,
        settings=told,
        offerings=offerings,
        customers=customers,
        hard={o.name: ns(o.hard_limit_ms) for o in edge.offerings},
        margin=ns(edge.margin_ms),
        models=edge.limits.known_models,
        decisions=edge.log.decisions,
    )
    return Dispatcher(about, HttpLink(edge), HttpRoster(edge), clock, tape)

"""Planners in virtual time, and the links between them and the dispatchers: both ends as they are on
sockets, frames carried in ns. A planner that hangs takes frames in and does nothing; one that dies
breaks its links."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from martenlead.config.edge import EdgeSettings as EdgeSettings
from martenlead.config.edge import ms_to_ns
from martenlead.emulator.kernel import Kernel, Signal, Steps
from martenlead.emulator.records import Records
from martenlead.planner import frames as fr
from martenlead.planner.link import LinkProtocolError
from martenlead.planner.planner_client import LEASE_CHECK_INTERVAL_NS, PlannerClient
from martenlead.planner.planner_session import PlannerSession
from martenlead.planner.server import REFRESH_INTERVAL_SECONDS, Planner
from martenlead.planner.settings import PlannerSettings
from martenlead.system.clocks import Moment

START_UP = 600_000_000  # ns that a planner's process takes until it listens
STEP = 5_000_000  # ns between two looks of a planner at its links


class PlannerFleet(Protocol):
    """What planners and their links need of the fleet. `client_way` is ns one way."""

    kernel: Kernel
    process_records: Records
    client_way: int
    planners: list[PlannerProcess]


class LinkedDispatcher(Protocol):
    """A dispatcher, as its links to the planners see it."""

    kernel: Kernel
    name: str
    about: EdgeSettings
    life: int
    up: bool
    side: PlannerClient | None

    @property
    def fleet(self) -> PlannerFleet:
        """The fleet that it is part of."""

    def _run_due(self) -> None:
        """Sets the dispatcher's timer anew, after its policy may have changed what is due."""


class PlannerProcess:
    """One planner, over its lives; what it keeps on disk outlives them."""

    def __init__(self, fleet: PlannerFleet, number: int) -> None:
        self.fleet, self.kernel, self.number = fleet, fleet.kernel, number
        self.life, self.up, self.hangs = 0, False, False
        self.planner: Planner | None = None
        self.links: dict[str, Link] = {}
        self.start()

    def start(self) -> None:
        before = self.planner
        self.life += 1
        self.up, self.hangs = True, False
        settings = PlannerSettings(name=f"planner-{self.number}")
        self.planner = Planner(settings, self.kernel.clock, self._moment)
        self.planner.incarnation = f"{self.number}-{self.life}"
        if before is not None:
            self.planner.store.saved = before.store.saved
        self.kernel.spawn(self._keeps(self.life))

    def _moment(self) -> Moment:
        """Virtual time: it is never stepped, and the machine never starts anew."""
        return Moment(self.kernel.now, "virtual", self.kernel.now)

    def _keeps(self, life: int) -> Steps:
        while life == self.life:
            yield int(REFRESH_INTERVAL_SECONDS * 1e9)
            if life == self.life and not self.hangs and self.planner is not None:
                self.planner.refresh_saved_replicas()

    def does(self, what: str) -> None:
        self.fleet.process_records(f"planner {what}", planner=self.number)
        match what:
            case "kill" if self.up:
                self.up = False
                self.life += 1
                for link in list(self.links.values()):
                    link.break_()
            case "start" if not self.up:
                self.kernel.after(START_UP, self._started)
            case "stop":
                self.hangs = True
            case "go":
                self.hangs = False

    def _started(self) -> None:
        if not self.up:
            self.start()


class Link:
    """One connection: frames in both directions, in order, each after the way."""

    def __init__(self, edge: LinkedDispatcher, at: PlannerProcess) -> None:
        assert edge.side is not None and at.planner is not None
        self.edge, self.at, self.side = edge, at, edge.side
        self.kernel, self.way = edge.kernel, edge.fleet.client_way
        self.broken = Signal()
        self.readers = fr.FrameReader(), fr.FrameReader()
        self.end: PlannerSession | None = None
        self.waiting: list[bytes] = []  # for a planner that hangs

    def break_(self) -> None:
        if self.at.links.get(self.edge.name) is self:
            del self.at.links[self.edge.name]
        self.kernel.come(self.broken)

    def guard(self, work: Callable[[], None]) -> None:
        try:
            work()
        except (LinkProtocolError, fr.FrameError):
            self.break_()

    def to_planner(self, data: bytes) -> None:
        self.waiting.append(data)
        if not self.broken.come and not self.at.hangs:
            self.guard(self._read)

    def _read(self) -> None:
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            for message in self.readers[0].feed(data):
                if self.end is None:
                    if not isinstance(message, fr.Hello):
                        raise LinkProtocolError("a Hello was expected first")
                    assert self.at.planner is not None
                    older = self.at.links.pop(message.edge_name, None)
                    if older is not None:
                        older.break_()
                    self.at.links[message.edge_name] = self
                    self.end = self.at.planner.get_session(message.edge_name)
                    self.end.connection_made()
                self.end.receive_message(message)

    def to_edge(self, data: bytes) -> None:
        if not self.broken.come and self.edge.up and self.edge.side is self.side:
            self.guard(lambda: self._apply(data))

    def _apply(self, data: bytes) -> None:
        for message in self.readers[1].feed(data):
            self.side.session.receive_message(message)
        self.side.apply_decisions()

    def pump(self) -> None:
        """What either side has to say."""
        while (data := self.side.session.next_frame()) is not None:
            self.kernel.after(self.way, self.to_planner, data)
        if self.at.hangs or not self.at.up:
            return
        if self.waiting:
            self._read()
        if self.end is not None:
            self.end.poll()
            while (data := self.end.next_frame()) is not None:
                self.kernel.after(self.way, self.to_edge, data)


def looks(edge: LinkedDispatcher, side: PlannerClient, life: int) -> Steps:
    while edge.life == life and edge.about.functions.may_request_loads:
        side.check_lease()
        edge._run_due()
        yield LEASE_CHECK_INTERVAL_NS


def links(edge: LinkedDispatcher, side: PlannerClient, life: int) -> Steps:
    """Keeps one dispatcher, in one of its lives, linked: the planners in their order."""
    assert edge.about.planner is not None
    told = edge.about.planner
    fleet = edge.fleet
    at, retry = 0, ms_to_ns(told.retry_ms)
    wait = retry
    while edge.life == life:
        process = fleet.planners[told.at[at % len(told.at)].port - 1]
        if process.up:
            link = Link(edge, process)
            side.session.connection_made()
            quiet = edge.kernel.now
            while edge.life == life and not link.broken.come:
                link.guard(link.pump)
                # one that hangs takes in what is sent, as the kernel's buffers do, and then no more
                if (
                    process.hangs
                    and edge.kernel.now - quiet > ms_to_ns(told.lease_ms)
                    and not side.session.is_leased()
                ):
                    link.break_()
                elif not process.hangs:
                    quiet = edge.kernel.now
                yield link.broken, min(STEP, ms_to_ns(told.flush_ms))
            link.break_()
            if edge.life != life:
                return
            proven = side.session.is_established()
            side.session.connection_lost()
        else:
            proven = False
        side.counts["links lost"] += 1
        if proven:
            wait = retry
        else:
            at += 1
            wait = min(2 * wait, 10 * retry)
        yield int(wait * (0.5 + side.random()))

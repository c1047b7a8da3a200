"""Planners in virtual time and their links to the dispatchers.

Both ends of a link are the code that runs on sockets; only the transport of frames is emulated. A planner
that hangs accepts frames and does nothing; one that dies breaks its links.
"""

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

PLANNER_START_NS = 600_000_000  # From the start of a planner's process until it listens
POLL_INTERVAL_NS = 5_000_000  # Longest time between two polls of a link


class PlannerFleet(Protocol):
    """What planners and their links need of the fleet. `client_latency_ns` is one way."""

    kernel: Kernel
    process_records: Records
    client_latency_ns: int
    planners: list[PlannerProcess]


class LinkedDispatcher(Protocol):
    """A dispatcher, as its links to the planners see it."""

    kernel: Kernel
    name: str
    settings: EdgeSettings
    incarnation: int
    up: bool
    planner_client: PlannerClient | None

    @property
    def fleet(self) -> PlannerFleet:
        """The dispatcher's fleet."""

    def _run_due(self) -> None:
        """Advances the policy if due and sets the timer again, after its due time may have changed."""


class PlannerProcess:
    """One planner over its incarnations; what it saves on disk outlives them."""

    def __init__(self, fleet: PlannerFleet, number: int) -> None:
        self.fleet, self.kernel, self.number = fleet, fleet.kernel, number
        self.incarnation, self.up, self.is_hung = 0, False, False
        self.planner: Planner | None = None
        self.links: dict[str, PlannerLink] = {}
        self.start()

    def start(self) -> None:
        """Starts a new incarnation with the state on disk."""
        previous = self.planner
        self.incarnation += 1
        self.up, self.is_hung = True, False
        settings = PlannerSettings(name=f"planner-{self.number}")
        self.planner = Planner(settings, self.kernel.clock, self._moment)
        self.planner.incarnation = f"{self.number}-{self.incarnation}"
        if previous is not None:
            self.planner.store.saved = previous.store.saved
        self.kernel.spawn(self._save_periodically(self.incarnation))

    def _moment(self) -> Moment:
        """Returns the virtual time: the clock is never stepped and the machine never restarts."""
        return Moment(self.kernel.now, "virtual", self.kernel.now)

    def _save_periodically(self, incarnation: int) -> Steps:
        while incarnation == self.incarnation:
            yield int(REFRESH_INTERVAL_SECONDS * 1e9)
            if incarnation == self.incarnation and not self.is_hung and self.planner is not None:
                self.planner.refresh_saved_replicas()

    def handle_event(self, what: str) -> None:
        """Plays an event of the script: kill, start, stop (hang) or go on."""
        self.fleet.process_records(f"planner {what}", planner=self.number)
        match what:
            case "kill" if self.up:
                self.up = False
                self.incarnation += 1
                for link in list(self.links.values()):
                    link.disconnect()
            case "start" if not self.up:
                self.kernel.call_later(PLANNER_START_NS, self._started)
            case "stop":
                self.is_hung = True
            case "go":
                self.is_hung = False

    def _started(self) -> None:
        if not self.up:
            self.start()


class PlannerLink:
    """One connection: frames in both directions, in order, each after the latency."""

    def __init__(self, edge: LinkedDispatcher, process: PlannerProcess) -> None:
        assert edge.planner_client is not None and process.planner is not None
        self.edge, self.process, self.planner_client = edge, process, edge.planner_client
        self.kernel, self.latency_ns = edge.kernel, edge.fleet.client_latency_ns
        self.broken = Signal()
        self.readers = fr.FrameReader(), fr.FrameReader()
        self.session: PlannerSession | None = None
        self.unread_data: list[bytes] = []  # Received while the planner hangs

    def disconnect(self) -> None:
        """Closes the connection."""
        if self.process.links.get(self.edge.name) is self:
            del self.process.links[self.edge.name]
        self.kernel.set_signal(self.broken)

    def disconnect_on_error(self, work: Callable[[], None]) -> None:
        """Runs `work` and closes the connection after a protocol error."""
        try:
            work()
        except (LinkProtocolError, fr.FrameError):
            self.disconnect()

    def to_planner(self, data: bytes) -> None:
        """Delivers data to the planner; one that hangs reads it later."""
        self.unread_data.append(data)
        if not self.broken.is_set and not self.process.is_hung:
            self.disconnect_on_error(self._read)

    def _read(self) -> None:
        waiting, self.unread_data = self.unread_data, []
        for data in waiting:
            for message in self.readers[0].feed(data):
                if self.session is None:
                    if not isinstance(message, fr.Hello):
                        raise LinkProtocolError("expected a Hello as the first message")
                    assert self.process.planner is not None
                    older = self.process.links.pop(message.edge_name, None)
                    if older is not None:
                        older.disconnect()
                    self.process.links[message.edge_name] = self
                    self.session = self.process.planner.get_session(message.edge_name)
                    self.session.connection_made()
                self.session.receive_message(message)

    def to_edge(self, data: bytes) -> None:
        """Delivers data to the dispatcher."""
        if not self.broken.is_set and self.edge.up and self.edge.planner_client is self.planner_client:
            self.disconnect_on_error(lambda: self._apply(data))

    def _apply(self, data: bytes) -> None:
        for message in self.readers[1].feed(data):
            self.planner_client.session.receive_message(message)
        self.planner_client.apply_decisions()

    def pump(self) -> None:
        """Sends the pending frames of both ends."""
        while (data := self.planner_client.session.next_frame()) is not None:
            self.kernel.call_later(self.latency_ns, self.to_planner, data)
        if self.process.is_hung or not self.process.up:
            return
        if self.unread_data:
            self._read()
        if self.session is not None:
            self.session.poll()
            while (data := self.session.next_frame()) is not None:
                self.kernel.call_later(self.latency_ns, self.to_edge, data)


def check_lease_periodically(
    edge: LinkedDispatcher, planner_client: PlannerClient, incarnation: int
) -> Steps:
    """Checks the planner's lease as long as this incarnation of the dispatcher runs."""
    while edge.incarnation == incarnation and edge.settings.functions.may_request_loads:
        planner_client.check_lease()
        edge._run_due()
        yield LEASE_CHECK_INTERVAL_NS


def keep_linked(edge: LinkedDispatcher, planner_client: PlannerClient, incarnation: int) -> Steps:
    """Keeps one incarnation of a dispatcher linked, trying the planners in their order."""
    assert edge.settings.planner is not None
    settings = edge.settings.planner
    fleet = edge.fleet
    planner_index, retry = 0, ms_to_ns(settings.retry_ms)
    wait = retry
    while edge.incarnation == incarnation:
        process = fleet.planners[settings.at[planner_index % len(settings.at)].port - 1]
        if process.up:
            link = PlannerLink(edge, process)
            planner_client.session.connection_made()
            last_active_ns = edge.kernel.now
            while edge.incarnation == incarnation and not link.broken.is_set:
                link.disconnect_on_error(link.pump)
                # A hung planner's data is accepted as by socket buffers, until the lease has run out.
                if (
                    process.is_hung
                    and edge.kernel.now - last_active_ns > ms_to_ns(settings.lease_ms)
                    and not planner_client.session.is_leased()
                ):
                    link.disconnect()
                elif not process.is_hung:
                    last_active_ns = edge.kernel.now
                yield link.broken, min(POLL_INTERVAL_NS, ms_to_ns(settings.flush_ms))
            link.disconnect()
            if edge.incarnation != incarnation:
                return
            was_established = planner_client.session.is_established()
            planner_client.session.connection_lost()
        else:
            was_established = False
        planner_client.counts["links lost"] += 1
        if was_established:
            wait = retry
        else:
            planner_index += 1
            wait = min(2 * wait, 10 * retry)
        yield int(wait * (0.5 + planner_client.random()))

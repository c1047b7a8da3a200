"""The journal service of one node, and its faults: silence, a cut inside an event, absence, a new port."""

from __future__ import annotations

from contextlib import suppress

import anyio
from anyio.abc import SocketStream, TaskGroup

from support.node_wire import frame, record
from support.peers import PeerListener
from support.soak.records import RecordBook
from support.soak.worker import CONNECTION_ERRORS

HEARTBEAT_SECONDS = 0.2
# Time from the begin of a trouble until, by the protocol, the node must know of all events.
REPORTED_AFTER_SILENCE_SECONDS = 4.0
REPORTED_AFTER_BREAK_SECONDS = 2.0
REPORTED_AFTER_MOVE_SECONDS = 4.0
CLOSE_AFTER_MOVE_SECONDS = 1.5  # time until the old address closes its connections
DELTA_EVENT_KIND = 2
STATES = ("up", "draining", "gone")


class SoakJournal:
    """Holds the events since the start of a node's process; its configuration has the list before them."""

    def __init__(self, edge: str, book: RecordBook) -> None:
        self.edge, self.book = edge, book
        self.events: list[bytes] = []
        self.lines: list[tuple[str, str, str]] = []  # worker, state and incarnation in each event
        self.port = 0
        self.is_silent = False
        self._reported_events = 0  # number of events that the node must know of
        self._incarnation = 0
        # Loop time at which the node must know of all events, even if they could not be sent.
        self._reported_by_seconds = 0.0
        self._listener: PeerListener | None = None
        self._streams: list[SocketStream] = []
        self._group: TaskGroup

    def start(self, group: TaskGroup) -> None:
        """Listens, at the same port as before."""
        self._group = group
        self._listener = PeerListener(self.port)
        self.port = self._listener.port
        group.start_soon(self._serve, self._listener)

    def begin_incarnation(self) -> None:
        """Numbers events from the start again, as at each start of the node's process."""
        self.events, self.lines = [], []
        self._reported_events = 0
        self._incarnation += 1

    async def move(self) -> None:
        """Listens at a new port; the connections at the old one get no more events and are closed a little
        later."""
        self._reported_by_seconds = anyio.current_time() + REPORTED_AFTER_MOVE_SECONDS
        old_listener, old_streams = self._listener, self._streams
        self._streams, self.port = [], 0
        self.start(self._group)
        if old_listener is not None:
            await old_listener.aclose()
        self._group.start_soon(self._close_later, old_streams)

    async def go_away(self, seconds: float) -> None:
        """Closes all connections, and does not listen for a while."""
        self._reported_by_seconds = anyio.current_time() + REPORTED_AFTER_BREAK_SECONDS + seconds
        if self._listener is not None:
            await self._listener.aclose()
        await self._close(self._streams)
        self._streams = []
        await anyio.sleep(seconds)
        self.start(self._group)

    async def fall_silent(self, seconds: float) -> None:
        """Sends nothing for a while, and leaves its connections open."""
        self._reported_by_seconds = anyio.current_time() + REPORTED_AFTER_SILENCE_SECONDS
        self.is_silent = True
        await anyio.sleep(seconds)
        self.is_silent = False

    async def cut_inside_event(self) -> None:
        """Closes all connections in the middle of an event; a new connection is sent all events."""
        self._reported_by_seconds = anyio.current_time() + REPORTED_AFTER_BREAK_SECONDS
        for stream in self._streams:
            with suppress(*CONNECTION_ERRORS):
                await stream.send(frame(len(self.events) + 2, DELTA_EVENT_KIND, record(0, 0))[:7])
        await self._close(self._streams)
        self._streams = []

    async def publish(self, name: str, port: int, state: int, started_ms: int) -> None:
        """Sends the state of one worker. The node must know it at once, or if it could not be sent by the
        time that the protocol sets."""
        line = (name, STATES[state], str(started_ms))
        event = frame(len(self.events) + 2, DELTA_EVENT_KIND, record(ord(name), port, state, started_ms))
        self.events.append(event)
        self.lines.append(line)
        if self._streams and not self.is_silent:
            self._record_reported(len(self.events))
            for stream in self._streams:
                with suppress(*CONNECTION_ERRORS):
                    await stream.send(event)
        else:
            self._group.start_soon(self._report_later, len(self.events), self._incarnation)

    async def _report_later(self, events: int, incarnation: int) -> None:
        # that time may be over, if the process is late or the node was away for long
        await anyio.sleep(max(0.0, self._reported_by_seconds - anyio.current_time()))
        if self._incarnation == incarnation:
            self._record_reported(events)

    def _record_reported(self, events: int) -> None:
        """Records that the node must know of the first `events` events; each is recorded once."""
        if events > self._reported_events:
            self.book.record_membership(self.edge, self.lines[self._reported_events : events])
            self._reported_events = events

    async def _serve(self, listener: PeerListener) -> None:
        with suppress(anyio.ClosedResourceError, ExceptionGroup):
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        async with stream:
            with suppress(*CONNECTION_ERRORS):
                number = int.from_bytes(await stream.receive(8), "big")
                self._streams.append(stream)
                if not self.is_silent and self.events[number - 1 :]:
                    self._record_reported(len(self.events))
                    await stream.send(b"".join(self.events[number - 1 :]))
                while True:
                    await anyio.sleep(HEARTBEAT_SECONDS)
                    if not self.is_silent and stream in self._streams:
                        await stream.send(frame(len(self.events) + 1, 0))

    async def _close_later(self, streams: list[SocketStream]) -> None:
        await anyio.sleep(CLOSE_AFTER_MOVE_SECONDS)
        await self._close(streams)

    async def _close(self, streams: list[SocketStream]) -> None:
        for stream in streams:
            with suppress(*CONNECTION_ERRORS):
                await stream.aclose()

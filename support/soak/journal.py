"""The journal service of one node, which may fall silent, be cut inside an event, be away or move."""

from __future__ import annotations

from contextlib import suppress

import anyio
from anyio.abc import SocketStream, TaskGroup

from support.node_wire import frame, record
from support.peers import PeerListener
from support.soak.records import RecordBook
from support.soak.worker import BROKEN

HEARTBEAT_SECONDS = 0.2
TOLD_AFTER_SILENCE_SECONDS = 4.0  # by the protocol, at the latest after this trouble began
TOLD_AFTER_BREAK_SECONDS = 2.0
TOLD_AFTER_MOVE_SECONDS = 4.0
MOVED_CLOSE_SECONDS = 1.5  # then the old address closes its connections
CHANGES = 2  # the kind of an event that holds changes
STATES = ("up", "draining", "gone")


class SoakJournal:
    """Events of one life of a node. A node that starts anew has the list in its configuration."""

    def __init__(self, edge: str, book: RecordBook) -> None:
        self.edge, self.book = edge, book
        self.events: list[bytes] = []
        self.lines: list[tuple[str, str, str]] = []  # of each event: a worker, its state and its life
        self.port = 0
        self.is_silent = False
        self._told_events = 0  # so many count as told
        self._life = 0
        self._told_by = 0.0  # loop time at which all events count as told, whatever became of them
        self._listener: PeerListener | None = None
        self._streams: list[SocketStream] = []
        self._group: TaskGroup

    def start(self, group: TaskGroup) -> None:
        """Listens, at the port that it had before."""
        self._group = group
        self._listener = PeerListener(self.port)
        self.port = self._listener.port
        group.start_soon(self._serve, self._listener)

    def begin_life(self) -> None:
        """Numbers begin anew with each start of a node."""
        self.events, self.lines = [], []
        self._told_events = 0
        self._life += 1

    async def move(self) -> None:
        """Takes a new address; the old one tells nothing more and closes a little later."""
        self._told_by = anyio.current_time() + TOLD_AFTER_MOVE_SECONDS
        old_listener, old_streams = self._listener, self._streams
        self._streams, self.port = [], 0
        self.start(self._group)
        if old_listener is not None:
            await old_listener.aclose()
        self._group.start_soon(self._close_later, old_streams)

    async def go_away(self, seconds: float) -> None:
        """Closes all connections, and is not there for a while."""
        self._told_by = anyio.current_time() + TOLD_AFTER_BREAK_SECONDS + seconds
        if self._listener is not None:
            await self._listener.aclose()
        await self._close(self._streams)
        self._streams = []
        await anyio.sleep(seconds)
        self.start(self._group)

    async def fall_silent(self, seconds: float) -> None:
        """Stops telling, and leaves its connections open."""
        self._told_by = anyio.current_time() + TOLD_AFTER_SILENCE_SECONDS
        self.is_silent = True
        await anyio.sleep(seconds)
        self.is_silent = False

    async def cut_inside_event(self) -> None:
        """Breaks off in the middle of an event; who asks again is told."""
        self._told_by = anyio.current_time() + TOLD_AFTER_BREAK_SECONDS
        for stream in self._streams:
            with suppress(*BROKEN):
                await stream.send(frame(len(self.events) + 2, CHANGES, record(0, 0))[:7])
        await self._close(self._streams)
        self._streams = []

    async def tell(self, name: str, port: int, state: int, started_ms: int) -> None:
        """Tells of one worker; it counts as told at the latest when the protocol says so."""
        line = (name, STATES[state], str(started_ms))
        event = frame(len(self.events) + 2, CHANGES, record(ord(name), port, state, started_ms))
        self.events.append(event)
        self.lines.append(line)
        if self._streams and not self.is_silent:
            self._note_told(len(self.events))
            for stream in self._streams:
                with suppress(*BROKEN):
                    await stream.send(event)
        else:
            self._group.start_soon(self._count_as_told, len(self.events), self._life)

    async def _count_as_told(self, events: int, life: int) -> None:
        await anyio.sleep(self._told_by - anyio.current_time())
        if self._life == life:
            self._note_told(events)

    def _note_told(self, events: int) -> None:
        """So many events count as told; each is noted once."""
        if events > self._told_events:
            self.book.told(self.edge, self.lines[self._told_events : events])
            self._told_events = events

    async def _serve(self, listener: PeerListener) -> None:
        with suppress(anyio.ClosedResourceError, ExceptionGroup):
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        async with stream:
            with suppress(*BROKEN):
                number = int.from_bytes(await stream.receive(8), "big")
                self._streams.append(stream)
                if not self.is_silent and self.events[number - 1 :]:
                    self._note_told(len(self.events))
                    await stream.send(b"".join(self.events[number - 1 :]))
                while True:
                    await anyio.sleep(HEARTBEAT_SECONDS)
                    if not self.is_silent and stream in self._streams:
                        await stream.send(frame(len(self.events) + 1, 0))

    async def _close_later(self, streams: list[SocketStream]) -> None:
        await anyio.sleep(MOVED_CLOSE_SECONDS)
        await self._close(streams)

    async def _close(self, streams: list[SocketStream]) -> None:
        for stream in streams:
            with suppress(*BROKEN):
                await stream.aclose()

"""The journal service as the dispatcher's source of the roster: followed from the last whole event on."""

from __future__ import annotations

import anyio
import structlog

from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.timeouts import time_limit
from martenlead.node.journal import EVENT_NUMBER, FrameDecoder, JournalFrameError, JournalTables
from martenlead.node.worker_age import NS_PER_MS, WorkerAges
from martenlead.upstream.endpoints import EndpointList, EndpointUpdate, MissingVersionError

SILENCE_TIMEOUT_SECONDS = 1.6  # s: an empty frame is due each second
CONNECT_TIMEOUT_SECONDS = 0.5  # s
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.02, 0.25  # s, between two tries


class JournalSource:
    def __init__(
        self, name: str, at: tuple[str, int], known: list[EndpointUpdate], places: JournalTables
    ) -> None:
        self.address, self.initial_updates, self.tables = at, known, places
        self.endpoint_list = EndpointList()
        self.worker_ages = WorkerAges()
        self.log = structlog.get_logger().bind(edge=name)
        self._scope: anyio.CancelScope | None = None
        self._gap: tuple[int, int] | None = None  # the last one met: behind which event, and up to which

    def change_address(self, at: tuple[str, int]) -> None:
        """From now on the journal service is there; the numbers go on."""
        if at != self.address:
            self.address = at
            if self._scope is not None:
                self._scope.cancel()

    async def run(self, dispatcher: Dispatcher) -> None:
        try:
            for news in self.initial_updates:
                self._tell(dispatcher, news)
        except MissingVersionError as error:
            self.log.warning("the events of the configuration are not whole", why=str(error))
        dispatcher.snapshot_received.set()
        wait = MIN_BACKOFF_SECONDS
        while True:
            before = self.endpoint_list.version
            why = "it moved"
            with anyio.CancelScope() as self._scope:
                why = await self._follow(dispatcher)
            dispatcher.counts["roster", "lost"] += 1
            self.log.info("the journal service is asked again", why=why, after=self.endpoint_list.version)
            wait = (
                MIN_BACKOFF_SECONDS
                if self.endpoint_list.version > before or why == "it moved"
                else min(2 * wait, MAX_BACKOFF_SECONDS)
            )
            await anyio.sleep(wait)

    async def _follow(self, dispatcher: Dispatcher) -> str:
        """One connection, to its end; why it ended."""
        frames = FrameDecoder(self.tables)
        try:
            with time_limit(CONNECT_TIMEOUT_SECONDS):
                stream = None
                stream = await anyio.connect_tcp(*self.address)
            if stream is None:
                return "it is silent"
            async with stream:
                await stream.send(EVENT_NUMBER.pack(self.endpoint_list.version))
                while True:
                    # a whole one: one that has begun and goes on byte by byte tells nothing either
                    told: list[EndpointUpdate] = []
                    with time_limit(SILENCE_TIMEOUT_SECONDS):
                        while not told:
                            told = frames.feed(await stream.receive())
                    if not told:
                        return "it is silent"
                    for news in told:
                        self._tell(dispatcher, news)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return "the connection ended"
        except (JournalFrameError, MissingVersionError) as error:
            return str(error)
        except Exception as error:  # news that make no sense must not end the program
            dispatcher.record_fault(error)
            return "a fault of ours"

    def _tell(self, dispatcher: Dispatcher, news: EndpointUpdate) -> None:
        if news.version <= self.endpoint_list.version:  # nothing new, or written twice
            if news.endpoints is None:
                self.worker_ages.confirm(dispatcher.clock())
            return
        ahead = news.endpoints is None or (
            not news.is_snapshot and news.version > self.endpoint_list.version + 1
        )
        gap = self.endpoint_list.version, news.version
        if ahead and gap != self._gap:
            self._gap = gap
            raise MissingVersionError(f"at {gap[0]}, told of {gap[1]}")
        if news.endpoints is None:
            return
        if ahead:  # asked again it has nothing between: better what changed since than none of it, for good
            self.endpoint_list.version = news.version - 1
        self._date(news, dispatcher.clock())
        if self.endpoint_list.apply(news):
            dispatcher.update_endpoints(news.endpoints, news.is_snapshot)

    def _date(self, news: EndpointUpdate, now: int) -> None:
        """Turns the starts of workers into ages."""
        before = self.worker_ages.offset_ns
        self.worker_ages.fill_ages(news, now)
        if self.worker_ages.offset_ns != before:
            self.log.info(
                "clock_offset_estimated",
                offset_ms=self.worker_ages.offset_ns / NS_PER_MS,
                version=news.version,
            )

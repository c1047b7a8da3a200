"""The journal service as the dispatcher's source of the roster: followed from the last whole event on."""

from __future__ import annotations

import anyio
import structlog

from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.waits import within
from martenlead.node.journal import NUMBER, BadFrame, Frames, Places
from martenlead.node.worker_age import MS, WorkerAges
from martenlead.runnerlink.roster import Gap, List, News

QUIET = 1.6  # s: an empty frame is due each second
CONNECT = 0.5  # s
FIRST_WAIT, LONGEST_WAIT = 0.02, 0.25  # s, between two tries


class JournalSource:
    def __init__(self, name: str, at: tuple[str, int], known: list[News], places: Places) -> None:
        self.at, self.known, self.places = at, known, places
        self.list = List()
        self.ages = WorkerAges()
        self.log = structlog.get_logger().bind(edge=name)
        self._scope: anyio.CancelScope | None = None
        self._gap: tuple[int, int] | None = None  # the last one met: behind which event, and up to which

    def move(self, at: tuple[str, int]) -> None:
        """From now on the journal service is there; the numbers go on."""
        if at != self.at:
            self.at = at
            if self._scope is not None:
                self._scope.cancel()

    async def run(self, dispatcher: Dispatcher) -> None:
        try:
            for news in self.known:
                self._tell(dispatcher, news)
        except Gap as error:
            self.log.warning("the events of the configuration are not whole", why=str(error))
        dispatcher.listed.set()
        wait = FIRST_WAIT
        while True:
            before = self.list.version
            why = "it moved"
            with anyio.CancelScope() as self._scope:
                why = await self._follow(dispatcher)
            dispatcher.counts["roster", "lost"] += 1
            self.log.info("the journal service is asked again", why=why, after=self.list.version)
            wait = (
                FIRST_WAIT if self.list.version > before or why == "it moved" else min(2 * wait, LONGEST_WAIT)
            )
            await anyio.sleep(wait)

    async def _follow(self, dispatcher: Dispatcher) -> str:
        """One connection, to its end; why it ended."""
        frames = Frames(self.places)
        try:
            with within(CONNECT):
                stream = None
                stream = await anyio.connect_tcp(*self.at)
            if stream is None:
                return "it is silent"
            async with stream:
                await stream.send(NUMBER.pack(self.list.version))
                while True:
                    # a whole one: one that has begun and goes on byte by byte tells nothing either
                    told: list[News] = []
                    with within(QUIET):
                        while not told:
                            told = frames.feed(await stream.receive())
                    if not told:
                        return "it is silent"
                    for news in told:
                        self._tell(dispatcher, news)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return "the connection ended"
        except (BadFrame, Gap) as error:
            return str(error)
        except Exception as error:  # news that make no sense must not end the program
            dispatcher.fault(error)
            return "a fault of ours"

    def _tell(self, dispatcher: Dispatcher, news: News) -> None:
        if news.version <= self.list.version:  # nothing new, or written twice
            if news.runners is None:
                self.ages.confirm(dispatcher.clock())
            return
        ahead = news.runners is None or (not news.whole and news.version > self.list.version + 1)
        gap = self.list.version, news.version
        if ahead and gap != self._gap:
            self._gap = gap
            raise Gap(f"at {gap[0]}, told of {gap[1]}")
        if news.runners is None:
            return
        if ahead:  # asked again it has nothing between: better what changed since than none of it, for good
            self.list.version = news.version - 1
        self._date(news, dispatcher.clock())
        if self.list.told(news):
            dispatcher.news(news.runners, news.whole)

    def _date(self, news: News, now: int) -> None:
        """Turns the starts of workers into ages."""
        before = self.ages.offset
        self.ages.date(news, now)
        if self.ages.offset != before:
            self.log.info("clock_offset_estimated", offset_ms=self.ages.offset / MS, version=news.version)

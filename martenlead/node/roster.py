"""The journal service as the dispatcher's source of the roster: followed from the last whole event on."""

from __future__ import annotations

import anyio
import structlog

from martenlead.edge.dispatcher import Dispatcher
from martenlead.node.journal import NUMBER, BadFrame, Frames, Places, age
from martenlead.runnerlink.roster import Gap, List, News

QUIET = 1.6  # s: an empty frame is due each second
CONNECT = 0.5  # s
FIRST_WAIT, LONGEST_WAIT = 0.02, 0.25  # s, between two tries


class JournalSource:
    def __init__(self, name: str, at: tuple[str, int], known: list[News], places: Places) -> None:
        self.at, self.known, self.places = at, known, places
        self.list = List()
        self.log = structlog.get_logger().bind(edge=name)
        self._scope: anyio.CancelScope | None = None

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
            with anyio.fail_after(CONNECT):
                stream = await anyio.connect_tcp(*self.at)
            async with stream:
                await stream.send(NUMBER.pack(self.list.version))
                while True:
                    with anyio.fail_after(QUIET):
                        data = await stream.receive()
                    for news in frames.feed(data):
                        self._tell(dispatcher, news)
        except TimeoutError:
            return "it is silent"
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return "the connection ended"
        except (BadFrame, Gap) as error:
            return str(error)
        except Exception as error:  # news that make no sense must not end the program
            dispatcher.fault(error)
            return "a fault of ours"

    def _tell(self, dispatcher: Dispatcher, news: News) -> None:
        if news.runners is None or news.version <= self.list.version:
            return  # nothing new, or written twice
        if self.list.told(age(news, dispatcher.clock())):
            dispatcher.news(news.runners, news.whole)

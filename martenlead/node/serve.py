"""A real dispatcher on the platform, from its configuration to its end."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import anyio
import structlog
from anyio.abc import TaskGroup

from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.waits import within
from martenlead.node import config
from martenlead.node.door import Door
from martenlead.node.listener import Listener, listener_of
from martenlead.node.roster import JournalSource
from martenlead.node.runners import RunnerLink
from martenlead.node.sockets import readable
from martenlead.system.clocks import unix_clock
from martenlead.system.listener import bind

# descriptors for the listener, the event loop, the journal service, what the interpreter opens, and clients
# that come while others give way
OWN = 40
STOPPING = 0.8  # s after SIGTERM in which clients still come
KILLED, KILLED_MOST = (
    0.7,
    3.0,
)  # s: SIGKILL comes no sooner than this and the longest hard limit, at most so long
LEAVING = 0.2  # s before it, for the last answers to leave
TOO_LATE = 0.15  # s before the last answers, from when on nothing new is taken
FLUSHING = 0.15  # s at most for what was written, to clients that are slow to read
LISTEN_MARGIN = 4.0  # s, for an old life to be ended in, and for faults that pass; ready within 10 s
HELD = 1 / 8  # of the memory limit, for bodies of tasks that are held


class Node:
    def __init__(self, path: Path) -> None:
        """Raises config.BadConfig."""
        self.path = path
        self.told = told = config.read(path)
        now = unix_clock()
        sockets = max(16, told.limits.sockets - OWN)
        soft = {name: o.latency_objective_ns for name, o in told.about.offerings.items()}
        self.link = RunnerLink(told.conn, sockets // 2, soft, now)
        self.source = JournalSource(told.about.name, told.journal, told.known, told.places)
        self.dispatcher = Dispatcher(told.about, self.link, self.source, now)
        held = int(told.limits.memory_mb * 2**20 * HELD)
        self.door = Door(self.dispatcher, sockets // 2, max(100, int(told.limits.memory_mb * 8)), held)
        self.stopping = False
        self.log = structlog.get_logger().bind(edge=told.about.name)

    async def serve(self, started: Callable[[], None] | None = None, early: Sequence[int] = ()) -> None:
        """Until SIGTERM has been obeyed. Raises OSError for the listener. `early` signals came before they
        could be received here."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._fault)
        async with anyio.create_task_group() as group:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                group.start_soon(self.dispatcher.run)
                group.start_soon(self.door.run)
                await self.dispatcher.listed.wait()
                leave_out_of_collections()
                host, port = self.told.listen
                listener = listener_of(await self._listen(), self.door)
                listener.start()
                self.log.info("serves", host=host, port=port)
                if started is not None:
                    started()
                for number in early:
                    self._got(signal.Signals(number), group, listener)
                async for got in signals:
                    self._got(got, group, listener)

    async def _listen(self) -> socket.socket:
        """An old life may have the address as long as it may live after SIGTERM; other faults may pass too.
        Raises OSError for what cannot pass, or as the time is over."""

        def delayed(error: OSError) -> None:
            self.log.warning("listener_delayed", at=self.told.listen, why=str(error))

        return await bind(self.told.listen, KILLED + KILLED_MOST + LISTEN_MARGIN, delayed=delayed)

    def _got(self, got: signal.Signals, group: TaskGroup, listener: Listener) -> None:
        """The roster is followed to the end, so that it may move while the stop goes on."""
        if got is signal.SIGHUP:
            self.reload()
        elif not self.stopping:
            self.stopping = True
            self.log.info("stops", held=len(self.dispatcher.held))
            group.start_soon(self._stop, group, listener)

    def _fault(self, _loop: asyncio.AbstractEventLoop, told: dict[str, Any]) -> None:
        """Of a callback of the event loop: it costs one connection, and is told as any fault of ours is."""
        error = told.get("exception")
        if isinstance(error, Exception) and not isinstance(error, OSError):
            self.dispatcher.fault(error)

    def reload(self) -> None:
        """Takes over where the journal service is; nothing that is held is touched. A file that cannot be
        read leaves the old one in force."""
        try:
            told = config.read(self.path)
        except config.BadConfig as error:
            self.log.warning("the configuration stays as it was", why=str(error))
            return
        self.source.move(told.journal)
        self.log.info("the configuration was read again", journal=told.journal)

    async def _stop(self, group: TaskGroup, listener: Listener) -> None:
        """Clients still come for a while, and all that was taken is answered, by the time of a kill at the
        latest. What the machine has accepted counts as taken: no connection in the backlog and no bytes of a
        client are left behind. Who goes on asking on an open connection is served as long as there is time,
        then refused, and its connection ended with nothing unread."""
        dispatcher, door = self.dispatcher, self.door
        longest = max(dispatcher.hard.values(), default=0) / 1e9
        last = min(longest, KILLED_MOST) + KILLED - LEAVING
        clients = min(STOPPING, last - TOO_LATE)
        asyncio.get_running_loop().call_later(last - TOO_LATE, door.take_nothing_more)
        await anyio.sleep(clients)
        with within(last - clients):
            while readable(listener.sock):
                door.end_quiet_clients()  # who comes may wait for a place
                await anyio.sleep(0.005)
            listener.close()
            while listener.accepting:  # what was accepted last has yet to be made a client
                await anyio.sleep(0.005)
            while dispatcher.held or door.clients:
                door.end_quiet_clients()
                await anyio.sleep(0.01)
        listener.close()
        dispatcher.hasten()
        door.end_all_clients()
        with within(FLUSHING):
            while door.closing:
                await anyio.sleep(0.01)
        self.log.info("stopped", counts={" ".join(k): n for k, n in sorted(dispatcher.counts.items())})
        group.cancel_scope.cancel()


def configure_log() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def leave_out_of_collections() -> None:
    """What stands now is looked at by no garbage collection any more, so that even a full one is short: one
    that looks at thousands of listed workers holds up requests for tens of milliseconds."""
    gc.collect()
    gc.freeze()


def main(early: Sequence[int] = ()) -> int:
    configure_log()
    try:
        node = Node(Path(os.environ.get("ROUTER_CONFIG", "")))
    except config.BadConfig as error:
        structlog.get_logger().error("no configuration that can be used", why=str(error))
        return 2
    # requests and attempts hold each other, and what waits to be collected is growth
    gc.set_threshold(2_000, 5, 5)
    leave_out_of_collections()
    status = 0
    try:
        anyio.run(node.serve, None, early, backend_options={"use_uvloop": True})
    except* OSError as errors:
        structlog.get_logger().error("it cannot listen", at=node.told.listen, why=str(errors.exceptions[0]))
        status = 2
    return status

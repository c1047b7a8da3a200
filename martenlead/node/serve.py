"""A real dispatcher on the platform, from its configuration to its end."""

from __future__ import annotations

import asyncio
import errno
import gc
import logging
import os
import signal
import socket
import sys
import time
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
from martenlead.node.listener import BACKLOG, Listener
from martenlead.node.roster import JournalSource
from martenlead.node.runners import RunnerLink
from martenlead.node.sockets import readable

# descriptors for the listener, the event loop, the journal service, what the interpreter opens, and clients
# that come while others give way
OWN = 40
STOPPING = 0.8  # s after SIGTERM in which clients still come
KILLED, KILLED_MOST = (
    0.7,
    3.0,
)  # s: SIGKILL comes no sooner than this and the longest hard limit, at most so long
LEAVING = 0.1  # s before it, for the last answers to leave
AGAIN = 0.05  # s between two tries for an address that is taken
HELD = 1 / 8  # of the memory limit, for bodies of tasks that are held


def clock() -> Callable[[], int]:
    """The system's Unix clock as it stood at the start, ns, and steady from there."""
    ahead = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + ahead


class Node:
    def __init__(self, path: Path) -> None:
        """Raises config.BadConfig."""
        self.path = path
        self.told = told = config.read(path)
        now = clock()
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
                listener = Listener(await self._listen(), self.door)
                listener.start()
                self.log.info("serves", host=host, port=port)
                if started is not None:
                    started()
                for number in early:
                    self._got(signal.Signals(number), group, listener)
                async for got in signals:
                    self._got(got, group, listener)

    async def _listen(self) -> socket.socket:
        """Bound here: the loop would look up its own address on four threads, which then stay. An old life
        may have it as long as it may live after SIGTERM, and a second to be ended in. Raises OSError."""
        for _ in range(round((KILLED + KILLED_MOST + 1) / AGAIN)):
            try:
                return socket.create_server(self.told.listen, backlog=BACKLOG)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await anyio.sleep(AGAIN)
        return socket.create_server(self.told.listen, backlog=BACKLOG)

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
        client are left behind."""
        dispatcher, door = self.dispatcher, self.door
        longest = max(dispatcher.hard.values(), default=0) / 1e9
        last = min(longest, KILLED_MOST) + KILLED - LEAVING
        clients = min(STOPPING, last - LEAVING)
        await anyio.sleep(clients)
        with within(last - clients):
            while readable(listener.sock):
                await anyio.sleep(0.005)
            listener.close()
            while listener.accepting:  # what was accepted last has yet to be made a client
                await anyio.sleep(0.005)
            while dispatcher.held or any(readable(client.transport) for client in door.clients):
                await anyio.sleep(0.01)
        listener.close()
        dispatcher.hasten()
        for client in list(door.clients):
            client.close()
        with within(0.3):
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

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
from martenlead.edge.timeouts import time_limit
from martenlead.node import config
from martenlead.node.client_acceptor import Listener, create_listener
from martenlead.node.client_connection import RpcListener
from martenlead.node.discovery import JournalSource
from martenlead.node.sockets import readable
from martenlead.node.worker_client import WorkerClient
from martenlead.system.clocks import unix_clock
from martenlead.system.listener import bind

# descriptors for the listener, the event loop, the journal service, what the interpreter opens, and clients
# that come while others give way
RESERVED_DESCRIPTORS = 40
ACCEPT_AFTER_SIGTERM_SECONDS = 0.8  # s after SIGTERM in which clients still come
KILL_MARGIN_SECONDS, KILL_DEADLINE_LIMIT_SECONDS = (
    0.7,
    3.0,
)  # s: SIGKILL comes no sooner than this and the longest hard limit, at most so long
LAST_RESPONSES_SECONDS = 0.2  # s before it, for the last answers to leave
REJECT_BEFORE_END_SECONDS = 0.15  # s before the last answers, from when on nothing new is taken
FLUSH_SECONDS = 0.15  # s at most for what was written, to clients that are slow to read
BIND_MARGIN_SECONDS = 4.0  # s, for an old life to be ended in, and for faults that pass; ready within 10 s
BODY_MEMORY_SHARE = 1 / 8  # of the memory limit, for bodies of tasks that are held


class Node:
    def __init__(self, path: Path) -> None:
        """Raises config.BadConfig."""
        self.path = path
        self.config = told = config.read_config(path)
        now = unix_clock()
        sockets = max(16, told.limits.sockets - RESERVED_DESCRIPTORS)
        soft = {name: o.latency_objective_ns for name, o in told.dispatcher_settings.request_classes.items()}
        self.worker_client = WorkerClient(told.connection_settings, sockets // 2, soft, now)
        self.discovery = JournalSource(
            told.dispatcher_settings.name, told.journal_address, told.initial_updates, told.tables
        )
        self.dispatcher = Dispatcher(told.dispatcher_settings, self.worker_client, self.discovery, now)
        held = int(told.limits.memory_mb * 2**20 * BODY_MEMORY_SHARE)
        self.listener = RpcListener(
            self.dispatcher, sockets // 2, max(100, int(told.limits.memory_mb * 8)), held
        )
        self.is_stopping = False
        self.log = structlog.get_logger().bind(edge=told.dispatcher_settings.name)

    async def serve(self, started: Callable[[], None] | None = None, early: Sequence[int] = ()) -> None:
        """Until SIGTERM has been obeyed. Raises OSError for the listener. `early` signals came before they
        could be received here."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._fault)
        async with anyio.create_task_group() as group:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                group.start_soon(self.dispatcher.run)
                group.start_soon(self.listener.run)
                await self.dispatcher.snapshot_received.wait()
                freeze_heap()
                host, port = self.config.listen_address
                listener = create_listener(await self._listen(), self.listener)
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
            self.log.warning("listener_delayed", at=self.config.listen_address, why=str(error))

        return await bind(
            self.config.listen_address,
            KILL_MARGIN_SECONDS + KILL_DEADLINE_LIMIT_SECONDS + BIND_MARGIN_SECONDS,
            delayed=delayed,
        )

    def _got(self, got: signal.Signals, group: TaskGroup, listener: Listener) -> None:
        """The roster is followed to the end, so that it may move while the stop goes on."""
        if got is signal.SIGHUP:
            self.reload()
        elif not self.is_stopping:
            self.is_stopping = True
            self.log.info("stops", held=len(self.dispatcher.pending_requests))
            group.start_soon(self._stop, group, listener)

    def _fault(self, _loop: asyncio.AbstractEventLoop, told: dict[str, Any]) -> None:
        """Of a callback of the event loop: it costs one connection, and is told as any fault of ours is."""
        error = told.get("exception")
        if isinstance(error, Exception) and not isinstance(error, OSError):
            self.dispatcher.record_fault(error)

    def reload(self) -> None:
        """Takes over where the journal service is; nothing that is held is touched. A file that cannot be
        read leaves the old one in force."""
        try:
            told = config.read_config(self.path)
        except config.ConfigError as error:
            self.log.warning("the configuration stays as it was", why=str(error))
            return
        self.discovery.change_address(told.journal_address)
        self.log.info("the configuration was read again", journal=told.journal_address)

    async def _stop(self, group: TaskGroup, listener: Listener) -> None:
        """Clients still come for a while, and all that was taken is answered, by the time of a kill at the
        latest. What the machine has accepted counts as taken: no connection in the backlog and no bytes of a
        client are left behind. Who goes on asking on an open connection is served as long as there is time,
        then refused, and its connection ended with nothing unread."""
        dispatcher, door = self.dispatcher, self.listener
        longest = max(dispatcher.deadlines_ns.values(), default=0) / 1e9
        last = min(longest, KILL_DEADLINE_LIMIT_SECONDS) + KILL_MARGIN_SECONDS - LAST_RESPONSES_SECONDS
        clients = min(ACCEPT_AFTER_SIGTERM_SECONDS, last - REJECT_BEFORE_END_SECONDS)
        asyncio.get_running_loop().call_later(last - REJECT_BEFORE_END_SECONDS, door.reject_new_requests)
        await anyio.sleep(clients)
        with time_limit(last - clients):
            while readable(listener.sock):
                door.close_quiet_connections()  # who comes may wait for a place
                await anyio.sleep(0.005)
            listener.close()
            while listener.accepting:  # what was accepted last has yet to be made a client
                await anyio.sleep(0.005)
            while dispatcher.pending_requests or door.clients:
                door.close_quiet_connections()
                await anyio.sleep(0.01)
        listener.close()
        dispatcher.finish_all()
        door.close_all_connections()
        with time_limit(FLUSH_SECONDS):
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


def freeze_heap() -> None:
    """What stands now is looked at by no garbage collection any more, so that even a full one is short: one
    that looks at thousands of listed workers holds up requests for tens of milliseconds."""
    gc.collect()
    gc.freeze()


def main(early: Sequence[int] = ()) -> int:
    configure_log()
    try:
        node = Node(Path(os.environ.get("ROUTER_CONFIG", "")))
    except config.ConfigError as error:
        structlog.get_logger().error("no configuration that can be used", why=str(error))
        return 2
    # requests and attempts hold each other, and what waits to be collected is growth
    gc.set_threshold(2_000, 5, 5)
    freeze_heap()
    status = 0
    try:
        anyio.run(node.serve, None, early, backend_options={"use_uvloop": True})
    except* OSError as errors:
        structlog.get_logger().error(
            "it cannot listen", at=node.config.listen_address, why=str(errors.exceptions[0])
        )
        status = 2
    return status

"""The dispatcher on the platform, from its configuration to its end."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
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
from martenlead.node.discovery import JournalSource
from martenlead.node.listener import RpcListener
from martenlead.node.sockets import readable
from martenlead.node.worker_client import WorkerClient
from martenlead.system.clocks import unix_clock
from martenlead.system.listener import bind
from martenlead.system.log import configure_log

# for the listener, the event loop, the journal service, what the interpreter opens, and clients
# that come while others are closed
RESERVED_DESCRIPTORS = 40
LEAST_DESCRIPTORS = 16  # beside these
REQUESTS_PER_MB = 8  # open at a time
REQUESTS_MINIMUM = 100
BODY_MEMORY_SHARE = 1 / 8  # of the memory limit, for bodies of open requests

ACCEPT_AFTER_SIGTERM_SECONDS = 0.8  # in which clients still come
# SIGKILL comes after the longest deadline, of which so much counts at most, and this margin
KILL_MARGIN_SECONDS, KILL_DEADLINE_LIMIT_SECONDS = 0.7, 3.0
LAST_RESPONSES_SECONDS = 0.2  # before SIGKILL, for the last responses to leave
REJECT_BEFORE_END_SECONDS = 0.15  # before the last responses; nothing new is accepted then
FLUSH_SECONDS = 0.15  # at most, for what was written to clients that are slow to read
BIND_MARGIN_SECONDS = 4.0  # for an earlier process to end, and for faults that pass
ACCEPT_POLL_SECONDS = 0.005
CLOSE_POLL_SECONDS = 0.01

# requests and attempts refer to each other: what waits to be collected is growth of the process
COLLECTION_THRESHOLDS = (2_000, 5, 5)

EXIT_UNUSABLE = 2  # no usable configuration, or no listener


class Node:
    """One dispatcher with its clients, workers and source of membership."""

    def __init__(self, path: Path) -> None:
        """Reads the configuration; raises config.ConfigError."""
        self.path = path
        self.config = config.read_config(path)
        settings, limits = self.config.dispatcher_settings, self.config.limits
        clock = unix_clock()
        descriptors = max(LEAST_DESCRIPTORS, limits.sockets - RESERVED_DESCRIPTORS)
        objectives_ns = {
            name: request_class.latency_objective_ns
            for name, request_class in settings.request_classes.items()
        }
        self.worker_client = WorkerClient(
            self.config.connection_settings, descriptors // 2, objectives_ns, clock
        )
        self.discovery = JournalSource(
            settings.name,
            self.config.journal_address,
            self.config.initial_updates,
            self.config.tables,
        )
        self.dispatcher = Dispatcher(settings, self.worker_client, self.discovery, clock)
        self.listener = RpcListener(
            self.dispatcher,
            connection_limit=descriptors // 2,
            request_limit=max(REQUESTS_MINIMUM, int(limits.memory_mb * REQUESTS_PER_MB)),
            body_bytes_limit=int(limits.memory_mb * 2**20 * BODY_MEMORY_SHARE),
        )
        self.is_stopping = False
        self.log = structlog.get_logger().bind(edge=settings.name)

    async def serve(
        self, started: Callable[[], None] | None = None, early_signals: Sequence[int] = ()
    ) -> None:
        """Serves until the shutdown after a SIGTERM is complete.

        `early_signals` came before they could be received here. Raises OSError if it cannot listen.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._handle_loop_exception)
        async with anyio.create_task_group() as group:
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as signals:
                group.start_soon(self.dispatcher.run)
                group.start_soon(self.listener.run)
                await self.dispatcher.snapshot_received.wait()
                freeze_heap()
                host, port = self.config.listen_address
                listener = create_listener(await self._bind(), self.listener)
                listener.start()
                self.log.info("node_started", host=host, port=port)
                if started is not None:
                    started()
                for number in early_signals:
                    self._handle_signal(signal.Signals(number), group, listener)
                async for received in signals:
                    self._handle_signal(received, group, listener)

    async def _bind(self) -> socket.socket:
        """Returns a listening socket.

        An earlier process may have the address for as long as it may live after its SIGTERM, and
        other errors may pass too. Raises OSError for one that cannot pass, or once the time is
        over.
        """
        address = self.config.listen_address

        def log_delay(error: OSError) -> None:
            """Logs the first error that may pass."""
            self.log.warning("listener_delayed", address=address, reason=str(error))

        patience_seconds = KILL_MARGIN_SECONDS + KILL_DEADLINE_LIMIT_SECONDS + BIND_MARGIN_SECONDS
        return await bind(address, patience_seconds, delayed=log_delay)

    def _handle_signal(
        self, received: signal.Signals, group: TaskGroup, listener: Listener
    ) -> None:
        """Reloads also during shutdown: the journal service may still move."""
        if received is signal.SIGHUP:
            self.reload()
        elif not self.is_stopping:
            self.is_stopping = True
            pending = len(self.dispatcher.pending_requests)
            self.log.info("shutdown_started", pending_requests=pending)
            group.start_soon(self._shut_down, group, listener)

    def _handle_loop_exception(
        self,
        _loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],  # the loop's own form
    ) -> None:
        """Records the fault of a callback of the event loop; it costs one connection."""
        error = context.get("exception")
        if isinstance(error, Exception) and not isinstance(error, OSError):
            self.dispatcher.record_fault(error)

    def reload(self) -> None:
        """Takes over a new address of the journal service; requests go on.

        A file that cannot be read leaves the configuration as it was.
        """
        try:
            new_config = config.read_config(self.path)
        except config.ConfigError as error:
            self.log.warning("config_rejected", reason=str(error))
            return
        self.discovery.change_address(new_config.journal_address)
        self.log.info("config_reloaded", journal_address=new_config.journal_address)

    async def _shut_down(self, group: TaskGroup, listener: Listener) -> None:
        """Answers all that was accepted, before SIGKILL comes.

        Clients still come for a while. What the machine has accepted counts: no connection of the
        backlog and no bytes of a client are left behind. A client that goes on sending on an open
        connection is served as long as there is time, then rejected, and its connection closed with
        nothing unread.
        """
        dispatcher, clients = self.dispatcher, self.listener
        end_seconds = self._seconds_to_last_responses()
        reject_seconds = end_seconds - REJECT_BEFORE_END_SECONDS
        accept_seconds = min(ACCEPT_AFTER_SIGTERM_SECONDS, reject_seconds)
        asyncio.get_running_loop().call_later(reject_seconds, clients.reject_new_requests)
        await anyio.sleep(accept_seconds)
        with time_limit(end_seconds - accept_seconds):
            await self._drain(listener)
        listener.close()
        dispatcher.finish_all()
        clients.close_all_connections()
        with time_limit(FLUSH_SECONDS):
            while clients.closing:  # noqa: ASYNC110 - connections end in the loop's callbacks
                await anyio.sleep(CLOSE_POLL_SECONDS)
        counts = {" ".join(key): count for key, count in sorted(dispatcher.counts.items())}
        self.log.info("node_stopped", counts=counts)
        group.cancel_scope.cancel()

    def _seconds_to_last_responses(self) -> float:
        longest_deadline_seconds = max(self.dispatcher.deadlines_ns.values(), default=0) / 1e9
        kill_seconds = (
            min(longest_deadline_seconds, KILL_DEADLINE_LIMIT_SECONDS) + KILL_MARGIN_SECONDS
        )
        return kill_seconds - LAST_RESPONSES_SECONDS

    async def _drain(self, listener: Listener) -> None:
        """Accepts the backlog, then waits until no request is pending and no client is left."""
        clients = self.listener
        while readable(listener.sock):
            clients.close_connections_between_requests()  # who comes may wait for a descriptor
            await anyio.sleep(ACCEPT_POLL_SECONDS)
        listener.close()
        while listener.accepting:  # noqa: ASYNC110 - accepted last, and not clients yet
            await anyio.sleep(ACCEPT_POLL_SECONDS)
        while self.dispatcher.pending_requests or clients.clients:
            clients.close_connections_between_requests()
            await anyio.sleep(CLOSE_POLL_SECONDS)


def freeze_heap() -> None:
    """Exempts all present objects from garbage collection, so that even a full one is short.

    A collection that looks at thousands of listed workers delays requests by tens of milliseconds.
    """
    gc.collect()
    gc.freeze()


def main(early_signals: Sequence[int] = ()) -> int:
    """Runs a node; returns its exit status."""
    configure_log()
    try:
        node = Node(Path(os.environ.get("ROUTER_CONFIG", "")))
    except config.ConfigError as error:
        structlog.get_logger().error("config_rejected", reason=str(error))
        return EXIT_UNUSABLE
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    freeze_heap()
    try:
        anyio.run(node.serve, None, early_signals, backend_options={"use_uvloop": True})
    except* OSError as errors:
        address, reason = node.config.listen_address, str(errors.exceptions[0])
        structlog.get_logger().error("listener_failed", address=address, reason=reason)
        return_status = EXIT_UNUSABLE
    else:
        return_status = 0
    return return_status

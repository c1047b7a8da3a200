"""Runs a dispatcher on the platform's protocol, from its configuration to its shutdown."""

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

# Descriptors for the listener, the event loop, the journal service, the interpreter, and clients
# that connect while others are being closed
RESERVED_DESCRIPTORS = 40
# Minimum number of descriptors for connections, in addition to the reserved ones
LEAST_DESCRIPTORS = 16
# Open requests per MB of the memory limit
REQUESTS_PER_MB = 8
REQUESTS_MINIMUM = 100
# Share of the memory limit for the bodies of open requests
BODY_MEMORY_SHARE = 1 / 8
# Share of the memory limit for messages that are incomplete or wait to be handled
INPUT_MEMORY_SHARE = 1 / 16

# Clients may still connect for this long after SIGTERM
ACCEPT_AFTER_SIGTERM_SECONDS = 0.8
# SIGKILL follows SIGTERM after the longest deadline, capped at the limit here, plus the margin
KILL_MARGIN_SECONDS, KILL_DEADLINE_LIMIT_SECONDS = 0.7, 3.0
# Time before SIGKILL for sending the last responses
LAST_RESPONSES_SECONDS = 0.2
# Time before the last responses in which new requests are rejected
REJECT_BEFORE_END_SECONDS = 0.15
# Longest wait for written data to reach clients that read slowly
FLUSH_SECONDS = 0.15
# Extra time to bind, for an earlier process to end and for temporary errors
BIND_MARGIN_SECONDS = 4.0
ACCEPT_POLL_SECONDS = 0.005
CLOSE_POLL_SECONDS = 0.01

# Requests and attempts refer to each other: those not yet collected add to the process's memory
COLLECTION_THRESHOLDS = (2_000, 5, 5)

EXIT_UNUSABLE = 2  # no usable configuration, or no listener


class Node:
    """A dispatcher with its listener, worker client and membership source."""

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
            input_bytes_limit=int(limits.memory_mb * 2**20 * INPUT_MEMORY_SHARE),
        )
        self.is_stopping = False
        self.log = structlog.get_logger().bind(edge=settings.name)

    async def serve(
        self, started: Callable[[], None] | None = None, early_signals: Sequence[int] = ()
    ) -> None:
        """Serves until the shutdown after a SIGTERM is complete.

        `early_signals` arrived before this method could receive them. Raises OSError if the
        listening socket cannot be bound.
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
        """Returns a listening socket, retrying temporary errors.

        An earlier process may use the address until it is killed after its SIGTERM. Raises OSError
        for a permanent error, or when the time for retries is over.
        """
        address = self.config.listen_address

        def log_delay(error: OSError) -> None:
            """Logs the first temporary error."""
            self.log.warning("listener_delayed", address=address, reason=str(error))

        timeout_seconds = KILL_MARGIN_SECONDS + KILL_DEADLINE_LIMIT_SECONDS + BIND_MARGIN_SECONDS
        return await bind(address, timeout_seconds, delayed=log_delay)

    def _handle_signal(
        self, received: signal.Signals, group: TaskGroup, listener: Listener
    ) -> None:
        """Reloads on SIGHUP, else shuts down; reloads even then: the journal service may move."""
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
        context: dict[str, Any],  # the context that asyncio passes
    ) -> None:
        """Records a fault in an event-loop callback, which affects only one connection."""
        error = context.get("exception")
        if isinstance(error, Exception) and not isinstance(error, OSError):
            self.dispatcher.record_fault(error)

    def reload(self) -> None:
        """Applies a new address of the journal service, without interrupting requests.

        The configuration stays unchanged if the file cannot be used.
        """
        try:
            new_config = config.read_config(self.path)
        except config.ConfigError as error:
            self.log.warning("config_rejected", reason=str(error))
            return
        self.discovery.change_address(new_config.journal_address)
        self.log.info("config_reloaded", journal_address=new_config.journal_address)

    async def _shut_down(self, group: TaskGroup, listener: Listener) -> None:
        """Answers all accepted requests before SIGKILL arrives.

        Clients may still connect for a while. Connections in the kernel's backlog and unread input
        count as accepted, so none are dropped. A client that keeps sending on an open connection is
        served while time is left; then its requests are rejected, and its connection is closed with
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
            clients.close_connections_between_requests()  # new ones may need a descriptor
            await anyio.sleep(ACCEPT_POLL_SECONDS)
        listener.close()
        while listener.accepting:  # noqa: ASYNC110 - accepted last, and not registered yet
            await anyio.sleep(ACCEPT_POLL_SECONDS)
        while self.dispatcher.pending_requests or clients.clients:
            clients.close_connections_between_requests()
            await anyio.sleep(CLOSE_POLL_SECONDS)


def freeze_heap() -> None:
    """Exempts all existing objects from garbage collection, so that even a full one is short.

    A collection that traverses thousands of listed workers delays requests by tens of milliseconds.
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

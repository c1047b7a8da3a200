"""Membership source that follows the journal service, resuming after the last known event."""

from __future__ import annotations

import anyio
import structlog

from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.timeouts import time_limit
from martenlead.node.journal import (
    EVENT_NUMBER,
    FrameDecoder,
    JournalFrameError,
    JournalTables,
)
from martenlead.node.worker_age import NS_PER_MS, WorkerAges
from martenlead.upstream.endpoints import EndpointList, EndpointUpdate, MissingVersionError

SILENCE_TIMEOUT_SECONDS = 1.6  # heartbeats are due every second
CONNECT_TIMEOUT_SECONDS = 0.5
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.02, 0.25  # delay before reconnecting

ADDRESS_CHANGED = "it moved"  # logged reason for the end of a connection


class JournalSource:
    """Follows the journal service, and updates the dispatcher's workers."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        initial_updates: list[EndpointUpdate],
        tables: JournalTables,
    ) -> None:
        self.address, self.initial_updates, self.tables = address, initial_updates, tables
        self.endpoint_list = EndpointList()
        self.worker_ages = WorkerAges()
        self.log = structlog.get_logger().bind(edge=name)
        self._scope: anyio.CancelScope | None = None
        # The versions before and after the last gap in the event numbers.
        self._last_gap: tuple[int, int] | None = None

    def change_address(self, address: tuple[str, int]) -> None:
        """Reconnects to the service at another address, where the event numbers continue."""
        if address != self.address:
            self.address = address
            if self._scope is not None:
                self._scope.cancel()

    async def run(self, dispatcher: Dispatcher) -> None:
        """Follows the service until cancelled, reconnecting whenever a connection ends."""
        try:
            for update in self.initial_updates:
                self._apply(dispatcher, update)
        except MissingVersionError as error:
            self.log.warning("initial_events_missed", reason=str(error))
        dispatcher.snapshot_received.set()
        backoff_seconds = MIN_BACKOFF_SECONDS
        while True:
            version_before = self.endpoint_list.version
            reason = ADDRESS_CHANGED
            with anyio.CancelScope() as self._scope:
                reason = await self._follow(dispatcher)
            dispatcher.counts["roster", "lost"] += 1
            version = self.endpoint_list.version
            self.log.info("journal_connection_lost", reason=reason, version=version)
            if version > version_before or reason == ADDRESS_CHANGED:
                backoff_seconds = MIN_BACKOFF_SECONDS
            else:
                backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
            await anyio.sleep(backoff_seconds)

    async def _follow(self, dispatcher: Dispatcher) -> str:
        """Follows one connection to its end; returns why it ended."""
        try:
            with time_limit(CONNECT_TIMEOUT_SECONDS):
                stream = None
                stream = await anyio.connect_tcp(*self.address)
            if stream is None:
                return "connecting timed out"
            async with stream:
                return await self._read_stream(dispatcher, stream)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return "the connection ended"
        except (JournalFrameError, MissingVersionError) as error:
            return str(error)
        except Exception as error:  # an inconsistent update must not end the program
            dispatcher.record_fault(error)
            return "a fault of ours"

    async def _read_stream(self, dispatcher: Dispatcher, stream: anyio.abc.SocketStream) -> str:
        """Applies updates until none arrives within the silence timeout; returns the reason."""
        decoder = FrameDecoder(self.tables)
        await stream.send(EVENT_NUMBER.pack(self.endpoint_list.version))
        while True:
            # Only a complete update resets the timeout: a frame that trickles in byte by byte
            # counts as silence.
            updates: list[EndpointUpdate] = []
            with time_limit(SILENCE_TIMEOUT_SECONDS):
                while not updates:
                    updates = decoder.feed(await stream.receive())
            if not updates:
                return "no update within the silence timeout"
            for update in updates:
                self._apply(dispatcher, update)

    def _apply(self, dispatcher: Dispatcher, update: EndpointUpdate) -> None:
        """Applies one update. Raises MissingVersionError when a gap is found for the first time."""
        version = self.endpoint_list.version
        if update.version <= version:  # a heartbeat or a duplicate
            if update.endpoints is None:
                self.worker_ages.confirm(dispatcher.clock())
            return
        is_delta = not update.is_snapshot and update.version > version + 1
        has_gap = update.endpoints is None or is_delta
        gap = version, update.version
        if has_gap and gap != self._last_gap:
            self._last_gap = gap
            detail = f"at version {gap[0]}, received version {gap[1]}"
            raise MissingVersionError(detail)
        if update.endpoints is None:
            return
        # The service no longer has the missing events; applying the later ones is better than none.
        if has_gap:
            self.endpoint_list.version = update.version - 1
        self._fill_ages(update, dispatcher.clock())
        if self.endpoint_list.apply(update):
            dispatcher.update_endpoints(update.endpoints, update.is_snapshot)

    def _fill_ages(self, update: EndpointUpdate, now_ns: int) -> None:
        """Computes the ages of workers from their start times."""
        offset_before_ns = self.worker_ages.offset_ns
        self.worker_ages.fill_ages(update, now_ns)
        offset_ns = self.worker_ages.offset_ns
        if offset_ns != offset_before_ns:
            self.log.info(
                "clock_offset_estimated", offset_ms=offset_ns / NS_PER_MS, version=update.version
            )

"""Follows the endpoint list over HTTP, and caches it on disk for the next start."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random

import anyio
import anyio.to_thread
import msgspec
import structlog

from martenlead.config.edge import EdgeSettings
from martenlead.edge.dispatcher import Dispatcher
from martenlead.system.durable_file import Backoff, remove_leftovers
from martenlead.system.state_saver import SaveHealth, StateSaver
from martenlead.upstream import endpoints
from martenlead.upstream.endpoint_watch import watch_endpoints
from martenlead.upstream.endpoints import CachedEndpoints, EndpointList, EndpointUpdate

NS_PER_MS = 1e6


class HttpMembership:
    """A `MembershipSource` that watches the endpoint list of discovery."""

    def __init__(self, settings: EdgeSettings) -> None:
        self.settings = settings
        self.endpoint_list = EndpointList()
        self.log = structlog.get_logger().bind(edge=settings.name)
        self._saver: StateSaver[CachedEndpoints] | None = None

    async def run(self, dispatcher: Dispatcher) -> None:
        """Starts with the cached list, then follows the stream until it is cancelled."""
        watch_settings = self.settings.endpoint_list
        path = Path(watch_settings.kept) if watch_settings.kept else None

        async with anyio.create_task_group() as group:
            if path is not None:
                self._saver = self._make_saver(path, dispatcher)
                if not self._start_with_cached(path, dispatcher):
                    group.start_soon(self._retry_cached, path, dispatcher)
                group.start_soon(self._saver.run)
            await watch_endpoints(
                watch_settings,
                f"martenlead/{self.settings.name}".encode(),
                self.endpoint_list,
                on_update=partial(self._on_update, dispatcher),
                on_lost=partial(self._on_lost, dispatcher),
                on_error=dispatcher.record_fault,
                random=dispatcher.random.random,
            )

    def _on_update(self, dispatcher: Dispatcher, update: EndpointUpdate) -> None:
        dispatcher.update_endpoints(update.endpoints or [], update.is_snapshot)
        if self._saver is not None:
            self._saver.changed()

    def _on_lost(self, dispatcher: Dispatcher, reason: str) -> None:
        """Counts and logs a lost stream. The last list remains in use until the stream is back."""
        dispatcher.counts["roster", "lost"] += 1
        workers = len(self.endpoint_list.endpoints)
        self.log.warning("endpoint_watch_lost", reason=reason, workers=workers)

    def _start_with_cached(self, path: Path, dispatcher: Dispatcher) -> bool:
        """Loads the cached list. Returns False if reading it failed and should be retried.

        Returns True also if there is no cached list.
        """
        try:
            cached = endpoints.load_cached_endpoints(path)
        except OSError as error:
            self.log.warning("endpoint_cache_unread", reason=str(error))
            return False
        if cached is not None:
            self._apply_cached(cached, dispatcher)
        return True

    async def _retry_cached(self, path: Path, dispatcher: Dispatcher) -> None:
        """Retries reading the cached list, which is useful until discovery has answered."""
        backoff = Backoff(Random(self.settings.name))
        while True:
            await anyio.sleep(backoff.next_seconds())
            cached = None
            with suppress(OSError):
                cached = await anyio.to_thread.run_sync(endpoints.load_cached_endpoints, path)
            if dispatcher.snapshot_received.is_set():
                return
            if cached is not None:
                self._apply_cached(cached, dispatcher)

    def _apply_cached(self, cached: CachedEndpoints, dispatcher: Dispatcher) -> None:
        self.endpoint_list.version = 0  # makes discovery send a snapshot
        self.endpoint_list.endpoints = {endpoint.id: endpoint for endpoint in cached.endpoints}
        dispatcher.update_endpoints(list(self.endpoint_list.endpoints.values()), True)
        self.log.info("endpoint_cache_loaded", workers=len(cached.endpoints))

    def _make_saver(self, path: Path, dispatcher: Dispatcher) -> StateSaver[CachedEndpoints]:
        """Creates the saver, which saves the list whenever it has changed.

        It writes in a thread, because a disk may be slow, and only the newest list, however many
        changes arrived meanwhile.
        """
        remove_leftovers(path)
        health = SaveHealth(
            "list",
            self.log,
            Backoff(Random(self.settings.name)),
            count=lambda event, state: dispatcher.counts.update([(event, state)]),
        )
        return StateSaver(
            lambda: self._snapshot(dispatcher),
            lambda cached: endpoints.save_cached_endpoints(path, cached),
            health,
        )

    def _snapshot(self, dispatcher: Dispatcher) -> CachedEndpoints:
        """Returns the list with the current ages of the workers."""
        now_ns = dispatcher.clock()
        dated = []
        for endpoint in self.endpoint_list.endpoints.values():
            worker = dispatcher.workers.get(endpoint.id)
            if worker is None:  # it has gone, as a later one has its address
                continue
            started_ns = worker.started_ns
            age_ms = (now_ns - started_ns) / NS_PER_MS if started_ns else None
            dated.append(msgspec.structs.replace(endpoint, age_ms=age_ms))
        return endpoints.make_cached_endpoints(self.endpoint_list.version, dated)

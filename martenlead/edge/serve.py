"""Runs the edge program: listeners, signals, graceful shutdown."""

from __future__ import annotations

import gc
import signal
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from typing import TypeAlias

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import TaskGroup

from martenlead.config.edge import Address, EdgeSettings
from martenlead.edge.admin import AdminListener
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.http_dispatcher import create_dispatcher
from martenlead.edge.listener import EventListener
from martenlead.edge.policy_boundary import Recorder
from martenlead.events.server import listen

Companion: TypeAlias = Callable[[Dispatcher], Coroutine[object, object, None]]

IDLE_CHECK_SECONDS = 0.002  # interval of checks for the end of all pending requests
MS_PER_SECOND = 1000
NS_PER_MS = 1e6
# Garbage collection: new objects before the youngest generation is collected, and collections of
# each generation before the next older one is.
COLLECTION_THRESHOLDS = 20_000, 20, 50


async def serve(
    settings: EdgeSettings,
    on_started: Callable[[int], None] | None = None,
    recorder: Recorder | None = None,
    companions: Sequence[Companion] = (),
) -> None:
    """Serves until SIGTERM or SIGINT, and then shuts down gracefully.

    `on_started` is called with the port; `companions` run as long as the dispatcher does. After the
    first signal no new request is accepted, and pending ones have at most `drain_ms` to complete.
    At the second signal every pending request gets its response at once. Raises `OSError` if a
    listener cannot be opened.
    """
    log = structlog.get_logger().bind(edge=settings.name)
    dispatcher = create_dispatcher(settings, recorder=recorder)
    listener = EventListener(dispatcher, settings)
    stream_listener, port = await listen(settings.listen.host, settings.listen.port)
    async with anyio.create_task_group() as group:
        group.start_soon(dispatcher.run)
        for companion in companions:
            group.start_soon(companion, dispatcher)
        if settings.admin:
            await _start_admin(group, settings.admin, dispatcher, listener)
        await anyio.lowlevel.checkpoint()
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as listeners:
                listeners.start_soon(listener.server.serve, stream_listener)
                listeners.start_soon(listener.run)
                host, count = settings.listen.host, settings.dispatchers
                log.info("edge_started", host=host, port=port, dispatchers=count)
                if on_started:
                    on_started(port)
                await anext(signals)
                log.info("shutdown_started", pending_requests=len(dispatcher.pending_requests))
                listener.drain()
                listeners.start_soon(_finish, dispatcher, signals, settings.limits.drain_ms)
                await _wait_until_idle(dispatcher, listener)
                listeners.cancel_scope.cancel()
        log.info("edge_stopped", least_time_left_ms=_least_time_left_ms(dispatcher))
        group.cancel_scope.cancel()


async def _start_admin(
    group: TaskGroup, address: Address, dispatcher: Dispatcher, listener: EventListener
) -> None:
    """Starts the listener for operators."""
    stream_listener, port = await listen(address.host, address.port)
    group.start_soon(AdminListener(dispatcher, listener).server.serve, stream_listener)
    listener.log.info("admin_started", port=port)


def _least_time_left_ms(dispatcher: Dispatcher) -> float | None:
    """Returns the least time that was left until the deadline at a final response."""
    least_ns = dispatcher.least_time_left_ns
    return None if least_ns is None else least_ns / NS_PER_MS


async def _wait_until_idle(dispatcher: Dispatcher, listener: EventListener) -> None:
    # polled, because there is no event for the end of the last request
    while dispatcher.pending_requests or listener.server.active_listeners:  # noqa: ASYNC110
        await anyio.sleep(IDLE_CHECK_SECONDS)


async def _finish(
    dispatcher: Dispatcher, signals: AsyncIterator[signal.Signals], drain_ms: float
) -> None:
    """Ends all pending requests at the second signal, or when the time for the drain is over."""
    with anyio.move_on_after(drain_ms / MS_PER_SECOND):
        await anext(signals)
    dispatcher.finish_all()


def run(
    settings: EdgeSettings,
    on_started: Callable[[int], None] | None = None,
    recorder: Recorder | None = None,
    companions: Sequence[Companion] = (),
) -> None:
    """Runs the program until it has stopped. The arguments are those of `serve`.

    A full garbage collection over all pending requests stalls the event loop. So the objects that
    exist at the start are excluded from collections, and young objects are collected less often.
    There are few reference cycles: requests and responses are freed by their reference counts.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    uvloop = settings.uvloop
    anyio.run(
        serve, settings, on_started, recorder, companions, backend_options={"use_uvloop": uvloop}
    )

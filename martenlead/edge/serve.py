"""The edge program from start to end: listeners, signals, shutdown."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import anyio
import structlog

from martenlead.config.edge import EdgeSettings
from martenlead.edge import http_upstream as httplink
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.listener import Admin, EventListener
from martenlead.edge.policy_boundary import Recorder
from martenlead.events.server import listen

Companion = Callable[[Dispatcher], Coroutine[Any, Any, None]]

IDLE_CHECK_SECONDS = 0.002  # between two looks at whether all held requests have ended


async def serve(
    edge: EdgeSettings,
    started: Callable[[int], None] | None = None,
    tape: Recorder | None = None,
    beside: Sequence[Companion] = (),
) -> None:
    """Runs until SIGTERM or SIGINT has been obeyed. `started` is told the port; `beside` runs as long as the
    dispatcher does. Raises OSError for the listener.

    The first signal: no new tasks, and every held task gets its answer, for `drain_ms` at most. The second:
    every held task gets its answer now.
    """
    log = structlog.get_logger().bind(edge=edge.name)
    dispatcher = httplink.dispatcher(edge, tape=tape)
    door = EventListener(dispatcher, edge)
    listener, port = await listen(edge.listen.host, edge.listen.port)
    async with anyio.create_task_group() as group:
        group.start_soon(dispatcher.run)
        for one in beside:
            group.start_soon(one, dispatcher)
        if edge.admin:
            admin_listener, admin_port = await listen(edge.admin.host, edge.admin.port)
            group.start_soon(Admin(dispatcher, door).server.serve, admin_listener)
            log.info("admin", port=admin_port)
        await anyio.sleep(0)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as doors:
                doors.start_soon(door.server.serve, listener)
                doors.start_soon(door.run)
                log.info("serves", host=edge.listen.host, port=port, dispatchers=edge.dispatchers)
                if started:
                    started(port)
                await anext(signals)
                log.info("stops", held=len(dispatcher.pending_requests))
                door.drain()
                doors.start_soon(_finish, dispatcher, signals, edge.limits.drain_ms / 1000)
                await _until_idle(dispatcher, door)
                doors.cancel_scope.cancel()
        log.info("stopped", closest_answer_ms=_closest_ms(dispatcher))
        group.cancel_scope.cancel()


def _closest_ms(dispatcher: Dispatcher) -> float | None:
    """The least time that was left at a final response."""
    return None if dispatcher.least_time_left_ns is None else dispatcher.least_time_left_ns / 1e6


async def _until_idle(dispatcher: Dispatcher, door: EventListener) -> None:
    while dispatcher.pending_requests or door.server.active_listeners:
        await anyio.sleep(IDLE_CHECK_SECONDS)


async def _finish(dispatcher: Dispatcher, signals: object, within: float) -> None:
    """Hastens the end at the second signal, or when the time for a slow one is over."""
    with anyio.move_on_after(within):
        await anext(signals)  # type: ignore[call-overload]
    dispatcher.finish_all()


def configure_log(edge: EdgeSettings) -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(edge.log.level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def run(
    edge: EdgeSettings,
    started: Callable[[int], None] | None = None,
    tape: Recorder | None = None,
    beside: Sequence[Companion] = (),
) -> None:
    # a full collection over all that is held stalls the loop: what stands at the start is left out of it, and
    # the young are looked at less often; cycles are few, since tasks and answers end by their counts
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    anyio.run(serve, edge, started, tape, beside, backend_options={"use_uvloop": edge.uvloop})

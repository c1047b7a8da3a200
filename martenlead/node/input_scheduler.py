"""Shares the event loop among client connections that have sent many messages at once.

One read may hold thousands of small messages, and handling all of them in one call would hold up
every other connection for seconds. So a connection handles a limited number of messages per read.
It does not read while further ones wait, and takes turns with other such connections here. They
get a part of the loop's time together, however many they are.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import structlog

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1e9
# Time for waiting messages per loop iteration, exceeded by one connection's turn at most
ITERATION_NS = 4 * NS_PER_MS
# Pause behind an iteration, as a multiple of its length: half of the time is left for other work
PAUSE_RATIO = 1.0
LOG_INTERVAL_NS = 1_000 * NS_PER_MS


class WaitingConnection(Protocol):
    """A connection that has read messages and not handled them yet."""

    @property
    def peer_address(self) -> str:
        """The client's address and port."""

    @property
    def waiting_messages(self) -> int:
        """The number of decoded messages that wait; 0 if none does."""

    @property
    def refusable_bytes(self) -> int:
        """The bytes that wait, decoded or not."""

    def handle_next_messages(self) -> None:
        """Handles a limited number of them."""


class InputScheduler:
    """Lets connections with waiting messages take turns, in the order in which they came."""

    def __init__(self, clock: Callable[[], int], count_deferral: Callable[[], None]) -> None:
        """`clock` returns ns; `count_deferral` is called whenever messages begin to wait."""
        self._clock, self._count_deferral = clock, count_deferral
        self._waiting: dict[WaitingConnection, None] = {}  # the next first
        self._is_scheduled = False
        self._logged_ns = -LOG_INTERVAL_NS
        self._log = structlog.get_logger()

    def add(self, connection: WaitingConnection) -> None:
        """Adds a connection whose messages began to wait."""
        self._waiting[connection] = None
        self._count_deferral()
        self._log_deferral(connection)
        self._schedule(0.0)

    def _log_deferral(self, connection: WaitingConnection) -> None:
        now_ns = self._clock()
        if now_ns - self._logged_ns < LOG_INTERVAL_NS:
            return
        self._logged_ns = now_ns
        self._log.info(
            "client_input_deferred",
            client=connection.peer_address,
            waiting_bytes=connection.refusable_bytes,
            waiting_connections=len(self._waiting),
        )

    def _schedule(self, seconds: float) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        asyncio.get_running_loop().call_later(seconds, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        began_ns = self._clock()
        elapsed_ns = 0
        for connection in list(self._waiting):
            del self._waiting[connection]
            connection.handle_next_messages()
            if connection.waiting_messages:
                self._waiting[connection] = None
            elapsed_ns = self._clock() - began_ns
            if elapsed_ns >= ITERATION_NS:
                break
        if self._waiting:
            self._schedule(PAUSE_RATIO * elapsed_ns / NS_PER_SECOND)

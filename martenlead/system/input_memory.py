"""Bounds the received bytes that all connections of a server keep together.

A connection keeps the beginning of a message whose rest has not arrived, and whole messages that
wait for their turn. Each connection is bounded by itself, but hundreds of them could still exceed
the memory of the process.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import structlog

LOG_INTERVAL_NS = 1_000_000_000


class KeepingConnection(Protocol):
    """The part of a connection that `InputMemory` uses."""

    @property
    def partial_since_ns(self) -> int:
        """The start of an incomplete message, or 0."""

    @property
    def peer_address(self) -> str:
        """The client's address and port."""

    @property
    def refusable_bytes(self) -> int:
        """The received bytes that it keeps, or 0 if it may not drop them."""

    def refuse_input(self) -> None:
        """Drops what it keeps, reads no more, and closes once its open requests are answered."""


class InputMemory:
    """Refuses the input of connections while all of them keep more than `limit_bytes`."""

    def __init__(
        self,
        limit_bytes: int,
        connections: Iterable[KeepingConnection],
        clock: Callable[[], int],
        count_refusal: Callable[[], None],
    ) -> None:
        """`connections` are the open ones; `count_refusal` is called for each that is refused."""
        self.limit_bytes, self.connections = limit_bytes, connections
        self.kept_bytes = 0
        self._clock, self._count_refusal = clock, count_refusal
        self._log = structlog.get_logger()
        self._logged_ns = -LOG_INTERVAL_NS

    @property
    def is_full(self) -> bool:
        """Whether all connections together keep more than they may."""
        return self.kept_bytes > self.limit_bytes

    def change(self, difference_bytes: int) -> None:
        """Records that a connection keeps more or fewer bytes, and refuses input if need be."""
        self.kept_bytes += difference_bytes
        while difference_bytes > 0 and self.is_full:
            keeping = [c for c in self.connections if c.refusable_bytes]
            if not keeping:
                return
            self._refuse(min(keeping, key=_rank))

    def _refuse(self, connection: KeepingConnection) -> None:
        self._count_refusal()
        now_ns = self._clock()
        if now_ns - self._logged_ns >= LOG_INTERVAL_NS:
            self._logged_ns = now_ns
            self._log.warning(
                "client_input_refused",
                client=connection.peer_address,
                connection_bytes=connection.refusable_bytes,
                kept_bytes=self.kept_bytes,
            )
        connection.refuse_input()


def _rank(connection: KeepingConnection) -> tuple[bool, int]:
    """Orders by the start of an incomplete message; without one, the most bytes come first."""
    if connection.partial_since_ns:
        return False, connection.partial_since_ns
    return True, -connection.refusable_bytes

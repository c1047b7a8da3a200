"""Graceful close of a client connection by this program.

Each request that was read from the connection must get a response. So the connection accepts no new
request, and closes once all its requests have responses and no input is unread. Only a client that
has closed or reset the connection gets no response.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from martenlead.edge.cancellation import UnreadInput

NS_PER_MS = 1_000_000
LAST_READS_NS = 500 * NS_PER_MS  # time to read pending input once all requests have responses


class ClosingConnection(Protocol):
    """The part of a connection that `GracefulClose` uses."""

    is_closed: bool
    is_reading: bool
    is_unreadable: bool

    @property
    def waiting_messages(self) -> int:
        """The number of messages that were read and are not handled yet."""

    @property
    def open_requests(self) -> Mapping[int, object]:
        """Requests without a response, by number."""

    def peek_input(self) -> UnreadInput:
        """Returns what is pending on the connection, without reading it."""

    def start_lingering_close(self) -> None:
        """Half-closes the connection, and closes it once the client has had time to read."""


class GracefulClose:
    """Closes a connection once it has finished, but not before `close_after_ns` of `clock`."""

    __slots__ = ("_all_answered_ns", "_clock", "_close_after_ns", "_connection")

    def __init__(
        self, connection: ClosingConnection, close_after_ns: int, clock: Callable[[], int]
    ) -> None:
        self._connection, self._close_after_ns, self._clock = connection, close_after_ns, clock
        self._all_answered_ns = 0  # when all requests first had responses

    def close_if_finished(self) -> None:
        """Closes the connection if all requests have responses and no input is unread."""
        connection = self._connection
        if connection.is_closed or connection.open_requests or connection.is_reading:
            return
        if connection.waiting_messages:
            return  # they are handled in their turns
        now_ns = self._clock()
        self._all_answered_ns = self._all_answered_ns or now_ns
        has_unread = not connection.is_unreadable and connection.peek_input() is UnreadInput.BYTES
        if has_unread and now_ns - self._all_answered_ns <= LAST_READS_NS:
            return  # pending input is read in the next loop iteration
        if now_ns >= self._close_after_ns:
            connection.start_lingering_close()

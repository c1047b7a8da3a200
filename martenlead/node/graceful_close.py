"""The end of a connection that this program closes.

Such a connection owes a response to each request that was read from it. So it takes no new request,
and closes once all its requests have their responses and nothing lies unread. Only a client that
has left, by an end or a reset, is owed nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from martenlead.edge.cancellation import UnreadInput

NS_PER_MS = 1_000_000
LAST_READS_NS = 500 * NS_PER_MS  # for what lies unread once all requests have their responses


class ClosingConnection(Protocol):
    """What has to be known of a connection before it is closed."""

    is_closed: bool
    is_reading: bool
    is_unreadable: bool

    @property
    def open_requests(self) -> Mapping[int, object]:
        """Requests without a response, by number."""

    def peek_input(self) -> UnreadInput:
        """What lies unread on it."""

    def start_lingering_close(self) -> None:
        """Ends the writing side, and closes once the client has had time to read."""


class GracefulClose:
    """Waits until a connection may be closed, but not before `close_after_ns` of `clock`."""

    __slots__ = ("_all_answered_ns", "_clock", "_close_after_ns", "_connection")

    def __init__(
        self, connection: ClosingConnection, close_after_ns: int, clock: Callable[[], int]
    ) -> None:
        self._connection, self._close_after_ns, self._clock = connection, close_after_ns, clock
        self._all_answered_ns = 0  # when all requests had their responses for the first time

    def close_if_finished(self) -> None:
        """Closes the connection if it owes no response and nothing lies unread."""
        connection = self._connection
        if connection.is_closed or connection.open_requests or connection.is_reading:
            return
        now_ns = self._clock()
        self._all_answered_ns = self._all_answered_ns or now_ns
        has_unread = not connection.is_unreadable and connection.peek_input() is UnreadInput.BYTES
        if has_unread and now_ns - self._all_answered_ns <= LAST_READS_NS:
            return  # it is read in the next turn of the loop
        if now_ns >= self._close_after_ns:
            connection.start_lingering_close()

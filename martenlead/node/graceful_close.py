"""The end of a connection that this program closes.

Such a connection owes a response to each request that was read from it. So it takes no new request,
and closes once all its requests have their responses and nothing lies unread. Only a client that
has left, by an end or a reset, is owed nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenlead.edge.cancellation import UnreadInput

if TYPE_CHECKING:
    from martenlead.node.client_connection import ClientConnection

NS_PER_MS = 1_000_000
LAST_READS_NS = 500 * NS_PER_MS  # for what lies unread once all requests have their responses


class GracefulClose:
    """Waits until a connection may be closed, but not before `close_after_ns`."""

    __slots__ = ("_all_answered_ns", "_close_after_ns", "_connection")

    def __init__(self, connection: ClientConnection, close_after_ns: int) -> None:
        self._connection, self._close_after_ns = connection, close_after_ns
        self._all_answered_ns = 0  # when all requests had their responses for the first time

    def close_if_finished(self) -> None:
        """Closes the connection if it owes no response and nothing lies unread."""
        connection = self._connection
        if connection.is_closed or connection.open_requests or connection.is_reading:
            return
        now_ns = connection.listener.dispatcher.clock()
        self._all_answered_ns = self._all_answered_ns or now_ns
        has_unread = not connection.is_unreadable and connection.peek_input() is UnreadInput.BYTES
        if has_unread and now_ns - self._all_answered_ns <= LAST_READS_NS:
            return  # it is read in the next turn of the loop
        if now_ns >= self._close_after_ns:
            connection.start_lingering_close()

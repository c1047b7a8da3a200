"""A call to a worker, which is an attempt or a load request, until it has its outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from martenlead.edge.records import PendingRequest, UpstreamWorker
from martenlead.upstream.outcome import UpstreamOutcome

NEVER_NS = 1 << 62


class CallConnection(Protocol):
    """The part of its connection that a call uses."""

    outstanding_calls: dict[str, OutstandingCall]
    transport: Any  # asyncio's or uvloop's; None until the connection is established

    def cancel(self, call: OutstandingCall) -> bool:
        """Cancels a call; returns whether it may have run."""


class OutstandingCall:
    """A call on a connection that waits to be written or for its response.

    `request` is None for a load request. The call times out at `due_ns`; from `overdue_ns` on, a
    connection that has received nothing counts as unresponsive. The first byte must not be sent
    after `begin_by_ns`. `encode_line` returns the line for a time of writing, and is None once any
    byte of it was written, at `written_ns`.
    """

    __slots__ = (
        "begin_by_ns",
        "call_id",
        "connection",
        "due_ns",
        "encode_line",
        "on_outcome",
        "overdue_ns",
        "request",
        "worker",
        "written_ns",
    )

    def __init__(
        self,
        call_id: str,
        worker: UpstreamWorker,
        request: PendingRequest | None,
        due_ns: int,
        overdue_ns: int,
        encode_line: Callable[[int], bytes],
        on_outcome: Callable[[UpstreamOutcome], None],
        begin_by_ns: int = NEVER_NS,
    ) -> None:
        self.call_id, self.due_ns, self.overdue_ns = call_id, due_ns, overdue_ns
        self.worker, self.request, self.begin_by_ns = worker, request, begin_by_ns
        self.encode_line: Callable[[int], bytes] | None = encode_line
        self.on_outcome = on_outcome
        self.connection: CallConnection | None = None
        self.written_ns = 0

    @property
    def is_attempt(self) -> bool:
        """Whether it is an attempt, and not a load request."""
        return self.request is not None

    def is_outstanding(self) -> bool:
        """Whether the call has no outcome yet."""
        connection = self.connection
        return connection is not None and connection.outstanding_calls.get(self.call_id) is self

    def reason_not_to_send(self, now_ns: int) -> str:
        """Returns why the call may no longer be sent, or an empty string."""
        return reason_not_to_send(self.request, self.worker, self.begin_by_ns, now_ns)

    def read_client(self) -> bool:
        """Reads pending input of the request's client, which may hold a cancel or an EOF.

        Returns whether all of it was read.
        """
        request = self.request
        if request is None or request.outcome is not None or request.client is None:
            return True
        return request.client.read_unread_input()


def reason_not_to_send(
    request: PendingRequest | None, worker: UpstreamWorker, begin_by_ns: int, now_ns: int
) -> str:
    """Returns why a delayed call may no longer be sent, or an empty string.

    `request` is None for a load request.
    """
    if request is not None and request.outcome is not None:
        return "its task is over"
    if now_ns > begin_by_ns:
        return "its time to begin is over"
    return "" if worker.is_up else "the runner drains or is gone"

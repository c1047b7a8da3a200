"""One call to a worker, which is an attempt or a load request, until its one outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from martenlead.edge.records import PendingRequest, UpstreamWorker
from martenlead.upstream.outcome import UpstreamOutcome

if TYPE_CHECKING:
    from martenlead.node.upstream_connection import UpstreamConnection

NEVER_NS = 1 << 62


class OutstandingCall:
    """A call that waits on a connection, to be written or for its response.

    `request` is None for a load request. The call ends at `due_ns`; its connection is taken for
    silent from `overdue_ns` on. Its first byte may not leave after `begin_by_ns`. `encode_line`
    gives what is written at a time, and is None once any of it was written, at `written_ns`.
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
        self.connection: UpstreamConnection | None = None
        self.written_ns = 0

    def is_outstanding(self) -> bool:
        """Whether its outcome has not come."""
        connection = self.connection
        return connection is not None and connection.outstanding_calls.get(self.call_id) is self

    def reason_not_to_send(self, now_ns: int) -> str:
        """Why it may not leave any more, or nothing."""
        return reason_not_to_send(self.request, self.worker, self.begin_by_ns, now_ns)

    def read_client(self) -> bool:
        """Reads what its client has sent meanwhile, which may be a cancel or the connection's end.

        Returns whether all of it was read.
        """
        request = self.request
        if request is None or request.outcome is not None or request.client is None:
            return True
        return request.client.read_unread_input()


def reason_not_to_send(
    request: PendingRequest | None, worker: UpstreamWorker, begin_by_ns: int, now_ns: int
) -> str:
    """Why a call may not leave after a wait, or nothing; `request` is None for a load request."""
    if request is not None and request.outcome is not None:
        return "its task is over"
    if now_ns > begin_by_ns:
        return "its time to begin is over"
    return "" if worker.is_up else "the runner drains or is gone"

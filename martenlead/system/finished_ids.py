"""The ids of requests that have ended, which may not be used again for a while.

A client may send an id again after it has left, when nobody knows any more whether the request
has run. Ids that may still come again are never forgotten to make room: rather no further request
is accepted.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import TypeAlias

Id: TypeAlias = str | bytes

NS_PER_MS = 1_000_000
# Time for which an id may not be used again, in addition to the longest deadline
RETENTION_MARGIN_NS = 1_000 * NS_PER_MS
# Longer deadlines count as this: their ids would take the room of all others
RETENTION_LIMIT_NS = 10_000 * NS_PER_MS


def retention_ns(deadlines_ns: Iterable[int]) -> int:
    """Returns how long ids are remembered where requests have at most these times, in ns."""
    longest_ns = max(deadlines_ns, default=0)
    return min(longest_ns, RETENTION_LIMIT_NS) + RETENTION_MARGIN_NS


class FinishedIds:
    """Remembers each id for `retention_ns`, and at most `limit` ids. Times are in ns."""

    def __init__(self, limit: int, retention_ns: int) -> None:
        self.limit, self.retention_ns = limit, retention_ns
        self._finished_ns: OrderedDict[Id, int] = OrderedDict()  # the oldest first

    def __contains__(self, request_id: Id) -> bool:
        """Whether an id is remembered."""
        return request_id in self._finished_ns

    def __len__(self) -> int:
        """The number of ids that are remembered."""
        return len(self._finished_ns)

    def add(self, request_id: Id, now_ns: int) -> None:
        """Remembers an id from now on."""
        self._finished_ns[request_id] = now_ns
        self._finished_ns.move_to_end(request_id)

    def is_full(self, now_ns: int) -> bool:
        """Whether there is no room for a further id, after those whose time is over have left."""
        expired_ns = now_ns - self.retention_ns
        while self._finished_ns and next(iter(self._finished_ns.values())) <= expired_ns:
            self._finished_ns.popitem(last=False)
        return len(self._finished_ns) >= self.limit

"""The identities of requests that must not run a second time when their clients send them again.

A client that has left, or has got no response, may send a request again under the same identity
(CloudEvents core, `id`). Unless a repeat is harmless, it is not accepted while the earlier request
is open, or for a while after an attempt of it may have run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from hashlib import blake2b
from http import HTTPStatus

from martenlead.events.cloudevent import Event, InvalidEventError
from martenlead.system.finished_ids import FinishedIds

DIGEST_BYTES = 16
IDENTITIES_LIMIT = 65_536


class RequestIdentities:
    """The identities of open requests, and of finished ones that may have run."""

    def __init__(
        self, clock: Callable[[], int], retention_ns: int, limit: int = IDENTITIES_LIMIT
    ) -> None:
        self._clock = clock
        self._open: set[bytes] = set()
        self.finished = FinishedIds(limit, retention_ns)

    @staticmethod
    def of(event: Event) -> bytes:
        """Returns the identity of an event's request: a digest of its tenant, source and id.

        No attribute has a line end, so that different identities never read the same.
        """
        names = (event.text("customer") or "", *event.identity)
        return blake2b("\n".join(names).encode(), digest_size=DIGEST_BYTES).digest()

    def check(self, identity: bytes) -> None:
        """Raises `InvalidEventError` if a request of this identity is open or may have run."""
        if identity in self._open:
            raise InvalidEventError("id", "of a request that is open", HTTPStatus.CONFLICT)
        if identity in self.finished:
            raise InvalidEventError("id", "of a request that may have run", HTTPStatus.CONFLICT)

    def is_full(self) -> bool:
        """Whether no further identity can be remembered, after the oldest ones have expired."""
        return self.finished.is_full(self._clock())

    @contextmanager
    def open(self, identity: bytes) -> Iterator[None]:
        """Keeps an identity open for the time of the block."""
        self._open.add(identity)
        try:
            yield
        finally:
            self._open.discard(identity)

    def record_close(self, identity: bytes, may_repeat: bool) -> None:
        """Remembers the identity of a request that is closed, unless its client may repeat it."""
        if not may_repeat:
            self.finished.add(identity, self._clock())

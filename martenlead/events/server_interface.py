"""What a server shares with its connections and handlers: responses, limits, the handler's type."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from martenlead.events.http import Headers, Message, MessageLimits

SECOND_NS = 1_000_000_000


@dataclass(slots=True)
class Reply:
    """The response of a handler; the body of a generator is sent in chunks as they come."""

    status: int
    headers: Headers
    body: bytes | AsyncGenerator[bytes] = b""
    close: bool = False


Handler = Callable[[Message, int], Awaitable[Reply]]
"""Takes a request and the time at which its last byte arrived (monotonic, ns).

It is cancelled when the client has disconnected.
"""


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """What clients may use.

    A connection beyond `max_connections` is answered 503 and closed. With `max_pipelined`
    requests in flight no further request of a connection is begun.
    """

    message: MessageLimits = MessageLimits()  # noqa: RUF009 - it is frozen
    max_connections: int = 2048
    max_pipelined: int = 32
    idle_timeout_ns: int = 60 * SECOND_NS
    receive_timeout_ns: int = 10 * SECOND_NS  # from a message's first byte to its last
    write_timeout_ns: int = 10 * SECOND_NS  # for a client that does not read


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    handler: Handler
    limits: ServerLimits
    make_error_reply: Callable[[int, str], Reply]
    earliest_arrival_ns: Callable[[int], int]
    is_draining: bool

    def handle_fault(self, error: Exception) -> Reply:
        """Reports a fault of ours; the response to the client."""

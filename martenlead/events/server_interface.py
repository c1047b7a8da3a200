"""Types that a server shares with its connections and handlers."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from martenlead.events.http import Headers, Message, MessageLimits
from martenlead.system.input_memory import InputMemory

SECOND_NS = 1_000_000_000


@dataclass(slots=True)
class Reply:
    """The response of a handler; what a generator yields as the body is sent in chunks."""

    status: int
    headers: Headers
    body: bytes | AsyncGenerator[bytes] = b""
    close: bool = False


Handler = Callable[[Message, int], Awaitable[Reply]]
"""Takes a request and the time at which its last byte arrived (monotonic, ns).

It is cancelled when the client disconnects.
"""


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits on what clients may use.

    A connection beyond `max_connections` is answered with 503 and closed. While `max_pipelined`
    requests of a connection are in flight, it starts no further one. What a client sends beyond
    that is read ahead up to a limit, and rejected behind it. While all connections keep more than
    `received_bytes` of messages that are incomplete or read ahead, the oldest incomplete ones are
    answered with 503.
    """

    message: MessageLimits = MessageLimits()  # noqa: RUF009 - it is frozen
    max_connections: int = 2048
    max_pipelined: int = 32
    received_bytes: int = 64 << 20
    idle_timeout_ns: int = 60 * SECOND_NS
    receive_timeout_ns: int = 10 * SECOND_NS  # From the first byte of a message to the last
    write_timeout_ns: int = 10 * SECOND_NS  # For a client that does not read its response


class ConnectionOwner(Protocol):
    """The part of a server that its connections need."""

    handler: Handler
    limits: ServerLimits
    make_error_reply: Callable[[int, str], Reply]
    make_overrun_reply: Callable[[], Reply]
    earliest_arrival_ns: Callable[[int], int]
    input_memory: InputMemory
    is_draining: bool

    def handle_fault(self, error: Exception) -> Reply:
        """Reports an internal error; returns the response to the client."""

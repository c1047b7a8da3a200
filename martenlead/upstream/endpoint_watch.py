"""Watches the endpoint list that discovery streams, and reconnects whenever the stream breaks."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Protocol

import anyio

from martenlead.events import http
from martenlead.events.head import encode_authority
from martenlead.events.line_stream import read_lines
from martenlead.system.decode_errors import DECODE_ERRORS
from martenlead.upstream import endpoints

MAX_LINE_BYTES = 16 * 1024 * 1024
BACKOFF_LIMIT = 20  # longest wait, as a multiple of the first one
STREAM_ERRORS: tuple[type[Exception], ...] = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
PROTOCOL_ERRORS: tuple[type[Exception], ...] = (
    endpoints.MissingVersionError,
    http.InvalidMessageError,
    *DECODE_ERRORS,
)


class WatchSettings(Protocol):
    """The address of discovery, and the timing of its stream."""

    @property
    def host(self) -> str:
        """Name or address of discovery."""

    @property
    def port(self) -> int:
        """Its TCP port."""

    @property
    def silence_timeout_ms(self) -> float:
        """Time without a received byte after which the stream counts as broken."""

    @property
    def retry_ms(self) -> float:
        """First wait after a break; waits double up to `BACKOFF_LIMIT` times it."""


async def watch_endpoints(
    settings: WatchSettings,
    agent: bytes,
    known: endpoints.EndpointList,
    *,
    on_update: Callable[[endpoints.EndpointUpdate], None],
    on_lost: Callable[[str], None],
    on_error: Callable[[Exception], None],
    random: Callable[[], float],
) -> None:
    """Keeps an endpoint list up to date until cancelled.

    Args:
        settings: Address of discovery and timing of the stream.
        agent: The User-Agent.
        known: The list, to which each update is applied before `on_update`.
        on_update: Called with each update that holds endpoints, in their order.
        on_lost: Called with the reason for each break of the stream.
        on_error: Called with an error of `on_update`, after which a snapshot is requested.
        random: Draws from [0, 1), for the jitter of the waits.
    """
    first_wait_seconds = settings.retry_ms / 1000
    wait_seconds = first_wait_seconds
    while True:
        try:
            async with aclosing(_open_stream(settings, agent, known.version)) as stream:
                async for line in stream:
                    update = endpoints.decode_update(line)
                    if known.apply(update):
                        on_update(update)
                    wait_seconds = first_wait_seconds
            reason = "the stream ended"
        except Exception as error:  # a line that cannot be applied must not end the program
            reason = _handle_failure(error, known, on_error)
        on_lost(reason)
        await anyio.sleep(wait_seconds * (0.5 + random()))
        wait_seconds = min(2 * wait_seconds, BACKOFF_LIMIT * first_wait_seconds)


def _handle_failure(
    error: Exception, known: endpoints.EndpointList, on_error: Callable[[Exception], None]
) -> str:
    """Returns the reason for a break; unless the connection failed, requests a snapshot next."""
    if isinstance(error, STREAM_ERRORS):
        return f"{type(error).__name__} {error}".strip()
    known.version = 0
    if isinstance(error, PROTOCOL_ERRORS):
        return str(error)
    on_error(error)
    return "a fault of ours"


def _open_stream(settings: WatchSettings, agent: bytes, version: int) -> AsyncGenerator[bytes]:
    """Returns the stream's lines after a version, beginning with a snapshot if that is 0."""
    host = encode_authority(settings.host, settings.port)
    data = http.request(b"GET", b"/roster?after=%d" % version, host, [(b"user-agent", agent)])
    return read_lines(
        settings.host,
        settings.port,
        data,
        silence_timeout_seconds=settings.silence_timeout_ms / 1000,
        max_line_bytes=MAX_LINE_BYTES,
    )

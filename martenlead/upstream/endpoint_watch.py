"""Follows the roster's stream for as long as it is asked to: a broken one is asked for again."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import aclosing
from typing import Protocol

import anyio
import msgspec

from martenlead.events import http
from martenlead.events.client import read_lines
from martenlead.upstream import endpoints

MAX_LINE_BYTES = 16 * 1024 * 1024
STREAM_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class WatchSettings(Protocol):
    """Where the list is. Times are ms: `silence_timeout_ms` without a byte ends the stream, `retry_ms` is the
    wait before it is asked for again; waits double up to twenty of it."""

    @property
    def host(self) -> str: ...
    @property
    def port(self) -> int: ...
    @property
    def silence_timeout_ms(self) -> float: ...
    @property
    def retry_ms(self) -> float: ...


async def watch_endpoints(
    link: WatchSettings,
    agent: bytes,
    known: endpoints.EndpointList,
    *,
    on_update: Callable[[endpoints.EndpointUpdate], None],
    on_lost: Callable[[str], None],
    on_error: Callable[[Exception], None],
    random: Callable[[], float],
) -> None:
    """Never returns. `told` hears of each change in order, after `known` has it; `lost` of each break, and
    why; `fault` of an error in `told`, which makes the whole list be asked for. `pick` draws from [0, 1)."""
    host = f"{link.host}:{link.port}".encode()
    wait = link.retry_ms / 1000
    while True:
        ask = http.request(b"GET", b"/roster?after=%d" % known.version, host, [(b"user-agent", agent)])
        try:
            quiet = link.silence_timeout_ms / 1000
            async with aclosing(
                read_lines(
                    link.host, link.port, ask, silence_timeout_seconds=quiet, max_line_bytes=MAX_LINE_BYTES
                )
            ) as stream:
                async for line in stream:
                    news = endpoints.decode_update(line)
                    if known.apply(news):
                        on_update(news)
                    wait = link.retry_ms / 1000
            why = "the stream ended"
        except endpoints.MissingVersionError as gap:
            why = str(gap)
            known.version = 0
        except STREAM_ERRORS as error:
            why = f"{type(error).__name__} {error}".strip()
        except (http.InvalidMessageError, msgspec.DecodeError) as error:
            why = str(error)
            known.version = 0
        except Exception as error:  # a line that makes no sense must not end the program
            why = "a fault of ours"
            on_error(error)
            known.version = 0
        on_lost(why)
        await anyio.sleep(wait * (0.5 + random()))
        wait = min(2 * wait, link.retry_ms / 50)

"""Follows the roster's stream for as long as it is asked to: a broken one is asked for again."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import aclosing
from typing import Protocol

import anyio
import msgspec

from martenlead.events import http
from martenlead.events.client import lines
from martenlead.runnerlink import roster

LONGEST = 16 * 1024 * 1024
GONE = (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Link(Protocol):
    """Where the roster is. Times are ms: `quiet_ms` without a byte breaks the stream, `retry_ms` is the first
    wait before it is asked for again; waits double up to twenty of it."""

    @property
    def host(self) -> str: ...
    @property
    def port(self) -> int: ...
    @property
    def quiet_ms(self) -> float: ...
    @property
    def retry_ms(self) -> float: ...


async def follow(
    link: Link,
    agent: bytes,
    known: roster.List,
    *,
    told: Callable[[roster.News], None],
    lost: Callable[[str], None],
    fault: Callable[[Exception], None],
    pick: Callable[[], float],
) -> None:
    """Never returns. `told` hears of each change in order, after `known` has it; `lost` of each break, and
    why; `fault` of an error in `told`, which makes the whole list be asked for. `pick` draws from [0, 1)."""
    host = f"{link.host}:{link.port}".encode()
    wait = link.retry_ms / 1000
    while True:
        ask = http.request(b"GET", b"/roster?after=%d" % known.version, host, [(b"user-agent", agent)])
        try:
            quiet = link.quiet_ms / 1000
            async with aclosing(lines(link.host, link.port, ask, quiet=quiet, longest=LONGEST)) as stream:
                async for line in stream:
                    news = roster.decode(line)
                    if known.told(news):
                        told(news)
                    wait = link.retry_ms / 1000
            why = "the stream ended"
        except roster.Gap as gap:
            why = str(gap)
            known.version = 0
        except GONE as error:
            why = f"{type(error).__name__} {error}".strip()
        except (http.BadMessage, msgspec.DecodeError) as error:
            why = str(error)
            known.version = 0
        except Exception as error:  # a line that makes no sense must not end the program
            why = "a fault of ours"
            fault(error)
            known.version = 0
        lost(why)
        await anyio.sleep(wait * (0.5 + pick()))
        wait = min(2 * wait, link.retry_ms / 50)

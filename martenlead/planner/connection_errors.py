"""Exceptions that end a connection, at either end of the link."""

from __future__ import annotations

import anyio

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


def describe_error(error: BaseException) -> str:
    """Returns the type and the text of an error in one line."""
    return f"{type(error).__name__} {error}".strip()

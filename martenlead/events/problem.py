"""Problem details for HTTP APIs (RFC 9457)."""

from __future__ import annotations

import math

import msgspec

from martenlead.events.http import Headers
from martenlead.events.server_interface import Reply

MEDIA_TYPE = b"application/problem+json"


def problem(
    status: int, title: str, detail: str, *, retry_after_ns: int | None = None, **extensions: object
) -> Reply:
    """A response with problem details; `extensions` are its extension members.

    `retry_after_ns` becomes `Retry-After` in whole seconds, rounded up as RFC 9110 has no fractions
    of a second. The member `retry_after_ms` and the header `martenlead-retry-after-ms` hold the
    exact value.
    """
    headers: Headers = [(b"content-type", MEDIA_TYPE)]
    members: dict[str, object] = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        **extensions,
    }
    if retry_after_ns is not None:
        exact_ms = f"{retry_after_ns / 1e6:.3f}"
        members["retry_after_ms"] = float(exact_ms)
        headers.append((b"retry-after", b"%d" % math.ceil(retry_after_ns / 1e9)))
        headers.append((b"martenlead-retry-after-ms", exact_ms.encode()))
    return Reply(status, headers, msgspec.json.encode(members))

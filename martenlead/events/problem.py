"""Problem details for HTTP APIs (RFC 9457)."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from martenlead.events.http import Headers
from martenlead.events.server import Reply

TYPE = b"application/problem+json"


def problem(status: int, title: str, detail: str, *, retry_after_ns: int | None = None, **more: Any) -> Reply:
    """A response with problem details.

    `retry_after_ns` becomes `Retry-After` in whole seconds, rounded up as RFC 9110 wants it, and exactly, in
    milliseconds, the member `retry_after_ms` and the header `martenlead-retry-after-ms`.
    """
    headers: Headers = [(b"content-type", TYPE)]
    members: dict[str, Any] = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        **more,
    }
    if retry_after_ns is not None:
        exact = f"{retry_after_ns / 1e6:.3f}"
        members["retry_after_ms"] = float(exact)
        headers.append((b"retry-after", b"%d" % math.ceil(retry_after_ns / 1e9)))
        headers.append((b"martenlead-retry-after-ms", exact.encode()))
    return Reply(status, headers, msgspec.json.encode(members))

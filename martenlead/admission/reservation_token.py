"""Reservation tokens: a reservation that travels with its request to another dispatcher.

Dispatchers share nothing but a secret. A token identifies the request that it was issued for and
the window in which the request may return, by the wall clock. The clocks of dispatchers must differ
by less than the grace period, otherwise reservations appear early or late. A dispatcher accepts a
token once. Several dispatchers could each accept it once, in its window and for its request: at
worst, one request is admitted ahead of others.

Format: `1.SINCE.UNTIL.MAC`, with times in ms of Unix time. MAC is 16 bytes of HMAC-SHA-256 (RFC
2104) over version, times, and the `source` and `id` of the request, in base64url without padding
(RFC 4648).
"""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64encode

VERSION = "1"
MAX_TOKEN_LENGTH = 80
MAX_AHEAD_MS = 10 * 60 * 1000  # A window that ends later is forged, or a clock is wrong
MAC_BYTES = 16
TOKEN_PARTS = 4

RequestId = tuple[str, str]  # CloudEvents' `source` and `id`


def issue(secret: bytes, request_id: RequestId, since_ms: int, until_ms: int) -> str:
    """The token of a request that may return from `since_ms` to `until_ms` of Unix time."""
    mac = _authenticate(secret, request_id, since_ms, until_ms)
    return f"{VERSION}.{since_ms}.{until_ms}.{mac}"


def verify(secret: bytes, request_id: RequestId, token: str, now_ms: int) -> tuple[int, int] | None:
    """The window of a token, start and end in ms; None if it is not valid for this request."""
    parts = token.split(".")
    if len(token) > MAX_TOKEN_LENGTH or len(parts) != TOKEN_PARTS or not token.isascii():
        return None
    version, since, until, mac = parts
    if version != VERSION or not (since.isdigit() and until.isdigit()):
        return None
    since_ms, until_ms = int(since), int(until)
    if not since_ms <= until_ms <= now_ms + MAX_AHEAD_MS:
        return None
    expected = _authenticate(secret, request_id, since_ms, until_ms)
    return (since_ms, until_ms) if hmac.compare_digest(mac.encode(), expected.encode()) else None


def _authenticate(secret: bytes, request_id: RequestId, since_ms: int, until_ms: int) -> str:
    source, event_id = request_id
    # the length prefix keeps `source` and `id` apart, as they may hold any character
    message = f"{VERSION}.{since_ms}.{until_ms}.{len(source)}.{source}{event_id}".encode()
    digest = hmac.digest(secret, message, "sha256")[:MAC_BYTES]
    return urlsafe_b64encode(digest).rstrip(b"=").decode()

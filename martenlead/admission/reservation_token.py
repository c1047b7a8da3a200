"""Appointments that travel with the task: what one door promised, another can read and keep.

Doors share nothing but a secret. The token names the task that it was given to and the span in which it may
come, by the wall clock: doors' clocks differ by less than the grace, or appointments look early or late. A
door takes a token once; several doors could each take it once, in the span that it names, and for that one
task: nothing worse follows than that task's going ahead of others.

Text: `1.SINCE.UNTIL.MAC`, times in ms of Unix time, the MAC 16 bytes of HMAC-SHA-256 (RFC 2104) over version,
times and the task's `source` and `id`, in base64url without padding (RFC 4648).
"""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64encode

MAX_TOKEN_LENGTH = 80
MAX_AHEAD_MS = 10 * 60 * 1000  # no door promises more; one that says so was made up or is from a wrong clock


def issue(secret: bytes, mark: tuple[str, str], since_ms: int, until_ms: int) -> str:
    """The token of a task that may come from `since_ms` to `until_ms`."""
    return f"1.{since_ms}.{until_ms}.{_mac(secret, mark, since_ms, until_ms)}"


def verify(secret: bytes, mark: tuple[str, str], token: str, now_ms: int) -> tuple[int, int] | None:
    """Since and until when; None for what no door with this secret gave to this task."""
    parts = token.split(".")
    if len(token) > MAX_TOKEN_LENGTH or len(parts) != 4 or parts[0] != "1" or not token.isascii():
        return None
    if not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    since, until = int(parts[1]), int(parts[2])
    if not since <= until <= now_ms + MAX_AHEAD_MS:
        return None
    good = hmac.compare_digest(parts[3].encode(), _mac(secret, mark, since, until).encode())
    return (since, until) if good else None


def _mac(secret: bytes, mark: tuple[str, str], since_ms: int, until_ms: int) -> str:
    source, name = mark
    # lengths stand before what may hold any character, so that no two tasks read alike
    told = f"1.{since_ms}.{until_ms}.{len(source)}.{source}{name}".encode()
    return urlsafe_b64encode(hmac.digest(secret, told, "sha256")[:16]).rstrip(b"=").decode()

"""What tests do at the moment in which a dispatcher hands an attempt to its link."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


def before_attempt(link: Any, which: int, act: Callable[[], None]) -> None:
    """Calls `act` as the attempt of that place, from 0, has been decided and has not left."""
    real = link.send_attempt
    attempts = 0

    def send_attempt(attempt: Any) -> None:
        nonlocal attempts
        if attempts == which:
            act()
        attempts += 1
        real(attempt)

    link.send_attempt = send_attempt

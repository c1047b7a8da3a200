"""What tests do at the moment in which a dispatcher hands an attempt to its link."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


def before_attempt(link: Any, which: int, act: Callable[[], None]) -> None:
    """Calls `act` as the attempt of that place, from 0, has been decided and has not left."""
    real = link.hand_off
    attempts = 0

    def hand_off(attempt: Any) -> None:
        nonlocal attempts
        if attempts == which:
            act()
        attempts += 1
        real(attempt)

    link.hand_off = hand_off

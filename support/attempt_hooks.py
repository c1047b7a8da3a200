"""Hooks that run when a dispatcher hands an attempt to its link to the worker."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


def before_attempt(link: Any, index: int, action: Callable[[], None]) -> None:
    """Calls `action` when the attempt of this index, from 0, has been decided but not yet sent."""
    real = link.send_attempt
    attempts = 0

    def send_attempt(attempt: Any) -> None:
        nonlocal attempts
        if attempts == index:
            action()
        attempts += 1
        real(attempt)

    link.send_attempt = send_attempt

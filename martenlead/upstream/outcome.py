"""The one end of an attempt or of a load request, in the same form for every upstream protocol."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from martenlead.policy.types import Result, Warmth


@dataclass(slots=True)
class UpstreamOutcome:
    """How an attempt or a load request ended, and what the worker said of itself with it.

    `response` is what the listener of the request writes to its client; the other fields that
    follow it are empty or zero where the worker said nothing.
    """

    result: Result
    warmth: Warmth = Warmth.UNKNOWN  # what the attempt found of its function at the worker
    is_draining: bool = False
    response: Any = (
        None  # `Any`: its type is the listener's, `Message` over HTTP or bytes of a JSON line
    )
    reason: str = ""
    load_failure: str = ""  # name of the reason why a load failed
    replicas: int = 0  # that are loaded after a load request
    load_report: dict[str, float] = field(default_factory=dict)

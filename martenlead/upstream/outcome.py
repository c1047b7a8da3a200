"""The outcome of an attempt or a load request, in one form for all upstream protocols."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from martenlead.policy.types import Result, Warmth


@dataclass(slots=True)
class UpstreamOutcome:
    """How an attempt or a load request ended, and what the worker reported with it.

    `response` is what the listener of the request writes to its client. The fields after it are
    empty or zero if the worker reported nothing.
    """

    result: Result
    warmth: Warmth = Warmth.UNKNOWN  # state of the function when the attempt arrived at the worker
    is_draining: bool = False
    # Its type depends on the listener: `Message` over HTTP, or bytes of a JSON line.
    response: Any = None
    reason: str = ""
    load_failure: str = ""  # name of the reason why a load failed
    replicas: int = 0  # number of loaded replicas after a load request
    load_report: dict[str, float] = field(default_factory=dict)

"""What a link tells of the end of a hand-off or an order, whatever protocol it speaks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from martenlead.policy.types import Result, Warmth


@dataclass(slots=True)
class UpstreamOutcome:
    """The result, the copy that a task met, and whether the runner says that it drains. `content` is the
    answer as the door that asked writes it on; `copies` stand after an order."""

    result: Result
    warmth: Warmth = Warmth.UNKNOWN
    is_draining: bool = False
    response: Any = None
    reason: str = ""
    load_failure: str = ""  # of a load
    replicas: int = 0
    load_report: dict[str, float] = field(default_factory=dict)

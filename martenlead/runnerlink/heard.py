"""What a link tells of the end of a hand-off or an order, whatever protocol it speaks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from martenlead.policy.types import Result, Warmth


@dataclass(slots=True)
class Heard:
    """The result, the copy that a task met, and whether the runner says that it drains. `content` is the
    answer as the door that asked writes it on; `copies` stand after an order."""

    result: Result
    warmth: Warmth = Warmth.UNKNOWN
    drains: bool = False
    content: Any = None
    why: str = ""
    failure: str = ""  # of a load
    copies: int = 0
    report: dict[str, float] = field(default_factory=dict)

"""Records of the events of an emulated day, in the form that the stand-ins write."""

from __future__ import annotations

from collections import Counter
from typing import Any

from martenlead.emulator.kernel import Kernel


class Records:
    """Records of one kind of process. Without `keep` they are only counted."""

    def __init__(self, kernel: Kernel, keep: bool) -> None:
        self.kernel, self.keep = kernel, keep
        self.all: list[dict[str, Any]] = []
        self.counts: Counter[str] = Counter()

    def __call__(self, what: str, **about: Any) -> None:
        self.counts[what] += 1
        if self.keep:
            self.all.append({"t": self.kernel.now, "what": what, **about})

"""The functions that this process knows, by name and by the policy's object: a bounded table."""

from __future__ import annotations

from typing import Any

from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.records import Known
from martenlead.policy.types import FunctionFacts

MARK_BYTES = 64  # of a name, which make its number for the policy


class Functions:
    """At most `most` functions, but for those that requests are held of."""

    def __init__(self, loop: DecisionLoop, most: int) -> None:
        self._loop, self._most = loop, most
        self.by_name: dict[str, Known] = {}  # the last used last
        self.by_model: dict[Any, Known] = {}

    @property
    def is_full(self) -> bool:
        """Whether a new function would displace another."""
        return len(self.by_name) >= self._most

    def known(self, name: str, lanes: int, memory_mb: float) -> Known:
        """The function of that name. A new one takes the place of the one longest without a request."""
        known = self.by_name.pop(name, None)
        if known is None:
            mark = int.from_bytes(name.encode()[:MARK_BYTES], "big")
            model = self._loop.border.model(FunctionFacts(mark, lanes, memory_mb), name)
            known = Known(name, model, lanes, memory_mb)
            self.by_model[model] = known
            if self.is_full:
                old = next((k for k in self.by_name.values() if not k.open), None)
                if old is not None:
                    del self.by_name[old.name], self.by_model[old.model]
        self.by_name[name] = known
        return known

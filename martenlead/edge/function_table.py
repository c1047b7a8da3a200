"""The functions that this process knows, by name and by the policy's object: a bounded table."""

from __future__ import annotations

from typing import Any

from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.records import FunctionEntry
from martenlead.policy.types import FunctionFacts

MARK_BYTES = 64  # of a name, which make its number for the policy


class FunctionTable:
    """At most `most` functions, but for those that requests are held of."""

    def __init__(self, loop: DecisionLoop, most: int) -> None:
        self._loop, self._limit = loop, most
        self.by_name: dict[str, FunctionEntry] = {}  # the last used last
        self.by_policy_function: dict[Any, FunctionEntry] = {}

    @property
    def is_full(self) -> bool:
        """Whether a new function would displace another."""
        return len(self.by_name) >= self._limit

    def find_or_add(self, name: str, lanes: int, memory_mb: float) -> FunctionEntry:
        """The function of that name. A new one takes the place of the one longest without a request."""
        known = self.by_name.pop(name, None)
        if known is None:
            mark = int.from_bytes(name.encode()[:MARK_BYTES], "big")
            model = self._loop.policy_boundary.add_function(FunctionFacts(mark, lanes, memory_mb), name)
            known = FunctionEntry(name, model, lanes, memory_mb)
            self.by_policy_function[model] = known
            if self.is_full:
                old = next((k for k in self.by_name.values() if not k.pending_requests), None)
                if old is not None:
                    del self.by_name[old.name], self.by_policy_function[old.policy_function]
        self.by_name[name] = known
        return known

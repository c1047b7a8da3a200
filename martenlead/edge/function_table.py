"""A bounded table of the known functions, by name and by the policy's object."""

from __future__ import annotations

from martenlead.edge.decision_loop import DecisionLoop
from martenlead.edge.records import FunctionEntry, PolicyFunction
from martenlead.policy.types import FunctionFacts

MARK_BYTES = 64  # length of the name's prefix that the policy gets as a number


class FunctionTable:
    """Holds at most `limit` functions, or more if all of them have pending requests."""

    def __init__(self, decision_loop: DecisionLoop, limit: int) -> None:
        self._decision_loop, self._limit = decision_loop, limit
        self.by_name: dict[str, FunctionEntry] = {}  # least recently used first
        self.by_policy_function: dict[PolicyFunction, FunctionEntry] = {}

    @property
    def is_full(self) -> bool:
        """Whether a new function would evict another."""
        return len(self.by_name) >= self._limit

    def find_or_add(self, name: str, lanes: int, memory_mb: float) -> FunctionEntry:
        """Returns the function `name`. A new one evicts the least recently used idle function."""
        entry = self.by_name.pop(name, None)
        if entry is None:
            entry = self._add(name, lanes, memory_mb)
        self.by_name[name] = entry
        return entry

    def _add(self, name: str, lanes: int, memory_mb: float) -> FunctionEntry:
        mark = int.from_bytes(name.encode()[:MARK_BYTES], "big")
        facts = FunctionFacts(mark, lanes, memory_mb)
        policy_function = self._decision_loop.policy_boundary.add_function(facts, name)
        entry = FunctionEntry(name, policy_function, lanes, memory_mb)
        self.by_policy_function[policy_function] = entry
        if self.is_full:
            unused = next((e for e in self.by_name.values() if not e.pending_requests), None)
            if unused is not None:
                del self.by_name[unused.name], self.by_policy_function[unused.policy_function]
        return entry

"""Measures the memory of a dispatcher's objects by the part they belong to, from outside it.

Objects are walked from the dispatcher. Each is counted once, for the part that its type name indicates, else
for the part that the referring attribute indicates, else for the part of the referring object. Names in the
rules that do not exist are ignored, so that the policy may change internally. Strings, enums and classes
shared by all dispatchers are counted where they are found first.
"""

from __future__ import annotations

import re
import sys
from collections import Counter, deque
from enum import Enum
from random import Random
from types import BuiltinFunctionType, FunctionType, GeneratorType, MethodType, ModuleType
from typing import Any


class Part(Enum):
    """Parts of a dispatcher's memory."""

    MEMBERSHIP = "membership"
    PLACEMENT = "placement"
    FUNCTIONS = "functions"
    LOAD_REQUESTS = "load_requests"
    LINK = "link"
    IN_FLIGHT = "in_flight"
    OTHER = "other"


TYPES = [
    (re.compile(r"LoadRequest"), Part.LOAD_REQUESTS),
    (
        re.compile(
            r"^(Worker|WorkerFacts|UpstreamWorker|Endpoint|EndpointList|MessageDecoder|FrameDecoder|Member\w*)$"
        ),
        Part.MEMBERSHIP,
    ),
    (re.compile(r"Placement|Candidate|Rendezvous|Ring$|Homes?$"), Part.PLACEMENT),
    (re.compile(r"^(Function|FunctionFacts|FunctionEntry|Replica)$"), Part.FUNCTIONS),
    (re.compile(r"ConnectionPool$|Link$|WorkerClient$|UpstreamConnection$"), Part.LINK),
    (
        re.compile(
            r"^(PendingRequest|Request|Attempt|InFlightAttempt|Process|IncomingRequest|Call|SentAttempt"
            r"|AttemptResult|Wait)$"
        ),
        Part.IN_FLIGHT,
    ),
]
ATTRIBUTES = [
    (re.compile(r"^order$|candidate|ring|rendezvous|placement|shared_order|tree|score"), Part.PLACEMENT),
    (re.compile(r"^(load_times_ns|loads_in_flight|request_times_ns)$|load_request"), Part.LOAD_REQUESTS),
    (re.compile(r"^(functions|functions_by_name|by_policy_function|replicas)$"), Part.FUNCTIONS),
    (re.compile(r"^(workers|by_policy_worker|endpoints|endpoint_list|members?|by_mark)$"), Part.MEMBERSHIP),
    (re.compile(r"^(pending_requests|_in_flight|_due)$"), Part.IN_FLIGHT),
]
SKIPPED = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType, Enum, Random, str, bytes)
FOREIGN = ("structlog", "anyio", "asyncio", "benchmarks.scale.simulation", "benchmarks.scale.meter")


def _named(rules: list[tuple[re.Pattern[str], Part]], name: str) -> Part | None:
    return next((part for pattern, part in rules if pattern.search(name)), None)


class Footprint:
    """Counts bytes by part; each object is counted once over all walks."""

    def __init__(self) -> None:
        self.bytes: Counter[Part] = Counter()
        self._visited: set[int] = set()
        self._types: dict[type, Part | None] = {}
        self._names: dict[str, Part | None] = {}
        self._slots: dict[type, list[str]] = {}

    def walk(self, root: Any) -> None:
        """Adds the memory of an object and of all that it refers to."""
        waiting: deque[tuple[Any, Part]] = deque([(root, Part.OTHER)])
        while waiting:
            found, part = waiting.popleft()
            kind = type(found)
            if id(found) in self._visited or (found is not root and isinstance(found, SKIPPED[:-2])):
                continue
            if kind.__module__.startswith(FOREIGN) and kind.__name__ != "MeteredBoundary":
                continue
            self._visited.add(id(found))
            part = self._of_type(kind) or part
            self.bytes[part] += sys.getsizeof(found)
            if not isinstance(found, (int, float, str, bytes, GeneratorType)):
                self._children(found, part, waiting)

    def _of_type(self, kind: type) -> Part | None:
        if kind not in self._types:
            self._types[kind] = _named(TYPES, kind.__name__)
        return self._types[kind]

    def _of_name(self, name: str) -> Part | None:
        if name not in self._names:
            self._names[name] = _named(ATTRIBUTES, name)
        return self._names[name]

    def _children(self, found: Any, part: Part, waiting: deque[tuple[Any, Part]]) -> None:
        if isinstance(found, dict):
            waiting.extend((key, part) for key in found)
            waiting.extend((value, part) for value in found.values())
        elif isinstance(found, (list, tuple, set, frozenset, deque)):
            waiting.extend((value, part) for value in found)
        attributes = getattr(found, "__dict__", None)
        if attributes is not None:
            self.bytes[part] += sys.getsizeof(attributes)
            for name, value in attributes.items():
                waiting.append((value, self._of_name(name) or part))
        for name in self._slots_of(type(found)):
            value = getattr(found, name, None)
            if value is not None:
                waiting.append((value, self._of_name(name) or part))

    def _slots_of(self, kind: type) -> list[str]:
        if kind not in self._slots:
            found: list[str] = []
            for base in kind.__mro__:
                slots = base.__dict__.get("__slots__", ())
                found += [slots] if isinstance(slots, str) else list(slots)
            fields = getattr(kind, "__struct_fields__", ())  # Fields of a msgspec struct.
            self._slots[kind] = [n for n in {*found, *fields} if not n.startswith("__")]
        return self._slots[kind]


def footprint(root: Any) -> dict[Part, int]:
    """Returns the bytes by part of all objects reachable from an object."""
    walked = Footprint()
    walked.walk(root)
    return {part: walked.bytes[part] for part in Part}

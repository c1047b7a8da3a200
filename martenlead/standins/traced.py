"""Tasks from a trace: its functions as models, its owners as customers, its time as short as is wanted.

For the stand-in clients and for virtual time alike. What a function is, is settled by a hash of its name and
nothing else, so the same trace gives the same tasks in both.
"""

from __future__ import annotations

import itertools
from bisect import bisect_right
from collections.abc import Callable, Iterator
from pathlib import Path

import xxhash

from martenlead.standins.demand import Call
from martenlead.standins.settings import Clients, Mapping, OfferingPart

SECOND = 1_000_000_000


def part(name: str, salt: str) -> float:
    """In [0, 1), the same for a name always."""
    return float(xxhash.xxh3_64_intdigest(f"{salt}:{name}".encode()) / 2**64)


class Traced:
    def __init__(self, settings: Clients, mapping: Mapping, clock: Callable[[], int]) -> None:
        self.settings, self.mapping, self.clock = settings, mapping, clock
        self.shares = list(itertools.accumulate(o.share for o in settings.offerings))
        self.customers = list(itertools.accumulate(c.share for c in settings.customers))
        self.made: dict[str, tuple[OfferingPart, str]] = {}
        self.count = itertools.count(1)

    def calls(self) -> Iterator[tuple[float, Callable[[], Call]]]:
        """When each task comes, ms from the day's begin, and how to make it then. Raises `TraceError`."""
        from martenlead.traces.store import read_trace  # only here: it takes a while to import

        mapping = self.mapping
        begin = int(mapping.from_s * SECOND)
        end = None if mapping.until_s is None else int(mapping.until_s * SECOND)
        assert self.settings.trace is not None
        for one in read_trace(Path(self.settings.trace), begin, end):
            if mapping.sample < 1 and part(one.function, "sample") >= mapping.sample:
                continue
            at = (one.start_ns - begin) / 1e6 / mapping.speed
            if at > self.settings.seconds * 1000:
                return
            took_ms = min(mapping.most_ms, max(mapping.least_ms, one.duration_ns / 1e6 * mapping.durations))
            yield at, lambda o=one, t=took_ms: self.call(o.function, o.owner, t)  # type: ignore[misc]

    def call(self, function: str, owner: str, took_ms: float) -> Call:
        if function not in self.made:
            self.made[function] = self.model(function)
        offering, model = self.made[function]
        customer = None
        if self.customers:
            at = bisect_right(self.customers, part(owner, "customer") * self.customers[-1])
            customer = self.settings.customers[min(at, len(self.customers) - 1)].name
        until = self.clock() + int(offering.hard_limit_ms * 1e6)
        return Call(next(self.count), offering, model, customer, took_ms, until)

    def model(self, function: str) -> tuple[OfferingPart, str]:
        offerings = self.settings.offerings
        at = bisect_right(self.shares, part(function, "offering") * self.shares[-1])
        offering = offerings[min(at, len(offerings) - 1)]
        if self.mapping.models:
            name = str(int(part(function, "model") * self.mapping.models))
        else:
            name = f"{xxhash.xxh3_64_intdigest(function.encode()):016x}"
        return offering, f"{offering.name}.{name}"

"""Requests from a trace: its functions, its owners as tenants, its times scaled. For stand-ins and the
simulator.

The request class and name of a function depend only on a hash of its name in the trace, so a trace gives
both the same requests.
"""

from __future__ import annotations

import itertools
from bisect import bisect_right
from collections.abc import Callable, Iterator
from pathlib import Path

import xxhash

from martenlead.standins.demand import ClientRequest
from martenlead.standins.settings import ClientsSettings, RequestClassSettings, TraceMapping

NS_PER_S = 1_000_000_000


def hash_share(name: str, salt: str) -> float:
    """A number in [0, 1) that is always the same for a name."""
    return float(xxhash.xxh3_64_intdigest(f"{salt}:{name}".encode()) / 2**64)


class TraceRequests:
    """The requests of a trace under a mapping."""

    def __init__(self, settings: ClientsSettings, mapping: TraceMapping, clock: Callable[[], int]) -> None:
        self.settings, self.mapping, self.clock = settings, mapping, clock
        self.cumulative_shares = list(itertools.accumulate(o.share for o in settings.offerings))
        self.cumulative_tenant_shares = list(itertools.accumulate(c.share for c in settings.customers))
        self.functions: dict[str, tuple[RequestClassSettings, str]] = {}
        self.numbers = itertools.count(1)

    def requests(self) -> Iterator[tuple[float, Callable[[], ClientRequest]]]:
        """Each request's time in ms since the start of the day, and a function that makes it then. Raises
        `TraceError`.
        """
        from martenlead.traces.store import read_trace  # imported here, as it is slow to import

        mapping = self.mapping
        begin = int(mapping.from_s * NS_PER_S)
        end = None if mapping.until_s is None else int(mapping.until_s * NS_PER_S)
        assert self.settings.trace is not None
        for invocation in read_trace(Path(self.settings.trace), begin, end):
            if mapping.sample < 1 and hash_share(invocation.function, "sample") >= mapping.sample:
                continue
            at_ms = (invocation.start_ns - begin) / 1e6 / mapping.speed
            if at_ms > self.settings.seconds * 1000:
                return
            took_ms = min(
                mapping.most_ms, max(mapping.least_ms, invocation.duration_ns / 1e6 * mapping.durations)
            )
            yield at_ms, lambda o=invocation, t=took_ms: self.make_request(o.function, o.owner, t)  # type: ignore[misc]

    def make_request(self, function: str, owner: str, cost_ms: float) -> ClientRequest:
        """A request that is sent now."""
        if function not in self.functions:
            self.functions[function] = self.assign_function(function)
        request_class, function_name = self.functions[function]
        tenant = None
        if self.cumulative_tenant_shares:
            index = bisect_right(
                self.cumulative_tenant_shares,
                hash_share(owner, "customer") * self.cumulative_tenant_shares[-1],
            )
            tenant = self.settings.customers[min(index, len(self.cumulative_tenant_shares) - 1)].name
        deadline = self.clock() + int(request_class.hard_limit_ms * 1e6)
        return ClientRequest(next(self.numbers), request_class, function_name, tenant, cost_ms, deadline)

    def assign_function(self, function: str) -> tuple[RequestClassSettings, str]:
        """The request class and the name that a function of the trace is given."""
        request_classes = self.settings.offerings
        index = bisect_right(
            self.cumulative_shares, hash_share(function, "offering") * self.cumulative_shares[-1]
        )
        request_class = request_classes[min(index, len(request_classes) - 1)]
        if self.mapping.models:
            name = str(int(hash_share(function, "model") * self.mapping.models))
        else:
            name = f"{xxhash.xxh3_64_intdigest(function.encode()):016x}"
        return request_class, f"{request_class.name}.{name}"

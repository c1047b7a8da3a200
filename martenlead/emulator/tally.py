"""What a day was, counted while it runs: for sizes at which its records would not fit into memory."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import Any

from martenlead.days.script import Day
from martenlead.emulator.kernel import Kernel
from martenlead.standins.demand import ClientRequest

SECOND = 1_000_000_000
WIDTH = math.log(1.05)  # of a latency's bin, each a twentieth wider than the last


class Latencies:
    """Counts by bin; a quantile is told to within a twentieth."""

    def __init__(self) -> None:
        self.bins: Counter[int] = Counter()
        self.total = 0

    def add(self, ns: int) -> None:
        self.bins[int(math.log(max(ns, 1000) / 1000) / WIDTH)] += 1
        self.total += 1

    def quantile_ms(self, share: float) -> float | None:
        left = share * self.total
        for at in sorted(self.bins):
            left -= self.bins[at]
            if left <= 0:
                return math.exp((at + 0.5) * WIDTH) / 1000
        return None


class Tally:
    def __init__(self, day: Day, kernel: Kernel) -> None:
        self.kernel = kernel
        self.soft = {o.name: int(o.soft_limit_ms * 1e6) for o in day.offerings}
        self.revenue = {o.name: o.revenue for o in day.offerings}
        self.late = {o.name: o.late_revenue for o in day.offerings}
        self.open = self.tasks = self.tries = 0
        self.wanted = self.earned = self.with_late = 0.0
        self.came = self.met = self.served = 0  # came when told; were then answered in time, and at all
        self.finals: Counter[str] = Counter()
        self.latency = Latencies()
        self.by_customer: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])  # wanted, earned
        self.by_second: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])  # of its asking
        self.loads: Counter[int] = Counter()  # by second
        self.begin = kernel.now

    def second(self) -> int:
        return (self.kernel.now - self.begin) // SECOND

    def loaded(self) -> None:
        self.loads[self.second()] += 1

    def asked(self, call: ClientRequest) -> None:
        self.open += 1
        self.tasks += 1
        worth = self.revenue[call.request_class.name]
        self.wanted += worth
        self.by_customer[call.tenant or ""][0] += worth
        self.by_second[self.second()][0] += worth

    def tried(self, call: ClientRequest, final: str) -> None:
        self.tries += 1

    def came_as_told(self, call: ClientRequest, final: str, took: int) -> None:
        self.came += 1
        self.served += final == "satisfied"
        self.met += final == "satisfied" and took <= self.soft[call.request_class.name]

    def satisfied(self, call: ClientRequest, took: int) -> None:
        name = call.request_class.name
        worth = self.revenue[name]
        self.latency.add(took)
        inside = took <= self.soft[name]
        self.with_late += worth * (1 if inside else self.late[name])
        if inside:
            self.earned += worth
            self.by_customer[call.tenant or ""][1] += worth
            self.by_second[(self.kernel.now - took - self.begin) // SECOND][1] += worth

    def ended(self, call: ClientRequest, final: str) -> None:
        self.open -= 1
        self.finals[final] += 1

    def worst(self, seconds: int = 10) -> float | None:
        """Service of the worst so many seconds in a row."""
        last = max(self.by_second, default=0)
        found = []
        for at in range(0, max(1, last + 2 - seconds)):
            spans = [self.by_second[s] for s in range(at, at + seconds) if s in self.by_second]
            wanted = sum(s[0] for s in spans)
            if wanted:
                found.append(sum(s[1] for s in spans) / wanted)
        return min(found, default=None)

    def told(self) -> dict[str, Any]:
        customers = {n: e / w for n, (w, e) in sorted(self.by_customer.items()) if w}
        return {
            "tasks": self.tasks,
            "finals": dict(sorted(self.finals.items())),
            "service": self.earned / self.wanted if self.wanted else None,
            "service_with_late": self.with_late / self.wanted if self.wanted else None,
            "latency_ms": {f"p{q * 100:g}": self.latency.quantile_ms(q) for q in (0.5, 0.9, 0.99, 0.999)},
            "customers": customers,
            "came_as_told": self.came,
            "met": self.met / self.came if self.came else None,
            "worst_ten_seconds": self.worst(),
        }

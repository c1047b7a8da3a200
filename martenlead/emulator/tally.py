"""Statistics of a day, counted while it runs: the records of a large day would not fit into memory."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import Any

from martenlead.days.script import Day
from martenlead.emulator.kernel import Kernel
from martenlead.standins.demand import ClientRequest

SECOND_NS = 1_000_000_000
LOG_BIN_WIDTH = math.log(1.05)  # Each latency bin is a twentieth wider than the one before


class LatencyHistogram:
    """Counts of latencies by bin; a quantile is exact to a twentieth."""

    def __init__(self) -> None:
        self.bins: Counter[int] = Counter()
        self.total = 0

    def add(self, ns: int) -> None:
        """Counts a latency in ns."""
        self.bins[int(math.log(max(ns, 1000) / 1000) / LOG_BIN_WIDTH)] += 1
        self.total += 1

    def quantile_ms(self, share: float) -> float | None:
        """Returns the middle of the bin that holds the quantile; None without latencies."""
        remaining = share * self.total
        for bin_number in sorted(self.bins):
            remaining -= self.bins[bin_number]
            if remaining <= 0:
                return math.exp((bin_number + 0.5) * LOG_BIN_WIDTH) / 1000
        return None


class DayStatistics:
    """Counts of a day's requests, revenue, latencies and loads."""

    def __init__(self, day: Day, kernel: Kernel) -> None:
        self.kernel = kernel
        self.latency_objectives_ns = {o.name: int(o.soft_limit_ms * 1e6) for o in day.offerings}
        self.revenue = {o.name: o.revenue for o in day.offerings}
        self.late_revenue = {o.name: o.late_revenue for o in day.offerings}
        self.open_requests = self.requests = self.attempts = 0
        self.offered_revenue = self.earned_revenue = self.earned_with_late = 0.0
        # Retries at the time that the dispatcher named: all, those that succeeded in time, and those that
        # succeeded.
        self.scheduled_retries = self.scheduled_retries_in_time = self.scheduled_retries_served = 0
        self.finals: Counter[str] = Counter()
        self.latency = LatencyHistogram()
        self.by_tenant: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])  # Offered and earned revenue
        self.by_second: dict[int, list[float]] = defaultdict(
            lambda: [0.0, 0.0]
        )  # The same, by the request's second
        self.loads: Counter[int] = Counter()  # Loads by second
        self.start_ns = kernel.now

    def second(self) -> int:
        """Returns the second of the day."""
        return (self.kernel.now - self.start_ns) // SECOND_NS

    def record_load(self) -> None:
        """Counts a load that begins."""
        self.loads[self.second()] += 1

    def record_request(self, call: ClientRequest) -> None:
        """Counts a request when a client first has it."""
        self.open_requests += 1
        self.requests += 1
        revenue = self.revenue[call.request_class.name]
        self.offered_revenue += revenue
        self.by_tenant[call.tenant or ""][0] += revenue
        self.by_second[self.second()][0] += revenue

    def record_attempt(self, call: ClientRequest, final: str) -> None:
        """Counts an attempt of a client that got a response."""
        self.attempts += 1

    def record_scheduled_retry(self, call: ClientRequest, final: str, latency_ns: int) -> None:
        """Counts a retry that came after the wait that the response named."""
        self.scheduled_retries += 1
        self.scheduled_retries_served += final == "satisfied"
        self.scheduled_retries_in_time += (
            final == "satisfied" and latency_ns <= self.latency_objectives_ns[call.request_class.name]
        )

    def record_success(self, call: ClientRequest, latency_ns: int) -> None:
        """Counts a request that succeeded after this latency in ns."""
        name = call.request_class.name
        revenue = self.revenue[name]
        self.latency.add(latency_ns)
        in_time = latency_ns <= self.latency_objectives_ns[name]
        self.earned_with_late += revenue * (1 if in_time else self.late_revenue[name])
        if in_time:
            self.earned_revenue += revenue
            self.by_tenant[call.tenant or ""][1] += revenue
            self.by_second[(self.kernel.now - latency_ns - self.start_ns) // SECOND_NS][1] += revenue

    def record_end(self, call: ClientRequest, final: str) -> None:
        """Counts a request's end."""
        self.open_requests -= 1
        self.finals[final] += 1

    def worst_service(self, seconds: int = 10) -> float | None:
        """Returns the service of the worst `seconds` in a row; None without requests."""
        last = max(self.by_second, default=0)
        services = []
        for start in range(0, max(1, last + 2 - seconds)):
            spans = [self.by_second[s] for s in range(start, start + seconds) if s in self.by_second]
            offered = sum(s[0] for s in spans)
            if offered:
                services.append(sum(s[1] for s in spans) / offered)
        return min(services, default=None)

    def summary(self) -> dict[str, Any]:
        """Returns the figures of the day under the names of reports."""
        tenants = {n: e / w for n, (w, e) in sorted(self.by_tenant.items()) if w}
        return {
            "tasks": self.requests,
            "finals": dict(sorted(self.finals.items())),
            "service": self.earned_revenue / self.offered_revenue if self.offered_revenue else None,
            "service_with_late": self.earned_with_late / self.offered_revenue
            if self.offered_revenue
            else None,
            "latency_ms": {f"p{q * 100:g}": self.latency.quantile_ms(q) for q in (0.5, 0.9, 0.99, 0.999)},
            "customers": tenants,
            "came_as_told": self.scheduled_retries,
            "met": self.scheduled_retries_in_time / self.scheduled_retries
            if self.scheduled_retries
            else None,
            "worst_ten_seconds": self.worst_service(),
        }

"""What clients request, from which edge, and when they retry, without I/O: for stand-ins and the simulator.

All random choices of the clients are drawn here, in a fixed order, from the day's seed. Times are ns.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from martenlead.standins.settings import ClientsSettings, Fault, RequestClassSettings

MIN_TIME_LEFT_NS = 5_000_000  # a client with less time left does not retry
UNREACHABLE_NS = 300_000_000  # time for which an edge that refused a connection is avoided


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request as its client sees it, over all tries."""

    number: int
    request_class: RequestClassSettings
    function: str
    tenant: str | None
    cost_ms: float
    deadline: int
    is_abusive: bool = False
    is_retry: bool = False
    try_count: int = 0
    reservation: str = ""  # given by the edge that rejected the last try, and sent with the retry


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try of a request at one edge; its times are ns."""

    name: str
    edge: int
    started_at: int
    gives_up_at: int
    leaves_at: int  # `gives_up_at`, or earlier for a client that leaves early
    is_structured: bool


class RequestGenerator:
    """Generates requests and decides about their tries; faults change what it generates."""

    def __init__(self, settings: ClientsSettings, edge_count: int, clock: Callable[[], int]) -> None:
        self.settings, self.clock = settings, clock
        self.random = Random(f"clients:{settings.seed}")
        self.weights = [1.0] * edge_count
        self.unreachable_until = [0] * edge_count
        self.last_unreachable_until = -1
        self.all_edges, self.cumulative_weights = range(edge_count), list(itertools.accumulate(self.weights))
        self.rate = settings.rate_per_s
        self.hot_functions: list[str] = []
        self.hot_share = self.one_off_share = self.heavy_share = self.early_leave_share = 0.0
        self.heavy_factor = 1.0
        self.abusive_tenant: str | None = None
        self.hot_fault_count = 0
        self.numbers = itertools.count(1)
        self.cumulative_shares = list(itertools.accumulate(o.share for o in settings.offerings))
        self.cumulative_popularity = {
            o.name: list(itertools.accumulate(1 / (n + 1) ** o.zipf for n in range(o.models)))
            for o in settings.offerings
        }

    def next_interval_ms(self) -> float:
        """Time until the next request."""
        return self.random.expovariate(1) * 1000 / max(self.rate, 0.01)

    def next_request(self) -> ClientRequest:
        """Draws a request that is sent now."""
        random, settings = self.random, self.settings
        request_class = random.choices(settings.offerings, cum_weights=self.cumulative_shares)[0]
        number = next(self.numbers)
        if random.random() < self.one_off_share:
            function = f"{request_class.name}.once{number}"
        elif self.hot_functions and random.random() < self.hot_share:
            function = f"{request_class.name}.{random.choice(self.hot_functions)}"
        else:
            rank = random.choices(
                range(request_class.models), cum_weights=self.cumulative_popularity[request_class.name]
            )[0]
            function = f"{request_class.name}.{rank}"
        tenant = None
        if settings.customers:
            tenant = random.choices(settings.customers, [c.share for c in settings.customers])[0].name
        cost = request_class.work_ms * max(0.2, random.lognormvariate(0, request_class.work_spread))
        if random.random() < self.heavy_share:
            cost *= self.heavy_factor
        deadline = self.clock() + int(request_class.hard_limit_ms * 1e6)
        is_abusive = self.abusive_tenant is not None and tenant == self.abusive_tenant
        return ClientRequest(number, request_class, function, tenant, cost, deadline, is_abusive)

    def random_for(self, request: ClientRequest) -> Random:
        """A random generator of the request's own, so that its course doesn't change other requests."""
        return Random(f"{self.settings.seed}:{request.number}")

    def next_try(self, request: ClientRequest, random: Random) -> ClientTry:
        """Draws the edge and the times of a try that is sent now."""
        now = self.clock()
        patience = random.uniform(*self.settings.patience) * request.request_class.hard_limit_ms * 1e6
        gives_up_at = min(request.deadline, now + int(patience))
        edge = self.choose_edge(now)
        is_structured = random.random() < self.settings.structured
        leaves_at = gives_up_at
        if random.random() < self.early_leave_share:
            leaves_at = now + int((gives_up_at - now) * random.uniform(0.05, 0.5))
        return ClientTry(
            f"{request.number}.{request.try_count}", edge, now, gives_up_at, leaves_at, is_structured
        )

    def retry_delay_ms(
        self, request: ClientRequest, random: Random, final: str, wait_ms: float
    ) -> float | None:
        """Time from the end of a try until the next one, None if there is none."""
        settings = self.settings
        request.try_count += 1
        if final in ("satisfied", "left") or request.try_count > (
            12 if request.is_abusive else settings.retries
        ):
            return None
        if not self.may_retry(request, final):
            return None
        delay_ms = settings.backoff_ms * random.uniform(0.5, 1.5)
        if wait_ms and not request.is_abusive and random.random() < settings.honours:
            delay_ms = wait_ms
        if request.is_abusive:
            delay_ms = 1.0
        if self.clock() + delay_ms * 1e6 + MIN_TIME_LEFT_NS > request.deadline:
            return None
        request.is_retry = True
        return delay_ms

    @staticmethod
    def may_retry(request: ClientRequest, final: str) -> bool:
        """Whether the protocol allows a retry: what may have run is repeated only where that is harmless."""
        if final in ("turned back", "unreached"):
            return True
        effect = request.request_class.effect
        return effect == "idempotent" or (effect == "deduplicated" and request.request_class.group == "all")

    def choose_edge(self, now: int) -> int:
        """Chooses an edge as a plain load balancer: one that refused a connection is avoided for a while."""
        if now > self.last_unreachable_until:
            return self.random.choices(self.all_edges, cum_weights=self.cumulative_weights)[0]
        reachable = [n for n, until in enumerate(self.unreachable_until) if until < now] or list(
            range(len(self.unreachable_until))
        )
        return self.random.choices(reachable, [self.weights[n] for n in reachable])[0]

    def mark_unreachable(self, edge: int) -> None:
        """Avoids an edge for a while, as it has refused a connection."""
        self.unreachable_until[edge] = self.last_unreachable_until = self.clock() + UNREACHABLE_NS

    def start_fault(self, fault: Fault) -> None:
        """Starts a fault of the clients."""
        match fault.kind:
            case "burst":
                self.rate *= fault.size
            case "hot_model":
                self.hot_fault_count += 1
                self.hot_functions = [
                    f"hot{self.hot_fault_count}x{n}" for n in range(max(1, int(fault.part)))
                ]
                self.hot_share = fault.size
            case "hot_caller":
                rest = sum(self.weights) - self.weights[0]
                self.weights[0] = max(fault.size / max(1e-9, 1 - fault.size) * rest, self.weights[0])
                self.cumulative_weights = list(itertools.accumulate(self.weights))
            case "heavy_tail":
                self.heavy_share, self.heavy_factor = fault.part, fault.size
            case "one_off":
                self.one_off_share = fault.size
            case "give_up":
                self.early_leave_share = fault.size
            case "retry_abuse":
                self.abusive_tenant = fault.who

    def end_fault(self, fault: Fault) -> None:
        """Ends a fault of the clients."""
        match fault.kind:
            case "burst":
                self.rate /= fault.size
            case "hot_model":
                self.hot_functions, self.hot_share = [], 0.0
            case "hot_caller":
                self.weights[0] = 1.0
                self.cumulative_weights = list(itertools.accumulate(self.weights))
            case "heavy_tail":
                self.heavy_share = 0.0
            case "one_off":
                self.one_off_share = 0.0
            case "give_up":
                self.early_leave_share = 0.0
            case "retry_abuse":
                self.abusive_tenant = None

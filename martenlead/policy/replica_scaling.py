"""Replica scaling: the expected rate R against Rmax, the mechanism of the paper.

"AsyFunc: A High-Performance and Resource-Efficient Serverless Inference System via Asymmetric
Functions", section 4, as adapted in docs/design.md: R is a function's rate times the number of
dispatchers; Rmax is the sum of lanes / warm run latency over the retained replicas (the paper's
equation 1). Above 0.8 Rmax whole replicas are added, below 0.6 Rmax the one of lowest capacity is
released, and in between nothing changes (its algorithm 1). Retained replicas are renewed within the
keep-alive. Times are ns.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Generator

from martenlead.policy.latency import MILLISECOND, SECOND
from martenlead.policy.load_budget import NEW_REPLICAS_SHARE, LoadBudget
from martenlead.policy.placement import Placement
from martenlead.policy.state import Function, Replica, State
from martenlead.policy.tenant_shares import TenantShares
from martenlead.policy.types import LoadRequest, Result, Steps, Wait

# The design's dead band, as shares of Rmax.
ADD_ABOVE, RELEASE_BELOW = 0.8, 0.6
# Largest number of replicas added for a function in one period, as the design starts; the number of
# retained replicas, if that is larger.
NEW_REPLICAS = 2
# First period of a dispatcher that has just started and retains no replicas yet.
FIRST_PERIOD = SECOND // 4
# Requests above which the counts behind a function's rate are halved. A rate taken from fewer says
# more of chance than of demand.
RATE_REQUESTS = 16
# Periods after which the counts are halved in any case, since old requests do not show present
# demand.
RATE_PERIODS = 8
# Requests needed before anything is known of the time between them.
MIN_REQUESTS_FOR_GAP = 2
# Mean gaps between requests for which the last replica is retained.
RETAINED_GAPS = 6
# Dispatchers that renew a replica, of all that retain it; one or two of them may be down.
RENEWING_DISPATCHERS = 3
# Refusals in a row after which a worker counts as having no capacity.
REFUSALS_LIMIT = 2
# Responses of a replica needed to use its own latency; before, the function's latency is used.
KNOWN_RESPONSES = 3
# Multiple of the function's latency above which a replica has no capacity. Where all replicas are
# slow, that is no reason to load more.
SLOW_REPLICA = 1.5
# The latency of an unknown function is taken as the latency objective divided by this.
UNKNOWN_LATENCY_DIVISOR = 4
# Largest capacity of one replica, as a share of its worker's part of all requests.
FAIR_SHARE = 0.5
# Up to this many functions are checked in order of their number of requests, the most first; more
# are checked in order of their last request, the latest first.
SORTED_FUNCTIONS = 1024
# Functions checked in one slice, so that a check of thousands does not delay requests.
SLICE_FUNCTIONS = 64
SLICE_INTERVAL = MILLISECOND
# Responses above which the latency ratios of a worker are halved each period. Where few responses
# come, they are kept for longer.
KNOWN_PACE_RESPONSES = 4
# Results that show that the worker answered a load request.
ANSWERED = frozenset({Result.SUCCEEDED, Result.AT_CAPACITY, Result.ERROR})


class ReplicaScaling:
    """Checks all functions periodically, and makes the load requests that follow from it."""

    def __init__(
        self,
        state: State,
        placement: Placement,
        load_budget: LoadBudget,
        tenant_shares: TenantShares,
    ) -> None:
        self.state = state
        self.placement = placement
        self.outliers = placement.outliers
        self.slow_start = placement.slow_start
        self.load_budget = load_budget
        self.tenant_shares = tenant_shares
        self.unchecked: deque[Function] = deque()  # functions left to check in this period
        self.last_period_ns = 0

    # -- the periodic check

    def run(self) -> Steps:
        """Checks every function once per period, in slices, without end."""
        state = self.state
        first = int(state.random() * FIRST_PERIOD)  # keeps dispatchers from checking in step
        last_ns = state.now_ns  # requests are counted from now on
        yield Wait(state.now_ns + first)
        begun_ns = state.now_ns
        while True:
            # A dispatcher that has just started retains no replicas. Short periods let them double
            # soon.
            period = min(state.check_period_ns, max(FIRST_PERIOD, state.now_ns - begun_ns))
            interval = SLICE_INTERVAL if self.unchecked else period
            yield Wait(state.now_ns + interval)
            if not self.unchecked:
                self.last_period_ns, last_ns = state.now_ns - last_ns, state.now_ns
                self._end_period()
            yield from self._check_some()

    def _end_period(self) -> None:
        state = self.state
        state.traffic.end_period(state.settings, self.last_period_ns)
        self.slow_start.end_period()
        self.tenant_shares.end_period(self.last_period_ns)
        for worker in [
            w for w in state.paced_workers if w.latency_ratio.total > KNOWN_PACE_RESPONSES
        ]:
            worker.latency_ratio.halve()
        state.paced_workers = {
            w: None for w in state.paced_workers if w.latency_ratio.total > KNOWN_PACE_RESPONSES
        }
        self.unchecked.extend(reversed(state.functions))
        if len(self.unchecked) <= SORTED_FUNCTIONS:
            by_requests = sorted(state.functions, key=lambda f: (-f.new_requests[1], f.facts.mark))
            self.unchecked = deque(by_requests)

    def _check_some(self) -> Steps:
        """Checks one slice of functions, since a check of all would delay requests."""
        state = self.state
        for _ in range(min(SLICE_FUNCTIONS, len(self.unchecked))):
            function = self.unchecked.popleft()
            state.forget_unused(function)
            function.rated_requests += function.new_requests[1]
            function.rated_span_ns += self.last_period_ns
            function.new_requests, function.replicas_added = [0, 0], 0
            function.second_start_ns = state.now_ns
            if function.replicas:
                yield from self.check(function, function.rated_requests, function.rated_span_ns)
            is_long = function.rated_span_ns > RATE_PERIODS * state.check_period_ns
            if function.rated_requests > RATE_REQUESTS or is_long:
                function.rated_requests /= 2
                function.rated_span_ns //= 2

    # -- one function

    def check(self, function: Function, requests: float, span_ns: int) -> Steps:
        """Compares R with Rmax, and adds, releases and renews replicas.

        R is this rate times the number of dispatchers, which also multiplies its random error.
        Replicas are therefore added by R minus one standard deviation of the count, and released by
        R plus one standard deviation.
        """
        if not self.state.settings.may_request_loads:
            return
        expected = requests * self.state.traffic.equivalent_dispatchers * SECOND / span_ns  # R
        chance = 1 / math.sqrt(max(requests, 1))
        replicas = function.replicas.values()
        retained = [r for r in replicas if r.is_retained and self.outliers.is_usable(r.worker)]
        capacity = sum(self.capacity(r) for r in retained)  # Rmax
        capacity = yield from self._add_replicas(
            function, expected * (1 - chance), retained, capacity
        )
        may_release = not function.replicas_added and len(retained) > 1
        if may_release and expected * (1 + chance) < RELEASE_BELOW * capacity:
            self._release_weakest(function, expected, retained, capacity)
        function.capacity_per_second = sum(self.capacity(r) for r in retained)
        if len(retained) == 1 and not self.is_worthwhile(function):
            retained.pop().is_retained = False
        yield from self._renew(retained)

    def _add_replicas(
        self, function: Function, expected: float, retained: list[Replica], capacity: float
    ) -> Generator[LoadRequest, None, float]:
        """Retains more replicas, up to the limit of a period; returns Rmax with them."""
        state, limit = self.state, max(NEW_REPLICAS, len(retained))
        while expected >= ADD_ABOVE * capacity and function.replicas_added < limit:
            worker = (
                self.placement.choose_worker_for_replica(function)
                if self.is_worthwhile(function)
                else None
            )
            if worker is None:
                break
            replica = state.replica(function, worker)
            if not self.load_budget.allows(worker, NEW_REPLICAS_SHARE):
                break
            replica.is_retained = True
            if not (
                replica.is_loaded
                and replica.last_used_ns + state.settings.keep_alive_ns // 2 > state.now_ns
            ):
                yield self.request_load(replica)
            capacity += self.capacity(replica)
            retained.append(replica)
            function.replicas_added += 1
        return capacity

    def _release_weakest(
        self, function: Function, expected: float, retained: list[Replica], capacity: float
    ) -> None:
        """Releases the replica of lowest capacity, if R stays below the bound for adding one.

        Of equals it is the last in the shared order, so that all dispatchers end with the same
        replicas.
        """
        places = {
            worker: n for n, worker in enumerate(self.placement.candidates(function, len(retained)))
        }
        weakest = min(
            retained, key=lambda r: (self.capacity(r), -places.get(r.worker, len(places)))
        )
        if expected <= ADD_ABOVE * (capacity - self.capacity(weakest)):
            weakest.is_retained = False
            retained.remove(weakest)

    def _renew(self, retained: list[Replica]) -> Steps:
        state = self.state
        for replica in retained:
            idle_ns = state.now_ns - replica.last_used_ns
            if idle_ns <= state.settings.keep_alive_ns // 2 or replica.load_requested_ns:
                continue
            if state.random() * state.settings.dispatchers > RENEWING_DISPATCHERS:
                # other dispatchers, which retain the same replicas, renew this one
                replica.last_used_ns = state.now_ns
            elif self.load_budget.allows(replica.worker):
                yield self.request_load(replica)
            elif idle_ns > state.settings.keep_alive_ns:
                replica.is_retained = replica.is_loaded = False

    def is_worthwhile(self, function: Function) -> bool:
        """Whether to retain replicas of a function.

        Not for one-off functions; for others, during some of the mean gaps between requests.
        """
        if function.requests < MIN_REQUESTS_FOR_GAP:
            return False
        gap_ns = (function.last_request_ns - function.first_request_ns) // (function.requests - 1)
        limit_ns = min(
            max(self.state.check_period_ns, RETAINED_GAPS * gap_ns),
            self.worthwhile_idle_ns(function),
        )
        return self.state.now_ns - function.last_request_ns < limit_ns

    def worthwhile_idle_ns(self, function: Function) -> float:
        """How long a replica may idle for one request before its memory costs more than a load."""
        settings = self.state.settings
        memory = self.state.index.memory / max(function.facts.memory_mb, 1.0)
        traffic = self.state.traffic
        requests = max(traffic.succeeded_per_second, 1.0) * traffic.equivalent_dispatchers / SECOND
        cold_start = 1 - settings.late_value + settings.load_price
        if not settings.memory_price:
            return math.inf
        return cold_start * memory / (settings.memory_price * requests)

    def capacity(self, replica: Replica) -> float:
        """Requests per second that a replica counts for in Rmax."""
        state, worker = self.state, replica.worker
        if worker.refused_in_a_row >= REFUSALS_LIMIT or self.outliers.is_failing(worker):
            return 0.0  # a worker that refuses meets no objective
        warm_run_ns = state.latencies.warm_run_ns
        own, overall = replica.latency, replica.function.latency
        latency_ns = warm_run_ns(own if own.total >= KNOWN_RESPONSES else overall)
        latency_ns = latency_ns or warm_run_ns(state.latencies.all_functions)
        latency_ns = latency_ns or state.shortest_objective_ns // UNKNOWN_LATENCY_DIVISOR
        if latency_ns > max(state.shortest_objective_ns, SLOW_REPLICA * warm_run_ns(overall)):
            return 0.0
        # Without a rate, there is no limit by the fair share: a dispatcher that has just started
        # must not take all replicas for weak and load more.
        rate = state.traffic.succeeded_per_second or math.inf
        peers, weight = state.traffic.equivalent_dispatchers, worker.facts.weight
        fair = FAIR_SHARE * rate * peers * weight / (state.index.weight or 1.0)
        return min(replica.function.facts.lanes * SECOND / latency_ns, max(1.0, fair))

    # -- load requests

    def request_load(self, replica: Replica) -> LoadRequest:
        """Makes a load request and counts it as made now; the caller has checked the budget."""
        load = LoadRequest(replica.worker, replica.function, 1)
        replica.load_requested_ns = replica.last_used_ns = self.state.now_ns
        self.load_budget.record_load(load)
        return load

    def record_load_end(self, load: LoadRequest, result: Result, replicas: int) -> None:
        """Records the end of a load request and the number of replicas loaded at its worker."""
        self.load_budget.record_load_end(load)
        replica = self.state.replica(load.function, load.worker)
        replica.load_requested_ns = 0
        was_loaded = replica.is_loaded
        replica.is_loaded = result in ANSWERED and replicas > 0
        if replica.is_loaded and not was_loaded:
            retained = sum(r.is_retained for r in replica.function.replicas.values())
            if self.state.random() * retained < 1:
                # random, or else all dispatchers with the same replicas use the first as home
                replica.function.home = replica.worker
        if result in ANSWERED:
            self.outliers.record_answer(load.worker)
        if not replica.is_loaded:
            replica.is_retained, replica.load_failed_ns = False, self.state.now_ns

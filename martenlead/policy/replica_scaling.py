"""Replica scaling: the expected rate R against Rmax, the mechanism of the paper.

"AsyFunc: A High-Performance and Resource-Efficient Serverless Inference System via Asymmetric
Functions", section 4, as docs/design.md takes it up: R is a function's rate times the dispatchers;
Rmax sums, over the replicas that are held, lanes over warm run latency (the paper's equation 1);
above 0.8 Rmax whole replicas are added, below 0.6 the one of lowest capacity is released, between
nothing changes (its algorithm 1). What is held is renewed within the keep-alive. Times are ns.
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

ADD_ABOVE, RELEASE_BELOW = 0.8, 0.6  # of Rmax: the design's dead band
NEW_REPLICAS = (
    2  # a function and period, as the design starts; as many again as are held, once that is more
)
FIRST_PERIOD = SECOND // 4  # of a dispatcher that has just begun, which holds nothing yet
RATE_REQUESTS = (
    16  # that a function's rate is taken from: fewer tell more of chance than of the rate
)
RATE_PERIODS = 8  # or else as many periods: demand of long ago is no demand
REQUESTS_OF_A_GAP = 2  # at least, before anything is known of the time between them
RETAINED_GAPS = 6  # mean gaps between requests that a last replica is held for
RENEWING_DISPATCHERS = 3  # that renew a replica, of all that hold it: one or two may be away
FULL_ANSWERS_LIMIT = 2  # in a row: from there on a worker has no capacity to count on
KNOWN_RESPONSES = 3  # of a replica's own, that its latency is taken from; before, the function's is
SLOW_REPLICA = (
    1.5  # times the function's own latency: where all are slow, that is no reason to load more
)
GUESSED_OBJECTIVE_PART = 4  # of the objective: the latency of a function of which nothing is known
FAIR_SHARE = 0.5  # of a worker's part of all requests: what one replica counts for at most
SORTED_FUNCTIONS = (
    1024  # up to which those with most requests are checked first; beyond, the last asked for
)
SLICE_FUNCTIONS = 64  # that are checked at once, so that a check of thousands holds up no request
SLICE_INTERVAL = MILLISECOND
KNOWN_PACE_RESPONSES = 4  # that tell a worker's pace: where few come, they are kept for longer
ANSWERED = frozenset({Result.SUCCEEDED, Result.AT_CAPACITY, Result.ERROR})


class ReplicaScaling:
    """The periodic check of all functions, and the load requests that come of it."""

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
        self.unchecked: deque[Function] = deque()  # of this period
        self.last_period_ns = 0

    # -- the periodic check

    def run(self) -> Steps:
        """Checks every function once a period, some at a time, without end."""
        state = self.state
        first = int(state.random() * FIRST_PERIOD)  # many dispatchers must not check in step
        last_ns = state.now_ns  # requests count from here on
        yield Wait(state.now_ns + first)
        begun_ns = state.now_ns
        while True:
            # one that has just begun holds nothing: short periods, that its replicas may double
            # soon
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
        """Some functions at once: a check of all would hold up the requests that come meanwhile."""
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

        R is this rate times the dispatchers, which multiplies chance too: by one deviation of the
        count, replicas are added on the least that R may be and released on the most.
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
        """Holds more replicas, up to the bound of a period; gives Rmax with them."""
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
        """Of equals the last in the shared order: dispatchers end with the same replicas."""
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
                replica.last_used_ns = (
                    state.now_ns
                )  # all hold the same: the renewals are the fleet's
            elif self.load_budget.allows(replica.worker):
                yield self.request_load(replica)
            elif idle_ns > state.settings.keep_alive_ns:
                replica.is_retained = replica.is_loaded = False

    def is_worthwhile(self, function: Function) -> bool:
        """One-off functions get no replicas; others keep theirs for some of their mean gaps."""
        if function.requests < REQUESTS_OF_A_GAP:
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
        """Requests a second that a replica counts for in Rmax."""
        state, worker = self.state, replica.worker
        if worker.refused_in_a_row >= FULL_ANSWERS_LIMIT or self.outliers.is_failing(worker):
            return 0.0  # a worker that refuses meets no objective: replicas grow elsewhere
        warm_run_ns = state.latencies.warm_run_ns
        own, overall = replica.latency, replica.function.latency
        latency_ns = warm_run_ns(own if own.total >= KNOWN_RESPONSES else overall)
        latency_ns = latency_ns or warm_run_ns(state.latencies.all_functions)
        latency_ns = latency_ns or state.shortest_objective_ns // GUESSED_OBJECTIVE_PART
        if latency_ns > max(state.shortest_objective_ns, SLOW_REPLICA * warm_run_ns(overall)):
            return 0.0
        # a dispatcher that has just begun must not take all replicas for weak and load more
        rate = state.traffic.succeeded_per_second or math.inf
        peers, weight = state.traffic.equivalent_dispatchers, worker.facts.weight
        fair = FAIR_SHARE * rate * peers * weight / (state.index.weight or 1.0)
        return min(replica.function.facts.lanes * SECOND / latency_ns, max(1.0, fair))

    # -- load requests

    def request_load(self, replica: Replica) -> LoadRequest:
        """Counts it as given now; the budget was asked before."""
        load = LoadRequest(replica.worker, replica.function, 1)
        replica.load_requested_ns = replica.last_used_ns = self.state.now_ns
        self.load_budget.record_load(load)
        return load

    def record_load_end(self, load: LoadRequest, result: Result, replicas: int) -> None:
        """How a load request ended, and how many replicas are loaded at its worker now."""
        self.load_budget.record_load_end(load)
        replica = self.state.replica(load.function, load.worker)
        replica.load_requested_ns = 0
        was_loaded = replica.is_loaded
        replica.is_loaded = result in ANSWERED and replicas > 0
        if replica.is_loaded and not was_loaded:
            retained = sum(r.is_retained for r in replica.function.replicas.values())
            if self.state.random() * retained < 1:
                replica.function.home = (
                    replica.worker
                )  # else all that hold the same stick to the first
        if result in ANSWERED:
            self.outliers.record_word(load.worker)
        if not replica.is_loaded:
            replica.is_retained, replica.load_failed_ns = False, self.state.now_ns

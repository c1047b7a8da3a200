"""Workers, functions and replicas as this dispatcher knows them, and the limits on their number.

Rule 3 (drains): a worker that drains or is gone gets no new work. `State.accepts_work` is the only
place that decides this, for attempts and load requests alike; `State.update_workers` applies what
discovery reports. Times are whole nanoseconds of the dispatcher's clock, which the caller of the
policy sets before each event.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace
from random import Random
from typing import Any

from martenlead.policy.candidates import CandidateIndex, Ranking
from martenlead.policy.latency import SECOND, LatencyEstimates, LatencyHistogram
from martenlead.policy.types import FunctionFacts, RequestClass, Settings, WorkerFacts, WorkerState

# Earlier than any time of the clock.
LONG_AGO = -1 << 62
# Concurrency limit of all dispatchers together at a worker until its responses adjust the limit.
FIRST_CONCURRENCY = 16.0
# One retry may go to a worker that has not responded yet.
FIRST_RETRY_BUDGET = 1.0
# Replicas of a function above which unused ones are forgotten, since workers come and go without
# end.
FUNCTION_REPLICAS_KEPT = 64
# A function with fewer requests than this in the counts behind its rate is forgotten.
MIN_RATED_REQUESTS = 0.01
# Periodic checks within a keep-alive, so that a renewal that failed can be tried again.
CHECKS_PER_KEEP_ALIVE = 4
# Share of a peak that is kept each period. The peak rate has to outlast a release, during which
# fewer requests succeed.
PEAK_RATE_KEPT = 0.99
# Periods of the moving share of successes. An overload of seconds shows in it, the noise of one
# period does not.
SHARE_PERIODS = 8
# Requests below which the best share of the last periods is mostly chance.
SHARE_REQUESTS = 16


class Replica:
    """A function at a worker, loaded or to be loaded, as far as this dispatcher knows."""

    def __init__(self, worker: Worker, function: Function) -> None:
        self.worker, self.function = worker, function
        self.latency = LatencyHistogram()
        self.in_flight = 0  # attempts
        self.is_retained = False  # requested by this dispatcher, and to be renewed
        self.is_loaded = False  # known to be loaded
        self.last_used_ns = LONG_AGO  # or load requested; idle time begins no earlier
        self.load_failed_ns = LONG_AGO  # time of the last failed load request
        self.load_requested_ns = 0  # start of the load that is awaited, 0 for none

    @property
    def is_in_use(self) -> bool:
        """Whether an attempt or a load of this dispatcher is in flight."""
        return bool(self.in_flight or self.load_requested_ns)


class Worker:
    """A worker, and what its responses have shown."""

    def __init__(self, facts: WorkerFacts, now_ns: int, concurrency_limit: float) -> None:
        self.facts = facts
        self.is_listed = False
        self.replicas: dict[Function, Replica] = {}
        self.in_flight = 0  # attempts
        self.warm_in_flight = 0  # attempts that expect a loaded replica
        self.concurrency_limit = concurrency_limit  # this dispatcher's limit on warm_in_flight
        self.retry_budget = FIRST_RETRY_BUDGET
        self.refused_in_a_row = 0
        self.unanswered_in_a_row = 0
        self.late_share = 0.0  # moving average over the last responses
        self.error_shares: dict[RequestClass, float] = {}  # moving averages, by request class
        self.last_error_ns = LONG_AGO
        self.last_response_ns = now_ns
        self.limit_cut_ns = 0
        self.overdue_since_ns = 0  # a response has been awaited since then, or longer
        # no attempt is sent earlier, due to slow start or a limit below one
        self.next_attempt_ns = 0
        self.ramp_start_ns = 0  # start of the process that `next_attempt_ns` was set for
        self.ramp_rate_per_second = 0.0  # rate once warm, from which `next_attempt_ns` was set
        self.latency_ratio = LatencyHistogram()  # USUAL_RATIO is a response of the usual latency


class Function:
    """A function and its demand."""

    def __init__(self, facts: FunctionFacts, now_ns: int) -> None:
        self.facts = facts
        self.replicas: dict[Worker, Replica] = {}
        self.latency = LatencyHistogram()
        self.home: Worker | None = None  # worker where it was last seen warm
        self.ranking = Ranking(facts.mark)
        self.first_request_ns = now_ns
        self.last_request_ns = 0
        self.requests = 0
        self.second_start_ns = now_ns
        # counts in this second and in this period, without retries and requests over a share
        self.new_requests = [0, 0]
        self.rated_requests = 0.0  # requests within `rated_span_ns`, which the rate is taken from
        self.rated_span_ns = 0
        self.mean_cost = 0.0  # mean of the cost hints of requests
        self.capacity_per_second = 0.0  # Rmax at the last check
        self.replicas_added = 0  # in this period


class Traffic:
    """The rates per second of all requests of this dispatcher, and its part of the fleet's."""

    def __init__(self, dispatchers: int) -> None:
        self.succeeded_per_second = 0.0
        self.peak_succeeded_per_second = 0.0
        self.new_requests_per_second = 0.0  # without retries and requests over a share
        # how many dispatchers with this one's rate would carry all requests
        self.equivalent_dispatchers: float = dispatchers
        self.succeeded_in_period = 0
        self.new_requests_in_period = 0
        self.recent_new_requests = 0.0  # sum over about the last SHARE_PERIODS
        self.recent_succeeded = 0.0  # sum over about the last SHARE_PERIODS
        self.succeeded_share = 0.0  # best share of new requests that succeeded, lately

    def end_period(self, settings: Settings, period_ns: int) -> None:
        """Updates the rates by the counts of the period."""
        self._update_succeeded_share()
        succeeded = self.succeeded_in_period * SECOND / period_ns
        before = self.succeeded_per_second
        self.succeeded_per_second = (before + succeeded) / 2 if before else succeeded
        peak = PEAK_RATE_KEPT * self.peak_succeeded_per_second
        self.peak_succeeded_per_second = max(self.succeeded_per_second, peak)
        new, self.new_requests_in_period, self.succeeded_in_period = (
            self.new_requests_in_period,
            0,
            0,
        )
        per_second, before = new * SECOND / period_ns, self.new_requests_per_second
        self.new_requests_per_second = (before + per_second) / 2 if before else per_second
        # a dispatcher that carries far more than its part is not the average of many
        dispatchers = settings.rate_limit_per_second / max(self.new_requests_per_second, 1e-9)
        few = 4 * dispatchers < settings.dispatchers
        self.equivalent_dispatchers = max(1.0, dispatchers) if few else settings.dispatchers

    def _update_succeeded_share(self) -> None:
        """Updates the best share of new requests that succeeded lately.

        Each share is reduced by one standard deviation. With few requests the present share is
        used, since the best one is mostly chance.
        """
        self.recent_new_requests += (
            self.new_requests_in_period - self.recent_new_requests / SHARE_PERIODS
        )
        self.recent_succeeded += self.succeeded_in_period - self.recent_succeeded / SHARE_PERIODS
        requests = max(self.recent_new_requests, 1.0)
        share = min(1.0, self.recent_succeeded / requests)
        lower_bound = max(0.0, share - math.sqrt(share * (1 - share) / requests))
        before = PEAK_RATE_KEPT * self.succeeded_share if requests >= SHARE_REQUESTS else 0.0
        self.succeeded_share = max(lower_bound, before)


class State:
    """All that one dispatcher knows of the fleet.

    Workers and functions are objects that represent the ids of the caller.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        # uniform in [0, 1); decisions depend on the order of the draws
        self.random = Random(seed).random
        self.now_ns = 0
        self.index = CandidateIndex()
        self.workers: list[Worker] = self.index.workers
        self.highest_weight = 0.0  # largest sum of weights that took requests lately
        self.limited_workers: dict[Worker, None] = {}  # listed, and draining or warming up
        self.functions: dict[Function, None] = {}  # ordered by last request, the latest last
        self.paced_workers: dict[Worker, None] = {}  # workers that responded lately
        self.latencies = LatencyEstimates(settings)
        self.traffic = Traffic(settings.dispatchers)
        self.warm_in_flight = 0  # sum over all workers
        self.check_period_ns = max(SECOND, settings.keep_alive_ns // CHECKS_PER_KEEP_ALIVE)
        objectives = (
            request_class.latency_objective_ns for request_class in settings.request_classes
        )
        self.shortest_objective_ns = min(objectives, default=SECOND)

    # -- workers

    def new_worker(self, facts: WorkerFacts) -> Worker:
        """Creates the object for a worker's id; `update_workers` lists it."""
        return Worker(facts, self.now_ns, FIRST_CONCURRENCY / self.settings.dispatchers)

    def update_workers(self, events: Iterable[tuple[Any, WorkerFacts]], is_snapshot: bool) -> None:
        """Applies discovery's report; a snapshot names all workers, so that others are gone."""
        events = list(events)
        named = dict(events)
        for worker, facts in events:
            if facts.started_ns != worker.facts.started_ns and worker.is_listed:
                self._forget_replicas(worker)
            self._apply_facts(worker, facts)
        for worker in [w for w in self.workers if w not in named] if is_snapshot else []:
            self._apply_facts(worker, replace(worker.facts, state=WorkerState.GONE))
        for worker in named:
            if worker.facts.state is not WorkerState.UP:
                self._forget_replicas(worker)

    def _apply_facts(self, worker: Worker, facts: WorkerFacts) -> None:
        before, listed = worker.facts, facts.state is not WorkerState.GONE
        same = (before.weight, before.memory_mb) == (facts.weight, facts.memory_mb)
        if worker.is_listed and not (listed and same):
            self.index.remove(worker)
        worker.facts = facts
        if listed and not (worker.is_listed and same):
            self.index.add(worker)
        worker.is_listed = listed
        if listed and (facts.state is not WorkerState.UP or self.is_warming_up(worker)):
            self.limited_workers[worker] = None
        else:
            self.limited_workers.pop(worker, None)

    def is_warming_up(self, worker: Worker) -> bool:
        """Whether a worker started less than a ramp ago; False if its start is unknown."""
        started_ns = worker.facts.started_ns
        return bool(started_ns) and self.now_ns - started_ns < self.settings.slow_start_ns

    def _forget_replicas(self, worker: Worker) -> None:
        """Marks all replicas as unloaded, since the worker's process has restarted or is ending."""
        for replica in worker.replicas.values():
            replica.is_retained = replica.is_loaded = False
        worker.unanswered_in_a_row = worker.overdue_since_ns = 0
        worker.last_response_ns = self.now_ns

    def accepts_work(self, worker: Worker) -> bool:
        """Rule 3: whether a worker may get new work, which it may not if it drains or is gone."""
        return worker.is_listed and worker.facts.state is WorkerState.UP

    # -- functions

    def new_function(self, facts: FunctionFacts) -> Function:
        """Creates the object for a function's id.

        At the limit of functions, drops the unused one that has been without requests the longest.
        """
        function = Function(facts, self.now_ns)
        if len(self.functions) >= self.settings.function_limit:
            idle = (f for f in self.functions if not any(r.is_in_use for r in f.replicas.values()))
            self.drop_function(next(idle, function))
        self.functions[function] = None
        return function

    def drop_function(self, function: Function) -> None:
        """Forgets a function and its replicas, until its next request."""
        for worker in function.replicas:
            del worker.replicas[function]
        function.replicas, function.home = {}, None
        self.functions.pop(function, None)

    def note_request(self, function: Function) -> None:
        """Marks a function as the last requested, so that it is the last to be dropped."""
        self.functions.pop(function, None)
        self.functions[function] = None

    def forget_unused(self, function: Function) -> None:
        """Forgets unused replicas of a function, and the function if it is unused itself.

        Otherwise workers that are gone and functions without requests would accumulate.
        """
        used = {
            w
            for w, r in function.replicas.items()
            if r.is_retained or r.is_in_use or self.is_warm(r)
        }
        for worker in [w for w in function.replicas if w not in used]:
            if not worker.is_listed or len(function.replicas) > FUNCTION_REPLICAS_KEPT:
                del function.replicas[worker], worker.replicas[function]
        home = function.home
        if home is not None and (home not in function.replicas or not home.is_listed):
            function.home = None
        if (
            function.rated_requests < MIN_RATED_REQUESTS
            and not function.new_requests[1]
            and not used
        ):
            self.drop_function(function)

    # -- replicas

    def replica(self, function: Function, worker: Worker) -> Replica:
        """The replica of this function at this worker, created if none is known."""
        if worker not in function.replicas:
            self.functions.setdefault(function)  # functions with replicas are checked
            function.replicas[worker] = worker.replicas[function] = Replica(worker, function)
        return function.replicas[worker]

    def is_warm(self, replica: Replica) -> bool:
        """Whether a replica is taken to be loaded.

        Not after its keep-alive, since its worker may unload an idle replica then.
        """
        return (
            replica.is_loaded and self.now_ns < replica.last_used_ns + self.settings.keep_alive_ns
        )

"""Workers, functions and replicas as this dispatcher believes in them, and the bounds on all of it.

Rule 3 (drains): a worker that drains or is gone takes nothing new. `State.accepts_work` is the one
place that says so, for attempts and load requests alike; `State.update_workers` learns of it. Times
are whole nanoseconds of the dispatcher's clock, which whoever feeds the policy sets before each
event.
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

LONG_AGO = -1 << 62  # before any time of a clock
FIRST_CONCURRENCY = (
    16.0  # attempts at one worker, of all dispatchers together, until its responses tell more
)
FIRST_RETRY_BUDGET = 1.0  # one retry may go to a worker that has not responded yet
FUNCTION_REPLICAS_KEPT = (
    64  # beyond, replicas out of use are forgotten: workers come and go without end
)
FADED_REQUESTS = 0.01  # in what a function's rate is taken from; below, the function is forgotten
RENEWALS_A_KEEP_ALIVE = (
    4  # periodic checks within a keep-alive: a renewal may fail and be tried again
)
PEAK_RATE_KEPT = 0.99  # a period: the best rate has to outlast a release, in which less succeeds
SHARE_PERIODS = 8  # of a mean: an overload of seconds shows in it, the noise of one period does not
SHARE_REQUESTS = 16  # of fewer the best share of the last periods is mostly chance


class Replica:
    """A function at a worker, loaded or to be loaded, as this dispatcher believes in it."""

    def __init__(self, worker: Worker, function: Function) -> None:
        self.worker, self.function = worker, function
        self.latency = LatencyHistogram()
        self.in_flight = 0  # attempts
        self.is_retained = False  # by a load request of ours, to be renewed
        self.is_loaded = False  # to our knowledge
        self.last_used_ns = LONG_AGO  # or asked for: idle time runs from here at the earliest
        self.load_failed_ns = LONG_AGO  # when a load request for it failed
        self.load_requested_ns = 0  # since when a load is awaited, 0 for none

    @property
    def is_in_use(self) -> bool:
        """Whether something of ours is open on it."""
        return bool(self.in_flight or self.load_requested_ns)


class Worker:
    """A worker, and what its responses have taught."""

    def __init__(self, facts: WorkerFacts, now_ns: int, concurrency_limit: float) -> None:
        self.facts = facts
        self.is_listed = False
        self.replicas: dict[Function, Replica] = {}
        self.in_flight = 0  # attempts
        self.warm_in_flight = 0  # those of them that should have met a loaded replica
        self.concurrency_limit = concurrency_limit  # on warm_in_flight, of this dispatcher
        self.retry_budget = FIRST_RETRY_BUDGET
        self.refused_in_a_row = 0
        self.unanswered_in_a_row = 0
        self.late_share = 0.0  # of the last responses
        self.error_shares: dict[RequestClass, float] = {}  # of the last responses, by request class
        self.last_error_ns = LONG_AGO
        self.last_response_ns = now_ns
        self.limit_cut_ns = 0
        self.overdue_since_ns = 0  # a response is awaited at least since then
        self.next_attempt_ns = (
            0  # no attempt before: a warming worker's share, or a limit below one
        )
        self.ramp_start_ns = 0  # the start of the process that `next_attempt_ns` was drawn for
        self.ramp_rate_per_second = 0.0  # once it is warm, that `next_attempt_ns` was set by
        self.latency_ratio = (
            LatencyHistogram()
        )  # of USUAL_RATIO: a response that took as long as usual


class Function:
    """A function, and how much it is asked for."""

    def __init__(self, facts: FunctionFacts, now_ns: int) -> None:
        self.facts = facts
        self.replicas: dict[Worker, Replica] = {}
        self.latency = LatencyHistogram()
        self.home: Worker | None = None  # where it was last seen warm
        self.ranking = Ranking(facts.mark)
        self.first_request_ns = now_ns
        self.last_request_ns = 0
        self.requests = 0
        self.second_start_ns = now_ns
        self.new_requests = [
            0,
            0,
        ]  # of this second and of this period; neither repeats nor over a share
        self.rated_requests = 0.0  # what the rate is taken from: as many within `rated_span_ns`
        self.rated_span_ns = 0
        self.mean_cost = 0.0  # of the hints that came with requests
        self.capacity_per_second = 0.0  # Rmax at the last check
        self.replicas_added = 0  # in this period


class Traffic:
    """The rates of all requests of this dispatcher, a second, and its part of the fleet's."""

    def __init__(self, dispatchers: int) -> None:
        self.succeeded_per_second = 0.0
        self.peak_succeeded_per_second = 0.0
        self.new_requests_per_second = 0.0  # neither repeats nor over a tenant's share
        self.equivalent_dispatchers: float = (
            dispatchers  # how many like this one carry all requests
        )
        self.succeeded_in_period = 0
        self.new_requests_in_period = 0
        self.recent_new_requests = 0.0  # of about the last SHARE_PERIODS
        self.recent_succeeded = 0.0  # the same
        self.succeeded_share = 0.0  # of new requests: the best of it, lately

    def end_period(self, settings: Settings, period_ns: int) -> None:
        """Takes the counts of the period into the rates."""
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
        # one that carries far more than its part must not take itself for the mean of many
        dispatchers = settings.rate_limit_per_second / max(self.new_requests_per_second, 1e-9)
        few = 4 * dispatchers < settings.dispatchers
        self.equivalent_dispatchers = max(1.0, dispatchers) if few else settings.dispatchers

    def _update_succeeded_share(self) -> None:
        """Takes the best share of new requests that succeeded lately, each by one deviation less.

        Of few requests the present share counts, as the best of them is chance.
        """
        self.recent_new_requests += (
            self.new_requests_in_period - self.recent_new_requests / SHARE_PERIODS
        )
        self.recent_succeeded += self.succeeded_in_period - self.recent_succeeded / SHARE_PERIODS
        requests = max(self.recent_new_requests, 1.0)
        share = min(1.0, self.recent_succeeded / requests)
        surely = max(0.0, share - math.sqrt(share * (1 - share) / requests))
        before = PEAK_RATE_KEPT * self.succeeded_share if requests >= SHARE_REQUESTS else 0.0
        self.succeeded_share = max(surely, before)


class State:
    """All that one dispatcher knows of the fleet.

    Workers and functions stand for the ids of whoever feeds it.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(
            seed
        ).random  # in [0, 1); the order of its draws is part of every decision
        self.now_ns = 0
        self.index = CandidateIndex()
        self.workers: list[Worker] = self.index.workers
        self.highest_weight = 0.0  # of all workers together, the most that took requests lately
        self.limited_workers: dict[
            Worker, None
        ] = {}  # listed, and draining or started a short time ago
        self.functions: dict[Function, None] = {}  # the last asked for stands last
        self.paced_workers: dict[Worker, None] = {}  # that responded lately
        self.latencies = LatencyEstimates(settings)
        self.traffic = Traffic(settings.dispatchers)
        self.warm_in_flight = 0  # at all workers
        self.check_period_ns = max(SECOND, settings.keep_alive_ns // RENEWALS_A_KEEP_ALIVE)
        objectives = (
            request_class.latency_objective_ns for request_class in settings.request_classes
        )
        self.shortest_objective_ns = min(objectives, default=SECOND)

    # -- workers

    def new_worker(self, facts: WorkerFacts) -> Worker:
        """An object for a worker's id; it is listed once `update_workers` says so."""
        return Worker(facts, self.now_ns, FIRST_CONCURRENCY / self.settings.dispatchers)

    def update_workers(self, events: Iterable[tuple[Any, WorkerFacts]], is_snapshot: bool) -> None:
        """What discovery says of some workers, or, with a snapshot, of all: others are gone."""
        events = list(events)
        named = dict(events)
        for worker, facts in events:
            if facts.started_ns != worker.facts.started_ns and worker.is_listed:
                self._forget_replicas(worker)
            self._list(worker, facts)
        for worker in [w for w in self.workers if w not in named] if is_snapshot else []:
            self._list(worker, replace(worker.facts, state=WorkerState.GONE))
        for worker in named:
            if worker.facts.state is not WorkerState.UP:
                self._forget_replicas(worker)

    def _list(self, worker: Worker, facts: WorkerFacts) -> None:
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
        """Whether its process started less than a ramp ago; never for an unknown start."""
        started_ns = worker.facts.started_ns
        return bool(started_ns) and self.now_ns - started_ns < self.settings.slow_start_ns

    def _forget_replicas(self, worker: Worker) -> None:
        """A process that restarted or goes has nothing that was loaded before."""
        for replica in worker.replicas.values():
            replica.is_retained = replica.is_loaded = False
        worker.unanswered_in_a_row = worker.overdue_since_ns = 0
        worker.last_response_ns = self.now_ns

    def accepts_work(self, worker: Worker) -> bool:
        """Rule 3: nothing new for a worker that drains or is gone."""
        return worker.is_listed and worker.facts.state is WorkerState.UP

    # -- functions

    def new_function(self, facts: FunctionFacts) -> Function:
        """An object for a function's id.

        Beyond the bound on functions the one longest without a request makes room, if nothing of it
        is open.
        """
        function = Function(facts, self.now_ns)
        if len(self.functions) >= self.settings.function_limit:
            idle = (f for f in self.functions if not any(r.is_in_use for r in f.replicas.values()))
            self.drop_function(next(idle, function))
        self.functions[function] = None
        return function

    def drop_function(self, function: Function) -> None:
        """Forgets a function, and what is known of its replicas.

        It comes back by its next request.
        """
        for worker in function.replicas:
            del worker.replicas[function]
        function.replicas, function.home = {}, None
        self.functions.pop(function, None)

    def note_request(self, function: Function) -> None:
        """Puts a function last among those that may be forgotten."""
        self.functions.pop(function, None)
        self.functions[function] = None

    def forget_unused(self, function: Function) -> None:
        """Workers that are gone and functions that nobody asks for come without end."""
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
        if function.rated_requests < FADED_REQUESTS and not function.new_requests[1] and not used:
            self.drop_function(function)

    # -- replicas

    def replica(self, function: Function, worker: Worker) -> Replica:
        """The one of this function at this worker, made where none is known."""
        if worker not in function.replicas:
            self.functions.setdefault(function)  # what has replicas is checked
            function.replicas[worker] = worker.replicas[function] = Replica(worker, function)
        return function.replicas[worker]

    def is_warm(self, replica: Replica) -> bool:
        """An idle replica may lapse once its keep-alive has passed: belief in it ends there too."""
        return (
            replica.is_loaded and self.now_ns < replica.last_used_ns + self.settings.keep_alive_ns
        )

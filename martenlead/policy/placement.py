"""Placement: the worker for an attempt, and the worker for a new replica.

The design's rule for requests: the home worker, where the function was last seen warm, while this
dispatcher has fewer requests there than lanes; else the less busy of two random workers that have
the function; else the next worker of the shared order (docs/design.md, "Kept"; the paper leaves the
routing open). Each deviation from the rule is listed in docs/design.md, "Changed".
"""

from __future__ import annotations

from collections.abc import Iterator

from martenlead.policy import retry_budget
from martenlead.policy.candidates import FULLY_RANKED_WORKERS
from martenlead.policy.concurrency import ConcurrencyLimits
from martenlead.policy.outliers import Outliers
from martenlead.policy.repeats import RepeatGuard
from martenlead.policy.slow_start import SlowStart
from martenlead.policy.state import Function, Replica, State, Worker
from martenlead.policy.types import Request, Result

# Workers of the shared order considered for a new replica, divided among the dispatchers.
REPLICA_CHOICES = 6
# Multiple of the usual latency above which a worker is crowded; variance alone does not reach it.
CROWDED_PACE = 1.3
# Multiple of an even share of all requests in flight above which a worker is crowded.
CROWDED_PARTS = 2


class Placement:
    """Chooses workers for attempts and for new replicas."""

    def __init__(
        self,
        state: State,
        outliers: Outliers,
        slow_start: SlowStart,
        concurrency: ConcurrencyLimits,
        repeats: RepeatGuard,
    ) -> None:
        self.state = state
        self.outliers = outliers
        self.slow_start = slow_start
        self.concurrency = concurrency
        self.repeats = repeats

    # -- for an attempt

    def choose_worker(self, request: Request, excluded: set[Worker]) -> Worker | None:
        """The worker for the next attempt, or None if no worker may have the request now.

        Draws random numbers, and starts no attempt.
        """
        function: Function = request.function
        known = self._known_replicas(request, function)
        fitting = [r for r in known if r.worker not in excluded and self.fits(request, r.worker)]
        warm = [r for r in fitting if self.state.is_warm(r)]
        warm = [r for r in warm if r.is_retained] or warm  # others may be unloaded
        for replica in warm:
            is_free_home = (
                replica.worker is function.home and replica.in_flight < function.facts.lanes
            )
            if is_free_home and not self.is_crowded(replica.worker):
                return replica.worker
        usable = [r for r in warm if not self.is_crowded(r.worker)] or warm or fitting
        if usable:
            two = [usable[int(self.state.random() * len(usable))] for _ in range(2)]
            return min(two, key=lambda r: self.busyness(r.worker)).worker
        return self._next_candidate(request, excluded, len(known))

    def _known_replicas(self, request: Request, function: Function) -> list[Replica]:
        """Warm or loading replicas, except at workers that returned an error to the request."""
        state, outliers = self.state, self.outliers
        known = [
            replica
            for replica in function.replicas.values()
            if (state.is_warm(replica) or replica.load_requested_ns)
            and outliers.is_usable(replica.worker)
        ]
        # refusals for lack of capacity do not count
        failed_at = [a.worker for a in request.attempts if a.result is Result.ERROR]
        return [
            replica
            for replica in known
            if replica.worker not in failed_at
            and not outliers.is_failing(replica.worker, request.request_class)
        ]

    def _next_candidate(
        self, request: Request, excluded: set[Worker], replicas: int
    ) -> Worker | None:
        is_short_list = len(self.state.workers) <= FULLY_RANKED_WORKERS
        for worker in self.candidates(request.function, replicas):
            if replicas and is_short_list and not self.slow_start.is_warming_up(worker):
                # A load would evict replicas that other functions need. Only a worker that has just
                # started has none yet.
                continue
            if worker not in excluded and self.fits(request, worker):
                return worker
        return None

    def fits(self, request: Request, worker: Worker) -> bool:
        """Whether this worker may have the request now."""
        return (
            self.outliers.is_usable(worker)
            and not self.outliers.is_failing(worker, request.request_class)
            and (retry_budget.allows_retry(worker) or not request.attempts)
            and self.concurrency.has_room(worker, request.is_deferrable)
            and self.repeats.may_send(request, worker)
        )

    def busyness(self, worker: Worker) -> float:
        """The load of a worker, by pace and requests in flight; of two, the lower is chosen."""
        return self.state.latencies.pace(worker.latency_ratio) * (1 + worker.warm_in_flight)

    def is_crowded(self, worker: Worker) -> bool:
        """Whether a worker takes much longer than usual or has far more in flight than its part."""
        if self.state.latencies.pace(worker.latency_ratio) > CROWDED_PACE:
            return True
        part = CROWDED_PARTS * self.state.warm_in_flight / len(self.state.workers)
        return worker.warm_in_flight > CROWDED_PARTS + part

    def pace(self, worker: Worker) -> float:
        """How many times longer than usual a worker takes."""
        return self.state.latencies.pace(worker.latency_ratio)

    # -- for a new replica

    def candidates(self, function: Function, replicas: int = 0) -> Iterator[Worker]:
        """The workers in the function's shared order, which is the same at all dispatchers."""
        return function.ranking.candidates(self.state.index, replicas)

    def choose_worker_for_replica(self, function: Function) -> Worker | None:
        """The least busy of the next few workers in the shared order, or one that has it loaded.

        A few dispatchers observe and choose much the same. Each of many observes little, so that
        only the plain next worker makes them choose the same replicas.
        """
        state, free = self.state, list[Worker]()
        choices = max(1, REPLICA_CHOICES // state.settings.dispatchers)
        for worker in self.candidates(function, len(function.replicas)):
            replica = function.replicas.get(worker)
            if len(free) >= choices:
                break
            if not self._may_get_replica(worker):
                continue
            if (
                replica
                and state.is_warm(replica)
                and not replica.is_retained
                and not self.is_crowded(worker)
            ):
                return worker  # already loaded, so that no load is needed
            retry_ns = replica.load_failed_ns + state.settings.keep_alive_ns // 2 if replica else 0
            if replica is None or not (replica.is_retained or state.now_ns < retry_ns):
                free.append(worker)
        return min(free, key=self.busyness, default=None)

    def _may_get_replica(self, worker: Worker) -> bool:
        if not self.outliers.is_usable(worker) or self.slow_start.is_warming_up(worker):
            return False
        return not self.outliers.is_failing(worker)

"""The policy of one dispatcher: receives each event and passes it to the module responsible.

Called by engine.py: `background` and `handle_request` return generators that yield actions and are
resumed with their results; the other methods record observations. `new_worker` and `new_function`
create the objects that represent the caller's ids. The types of both directions are in types.py,
the design is in docs/design.md.

| responsibility | module |
| --- | --- |
| workers, functions, replicas; rule 3, drains | state.py |
| R against Rmax, the paper's mechanism | replica_scaling.py |
| the worker for a replica or an attempt | placement.py, candidates.py |
| rule 1, one final response in time; attempts and retries | attempts.py, retry_budget.py |
| rule 2, no effect twice | repeats.py |
| rule 4, slow start | slow_start.py |
| rule 5, the load budget | load_budget.py |
| learning from responses | results.py, latency.py, outliers.py, concurrency.py |
| tenants' shares | tenant_shares.py |
| restoring what an earlier run had learnt | earlier_run.py |
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from martenlead.policy.attempts import Attempts
from martenlead.policy.concurrency import ConcurrencyLimits
from martenlead.policy.earlier_run import restore
from martenlead.policy.load_budget import LoadBudget
from martenlead.policy.outliers import Outliers
from martenlead.policy.placement import Placement
from martenlead.policy.repeats import RepeatGuard
from martenlead.policy.replica_scaling import ReplicaScaling
from martenlead.policy.results import Results
from martenlead.policy.slow_start import SlowStart
from martenlead.policy.state import Function, State, Worker
from martenlead.policy.tenant_shares import TenantShares
from martenlead.policy.types import (
    Action,
    AttemptResult,
    EarlierRun,
    FunctionFacts,
    ListWorkers,
    LoadRequest,
    Request,
    Result,
    Settings,
    Steps,
    Wait,
    WorkerFacts,
)


class Policy:
    """Makes the decisions of one dispatcher, which knows nothing of the others."""

    placement_type: type[Placement] = Placement  # replaced to compare other placements

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.state = State(settings, seed)
        self.outliers = Outliers(self.state)
        self.slow_start = SlowStart(self.state)
        self.concurrency = ConcurrencyLimits(self.state, self.slow_start)
        self.repeats = RepeatGuard(self.state)
        self.load_budget = LoadBudget(self.state)
        self.tenant_shares = TenantShares(self.state)
        self.placement = self.placement_type(
            self.state, self.outliers, self.slow_start, self.concurrency, self.repeats
        )
        self.scaling = ReplicaScaling(
            self.state, self.placement, self.load_budget, self.tenant_shares
        )
        self.attempts = Attempts(
            self.state,
            self.placement,
            self.scaling,
            self.load_budget,
            self.concurrency,
            self.tenant_shares,
        )
        self.results = Results(self.state, self.outliers, self.concurrency)

    # -- background

    def background(self) -> list[Steps]:
        """The generators that run as long as the dispatcher."""
        return [
            self.scaling.run(),
            *([self._ask_for_workers()] if self.settings.lists_workers else []),
        ]

    def _ask_for_workers(self) -> Steps:
        while True:
            yield ListWorkers()
            yield Wait(self.state.now_ns + self.settings.list_interval_ns)

    # -- events

    def new_worker(self, facts: WorkerFacts) -> Worker:
        """Creates the object for a worker's id."""
        return self.state.new_worker(facts)

    def new_function(self, facts: FunctionFacts) -> Function:
        """Creates the object for a function's id."""
        return self.state.new_function(facts)

    def update_workers(self, events: Iterable[tuple[Any, WorkerFacts]], is_snapshot: bool) -> None:
        """Applies discovery's report on some workers, or with a snapshot on all."""
        self.state.update_workers(events, is_snapshot)

    def handle_request(self, request: Request) -> Steps:
        """Handles a request from its arrival to its final response."""
        return self.attempts.handle(request)

    def record_result(self, answer: AttemptResult) -> None:
        """Records the end of an attempt, even if its request has ended."""
        self.results.record(answer)

    def record_load_end(self, load: LoadRequest, result: Result, replicas: int) -> None:
        """Records the end of a load request and the number of replicas loaded at its worker."""
        self.scaling.record_load_end(load, result, replicas)

    def close_request(self, request: Request, is_cancelled: bool) -> list[Action]:
        """The actions left to do for a request that has ended or whose client has left."""
        return self.attempts.close(request, is_cancelled)

    def restore(self, past: EarlierRun) -> None:
        """Restores what an earlier run of this dispatcher had learnt."""
        restore(self.state, self.load_budget, past)

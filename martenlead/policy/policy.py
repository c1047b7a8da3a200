"""The policy of one dispatcher: receives each event and hands it to the module whose matter it is.

Called by engine.py: `background` and `handle_request` give generators that yield what they want
done and are resumed with what came of it; the other methods tell what was observed. `new_worker`
and `new_function` make the objects that stand for ids outside. The types of both directions stand
in types.py, the design in docs/design.md.

| what | module |
| --- | --- |
| workers, functions, replicas; rule 3, drains | state.py |
| R against Rmax, the paper's mechanism | replica_scaling.py |
| the worker for a replica or an attempt | placement.py, candidates.py |
| rule 1, one final response in time; attempts and retries | attempts.py, retry_budget.py |
| rule 2, no effect twice | repeats.py |
| rule 4, slow start | slow_start.py |
| rule 5, the load budget | load_budget.py |
| what responses teach | results.py, latency.py, outliers.py, concurrency.py |
| tenants' shares | tenant_shares.py |
| what an earlier run knew | earlier_run.py |
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
    """The decisions of one dispatcher, which knows nothing of the others."""

    placement_type: type[Placement] = Placement  # other placements are compared with it

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

    # -- what is asked of the fleet without a request

    def background(self) -> list[Steps]:
        """What runs as long as the dispatcher does."""
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
        """An object for a worker's id."""
        return self.state.new_worker(facts)

    def new_function(self, facts: FunctionFacts) -> Function:
        """An object for a function's id."""
        return self.state.new_function(facts)

    def update_workers(self, events: Iterable[tuple[Any, WorkerFacts]], is_snapshot: bool) -> None:
        """What discovery says of some workers, or with a snapshot of all."""
        self.state.update_workers(events, is_snapshot)

    def handle_request(self, request: Request) -> Steps:
        """A request from its arrival to its final response."""
        return self.attempts.handle(request)

    def record_result(self, answer: AttemptResult) -> None:
        """The end of an attempt, also of one whose request is over."""
        self.results.record(answer)

    def record_load_end(self, load: LoadRequest, result: Result, replicas: int) -> None:
        """The end of a load request, and how many replicas are loaded there now."""
        self.scaling.record_load_end(load, result, replicas)

    def close_request(self, request: Request, is_cancelled: bool) -> list[Action]:
        """A request is over, or its client has left: what is still to be done for it."""
        return self.attempts.close(request, is_cancelled)

    def restore(self, past: EarlierRun) -> None:
        """What an earlier run of this dispatcher had learnt."""
        restore(self.state, self.load_budget, past)

"""What an earlier run of this dispatcher had learnt, taken up for what its age leaves of it.

Replicas are not among it: their workers are asked for them. Load requests count in the budget,
whoever lived when they were given.
"""

from __future__ import annotations

from martenlead.policy.load_budget import LoadBudget
from martenlead.policy.state import Function, State
from martenlead.policy.types import EarlierFunction, EarlierRun


def restore(state: State, load_budget: LoadBudget, past: EarlierRun) -> None:
    """Once, before the first request."""
    traffic = state.traffic
    traffic.succeeded_per_second = max(
        traffic.succeeded_per_second, past.succeeded_per_second * past.weight
    )
    traffic.new_requests_per_second = max(
        traffic.new_requests_per_second, past.new_requests_per_second * past.weight
    )
    given = sorted((state.now_ns - age for age in past.load_ages_ns), reverse=True)
    load_budget.load_times_ns.extendleft(given)
    for known in past.functions:
        _restore_function(state, known)
    for one in past.workers:
        # a worker that was slow then is found slow again; one that is not must not be starved for
        # it
        wider = max(0.0, one.concurrency_limit - one.worker.concurrency_limit)
        one.worker.concurrency_limit += wider * one.weight


def _restore_function(state: State, known: EarlierFunction) -> None:
    function: Function = known.function
    function.latency.blend(known.bins, known.latency_sum_ns, known.latency_weight)
    function.rated_requests += known.requests * known.demand_weight
    function.rated_span_ns += int(known.span_ns * known.demand_weight)
    if known.mean_gap_ns and not function.requests:
        function.requests, function.last_request_ns = 2, state.now_ns - known.idle_ns
        function.first_request_ns = function.last_request_ns - known.mean_gap_ns

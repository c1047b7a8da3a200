"""Restores what an earlier run of this dispatcher had learnt, weighted by its age.

Replicas are not restored: their workers are asked for them. Load requests count in the load budget,
whichever run made them.
"""

from __future__ import annotations

from martenlead.policy.load_budget import LoadBudget
from martenlead.policy.state import Function, State
from martenlead.policy.types import EarlierFunction, EarlierRun


def restore(state: State, load_budget: LoadBudget, past: EarlierRun) -> None:
    """Restores the state of an earlier run; to be called once, before the first request."""
    traffic = state.traffic
    traffic.succeeded_per_second = max(
        traffic.succeeded_per_second, past.succeeded_per_second * past.weight
    )
    traffic.new_requests_per_second = max(
        traffic.new_requests_per_second, past.new_requests_per_second * past.weight
    )
    load_times_ns = sorted((state.now_ns - age for age in past.load_ages_ns), reverse=True)
    load_budget.load_times_ns.extendleft(load_times_ns)
    for earlier_function in past.functions:
        _restore_function(state, earlier_function)
    for earlier in past.workers:
        # Limits are only raised: a worker that is still slow is soon found to be, and one that has
        # recovered must not be limited by the past.
        increase = max(0.0, earlier.concurrency_limit - earlier.worker.concurrency_limit)
        earlier.worker.concurrency_limit += increase * earlier.weight


def _restore_function(state: State, earlier: EarlierFunction) -> None:
    function: Function = earlier.function
    function.latency.blend(earlier.bins, earlier.latency_sum_ns, earlier.latency_weight)
    function.rated_requests += earlier.requests * earlier.demand_weight
    function.rated_span_ns += int(earlier.span_ns * earlier.demand_weight)
    if earlier.mean_gap_ns and not function.requests:
        function.requests, function.last_request_ns = 2, state.now_ns - earlier.idle_ns
        function.first_request_ns = function.last_request_ns - earlier.mean_gap_ns

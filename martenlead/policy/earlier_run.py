"""What an earlier run of this dispatcher had learnt, taken up for what its age leaves of it.

Replicas are not among it: their workers are asked for them. Load requests count in the budget, whoever
lived when they were given.
"""

from __future__ import annotations

from martenlead.policy.load_budget import LoadBudget
from martenlead.policy.state import Function, State
from martenlead.policy.types import Past, PastModel


def restore(state: State, load_budget: LoadBudget, past: Past) -> None:
    """Once, before the first request."""
    traffic = state.traffic
    traffic.succeeded_per_second = max(traffic.succeeded_per_second, past.rate * past.worth)
    traffic.new_requests_per_second = max(traffic.new_requests_per_second, past.asked * past.worth)
    given = sorted((state.now_ns - age for age in past.orders), reverse=True)
    load_budget.load_times_ns.extendleft(given)
    for known in past.models:
        _restore_function(state, known)
    for one in past.runners:
        # a worker that was slow then is found slow again; one that is not must not be starved for it
        wider = max(0.0, one.width - one.runner.concurrency_limit)
        one.runner.concurrency_limit += wider * one.worth


def _restore_function(state: State, known: PastModel) -> None:
    function: Function = known.model
    function.latency.blend(known.bins, known.lag, known.latency_worth)
    function.rated_requests += known.tasks * known.demand_worth
    function.rated_span_ns += int(known.span * known.demand_worth)
    if known.gap and not function.requests:
        function.requests, function.last_request_ns = 2, state.now_ns - known.idle
        function.first_request_ns = function.last_request_ns - known.gap

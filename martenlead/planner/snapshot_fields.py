"""The fields of the policy's objects and their names in a snapshot.

The reader ignores fields that it does not know; fields that the writer does not know keep the value
of a new object. Programs with slightly different policies are therefore compatible.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any

from martenlead.policy.latency import LatencyHistogram
from martenlead.policy.policy import Policy

FieldValues = dict[str, Any]  # other versions may have other types; the reader checks them

NUMBERS = (int, float, bool)
LISTS = (list, deque)
OMITTED_FIELDS = {"now_ns"}  # the reader sets it

# fields whose name in a snapshot differs from that in the policy; see docs/protocol-plan.md
WORKER_NAMES = {
    "is_listed": "listed",
    "in_flight": "out",
    "warm_in_flight": "running",
    "concurrency_limit": "width",
    "retry_budget": "credit",
    "refused_in_a_row": "fulls",
    "unanswered_in_a_row": "silent",
    "late_share": "late",
    "last_error_ns": "failed_last",
    "last_response_ns": "heard",
    "limit_cut_ns": "widened",
    "overdue_since_ns": "waiting",
    "next_attempt_ns": "next",
    "ramp_start_ns": "ramp",
    "latency_ratio": "ratio",
}
FUNCTION_NAMES = {
    "first_request_ns": "first",
    "last_request_ns": "last",
    "requests": "tasks",
    "second_start_ns": "second",
    "new_requests": "counts",
    "rated_requests": "seen",
    "rated_span_ns": "span",
    "mean_cost": "cost",
    "capacity_per_second": "most",
    "replicas_added": "added",
}
REPLICA_NAMES = {
    "in_flight": "out",
    "is_retained": "held",
    "is_loaded": "stands",
    "last_used_ns": "touched",
    "load_failed_ns": "refused",
    "load_requested_ns": "ordered",
}
POLICY_NAMES = {
    "highest_weight": "weight",
    "warm_in_flight": "running",
    "check_period_ns": "period",
    "shortest_objective_ns": "soft",
    "succeeded_per_second": "rate",
    "peak_succeeded_per_second": "best",
    "new_requests_per_second": "asked",
    "equivalent_dispatchers": "peers",
    "succeeded_in_period": "satisfied",
    "new_requests_in_period": "first_tries",
    "all_functions": "latency",
    "last_period_ns": "span",
    "request_times_ns": "taken",
    "load_times_ns": "orders",
}


def list_field_owners(policy: Policy) -> list[object]:
    """Returns the objects whose fields together form the `policy_fields` of a snapshot."""
    state = policy.state
    return [state, state.traffic, state.latencies, policy.scaling, policy.load_budget]


def pack_fields(owner: object, names: Mapping[str, str]) -> FieldValues:
    """Returns numbers, histograms and lists of numbers of an object by their snapshot names."""
    packed: FieldValues = {}
    for name, value in vars(owner).items():
        if name in OMITTED_FIELDS:
            continue
        stored_name = names.get(name, name)
        if isinstance(value, NUMBERS):
            packed[stored_name] = value
        elif isinstance(value, LatencyHistogram):
            packed[stored_name] = _pack_histogram(value)
        elif isinstance(value, LISTS) and value and all(isinstance(v, NUMBERS) for v in value):
            packed[stored_name] = list(value)
    return packed


def _pack_histogram(histogram: LatencyHistogram) -> FieldValues:
    return {"bins": histogram.bins, "total": histogram.total, "sum": histogram.sum_ns}


def unpack_fields(owner: object, packed: Mapping[str, object], names: Mapping[str, str]) -> None:
    """Sets fields of an object to packed values; ignores values of another type or length."""
    for name, current in list(vars(owner).items()):
        stored_name = names.get(name, name)
        if name not in OMITTED_FIELDS and stored_name in packed:
            _unpack_field(owner, name, current, packed[stored_name])


def _unpack_field(owner: object, name: str, current: object, value: object) -> None:
    if isinstance(current, NUMBERS):
        if isinstance(value, NUMBERS):
            setattr(owner, name, bool(value) if isinstance(current, bool) else value)
    elif isinstance(current, LatencyHistogram):
        _unpack_histogram(current, value)
    elif isinstance(current, deque) and isinstance(value, list):
        current.clear()
        current.extend(value)
    elif isinstance(current, list) and isinstance(value, list) and len(value) == len(current):
        setattr(owner, name, list(value))


def _unpack_histogram(histogram: LatencyHistogram, value: object) -> None:
    """Sets a histogram; ignores values with another number of bins."""
    if isinstance(value, dict) and len(value.get("bins", ())) == len(histogram.bins):
        histogram.bins = [float(count) for count in value["bins"]]
        histogram.total = float(value["total"])
        histogram.sum_ns = float(value["sum"])

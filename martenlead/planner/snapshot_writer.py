"""Builds the snapshot of a policy without changing the policy."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from martenlead.capture import events as ev
from martenlead.planner.snapshot import (
    NO_TENANT,
    NO_WORKER,
    AttemptRecord,
    FunctionRecord,
    PolicySnapshot,
    ReplicaRecord,
    RequestRecord,
    TenantRate,
    TenantRecord,
    TenantRequests,
    WorkerRecord,
)
from martenlead.planner.snapshot_fields import (
    FUNCTION_NAMES,
    POLICY_NAMES,
    REPLICA_NAMES,
    WORKER_NAMES,
    FieldValues,
    list_field_owners,
    pack_fields,
)
from martenlead.policy.policy import Policy
from martenlead.policy.state import Function, Worker
from martenlead.policy.types import Attempt, Request, Tenant


class ObjectNumbers(msgspec.Struct, frozen=True):
    """The numbers and names of the policy's objects in the edge's events."""

    workers: Mapping[Worker, int]
    functions: Mapping[Function, int]
    requests: Mapping[Request, int]
    tenants: Mapping[Tenant, int]
    worker_names: Mapping[Worker, str]
    function_names: Mapping[Function, str]


def take_snapshot(
    policy: Policy, start: ev.RunStarted, numbers: ObjectNumbers, function_limit: int
) -> PolicySnapshot:
    """Returns the state of a policy with at most `function_limit` functions.

    The settings are those of the start event; whether this edge requests loads itself at present is
    omitted.
    """
    functions = _choose_functions(policy, numbers.requests, function_limit)
    shares = policy.tenant_shares
    return PolicySnapshot(
        settings={**start.settings, "tick": policy.settings.tick_ns},
        seed=start.seed,
        tenants=[TenantRecord(name, rate) for name, rate in start.tenants],
        policy_fields=_pack_policy(policy),
        requests_in_period=[
            TenantRequests(numbers.tenants[tenant], requests)
            for tenant, requests in shares.requests_in_period.items()
        ],
        requests_per_second=[
            TenantRate(numbers.tenants[tenant], rate)
            for tenant, rate in shares.requests_per_second.items()
        ],
        workers=[_pack_worker(worker, numbers) for worker in numbers.workers],
        functions=[_pack_function(function, numbers) for function in functions],
        requests=_pack_requests(policy, set(functions), numbers),
    )


def _choose_functions(
    policy: Policy, requests: Mapping[Request, int], function_limit: int
) -> list[Function]:
    """Returns the functions with replicas or recent requests, at most `function_limit`.

    Above the limit, functions with retained replicas are preferred, then those with open requests,
    then the most requested.
    """
    active = [f for f in policy.state.functions if _is_active(f)]
    if len(active) <= function_limit:
        return active
    requested = {request.function for request in requests}
    rank = {
        function: (
            any(replica.is_retained for replica in function.replicas.values()),
            function in requested,
            function.rated_requests + function.new_requests[1],
        )
        for function in active
    }
    return sorted(active, key=rank.__getitem__, reverse=True)[:function_limit]


def _is_active(function: Function) -> bool:
    return bool(function.replicas or function.new_requests[1] or function.rated_requests >= 1)


def _pack_policy(policy: Policy) -> FieldValues:
    packed: FieldValues = {}
    for owner in list_field_owners(policy):
        packed |= pack_fields(owner, POLICY_NAMES)
    return packed


def _pack_worker(worker: Worker, numbers: ObjectNumbers) -> WorkerRecord:
    return WorkerRecord(
        numbers.workers[worker],
        numbers.worker_names[worker],
        ev.pack_facts(worker.facts),
        worker.is_listed,
        pack_fields(worker, WORKER_NAMES),
    )


def _pack_function(function: Function, numbers: ObjectNumbers) -> FunctionRecord:
    return FunctionRecord(
        numbers.functions[function],
        numbers.function_names[function],
        f"{function.facts.mark:x}",
        function.facts.lanes,
        function.facts.memory_mb,
        pack_fields(function, FUNCTION_NAMES),
        numbers.workers[function.home] if function.home is not None else NO_WORKER,
        [
            ReplicaRecord(numbers.workers[worker], pack_fields(replica, REPLICA_NAMES))
            for worker, replica in function.replicas.items()
        ],
    )


def _pack_requests(
    policy: Policy, functions: set[Function], numbers: ObjectNumbers
) -> list[RequestRecord]:
    """Returns the requests of these functions that have an attempt in flight."""
    class_numbers = {id(one): n for n, one in enumerate(policy.settings.request_classes)}
    return [
        RequestRecord(
            number,
            numbers.functions[request.function],
            class_numbers[id(request.request_class)],
            numbers.tenants[request.tenant] if request.tenant is not None else NO_TENANT,
            request.deadline_ns,
            request.is_retry,
            request.cost,
            [_pack_attempt(attempt, numbers) for attempt in request.attempts],
        )
        for request, number in numbers.requests.items()
        if request.function in functions
        and any(attempt.result is None for attempt in request.attempts)
    ]


def _pack_attempt(attempt: Attempt, numbers: ObjectNumbers) -> AttemptRecord:
    return AttemptRecord(
        numbers.workers[attempt.worker],
        attempt.timeout_ns,
        attempt.sent_ns,
        attempt.expects_warm,
        attempt.result.value if attempt.result is not None else "",
    )

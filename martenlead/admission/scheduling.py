"""Choice of the next waiting request, and estimates of how long a new one would wait."""

from __future__ import annotations

from collections.abc import Container, Mapping

from martenlead.admission.accounts import TenantAccount
from martenlead.admission.queues import FunctionQueue, FunctionQueues, QueuedRequest
from martenlead.admission.throughput import ServiceStatistics
from martenlead.admission.units import NS_PER_MS

CAPACITY_RECHECK_NS = 5 * NS_PER_MS  # Pause between capacity checks of a function that had none

Accounts = Mapping[str, TenantAccount]


def choose_next(
    accounts: Accounts, skipped: Container[str], *, has_reserved: bool
) -> QueuedRequest | None:
    """The next request to admit, of functions that are not in `skipped`; None if there is none.

    Requests that redeemed a reservation come first, however much work their tenant had admitted, as
    reservations are granted from the tenant's own throughput. Among the others the tenant with
    the least admitted work comes first.
    """
    waiting = sorted(
        (account.weighted_work_seconds, name)
        for name, account in accounts.items()
        if account.waiting_requests
    )
    if has_reserved:
        for _, name in waiting:
            request = accounts[name].reserved_request(skipped)
            if request is not None:
                return request
    for _, name in waiting:
        request = accounts[name].fair_request(skipped)
        if request is not None:
            return request
    return None


def functions_to_skip(
    accounts: Accounts, queues: FunctionQueues, freed: object, now_ns: int
) -> set[str]:
    """Functions with waiting requests for which the policy is not asked now.

    If a placement has just got capacity (`freed`), these are the functions that were last placed
    elsewhere: asking for all of them whenever a request ends would cost more than it gains.
    Otherwise they are the functions that had no capacity a moment ago.
    """
    waiting = {
        function
        for account in accounts.values()
        if account.waiting_requests
        for function in account.queues
    }
    if freed:
        return {f for f in waiting if queues[f].last_placement not in (None, freed)}
    return {f for f in waiting if now_ns - queues[f].refused_ns < CAPACITY_RECHECK_NS}


def wait_by_tenant_seconds(accounts: Accounts, account: TenantAccount, rate: float) -> float:
    """The wait behind all requests of a tenant, at its share of the total throughput `rate`."""
    weight = sum(a.weight for a in accounts.values() if a.waiting_requests)
    if not account.waiting_requests:
        weight += account.weight
    share = account.weight / weight
    return account.waiting_work_seconds / share / rate


def wait_by_function_seconds(
    accounts: Accounts, queue: FunctionQueue, tenant: str, rate: float
) -> float:
    """The wait behind a tenant's requests for one function, at its share of its throughput."""
    tenant_queue = queue.tenant_queues.get(tenant)
    tenant_work_seconds = tenant_queue.waiting_work_seconds if tenant_queue is not None else 0.0
    weight = sum(accounts[name].weight for name in queue.tenant_queues)
    if tenant_queue is None:
        weight += accounts[tenant].weight
    share = accounts[tenant].weight / weight
    return min(tenant_work_seconds / share, queue.waiting_work_seconds) / rate


def planned_service_ns(request: QueuedRequest, statistics: ServiceStatistics, now_ns: int) -> int:
    """The service time to reserve for a request after its wait in the queue.

    A request that redeemed its reservation gets the mean without a margin, and at most half of its
    remaining time, so that neither a margin nor a long service time leads to its rejection.
    """
    if not request.has_reservation:
        return statistics.time_bound_ns(request.request_class)
    mean_ns = int(statistics.mean_time_ns(request.request_class))
    return min(mean_ns, (request.respond_by_ns - now_ns) // 2)

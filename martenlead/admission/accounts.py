"""Accounts of tenants: what each has had admitted, has waiting, and may still retry."""

from __future__ import annotations

from collections.abc import Collection, Container

from martenlead.admission.queues import QueuedRequest, TenantQueue, remaining_work
from martenlead.admission.reservations import MAX_RETRY_AFTER_NS, MIN_RETRY_AFTER_NS
from martenlead.admission.throughput import ThroughputMeter
from martenlead.admission.units import NS_PER_SECOND

RETRIES_PER_NEW_REQUEST = 0.2  # retries without a reservation that a new request earns its tenant
MAX_RETRY_BUDGET = 50.0
RESERVED_SHARE = 0.2  # of a tenant's throughput that reservations get at least, whatever comes anew
NEGLIGIBLE_WORK_SECONDS = 0.01  # clients below it are forgotten as work decays


class TenantAccount:
    """One tenant, or one bucket of tenants that no settings name."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.weighted_work_seconds = 0.0  # admitted so far, divided by the weight; decays
        self.client_work_seconds: dict[int, float] = {}  # admitted so far, by client bucket; decays
        self.waiting_requests = 0
        self.waiting_work_seconds = 0.0
        self.queues: dict[str, TenantQueue] = {}  # by function, only those that are not empty
        self.retry_budget = MAX_RETRY_BUDGET / 2
        self.last_reservation_ns = 0  # until when its reserved part of the throughput is spoken for
        self.new_requests = ThroughputMeter()  # work of requests that are no retries

    def record_new_request(self, now_ns: int, work_seconds: float) -> None:
        """Counts a request that is no retry; it adds to the retry budget."""
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_NEW_REQUEST)
        self.new_requests.record_completion(now_ns, work_seconds)

    def record_admission(self, request: QueuedRequest) -> None:
        """Charges the tenant and the client with the work of a request that is admitted."""
        self.weighted_work_seconds += request.work_seconds / self.weight
        by_client = self.client_work_seconds
        by_client[request.client_bucket] = (
            by_client.get(request.client_bucket, 0.0) + request.work_seconds
        )

    def add_waiting(self, request: QueuedRequest, queue: TenantQueue) -> None:
        """Counts a request that begins to wait in `queue`."""
        self.queues[request.function] = queue
        self.waiting_requests += 1
        self.waiting_work_seconds += request.work_seconds

    def remove_waiting(self, request: QueuedRequest, queue: TenantQueue) -> None:
        """Counts a request that has left `queue`."""
        if not queue.waiting_requests:
            del self.queues[request.function]
        self.waiting_requests -= 1
        self.waiting_work_seconds = remaining_work(
            self.waiting_work_seconds, request, self.waiting_requests
        )

    def reserved_request(self, skipped: Container[str]) -> QueuedRequest | None:
        """The most urgent waiting request that redeemed a reservation, of functions not skipped."""
        reserved = [
            queue.with_reservation[0]
            for function, queue in self.queues.items()
            if queue.with_reservation and function not in skipped
        ]
        return min(reserved, key=lambda r: (r.start_by_ns, r.arrived_ns), default=None)

    def fair_request(self, skipped: Container[str]) -> QueuedRequest | None:
        """The waiting request of the client that has had the least; the most urgent of it."""
        had_seconds = self.client_work_seconds
        due = [
            queue.next_request(had_seconds)
            for function, queue in self.queues.items()
            if function not in skipped
        ]
        return min(
            due,
            key=lambda r: (had_seconds.get(r.client_bucket, 0.0), r.start_by_ns, r.arrived_ns),
            default=None,
        )

    def reserve_turn(self, work_seconds: float, now_ns: int, earliest_ns: int, rate: float) -> int:
        """The turn of a rejected request: `earliest_ns`, or later behind other reservations.

        `rate` is the work per second that the tenant gets done. New requests leave a part of it to
        reservations; the request's work at that part is booked after its turn.
        """
        turn_ns = max(earliest_ns, self.last_reservation_ns, now_ns + MIN_RETRY_AFTER_NS)
        turn_ns = min(turn_ns, now_ns + MAX_RETRY_AFTER_NS)
        left_share = max(RESERVED_SHARE, 1 - self.new_requests.work_rate(now_ns, 0.0) / rate)
        self.last_reservation_ns = turn_ns + int(work_seconds / (rate * left_share) * NS_PER_SECOND)
        return turn_ns

    def decay(self, least_weighted_work_seconds: float) -> None:
        """Halves the work admitted so far, counted above the tenant that has had the least."""
        self.weighted_work_seconds = (self.weighted_work_seconds - least_weighted_work_seconds) / 2
        self.client_work_seconds = {
            client: work_seconds / 2
            for client, work_seconds in self.client_work_seconds.items()
            if work_seconds > NEGLIGIBLE_WORK_SECONDS
        }


def decay_accounts(accounts: Collection[TenantAccount]) -> None:
    """Lowers the weight of old work: a tenant that had much long ago must not stay behind."""
    least = min((account.weighted_work_seconds for account in accounts), default=0.0)
    for account in accounts:
        account.decay(least)


def least_waiting_work(accounts: Collection[TenantAccount]) -> float:
    """The least weighted work that a tenant with waiting requests has had; 0 if none waits."""
    waiting = [a.weighted_work_seconds for a in accounts if a.waiting_requests]
    return min(waiting, default=0.0)

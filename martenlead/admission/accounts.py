"""Accounts of tenants: admitted work, waiting requests, retry budget and reserved throughput."""

from __future__ import annotations

from collections.abc import Collection, Container

from martenlead.admission.queues import QueuedRequest, TenantQueue, remaining_work
from martenlead.admission.reservations import MAX_RETRY_AFTER_NS, MIN_RETRY_AFTER_NS
from martenlead.admission.throughput import ThroughputMeter
from martenlead.admission.units import NS_PER_SECOND

# Retry budget that a tenant gains with each new request; a retry without a reservation costs 1.
RETRIES_PER_NEW_REQUEST = 0.2
MAX_RETRY_BUDGET = 50.0
# Least share of a tenant's throughput for reservations, however many new requests arrive.
MIN_RESERVED_SHARE = 0.2
# Clients with no more admitted work than this are dropped when the work decays.
NEGLIGIBLE_WORK_SECONDS = 0.01


class TenantAccount:
    """One tenant, or one hash bucket of the tenants that the settings do not name."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.weighted_work_seconds = 0.0  # Admitted work divided by the weight; decays
        # Admitted work by client bucket; decays
        self.client_work_seconds: dict[int, float] = {}
        self.waiting_requests = 0
        self.waiting_work_seconds = 0.0
        self.queues: dict[str, TenantQueue] = {}  # Non-empty queues by function
        self.retry_budget = MAX_RETRY_BUDGET / 2
        self.reserved_until_ns = 0  # End of the time whose reserved throughput is already booked
        self.new_requests = ThroughputMeter()  # Work of requests that are not retries

    def record_new_request(self, now_ns: int, work_seconds: float) -> None:
        """Counts a request that is not a retry and adds to the retry budget."""
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_NEW_REQUEST)
        self.new_requests.record_completion(now_ns, work_seconds)

    def record_admission(self, request: QueuedRequest) -> None:
        """Charges the work of an admitted request to the tenant and to the client."""
        self.weighted_work_seconds += request.work_seconds / self.weight
        by_client = self.client_work_seconds
        by_client[request.client_bucket] = (
            by_client.get(request.client_bucket, 0.0) + request.work_seconds
        )

    def add_waiting(self, request: QueuedRequest, queue: TenantQueue) -> None:
        """Counts a request that was added to `queue`."""
        self.queues[request.function] = queue
        self.waiting_requests += 1
        self.waiting_work_seconds += request.work_seconds

    def remove_waiting(self, request: QueuedRequest, queue: TenantQueue) -> None:
        """Counts a request that was removed from `queue`."""
        if not queue.waiting_requests:
            del self.queues[request.function]
        self.waiting_requests -= 1
        self.waiting_work_seconds = remaining_work(
            self.waiting_work_seconds, request, self.waiting_requests
        )

    def reserved_request(self, skipped: Container[str]) -> QueuedRequest | None:
        """The most urgent waiting request with a reservation, of functions not in `skipped`."""
        reserved = [
            queue.with_reservation[0]
            for function, queue in self.queues.items()
            if queue.with_reservation and function not in skipped
        ]
        return min(reserved, key=lambda r: (r.start_by_ns, r.arrived_ns), default=None)

    def fair_request(self, skipped: Container[str]) -> QueuedRequest | None:
        """The most urgent waiting request of the client with the least admitted work."""
        admitted_seconds = self.client_work_seconds
        due = [
            queue.next_request(admitted_seconds)
            for function, queue in self.queues.items()
            if function not in skipped
        ]
        return min(
            due,
            key=lambda r: (admitted_seconds.get(r.client_bucket, 0.0), r.start_by_ns, r.arrived_ns),
            default=None,
        )

    def reserve_turn(self, work_seconds: float, now_ns: int, earliest_ns: int, rate: float) -> int:
        """Books the turn of a rejected request and returns its time.

        The turn is at `earliest_ns`, or later if earlier reservations take up that time. `rate` is
        the tenant's throughput in seconds of work per second. Reservations get the share of it that
        new requests leave; after its turn the request takes up that share for its work.
        """
        turn_ns = max(earliest_ns, self.reserved_until_ns, now_ns + MIN_RETRY_AFTER_NS)
        turn_ns = min(turn_ns, now_ns + MAX_RETRY_AFTER_NS)
        remaining_share = max(
            MIN_RESERVED_SHARE, 1 - self.new_requests.work_rate(now_ns, 0.0) / rate
        )
        self.reserved_until_ns = turn_ns + int(
            work_seconds / (rate * remaining_share) * NS_PER_SECOND
        )
        return turn_ns

    def decay(self, least_weighted_work_seconds: float) -> None:
        """Halves the admitted work; that of the tenant is counted above the least tenant's."""
        self.weighted_work_seconds = (self.weighted_work_seconds - least_weighted_work_seconds) / 2
        self.client_work_seconds = {
            client: work_seconds / 2
            for client, work_seconds in self.client_work_seconds.items()
            if work_seconds > NEGLIGIBLE_WORK_SECONDS
        }


def decay_accounts(accounts: Collection[TenantAccount]) -> None:
    """Decays admitted work, so that a tenant that had much of it long ago does not stay behind."""
    least = min((account.weighted_work_seconds for account in accounts), default=0.0)
    for account in accounts:
        account.decay(least)


def least_weighted_work_of_waiting(accounts: Collection[TenantAccount]) -> float:
    """The least weighted admitted work of a tenant with waiting requests; 0 if there is none."""
    waiting = [a.weighted_work_seconds for a in accounts if a.waiting_requests]
    return min(waiting, default=0.0)

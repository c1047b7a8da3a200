"""The admission controller: admits, queues or rejects each request of a dispatcher.

The policy decides where a request goes. The controller asks it through `find_placement` whether it
would place a request now. It has no limit of its own on requests in service, as two limits would
work against each other. No request waits while the policy has capacity for it.

A request waits only while it can still be answered within its latency objective: the wait behind
its tenant's queue, at the tenant's share of the throughput, plus the usual service time must fit. A
request that does not fit, or no longer fits, is rejected at once with a reservation. Reservations
of one tenant follow one another in time, so that requests that are rejected together do not return
together. A request that redeems its reservation is admitted ahead of all others. One that returns
too early is rejected with the remaining time as its Retry-After.

Fairness is measured in work, not in requests. The next request is that of the tenant with the least
admitted work relative to its weight, and within the tenant that of the client with the least
admitted work. Clients, and tenants that the settings do not name, are hashed into buckets, which
bounds the memory for any number of names. Times are whole nanoseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from martenlead.admission.accounts import (
    TenantAccount,
    decay_accounts,
    least_weighted_work_of_waiting,
)
from martenlead.admission.heavy_hitters import HeavyHitters, hash_bucket
from martenlead.admission.limits import AdmissionLimits
from martenlead.admission.queues import (
    AdmissionRequest,
    FunctionQueue,
    FunctionQueues,
    FunctionResources,
    QueuedRequest,
    QueueState,
    RejectionReason,
    ServiceResult,
)
from martenlead.admission.reservations import (
    EARLY_ARRIVAL_SHARE,
    MIN_RETRY_AFTER_NS,
    RESERVATION_GRACE_NS,
    Reservations,
)
from martenlead.admission.scheduling import (
    choose_next,
    functions_to_skip,
    planned_service_ns,
    wait_by_function_seconds,
    wait_by_tenant_seconds,
)
from martenlead.admission.throughput import ServiceStatistics, ThroughputMeter
from martenlead.admission.units import NS_PER_SECOND, seconds_to_ns

__all__ = [  # Names that callers of the controller import from here
    "EARLY_ARRIVAL_SHARE",
    "RESERVATION_GRACE_NS",
    "AdmissionController",
    "AdmissionLimits",
    "AdmissionRequest",
    "FunctionResources",
    "QueueState",
    "QueuedRequest",
    "ServiceResult",
]

CLIENT_BUCKETS, TENANT_BUCKETS = 64, 64
HEAVY_HITTER_COUNTERS, REPORTED_HEAVY_HITTERS = 64, 5
DECAY_INTERVAL_NS = 5 * NS_PER_SECOND
MAX_CAPACITY_CHECKS = 16  # Calls of `find_placement` per `admit_waiting`; others wait for the next

StatusValue = int | float | list[tuple[str, float]] | None


class AdmissionController:
    """Admits, queues and rejects the requests of one dispatcher."""

    def __init__(
        self,
        limits: AdmissionLimits,
        clock: Callable[[], int],
        rng: Random,
        find_placement: Callable[[QueuedRequest], object],
    ) -> None:
        """`find_placement` asks the policy where it would place a request now.

        Its result is opaque here and only compared with others; None or False means that the
        policy has no capacity for the request.
        """
        self.limits, self.clock, self.find_placement = limits, clock, find_placement
        self.random = rng.random
        self.hash_salt = rng.getrandbits(63)
        self.throughput = ThroughputMeter()
        self.statistics = ServiceStatistics()
        self.queues = FunctionQueues()
        self.accounts: dict[str, TenantAccount] = {}
        self.counts: Counter[str] = Counter()  # Event counts for the status report
        self.reservations = Reservations(self.counts)
        self.heavy_hitters = HeavyHitters(HEAVY_HITTER_COUNTERS)
        # Request that was admitted from a queue and that the policy has not taken yet
        self.unconfirmed: QueuedRequest | None = None
        self.waiting_requests = self.waiting_reservations = self.waiting_bytes = 0
        self._decayed_ns = clock()

    def update_limits(self, limits: AdmissionLimits) -> None:
        """Applies new limits; requests that are already queued stay queued."""
        self.limits = limits
        for name, account in self.accounts.items():
            account.weight = limits.weight_of(name)

    # -- arrival

    def submit(self, arriving: AdmissionRequest) -> QueuedRequest:
        """Decides on a request at once: afterwards it is `ADMITTED`, `QUEUED` or `REJECTED`."""
        now_ns = self.clock()
        self._decay(now_ns)
        request = self._open_request(arriving, now_ns)
        account = self._account(request.tenant)
        queue = self.queues.use(request.function)
        if not request.is_retry:
            account.record_new_request(now_ns, request.work_seconds)
        redemption = self.reservations.redeem(request.trace_id, now_ns, arriving.reservation)
        request.has_reservation = redemption.is_redeemed
        may_pass = not queue.waiting_requests and self.unconfirmed is None
        if may_pass and (placement := self.find_placement(request)):
            self._admit(request, queue, account, now_ns, placement)
        elif redemption.remaining_ns:  # too early: the rest of its Retry-After time applies
            self._reject(request, RejectionReason.TOO_EARLY, redemption.remaining_ns)
        elif request.counts_as_retry and account.retry_budget < 1:
            self._reject_with_reservation(request, queue, account, RejectionReason.TOO_MANY_RETRIES)
        else:
            if request.counts_as_retry:
                account.retry_budget -= 1
            self._enqueue(request, queue, account, now_ns)
        return request

    def _open_request(self, arriving: AdmissionRequest, now_ns: int) -> QueuedRequest:
        """Creates the record of a request that arrives now."""
        tenant = arriving.tenant
        self.heavy_hitters.add(f"{tenant} {arriving.client}")
        if tenant not in self.limits.weights:
            tenant = f"#{hash_bucket(tenant, TENANT_BUCKETS, self.hash_salt)}"
        request_class = arriving.request_class
        return QueuedRequest(
            arriving.function,
            request_class,
            tenant,
            hash_bucket(arriving.client, CLIENT_BUCKETS, self.hash_salt),
            arriving.trace_id,
            arriving.work_seconds or self.statistics.expected_work_seconds(request_class),
            arriving.size_bytes,
            now_ns,
            arriving.respond_by_ns,
            arriving.deadline_ns,
            arriving.is_retry,
            arriving.resources,
            arriving.work_seconds > 0,
        )

    def _enqueue(
        self, request: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now_ns: int
    ) -> None:
        """Queues a request; rejects it if it would start too late or the queues are full."""
        service_ns = planned_service_ns(request, self.statistics, now_ns)
        request.start_by_ns = min(request.respond_by_ns, request.deadline_ns) - service_ns
        waiting_bytes = self.waiting_bytes + request.size_bytes
        if not self.limits.allow(self.waiting_requests + 1, waiting_bytes):
            self._reject_with_reservation(request, queue, account, RejectionReason.QUEUES_FULL)
            return
        wait_ns = 0
        if not request.has_reservation:
            wait_ns = self._estimate_wait_ns(request, queue, account, now_ns)
        if now_ns + wait_ns > request.start_by_ns:
            self._reject_with_reservation(request, queue, account, RejectionReason.TOO_LATE)
            return
        if not account.waiting_requests:  # a tenant gains no advantage from having been idle
            least = least_weighted_work_of_waiting(self.accounts.values())
            account.weighted_work_seconds = max(account.weighted_work_seconds, least)
        account.add_waiting(request, queue.add(request))
        self.waiting_requests += 1
        self.waiting_reservations += request.has_reservation
        self.waiting_bytes = waiting_bytes
        self.counts["waited"] += 1

    def _estimate_wait_ns(
        self, request: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now_ns: int
    ) -> int:
        """Estimates how long a request would wait behind the waiting requests of its tenant.

        Returns the longer of two estimates: by the tenant's share of the total throughput, and by
        its share of the throughput of this function.
        """
        rate_per_request = self.statistics.work_rate_per_request
        wait_seconds = 0.0
        if rate := self.throughput.work_rate(now_ns, rate_per_request):
            wait_seconds = wait_by_tenant_seconds(self.accounts, account, rate)
        if rate := queue.work_rate(now_ns, rate_per_request):
            by_function = wait_by_function_seconds(self.accounts, queue, request.tenant, rate)
            wait_seconds = max(wait_seconds, by_function)
        return seconds_to_ns(wait_seconds)

    # -- admission

    def _admit(
        self,
        request: QueuedRequest,
        queue: FunctionQueue,
        account: TenantAccount,
        now_ns: int,
        placement: object,
    ) -> None:
        request.state, request.admitted_ns = QueueState.ADMITTED, now_ns
        request.placement = queue.last_placement = placement
        queue.in_service += 1
        self.throughput.in_service += 1
        account.record_admission(request)
        self.counts["entered"] += 1

    def admit_waiting(self, freed: object = None) -> list[QueuedRequest]:
        """Admits the next waiting request that the policy has capacity for.

        Requests are admitted one at a time: the policy can answer for the next one only after it
        has taken this one (`confirm_admission`). `freed` is a placement that has just got capacity.
        Returns the requests whose state has changed, including those rejected as too late.
        """
        now_ns = self.clock()
        changed: list[QueuedRequest] = []
        if not self.waiting_requests or self.unconfirmed is not None:
            return changed
        skipped = functions_to_skip(self.accounts, self.queues, freed, now_ns)
        checks = 0
        while self.waiting_requests and checks < MAX_CAPACITY_CHECKS and self.unconfirmed is None:
            request = self._choose_next(skipped)
            if request is None:
                break
            queue, account = self.queues[request.function], self.accounts[request.tenant]
            if now_ns > request.start_by_ns:
                self._dequeue(request, queue)
                self._reject_with_reservation(request, queue, account, RejectionReason.TOO_LATE)
                changed.append(request)
                continue
            checks += 1
            placement = self.find_placement(request)
            if not placement:
                queue.refused_ns = now_ns
                skipped.add(request.function)
                continue
            self._dequeue(request, queue)
            self._admit(request, queue, account, now_ns, placement)
            self.unconfirmed = request
            changed.append(request)
        return changed

    def _choose_next(self, skipped: set[str]) -> QueuedRequest | None:
        return choose_next(self.accounts, skipped, has_reserved=self.waiting_reservations > 0)

    def _dequeue(self, request: QueuedRequest, queue: FunctionQueue) -> None:
        tenant_queue = queue.remove(request)
        self.accounts[request.tenant].remove_waiting(request, tenant_queue)
        self.waiting_requests -= 1
        self.waiting_reservations -= request.has_reservation
        self.waiting_bytes -= request.size_bytes

    def confirm_admission(self, request: QueuedRequest) -> list[QueuedRequest]:
        """Records that the policy took an admitted request, and admits the next one.

        Returns the requests whose state has changed.
        """
        if self.unconfirmed is not request:
            return []
        self.unconfirmed = None
        return self.admit_waiting(request.placement)

    # -- completion

    def complete(self, request: QueuedRequest, result: ServiceResult) -> list[QueuedRequest]:
        """Ends an admitted request. Returns the waiting requests whose state has changed.

        With `NO_CAPACITY` the request gets a Retry-After time and a reservation.
        """
        if request.state is not QueueState.ADMITTED:
            self.cancel(request)
            return []
        now_ns = self.clock()
        request.state = QueueState.ENDED
        if self.unconfirmed is request:
            self.unconfirmed = None
        queue = self.queues.use(request.function)
        queue.in_service -= 1
        self.throughput.in_service -= 1
        if result is ServiceResult.NO_CAPACITY:
            self.counts["no room"] += 1
            account = self._account(request.tenant)
            self._reject_with_reservation(request, queue, account, RejectionReason.NO_CAPACITY)
            request.state = QueueState.ENDED
        elif result is ServiceResult.SUCCEEDED:
            self._record_success(request, queue, now_ns)
        return self.admit_waiting(request.placement)

    def _record_success(self, request: QueuedRequest, queue: FunctionQueue, now_ns: int) -> None:
        work_seconds = request.work_seconds
        self.statistics.record(request.request_class, now_ns - request.admitted_ns, work_seconds)
        queue.record_completion(now_ns, work_seconds)
        self.throughput.record_completion(now_ns, work_seconds)
        if request.has_reservation:
            self.counts["kept and satisfied"] += 1
            self.counts["kept in time"] += now_ns <= request.respond_by_ns

    def cancel(self, request: QueuedRequest) -> None:
        """Removes a waiting request whose client has disconnected."""
        if request.state is QueueState.QUEUED:
            self._dequeue(request, self.queues[request.function])
            request.state = QueueState.ENDED
            self.counts["left"] += 1

    def expire(self, request: QueuedRequest) -> None:
        """Rejects a request that is still queued after its `start_by_ns`."""
        if request.state is QueueState.QUEUED:
            queue = self.queues[request.function]
            self._dequeue(request, queue)
            account = self.accounts[request.tenant]
            self._reject_with_reservation(request, queue, account, RejectionReason.TOO_LATE)

    def reject_all(self) -> list[QueuedRequest]:
        """Rejects all waiting requests for a shutdown, to be retried after one or two seconds."""
        changed = []
        for queue in self.queues.values():
            for tenant_queue in list(queue.tenant_queues.values()):
                for request in tenant_queue.requests():
                    self._dequeue(request, queue)
                    self._reject(request, RejectionReason.SHUTTING_DOWN, self._jittered_second_ns())
                    changed.append(request)
        return changed

    # -- rejections

    def _reject_with_reservation(
        self,
        request: QueuedRequest,
        queue: FunctionQueue,
        account: TenantAccount,
        reason: RejectionReason,
    ) -> None:
        """Rejects a request with a reservation for its next turn.

        The turn comes after the waiting requests and the earlier reservations of its tenant, at the
        share of the tenant's throughput that is left for reservations.
        """
        now_ns = self.clock()
        turn_ns = self._next_turn_ns(request, queue, account, now_ns)
        retry_after_ns = turn_ns - now_ns + int(MIN_RETRY_AFTER_NS * self.random())
        self._reject(request, reason, retry_after_ns)

    def _next_turn_ns(
        self, request: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now_ns: int
    ) -> int:
        """Books the next turn of a request and returns its time."""
        rate = self.throughput.work_rate(now_ns, self.statistics.work_rate_per_request)
        if not rate:  # without throughput one retry about every second is enough
            return now_ns + self._jittered_second_ns()
        accounts = self.accounts.values()
        others = sum(a.weight for a in accounts if a.waiting_requests and a is not account)
        tenant_rate = rate * account.weight / (others + account.weight)
        wait_ns = max(
            seconds_to_ns(account.waiting_work_seconds / tenant_rate),
            self._estimate_wait_ns(request, queue, account, now_ns),
        )
        return account.reserve_turn(request.work_seconds, now_ns, now_ns + wait_ns, tenant_rate)

    def _jittered_second_ns(self) -> int:
        """A random time around one second, so that rejected requests do not return together."""
        return int(NS_PER_SECOND * (0.5 + self.random()))

    def _reject(self, request: QueuedRequest, reason: RejectionReason, retry_after_ns: int) -> None:
        request.state, request.reason = QueueState.REJECTED, reason
        request.retry_after_ns = retry_after_ns = max(MIN_RETRY_AFTER_NS, retry_after_ns)
        request.reservation = self.reservations.grant(
            request.trace_id, self.clock(), retry_after_ns
        )
        self.counts["turned back"] += 1

    def _account(self, tenant: str) -> TenantAccount:
        account = self.accounts.get(tenant)
        if account is None:
            account = self.accounts[tenant] = TenantAccount(self.limits.weight_of(tenant))
        return account

    def _decay(self, now_ns: int) -> None:
        if now_ns - self._decayed_ns < DECAY_INTERVAL_NS:
            return
        self._decayed_ns = now_ns
        self.heavy_hitters.decay()
        decay_accounts(self.accounts.values())

    def status_report(self) -> dict[str, StatusValue]:
        """Status for operators; `honest` is the share of redeemed reservations that succeeded."""
        redeemed = self.counts["kept"]
        return {
            "waiting": self.waiting_requests,
            "bytes": self.waiting_bytes,
            "appointments": len(self.reservations),
            "honest": self.counts["kept and satisfied"] / redeemed if redeemed else None,
            "heaviest": self.heavy_hitters.heaviest(REPORTED_HEAVY_HITTERS),
            **dict(sorted(self.counts.items())),
        }

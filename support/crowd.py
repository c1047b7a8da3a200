"""A simulation, in virtual time, of tenants' clients, their admission and the capacity of functions.

Counts per tenant what is served in time, and how many clients retry when Retry-After asks for it.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import Any

from martenlead.admission.controller import AdmissionController
from martenlead.admission.limits import AdmissionLimits
from martenlead.admission.queues import AdmissionRequest, QueuedRequest, QueueState, ServiceResult
from martenlead.admission.units import NS_PER_MS, NS_PER_SECOND


@dataclass
class TenantLoad:
    """The requests of one tenant, all for one function."""

    name: str
    rate_per_s: float  # first tries
    work_s: float = 0.1  # mean time for which a request occupies capacity
    latency_objective_s: float = 0.6
    clients: int = 20
    # Share of rejected requests that are retried after Retry-After; the others are retried after 50 ms.
    honours_retry_after_share: float = 1.0
    max_tries: int = 4
    function: str = "m"
    flood_share: float = 0.0  # share of the requests that one client, named flood, sends


class AdmissionSimulation:
    """Tenants that send requests through admission controllers to functions of limited capacity.

    Counters are by tenant unless their names say otherwise. Times are virtual ns.
    """

    def __init__(
        self,
        capacity: int,
        tenants: list[TenantLoad],
        *,
        queues: bool = True,
        seed: int = 1,
        controllers: int = 1,
        **limits: Any,
    ) -> None:
        """Each function runs `capacity` requests at once. Without `queues` nothing is admitted or rejected up
        front. With several `controllers` a client chooses one at random, unevenly, and retries at the same
        one; each controller sees its own traffic only, and all share the capacity. `limits` are fields of
        `AdmissionLimits`."""
        self.now = 0
        self.random = Random(seed)
        self.capacity: dict[str, int] = defaultdict(lambda: capacity)
        self.busy: Counter[str] = Counter()
        admission_limits = AdmissionLimits(**limits)
        self.controllers = [
            AdmissionController(
                admission_limits, lambda: self.now, Random(seed * 1000 + n), self._has_capacity
            )
            for n in range(controllers if queues else 0)
        ]
        self.controller = self.controllers[0] if queues else None
        self._heap: list[tuple[int, int, Any]] = []
        self._count = self._request_count = 0
        self.request_count: Counter[str] = Counter()
        self.on_time: Counter[str] = Counter()
        self.on_time_work_s: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.retries_promised = self.retries_sent = self.retries_on_time = 0
        self.queued: dict[int, tuple[QueuedRequest, Any]] = {}
        self.longest_rejected_wait_ns = 0  # the longest wait of a queued request that was rejected
        self.on_time_per_second: Counter[int] = Counter()
        for tenant in tenants:
            self._schedule_next(tenant)
        self.tenants = tenants
        self._admit_periodically()

    def _has_capacity(self, queued: QueuedRequest) -> bool:
        return self.busy[queued.function] < self.capacity[queued.function]

    def _admit_periodically(self) -> None:
        """Has the controllers look every 10 ms for requests that may be admitted since time has passed."""
        if self.controllers:
            for controller in self.controllers:
                self._handle_changed(controller.admit_waiting())
            self.call_at(self.now + 10 * NS_PER_MS, self._admit_periodically)

    def call_at(self, when_ns: int, callback: Any) -> None:
        """Calls back at a virtual time in ns."""
        self._count += 1
        heappush(self._heap, (when_ns, self._count, callback))

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        until = self.now + int(seconds * NS_PER_SECOND)
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heappop(self._heap)
            callback()
        self.now = until

    def _schedule_next(self, tenant: TenantLoad) -> None:
        if tenant.rate_per_s:
            gap_s = self.random.expovariate(tenant.rate_per_s)
            self.call_at(self.now + int(gap_s * NS_PER_SECOND), lambda: self._send_first_try(tenant))

    def _send_first_try(self, tenant: TenantLoad) -> None:
        self._schedule_next(tenant)
        self._request_count += 1
        self.request_count[tenant.name] += 1
        is_flood = self.random.random() < tenant.flood_share
        client = "flood" if is_flood else f"c{self.random.randrange(tenant.clients)}"
        self._send_try(tenant, client, self._request_count, 1, False, self._choose_controller())

    def _choose_controller(self) -> AdmissionController | None:
        """The first controller gets half as much again as the last, and which one is first changes every ten
        seconds."""
        if not self.controllers:
            return None
        count = len(self.controllers)
        index = int(count * self.random.random() ** 1.3)
        return self.controllers[(index + self.now // (10 * NS_PER_SECOND) * (count // 3 + 1)) % count]

    def _send_try(
        self,
        tenant: TenantLoad,
        client: str,
        request_number: int,
        tries: int,
        is_promised: bool,
        controller: AdmissionController | None,
    ) -> None:
        arrived_at = self.now
        on_time_until = arrived_at + int(tenant.latency_objective_s * NS_PER_SECOND)
        self.retries_sent += is_promised
        if controller is None:
            queued = QueuedRequest(
                tenant.function,
                "o",
                tenant.name,
                0,
                request_number,
                tenant.work_s,
                100,
                arrived_at,
                on_time_until,
                on_time_until,
                False,
            )
            queued.state = QueueState.ADMITTED
        else:
            deadline = arrived_at + int(4 * tenant.latency_objective_s * NS_PER_SECOND)
            arriving = AdmissionRequest(
                tenant.function,
                "o",
                tenant.name,
                client,
                request_number,
                tenant.work_s,
                100,
                on_time_until,
                deadline,
                tries > 1,
            )
            queued = controller.submit(arriving)
        client_try = tenant, client, request_number, tries, arrived_at, is_promised, controller
        if queued.state is QueueState.ADMITTED:
            self._start(queued, client_try)
        elif queued.state is QueueState.REJECTED:
            self._handle_rejection(queued.retry_after_ns, client_try)
        else:
            self._enqueue(queued, client_try)

    def _enqueue(self, queued: QueuedRequest, client_try: Any) -> None:
        self.queued[id(queued)] = queued, client_try

        def expire() -> None:
            if queued.state is QueueState.QUEUED:
                client_try[6].expire(queued)
                self._handle_changed([queued])

        self.call_at(queued.start_by_ns, expire)

    def _handle_changed(self, changed: list[QueuedRequest]) -> None:
        for queued in changed:
            _, client_try = self.queued.pop(id(queued))
            if queued.state is QueueState.ADMITTED:
                self._start(queued, client_try)
            else:
                self.longest_rejected_wait_ns = max(self.longest_rejected_wait_ns, self.now - client_try[4])
                self._handle_rejection(queued.retry_after_ns, client_try)

    def _start(self, queued: QueuedRequest, client_try: Any) -> None:
        tenant = client_try[0]
        function = tenant.function
        if self.busy[function] >= self.capacity[function]:
            self._complete(queued, ServiceResult.NO_CAPACITY, client_try[6])
            self._handle_rejection(
                queued.retry_after_ns if client_try[6] else int(500 * NS_PER_MS), client_try
            )
            return
        self.busy[function] += 1
        controller = client_try[6]
        if controller is not None:
            self.call_at(self.now, lambda: self._handle_changed(controller.confirm_admission(queued)))
        run_ns = int(tenant.work_s * self.random.uniform(0.7, 1.3) * NS_PER_SECOND)
        self.call_at(self.now + run_ns, lambda: self._finish(queued, client_try))

    def _finish(self, queued: QueuedRequest, client_try: Any) -> None:
        tenant, _, _, _, arrived_at, is_promised, controller = client_try
        self.busy[tenant.function] -= 1
        is_on_time = self.now <= arrived_at + tenant.latency_objective_s * NS_PER_SECOND
        if is_on_time:
            self.on_time[tenant.name] += 1
            self.on_time_work_s[tenant.name] += tenant.work_s
            self.on_time_per_second[self.now // NS_PER_SECOND] += 1
        self.retries_on_time += is_promised and is_on_time
        self.outcomes["satisfied" if is_on_time else "late"] += 1
        self._complete(queued, ServiceResult.SUCCEEDED, controller)

    def _complete(
        self, queued: QueuedRequest, result: ServiceResult, controller: AdmissionController | None
    ) -> None:
        if controller is not None:
            self._handle_changed(controller.complete(queued, result))

    def _handle_rejection(self, retry_after_ns: int, client_try: Any) -> None:
        tenant, client, request_number, tries, _, _, controller = client_try
        self.outcomes["turned back"] += 1
        if tries >= tenant.max_tries:
            return
        honours = self.random.random() < tenant.honours_retry_after_share
        self.retries_promised += honours
        retry_at = self.now + (retry_after_ns if honours else 50 * NS_PER_MS)
        self.call_at(
            retry_at, lambda: self._send_try(tenant, client, request_number, tries + 1, honours, controller)
        )

    def on_time_share(self, name: str) -> float:
        """Returns the share of a tenant's requests of which a try succeeded within the latency objective."""
        return self.on_time[name] / max(1, self.request_count[name])


__all__ = ["NS_PER_MS", "AdmissionSimulation", "ServiceResult", "TenantLoad"]

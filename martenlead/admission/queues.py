"""Queues of waiting requests: one for each function, and within it one for each tenant."""

from __future__ import annotations

import itertools
from collections import OrderedDict, deque
from collections.abc import Mapping, ValuesView
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple

from martenlead.admission.reservations import ReservationWindow
from martenlead.admission.throughput import ThroughputMeter

MAX_FUNCTION_QUEUES = 4096  # From here on the least recently used idle queues are dropped
QUEUES_EXAMINED = 4  # Queues that are checked for idle ones when a new queue is added
LONG_AGO_NS = -1 << 62


class RejectionReason(StrEnum):
    """Why a request was rejected; the values are sent to clients."""

    TOO_LATE = "it could not be answered in time"
    TOO_EARLY = "it was told to come later"
    TOO_MANY_RETRIES = "its customer repeats too much"
    QUEUES_FULL = "the door's queues are full"
    NO_CAPACITY = "no runner may take it now"
    SHUTTING_DOWN = "the dispatcher stops"


class QueueState(Enum):
    """The state of a submitted request."""

    QUEUED = "queued"
    ADMITTED = "admitted"
    REJECTED = "rejected"
    ENDED = "ended"


class ServiceResult(Enum):
    """The outcome of an admitted request."""

    SUCCEEDED = "succeeded"
    NO_CAPACITY = "no capacity"  # The policy had no placement for it after all
    OTHER = "other"


class FunctionResources(NamedTuple):
    """Resources that a replica of a function needs."""

    lanes: int = 1
    memory_mb: float = 0.0


NO_RESOURCES = FunctionResources()


@dataclass(slots=True)
class AdmissionRequest:
    """A request submitted for admission. Times are absolute, by the clock of the dispatcher."""

    function: str
    request_class: str
    tenant: str
    client: str
    trace_id: int  # Identical in all retries of a request
    work_seconds: float  # Work declared by the client, or 0
    size_bytes: int
    respond_by_ns: int  # End of the latency objective
    deadline_ns: int
    is_retry: bool
    resources: FunctionResources = NO_RESOURCES
    reservation: tuple[int, int] | None = None  # Window granted by another dispatcher


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A submitted request and its state."""

    function: str
    request_class: str
    tenant: str  # Account name: the tenant, or the hash bucket that the tenant falls into
    client_bucket: int
    trace_id: int
    work_seconds: float  # Declared by the client, or estimated
    size_bytes: int
    arrived_ns: int
    respond_by_ns: int
    deadline_ns: int
    is_retry: bool
    resources: FunctionResources = NO_RESOURCES
    has_declared_work: bool = False
    state: QueueState = QueueState.QUEUED
    has_reservation: bool = False  # It arrived inside the window of its reservation
    start_by_ns: int = 0  # Latest admission at which it can still be answered in time
    admitted_ns: int = 0
    placement: object = None  # Result of `find_placement`
    retry_after_ns: int = 0  # Set on rejection
    reservation: ReservationWindow | None = None  # Granted on rejection
    reason: str = ""  # Reason of the rejection

    @property
    def counts_as_retry(self) -> bool:
        """Whether the policy should treat the request as a retry.

        The policy holds most capacity back from retries. A request that redeemed a reservation was
        never sent to a worker and does not count as one; otherwise no reservation could be honored.
        """
        return self.is_retry and not self.has_reservation


class TenantQueue:
    """Requests of one tenant for one function: those with a reservation first, others by client."""

    def __init__(self) -> None:
        self.with_reservation: deque[QueuedRequest] = deque()
        self.by_client: dict[int, deque[QueuedRequest]] = {}
        self.waiting_requests = 0
        self.waiting_work_seconds = 0.0

    def add(self, request: QueuedRequest) -> None:
        """Queues a request behind those of its client, or behind those with a reservation."""
        self.waiting_requests += 1
        self.waiting_work_seconds += request.work_seconds
        if request.has_reservation:
            self.with_reservation.append(request)
        else:
            self.by_client.setdefault(request.client_bucket, deque()).append(request)

    def remove(self, request: QueuedRequest) -> None:
        """Removes a request from any position."""
        self.waiting_requests -= 1
        self.waiting_work_seconds = remaining_work(
            self.waiting_work_seconds, request, self.waiting_requests
        )
        if request.has_reservation:
            self.with_reservation.remove(request)
            return
        client_queue = self.by_client[request.client_bucket]
        client_queue.remove(request)
        if not client_queue:
            del self.by_client[request.client_bucket]

    def next_request(self, client_work_seconds: Mapping[int, float]) -> QueuedRequest:
        """The next request: with a reservation, or of the client with the least admitted work."""
        if self.with_reservation:
            return self.with_reservation[0]
        client = min(self.by_client, key=lambda c: (client_work_seconds.get(c, 0.0), c))
        return self.by_client[client][0]

    def requests(self) -> list[QueuedRequest]:
        """All waiting requests."""
        return [*self.with_reservation, *(r for queue in self.by_client.values() for r in queue)]


class FunctionQueue(ThroughputMeter):
    """Requests for one function by tenant, and the throughput of that function."""

    def __init__(self) -> None:
        super().__init__()
        self.tenant_queues: dict[str, TenantQueue] = {}
        self.waiting_requests = 0
        self.waiting_work_seconds = 0.0
        self.last_placement: object = None  # Placement of the last admitted request
        self.refused_ns = LONG_AGO_NS  # When the policy last had no capacity for it

    def add(self, request: QueuedRequest) -> TenantQueue:
        """Queues a request; returns the queue of its tenant."""
        tenant_queue = self.tenant_queues.setdefault(request.tenant, TenantQueue())
        tenant_queue.add(request)
        self.waiting_requests += 1
        self.waiting_work_seconds += request.work_seconds
        return tenant_queue

    def remove(self, request: QueuedRequest) -> TenantQueue:
        """Removes a request; returns the queue of its tenant, which is dropped if empty."""
        tenant_queue = self.tenant_queues[request.tenant]
        tenant_queue.remove(request)
        if not tenant_queue.waiting_requests:
            del self.tenant_queues[request.tenant]
        self.waiting_requests -= 1
        self.waiting_work_seconds = remaining_work(
            self.waiting_work_seconds, request, self.waiting_requests
        )
        return tenant_queue


class FunctionQueues:
    """The queues of all functions, bounded in number and ordered by their last use."""

    def __init__(self) -> None:
        self._queues: OrderedDict[str, FunctionQueue] = OrderedDict()

    def __len__(self) -> int:
        """The number of functions that have a queue."""
        return len(self._queues)

    def __getitem__(self, function: str) -> FunctionQueue:
        """The queue of a function that has one."""
        return self._queues[function]

    def values(self) -> ValuesView[FunctionQueue]:
        """All queues, the least recently used first."""
        return self._queues.values()

    def use(self, function: str) -> FunctionQueue:
        """The queue of a function, created if necessary; it becomes the most recently used."""
        queue = self._queues.get(function)
        if queue is None:
            self._drop_idle()
            queue = self._queues[function] = FunctionQueue()
        else:
            self._queues.move_to_end(function)
        return queue

    def _drop_idle(self) -> None:
        """Drops idle queues among the least recently used ones once the limit is reached."""
        if len(self._queues) < MAX_FUNCTION_QUEUES:
            return
        for function in list(itertools.islice(self._queues, QUEUES_EXAMINED)):
            queue = self._queues[function]
            if queue.in_service or queue.waiting_requests:
                self._queues.move_to_end(function)
            else:
                del self._queues[function]


def remaining_work(
    waiting_work_seconds: float, removed: QueuedRequest, waiting_requests: int
) -> float:
    """The waiting work without a removed request; exactly 0 if none waits, despite rounding."""
    return max(0.0, waiting_work_seconds - removed.work_seconds) if waiting_requests else 0.0

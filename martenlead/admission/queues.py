"""Requests that wait: one queue for each function, and in it one for each tenant."""

from __future__ import annotations

import itertools
from collections import OrderedDict, deque
from collections.abc import Mapping, ValuesView
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple

from martenlead.admission.reservations import ReservationWindow
from martenlead.admission.throughput import ThroughputMeter

MAX_FUNCTION_QUEUES = 4096  # beyond it the least recently used idle ones are dropped
QUEUES_EXAMINED = 4  # queues that are looked at for one to drop, when a new one is added
LONG_AGO_NS = -1 << 62


class RejectionReason(StrEnum):
    """Why a request was rejected, as its client is told."""

    TOO_LATE = "it could not be answered in time"
    TOO_EARLY = "it was told to come later"
    TOO_MANY_RETRIES = "its customer repeats too much"
    QUEUES_FULL = "the door's queues are full"
    NO_CAPACITY = "no runner may take it now"
    SHUTTING_DOWN = "the dispatcher stops"


class QueueState(Enum):
    """Where a request stands."""

    QUEUED = "queued"
    ADMITTED = "admitted"
    REJECTED = "rejected"
    ENDED = "ended"


class ServiceResult(Enum):
    """What became of a request that was admitted."""

    SUCCEEDED = "succeeded"
    NO_CAPACITY = "no capacity"  # the policy sent it nowhere after all
    OTHER = "other"


class FunctionResources(NamedTuple):
    """What a replica of a function needs."""

    lanes: int = 1
    memory_mb: float = 0.0


NO_RESOURCES = FunctionResources()


@dataclass(slots=True)
class AdmissionRequest:
    """A request that asks to be admitted. Times are absolute, by the clock of the dispatcher."""

    function: str
    request_class: str
    tenant: str
    client: str
    trace_id: int  # the same for all repeats of a request
    work_seconds: float  # as its client declared it; 0 if it did not
    size_bytes: int
    respond_by_ns: int  # end of the latency objective
    deadline_ns: int
    is_retry: bool
    resources: FunctionResources = NO_RESOURCES
    reservation: tuple[int, int] | None = None  # window that another dispatcher granted


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that was submitted, and what has become of it."""

    function: str
    request_class: str
    tenant: str  # name of its account: of the tenant, or of the bucket that the tenant falls into
    client_bucket: int
    trace_id: int
    work_seconds: float  # declared by its client, or expected
    size_bytes: int
    arrived_ns: int
    respond_by_ns: int
    deadline_ns: int
    is_retry: bool
    resources: FunctionResources = NO_RESOURCES
    has_declared_work: bool = False
    state: QueueState = QueueState.QUEUED
    has_reservation: bool = False  # it came inside the window of its reservation
    start_by_ns: int = 0  # the latest time of admission at which it can still be answered in time
    admitted_ns: int = 0
    placement: object = None  # where the policy would place it, as `find_placement` said
    retry_after_ns: int = 0  # set when it is rejected
    reservation: ReservationWindow | None = None  # granted when it is rejected
    reason: str = ""  # of a rejection

    @property
    def counts_as_retry(self) -> bool:
        """Whether the policy should treat the request as a retry.

        The policy holds most capacity back from retries. A request that was told when to come back
        and was never sent to a worker is not a retry to it; otherwise no reservation could be
        honored.
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
        """Queues a request behind those of its client."""
        self.waiting_requests += 1
        self.waiting_work_seconds += request.work_seconds
        if request.has_reservation:
            self.with_reservation.append(request)
        else:
            self.by_client.setdefault(request.client_bucket, deque()).append(request)

    def remove(self, request: QueuedRequest) -> None:
        """Takes a request out, wherever it stands."""
        self.waiting_requests -= 1
        self.waiting_work_seconds = remaining_work(
            self.waiting_work_seconds, request, self.waiting_requests
        )
        if request.has_reservation:
            self.with_reservation.remove(request)
            return
        of_client = self.by_client[request.client_bucket]
        of_client.remove(request)
        if not of_client:
            del self.by_client[request.client_bucket]

    def next_request(self, client_work_seconds: Mapping[int, float]) -> QueuedRequest:
        """The request that is due: of the client that has had the least work admitted so far."""
        if self.with_reservation:
            return self.with_reservation[0]
        client = min(self.by_client, key=lambda c: (client_work_seconds.get(c, 0.0), c))
        return self.by_client[client][0]

    def requests(self) -> list[QueuedRequest]:
        """All that wait."""
        return [*self.with_reservation, *(r for own in self.by_client.values() for r in own)]


class FunctionQueue(ThroughputMeter):
    """Requests for one function by tenant, and the throughput of that function."""

    def __init__(self) -> None:
        super().__init__()
        self.tenant_queues: dict[str, TenantQueue] = {}
        self.waiting_requests = 0
        self.waiting_work_seconds = 0.0
        self.last_placement: object = None  # of the request that was admitted last
        self.refused_ns = LONG_AGO_NS  # when the policy last had no capacity for the function

    def add(self, request: QueuedRequest) -> TenantQueue:
        """Queues a request; returns the queue of its tenant."""
        tenant_queue = self.tenant_queues.setdefault(request.tenant, TenantQueue())
        tenant_queue.add(request)
        self.waiting_requests += 1
        self.waiting_work_seconds += request.work_seconds
        return tenant_queue

    def remove(self, request: QueuedRequest) -> TenantQueue:
        """Takes a request out; returns the queue of its tenant, which is dropped if empty."""
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
    """The queues of all functions, bounded, in the order of their last use."""

    def __init__(self) -> None:
        self._queues: OrderedDict[str, FunctionQueue] = OrderedDict()

    def __len__(self) -> int:
        """How many functions have a queue."""
        return len(self._queues)

    def __getitem__(self, function: str) -> FunctionQueue:
        """The queue of a function that has one."""
        return self._queues[function]

    def values(self) -> ValuesView[FunctionQueue]:
        """All queues, the least recently used first."""
        return self._queues.values()

    def use(self, function: str) -> FunctionQueue:
        """The queue of a function, made if there was none; it is now the most recently used."""
        queue = self._queues.get(function)
        if queue is None:
            self._drop_idle()
            queue = self._queues[function] = FunctionQueue()
        else:
            self._queues.move_to_end(function)
        return queue

    def _drop_idle(self) -> None:
        """At the bound, drops the idle ones of the least recently used queues."""
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
    """The work that waits without a request; exactly 0 when nothing waits, despite rounding."""
    return max(0.0, waiting_work_seconds - removed.work_seconds) if waiting_requests else 0.0

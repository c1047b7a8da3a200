"""Every decision of the door, free of I/O: who may enter, who waits, in what order, who is turned back,
until when.

The module decides where a task goes. Whether it would place one now is its word too, asked for each task
that stands at the door (`room`): the door has no limit of its own on what is inside, so that two
controllers do not fight. Where the module has room nothing waits.

A task waits only while it can still be answered inside its soft limit: the wait that its customer's part of
what gets done leaves it, and the usual time inside, must fit. What does not fit, or fits no longer, is
turned back at once, with an appointment: the time by which what stands before it will be done, one after
the other, so that those who are turned back together do not come back together. Who keeps an appointment is
let in ahead of all others; who comes before it is sent away with the rest of it.

Fair is by work, not by count: whoever of the waiting customers has had the least, by its weight, is next,
and in it the client that has had the least. Clients, and customers that no settings name, are buckets of a
hash, so memory is bounded whatever names come. Times are whole ns.
"""

from __future__ import annotations

import itertools
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

from martenlead.admission.heavy_hitters import HeavyHitters, hash_bucket

MS = 1_000_000
SECOND = 1000 * MS
SMOOTHING_FACTOR = 1 / 16  # of a new time inside, in the mean
SERVICE_TIME_DEVIATIONS = 2.0  # mean deviations above the mean that a time inside is taken to be
RESERVED_SHARE = 0.2  # of what a customer gets done is kept for those who were told when to come, and what
# first tries leave
MIN_RETRY_AFTER_NS, MAX_RETRY_AFTER_NS = 100 * MS, 120 * SECOND
EARLY_ARRIVAL_SHARE = 0.1  # of a wait: who comes that much before its time is early
RESERVATION_GRACE_NS = 2 * SECOND  # after its time an appointment is kept for so long
RETRIES_PER_NEW_REQUEST, MAX_RETRY_BUDGET = (
    0.2,
    50.0,
)  # repeats without an appointment that a first try earns its customer
CLIENT_BUCKETS, TENANT_BUCKETS = 64, 64
MAX_RESERVATIONS = 16_384
MAX_FUNCTION_QUEUES = 4096  # that are known at once; the one that was used least lately goes first
CAPACITY_RECHECK_NS = 5 * MS  # after which a model that had no room is asked for again
MAX_CAPACITY_CHECKS = 16  # times that the module is asked at one moment; what is left is asked at the next
TOO_LATE = "it could not be answered in time"
THROUGHPUT_WINDOW_NS = 2 * SECOND  # that what gets done is measured over


class QueueState(Enum):
    QUEUED = "waits"
    ADMITTED = "inside"
    REJECTED = "turned back"
    ENDED = "over"


class ServiceResult(Enum):
    """What became of a task that was inside."""

    SUCCEEDED = "satisfied"
    NO_CAPACITY = "the module sent it nowhere"
    OTHER = "anything else"


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """`waiting` tasks and `bytes` of them at most; weights by customer, others have 1."""

    waiting: int = 2000
    bytes: int = 64 * 1024 * 1024
    weights: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A task at the door. `work` is what it is expected to take, s; `soft` the end of its soft limit."""

    function: str
    request_class: str
    tenant: str
    client_bucket: int
    trace_id: int
    work_seconds: float
    size_bytes: int
    arrived_ns: int
    respond_by_ns: int
    deadline_ns: int
    is_retry: bool
    resources: tuple[int, float] = (1, 0.0)  # lanes, memory (MB) of its model
    has_declared_work: bool = False  # its client said what work it is
    state: QueueState = QueueState.QUEUED
    has_reservation: bool = False  # it had an appointment and came in time
    start_by_ns: int = 0  # it can begin until then and be in time
    admitted_ns: int = 0
    placement: Any = None
    retry_after_ns: int = 0  # told to it when it is turned back
    reservation: tuple[int, int] | None = None  # then: since and until when it may come
    reason: str = ""

    @property
    def counts_as_retry(self) -> bool:
        """What the module is told: one that comes when the door told it to, and was not sent anywhere before,
        is no repeat to it. It keeps most of its width from repeats, and no appointment could be kept."""
        return self.is_retry and not self.has_reservation


class TenantAccount:
    """A customer at this door."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.weighted_work_seconds = 0.0  # work that it was let in with, by its weight
        self.client_work_seconds: dict[int, float] = {}  # the same by bucket of clients
        self.waiting_requests, self.waiting_work_seconds = 0, 0.0
        self.queues: dict[str, TenantQueue] = {}  # by model: the same as the queues'
        self.retry_budget = MAX_RETRY_BUDGET / 2
        self.last_reservation_ns = 0  # the time of its last appointment
        self.new_requests = ThroughputMeter()  # work of first tries that came


class TenantQueue:
    """A customer's tasks that wait for one model: who keeps an appointment first, others by client."""

    def __init__(self) -> None:
        self.with_reservation: deque[QueuedRequest] = deque()
        self.by_client: dict[int, deque[QueuedRequest]] = {}
        self.waiting_requests = 0
        self.waiting_work_seconds = 0.0

    def add(self, ticket: QueuedRequest) -> None:
        self.waiting_requests += 1
        self.waiting_work_seconds += ticket.work_seconds
        if ticket.has_reservation:
            self.with_reservation.append(ticket)
        else:
            self.by_client.setdefault(ticket.client_bucket, deque()).append(ticket)

    def remove(self, ticket: QueuedRequest) -> None:
        self.waiting_requests -= 1
        self.waiting_work_seconds = (
            max(0.0, self.waiting_work_seconds - ticket.work_seconds) if self.waiting_requests else 0.0
        )
        if ticket.has_reservation:
            self.with_reservation.remove(ticket)
            return
        own = self.by_client[ticket.client_bucket]
        own.remove(ticket)
        if not own:
            del self.by_client[ticket.client_bucket]

    def next_request(self, had: dict[int, float]) -> QueuedRequest:
        """Who is next, if each client had so much work."""
        if self.with_reservation:
            return self.with_reservation[0]
        return self.by_client[min(self.by_client, key=lambda c: (had.get(c, 0.0), c))][0]

    def requests(self) -> list[QueuedRequest]:
        return [*self.with_reservation, *(t for own in self.by_client.values() for t in own)]


class ThroughputMeter:
    """What gets done, s of work a second: what got done in a window of time, or, after a lull, how many are
    inside by the pace at which one of them usually gets its work done, where that is more."""

    def __init__(self) -> None:
        self.in_service = 0
        self.completions: deque[tuple[int, float]] = deque()
        self.completed_work_seconds = 0.0

    def record_completion(self, now: int, work: float) -> None:
        self.completions.append((now, work))
        self.completed_work_seconds += work
        self.drop_expired(now)

    def drop_expired(self, now: int) -> None:
        while self.completions and self.completions[0][0] <= now - THROUGHPUT_WINDOW_NS:
            self.completed_work_seconds -= self.completions.popleft()[1]

    def work_rate(self, now: int, pace: float) -> float:
        """0 where nothing has got done for a while and nothing is inside. `pace`: of one task."""
        self.drop_expired(now)
        return max(self.completed_work_seconds * SECOND / THROUGHPUT_WINDOW_NS, self.in_service * pace)


class FunctionQueue(ThroughputMeter):
    """One model at this door: who waits for it, by customer."""

    def __init__(self) -> None:
        super().__init__()
        self.tenant_queues: dict[str, TenantQueue] = {}
        self.waiting_requests = 0
        self.waiting_work_seconds = 0.0
        self.last_placement: Any = None  # its last task went there
        self.refused_ns = -1 << 62  # when the module last had no room for it


class AdmissionController:
    def __init__(
        self,
        limits: AdmissionLimits,
        clock: Callable[[], int],
        chance: Random,
        room: Callable[[QueuedRequest], Any],
    ) -> None:
        """`room`: where the module would place this task now, an object that only stands for itself; None or
        False for nowhere."""
        self.limits, self.clock, self.find_placement = limits, clock, room
        self.throughput = ThroughputMeter()
        self.unconfirmed: QueuedRequest | None = None  # let in, and not known to the module yet
        self.random = chance.random
        self.hash_salt = chance.getrandbits(63)
        self.queues: OrderedDict[str, FunctionQueue] = OrderedDict()  # by last use
        self.accounts: dict[str, TenantAccount] = {}
        self.reservations: OrderedDict[int, tuple[int, int]] = OrderedDict()  # from when, until when
        self.redeemed_reservations: OrderedDict[int, None] = (
            OrderedDict()
        )  # what was kept already is not kept twice
        self.work_rate_per_request = 0.0  # s of work that a task inside gets done a second, in the mean
        self.service_times: dict[str, tuple[float, float]] = {}  # by offering: mean and mean deviation, ns
        self.work_by_class: dict[str, float] = {}  # by offering: mean work of what told its work
        self.waiting_requests = self.waiting_reservations = self.waiting_bytes = 0
        self.heavy_hitters = HeavyHitters(64)
        self.counts: Counter[str] = Counter()
        self._decayed_ns = clock()

    def update_limits(self, limits: AdmissionLimits) -> None:
        """New limits; who waits stays where he is."""
        self.limits = limits
        for name, account in self.accounts.items():
            account.weight = limits.weights.get(name, 1.0)

    # -- what comes

    def submit(
        self,
        model: str,
        offering: str,
        customer: str,
        client: str,
        mark: int,
        work: float,
        size: int,
        soft: int,
        give_up: int,
        again: bool,
        about: tuple[int, float] = (1, 0.0),
        appointment: tuple[int, int] | None = None,
    ) -> QueuedRequest:
        """A task at the door: `INSIDE`, `WAITS` or `BACK`, decided here and now. `appointment`: since and
        until when another door told it to come."""
        now = self.clock()
        self._decay(now)
        name = (
            customer
            if customer in self.limits.weights
            else f"#{hash_bucket(customer, TENANT_BUCKETS, self.hash_salt)}"
        )
        self.heavy_hitters.add(f"{customer} {client}")
        seat = hash_bucket(client, CLIENT_BUCKETS, self.hash_salt)
        told = work > 0
        work = (
            work
            or self.work_by_class.get(offering, 0.0)
            or self._mean_service_time_ns(offering) / SECOND
            or 0.1
        )
        ticket = QueuedRequest(
            model, offering, name, seat, mark, work, size, now, soft, give_up, again, about, told
        )
        account = self._account(name)
        queue = self._function_queue(model, now)
        if not again:
            account.retry_budget = min(MAX_RETRY_BUDGET, account.retry_budget + RETRIES_PER_NEW_REQUEST)
            account.new_requests.record_completion(now, work)
        early = self._redeem_reservation(ticket, now, appointment)
        if not queue.waiting_requests and self.unconfirmed is None and (where := self.find_placement(ticket)):
            self._admit(ticket, queue, account, now, where)
        elif early:
            # what it heeds not must not serve it: it is told the rest of its time
            self._reject(ticket, "it was told to come later", early)
        elif again and not ticket.has_reservation and account.retry_budget < 1:
            self._reject_with_reservation(ticket, queue, account, "its customer repeats too much")
        else:
            if again and not ticket.has_reservation:
                account.retry_budget -= 1
            self._enqueue(ticket, queue, account, now)
        return ticket

    def _redeem_reservation(self, ticket: QueuedRequest, now: int, brought: tuple[int, int] | None) -> int:
        """Whether it keeps an appointment; if it comes before it, what is left."""
        told = self.reservations.get(ticket.trace_id)
        if told is None and brought is not None and ticket.trace_id not in self.redeemed_reservations:
            told = self.reservations[ticket.trace_id] = brought
            self.counts["brought"] += 1
        if told is None:
            return 0
        since, until = told
        if now < since:
            self.counts["early"] += 1
            return until - RESERVATION_GRACE_NS - now
        del self.reservations[ticket.trace_id]
        self.redeemed_reservations[ticket.trace_id] = None
        if len(self.redeemed_reservations) > MAX_RESERVATIONS:
            self.redeemed_reservations.popitem(last=False)
        if now <= until:
            ticket.has_reservation = True
            self.counts["kept"] += 1
        return 0

    def _enqueue(self, ticket: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now: int) -> None:
        inside = self._service_time_bound_ns(ticket.request_class)
        if (
            ticket.has_reservation
        ):  # who comes as told is not sent away for a margin, nor for what is usual at its worst
            inside = min(
                int(self._mean_service_time_ns(ticket.request_class)), (ticket.respond_by_ns - now) // 2
            )
        ticket.start_by_ns = min(ticket.respond_by_ns, ticket.deadline_ns) - inside
        if (
            self.waiting_requests >= self.limits.waiting
            or self.waiting_bytes + ticket.size_bytes > self.limits.bytes
        ):
            self._reject_with_reservation(ticket, queue, account, "the door's queues are full")
            return
        if (
            now + (0 if ticket.has_reservation else self._estimate_wait_ns(ticket, queue, account, now))
            > ticket.start_by_ns
        ):
            self._reject_with_reservation(ticket, queue, account, TOO_LATE)
            return
        if not account.waiting_requests:
            # one that was away has not saved up: it begins where the others that wait are
            others = [a.weighted_work_seconds for a in self.accounts.values() if a.waiting_requests]
            account.weighted_work_seconds = max(account.weighted_work_seconds, min(others, default=0.0))
        line = queue.tenant_queues.setdefault(ticket.tenant, TenantQueue())
        line.add(ticket)
        account.queues[ticket.function] = line
        account.waiting_requests += 1
        account.waiting_work_seconds += ticket.work_seconds
        queue.waiting_requests += 1
        queue.waiting_work_seconds += ticket.work_seconds
        self.waiting_requests += 1
        self.waiting_reservations += ticket.has_reservation
        self.waiting_bytes += ticket.size_bytes
        self.counts["waited"] += 1

    def _estimate_wait_ns(
        self, ticket: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now: int
    ) -> int:
        """How long it would wait: behind what its customer has waiting, at its part of all that gets done,
        and the same for this model alone; the longer of the two."""
        weights = sum(a.weight for a in self.accounts.values() if a.waiting_requests)
        part = account.weight / (weights if account.waiting_requests else weights + account.weight)
        expected = 0.0
        if rate := self.throughput.work_rate(now, self.work_rate_per_request):
            expected = account.waiting_work_seconds / part / rate
        if rate := queue.work_rate(now, self.work_rate_per_request):
            line = queue.tenant_queues.get(ticket.tenant)
            weights = sum(self.accounts[name].weight for name in queue.tenant_queues)
            part = account.weight / (weights if line is not None else weights + account.weight)
            own = line.waiting_work_seconds if line is not None else 0.0
            expected = max(expected, min(own / part, queue.waiting_work_seconds) / rate)
        return int(expected * SECOND)

    def _service_time_bound_ns(self, offering: str) -> int:
        mean, deviation = self.service_times.get(offering, (0.0, 0.0))
        return int(mean + SERVICE_TIME_DEVIATIONS * deviation)

    def _mean_service_time_ns(self, offering: str) -> float:
        return self.service_times.get(offering, (0.0, 0.0))[0]

    # -- who goes in

    def _admit(
        self, ticket: QueuedRequest, queue: FunctionQueue, account: TenantAccount, now: int, where: Any
    ) -> None:
        ticket.state, ticket.admitted_ns = QueueState.ADMITTED, now
        ticket.placement = queue.last_placement = where
        queue.in_service += 1
        self.throughput.in_service += 1
        account.weighted_work_seconds += ticket.work_seconds / account.weight
        clients = account.client_work_seconds
        clients[ticket.client_bucket] = clients.get(ticket.client_bucket, 0.0) + ticket.work_seconds
        self.counts["entered"] += 1

    def admit_waiting(self, where: Any = None) -> list[QueuedRequest]:
        """Lets in whom the module has room for by now, the customer that has had the least first, by its
        weight: one at a time, since the module's next word counts only once it has taken the one before
        (`begun`). Those whose state has changed: also who was found to be too late.

        `where` has got room just now: models that were last placed there are asked for, and those not yet
        placed. To ask for all of them each time something ends would cost more than it finds. Without
        `where` all are asked for that have not been a moment ago."""
        now = self.clock()
        changed: list[QueuedRequest] = []
        full: set[str] = set()  # models that the module has no room for at present
        if self.waiting_requests and self.unconfirmed is None:
            for model in {m for a in self.accounts.values() if a.waiting_requests for m in a.queues}:
                queue = self.queues[model]
                if (
                    queue.last_placement not in (None, where)
                    if where
                    else now - queue.refused_ns < CAPACITY_RECHECK_NS
                ):
                    full.add(model)
        asked = 0
        while self.waiting_requests and asked < MAX_CAPACITY_CHECKS and self.unconfirmed is None:
            found = self._choose_next(full)
            if found is None:
                break
            queue, account = self.queues[found.function], self.accounts[found.tenant]
            if now > found.start_by_ns:
                self._dequeue(found, queue)
                self._reject_with_reservation(found, queue, account, TOO_LATE)
                changed.append(found)
                continue
            asked += 1
            place = self.find_placement(found)
            if not place:
                queue.refused_ns = now
                full.add(found.function)
                continue
            self._dequeue(found, queue)
            self._admit(found, queue, account, now, place)
            self.unconfirmed = found
            changed.append(found)
        return changed

    def _choose_next(self, full: set[str]) -> QueuedRequest | None:
        """Who keeps an appointment first, whatever its customer has had: appointments are given at a part of
        the customer's own pace. Then of the customers that wait the one that has had the least, and in it the
        client that has. Only for models that may have room."""
        waiting = sorted((a.weighted_work_seconds, n) for n, a in self.accounts.items() if a.waiting_requests)
        for _, name in waiting if self.waiting_reservations else ():
            own = self.accounts[name].queues.items()
            kept = [
                line.with_reservation[0] for model, line in own if line.with_reservation and model not in full
            ]
            if kept:
                return min(kept, key=lambda t: (t.start_by_ns, t.arrived_ns))
        for _, name in waiting:
            account = self.accounts[name]
            lines = [line for model, line in account.queues.items() if model not in full]
            if lines:
                firsts = [line.next_request(account.client_work_seconds) for line in lines]
                return min(
                    firsts,
                    key=lambda t: (
                        account.client_work_seconds.get(t.client_bucket, 0.0),
                        t.start_by_ns,
                        t.arrived_ns,
                    ),
                )
        return None

    def _dequeue(self, ticket: QueuedRequest, queue: FunctionQueue) -> None:
        line = queue.tenant_queues[ticket.tenant]
        line.remove(ticket)
        account = self.accounts[ticket.tenant]
        if not line.waiting_requests:
            del queue.tenant_queues[ticket.tenant]
            del account.queues[ticket.function]
        account.waiting_requests -= 1
        account.waiting_work_seconds = (
            max(0.0, account.waiting_work_seconds - ticket.work_seconds) if account.waiting_requests else 0.0
        )
        queue.waiting_requests -= 1
        queue.waiting_work_seconds = (
            max(0.0, queue.waiting_work_seconds - ticket.work_seconds) if queue.waiting_requests else 0.0
        )
        self.waiting_requests -= 1
        self.waiting_reservations -= ticket.has_reservation
        self.waiting_bytes -= ticket.size_bytes

    def confirm_admission(self, ticket: QueuedRequest) -> list[QueuedRequest]:
        """The module has taken it; those whose state has changed by it."""
        if self.unconfirmed is not ticket:
            return []
        self.unconfirmed = None
        return self.admit_waiting(ticket.placement)

    # -- what becomes of them

    def complete(self, ticket: QueuedRequest, end: ServiceResult) -> list[QueuedRequest]:
        """A task that was inside is over; those at the door whose state has changed by it. With `NO_ROOM`
        the ticket's `wait` is an honest time to come back."""
        if ticket.state is not QueueState.ADMITTED:
            self.cancel(ticket)
            return []
        now = self.clock()
        ticket.state = QueueState.ENDED
        if self.unconfirmed is ticket:
            self.unconfirmed = None
        queue = self._function_queue(ticket.function, now)
        queue.in_service -= 1
        self.throughput.in_service -= 1
        if end is ServiceResult.NO_CAPACITY:  # between the ask and the taking, or what the ask could not know
            self.counts["no room"] += 1
            self._reject_with_reservation(
                ticket, queue, self._account(ticket.tenant), "no runner may take it now"
            )
            ticket.state = QueueState.ENDED
        elif end is ServiceResult.SUCCEEDED:
            took = now - ticket.admitted_ns
            pace = ticket.work_seconds * SECOND / max(took, MS)
            self.work_rate_per_request += (pace - self.work_rate_per_request) * (
                SMOOTHING_FACTOR if self.work_rate_per_request else 1
            )
            mean, deviation = self.service_times.get(ticket.request_class, (float(took), took / 2))
            deviation += (abs(took - mean) - deviation) * SMOOTHING_FACTOR
            self.service_times[ticket.request_class] = mean + (took - mean) * SMOOTHING_FACTOR, deviation
            old = self.work_by_class.get(ticket.request_class, ticket.work_seconds)
            self.work_by_class[ticket.request_class] = old + (ticket.work_seconds - old) * SMOOTHING_FACTOR
            queue.record_completion(now, ticket.work_seconds)
            self.throughput.record_completion(now, ticket.work_seconds)
            if ticket.has_reservation:
                self.counts["kept and satisfied"] += 1
                self.counts["kept in time"] += now <= ticket.respond_by_ns
        return self.admit_waiting(ticket.placement)

    def cancel(self, ticket: QueuedRequest) -> None:
        """Its client has gone: its place is free at once."""
        if ticket.state is QueueState.QUEUED:
            self._dequeue(ticket, self.queues[ticket.function])
            ticket.state = QueueState.ENDED
            self.counts["left"] += 1

    def expire(self, ticket: QueuedRequest) -> None:
        """Its `until` has come and it waits still: it is turned back at once."""
        if ticket.state is QueueState.QUEUED:
            queue = self.queues[ticket.function]
            self._dequeue(ticket, queue)
            self._reject_with_reservation(ticket, queue, self.accounts[ticket.tenant], TOO_LATE)

    def reject_all(self) -> list[QueuedRequest]:
        """The door closes: all that wait are turned back, for whoever is there by then."""
        changed = []
        for queue in self.queues.values():
            for line in list(queue.tenant_queues.values()):
                for ticket in line.requests():
                    self._dequeue(ticket, queue)
                    self._reject(ticket, "the dispatcher stops", int(SECOND * (0.5 + self.random())))
                    changed.append(ticket)
        return changed

    # -- when to come back

    def _reject_with_reservation(
        self, ticket: QueuedRequest, queue: FunctionQueue, account: TenantAccount, why: str
    ) -> None:
        """Turned back with an appointment, in the order of asking: behind what waits, and behind who was told
        before it, at the part of the customer's pace that is kept for them."""
        now = self.clock()
        rate = self.throughput.work_rate(now, self.work_rate_per_request)
        weights = sum(a.weight for a in self.accounts.values() if a.waiting_requests and a is not account)
        if rate:
            pace = rate * account.weight / (weights + account.weight)
            first = now + max(
                int(account.waiting_work_seconds / pace * SECOND),
                self._estimate_wait_ns(ticket, queue, account, now),
            )
            at = max(first, account.last_reservation_ns, now + MIN_RETRY_AFTER_NS)
            at = min(at, now + MAX_RETRY_AFTER_NS)
            left = max(RESERVED_SHARE, 1 - account.new_requests.work_rate(now, 0.0) / pace)
            account.last_reservation_ns = at + int(ticket.work_seconds / (pace * left) * SECOND)
        else:
            # nothing gets done there: about once a second is soon enough to find out, and not all together
            at = now + int(SECOND * (0.5 + self.random()))
        wait = at - now + int(MIN_RETRY_AFTER_NS * self.random())
        self._reject(ticket, why, wait)

    def _reject(self, ticket: QueuedRequest, why: str, wait: int) -> None:
        now = self.clock()
        ticket.state, ticket.reason, ticket.retry_after_ns = (
            QueueState.REJECTED,
            why,
            max(MIN_RETRY_AFTER_NS, wait),
        )
        since = now + int((1 - EARLY_ARRIVAL_SHARE) * ticket.retry_after_ns)
        ticket.reservation = self.reservations[ticket.trace_id] = (
            since,
            now + ticket.retry_after_ns + RESERVATION_GRACE_NS,
        )
        self.reservations.move_to_end(ticket.trace_id)
        self.redeemed_reservations.pop(ticket.trace_id, None)
        while len(self.reservations) > MAX_RESERVATIONS:
            self.reservations.popitem(last=False)
        self.counts["turned back"] += 1

    # -- what is kept

    def _account(self, name: str) -> TenantAccount:
        account = self.accounts.get(name)
        if account is None:
            account = self.accounts[name] = TenantAccount(self.limits.weights.get(name, 1.0))
        return account

    def _function_queue(self, model: str, now: int) -> FunctionQueue:
        queue = self.queues.get(model)
        if queue is None:
            for old in (
                list(itertools.islice(self.queues, 4)) if len(self.queues) >= MAX_FUNCTION_QUEUES else ()
            ):
                if not self.queues[old].in_service and not self.queues[old].waiting_requests:
                    del self.queues[old]
                else:
                    self.queues.move_to_end(old)  # in use: whoever comes next looks at others
            queue = self.queues[model] = FunctionQueue()
        else:
            self.queues.move_to_end(model)
        return queue

    def _decay(self, now: int) -> None:
        """Long ago counts less: who had much yesterday is not behind for ever."""
        if now - self._decayed_ns < 5 * SECOND:
            return
        self._decayed_ns = now
        self.heavy_hitters.decay()
        least = min((a.weighted_work_seconds for a in self.accounts.values()), default=0.0)
        for account in self.accounts.values():
            account.weighted_work_seconds = (account.weighted_work_seconds - least) / 2
            account.client_work_seconds = {
                c: had / 2 for c, had in account.client_work_seconds.items() if had > 0.01
            }

    def status_report(self) -> dict[str, Any]:
        """For operators; `honest` is the part of those who came when they were told and were satisfied."""
        kept = self.counts["kept"]
        return {
            "waiting": self.waiting_requests,
            "bytes": self.waiting_bytes,
            "appointments": len(self.reservations),
            "honest": self.counts["kept and satisfied"] / kept if kept else None,
            "heaviest": self.heavy_hitters.heaviest(5),
            **dict(sorted(self.counts.items())),
        }

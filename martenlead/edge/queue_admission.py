"""Queues requests by the admission controller before the dispatcher accepts them.

The controller decides which requests are admitted, queued or rejected. This module carries out its
decisions: it wakes up queued requests, submits admitted ones to the dispatcher, and gives rejected
ones a signed reservation if the edges share a secret.
"""

from __future__ import annotations

from random import Random

import anyio

from martenlead.admission import reservation_token
from martenlead.admission.controller import (
    EARLY_ARRIVAL_SHARE,
    RESERVATION_GRACE_NS,
    AdmissionController,
    AdmissionLimits,
    AdmissionRequest,
    FunctionResources,
    QueuedRequest,
    QueueState,
    ServiceResult,
)
from martenlead.config.schema import EdgeSettings, QueueSettings
from martenlead.edge.cancellation import CancellationSource
from martenlead.edge.dispatcher import Dispatcher
from martenlead.edge.http_upstream import EventContent
from martenlead.edge.records import (
    FinalOutcome,
    IncomingRequest,
    PendingRequest,
    PolicyWorker,
)
from martenlead.edge.responses import final_response, rejected_before_acceptance
from martenlead.events.cloudevent import Event
from martenlead.events.server import Reply
from martenlead.policy.types import Request, Result
from martenlead.system.clocks import wall_ns

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1e9
CHECK_SECONDS, IDLE_CHECK_SECONDS = 0.01, 0.05  # while requests are queued, and while none are

Reservation = tuple[int, int]  # start and end of the time for a retry, ns


class QueueAdmission:
    """The admission controller of one listener, and its queued requests."""

    def __init__(
        self, dispatcher: Dispatcher, settings: EdgeSettings, queues: QueueSettings
    ) -> None:
        self.dispatcher = dispatcher
        weights = {tenant.name: tenant.weight for tenant in settings.tenants}
        self.controller = AdmissionController(
            AdmissionLimits(queues.waiting, queues.bytes, weights),
            dispatcher.clock,
            Random(settings.seed),
            self._find_placement,
        )
        dispatcher.report_queues = self.controller.status_report
        self.wall_clock_ns = wall_ns
        self._secret = queues.secret.encode() if queues.secret else None
        self._state_changed: dict[QueuedRequest, anyio.Event] = {}

    async def serve(
        self,
        incoming: IncomingRequest,
        event: Event,
        arrived_ns: int,
        content: EventContent,
        client: CancellationSource[PendingRequest] | None,
    ) -> Reply:
        """Serves a request at once or after a wait in a queue, or rejects it.

        Cancelled if its client leaves.
        """
        dispatcher, controller = self.dispatcher, self.controller
        queued = self._submit(incoming, event, arrived_ns, len(content.body))
        if queued.state is QueueState.QUEUED:
            await self._wait(queued)
        if queued.state is QueueState.REJECTED:
            dispatcher.counts["final", FinalOutcome.REJECTED.value] += 1
            reply = rejected_before_acceptance(queued.reason, queued.retry_after_ns)
            return self._add_reservation(reply, event, queued)
        result = ServiceResult.OTHER
        try:
            size_bytes, is_retry = len(content.body), queued.counts_as_retry
            request = dispatcher.accept(
                incoming, arrived_ns, content, size_bytes, is_retry, client=client
            )
            self._wake(controller.confirm_admission(queued))
            await dispatcher.wait_for_outcome(request)
            outcome = request.outcome.value if request.outcome else ""
            result = classify_service_result(outcome, request.policy_request, request.reason)
        finally:
            self._wake(controller.complete(queued, result))
        if result is not ServiceResult.NO_CAPACITY:
            return final_response(request)
        request.retry_after_ns = max(request.retry_after_ns, queued.retry_after_ns)
        return self._add_reservation(final_response(request), event, queued)

    def _submit(
        self, incoming: IncomingRequest, event: Event, arrived_ns: int, size_bytes: int
    ) -> QueuedRequest:
        """Submits a request to the controller."""
        dispatcher = self.dispatcher
        left_ns = dispatcher.deadlines_ns[incoming.request_class]
        if incoming.time_left_ns is not None:
            left_ns = min(incoming.time_left_ns, left_ns)
        objective_ns = dispatcher.request_classes[incoming.request_class].latency_objective_ns
        request = AdmissionRequest(
            function=incoming.function,
            request_class=incoming.request_class,
            tenant=incoming.tenant or "",
            client=event.identity[0],
            trace_id=hash(event.identity),
            work_seconds=incoming.cost_seconds,
            size_bytes=size_bytes,
            respond_by_ns=arrived_ns + objective_ns,
            deadline_ns=arrived_ns + left_ns - dispatcher.deadline_margin_ns,
            is_retry=incoming.is_retry,
            resources=FunctionResources(incoming.lanes, incoming.memory_mb),
            reservation=self.verify_reservation(event),
        )
        return self.controller.submit(request)

    async def _wait(self, queued: QueuedRequest) -> None:
        """Waits until the controller has decided on a request, or until it is too late to start."""
        changed = self._state_changed[queued] = anyio.Event()
        left_ns = max(0, queued.start_by_ns - self.dispatcher.clock())
        try:
            with anyio.move_on_after(left_ns / NS_PER_SECOND):
                await changed.wait()
            self.controller.expire(queued)
        except anyio.get_cancelled_exc_class():
            # the client left in the queue or just on admission, so the next request may be admitted
            self._wake(self.controller.complete(queued, ServiceResult.OTHER))
            raise
        finally:
            del self._state_changed[queued]

    def verify_reservation(self, event: Event) -> Reservation | None:
        """Returns the reservation that a request presents, converted to this process's clock.

        It may be from another edge. One issued in the future means that a wall clock was stepped.
        Within the grace period it counts as issued now, so that no client has to wait for longer
        than it was told to; otherwise it is refused.
        """
        text = event.text("appointment") if self._secret is not None else None
        if text is None or self._secret is None:
            return None
        wall = self.wall_clock_ns()
        verified = reservation_token.verify(self._secret, event.identity, text, wall // NS_PER_MS)
        if verified is None:
            self.dispatcher.counts["appointment", "not ours"] += 1
            return None
        since, until = (time_ms * NS_PER_MS for time_ms in verified)
        early = max(0, reservation_issued_ns(since, until) - wall)
        if early > RESERVATION_GRACE_NS:
            self.dispatcher.counts["appointment", "clocks differ"] += 1
            return None
        clock_offset = self.dispatcher.clock() - wall - early
        return since + clock_offset, until + clock_offset

    def _add_reservation(self, reply: Reply, event: Event, queued: QueuedRequest) -> Reply:
        """Adds a rejected request's reservation to its response, signed and in wall-clock time."""
        if self._secret is not None and queued.reservation is not None:
            clock_offset = self.wall_clock_ns() - self.dispatcher.clock()
            since_ms, until_ms = ((t + clock_offset) // NS_PER_MS for t in queued.reservation)
            text = reservation_token.issue(self._secret, event.identity, since_ms, until_ms)
            reply.headers.append((b"martenlead-appointment", text.encode()))
        return reply

    def _wake(self, changed: list[QueuedRequest]) -> None:
        for queued in changed:
            self._state_changed[queued].set()

    def _find_placement(self, queued: QueuedRequest) -> PolicyWorker:
        """Returns the worker that the policy would send a queued request to now, or None."""
        dispatcher = self.dispatcher
        entry = dispatcher.find_or_add_function(queued.function, *queued.resources)
        return dispatcher.policy_boundary.choose_worker(
            entry.policy_function,
            dispatcher.request_classes[queued.request_class],
            queued.counts_as_retry,
            queued.work_seconds if queued.has_declared_work else 0.0,
        )

    async def run(self) -> None:
        """Admits queued requests periodically, because capacity also grows with time alone.

        The end of a request admits the next ones at once. Runs until it is cancelled.
        """
        while True:
            is_waiting = self.controller.waiting_requests
            await anyio.sleep(CHECK_SECONDS if is_waiting else IDLE_CHECK_SECONDS)
            self._wake(self.controller.admit_waiting())

    def reject_all(self) -> None:
        """Rejects all queued requests, because the dispatcher stops."""
        self._wake(self.controller.reject_all())


def reservation_issued_ns(since: int, until: int) -> int:
    """Returns the time of issue: the window is the early part of the wait, and the grace."""
    wait = round((until - since - RESERVATION_GRACE_NS) / EARLY_ARRIVAL_SHARE)
    return until - RESERVATION_GRACE_NS - wait


def classify_service_result(
    outcome: str, policy_request: Request | None, reason: str
) -> ServiceResult:
    """Classifies the result of an admitted request for the controller.

    A request over its tenant's share is rejected by the policy, with the policy's own Retry-After
    and without a reservation.
    """
    if outcome == FinalOutcome.SUCCEEDED.value:
        return ServiceResult.SUCCEEDED
    is_rejected = outcome == FinalOutcome.REJECTED.value
    if not is_rejected or policy_request is None or policy_request.is_deferrable:
        return ServiceResult.OTHER
    # sent nowhere, or rejected by every worker that it was sent to
    has_no_capacity = all(a.result is Result.AT_CAPACITY for a in policy_request.attempts)
    if has_no_capacity and reason in ("", "turned away"):
        return ServiceResult.NO_CAPACITY
    return ServiceResult.OTHER

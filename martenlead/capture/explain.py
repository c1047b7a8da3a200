"""Explains one request by a replay of its capture, so that the policy needs no logging for it."""

from __future__ import annotations

from collections.abc import Iterable

from martenlead.capture import events as ev
from martenlead.capture.replayer import Replayer, ReplayError
from martenlead.policy.policy import Policy
from martenlead.policy.state import Replica, Worker
from martenlead.policy.types import Request

NS_PER_MS = 1_000_000
INDENT = " " * 17  # indent of the lines that add details to the line above


def explain_request(events: Iterable[ev.CaptureEvent], name: str) -> list[str]:
    """Describes the inputs, the decisions and the candidate workers of one request, line by line.

    `name` is the event's id, its source and id separated by a space, or the request's number in the
    capture. The state of the workers is the policy's own at the time of the choice.
    """
    explanation = _Explanation(name)
    for event in events:
        if not explanation.add(event):
            break
    return explanation.lines


class _TrackingReplayer(Replayer):
    """A replayer that collects the tracked requests before the policy decides on them."""

    def __init__(self) -> None:
        super().__init__()
        self.tracked_numbers: set[int] = set()
        self.tracked_requests: set[Request] = set()

    def create_request(self, event: ev.RequestAccepted) -> Request:
        """Creates the policy's object of a request, and collects it if it is tracked."""
        request = super().create_request(event)
        if event.request in self.tracked_numbers:
            self.tracked_requests.add(request)
        return request


class _Explanation:
    """Builds the lines on one request, event by event."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._replayer = _TrackingReplayer()
        self._started_ns = 0
        self.lines: list[str] = []

    def add(self, event: ev.CaptureEvent) -> bool:
        """Processes one event; returns False where the replay cannot continue."""
        if isinstance(event, ev.RunStarted):
            self._started_ns = event.time_ns
        if isinstance(event, ev.RequestAccepted) and self._name in _names(event):
            self._replayer.tracked_numbers.add(event.request)
        is_tracked = ev.request_number(event) in self._replayer.tracked_numbers
        if not isinstance(event, ev.InputEvent):
            if is_tracked:
                self._add_line(event)
            return True
        if is_tracked:
            self._replayer.policy.state.now_ns = event.time_ns
            self._add_line(event)
        return self._feed(event)

    def _feed(self, event: ev.InputEvent) -> bool:
        try:
            self._replayer.feed(event)
        except ReplayError as error:
            self.lines.append(f"(nothing further: {error})")
            return False
        if isinstance(event, ev.RunStarted):
            self._report_worker_choices()
        self._replayer.pending_decisions.clear()
        return True

    def _add_line(self, event: ev.CaptureEvent) -> None:
        passed_ms = (self._replayer.policy.state.now_ns - self._started_ns) / NS_PER_MS
        self.lines.append(f"{passed_ms:12.3f} ms  {_describe(self._replayer, event)}")

    def _report_worker_choices(self) -> None:
        """Adds a line for each worker whenever the policy chooses one for a tracked request."""
        placement = self._replayer.policy.placement
        choose_worker = placement.choose_worker

        def describe_and_choose(request: Request, excluded: set[Worker]) -> Worker | None:
            """Describes the workers, then makes the policy's own choice."""
            if request in self._replayer.tracked_requests:
                known = describe_workers(self._replayer, request)
                self.lines.extend(f"{INDENT}{line}" for line in known)
            return choose_worker(request, excluded)

        placement.choose_worker = describe_and_choose  # type: ignore[method-assign]


def _names(event: ev.RequestAccepted) -> tuple[str, ...]:
    return event.name, event.name.rpartition(" ")[2], str(event.request)


def _describe(replayer: Replayer, event: ev.CaptureEvent) -> str:
    """The text for one event."""
    text = ev.kind_name(event)
    match event:
        case ev.RequestAccepted():
            text = _describe_request(replayer, event)
        case ev.AttemptStarted(attempt=attempt, worker=number, timeout_ns=timeout_ns):
            worker = replayer.names[replayer.workers[number]]
            text = f"hand-off {attempt} to {worker}, for {timeout_ns / NS_PER_MS:.1f} ms at most"
        case ev.AttemptEnded(attempt=attempt, result=result, warmth=warmth, latency_ns=latency_ns):
            latency_ms = latency_ns / NS_PER_MS
            text = f"hand-off {attempt} ended after {latency_ms:.1f} ms: {result}, copy {warmth}"
        case ev.RequestRejected(retry_after_ns=retry_after_ns):
            text = f"turned back, to come again after {retry_after_ns / NS_PER_MS:.0f} ms"
        case ev.RequestFailed():
            text = "scrapped"
        case ev.AttemptCancelled(attempt=attempt):
            text = f"hand-off {attempt} is called off"
        case ev.RequestClosed(outcome=outcome):
            text = f"over: {outcome or 'no answer'}"
    return text


def _describe_request(replayer: Replayer, event: ev.RequestAccepted) -> str:
    start = replayer.start
    request_class = start.request_classes[event.request_class] if start else "?"
    function = replayer.names[replayer.functions[event.function]]
    left_ms = (event.deadline_ns - event.time_ns) / NS_PER_MS
    again = ", again" if event.is_retry else ""
    title = f"task {event.request} ({event.name})"
    return f"{title}: {request_class}, {function}, {left_ms:.1f} ms left{again}"


def describe_workers(replayer: Replayer, request: Request) -> list[str]:
    """A line for each worker, with all reasons why it may not get the request now."""
    policy, lines = replayer.policy, []
    for worker in policy.state.workers:
        replica = _describe_replica(policy, request.function.replicas.get(worker))
        home = ", home" if request.function.home is worker else ""
        refusals = _refusals(policy, worker, request)
        lines.append(
            f"{replayer.names[worker]}: copy {replica}{home}; {worker.warm_in_flight} running of "
            f"{worker.concurrency_limit:.1f}, pace {policy.placement.pace(worker):.2f}, "
            f"credit {worker.retry_budget:.1f}"
            f"{'; ' + ', '.join(refusals) if refusals else ''}"
        )
    return lines


def _describe_replica(policy: Policy, replica: Replica | None) -> str:
    if replica is None:
        return "none"
    if replica.is_retained:
        return "held"
    if policy.state.is_warm(replica):
        return "stands"
    return "loads" if replica.load_requested_ns else "none"


def _refusals(policy: Policy, worker: Worker, request: Request) -> list[str]:
    """The reasons why the worker may not get the request now."""
    accepts_work = policy.state.accepts_work(worker)
    refusals = {
        worker.facts.state.value: not accepts_work,
        "quiet": accepts_work and policy.outliers.is_silent(worker),
        "cold": policy.slow_start.is_warming_up(worker),
        "its next task is not due": worker.next_attempt_ns > policy.state.now_ns,
        "full": worker.warm_in_flight >= max(1.0, worker.concurrency_limit),
        "no credit": bool(request.attempts) and worker.retry_budget < 1,
        "a repeat may not go there": not policy.repeats.may_send(request, worker),
    }
    return [reason for reason, applies in refusals.items() if applies]

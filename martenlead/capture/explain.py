"""The story of one request, read from a replay, so that the policy logs nothing."""

from __future__ import annotations

from collections.abc import Iterable

from martenlead.capture import events as ev
from martenlead.capture.replayer import Replayer, ReplayError
from martenlead.policy.policy import Policy
from martenlead.policy.state import Replica, Worker
from martenlead.policy.types import Request

NS_PER_MS = 1_000_000
INDENT = " " * 17  # of lines that belong to the one before


def explain_request(events: Iterable[ev.CaptureEvent], name: str) -> list[str]:
    """Lines on all attempts of one request: what came, what was decided, what was known.

    `name` is the event's id, its source and id with a blank between, or the request's number in the
    capture. What is said of workers is the policy's own state right behind the decision, with the
    attempt counted in.
    """
    story = _Story(name)
    for event in events:
        if not story.add(event):
            break
    return story.lines


class _StoryReplayer(Replayer):
    """A replayer that notes which requests a story is about, before the policy decides on them."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers: set[int] = set()
        self.chosen: set[Request] = set()

    def create_request(self, event: ev.RequestAccepted) -> Request:
        """The policy's object for a request, noted if the story is about it."""
        request = super().create_request(event)
        if event.request in self.numbers:
            self.chosen.add(request)
        return request


class _Story:
    """The lines on one request, event by event."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._replayer = _StoryReplayer()
        self._started_ns = 0
        self.lines: list[str] = []

    def add(self, event: ev.CaptureEvent) -> bool:
        """Whether the story goes on behind this event."""
        if isinstance(event, ev.RunStarted):
            self._started_ns = event.time_ns
        if isinstance(event, ev.RequestAccepted) and self._name in _names(event):
            self._replayer.numbers.add(event.request)
        is_chosen = ev.request_number(event) in self._replayer.numbers
        if not isinstance(event, ev.InputEvent):
            if is_chosen:
                self._add_line(event)
            return True
        if is_chosen:
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
            self._watch_choices()
        self._replayer.pending_decisions.clear()
        return True

    def _add_line(self, event: ev.CaptureEvent) -> None:
        passed_ms = (self._replayer.policy.state.now_ns - self._started_ns) / NS_PER_MS
        self.lines.append(f"{passed_ms:12.3f} ms  {_describe(self._replayer, event)}")

    def _watch_choices(self) -> None:
        """Adds what is known of the workers whenever one is chosen for the request."""
        placement = self._replayer.policy.placement
        choose_worker = placement.choose_worker

        def choose_and_report(request: Request, excluded: set[Worker]) -> Worker | None:
            """Chooses as the policy does."""
            if request in self._replayer.chosen:
                known = describe_workers(self._replayer, request)
                self.lines.extend(f"{INDENT}{line}" for line in known)
            return choose_worker(request, excluded)

        placement.choose_worker = choose_and_report  # type: ignore[method-assign]


def _names(event: ev.RequestAccepted) -> tuple[str, ...]:
    return event.name, event.name.rpartition(" ")[2], str(event.request)


def _describe(replayer: Replayer, event: ev.CaptureEvent) -> str:
    """One event in words."""
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
    """A line for each worker, with every reason why it may not have the request now."""
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
    """Why the worker may not have the request now."""
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

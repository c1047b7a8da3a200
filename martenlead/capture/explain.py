"""The story of a task, and why tasks were not satisfied: read from a replay, so that the module logs
nothing."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from martenlead.capture import events as ev
from martenlead.capture.replay import Replayer, ReplayError
from martenlead.policy.types import Request

MS = 1_000_000
LOST_WITH_DISPATCHER = "lost with its dispatcher"


def explain_request(events: Iterable[ev.CaptureEvent], wanted: str) -> list[str]:
    """Lines on all tries of one task: what came, each decision, what was known of each runner just then.

    `wanted` is the event's id, its source and id with a blank between, or the task's number in the capture.
    What is said of runners is the module's own state right behind the decision, with the hand-off counted in.
    """
    replayer, lines = Replayer(), list[str]()
    begun = 0
    numbers: set[int] = set()

    def say(text: str) -> None:
        lines.append(f"{(replayer.policy.state.now_ns - begun) / MS:12.3f} ms  {text}")

    mine: set[Request] = set()

    def listen() -> None:
        place = replayer.policy.placement.choose_worker

        def told(request: Request, excluded: set[Any]) -> Any:
            if request in mine:
                lines.extend(f"{'':17}{line}" for line in _known(replayer, request))
            return place(request, excluded)

        replayer.policy.placement.choose_worker = told  # type: ignore[method-assign]

    for event in events:
        if isinstance(event, ev.RunStarted):
            begun = event.time_ns
        if isinstance(event, ev.RequestAccepted) and wanted in _names(event):
            numbers.add(event.request)
        number = ev.request_number(event)
        if isinstance(event, ev.InputEvent):
            if number in numbers:
                replayer.policy.state.now_ns = event.time_ns
                say(_said(replayer, event))
            try:
                if isinstance(event, ev.RequestAccepted) and event.request in numbers:
                    _feed_and_mark(replayer, event, mine)
                else:
                    replayer.feed(event)
                if isinstance(event, ev.RunStarted):
                    listen()
            except ReplayError as error:
                lines.append(f"(nothing further: {error})")
                return lines
            replayer.pending_decisions.clear()
        elif number in numbers:
            say(_said(replayer, event))
    return lines


def _names(event: ev.RequestAccepted) -> tuple[str, str, str]:
    return event.name, event.name.rpartition(" ")[2], str(event.request)


def _feed_and_mark(replayer: Replayer, event: ev.RequestAccepted, mine: set[Request]) -> None:
    """The module decides while it takes the task: it has to be known as ours before that."""
    number = event.request

    class Marking(dict[int, Request]):
        def __setitem__(self, key: int, task: Request) -> None:
            if key == number:
                mine.add(task)
            super().__setitem__(key, task)

    replayer.tasks, old = Marking(replayer.tasks), replayer.tasks
    replayer.feed(event)
    old.update(replayer.tasks)
    replayer.tasks = old


def _said(replayer: Replayer, event: ev.CaptureEvent) -> str:
    def runner(number: int) -> str:
        return replayer.names[replayer.runners[number]]

    match event:
        case ev.RequestAccepted(name=name, deadline_ns=give_up, is_retry=again):
            left = (give_up - event.time_ns) / MS
            start = replayer.start
            offering = start.request_classes[event.request_class] if start else "?"
            model = replayer.names[replayer.models[event.function]]
            return (
                f"task {event.request} ({name}): {offering}, {model}, {left:.1f} ms left{', again' * again}"
            )
        case ev.AttemptStarted(attempt=n, worker=number, timeout_ns=patience):
            return f"hand-off {n} to {runner(number)}, for {patience / MS:.1f} ms at most"
        case ev.AttemptEnded(attempt=n, result=result, warmth=warmth, latency_ns=lag):
            return f"hand-off {n} ended after {lag / MS:.1f} ms: {result}, copy {warmth}"
        case ev.RequestRejected(retry_after_ns=wait):
            return f"turned back, to come again after {wait / MS:.0f} ms"
        case ev.RequestFailed():
            return "scrapped"
        case ev.AttemptCancelled(attempt=n):
            return f"hand-off {n} is called off"
        case ev.RequestClosed(outcome=final):
            return f"over: {final or 'no answer'}"
    return ev.kind_name(event)


def _known(replayer: Replayer, task: Request) -> list[str]:
    """A line a runner, with every reason why it may not take the task now."""
    policy, lines = replayer.policy, []
    for runner in policy.state.workers:
        copy = task.function.replicas.get(runner)
        why = []
        if not policy.state.accepts_work(runner):
            why.append(runner.facts.state.value)
        elif policy.outliers.is_silent(runner):
            why.append("quiet")
        if policy.slow_start.is_warming_up(runner):
            why.append("cold")
        if runner.next_attempt_ns > policy.state.now_ns:
            why.append("its next task is not due")
        if runner.warm_in_flight >= max(1.0, runner.concurrency_limit):
            why.append("full")
        if task.attempts and runner.retry_budget < 1:
            why.append("no credit")
        if not policy.repeats.may_send(task, runner):
            why.append("a repeat may not go there")
        held = ""
        if copy is not None:
            loads = "loads" if copy.load_requested_ns else ""
            held = "held" if copy.is_retained else "stands" if policy.state.is_warm(copy) else loads
        home = ", home" * (task.function.home is runner)
        lines.append(
            f"{replayer.names[runner]}: copy {held or 'none'}{home}; {runner.warm_in_flight} running of "
            f"{runner.concurrency_limit:.1f}, pace {policy.placement.pace(runner):.2f}, "
            f"credit {runner.retry_budget:.1f}"
            f"{'; ' + ', '.join(why) if why else ''}"
        )
    return lines


@dataclass
class OutcomeSummary:
    """What became of the tasks of some runs. A task without an end was held when its dispatcher died."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    causes: Counter[tuple[str, str]] = field(default_factory=Counter)
    examples: dict[tuple[str, str], list[str]] = field(default_factory=lambda: defaultdict(list))

    def format_lines(self) -> list[str]:
        outcomes = ", ".join(f"{n} {name}" for name, n in sorted(self.outcomes.items()))
        lines = [f"tasks {self.requests}: {outcomes}"]
        for (final, cause), n in self.causes.most_common():
            some = ", ".join(self.examples[final, cause][:3])
            lines.append(f"{n:7} {final}: {cause} ({some})")
        return lines


def summarize_outcomes(
    events: Iterable[ev.CaptureEvent], into: OutcomeSummary | None = None
) -> OutcomeSummary:
    """Groups what was not satisfied by its final answer and the ends of its hand-offs, in order."""
    told = into or OutcomeSummary()
    open_: dict[int, tuple[str, list[str]]] = {}
    for event in events:
        match event:
            case ev.RequestAccepted(request=task, name=name):
                told.requests += 1
                open_[task] = name, []
            case ev.AttemptEnded(request=task, attempt=at, result=result) if task in open_:
                results = open_[task][1]
                results[at] = result
            case ev.AttemptStarted(request=task) if task in open_:
                open_[task][1].append("out")
            case ev.RequestClosed(request=task, outcome=final) if task in open_:
                name, results = open_.pop(task)
                _enter(told, final, name, results)
    for name, results in open_.values():
        _enter(told, LOST_WITH_DISPATCHER, name, results)
    return told


def list_outcomes(events: Iterable[ev.CaptureEvent]) -> dict[str, list[str]]:
    """The final answers of each task's tries in order, by the event's id."""
    told: dict[str, list[str]] = defaultdict(list)
    names: dict[int, tuple[str, int]] = {}
    for event in events:
        match event:
            case ev.RequestAccepted(request=task, name=name):
                ident = name.rpartition(" ")[2]
                names[task] = ident, len(told[ident])
                told[ident].append(LOST_WITH_DISPATCHER)
            case ev.RequestClosed(request=task, outcome=final) if task in names:
                ident, at = names.pop(task)
                told[ident][at] = final
    return told


def _enter(told: OutcomeSummary, final: str, name: str, results: list[str]) -> None:
    told.outcomes[final] += 1
    if final != "satisfied":
        cause = final, ", then ".join(results) or "never handed off"
        told.causes[cause] += 1
        told.examples[cause].append(name)

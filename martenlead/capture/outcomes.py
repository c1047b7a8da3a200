"""Summarizes the outcomes of captured requests from the events alone, without a replay."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from martenlead.capture import events as ev

LOST_WITH_DISPATCHER = "lost with its dispatcher"
SUCCEEDED = "satisfied"  # the stored name of the outcome
IN_FLIGHT = "out"
NEVER_SENT = "never handed off"
EXAMPLES_SHOWN = 3


@dataclass
class OutcomeSummary:
    """Counts of outcomes and their causes.

    A request without an outcome was open when its dispatcher died. A cause is the sequence of the
    attempts' results.
    """

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    causes: Counter[tuple[str, str]] = field(default_factory=Counter)
    examples: dict[tuple[str, str], list[str]] = field(default_factory=lambda: defaultdict(list))

    def format_lines(self) -> list[str]:
        """The lines of the summary as a text table."""
        outcomes = ", ".join(f"{n} {name}" for name, n in sorted(self.outcomes.items()))
        lines = [f"tasks {self.requests}: {outcomes}"]
        for (outcome, cause), n in self.causes.most_common():
            some = ", ".join(self.examples[outcome, cause][:EXAMPLES_SHOWN])
            lines.append(f"{n:7} {outcome}: {cause} ({some})")
        return lines

    def add(self, outcome: str, request: OpenRequest) -> None:
        """Counts one request with its outcome."""
        self.outcomes[outcome] += 1
        if outcome != SUCCEEDED:
            cause = outcome, ", then ".join(request.results) or NEVER_SENT
            self.causes[cause] += 1
            self.examples[cause].append(request.name)


@dataclass(slots=True)
class OpenRequest:
    """A request without an outcome yet, and the results of its attempts."""

    name: str
    results: list[str] = field(default_factory=list)


def summarize_outcomes(
    events: Iterable[ev.CaptureEvent], into: OutcomeSummary | None = None
) -> OutcomeSummary:
    """Groups requests that did not succeed by outcome and by their attempts' results."""
    summary = into or OutcomeSummary()
    open_requests: dict[int, OpenRequest] = {}
    for event in events:
        match event:
            case ev.RequestAccepted(request=number, name=name):
                summary.requests += 1
                open_requests[number] = OpenRequest(name)
            case ev.AttemptEnded(request=number, attempt=attempt, result=result) if (
                number in open_requests
            ):
                open_requests[number].results[attempt] = result
            case ev.AttemptStarted(request=number) if number in open_requests:
                open_requests[number].results.append(IN_FLIGHT)
            case ev.RequestClosed(request=number, outcome=outcome) if number in open_requests:
                summary.add(outcome, open_requests.pop(number))
    for request in open_requests.values():
        summary.add(LOST_WITH_DISPATCHER, request)
    return summary


def list_outcomes(events: Iterable[ev.CaptureEvent]) -> dict[str, list[str]]:
    """The outcomes by event id, in order of arrival; several requests may have the same id."""
    outcomes: dict[str, list[str]] = defaultdict(list)
    # of each open request: its event id and the position of its outcome in the list
    positions: dict[int, tuple[str, int]] = {}
    for event in events:
        match event:
            case ev.RequestAccepted(request=number, name=name):
                event_id = name.rpartition(" ")[2]
                positions[number] = event_id, len(outcomes[event_id])
                outcomes[event_id].append(LOST_WITH_DISPATCHER)
            case ev.RequestClosed(request=number, outcome=outcome) if number in positions:
                event_id, position = positions.pop(number)
                outcomes[event_id][position] = outcome
    return outcomes

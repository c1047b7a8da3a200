"""Compares recorded decisions with those of another policy or of other settings."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from martenlead.capture import events as ev
from martenlead.capture.replayer import Replayer, ReplayError
from martenlead.capture.setting_names import SETTING_FIELDS
from martenlead.policy.types import Settings

MAX_EXAMPLES = 10
NOWHERE = "nowhere"
UNCHANGEABLE = "offerings"  # stored name of a setting that is a list of records


@dataclass
class WhatIfReport:
    """Compares two runs over the same inputs: the recorded one and one with the change.

    Results are fed as recorded, whichever worker an attempt went to, since a replay cannot know
    what another worker would have answered. Decisions after a request's first difference therefore
    show a tendency only.
    """

    requests: int = 0
    moved: int = 0  # requests whose first attempt would have gone to another worker
    no_longer_sent: int = 0  # requests that had an attempt and now have none
    newly_sent: int = 0  # requests that had no attempt and now have one
    recorded_counts: Counter[str] = field(default_factory=Counter)  # kind of decision -> count
    replayed_counts: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)
    stop_reason: str = ""


class _Decisions:
    """The decisions of one run: counts by kind, and each request's first worker."""

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts
        self.first_workers: dict[int, int] = {}  # number of the request -> number of the worker

    def add(self, event: ev.CaptureEvent) -> None:
        """Counts one decision."""
        self._counts[ev.kind_name(event)] += 1
        if isinstance(event, ev.AttemptStarted) and not event.attempt:
            self.first_workers[event.request] = event.worker


def compare_with_change(
    events: Iterable[ev.CaptureEvent], change: Callable[[Settings], Settings]
) -> WhatIfReport:
    """Replays a run with changed settings, and counts where the decisions differ."""
    report, replayer = WhatIfReport(), Replayer(change)
    recorded, replayed = _Decisions(report.recorded_counts), _Decisions(report.replayed_counts)
    for event in events:
        if not isinstance(event, ev.InputEvent):
            recorded.add(event)
            continue
        report.requests += isinstance(event, ev.RequestAccepted)
        try:
            replayer.feed(event)
        except ReplayError as error:
            report.stop_reason = str(error)
            break
        while replayer.pending_decisions:
            replayed.add(replayer.pending_decisions.popleft())
    _compare_first_workers(report, replayer, recorded.first_workers, replayed.first_workers)
    return report


def _compare_first_workers(
    report: WhatIfReport, replayer: Replayer, recorded: dict[int, int], replayed: dict[int, int]
) -> None:
    for request in sorted(recorded.keys() | replayed.keys()):
        then, now = recorded.get(request), replayed.get(request)
        if then == now:
            continue
        report.moved += then is not None and now is not None
        report.no_longer_sent += now is None
        report.newly_sent += then is None
        if len(report.examples) < MAX_EXAMPLES:
            names = _worker_name(replayer, then), _worker_name(replayer, now)
            report.examples.append(f"task {request}: {names[0]} -> {names[1]}")


def _worker_name(replayer: Replayer, number: int | None) -> str:
    return NOWHERE if number is None else replayer.names[replayer.workers[number]]


def parse_setting_change(text: str) -> Callable[[Settings], Settings]:
    """Parses NAME=VALUE, the stored name of a setting and its value, with times in ns.

    The returned function raises ValueError for an unknown name or an unsuitable value.
    """
    stored_name, _, value = text.partition("=")

    def change(settings: Settings) -> Settings:
        """Applies the change. Raises ValueError."""
        if stored_name not in SETTING_FIELDS or stored_name == UNCHANGEABLE:
            error = f"{stored_name}: no such setting"
            raise ValueError(error)
        name = SETTING_FIELDS[stored_name]
        # `Any`: fields have different types
        new: dict[str, Any] = {name: _parse_value(stored_name, getattr(settings, name), value)}
        return replace(settings, **new)

    return change


def _parse_value(name: str, present: bool | float, text: str) -> bool | float:
    """Parses a value as the type of the present one. Raises ValueError."""
    if isinstance(present, bool):
        if text not in ("true", "false"):
            error = f"{name}: true or false was expected"
            raise ValueError(error)
        return text == "true"
    try:
        return type(present)(text)
    except ValueError:
        error = f"{name}: a value like {present} was expected"
        raise ValueError(error) from None

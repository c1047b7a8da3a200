"""Replays a capture and compares the policy's decisions with the recorded ones.

A run is deterministic: the settings, the seed, the policy's source code and the inputs with their
times determine every decision. Decisions are compared one by one, in their order among the inputs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from time import perf_counter

from martenlead.capture import events as ev
from martenlead.capture.checkpoint import Checkpoint, save
from martenlead.capture.replayer import Replayer, ReplayError

CONTEXT_EVENTS = 20
NS_PER_SECOND = 1e9


@dataclass
class Divergence:
    """The first decision that differs from the recorded one, and the events before it."""

    position: int
    recorded: ev.CaptureEvent | None
    replayed: ev.CaptureEvent | None
    preceding: list[ev.CaptureEvent]


@dataclass
class ReplayOutcome:
    """The extent of a replay, and the reason why it stopped."""

    events: int = 0
    decisions: int = 0
    requests: int = 0
    first_time_ns: int = 0
    last_time_ns: int = 0
    elapsed_seconds: float = 0.0
    divergence: Divergence | None = None
    stop_reason: str = ""  # empty if all events were replayed
    is_resumed: bool = False  # began at a checkpoint instead of at the start of the run

    @property
    def recorded_seconds(self) -> float:
        """The time between the first and the last input as recorded, s."""
        return (self.last_time_ns - self.first_time_ns) / NS_PER_SECOND


class _Comparison:
    """Replays event by event and compares the decisions."""

    def __init__(self, replayer: Replayer) -> None:
        self._replayer = replayer
        self._preceding: deque[ev.CaptureEvent] = deque(maxlen=CONTEXT_EVENTS)
        self.outcome = ReplayOutcome()

    def add(self, event: ev.CaptureEvent) -> bool:
        """Processes one event; returns whether the replay continues."""
        if isinstance(event, ev.InputEvent):
            if not self._feed(event):
                return False
        elif not self._compare(event):
            return False
        self._preceding.append(event)
        self.outcome.events += 1
        return True

    def _feed(self, event: ev.InputEvent) -> bool:
        outcome, decisions = self.outcome, self._replayer.pending_decisions
        if decisions:
            self._diverge(None, decisions[0])
            return False
        outcome.first_time_ns = outcome.first_time_ns or event.time_ns
        outcome.last_time_ns = event.time_ns
        outcome.requests += isinstance(event, ev.RequestAccepted)
        outcome.is_resumed = outcome.is_resumed or isinstance(event, Checkpoint)
        try:
            self._replayer.feed(event)
        except ReplayError as error:
            outcome.stop_reason = str(error)
            return False
        return True

    def _compare(self, recorded: ev.CaptureEvent) -> bool:
        decisions = self._replayer.pending_decisions
        replayed = decisions.popleft() if decisions else None
        if replayed != recorded:
            self._diverge(recorded, replayed)
            return False
        self.outcome.decisions += 1
        return True

    def _diverge(self, recorded: ev.CaptureEvent | None, replayed: ev.CaptureEvent | None) -> None:
        position, preceding = self.outcome.events, list(self._preceding)
        self.outcome.divergence = Divergence(position, recorded, replayed, preceding)


def replay(events: Iterable[ev.CaptureEvent], replayer: Replayer | None = None) -> ReplayOutcome:
    """Feeds all inputs and compares each decision.

    Stops at the first difference or at a gap.
    """
    comparison = _Comparison(replayer or Replayer())
    started = perf_counter()
    for event in events:
        if not comparison.add(event):
            break
    comparison.outcome.elapsed_seconds = perf_counter() - started
    return comparison.outcome


def write_checkpoint_between(
    earlier: Iterable[ev.CaptureEvent], later: Iterable[ev.CaptureEvent], path: Path
) -> None:
    """Replays `earlier` and writes the state before the first input of `later`.

    Decisions of `later` before its first input belong to the last input of `earlier`. Raises
    `ReplayError` if a decision differs, and `CheckpointError`.
    """
    replayer = Replayer()
    for event in earlier:
        _feed_or_compare(replayer, event)
    for event in later:
        if isinstance(event, ev.InputEvent):
            if replayer.start is None:
                missing = "nothing stands before it"
                raise ReplayError(missing)
            save(path, event.time_ns, replayer)
            return
        _feed_or_compare(replayer, event)
    missing = "no input stands behind it"
    raise ReplayError(missing)


def _feed_or_compare(replayer: Replayer, event: ev.CaptureEvent) -> None:
    """Feeds an input or compares a decision. Raises `ReplayError` for a difference."""
    decisions = replayer.pending_decisions
    if isinstance(event, ev.InputEvent):
        is_same = not decisions
    else:
        is_same = bool(decisions) and decisions.popleft() == event
    if not is_same:
        difference = "a decision differs from the one of then"
        raise ReplayError(difference)
    if isinstance(event, ev.InputEvent):
        replayer.feed(event)

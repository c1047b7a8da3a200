"""Checkpoints with long lists of workers: between two slices of a check, and with many replicas."""

from __future__ import annotations

from itertools import dropwhile
from pathlib import Path
from random import Random

from martenlead.capture import events as ev
from martenlead.capture.checkpoint import load
from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.replay import replay, write_checkpoint_between
from martenlead.capture.replayer import Replayer
from tests.placement_rig import BUDGET
from tests.play import MS
from tests.virtual_fleet import Dispatcher, Fleet, facts_of_workers


def capture_run(workers: int, functions: int) -> list[ev.CaptureEvent]:
    """The events of a run with calls at most 2 ms apart, some of them between two slices of a check."""
    fleet, events, random = Fleet(range(workers)), list[ev.CaptureEvent](), Random(9)
    dispatcher = Dispatcher(fleet, 1, CaptureRecorder(events.append, "edge"), **BUDGET)
    dispatcher.update_workers(facts_of_workers(range(workers)), is_snapshot=True)
    dispatcher.start()
    for _ in range(1600):
        dispatcher.call(int(functions * random.random() ** 2))
        fleet.run_for(2 * MS if random.random() < 0.9 else 300_000)
    return events


def indexes_between_slices(events: list[ev.CaptureEvent]) -> list[int]:
    """The indexes of input events that come while functions of a period are still to be checked."""
    replayer, found = Replayer(), []
    for index, event in enumerate(events):
        if isinstance(event, ev.InputEvent):
            if replayer.start is not None and replayer.policy.scaling.unchecked:
                found.append(index)
            replayer.feed(event)
            replayer.pending_decisions.clear()
    return found


def test_a_replay_from_a_checkpoint_between_two_slices_makes_the_same_decisions(tmp_path: Path) -> None:
    """The rest of a capture is replayed from checkpoints at several indexes."""
    events = capture_run(2000, 90)
    assert replay(events).divergence is None
    indexes = indexes_between_slices(events)
    assert len(indexes) >= 3
    for index in indexes[:: max(1, len(indexes) // 4)]:
        write_checkpoint_between(events[:index], events[index:], tmp_path / "x.ckpt")
        rest = list(dropwhile(lambda e: not isinstance(e, ev.InputEvent), events[index:]))
        outcome = replay([load(tmp_path / "x.ckpt"), *rest])
        assert (outcome.divergence, outcome.stop_reason, outcome.events) == (None, "", len(rest) + 1)
        assert outcome.decisions > 100


def test_a_checkpoint_of_many_functions_and_workers_is_written_and_read(tmp_path: Path) -> None:
    """Functions and workers refer to each other through replicas, in a chain as long as the list."""
    events = capture_run(300, 300)
    index = len(events) - 50
    write_checkpoint_between(events[:index], events[index:], tmp_path / "x.ckpt")
    rest = list(dropwhile(lambda e: not isinstance(e, ev.InputEvent), events[index:]))
    outcome = replay([load(tmp_path / "x.ckpt"), *rest])
    assert (outcome.divergence, outcome.stop_reason, outcome.events) == (None, "", len(rest) + 1)

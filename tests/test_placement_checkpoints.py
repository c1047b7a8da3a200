"""Checkpoints over long lists of workers: between two slices of a check, and of many replicas."""

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
from tests.virtual_fleet import Dispatcher, Fleet, lines


def captured(workers: int, functions: int) -> list[ev.CaptureEvent]:
    """A life with calls in each millisecond, so that some fall between two slices of a check."""
    fleet, events, chance = Fleet(range(workers)), list[ev.CaptureEvent](), Random(9)
    dispatcher = Dispatcher(fleet, 1, CaptureRecorder(events.append, "edge"), **BUDGET)
    dispatcher.tell(lines(range(workers)), whole=True)
    dispatcher.begin()
    for _ in range(1600):
        dispatcher.call(int(functions * chance.random() ** 2))
        fleet.run_for(2 * MS if chance.random() < 0.9 else 300_000)
    return events


def places_between_slices(events: list[ev.CaptureEvent]) -> list[int]:
    """Where an input begins while functions of a period are still to be checked."""
    replayer, found = Replayer(), []
    for place, event in enumerate(events):
        if isinstance(event, ev.InputEvent):
            if replayer.start is not None and replayer.policy.scaling.unchecked:
                found.append(place)
            replayer.feed(event)
            replayer.pending_decisions.clear()
    return found


def test_a_checkpoint_between_two_slices_goes_on_with_the_same_decisions(tmp_path: Path) -> None:
    events = captured(2000, 90)
    assert replay(events).divergence is None
    places = places_between_slices(events)
    assert len(places) >= 3
    for place in places[:: max(1, len(places) // 4)]:
        write_checkpoint_between(events[:place], events[place:], tmp_path / "x.ckpt")
        rest = list(dropwhile(lambda e: not isinstance(e, ev.InputEvent), events[place:]))
        outcome = replay([load(tmp_path / "x.ckpt"), *rest])
        assert (outcome.divergence, outcome.stop_reason, outcome.events) == (None, "", len(rest) + 1)
        assert outcome.decisions > 100


def test_a_checkpoint_of_many_functions_and_workers_is_written_and_read(tmp_path: Path) -> None:
    """Functions and workers refer to each other through their replicas: a chain as long as the list."""
    events = captured(300, 300)
    place = len(events) - 50
    write_checkpoint_between(events[:place], events[place:], tmp_path / "x.ckpt")
    rest = list(dropwhile(lambda e: not isinstance(e, ev.InputEvent), events[place:]))
    outcome = replay([load(tmp_path / "x.ckpt"), *rest])
    assert (outcome.divergence, outcome.stop_reason, outcome.events) == (None, "", len(rest) + 1)

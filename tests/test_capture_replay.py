"""A captured run replays with the same decisions, and the first difference is shown."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.capture import events as ev
from martenlead.capture.reader import find_runs
from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.replay import replay
from martenlead.capture.replayer import Replayer
from martenlead.policy.policy import Policy
from support.fleet import (
    after_delay,
    close_connection,
    reject_at_capacity,
    reject_draining,
    respond_error,
    respond_ok,
    run_edge,
    silent,
)
from tests.capture_rig import CAPTURES

pytestmark = pytest.mark.anyio


async def played(**settings: Any) -> list[ev.CaptureEvent]:
    """A short troubled life of a real edge, on tape."""
    events: list[ev.CaptureEvent] = []
    parts = {
        "a": [respond_ok, respond_error, close_connection, after_delay(50, respond_ok)],
        "b": [reject_at_capacity, respond_ok, reject_draining],
    }
    async with run_edge(parts, recorder=CaptureRecorder(events.append, "edge"), **settings) as f:
        async with anyio.create_task_group() as group:
            for n in range(40):
                kind = ("estimate", "post", "notice")[n % 3]
                group.start_soon(lambda kind, n: f.call(kind, model=f"m{n % 4}", left=600), kind, n)
                await anyio.sleep(0.01)
            await f.publish_state("b", "gone")
        f.shared_behaviours = [silent]
        with anyio.move_on_after(0.05):
            await f.exchange("notice")
        await f.publish_state("a", "draining")
        await f.call("estimate", left=1)
        await anyio.sleep(0.3)
    return events


REPLAYS = """
import sys
from pathlib import Path
from martenlead.capture.replay import replay
from martenlead.capture.reader import find_runs
for run in find_runs([Path(sys.argv[1])]):
    told = replay(run.events())
    print("identical" if told.divergence is None and not told.stop_reason else told, told.decisions)
"""


async def test_a_troubled_life_replays_with_the_same_decisions() -> None:
    events = await played()
    outcome = replay(events)
    assert outcome.divergence is None
    assert (outcome.events, outcome.stop_reason) == (len(events), "")
    assert outcome.decisions > 40


async def test_nothing_reaches_the_module_around_the_border(monkeypatch: pytest.MonkeyPatch) -> None:
    calls: Counter[str] = Counter()
    inputs = {
        "record_result": ev.AttemptEnded,
        "record_load_end": ev.LoadEnded,
        "update_workers": ev.WorkersUpdated,
    }
    inputs |= {"close_request": ev.RequestClosed, "handle_request": ev.RequestAccepted}
    inputs |= {"new_worker": ev.WorkerAdded, "new_function": ev.FunctionAdded}
    for name in inputs:
        plain = getattr(Policy, name)

        def counted(self: Policy, *args: Any, _plain: Any = plain, _name: str = name) -> Any:
            calls[_name] += 1
            return _plain(self, *args)

        monkeypatch.setattr(Policy, name, counted)
    events = await played()
    written = Counter(type(event) for event in events)
    assert {name: calls[name] for name in inputs} == {name: written[kind] for name, kind in inputs.items()}


@pytest.mark.parametrize("path", sorted(CAPTURES.glob("*.mlc")), ids=lambda path: path.name.split("-17")[0])
def test_past_failures_decide_the_same(path: Path) -> None:
    outcome = replay(find_runs([path])[0].events())
    assert outcome.divergence is None
    assert outcome.stop_reason == ""
    assert outcome.decisions > 20


def test_hash_seeds_and_processes_make_no_difference() -> None:
    """Whatever text the module has by now: what it decided then it decides again."""
    told = set()
    for seed in ("0", "1", "4711"):
        done = subprocess.run(
            [sys.executable, "-c", REPLAYS, str(CAPTURES)],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 0, done.stderr
        assert done.stdout.count("identical") == 9, done.stdout
        told.add(done.stdout)
    assert len(told) == 1


def test_the_first_decision_that_differs_is_shown_with_what_was_before() -> None:
    events = list(find_runs([CAPTURES])[0].events())
    place = next(n for n, e in enumerate(events) if isinstance(e, ev.AttemptStarted) and n > 60)
    then = events[place]
    assert isinstance(then, ev.AttemptStarted)
    changed = ev.AttemptStarted(then.request, then.attempt, then.worker + 1, then.timeout_ns)
    outcome = replay([*events[:place], changed, *events[place + 1 :]])
    assert outcome.divergence is not None
    assert (outcome.divergence.position, outcome.divergence.recorded) == (place, changed)
    assert outcome.divergence.replayed == then
    assert outcome.divergence.preceding == events[place - 20 : place]
    left_out = replay([*events[:place], *events[place + 1 :]])
    assert left_out.divergence is not None
    assert (left_out.divergence.recorded, left_out.divergence.replayed) == (None, then)


def test_answers_late_twice_and_out_of_order_are_borne() -> None:
    events = list(find_runs([CAPTURES])[0].events())
    answers = [e for e in events if isinstance(e, ev.AttemptEnded)]
    end = max(e.time_ns for e in events if isinstance(e, ev.InputEvent))
    odd = [
        *events,
        *(
            ev.AttemptEnded(end + 1, a.request, a.attempt, a.result, True, a.warmth, a.latency_ns)
            for a in answers
        ),
    ]
    assert replay(odd).divergence is None
    swapped = Replayer()
    for event in sorted(
        (e for e in events if isinstance(e, ev.InputEvent)),
        key=lambda e: (e.time_ns // 5_000_000, -e.time_ns),
    ):
        if not isinstance(
            event,
            ev.RunStarted
            | ev.WorkerAdded
            | ev.FunctionAdded
            | ev.WorkersUpdated
            | ev.EngineStarted
            | ev.RequestAccepted
            | ev.RequestClosed,
        ):
            swapped.start and swapped.feed(event)
        elif isinstance(event, ev.RunStarted) or swapped.start:
            try:
                swapped.feed(event)
            except (IndexError, KeyError):
                break  # told of what had not been named yet: not a capture, and no wrong decision either

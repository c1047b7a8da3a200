"""A captured run replays with the same decisions, and the first difference is reported."""

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


async def record_run(**settings: Any) -> list[ev.CaptureEvent]:
    """Captures a short run of a real edge whose workers fail, drain and disconnect."""
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


REPLAY_SCRIPT = """
import sys
from pathlib import Path
from martenlead.capture.replay import replay
from martenlead.capture.reader import find_runs
for run in find_runs([Path(sys.argv[1])]):
    result = replay(run.events())
    print("identical" if result.divergence is None and not result.stop_reason else result, result.decisions)
"""


async def test_a_run_with_failures_replays_with_the_same_decisions() -> None:
    events = await record_run()
    outcome = replay(events)
    assert outcome.divergence is None
    assert (outcome.events, outcome.stop_reason) == (len(events), "")
    assert outcome.decisions > 40


async def test_every_input_of_the_policy_is_recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    calls: Counter[str] = Counter()
    inputs = {
        "record_result": ev.AttemptEnded,
        "record_load_end": ev.LoadEnded,
        "update_workers": ev.WorkersUpdated,
    }
    inputs |= {"close_request": ev.RequestClosed, "handle_request": ev.RequestAccepted}
    inputs |= {"new_worker": ev.WorkerAdded, "new_function": ev.FunctionAdded}
    for name in inputs:
        original = getattr(Policy, name)

        def counted(self: Policy, *args: Any, _plain: Any = original, _name: str = name) -> Any:
            calls[_name] += 1
            return _plain(self, *args)

        monkeypatch.setattr(Policy, name, counted)
    events = await record_run()
    recorded = Counter(type(event) for event in events)
    assert {name: calls[name] for name in inputs} == {name: recorded[kind] for name, kind in inputs.items()}


@pytest.mark.parametrize("path", sorted(CAPTURES.glob("*.mlc")), ids=lambda path: path.name.split("-17")[0])
def test_stored_captures_replay_with_the_same_decisions(path: Path) -> None:
    outcome = replay(find_runs([path])[0].events())
    assert outcome.divergence is None
    assert outcome.stop_reason == ""
    assert outcome.decisions > 20


def test_replays_do_not_depend_on_hash_seed_or_process() -> None:
    """Earlier versions of the policy wrote the stored captures; the present one has to decide the same."""
    outputs = set()
    for seed in ("0", "1", "4711"):
        done = subprocess.run(
            [sys.executable, "-c", REPLAY_SCRIPT, str(CAPTURES)],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 0, done.stderr
        assert done.stdout.count("identical") == 9, done.stdout
        outputs.add(done.stdout)
    assert len(outputs) == 1


def test_the_first_different_decision_is_reported_with_the_events_before() -> None:
    events = list(find_runs([CAPTURES])[0].events())
    position = next(n for n, e in enumerate(events) if isinstance(e, ev.AttemptStarted) and n > 60)
    recorded = events[position]
    assert isinstance(recorded, ev.AttemptStarted)
    changed = ev.AttemptStarted(recorded.request, recorded.attempt, recorded.worker + 1, recorded.timeout_ns)
    outcome = replay([*events[:position], changed, *events[position + 1 :]])
    assert outcome.divergence is not None
    assert (outcome.divergence.position, outcome.divergence.recorded) == (position, changed)
    assert outcome.divergence.replayed == recorded
    assert outcome.divergence.preceding == events[position - 20 : position]
    left_out = replay([*events[:position], *events[position + 1 :]])
    assert left_out.divergence is not None
    assert (left_out.divergence.recorded, left_out.divergence.replayed) == (None, recorded)


def test_late_duplicate_and_reordered_results_are_accepted() -> None:
    events = list(find_runs([CAPTURES])[0].events())
    results = [e for e in events if isinstance(e, ev.AttemptEnded)]
    end = max(e.time_ns for e in events if isinstance(e, ev.InputEvent))
    with_duplicates = [
        *events,
        *(
            ev.AttemptEnded(end + 1, a.request, a.attempt, a.result, True, a.warmth, a.latency_ns)
            for a in results
        ),
    ]
    assert replay(with_duplicates).divergence is None
    reordered = Replayer()
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
            reordered.start and reordered.feed(event)
        elif isinstance(event, ev.RunStarted) or reordered.start:
            try:
                reordered.feed(event)
            except (IndexError, KeyError):
                break  # the event refers to an object that has not appeared yet

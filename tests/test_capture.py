"""Captures: every byte of the file, the disk's failures, and replays that decide the same."""

from __future__ import annotations

import errno
import os
import pickle
import subprocess
import sys
import time
from collections import Counter
from itertools import dropwhile
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
import zstandard
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from martenlead.capture import events as ev
from martenlead.capture import format as fm
from martenlead.capture.checkpoint import Checkpoint, load
from martenlead.capture.explain import explain_request
from martenlead.capture.outcomes import summarize_outcomes
from martenlead.capture.reader import find_runs
from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.replay import replay, write_checkpoint_between
from martenlead.capture.replayer import Replayer
from martenlead.capture.run_folder import AlreadyLockedError
from martenlead.capture.what_if import compare_with_change, parse_setting_change
from martenlead.capture.writer import CaptureSettings, CaptureWriter
from martenlead.cli.main import commands
from martenlead.policy.policy import Policy
from support.fleet import after, closes, draining, error, fleet, full, satisfied, silent
from tests.play import SETTINGS

pytestmark = pytest.mark.anyio
CAPTURES = Path(__file__).parent / "captures"
ADVANCES = st.lists(st.builds(ev.Advance, st.integers(0, 2**40)), min_size=1, max_size=30)


async def played(**settings: Any) -> list[ev.CaptureEvent]:
    """A short troubled life of a real edge, on tape."""
    events: list[ev.CaptureEvent] = []
    parts = {"a": [satisfied, error, closes, after(50, satisfied)], "b": [full, satisfied, draining]}
    async with fleet(parts, tape=CaptureRecorder(events.append, "edge"), **settings) as f:
        async with anyio.create_task_group() as group:
            for n in range(40):
                kind = ("estimate", "post", "notice")[n % 3]
                group.start_soon(lambda kind, n: f.call(kind, model=f"m{n % 4}", left=600), kind, n)
                await anyio.sleep(0.01)
            await f.say("b", "gone")
        f.first = [silent]
        with anyio.move_on_after(0.05):
            await f.exchange("notice")
        await f.say("a", "draining")
        await f.call("estimate", left=1)
        await anyio.sleep(0.3)
    return events


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


REPLAYS = """
import sys
from pathlib import Path
from martenlead.capture.replay import replay
from martenlead.capture.reader import find_runs
for run in find_runs([Path(sys.argv[1])]):
    told = replay(run.events())
    print("identical" if told.divergence is None and not told.stop_reason else told, told.decisions)
"""


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


def test_a_what_if_claims_only_what_it_can_know() -> None:
    events = list(find_runs([CAPTURES / "garbage-1796000000000000000-000000.mlc"])[0].events())
    same = compare_with_change(events, lambda settings: settings)
    assert (same.moved, same.no_longer_sent, same.newly_sent, same.recorded_counts) == (
        0,
        0,
        0,
        same.replayed_counts,
    )
    once = compare_with_change(events, parse_setting_change("hand_offs=1"))
    assert once.replayed_counts["HandedOff"] < once.recorded_counts["HandedOff"]
    for bad in ("nothing=1", "hand_offs=many", "twice_out=1"):
        with pytest.raises(ValueError, match=bad.partition("=")[0]):
            compare_with_change(events, parse_setting_change(bad))


def test_the_story_of_a_task_and_the_causes_of_all() -> None:
    events = list(find_runs([CAPTURES / "answer-lost-1796000000000000000-000000.mlc"])[0].events())
    told = summarize_outcomes(events)
    assert (
        sum(told.outcomes.values()) == told.requests == sum(isinstance(e, ev.RequestAccepted) for e in events)
    )
    cause, names = next((cause, names) for cause, names in told.examples.items() if cause[0] != "satisfied")
    story = explain_request(events, names[0])
    text = "\n".join(line.split("ms  ")[-1].strip() for line in story)
    assert "ms left" in text
    assert "hand-off 0 to runner-" in text
    assert f"over: {cause[0]}" in text
    assert "credit" in text
    assert explain_request(events, "nobody") == []


# -- the format


def segment(*batches: list[ev.CaptureEvent], index: bool = True) -> bytes:
    packer, data, entries = fm.FrameEncoder(), fm.pack_header(0, 7, 0), []
    for batch in batches:
        entries.append(fm.index_entry(len(data), batch))
        data += packer.pack_events(batch)
    return data + (packer.pack_index(entries) if index else b"")


def read(data: bytes) -> list[ev.CaptureEvent]:
    return [event for frame in fm.Segment(data).frames() for event in frame.events()]


@given(st.lists(ADVANCES, min_size=1, max_size=4))
def test_what_was_written_is_read(batches: list[list[ev.CaptureEvent]]) -> None:
    assert read(segment(*batches)) == [event for batch in batches for event in batch]
    assert fm.Segment(segment(*batches)).index() == fm.Segment(segment(*batches, index=False)).index()


def test_cut_at_any_byte_it_gives_all_whole_frames_before() -> None:
    batches: list[list[ev.CaptureEvent]] = [[ev.Advance(n * 10 + m) for m in range(5)] for n in range(6)]
    data = segment(*batches)
    ends = [entry.offset for entry in fm.Segment(data).index()][1:]
    for cut in range(fm.HEADER_BYTES, len(data)):
        whole = sum(end <= cut for end in ends) + (cut >= len(segment(*batches, index=False)))
        assert read(data[:cut]) == [event for batch in batches[:whole] for event in batch]
    for cut in range(fm.HEADER_BYTES):
        with pytest.raises(fm.CaptureFormatError):
            read(data[:cut])


def test_a_flipped_bit_anywhere_never_gives_a_wrong_event() -> None:
    batches: list[list[ev.CaptureEvent]] = [[ev.Advance(n)] for n in range(4)]
    data, all_events = segment(*batches), [event for batch in batches for event in batch]
    for at in range(len(data)):
        broken = bytearray(data)
        broken[at] ^= 0x10
        try:
            found = read(bytes(broken))
        except fm.CaptureFormatError:
            continue
        assert found == all_events[: len(found)]


def test_a_newer_version_is_refused_by_name() -> None:
    data = bytearray(segment([ev.Advance(1)]))
    data[8] = fm.VERSION + 1
    with pytest.raises(
        fm.CaptureFormatError, match=f"version {fm.VERSION + 1} of the format.* up to {fm.VERSION}"
    ):
        read(bytes(data))


# -- the folder


def store(tmp_path: Path, **settings: Any) -> tuple[CaptureWriter, list[str]]:
    told: list[str] = []
    made = CaptureWriter(
        CaptureSettings(folder=str(tmp_path), **{"flush_ms": 5, **settings}),
        "edge",
        lambda what, _: told.append(what),
    )
    return made, told


def settle(made: CaptureWriter, written: int) -> None:
    end = time.monotonic() + 10
    while made.written < written and time.monotonic() < end:
        time.sleep(0.002)
    assert made.written >= written


def test_segments_turn_over_and_the_oldest_go_first(tmp_path: Path) -> None:
    made, told = store(tmp_path, segment_bytes=500, total_bytes=4000, checkpoints=False)
    for n in range(100):
        made.put(ev.FunctionAdded(n, n, os.urandom(40).hex(), "0", 1, 1.0))
        if n % 5 == 4:
            settle(made, n - 5)
    made.close()
    assert sum(p.stat().st_size for p in tmp_path.glob("*.mlc")) <= 4600
    assert "segment_removed" in told
    (run,) = find_runs([tmp_path])
    first, *rest = run.events()
    assert isinstance(first, ev.Gap)
    assert "are gone" in first.reason
    assert [e.function for e in rest if isinstance(e, ev.FunctionAdded)] == list(range(100))[-len(rest) :]
    assert replay(run.events()).stop_reason.startswith("some events are missing")


def test_a_full_queue_leaves_a_gap_and_never_waits(tmp_path: Path) -> None:
    made, _ = store(tmp_path, queue=10, flush_ms=100_000)
    for n in range(50):
        made.put(ev.Advance(n))
    assert made.dropped == 40
    made.queue.events.popleft()
    made.put(ev.Advance(99))
    made.close()
    gap = next(e for e in find_runs([tmp_path])[0].events() if isinstance(e, ev.Gap))
    assert (gap.time_ns, gap.until_ns, gap.dropped) == (10, 49, 40)


def test_a_full_disk_is_told_left_as_a_gap_and_got_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made, told = store(tmp_path)
    made.put(ev.Advance(1))
    settle(made, 1)
    plain = os.write

    def full_disk(descriptor: int, data: bytes) -> int:
        plain(descriptor, data[:7])  # part of it still goes
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "write", full_disk)
    for n in (2, 3):
        made.put(ev.Advance(n))
    while made.dropped < 2:
        time.sleep(0.002)
    monkeypatch.undo()
    made.put(ev.Advance(4))
    made.close()
    found = list(find_runs([tmp_path])[0].events())
    assert [type(e).__name__ for e in found] == ["Advance", "Gap", "Advance"]
    assert isinstance(found[1], ev.Gap)
    assert (found[1].time_ns, found[1].dropped) == (2, 2)
    assert told == ["capture_write_failed", "capture_resumed"]


def test_two_of_one_name_are_refused_and_two_names_share_a_folder(tmp_path: Path) -> None:
    made, _ = store(tmp_path)
    with pytest.raises(AlreadyLockedError, match="another dispatcher named edge writes there"):
        store(tmp_path)
    other = CaptureWriter(CaptureSettings(folder=str(tmp_path)), "other", lambda *_: None)
    for one in (made, other):
        one.put(ev.Advance(1))
        one.close()
    assert [run.name for run in find_runs([tmp_path])] == ["edge", "other"]
    again, _ = store(tmp_path)
    again.close()


def test_a_segment_removed_while_it_is_read_shows_as_missing(tmp_path: Path) -> None:
    made, _ = store(tmp_path, segment_bytes=1)
    for n in range(3):
        made.put(ev.Advance(n))
        settle(made, n + 1)
    made.close()
    (run,) = find_runs([tmp_path])
    events = run.events()
    assert next(events) == ev.Advance(0)
    run.paths[1].unlink()
    assert [type(e).__name__ for e in events] == ["Gap", "Advance"]


def test_the_command_line(tmp_path: Path) -> None:
    (tmp_path / "note.mlc").write_text("x")
    bad = CliRunner().invoke(commands, ["replay", str(tmp_path)])
    assert (bad.exit_code, bad.output.count("\n")) == (2, 1)
    one = str(CAPTURES / "drain-1796000000000000000-000000.mlc")
    for command in (
        ["stats", one],
        ["show", one],
        ["explain", "--scrapped", one],
        ["explain", "--task", "1", one],
    ):
        told = CliRunner().invoke(commands, ["capture", *command])
        assert told.exit_code == 0, told.output
        assert told.output
    assert CliRunner().invoke(commands, ["capture", "explain", "--task", "nobody", one]).exit_code == 1


# -- checkpoints


@pytest.mark.parametrize("path", sorted(CAPTURES.glob("*.mlc")), ids=lambda path: path.name.split("-17")[0])
def test_a_replay_goes_on_from_a_checkpoint_with_the_same_decisions(path: Path, tmp_path: Path) -> None:
    events = list(find_runs([path])[0].events())
    for place in range(50, len(events), max(1, len(events) // 8)):
        write_checkpoint_between(events[:place], events[place:], tmp_path / "x.ckpt")
        rest = list(dropwhile(lambda e: not isinstance(e, ev.InputEvent), events[place:]))
        outcome = replay([load(tmp_path / "x.ckpt"), *rest])
        assert (outcome.divergence, outcome.stop_reason, outcome.events) == (None, "", len(rest) + 1)


def test_a_checkpoint_is_checked_and_of_one_module_only(tmp_path: Path) -> None:
    events = list(find_runs([CAPTURES])[0].events())
    path = tmp_path / "x.ckpt"
    write_checkpoint_between(events[:100], events[100:], path)
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    (tmp_path / "y.ckpt").write_bytes(data)
    with pytest.raises(fm.CaptureFormatError, match="not with its checksum"):
        load(tmp_path / "y.ckpt")
    good = load(path)
    with pytest.raises(fm.CaptureFormatError, match="another version of the module"):
        replay([Checkpoint(good.time_ns, "other", good.state)])
    evil = zstandard.compress(pickle.dumps(os.system))
    with pytest.raises(fm.CaptureFormatError, match="none of ours"):
        replay([Checkpoint(good.time_ns, good.policy_hash, evil)])


def test_the_bound_on_disk_leaves_a_run_that_replays_from_its_checkpoint(tmp_path: Path) -> None:
    events = list(find_runs([CAPTURES / "retry-abuse-1796000000000000000-000000.mlc"])[0].events())
    made, told = store(tmp_path, segment_bytes=6000, total_bytes=20_000)
    for n, event in enumerate(events):
        made.put(event)
        if n % 400 == 399:
            settle(made, n - 400)
            while made.retention.checkpoint_process.is_running:
                time.sleep(0.01)
    made.close()
    assert "segment_removed" in told
    assert "checkpoint_failed" not in told
    (run,) = find_runs([tmp_path])
    assert run.paths[0].name.endswith("-000000.mlc") is False
    outcome = replay(run.events())
    assert (outcome.divergence, outcome.stop_reason, outcome.is_resumed) == (None, "", True)
    assert outcome.decisions > 100
    run.paths[0].with_suffix(".ckpt").unlink()
    assert "are gone" in replay(run.events()).stop_reason


def test_a_bench_day_is_captured_where_asked_for_and_replays(tmp_path: Path) -> None:
    settings = {
        "balancers": 1,
        "granularity": 0.002,
        "allowed": {"attempts-cap": 2, "cancel": True, "max-retry-after": 0.5, "retry-after": True},
        "classes": [{"name": "k", "on-time": 0.5, "give-up": 2.0, "effect": "read_like", "worth": 1.0}],
        "family-info": {"placement-calls": True, "linger-idle": 8.0, "tells-warm": True},
        "rules": {"cold-from": 0.2, "cold": 10.0, "fall-multiple": 2.5},
    }
    items = [{"runner": f"10.0.0.{n}:1", "status": "U", "heft": 1} for n in range(3)]
    batches: list[dict[str, Any]] = [
        {
            "clock": 5.0,
            "happened": [
                {"msg": "hello", "dispatcher": 2, "seed": 9, "profile-data": settings},
                {"msg": "update", "dispatcher": 2, "index": 1, "form": "C", "items": items},
            ],
        }
    ]
    for n in range(30):
        about = {"dispatcher": 2, "ref": f"{n:016x}"}
        clock = 6 + n / 10
        task = {"msg": "request", **about, "fn": f"{n % 3:016x}", "band": "k", "give-up-at": clock + 1.5}
        batches.append(
            {"clock": clock, "happened": [task, {"msg": "deadline-hit", "dispatcher": 2, "tag": "check"}]}
        )
        end = "served" if n % 4 else "no_connection"
        answer = {
            "msg": "closed-attempt",
            **about,
            "reason": end,
            "lag": 0.03,
            "terminal": bool(n % 4),
            "note": 1,
        }
        batches.append({"clock": clock + 0.05, "happened": [answer]})
    wire = b"".join(msgspec.json.encode(batch) + b"\n" for batch in batches)
    replies = []
    for more in ({}, {"MARTENLEAD_CAPTURE": str(tmp_path)}):
        command = [sys.executable, "-m", "martenlead.simulator_adapter"]
        done = subprocess.run(
            command, input=wire, env={**os.environ, **more}, capture_output=True, check=True
        )
        replies.append(done.stdout)
    assert replies[0] == replies[1]
    assert b"panic" not in replies[0]
    outcome = replay(find_runs([tmp_path])[0].events())
    assert (outcome.divergence, outcome.stop_reason, outcome.requests) == (None, "", 30)


def test_a_capture_of_another_module_is_a_what_if_and_no_divergence(tmp_path: Path) -> None:
    events = list(find_runs([CAPTURES])[0].events())
    assert isinstance(events[0], ev.RunStarted)
    other = msgspec.structs.replace(events[0], policy_hash="another")
    made, _ = store(tmp_path)
    for event in [other, *events[1:]]:
        made.put(event)
    made.close()
    told = CliRunner().invoke(commands, ["replay", str(tmp_path)])
    assert told.exit_code == 0
    assert "what if this module had decided" in told.output
    assert "0 first elsewhere, 0 not handed off at all" in told.output


def test_the_index_tells_of_each_task_where_it_stands() -> None:
    data = (CAPTURES / "drain-1796000000000000000-000000.mlc").read_bytes()
    found = fm.Segment(data)
    frames = {frame.offset: frame for frame in found.frames()}
    index = found.index()
    assert found.is_closed
    assert [entry.offset for entry in index] == list(frames)
    for entry in index:
        tasks = {n for event in frames[entry.offset].events() if (n := ev.request_number(event)) is not None}
        assert tasks == set(entry.requests)


def test_settings_of_another_version_are_read_as_far_as_they_are_known() -> None:
    """A planner and its edges are replaced one after the other."""
    told = ev.pack_settings(SETTINGS)
    newer = {**told, "a_setting_of_tomorrow": 1}
    older = {name: value for name, value in told.items() if name != "functions"}
    assert ev.unpack_settings(newer).keep_alive_ns == SETTINGS.keep_alive_ns
    assert ev.unpack_settings(older).function_limit == SETTINGS.function_limit

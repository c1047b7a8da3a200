"""What is reported of a capture: what-if comparisons, outcomes, one request's events, the commands."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from martenlead.capture import events as ev
from martenlead.capture.explain import explain_request
from martenlead.capture.outcomes import summarize_outcomes
from martenlead.capture.reader import find_runs
from martenlead.capture.what_if import compare_with_change, parse_setting_change
from martenlead.cli.main import commands
from tests.capture_rig import CAPTURES, store


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

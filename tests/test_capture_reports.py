"""Reports on a capture: what-if comparisons, outcomes, the explanation of a request, and the commands."""

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
from tests.capture_rig import CAPTURES, open_writer


def test_a_what_if_counts_differences_and_refuses_invalid_settings() -> None:
    events = list(find_runs([CAPTURES / "garbage-1796000000000000000-000000.mlc"])[0].events())
    same = compare_with_change(events, lambda settings: settings)
    assert (same.moved, same.no_longer_sent, same.newly_sent, same.recorded_counts) == (
        0,
        0,
        0,
        same.replayed_counts,
    )
    one_attempt = compare_with_change(events, parse_setting_change("hand_offs=1"))
    assert one_attempt.replayed_counts["HandedOff"] < one_attempt.recorded_counts["HandedOff"]
    for bad in ("nothing=1", "hand_offs=many", "twice_out=1"):
        with pytest.raises(ValueError, match=bad.partition("=")[0]):
            compare_with_change(events, parse_setting_change(bad))


def test_outcomes_are_grouped_by_cause_and_a_request_is_explained() -> None:
    events = list(find_runs([CAPTURES / "answer-lost-1796000000000000000-000000.mlc"])[0].events())
    found = summarize_outcomes(events)
    assert (
        sum(found.outcomes.values())
        == found.requests
        == sum(isinstance(e, ev.RequestAccepted) for e in events)
    )
    cause, names = next((cause, names) for cause, names in found.examples.items() if cause[0] != "satisfied")
    explanation = explain_request(events, names[0])
    text = "\n".join(line.split("ms  ")[-1].strip() for line in explanation)
    assert "ms left" in text
    assert "hand-off 0 to runner-" in text
    assert f"over: {cause[0]}" in text
    assert "credit" in text
    assert explain_request(events, "nobody") == []


def test_capture_commands_print_reports_and_set_exit_codes(tmp_path: Path) -> None:
    (tmp_path / "note.mlc").write_text("x")
    bad = CliRunner().invoke(commands, ["replay", str(tmp_path)])
    assert (bad.exit_code, bad.output.count("\n")) == (2, 1)
    capture = str(CAPTURES / "drain-1796000000000000000-000000.mlc")
    for command in (
        ["stats", capture],
        ["show", capture],
        ["explain", "--scrapped", capture],
        ["explain", "--task", "1", capture],
    ):
        result = CliRunner().invoke(commands, ["capture", *command])
        assert result.exit_code == 0, result.output
        assert result.output
    assert CliRunner().invoke(commands, ["capture", "explain", "--task", "nobody", capture]).exit_code == 1


def test_a_capture_of_another_policy_version_is_replayed_as_a_what_if(tmp_path: Path) -> None:
    events = list(find_runs([CAPTURES])[0].events())
    assert isinstance(events[0], ev.RunStarted)
    other = msgspec.structs.replace(events[0], policy_hash="another")
    writer, _ = open_writer(tmp_path)
    for event in [other, *events[1:]]:
        writer.put(event)
    writer.close()
    result = CliRunner().invoke(commands, ["replay", str(tmp_path)])
    assert result.exit_code == 0
    assert "what if this module had decided" in result.output
    assert "0 first elsewhere, 0 not handed off at all" in result.output

"""`martenlead replay`: replays captures and compares the decisions."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from martenlead.capture import events as ev
from martenlead.capture.format import CaptureFormatError
from martenlead.capture.reader import CaptureRun
from martenlead.capture.recorder import policy_hash
from martenlead.capture.replay import Divergence, replay
from martenlead.capture.what_if import compare_with_change, parse_setting_change
from martenlead.cli.capture_runs import (
    UNREADABLE_EXIT_CODE,
    find_runs_or_exit,
    format_event,
    paths_argument,
)


@click.command("replay")
@paths_argument
@click.option(
    "--set", "change", metavar="NAME=VALUE", help="report a what-if with this setting changed"
)
def replay_command(paths: tuple[Path, ...], change: str | None) -> None:
    """Replay captures and compare each decision.

    Exit 0 if all decisions are identical, 1 if one differs. With --set, or for a capture of another
    version of the policy, report the differences as a what-if.
    """
    is_identical = True
    for run in find_runs_or_exit(paths):
        try:
            if change or _has_other_policy(run):
                _print_what_if(run, change)
            else:
                is_identical &= _print_replay(run)
        except (CaptureFormatError, ValueError) as error:
            click.echo(f"{_run_label(run)}: {error}", err=True)
            sys.exit(UNREADABLE_EXIT_CODE)
    sys.exit(0 if is_identical else 1)


def _run_label(run: CaptureRun) -> str:
    return f"{run.name} {run.number}"


def _has_other_policy(run: CaptureRun) -> bool:
    first = next(iter(run.events()), None)
    return isinstance(first, ev.RunStarted) and first.policy_hash != policy_hash()


def _print_replay(run: CaptureRun) -> bool:
    """Replays a run, prints the result, and returns whether its decisions are identical."""
    name, outcome = _run_label(run), replay(run.events())
    replayed = f"{outcome.requests} tasks, {outcome.events} events, {outcome.decisions} decisions"
    if outcome.divergence is not None:
        _print_divergence(name, outcome.divergence)
        return False
    if outcome.stop_reason:
        stopped = f"{replayed}; stopped: {outcome.stop_reason}"
        click.echo(f"{name}: identical as far as it goes: {stopped}")
        return outcome.events > 0
    elapsed = outcome.elapsed_seconds
    speed = outcome.recorded_seconds / elapsed if elapsed else 0.0
    since = " since a checkpoint" if outcome.is_resumed else ""
    torn = f"; {run.torn_bytes} bytes torn at its end" if run.torn_bytes else ""
    click.echo(f"{name}: identical{since}: {replayed}, {speed:.0f} times as fast as it was{torn}")
    return True


def _print_divergence(name: str, divergence: Divergence) -> None:
    click.echo(f"{name}: differs at event {divergence.position}")
    for event in divergence.preceding:
        click.echo(f"    {format_event(event)}")
    click.echo(f"  then {format_event(divergence.recorded)}")
    click.echo(f"  now  {format_event(divergence.replayed)}")


def _print_what_if(run: CaptureRun, change: str | None) -> None:
    change_settings = parse_setting_change(change) if change else lambda settings: settings
    found = compare_with_change(run.events(), change_settings)
    premise = change or "this module had decided"
    click.echo(f"{_run_label(run)}: what if {premise}: answers are those of then, wherever a")
    click.echo("  task would have gone; behind its first difference a task shows a tendency only")
    moved = f"{found.moved} first elsewhere, {found.no_longer_sent} not handed off at all,"
    click.echo(f"  of {found.requests} tasks {moved}")
    click.echo(f"  {found.newly_sent} handed off that were not")
    for kind in sorted(found.recorded_counts.keys() | found.replayed_counts.keys()):
        recorded, replayed = found.recorded_counts[kind], found.replayed_counts[kind]
        click.echo(f"  {kind:12} {recorded:8} then {replayed:8} now")
    for example in found.examples:
        click.echo(f"    {example}")
    if found.stop_reason:
        click.echo(f"  stopped: {found.stop_reason}")

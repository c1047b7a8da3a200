from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import click
import msgspec

from martenlead.capture import events as ev
from martenlead.capture.checkpoint import CheckpointError, checkpoint_path
from martenlead.capture.explain import OutcomeSummary, explain_request, summarize_outcomes
from martenlead.capture.format import CaptureFormatError, Segment
from martenlead.capture.recorder import policy_hash
from martenlead.capture.replay import (
    Divergence,
    ReplayError,
    compare_with_change,
    parse_setting_change,
    replay,
    write_checkpoint_between,
)
from martenlead.capture.writer import CaptureRun, find_runs

PATHS = click.argument("paths", type=click.Path(path_type=Path, exists=True), nargs=-1, required=True)


def found(paths: tuple[Path, ...]) -> list[CaptureRun]:
    try:
        return find_runs(list(paths))
    except CaptureFormatError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


def line(event: ev.CaptureEvent | None) -> str:
    if event is None:
        return "nothing"
    fields = {
        stored: getattr(event, name)
        for stored, name in zip(event.__struct_encode_fields__, event.__struct_fields__, strict=True)
    }
    return f"{ev.kind_name(event)} {msgspec.json.encode(fields).decode()}"


@click.command("replay")
@PATHS
@click.option(
    "--set", "change", metavar="NAME=VALUE", help="a what-if: with this setting in place of its own"
)
def replay_command(paths: tuple[Path, ...], change: str | None) -> None:
    """Replay captures and compare each decision. Exit 0 if all are identical, 1 at the first that is not.

    With --set, or with another version of the module, the differences are reported as a what-if."""
    bad = False
    for run in found(paths):
        name = f"{run.name} {run.number}"
        try:
            first = next(iter(run.events()), None)
            other = isinstance(first, ev.RunStarted) and first.policy_hash != policy_hash()
            if change or other:
                _what_if(name, run, change)
                continue
            outcome = replay(run.events())
        except (CaptureFormatError, ValueError) as error:
            click.echo(f"{name}: {error}", err=True)
            sys.exit(2)
        told = f"{outcome.requests} tasks, {outcome.events} events, {outcome.decisions} decisions"
        speed = outcome.recorded_seconds / outcome.elapsed_seconds if outcome.elapsed_seconds else 0.0
        torn = f"; {run.torn_bytes} bytes torn at its end" if run.torn_bytes else ""
        if outcome.divergence is not None:
            bad = True
            _diverged(name, outcome.divergence)
        elif outcome.stop_reason:
            bad = bad or not outcome.events
            click.echo(f"{name}: identical as far as it goes: {told}; stopped: {outcome.stop_reason}")
        else:
            since = " since a checkpoint" if outcome.is_resumed else ""
            click.echo(f"{name}: identical{since}: {told}, {speed:.0f} times as fast as it was{torn}")
    sys.exit(1 if bad else 0)


def _diverged(name: str, divergence: Divergence) -> None:
    click.echo(f"{name}: differs at event {divergence.position}")
    for event in divergence.preceding:
        click.echo(f"    {line(event)}")
    click.echo(f"  then {line(divergence.recorded)}")
    click.echo(f"  now  {line(divergence.replayed)}")


def _what_if(name: str, run: CaptureRun, change: str | None) -> None:
    told = compare_with_change(
        run.events(), parse_setting_change(change) if change else lambda settings: settings
    )
    click.echo(
        f"{name}: what if {change or 'this module had decided'}: answers are those of then, wherever a"
    )
    click.echo("  task would have gone; behind its first difference a task shows a tendency only")
    click.echo(
        f"  of {told.requests} tasks {told.moved} first elsewhere,"
        f" {told.no_longer_sent} not handed off at all,"
    )
    click.echo(f"  {told.newly_sent} handed off that were not")
    for kind in sorted(told.recorded_counts.keys() | told.replayed_counts.keys()):
        click.echo(f"  {kind:12} {told.recorded_counts[kind]:8} then {told.replayed_counts[kind]:8} now")
    for example in told.examples:
        click.echo(f"    {example}")
    if told.stop_reason:
        click.echo(f"  stopped: {told.stop_reason}")


@click.group()
def capture() -> None:
    """Read what dispatchers were told and decided."""


@capture.command()
@PATHS
def show(paths: tuple[Path, ...]) -> None:
    """Every event, a line each."""
    for run in found(paths):
        for event in run.events():
            click.echo(line(event))


@capture.command()
@PATHS
def stats(paths: tuple[Path, ...]) -> None:
    """Counts and bytes by kind of event."""
    for run in found(paths):
        counts: Counter[str] = Counter()
        size: Counter[str] = Counter()
        for event in run.events():
            counts[ev.kind_name(event)] += 1
            size[ev.kind_name(event)] += len(ev.encode(event))
        disk = sum(path.stat().st_size for path in run.paths)
        tasks = max(1, counts["Take"])
        click.echo(f"{run.name} {run.number}: {len(run.paths)} segments, {disk} bytes, {run.torn_bytes} torn")
        for kind, n in counts.most_common():
            click.echo(f"  {kind:12} {n:9} events {size[kind]:12} bytes")
        click.echo(f"  a task: {sum(size.values()) / tasks:.0f} bytes packed, {disk / tasks:.0f} on disk")


@capture.command()
@PATHS
@click.option("--task", help="an event's id, its source and id, or a number in the capture")
@click.option("--scrapped", is_flag=True, help="group all tasks that were not satisfied by cause")
def explain(paths: tuple[Path, ...], task: str | None, scrapped: bool) -> None:
    """The story of one task, or the causes of all that were not satisfied, over all captures given."""
    if bool(task) == scrapped:
        raise click.UsageError("one of --task and --scrapped is wanted")
    told = OutcomeSummary()
    any_line = False
    for run in found(paths):
        if task:
            lines = explain_request(run.events(), task)
            if lines:
                any_line = True
                click.echo(f"{run.name} {run.number}")
            for one in lines:
                click.echo(f"  {one}")
        else:
            summarize_outcomes(run.events(), told)
    if scrapped:
        click.echo("\n".join(told.format_lines()))
    elif not any_line:
        click.echo(f"no task {task!r} in these captures", err=True)
        sys.exit(1)


@capture.command()
@click.argument("segment", type=click.Path(path_type=Path, exists=True))
def checkpoint(segment: Path) -> None:
    """Write the state before a segment, so that it replays when those before it are gone.

    Edges do this by themselves before the bound on disk removes a segment."""
    (one,) = found((segment,))
    try:
        run = next(r for r in find_runs([segment.parent]) if (r.name, r.number) == (one.name, one.number))
        at = [path.name for path in run.paths].index(segment.name)
        earlier = CaptureRun(run.name, run.number, run.paths[:at])
        later = (event for frame in Segment(segment.read_bytes()).frames() for event in frame.events())
        write_checkpoint_between(earlier.events(), later, checkpoint_path(segment))
    except (CaptureFormatError, ReplayError, CheckpointError) as error:
        click.echo(f"{segment}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{checkpoint_path(segment)}")

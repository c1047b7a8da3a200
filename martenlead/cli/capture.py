"""`martenlead capture`: shows, summarizes and explains captures, and makes checkpoints."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import click

from martenlead.capture import events as ev
from martenlead.capture.checkpoint import CheckpointError, checkpoint_path
from martenlead.capture.explain import explain_request
from martenlead.capture.format import CaptureFormatError, Segment
from martenlead.capture.outcomes import OutcomeSummary, summarize_outcomes
from martenlead.capture.reader import CaptureRun, find_runs
from martenlead.capture.replay import write_checkpoint_between
from martenlead.capture.replayer import ReplayError
from martenlead.cli.capture_runs import find_runs_or_exit, format_event, paths_argument

REQUEST_KIND = "Take"  # the documented name of `RequestAccepted`


@click.group()
def capture() -> None:
    """Read the recorded inputs and decisions of dispatchers."""


@capture.command()
@paths_argument
def show(paths: tuple[Path, ...]) -> None:
    """Print every event on a line of its own."""
    for run in find_runs_or_exit(paths):
        for event in run.events():
            click.echo(format_event(event))


@capture.command()
@paths_argument
def stats(paths: tuple[Path, ...]) -> None:
    """Print counts and bytes by kind of event."""
    for run in find_runs_or_exit(paths):
        _print_stats(run)


def _print_stats(run: CaptureRun) -> None:
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for event in run.events():
        counts[ev.kind_name(event)] += 1
        sizes[ev.kind_name(event)] += len(ev.encode(event))
    disk_bytes = sum(path.stat().st_size for path in run.paths)
    requests = max(1, counts[REQUEST_KIND])
    files = f"{len(run.paths)} segments, {disk_bytes} bytes, {run.torn_bytes} torn"
    click.echo(f"{run.name} {run.number}: {files}")
    for kind, count in counts.most_common():
        click.echo(f"  {kind:12} {count:9} events {sizes[kind]:12} bytes")
    packed_bytes = sizes.total() / requests
    click.echo(f"  a task: {packed_bytes:.0f} bytes packed, {disk_bytes / requests:.0f} on disk")


@capture.command()
@paths_argument
@click.option(
    "--task",
    "request",
    help="the event's id, its source and id, or the request's number in the capture",
)
@click.option(
    "--scrapped", "by_cause", is_flag=True, help="group all requests that did not succeed by cause"
)
def explain(paths: tuple[Path, ...], request: str | None, by_cause: bool) -> None:
    """Explain one request, or group all requests that did not succeed by cause."""
    if bool(request) == by_cause:
        error = "one of --task and --scrapped is wanted"
        raise click.UsageError(error)
    runs = find_runs_or_exit(paths)
    if request:
        _explain_request(runs, request)
        return
    summary = OutcomeSummary()
    for run in runs:
        summarize_outcomes(run.events(), summary)
    click.echo("\n".join(summary.format_lines()))


def _explain_request(runs: list[CaptureRun], request: str) -> None:
    """Prints what happened to a request; exits 1 if no capture has it."""
    is_found = False
    for run in runs:
        lines = explain_request(run.events(), request)
        if lines:
            is_found = True
            click.echo(f"{run.name} {run.number}")
        for line in lines:
            click.echo(f"  {line}")
    if not is_found:
        click.echo(f"no task {request!r} in these captures", err=True)
        sys.exit(1)


@capture.command()
@click.argument("segment", type=click.Path(path_type=Path, exists=True))
def checkpoint(segment: Path) -> None:
    """Write the state before a segment, so that it replays after earlier ones are removed.

    Edges do this automatically before the disk limit removes a segment.
    """
    (segment_run,) = find_runs_or_exit((segment,))
    try:
        _write_checkpoint(segment_run, segment)
    except (CaptureFormatError, ReplayError, CheckpointError) as error:
        click.echo(f"{segment}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{checkpoint_path(segment)}")


def _write_checkpoint(segment_run: CaptureRun, segment: Path) -> None:
    """Replays the run up to the segment; `segment_run` has this segment only."""
    key = segment_run.name, segment_run.number
    run = next(r for r in find_runs([segment.parent]) if (r.name, r.number) == key)
    position = [path.name for path in run.paths].index(segment.name)
    earlier = CaptureRun(run.name, run.number, run.paths[:position])
    frames = Segment(segment.read_bytes()).frames()
    later = (event for frame in frames for event in frame.events())
    write_checkpoint_between(earlier.events(), later, checkpoint_path(segment))

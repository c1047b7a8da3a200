from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import click
import msgspec

from martenlead.capture import events as ev
from martenlead.capture.checkpoint import CannotWrite, path_of
from martenlead.capture.explain import Books, books, explain_task
from martenlead.capture.format import BadCapture, Segment
from martenlead.capture.replay import Divergence, Unreplayable, checkpoint_between, replay, setting, what_if
from martenlead.capture.store import Run, runs
from martenlead.capture.tape import module_hash

PATHS = click.argument("paths", type=click.Path(path_type=Path, exists=True), nargs=-1, required=True)


def found(paths: tuple[Path, ...]) -> list[Run]:
    try:
        return runs(list(paths))
    except BadCapture as error:
        click.echo(str(error), err=True)
        sys.exit(2)


def line(event: ev.Event | None) -> str:
    if event is None:
        return "nothing"
    fields = {name: getattr(event, name) for name in event.__struct_fields__}
    return f"{type(event).__name__} {msgspec.json.encode(fields).decode()}"


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
        name = f"{run.name} {run.run}"
        try:
            first = next(iter(run.events()), None)
            other = isinstance(first, ev.Start) and first.module != module_hash()
            if change or other:
                _what_if(name, run, change)
                continue
            outcome = replay(run.events())
        except (BadCapture, ValueError) as error:
            click.echo(f"{name}: {error}", err=True)
            sys.exit(2)
        told = f"{outcome.tasks} tasks, {outcome.events} events, {outcome.decisions} decisions"
        speed = outcome.seconds / outcome.took if outcome.took else 0.0
        torn = f"; {run.torn} bytes torn at its end" if run.torn else ""
        if outcome.divergence is not None:
            bad = True
            _diverged(name, outcome.divergence)
        elif outcome.stopped:
            bad = bad or not outcome.events
            click.echo(f"{name}: identical as far as it goes: {told}; stopped: {outcome.stopped}")
        else:
            since = " since a checkpoint" if outcome.resumed else ""
            click.echo(f"{name}: identical{since}: {told}, {speed:.0f} times as fast as it was{torn}")
    sys.exit(1 if bad else 0)


def _diverged(name: str, divergence: Divergence) -> None:
    click.echo(f"{name}: differs at event {divergence.place}")
    for event in divergence.before:
        click.echo(f"    {line(event)}")
    click.echo(f"  then {line(divergence.recorded)}")
    click.echo(f"  now  {line(divergence.made)}")


def _what_if(name: str, run: Run, change: str | None) -> None:
    told = what_if(run.events(), setting(change) if change else lambda settings: settings)
    click.echo(
        f"{name}: what if {change or 'this module had decided'}: answers are those of then, wherever a"
    )
    click.echo("  task would have gone; behind its first difference a task shows a tendency only")
    click.echo(
        f"  of {told.tasks} tasks {told.elsewhere} first elsewhere, {told.not_sent} not handed off at all,"
    )
    click.echo(f"  {told.sent} handed off that were not")
    for kind in sorted(told.then.keys() | told.now.keys()):
        click.echo(f"  {kind:12} {told.then[kind]:8} then {told.now[kind]:8} now")
    for example in told.examples:
        click.echo(f"    {example}")
    if told.stopped:
        click.echo(f"  stopped: {told.stopped}")


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
            counts[type(event).__name__] += 1
            size[type(event).__name__] += len(ev.encode(event))
        disk = sum(path.stat().st_size for path in run.paths)
        tasks = max(1, counts["Take"])
        click.echo(f"{run.name} {run.run}: {len(run.paths)} segments, {disk} bytes, {run.torn} torn")
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
    told = Books()
    any_line = False
    for run in found(paths):
        if task:
            lines = explain_task(run.events(), task)
            if lines:
                any_line = True
                click.echo(f"{run.name} {run.run}")
            for one in lines:
                click.echo(f"  {one}")
        else:
            books(run.events(), told)
    if scrapped:
        click.echo("\n".join(told.table()))
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
        run = next(r for r in runs([segment.parent]) if (r.name, r.run) == (one.name, one.run))
        at = [path.name for path in run.paths].index(segment.name)
        earlier = Run(run.name, run.run, run.paths[:at])
        later = (event for frame in Segment(segment.read_bytes()).frames() for event in frame.events())
        checkpoint_between(earlier.events(), later, path_of(segment))
    except (BadCapture, Unreplayable, CannotWrite) as error:
        click.echo(f"{segment}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{path_of(segment)}")

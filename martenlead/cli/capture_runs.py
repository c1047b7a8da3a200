"""Shared by the sub-commands that read captures: finding runs and formatting events."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from martenlead.capture import events as ev
from martenlead.capture.format import CaptureFormatError
from martenlead.capture.reader import CaptureRun, find_runs

UNREADABLE_EXIT_CODE = 2

paths_argument = click.argument(
    "paths", type=click.Path(path_type=Path, exists=True), nargs=-1, required=True
)


def find_runs_or_exit(paths: tuple[Path, ...]) -> list[CaptureRun]:
    """Finds the runs in files and folders; exits if one cannot be read."""
    try:
        return find_runs(list(paths))
    except CaptureFormatError as error:
        click.echo(str(error), err=True)
        sys.exit(UNREADABLE_EXIT_CODE)


def format_event(event: ev.CaptureEvent | None) -> str:
    """Formats an event as one line, with the stored names of its fields."""
    if event is None:
        return "nothing"
    names = zip(event.__struct_encode_fields__, event.__struct_fields__, strict=True)
    fields = {stored_name: getattr(event, name) for stored_name, name in names}
    return f"{ev.kind_name(event)} {msgspec.json.encode(fields).decode()}"

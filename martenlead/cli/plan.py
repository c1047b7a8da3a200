"""`martenlead plan`: runs a planner."""

# ruff: noqa: PLC0415 - no other sub-command needs the planner's server

from __future__ import annotations

import sys
from pathlib import Path

import anyio
import click

from martenlead.cli.output import print_ready
from martenlead.config.load import load
from martenlead.planner.settings import PlannerSettings
from martenlead.system.log import configure_log


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
def plan(config: Path) -> None:
    """Run a planner. It prints its port as JSON on standard output; SIGTERM ends it."""
    from martenlead.planner.server import serve

    settings = load(config, PlannerSettings)
    configure_log()
    try:
        anyio.run(serve, settings, print_ready, backend_options={"use_uvloop": True})
    except* OSError as errors:
        click.echo(f"{config}: $.listen: {errors.exceptions[0]}", err=True)
        sys.exit(1)

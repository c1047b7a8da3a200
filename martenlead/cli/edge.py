from __future__ import annotations

import sys
from pathlib import Path

import click

from martenlead.config.edge import read
from martenlead.edge.serve import run


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
def edge(config: Path) -> None:
    """Run one dispatcher. Its port is told as JSON on standard output."""

    def started(port: int) -> None:
        click.echo(f'{{"ready": {{"port": {port}}}}}')

    settings = read(config)
    try:
        run(settings, started)
    except* OSError as errors:
        click.echo(f"{config}: $.listen: {errors.exceptions[0]}", err=True)
        sys.exit(1)

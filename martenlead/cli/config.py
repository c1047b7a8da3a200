from __future__ import annotations

from pathlib import Path

import click
import msgspec

from martenlead.config.edge import Edge, read
from martenlead.config.load import schema


@click.group()
def config() -> None:
    """Check, show and describe the settings of an edge."""


@config.command()
@click.argument("config", type=click.Path(path_type=Path))
def check(config: Path) -> None:
    """Exit 0 if the settings are good; else one line and 2."""
    read(config)
    click.echo(f"{config}: good")


@config.command()
@click.argument("config", type=click.Path(path_type=Path))
def show(config: Path) -> None:
    """All settings as they hold, defaults and templates filled in, as JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(read(config))).decode())


@config.command("schema")
def show_schema() -> None:
    """The JSON Schema of the settings."""
    click.echo(msgspec.json.format(msgspec.json.encode(schema(Edge))).decode())

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import msgspec

from martenlead.config.edge import EdgeSettings, read_edge_settings
from martenlead.config.load import build_json_schema, load
from martenlead.days.script import Day
from martenlead.layers.agent import AgentSettings
from martenlead.layers.samples import Samples
from martenlead.planner.server import PlannerSettings

KINDS: dict[str, type[Any]] = {
    "edge": EdgeSettings,
    "agent": AgentSettings,
    "day": Day,
    "samples": Samples,
    "planner": PlannerSettings,
}
OF = click.option(
    "--of", "kind", type=click.Choice(list(KINDS)), default="edge", show_default=True, help="whose settings"
)


def read_as(kind: str, path: Path) -> Any:
    return read_edge_settings(path) if kind == "edge" else load(path, KINDS[kind])


@click.group()
def config() -> None:
    """Check, show and describe settings."""


@config.command()
@OF
@click.argument("config", type=click.Path(path_type=Path))
def check(kind: str, config: Path) -> None:
    """Exit 0 if the settings are good; else one line and 2."""
    read_as(kind, config)
    click.echo(f"{config}: good")


@config.command()
@OF
@click.argument("config", type=click.Path(path_type=Path))
def show(kind: str, config: Path) -> None:
    """All settings as they hold, defaults and templates filled in, as JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(read_as(kind, config))).decode())


@config.command("schema")
@OF
def show_schema(kind: str) -> None:
    """The JSON Schema of the settings."""
    click.echo(msgspec.json.format(msgspec.json.encode(build_json_schema(KINDS[kind]))).decode())

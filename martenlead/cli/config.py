"""`martenlead config`: checks and prints settings, and prints their JSON Schema."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from martenlead.cli.output import print_json
from martenlead.config.edge import EdgeSettings, read_edge_settings
from martenlead.config.load import build_json_schema, load
from martenlead.days.script import Day
from martenlead.layers.samples import Samples
from martenlead.layers.settings import AgentSettings
from martenlead.planner.settings import PlannerSettings

KINDS: dict[str, type[msgspec.Struct]] = {
    "edge": EdgeSettings,
    "agent": AgentSettings,
    "day": Day,
    "samples": Samples,
    "planner": PlannerSettings,
}
kind_option = click.option(
    "--of",
    "kind",
    type=click.Choice(list(KINDS)),
    default="edge",
    show_default=True,
    help="kind of settings",
)


def read_settings(kind: str, path: Path) -> msgspec.Struct:
    """Reads settings of a kind from a Jsonnet file. Raises `ConfigError`."""
    return read_edge_settings(path) if kind == "edge" else load(path, KINDS[kind])


@click.group()
def config() -> None:
    """Check settings, print them, or print their JSON Schema."""


@config.command()
@kind_option
@click.argument("config", type=click.Path(path_type=Path))
def check(kind: str, config: Path) -> None:
    """Check settings. Exit 0 if they are valid, else print one line and exit 2."""
    read_settings(kind, config)
    click.echo(f"{config}: good")


@config.command()
@kind_option
@click.argument("config", type=click.Path(path_type=Path))
def show(kind: str, config: Path) -> None:
    """Print all effective settings, including defaults and templates, as JSON."""
    print_json(read_settings(kind, config))


@config.command("schema")
@kind_option
def show_schema(kind: str) -> None:
    """Print the JSON Schema of the settings."""
    print_json(build_json_schema(KINDS[kind]))

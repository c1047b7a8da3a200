"""`martenlead`: the sub-commands, and the one-line report of an invalid configuration."""

from __future__ import annotations

import sys

import click

from martenlead.cli.call import call
from martenlead.cli.capture import capture
from martenlead.cli.config import config
from martenlead.cli.day import day
from martenlead.cli.edge import edge
from martenlead.cli.emulate import emulate
from martenlead.cli.experiment import experiment
from martenlead.cli.layers import layers
from martenlead.cli.limits import limits
from martenlead.cli.plan import plan
from martenlead.cli.replay import replay_command
from martenlead.cli.standin import standin
from martenlead.cli.state import state
from martenlead.cli.status import status
from martenlead.cli.trace import trace
from martenlead.config.load import ConfigError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="martenlead")
def commands() -> None:
    """A gateway that runs requests on workers, which load functions on demand."""


SUB_COMMANDS = (
    edge,
    plan,
    status,
    limits,
    day,
    emulate,
    experiment,
    trace,
    state,
    config,
    standin,
    call,
    replay_command,
    capture,
    layers,
)
for command in SUB_COMMANDS:
    commands.add_command(command)


def main() -> None:
    """Runs a sub-command; prints one line and exits 2 for an invalid configuration."""
    try:
        commands()
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)

"""What several sub-commands print in the same way."""

from __future__ import annotations

import click
import msgspec


def format_json(value: object) -> bytes:
    """A value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value))


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    click.echo(format_json(value).decode())


def print_ready(port: int) -> None:
    """Tells whoever started this process the port that it listens on."""
    click.echo(f'{{"ready": {{"port": {port}}}}}')

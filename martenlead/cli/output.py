"""Output that several sub-commands have in common."""

from __future__ import annotations

import click
import msgspec


def format_json(value: object) -> bytes:
    """Formats a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value))


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    click.echo(format_json(value).decode())


def print_ready(port: int) -> None:
    """Prints the port that this process listens on, for the process that started it."""
    click.echo(f'{{"ready": {{"port": {port}}}}}')

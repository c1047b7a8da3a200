"""`martenlead standin`: runs one stand-in of a client or of a service that an edge uses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import click

from martenlead.config.load import load
from martenlead.standins import client, depot, roster, runner, settings, vault

# kind -> type of its settings and the function that runs it; `Any`, as each takes only its own type
KINDS: dict[str, tuple[type[Any], Callable[[Any], Awaitable[None]]]] = {
    "runner": (settings.WorkerHostSettings, runner.run),
    "roster": (settings.EndpointServerSettings, roster.run),
    "vault": (settings.TimedStoreSettings, vault.run),
    "depot": (settings.ArtifactStoreSettings, depot.run),
    "client": (settings.ClientsSettings, client.run),
}


@click.command()
@click.argument("kind", type=click.Choice(list(KINDS)))
@click.argument("config", type=click.Path(path_type=Path))
def standin(kind: str, config: Path) -> None:
    """Run one stand-in process."""
    settings_type, run = KINDS[kind]
    anyio.run(run, load(config, settings_type), backend_options={"use_uvloop": True})

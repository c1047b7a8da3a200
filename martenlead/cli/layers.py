"""`martenlead layers`: packs, verifies and compares chunked images, and runs an agent."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import NoReturn

import anyio
import click

from martenlead.cli.output import print_ready
from martenlead.config.load import ConfigError, load
from martenlead.events.server import listen
from martenlead.layers import image, samples
from martenlead.layers.agent import Agent
from martenlead.layers.cache import Cache, CacheRefusedError
from martenlead.layers.settings import AgentSettings
from martenlead.system.log import configure_log

BYTES_PER_KB = 1024


@click.group()
def layers() -> None:
    """Work with chunked images of functions, or run a worker's agent."""


folder_argument = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))


@layers.command()
@folder_argument
@click.argument("ref")
@click.argument(
    "files", type=click.Path(path_type=Path, exists=True, dir_okay=False), nargs=-1, required=True
)
@click.option(
    "--cut", type=click.Choice(["content", "fixed"]), default="content", show_default=True
)
@click.option("--average-kb", type=click.IntRange(1, 16_384), default=256, show_default=True)
@click.option(
    "--level",
    type=click.IntRange(0, 19),
    default=3,
    show_default=True,
    help="Zstandard compression level; 0: uncompressed",
)
def pack(
    folder: Path, ref: str, files: tuple[Path, ...], cut: str, average_kb: int, level: int
) -> None:
    """Pack FILES as an image in an OCI image layout and name it REF."""
    cutting = image.Cutting(
        "fixed" if cut == "fixed" else "content", average_kb * BYTES_PER_KB, level
    )
    try:
        packed = image.pack(image.Layout(folder), ref, list(files), cutting)
    except (OSError, image.BadImageError) as error:
        _fail(f"{folder}: {error}")
    new = f"{packed.new_chunks} of {packed.chunks} chunks new, {packed.new_bytes} bytes"
    click.echo(f"{ref} {packed.manifest.digest}: {packed.size} bytes, {new}")


@layers.command()
@folder_argument
@click.argument("config", type=click.Path(path_type=Path))
def make(folder: Path, config: Path) -> None:
    """Generate sample functions as CONFIG describes, and pack them.

    The samples have families, variants and releases.
    """
    settings = load(config, samples.Samples)
    try:
        size_bytes = samples.make(image.Layout(folder), settings)
    except (OSError, image.BadImageError) as error:
        _fail(f"{folder}: {error}")
    releases = f"{settings.releases} releases of each"
    click.echo(f"{len(settings.functions)} models, {size_bytes} bytes, {releases}")


@layers.command()
@folder_argument
@click.argument("ref")
def verify(folder: Path, ref: str) -> None:
    """Read an image completely and check every byte. Exit 1 with the error if damaged."""
    try:
        chunks, size_bytes = image.verify(image.Layout(folder), ref)
    except image.BadImageError as error:
        _fail(str(error))
    click.echo(f"{ref}: good, {chunks} chunks, {size_bytes} bytes")


@layers.command()
@folder_argument
@click.argument("present", metavar="HAS")
@click.argument("requested", metavar="WANTS")
def diff(folder: Path, present: str, requested: str) -> None:
    """Print how much a worker that has image HAS would download for image WANTS."""
    try:
        difference = image.diff(image.Layout(folder), present, requested)
    except image.BadImageError as error:
        _fail(str(error))
    fetched, stored = difference.fetched, difference.stored
    share = fetched / stored if stored else 0.0
    chunks = f"{difference.shared_chunks} of {difference.chunks} chunks shared"
    click.echo(f"{chunks}; {fetched} of {stored} bytes to fetch ({share:.1%})")


@layers.command()
@click.argument("config", type=click.Path(path_type=Path))
def agent(config: Path) -> None:
    """Run a worker's agent. It prints its port as JSON on standard output; SIGTERM ends it."""
    settings = load(config, AgentSettings)
    configure_log()
    try:
        cache = Cache(Path(settings.cache), settings.cache_bytes, settings.hot_bytes)
    except (CacheRefusedError, OSError) as error:
        message = f"{config}: $.cache: {error}"
        raise ConfigError(message) from None
    try:
        anyio.run(_serve_agent, settings, cache, backend_options={"use_uvloop": True})
    finally:
        cache.close()


async def _serve_agent(settings: AgentSettings, cache: Cache) -> None:
    """Serves until SIGTERM or SIGINT, then finishes the requests in progress."""
    agent_process = Agent(settings, cache)
    listener, port = await listen("127.0.0.1", settings.port)
    print_ready(port)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(agent_process.run, listener)
            await anext(signals)
            await agent_process.drain()
            group.cancel_scope.cancel()


def _fail(message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(1)

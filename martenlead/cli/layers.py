from __future__ import annotations

import signal
import sys
from pathlib import Path

import anyio
import click

from martenlead.config.load import ConfigError, load
from martenlead.events.server import listen
from martenlead.layers import image, samples
from martenlead.layers.agent import Agent, AgentSettings
from martenlead.layers.cache import Cache, Refused


@click.group()
def layers() -> None:
    """Images of models in chunks."""


FOLDER = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))


@layers.command()
@FOLDER
@click.argument("ref")
@click.argument(
    "files", type=click.Path(path_type=Path, exists=True, dir_okay=False), nargs=-1, required=True
)
@click.option("--cut", type=click.Choice(["content", "fixed"]), default="content", show_default=True)
@click.option("--average-kb", type=click.IntRange(1, 16_384), default=256, show_default=True)
@click.option(
    "--level", type=click.IntRange(0, 19), default=3, show_default=True, help="of Zstandard; 0: none"
)
def pack(folder: Path, ref: str, files: tuple[Path, ...], cut: str, average_kb: int, level: int) -> None:
    """Make an image of FILES in an OCI image layout and name it REF."""
    kind = image.Cutting("fixed" if cut == "fixed" else "content", average_kb * 1024, level)
    try:
        told = image.pack(image.Layout(folder), ref, list(files), kind)
    except (OSError, image.BadImage) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(1)
    new = f"{told.new_chunks} of {told.chunks} chunks new, {told.new_bytes} bytes"
    click.echo(f"{ref} {told.manifest.digest}: {told.size} bytes, {new}")


@layers.command()
@FOLDER
@click.argument("config", type=click.Path(path_type=Path))
def make(folder: Path, config: Path) -> None:
    """Make models to rehearse with, as CONFIG says, and pack them: families, variants, releases."""
    told = load(config, samples.Samples)
    try:
        size = samples.make(image.Layout(folder), told)
    except (OSError, image.BadImage) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(1)
    click.echo(f"{len(told.models)} models, {size} bytes, {told.releases} releases of each")


@layers.command()
@FOLDER
@click.argument("ref")
def verify(folder: Path, ref: str) -> None:
    """Read an image through and check every byte. Exit 1 names what is wrong."""
    try:
        chunks, size = image.verify(image.Layout(folder), ref)
    except image.BadImage as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    click.echo(f"{ref}: good, {chunks} chunks, {size} bytes")


@layers.command()
@FOLDER
@click.argument("has")
@click.argument("wants")
def diff(folder: Path, has: str, wants: str) -> None:
    """What a box that has one image would fetch for another."""
    try:
        told = image.diff(image.Layout(folder), has, wants)
    except image.BadImage as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    share = told.fetched / told.stored if told.stored else 0.0
    chunks = f"{told.shared_chunks} of {told.chunks} chunks shared"
    click.echo(f"{chunks}; {told.fetched} of {told.stored} bytes to fetch ({share:.1%})")


@layers.command()
@click.argument("config", type=click.Path(path_type=Path))
def agent(config: Path) -> None:
    """Run a box's agent. Its port is told as JSON on standard output; SIGTERM ends it."""
    settings = load(config, AgentSettings)
    try:
        cache = Cache(Path(settings.cache), settings.cache_bytes, settings.hot_bytes)
    except (Refused, OSError) as error:
        raise ConfigError(f"{config}: $.cache: {error}") from None

    async def serve() -> None:
        own = Agent(settings, cache)
        listener, port = await listen("127.0.0.1", settings.port)
        click.echo(f'{{"ready": {{"port": {port}}}}}')
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as group:
                group.start_soon(own.run, listener)
                await anext(signals)
                await own.drain()
                group.cancel_scope.cancel()

    try:
        anyio.run(serve, backend_options={"use_uvloop": True})
    finally:
        cache.close()

from __future__ import annotations

import sys
from pathlib import Path
from typing import cast

import click
import msgspec
import structlog

from martenlead.capture.store import Busy, Store, StoreSettings
from martenlead.capture.tape import Tape
from martenlead.config.edge import read
from martenlead.config.load import BadConfig, decode
from martenlead.edge.border import Both
from martenlead.edge.border import Tape as BorderTape
from martenlead.edge.keeper import Keeper
from martenlead.edge.serve import configure_log, run
from martenlead.planner.edgeside import EdgeSide


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
@click.option("--with-planner", is_flag=True, help="decide on copies here, whatever $.planner says")
def edge(config: Path, with_planner: bool) -> None:
    """Run one dispatcher. Its port is told as JSON on standard output."""

    def started(port: int) -> None:
        click.echo(f'{{"ready": {{"port": {port}}}}}')

    settings = read(config)
    configure_log(settings)
    store = None
    tape: BorderTape | None = None
    if settings.capture:
        log = structlog.get_logger().bind(edge=settings.name)
        told = decode(msgspec.to_builtins(settings.capture), StoreSettings, str(config))
        try:
            store = Store(told, settings.name, lambda what, why: log.warning(what, why=why))
        except Busy as error:
            raise BadConfig(f"{config}: $.capture.folder: {error}") from None
        tape = Tape(store.put, settings.name)
    side = EdgeSide(settings, settings.planner) if settings.planner and not with_planner else None
    if side is not None:
        tape = cast(BorderTape, Both(tape, side.tape)) if tape is not None else side.tape
    keeper = Keeper(settings, settings.lasting) if settings.lasting is not None else None
    beside = [one.run for one in (side, keeper) if one is not None]
    if store is not None:
        beside.append(store.report)
    try:
        run(settings, started, tape, beside)
    except* OSError as errors:
        click.echo(f"{config}: $.listen: {errors.exceptions[0]}", err=True)
        sys.exit(1)
    finally:
        if store is not None:
            store.close()

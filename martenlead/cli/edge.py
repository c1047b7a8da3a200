from __future__ import annotations

import sys
from pathlib import Path
from typing import cast

import click
import msgspec
import structlog

from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.run_folder import AlreadyLockedError
from martenlead.capture.writer import CaptureSettings, CaptureWriter
from martenlead.config.edge import read_edge_settings
from martenlead.config.load import ConfigError, decode
from martenlead.edge.knowledge_saver import KnowledgeSaver
from martenlead.edge.policy_boundary import Recorder as BorderTape
from martenlead.edge.policy_boundary import TeeRecorder
from martenlead.edge.serve import configure_log, run
from martenlead.planner.planner_client import PlannerClient


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
@click.option("--with-planner", is_flag=True, help="decide on copies here, whatever $.planner says")
def edge(config: Path, with_planner: bool) -> None:
    """Run one dispatcher. Its port is told as JSON on standard output."""

    def started(port: int) -> None:
        click.echo(f'{{"ready": {{"port": {port}}}}}')

    settings = read_edge_settings(config)
    configure_log(settings)
    store = None
    tape: BorderTape | None = None
    if settings.capture:
        log = structlog.get_logger().bind(edge=settings.name)
        told = decode(msgspec.to_builtins(settings.capture), CaptureSettings, str(config))
        try:
            store = CaptureWriter(told, settings.name, lambda what, why: log.warning(what, why=why))
        except AlreadyLockedError as error:
            raise ConfigError(f"{config}: $.capture.folder: {error}") from None
        tape = CaptureRecorder(store.put, settings.name)
    side = PlannerClient(settings, settings.planner) if settings.planner and not with_planner else None
    if side is not None:
        tape = cast(BorderTape, TeeRecorder(tape, side.recorder)) if tape is not None else side.recorder
    keeper = KnowledgeSaver(settings, settings.durable_state) if settings.durable_state is not None else None
    beside = [one.run for one in (side, keeper) if one is not None]
    if store is not None:
        beside.append(store.publish_counters)
    try:
        run(settings, started, tape, beside)
    except* OSError as errors:
        click.echo(f"{config}: $.listen: {errors.exceptions[0]}", err=True)
        sys.exit(1)
    finally:
        if store is not None:
            store.close()

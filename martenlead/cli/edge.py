"""`martenlead edge`: runs one dispatcher."""

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
from martenlead.cli.output import print_ready
from martenlead.config.edge import EdgeSettings, read_edge_settings
from martenlead.config.load import ConfigError, decode
from martenlead.edge.knowledge_saver import KnowledgeSaver
from martenlead.edge.policy_boundary import Recorder, TeeRecorder
from martenlead.edge.serve import Companion, run
from martenlead.planner.planner_client import PlannerClient
from martenlead.system.log import configure_log


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
@click.option(
    "--with-planner", is_flag=True, help="plan replicas in this process, ignoring $.planner"
)
def edge(config: Path, with_planner: bool) -> None:
    """Run one dispatcher. It prints its port as JSON on standard output."""
    settings = read_edge_settings(config)
    configure_log(settings.log.level)
    writer = _open_capture(settings, config)
    client = None
    if settings.planner and not with_planner:
        client = PlannerClient(settings, settings.planner)
    recorder = _choose_recorder(settings, writer, client)
    companions = _list_companions(settings, writer, client)
    try:
        run(settings, print_ready, recorder, companions)
    except* OSError as errors:
        click.echo(f"{config}: $.listen: {errors.exceptions[0]}", err=True)
        sys.exit(1)
    finally:
        if writer is not None:
            writer.close()


def _open_capture(settings: EdgeSettings, config: Path) -> CaptureWriter | None:
    """Opens the capture writer if the settings ask for captures. Raises `ConfigError`."""
    if not settings.capture:
        return None
    log = structlog.get_logger().bind(edge=settings.name)
    capture = decode(msgspec.to_builtins(settings.capture), CaptureSettings, str(config))

    def warn(event: str, reason: str) -> None:
        """Logs a problem of the disk or of a checkpoint process."""
        log.warning(event, reason=reason)

    try:
        return CaptureWriter(capture, settings.name, warn)
    except AlreadyLockedError as error:
        message = f"{config}: $.capture.folder: {error}"
        raise ConfigError(message) from None


def _choose_recorder(
    settings: EdgeSettings, writer: CaptureWriter | None, client: PlannerClient | None
) -> Recorder | None:
    """The recorder for captures, the recorder for the planner, both combined, or none."""
    captured = CaptureRecorder(writer.put, settings.name) if writer is not None else None
    if client is None:
        return captured
    if captured is None:
        return client.recorder
    return cast("Recorder", TeeRecorder(captured, client.recorder))


def _list_companions(
    settings: EdgeSettings, writer: CaptureWriter | None, client: PlannerClient | None
) -> list[Companion]:
    """The background coroutines that run beside the dispatcher."""
    companions: list[Companion] = []
    if client is not None:
        companions.append(client.run)
    if settings.durable_state is not None:
        companions.append(KnowledgeSaver(settings, settings.durable_state).run)
    if writer is not None:
        companions.append(writer.publish_counters)
    return companions

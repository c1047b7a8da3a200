"""`martenlead limits`: changes the limits of a running edge."""

from __future__ import annotations

import sys
from http import HTTPStatus
from pathlib import Path

import anyio
import click
import msgspec

from martenlead.config.load import evaluate
from martenlead.events import http
from martenlead.events.client import Exchange, Pool

TIMEOUT_SECONDS = 5


@click.command()
@click.argument("port", type=click.IntRange(1, 65535))
@click.argument("config", type=click.Path(path_type=Path))
@click.option("--host", default="127.0.0.1", show_default=True)
def limits(port: int, config: Path, host: str) -> None:
    """Change the limits of a running edge's queues.

    PORT is the port of its admin server, CONFIG a Jsonnet file with `waiting`, `bytes` and
    `weights`. If they are invalid, exit 1 without changing anything.
    """
    body = msgspec.json.encode(evaluate(config))
    exchange = anyio.run(_put_limits, host, port, body)
    message = exchange.message
    is_failed = message is None or message.status != HTTPStatus.OK
    text = message.body.decode() if message else exchange.detail or exchange.end.value
    click.echo(text, err=is_failed)
    sys.exit(is_failed)


async def _put_limits(host: str, port: int, body: bytes) -> Exchange:
    with anyio.move_on_after(TIMEOUT_SECONDS):
        request = http.request(b"PUT", b"/limits", b"edge", [], body)
        return await Pool(host, port).exchange(request)
    error = f"{host}:{port}: no answer in five seconds"
    raise click.ClickException(error)

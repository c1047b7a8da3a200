"""`martenlead call`: sends one request to an edge."""

from __future__ import annotations

import sys
import uuid

import anyio
import click

from martenlead.events import http
from martenlead.events.client import Exchange, Pool
from martenlead.events.cloudevent import (
    AttributeValue,
    Event,
    InvalidEventError,
    check_event,
    encode_event,
)
from martenlead.events.head import InvalidHeadError, encode_authority

CONNECT_TIMEOUT_NS = 2_000_000_000
MS_PER_SECOND = 1000
EXTRA_SECONDS = 1  # added to the request's time limit while waiting for the response
EXIT_CODES = {200: 0, 429: 3, 503: 3, 502: 4, 504: 4}  # status of the response -> exit code
NO_RESPONSE = 1


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--offering", "request_class", required=True, help="the event's type")
@click.option("--model", "function", required=True)
@click.option("--customer", "tenant")
@click.option(
    "--within", "within_ms", type=float, default=5000, show_default=True, help="time limit, ms"
)
@click.option(
    "--set",
    "extra",
    multiple=True,
    metavar="NAME=VALUE",
    help="an additional attribute of the event",
)
@click.option("--data", default="{}", show_default=True, help="JSON, or - for standard input")
def call(
    host: str,
    port: int,
    request_class: str,
    function: str,
    tenant: str | None,
    within_ms: float,
    extra: tuple[str, ...],
    data: str,
) -> None:
    """Send one request and print the response.

    Exit 0 if it succeeded, 3 if it was rejected, 4 if it failed, 1 for anything else.
    """
    attributes: dict[str, AttributeValue] = {
        "specversion": "1.0",
        "id": uuid.uuid4().hex,
        "source": "/martenlead/call",
        "type": request_class,
        "model": function,
        "timeleftms": int(within_ms),
    }
    if tenant:
        attributes["customer"] = tenant
    for pair in extra:
        name, _, value = pair.partition("=")
        attributes[name] = value
    body = sys.stdin.buffer.read() if data == "-" else data.encode()
    event = Event(attributes, body, "application/json")
    try:
        request = _encode_request(host, port, event)
    except (InvalidEventError, InvalidHeadError) as error:
        raise click.UsageError(str(error)) from None
    sys.exit(anyio.run(_send, host, port, request, within_ms / MS_PER_SECOND + EXTRA_SECONDS))


def _encode_request(host: str, port: int, event: Event) -> bytes:
    headers, body = encode_event(check_event(event))
    return http.request(b"POST", b"/", encode_authority(host, port), headers, body)


async def _send(host: str, port: int, request: bytes, timeout_seconds: float) -> int:
    """Sends a request, prints the response, and returns the exit code."""
    pool = Pool(host, port, connect_timeout_ns=CONNECT_TIMEOUT_NS)
    exchange: Exchange | None = None
    with anyio.move_on_after(timeout_seconds):
        exchange = await pool.exchange(request)
    if exchange is None:
        click.echo("no answer in time", err=True)
        return NO_RESPONSE
    if exchange.message is None:
        click.echo(f"{exchange.end.value} {exchange.detail}", err=True)
        return NO_RESPONSE
    click.echo(exchange.message.body.decode("utf-8", "replace"))
    return EXIT_CODES.get(exchange.message.status, NO_RESPONSE)

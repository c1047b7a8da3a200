from __future__ import annotations

import sys
import uuid

import anyio
import click

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.cloudevent import AttributeValue, Event, encode_event


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--offering", required=True, help="the event's type")
@click.option("--model", required=True)
@click.option("--customer")
@click.option("--within", "within_ms", type=float, default=5000, show_default=True, help="time left, ms")
@click.option("--set", "more", multiple=True, metavar="NAME=VALUE", help="a further attribute")
@click.option("--data", default="{}", show_default=True, help="JSON, or - for standard input")
def call(
    host: str,
    port: int,
    offering: str,
    model: str,
    customer: str | None,
    within_ms: float,
    more: tuple[str, ...],
    data: str,
) -> None:
    """Send one task. Prints the answer; exit 0 if it was satisfied, 3 turned back, 4 scrapped, 1 none of
    these."""
    attributes: dict[str, AttributeValue] = {
        "specversion": "1.0",
        "id": uuid.uuid4().hex,
        "source": "/martenlead/call",
        "type": offering,
        "model": model,
        "timeleftms": int(within_ms),
    }
    if customer:
        attributes["customer"] = customer
    for pair in more:
        name, _, value = pair.partition("=")
        attributes[name] = value
    body = sys.stdin.buffer.read() if data == "-" else data.encode()
    headers, body = encode_event(Event(attributes, body, "application/json"))

    async def send() -> int:
        pool = Pool(host, port, connect_timeout_ns=2_000_000_000)
        with anyio.move_on_after(within_ms / 1000 + 1) as scope:
            exchange = await pool.exchange(http.request(b"POST", b"/", host.encode(), headers, body))
        if scope.cancelled_caught or exchange.message is None:
            why = "no answer in time" if scope.cancelled_caught else f"{exchange.end.value} {exchange.detail}"
            click.echo(why, err=True)
            return 1
        click.echo(exchange.message.body.decode("utf-8", "replace"))
        return {200: 0, 429: 3, 503: 3, 502: 4, 504: 4}.get(exchange.message.status, 1)

    sys.exit(anyio.run(send))

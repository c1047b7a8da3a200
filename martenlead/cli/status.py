"""`martenlead status`: prints the status of running edges and planners."""

from __future__ import annotations

import sys
from http import HTTPStatus
from typing import Any

import anyio
import click
import msgspec

from martenlead.cli.output import print_json
from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.head import InvalidHeadError
from martenlead.system.decode_errors import DECODE_ERRORS

TIMEOUT_SECONDS = 2

Status = dict[str, Any]  # decoded JSON; the keys depend on the program and its version


@click.command()
@click.argument("places", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="print the complete status as JSON")
def status(places: tuple[str, ...], as_json: bool) -> None:
    """Print the status of edges and planners.

    PLACES are [HOST:]PORT of their `admin` servers. Exit 1 if one does not answer.
    """
    for place in places:
        if not place.rpartition(":")[2].isdigit():
            error = f"{place!r}: [HOST:]PORT was expected"
            raise click.BadParameter(error)
    is_complete = True
    for place, found in zip(places, anyio.run(_read_all, places), strict=True):
        if isinstance(found, str):
            is_complete = False
            click.echo(f"{place}: {found}", err=True)
        elif as_json:
            print_json(found)
        else:
            click.echo("\n".join(format_status(place, found)))
    sys.exit(not is_complete)


async def _read_all(places: tuple[str, ...]) -> list[Status | str]:
    return [await _read_status(place) for place in places]


async def _read_status(place: str) -> Status | str:
    """The status of the process at an address, or the reason why it could not be read."""
    host, _, port = place.rpartition(":")
    try:
        request = http.request(b"GET", b"/state", place.encode(), [])
    except InvalidHeadError as error:
        return str(error)
    with anyio.move_on_after(TIMEOUT_SECONDS):
        pool = Pool(host or "127.0.0.1", int(port))
        exchange = await pool.exchange(request)
        if exchange.message is None or exchange.message.status != HTTPStatus.OK:
            return exchange.detail or exchange.end.value
        try:
            return msgspec.json.decode(exchange.message.body, type=Status)
        except DECODE_ERRORS as error:
            return f"no state: {error}"
    return "no answer in two seconds"


def format_status(place: str, status: Status) -> list[str]:
    """Formats one line for an edge, or one for a planner and one for each of its edges."""
    if "edge" in status:
        return [_format_edge(place, status)]
    if "planner" in status:
        return _format_planner(place, status)
    return [f"{place}: neither an edge nor a planner"]


def _format_edge(place: str, status: Status) -> str:
    requests = f"{status['held']} tasks held, {status['models']} models"
    start = f"{place} edge {status['edge']}: {requests}"
    link = status.get("planner")
    if not link:
        return f"{start}; plans itself, without a link"
    planner = "itself" if link["plans_itself"] else link["planner"] or "nobody"
    return (
        f"{start}; planned by {planner}; link {link['state']}, epoch {link['epoch']}, "
        f"lease {link['lease_ms']:.0f} ms, {link['unacknowledged']} frames unacknowledged "
        f"({link['outbox_bytes']} bytes), orders {link.get('orders', 0)}, "
        f"refused {link.get('orders refused', 0)}, fenced {link.get('link_fenced', 0)}"
    )


def _format_planner(place: str, status: Status) -> list[str]:
    links = [_format_link(link) for link in status["edges"]]
    return [f"{place} planner {status['planner']}: {len(links)} edges", *links]


def _format_link(link: Status) -> str:
    events = f"epoch {link['epoch']}, events {link['events']}, tasks {link['tasks']}"
    replicas = f"{link['held']} copies held, {link['orders_out']} orders out"
    pending = "" if link["mirrors"] else "; waits for the edge's state"
    return f"  for {link['edge']}: {events}, {replicas}{pending}"

from __future__ import annotations

import sys
from typing import Any

import anyio
import click
import msgspec

from martenlead.events import http
from martenlead.events.client import Pool


async def _state(place: str) -> dict[str, Any] | str:
    host, _, port = place.rpartition(":")
    with anyio.move_on_after(2):
        pool = Pool(host or "127.0.0.1", int(port))
        exchange = await pool.exchange(http.request(b"GET", b"/state", place.encode(), []))
        if exchange.message is None or exchange.message.status != 200:
            return exchange.detail or exchange.end.value
        try:
            return msgspec.json.decode(exchange.message.body, type=dict[str, Any])
        except msgspec.DecodeError as error:
            return f"no state: {error}"
    return "no answer in two seconds"


def format_status(place: str, state: dict[str, Any]) -> list[str]:
    """One line for an edge; one for a planner, and one for each of its edges."""
    if "edge" in state:
        link = state.get("planner")
        held = f"{place} edge {state['edge']}: {state['held']} tasks held, {state['models']} models"
        if not link:
            return [f"{held}; plans itself, without a link"]
        who = "itself" if link["plans_itself"] else link["planner"] or "nobody"
        return [
            f"{held}; planned by {who}; link {link['state']}, epoch {link['epoch']}, "
            f"lease {link['lease_ms']:.0f} ms, {link['unacknowledged']} frames unacknowledged "
            f"({link['outbox_bytes']} bytes), orders {link.get('orders', 0)}, "
            f"refused {link.get('orders refused', 0)}, fenced {link.get('link_fenced', 0)}"
        ]
    if "planner" in state:
        told = [f"{place} planner {state['planner']}: {len(state['edges'])} edges"]
        for end in state["edges"]:
            told.append(
                f"  for {end['edge']}: epoch {end['epoch']}, events {end['events']}, tasks {end['tasks']}, "
                f"{end['held']} copies held, {end['orders_out']} orders out"
                + ("" if end["mirrors"] else "; waits for the edge's state")
            )
        return told
    return [f"{place}: neither an edge nor a planner"]


@click.command()
@click.argument("places", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="all that they tell")
def status(places: tuple[str, ...], as_json: bool) -> None:
    """What edges and planners hold. PLACES are [HOST:]PORT of `admin`. Exit 1: one does not answer."""
    for place in places:
        if not place.rpartition(":")[2].isdigit():
            raise click.BadParameter(f"{place!r}: [HOST:]PORT was expected")

    async def ask() -> list[dict[str, Any] | str]:
        return [await _state(place) for place in places]

    bad = False
    for place, state in zip(places, anyio.run(ask), strict=True):
        if isinstance(state, str):
            bad = True
            click.echo(f"{place}: {state}", err=True)
        elif as_json:
            click.echo(msgspec.json.format(msgspec.json.encode(state)).decode())
        else:
            click.echo("\n".join(format_status(place, state)))
    sys.exit(bad)

"""Requests with an idempotency key are retried only while workers still remember the key."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from support.node_rig import SETTINGS, Behaviour, NodeRig, after_delay, respond_with, run_node, succeed

pytestmark = pytest.mark.anyio

WINDOW_SECONDS = 0.3
SLACK_SECONDS = 0.05  # The protocol adds it to every time limit
KEY = "0" * 32
fail = respond_with("BROKE", "")


def settings(group: str = "all") -> dict[str, Any]:
    """Returns the settings with a short deduplication window, shared by `group`, for the keyed class."""
    classes = [
        request_class
        | ({"dedup-window": WINDOW_SECONDS, "group": group} if request_class["name"] == "keyed" else {})
        for request_class in SETTINGS["classes"]
    ]
    return SETTINGS | {"classes": classes}


def record_arrivals(arrivals: list[float], behaviours: list[Behaviour]) -> Behaviour:
    """Returns a behaviour for all workers that runs the given ones in order, one for each request, then
    succeeds. The time at which each request arrived is appended to `arrivals`."""

    async def behaviour(worker: Any, stream: Any, request: dict[str, Any]) -> None:
        arrivals.append(anyio.current_time())
        await (behaviours.pop(0) if behaviours else succeed)(worker, stream, request)

    return behaviour


def delay_connections(rig: NodeRig, seconds: Callable[[int], float]) -> None:
    """Makes each connection to a worker, counted from 0, come up `seconds(number)` later."""
    connect, connections = rig.node.worker_client._connect, []

    async def delayed(connection: Any) -> None:
        connections.append(connection)
        await anyio.sleep(seconds(len(connections) - 1))
        await connect(connection)

    rig.node.worker_client._connect = delayed  # type: ignore[method-assign]


@pytest.mark.parametrize(("group", "outcome"), [("all", "turned back"), ("zone", "error -32000")])
async def test_no_repeat_once_the_window_is_over(group: str, outcome: str, tmp_path: Path) -> None:
    """If not all workers share the window, the client is not asked to retry either."""
    arrivals: list[float] = []
    behaviour = record_arrivals(arrivals, [after_delay(1000 * WINDOW_SECONDS, fail)])
    async with run_node(tmp_path, {"a": [behaviour], "b": [behaviour]}, settings=settings(group)) as rig:
        client = await rig.connect_client()
        assert await client.call("keyed", once=KEY, wait=1900) == outcome
        assert len(arrivals) == 1


async def test_no_repeat_leaves_once_the_window_ended_while_its_connection_came_up(tmp_path: Path) -> None:
    """The retry is decided 0.1 s before the window ends, and its connection takes 0.2 s to come up."""
    arrivals: list[float] = []
    behaviour = record_arrivals(arrivals, [after_delay(1000 * (WINDOW_SECONDS - 0.1), fail)])
    async with run_node(tmp_path, {"a": [behaviour], "b": [behaviour]}, settings=settings()) as rig:
        delay_connections(rig, lambda number: 0.2 if number else 0.0)
        client = await rig.connect_client()
        await client.call("keyed", once=KEY, wait=1900)
        assert arrivals[-1] - arrivals[0] <= WINDOW_SECONDS + SLACK_SECONDS

"""Requests with an idempotency key are repeated only while workers still remember the key."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.nodes import SETTINGS, Behaviour, NodeRig, after_delay, respond_with, run_node, succeed

pytestmark = pytest.mark.anyio

WINDOW = 0.3  # s
SLACK = 0.05  # s, that the protocol adds to every time limit
KEY = "0" * 32
fails = respond_with("BROKE", "")


def settings(group: str = "all") -> dict[str, Any]:
    """A short window for the keyed class."""
    classes = [
        c | ({"dedup-window": WINDOW, "group": group} if c["name"] == "keyed" else {})
        for c in SETTINGS["classes"]
    ]
    return SETTINGS | {"classes": classes}


def noting(arrivals: list[float], parts: list[Behaviour]) -> Behaviour:
    """Plays the parts in turn, whichever worker is asked, and notes when each request arrived."""

    async def part(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        arrivals.append(anyio.current_time())
        await (parts.pop(0) if parts else succeed)(runner, stream, told)

    return part


def delay_connections(p: NodeRig, seconds: Callable[[int], float]) -> None:
    """The connection of that number, from 0, comes up so much later."""
    connect, made = p.node.worker_client._connect, []

    async def delayed(connection: Any) -> None:
        made.append(connection)
        await anyio.sleep(seconds(len(made) - 1))
        await connect(connection)

    p.node.worker_client._connect = delayed  # type: ignore[method-assign]


@pytest.mark.parametrize(("group", "outcome"), [("all", "turned back"), ("zone", "error -32000")])
async def test_no_repeat_once_the_window_is_over(group: str, outcome: str, tmp_path: Path) -> None:
    """Where not all workers share the window, the client is not told to try again either."""
    arrivals: list[float] = []
    part = noting(arrivals, [after_delay(1000 * WINDOW, fails)])
    async with run_node(tmp_path, {"a": [part], "b": [part]}, settings=settings(group)) as p:
        client = await p.connect_client()
        assert await client.call("keyed", once=KEY, wait=1900) == outcome
        assert len(arrivals) == 1


async def test_no_repeat_leaves_once_the_window_ended_while_its_connection_came_up(tmp_path: Path) -> None:
    """Decided 0.1 s before the window ends, over a connection that needs 0.2 s."""
    arrivals: list[float] = []
    part = noting(arrivals, [after_delay(1000 * (WINDOW - 0.1), fails)])
    async with run_node(tmp_path, {"a": [part], "b": [part]}, settings=settings()) as p:
        delay_connections(p, lambda number: 0.2 if number else 0.0)
        client = await p.connect_client()
        await client.call("keyed", once=KEY, wait=1900)
        assert arrivals[-1] - arrivals[0] <= WINDOW + SLACK

"""An edge and its planner on sockets in this process."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio

from martenlead.config.edge import EdgeSettings
from martenlead.config.load import decode
from martenlead.events.server import listen
from martenlead.planner.planner_client import PlannerClient
from martenlead.planner.server import Planner
from martenlead.planner.settings import PlannerSettings
from support.fleet import OFFERINGS, Fleet, fleet

RATION = {"ration": {"window_ms": 5000, "free": 20, "share": 0.5}}


async def until(what: Any, seconds: float = 20) -> None:
    """Waits for it to come true; fails after `seconds`."""
    with anyio.fail_after(seconds):
        while not what():
            await anyio.sleep(0.01)


@asynccontextmanager
async def planned(
    ports: list[int], name: str = "edge", **link: Any
) -> AsyncIterator[tuple[Fleet, PlannerClient]]:
    """A fleet whose edge is planned for at these ports."""
    told = {
        "name": name,
        "seed": 5,
        "roster": {"port": 1},
        "offerings": OFFERINGS,
        "models": RATION,
        "planner": {"at": [{"port": p} for p in ports], "lease_ms": 400, "retry_ms": 20, **link},
    }
    edge = decode(told, EdgeSettings, "test")
    assert edge.planner is not None
    side = PlannerClient(edge, edge.planner)
    async with fleet(tape=side.recorder, models=RATION, name=name) as f, anyio.create_task_group() as group:
        group.start_soon(side.run, f.dispatcher)
        yield f, side
        group.cancel_scope.cancel()


@asynccontextmanager
async def planner(port: int = 0, **settings: Any) -> AsyncIterator[tuple[Planner, int]]:
    """A planner that listens, and its port."""
    made = Planner(decode(settings, PlannerSettings, "test"))
    listener, port = await listen("127.0.0.1", port)
    async with anyio.create_task_group() as group:
        group.start_soon(made.run, listener)
        yield made, port
        group.cancel_scope.cancel()
    await listener.aclose()


async def answered(f: Fleet, count: int = 5) -> None:
    """Requests one after the other are answered, each within half a second."""
    for _ in range(count):
        begun = anyio.current_time()
        assert (await f.call("estimate"))[0] == 200
        assert anyio.current_time() - begun < 0.5

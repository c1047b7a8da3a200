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
from support.fleet import REQUEST_CLASSES, EdgeRig, run_edge

LOAD_BUDGET = {"ration": {"window_ms": 5000, "free": 20, "share": 0.5}}


async def until(condition: Any, seconds: float = 20) -> None:
    """Waits until the condition is true; fails after `seconds`."""
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.01)


@asynccontextmanager
async def run_planned_edge(
    ports: list[int], name: str = "edge", **link: Any
) -> AsyncIterator[tuple[EdgeRig, PlannerClient]]:
    """Runs an edge with planners at these ports; `link` are further settings of the planner link."""
    settings = {
        "name": name,
        "seed": 5,
        "roster": {"port": 1},
        "offerings": REQUEST_CLASSES,
        "models": LOAD_BUDGET,
        "planner": {"at": [{"port": p} for p in ports], "lease_ms": 400, "retry_ms": 20, **link},
    }
    edge_settings = decode(settings, EdgeSettings, "test")
    assert edge_settings.planner is not None
    planner_client = PlannerClient(edge_settings, edge_settings.planner)
    async with (
        run_edge(recorder=planner_client.recorder, models=LOAD_BUDGET, name=name) as rig,
        anyio.create_task_group() as group,
    ):
        group.start_soon(planner_client.run, rig.dispatcher)
        yield rig, planner_client
        group.cancel_scope.cancel()


@asynccontextmanager
async def run_planner(port: int = 0, **settings: Any) -> AsyncIterator[tuple[Planner, int]]:
    """Runs a planner; yields it and its port."""
    planner = Planner(decode(settings, PlannerSettings, "test"))
    listener, port = await listen("127.0.0.1", port)
    async with anyio.create_task_group() as group:
        group.start_soon(planner.run, listener)
        yield planner, port
        group.cancel_scope.cancel()
    await listener.aclose()


async def assert_prompt_responses(rig: EdgeRig, count: int = 5) -> None:
    """Checks that requests, sent one after the other, each succeed within half a second."""
    for _ in range(count):
        started = anyio.current_time()
        assert (await rig.call("estimate"))[0] == 200
        assert anyio.current_time() - started < 0.5

"""Connections that say nothing do not keep edges from their planner."""

from __future__ import annotations

import socket
from contextlib import ExitStack

import anyio
import pytest

from martenlead.config.load import decode
from martenlead.events.stream_listener import StreamListener
from martenlead.planner import server
from martenlead.planner.server import Planner
from martenlead.planner.settings import PlannerSettings
from martenlead.system.listener import LEAST_CONNECTIONS, ClientDescriptors
from support.fleet import until
from support.planned import run_planned_edge

pytestmark = pytest.mark.anyio
PLACES = LEAST_CONNECTIONS + 4


async def test_an_edge_gets_its_planner_while_silent_connections_hold_all_places(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against edges that wait until silent connections are given up, one round after the other."""
    monkeypatch.setattr(server, "HELLO_TIMEOUT_SECONDS", 60.0)  # so that only the need for room ends them
    sock = socket.create_server(("127.0.0.1", 0), backlog=4 * PLACES)
    port = sock.getsockname()[1]
    listener = StreamListener(sock, ClientDescriptors(lambda: PLACES))
    planner = Planner(decode({}, PlannerSettings, "test"))
    with ExitStack() as silent:
        async with anyio.create_task_group() as group:
            group.start_soon(planner.run, listener)
            for _ in range(2 * PLACES):
                silent.enter_context(socket.create_connection(("127.0.0.1", port)))
            await until(lambda: listener.open_connections >= PLACES)
            async with run_planned_edge([port]) as (_, client):
                await until(client.session.is_leased, within=5)
                assert listener.open_connections <= PLACES
            group.cancel_scope.cancel()

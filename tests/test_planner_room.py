"""Connections that send nothing do not prevent edges from connecting to their planner."""

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
SLOTS = LEAST_CONNECTIONS + 4


async def test_edges_connect_while_silent_connections_use_all_slots(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against edges that have to wait until silent connections time out."""
    monkeypatch.setattr(server, "HELLO_TIMEOUT_SECONDS", 60.0)  # connections end only when slots are needed
    listening_socket = socket.create_server(("127.0.0.1", 0), backlog=4 * SLOTS)
    port = listening_socket.getsockname()[1]
    listener = StreamListener(listening_socket, ClientDescriptors(lambda: SLOTS))
    planner = Planner(decode({}, PlannerSettings, "test"))
    with ExitStack() as silent_connections:
        async with anyio.create_task_group() as group:
            group.start_soon(planner.run, listener)
            for _ in range(2 * SLOTS):
                silent_connections.enter_context(socket.create_connection(("127.0.0.1", port)))
            await until(lambda: listener.open_connections >= SLOTS)
            async with run_planned_edge([port]) as (_, client):
                await until(client.session.is_leased, within=5)
                assert listener.open_connections <= SLOTS
            group.cancel_scope.cancel()

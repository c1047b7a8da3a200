"""A node that is stopped while clients send at full speed answers the others, and ends before the kill."""

from __future__ import annotations

import signal
from pathlib import Path

import anyio
import pytest

from support.full_speed_client import full_speed_clients
from support.node_process import run_node_process, serve_journal
from support.node_rig import PipeliningClient

pytestmark = pytest.mark.anyio

FLOODING_CLIENTS = 6
DEADLINE_SECONDS = 2.0  # of the settings' classes
KILL_SECONDS = DEADLINE_SECONDS + 0.7  # after SIGTERM
LAST_REQUEST_SECONDS = 0.6  # after SIGTERM, on open connections
INTERVAL_SECONDS = 0.02
READY_SECONDS = 20.0


@pytest.mark.parametrize("kind", ["pings", "requests under new names"])
async def test_a_shutdown_beside_clients_at_full_speed_answers_all_others(tmp_path: Path, kind: str) -> None:
    # Guards against last reads of a flooding connection that take the time of all others until the kill.
    async with run_node_process(tmp_path, "ab") as rig, anyio.create_task_group() as group:
        group.start_soon(serve_journal, rig.journal)
        await rig.wait_until_up(READY_SECONDS)
        clients = [PipeliningClient(await rig.connect_client(), first=place << 40) for place in (1, 2, 3)]
        async with full_speed_clients(rig.port, kind, FLOODING_CLIENTS, 10):
            for client in clients:
                group.start_soon(client.read_responses)

            async def ask_until(end: float) -> None:
                """Sends requests on all connections, as clients do until the node takes no more."""
                while anyio.current_time() < end:
                    for client in clients:
                        if not client.connection_ended:
                            await client.send_request("safe", key=f"{1:016x}")
                    await anyio.sleep(INTERVAL_SECONDS)

            await ask_until(anyio.current_time() + 1)
            rig.process.send_signal(signal.SIGTERM)
            with anyio.fail_after(KILL_SECONDS):
                await ask_until(anyio.current_time() + LAST_REQUEST_SECONDS)
                assert await rig.process.wait() == 0
            await anyio.sleep(0.2)  # until the last responses were read
        group.cancel_scope.cancel()
    assert all(client.has_one_response_each() for client in clients)
    assert max(max(client.latencies()) for client in clients) < DEADLINE_SECONDS

"""A node is ready soon after its start, whatever its journal service and its clients do meanwhile."""

from __future__ import annotations

import signal
import socket
from pathlib import Path

import anyio
import pytest

from support.fleet import until
from support.node_process import NodeProcess, run_node_process, serve_journal
from support.node_rig import CONNECTION_ERRORS, Client, frame, succeed

pytestmark = pytest.mark.anyio
READY_TIMEOUT_SECONDS = 10  # The platform's limit
NO_WORKERS = {"pos": 0, "entries": []}


async def test_up_and_serving_while_the_journal_service_is_down(tmp_path: Path) -> None:
    """It serves with the workers of its configuration, and follows the journal service once that is up."""
    async with run_node_process(tmp_path) as rig:
        await rig.wait_until_up(READY_TIMEOUT_SECONDS)
        assert await (await rig.connect_client()).call() == "satisfied"
        rig.task_group.start_soon(serve_journal, rig.journal)
        await until(lambda: rig.journal.streams)
        await rig.start_worker("b", succeed)
        await rig.journal.publish(rig.worker_record("a", state=2), rig.worker_record("b"))
        await until_served_by(rig, "b")


async def test_up_while_the_journal_service_accepts_and_says_nothing(tmp_path: Path) -> None:
    """It does not wait for the first event to be ready."""
    with socket.create_server(("127.0.0.1", 0)) as silent_server:
        async with run_node_process(tmp_path) as rig:
            await rig.kill()  # the node was started with another journal address
            rig.write_config(silent_server.getsockname()[1])
            await rig.start()
            await rig.wait_until_up(READY_TIMEOUT_SECONDS)
            assert await (await rig.connect_client()).call() == "satisfied"


async def test_up_under_a_flood_of_clients_that_began_before_it(tmp_path: Path) -> None:
    """Connections that send nothing, and clients that reconnect and send a request as soon as they are
    answered."""
    async with run_node_process(tmp_path) as rig:
        outcomes: list[str] = []

        async def keep_requesting(number: int) -> None:
            """Sends a request on a new connection again and again."""
            while True:
                try:
                    client = await rig.connect_client()
                    client.last_number = number
                    outcomes.append(await client.call())
                    await client.stream.aclose()
                    number += 1000
                except CONNECTION_ERRORS:
                    pass
                await anyio.sleep(0)

        async def keep_connecting() -> None:
            """Opens and closes 50 connections at a time."""
            while True:
                idle = rig.connect_sockets(50)
                await anyio.sleep(0.05)
                for connection in idle:
                    connection.close()

        for number in range(1, 11):
            rig.task_group.start_soon(keep_requesting, number)
        rig.task_group.start_soon(keep_connecting)
        await rig.wait_until_up(READY_TIMEOUT_SECONDS)
        await until(lambda: outcomes.count("satisfied") > 20)


async def test_killed_before_its_first_list_and_started_anew(tmp_path: Path) -> None:
    """Neither process has a list of workers: requests are rejected until the journal service sends one."""
    async with run_node_process(tmp_path, known=NO_WORKERS) as rig:
        for _ in range(2):
            await rig.wait_until_up(READY_TIMEOUT_SECONDS)
            assert await (await rig.connect_client()).call() == "turned back"
            await rig.kill()
            await rig.start()
        rig.task_group.start_soon(serve_journal, rig.journal)
        rig.journal.events.append(frame(1, 1, rig.worker_record("a")))
        await rig.wait_until_up(READY_TIMEOUT_SECONDS)
        await until_served_by(rig, "a")
        assert rig.journal.resume_positions[0] == 0


async def test_killed_as_it_starts_and_started_anew(tmp_path: Path) -> None:
    """It is killed at several moments of its start, each later than the one before."""
    async with run_node_process(tmp_path) as rig:
        for attempt in range(5):
            await anyio.sleep(attempt * 0.05)
            await rig.kill()
            assert rig.process.returncode == -signal.SIGKILL
            await rig.start()
        await rig.wait_until_up(READY_TIMEOUT_SECONDS)
        assert await (await rig.connect_client()).call() == "satisfied"


async def until_served_by(rig: NodeProcess, name: str) -> None:
    """Sends requests from new clients until this worker has received one. Fails after 5 s."""
    with anyio.fail_after(5):
        number = 0
        while not [line for line in rig.received() if line[0] == name]:
            client: Client = await rig.connect_client()
            client.last_number = number = number + 1000
            await client.call()

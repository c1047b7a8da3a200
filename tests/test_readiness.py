"""A node that is started is ready soon, whatever its journal service and its clients do meanwhile."""

from __future__ import annotations

import signal
import socket
from pathlib import Path

import anyio
import pytest

from support.fleet import until
from tests.apart import NodeProcess, run_node_process, serve_journal
from tests.nodes import CONNECTION_ERRORS, Client, frame, succeed

pytestmark = pytest.mark.anyio
READY = 10  # s, of the platform
NOBODY = {"pos": 0, "entries": []}


async def test_up_and_serving_while_the_journal_service_is_down(tmp_path: Path) -> None:
    async with run_node_process(tmp_path) as p:
        await p.wait_until_up(READY)
        assert await (await p.connect_client()).call() == "satisfied"
        p.task_group.start_soon(serve_journal, p.journal)
        await until(lambda: p.journal.streams)
        await p.start_worker("b", succeed)
        await p.journal.publish(p.worker_record("a", state=2), p.worker_record("b"))
        await until_served_by(p, "b")


async def test_up_while_the_journal_service_accepts_and_says_nothing(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as mute:
        async with run_node_process(tmp_path) as p:
            await p.kill()  # it was started with another address
            p.write_config(mute.getsockname()[1])
            await p.start()
            await p.wait_until_up(READY)
            assert await (await p.connect_client()).call() == "satisfied"


async def test_up_under_a_flood_of_clients_that_began_before_it(tmp_path: Path) -> None:
    """Connections that say nothing, and clients that ask and come again as soon as they are answered."""
    async with run_node_process(tmp_path) as p:
        answers: list[str] = []

        async def comes_again(number: int) -> None:
            while True:
                try:
                    client = await p.connect_client()
                    client.last_number = number
                    answers.append(await client.call())
                    await client.stream.aclose()
                    number += 1000
                except CONNECTION_ERRORS:
                    pass
                await anyio.sleep(0)

        async def says_nothing() -> None:
            while True:
                idle = p.connect_sockets(50)
                await anyio.sleep(0.05)
                for one in idle:
                    one.close()

        for number in range(1, 11):
            p.task_group.start_soon(comes_again, number)
        p.task_group.start_soon(says_nothing)
        await p.wait_until_up(READY)
        await until(lambda: answers.count("satisfied") > 20)


async def test_killed_before_its_first_list_and_started_anew(tmp_path: Path) -> None:
    """Neither life has a list: whoever asks is turned back, until the journal service tells it."""
    async with run_node_process(tmp_path, known=NOBODY) as p:
        for _ in range(2):
            await p.wait_until_up(READY)
            assert await (await p.connect_client()).call() == "turned back"
            await p.kill()
            await p.start()
        p.task_group.start_soon(serve_journal, p.journal)
        p.journal.events.append(frame(1, 1, p.worker_record("a")))
        await p.wait_until_up(READY)
        await until_served_by(p, "a")
        assert p.journal.resume_positions[0] == 0


async def test_killed_as_it_starts_and_started_anew(tmp_path: Path) -> None:
    """At several moments of its start, each later than the one before."""
    async with run_node_process(tmp_path) as p:
        for moment in range(5):
            await anyio.sleep(moment * 0.05)
            await p.kill()
            assert p.process.returncode == -signal.SIGKILL
            await p.start()
        await p.wait_until_up(READY)
        assert await (await p.connect_client()).call() == "satisfied"


async def until_served_by(p: NodeProcess, name: str) -> None:
    """Clients come again until that runner has one of their requests."""
    with anyio.fail_after(5):
        number = 0
        while not [line for line in p.received() if line[0] == name]:
            client: Client = await p.connect_client()
            client.last_number = number = number + 1000
            await client.call()

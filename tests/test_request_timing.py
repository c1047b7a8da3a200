"""A request counts as received at its last byte, and requests are accepted up to the end of a planned
restart."""

from __future__ import annotations

import os
import signal
from pathlib import Path

import anyio
import pytest

from support.fleet import until
from support.node_rig import after_delay, outcome_of, run_node, succeed

pytestmark = pytest.mark.anyio

PIECES = 7
PAUSE_SECONDS = 0.1  # Between two pieces


async def test_the_time_of_a_request_in_pieces_is_counted_from_its_last_byte(tmp_path: Path) -> None:
    """The pieces take longer to arrive than the request's deadline, and another connection is served
    meanwhile."""
    async with run_node(tmp_path, {"a": [after_delay(50, succeed)]}) as rig:
        client, other = await rig.connect_client(), await rig.connect_client()
        data = client.encode_request("unsafe", id="00000000000000aa", wait=500)
        size = -(-len(data) // PIECES)
        for start in range(0, len(data), size):
            assert rig.received() == []
            await client.send(data[start : start + size])
            await anyio.sleep(PAUSE_SECONDS)
        assert outcome_of(await client.receive_response()) == "satisfied"
        assert await other.call(id="00000000000000bb") == "satisfied"
        assert rig.received() == ["a DO aa", "a DO bb"]


async def test_pieces_of_many_requests_on_many_connections_do_not_mix(tmp_path: Path) -> None:
    """Pieces of the connections arrive in turns, and each request is answered on its own connection."""
    async with run_node(tmp_path) as rig:
        clients = [await rig.connect_client() for _ in range(5)]
        requests = [
            b"".join(
                sender.encode_request(id=f"{10 * index + n:016x}", key=f"{index:016x}") for n in range(3)
            )
            for index, sender in enumerate(clients)
        ]
        for start in range(0, max(map(len, requests)), 97):
            for client, data in zip(clients, requests, strict=True):
                if data[start : start + 97]:
                    await client.send(data[start : start + 97])
        for client in clients:
            answers = [await client.receive_response() for _ in range(3)]
            assert [outcome_of(answer) for answer in answers] == ["satisfied"] * 3
            assert sorted((answer or {})["id"] for answer in answers) == [1, 2, 3]
        assert len(rig.received()) == len(set(rig.received())) == 15


async def test_requests_of_the_last_moments_of_a_planned_restart_are_served(tmp_path: Path) -> None:
    """New connections arrive until 0.4 s after SIGTERM, requests on open connections until 0.6 s."""
    async with run_node(tmp_path, {"a": [after_delay(100, succeed)]}) as rig:
        client = await rig.connect_client()
        assert await client.call(id="00000000000000aa") == "satisfied"
        started = anyio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        await anyio.sleep_until(started + 0.4)
        new_client = await rig.connect_client()
        await anyio.sleep_until(started + 0.6)
        await client.send_request(id="00000000000000bb")
        await new_client.send_request(id="00000000000000cc")
        assert [
            outcome_of(await client.receive_response()),
            outcome_of(await new_client.receive_response()),
        ] == ["satisfied"] * 2
        await until(lambda: rig.node_ended)

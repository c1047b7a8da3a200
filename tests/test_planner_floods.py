"""Peers of a planner that send at full speed or stop half way take no lease from edges, and no memory.

The planner and the peers are processes of their own, on loopback addresses; the edge, its workers and
discovery are simulated in this process.
"""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path

import anyio
import pytest

from martenlead.planner.frames import MAX_PAYLOAD_BYTES, FrameError, FrameReader, LinkRefused
from martenlead.planner.link_input import HELLO_PAYLOAD_BYTES
from martenlead.planner.planner_client import PlannerClient
from support.full_speed_client import full_speed_clients, peak_mb, planner_hello
from support.planned import run_planned_edge, run_planner, until
from support.program_process import run_planner_process
from support.unfinished_clients import unfinished_clients
from tests.test_full_speed_clients import (
    CONNECTION_MB,
    EDGE_BASE_MB,
    FLOOD_SECONDS,
    FLOODING_CLIENTS,
    READY_SECONDS,
)

pytestmark = pytest.mark.anyio

LEASE_MS = 1500
CHECK_SECONDS = 0.05
CLIENTS = 300  # more than the edges that a planner plans for


async def count_missing_leases(client: PlannerClient) -> int:
    """Returns how often an edge was seen without its lease during the time of a flood."""
    missing = 0
    end = anyio.current_time() + FLOOD_SECONDS
    while anyio.current_time() < end:
        await anyio.sleep(CHECK_SECONDS)
        missing += not client.session.is_leased()
    return missing


@pytest.mark.parametrize(
    "kind", ["hellos of an edge", "leases of an edge", "empty events of an edge", "requests for a planner"]
)
async def test_peers_at_full_speed_take_no_lease_and_no_memory(tmp_path: Path, kind: str) -> None:
    # Guards against answers that a planner makes faster than it sends them, and keeps.
    async with (
        run_planner_process(tmp_path) as (planner, _),
        run_planned_edge([planner.port], lease_ms=LEASE_MS) as (_, client),
    ):
        await until(client.session.is_leased, READY_SECONDS)
        async with full_speed_clients(planner.port, kind, FLOODING_CLIENTS, FLOOD_SECONDS + 1):
            missing_leases = await count_missing_leases(client)
            highest_mb = peak_mb(planner.process.pid)
    assert not missing_leases
    assert highest_mb < EDGE_BASE_MB + (FLOODING_CLIENTS + 1) * CONNECTION_MB


@pytest.mark.parametrize("kind", ["half of a frame", "a hello and half of a frame"])
async def test_unfinished_frames_take_no_lease_and_no_memory(tmp_path: Path, kind: str) -> None:
    # Guards against hundreds of incomplete frames that nothing bounds together.
    async with run_planner_process(tmp_path) as (planner, _):
        async with run_planned_edge([planner.port], lease_ms=LEASE_MS) as (_, client):
            await until(client.session.is_leased, READY_SECONDS)
            async with unfinished_clients(planner.port, kind, CLIENTS, FLOOD_SECONDS) as unfinished:
                missing_leases = await count_missing_leases(client)
        highest_mb = peak_mb(planner.process.pid)
        async with run_planned_edge([planner.port], name="later") as (_, later):
            await until(later.session.is_leased, READY_SECONDS)
    assert unfinished.beginnings
    assert not missing_leases
    assert highest_mb < EDGE_BASE_MB + 2 * MAX_PAYLOAD_BYTES / 1e6 + CLIENTS * CONNECTION_MB


async def test_an_edge_that_sends_no_state_keeps_no_place() -> None:
    # Guards against peers under ever new names that take the places of all edges for good.
    async with run_planner(edges=2) as (planner, port):
        streams = []
        for number in range(4):
            streams.append(await anyio.connect_tcp("127.0.0.1", port))
            await streams[-1].send(planner_hello(f"edge{number}"))
            await until(lambda name=f"edge{number}": name in planner.sessions)
        assert list(planner.sessions) == ["edge2", "edge3"]
        async with run_planned_edge([port], name="edge4") as (_, client):
            await until(lambda: "edge4" in planner.sessions)
            await until(lambda: planner.sessions["edge4"].policy_replica is not None)
            for stream in streams:
                await stream.aclose()
            await until(lambda: list(planner.sessions) == ["edge4"])
            assert client.session.is_leased()
        assert list(planner.sessions) == ["edge4"]


async def test_a_second_hello_ends_the_link() -> None:
    # Guards against a connection that takes the name of another edge, and what is kept for it.
    async with run_planner() as (planner, port):
        stream = await anyio.connect_tcp("127.0.0.1", port)
        await stream.send(planner_hello("first") + planner_hello("second"))
        received = b""
        with suppress(anyio.EndOfStream), anyio.fail_after(READY_SECONDS):
            while True:
                received += await stream.receive()
        assert isinstance(FrameReader().feed(received)[-1], LinkRefused)
        assert not planner.sessions


async def test_only_a_hello_may_come_first_and_it_is_small() -> None:
    # Guards against memory that peers take before they have said which edge they are.
    reader = FrameReader(first_payload_bytes=HELLO_PAYLOAD_BYTES)
    with pytest.raises(FrameError, match="at most 4096"):
        reader.feed((HELLO_PAYLOAD_BYTES + 1).to_bytes(4, "big") + bytes(4))
    reader = FrameReader(first_payload_bytes=HELLO_PAYLOAD_BYTES)
    assert reader.feed(planner_hello("edge") + (HELLO_PAYLOAD_BYTES + 1).to_bytes(4, "big") + bytes(4))
    assert reader.unread_bytes == 8


async def test_the_oldest_incomplete_frame_gives_way() -> None:
    # Guards against a bound that ends whoever comes last, or counts what ended links kept.
    async with run_planner() as (planner, port):
        planner.input_memory.limit_bytes = 100_000
        streams = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(3)]
        half = (1_000_000).to_bytes(4, "big") + b"A" * 40_000
        for number, stream in enumerate(streams, start=1):
            await stream.send(planner_hello(f"edge{number}") + half)
            if number < len(streams):
                await until(lambda least=number * 40_000: planner.input_memory.kept_bytes >= least)
        await until(lambda: list(planner.sessions) == ["edge2", "edge3"])
        await until(lambda: planner.input_memory.kept_bytes >= 80_000)
        for stream in streams:
            await stream.aclose()
        await until(lambda: not planner.sessions)
        assert planner.input_memory.kept_bytes == 0

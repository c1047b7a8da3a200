"""Connections to workers: what keeping them costs where the list of workers is long."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from martenlead.node.connection_pool import ConnectionPool
from tests.nodes import run_node, succeed

pytestmark = pytest.mark.anyio


class Workers(set[ConnectionPool]):
    """The listed workers; nothing that is done for each request or each half second may look at all."""

    def __iter__(self) -> Iterator[ConnectionPool]:
        raise AssertionError("all listed workers were looked at")


async def test_a_new_connection_and_a_sweep_do_not_look_at_all_workers(
    tmp_path: Path,
) -> None:
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as p:
        link = p.node.worker_client
        link.pools = Workers(link.pools)
        client = await p.connect_client()
        assert await client.call("safe") == "satisfied"
        assert len(link.connections) == 1
        link.close_idle_connections()
        assert len(link.connections) == 1


async def test_a_worker_that_is_gone_is_forgotten_with_its_last_connection(tmp_path: Path) -> None:
    async with run_node(tmp_path, {"a": [succeed]}) as p:
        link = p.node.worker_client
        client = await p.connect_client()
        assert await client.call("safe") == "satisfied"
        (way,) = link.pools
        link.retire_connections(way)
        assert not link.connections
        assert not link.pools

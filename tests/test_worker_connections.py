"""Connections to workers: the cost of maintaining them when the list of workers is long."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from martenlead.node.connection_pool import ConnectionPool
from support.node_rig import run_node, succeed

pytestmark = pytest.mark.anyio


class UniterablePools(set[ConnectionPool]):
    """The pools of all listed workers. It raises when iterated: no request and no sweep may visit all
    workers."""

    def __iter__(self) -> Iterator[ConnectionPool]:
        raise AssertionError("iterated over all listed workers")


async def test_a_new_connection_and_a_sweep_do_not_look_at_all_workers(
    tmp_path: Path,
) -> None:
    """Both work on open connections only."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as rig:
        worker_client = rig.node.worker_client
        worker_client.pools = UniterablePools(worker_client.pools)
        client = await rig.connect_client()
        assert await client.call("safe") == "satisfied"
        assert len(worker_client.connections) == 1
        worker_client.close_idle_connections()
        assert len(worker_client.connections) == 1


async def test_a_worker_that_is_gone_is_forgotten_with_its_last_connection(tmp_path: Path) -> None:
    """Neither its connections nor its pool remain."""
    async with run_node(tmp_path, {"a": [succeed]}) as rig:
        worker_client = rig.node.worker_client
        client = await rig.connect_client()
        assert await client.call("safe") == "satisfied"
        (pool,) = worker_client.pools
        worker_client.retire_connections(pool)
        assert not worker_client.connections
        assert not worker_client.pools

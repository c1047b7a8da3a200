"""What is kept of functions has a bound, however many new names clients send."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.nodes import run_node

pytestmark = pytest.mark.anyio

FUNCTIONS = 100  # the least bound, which so small a memory limit gives
REQUESTS = 300
LIMITS = {"cores": 1.0, "memory_mb": 2, "sockets": 256}


async def test_the_policy_keeps_no_more_functions_than_the_dispatcher(tmp_path: Path) -> None:
    """Each request is for a function that nobody has asked for before."""
    async with run_node(tmp_path, limits=LIMITS) as p:
        client = await p.connect_client()
        for number in range(REQUESTS):
            await client.call(key=f"{number:016x}")
        assert len(p.node.dispatcher.functions_by_name) == FUNCTIONS
        assert len(p.node.dispatcher.policy_boundary._policy.state.functions) <= FUNCTIONS

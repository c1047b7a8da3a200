"""The number of functions that a node keeps is bounded, however many new names clients send."""

from __future__ import annotations

from pathlib import Path

import pytest

from support.node_rig import run_node

pytestmark = pytest.mark.anyio

FUNCTION_LIMIT = 100  # The lowest limit, in force for so small a memory limit
REQUESTS = 300
LIMITS = {"cores": 1.0, "memory_mb": 2, "sockets": 256}


async def test_the_policy_keeps_no_more_functions_than_the_dispatcher(tmp_path: Path) -> None:
    """Each request is for a function that no request has named before."""
    async with run_node(tmp_path, limits=LIMITS) as rig:
        client = await rig.connect_client()
        for number in range(REQUESTS):
            await client.call(key=f"{number:016x}")
        assert len(rig.node.dispatcher.functions_by_name) == FUNCTION_LIMIT
        assert len(rig.node.dispatcher.policy_boundary._policy.state.functions) <= FUNCTION_LIMIT

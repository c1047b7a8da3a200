"""What a worker is sent, and over which connections."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from support.fleet import until
from tests.nodes import SETTINGS, outcome_of, run_node, succeed

pytestmark = pytest.mark.anyio

KEY, FUNCTION = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "7f3a9c21e0b4d655"
BODY = "AAH/CiJ7fQ=="  # holds a zero byte, a line feed and a quote
IDLE_LIMIT = 0.6  # s, after which the worker would close


async def test_id_class_function_body_and_key_are_passed_on_unchanged(tmp_path: Path) -> None:
    received: list[dict[str, Any]] = []

    async def noting(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        received.append(told)
        await succeed(runner, stream, told)

    async with run_node(tmp_path, {"a": [noting]}) as p:
        client = await p.connect_client()
        for method, once in (("keyed", KEY), ("safe", None)):
            await client.send_request(
                method, id=f"9b1f03aa5c7e2d4{client.last_number}", key=FUNCTION, blob=BODY, once=once
            )
            assert (await client.receive_response() or {})["result"] == {"blob": BODY}
        first, second = received
        assert 0 < first["props"].pop("ttl") <= 1500
        assert 0 < second["props"].pop("ttl") <= 1500
        props = {"lane": "keyed", "name": FUNCTION, "dedupe": KEY}
        assert first == {"m": "DO", "txn": "9b1f03aa5c7e2d40", "props": props, "raw": BODY}
        props = {"lane": "safe", "name": FUNCTION}
        assert second == {"m": "DO", "txn": "9b1f03aa5c7e2d41", "props": props, "raw": BODY}


async def test_an_idle_connection_is_closed_before_the_worker_would(tmp_path: Path) -> None:
    """One line written as the worker closes may have run. The next request has a connection of its own."""
    allowed = SETTINGS["allowed"] | {"conn-idle": IDLE_LIMIT}
    async with run_node(tmp_path, {"a": [succeed]}, settings=SETTINGS | {"allowed": allowed}) as p:
        client = await p.connect_client()
        assert await client.call("unsafe") == "satisfied"
        await anyio.sleep(0.5 * IDLE_LIMIT + 0.01)  # the sweep may not have come by
        await client.send_request("unsafe")
        assert outcome_of(await client.receive_response()) == "satisfied"
        assert p.workers["a"].connection_count == 2
        await until(lambda: p.workers["a"].open_connections == 0, within=5)

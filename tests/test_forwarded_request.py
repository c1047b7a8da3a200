"""What the node sends to a worker, and over which connections."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from support.fleet import until
from support.node_rig import SETTINGS, outcome_of, run_node, succeed

pytestmark = pytest.mark.anyio

KEY, FUNCTION = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "7f3a9c21e0b4d655"
BODY = "AAH/CiJ7fQ=="  # Decodes to bytes with a zero byte, a line feed and a quote
IDLE_LIMIT_SECONDS = 0.6  # After it the worker would close the connection


async def test_id_class_function_body_and_key_are_passed_on_unchanged(tmp_path: Path) -> None:
    """The time left (`ttl`) is the only field that the node computes."""
    received: list[dict[str, Any]] = []

    async def record_and_succeed(worker: Any, stream: Any, request: dict[str, Any]) -> None:
        """Notes the request line as it was received."""
        received.append(request)
        await succeed(worker, stream, request)

    async with run_node(tmp_path, {"a": [record_and_succeed]}) as rig:
        client = await rig.connect_client()
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
    """A line that is written as the worker closes may have run. So the next request gets a new connection."""
    allowed = SETTINGS["allowed"] | {"conn-idle": IDLE_LIMIT_SECONDS}
    async with run_node(tmp_path, {"a": [succeed]}, settings=SETTINGS | {"allowed": allowed}) as rig:
        client = await rig.connect_client()
        assert await client.call("unsafe") == "satisfied"
        await anyio.sleep(0.5 * IDLE_LIMIT_SECONDS + 0.01)  # no sweep may have run by now
        await client.send_request("unsafe")
        assert outcome_of(await client.receive_response()) == "satisfied"
        assert rig.workers["a"].connection_count == 2
        await until(lambda: rig.workers["a"].open_connections == 0, within=5)

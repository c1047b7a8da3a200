"""Responses after the event loop was stalled past a deadline.

After a stall everything that is due runs in one iteration of the event loop, socket input first. The order
must not decide whether an attempt that was never sent counts as one that may have run.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from support.fleet import respond_ok, run_edge, until
from support.node_rig import SETTINGS, Client, NodeRig, outcome_of, run_node, with_deadlines
from support.virtual_time import VIRTUAL_TIME, VirtualTimeLoop, follow_loop_time

pytestmark = pytest.mark.anyio
virtual_time = pytest.mark.parametrize("anyio_backend", [VIRTUAL_TIME], ids=["virtual time"])
METHODS = ("safe", "keyed", "unsafe")
KEY = {"safe": {}, "unsafe": {}, "keyed": {"once": f"{1:032x}"}}
DEADLINE_MS = 1500


def prevent_connections(p: NodeRig) -> None:
    """Makes the node wait forever for connections to workers."""

    async def connect(_connection: Any) -> None:
        await anyio.sleep_forever()

    p.node.worker_client._connect = connect  # type: ignore[method-assign]


def is_waiting_for_connection(p: NodeRig) -> bool:
    """Whether a call to a worker waits for its connection to open."""
    connections = p.node.worker_client.connections
    return any(c.transport is None and c.outstanding_calls for c in connections)


def write_at_once(client: Client, data: bytes) -> None:
    """Writes into the socket's buffer without running the event loop."""
    os.write(client.stream.extra(SocketAttribute.raw_socket).fileno(), data)


def stall(seconds: float) -> None:
    """Advances the virtual time as if the event loop had been blocked."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.stall(seconds)


@virtual_time
@pytest.mark.parametrize("method", METHODS)
async def test_a_request_that_was_never_sent_is_rejected_after_a_stall_over_its_deadline(
    method: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failure instead of a rejection: another client's input resumes the policy first."""
    follow_loop_time(monkeypatch)
    async with run_node(tmp_path) as p:
        prevent_connections(p)
        client, other = await p.connect_client(), await p.connect_client()
        await client.send_request(method, **KEY[method])
        await until(lambda: is_waiting_for_connection(p))
        write_at_once(other, other.encode_request(id="00000000000000bb"))
        stall(DEADLINE_MS / 1000)
        assert outcome_of(await client.receive_response()) == "turned back"
        assert p.received() == []


@virtual_time
@pytest.mark.parametrize("method", METHODS)
async def test_a_request_that_was_never_sent_is_rejected_before_the_kill(
    method: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failure instead of a rejection if a request has more time left than the process."""
    follow_loop_time(monkeypatch)
    async with run_node(tmp_path, settings=SETTINGS | with_deadlines(9.0)) as p:
        prevent_connections(p)
        client = await p.connect_client()
        await client.send_request(method, wait=9000, **KEY[method])
        await until(lambda: is_waiting_for_connection(p))
        os.kill(os.getpid(), signal.SIGTERM)
        assert outcome_of(await client.receive_response()) == "turned back"
        assert p.received() == []


@pytest.mark.parametrize("kind", ("estimate", "post", "notice"))
async def test_the_edge_rejects_what_was_never_sent_after_a_stall_over_its_deadline(kind: str) -> None:
    """Guards against 504 instead of 503: another client's input resumes the policy first."""
    async with run_edge({"a": [respond_ok]}, limits={"connect_ms": 5000}) as f:
        is_connecting = anyio.Event()

        async def connect() -> None:
            is_connecting.set()
            await anyio.sleep_forever()

        for worker in f.dispatcher.workers.values():
            worker.connections.pool._connect = connect
        key = {"repeatkey": "k"} if kind == "post" else {}
        responses: list[tuple[int, dict[str, object]]] = []

        async def call() -> None:
            responses.append(await f.call(kind, left=1000, **key))

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await is_connecting.wait()
            other = await anyio.connect_tcp("127.0.0.1", f.port)
            await until(lambda: len(f.event_listener.server.connections) == 2)
            request = b"POST / HTTP/1.1\r\nhost: e\r\nce-specversion: 1.0\r\nce-id: o\r\nce-source: /c\r\n"
            request += b"ce-type: estimate\r\nce-model: m\r\ncontent-length: 0\r\n\r\n"
            os.write(other.extra(SocketAttribute.raw_socket).fileno(), request)
            time.sleep(1.0)
        await other.aclose()
        assert [(status, answer["final"]) for status, answer in responses] == [(503, "turned back")]
        assert f.received() == []

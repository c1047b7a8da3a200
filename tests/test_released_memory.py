"""What peers have sent is released as soon as it is no longer needed, without a run of the garbage collector.

The collector is disabled in these tests, so that nothing depends on when it runs: a reference cycle that
holds received data fails them.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest

from support.cyclic_garbage import collector_disabled, describe_garbage_buffers
from support.fleet import until
from support.node_rig import (
    Behaviour,
    Client,
    NodeRig,
    frame,
    message,
    reset_on_close,
    respond_with,
    run_node,
    send_bytes,
    silent,
    succeed,
)

pytestmark = pytest.mark.anyio

REPETITIONS = 5
HALF_MESSAGE = (
    b"Content-Length: 65000\r\n\r\n" + b'{"jsonrpc":"2.0","id":1,"params":{"blob":"' + b"A" * 40_000
)
NOT_JSON = b"Content-Length: 40000\r\n\r\n" + b"{" * 40_000
BODY_BASE64 = "A" * 20_000
"""Base64 of a body of nearly the size that the protocol allows."""
INVALID_PARAMS = message(
    {"jsonrpc": "2.0", "id": 1, "method": "safe", "params": {"id": 7, "blob": BODY_BASE64}}
)
RESPONSE_START = b'{"m":"DONE","txn":"%TXN%","raw":"' + b"A" * 60_000
HALF_FRAME = frame(2, 2, bytes(200_000))[:150_000]


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on asyncio and on uvloop."""
    return "asyncio", {"use_uvloop": request.param}


@asynccontextmanager
async def node_without_collector(
    tmp_path: Path, behaviour: Behaviour, prepare: Callable[[NodeRig], Awaitable[None]]
) -> AsyncIterator[NodeRig]:
    """Runs a node, calls `prepare` once, and disables the collector.

    At the end all clients have left, and no large buffer may wait for the collector.
    """
    async with run_node(tmp_path, {"a": [behaviour]}) as rig:
        await prepare(rig)
        await wait_until_quiet(rig)
        with collector_disabled():
            yield rig
            await wait_until_quiet(rig)
            assert describe_garbage_buffers() == []


async def wait_until_quiet(rig: NodeRig) -> None:
    """Waits until the node has no client and no request."""
    listener, dispatcher = rig.node.listener, rig.node.dispatcher
    await until(lambda: not listener.clients and not listener.closing and not dispatcher.pending_requests)
    await anyio.sleep(0.05)  # callbacks of the event loop that still refer to ended connections


async def has_connection(rig: NodeRig) -> None:
    """Waits until the node has read something from a client."""
    await until(lambda: any(c.partial_since_ns for c in rig.node.listener.clients))


async def close_after_half_a_message(rig: NodeRig) -> None:
    client = await rig.connect_client()
    await client.send(HALF_MESSAGE)
    await has_connection(rig)
    await client.stream.aclose()


async def reset_after_half_a_message(rig: NodeRig) -> None:
    client = await rig.connect_client()
    await client.send(HALF_MESSAGE)
    await has_connection(rig)
    reset_on_close(client.stream)
    await anyio.aclose_forcefully(client.stream)


async def send_invalid(rig: NodeRig, data: bytes) -> None:
    """Sends bytes that the node refuses, and reads the refusal."""
    client = await rig.connect_client()
    await client.send(data)
    response = await client.receive_response()
    assert response is not None
    assert "error" in response
    await client.stream.aclose()


async def send_unframed_bytes(rig: NodeRig) -> None:
    await send_invalid(rig, b"x" * 40_000)


async def send_invalid_json(rig: NodeRig) -> None:
    await send_invalid(rig, NOT_JSON)


async def send_invalid_params(rig: NodeRig) -> None:
    await send_invalid(rig, INVALID_PARAMS)


@pytest.mark.parametrize(
    "leave",
    [
        close_after_half_a_message,
        reset_after_half_a_message,
        send_unframed_bytes,
        send_invalid_json,
        send_invalid_params,
    ],
    ids=lambda leave: leave.__name__,
)
async def test_input_of_ended_clients_is_released(
    tmp_path: Path, leave: Callable[[NodeRig], Awaitable[None]]
) -> None:
    """Guards against a node killed for memory by clients that send parts of requests and close."""
    async with node_without_collector(tmp_path, succeed, leave) as rig:
        for _ in range(REPETITIONS):
            await leave(rig)


class RequestSender:
    """Sends requests with large bodies, each with an id of its own."""

    def __init__(self) -> None:
        self.requests = 0

    async def send(self, rig: NodeRig) -> Client:
        """Sends one request on a new connection."""
        self.requests += 1
        client = await rig.connect_client()
        await client.send_request(id=f"{self.requests:016x}", blob=BODY_BASE64)
        return client

    async def read_response(self, rig: NodeRig) -> None:
        """Sends a request, and reads its response, whatever it is."""
        client = await self.send(rig)
        assert await client.receive_response() is not None
        await client.stream.aclose()

    async def leave_early(self, rig: NodeRig) -> None:
        """Sends a request, and closes once a worker has it."""
        received = len(rig.received())
        client = await self.send(rig)
        await until(lambda: len(rig.received()) > received)
        await client.stream.aclose()


@pytest.mark.parametrize(
    "behaviour",
    [
        succeed,
        respond_with("WAIT", ""),
        respond_with("BROKE", ""),
        send_bytes(RESPONSE_START, end=True),
        send_bytes(RESPONSE_START, reset=True),
        send_bytes(b"#" * 30_000 + b"\n"),
        send_bytes(b"#" * 140_000),
    ],
    ids=[
        "served",
        "full",
        "failing",
        "closes in the line",
        "resets in the line",
        "invalid line",
        "no line end",
    ],
)
async def test_bodies_of_answered_requests_are_released(tmp_path: Path, behaviour: Behaviour) -> None:
    """Guards against memory that grows with the bodies of requests and responses that are over."""
    sender = RequestSender()
    async with node_without_collector(tmp_path, behaviour, sender.read_response) as rig:
        for _ in range(REPETITIONS):
            await sender.read_response(rig)


async def test_bodies_of_requests_whose_clients_have_left_are_released(tmp_path: Path) -> None:
    """Guards against memory that grows with the requests of clients that give up."""
    sender = RequestSender()
    async with node_without_collector(tmp_path, silent, sender.leave_early) as rig:
        for _ in range(REPETITIONS):
            await sender.leave_early(rig)


async def test_attempts_that_were_never_written_release_their_bodies(tmp_path: Path) -> None:
    """Guards against memory that grows with requests while workers cannot be connected."""
    sender = RequestSender()

    async def call_unreachable_worker(rig: NodeRig) -> None:
        listener = rig.workers["a"].listener
        assert listener is not None
        await listener.aclose()
        await sender.read_response(rig)

    async with node_without_collector(tmp_path, succeed, call_unreachable_worker) as rig:
        for _ in range(REPETITIONS):
            await sender.read_response(rig)


async def test_half_frames_of_the_journal_service_are_released(tmp_path: Path) -> None:
    """Guards against memory that grows with each end of a journal connection inside a frame."""

    async def end_inside_a_frame(rig: NodeRig) -> None:
        connections = len(rig.journal.resume_positions)
        stream = rig.journal.streams.pop()
        await stream.send(HALF_FRAME)
        await stream.aclose()
        await until(lambda: len(rig.journal.resume_positions) > connections)

    async with node_without_collector(tmp_path, succeed, end_inside_a_frame) as rig:
        for _ in range(REPETITIONS):
            await end_inside_a_frame(rig)

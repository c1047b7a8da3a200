"""The edge releases what peers have sent as soon as it is no longer needed, without the garbage collector.

As in test_released_memory.py, the collector is disabled, so that nothing depends on when it runs.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from martenlead.events import http
from martenlead.events.cloudevent import Event, encode_event
from martenlead.events.http import Message
from support.cyclic_garbage import collector_disabled, describe_garbage_buffers
from support.fleet import (
    Behaviour,
    EdgeRig,
    reject_at_capacity,
    respond_error,
    respond_ok,
    run_edge,
    send_bytes,
    silent,
    until,
)
from support.node_rig import reset_on_close

pytestmark = pytest.mark.anyio

REPETITIONS = 5
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n"
BODY = b"A" * 90_000
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n"
TOO_LONG_HEAD = b"POST / HTTP/1.1\r\nx: " + b"A" * 30_000
INVALID_CHUNK = CHUNKED_HEAD + b"4000\r\n" + b"A" * 16_384 + b"\r\nzz\r\n"
TOO_LONG_TRAILER = CHUNKED_HEAD + b"0\r\n" + b"x: y\r\n" * 50_000


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on asyncio and on uvloop."""
    return "asyncio", {"use_uvloop": request.param}


class RawClient:
    """Sends requests with large bodies, each on a connection of its own."""

    def __init__(self, rig: EdgeRig) -> None:
        self.rig = rig
        self.requests = 0

    async def connect(self) -> SocketStream:
        """Opens a connection, and waits until the edge has accepted it."""
        connections = self.rig.event_listener.server.connections
        stream = await anyio.connect_tcp("127.0.0.1", self.rig.port)
        await until(lambda: connections)
        return stream

    def encode_request(self) -> bytes:
        """Returns a request with an id of its own."""
        self.requests += 1
        attributes: dict[str, Any] = {
            "specversion": "1.0",
            "id": f"t{self.requests}",
            "source": "/c",
            "type": "estimate",
            "model": "m",
            "timeleftms": 1500,
        }
        headers, body = encode_event(Event(attributes, BODY, "text/plain"))
        return http.request(b"POST", b"/", b"edge", headers, body)

    async def close_after_half_a_request(self) -> None:
        stream = await self._send_half_a_request()
        await stream.aclose()

    async def reset_after_half_a_request(self) -> None:
        stream = await self._send_half_a_request()
        reset_on_close(stream)
        await anyio.aclose_forcefully(stream)

    async def _send_half_a_request(self) -> SocketStream:
        stream = await self.connect()
        data = self.encode_request()
        await stream.send(data[: len(data) // 2])
        connections = self.rig.event_listener.server.connections
        await until(lambda: any(connection.reader.in_message for connection in connections))
        return stream

    async def send_too_long_head(self) -> None:
        await self._send_and_read(TOO_LONG_HEAD)

    async def send_unframed_bytes(self) -> None:
        await self._send_and_read(b"x" * 30_000)

    async def send_invalid_chunk(self) -> None:
        await self._send_and_read(INVALID_CHUNK)

    async def send_too_long_trailer(self) -> None:
        await self._send_and_read(TOO_LONG_TRAILER)

    async def send_request(self) -> None:
        """Sends a request, and closes once a part of its response has come."""
        await self._send_and_read(self.encode_request())

    async def _send_and_read(self, data: bytes) -> None:
        stream = await self.connect()
        await stream.send(data)
        await stream.receive()
        await stream.aclose()

    async def leave_early(self) -> None:
        """Sends a request, and closes once a worker has it."""
        arrivals = len(self.rig.arrivals)
        stream = await self.connect()
        await stream.send(self.encode_request())
        await until(lambda: len(self.rig.arrivals) > arrivals)
        await stream.aclose()

    async def wait_until_gone(self) -> None:
        """Waits until the edge has no client and no request."""
        server, dispatcher = self.rig.event_listener.server, self.rig.dispatcher
        await until(lambda: not server.connections and not dispatcher.pending_requests)
        await anyio.sleep(0.05)  # callbacks of the event loop that still refer to ended tasks


async def assert_nothing_waits_for_the_collector(
    rig: EdgeRig, step: Callable[[RawClient], Awaitable[None]]
) -> None:
    """Repeats a step of a client without the collector; no large buffer may be left to it."""
    client = RawClient(rig)
    await step(client)
    await client.wait_until_gone()
    with collector_disabled():
        for _ in range(REPETITIONS):
            await step(client)
        await client.wait_until_gone()
        assert describe_garbage_buffers() == []


@pytest.mark.parametrize(
    "step",
    [
        RawClient.close_after_half_a_request,
        RawClient.reset_after_half_a_request,
        RawClient.send_too_long_head,
        RawClient.send_unframed_bytes,
        RawClient.send_invalid_chunk,
        RawClient.send_too_long_trailer,
    ],
    ids=lambda step: step.__name__,
)
async def test_input_of_ended_clients_is_released(step: Callable[[RawClient], Awaitable[None]]) -> None:
    """Guards against an edge that grows by gigabytes with uploads that clients break off."""
    async with run_edge() as rig:
        await assert_nothing_waits_for_the_collector(rig, step)
        rig.task_group.cancel_scope.cancel()


async def respond_with_large_body(_worker: Any, stream: SocketStream, _message: Message) -> None:
    """Answers with a complete body of 200,000 bytes."""
    await stream.send(RESPONSE_HEAD + b"B" * 200_000)


@pytest.mark.parametrize(
    "behaviour",
    [
        respond_ok,
        respond_with_large_body,
        reject_at_capacity,
        respond_error,
        send_bytes(RESPONSE_HEAD + b"B" * 100_000, end=True),
        send_bytes(b"#" * 20_000),
    ],
    ids=["served", "large response", "full", "failing", "closes in the response", "invalid response"],
)
async def test_bodies_of_answered_requests_are_released(behaviour: Behaviour) -> None:
    """Guards against memory that grows with the bodies of requests and responses that are over."""
    async with run_edge({"a": [behaviour]}) as rig:
        await assert_nothing_waits_for_the_collector(rig, RawClient.send_request)
        rig.task_group.cancel_scope.cancel()


@pytest.mark.parametrize(
    "behaviour", [silent, send_bytes(RESPONSE_HEAD + b"B" * 50_000)], ids=["silent", "half a response"]
)
async def test_bodies_of_requests_whose_clients_have_left_are_released(behaviour: Behaviour) -> None:
    """Guards against memory that grows with the requests of clients that give up."""
    async with run_edge({"a": [behaviour]}) as rig:
        await assert_nothing_waits_for_the_collector(rig, RawClient.leave_early)
        rig.task_group.cancel_scope.cancel()


async def test_an_idle_connection_holds_no_body() -> None:
    """Guards against idle connections that each keep the body of their last request."""
    async with run_edge() as rig:
        client = RawClient(rig)
        stream = await client.connect()
        await stream.send(client.encode_request())
        await stream.receive()
        (connection,) = rig.event_listener.server.connections
        await until(lambda: not rig.dispatcher.pending_requests and not connection.slots)
        reader = connection.reader
        assert (reader.completed, reader._message, reader._body) == ([], Message(), b"")
        await stream.aclose()
        rig.task_group.cancel_scope.cancel()

"""A client of the edge that has disconnected gets no further attempt, even if its end has not been read.

As in `test_client_gone`, the client disconnects without an iteration of the event loop before the attempt.
"""

from __future__ import annotations

import socket
import struct
from typing import Any

import anyio
import pytest

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.policy.types import Result
from support.attempt_hooks import before_attempt
from support.fleet import EdgeRig, reject_at_capacity, respond_ok, run_edge, until

pytestmark = pytest.mark.anyio
DISCONNECTS = ("half close", "close", "reset", "close after a further request")
QUEUE_SETTINGS: list[Any] = [None, {}]  # values of the setting `queues`


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


def encode_request(ident: str) -> bytes:
    """Encodes an event of the class `estimate` as an HTTP request."""
    attributes = {"specversion": "1.0", "id": ident, "source": "/c", "type": "estimate", "model": "m"}
    headers = [(b"ce-" + name.encode(), value.encode()) for name, value in attributes.items()]
    return http.request(b"POST", b"/", b"edge", headers)


def disconnect(client: socket.socket, manner: str) -> None:
    """Ends the client's connection in one of the manners of `DISCONNECTS`."""
    match manner:
        case "half close":
            client.shutdown(socket.SHUT_WR)
        case "close":
            client.close()
        case "reset":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
        case "close after a further request":
            client.sendall(encode_request("behind"))
            client.close()


async def connect_workers(rig: EdgeRig) -> None:
    """Opens an idle connection to each worker, so that an attempt is sent as soon as it is decided."""
    outcomes: list[Any] = []
    for worker in rig.dispatcher.workers.values():
        rig.dispatcher.link.send_load_request(
            worker, rig.dispatcher.find_or_add_function("other", 1, 100.0), 0, outcomes.append
        )
    await until(lambda: len(outcomes) == len(rig.dispatcher.workers))


async def assert_cancelled(rig: EdgeRig, attempts: int) -> None:
    """Checks that the request ended after `attempts` attempts, all have ended, and the edge still serves."""
    await until(lambda: rig.dispatcher.counts["final", "left"])
    await until(lambda: not rig.dispatcher._in_flight and not rig.dispatcher.pending_requests)
    assert (await rig.call(ident="next"))[0] == 200
    assert [ident for _, _, ident in rig.arrivals if ident != "next"] == ["left"] * attempts
    assert rig.dispatcher.counts["hand-off", Result.NOT_SENT.value] >= 1


@pytest.mark.parametrize("manner", DISCONNECTS)
@pytest.mark.parametrize("queues", QUEUE_SETTINGS, ids=["no queues", "queues"])
@pytest.mark.parametrize("attempt_index", [0, 1], ids=["first attempt", "further attempt"])
async def test_a_client_that_disconnects_as_an_attempt_begins_gets_no_attempt(
    manner: str, queues: Any, attempt_index: int
) -> None:
    """The client disconnects between the decision on an attempt and its sending."""
    async with run_edge(queues=queues) as rig:
        await connect_workers(rig)
        rig.shared_behaviours = [reject_at_capacity] * attempt_index
        client = socket.create_connection(("127.0.0.1", rig.port))
        before_attempt(rig.dispatcher.link, attempt_index, lambda: disconnect(client, manner))
        client.sendall(encode_request("left"))
        await assert_cancelled(rig, attempt_index)
        client.close()


@pytest.mark.parametrize("manner", DISCONNECTS)
async def test_a_client_that_disconnects_as_the_worker_connection_opens_gets_no_attempt(
    manner: str, monkeypatch: Any
) -> None:
    """The attempt waits for a connection; the client disconnects just after that has been opened."""
    async with run_edge() as rig:
        client, connect = socket.create_connection(("127.0.0.1", rig.port)), Pool._connect
        disconnected: list[None] = []

        async def connect_and_disconnect(pool: Pool) -> Any:
            """Opens the connection, and disconnects the client after the first one to a worker."""
            connection = await connect(pool)
            if pool is not rig.pool and not disconnected:
                disconnected.append(disconnect(client, manner))
            return connection

        monkeypatch.setattr(Pool, "_connect", connect_and_disconnect)
        client.sendall(encode_request("left"))
        await assert_cancelled(rig, 0)
        client.close()


async def test_unread_pipelined_requests_do_not_cancel_a_request() -> None:
    """Guards against treating unread input of the connection as its end."""
    async with run_edge({"a": [respond_ok], "b": [respond_ok]}, limits={"pipelined": 1}) as rig:
        client = socket.create_connection(("127.0.0.1", rig.port))
        before_attempt(
            rig.dispatcher.link, 0, lambda: client.sendall(encode_request("second") + encode_request("third"))
        )
        client.sendall(encode_request("first"))
        client.setblocking(False)
        received = b""
        with anyio.fail_after(5):
            while received.count(b"HTTP/1.1 200 ") < 3:
                await anyio.wait_readable(client)
                received += (data := client.recv(4096))
                assert data
        assert [ident for _, _, ident in rig.arrivals] == ["first", "second", "third"]
        assert not rig.dispatcher.counts["final", "left"]
        client.close()


async def exchange_all(port: int, requests: list[bytes]) -> list[bytes]:
    """Writes all requests while it reads; returns the status of each response, in their order."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream, anyio.create_task_group() as group:
        group.start_soon(stream.send, b"".join(requests))
        with anyio.fail_after(20):
            while received.count(b"HTTP/1.1 ") < len(requests):
                received += await stream.receive()
    return [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]


async def test_requests_far_ahead_of_their_responses_are_rejected_and_all_are_answered() -> None:
    # Guards against a pipeline that fills up, so that the end of its client is not seen behind it.
    head, body = encode_request("many").split(b"content-length: 0\r\n"), b"x" * 8_000
    request = head[0] + b"content-length: 8000\r\n" + head[1] + body
    held = anyio.Event()

    async def respond_once_released(worker: Any, stream: Any, message: Any) -> None:
        """Answers once the edge has read all that it reads ahead."""
        await held.wait()
        await respond_ok(worker, stream, message)

    limits = {"pipelined": 4, "runner_connections": 32}
    async with (
        run_edge({"a": [respond_once_released]}, limits=limits) as rig,
        anyio.create_task_group() as group,
    ):

        async def release() -> None:
            """Lets the worker answer once a request was rejected."""
            await until(lambda: rig.dispatcher.counts["client", "overrun"])
            held.set()

        group.start_soon(release)
        statuses = await exchange_all(rig.port, [request] * 200)
        assert set(statuses) == {b"200", b"503"}
        assert statuses[:4] == [b"200"] * 4
        assert len(rig.arrivals) == statuses.count(b"200")
        assert rig.dispatcher.counts["client", "overrun"] == statuses.count(b"503")


async def test_no_attempt_begins_while_the_end_of_its_client_may_be_unread() -> None:
    # Guards against an end that the kernel has not accepted yet, as its buffer is full.
    async with run_edge() as rig:
        await connect_workers(rig)
        client = socket.create_connection(("127.0.0.1", rig.port))
        is_hidden = [True]
        await until(lambda: rig.event_listener.server.connections)
        (connection,) = rig.event_listener.server.connections
        connection.may_have_left = lambda: is_hidden[0]  # type: ignore[method-assign]
        client.sendall(encode_request("left"))
        await until(lambda: rig.dispatcher.pending_requests)
        await anyio.sleep(0.1)
        assert not rig.arrivals
        is_hidden[0] = False
        await until(lambda: rig.arrivals)
        client.close()

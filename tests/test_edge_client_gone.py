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

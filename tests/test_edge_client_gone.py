"""A client of the edge that has closed gets no attempt any more, also before the event loop has read its end.

As in `test_client_gone`, the end is put into the machine without a turn of the loop before the attempt.
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
from support.fleet import Fleet, fleet, full, satisfied, until

pytestmark = pytest.mark.anyio
LEAVES = ("half close", "close", "reset", "close behind a request")
GATES: list[Any] = [None, {}]  # the settings `queues`


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


def ask(ident: str) -> bytes:
    attributes = {"specversion": "1.0", "id": ident, "source": "/c", "type": "estimate", "model": "m"}
    headers = [(b"ce-" + name.encode(), value.encode()) for name, value in attributes.items()]
    return http.request(b"POST", b"/", b"edge", headers)


def leave(client: socket.socket, how: str) -> None:
    match how:
        case "half close":
            client.shutdown(socket.SHUT_WR)
        case "close":
            client.close()
        case "reset":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
        case "close behind a request":
            client.sendall(ask("behind"))
            client.close()


async def connect_workers(f: Fleet) -> None:
    """To each worker a connection stands idle, so that an attempt leaves as it is decided."""
    heard: list[Any] = []
    for box in f.dispatcher.workers.values():
        f.dispatcher.link.send_load_request(
            box, f.dispatcher.find_or_add_function("other", 1, 100.0), 0, heard.append
        )
    await until(lambda: len(heard) == len(f.dispatcher.workers))


async def is_over(f: Fleet, attempts: int) -> None:
    """The request ended as cancelled after so many attempts, nothing is out, and the edge still serves."""
    await until(lambda: f.dispatcher.counts["final", "left"])
    await until(lambda: not f.dispatcher._in_flight and not f.dispatcher.pending_requests)
    assert (await f.call(ident="next"))[0] == 200
    assert [ident for _, _, ident in f.arrivals if ident != "next"] == ["left"] * attempts
    assert f.dispatcher.counts["hand-off", Result.NOT_SENT.value] >= 1


@pytest.mark.parametrize("how", LEAVES)
@pytest.mark.parametrize("queues", GATES, ids=["no gate", "gate"])
@pytest.mark.parametrize("which", [0, 1], ids=["first attempt", "further attempt"])
async def test_left_as_an_attempt_begins(how: str, queues: Any, which: int) -> None:
    async with fleet(queues=queues) as f:
        await connect_workers(f)
        f.first = [full] * which
        client = socket.create_connection(("127.0.0.1", f.port))
        before_attempt(f.dispatcher.link, which, lambda: leave(client, how))
        client.sendall(ask("left"))
        await is_over(f, which)
        client.close()


@pytest.mark.parametrize("how", LEAVES)
async def test_left_as_the_connection_to_the_worker_is_up(how: str, monkeypatch: Any) -> None:
    async with fleet() as f:
        client, real = socket.create_connection(("127.0.0.1", f.port)), Pool._connect
        left: list[None] = []

        async def connect(pool: Pool) -> Any:
            made = await real(pool)
            if pool is not f.pool and not left:
                left.append(leave(client, how))
            return made

        monkeypatch.setattr(Pool, "_connect", connect)
        client.sendall(ask("left"))
        await is_over(f, 0)
        client.close()


async def test_unread_requests_behind_it_are_no_end() -> None:
    async with fleet({"a": [satisfied], "b": [satisfied]}, limits={"pipelined": 1}) as f:
        client = socket.create_connection(("127.0.0.1", f.port))
        before_attempt(f.dispatcher.link, 0, lambda: client.sendall(ask("second") + ask("third")))
        client.sendall(ask("first"))
        client.setblocking(False)
        got = b""
        with anyio.fail_after(5):
            while got.count(b"HTTP/1.1 200 ") < 3:
                await anyio.wait_readable(client)
                got += (data := client.recv(4096))
                assert data
        assert [ident for _, _, ident in f.arrivals] == ["first", "second", "third"]
        assert not f.dispatcher.counts["final", "left"]
        client.close()

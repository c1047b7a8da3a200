"""What is cut into pieces, told twice, or breaks off and falls silent: each request has its one answer."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from support.fleet import until
from support.peers import PeerListener
from tests.nodes import CONNECTION_ERRORS, frame, outcome_of, run_node, send_bytes, succeed

pytestmark = pytest.mark.anyio


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


async def test_requests_in_pieces_of_one_byte(tmp_path: Path) -> None:
    """Each byte is read alone: the next is written once the node has the one before."""
    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        await until(lambda: p.node.listener.clients)
        (own,) = p.node.listener.clients
        pieces: list[int] = []
        feed = own.decoder.feed
        own.decoder.feed = lambda data: pieces.append(len(data)) or feed(data)
        first, second = client.encode_request("unsafe"), client.encode_request("unsafe")
        for at, byte in enumerate(first + second):
            await client.send(bytes([byte]))
            await until(lambda at=at: len(pieces) > at)  # type: ignore[misc]
            assert len(p.received()) <= (at + 1) // len(first)
        assert set(pieces) == {1}
        told = [await client.receive_response() or {} for _ in range(2)]
        assert [(t["id"], outcome_of(t)) for t in told] == [(1, "satisfied"), (2, "satisfied")]
        assert len(p.received()) == 2


async def test_the_whole_list_again_while_attempts_are_out(tmp_path: Path) -> None:
    """The same one touches nothing; one that lacks a runner lets what is out there end, and sends no more."""
    gone = anyio.Event()

    async def held(*its: Any) -> None:
        await gone.wait()
        await succeed(*its)

    async with run_node(tmp_path, {"a": [held, succeed], "b": [held, succeed]}) as p:
        await until(lambda: p.journal.streams)
        clients = [await p.connect_client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.last_number = number * 100
            await client.send_request("unsafe", wait=1900, key=f"{number:016x}")
        await until(lambda: len(p.received()) == 2)
        boxes = dict(p.node.dispatcher.workers)
        await p.journal.publish(p.worker_record("a"), p.worker_record("b"), kind=1)
        await until(lambda: p.node.discovery.endpoint_list.version == 2)
        assert p.node.dispatcher.workers == boxes and len(p.node.dispatcher._in_flight) == 2
        await p.journal.publish(p.worker_record("b"), kind=1)
        await until(lambda: p.node.discovery.endpoint_list.version == 3)
        gone.set()
        assert [outcome_of(await client.receive_response()) for client in clients] == ["satisfied"] * 2
        before = len(p.received())
        for _ in range(3):
            assert await clients[0].call("unsafe") == "satisfied"
        assert {line[0] for line in p.received()[before:]} == {"b"}
        assert not p.received("UNDO")


async def test_a_silence_of_the_journal_that_begins_after_a_cut(tmp_path: Path, monkeypatch: Any) -> None:
    """It breaks off inside an event; asked again it accepts, and says nothing at all: it is asked again."""
    monkeypatch.setattr("martenlead.node.discovery.SILENCE_TIMEOUT_SECONDS", 0.4)
    asked: list[int] = []  # of the silent one

    async def connected(stream: SocketStream) -> None:
        if asked:
            await p.journal.serve_connection(stream)
            return
        async with stream:
            asked.append(int.from_bytes(await stream.receive(8), "big"))
            with suppress(*CONNECTION_ERRORS):
                await stream.receive()  # until it is left

    async with run_node(tmp_path) as p:
        await until(lambda: p.journal.streams)
        listener = PeerListener()
        p.task_group.start_soon(listener.serve, connected)
        await p.start_worker("b", succeed)
        event = frame(2, 2, p.worker_record("b"))
        p.journal.events.append(event)
        p.node.discovery.address = ("127.0.0.1", listener.port)
        cut = p.journal.streams.pop()
        await cut.send(event[:20])
        await cut.aclose()
        await until(lambda: len(p.node.dispatcher.workers) == 2)
        assert (asked, p.journal.resume_positions) == ([1], [1, 1])  # the silent one, and the one behind it


@pytest.mark.parametrize("method", ["safe", "unsafe"])
async def test_a_silence_of_runners_that_begins_after_a_cut(method: str, tmp_path: Path) -> None:
    """Connections are reset under their requests, and new ones never come up: one answer each, in time."""
    reset = send_bytes(b"", reset=True)
    async with run_node(tmp_path, {"a": [reset], "b": [reset]}) as p:
        clients = [await p.connect_client() for _ in range(4)]

        async def never(conn: Any) -> None:
            await anyio.sleep(p.node.worker_client.settings.connect_timeout_ns / 1e9)
            conn.close("no connection in time")

        for number, client in enumerate(clients):
            client.last_number = number * 10
            await client.send_request(method, wait=1500)
            if number == 0:
                await until(p.received)
                p.node.worker_client._connect = never  # type: ignore[method-assign]
        before = anyio.current_time()
        told = [outcome_of(await client.receive_response()) for client in clients]
        assert anyio.current_time() - before < 1.8
        assert set(told) <= {"turned back", "error -32000"}
        assert len(p.received()) <= 2
        await until(lambda: not p.node.dispatcher._in_flight and not p.node.dispatcher.pending_requests)
        for client in clients:
            with anyio.move_on_after(0.02) as scope:
                await client.receive_response()  # no second one
            assert scope.cancelled_caught

"""Input that arrives in pieces, is repeated, or breaks off and is followed by silence: each request gets
one response."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from support.fleet import until
from support.node_rig import CONNECTION_ERRORS, frame, outcome_of, run_node, send_bytes, succeed
from support.peers import PeerListener

pytestmark = pytest.mark.anyio


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on asyncio and on uvloop."""
    return "asyncio", {"use_uvloop": request.param}


async def test_requests_in_pieces_of_one_byte(tmp_path: Path) -> None:
    """Each byte is read by itself: the next one is written once the node has read the one before."""
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        await until(lambda: rig.node.listener.clients)
        (connection,) = rig.node.listener.clients
        read_sizes: list[int] = []
        feed = connection.received.decoder.feed
        connection.received.decoder.feed = lambda data, limit: (
            read_sizes.append(len(data)) or feed(data, limit)
        )
        first, second = client.encode_request("unsafe"), client.encode_request("unsafe")
        for position, byte in enumerate(first + second):
            await client.send(bytes([byte]))
            await until(lambda position=position: len(read_sizes) > position)  # type: ignore[misc]
            assert len(rig.received()) <= (position + 1) // len(first)
        assert set(read_sizes) == {1}
        responses = [await client.receive_response() or {} for _ in range(2)]
        assert [(t["id"], outcome_of(t)) for t in responses] == [(1, "satisfied"), (2, "satisfied")]
        assert len(rig.received()) == 2


async def test_a_repeated_snapshot_while_attempts_are_open(tmp_path: Path) -> None:
    """The same list changes nothing. One that lacks a worker lets its open attempts end, and no more are
    sent to it."""
    may_answer = anyio.Event()

    async def succeed_later(*args: Any) -> None:
        """Succeeds once both lists have been applied."""
        await may_answer.wait()
        await succeed(*args)

    async with run_node(tmp_path, {"a": [succeed_later, succeed], "b": [succeed_later, succeed]}) as rig:
        await until(lambda: rig.journal.streams)
        clients = [await rig.connect_client() for _ in range(2)]
        for number, client in enumerate(clients):
            client.last_number = number * 100
            await client.send_request("unsafe", wait=1900, key=f"{number:016x}")
        await until(lambda: len(rig.received()) == 2)
        workers = dict(rig.node.dispatcher.workers)
        await rig.journal.publish(rig.worker_record("a"), rig.worker_record("b"), kind=1)
        await until(lambda: rig.node.discovery.endpoint_list.version == 2)
        assert rig.node.dispatcher.workers == workers and len(rig.node.dispatcher._in_flight) == 2
        await rig.journal.publish(rig.worker_record("b"), kind=1)
        await until(lambda: rig.node.discovery.endpoint_list.version == 3)
        may_answer.set()
        assert [outcome_of(await client.receive_response()) for client in clients] == ["satisfied"] * 2
        before = len(rig.received())
        for _ in range(3):
            assert await clients[0].call("unsafe") == "satisfied"
        assert {line[0] for line in rig.received()[before:]} == {"b"}
        assert not rig.received("UNDO")


async def test_a_silent_journal_after_a_broken_event(tmp_path: Path, monkeypatch: Any) -> None:
    """The stream breaks off inside an event. The next connection is accepted and stays silent: the node
    reconnects."""
    monkeypatch.setattr("martenlead.node.discovery.SILENCE_TIMEOUT_SECONDS", 0.4)
    silent_positions: list[int] = []  # Positions that the silent listener was asked for

    async def serve_silent_then_journal(stream: SocketStream) -> None:
        """Sends nothing on the first connection, and serves later ones as the journal service does."""
        if silent_positions:
            await rig.journal.serve_connection(stream)
            return
        async with stream:
            silent_positions.append(int.from_bytes(await stream.receive(8), "big"))
            with suppress(*CONNECTION_ERRORS):
                await stream.receive()  # waits until the node closes it

    async with run_node(tmp_path) as rig:
        await until(lambda: rig.journal.streams)
        listener = PeerListener()
        rig.task_group.start_soon(listener.serve, serve_silent_then_journal)
        await rig.start_worker("b", succeed)
        event = frame(2, 2, rig.worker_record("b"))
        rig.journal.events.append(event)
        rig.node.discovery.address = ("127.0.0.1", listener.port)
        cut = rig.journal.streams.pop()
        await cut.send(event[:20])
        await cut.aclose()
        await until(lambda: len(rig.node.dispatcher.workers) == 2)
        # the silent listener once, the journal twice
        assert (silent_positions, rig.journal.resume_positions) == ([1], [1, 1])


@pytest.mark.parametrize("method", ["safe", "unsafe"])
async def test_silent_workers_after_a_reset(method: str, tmp_path: Path) -> None:
    """Connections are reset while requests are open, and new ones never come up: one response each, in
    time."""
    reset = send_bytes(b"", reset=True)
    async with run_node(tmp_path, {"a": [reset], "b": [reset]}) as rig:
        clients = [await rig.connect_client() for _ in range(4)]

        async def expire(connection: Any) -> None:
            """Closes the connection after its time-out without having connected."""
            await anyio.sleep(rig.node.worker_client.settings.connect_timeout_ns / 1e9)
            connection.close("no connection in time")

        for number, client in enumerate(clients):
            client.last_number = number * 10
            await client.send_request(method, wait=1500)
            if number == 0:
                await until(rig.received)
                rig.node.worker_client._connect = expire  # type: ignore[method-assign]
        started = anyio.current_time()
        outcomes = [outcome_of(await client.receive_response()) for client in clients]
        assert anyio.current_time() - started < 1.8
        assert set(outcomes) <= {"turned back", "error -32000"}
        assert len(rig.received()) <= 2
        await until(lambda: not rig.node.dispatcher._in_flight and not rig.node.dispatcher.pending_requests)
        for client in clients:
            with anyio.move_on_after(0.02) as scope:
                await client.receive_response()  # there is no second response
            assert scope.cancelled_caught

"""A request that was read has its answer before its connection ends, whatever makes the node end it.

The end is a bad message, too many of them, a client that reads nothing, a full table, or a fault of ours.
Only a client that has left itself is owed nothing.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from martenlead.node import client_protocol
from martenlead.node.client_connection import ClientConnection
from martenlead.node.request_handler import ERRORS_PER_CONNECTION, RequestHandler
from support.fleet import until
from tests.nodes import Client, NodeRig, after_delay, message, outcome_of, run_node, silent, succeed

pytestmark = pytest.mark.anyio

WORK = 150  # ms that a worker takes: the request is open as the bad message is read
NO_FRAME = b"Content-Length: many\r\n\r\n"
NO_JSON = b"Content-Length: 5\r\n\r\nxxxxx"
ENDS = {
    "no frame": NO_FRAME,
    "too long": b"Content-Length: 60000000\r\n\r\n" + b"x" * 300_000,
    "no JSON": NO_JSON,
    "no number": message({"jsonrpc": "2.0", "method": "safe", "params": {}}),
    "a number that was used": Client(None).encode_request(),  # type: ignore[arg-type]
}
UNKNOWN_METHOD = "nothing"


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


async def answers(client: Client) -> list[tuple[int | None, str]]:
    """All up to the end of the connection, as number and word, in the order of the numbers."""
    told = []
    while (one := await client.receive_response()) is not None:
        told.append((one["id"], outcome_of(one)))
    return sorted(told, key=lambda pair: pair[0] or 0)


async def connected(p: NodeRig) -> tuple[Client, ClientConnection]:
    """A client, and the node's side of its connection."""
    before = set(p.node.listener.clients)
    client = await p.connect_client()
    await until(lambda: set(p.node.listener.clients) - before)
    (own,) = set(p.node.listener.clients) - before
    return client, own


@pytest.mark.parametrize("together", [True, False], ids=["in one read", "in two reads"])
@pytest.mark.parametrize("end", ENDS)
async def test_requests_before_a_message_that_ends_the_connection(
    end: str, together: bool, tmp_path: Path
) -> None:
    async with run_node(tmp_path, {"a": [after_delay(WORK, succeed)]}) as p:
        client = await p.connect_client()
        good = client.encode_request() + client.encode_request()
        if together:
            await client.send(good + ENDS[end])
        else:
            await client.send(good)
            await until(lambda: len(p.received()) == 2)
            await client.send(ENDS[end])
        told = await answers(client)
        assert told[0][0] is None and told[0][1] in ("error -32600", "error -32700")
        assert told[1:] == [(1, "satisfied"), (2, "satisfied")]


async def test_requests_behind_a_message_that_ends_the_connection_are_refused(tmp_path: Path) -> None:
    """In its read and in later ones, as long as another is open."""
    async with run_node(tmp_path, {"a": [after_delay(WORK, succeed)]}) as p:
        client, own = await connected(p)
        await client.send(client.encode_request() + NO_JSON + client.encode_request())
        await until(lambda: own.graceful_close)
        await client.send_request()
        assert await answers(client) == [
            (None, "error -32700"),
            (1, "satisfied"),
            (2, "turned back"),
            (3, "turned back"),
        ]
        assert len(p.received()) == 1


async def test_a_request_unread_as_the_connection_ends_is_read_and_refused(tmp_path: Path) -> None:
    """Nothing is open: it lies in the machine behind the message that ends the connection."""
    async with run_node(tmp_path) as p:
        client, own = await connected(p)
        await client.send_request()
        assert outcome_of(await client.receive_response()) == "satisfied"
        os.write(
            client.stream.extra(SocketAttribute.raw_socket).fileno(), client.encode_request()
        )  # without a turn of the loop
        own.data_received(NO_JSON)
        assert not own.is_closed and own.graceful_close  # what is unread is read first
        assert await answers(client) == [(None, "error -32700"), (2, "turned back")]


async def test_a_request_that_is_open_as_a_client_has_sent_too_many_bad_ones(tmp_path: Path) -> None:
    async with run_node(tmp_path, {"a": [after_delay(WORK, succeed)]}) as p:
        client = await p.connect_client()
        await client.send_request()
        await until(p.received)
        for _ in range(ERRORS_PER_CONNECTION + 1):
            await client.send_request(UNKNOWN_METHOD)
        await client.send_request()
        told = await answers(client)
        bad = [(number, "error -32601") for number in range(2, ERRORS_PER_CONNECTION + 3)]
        assert told == [(1, "satisfied"), *bad, (ERRORS_PER_CONNECTION + 3, "turned back")]


async def test_a_client_that_reads_late_has_all_its_answers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It reads nothing for longer than a client that has left, and asks for more than the bound meanwhile."""
    monkeypatch.setattr("martenlead.node.client_connection.STALLED_CLIENT_TIMEOUT_NS", 100_000_000)
    async with run_node(tmp_path, {"a": [after_delay(1200, succeed)]}) as p:
        client, own = await connected(p)
        await client.send_request()
        await until(p.received)
        filler = b" " * 8_000_000  # more than the machine's buffers hold
        own.write(filler)
        await until(lambda: own.write_blocked_since_ns)
        for _ in range(ERRORS_PER_CONNECTION + 5):
            await client.send_request()
        await until(lambda: own.graceful_close)
        await anyio.sleep(0.6)  # the sweep comes by
        got = 0
        with anyio.fail_after(5):
            while got < len(filler):
                part = await client.stream.receive()
                got += len(part)
        client.buffer = part[len(part) - (got - len(filler)) :] if got > len(filler) else b""
        refused = [(number, "turned back") for number in range(2, ERRORS_PER_CONNECTION + 7)]
        assert await answers(client) == [(1, "satisfied"), *refused]
        assert len(p.received()) == 1


async def test_a_newcomer_to_a_full_table_is_refused_and_not_dropped(tmp_path: Path) -> None:
    """Each place is of a client with an open request. Who says nothing is let go, too."""
    async with run_node(tmp_path, {"a": [after_delay(600, succeed)]}) as p:
        p.node.listener.connection_limit = 1
        first = await p.connect_client()
        await first.send_request(wait=1900)
        await until(p.received)
        newcomer, mute = await p.connect_client(), await p.connect_client()
        newcomer.last_number = 10
        assert await newcomer.call() == "turned back"
        assert await newcomer.receive_response() is None
        assert await mute.receive_response(within=1) is None
        assert outcome_of(await first.receive_response()) == "satisfied"
        assert len(p.received()) == 1


async def test_a_fault_of_ours_on_one_message_costs_the_others_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once as the message is read, once as it is taken: each has its answer, and the connection goes on."""
    read, take = client_protocol.parse_call, RequestHandler._accept_request

    def faulty_read(data: bytes) -> Any:
        if b'"id": 2,' in data:
            raise KeyError("a fault of ours")
        return read(data)

    def faulty_take(door: RequestHandler, client: ClientConnection, call: Any, *more: Any) -> None:
        if call.number == 3:
            raise KeyError("a fault of ours")
        take(door, client, call, *more)

    monkeypatch.setattr(client_protocol, "parse_call", faulty_read)
    monkeypatch.setattr(RequestHandler, "_accept_request", faulty_take)
    async with run_node(tmp_path, {"a": [after_delay(WORK, succeed)]}) as p:
        client = await p.connect_client()
        await client.send(b"".join(client.encode_request() for _ in range(4)))
        told = {
            one["id"]: outcome_of(one) for one in [await client.receive_response() or {} for _ in range(4)]
        }
        assert told == {1: "satisfied", 2: "turned back", 3: "error -32000", 4: "satisfied"}
        assert await client.call() == "satisfied"
        assert p.node.dispatcher.counts["fault", "KeyError"] == 2


@pytest.mark.parametrize("how", ["by the event loop", "before an attempt"])
async def test_a_fault_of_ours_on_a_whole_read_leaves_what_is_open_its_answer(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with run_node(tmp_path, {"a": [after_delay(WORK, succeed)]}) as p:
        client, own = await connected(p)
        await client.send_request()
        await until(p.received)

        def feed(_data: bytes) -> list[bytes]:
            raise KeyError("a fault of ours")

        monkeypatch.setattr(own.decoder, "feed", feed)
        if how == "before an attempt":
            os.write(client.stream.extra(SocketAttribute.raw_socket).fileno(), client.encode_request())
            assert own.read_unread_input() and own.graceful_close
        else:
            await client.send_request()
        assert await answers(client) == [(1, "satisfied")]
        assert p.node.dispatcher.counts["fault", "KeyError"] == 1


async def test_who_leaves_a_connection_that_finishes_is_owed_nothing(tmp_path: Path) -> None:
    async with run_node(tmp_path, {"a": [silent]}) as p:
        client, own = await connected(p)
        await client.send(client.encode_request() + NO_JSON)
        await until(lambda: own.graceful_close and p.received())
        await client.stream.aclose()
        await until(lambda: p.node.dispatcher.counts["final", "left"] == 1)
        await until(lambda: not p.node.listener.clients and not p.node.listener.closing)


async def test_a_connection_that_cannot_be_written_to_costs_no_other_anything(tmp_path: Path) -> None:
    """A reset that the loop has not told of: the answer is dropped, and no fault of ours."""
    async with run_node(tmp_path, {"a": [after_delay(WORK, succeed)]}) as p:
        client, own = await connected(p)
        other = await p.connect_client()
        await client.send_request(id="00000000000000aa")
        await other.send_request(id="00000000000000bb")
        await until(lambda: len(p.received()) == 2)
        own.transport.abort()
        own.write(b"dropped")
        own.start_lingering_close()
        assert outcome_of(await other.receive_response()) == "satisfied"
        assert not [key for key in p.node.dispatcher.counts if key[0] == "fault"]

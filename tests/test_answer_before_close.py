"""The node answers each request that it has read before it closes the connection, whatever the reason to
close.

The reasons are an invalid message, too many of them, a client that does not read, the limit on connections,
and a bug in the node. Only a client that has closed the connection itself gets no response.
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
from support.node_rig import Client, NodeRig, after_delay, message, outcome_of, run_node, silent, succeed

pytestmark = pytest.mark.anyio

WORK_MS = 150  # The request is still open when the invalid message is read
INVALID_HEADER = b"Content-Length: many\r\n\r\n"
INVALID_JSON = b"Content-Length: 5\r\n\r\nxxxxx"
INVALID_MESSAGES = {
    "invalid header": INVALID_HEADER,
    "too long": b"Content-Length: 60000000\r\n\r\n" + b"x" * 300_000,
    "invalid JSON": INVALID_JSON,
    "no number": message({"jsonrpc": "2.0", "method": "safe", "params": {}}),
    "a number that was used before": Client(None).encode_request(),  # type: ignore[arg-type]
}
UNKNOWN_METHOD = "nothing"


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on asyncio and on uvloop."""
    return "asyncio", {"use_uvloop": request.param}


async def read_all_responses(client: Client) -> list[tuple[int | None, str]]:
    """Returns the number and outcome of each response up to the end of the connection, sorted by number."""
    responses = []
    while (response := await client.receive_response()) is not None:
        responses.append((response["id"], outcome_of(response)))
    return sorted(responses, key=lambda pair: pair[0] or 0)


async def connect(rig: NodeRig) -> tuple[Client, ClientConnection]:
    """Returns a new client and the node's side of its connection."""
    before = set(rig.node.listener.clients)
    client = await rig.connect_client()
    await until(lambda: set(rig.node.listener.clients) - before)
    (connection,) = set(rig.node.listener.clients) - before
    return client, connection


@pytest.mark.parametrize("together", [True, False], ids=["in one read", "in two reads"])
@pytest.mark.parametrize("invalid", INVALID_MESSAGES)
async def test_requests_before_a_message_that_ends_the_connection_are_answered(
    invalid: str, together: bool, tmp_path: Path
) -> None:
    """The requests are open, or are read together with it, as the invalid message is handled."""
    async with run_node(tmp_path, {"a": [after_delay(WORK_MS, succeed)]}) as rig:
        client = await rig.connect_client()
        valid = client.encode_request() + client.encode_request()
        if together:
            await client.send(valid + INVALID_MESSAGES[invalid])
        else:
            await client.send(valid)
            await until(lambda: len(rig.received()) == 2)
            await client.send(INVALID_MESSAGES[invalid])
        responses = await read_all_responses(client)
        assert responses[0][0] is None and responses[0][1] in ("error -32600", "error -32700")
        assert responses[1:] == [(1, "satisfied"), (2, "satisfied")]


async def test_requests_behind_a_message_that_ends_the_connection_are_refused(tmp_path: Path) -> None:
    """Both in the same read and in later ones, as long as another request is open."""
    async with run_node(tmp_path, {"a": [after_delay(WORK_MS, succeed)]}) as rig:
        client, connection = await connect(rig)
        await client.send(client.encode_request() + INVALID_JSON + client.encode_request())
        await until(lambda: connection.graceful_close)
        await client.send_request()
        assert await read_all_responses(client) == [
            (None, "error -32700"),
            (1, "satisfied"),
            (2, "turned back"),
            (3, "turned back"),
        ]
        assert len(rig.received()) == 1


async def test_a_request_unread_as_the_connection_ends_is_read_and_refused(tmp_path: Path) -> None:
    """No request is open. The unread one is in the socket's receive buffer, behind the invalid message."""
    async with run_node(tmp_path) as rig:
        client, connection = await connect(rig)
        await client.send_request()
        assert outcome_of(await client.receive_response()) == "satisfied"
        # written without giving the event loop a turn
        os.write(client.stream.extra(SocketAttribute.raw_socket).fileno(), client.encode_request())
        connection.data_received(INVALID_JSON)
        assert not connection.is_closed and connection.graceful_close  # unread input is read first
        assert await read_all_responses(client) == [(None, "error -32700"), (2, "turned back")]


async def test_an_open_request_is_answered_after_too_many_invalid_ones(tmp_path: Path) -> None:
    """The connection is closed over the number of errors; a request sent after that is rejected."""
    async with run_node(tmp_path, {"a": [after_delay(WORK_MS, succeed)]}) as rig:
        client = await rig.connect_client()
        await client.send_request()
        await until(rig.received)
        for _ in range(ERRORS_PER_CONNECTION + 1):
            await client.send_request(UNKNOWN_METHOD)
        await client.send_request()
        responses = await read_all_responses(client)
        refused = [(number, "error -32601") for number in range(2, ERRORS_PER_CONNECTION + 3)]
        assert responses == [(1, "satisfied"), *refused, (ERRORS_PER_CONNECTION + 3, "turned back")]


async def test_a_client_that_reads_late_has_all_its_answers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It reads nothing for longer than the stall time-out, and sends more requests than the limit
    meanwhile."""
    monkeypatch.setattr("martenlead.node.client_connection.STALLED_CLIENT_TIMEOUT_NS", 100_000_000)
    async with run_node(tmp_path, {"a": [after_delay(1200, succeed)]}) as rig:
        client, connection = await connect(rig)
        await client.send_request()
        await until(rig.received)
        filler = b" " * 8_000_000  # more than the kernel's socket buffers hold
        connection.write(filler)
        await until(lambda: connection.write_blocked_since_ns)
        for _ in range(ERRORS_PER_CONNECTION + 5):
            await client.send_request()
        await until(lambda: connection.graceful_close)
        await anyio.sleep(0.6)  # longer than the interval between sweeps
        received = 0
        with anyio.fail_after(5):
            while received < len(filler):
                data = await client.stream.receive()
                received += len(data)
        client.buffer = data[len(data) - (received - len(filler)) :] if received > len(filler) else b""
        refused = [(number, "turned back") for number in range(2, ERRORS_PER_CONNECTION + 7)]
        assert await read_all_responses(client) == [(1, "satisfied"), *refused]
        assert len(rig.received()) == 1


async def test_a_new_client_over_the_connection_limit_is_rejected_and_not_dropped(tmp_path: Path) -> None:
    """Each allowed connection belongs to a client with an open request. A new connection that sends
    nothing is closed as well."""
    async with run_node(tmp_path, {"a": [after_delay(600, succeed)]}) as rig:
        rig.node.listener.connection_limit = 1
        first = await rig.connect_client()
        await first.send_request(wait=1900)
        await until(rig.received)
        newcomer, idle = await rig.connect_client(), await rig.connect_client()
        newcomer.last_number = 10
        assert await newcomer.call() == "turned back"
        assert await newcomer.receive_response() is None
        assert await idle.receive_response(within=1) is None
        assert outcome_of(await first.receive_response()) == "satisfied"
        assert len(rig.received()) == 1


async def test_a_fault_on_one_message_does_not_affect_the_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A bug in parsing one message and in accepting another: each request is answered, and the connection
    stays open."""
    parse_call, accept_request = client_protocol.parse_call, RequestHandler._accept_request

    def faulty_parse_call(data: bytes) -> Any:
        """Raises for the second message."""
        if b'"id": 2,' in data:
            raise KeyError("a bug in the node")
        return parse_call(data)

    def faulty_accept_request(
        handler: RequestHandler, client: ClientConnection, call: Any, *args: Any
    ) -> None:
        """Raises for the third request."""
        if call.number == 3:
            raise KeyError("a bug in the node")
        accept_request(handler, client, call, *args)

    monkeypatch.setattr(client_protocol, "parse_call", faulty_parse_call)
    monkeypatch.setattr(RequestHandler, "_accept_request", faulty_accept_request)
    async with run_node(tmp_path, {"a": [after_delay(WORK_MS, succeed)]}) as rig:
        client = await rig.connect_client()
        await client.send(b"".join(client.encode_request() for _ in range(4)))
        responses = {
            response["id"]: outcome_of(response)
            for response in [await client.receive_response() or {} for _ in range(4)]
        }
        assert responses == {1: "satisfied", 2: "turned back", 3: "error -32000", 4: "satisfied"}
        assert await client.call() == "satisfied"
        assert rig.node.dispatcher.counts["fault", "KeyError"] == 2


@pytest.mark.parametrize("how", ["by the event loop", "before an attempt"])
async def test_a_fault_while_reading_input_costs_open_requests_no_response(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The decoder raises, once in a read by the event loop and once in the read before an attempt."""
    async with run_node(tmp_path, {"a": [after_delay(WORK_MS, succeed)]}) as rig:
        client, connection = await connect(rig)
        await client.send_request()
        await until(rig.received)

        def feed(_data: bytes, _limit: int) -> list[bytes]:
            """Raises for any input."""
            raise KeyError("a bug in the node")

        monkeypatch.setattr(connection.received.decoder, "feed", feed)
        if how == "before an attempt":
            os.write(client.stream.extra(SocketAttribute.raw_socket).fileno(), client.encode_request())
            assert connection.read_unread_input() and connection.graceful_close
        else:
            await client.send_request()
        assert await read_all_responses(client) == [(1, "satisfied")]
        assert rig.node.dispatcher.counts["fault", "KeyError"] == 1


async def test_a_client_that_closes_during_a_graceful_close_gets_no_response(tmp_path: Path) -> None:
    """Its open request ends as left by the client, and the node keeps nothing of the connection."""
    async with run_node(tmp_path, {"a": [silent]}) as rig:
        client, connection = await connect(rig)
        await client.send(client.encode_request() + INVALID_JSON)
        await until(lambda: connection.graceful_close and rig.received())
        await client.stream.aclose()
        await until(lambda: rig.node.dispatcher.counts["final", "left"] == 1)
        await until(lambda: not rig.node.listener.clients and not rig.node.listener.closing)


async def test_a_connection_that_cannot_be_written_to_does_not_affect_others(tmp_path: Path) -> None:
    """After a reset that the event loop has not reported yet the response is dropped, and no fault is
    counted."""
    async with run_node(tmp_path, {"a": [after_delay(WORK_MS, succeed)]}) as rig:
        client, connection = await connect(rig)
        other = await rig.connect_client()
        await client.send_request(id="00000000000000aa")
        await other.send_request(id="00000000000000bb")
        await until(lambda: len(rig.received()) == 2)
        connection.transport.abort()
        connection.write(b"dropped")
        connection.start_lingering_close()
        assert outcome_of(await other.receive_response()) == "satisfied"
        assert not [key for key in rig.node.dispatcher.counts if key[0] == "fault"]

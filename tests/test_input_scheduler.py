"""Connections with many unhandled messages take turns, and messages that wait are handled as ever."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.edge.cancellation import UnreadInput
from martenlead.node.client_connection import ClientConnection
from martenlead.node.input_scheduler import ITERATION_NS, InputScheduler
from martenlead.node.received_messages import MESSAGES_PER_TURN
from support.fleet import until
from support.node_rig import Client, NodeRig, message, outcome_of, run_node, silent

pytestmark = pytest.mark.anyio

PING = message({"jsonrpc": "2.0", "id": 1, "method": "ping", "params": {}})
MANY = 10 * MESSAGES_PER_TURN


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on asyncio and on uvloop."""
    return "asyncio", {"use_uvloop": request.param}


class FakeConnection:
    """A connection with waiting messages, each turn of which takes some time of a fake clock."""

    peer_address = "127.0.0.1:1"
    refusable_bytes = 0

    def __init__(self, name: str, turns: int, log: list[str], clock: list[int]) -> None:
        self.name, self.waiting_messages, self.log, self.clock = name, turns, log, clock

    def handle_next_messages(self) -> None:
        """Takes one turn."""
        self.waiting_messages -= 1
        self.log.append(self.name)
        self.clock[0] += ITERATION_NS // 2


async def test_connections_take_turns_and_other_callbacks_run_between_them() -> None:
    log: list[str] = []
    clock = [0]
    scheduler = InputScheduler(lambda: clock[0], lambda: log.append("deferred"))
    for name, turns in (("a", 4), ("b", 2), ("c", 1)):
        scheduler.add(FakeConnection(name, turns, log, clock))
    assert log == ["deferred"] * 3
    del log[:]
    while len([name for name in log if name != "other"]) < 7:
        await anyio.sleep(0)
        log.append("other")
    turns = [name for name in log if name != "other"]
    assert turns == ["a", "b", "c", "a", "b", "a", "a"]
    longest = max(len(run.split()) for run in " ".join(log).split("other"))
    assert longest <= 2  # an iteration's time is over behind two turns


async def connect(rig: NodeRig) -> tuple[Client, ClientConnection]:
    """Returns a new client, and the node's end of its connection."""
    client = await rig.connect_client()
    await until(lambda: rig.node.listener.clients)
    return client, next(reversed(rig.node.listener.clients))


async def test_one_read_handles_a_limited_number_of_messages(tmp_path: Path) -> None:
    # Guards against a read that holds up all other connections for as long as its messages take.
    async with run_node(tmp_path) as rig:
        client, connection = await connect(rig)
        connection.data_received(PING * MANY)
        undecoded_bytes = (MANY - MESSAGES_PER_TURN) * len(PING)
        assert connection.waiting_messages == MESSAGES_PER_TURN  # no more than the next turn needs
        decoded_bytes = MESSAGES_PER_TURN * len(PING.partition(b"\r\n\r\n")[2])
        assert connection.refusable_bytes == undecoded_bytes + decoded_bytes
        assert not connection.transport.is_reading()
        assert connection.peek_input() is UnreadInput.BYTES
        for _ in range(MANY):
            assert (await client.receive_response() or {})["result"] == {"up": True}
        await until(connection.transport.is_reading)
        assert rig.node.dispatcher.counts["client", "deferred"] == 1


async def test_many_small_reads_in_a_row_are_deferred_too(tmp_path: Path) -> None:
    # Guards against a client that gets round the limit of a read by sending one message at a time.
    async with run_node(tmp_path) as rig:
        _, connection = await connect(rig)
        handled = 0
        for _ in range(2 * MESSAGES_PER_TURN):
            connection.data_received(PING)
            handled += not connection.waiting_messages
        assert handled <= MESSAGES_PER_TURN
        await until(lambda: not connection.waiting_messages)


async def test_a_request_that_waits_is_not_sent_if_a_cancel_waits_behind_it(tmp_path: Path) -> None:
    # Guards against an attempt for a request whose cancel was read before the attempt began.
    async with run_node(tmp_path) as rig:
        client, connection = await connect(rig)
        request = client.encode_request("unsafe")
        cancel = message({"jsonrpc": "2.0", "method": "abort", "params": {"id": 1}})
        connection.data_received(request + PING * MANY + cancel)
        await until(lambda: rig.node.dispatcher.counts["final", "left"] == 1)
        await until(lambda: not rig.node.dispatcher._in_flight)
        assert rig.received() == []


async def test_messages_that_wait_are_dropped_with_their_connection(tmp_path: Path) -> None:
    # Guards against requests that are sent on after their client has closed.
    async with run_node(tmp_path) as rig:
        client, connection = await connect(rig)
        request = client.encode_request("unsafe")
        connection.data_received(PING * MANY + request)
        await client.stream.aclose()
        await until(lambda: not rig.node.listener.clients)
        assert connection.waiting_messages == 0
        await anyio.sleep(0.05)
        assert rig.received() == [] and not rig.node.dispatcher.pending_requests


async def test_what_follows_messages_that_wait_ends_the_connection_behind_them(tmp_path: Path) -> None:
    # Guards against a close that leaves messages which were read without their answers.
    async with run_node(tmp_path) as rig:
        client, connection = await connect(rig)
        connection.data_received(PING * MANY + b"no head\r\n\r\n")
        for _ in range(MANY):
            assert "result" in (await client.receive_response() or {})
        assert outcome_of(await client.receive_response()) == "error -32600"
        assert await client.receive_response() is None


async def test_requests_of_one_read_count_as_open_until_all_were_handled(tmp_path: Path) -> None:
    # Guards against more than 32 accepted requests of one read, as early ones are answered meanwhile.
    async with run_node(tmp_path, {"a": [silent]}) as rig:
        client, connection = await connect(rig)
        connection.data_received(b"".join(client.encode_request(wait=60_000) for _ in range(MANY)))
        outcomes = [outcome_of(await client.receive_response()) for _ in range(MANY - 32)]
        assert set(outcomes) == {"turned back"}
        assert len(connection.open_requests) == 32


async def test_messages_that_wait_are_answered_before_a_shutdown_closes(tmp_path: Path) -> None:
    # Guards against requests that were read and get no answer as the node stops.
    async with run_node(tmp_path) as rig:
        client, connection = await connect(rig)
        connection.data_received(PING * MANY)
        rig.node.listener.close_all_connections()
        for _ in range(MANY):
            assert "result" in (await client.receive_response() or {})
        assert await client.receive_response() is None

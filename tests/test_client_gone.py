"""A client that has closed or cancelled gets no attempt any more, also before the event loop has read it.

Each test puts the client's leaving into the machine without a turn of the loop between it and the attempt, as
where the loop was busy for long. So no figure of time is needed: on the code before, the attempt leaves.
"""

from __future__ import annotations

import signal
import socket
import struct
from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.edge.cancellation import UnreadInput
from martenlead.edge.records import FinalOutcome
from martenlead.node.upstream_connection import UpstreamConnection
from martenlead.policy.types import Result
from support.attempt_hooks import before_attempt
from support.fleet import until
from tests.apart import run_node_process
from tests.nodes import (
    Behaviour,
    Client,
    NodeRig,
    message,
    outcome_of,
    respond_with,
    run_node,
    silent,
    succeed,
)

pytestmark = pytest.mark.anyio
LEAVES = ("abort", "abort behind much", "half close", "close", "reset")
READ_SIZE = 1024  # bytes of one read in these tests
BEHIND = 400  # messages before an abort: several times what one turn of the loop reads then
full = respond_with("WAIT", "")


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    return "asyncio", {"use_uvloop": request.param}


@pytest.fixture(autouse=True)
def small_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """So that a cancel may lie behind more than a turn reads, and all of it in the machine's buffers."""
    monkeypatch.setattr("martenlead.node.client_connection.READ_BYTES", READ_SIZE)


class Blocking(Client):
    """A client whose calls are done when they return, without a turn of the event loop."""

    def __init__(self, p: NodeRig) -> None:
        super().__init__(None)  # type: ignore[arg-type]
        self.socket = socket.create_connection(("127.0.0.1", p.port))

    def put(self, data: bytes) -> None:
        self.socket.sendall(data)

    def leave(self, how: str) -> None:
        match how:
            case "abort":
                about = {"id": self.last_number}
                self.put(message({"jsonrpc": "2.0", "method": "abort", "params": about}))
            case "abort behind much":
                unknown = message({"jsonrpc": "2.0", "method": "abort", "params": {"id": 9999}})
                self.put(unknown * BEHIND)
                self.leave("abort")
            case "half close":
                self.socket.shutdown(socket.SHUT_WR)
            case "close":
                self.socket.close()
            case "reset":
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.socket.close()


async def warm(p: NodeRig) -> None:
    """To each runner a connection stands idle, so that an attempt's line leaves as it is decided."""
    heard: list[Any] = []
    known = p.node.dispatcher.find_or_add_function("0" * 15 + "1", 1, 100.0)
    for box in p.node.dispatcher.workers.values():
        p.node.worker_client.send_load_request(box, known, 0, heard.append)
    await until(lambda: len(heard) == len(p.node.dispatcher.workers))


async def is_over(p: NodeRig) -> None:
    """The request was given up, nothing is out, and the node still serves."""
    await until(lambda: p.node.dispatcher.counts["final", "left"] == 1)
    await until(lambda: not p.node.dispatcher._in_flight and not p.node.dispatcher.pending_requests)
    assert await (await p.connect_client()).call(id="00000000000000bb") == "satisfied"


def attempts(p: NodeRig) -> list[str]:
    return [line for line in p.received() if not line.endswith("bb")]


@pytest.mark.parametrize("how", LEAVES)
async def test_left_as_the_first_attempt_begins(how: str, tmp_path: Path) -> None:
    async with run_node(tmp_path) as p:
        await warm(p)
        client = Blocking(p)
        before_attempt(p.node.worker_client, 0, lambda: client.leave(how))
        client.put(client.encode_request("unsafe"))
        await until(lambda: p.node.dispatcher.counts["final", "left"] == 1)
        assert await (await p.connect_client()).call() == "error -32602"  # its id is spent
        assert attempts(p) == []
        assert not p.node.dispatcher._in_flight and not p.node.listener.requests.open_requests
        assert p.node.dispatcher.counts["hand-off", Result.NOT_SENT.value] == 1
        client.socket.close()


@pytest.mark.parametrize("how", ["half close", "close"])
async def test_the_end_lies_behind_a_request_that_is_read_late(how: str, tmp_path: Path) -> None:
    """As where no descriptor was left to accept the connection with until its client had given up."""
    async with run_node(tmp_path) as p:
        await warm(p)
        client = Blocking(p)
        client.put(client.encode_request("unsafe"))
        client.leave(how)
        await until(lambda: f"{1:016x}" in p.node.listener.requests.finished_ids)
        await until(lambda: not p.node.dispatcher._in_flight)
        assert attempts(p) == []
        client.socket.close()


@pytest.mark.parametrize("how", LEAVES)
async def test_left_as_a_further_attempt_begins(how: str, tmp_path: Path, monkeypatch: Any) -> None:
    """The runner's answer is read in the turn that the end of the client came in, before it."""
    async with run_node(tmp_path, {"a": [full, succeed], "b": [full, succeed]}) as p:
        client, real = Blocking(p), UpstreamConnection.data_received

        def data_received(conn: UpstreamConnection, data: bytes) -> None:
            if p.node.dispatcher.pending_requests and client.socket.fileno() >= 0 and not left:
                left.append(client.leave(how))
            real(conn, data)

        left: list[None] = []
        monkeypatch.setattr(UpstreamConnection, "data_received", data_received)
        await warm(p)  # after it: the faster event loop keeps what it calls of a connection
        client.put(client.encode_request())
        await is_over(p)
        assert len(attempts(p)) == 1
        client.socket.close()


@pytest.mark.parametrize("how", LEAVES)
async def test_left_as_the_connection_to_the_runner_is_up(how: str, tmp_path: Path, monkeypatch: Any) -> None:
    async with run_node(tmp_path) as p:
        client, real = Blocking(p), UpstreamConnection.connection_made

        def connection_made(conn: UpstreamConnection, transport: Any) -> None:
            if not left:
                left.append(client.leave(how))
            real(conn, transport)

        left: list[None] = []
        monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)
        client.put(client.encode_request("unsafe"))
        await is_over(p)
        assert attempts(p) == []
        client.socket.close()


@pytest.mark.parametrize("how", LEAVES)
async def test_a_client_that_is_behind_in_reading_has_left_as_a_further_attempt_begins(
    how: str, tmp_path: Path
) -> None:
    answered = anyio.Event()

    async def later(*its: Any) -> None:
        await answered.wait()
        await full(*its)

    part: Behaviour = later
    async with run_node(tmp_path, {"a": [part, succeed], "b": [part, succeed]}) as p:
        await warm(p)
        client = Blocking(p)
        await until(lambda: p.node.listener.clients)
        (own,) = p.node.listener.clients
        client.put(client.encode_request())
        await until(p.received)
        own.write(b" " * 8_000_000)  # more than the machine's buffers hold
        await until(lambda: own.write_blocked_since_ns)
        before_attempt(p.node.worker_client, 0, lambda: client.leave(how))
        answered.set()
        await is_over(p)
        assert len(attempts(p)) == 1
        client.socket.close()


async def test_bytes_before_an_attempt_that_are_no_cancel_cost_it_nothing(tmp_path: Path) -> None:
    """Half of a request, then whole ones: each is taken once, in its order, and answered once."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as p:
        client = Blocking(p)
        first, second, third = client.encode_request(), client.encode_request(), client.encode_request()
        before_attempt(p.node.worker_client, 0, lambda: client.put(second[:40]))
        client.put(first)
        await until(lambda: p.received())
        before_attempt(p.node.worker_client, 0, lambda: client.put(third))
        client.put(second[40:])
        client.socket.setblocking(False)
        got = b""
        with anyio.fail_after(5):
            while got.count(b'"result"') < 3:
                await anyio.wait_readable(client.socket)
                got += (data := client.socket.recv(4096))
                assert data
        assert sorted(line[-2:] for line in p.received()) == ["01", "02", "03"]
        assert p.node.dispatcher.counts["final", "left"] == 0
        client.socket.close()


async def test_an_attempt_that_waits_for_bytes_to_be_read_is_sent_to_no_runner_that_goes_meanwhile(
    tmp_path: Path,
) -> None:
    async with run_node(tmp_path) as p:
        client = Blocking(p)
        (box,) = p.node.dispatcher.workers.values()

        def goes() -> None:
            client.put(b"Content")
            box.is_gone = True

        before_attempt(p.node.worker_client, 0, goes)
        client.put(client.encode_request("unsafe"))
        await until(lambda: p.node.dispatcher.counts["final", "turned back"] == 1)
        assert attempts(p) == []
        client.socket.close()


async def test_who_left_while_the_node_stood_still_gets_no_attempt(tmp_path: Path) -> None:
    """A process apart, stopped as they come, ask and leave; who stays is served."""
    async with run_node_process(tmp_path) as p:
        await p.wait_until_up(10)
        assert (
            await (await p.connect_client()).call(id="00000000000000bb") == "satisfied"
        )  # a connection stands idle
        p.process.send_signal(signal.SIGSTOP)
        clients = [Blocking(p) for _ in LEAVES]
        for number, (client, how) in enumerate(zip(clients, LEAVES, strict=True)):
            client.last_number = number * 10
            client.put(client.encode_request("unsafe"))
            client.leave(how)
        stays = await p.connect_client()
        await stays.send_request(id="00000000000000cc")
        p.process.send_signal(signal.SIGCONT)
        assert outcome_of(await stays.receive_response()) == "satisfied"
        assert await (await p.connect_client()).call(id="00000000000000dd") == "satisfied"
        assert [line[-2:] for line in p.received()] == ["bb", "cc", "dd"]
        for client in clients:
            client.socket.close()


async def test_a_cancel_of_an_open_request_goes_before_what_is_taken_in_its_read(tmp_path: Path) -> None:
    """Taking a request may bring further attempts of others that are due: not of one that is cancelled."""
    async with run_node(tmp_path, {"a": [silent]}) as p:
        client = await p.connect_client()
        await client.send_request()
        await until(p.received)
        (own,) = p.node.listener.clients
        (first,) = own.open_requests.values()
        finals: list[Any] = []
        real = p.node.dispatcher.accept

        def take(*args: Any, **more: Any) -> Any:
            finals.append(first.outcome)
            return real(*args, **more)

        p.node.dispatcher.accept = take  # type: ignore[method-assign]
        about = {"id": 1}
        cancel = message({"jsonrpc": "2.0", "method": "abort", "params": about})
        own.data_received(client.encode_request() + cancel)
        assert finals == [FinalOutcome.CLIENT_LEFT]


async def test_a_client_that_never_stops_sending_costs_itself_its_time_and_others_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its request is never sent, since a cancel may lie in what is unread: it is refused in its time."""
    async with run_node(tmp_path) as p:
        await warm(p)
        client = await p.connect_client()
        await until(lambda: p.node.listener.clients)
        (own,) = p.node.listener.clients
        monkeypatch.setattr(own, "peek_input", lambda: UnreadInput.BYTES)
        monkeypatch.setattr(own, "read_unread_input", lambda: False)
        started = anyio.current_time()
        await client.send_request(wait=400)
        assert await (await p.connect_client()).call(id="00000000000000bb") == "satisfied"
        assert outcome_of(await client.receive_response()) == "turned back"
        assert anyio.current_time() - started < 0.6
        assert attempts(p) == [] and not p.node.worker_client._deferred

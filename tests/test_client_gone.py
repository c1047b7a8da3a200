"""No attempt is sent for a client that has closed or cancelled, even if the event loop has not read that yet.

Each test makes the client close or cancel without a turn of the event loop before the attempt, as happens
when the loop has been busy for long. So no test depends on timing: without the check before an attempt it
would be sent.
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
from support.node_process import run_node_process
from support.node_rig import (
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
LEAVE_METHODS = ("abort", "abort behind other messages", "half close", "close", "reset")
READ_BYTES = 1024  # Bytes of one read in these tests
MESSAGES_BEFORE_ABORT = 400  # Several times what one turn of the event loop reads
reject_as_full = respond_with("WAIT", "")


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: Any) -> Any:
    """Runs each test on asyncio and on uvloop."""
    return "asyncio", {"use_uvloop": request.param}


@pytest.fixture(autouse=True)
def small_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the node read so little per turn that a cancel behind other messages stays in the kernel's
    buffers."""
    monkeypatch.setattr("martenlead.node.client_connection.READ_BYTES", READ_BYTES)


class BlockingClient(Client):
    """A client whose calls are complete when they return, without a turn of the event loop."""

    def __init__(self, rig: NodeRig) -> None:
        super().__init__(None)  # type: ignore[arg-type]
        self.socket = socket.create_connection(("127.0.0.1", rig.port))

    def send_now(self, data: bytes) -> None:
        """Writes data to the socket."""
        self.socket.sendall(data)

    def leave(self, how: str) -> None:
        """Cancels the last request or ends the connection, in one of `LEAVE_METHODS`."""
        match how:
            case "abort":
                params = {"id": self.last_number}
                self.send_now(message({"jsonrpc": "2.0", "method": "abort", "params": params}))
            case "abort behind other messages":
                unknown = message({"jsonrpc": "2.0", "method": "abort", "params": {"id": 9999}})
                self.send_now(unknown * MESSAGES_BEFORE_ABORT)
                self.leave("abort")
            case "half close":
                self.socket.shutdown(socket.SHUT_WR)
            case "close":
                self.socket.close()
            case "reset":
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.socket.close()


async def open_worker_connections(rig: NodeRig) -> None:
    """Opens a connection to each worker, so that an attempt is written as soon as it is decided."""
    results: list[Any] = []
    function = rig.node.dispatcher.find_or_add_function("0" * 15 + "1", 1, 100.0)
    for worker in rig.node.dispatcher.workers.values():
        rig.node.worker_client.send_load_request(worker, function, 0, results.append)
    await until(lambda: len(results) == len(rig.node.dispatcher.workers))


async def wait_until_abandoned(rig: NodeRig) -> None:
    """Waits until the request was abandoned and nothing is in flight, and checks that the node still
    serves."""
    await until(lambda: rig.node.dispatcher.counts["final", "left"] == 1)
    await until(lambda: not rig.node.dispatcher._in_flight and not rig.node.dispatcher.pending_requests)
    assert await (await rig.connect_client()).call(id="00000000000000bb") == "satisfied"


def attempts(rig: NodeRig) -> list[str]:
    """Returns the attempts that workers received, without the final check's (its id ends with bb)."""
    return [line for line in rig.received() if not line.endswith("bb")]


@pytest.mark.parametrize("how", LEAVE_METHODS)
async def test_client_leaves_as_the_first_attempt_begins(how: str, tmp_path: Path) -> None:
    """The attempt was decided and is not sent; the request counts as left by the client."""
    async with run_node(tmp_path) as rig:
        await open_worker_connections(rig)
        client = BlockingClient(rig)
        before_attempt(rig.node.worker_client, 0, lambda: client.leave(how))
        client.send_now(client.encode_request("unsafe"))
        await until(lambda: rig.node.dispatcher.counts["final", "left"] == 1)
        assert await (await rig.connect_client()).call() == "error -32602"  # the id counts as used
        assert attempts(rig) == []
        assert not rig.node.dispatcher._in_flight and not rig.node.listener.requests.open_requests
        assert rig.node.dispatcher.counts["hand-off", Result.NOT_SENT.value] == 1
        client.socket.close()


@pytest.mark.parametrize("how", ["half close", "close"])
async def test_client_closes_before_its_request_is_read(how: str, tmp_path: Path) -> None:
    """As when no descriptor was free to accept the connection until its client had closed it."""
    async with run_node(tmp_path) as rig:
        await open_worker_connections(rig)
        client = BlockingClient(rig)
        client.send_now(client.encode_request("unsafe"))
        client.leave(how)
        await until(lambda: f"{1:016x}" in rig.node.listener.requests.finished_ids)
        await until(lambda: not rig.node.dispatcher._in_flight)
        assert attempts(rig) == []
        client.socket.close()


@pytest.mark.parametrize("how", LEAVE_METHODS)
async def test_client_leaves_as_a_further_attempt_begins(how: str, tmp_path: Path, monkeypatch: Any) -> None:
    """The worker's answer is read in the same turn in which the client's end arrives, and before it."""
    async with run_node(tmp_path, {"a": [reject_as_full, succeed], "b": [reject_as_full, succeed]}) as rig:
        client, real = BlockingClient(rig), UpstreamConnection.data_received

        def data_received(conn: UpstreamConnection, data: bytes) -> None:
            """The client leaves before the input of the worker is handled."""
            if rig.node.dispatcher.pending_requests and client.socket.fileno() >= 0 and not left:
                left.append(client.leave(how))
            real(conn, data)

        left: list[None] = []
        monkeypatch.setattr(UpstreamConnection, "data_received", data_received)
        # after the patch: uvloop keeps the bound methods of a connection that it calls
        await open_worker_connections(rig)
        client.send_now(client.encode_request())
        await wait_until_abandoned(rig)
        assert len(attempts(rig)) == 1
        client.socket.close()


@pytest.mark.parametrize("how", LEAVE_METHODS)
async def test_client_leaves_as_the_connection_to_the_worker_comes_up(
    how: str, tmp_path: Path, monkeypatch: Any
) -> None:
    """The attempt waited for the connection, and is not written to it."""
    async with run_node(tmp_path) as rig:
        client, real = BlockingClient(rig), UpstreamConnection.connection_made

        def connection_made(conn: UpstreamConnection, transport: Any) -> None:
            """The client leaves before the connection is used."""
            if not left:
                left.append(client.leave(how))
            real(conn, transport)

        left: list[None] = []
        monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)
        client.send_now(client.encode_request("unsafe"))
        await wait_until_abandoned(rig)
        assert attempts(rig) == []
        client.socket.close()


@pytest.mark.parametrize("how", LEAVE_METHODS)
async def test_client_that_does_not_read_leaves_as_a_further_attempt_begins(how: str, tmp_path: Path) -> None:
    """Writing to the client is blocked, and its end is noticed all the same."""
    may_answer = anyio.Event()

    async def reject_later(*args: Any) -> None:
        """Rejects the attempt once the client has left."""
        await may_answer.wait()
        await reject_as_full(*args)

    behaviour: Behaviour = reject_later
    async with run_node(tmp_path, {"a": [behaviour, succeed], "b": [behaviour, succeed]}) as rig:
        await open_worker_connections(rig)
        client = BlockingClient(rig)
        await until(lambda: rig.node.listener.clients)
        (connection,) = rig.node.listener.clients
        client.send_now(client.encode_request())
        await until(rig.received)
        connection.write(b" " * 8_000_000)  # more than the kernel's socket buffers hold
        await until(lambda: connection.write_blocked_since_ns)
        before_attempt(rig.node.worker_client, 0, lambda: client.leave(how))
        may_answer.set()
        await wait_until_abandoned(rig)
        assert len(attempts(rig)) == 1
        client.socket.close()


async def test_input_before_an_attempt_that_is_no_cancel_does_not_stop_it(tmp_path: Path) -> None:
    """Half of a request arrives, then whole ones: each is accepted once, in order, and answered once."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as rig:
        client = BlockingClient(rig)
        first, second, third = client.encode_request(), client.encode_request(), client.encode_request()
        before_attempt(rig.node.worker_client, 0, lambda: client.send_now(second[:40]))
        client.send_now(first)
        await until(lambda: rig.received())
        before_attempt(rig.node.worker_client, 0, lambda: client.send_now(third))
        client.send_now(second[40:])
        client.socket.setblocking(False)
        received = b""
        with anyio.fail_after(5):
            while received.count(b'"result"') < 3:
                await anyio.wait_readable(client.socket)
                received += (data := client.socket.recv(4096))
                assert data
        assert sorted(line[-2:] for line in rig.received()) == ["01", "02", "03"]
        assert rig.node.dispatcher.counts["final", "left"] == 0
        client.socket.close()


async def test_an_attempt_that_waits_for_input_to_be_read_is_not_sent_to_a_worker_that_goes_meanwhile(
    tmp_path: Path,
) -> None:
    """The request is rejected, as nothing was sent for it."""
    async with run_node(tmp_path) as rig:
        client = BlockingClient(rig)
        (worker,) = rig.node.dispatcher.workers.values()

        def send_bytes_and_remove_worker() -> None:
            """Leaves the start of a message unread, and marks the worker as gone."""
            client.send_now(b"Content")
            worker.is_gone = True

        before_attempt(rig.node.worker_client, 0, send_bytes_and_remove_worker)
        client.send_now(client.encode_request("unsafe"))
        await until(lambda: rig.node.dispatcher.counts["final", "turned back"] == 1)
        assert attempts(rig) == []
        client.socket.close()


async def test_clients_that_left_while_the_node_was_stopped_get_no_attempt(tmp_path: Path) -> None:
    """The node's process is stopped while clients connect, send requests and leave. The client that stays
    is served."""
    async with run_node_process(tmp_path) as rig:
        await rig.wait_until_up(10)
        # leaves an idle connection to the worker
        assert await (await rig.connect_client()).call(id="00000000000000bb") == "satisfied"
        rig.process.send_signal(signal.SIGSTOP)
        clients = [BlockingClient(rig) for _ in LEAVE_METHODS]
        for number, (client, how) in enumerate(zip(clients, LEAVE_METHODS, strict=True)):
            client.last_number = number * 10
            client.send_now(client.encode_request("unsafe"))
            client.leave(how)
        staying = await rig.connect_client()
        await staying.send_request(id="00000000000000cc")
        rig.process.send_signal(signal.SIGCONT)
        assert outcome_of(await staying.receive_response()) == "satisfied"
        assert await (await rig.connect_client()).call(id="00000000000000dd") == "satisfied"
        assert [line[-2:] for line in rig.received()] == ["bb", "cc", "dd"]
        for client in clients:
            client.socket.close()


async def test_a_cancel_is_handled_before_requests_of_the_same_read(tmp_path: Path) -> None:
    """Accepting a request may send further attempts that are due for others, but none for a cancelled one."""
    async with run_node(tmp_path, {"a": [silent]}) as rig:
        client = await rig.connect_client()
        await client.send_request()
        await until(rig.received)
        (connection,) = rig.node.listener.clients
        (first,) = connection.open_requests.values()
        outcomes: list[Any] = []
        real = rig.node.dispatcher.accept

        def accept(*args: Any, **options: Any) -> Any:
            """Notes the outcome of the first request as the second one is accepted."""
            outcomes.append(first.outcome)
            return real(*args, **options)

        rig.node.dispatcher.accept = accept  # type: ignore[method-assign]
        params = {"id": 1}
        cancel = message({"jsonrpc": "2.0", "method": "abort", "params": params})
        connection.data_received(client.encode_request() + cancel)
        assert outcomes == [FinalOutcome.CLIENT_LEFT]


async def test_a_client_that_never_stops_sending_is_rejected_and_does_not_affect_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its request is never sent, as the unread input may hold a cancel, and is rejected at its deadline."""
    async with run_node(tmp_path) as rig:
        await open_worker_connections(rig)
        client = await rig.connect_client()
        await until(lambda: rig.node.listener.clients)
        (connection,) = rig.node.listener.clients
        monkeypatch.setattr(connection, "peek_input", lambda: UnreadInput.BYTES)
        monkeypatch.setattr(connection, "read_unread_input", lambda: False)
        started = anyio.current_time()
        await client.send_request(wait=400)
        assert await (await rig.connect_client()).call(id="00000000000000bb") == "satisfied"
        assert outcome_of(await client.receive_response()) == "turned back"
        assert anyio.current_time() - started < 0.6
        assert attempts(rig) == [] and not rig.node.worker_client._deferred

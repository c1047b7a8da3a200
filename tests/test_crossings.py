"""Races between two events, each in the harmful order: one event is delayed until the other has happened.

Real connections through a running node; docs/design/node.md lists the crossings by these tests' names.
"""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import time
from collections import deque
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from martenlead.edge import timeouts
from martenlead.node import worker_protocol
from martenlead.node.client_connection import ClientConnection
from martenlead.policy.types import Result
from support.fleet import until
from support.node_rig import (
    SETTINGS,
    Behaviour,
    Client,
    NodeRig,
    answer,
    frame,
    message,
    outcome_of,
    record,
    reset_on_close,
    respond_with,
    run_node,
    silent,
    succeed,
    with_deadlines,
)
from support.virtual_time import VIRTUAL_TIME, follow_loop_time

pytestmark = pytest.mark.anyio
LOAD_REQUEST_SETTINGS = SETTINGS | {"family-info": SETTINGS["family-info"] | {"placement-calls": True}}
reject_as_full = respond_with("WAIT", "")
METHODS = ("safe", "keyed", "unsafe")
virtual_time = pytest.mark.parametrize("anyio_backend", [VIRTUAL_TIME], ids=["virtual time"])
LONG_DEADLINE_SECONDS = 60.0  # Longer than any test here waits


def delay_connections(rig: NodeRig) -> anyio.Event:
    """Delays new connections to workers until the returned event is set."""
    may_connect, real = anyio.Event(), rig.node.worker_client._connect

    async def connect(connection: Any) -> None:
        await may_connect.wait()
        await real(connection)

    rig.node.worker_client._connect = connect  # type: ignore[method-assign]
    return may_connect


def after_event(event: anyio.Event, behaviour: Behaviour) -> Behaviour:
    """Returns a behaviour that waits for the event before it runs the given one."""

    async def delayed(worker: Any, stream: Any, request: dict[str, Any]) -> None:
        await event.wait()
        await behaviour(worker, stream, request)

    return delayed


def calls_waiting_for_connection(rig: NodeRig) -> list[Any]:
    """Returns the calls that wait for a connection that is not up yet."""
    connections = [
        connection
        for pool in rig.node.worker_client.pools
        for connection in pool.connections
        if connection.transport is None
    ]
    return [call for connection in connections for call in connection.outstanding_calls.values()]


def encode_abort(number: Any, own_number: int | None = None) -> bytes:
    """Returns a cancel of the request with this number or id, with a number of its own if one is given."""
    cancel = {"jsonrpc": "2.0", "method": "abort", "params": {"id": number}}
    return message(cancel | ({} if own_number is None else {"id": own_number}))


async def leave(client: Client, how: str) -> None:
    """Cancels the client's last request or ends its connection, in one of `LEAVE_METHODS`."""
    match how:
        case "abort":
            await client.send(encode_abort(client.last_number))
        case "half close":
            await client.stream.send_eof()
        case "close":
            await client.stream.aclose()
        case "reset":
            reset_on_close(client.stream)
            await anyio.aclose_forcefully(client.stream)


def send_at_once(client: Client) -> None:
    """Writes a request into the socket's buffer before the event loop turns again."""
    os.write(client.stream.extra(SocketAttribute.raw_socket).fileno(), client.encode_request())


LEAVE_METHODS = ("abort", "half close", "close", "reset")


# -- a client leaves while its request waits


@pytest.mark.parametrize("how", LEAVE_METHODS)
async def test_client_leaves_while_the_connection_comes_up(how: str, tmp_path: Path) -> None:
    """The request waits for the connection to its worker, and is never sent."""
    async with run_node(tmp_path) as rig:
        may_connect = delay_connections(rig)
        client = await rig.connect_client()
        await client.send_request("unsafe")
        await until(lambda: calls_waiting_for_connection(rig))
        await leave(client, how)
        await until(lambda: rig.node.dispatcher.counts["final", "left"])
        may_connect.set()
        assert await (await rig.connect_client()).call(id="00000000000000bb") == "satisfied"
        assert rig.received() == ["a DO bb"]


@pytest.mark.parametrize("how", LEAVE_METHODS)
async def test_client_leaves_during_an_attempt_and_no_further_one_is_sent(how: str, tmp_path: Path) -> None:
    """The worker rejects the attempt after the node knows that the client has left: no other worker gets
    it."""
    has_left = anyio.Event()

    async with run_node(
        tmp_path,
        {
            "a": [after_event(has_left, reject_as_full), succeed],
            "b": [after_event(has_left, reject_as_full), succeed],
        },
    ) as rig:
        client = await rig.connect_client()
        await client.send_request()
        await until(rig.received)
        await leave(client, how)
        await until(lambda: rig.node.dispatcher.counts["final", "left"])
        has_left.set()
        await until(lambda: not rig.node.dispatcher._in_flight)
        assert await (await rig.connect_client()).call(id="00000000000000bb") == "satisfied"
        assert sorted(line[-2:] for line in rig.received()) == ["01", "bb"]


@pytest.mark.parametrize("number", [1, "1", "00000000000000aa"])
async def test_a_cancel_lets_the_attempt_end_and_drops_its_response(
    number: int | str, tmp_path: Path
) -> None:
    """Most workers would go on with a cancelled attempt, and the node would count them as idle."""
    may_answer = anyio.Event()

    async with run_node(tmp_path, {"a": [after_event(may_answer, succeed), succeed]}) as rig:
        client = await rig.connect_client()
        await client.send_request(id="00000000000000aa")
        await until(rig.received)
        await client.send(encode_abort(number))
        await until(lambda: not rig.node.dispatcher.pending_requests)
        assert len(rig.node.dispatcher._in_flight) == 1  # the worker does not count as idle
        may_answer.set()
        await until(lambda: not rig.node.dispatcher._in_flight)
        assert await client.call() == "satisfied"  # the next response is for the next request
        assert (client.last_number, rig.received("UNDO"), rig.workers["a"].connection_count) == (2, [], 1)


@virtual_time
async def test_a_request_cancelled_in_its_own_read_is_never_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Thirty requests, their cancels and one more request arrive together: only the last one reaches a
    worker."""
    follow_loop_time(monkeypatch)  # a pause of this process may outlast the request's deadline
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        requests = [client.encode_request(id=f"{n:016x}") for n in range(1, 31)]
        await client.send(
            b"".join([*requests, *(encode_abort(n) for n in range(1, 31)), client.encode_request()])
        )
        assert (await client.receive_response() or {})["id"] == 31
        assert (rig.received(), rig.node.dispatcher.counts["final", "left"]) == (["a DO 1f"], 0)
        assert await client.call(id=f"{7:016x}") == "error -32602"  # the id counts as used all the same


async def test_a_cancel_of_an_unknown_answered_or_foreign_request_does_nothing(tmp_path: Path) -> None:
    """A cancel without a valid number or id is an error that ends the connection."""
    may_answer = anyio.Event()

    async with run_node(tmp_path, {"a": [after_event(may_answer, succeed)]}) as rig:
        first, second = await rig.connect_client(), await rig.connect_client()
        await first.send_request(id="00000000000000aa")
        await until(rig.received)
        for number in (1, 7, "00000000000000aa", "", -1, "x" * 50):
            await second.send(encode_abort(number))
        assert await second.call("nothing") == "error -32601"  # all of the cancels have been read
        for number in (None, [1], {}):
            third = await rig.connect_client()
            await third.send(encode_abort(number))
            assert outcome_of(await third.receive_response()) == "error -32600"
            assert await third.receive_response() is None
        assert len(rig.node.dispatcher.pending_requests) == 1
        may_answer.set()
        assert outcome_of(await first.receive_response()) == "satisfied"
        await first.send(encode_abort(1))
        assert await first.call() == "satisfied"


@virtual_time
async def test_cancelled_requests_count_as_open_while_workers_may_run_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """32 requests of a connection may be open: with all of them cancelled, further ones are still
    rejected."""
    follow_loop_time(monkeypatch)  # they count for one latency objective, which a pause may outlast
    async with run_node(tmp_path, {"a": [silent], "b": [silent]}) as rig:
        client = await rig.connect_client()
        for worker in rig.node.dispatcher.workers.values():
            worker.policy_worker.concurrency_limit = 100.0
        for n in range(100):
            await client.send_request(wait=1900)
            if n < 32:  # one by one, so that none is cancelled in the read in which it arrives
                await until(lambda n=n: len(rig.received()) == n + 1)  # type: ignore[misc]
                await client.send(encode_abort(n + 1))
        outcomes = [outcome_of(await client.receive_response()) for _ in range(68)]
        assert (set(outcomes), len(rig.received())) == ({"turned back"}, 32)


async def test_answered_requests_count_as_open_until_responses_reach_the_client(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Hundreds of requests written at once arrive in several reads: their client has received no response
    in between."""
    # no response ever counts as received
    monkeypatch.setattr("martenlead.node.request_handler.RESPONSE_TRANSIT_NS", 1 << 62)
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        for worker in rig.node.dispatcher.workers.values():
            worker.policy_worker.concurrency_limit = 100.0
        outcomes = []
        for _ in range(5):
            for _ in range(20):
                await client.send_request()
            # all requests were read and answered
            outcomes += [outcome_of(await client.receive_response()) for _ in range(20)]
        assert (outcomes.count("satisfied"), outcomes.count("turned back"), len(rig.received())) == (
            32,
            68,
            32,
        )


async def test_a_client_that_does_not_read_is_noticed_when_it_leaves(tmp_path: Path) -> None:
    """The attempt that is open as it leaves is rejected by the worker, and not retried."""
    has_left = anyio.Event()

    for how in ("abort", "half close"):
        has_left = anyio.Event()
        async with run_node(
            tmp_path,
            {
                "a": [after_event(has_left, reject_as_full), succeed],
                "b": [after_event(has_left, reject_as_full), succeed],
            },
        ) as rig:
            client = await rig.connect_client()
            await until(lambda rig=rig: rig.node.listener.clients)  # type: ignore[misc]
            (connection,) = rig.node.listener.clients
            await client.send_request()
            await until(rig.received)
            connection.write(b" " * 8_000_000)  # more than the kernel's socket buffers hold
            await until(lambda connection=connection: connection.write_blocked_since_ns)  # type: ignore[misc]
            await leave(client, how)
            await until(lambda rig=rig: rig.node.dispatcher.counts["final", "left"])  # type: ignore[misc]
            has_left.set()
            await until(lambda rig=rig: not rig.node.dispatcher._in_flight)  # type: ignore[misc]
            assert (how, len(rig.received())) == (how, 1)


async def test_a_client_that_keeps_sending_and_reads_nothing_is_disconnected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each read while writing to the client is blocked counts as an error."""
    monkeypatch.setattr("martenlead.node.client_connection.STALLED_CLIENT_TIMEOUT_NS", 1 << 62)
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        await until(lambda: rig.node.listener.clients)
        (connection,) = rig.node.listener.clients
        connection.write(b" " * 8_000_000)
        await until(lambda: connection.write_blocked_since_ns)
        for _ in range(17):
            await client.send_request()
        await until(lambda: not rig.node.listener.clients)
        assert rig.received() == []


# -- connections to workers


async def test_connection_comes_up_in_the_same_turn_as_its_timeout(tmp_path: Path) -> None:
    """A request that was reported as never sent must not be written, or both workers would get it."""
    for method in METHODS:
        async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as rig:
            real, intercepted = rig.node.worker_client._connect, []

            async def connect(
                connection: Any, real: Any = real, intercepted: list[Any] = intercepted
            ) -> None:
                connection_made = connection.connection_made
                if not intercepted:
                    intercepted.append(connection)

                    def expire_then_connect(transport: Any) -> None:
                        """The connection expires as it comes up."""
                        connection.close("no connection in time")  # the time-out is handled first
                        connection_made(transport)

                    connection.connection_made = expire_then_connect
                await real(connection)

            rig.node.worker_client._connect = connect  # type: ignore[method-assign]
            client = await rig.connect_client()
            outcome = await client.call(method, once="0" * 32 if method == "keyed" else None)
            assert (method, outcome, len(rig.received())) == (method, "satisfied", 1)
            other = rig.workers["a" if rig.received()[0][0] == "b" else "b"]
            await until(lambda other=other: other.connection_count and not other.open_connections)  # type: ignore[misc]
            assert len(rig.received()) == 1


async def test_connection_comes_up_and_expires_during_one_stall(tmp_path: Path) -> None:
    """Whichever event the loop handles first: at most one worker gets the request, or it is reported as
    possibly run."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as rig:
        real = rig.node.worker_client._connect

        async def connect(connection: Any) -> None:
            # both events are due when the loop turns again
            asyncio.get_running_loop().call_soon(time.sleep, 0.3)
            await real(connection)

        rig.node.worker_client._connect = connect  # type: ignore[method-assign]
        outcome = await (await rig.connect_client()).call("unsafe")
        await until(lambda: not rig.node.dispatcher._in_flight)
        assert len(rig.received()) == (outcome == "satisfied") or outcome.startswith("error")


@pytest.mark.parametrize("state", [1, 2])
@pytest.mark.parametrize("what", ["attempt", "load request"])
async def test_worker_drains_or_goes_while_the_connection_comes_up(
    what: str, state: int, tmp_path: Path
) -> None:
    """What waits for the connection is not sent, and counts as not run."""
    async with run_node(tmp_path, settings=LOAD_REQUEST_SETTINGS) as rig:
        dispatcher = rig.node.dispatcher
        await until(lambda: rig.journal.streams)
        (worker,) = dispatcher.workers.values()
        results: list[Any] = []
        may_connect = delay_connections(rig)
        client = await rig.connect_client()
        if what == "load request":
            rig.node.worker_client.send_load_request(
                worker, dispatcher.find_or_add_function("0" * 15 + "1", 1, 100.0), 1, results.append
            )
        else:
            await client.send_request("unsafe")
        await until(lambda: calls_waiting_for_connection(rig))
        await rig.journal.publish(rig.worker_record("a", state=state))
        await until(lambda: not worker.is_up)
        if state == 2:  # gone: the call ends at once, not when its connection would have come up
            await until(lambda: not calls_waiting_for_connection(rig), within=1)
        may_connect.set()
        if what == "load request":
            await until(lambda: results)
            assert results[0].result in (Result.NOT_SENT, Result.UNREACHABLE)
        else:
            # it is proven not to have run
            assert outcome_of(await client.receive_response()) == "turned back"
        await until(lambda: not calls_waiting_for_connection(rig))
        await until(lambda: rig.workers["a"].open_connections == 0 or state == 1)
        assert rig.log == []


async def test_a_new_worker_at_the_address_gets_nothing_that_waited_for_the_old_one(tmp_path: Path) -> None:
    """The old worker goes and a new one is listed at its address while a connection comes up."""
    async with run_node(tmp_path) as rig:
        await until(lambda: rig.journal.streams)
        may_connect = delay_connections(rig)
        client = await rig.connect_client()
        await client.send_request("unsafe", id="00000000000000aa")
        await until(lambda: calls_waiting_for_connection(rig))
        port = rig.workers["a"].port
        await rig.journal.publish(record(ord("a"), port, state=2), record(ord("n"), port))
        await until(lambda: "s-0000006e" in rig.node.dispatcher.workers)
        may_connect.set()
        assert outcome_of(await client.receive_response()) in ("turned back", "satisfied")
        assert await client.call("unsafe", id="00000000000000bb") == "satisfied"
        assert [line for line in rig.received() if "aa" in line] == rig.received()[:-1]
        assert len(rig.received()) <= 2


async def test_gone_and_back_in_one_event_is_another_process(tmp_path: Path) -> None:
    """The connections to the old process are not used for the new one."""
    async with run_node(tmp_path, {"a": [succeed]}) as rig:
        await until(lambda: rig.journal.streams)
        client = await rig.connect_client()
        assert await client.call() == "satisfied"
        (old,) = rig.node.dispatcher.workers.values()
        await rig.journal.publish(
            rig.worker_record("a", state=1), rig.worker_record("a", state=2), rig.worker_record("a")
        )
        await until(lambda: rig.node.dispatcher.workers.get("s-00000061") not in (None, old))
        assert await client.call() == "satisfied"
        assert (old.is_gone, old.is_up, rig.workers["a"].connection_count) == (True, False, 2)
        assert len(rig.node.dispatcher.workers) == len(rig.node.dispatcher.by_policy_worker) == 1


async def test_a_late_second_answer_is_not_taken_for_the_next_attempts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both attempts have the same txn: over one connection a second `WAIT` would prove that the next had
    not run."""
    first_streams: list[Any] = []

    async def fail_first(worker: Any, stream: Any, request: dict[str, Any]) -> None:
        """Fails, and keeps the connection for the next attempt."""
        first_streams.append(stream)
        await respond_with("BROKE", "")(worker, stream, request)

    async def repeat_then_succeed(worker: Any, stream: Any, request: dict[str, Any]) -> None:
        """Sends a second answer on the first connection, waits until the node has read it, and succeeds."""
        await first_streams[0].send(answer("WAIT", request["txn"]) + answer("FIT", "0"))
        await until(lambda: "FIT" in words_read)
        await succeed(worker, stream, request)

    words_read: list[str] = []
    real = worker_protocol.parse_response

    def record_word(line: bytes, size_limit: int) -> Any:
        """Parses a line, and notes its word."""
        words_read.append((response := real(line, size_limit)).word)
        return response

    async with run_node(tmp_path, {"a": [fail_first, repeat_then_succeed]}) as rig:
        monkeypatch.setattr("martenlead.node.upstream_connection.parse_response", record_word)
        client = await rig.connect_client()
        outcome = await client.call("keyed", once="0" * 32, wait=1900)
        assert (outcome, len(rig.received()), rig.workers["a"].connection_count) == ("satisfied", 2, 2)
        assert rig.node.dispatcher.counts["hand-off", "full"] == 0


async def test_a_connection_closed_by_the_worker_is_not_written_to_in_the_same_turn(tmp_path: Path) -> None:
    """The next request would be lost on it: it gets a new connection."""
    async with run_node(tmp_path, {"a": [silent, succeed]}) as rig:
        client = await rig.connect_client()
        await client.send_request("unsafe", id="00000000000000aa")
        await until(rig.received)
        ((connection,),) = (pool.connections for pool in rig.node.worker_client.pools)
        rig.node.worker_client.connection_limit = 1  # no second connection beside a busy one
        connection.eof_received()  # connection_lost is called at the end of this turn, at the earliest
        assert connection not in connection.pool.connections
        assert outcome_of(await client.receive_response()) == "error -32000"  # the request may have run
        assert await client.call("unsafe", id="00000000000000bb") == "satisfied"


async def test_a_worker_that_does_not_read_gets_no_more_requests(tmp_path: Path) -> None:
    """A connection whose transport has paused writing is not chosen until it resumes."""
    async with run_node(tmp_path, {"a": [silent]}) as rig:
        client = await rig.connect_client()
        await client.send_request(id="00000000000000aa", wait=1900)
        await until(rig.received)
        (connection,) = (
            candidate
            for pool in rig.node.worker_client.pools
            for candidate in pool.connections
            if candidate.outstanding_calls
        )
        connection.pause_writing()  # the transport calls it when its buffer is full
        rig.node.worker_client.connection_limit = 1  # no second connection: the request counts as not sent
        assert await client.call("unsafe") == "turned back"
        connection.resume_writing()
        assert rig.node.worker_client._choose_connection(connection.pool, []) is connection


async def test_a_connection_whose_close_the_loop_has_not_reported_is_not_written_to(
    tmp_path: Path,
) -> None:
    """What is written to it is dropped, so that a non-idempotent request would fail without need."""
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        assert await client.call("unsafe") == "satisfied"
        ((connection,),) = (pool.connections for pool in rig.node.worker_client.pools)
        connection.transport.abort()  # like an I/O error: connection_lost follows at the end of this turn
        assert connection in connection.pool.connections
        assert rig.node.worker_client._choose_connection(connection.pool, []) is not connection
        assert await client.call("unsafe") == "satisfied"


async def test_a_busy_connection_that_the_loop_has_closed_gets_no_more(tmp_path: Path) -> None:
    """It is not chosen from the moment at which its transport is closing."""
    async with run_node(tmp_path, {"a": [silent]}) as rig:
        client = await rig.connect_client()
        await client.send_request("unsafe")
        await until(rig.received)
        ((connection,),) = (pool.connections for pool in rig.node.worker_client.pools)
        rig.node.worker_client.connection_limit = 1  # no second connection beside a busy one
        assert rig.node.worker_client._choose_connection(connection.pool, []) is connection
        connection.transport.abort()
        assert (
            connection in connection.pool.connections
            and rig.node.worker_client._choose_connection(connection.pool, []) is None
        )
        assert outcome_of(await client.receive_response()) == "error -32000"


async def test_lines_that_the_kernel_does_not_accept_are_never_sent_later(tmp_path: Path) -> None:
    """Two requests wait for one connection, and the first fills it. The second must not stay in the
    buffer, to be sent when the worker reads again and may be draining. The full connection gets no
    third request either."""
    worker_socket = socket.socket()  # accepts connections, and is read from at the end only
    worker_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    worker_socket.bind(("127.0.0.1", 0))
    worker_socket.listen()
    port = worker_socket.getsockname()[1]
    async with run_node(tmp_path) as rig:
        may_connect, real = anyio.Event(), rig.node.worker_client._connect

        async def connect(connection: Any) -> None:
            connection_made = connection.connection_made

            def limit_send_buffer(transport: Any) -> None:
                """Makes the send buffer so small that one request fills it."""
                transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                connection_made(transport)

            connection.connection_made = limit_send_buffer
            await may_connect.wait()
            await real(connection)

        rig.node.worker_client._connect = connect  # type: ignore[method-assign]
        rig.node.worker_client.connection_limit = 1  # a single connection to the worker
        await until(lambda: rig.journal.streams)
        await rig.journal.publish(rig.worker_record("a", state=2), record(ord("b"), port))
        await until(lambda: "s-00000062" in rig.node.dispatcher.workers)
        worker = rig.node.dispatcher.workers["s-00000062"]
        worker.policy_worker.concurrency_limit = 100.0
        client = await rig.connect_client()
        for _ in range(2):
            await client.send_request("unsafe", blob="QUFB" * 5000, wait=1900)
        await until(lambda: len(calls_waiting_for_connection(rig)) == 2)
        may_connect.set()
        response = await client.receive_response()
        # it is proven not to have run
        assert (outcome_of(response), (response or {})["id"]) == ("turned back", 2)
        assert await client.call("unsafe", wait=1900) == "turned back"
        await rig.journal.publish(record(ord("b"), port, state=1))
        await until(lambda: not worker.is_up)
        stream, _ = worker_socket.accept()
        stream.setblocking(False)
        received = b""
        while received.count(b"\n") < 2:  # the first request and its cancel
            await anyio.wait_readable(stream)
            received += (data := stream.recv(65536))
            assert data
        assert [line[6:8] for line in received.splitlines()] == [b"DO", b"UN"]
        stream.close()
    worker_socket.close()


async def test_a_fault_as_a_connection_is_made_costs_what_waits_for_it_and_no_more(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop raises errors other than OSError if a transport closes in the turn in which it was
    made."""
    async with run_node(tmp_path) as rig:
        loop = asyncio.get_running_loop()
        real = loop.create_connection

        async def raise_error(*_args: Any, **_options: Any) -> Any:
            """Fails as the event loop does for a transport that is closed already."""
            raise RuntimeError("the handler is closed")

        client = await rig.connect_client()
        monkeypatch.setattr(loop, "create_connection", raise_error)
        assert await client.call("unsafe") == "turned back"
        monkeypatch.setattr(loop, "create_connection", real)
        assert await client.call("unsafe") == "satisfied"
        assert rig.node.dispatcher.counts["fault", "RuntimeError"] == 1


# -- clients' connections


async def test_a_request_that_came_before_the_sweep_in_the_same_turn(tmp_path: Path) -> None:
    """A connection that looks idle is not closed by the sweep while a request lies unread in its socket."""
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        assert await client.call() == "satisfied"
        (connection,) = rig.node.listener.clients
        connection.last_read_ns -= 60_000_000_000  # idle for 60 s
        send_at_once(client)
        rig.node.listener.close_overdue_connections()  # in the same turn as the write
        assert outcome_of(await client.receive_response()) == "satisfied"


async def test_a_request_that_came_before_its_connection_would_be_closed(tmp_path: Path) -> None:
    """A connection with unread input is not closed to make room for a new one."""
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        assert await client.call() == "satisfied"
        rig.node.listener.connection_limit = 1
        send_at_once(client)
        (connection,) = rig.node.listener.clients

        new_connection = ClientConnection(rig.node.listener)
        new_connection.last_read_ns = 1 << 62
        rig.node.listener.add_connection(new_connection)
        # the new one is closed
        assert new_connection.graceful_close and not connection.graceful_close and not connection.is_closed
        del rig.node.listener.clients[new_connection]
        new_connection.is_closed = True
        assert outcome_of(await client.receive_response()) == "satisfied"
        assert connection in rig.node.listener.clients and not connection.graceful_close


# -- the stop


async def test_connections_that_the_kernel_accepted_before_the_listener_closes_are_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection arrives after the loop's last look at the listener, and before the listener is
    closed."""
    monkeypatch.setattr("martenlead.node.serve.ACCEPT_AFTER_SIGTERM_SECONDS", 0.2)
    client, sockets = Client(None), []  # type: ignore[arg-type]

    def connect_at_last_moment(seconds: float) -> Any:
        """Opens a connection with a request, the first time it is called."""
        if not sockets:
            sockets.append(socket.create_connection(("127.0.0.1", rig.port)))
            sockets[0].send(client.encode_request())
        return timeouts.time_limit(seconds)

    async with run_node(tmp_path) as rig:
        monkeypatch.setattr("martenlead.node.serve.time_limit", connect_at_last_moment)
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: sockets)
        sockets[0].setblocking(False)
        received = b""
        with anyio.fail_after(5):
            while b"result" not in received:
                await anyio.wait_readable(sockets[0])
                received += (data := sockets[0].recv(4096))
                assert data
        await until(lambda: rig.node_ended)
        sockets[0].close()


async def test_client_input_in_the_kernel_as_the_stop_ends_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They arrive as the node finds that its last pending request is finished."""
    monkeypatch.setattr("martenlead.node.serve.ACCEPT_AFTER_SIGTERM_SECONDS", 0.2)
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        assert await client.call() == "satisfied"

        class SendWhenEmpty(dict[Any, Any]):
            """Pending requests of the node; a request is sent at the moment at which the stopping node
            finds none."""

            has_sent = False

            def __bool__(self) -> bool:
                if rig.node.is_stopping and not len(self) and not SendWhenEmpty.has_sent:
                    SendWhenEmpty.has_sent = True
                    send_at_once(client)
                return len(self) > 0

        rig.node.dispatcher.pending_requests = SendWhenEmpty()
        os.kill(os.getpid(), signal.SIGTERM)
        assert outcome_of(await client.receive_response()) == "satisfied"
        await until(lambda: rig.node_ended)


async def test_the_journal_address_changes_during_a_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An open request keeps the node from exiting until it follows the new journal service, however long
    that takes."""
    may_answer = anyio.Event()
    monkeypatch.setattr("martenlead.node.serve.KILL_DEADLINE_LIMIT_SECONDS", LONG_DEADLINE_SECONDS)

    async with run_node(
        tmp_path, {"a": [after_event(may_answer, succeed)]}, settings=with_deadlines(LONG_DEADLINE_SECONDS)
    ) as rig:
        client = await rig.connect_client()
        await client.send_request(wait=round(LONG_DEADLINE_SECONDS * 1000))
        await until(rig.received)
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: rig.node.is_stopping)
        os.kill(os.getpid(), signal.SIGTERM)  # a second SIGTERM changes nothing
        before, moved = rig.journal, type(rig.journal)()
        moved.events = before.events
        rig.task_group.start_soon(moved.serve)
        await until(lambda: moved.port)
        rig.write_config(moved.port)
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: moved.resume_positions)
        assert not rig.node_ended
        may_answer.set()
        assert outcome_of(await client.receive_response()) == "satisfied"
        await until(lambda: rig.node_ended)


@virtual_time
async def test_what_cannot_end_before_the_kill_is_answered_before_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request with a deadline after the expected SIGKILL is rejected before the process ends."""
    follow_loop_time(monkeypatch)
    classes = [c | {"give-up": 30.0} for c in SETTINGS["classes"]]
    async with run_node(tmp_path, {"a": [silent]}, settings=SETTINGS | {"classes": classes}) as rig:
        client = await rig.connect_client()
        await client.send_request(wait=30_000)
        await until(rig.received)
        start = anyio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        assert outcome_of(await client.receive_response()) == "turned back"
        await until(lambda: rig.node_ended)
        assert 3.4 < anyio.current_time() - start < 3.7


@virtual_time
async def test_the_address_is_taken_over_from_an_old_process_that_still_has_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node tries again to bind while the address is in use, and fails once its time is over."""
    follow_loop_time(monkeypatch)
    attempts: list[Any] = []
    real = socket.create_server

    def create(address: tuple[str, int], **options: Any) -> Any:
        """Counts the attempts to bind."""
        attempts.append(address)
        return real(address, **options)

    old_listener = real(("127.0.0.1", 0))
    async with run_node(tmp_path) as rig:
        rig.port = old_listener.getsockname()[1]
        rig.write_config(rig.journal.port)
        monkeypatch.setattr("martenlead.node.serve.socket.create_server", create)
        started = anyio.Event()
        rig.task_group.start_soon(type(rig.node)(rig.config_path).serve, started.set)
        await until(lambda: attempts)  # and found the address in use
        old_listener.close()
        await until(started.is_set)
        assert await (await rig.connect_client()).call() == "satisfied"
        monkeypatch.setattr("martenlead.node.serve.KILL_DEADLINE_LIMIT_SECONDS", -1.5)
        # the address stays in use: the start fails with the reason
        with pytest.raises(ExceptionGroup) as raised:
            await type(rig.node)(rig.config_path).serve()
        assert raised.group_contains(OSError, match="in use")
        assert len(attempts) > 4


async def test_a_stop_signal_that_came_before_the_node_handled_signals(tmp_path: Path) -> None:
    """Signals that arrived during the start are passed to the node, which stops."""
    async with run_node(tmp_path) as rig:
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: rig.node_ended)
        node = type(rig.node)(rig.config_path)
        with anyio.fail_after(5):
            await node.serve(early_signals=[signal.SIGHUP, signal.SIGTERM, signal.SIGTERM])
        assert node.is_stopping


# -- discovery


async def test_a_frame_that_goes_on_byte_by_byte_is_silence(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An event of which single bytes arrive does not delay the silence time-out: the node reconnects."""
    monkeypatch.setattr("martenlead.node.discovery.SILENCE_TIMEOUT_SECONDS", 0.3)
    async with run_node(tmp_path) as rig:
        await until(lambda: rig.journal.streams)
        rig.journal.sends_heartbeats = False
        event = frame(2, 2, *(record(n, 9) for n in range(100, 200)))
        start, stream = anyio.current_time(), rig.journal.streams[0]
        for position in range(len(event)):
            if len(rig.journal.resume_positions) > 1:
                break
            try:
                await stream.send(event[position : position + 1])
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                break
            await anyio.sleep(0.02)
        await until(lambda: len(rig.journal.resume_positions) > 1)
        assert anyio.current_time() - start < 1.5


async def test_a_number_that_the_journal_skips_for_good_does_not_stop_discovery(tmp_path: Path) -> None:
    """After a gap the node asks once more for the missing event, and then goes on with the next."""
    async with run_node(tmp_path) as rig:
        await until(lambda: rig.journal.streams)
        await rig.start_worker("b", succeed)
        rig.journal.events = [b"", frame(3, 2, rig.worker_record("b"))]  # there is no event 2
        await rig.journal.streams[0].send(rig.journal.events[1])
        await until(lambda: len(rig.node.dispatcher.workers) == 2)
        assert (rig.journal.resume_positions[:2], rig.node.discovery.endpoint_list.version) == ([1, 1], 3)


async def test_a_heartbeat_ahead_of_the_list_makes_the_node_request_it_again(tmp_path: Path) -> None:
    """The journal service sends heartbeats in time, and does not send an event that it has: without a new
    request the node would learn of a drain only with the next event."""
    async with run_node(tmp_path) as rig:
        await until(lambda: rig.journal.streams)
        await rig.start_worker("b", succeed)
        rig.journal.events.append(frame(2, 2, rig.worker_record("b")))  # never sent on the open connection
        await until(lambda: len(rig.node.dispatcher.workers) == 2)  # the next heartbeat has a higher number
        assert rig.journal.resume_positions == [1, 1]
        # a number that no event will have: one more request, not endless ones
        await rig.journal.streams[-1].send(frame(9, 0))
        await until(lambda: len(rig.journal.resume_positions) == 3)
        await rig.journal.streams[-1].send(frame(9, 0) + frame(9, 0))
        await rig.start_worker("c", succeed)
        await rig.journal.publish(rig.worker_record("c"))
        await until(lambda: len(rig.node.dispatcher.workers) == 3)
        assert len(rig.journal.resume_positions) == 3


async def test_the_journal_moves_while_it_is_being_connected_to(tmp_path: Path) -> None:
    """The node gives up the connection that is coming up, and connects to the new address at once."""
    unreachable = socket.socket()  # accepts nothing: connections to it stay half open
    unreachable.bind(("127.0.0.1", 0))
    async with run_node(tmp_path) as rig:
        await until(lambda: rig.journal.streams)
        connecting: list[Any] = []
        real = anyio.connect_tcp

        async def connect(*address: Any, **options: Any) -> Any:
            connecting.append(address)
            if address[1] == unreachable.getsockname()[1]:
                await anyio.sleep_forever()
            return await real(*address, **options)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("martenlead.node.discovery.anyio.connect_tcp", connect)
            rig.node.discovery.change_address(unreachable.getsockname())
            await until(lambda: connecting)
            rig.node.discovery.change_address(("127.0.0.1", rig.journal.port))  # while it is connecting
            await until(lambda: len(rig.journal.resume_positions) > 1, within=0.4)
        await rig.start_worker("b", succeed)
        await rig.journal.publish(rig.worker_record("b"))
        await until(lambda: len(rig.node.dispatcher.workers) == 2)
    unreachable.close()


# -- timers


async def test_a_wait_sets_one_timer_however_its_end_falls_between_two_ms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Timers are rounded up to whole milliseconds, so that a wait does not end early and start a second
    one."""
    timers: list[float] = []
    loop = asyncio.get_running_loop()
    real = loop.call_later
    monkeypatch.setattr(loop, "call_later", lambda delay, *args: timers.append(delay) or real(delay, *args))  # type: ignore
    for seconds in (0.0004, 0.0024, 0.0101):
        before = time.monotonic()
        with timeouts.time_limit(seconds) as scope:
            await anyio.Event().wait()
        assert scope.cancelled_caught and time.monotonic() - before >= seconds
    assert timers == [0.001, 0.003, 0.011]


# -- further cases


async def test_no_descriptor_left_as_a_connection_is_made(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection never came up, which proves that nothing ran. Once descriptors are free, the next one
    does."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as rig:
        loop = asyncio.get_running_loop()
        real = loop.create_connection
        client = await rig.connect_client()

        async def raise_too_many_files(*_args: Any, **_options: Any) -> Any:
            """Fails as without a free descriptor."""
            raise OSError(errno.EMFILE, "Too many open files")

        monkeypatch.setattr(loop, "create_connection", raise_too_many_files)
        assert await client.call("unsafe", id="00000000000000aa") == "turned back"
        monkeypatch.setattr(loop, "create_connection", real)
        assert await client.call("unsafe", id="00000000000000bb") == "satisfied"
        assert [line[-2:] for line in rig.received()] == ["bb"]


async def test_two_nodes_in_one_process_share_nothing(tmp_path: Path) -> None:
    """They have different names and limits and get the same ids: input to one never shows in the other."""
    other_settings = SETTINGS | {
        "orgs": [{"name": "other", "quota-per-s": 5.0}],
        "classes": [{"name": "lookup", "effect": "read_like", "on-time": 0.1, "give-up": 0.25}],
    }
    (tmp_path / "1").mkdir()
    (tmp_path / "2").mkdir()
    async with (
        run_node(tmp_path / "1") as first_rig,
        run_node(tmp_path / "2", settings=other_settings) as second_rig,
    ):
        first_client, second_client = await first_rig.connect_client(), await second_rig.connect_client()
        assert await first_client.call("safe") == "satisfied"
        assert await second_client.call("safe") == "error -32601"
        # the tenant exists on the other node only
        assert await second_client.call("lookup") == "error -32602"
        assert await second_client.call("lookup", id=f"{1:016x}", tenant="other") == "satisfied"
        assert [len(rig.received()) for rig in (first_rig, second_rig)] == [1, 1]
        assert [len(rig.node.listener.requests.finished_ids) for rig in (first_rig, second_rig)] == [1, 1]
        assert first_rig.node.dispatcher.deadlines_ns != second_rig.node.dispatcher.deadlines_ns
        policies = [rig.node.dispatcher.policy_boundary._policy for rig in (first_rig, second_rig)]
        for component in (None, "state", "scaling", "tenant_shares", "load_budget", "placement", "attempts"):
            attributes = [
                vars(policy if component is None else getattr(policy, component)) for policy in policies
            ]
            shared = [
                name
                for name, value in attributes[0].items()
                if isinstance(value, dict | list | deque) and value is attributes[1][name]
            ]
            assert shared == []

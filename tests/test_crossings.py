"""Two events that cross, in the bad order each time: one is held until the other is known to have happened.

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
from support.virtual_time import VIRTUAL_TIME, follow_loop_time
from tests.nodes import (
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

pytestmark = pytest.mark.anyio
ORDERS = SETTINGS | {"family-info": SETTINGS["family-info"] | {"placement-calls": True}}
full = respond_with("WAIT", "")
METHODS = ("safe", "keyed", "unsafe")
virtual_time = pytest.mark.parametrize("anyio_backend", [VIRTUAL_TIME], ids=["virtual time"])
LONG = 60.0  # s that a request has which no test waits for the end of


def late(p: NodeRig) -> anyio.Event:
    """From now on connections to runners come up once this is set."""
    gate, real = anyio.Event(), p.node.worker_client._connect

    async def connect(conn: Any) -> None:
        await gate.wait()
        await real(conn)

    p.node.worker_client._connect = connect  # type: ignore[method-assign]
    return gate


def once(event: anyio.Event, part: Behaviour) -> Behaviour:
    """Plays that part when this is known to have happened."""

    async def played(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        await event.wait()
        await part(runner, stream, told)

    return played


def waiting(p: NodeRig) -> list[Any]:
    """What waits for a connection that is not up."""
    conns = [conn for way in p.node.worker_client.pools for conn in way.connections if conn.transport is None]
    return [sent for conn in conns for sent in conn.outstanding_calls.values()]


def abort(number: Any, own: int | None = None) -> bytes:
    about = {"jsonrpc": "2.0", "method": "abort", "params": {"id": number}}
    return message(about | ({} if own is None else {"id": own}))


async def leave(client: Client, how: str) -> None:
    match how:
        case "abort":
            await client.send(abort(client.last_number))
        case "half close":
            await client.stream.send_eof()
        case "close":
            await client.stream.aclose()
        case "reset":
            reset_on_close(client.stream)
            await anyio.aclose_forcefully(client.stream)


def put(client: Client) -> None:
    """A task that lies in the machine before the loop turns again."""
    os.write(client.stream.extra(SocketAttribute.raw_socket).fileno(), client.encode_request())


LEAVES = ("abort", "half close", "close", "reset")


# -- a client leaves while its task waits


@pytest.mark.parametrize("how", LEAVES)
async def test_left_while_the_connection_comes_up(how: str, tmp_path: Path) -> None:
    async with run_node(tmp_path) as p:
        gate = late(p)
        client = await p.connect_client()
        await client.send_request("unsafe")
        await until(lambda: waiting(p))
        await leave(client, how)
        await until(lambda: p.node.dispatcher.counts["final", "left"])
        gate.set()
        assert await (await p.connect_client()).call(id="00000000000000bb") == "satisfied"
        assert p.received() == ["a DO bb"]


@pytest.mark.parametrize("how", LEAVES)
async def test_left_while_a_hand_off_is_out_is_not_sent_on(how: str, tmp_path: Path) -> None:
    """The runner turns it away once its client is known to have left: there it may not go elsewhere."""
    gone = anyio.Event()

    async with run_node(tmp_path, {"a": [once(gone, full), succeed], "b": [once(gone, full), succeed]}) as p:
        client = await p.connect_client()
        await client.send_request()
        await until(p.received)
        await leave(client, how)
        await until(lambda: p.node.dispatcher.counts["final", "left"])
        gone.set()
        await until(lambda: not p.node.dispatcher._in_flight)
        assert await (await p.connect_client()).call(id="00000000000000bb") == "satisfied"
        assert sorted(line[-2:] for line in p.received()) == ["01", "bb"]


@pytest.mark.parametrize("about", [1, "1", "00000000000000aa"])
async def test_an_abort_lets_what_is_out_end_and_its_answer_goes_to_nobody(
    about: int | str, tmp_path: Path
) -> None:
    """Called off, it would go on at most runners all the same, and they would be taken for free."""
    gone = anyio.Event()

    async with run_node(tmp_path, {"a": [once(gone, succeed), succeed]}) as p:
        client = await p.connect_client()
        await client.send_request(id="00000000000000aa")
        await until(p.received)
        await client.send(abort(about))
        await until(lambda: not p.node.dispatcher.pending_requests)
        assert len(p.node.dispatcher._in_flight) == 1  # the runner is not free
        gone.set()
        await until(lambda: not p.node.dispatcher._in_flight)
        assert await client.call() == "satisfied"  # the next answer is the next task's
        assert (client.last_number, p.received("UNDO"), p.workers["a"].connection_count) == (2, [], 1)


@virtual_time
async def test_taken_back_in_the_read_that_it_came_in_is_never_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    follow_loop_time(monkeypatch)  # a stop of this process may be longer than the request's wait
    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        tasks = [client.encode_request(id=f"{n:016x}") for n in range(1, 31)]
        await client.send(b"".join([*tasks, *(abort(n) for n in range(1, 31)), client.encode_request()]))
        assert (await client.receive_response() or {})["id"] == 31
        assert (p.received(), p.node.dispatcher.counts["final", "left"]) == (["a DO 1f"], 0)
        assert await client.call(id=f"{7:016x}") == "error -32602"  # it was spent all the same


async def test_an_abort_for_what_is_unknown_answered_or_anothers_does_nothing(tmp_path: Path) -> None:
    gone = anyio.Event()

    async with run_node(tmp_path, {"a": [once(gone, succeed)]}) as p:
        one, two = await p.connect_client(), await p.connect_client()
        await one.send_request(id="00000000000000aa")
        await until(p.received)
        for about in (1, 7, "00000000000000aa", "", -1, "x" * 50):
            await two.send(abort(about))
        assert await two.call("nothing") == "error -32601"  # all of them were read
        for about in (None, [1], {}):
            three = await p.connect_client()
            await three.send(abort(about))
            assert outcome_of(await three.receive_response()) == "error -32600"
            assert await three.receive_response() is None
        assert len(p.node.dispatcher.pending_requests) == 1
        gone.set()
        assert outcome_of(await one.receive_response()) == "satisfied"
        await one.send(abort(1))
        assert await one.call() == "satisfied"


@virtual_time
async def test_taken_back_tasks_count_as_open_as_long_as_runners_may_be_at_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    follow_loop_time(monkeypatch)  # they count for a latency objective, which a stop may outlast
    async with run_node(tmp_path, {"a": [silent], "b": [silent]}) as p:
        client = await p.connect_client()
        for box in p.node.dispatcher.workers.values():
            box.policy_worker.concurrency_limit = 100.0
        for n in range(100):
            await client.send_request(wait=1900)
            if n < 32:  # one by one, so that none is taken back in its own read
                await until(lambda n=n: len(p.received()) == n + 1)  # type: ignore[misc]
                await client.send(abort(n + 1))
        told = [outcome_of(await client.receive_response()) for _ in range(68)]
        assert (set(told), len(p.received())) == ({"turned back"}, 32)


async def test_answered_tasks_count_as_open_until_their_answers_have_reached_the_client(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Hundreds at once come in several reads: who wrote them had none of the answers between."""
    monkeypatch.setattr(
        "martenlead.node.request_handler.RESPONSE_TRANSIT_NS", 1 << 62
    )  # no answer ever reaches it
    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        for box in p.node.dispatcher.workers.values():
            box.policy_worker.concurrency_limit = 100.0
        told = []
        for _ in range(5):
            for _ in range(20):
                await client.send_request()
            told += [
                outcome_of(await client.receive_response()) for _ in range(20)
            ]  # all was read, and is over
        assert (told.count("satisfied"), told.count("turned back"), len(p.received())) == (32, 68, 32)


async def test_a_client_that_does_not_read_is_heard_when_it_leaves(tmp_path: Path) -> None:
    gone = anyio.Event()

    for how in ("abort", "half close"):
        gone = anyio.Event()
        async with run_node(
            tmp_path, {"a": [once(gone, full), succeed], "b": [once(gone, full), succeed]}
        ) as p:
            client = await p.connect_client()
            await until(lambda p=p: p.node.listener.clients)  # type: ignore[misc]
            (own,) = p.node.listener.clients
            await client.send_request()
            await until(p.received)
            own.write(b" " * 8_000_000)  # more than the machine's buffers hold
            await until(lambda own=own: own.write_blocked_since_ns)  # type: ignore[misc]
            await leave(client, how)
            await until(lambda p=p: p.node.dispatcher.counts["final", "left"])  # type: ignore[misc]
            gone.set()
            await until(lambda p=p: not p.node.dispatcher._in_flight)  # type: ignore[misc]
            assert (how, len(p.received())) == (how, 1)


async def test_a_client_that_asks_for_ever_more_and_reads_nothing_is_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("martenlead.node.client_connection.STALLED_CLIENT_TIMEOUT_NS", 1 << 62)
    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        await until(lambda: p.node.listener.clients)
        (own,) = p.node.listener.clients
        own.write(b" " * 8_000_000)
        await until(lambda: own.write_blocked_since_ns)
        for _ in range(17):
            await client.send_request()
        await until(lambda: not p.node.listener.clients)
        assert p.received() == []


# -- connections to runners


async def test_up_in_the_same_turn_as_its_time_out(tmp_path: Path) -> None:
    """What was told as never sent must not be written: here it went to both runners."""
    for method in METHODS:
        async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as p:
            real, first = p.node.worker_client._connect, []

            async def connect(conn: Any, real: Any = real, first: list[Any] = first) -> None:
                made = conn.connection_made
                if not first:
                    first.append(conn)

                    def crossed(transport: Any) -> None:
                        conn.close("no connection in time")  # the time-out is served first
                        made(transport)

                    conn.connection_made = crossed
                await real(conn)

            p.node.worker_client._connect = connect  # type: ignore[method-assign]
            client = await p.connect_client()
            told = await client.call(method, once="0" * 32 if method == "keyed" else None)
            assert (method, told, len(p.received())) == (method, "satisfied", 1)
            other = p.workers["a" if p.received()[0][0] == "b" else "b"]
            await until(lambda other=other: other.connection_count and not other.open_connections)  # type: ignore[misc]
            assert len(p.received()) == 1


async def test_up_and_timed_out_as_the_loop_turns(tmp_path: Path) -> None:
    """Whichever the loop serves first: at most one runner has it, or it is told as maybe run."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as p:
        real = p.node.worker_client._connect

        async def connect(conn: Any) -> None:
            asyncio.get_running_loop().call_soon(time.sleep, 0.3)  # both are due once it turns again
            await real(conn)

        p.node.worker_client._connect = connect  # type: ignore[method-assign]
        told = await (await p.connect_client()).call("unsafe")
        await until(lambda: not p.node.dispatcher._in_flight)
        assert len(p.received()) == (told == "satisfied") or told.startswith("error")


@pytest.mark.parametrize("state", [1, 2])
@pytest.mark.parametrize("what", ["hand-off", "order"])
async def test_its_runner_drains_or_goes_while_the_connection_comes_up(
    what: str, state: int, tmp_path: Path
) -> None:
    async with run_node(tmp_path, settings=ORDERS) as p:
        dispatcher = p.node.dispatcher
        await until(lambda: p.journal.streams)
        (box,) = dispatcher.workers.values()
        heard: list[Any] = []
        gate = late(p)
        client = await p.connect_client()
        if what == "order":
            p.node.worker_client.send_load_request(
                box, dispatcher.find_or_add_function("0" * 15 + "1", 1, 100.0), 1, heard.append
            )
        else:
            await client.send_request("unsafe")
        await until(lambda: waiting(p))
        await p.journal.publish(p.worker_record("a", state=state))
        await until(lambda: not box.is_up)
        if state == 2:  # gone: at once, not when a connection to it would have come up
            await until(lambda: not waiting(p), within=1)
        gate.set()
        if what == "order":
            await until(lambda: heard)
            assert heard[0].result in (Result.NOT_SENT, Result.UNREACHABLE)
        else:
            assert (
                outcome_of(await client.receive_response()) == "turned back"
            )  # it is proven not to have run
        await until(lambda: not waiting(p))
        await until(lambda: p.workers["a"].open_connections == 0 or state == 1)
        assert p.log == []


async def test_a_new_runner_at_the_address_gets_nothing_that_waited_for_the_old_one(tmp_path: Path) -> None:
    async with run_node(tmp_path) as p:
        await until(lambda: p.journal.streams)
        gate = late(p)
        client = await p.connect_client()
        await client.send_request("unsafe", id="00000000000000aa")
        await until(lambda: waiting(p))
        port = p.workers["a"].port
        await p.journal.publish(record(ord("a"), port, state=2), record(ord("n"), port))
        await until(lambda: "s-0000006e" in p.node.dispatcher.workers)
        gate.set()
        assert outcome_of(await client.receive_response()) in ("turned back", "satisfied")
        assert await client.call("unsafe", id="00000000000000bb") == "satisfied"
        assert [line for line in p.received() if "aa" in line] == p.received()[:-1]
        assert len(p.received()) <= 2


async def test_gone_and_back_in_one_event_is_another_process(tmp_path: Path) -> None:
    async with run_node(tmp_path, {"a": [succeed]}) as p:
        await until(lambda: p.journal.streams)
        client = await p.connect_client()
        assert await client.call() == "satisfied"
        (old,) = p.node.dispatcher.workers.values()
        await p.journal.publish(
            p.worker_record("a", state=1), p.worker_record("a", state=2), p.worker_record("a")
        )
        await until(lambda: p.node.dispatcher.workers.get("s-00000061") not in (None, old))
        assert await client.call() == "satisfied"
        assert (old.is_gone, old.is_up, p.workers["a"].connection_count) == (True, False, 2)
        assert len(p.node.dispatcher.workers) == len(p.node.dispatcher.by_policy_worker) == 1


async def test_a_late_second_answer_is_not_taken_for_the_next_hand_offs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both have one txn: over the same connection a second `WAIT` proved that the next had not run."""
    streams: list[Any] = []

    async def first(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        streams.append(stream)
        await respond_with("BROKE", "")(runner, stream, told)

    async def second(runner: Any, stream: Any, told: dict[str, Any]) -> None:
        await streams[0].send(answer("WAIT", told["txn"]) + answer("FIT", "0"))
        await until(lambda: "FIT" in read)
        await succeed(runner, stream, told)

    read: list[str] = []
    real = worker_protocol.parse_response

    def note(line: bytes, most: int) -> Any:
        read.append((told := real(line, most)).word)
        return told

    async with run_node(tmp_path, {"a": [first, second]}) as p:
        monkeypatch.setattr("martenlead.node.upstream_connection.parse_response", note)
        client = await p.connect_client()
        told = await client.call("keyed", once="0" * 32, wait=1900)
        assert (told, len(p.received()), p.workers["a"].connection_count) == ("satisfied", 2, 2)
        assert p.node.dispatcher.counts["hand-off", "full"] == 0


async def test_closed_by_the_runner_is_not_written_to_in_the_same_turn(tmp_path: Path) -> None:
    async with run_node(tmp_path, {"a": [silent, succeed]}) as p:
        client = await p.connect_client()
        await client.send_request("unsafe", id="00000000000000aa")
        await until(p.received)
        ((conn,),) = (way.connections for way in p.node.worker_client.pools)
        p.node.worker_client.connection_limit = 1  # no second connection beside a busy one
        conn.eof_received()  # its loss is told at the end of this turn, at the earliest
        assert conn not in conn.pool.connections
        assert outcome_of(await client.receive_response()) == "error -32000"  # it may have run
        assert await client.call("unsafe", id="00000000000000bb") == "satisfied"


async def test_a_runner_that_does_not_read_gets_no_more(tmp_path: Path) -> None:
    async with run_node(tmp_path, {"a": [silent]}) as p:
        client = await p.connect_client()
        await client.send_request(id="00000000000000aa", wait=1900)
        await until(p.received)
        (conn,) = (c for way in p.node.worker_client.pools for c in way.connections if c.outstanding_calls)
        conn.pause_writing()  # as the transport says once its buffer is full
        p.node.worker_client.connection_limit = 1  # nor a second one: it is told as not sent
        assert await client.call("unsafe") == "turned back"
        conn.resume_writing()
        assert p.node.worker_client._choose_connection(conn.pool, []) is conn


async def test_a_connection_that_the_loop_has_closed_and_not_told_of_is_not_written_to(
    tmp_path: Path,
) -> None:
    """What is written to it is dropped, and an unrepeatable task would be scrapped for nothing."""
    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        assert await client.call("unsafe") == "satisfied"
        ((conn,),) = (way.connections for way in p.node.worker_client.pools)
        conn.transport.abort()  # as an error does that the loop meets: told at the end of this turn
        assert conn in conn.pool.connections
        assert p.node.worker_client._choose_connection(conn.pool, []) is not conn
        assert await client.call("unsafe") == "satisfied"


async def test_a_busy_connection_that_the_loop_has_closed_gets_no_more(tmp_path: Path) -> None:
    async with run_node(tmp_path, {"a": [silent]}) as p:
        client = await p.connect_client()
        await client.send_request("unsafe")
        await until(p.received)
        ((conn,),) = (way.connections for way in p.node.worker_client.pools)
        p.node.worker_client.connection_limit = 1  # no second connection beside a busy one
        assert p.node.worker_client._choose_connection(conn.pool, []) is conn
        conn.transport.abort()
        assert (
            conn in conn.pool.connections and p.node.worker_client._choose_connection(conn.pool, []) is None
        )
        assert outcome_of(await client.receive_response()) == "error -32000"


async def test_lines_that_the_machine_does_not_take_never_leave_later(tmp_path: Path) -> None:
    """Two wait for one connection, and the first fills it: the second is not left here, to leave when the
    runner reads again, drained by then. Nor does a full connection get a third."""
    runner = socket.socket()  # accepts, and reads nothing until it is told to
    runner.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    runner.bind(("127.0.0.1", 0))
    runner.listen()
    at = runner.getsockname()[1]
    async with run_node(tmp_path) as p:
        gate, real = anyio.Event(), p.node.worker_client._connect

        async def connect(conn: Any) -> None:
            made = conn.connection_made

            def small(transport: Any) -> None:
                transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                made(transport)

            conn.connection_made = small
            await gate.wait()
            await real(conn)

        p.node.worker_client._connect = connect  # type: ignore[method-assign]
        p.node.worker_client.connection_limit = 1  # one connection to it
        await until(lambda: p.journal.streams)
        await p.journal.publish(p.worker_record("a", state=2), record(ord("b"), at))
        await until(lambda: "s-00000062" in p.node.dispatcher.workers)
        box = p.node.dispatcher.workers["s-00000062"]
        box.policy_worker.concurrency_limit = 100.0
        client = await p.connect_client()
        for _ in range(2):
            await client.send_request("unsafe", blob="QUFB" * 5000, wait=1900)
        await until(lambda: len(waiting(p)) == 2)
        gate.set()
        told = await client.receive_response()
        assert (outcome_of(told), (told or {})["id"]) == ("turned back", 2)  # it is proven not to have run
        assert await client.call("unsafe", wait=1900) == "turned back"
        await p.journal.publish(record(ord("b"), at, state=1))
        await until(lambda: not box.is_up)
        stream, _ = runner.accept()
        stream.setblocking(False)
        got = b""
        while got.count(b"\n") < 2:  # the first, and that it is given up
            await anyio.wait_readable(stream)
            got += (data := stream.recv(65536))
            assert data
        assert [line[6:8] for line in got.splitlines()] == [b"DO", b"UN"]
        stream.close()
    runner.close()


async def test_a_fault_as_a_connection_is_made_costs_what_waits_for_it_and_no_more(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop raises more than OSError where a transport goes in the turn that it came in."""
    async with run_node(tmp_path) as p:
        loop = asyncio.get_running_loop()
        real = loop.create_connection

        async def fails(*_args: Any, **_more: Any) -> Any:
            raise RuntimeError("the handler is closed")

        client = await p.connect_client()
        monkeypatch.setattr(loop, "create_connection", fails)
        assert await client.call("unsafe") == "turned back"
        monkeypatch.setattr(loop, "create_connection", real)
        assert await client.call("unsafe") == "satisfied"
        assert p.node.dispatcher.counts["fault", "RuntimeError"] == 1


# -- clients' connections


async def test_a_task_that_came_before_the_sweep_in_the_same_turn(tmp_path: Path) -> None:
    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        assert await client.call() == "satisfied"
        (own,) = p.node.listener.clients
        own.last_read_ns -= 60_000_000_000  # idle for long
        put(client)
        p.node.listener.close_overdue_connections()  # in this very turn
        assert outcome_of(await client.receive_response()) == "satisfied"


async def test_a_task_that_came_before_its_place_was_given_away(tmp_path: Path) -> None:
    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        assert await client.call() == "satisfied"
        p.node.listener.connection_limit = 1
        put(client)
        (own,) = p.node.listener.clients

        new = ClientConnection(p.node.listener)
        new.last_read_ns = 1 << 62
        p.node.listener.add_connection(new)
        assert new.graceful_close and not own.graceful_close and not own.is_closed  # the new one gives way
        del p.node.listener.clients[new]
        new.is_closed = True
        assert outcome_of(await client.receive_response()) == "satisfied"
        assert own in p.node.listener.clients and not own.graceful_close


# -- the stop


async def test_what_the_machine_accepted_before_the_listener_goes_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It comes after the loop has looked for the last time, and before the listener is closed."""
    monkeypatch.setattr("martenlead.node.serve.ACCEPT_AFTER_SIGTERM_SECONDS", 0.2)
    caller, came = Client(None), []  # type: ignore[arg-type]

    def within(seconds: float) -> Any:
        if not came:
            came.append(socket.create_connection(("127.0.0.1", p.port)))
            came[0].send(caller.encode_request())
        return timeouts.time_limit(seconds)

    async with run_node(tmp_path) as p:
        monkeypatch.setattr("martenlead.node.serve.time_limit", within)
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: came)
        came[0].setblocking(False)
        got = b""
        with anyio.fail_after(5):
            while b"result" not in got:
                await anyio.wait_readable(came[0])
                got += (data := came[0].recv(4096))
                assert data
        await until(lambda: p.node_ended)
        came[0].close()


async def test_bytes_of_a_client_that_lie_in_the_machine_as_the_stop_ends_are_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They come as the last held task is known to be over."""
    monkeypatch.setattr("martenlead.node.serve.ACCEPT_AFTER_SIGTERM_SECONDS", 0.2)
    async with run_node(tmp_path) as p:
        client = await p.connect_client()
        assert await client.call() == "satisfied"

        class Empty(dict[Any, Any]):
            came = False

            def __bool__(self) -> bool:
                if p.node.is_stopping and not len(self) and not Empty.came:
                    Empty.came = True
                    put(client)
                return len(self) > 0

        p.node.dispatcher.pending_requests = Empty()
        os.kill(os.getpid(), signal.SIGTERM)
        assert outcome_of(await client.receive_response()) == "satisfied"
        await until(lambda: p.node_ended)


async def test_the_roster_moves_while_the_stop_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request keeps the stop going until the roster has moved, however long that takes here."""
    gone = anyio.Event()
    monkeypatch.setattr("martenlead.node.serve.KILL_DEADLINE_LIMIT_SECONDS", LONG)

    async with run_node(tmp_path, {"a": [once(gone, succeed)]}, settings=with_deadlines(LONG)) as p:
        client = await p.connect_client()
        await client.send_request(wait=round(LONG * 1000))
        await until(p.received)
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: p.node.is_stopping)
        os.kill(os.getpid(), signal.SIGTERM)  # a second one changes nothing
        before, moved = p.journal, type(p.journal)()
        moved.events = before.events
        p.task_group.start_soon(moved.serve)
        await until(lambda: moved.port)
        p.write_config(moved.port)
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: moved.resume_positions)
        assert not p.node_ended
        gone.set()
        assert outcome_of(await client.receive_response()) == "satisfied"
        await until(lambda: p.node_ended)


@virtual_time
async def test_what_cannot_end_before_the_kill_is_answered_before_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    follow_loop_time(monkeypatch)
    classes = [c | {"give-up": 30.0} for c in SETTINGS["classes"]]
    async with run_node(tmp_path, {"a": [silent]}, settings=SETTINGS | {"classes": classes}) as p:
        client = await p.connect_client()
        await client.send_request(wait=30_000)
        await until(p.received)
        start = anyio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        assert outcome_of(await client.receive_response()) == "turned back"
        await until(lambda: p.node_ended)
        assert 3.4 < anyio.current_time() - start < 3.7


@virtual_time
async def test_the_address_is_taken_over_from_an_old_life_that_still_has_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    follow_loop_time(monkeypatch)
    tries: list[Any] = []
    real = socket.create_server

    def create(at: tuple[str, int], **more: Any) -> Any:
        tries.append(at)
        return real(at, **more)

    old = real(("127.0.0.1", 0))
    async with run_node(tmp_path) as p:
        p.port = old.getsockname()[1]
        p.write_config(p.journal.port)
        monkeypatch.setattr("martenlead.node.serve.socket.create_server", create)
        started = anyio.Event()
        p.task_group.start_soon(type(p.node)(p.config_path).serve, started.set)
        await until(lambda: tries)  # and found it taken
        old.close()
        await until(started.is_set)
        assert await (await p.connect_client()).call() == "satisfied"
        monkeypatch.setattr("martenlead.node.serve.KILL_DEADLINE_LIMIT_SECONDS", -1.5)
        with pytest.raises(ExceptionGroup) as raised:  # whoever has it keeps it: an end, and why
            await type(p.node)(p.config_path).serve()
        assert raised.group_contains(OSError, match="in use")
        assert len(tries) > 4


async def test_a_stop_that_was_asked_for_before_the_node_could_hear_it(tmp_path: Path) -> None:
    async with run_node(tmp_path) as p:
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: p.node_ended)
        node = type(p.node)(p.config_path)
        with anyio.fail_after(5):
            await node.serve(early_signals=[signal.SIGHUP, signal.SIGTERM, signal.SIGTERM])
        assert node.is_stopping


# -- the roster


async def test_a_frame_that_goes_on_byte_by_byte_is_silence(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("martenlead.node.discovery.SILENCE_TIMEOUT_SECONDS", 0.3)
    async with run_node(tmp_path) as p:
        await until(lambda: p.journal.streams)
        p.journal.sends_heartbeats = False
        event = frame(2, 2, *(record(n, 9) for n in range(100, 200)))
        start, stream = anyio.current_time(), p.journal.streams[0]
        for at in range(len(event)):
            if len(p.journal.resume_positions) > 1:
                break
            try:
                await stream.send(event[at : at + 1])
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                break
            await anyio.sleep(0.02)
        await until(lambda: len(p.journal.resume_positions) > 1)
        assert anyio.current_time() - start < 1.5


async def test_a_number_that_the_journal_skips_for_good_does_not_stop_the_roster(tmp_path: Path) -> None:
    async with run_node(tmp_path) as p:
        await until(lambda: p.journal.streams)
        await p.start_worker("b", succeed)
        p.journal.events = [b"", frame(3, 2, p.worker_record("b"))]  # there is no event 2
        await p.journal.streams[0].send(p.journal.events[1])
        await until(lambda: len(p.node.dispatcher.workers) == 2)
        assert (p.journal.resume_positions[:2], p.node.discovery.endpoint_list.version) == ([1, 1], 3)


async def test_an_empty_frame_that_is_ahead_of_the_list_has_it_asked_for_again(tmp_path: Path) -> None:
    """Connected, in time, and silent about what it has: drains would be heard of with the next event only."""
    async with run_node(tmp_path) as p:
        await until(lambda: p.journal.streams)
        await p.start_worker("b", succeed)
        p.journal.events.append(frame(2, 2, p.worker_record("b")))  # never sent on the open connection
        await until(lambda: len(p.node.dispatcher.workers) == 2)  # its next empty frame says so
        assert p.journal.resume_positions == [1, 1]
        await p.journal.streams[-1].send(frame(9, 0))  # ahead for good: asked once more, not for ever
        await until(lambda: len(p.journal.resume_positions) == 3)
        await p.journal.streams[-1].send(frame(9, 0) + frame(9, 0))
        await p.start_worker("c", succeed)
        await p.journal.publish(p.worker_record("c"))
        await until(lambda: len(p.node.dispatcher.workers) == 3)
        assert len(p.journal.resume_positions) == 3


async def test_the_journal_moves_while_it_is_being_connected_to(tmp_path: Path) -> None:
    full = socket.socket()  # a machine that accepts nothing: connections to it stay half made
    full.bind(("127.0.0.1", 0))
    async with run_node(tmp_path) as p:
        await until(lambda: p.journal.streams)
        connecting: list[Any] = []
        real = anyio.connect_tcp

        async def connect(*at: Any, **more: Any) -> Any:
            connecting.append(at)
            if at[1] == full.getsockname()[1]:
                await anyio.sleep_forever()
            return await real(*at, **more)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("martenlead.node.discovery.anyio.connect_tcp", connect)
            p.node.discovery.change_address(full.getsockname())
            await until(lambda: connecting)
            p.node.discovery.change_address(("127.0.0.1", p.journal.port))  # in the middle of it
            await until(lambda: len(p.journal.resume_positions) > 1, within=0.4)
        await p.start_worker("b", succeed)
        await p.journal.publish(p.worker_record("b"))
        await until(lambda: len(p.node.dispatcher.workers) == 2)
    full.close()


# -- waits


async def test_a_wait_sets_one_timer_however_its_end_falls_between_two_ms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timers: list[float] = []
    loop = asyncio.get_running_loop()
    real = loop.call_later
    monkeypatch.setattr(loop, "call_later", lambda s, *a: timers.append(s) or real(s, *a))  # type: ignore
    for seconds in (0.0004, 0.0024, 0.0101):
        before = time.monotonic()
        with timeouts.time_limit(seconds) as scope:
            await anyio.Event().wait()
        assert scope.cancelled_caught and time.monotonic() - before >= seconds
    assert timers == [0.001, 0.003, 0.011]


# -- more than two


async def test_no_descriptor_left_as_a_connection_is_made(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It never came up, which proves that nothing ran; with descriptors again, the next one does."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as p:
        loop = asyncio.get_running_loop()
        real = loop.create_connection
        client = await p.connect_client()

        async def none_left(*_args: Any, **_more: Any) -> Any:
            raise OSError(errno.EMFILE, "Too many open files")

        monkeypatch.setattr(loop, "create_connection", none_left)
        assert await client.call("unsafe", id="00000000000000aa") == "turned back"
        monkeypatch.setattr(loop, "create_connection", real)
        assert await client.call("unsafe", id="00000000000000bb") == "satisfied"
        assert [line[-2:] for line in p.received()] == ["bb"]


async def test_two_nodes_in_one_process_share_nothing(tmp_path: Path) -> None:
    """Other names, other limits, the same ids: what one is told never shows in the other."""
    other = SETTINGS | {
        "orgs": [{"name": "other", "quota-per-s": 5.0}],
        "classes": [{"name": "lookup", "effect": "read_like", "on-time": 0.1, "give-up": 0.25}],
    }
    (tmp_path / "1").mkdir()
    (tmp_path / "2").mkdir()
    async with run_node(tmp_path / "1") as one, run_node(tmp_path / "2", settings=other) as two:
        first, second = await one.connect_client(), await two.connect_client()
        assert await first.call("safe") == "satisfied"
        assert await second.call("safe") == "error -32601"
        assert await second.call("lookup") == "error -32602"  # its customer is the other's
        assert await second.call("lookup", id=f"{1:016x}", tenant="other") == "satisfied"
        assert [len(p.received()) for p in (one, two)] == [1, 1]
        assert [len(p.node.listener.requests.finished_ids) for p in (one, two)] == [1, 1]
        assert one.node.dispatcher.deadlines_ns != two.node.dispatcher.deadlines_ns
        policies = [p.node.dispatcher.policy_boundary._policy for p in (one, two)]
        for part in (None, "state", "scaling", "tenant_shares", "load_budget", "placement", "attempts"):
            found = [vars(policy if part is None else getattr(policy, part)) for policy in policies]
            shared = [
                n for n, v in found[0].items() if isinstance(v, dict | list | deque) and v is found[1][n]
            ]
            assert shared == []

"""Clients fill the descriptors of a node that has few: who asks is served, workers and discovery return."""

from __future__ import annotations

import resource
import signal
from pathlib import Path
from typing import Any

import anyio
import pytest

from martenlead.node import listener
from martenlead.policy.types import Result
from support.fleet import until
from tests.apart import DESCRIPTOR_LIMIT, run_node_process, serve_journal
from tests.nodes import outcome_of, run_node, succeed

pytestmark = pytest.mark.anyio


async def test_idle_clients_that_come_at_once_cost_no_one_who_asks_an_answer(tmp_path: Path) -> None:
    """All of them wait to be accepted as the loop turns: more than descriptors, or a usual backlog of 100."""
    async with run_node_process(tmp_path) as p:
        await p.wait_until_up(10)
        p.process.send_signal(signal.SIGSTOP)
        idle = p.connect_sockets(200)
        with anyio.fail_after(5):
            client = await p.connect_client()
        await client.send_request()
        idle += p.connect_sockets(100)
        p.process.send_signal(signal.SIGCONT)
        assert (await client.receive_response() or {}).get("id") == 1
        for one in idle:
            one.close()


async def test_clients_that_left_before_they_read_are_counted_and_give_way(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their answers wait in the node, with a descriptor each. Who comes then waits in the backlog."""
    monkeypatch.setattr("martenlead.node.listener.SWEEP_INTERVAL_NS", 1 << 62)  # by hand
    monkeypatch.setattr("martenlead.node.client_acceptor.EXTRA_DESCRIPTORS", 2)
    async with run_node(tmp_path) as p:
        door = p.node.listener
        door.connection_limit = 1
        for count in (1, 2, 3):
            client = await p.connect_client()
            await until(lambda: door.clients)
            (own,) = door.clients
            own.write(b" " * 8_000_000)  # more than the machine's buffers hold
            await client.stream.send_eof()
            await until(lambda count=count: len(door.closing) == count)  # type: ignore[misc]
        late = await p.connect_client()
        await late.send_request()
        await anyio.sleep(0.05)
        assert (len(door.closing), len(door.clients)) == (3, 0)
        monkeypatch.setattr("martenlead.node.listener.SWEEP_INTERVAL_NS", 0)
        door.close_overdue_connections()
        assert outcome_of(await late.receive_response()) == "satisfied"


async def test_without_a_descriptor_who_asks_waits_and_is_served_once_there_is_one(tmp_path: Path) -> None:
    """Neither the client's connection, nor one to a worker, nor one to the journal service can be made."""
    async with run_node_process(tmp_path) as p:
        await p.wait_until_up(10)
        pid, before = p.process.pid, resource.prlimit(p.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, before[1]))  # those it has open it keeps
        client = await p.connect_client()
        await client.send_request()
        p.task_group.start_soon(serve_journal, p.journal)
        with anyio.move_on_after(0.3) as scope:
            await client.receive_response()
        assert scope.cancelled_caught and not p.journal.resume_positions
        resource.prlimit(pid, resource.RLIMIT_NOFILE, before)
        assert outcome_of(await client.receive_response()) == "satisfied"
        await until(lambda: p.journal.streams, within=3)


async def test_more_workers_than_connections_share_them(tmp_path: Path) -> None:
    async with run_node(tmp_path, {name: [succeed] for name in "abcd"}) as p:
        p.node.worker_client.connection_limit = 2
        heard: list[Any] = []
        known = p.node.dispatcher.find_or_add_function("0" * 15 + "1", 1, 100.0)
        for box in p.node.dispatcher.workers.values():
            p.node.worker_client.send_load_request(box, known, 0, heard.append)
            await until(lambda: heard)
            assert heard.pop().result is Result.SUCCEEDED
            assert sum(way.open_connections for way in p.node.worker_client.pools) <= 2
        await until(lambda: sum(runner.open_connections for runner in p.workers.values()) == 2)
        assert [runner.connection_count for runner in p.workers.values()] == [1, 1, 1, 1]


async def test_one_that_gives_way_is_found_without_asking_all(tmp_path: Path, monkeypatch: Any) -> None:
    """A look at each of hundreds for each of hundreds that come would keep the loop busy."""
    asked: list[Any] = []
    async with run_node(tmp_path) as p:
        p.node.listener.connection_limit = 10
        clients = [await p.connect_client() for _ in range(10)]
        for client in clients[5:]:
            assert await client.call(id=f"{id(client):016x}") == "satisfied"  # it spoke
        real = listener.readable
        monkeypatch.setattr(listener, "readable", lambda at: asked.append(at) or real(at))
        clients += [await p.connect_client() for _ in range(8)]
        await until(lambda: p.node.dispatcher.counts["client", "no place"] == 8)
        assert len(asked) == 8
        assert all([await client.receive_response() is None for client in clients[:5]])


async def test_the_journal_and_workers_come_back_while_idle_clients_fill_the_descriptors(
    tmp_path: Path,
) -> None:
    async with run_node_process(tmp_path) as p:
        await p.wait_until_up(10)
        idle = p.connect_sockets(200)
        await until(lambda: p.open_descriptors() > DESCRIPTOR_LIMIT // 3)
        p.task_group.start_soon(serve_journal, p.journal)
        await until(lambda: p.journal.streams, within=3)
        await p.start_worker("b", succeed)
        await p.journal.publish(p.worker_record("a", state=2), p.worker_record("b"))
        idle += p.connect_sockets(200)
        told = ""
        with anyio.fail_after(5):
            while told != "satisfied":  # "b" has to be told of first
                told = await (await p.connect_client()).call()
        assert p.workers["b"].connection_count == 1
        for one in idle:
            one.close()

"""Clients use up the few descriptors of a node: requests are still served, and workers and discovery
recover."""

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
from support.node_process import DESCRIPTOR_LIMIT, run_node_process, serve_journal
from support.node_rig import outcome_of, run_node, succeed

pytestmark = pytest.mark.anyio


async def test_idle_clients_that_come_at_once_cost_active_clients_no_response(tmp_path: Path) -> None:
    """All of them wait to be accepted in one turn of the loop: more than there are descriptors, and more
    than the usual backlog of 100."""
    async with run_node_process(tmp_path) as rig:
        await rig.wait_until_up(10)
        rig.process.send_signal(signal.SIGSTOP)
        idle = rig.connect_sockets(200)
        with anyio.fail_after(5):
            client = await rig.connect_client()
        await client.send_request()
        idle += rig.connect_sockets(100)
        rig.process.send_signal(signal.SIGCONT)
        assert (await client.receive_response() or {}).get("id") == 1
        for one in idle:
            one.close()


async def test_clients_that_left_before_they_read_are_counted_and_closed_first(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their responses wait in the node, with a descriptor each. New clients wait in the backlog meanwhile."""
    monkeypatch.setattr("martenlead.node.listener.SWEEP_INTERVAL_NS", 1 << 62)  # swept by hand below
    monkeypatch.setattr("martenlead.node.client_acceptor.EXTRA_DESCRIPTORS", 2)
    async with run_node(tmp_path) as rig:
        node_listener = rig.node.listener
        node_listener.connection_limit = 1
        for count in (1, 2, 3):
            client = await rig.connect_client()
            await until(lambda: node_listener.clients)
            (connection,) = node_listener.clients
            connection.write(b" " * 8_000_000)  # more than the kernel's socket buffers hold
            await client.stream.send_eof()
            await until(lambda count=count: len(node_listener.closing) == count)  # type: ignore[misc]
        late_client = await rig.connect_client()
        await late_client.send_request()
        await anyio.sleep(0.05)
        assert (len(node_listener.closing), len(node_listener.clients)) == (3, 0)
        monkeypatch.setattr("martenlead.node.listener.SWEEP_INTERVAL_NS", 0)
        node_listener.close_overdue_connections()
        assert outcome_of(await late_client.receive_response()) == "satisfied"


async def test_without_a_descriptor_clients_wait_and_are_served_once_there_is_one(tmp_path: Path) -> None:
    """No connection can be opened: not the client's, nor one to a worker, nor one to the journal service."""
    async with run_node_process(tmp_path) as rig:
        await rig.wait_until_up(10)
        pid, limits = rig.process.pid, resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, limits[1]))  # open ones stay
        client = await rig.connect_client()
        await client.send_request()
        rig.task_group.start_soon(serve_journal, rig.journal)
        with anyio.move_on_after(0.3) as scope:
            await client.receive_response()
        assert scope.cancelled_caught and not rig.journal.resume_positions
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        assert outcome_of(await client.receive_response()) == "satisfied"
        await until(lambda: rig.journal.streams, within=3)


async def test_more_workers_than_connections_share_them(tmp_path: Path) -> None:
    """An idle connection to one worker is closed to open one to another."""
    async with run_node(tmp_path, {name: [succeed] for name in "abcd"}) as rig:
        rig.node.worker_client.connection_limit = 2
        results: list[Any] = []
        function = rig.node.dispatcher.find_or_add_function("0" * 15 + "1", 1, 100.0)
        for worker in rig.node.dispatcher.workers.values():
            rig.node.worker_client.send_load_request(worker, function, 0, results.append)
            await until(lambda: results)
            assert results.pop().result is Result.SUCCEEDED
            assert sum(pool.open_connections for pool in rig.node.worker_client.pools) <= 2
        await until(lambda: sum(scripted.open_connections for scripted in rig.workers.values()) == 2)
        assert [scripted.connection_count for scripted in rig.workers.values()] == [1, 1, 1, 1]


async def test_a_connection_to_close_is_found_without_polling_all(tmp_path: Path, monkeypatch: Any) -> None:
    """Looking at each of hundreds of connections for each of hundreds of new ones would keep the loop
    busy."""
    sockets_polled: list[Any] = []
    async with run_node(tmp_path) as rig:
        rig.node.listener.connection_limit = 10
        clients = [await rig.connect_client() for _ in range(10)]
        for client in clients[5:]:
            assert await client.call(id=f"{id(client):016x}") == "satisfied"  # has sent a request
        real = listener.readable
        monkeypatch.setattr(listener, "readable", lambda sock: sockets_polled.append(sock) or real(sock))
        clients += [await rig.connect_client() for _ in range(8)]
        await until(lambda: rig.node.dispatcher.counts["client", "no place"] == 8)
        assert len(sockets_polled) == 8
        assert all([await client.receive_response() is None for client in clients[:5]])


async def test_the_journal_and_workers_come_back_while_idle_clients_fill_the_descriptors(
    tmp_path: Path,
) -> None:
    """Clients do not get the descriptors that these connections need."""
    async with run_node_process(tmp_path) as rig:
        await rig.wait_until_up(10)
        idle = rig.connect_sockets(200)
        await until(lambda: rig.open_descriptors() > DESCRIPTOR_LIMIT // 3)
        rig.task_group.start_soon(serve_journal, rig.journal)
        await until(lambda: rig.journal.streams, within=3)
        await rig.start_worker("b", succeed)
        await rig.journal.publish(rig.worker_record("a", state=2), rig.worker_record("b"))
        idle += rig.connect_sockets(200)
        outcome = ""
        with anyio.fail_after(5):
            while outcome != "satisfied":  # the node learns of "b" first
                outcome = await (await rig.connect_client()).call()
        assert rig.workers["b"].connection_count == 1
        for one in idle:
            one.close()

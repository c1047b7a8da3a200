"""A new worker process at the address of one that has gone is not taken for the old one.

Workers, journal service and clients are simulated, on loopback addresses.
"""

from __future__ import annotations

from collections import Counter
from contextlib import suppress
from pathlib import Path
from time import time_ns
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from martenlead.edge.http_membership import HttpMembership
from martenlead.policy.types import WorkerState
from support import node_rig as nodes
from support.fleet import run_edge, until
from support.node_process import run_node_process, serve_journal
from support.node_rig import NodeRig, PipeliningClient, run_node

pytestmark = pytest.mark.anyio

UP, GONE = 0, 2
LONG_AGO = 0
REQUEST_INTERVAL_SECONDS = 0.01
PHASE_SECONDS = 0.4
READY_SECONDS = 20.0
LOST_AFTER_SECONDS = 2.0  # the requests' deadline of 1.5 s, and 0.5 s


def now_ms() -> int:
    """Returns the Unix time, by which the journal service stamps starts."""
    return time_ns() // 1_000_000


def worker_state(rig: NodeRig, name: str) -> WorkerState | None:
    """Returns what the node believes of a worker, None if it knows it no more."""
    worker = rig.node.dispatcher.workers.get(f"s-{ord(name):08x}")
    return None if worker is None else worker.policy_worker.facts.state


@pytest.mark.parametrize("behind", ["a", "c"])
async def test_a_worker_has_gone_once_a_later_one_is_listed_at_its_address(
    tmp_path: Path, behind: str
) -> None:
    # Guards against requests for a warm worker that reach the cold one which took its address.
    async with run_node(tmp_path, {"a": [nodes.succeed], "c": [nodes.succeed]}) as rig:
        rig.workers["b"] = rig.workers[behind]
        await rig.journal.publish(rig.worker_record("b", UP, now_ms()))
        await until(lambda: worker_state(rig, "b") is WorkerState.UP)
        other = {"a": "c", "c": "a"}[behind]
        assert worker_state(rig, behind) is None and worker_state(rig, other) is WorkerState.UP
        # what is told of the old one later changes nothing
        await rig.journal.publish(rig.worker_record(behind, UP, LONG_AGO))
        await rig.journal.publish(rig.worker_record(behind, GONE, LONG_AGO))
        await rig.journal.publish(rig.worker_record(other, UP, LONG_AGO))
        await until(lambda: rig.node.dispatcher.endpoint_list.version == 5)
        assert worker_state(rig, behind) is None and worker_state(rig, "b") is WorkerState.UP
        assert worker_state(rig, other) is WorkerState.UP


async def test_workers_that_swap_their_addresses_both_stay(tmp_path: Path) -> None:
    # Guards against a worker that counts as gone because another one took its place in the same event.
    async with run_node(tmp_path, {"a": [nodes.succeed], "c": [nodes.succeed]}) as rig:
        started = now_ms()
        ports = {name: rig.workers[name].port for name in "ac"}
        records = (
            nodes.record(ord("a"), ports["c"], UP, started),
            nodes.record(ord("c"), ports["a"], UP, started),
        )
        await rig.journal.publish(*records)
        await until(lambda: rig.node.dispatcher.endpoint_list.version == 2)
        assert [worker_state(rig, name) for name in "ac"] == [WorkerState.UP] * 2


async def test_connections_of_an_earlier_process_are_not_used_for_the_next(tmp_path: Path) -> None:
    # Guards against attempts on a connection to a process that has ended without a word.
    async with run_node(tmp_path) as rig:
        client = await rig.connect_client()
        assert await client.call() == "satisfied"
        before = rig.node.dispatcher.workers[f"s-{ord('a'):08x}"].connections
        await rig.journal.publish(rig.worker_record("a", UP, now_ms()))
        await until(lambda: rig.node.dispatcher.endpoint_list.version == 2)
        assert before.is_retired and not before.connections
        outcomes = [await client.call()]
        while outcomes[-1] != "satisfied":  # the new process is cold, and gets little at first
            await anyio.sleep(0.1)
            assert len(outcomes) < 100
            outcomes.append(await client.call())
        assert rig.workers["a"].connection_count == 2


async def test_an_edge_takes_no_new_process_for_an_earlier_one() -> None:
    # Guards against the same at an edge, whose list has ages in place of starts, and which saves its list.
    async with run_edge() as rig:
        rig.workers["new"] = rig.workers["a"]
        rig.states["new"] = "up"
        record = {**rig.worker_record("new"), "id": "new", "start": "1", "age_ms": 10.0}
        rig.worker_record = lambda name: record  # type: ignore[method-assign]
        await rig.publish_state("new", "up")
        await until(lambda: "new" in rig.dispatcher.workers)
        assert "a" not in rig.dispatcher.workers and "b" in rig.dispatcher.workers
        source = rig.dispatcher.source
        assert isinstance(source, HttpMembership)
        assert [endpoint.id for endpoint in source._snapshot(rig.dispatcher).endpoints] == ["b", "new"]


@pytest.mark.parametrize("order", ["gone and new at once", "new before gone", "new process before both"])
async def test_no_request_runs_twice_as_another_process_takes_an_address(tmp_path: Path, order: str) -> None:
    # Guards against attempts for the old process that run again at the new one.
    ran: Counter[str] = Counter()

    async def run(worker: nodes.ScriptedWorker, stream: SocketStream, request: dict[str, Any]) -> None:
        """Notes that a request runs, and answers a moment later."""
        ran[request["txn"]] += 1
        await nodes.after_delay(20, nodes.succeed)(worker, stream, request)

    behaviour = nodes.one_at_a_time(run)
    async with run_node_process(tmp_path, "ac") as rig, anyio.create_task_group() as group:
        for worker in rig.workers.values():
            worker.behaviours = [behaviour]
        group.start_soon(serve_journal, rig.journal)
        await rig.wait_until_up(READY_SECONDS)
        clients = [PipeliningClient(await rig.connect_client(), first=place << 20) for place in (1, 2)]

        async def ask(client: PipeliningClient, method: str) -> None:
            """Sends requests at a steady pace through all of it."""
            end = anyio.current_time() + 5 * PHASE_SECONDS
            while anyio.current_time() < end:
                await client.send_request(method, key=f"{client.client.last_number % 3:016x}")
                await anyio.sleep(REQUEST_INTERVAL_SECONDS)

        async def replace() -> None:
            """Ends worker a, and starts b at its port; the lists come in the given order."""
            old = rig.workers["a"]
            await anyio.sleep(PHASE_SECONDS)
            assert old.listener is not None
            await old.listener.aclose()
            for stream in old.streams:
                with suppress(*nodes.CONNECTION_ERRORS):  # the node has closed it already
                    nodes.reset_on_close(stream)
                    await anyio.aclose_forcefully(stream)
            await rig.start_worker("b", behaviour, port=old.port)
            gone, new = rig.worker_record("a", GONE), rig.worker_record("b", UP, now_ms())
            if order == "gone and new at once":
                await rig.journal.publish(gone, new)
                return
            await anyio.sleep(PHASE_SECONDS if order == "new process before both" else 0.0)
            await rig.journal.publish(new)
            await anyio.sleep(PHASE_SECONDS)
            await rig.journal.publish(gone)

        for client, method in zip(clients, ("unsafe", "keyed"), strict=True):
            group.start_soon(client.read_responses)
            group.start_soon(ask, client, method)
        await replace()
        await anyio.sleep(5 * PHASE_SECONDS + LOST_AFTER_SECONDS)
        group.cancel_scope.cancel()
    assert all(client.has_one_response_each() for client in clients)
    assert max(max(client.latencies()) for client in clients) < LOST_AFTER_SECONDS
    unsafe = {f"{number:016x}" for number in clients[0].sent_at}
    assert max(ran[request_id] for request_id in unsafe) == 1
    assert ran and all("satisfied" in client.outcomes() for client in clients)

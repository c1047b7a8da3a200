"""Membership by snapshots (complete lists), and updates that are late because the journal service falls
silent."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest
from msgspec.structs import replace

from martenlead.policy.types import WorkerFacts, WorkerState
from support.fleet import until
from support.node_rig import NodeRig, after_delay, frame, outcome_of, run_node, silent, succeed

pytestmark = pytest.mark.anyio

SNAPSHOT = 1  # Kind of an event
DRAINING = 1  # State of a worker
SILENCE_LIMIT_SECONDS = 4.0  # After it the node must know the events of a silent journal service


def is_up(rig: NodeRig, name: str) -> bool:
    """Whether the node lists this worker as up."""
    worker = rig.node.dispatcher.workers.get(f"s-{ord(name):08x}")
    return worker is not None and worker.is_up


async def test_a_worker_missing_from_a_snapshot_gets_nothing_new(tmp_path: Path) -> None:
    """Its open requests may end, then its connections are closed; a later list may add it again."""
    async with run_node(tmp_path, {name: [after_delay(200, succeed), succeed] for name in "ab"}) as rig:
        await until(lambda: rig.journal.streams)
        client = await rig.connect_client()
        await client.send_request("unsafe", key="0" * 16)
        await until(rig.received)
        first = rig.received()[0][0]
        other = "b" if first == "a" else "a"
        await rig.journal.publish(rig.worker_record(other), kind=SNAPSHOT)
        await until(lambda: not is_up(rig, first))
        assert outcome_of(await client.receive_response()) == "satisfied"
        for number in range(5):
            assert await client.call("unsafe", key=f"{number:016x}") == "satisfied"
        assert [line[0] for line in rig.received()[1:]] == [other] * 5
        await until(lambda: rig.workers[first].open_connections == 0)
        await rig.journal.publish(
            rig.worker_record(first), rig.worker_record(other, state=DRAINING), kind=SNAPSHOT
        )
        await until(lambda: is_up(rig, first) and not is_up(rig, other))
        assert await client.call("unsafe") == "satisfied"
        assert rig.received()[-1][0] == first


async def test_an_empty_snapshot_is_applied(tmp_path: Path) -> None:
    """After it no worker is up, and requests are rejected."""
    async with run_node(tmp_path, {"a": [silent]}) as rig:
        await until(lambda: rig.journal.streams)
        await rig.journal.publish(kind=SNAPSHOT)
        await until(lambda: not is_up(rig, "a"))
        assert await (await rig.connect_client()).call("unsafe") == "turned back"
        assert rig.received() == []


async def test_snapshots_that_come_together_apply_in_sequence(tmp_path: Path) -> None:
    """A late service sends all lists at once: only the last one counts, and a repeated one changes
    nothing."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as rig:
        await until(lambda: rig.journal.streams)
        lists: list[tuple[bytes, ...]] = [
            (rig.worker_record("a"),),
            (),
            (rig.worker_record("b"),),
            (rig.worker_record("a", state=DRAINING), rig.worker_record("b")),
        ]
        events = [frame(number, SNAPSHOT, *records) for number, records in enumerate(lists, start=2)]
        rig.journal.events += events
        await rig.journal.streams[0].send(b"".join(events) + events[0])
        await until(lambda: rig.node.discovery.endpoint_list.version == len(lists) + 1)
        await anyio.sleep(0.02)  # the repeated event has been read too
        assert (is_up(rig, "a"), is_up(rig, "b")) == (False, True)
        assert await (await rig.connect_client()).call("unsafe") == "satisfied"
        assert rig.received() == ["b DO 01"]


async def test_a_drain_published_during_silence_is_known_in_time(tmp_path: Path) -> None:
    """The connection stays open without a byte: the node reconnects before the silence limit."""
    async with run_node(tmp_path, {"a": [succeed]}) as rig:
        await until(lambda: rig.journal.streams)
        started = anyio.current_time()
        rig.journal.sends_heartbeats = False
        streams: list[Any] = rig.journal.streams
        rig.journal.streams = []  # the event is published, and sent on no open connection
        await rig.journal.publish(rig.worker_record("a", state=DRAINING))
        await until(lambda: not is_up(rig, "a"))
        assert anyio.current_time() - started < SILENCE_LIMIT_SECONDS
        assert len(streams) == 1 and len(rig.journal.resume_positions) == 2
        assert await (await rig.connect_client()).call("unsafe") == "turned back"


async def test_only_changes_of_a_repeated_list_reach_the_policy(tmp_path: Path) -> None:
    """A worker that goes and returns under its old line in one update is another process, and counts as
    new."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed], "c": [succeed]}) as rig:
        dispatcher = rig.node.dispatcher
        updates: list[tuple[set[tuple[int, WorkerState]], bool]] = []
        update_workers = dispatcher.policy_boundary.update_workers

        def record_update(changes: list[tuple[Any, WorkerFacts]], is_snapshot: bool) -> None:
            """Notes the worker, state and kind of each change that reaches the policy."""
            updates.append(({(facts.mark & 0xFF, facts.state) for _, facts in changes}, is_snapshot))
            update_workers(changes, is_snapshot)

        dispatcher.policy_boundary.update_workers = record_update  # type: ignore[method-assign]
        a, b, c = (replace(worker.endpoint, age_ms=5.0) for worker in dispatcher.workers.values())
        dispatcher.update_endpoints([a, b, c], True)
        dispatcher.update_endpoints([replace(a, state="draining"), b], True)
        dispatcher.update_endpoints([replace(b, state="gone"), b], False)
        # the last byte of an id is unique here
        last_bytes = {line.id: ord(line.id[-1]) for line in (a, b, c)}
        assert updates == [
            (set(), False),
            ({(last_bytes[a.id], WorkerState.DRAINING), (last_bytes[c.id], WorkerState.GONE)}, False),
            ({(last_bytes[b.id], WorkerState.GONE), (last_bytes[b.id], WorkerState.UP)}, False),
        ]
        assert [worker.is_up for worker in dispatcher.workers.values()] == [False, True]

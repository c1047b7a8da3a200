"""Membership told by whole lists, and told late by a journal service that falls silent."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest
from msgspec.structs import replace

from martenlead.policy.types import WorkerFacts, WorkerState
from support.fleet import until
from tests.nodes import NodeRig, after_delay, frame, outcome_of, run_node, silent, succeed

pytestmark = pytest.mark.anyio

WHOLE = 1  # kind of an event
DRAINING = 1  # state of a worker
SILENCE_LIMIT = 4.0  # s after which all that a silent journal service has counts as told


def is_up(p: NodeRig, name: str) -> bool:
    box = p.node.dispatcher.workers.get(f"s-{ord(name):08x}")
    return box is not None and box.is_up


async def test_a_worker_that_a_whole_list_leaves_out_gets_nothing_new(tmp_path: Path) -> None:
    """What it is at may end; its connections are closed then, and it may come back."""
    async with run_node(tmp_path, {name: [after_delay(200, succeed), succeed] for name in "ab"}) as p:
        await until(lambda: p.journal.streams)
        client = await p.connect_client()
        await client.send_request("unsafe", key="0" * 16)
        await until(p.received)
        first = p.received()[0][0]
        other = "b" if first == "a" else "a"
        await p.journal.publish(p.worker_record(other), kind=WHOLE)
        await until(lambda: not is_up(p, first))
        assert outcome_of(await client.receive_response()) == "satisfied"
        for number in range(5):
            assert await client.call("unsafe", key=f"{number:016x}") == "satisfied"
        assert [line[0] for line in p.received()[1:]] == [other] * 5
        await until(lambda: p.workers[first].open_connections == 0)
        await p.journal.publish(p.worker_record(first), p.worker_record(other, state=DRAINING), kind=WHOLE)
        await until(lambda: is_up(p, first) and not is_up(p, other))
        assert await client.call("unsafe") == "satisfied"
        assert p.received()[-1][0] == first


async def test_a_whole_list_of_no_worker_is_obeyed(tmp_path: Path) -> None:
    async with run_node(tmp_path, {"a": [silent]}) as p:
        await until(lambda: p.journal.streams)
        await p.journal.publish(kind=WHOLE)
        await until(lambda: not is_up(p, "a"))
        assert await (await p.connect_client()).call("unsafe") == "turned back"
        assert p.received() == []


async def test_whole_lists_that_come_together_count_in_their_order(tmp_path: Path) -> None:
    """A late service sends all at once: only the last one counts, and one told twice changes nothing."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed]}) as p:
        await until(lambda: p.journal.streams)
        lists: list[tuple[bytes, ...]] = [
            (p.worker_record("a"),),
            (),
            (p.worker_record("b"),),
            (p.worker_record("a", state=DRAINING), p.worker_record("b")),
        ]
        events = [frame(number, WHOLE, *records) for number, records in enumerate(lists, start=2)]
        p.journal.events += events
        await p.journal.streams[0].send(b"".join(events) + events[0])
        await until(lambda: p.node.discovery.endpoint_list.version == len(lists) + 1)
        await anyio.sleep(0.02)  # the repeated event has been read too
        assert (is_up(p, "a"), is_up(p, "b")) == (False, True)
        assert await (await p.connect_client()).call("unsafe") == "satisfied"
        assert p.received() == ["b DO 01"]


async def test_a_drain_told_during_silence_is_known_in_time(tmp_path: Path) -> None:
    """The watch stays open and says nothing: it is asked again before its news count as told."""
    async with run_node(tmp_path, {"a": [succeed]}) as p:
        await until(lambda: p.journal.streams)
        started = anyio.current_time()
        p.journal.sends_heartbeats = False
        streams: list[Any] = p.journal.streams
        p.journal.streams = []  # the event is there, and no open connection is told of it
        await p.journal.publish(p.worker_record("a", state=DRAINING))
        await until(lambda: not is_up(p, "a"))
        assert anyio.current_time() - started < SILENCE_LIMIT
        assert len(streams) == 1 and len(p.journal.resume_positions) == 2
        assert await (await p.connect_client()).call("unsafe") == "turned back"


async def test_only_what_differs_of_a_list_that_is_sent_again_reaches_the_policy(tmp_path: Path) -> None:
    """One that is back under its old line in the same news is another process, and not known."""
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed], "c": [succeed]}) as p:
        dispatcher = p.node.dispatcher
        told: list[tuple[set[tuple[int, WorkerState]], bool]] = []
        policy_roster = dispatcher.policy_boundary.update_workers

        def note(news: list[tuple[Any, WorkerFacts]], whole: bool) -> None:
            told.append(({(facts.mark & 0xFF, facts.state) for _, facts in news}, whole))
            policy_roster(news, whole)

        dispatcher.policy_boundary.update_workers = note  # type: ignore[method-assign]
        a, b, c = (replace(box.endpoint, age_ms=5.0) for box in dispatcher.workers.values())
        dispatcher.update_endpoints([a, b, c], True)
        dispatcher.update_endpoints([replace(a, state="draining"), b], True)
        dispatcher.update_endpoints([replace(b, state="gone"), b], False)
        last = {line.id: ord(line.id[-1]) for line in (a, b, c)}  # an id's last byte tells them apart
        assert told == [
            (set(), False),
            ({(last[a.id], WorkerState.DRAINING), (last[c.id], WorkerState.GONE)}, False),
            ({(last[b.id], WorkerState.GONE), (last[b.id], WorkerState.UP)}, False),
        ]
        assert [box.is_up for box in dispatcher.workers.values()] == [False, True]

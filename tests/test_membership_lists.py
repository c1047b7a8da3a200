"""Membership told by whole lists, and told late by a journal service that falls silent."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest
from msgspec.structs import replace

from martenlead.policy.types import WorkerFacts, WorkerState
from support.fleet import until
from tests.nodes import Play, after, done, frame, play, silent, word

pytestmark = pytest.mark.anyio

WHOLE = 1  # kind of an event
DRAINING = 1  # state of a worker
SILENCE_LIMIT = 4.0  # s after which all that a silent journal service has counts as told


def is_up(p: Play, name: str) -> bool:
    box = p.node.dispatcher.workers.get(f"s-{ord(name):08x}")
    return box is not None and box.is_up


async def test_a_worker_that_a_whole_list_leaves_out_gets_nothing_new(tmp_path: Path) -> None:
    """What it is at may end; its connections are closed then, and it may come back."""
    async with play(tmp_path, {name: [after(200, done), done] for name in "ab"}) as p:
        await until(lambda: p.journal.streams)
        client = await p.client()
        await client.ask("unsafe", key="0" * 16)
        await until(p.did)
        first = p.did()[0][0]
        other = "b" if first == "a" else "a"
        await p.journal.tell(p.record(other), kind=WHOLE)
        await until(lambda: not is_up(p, first))
        assert word(await client.answer()) == "satisfied"
        for number in range(5):
            assert await client.call("unsafe", key=f"{number:016x}") == "satisfied"
        assert [line[0] for line in p.did()[1:]] == [other] * 5
        await until(lambda: p.runners[first].open == 0)
        await p.journal.tell(p.record(first), p.record(other, state=DRAINING), kind=WHOLE)
        await until(lambda: is_up(p, first) and not is_up(p, other))
        assert await client.call("unsafe") == "satisfied"
        assert p.did()[-1][0] == first


async def test_a_whole_list_of_no_worker_is_obeyed(tmp_path: Path) -> None:
    async with play(tmp_path, {"a": [silent]}) as p:
        await until(lambda: p.journal.streams)
        await p.journal.tell(kind=WHOLE)
        await until(lambda: not is_up(p, "a"))
        assert await (await p.client()).call("unsafe") == "turned back"
        assert p.did() == []


async def test_whole_lists_that_come_together_count_in_their_order(tmp_path: Path) -> None:
    """A late service sends all at once: only the last one counts, and one told twice changes nothing."""
    async with play(tmp_path, {"a": [done], "b": [done]}) as p:
        await until(lambda: p.journal.streams)
        lists: list[tuple[bytes, ...]] = [
            (p.record("a"),),
            (),
            (p.record("b"),),
            (p.record("a", state=DRAINING), p.record("b")),
        ]
        events = [frame(number, WHOLE, *records) for number, records in enumerate(lists, start=2)]
        p.journal.events += events
        await p.journal.streams[0].send(b"".join(events) + events[0])
        await until(lambda: p.node.discovery.endpoint_list.version == len(lists) + 1)
        await anyio.sleep(0.02)  # the repeated event has been read too
        assert (is_up(p, "a"), is_up(p, "b")) == (False, True)
        assert await (await p.client()).call("unsafe") == "satisfied"
        assert p.did() == ["b DO 01"]


async def test_a_drain_told_during_silence_is_known_in_time(tmp_path: Path) -> None:
    """The watch stays open and says nothing: it is asked again before its news count as told."""
    async with play(tmp_path, {"a": [done]}) as p:
        await until(lambda: p.journal.streams)
        started = anyio.current_time()
        p.journal.beats = False
        streams: list[Any] = p.journal.streams
        p.journal.streams = []  # the event is there, and no open connection is told of it
        await p.journal.tell(p.record("a", state=DRAINING))
        await until(lambda: not is_up(p, "a"))
        assert anyio.current_time() - started < SILENCE_LIMIT
        assert len(streams) == 1 and len(p.journal.asked) == 2
        assert await (await p.client()).call("unsafe") == "turned back"


async def test_only_what_differs_of_a_list_that_is_sent_again_reaches_the_policy(tmp_path: Path) -> None:
    """One that is back under its old line in the same news is another process, and not known."""
    async with play(tmp_path, {"a": [done], "b": [done], "c": [done]}) as p:
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

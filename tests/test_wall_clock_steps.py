"""The wall clock is stepped at every read of it, by seeded draws, while a node and an edge serve.

The rules hold: each request has one final answer in its time, none begins at a worker after its drain was
told, a cold worker gets no more than its slow start allows, and load requests keep to their budget.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import anyio
import pytest

from martenlead.capture.reader import find_runs
from martenlead.capture.recorder import CaptureRecorder
from martenlead.capture.writer import CaptureSettings, CaptureWriter
from martenlead.config.edge import DurableStateSettings
from martenlead.edge.knowledge_saver import KnowledgeSaver
from martenlead.system import clocks
from martenlead.upstream import endpoints
from support.fleet import Fleet, fleet, satisfied, until
from support.virtual_time import VIRTUAL_TIME, follow_loop_time
from tests import nodes
from tests.nodes import NodeRig, run_node, succeed
from tests.test_worker_age import tell_between_beats

pytestmark = pytest.mark.anyio

MS = 1_000_000
STEPS = [0.0, 0.7, -0.7, 5.0, -5.0, 3600.0, -3600.0]  # s
CLIENTS, PAUSE = 8, 0.08  # connections, and s between two requests of each
FUNCTIONS = 40  # that are asked for again and again
NEW = 0.8  # of the requests, for a function of their own: a new worker is first in the order of its part
DEADLINE = 1.5  # s that a client waits
LATE = 0.5  # s: an answer that is later than its deadline by more is lost
NOTICE = 0.1  # s from when a drain is told until the process has read it
WINDOW = 2.0  # s in which a cold worker may be overloaded
SLOW_START, COLD_FROM, FALL_MULTIPLE = 4.0, 0.05, 1.0
BUDGET_WINDOW, BUDGET_FREE, BUDGET_SHARE = 1.0, 2, 0.05
BUDGET_SLACK, BUDGET_EXTRA = 1.15, 1


class Stepping:
    """A wall clock that stands somewhere else at each read: first at `first`, then by draws."""

    def __init__(self, seed: int, first: float, true: Callable[[], int] = clocks._read_wall) -> None:
        self.chance = Random(seed)
        self.next = first
        self.reads = 0
        self.true = true

    def __call__(self) -> int:
        self.reads += 1
        step, self.next = self.next, self.chance.choice(STEPS)
        return self.true() + round(step * 1e9)


class Audit:
    """When requests were sent and answered, and what came to workers; times are s."""

    def __init__(self) -> None:
        self.sent: list[float] = []
        self.outcomes: list[tuple[str, float]] = []  # and how long each took
        self.attempts: list[tuple[float, str]] = []
        self.loads: list[float] = []
        self.cold: dict[str, float] = {}  # when these workers started
        self.drained: dict[str, float] = {}  # when that was told
        self.stopped = False  # clients send nothing more

    def check(self, workers: int) -> None:
        assert len(self.outcomes) == len(self.sent) > 100
        assert all(took < DEADLINE + LATE for _, took in self.outcomes)
        assert {word for word, _ in self.outcomes} <= {"succeeded", "rejected"}
        served = sum(word == "succeeded" for word, _ in self.outcomes)
        assert served > 0.8 * len(self.outcomes)
        for name, told in self.drained.items():
            assert [at for at, worker in self.attempts if worker == name and at > told + NOTICE] == []
        for name, started in self.cold.items():
            self.check_slow_start(name, started, workers)
        self.check_load_budget()

    def check_slow_start(self, name: str, started: float, workers: int) -> None:
        """The capacity of a worker is its part of all that is asked: the fleet is as large as its load."""
        came = [at for at, worker in self.attempts if worker == name]
        assert came, "a cold worker has its share"
        rate = len(self.sent) / (self.sent[-1] - self.sent[0]) / workers
        for end in came:
            begin = max(started, end - WINDOW)
            age = (begin + end) / 2 - started
            share = COLD_FROM + (1 - COLD_FROM) * age / SLOW_START
            requests = FALL_MULTIPLE * rate * share * (end - begin)
            allowed = requests + 3 * math.sqrt(requests) + 3
            assert bisect_right(came, end) - bisect_left(came, begin) <= allowed

    def check_load_budget(self) -> None:
        for at in self.loads:
            given = bisect_right(self.loads, at) - bisect_right(self.loads, at - BUDGET_WINDOW)
            requests = bisect_right(self.sent, at) - bisect_right(self.sent, at - BUDGET_WINDOW)
            budget = BUDGET_FREE + BUDGET_SHARE * requests
            assert given <= BUDGET_SLACK * budget + BUDGET_EXTRA


class NodeLog(list[str]):
    """What came to the workers of a node, as their scripts write it down."""

    def __init__(self, audit: Audit) -> None:
        self.audit = audit

    def append(self, line: str) -> None:
        worker, kind, _ = line.split()
        if kind == "DO":
            self.audit.attempts.append((anyio.current_time(), worker))
        else:
            self.audit.loads.append(anyio.current_time())


def function(chance: Random, client: int, count: int) -> int:
    """The function of a client's next request."""
    own = FUNCTIONS + CLIENTS * count + client
    return own if chance.random() < NEW else chance.randrange(FUNCTIONS)


async def ask_node(p: NodeRig, audit: Audit, number: int) -> None:
    client = await p.connect_client()
    chance = Random(number)
    while not audit.stopped:
        sent = anyio.current_time()
        audit.sent.append(sent)
        key = f"{function(chance, number, client.last_number):016x}"
        await client.send_request(
            "safe", wait=round(DEADLINE * 1000), key=key, id=f"{number:04x}{client.last_number:012x}"
        )
        answer = await client.receive_response()
        assert answer is not None and answer["id"] == client.last_number
        word = {"satisfied": "succeeded", "turned back": "rejected"}[nodes.outcome_of(answer)]
        audit.outcomes.append((word, anyio.current_time() - sent))
        await anyio.sleep(PAUSE * (0.5 + chance.random()))


@pytest.mark.parametrize("anyio_backend", [VIRTUAL_TIME], ids=["virtual time"])
@pytest.mark.parametrize("seed", range(len(STEPS)))
async def test_a_node_keeps_the_rules_whatever_the_wall_clock_says(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """The journal service stamps by the true clock. In virtual time, which the true clock runs with."""
    clock = follow_loop_time(monkeypatch)
    ahead = clocks.wall_ns() - clock()
    wall = Stepping(seed, STEPS[seed], lambda: clock() + ahead)
    monkeypatch.setattr(clocks, "_read_wall", wall)
    rules = {"cold-from": COLD_FROM, "cold": SLOW_START, "fall-multiple": FALL_MULTIPLE}
    family = {"placement-calls": True, "load-period": BUDGET_WINDOW, "loads-anyway": BUDGET_FREE}
    settings = nodes.SETTINGS | {
        "rules": nodes.SETTINGS["rules"] | rules,
        "family-info": nodes.SETTINGS["family-info"] | family | {"loads-per-request": BUDGET_SHARE},
    }
    audit = Audit()
    monkeypatch.setattr(nodes, "NodeRig", lambda: play_of(audit))
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed], "d": [succeed]}, settings=settings) as p:
        await until(lambda: p.node.discovery.worker_ages._confirmed_ns)
        async with anyio.create_task_group() as clients:
            for number in range(CLIENTS):
                clients.start_soon(ask_node, p, audit, number)
            await anyio.sleep(0.6)
            await p.start_worker("c", succeed)
            audit.cold["c"] = anyio.current_time()
            await tell_between_beats(p, p.worker_record("c", started=wall.true() // MS))
            await anyio.sleep(1.2)
            audit.drained["a"] = anyio.current_time()
            await tell_between_beats(p, p.worker_record("a", state=1))
            await anyio.sleep(0.9)
            audit.stopped = True
    assert wall.reads
    audit.check(workers=4)


def play_of(audit: Audit) -> NodeRig:
    made = NodeRig()
    made.log = NodeLog(audit)
    return made


async def ask_edge(f: Fleet, audit: Audit, number: int) -> None:
    chance = Random(number)
    count = 0
    while not audit.stopped:
        sent = anyio.current_time()
        audit.sent.append(sent)
        count += 1
        model = f"m{function(chance, number, count)}"
        ident = f"{number}-{count}"
        exchange = await f.exchange("estimate", left=DEADLINE * 1000, ident=ident, model=model)
        assert exchange.message is not None
        word = {200: "succeeded", 503: "rejected", 429: "rejected"}[exchange.message.status]
        audit.outcomes.append((word, anyio.current_time() - sent))
        await anyio.sleep(PAUSE * (0.5 + chance.random()))


@pytest.mark.parametrize("seed", range(3))  # ages are told to it: the first read says little
async def test_an_edge_keeps_the_rules_whatever_the_wall_clock_says(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """With a capture, durable state, and appointments; it starts from a list that was kept."""
    wall = Stepping(seed, STEPS[seed])
    monkeypatch.setattr(clocks, "_read_wall", wall)
    kept = tmp_path / "kept"
    endpoints.save_cached_endpoints(kept, endpoints.make_cached_endpoints(1, []))
    store = CaptureWriter(CaptureSettings(folder=str(tmp_path / "captures")), "edge", lambda *_: None)
    ration = {"window_ms": BUDGET_WINDOW * 1000, "free": BUDGET_FREE, "share": BUDGET_SHARE}
    settings: dict[str, Any] = {
        "models": {"ration": ration, "orders": True},
        "cold": {"share": COLD_FROM, "time_ms": SLOW_START * 1000, "fall_multiple": FALL_MULTIPLE},
        "queues": {"secret": "the same at all doors"},
    }
    audit = Audit()
    tape: Any = CaptureRecorder(store.put, "edge")
    async with fleet({name: [satisfied] for name in "abcd"}, tape=tape, **settings) as f:
        keeper = KnowledgeSaver(f.edge, DurableStateSettings(folder=str(tmp_path / "state"), every_ms=100))
        f.group.start_soon(keeper.run, f.dispatcher)
        await f.say("c", "gone")
        await until(lambda: "c" not in f.dispatcher.endpoint_list.endpoints)
        async with anyio.create_task_group() as clients:
            for number in range(CLIENTS):
                clients.start_soon(ask_edge, f, audit, number)
            await anyio.sleep(0.6)
            told = f.line
            anew = {"start": "1", "age_ms": 1.0}
            monkeypatch.setattr(f, "line", lambda name: told(name) | (anew if name == "c" else {}))
            audit.cold["c"] = anyio.current_time()
            await f.say("c", "up")
            await anyio.sleep(1.2)
            audit.drained["a"] = await f.say("a", "draining")
            await anyio.sleep(0.9)
            audit.stopped = True
        audit.attempts = [(at, name) for at, name, _ in f.arrivals]
        audit.loads = [at for at, _, _ in f.orders]
    store.close()
    assert wall.reads > 10
    audit.check(workers=4)
    assert keeper.counts["saved"] > 1 and not keeper.counts["failed"]
    assert [run.number for run in find_runs([tmp_path / "captures"])] == [store.run]

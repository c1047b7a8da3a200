"""The wall clock is stepped at each read, by seeded draws, while a node and an edge serve.

The rules hold: each request gets one final response in time, no attempt begins at a worker after its drain
was announced, a cold worker gets no more than its slow start allows, load requests keep to their budget.
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
from support import node_rig as nodes
from support.fleet import EdgeRig, respond_ok, run_edge, until
from support.node_rig import NodeRig, run_node, succeed
from support.virtual_time import VIRTUAL_TIME, follow_loop_time
from tests.test_worker_age import send_event_between_heartbeats

pytestmark = pytest.mark.anyio

NS_PER_MS = 1_000_000
STEPS_SECONDS = [0.0, 0.7, -0.7, 5.0, -5.0, 3600.0, -3600.0]
CLIENT_COUNT, PAUSE_SECONDS = 8, 0.08  # each client has a connection and pauses between requests
SHARED_FUNCTIONS = 40  # number of functions that are requested repeatedly
# Share of requests for a new function each: a new worker is at once the home worker of its part of them.
NEW_FUNCTION_SHARE = 0.8
DEADLINE_SECONDS = 1.5
TOLERANCE_SECONDS = 0.5  # a response that is later than its deadline by more counts as lost
DRAIN_NOTICE_SECONDS = 0.1  # time until the process has read the announcement of a drain
SLOW_START_WINDOW_SECONDS = 2.0  # longest time for which a cold worker may be overloaded
SLOW_START_SECONDS, SLOW_START_FIRST_SHARE, FALL_MULTIPLE = 4.0, 0.05, 1.0
BUDGET_WINDOW_SECONDS, BUDGET_FREE_LOADS, BUDGET_SHARE = 1.0, 2, 0.05
BUDGET_SLACK, BUDGET_EXTRA_LOADS = 1.15, 1


class SteppingWallClock:
    """A wall clock that is off by another step at each read: first by `first_step`, then by a random one."""

    def __init__(
        self, seed: int, first_step: float, true_clock: Callable[[], int] = clocks._read_wall
    ) -> None:
        self.random = Random(seed)
        self.next_step = first_step
        self.reads = 0
        self.true_clock = true_clock

    def __call__(self) -> int:
        self.reads += 1
        step, self.next_step = self.next_step, self.random.choice(STEPS_SECONDS)
        return self.true_clock() + round(step * 1e9)


class Audit:
    """Times, in seconds, of requests, responses, attempts and loads, and the checks of the rules."""

    def __init__(self) -> None:
        self.sent: list[float] = []
        self.outcomes: list[tuple[str, float]] = []  # (outcome, duration)
        self.attempts: list[tuple[float, str]] = []
        self.loads: list[float] = []
        self.cold: dict[str, float] = {}  # start times of cold workers
        self.drained: dict[str, float] = {}  # times of announced drains
        self.stopped = False  # ends the clients

    def check(self, workers: int) -> None:
        """Checks all rules for a fleet of `workers` workers."""
        assert len(self.outcomes) == len(self.sent) > 100
        assert all(took < DEADLINE_SECONDS + TOLERANCE_SECONDS for _, took in self.outcomes)
        assert {outcome for outcome, _ in self.outcomes} <= {"succeeded", "rejected"}
        served = sum(outcome == "succeeded" for outcome, _ in self.outcomes)
        assert served > 0.8 * len(self.outcomes)
        for name, announced_at in self.drained.items():
            assert [
                at
                for at, worker in self.attempts
                if worker == name and at > announced_at + DRAIN_NOTICE_SECONDS
            ] == []
        for name, started in self.cold.items():
            self.check_slow_start(name, started, workers)
        self.check_load_budget()

    def check_slow_start(self, name: str, started: float, workers: int) -> None:
        """Checks that a cold worker got no more attempts than its slow start allows.

        The capacity of a worker is taken as its share of all requests: the fleet is as large as its load.
        """
        arrivals = [at for at, worker in self.attempts if worker == name]
        assert arrivals, "a cold worker gets its share"
        rate = len(self.sent) / (self.sent[-1] - self.sent[0]) / workers
        for end in arrivals:
            begin = max(started, end - SLOW_START_WINDOW_SECONDS)
            age = (begin + end) / 2 - started
            share = SLOW_START_FIRST_SHARE + (1 - SLOW_START_FIRST_SHARE) * age / SLOW_START_SECONDS
            requests = FALL_MULTIPLE * rate * share * (end - begin)
            allowed = requests + 3 * math.sqrt(requests) + 3
            assert bisect_right(arrivals, end) - bisect_left(arrivals, begin) <= allowed

    def check_load_budget(self) -> None:
        """Checks at each load request that the budget of its window was not exceeded."""
        for at in self.loads:
            loads = bisect_right(self.loads, at) - bisect_right(self.loads, at - BUDGET_WINDOW_SECONDS)
            requests = bisect_right(self.sent, at) - bisect_right(self.sent, at - BUDGET_WINDOW_SECONDS)
            budget = BUDGET_FREE_LOADS + BUDGET_SHARE * requests
            assert loads <= BUDGET_SLACK * budget + BUDGET_EXTRA_LOADS


class NodeLog(list[str]):
    """Records the messages to the workers of a node, from the lines that their scripts log."""

    def __init__(self, audit: Audit) -> None:
        self.audit = audit

    def append(self, line: str) -> None:
        """Records an attempt or a load request with its time."""
        worker, kind, _ = line.split()
        if kind == "DO":
            self.audit.attempts.append((anyio.current_time(), worker))
        else:
            self.audit.loads.append(anyio.current_time())


def choose_function(random: Random, client: int, count: int) -> int:
    """Returns the function of a client's next request: one of the shared ones, or a new one."""
    new_function = SHARED_FUNCTIONS + CLIENT_COUNT * count + client
    return new_function if random.random() < NEW_FUNCTION_SHARE else random.randrange(SHARED_FUNCTIONS)


async def run_node_client(rig: NodeRig, audit: Audit, number: int) -> None:
    """Sends requests to the node, one after the other, until the audit is stopped."""
    client = await rig.connect_client()
    random = Random(number)
    while not audit.stopped:
        sent = anyio.current_time()
        audit.sent.append(sent)
        key = f"{choose_function(random, number, client.last_number):016x}"
        await client.send_request(
            "safe", wait=round(DEADLINE_SECONDS * 1000), key=key, id=f"{number:04x}{client.last_number:012x}"
        )
        answer = await client.receive_response()
        assert answer is not None and answer["id"] == client.last_number
        outcome = {"satisfied": "succeeded", "turned back": "rejected"}[nodes.outcome_of(answer)]
        audit.outcomes.append((outcome, anyio.current_time() - sent))
        await anyio.sleep(PAUSE_SECONDS * (0.5 + random.random()))


@pytest.mark.parametrize("anyio_backend", [VIRTUAL_TIME], ids=["virtual time"])
@pytest.mark.parametrize("seed", range(len(STEPS_SECONDS)))
async def test_a_node_keeps_the_rules_whatever_the_wall_clock_says(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """In virtual time. The journal service uses the true clock, which follows the virtual time."""
    clock = follow_loop_time(monkeypatch)
    wall_offset_ns = clocks.wall_ns() - clock()
    wall = SteppingWallClock(seed, STEPS_SECONDS[seed], lambda: clock() + wall_offset_ns)
    monkeypatch.setattr(clocks, "_read_wall", wall)
    rules = {"cold-from": SLOW_START_FIRST_SHARE, "cold": SLOW_START_SECONDS, "fall-multiple": FALL_MULTIPLE}
    family = {
        "placement-calls": True,
        "load-period": BUDGET_WINDOW_SECONDS,
        "loads-anyway": BUDGET_FREE_LOADS,
    }
    settings = nodes.SETTINGS | {
        "rules": nodes.SETTINGS["rules"] | rules,
        "family-info": nodes.SETTINGS["family-info"] | family | {"loads-per-request": BUDGET_SHARE},
    }
    audit = Audit()
    monkeypatch.setattr(nodes, "NodeRig", lambda: make_play(audit))
    async with run_node(tmp_path, {"a": [succeed], "b": [succeed], "d": [succeed]}, settings=settings) as rig:
        await until(lambda: rig.node.discovery.worker_ages._confirmed_ns)
        async with anyio.create_task_group() as clients:
            for number in range(CLIENT_COUNT):
                clients.start_soon(run_node_client, rig, audit, number)
            await anyio.sleep(0.6)
            await rig.start_worker("c", succeed)
            audit.cold["c"] = anyio.current_time()
            await send_event_between_heartbeats(
                rig, rig.worker_record("c", started=wall.true_clock() // NS_PER_MS)
            )
            await anyio.sleep(1.2)
            audit.drained["a"] = anyio.current_time()
            await send_event_between_heartbeats(rig, rig.worker_record("a", state=1))
            await anyio.sleep(0.9)
            audit.stopped = True
    assert wall.reads
    audit.check(workers=4)


def make_play(audit: Audit) -> NodeRig:
    """Creates a rig of the node's tests whose log feeds the audit."""
    new_play = NodeRig()
    new_play.log = NodeLog(audit)
    return new_play


async def run_edge_client(rig: EdgeRig, audit: Audit, number: int) -> None:
    """Sends requests to the edge, one after the other, until the audit is stopped."""
    random = Random(number)
    count = 0
    while not audit.stopped:
        sent = anyio.current_time()
        audit.sent.append(sent)
        count += 1
        function = f"m{choose_function(random, number, count)}"
        ident = f"{number}-{count}"
        exchange = await rig.exchange("estimate", left=DEADLINE_SECONDS * 1000, ident=ident, model=function)
        assert exchange.message is not None
        outcome = {200: "succeeded", 503: "rejected", 429: "rejected"}[exchange.message.status]
        audit.outcomes.append((outcome, anyio.current_time() - sent))
        await anyio.sleep(PAUSE_SECONDS * (0.5 + random.random()))


@pytest.mark.parametrize("seed", range(3))  # fewer seeds: it gets ages, so its first read matters little
async def test_an_edge_keeps_the_rules_whatever_the_wall_clock_says(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """The edge has a capture, durable state and reservations, and starts with a cached endpoint list."""
    wall = SteppingWallClock(seed, STEPS_SECONDS[seed])
    monkeypatch.setattr(clocks, "_read_wall", wall)
    cached_list = tmp_path / "kept"
    endpoints.save_cached_endpoints(cached_list, endpoints.make_cached_endpoints(1, []))
    writer = CaptureWriter(CaptureSettings(folder=str(tmp_path / "captures")), "edge", lambda *_: None)
    load_budget = {
        "window_ms": BUDGET_WINDOW_SECONDS * 1000,
        "free": BUDGET_FREE_LOADS,
        "share": BUDGET_SHARE,
    }
    settings: dict[str, Any] = {
        "models": {"ration": load_budget, "orders": True},
        "cold": {
            "share": SLOW_START_FIRST_SHARE,
            "time_ms": SLOW_START_SECONDS * 1000,
            "fall_multiple": FALL_MULTIPLE,
        },
        "queues": {"secret": "the same at all edges"},
    }
    audit = Audit()
    recorder: Any = CaptureRecorder(writer.put, "edge")
    async with run_edge({name: [respond_ok] for name in "abcd"}, recorder=recorder, **settings) as rig:
        saver = KnowledgeSaver(
            rig.settings, DurableStateSettings(folder=str(tmp_path / "state"), every_ms=100)
        )
        rig.task_group.start_soon(saver.run, rig.dispatcher)
        await rig.publish_state("c", "gone")
        await until(lambda: "c" not in rig.dispatcher.endpoint_list.endpoints)
        async with anyio.create_task_group() as clients:
            for number in range(CLIENT_COUNT):
                clients.start_soon(run_edge_client, rig, audit, number)
            await anyio.sleep(0.6)
            endpoint_of = rig.worker_record
            restarted = {"start": "1", "age_ms": 1.0}
            monkeypatch.setattr(
                rig, "worker_record", lambda name: endpoint_of(name) | (restarted if name == "c" else {})
            )
            audit.cold["c"] = anyio.current_time()
            await rig.publish_state("c", "up")
            await anyio.sleep(1.2)
            audit.drained["a"] = await rig.publish_state("a", "draining")
            await anyio.sleep(0.9)
            audit.stopped = True
        audit.attempts = [(at, name) for at, name, _ in rig.arrivals]
        audit.loads = [at for at, _, _ in rig.load_requests]
    writer.close()
    assert wall.reads > 10
    audit.check(workers=4)
    assert saver.counts["saved"] > 1 and not saver.counts["failed"]
    assert [run.number for run in find_runs([tmp_path / "captures"])] == [writer.run]

"""Faults after a long idle time, and a long outage of discovery while workers restart, drain and leave."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from martenlead.policy import types as io
from support.fleet import until
from support.node_rig import (
    CONNECTION_ERRORS,
    PipeliningClient,
    ScriptedJournal,
    ScriptedWorker,
    one_at_a_time,
    record,
    reset_on_close,
    run_node,
    succeed,
)
from tests.virtual_fleet import REQUEST_TIMEOUT, SECOND, Dispatcher, Fleet, facts_of_workers

pytestmark = pytest.mark.anyio

LATEST = 0.5  # Time in s after the deadline, after which a response counts as lost
DRAINING, GONE = 1, 2


async def reset(stream: SocketStream) -> None:
    """Closes a connection with a reset."""
    reset_on_close(stream)
    await anyio.aclose_forcefully(stream)


# -- faults after a long idle time

IDLE_TIME = 3600 * SECOND
WORKERS, REPLACED = 10, 6


def lose_half(fleet: Fleet) -> None:
    fleet.stop_workers(range(WORKERS // 2))


def lose_all(fleet: Fleet) -> None:
    fleet.stop_workers(range(WORKERS))


def drain_half(fleet: Fleet) -> None:
    for dispatcher in fleet.dispatchers:
        dispatcher.update_workers(facts_of_workers(range(WORKERS // 2), io.WorkerState.DRAINING))


def replace_six_in_ten(fleet: Fleet) -> None:
    """Replaces as many as the bench does within some seconds, here all at once."""
    fleet.stop_workers(range(REPLACED))
    fleet.up |= set(range(100, 100 + REPLACED))
    for dispatcher in fleet.dispatchers:
        dispatcher.update_workers(facts_of_workers(range(REPLACED), io.WorkerState.GONE))
        dispatcher.update_workers(facts_of_workers(range(100, 100 + REPLACED), started_ns=fleet.now))


# The fault, and whether all requests can be served during it
FAULTS: dict[str, tuple[Callable[[Fleet], None], bool]] = {
    "half of the workers lost": (lose_half, False),
    "all workers lost": (lose_all, False),
    "half of the workers drain": (drain_half, True),
    "six in ten workers replaced": (replace_six_in_ten, True),
}


@pytest.mark.parametrize("known", [False, True], ids=["functions unknown", "functions known"])
@pytest.mark.parametrize("trouble", FAULTS)
def test_a_fault_after_an_idle_hour_leaves_no_request_unanswered(trouble: str, known: bool) -> None:
    """Runs in virtual time.

    No attempt goes to a worker that is draining or gone, and after recovery all requests are served.
    """
    begin_fault, can_be_served = FAULTS[trouble]
    virtual = Fleet(range(WORKERS))
    for seed in range(3):
        dispatcher = Dispatcher(virtual, seed + 1)
        dispatcher.update_workers(facts_of_workers(range(WORKERS)), is_snapshot=True)
        dispatcher.start()
    if known:
        call_all(virtual, 20)
    virtual.run_for(IDLE_TIME)
    begin_fault(virtual)
    before = [len(d.attempts) for d in virtual.dispatchers]
    finals = [d.final_responses.copy() for d in virtual.dispatchers]
    call_all(virtual, 40)
    virtual.run_for(2 * REQUEST_TIMEOUT)
    for dispatcher, sent, ended in zip(virtual.dispatchers, before, finals, strict=True):
        assert (dispatcher.final_responses - ended).total() == 40
        if can_be_served:
            assert (dispatcher.final_responses - ended)["satisfied"] >= 36
            gone = range(WORKERS // 2 if begin_fault is drain_half else REPLACED)
            assert not {attempt.mark for attempt in dispatcher.attempts[sent:]} & set(gone)
    virtual.up |= set(range(WORKERS))
    virtual.run_for(60 * SECOND)
    for dispatcher in virtual.dispatchers:
        dispatcher.final_responses.clear()
    call_all(virtual, 20)
    virtual.run_for(2 * REQUEST_TIMEOUT)
    for dispatcher in virtual.dispatchers:
        assert dispatcher.final_responses.total() == 20
        assert dispatcher.final_responses["satisfied"] >= 18


def call_all(virtual: Fleet, count: int) -> None:
    """Sends `count` calls to each dispatcher over five functions, one every 50 ms."""
    for number in range(count):
        for dispatcher in virtual.dispatchers:
            dispatcher.call(number % 5)
        virtual.run_for(SECOND // 20)


# -- workers restart, drain and leave during an outage of discovery


class FailingJournal(ScriptedJournal):
    """A journal service that can fail: it then closes its connections and refuses new ones."""

    def __init__(self) -> None:
        super().__init__()
        self.running = anyio.CancelScope()

    async def serve(self) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        self.port = listener.extra(SocketAttribute.local_port)
        async with listener:
            with anyio.CancelScope() as self.running:
                await listener.serve(self.serve_connection)

    async def fail(self) -> None:
        """Stops the listener and closes all connections."""
        self.running.cancel()
        for stream in self.streams:
            with suppress(*CONNECTION_ERRORS):
                await stream.aclose()
        self.streams = []


OUTAGE_SECONDS = 2.5  # Length of the outage in s
REQUEST_TIME_MS = 500  # Time of each request in ms


async def end_process(runner: ScriptedWorker) -> None:
    """Closes the listener of a worker and resets its connections."""
    await runner.listener.aclose()
    for stream in runner.streams:
        with suppress(*CONNECTION_ERRORS, AttributeError):
            await reset(stream)
    runner.streams = []


@pytest.mark.parametrize("method", ["safe", "unsafe"])
@pytest.mark.parametrize("stops", [False, True], ids=["stays", "stops as it returns"])
async def test_an_outage_of_discovery_with_restarts_and_drains_leaves_no_request_unanswered(
    stops: bool, method: str, tmp_path: Path
) -> None:
    journal = FailingJournal()
    async with run_node(tmp_path, {name: [one_at_a_time(succeed)] for name in "abc"}, journal) as p:
        await until(lambda: journal.streams)
        asker = PipeliningClient(await p.connect_client())
        p.task_group.start_soon(asker.read_responses)

        over = anyio.Event()

        async def ask() -> None:
            while not asker.connection_ended and not p.node.is_stopping and not over.is_set():
                with suppress(*CONNECTION_ERRORS):
                    await asker.send_request(
                        method, wait=REQUEST_TIME_MS, key=f"{asker.client.last_number % 7:016x}"
                    )
                await anyio.sleep(0.02)

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(0.1)
            await journal.fail()
            await anyio.sleep(OUTAGE_SECONDS / 2)
            a, b = p.workers["a"], p.workers["b"]
            await end_process(b)
            await end_process(a)
            await p.start_worker("a", one_at_a_time(succeed), port=a.port)
            await p.start_worker("d", one_at_a_time(succeed))
            await anyio.sleep(OUTAGE_SECONDS / 2)
            await journal.publish(
                p.worker_record("a", started=1),
                record(ord("b"), b.port, GONE),
                p.worker_record("c", DRAINING),
                p.worker_record("d", started=1),
            )
            p.task_group.start_soon(journal.serve)
            boxes = p.node.dispatcher.workers
            await until(lambda: not boxes["s-00000063"].is_up, within=4)
            known = len(p.log)
            if stops:
                os.kill(os.getpid(), signal.SIGTERM)
                await until(lambda: p.node_ended, within=5)
            else:
                await anyio.sleep(0.5)
            over.set()
        await until(lambda: len(asker.responses) >= len(asker.sent_at), within=3)
        assert asker.has_one_response_each()
        assert max(asker.latencies()) < REQUEST_TIME_MS / 1000 + LATEST
        assert not any(line[:4] in ("b DO", "c DO") for line in p.log[known:])
        if not stops:
            assert any(line[:4] in ("a DO", "d DO") for line in p.log[known:])
        satisfied_share = [word for _, word, _ in asker.responses].count("satisfied") / len(asker.responses)
        assert satisfied_share > 0.8

"""Nothing is sent to a worker that drains, goes or moves while a connection to it is opened (rule 3)."""

from __future__ import annotations

from collections.abc import Iterator

import anyio
import pytest

from martenlead.events.client import Exchange, Pool
from martenlead.policy.types import Result
from martenlead.upstream.outcome import UpstreamOutcome
from support.fleet import EdgeRig, respond_ok, run_edge, until

pytestmark = pytest.mark.anyio
CONNECT_SETTINGS = {"limits": {"connect_ms": 5000}}
UNUSED_PORT = 1


class SlowConnections:
    """Lets each connection to a worker wait, once it is open, until `may_continue` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.may_continue = anyio.Event()
        self.waiting = 0
        self.worker_ports: set[int] = set()
        connect = Pool._connect

        async def connect_slowly(pool: Pool) -> object:
            connection = await connect(pool)
            if pool.port in self.worker_ports:
                self.waiting += 1
                await self.may_continue.wait()
            return connection

        monkeypatch.setattr(Pool, "_connect", connect_slowly)


@pytest.fixture
def connections(monkeypatch: pytest.MonkeyPatch) -> Iterator[SlowConnections]:
    yield SlowConnections(monkeypatch)


async def wait_until_connecting(rig: EdgeRig, connections: SlowConnections) -> None:
    await until(lambda: connections.waiting)
    assert rig.arrivals == rig.load_requests == []


async def publish_and_continue(rig: EdgeRig, connections: SlowConnections, state: str) -> None:
    """Publishes a state of worker `a`, and lets its connections continue once the edge knows it."""
    (worker,) = rig.dispatcher.workers.values()
    await rig.publish_state("a", state)
    await until(lambda: not worker.is_up)
    connections.may_continue.set()


@pytest.mark.parametrize("state", ["draining", "gone"])
@pytest.mark.parametrize("request_class", ["estimate", "post", "notice"])
async def test_an_attempt_is_withheld_and_counts_as_not_run(
    request_class: str, state: str, connections: SlowConnections
) -> None:
    """Guards against an attempt that reaches a worker long after its drain was told."""
    async with run_edge({"a": [respond_ok]}, **CONNECT_SETTINGS) as rig:
        connections.worker_ports.add(rig.workers["a"].port)
        answers: list[tuple[int, dict[str, object]]] = []

        async def call() -> None:
            answers.append(await rig.call(request_class))

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await wait_until_connecting(rig, connections)
            await publish_and_continue(rig, connections, state)
        ((status, problem),) = answers
        assert (status, problem["final"]) == (503, "turned back")
        assert rig.received() == []
        assert rig.dispatcher.counts["hand-off", Result.NOT_SENT.value] == 1


@pytest.mark.parametrize("state", ["draining", "gone"])
@pytest.mark.parametrize("replicas", [0, 1])
async def test_a_load_request_is_withheld(replicas: int, state: str, connections: SlowConnections) -> None:
    """Guards against load requests to a worker that drains, which were never checked as they left."""
    async with run_edge({"a": [respond_ok]}, **CONNECT_SETTINGS) as rig:
        connections.worker_ports.add(rig.workers["a"].port)
        (worker,) = rig.dispatcher.workers.values()
        function = rig.dispatcher.find_or_add_function("other", 1, 100.0)
        outcomes: list[UpstreamOutcome] = []
        rig.dispatcher.link.send_load_request(worker, function, replicas, outcomes.append)
        await wait_until_connecting(rig, connections)
        await publish_and_continue(rig, connections, state)
        await until(lambda: outcomes)
        assert outcomes[0].result is Result.NOT_SENT
        assert rig.load_requests == []


async def test_what_waited_for_the_old_address_of_a_worker_is_withheld(connections: SlowConnections) -> None:
    """Guards against an attempt that another process gets, which has the address now."""
    async with run_edge({"a": [respond_ok]}, **CONNECT_SETTINGS) as rig:
        connections.worker_ports.add(rig.workers["a"].port)
        exchanges: list[Exchange] = []

        async def call() -> None:
            exchanges.append(await rig.exchange("notice", left=800))

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await wait_until_connecting(rig, connections)
            (worker,) = rig.dispatcher.workers.values()
            old_connections = worker.connections
            rig.workers["a"].port = UNUSED_PORT
            await rig.publish_state("a", "up")
            await until(lambda: worker.connections is not old_connections)
            connections.may_continue.set()
        assert exchanges[0].message is not None
        assert exchanges[0].message.status == 503
        assert rig.received() == []

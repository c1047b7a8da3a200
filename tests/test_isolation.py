"""Each request gets its final response despite faulty workers or other clients, in the node and in the edge.

Workers hang, refuse all connections, or are not listed; another client floods, or never reads its responses;
all of these are combined. A well-behaved client gets exactly one response to each request, in time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from martenlead.events import http
from martenlead.events.client import Pool
from martenlead.events.cloudevent import Event, encode_event
from support.fleet import EdgeRig, ScriptedWorker, respond_ok, run_edge, until
from support.node_rig import (
    CONNECTION_ERRORS,
    SETTINGS,
    NodeRig,
    PipeliningClient,
    one_at_a_time,
    run_node,
    succeed,
)
from support.virtual_time import PROCESS_TIME, follow_loop_time

pytestmark = pytest.mark.anyio

WAIT = 0.4  # Time in s that each client has
LATEST = 0.5  # Time in s after that, after which a response counts as lost
REQUESTS = 15
BETWEEN = 0.05  # Time in s between two requests
OPEN = 32  # Limit of the protocol on open requests of a connection
FLOODS = 4  # Connections of the client that floods
FLOOD, FLOOD_EVERY = 100, 0.05  # Requests of each connection per write, and seconds between writes
UNREAD = 600  # Requests of the client that never reads
LARGE = "QUFB" * 4_000  # Base64 body; unread responses fill the socket buffers of both sides
QUOTA = 20.0  # Requests per second of the tenant that floods
OVER_SHARE = 0.2  # Relative value of a request over its tenant's quota
RUN = 0.02  # Service time of a worker in s
SERVED = 1 / 2  # Least share of successes within the quota if the workers are healthy

WORKERS = ("well", "hung", "refusing", "not listed")
CLIENTS = ("none", "floods", "never reads")
FAULTS = [(w, c) for w in WORKERS for c in CLIENTS if (w, c) != ("well", "none")]


@pytest.fixture
def anyio_backend() -> Any:
    """Process time: all sides share one process, and its waits for a core count for none of them."""
    return PROCESS_TIME


@pytest.fixture(autouse=True)
async def loop_time(anyio_backend: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    follow_loop_time(monkeypatch)


class RequestsAtWorkers:
    """Requests that workers have received by tenant: in total, now, and at most at the same time."""

    def __init__(self) -> None:
        self.total: Counter[str] = Counter()
        self.concurrent: Counter[str] = Counter()
        self.max_concurrent: Counter[str] = Counter()

    def start(self, tenant: str) -> None:
        """Counts a request that a worker received."""
        self.total[tenant] += 1
        self.concurrent[tenant] += 1
        self.max_concurrent[tenant] = max(self.max_concurrent[tenant], self.concurrent[tenant])

    def end(self, tenant: str) -> None:
        """Counts a request that a worker has finished."""
        self.concurrent[tenant] -= 1


# -- the node

TENANTS = [{"name": "acme", "quota-per-s": 1000.0}, {"name": "noisy", "quota-per-s": QUOTA}]
NOISY = 0x10_0000  # Request ids of the faulty clients are at least this


async def send_requests(asker: PipeliningClient, method: str) -> None:
    """Sends all requests of the well-behaved client and waits for the responses."""
    for _ in range(REQUESTS):
        await asker.send_request(method, wait=round(WAIT * 1000))
        await anyio.sleep(BETWEEN)
    await until(lambda: len(asker.responses) >= len(asker.sent_at), within=3)


async def flood_node(p: NodeRig) -> None:
    """Repeatedly writes a hundred requests at once on each connection, and reads all responses."""

    async def connection(number: int) -> None:
        caller = await p.connect_client()
        caller.last_number = NOISY * (number + 1)
        p.task_group.start_soon(read_and_discard, caller.stream)
        with suppress(*CONNECTION_ERRORS):
            while True:
                wait = round(WAIT * 1000)
                await caller.send(
                    b"".join(caller.encode_request(tenant="noisy", wait=wait) for _ in range(FLOOD))
                )
                await anyio.sleep(FLOOD_EVERY)

    async with anyio.create_task_group() as group:
        for number in range(FLOODS):
            group.start_soon(connection, number)


async def watch_open(p: NodeRig, max_pending: Counter[str]) -> None:
    """Records the most requests of each tenant that the node has pending, sampled every few ms."""
    while True:
        pending = Counter(
            str(pending.incoming.tenant) for pending in p.node.dispatcher.pending_requests.values()
        )
        for tenant, count in pending.items():
            max_pending[tenant] = max(max_pending[tenant], count)
        await anyio.sleep(0.005)


async def read_and_discard(stream: SocketStream) -> None:
    """Reads until the connection ends."""
    with suppress(*CONNECTION_ERRORS):
        while True:
            await stream.receive()


async def never_read_node(p: NodeRig) -> None:
    """Sends requests and reads no response: these wait in the socket buffers and in the node."""
    caller = await p.connect_client()
    caller.last_number = NOISY
    for _ in range(UNREAD // 10):
        with suppress(*CONNECTION_ERRORS), anyio.move_on_after(0.05):
            await caller.send(b"".join(caller.encode_request(tenant="noisy", blob=LARGE) for _ in range(10)))


@asynccontextmanager
async def node_with_faults(
    tmp_path: Path, workers: str, at_workers: RequestsAtWorkers
) -> AsyncIterator[NodeRig]:
    """Starts a node whose workers have one of the faults in `WORKERS`."""
    answers = one_at_a_time(succeed)

    async def counted(runner: Any, stream: SocketStream, told: dict[str, Any]) -> None:
        tenant = "noisy" if int(told["txn"], 16) >= NOISY else "acme"
        at_workers.start(tenant)
        if workers == "hung":
            return  # it never responds
        await anyio.sleep(RUN)
        at_workers.end(tenant)
        await answers(runner, stream, told)

    parts = {"a": [counted], "b": [counted]}
    settings = SETTINGS | {"orgs": TENANTS, "over-share-worth": OVER_SHARE}
    async with run_node(tmp_path, parts, settings=settings) as p:
        if workers == "refusing":
            for runner in p.workers.values():
                await runner.listener.aclose()
        if workers == "not listed":
            await until(lambda: p.journal.streams)
            await p.journal.publish(kind=1)
            await until(lambda: not any(box.is_up for box in p.node.dispatcher.workers.values()))
        yield p


NODE_CLIENTS: dict[str, Callable[[NodeRig], Awaitable[None]]] = {
    "floods": flood_node,
    "never reads": never_read_node,
}


@pytest.mark.parametrize("method", ["safe", "keyed", "unsafe"])
@pytest.mark.parametrize(("workers", "clients"), FAULTS)
async def test_the_node_answers_in_time_despite_faulty_workers_and_clients(
    workers: str, clients: str, method: str, tmp_path: Path
) -> None:
    at_workers = RequestsAtWorkers()
    async with node_with_faults(tmp_path, workers, at_workers) as p:
        asker = PipeliningClient(await p.connect_client())
        p.task_group.start_soon(asker.read_responses)
        max_pending_requests: Counter[str] = Counter()
        p.task_group.start_soon(watch_open, p, max_pending_requests)
        async with anyio.create_task_group() as group:
            if clients in NODE_CLIENTS:
                group.start_soon(NODE_CLIENTS[clients], p)
            await send_requests(asker, method)
            group.cancel_scope.cancel()
        assert asker.has_one_response_each(), (asker.sent_at, asker.responses)
        assert max(asker.latencies()) < WAIT + LATEST
        if workers == "well":
            assert [w for _, w, _ in asker.responses].count("satisfied") >= REQUESTS * SERVED, asker.responses
        else:
            assert asker.outcomes() <= {"turned back", "error -32000"}
        connections = FLOODS if clients == "floods" else 1
        assert max_pending_requests["noisy"] <= OPEN * connections
        assert workers == "hung" or at_workers.max_concurrent["noisy"] <= OPEN * connections
        assert (at_workers.total["noisy"] > 0) == (clients != "none" and workers in ("well", "hung"))


# -- the edge


async def post(pool: Pool, ident: str, kind: str, customer: str, wait: float) -> int:
    """Sends one request; returns the status of its response."""
    attributes: dict[str, Any] = {
        "specversion": "1.0",
        "id": ident,
        "source": "/c",
        "type": kind,
        "model": "m",
        "timeleftms": round(wait * 1000),
        "customer": customer,
    }
    headers, body = encode_event(Event(attributes, b"{}", "application/json"))
    exchange = await pool.exchange(http.request(b"POST", b"/", b"edge", headers, body))
    assert exchange.message is not None, exchange
    return exchange.message.status


async def respond_with_large_body(
    _runner: ScriptedWorker, stream: SocketStream, _message: http.Message
) -> None:
    event = Event({"specversion": "1.0", "id": "r", "source": "/r", "type": "t"}, b"x" * 12_000, "text/plain")
    headers, body = encode_event(event)
    await stream.send(http.response(200, [*headers, (b"martenlead-copy", b"warm")], body))


async def flood_edge(f: EdgeRig) -> None:
    """Sends requests on as many connections as the flooding client may have requests open."""
    pool = Pool("127.0.0.1", f.port, connection_limit=FLOODS * OPEN, connect_timeout_ns=10_000_000_000)

    async def client(number: int) -> None:
        for count in range(10):
            await post(pool, f"noisy{number}-{count}", "estimate", "noisy", WAIT)

    async with anyio.create_task_group() as group:
        for number in range(FLOODS * OPEN):
            group.start_soon(client, number)


async def never_read_edge(f: EdgeRig) -> None:
    """Sends pipelined requests and reads no response."""
    async with await anyio.connect_tcp("127.0.0.1", f.port) as stream:
        for number in range(UNREAD):
            attributes: dict[str, Any] = {
                "specversion": "1.0",
                "id": f"noisy-unread-{number}",
                "source": "/c",
                "type": "estimate",
                "model": "m",
                "timeleftms": round(WAIT * 1000),
                "customer": "noisy",
            }
            headers, body = encode_event(Event(attributes, b"{}" * 2000, "application/json"))
            with anyio.move_on_after(0.05):
                await stream.send(http.request(b"POST", b"/", b"edge", headers, body))
        await anyio.sleep_forever()


EDGE_CLIENTS: dict[str, Callable[[EdgeRig], Awaitable[None]]] = {
    "floods": flood_edge,
    "never reads": never_read_edge,
}
CUSTOMERS = [{"name": "acme", "quota_per_s": 1000.0}, {"name": "noisy", "quota_per_s": QUOTA}]


@asynccontextmanager
async def edge_with_faults(workers: str, at_workers: RequestsAtWorkers) -> AsyncIterator[EdgeRig]:
    """Starts an edge whose workers have one of the faults in `WORKERS`."""

    async def counted(runner: ScriptedWorker, stream: SocketStream, message: http.Message) -> None:
        tenant = "noisy" if (message.header(b"ce-id") or b"").startswith(b"noisy") else "acme"
        at_workers.start(tenant)
        if workers == "hung":
            return  # it never responds
        await anyio.sleep(RUN)
        at_workers.end(tenant)
        await (respond_with_large_body if tenant == "noisy" else respond_ok)(runner, stream, message)

    async with run_edge({"a": [counted], "b": [counted]}, customers=CUSTOMERS, over_share=OVER_SHARE) as f:
        if workers == "refusing":
            for runner in f.workers.values():
                await runner.listener.aclose()
        if workers == "not listed":
            for name in f.workers:
                await f.publish_state(name, "gone")
            await until(lambda: not any(box.is_up for box in f.dispatcher.workers.values()))
        yield f


@pytest.mark.parametrize("kind", ["estimate", "notice"])
@pytest.mark.parametrize(("workers", "clients"), FAULTS)
async def test_the_edge_answers_in_time_despite_faulty_workers_and_clients(
    workers: str, clients: str, kind: str
) -> None:
    at_workers = RequestsAtWorkers()
    async with edge_with_faults(workers, at_workers) as f:
        pool = Pool("127.0.0.1", f.port, connect_timeout_ns=10_000_000_000)
        statuses: list[int] = []
        async with anyio.create_task_group() as group:
            if clients in EDGE_CLIENTS:
                group.start_soon(EDGE_CLIENTS[clients], f)
            for number in range(REQUESTS):
                with anyio.fail_after(WAIT + LATEST):
                    statuses.append(await post(pool, f"asks-{number}", kind, "acme", WAIT))
                await anyio.sleep(BETWEEN)
            group.cancel_scope.cancel()
        assert len(statuses) == REQUESTS
        if workers == "well":
            assert statuses.count(200) >= REQUESTS * SERVED, statuses
        else:
            assert set(statuses) <= {429, 502, 503, 504}, statuses
        connections = FLOODS if clients == "floods" else 1
        assert workers == "hung" or at_workers.max_concurrent["noisy"] <= OPEN * connections
        assert (at_workers.total["noisy"] > 0) == (clients != "none" and workers in ("well", "hung"))
